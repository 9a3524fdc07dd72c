"""Tests that nodes that are cut off from all replicas serve their callers all the same, with real router processes."""
import http.client
import itertools
import signal
import threading
import time
import unittest

from harness import wait_until
from paths import PathPlatform
from platform_deployment import configuration

CUT_TIME = 8.0
"""Seconds for which nodes are cut off."""

KINDS = ("/again/x", "/once/x", "/stream/x", "/resumed-stream/x")


class Callers:
    """Sends requests of all kinds to each node, each kind from a thread of its own. Every request is a first try."""

    def __init__(self, platform, kinds=KINDS):
        self.platform = platform
        self.open = True
        self.results = []
        self.threads = [threading.Thread(target=self.send, args=(number, place, path), daemon=True)
                        for number in range(len(platform.nodes)) for place, path in enumerate(kinds)]

    def send(self, number, place, path):
        node = self.platform.nodes[number]
        for count in itertools.count():
            if not self.open:
                return
            began = time.monotonic()
            try:
                answer = node.call("POST", path, {"X-Deadline-Ms": "3000"}, f"{count}", id=f"{number}-{path[1:3]}-{place}-{count}")
                whole = b"".join(b"id: %d\ndata: piece %d\n\n" % (event, event) for event in range(1, 7))
                served = answer.status == 200 and ("stream" not in path or answer.body == whole)
            except Exception:  # pylint: disable=broad-except  (whatever it is, the caller was not served)
                served = False
            self.results.append((began, number, path, served))
            time.sleep(0.03)

    def share(self, nodes, after, until):
        tries = [served for began, number, _, served in list(self.results) if number in nodes and after <= began < until]
        return sum(tries) / len(tries) if tries else None

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.open = False
        for thread in self.threads:
            thread.join(10)


class CutNodes(unittest.TestCase):
    def play(self, nodes, cut, new, kept, replicas=4):
        with PathPlatform(nodes, replicas) as platform, Callers(platform) as callers:
            time.sleep(1.5)
            began = time.monotonic()
            for node in cut:
                platform.cut(node, new, kept)
            time.sleep(CUT_TIME)
            healed = time.monotonic()
            for node in cut:
                platform.heal(node)
            time.sleep(6)
            ended = time.monotonic()
            callers.open = False
            others = [node for node in range(nodes) if node not in cut]
            logs = [node.log.read_text() for node in platform.nodes]
            figures = {"cut, 3 s on": callers.share(cut, began + 3, healed), "cut, 1 s on": callers.share(cut, began + 1, healed),
                       "others": callers.share(others, began, healed), "others, first 3 s": callers.share(others, began, began + 3),
                       "healed": callers.share(cut, healed + 5, ended)}
            runs = [run for run in platform.runs() if "-on-" in run]
            return figures, logs, runs

    def check(self, nodes, cut, new, kept, **more):
        figures, logs, runs = self.play(nodes, cut, new, kept, **more)
        self.assertGreaterEqual(figures["cut, 3 s on"], 0.95 * figures["others"], figures)
        self.assertGreaterEqual(figures["cut, 1 s on"], 2 / 3 * figures["others"], figures)
        self.assertGreaterEqual(min(figures["others"], figures["others, first 3 s"]), 0.99, figures)
        self.assertEqual(figures["healed"], 1.0, figures)
        self.assertEqual(len(runs), len(set(runs)), "a request that may not repeat ran twice")
        self.assertEqual([line for log in logs for line in log.splitlines() if " crash_evidence " in line], [])
        for number, log in enumerate(logs):
            lost, regained = log.count(" replica_paths_lost "), log.count(" replica_paths_regained ")
            self.assertEqual(lost, regained, f"node {number} still takes its paths for lost")
            self.assertEqual(lost > 0, number in cut, f"node {number}")

    def test_two_of_five_nodes_whose_new_and_open_connections_hang(self):
        self.check(5, [0, 1], "hang", "hang")

    def test_two_of_five_nodes_that_are_refused_and_whose_open_connections_are_reset(self):
        self.check(5, [0, 1], "refused", "reset")

    def test_two_of_five_nodes_that_are_refused_while_open_connections_live_on(self):
        self.check(5, [0, 1], "refused", "live")

    def test_two_of_five_nodes_whose_connections_are_accepted_and_reset(self):
        self.check(5, [0, 1], "reset", "reset")

    def test_two_of_five_nodes_whose_connections_are_accepted_and_reset_late(self):
        """Guards against probes of paths that took a connection kept open for 50 ms for a path that is open again."""
        self.check(5, [0, 1], "reset late", "reset")

    def test_all_but_one_of_five_nodes(self):
        self.check(5, [0, 1, 2, 3], "hang", "hang")

    def test_one_of_two_nodes(self):
        self.check(2, [0], "hang", "live")


class NodesThatShareAFault(unittest.TestCase):
    """Two of five nodes are cut off at the same moment, so that each is a witness of what the other sees."""

    ROUNDS = 8
    FIRST_SECONDS = 3.0

    def test_two_nodes_that_are_refused_prove_no_crash_to_the_others(self):
        """Guards against refusals that two cut nodes confirm to each other (`crash_evidence proof=connection_refused`):
        the other nodes then took live replicas out of use for 3 s, and served 0.003 of first tries."""
        others = [2, 3, 4]
        with PathPlatform(5, 2) as platform, Callers(platform, KINDS + 3 * ("/stream/x", "/resumed-stream/x")) as callers:
            for replica in platform.replicas:
                replica.event_pause = 0.1
                platform.list_replica(replica, "v1", slots=40)
            time.sleep(1.5)
            began = time.monotonic()
            time.sleep(self.FIRST_SECONDS)
            uncut = callers.share(others, began, began + self.FIRST_SECONDS)
            shares = []
            for _ in range(self.ROUNDS):
                began = time.monotonic()
                platform.cut_together([0, 1])
                time.sleep(self.FIRST_SECONDS)
                shares.append(callers.share(others, began, began + self.FIRST_SECONDS))
                for node in (0, 1):
                    platform.heal(node)
                time.sleep(1.5)
            callers.open = False
            proofs = [(number, line) for number, node in enumerate(platform.nodes)
                      for line in node.log.read_text().splitlines() if " crash_evidence " in line]
        self.assertGreaterEqual(min(shares), 0.95 * uncut, (shares, uncut, len(proofs)))
        self.assertEqual(len(proofs), 0, (shares, uncut, proofs[:3]))


class RequestsThroughOthers(unittest.TestCase):
    """One of two nodes is cut off."""

    def setUp(self):
        routes = configuration()
        self.platform = PathPlatform(2, 4, first=routes).__enter__()
        self.addCleanup(self.platform.__exit__)
        self.platform.cut(0, "refused", "reset")
        self.node = self.platform.nodes[0]
        wait_until(lambda: self.node.call("GET", "/again/x").status == 200 and
                   " replica_paths_lost " in self.node.log.read_text(), "the cut node serves")

    def test_a_caller_that_leaves_ends_the_run_within_half_a_second(self):
        for replica in self.platform.replicas:
            replica.events = 100
            replica.behave = ["slow"]
            replica.gone.clear()
        caller = self.node.open_stream()
        caller.recv(100)
        caller.close()
        left = time.monotonic()
        wait_until(lambda: any(replica.gone.is_set() for replica in self.platform.replicas), "the run has ended")
        # The replica notices it at its next event but one, and sends one each 0.3 s.
        self.assertLess(time.monotonic() - left, 0.5 + 0.6)

    def test_a_stream_that_a_replica_breaks_off_is_resumed(self):
        for replica in self.platform.replicas:
            replica.behave = behaviour = ["break"]
        for replica in self.platform.replicas:
            replica.behave = behaviour
        answer = self.node.call("POST", "/resumed-stream/x", body="")
        self.assertEqual((answer.status, behaviour), (200, []))
        self.assertEqual(answer.body, b"".join(b"id: %d\ndata: piece %d\n\n" % (event, event) for event in range(1, 7)))

    def test_a_broken_off_stream_is_not_complete(self):
        for how in ("break-unframed", "break"):
            for replica in self.platform.replicas:
                replica.behave = [how]
            with self.assertRaises(Exception):
                self.node.call("POST", "/stream/x", body="")

    def slow_stream(self, framing="slow-unframed"):
        """Starts a stream of 6 events, one each 0.3 s, and returns its outcome's list and its thread."""
        for replica in self.platform.replicas:
            replica.behave = [framing]
        outcome = []

        def read():
            try:
                answer = self.node.call("POST", "/stream/x", body="")
                outcome.append((answer.status, answer.body.count(b"id: ")))
            except (http.client.HTTPException, OSError) as error:
                outcome.append(type(error).__name__)

        thread = threading.Thread(target=read, daemon=True)
        thread.start()
        wait_until(lambda: any(not replica.behave for replica in self.platform.replicas), "the stream has begun")
        time.sleep(0.5)
        return outcome, thread

    def test_a_relayed_answer_that_ends_with_its_connection_is_whole(self):
        outcome, thread = self.slow_stream()
        thread.join(10)
        self.assertEqual(outcome, [(200, 6)])

    def test_a_relayed_answer_whose_relay_is_killed_is_not_complete(self):
        """Guards against the end of a relaying node that was taken for the end of an answer without a length."""
        for framing in ("slow-unframed", "slow"):
            outcome, thread = self.slow_stream(framing)
            self.platform.nodes[1].process.kill()
            thread.join(10)
            self.assertIn(outcome, [["IncompleteRead"], ["ConnectionResetError"]], framing)
            self.platform.nodes[1].process.wait()
            self.platform.nodes[1].start()
            wait_until(lambda: self.node.call("GET", "/again/x").status == 200, "the cut node serves again")

    def test_a_relayed_answer_whose_relay_is_frozen_and_killed_is_not_complete(self):
        outcome, thread = self.slow_stream()
        self.platform.nodes[1].process.send_signal(signal.SIGSTOP)
        time.sleep(0.5)
        self.platform.nodes[1].process.kill()
        thread.join(10)
        self.assertIn(outcome, [["IncompleteRead"], ["ConnectionResetError"]])

    def test_a_relayed_answer_whose_relay_is_stopped_is_whole_or_not_complete(self):
        outcome, thread = self.slow_stream()
        self.platform.nodes[1].process.terminate()
        thread.join(10)
        self.assertIn(outcome, [[(200, 6)], ["IncompleteRead"], ["ConnectionResetError"]])

    def test_a_node_without_the_secret_gets_no_connection(self):
        from harness import raw
        name, port = self.platform.replicas[0].name, self.platform.replicas[0].port
        asked = f"CONNECT {name}/127.0.0.1:{port}/1000 HTTP/1.1\r\nHost: x\r\nSnowrudder-Node: front-0;1;00\r\n\r\n"
        self.assertTrue(raw(self.platform.nodes[1].peers, asked.encode()).startswith(b"HTTP/1.1 401 "))

    def test_the_loss_of_the_node_that_relays_costs_only_what_it_relays(self):
        self.platform.nodes[1].process.kill()
        self.platform.nodes[1].process.wait()
        self.assertEqual(self.node.call("GET", "/again/x").status, 503)
        self.platform.nodes[1].start()
        wait_until(lambda: self.node.call("GET", "/again/x").status == 200, "the cut node serves again")


if __name__ == "__main__":
    unittest.main()
