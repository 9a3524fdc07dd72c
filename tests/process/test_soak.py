"""Tests that the soak test's checks detect broken guarantees, and runs it for a short time with fixed seeds."""
import pathlib
import shutil
import signal
import socket
import sys
import threading
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "soak"))

import soak  # noqa: E402  (its folder is put on the path above)
from ledger import End, Ledger, Run, SentRequest, duty_breaches  # noqa: E402
from proxy import Proxy  # noqa: E402

LIMITS = {"revoke": 3.0, "drain": 3.0, "contact": 3.0, "answer": 7.0, "stop": 7.0, "told": 2.0, "rest": 0.5}


class Checks(unittest.TestCase):
    def setUp(self):
        self.ledger = Ledger()

    def send(self, id="r-1", kind="once", began=10.0, ended=10.1, status=200, fault=""):
        self.ledger.record_request(SentRequest(id, kind, "front-0", "alpha-0", "alpha", began, ended, status, fault=fault))

    def run_at(self, id="r-1", replica="i-0", account="alpha", at=10.05):
        self.ledger.record_run(Run(id, replica, account, at))

    def assert_breach(self, part):
        found = self.ledger.breaches(LIMITS)
        self.assertTrue(any(part in line for line in found), found)

    def test_a_request_served_as_promised_is_no_breach(self):
        self.send()
        self.run_at()
        self.assertEqual(self.ledger.breaches(LIMITS), [])

    def test_two_runs_of_what_may_run_once(self):
        self.send()
        self.run_at()
        self.run_at(replica="i-1")
        self.assert_breach("ran 2 times")

    def test_a_run_after_a_refusal(self):
        self.send(status=503)
        self.run_at()
        self.assert_breach("was told 503")

    def test_processes_that_end_otherwise_than_asked(self):
        self.ledger.ends = [End("front-0", signal.SIGTERM, 0, 6.5), End("front-1", signal.SIGKILL, -9, 0.1)]
        self.assertEqual(self.ledger.breaches(LIMITS), [])
        for end, part in ((End("front-2", signal.SIGTERM, -11, 0.5), "front-2 ended with -11"),
                          (End("front-3", signal.SIGTERM, 0, 7.5), "front-3 took 7.5 s"),
                          (End("front-4", 0, -6, 0.0), "front-4 ended by itself with -6")):
            self.ledger.ends = [end]
            self.assert_breach(part)

    def test_a_run_that_nobody_asked_for_or_for_another_account(self):
        self.run_at("r-9")
        self.assert_breach("without a request")
        self.send()
        self.run_at(account="beta")
        self.assert_breach("ran for beta")

    def test_a_run_with_a_revoked_key(self):
        self.ledger.revoked["alpha-0"] = 6.0
        self.send()
        self.run_at()
        self.assert_breach("after its key was revoked")

    def test_a_run_at_a_replica_that_was_leaving_counts_at_calm_nodes_only(self):
        self.ledger.leaving_since["i-0"] = 6.0
        self.send()
        self.run_at()
        self.assert_breach("after it was leaving")
        self.ledger.disturbed["front-0"].append([9.0, 9.5])
        self.assertEqual(self.ledger.breaches(LIMITS), [])

    def test_an_answer_held_back_or_wrong(self):
        self.send(ended=18.0)
        self.run_at()
        self.assert_breach("was held")
        self.send("r-2", fault="a success without a signature")
        self.assert_breach("without a signature")

    def test_a_request_that_goes_on_ending_replicas(self):
        self.ledger.crashes["fatal 1"] = [1.0, 1.2, 1.4, 20.0]
        for number, at in enumerate((1.0, 1.2, 1.4, 20.0, 21.0, 22.0)):
            self.send(f"r-{number}", "fatal 1", at, at + 0.1, 502)
            self.run_at(f"r-{number}", at=at)
        self.assertEqual(self.ledger.breaches(LIMITS), [])
        self.send("r-9", "fatal 1", 23.0, 23.1, 502)
        self.run_at("r-9", at=23.0)
        self.assert_breach("ran 4 times more after it had ended three replicas, 4 in all")

    def test_a_request_at_a_replica_that_said_that_it_leaves_counts_unless_the_node_was_interrupted(self):
        self.ledger.told["front-0", "i-0"] = 8.0
        self.ledger.arrivals["i-0"] = [(9.9, "r-0"), (10.05, "r-1")]
        self.send("r-0", began=9.9)
        self.assertEqual(self.ledger.breaches(LIMITS), [])
        self.send(began=10.01)
        self.assert_breach("after front-0 passed on that it leaves")
        self.ledger.disturbed["front-0"].append([9.0, 9.5])
        self.assert_breach("after front-0 passed on that it leaves")
        self.ledger.interrupted["front-0"].append([9.0, 9.5])
        self.assertEqual(self.ledger.breaches(LIMITS), [])

    def test_more_than_two_requests_in_a_rest(self):
        for number in range(4):
            self.send(f"r-{number}", began=10.0 + number)
            self.ledger.arrivals["i-0"].append((10.0 + number, f"r-{number}"))
        self.ledger.rests = [("i-0", "r-0", 10.0, 2.5)]
        self.assertEqual(self.ledger.breaches(LIMITS), [])
        self.ledger.rests = [("i-0", "r-0", 10.0, 3.5)]
        self.assert_breach("in a rest of 3.5 s")
        self.ledger.disturbed["front-0"].append([11.0, 11.5])
        self.assertEqual(self.ledger.breaches(LIMITS), [])

    def test_duties_done_twice_or_out_of_turn(self):
        twice = [(1.0, "/usage", "a", 5, {"window_id": 1, "counts": {"x": 1}}),
                 (2.0, "/usage", "a", 5, {"window_id": 1, "counts": {"x": 2}})]
        self.assertTrue(duty_breaches(twice, {}, 0.3))
        back = [(1.0, "/scale", "b", 6, {}), (2.0, "/scale", "a", 5, {})]
        self.assertTrue(duty_breaches(back, {}, 0.3))
        self.assertEqual(duty_breaches(back, {"a": [1.9]}, 0.3), [])
        self.assertTrue(duty_breaches(back, {"a": [5.0]}, 0.3), "resumed after the call")


class Proxies(unittest.TestCase):
    def setUp(self):
        self.echo = socket.create_server(("127.0.0.1", 0))
        threading.Thread(target=self.serve, daemon=True).start()
        self.proxy = Proxy(self.echo.getsockname()[1])
        self.caller = socket.create_connection(("127.0.0.1", self.proxy.port), 5)

    def tearDown(self):
        self.caller.close()
        self.proxy.close()
        self.echo.close()

    def serve(self):
        connection, _ = self.echo.accept()
        while data := connection.recv(100):
            connection.sendall(data)

    def test_bytes_pass_and_those_held_up_come_later(self):
        self.caller.sendall(b"one")
        self.assertEqual(self.caller.recv(10), b"one")
        self.proxy.set("silent")
        self.caller.sendall(b"two")
        self.caller.settimeout(0.3)
        with self.assertRaises(TimeoutError):
            self.caller.recv(10)
        self.proxy.set("pass")
        self.caller.settimeout(5)
        self.assertEqual(self.caller.recv(10), b"two")

    def test_open_connections_are_reset(self):
        self.caller.sendall(b"one")
        self.caller.recv(10)
        self.proxy.set("reset")
        time.sleep(0.1)
        try:
            self.assertEqual(self.caller.recv(10), b"")
        except ConnectionResetError:
            pass


class SeededRun(unittest.TestCase):
    def test_a_short_run_keeps_every_promise(self):
        broken, folder = soak.run_seed(seed=1, seconds=6, nodes=3, replicas=3, callers=6)
        self.assertEqual(broken, [], f"logs in {folder}")
        shutil.rmtree(folder)

    def test_seeds_that_ever_failed_and_some_more_keep_every_promise(self):
        for seed in [*soak.regressions(), 2, 3, 4]:
            broken, folder = soak.run_seed(seed, seconds=10, nodes=4, replicas=4, callers=8)
            self.assertEqual(broken, [], f"seed {seed}, logs in {folder}")
            shutil.rmtree(folder)

    def test_runs_in_which_replicas_state_leaving_and_rest_keep_every_promise(self):
        for seed in (8, 9):
            broken, folder = soak.run_seed(seed, seconds=10, nodes=4, replicas=5, callers=8, statements=True)
            self.assertEqual(broken, [], f"seed {seed}, logs in {folder}")
            shutil.rmtree(folder)

    def test_runs_with_odd_answers_and_held_duty_calls_keep_every_promise(self):
        for seed in (10, 11):
            broken, folder = soak.run_seed(seed, seconds=10, nodes=4, replicas=5, callers=8, odd_answers=True)
            self.assertEqual(broken, [], f"seed {seed}, logs in {folder}")
            shutil.rmtree(folder)

    def test_runs_in_which_nodes_start_again_among_entries_of_others_keep_every_promise(self):
        for seed in (12, 13):
            broken, folder = soak.run_seed(seed, seconds=10, nodes=4, replicas=5, callers=8, restarts=True)
            self.assertEqual(broken, [], f"seed {seed}, logs in {folder}")
            shutil.rmtree(folder)

    def test_runs_in_which_vms_are_suspended_keep_every_promise(self):
        for seed in (5, 6):
            broken, folder = soak.run_seed(seed, seconds=10, nodes=4, replicas=4, callers=8, suspensions=True)
            self.assertEqual(broken, [], f"seed {seed}, logs in {folder}")
            shutil.rmtree(folder)


if __name__ == "__main__":
    unittest.main()
