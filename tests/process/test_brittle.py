"""Tests of replicas that fall over when they have to reject too many requests in a second, with real router processes."""
import collections
import itertools
import threading
import time
import unittest

from harness import free_ports
from platform_deployment import Platform
from platform_stand_in import Replica

NOTICE_TIME = 3.0
"""Seconds from when replicas say that they are brittle until they let fewer requests wait."""

FALL_TIME = 3.0
"""Seconds for which a replica that fell over is down."""


class BrittleReplica(Replica):
    """A replica that runs `slots` requests at a time and lets some wait. While it is brittle it says so, lets fewer wait after
    the notice time, and falls over when it has to reject more than `tolerated` requests in a second."""

    SLOTS, WORK_TIME, ROOM, BRITTLE_ROOM = 4, 0.1, 12, 1

    def __init__(self, port, name, tolerated):
        self.tolerated = tolerated
        self.brittle_since = None
        self.present = 0
        self.rejected = collections.deque()
        self.falls = 0
        self.down_until = 0.0
        self.served = []
        self.lock = threading.Lock()
        self.slots = threading.Semaphore(self.SLOTS)
        super().__init__(port, name)

    def entry(self, service, zone="a", **more):
        return super().entry(service, zone, **{"slots": self.SLOTS, **more})

    def headers(self, call):
        load = f"{min(self.present, self.SLOTS)},{max(self.present - self.SLOTS, 0)},{self.SLOTS}"
        headers = {**super().headers(call), "X-Server-Load": load}
        return {**headers, "Server-Brittle": str(self.tolerated)} if self.brittle_since else headers

    def room(self, now):
        is_short = self.brittle_since and now - self.brittle_since >= NOTICE_TIME
        return self.SLOTS + (self.BRITTLE_ROOM if is_short else self.ROOM)

    def handle(self, call, body):
        now = time.monotonic()
        with self.lock:
            if now < self.down_until:
                call.close_connection = True
                return
            is_accepted = self.present < self.room(now)
            if is_accepted:
                self.present += 1
            else:
                self.note_rejection(now)
        if not is_accepted:
            call.answer(503, {}, {**self.headers(call), "X-Not-Executed": "1"})
            return
        try:
            with self.slots:
                time.sleep(self.WORK_TIME)
                super().handle(call, body)
                self.served.append(time.monotonic())
        finally:
            with self.lock:
                self.present -= 1

    def note_rejection(self, now):
        self.rejected.append(now)
        while self.rejected[0] < now - 1:
            self.rejected.popleft()
        if self.brittle_since and len(self.rejected) > self.tolerated:
            self.falls += 1
            self.down_until = now + FALL_TIME
            self.rejected.clear()


class BrittlePlatform(Platform):
    def __init__(self, nodes, replicas, tolerated):
        super().__init__(nodes=0, replicas=0)
        self.replicas = [BrittleReplica(port, f"i-{number}", tolerated) for number, port in enumerate(free_ports(replicas))]
        for replica in self.replicas:
            self.store.put(f"servers/{replica.name}", replica.entry("svc"))
        for number in range(nodes):
            self.add_node(f"front-{number}")


class BrittleReplicas(unittest.TestCase):
    def test_brittle_replicas_that_get_twice_what_they_bear_seldom_fall_over(self):
        nodes, replicas, tolerated, lanes = 3, 3, 5, 26
        with BrittlePlatform(nodes, replicas, tolerated) as platform:
            is_open = [True]

            def send(node, lane):
                for count in itertools.count():
                    if not is_open[0]:
                        return
                    try:
                        if node.call("GET", "/again/x", {"X-Deadline-Ms": "2000"}, id=f"{node.name}-{lane}-{count}").status != 200:
                            time.sleep(0.1)
                    except OSError:
                        time.sleep(0.1)

            threads = [threading.Thread(target=send, args=(node, lane), daemon=True) for node in platform.nodes for lane in range(lanes)]
            for thread in threads:
                thread.start()
            time.sleep(4)
            began = time.monotonic()
            for replica in platform.replicas:
                replica.brittle_since = began
            time.sleep(NOTICE_TIME + 8)
            is_open[0] = False
            for thread in threads:
                thread.join(10)
            served = [at for replica in platform.replicas for at in replica.served]
            before = sum(began - 2 <= at < began for at in served) / 2
            after = sum(began + NOTICE_TIME <= at < began + NOTICE_TIME + 8 for at in served) / 8
            falls = sum(replica.falls for replica in platform.replicas)
        self.assertLessEqual(falls, 2 + 0.1 * replicas, f"falls; {before} answers a second before, {after} then")
        self.assertGreaterEqual(after, 0.9 * before)


if __name__ == "__main__":
    unittest.main()
