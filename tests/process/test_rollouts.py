"""Tests of roll-outs: operators order that a service moves to another version of its software.

Guards against routing that ignores the versions of replicas and the operators' orders. Replicas of a new version then got their
share of all requests as soon as they were listed, and a bad version kept serving callers until the operators removed it.
"""
import json
import threading
import time
import unittest

from harness import free_ports, wait_until
from platform_deployment import Platform
from platform_stand_in import Replica

SETTINGS = "contracts=base,rollout\nbounds.exposure_share=0.1\n"
EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50
# Seconds.
ROLLBACK_TIME = 5.0


class VersionedReplica(Replica):
    """A replica of a version that fails some of its requests."""

    def __init__(self, port, name, is_bad):
        self.is_bad = is_bad
        self.bad = []
        super().__init__(port, name)

    def handle(self, call, body):
        if self.is_bad(call.path):
            self.behave = ["fail"]
            self.bad.append(time.monotonic())
        super().handle(call, body)


class Rollouts(unittest.TestCase):
    def deployment(self, nodes=3, is_bad=lambda path: False):
        self.platform = Platform(nodes=nodes, replicas=3, settings=SETTINGS)
        self.addCleanup(self.platform.__exit__)
        for node in self.platform.nodes:
            wait_until(node.is_ready, "the node is ready")
        wait_until(lambda: any("duties_taken" in node.log.read_text() for node in self.platform.nodes), "the duties are taken")
        self.new = [VersionedReplica(port, f"new-{number}", is_bad) for number, port in enumerate(free_ports(3))]
        for replica in self.new:
            self.addCleanup(replica.server.server_close)
            self.addCleanup(replica.server.shutdown)
        self.stopping = threading.Event()
        self.statuses = []
        self.callers = [threading.Thread(target=self.call, args=(number,), daemon=True) for number in range(8)]
        for caller in self.callers:
            caller.start()
        self.addCleanup(self.stop)

    def call(self, caller):
        number = 0
        while not self.stopping.is_set():
            number += 1
            alive = [node for node in self.platform.nodes if node.process.poll() is None]
            node = alive[number % len(alive)]
            path = "/again/one" if number % 2 else "/again/two"
            try:
                self.statuses.append(node.call("GET", path, id=f"{caller}-{number}").status)
            except OSError:
                self.statuses.append(0)
            time.sleep(0.01)

    def stop(self):
        self.stopping.set()
        for caller in self.callers:
            caller.join(10)

    def order(self, version="v2", period=10):
        self.platform.store.put("op/rollout/svc", {"service": "svc", "target_version": version, "period_s": period})
        # The replicas of the new version start beside the old ones.
        time.sleep(0.5)
        for replica in self.new:
            self.platform.store.put(f"servers/{replica.name}", replica.entry("svc", version=version))

    def status(self):
        text = self.platform.store.value("status/rollout/svc")
        return json.loads(text) if text else {}

    def wait_for(self, state, seconds):
        began = time.monotonic()
        wait_until(lambda: self.status().get("state") == state, f"the roll-out is {state}")
        self.assertLess(time.monotonic() - began, seconds)

    def runs(self):
        """Number of requests that the new version ran, and of all requests."""
        new = sum(len(replica.runs) for replica in self.new)
        return new, new + len(self.platform.runs())

    def assert_rolled_back(self):
        self.wait_for("rolled_back", 20)
        new, everything = self.runs()
        self.assertLessEqual(new, EXPOSURE_SHARE * everything + EXPOSURE_SLACK)
        bad = sorted(moment for replica in self.new for moment in replica.bad)
        self.assertLess(bad[-1] - bad[min(len(bad), 50) - 1], ROLLBACK_TIME)
        time.sleep(1)
        before, _ = self.runs()
        time.sleep(2)
        self.assertEqual(self.runs()[0], before)
        self.assertEqual(self.status(), {"state": "rolled_back", "target_version": "v2"})
        self.stop()
        # Requests that failed on the new version were run again by the old one.
        self.assertEqual(set(self.statuses), {200})

    def test_a_bad_version_is_rolled_back_with_few_requests_spent_on_it(self):
        self.deployment(is_bad=lambda path: True)
        self.order()
        self.assert_rolled_back()

    def test_a_version_that_is_bad_on_one_route_is_rolled_back(self):
        self.deployment(is_bad=lambda path: path == "/again/two")
        self.order()
        self.assert_rolled_back()

    def test_a_good_version_is_completed_by_its_deadline(self):
        self.deployment()
        began = time.monotonic()
        self.order()
        self.wait_for("active", 2)
        time.sleep(max(0, began + 4 - time.monotonic()))
        new, everything = self.runs()
        self.assertLessEqual(new, EXPOSURE_SHARE * everything + EXPOSURE_SLACK)
        self.assertGreater(new, 0)
        self.wait_for("completed", 10)
        self.assertLess(time.monotonic() - began, 10)
        time.sleep(0.5)
        before = len(self.platform.runs())
        time.sleep(1)
        self.assertEqual(len(self.platform.runs()), before)
        self.stop()
        self.assertEqual(set(self.statuses), {200})

    def test_a_successor_of_the_duties_holder_rolls_back(self):
        self.deployment(is_bad=lambda path: True)
        holder = next(node for node in self.platform.nodes if "duties_taken" in node.log.read_text())
        self.order()
        holder.process.kill()
        self.wait_for("rolled_back", 20)
        new, everything = self.runs()
        self.assertLessEqual(new, EXPOSURE_SHARE * everything + EXPOSURE_SLACK)

    def test_a_version_that_is_in_service_already_is_completed(self):
        self.deployment()
        self.platform.store.put("op/rollout/svc", {"service": "svc", "target_version": "v1", "period_s": 10})
        self.wait_for("completed", 10)
        self.stop()
        self.assertEqual(set(self.statuses), {200})


if __name__ == "__main__":
    unittest.main()
