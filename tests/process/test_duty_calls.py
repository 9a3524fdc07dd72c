"""Tests that no duty call reaches the platform after it has timed out, with real router processes."""
import os
import pathlib
import random
import signal
import sys
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "soak"))

from harness import wait_until  # noqa: E402  (the path above is needed by what it imports)
from links import HoldingLink  # noqa: E402
from platform_deployment import Node, Platform  # noqa: E402

LONGEST_AGE = 0.45 + 0.3
"""Seconds after which no byte of a duty call may arrive: its time-out, and the time that a link may take to be healed."""

SEEDS = range(int(os.environ.get("SNOWRUDDER_CUT_SEEDS", "4")))


class DutyCallsOnHeldLinks(unittest.TestCase):
    def setUp(self):
        self.platform = Platform(nodes=0)
        self.link = HoldingLink(self.platform.cloud_port)
        self.addCleanup(self.link.close)
        self.platform.cloud_port = self.link.port
        self.node = Node(self.platform, "front-0")
        self.platform.nodes.append(self.node)
        self.platform.__enter__()
        self.addCleanup(self.platform.__exit__)
        self.wait_for_call()

    def wait_for_call(self):
        known = len(self.platform.cloud.calls)
        wait_until(lambda: len(self.platform.cloud.calls) > known, "a duty call has arrived")

    def hold_a_call(self, draw):
        """Holds the link at a random moment before the next report of usage, and waits until a call is under way."""
        for _ in range(5):
            self.wait_for_call()
            time.sleep(draw.uniform(0.0, 0.5))
            self.link.hold()
            end = time.monotonic() + 3
            while not self.link.kept_bytes and time.monotonic() < end:
                time.sleep(0.02)
            if self.link.kept_bytes:
                return
            # The node had no connection open at that moment, and new ones get nowhere.
            self.link.release()
        self.fail("no call was held up")

    def check(self):
        self.link.late = []
        self.link.release()
        time.sleep(0.3)
        self.assertEqual([age for age in self.link.late if age > LONGEST_AGE], [])

    def test_a_call_that_has_timed_out_does_not_arrive_when_its_path_is_healed(self):
        """Guards against orders that the kernel delivers after another node has taken the duties over."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                draw = random.Random(seed)
                self.hold_a_call(draw)
                time.sleep(draw.uniform(0.3, 4.0))
                self.check()

    def test_a_call_of_a_killed_node_does_not_arrive_when_its_path_is_healed(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                draw = random.Random(seed)
                self.hold_a_call(draw)
                time.sleep(draw.uniform(0.0, 0.4))
                self.node.process.send_signal(draw.choice((signal.SIGKILL, signal.SIGTERM)))
                time.sleep(draw.uniform(1.0, 3.0))
                self.check()
                self.node.process.kill()
                self.node.process.wait()
                self.node.start()
                wait_until(self.node.is_ready, "the node is ready")

    def test_calls_of_a_healthy_node_share_a_connection(self):
        accepted, calls = self.link.accepted, len(self.platform.cloud.calls)
        wait_until(lambda: len(self.platform.cloud.calls) >= calls + 4, "four more calls have arrived")
        self.assertEqual(self.link.accepted, accepted)


if __name__ == "__main__":
    unittest.main()
