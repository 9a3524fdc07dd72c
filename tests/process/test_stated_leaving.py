"""Tests that replicas which say in their answers that they leave get no more requests, with real router processes."""
import collections
import itertools
import threading
import time
import unittest

from harness import wait_until
from paths import PathPlatform
from platform_deployment import Platform

BOUND = 2.0
"""Seconds after a node passed on an answer that says so, from which on no request that a caller sends then may reach the replica."""

KINDS = ("/again/x", "/once/x", "/stream/x", "/resumed-stream/x")


class Callers:
    """Sends requests to all nodes, each kind to each node from a thread of its own. A request's id begins with its node's number."""

    def __init__(self, platform, kinds):
        self.platform, self.open = platform, True
        self.sent, self.results, self.told = {}, [], {}
        self.threads = [threading.Thread(target=self.send, args=(number, place, path), daemon=True)
                        for number in range(len(platform.nodes)) for place, path in enumerate(kinds)]

    def send(self, number, place, path):
        for count in itertools.count():
            if not self.open:
                return
            request = f"{number}-{place}-{count}"
            self.sent[request] = time.monotonic()
            headers = {"X-Model": "m", "X-Token-Count": "1000,1", "X-Prompt-Prefix": f"{count % 97:x}:1000"}
            try:
                answer = self.platform.nodes[number].call("POST", path, headers, f"{count}", id=request)
                status = answer.status
                name = answer.headers.get("x-response-signature", "").removeprefix("signed-by-")
                if answer.headers.get("server-leaving") == "1":
                    self.told.setdefault((number, name), time.monotonic())
            except Exception:  # pylint: disable=broad-except  (whatever it is, the caller was not served)
                status, answer = 0, None
            self.results.append((self.sent[request], status, answer))
            time.sleep(0.02)

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.open = False
        for thread in self.threads:
            thread.join(10)


class StatedLeaving(unittest.TestCase):
    def late(self, platform, callers):
        """Returns the requests that reached a replica later than allowed, by replica."""
        late = collections.Counter()
        for replica in platform.replicas:
            for _, request in list(replica.arrivals):
                told = callers.told.get((int(request.split("-")[0]), replica.name))
                if told is not None and callers.sent[request] > told + BOUND:
                    late[replica.name] += 1
        return late

    def play(self, platform, leave, kinds=("/again/x",), seconds=8.0):
        """Returns the callers, after `leave` has let replicas leave."""
        with Callers(platform, kinds) as callers:
            time.sleep(1)
            callers.began = time.monotonic()
            leave()
            time.sleep(max(0.0, callers.began + seconds - time.monotonic()))
            callers.ended = time.monotonic()
        self.assertTrue(callers.told, "answers that say that their replica leaves were passed on")
        self.assertEqual(self.late(platform, callers), {}, "requests later than allowed, by replica")
        return callers

    def assert_served(self, callers, least=0.98):
        tries = [(status, answer) for began, status, answer in callers.results if began >= callers.began]
        others = collections.Counter((status, answer and answer.body[:200]) for status, answer in tries if status != 200)
        self.assertGreaterEqual(1 - others.total() / len(tries), least, others)

    def leave(self, replicas, pause=0.0):
        for replica in replicas:
            replica.leaving = "1"
            time.sleep(pause)

    def test_a_replica_that_says_that_it_leaves_gets_no_more_requests_while_the_store_says_nothing(self):
        with Platform(nodes=5, replicas=10) as platform:
            self.assert_served(self.play(platform, lambda: self.leave(platform.replicas[:4])))

    def test_a_replica_that_says_that_it_leaves_gets_no_more_requests_while_the_store_lists_it_as_ready(self):
        with Platform(nodes=5, replicas=10) as platform:
            def leave():
                self.leave(platform.replicas[:4])
                for number in range(14):
                    for replica in platform.replicas[:4]:
                        platform.store.put(f"servers/{replica.name}", replica.entry("svc", sequence=number + 2, slots=8 + number % 2))
                    time.sleep(0.5)
            self.assert_served(self.play(platform, leave))

    def test_what_a_replica_said_outlives_a_lapse_of_its_entry(self):
        with Platform(nodes=5, replicas=10) as platform:
            def leave():
                self.leave(platform.replicas[:4])
                for number in range(4):
                    time.sleep(0.8)
                    for replica in platform.replicas[:4]:
                        platform.store.remove(f"servers/{replica.name}")
                    time.sleep(0.8)
                    for replica in platform.replicas[:4]:
                        platform.store.put(f"servers/{replica.name}", replica.entry("svc", sequence=number + 2))
            self.assert_served(self.play(platform, leave))

    def test_what_a_replica_said_outlives_watches_that_hang_and_a_compaction(self):
        with Platform(nodes=5, replicas=10) as platform:
            def leave():
                platform.store.hang_watches = True
                self.leave(platform.replicas[:4])
                time.sleep(1.5)
                platform.store.hang_watches = False
                platform.store.compacted = platform.store.revision
                for replica in platform.replicas:
                    platform.store.put(f"servers/{replica.name}", replica.entry("svc", sequence=2))
            self.assert_served(self.play(platform, leave))

    def test_streams_and_calls_that_may_not_repeat_go_to_no_replica_that_said_that_it_leaves(self):
        with Platform(nodes=5, replicas=10) as platform:
            self.assert_served(self.play(platform, lambda: self.leave(platform.replicas[:4]), kinds=KINDS[1:]))

    def test_a_replica_that_says_so_while_it_rejects_requests_gets_no_more(self):
        with Platform(nodes=5, replicas=10) as platform:
            def leave():
                for replica in platform.replicas[:4]:
                    replica.rejects = True
                self.leave(platform.replicas[:4])
            with Callers(platform, ("/again/x",)) as callers:
                time.sleep(1)
                callers.began = time.monotonic()
                leave()
                time.sleep(6)
            for replica in platform.replicas[:4]:
                first = {}
                for at, request, _ in replica.rejected:
                    first.setdefault(request.split("-")[0], at)
                late = [request for at, request, _ in replica.rejected if at > first[request.split("-")[0]] + 0.05 + BOUND]
                self.assertEqual(late, [])
            self.assert_served(callers)

    def test_other_nodes_learn_within_a_second_what_a_replica_said_to_one(self):
        with Platform(nodes=5, replicas=6) as platform:
            with Callers(platform, ("/again/x",)) as callers:
                time.sleep(1)
                told = max(platform.replicas, key=lambda replica: len(replica.arrivals))
                told.leaving = "1"
                wait_until(lambda: callers.told, "a node was told")
                first = time.monotonic()
                time.sleep(4)
            late = [request for _, request in told.arrivals if callers.sent[request] > first + 1.0]
            self.assertEqual(late, [])

    def test_all_replicas_leave_and_callers_are_refused_at_once_with_a_time(self):
        with Platform(nodes=5, replicas=4) as platform:
            callers = self.play(platform, lambda: self.leave(platform.replicas, 0.4))
            refused = [answer for began, status, answer in callers.results if status != 200 and began > callers.ended - 3]
            self.assertTrue(refused)
            for answer in refused:
                self.assertEqual((answer.status, answer.json()["ran"]), (503, "no"))
                self.assertGreaterEqual(float(answer.headers["retry-after"]), 0.5)

    def test_a_replica_that_starts_later_at_the_address_is_used(self):
        with Platform(nodes=3, replicas=3) as platform:
            old = platform.replicas[0]

            def leave():
                self.leave([old])
                time.sleep(2)
                platform.store.remove(f"servers/{old.name}")
                old.name, old.leaving = "i-new", None
                platform.store.put(f"servers/{old.name}", old.entry("svc"))
            callers = self.play(platform, leave)
            new = [request for at, request in old.arrivals if at > callers.began + 2.5]
            self.assertGreater(len(new), 20)

    def test_a_node_that_is_cut_off_sends_none_through_others(self):
        with PathPlatform(5, 8) as platform:
            def leave():
                platform.cut(0, "refused", "reset")
                time.sleep(1)
                self.leave(platform.replicas[:3])
            self.assert_served(self.play(platform, leave, kinds=("/again/x", "/resumed-stream/x")), 0.95)

    def test_a_statement_that_can_not_be_read_changes_nothing(self):
        with Platform(nodes=1, replicas=1) as platform:
            for text in ("", "0", "2", "true", "1, 1", "1" * 5000):
                platform.replicas[0].leaving = text
                self.assertEqual(platform.first.call("GET", "/again/x", id=f"r-{len(text)}").status, 200)
            wait_until(lambda: "leaving_unreadable" in platform.first.log.read_text(), "it is logged")
            self.assertLess(max(len(line) for line in platform.first.log.read_text().splitlines()), 1000)
            self.assertEqual(platform.first.call("GET", "/again/x", id="r-last").status, 200)


if __name__ == "__main__":
    unittest.main()
