"""Tests that replicas which reject a request and ask for rest get it, with real router processes."""
import collections
import itertools
import threading
import time
import unittest

from harness import wait_until
from paths import PathPlatform
from platform_deployment import Platform

ALLOWED = 2
"""Requests of a node that may reach a replica between half a second after it asked the node for rest and the end of the rest."""

BEGIN = 0.5


class Callers:
    """Sends requests to some nodes, each kind to each node from a thread of its own. A request's id begins with its node's number."""

    def __init__(self, platform, kinds=("/again/x",), nodes=None, pause=0.01):
        self.platform, self.open, self.pause = platform, True, pause
        self.results = []
        numbers = range(len(platform.nodes)) if nodes is None else nodes
        self.threads = [threading.Thread(target=self.send, args=(number, place, path), daemon=True)
                        for number in numbers for place, path in enumerate(kinds)]

    def send(self, number, place, path):
        for count in itertools.count():
            if not self.open:
                return
            headers = {"X-Model": "m", "X-Token-Count": "1000,1", "X-Prompt-Prefix": f"{count % 97:x}:1000"}
            began = time.monotonic()
            try:
                answer = self.platform.nodes[number].call("POST", path, headers, f"{count}", id=f"{number}-{place}-{count}")
            except Exception:  # pylint: disable=broad-except  (whatever it is, the caller was not served)
                answer = None
            self.results.append((began, time.monotonic(), answer))
            time.sleep(self.pause)

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.open = False
        for thread in self.threads:
            thread.join(10)

    def served(self, since, until):
        answers = [answer for began, _, answer in self.results if since <= began < until]
        return sum(answer is not None and answer.status == 200 for answer in answers) / len(answers)


class Rest(unittest.TestCase):
    def excess(self, platform):
        """Returns how many requests of a node reached a replica within a rest, where these are more than allowed."""
        excess = {}
        for replica in platform.replicas:
            rests = collections.defaultdict(list)
            for at, request, rest in list(replica.rejected):
                if rest is not None:
                    rests[request.split("-")[0]].append((at, at + float(rest)))
            for node, asked in rests.items():
                times = [at for at, request in list(replica.arrivals) if request.split("-")[0] == node]
                most = max(sum(begin + BEGIN < at < end for at in times) for begin, end in asked)
                if most > ALLOWED:
                    excess[replica.name, node] = most
        return excess

    def play(self, platform, resting, rest=3, rejects_for=0.3, seconds=None, **more):
        """Lets those of the replicas that get most requests reject for some time and ask for rest, and checks that they get it.

        `resting`: how many"""
        with Callers(platform, **more) as callers:
            time.sleep(1)
            resting = sorted(platform.replicas, key=lambda replica: -len(replica.arrivals))[:resting]
            callers.began, callers.resting = time.monotonic(), resting
            for replica in resting:
                replica.rest, replica.rejects = rest, True
            time.sleep(rejects_for)
            for replica in resting:
                replica.rejects = False
            time.sleep((seconds or rest + 1.5) - rejects_for)
            callers.ended = time.monotonic()
        self.assertTrue(any(replica.rejected for replica in resting), "replicas asked for rest")
        self.assertEqual(self.excess(platform), {}, "most requests of a node in a rest, by replica and node")
        return callers

    def check_served(self, callers, least=0.98):
        self.assertGreaterEqual(callers.served(callers.began, callers.ended), least)

    def test_a_replica_that_asks_for_rest_gets_it(self):
        with Platform(nodes=5, replicas=6) as platform:
            self.check_served(self.play(platform, 1))

    def test_a_rest_of_fractions_of_seconds(self):
        with Platform(nodes=5, replicas=6) as platform:
            self.check_served(self.play(platform, 1, rest=1.7))

    def test_three_of_six_replicas_ask_for_rest(self):
        with Platform(nodes=5, replicas=6) as platform:
            self.check_served(self.play(platform, 3))

    def test_streams_and_calls_that_may_not_repeat(self):
        with Platform(nodes=5, replicas=6) as platform:
            self.check_served(self.play(platform, 2, kinds=("/once/x", "/stream/x", "/resumed-stream/x")))

    def test_only_two_nodes_are_asked(self):
        with Platform(nodes=5, replicas=6) as platform:
            self.check_served(self.play(platform, 1, nodes=(0, 1)))

    def test_a_long_rest(self):
        with Platform(nodes=5, replicas=6) as platform:
            self.check_served(self.play(platform, 1, rest=8, seconds=8))

    def test_a_replica_that_rejects_on_end_gets_one_request_a_rest(self):
        with Platform(nodes=5, replicas=6) as platform:
            callers = self.play(platform, 1, rest=1, rejects_for=6, seconds=7)
            self.check_served(callers)
            rejected = [(at, request.split("-")[0]) for at, request, _ in callers.resting[0].rejected]
            # Those before were on their way when the first answer came.
            later = collections.Counter(node for at, node in rejected if at > rejected[0][0] + 0.9)
            self.assertLessEqual(max(later.values()), 6, "rejections of a node in six rests of a second")

    def test_all_replicas_rest_and_callers_are_told_when_the_first_rest_ends(self):
        with Platform(nodes=5, replicas=6) as platform:
            callers = self.play(platform, 6, rest=3)
            refused = [(began, took, answer) for began, took, answer in callers.results
                       if answer is not None and answer.status != 200 and callers.began + 0.5 < began < callers.began + 2.5]
            self.assertTrue(refused)
            for began, ended, answer in refused:
                self.assertEqual((answer.status, answer.json()["ran"]), (503, "no"))
                self.assertLess(ended - began, 0.4, "refused at once")
                left = callers.began + 3 - ended
                self.assertGreaterEqual(float(answer.headers["retry-after"]), left - 0.6)
                self.assertLessEqual(float(answer.headers["retry-after"]), left + 1.5)

    def test_a_rest_is_kept_when_the_entry_lapses_and_comes_back(self):
        with Platform(nodes=3, replicas=4) as platform:
            def lapse():
                time.sleep(2.4)
                replica = next(replica for replica in platform.replicas if replica.rejected)
                platform.store.remove(f"servers/{replica.name}")
                time.sleep(0.8)
                platform.store.put(f"servers/{replica.name}", replica.entry("svc", sequence=2))
            threading.Thread(target=lapse, daemon=True).start()
            self.check_served(self.play(platform, 1, rest=4))

    def test_a_replica_is_used_again_after_its_rest_and_is_not_overrun(self):
        with Platform(nodes=5, replicas=6) as platform:
            replica = self.play(platform, 1, rest=2, seconds=5).resting[0]
            last = max(at for at, _, _ in replica.rejected)
            after = sorted(at for at, _ in replica.arrivals if at > last + 1.0)
            self.assertTrue(after, "it is used again")
            self.assertLessEqual(after[0], last + 2 + 1.0, "used again within a second")
            self.assertLessEqual(sum(at < after[0] + 0.1 for at in after), 8, "no more than its places in the first 0.1 s")

    def test_nodes_that_are_cut_off_keep_a_rest_and_so_do_those_that_connect_for_them(self):
        with PathPlatform(3, 6) as platform:
            platform.cut(0, "refused", "reset")
            time.sleep(1)
            callers = self.play(platform, 2, rest=3)
            self.check_served(callers, 0.95)
            # Connections of the cut node come from the others.
            times = collections.Counter()
            for replica in callers.resting:
                last = max((at for at, request, _ in replica.rejected if request.startswith("0-")), default=None)
                if last is not None:
                    times[replica.name] = sum(last + BEGIN < at < last + 3 and request.startswith("0-") for at, request in replica.arrivals)
            self.assertLessEqual(max(times.values(), default=0), ALLOWED)

    def test_a_rest_that_can_not_be_read_changes_nothing(self):
        with Platform(nodes=1, replicas=2) as platform:
            replica = platform.replicas[0]
            for text in ("", "-1", "nan", "inf", "1e3", "Fri, 04 Dec 2026 10:00:00 GMT", "9" * 5000):
                replica.rest, replica.rejects = text, True
                platform.replicas[1].rejects = True
                platform.first.call("GET", "/again/x", id=f"r-{len(text)}")
                replica.rejects = platform.replicas[1].rejects = False
                time.sleep(0.05)
            wait_until(lambda: "rest_unreadable" in platform.first.log.read_text(), "it is logged")
            self.assertLess(max(len(line) for line in platform.first.log.read_text().splitlines()), 1000)
            seen = len(replica.arrivals)
            for number in range(40):
                headers = {"X-Model": "m", "X-Token-Count": "1000,1", "X-Prompt-Prefix": f"{number:x}:1000"}
                platform.first.call("GET", "/again/x", headers, id=f"after-{number}")
            self.assertGreater(len(replica.arrivals), seen)


if __name__ == "__main__":
    unittest.main()
