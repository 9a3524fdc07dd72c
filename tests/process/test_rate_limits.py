"""Tests that replicas which state how many requests a second they take get no more, with real router processes."""
import itertools
import threading
import time
import unittest

from harness import wait_until
from platform_deployment import Platform

CONTACT_TIME = 3.0
"""Seconds after the first answer that states a limit, from which on it binds."""

WINDOW = 4.0
"""Seconds in which the requests are counted."""


def allowed(limit):
    return 1.5 * limit * WINDOW + 5


def most_in_window(times):
    """Returns the largest number of requests in one window."""
    times = sorted(times)
    return max((sum(begin <= time < begin + WINDOW for time in times) for begin in times), default=0)


class Callers:
    """Sends requests to all nodes, each node from two threads, while it is open."""

    def __init__(self, nodes, pause=0.02):
        self.open, self.pause = True, pause
        self.answers = []
        self.threads = [threading.Thread(target=self.send, args=(node, number), daemon=True)
                        for node in nodes for number in range(2)]

    def send(self, node, thread):
        for number in itertools.count():
            if not self.open:
                return
            prompt = {"X-Model": "m", "X-Token-Count": "1000,1", "X-Prompt-Prefix": f"{number % 97:x}:1000"}
            answer = node.call("GET", "/again/x", prompt, id=f"{node.name}-{thread}-{number}")
            self.answers.append((time.monotonic(), answer))
            time.sleep(self.pause)

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.open = False
        for thread in self.threads:
            thread.join(10)


class RateLimits(unittest.TestCase):
    def play(self, platform, limits, seconds=16):
        """States limits, and returns the callers and the times of the requests at each replica from when its limit binds."""
        with Callers(platform.nodes) as callers:
            time.sleep(1)
            began = time.monotonic()
            for replica, limit in zip(platform.replicas, limits):
                replica.rate_limit = limit
            time.sleep(seconds)
        from_start = [[at for at in replica.run_times if at > began + CONTACT_TIME] for replica in platform.replicas]
        return callers, from_start, seconds - CONTACT_TIME

    def assert_kept(self, times, limit):
        self.assertLessEqual(most_in_window(times), allowed(limit), f"requests in {WINDOW} s at a limit of {limit} a second")

    def test_a_replica_gets_no_more_requests_than_its_stated_limit_allows_and_most_of_those(self):
        for nodes, limits in ((1, (1.0, 8.0)), (3, (0.5, 1.0, 10.0))):
            with self.subTest(nodes=nodes), Platform(nodes=nodes, replicas=4) as platform:
                callers, times, seconds = self.play(platform, limits)
                for arrived, limit in zip(times, limits):
                    self.assert_kept(arrived, limit)
                    self.assertGreaterEqual(len(arrived), (0.8 if limit >= 5 else 0.5) * limit * seconds - 1,
                                            f"requests in {seconds} s at a limit of {limit} a second")
                self.assertTrue(all(answer.status == 200 for _, answer in callers.answers), "the others are served elsewhere")

    def test_requests_beyond_the_limits_of_all_replicas_are_refused_at_once_and_told_when_to_return(self):
        with Platform(nodes=2, replicas=2) as platform:
            callers, times, seconds = self.play(platform, (1.0, 1.0))
            for arrived in times:
                self.assert_kept(arrived, 1.0)
            refused = [answer for _, answer in callers.answers if answer.status != 200]
            self.assertTrue(refused)
            for answer in refused:
                self.assertEqual((answer.status, answer.json()["ran"]), (503, "no"))
                self.assertGreater(float(answer.headers["retry-after"]), 0)

    def test_a_limit_that_can_not_be_read_changes_nothing_and_the_answer_is_relayed(self):
        with Platform(nodes=1, replicas=1) as platform:
            for limit in ("", "-1", "nan", "inf", "1e400", "x", "1,2", "9" * 5000):
                platform.replicas[0].rate_limit = limit
                self.assertEqual(platform.first.call("GET", "/again/x", id=f"r-{len(limit)}").status, 200)
            wait_until(lambda: "rate_limit_unreadable" in platform.first.log.read_text(), "it is logged")
            self.assertLess(max(len(line) for line in platform.first.log.read_text().splitlines()), 1000)

    def test_a_limit_ends_with_the_first_answer_that_states_none(self):
        with Platform(nodes=2, replicas=2) as platform:
            self.play(platform, (1.0, 1.0), seconds=4)
            for replica in platform.replicas:
                replica.rate_limit = None
            with Callers(platform.nodes):
                time.sleep(5)
                begin = time.monotonic()
                time.sleep(2)
            arrived = sum(at > begin for replica in platform.replicas for at in replica.run_times)
            self.assertGreater(arrived, 40)


if __name__ == "__main__":
    unittest.main()
