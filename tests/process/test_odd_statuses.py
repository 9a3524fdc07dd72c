"""Tests that a replica's answer without a status of HTTP is no answer, with a real router process.

Guards against a caller that got status 000 or 999 as an answer, and one that waited for its deadline after 000."""
import time
import unittest

from harness import wait_until
from platform_deployment import Platform

ODD_LINES = ("HTTP/1.1 000 Zero", "HTTP/1.1 000", "HTTP/1.1 001 A", "HTTP/1.1 099 A", "HTTP/1.1 101 Switching Protocols",
             "HTTP/1.1 600 A", "HTTP/1.1 999 A", "HTTP/1.1 20 A", "HTTP/1.1 +20 A", "HTTP/1.1 0x0 A", "ICY 200 OK", "HTTP/2 200 OK")

AT_ONCE = 1.0
"""Seconds in which a node leaves what can't become an answer. The deadline is 5 s, and the replica stays connected for 3 s."""


ATTEMPTS = 4
"""More than a request is sent to one replica."""


class OddStatuses(unittest.TestCase):
    def start(self):
        """Starts anew, as replicas that have failed get no requests for some time."""
        platform = Platform(replicas=2).__enter__()
        self.addCleanup(platform.__exit__)
        wait_until(platform.first.is_ready, "the node is ready")
        return platform

    @staticmethod
    def play(platform, line, path, replicas):
        """@returns the answer, and how many seconds it took, as the next requests to each of the replicas get an odd line."""
        for replica in platform.replicas:
            replica.behave = [f"line-{line}"] * ATTEMPTS if replica in replicas else []
        began = time.monotonic()
        answer = platform.first.call("POST", path, body="prompt", id=f"odd-{path[1:5]}")
        return answer, time.monotonic() - began

    def test_an_odd_status_is_tried_again_at_once_where_that_is_allowed(self):
        for line in ODD_LINES:
            with self.subTest(line):
                platform = self.start()
                # Whichever of the two gets the request first; the other serves it.
                for odd in platform.replicas:
                    answer, seconds = self.play(platform, line, "/again/x", [odd])
                    self.assertEqual((answer.status, answer.headers.get("x-response-signature", "")[:9]), (200, "signed-by"))
                    self.assertLess(seconds, AT_ONCE)
                platform.__exit__()

    def test_an_odd_status_of_all_replicas_is_refused_at_once(self):
        for line in ODD_LINES:
            platform = self.start()
            for path in ("/once/x", "/stream/x", "/resumed-stream/x", "/again/x"):
                with self.subTest(f"{line} {path}"):
                    answer, seconds = self.play(platform, line, path, platform.replicas)
                    # A replica that has failed may be left out, so that none is there.
                    has_run = f"odd-{path[1:5]}" in platform.runs()
                    self.assertEqual((answer.status, answer.json()["ran"]), (502, "unknown") if has_run else (503, "no"))
                    self.assertLess(seconds, AT_ONCE)
            self.assertIn("odd-once", platform.runs())
            platform.__exit__()


if __name__ == "__main__":
    unittest.main()
