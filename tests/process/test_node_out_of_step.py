"""Tests that no stream goes on at another software version at a node that is out of step with the others, while replicas of a
new version join, take the place of the others, or start again under their names."""
import concurrent.futures
import json
import os
import random
import re
import signal
import threading
import time
import unittest

from harness import BUILD, free_ports, wait_until
from platform_deployment import Node, Platform
from platform_stand_in import Door, Replica, Server
from test_versions import Try

SEEDS = int(os.environ.get("OUT_OF_STEP_SEEDS", "2"))
FIRST_SEED = int(os.environ.get("OUT_OF_STEP_FIRST_SEED", "0"))
# Seconds for which the node is out of step.
SHORTEST, LONGEST = 0.5, 10.0
# Seconds for which streams are begun before, and taken up after.
LEAD, TAIL, LONGEST_TAIL = 1.0, 3.0, 10.0
LANES = 8
STREAMS = 24
BREAK_TIME, BREAK_PAUSE = 0.2, 0.03
LONGEST_PROBE = 3.0
SETTLE_TIME = 2.5
# A try that takes as long may have ended with its caller's wait or its deadline.
SHORTEST_TIMEOUT = 4.5
# Events after which callers leave at once, leave, and don't leave before their stream breaks.
FIRST_EVENT, SOME_EVENTS, ALL_EVENTS = 1, 3, 400
RESTART_TIME = 0.1
DOOR_PAUSE = 0.01


class CutDoor(Door):
    """A path to the store that carries nothing while it is shut: calls, and answers of calls that are open, are lost. It can
    also reject calls."""

    rejects = False

    def handle(self, call, body):
        if self.shut and self.rejects:
            call.answer(503)
            return
        self.wait_while_cut(call)
        answer = call.answer

        def answer_if_open(*arguments, **more):
            self.wait_while_cut(call)
            if not call.close_connection:
                answer(*arguments, **more)

        call.answer = answer_if_open
        if not call.close_connection:
            self.store.handle(call, body)

    def wait_while_cut(self, call):
        while self.shut:
            call.close_connection = True
            time.sleep(DOOR_PAUSE)


class VersionedReplica(Replica):
    """A replica whose events state its version. While it is down, it breaks its connections off."""

    def __init__(self, port, name, version):
        super().__init__(port, name, events=ALL_EVENTS)
        self.event_pause = 0.02
        self.is_down = False
        self.version = version
        self.event_text = f"piece-{version}"

    def entry(self, service, zone="a", **more):
        return super().entry(service, zone, **{"slots": 64, **more})

    def handle(self, call, body):
        if self.is_down:
            call.close_connection = True
            Server.reset(call.connection)
        else:
            super().handle(call, body)

    def stop(self):
        self.is_down = True
        self.break_connections()


class OutOfStep(Platform):
    """Three nodes, the last of which can be cut off or stand still."""

    def __init__(self):
        super().__init__(nodes=0, replicas=0, expect_ready=False)
        self.expect_ready = True
        self.add_replicas("v1", "old")
        self.flag = self.folder / "datagrams-cut"
        self.flag.write_text("0")
        self.door = CutDoor(free_ports(1)[0], self.store)
        self.doors.append(self.door)
        for number in range(2):
            self.nodes.append(Node(self, f"front-{number}"))
        cutting = {"LD_PRELOAD": str(BUILD / "libcut_datagrams.so"), "TEST_DATAGRAMS_CUT": str(self.flag)}
        self.odd = Node(self, "front-2", self.door.server.server_port, environment=cutting)
        self.nodes.append(self.odd)
        self.first = self.nodes[0]

    def add_replicas(self, version, prefix):
        for number, port in enumerate(free_ports(3)):
            replica = VersionedReplica(port, f"{prefix}-{number}", version)
            self.replicas.append(replica)
            self.list_replica(replica, version)

    def settle(self):
        wait_until(lambda: all("members_changed" in node.log.read_text() for node in self.nodes), "the nodes know each other")
        time.sleep(SETTLE_TIME)

    def leave(self, manner):
        if manner == "stands still":
            self.odd.process.send_signal(signal.SIGSTOP)
            return
        self.door.shut = True
        if manner == "cut off":
            self.flag.write_text("1")

    def come_back(self, manner):
        if manner == "stands still":
            self.odd.process.send_signal(signal.SIGCONT)
        self.flag.write_text("0")
        self.door.shut = False

    def change(self, kind):
        """Lets the new version come, or take the place of the old one."""
        old = list(self.replicas)
        if kind != "restarts":
            self.add_replicas("v2", "new")
        if kind == "swaps":
            for replica in old:
                self.store.put(f"servers/{replica.name}", replica.entry("svc", version=replica.version, state="draining"))
        if kind == "restarts":
            for replica in old[:2]:
                replica.stop()
                time.sleep(RESTART_TIME)
                replica.event_text = "piece-v2"
                self.list_replica(replica, "v2")
                replica.is_down = False

    def break_streams(self, version):
        """Breaks off what replicas of a version are answering, as often as a node goes on by itself."""
        for replica in list(self.replicas):
            if replica.version == version:
                replica.break_connections()


def versions_in(*tries):
    return {version.decode() for made in tries for version in re.findall(rb"data: piece-(v\d+) ", made.received)}


def is_broken(made):
    """Returns whether the stream ended before its caller had all the events that it waited for."""
    return not made.has_ended() and made.seconds < SHORTEST_TIMEOUT and made.received.count(b"data: piece") < made.wanted


class NodeOutOfStep(unittest.TestCase):
    def play_long(self, seed, kind, manner):
        """Streams begin at all nodes all the time. Those of the two others are left by their callers after some events, or break
        with their replica, and are taken up at the odd one."""
        draws = random.Random(f"{seed} {kind} {manner}")
        length = draws.uniform(SHORTEST, draws.choice((3.0, LONGEST)))
        changes_after = draws.uniform(-0.5, min(length, 2.0))
        chains, over = [], threading.Event()
        with OutOfStep() as platform:
            platform.settle()

            def lane(lane):
                count = 0
                while not over.is_set():
                    count += 1
                    name = f"s-{lane}-{count}"
                    # One lane's streams run at the odd node, until their replica has ended.
                    if lane == 0:
                        chains.append([Try(platform.odd, name, events=60)])
                        continue
                    # Half of them until their replica breaks them off.
                    events = 3 if lane % 2 else 40
                    first = Try(platform.nodes[count % 2], name, events=events)
                    if first.has_events:
                        chains.append([first, Try(platform.odd, f"{name}-again", name, first.last)])
                    else:
                        time.sleep(0.05)

            def break_now_and_then():
                while not over.wait(0.3):
                    platform.break_streams("v2")

            with concurrent.futures.ThreadPoolExecutor(LANES + 1) as lanes:
                running = [lanes.submit(lane, number) for number in range(LANES)]
                running.append(lanes.submit(break_now_and_then))
                time.sleep(LEAD)
                if changes_after < 0:
                    platform.change(kind)
                    time.sleep(-changes_after)
                platform.leave(manner)
                left = time.monotonic()
                if changes_after >= 0:
                    time.sleep(changes_after)
                    platform.change(kind)
                time.sleep(max(0.0, left + length - time.monotonic()))
                platform.come_back(manner)
                time.sleep(TAIL)
                # Beside load the new version's first streams come late.
                end = time.monotonic() + LONGEST_TAIL
                while time.monotonic() < end and not any(len(chain) > 1 and "v2" in versions_in(chain[0]) for chain in list(chains)):
                    time.sleep(0.1)
                over.set()
                for made in running:
                    made.result()
            logs = [node.log.read_text() for node in platform.nodes]
        return self.summary({"seed": seed, "kind": kind, "manner": manner, "seconds": round(length, 2),
                             "change": round(changes_after, 2)}, chains, logs)

    def play_moment(self, seed, kind, manner):
        """Streams begin at the two others just before the change and just after it, break with their replicas, and are taken
        up at the odd node within the time for which it may still act on what it knew."""
        draws = random.Random(f"moment {seed} {kind} {manner}")
        changes_after, pause, rejects = draws.uniform(0.0, 0.4), draws.uniform(0.0, 0.8), draws.random() < 0.5
        # Callers that leave at once come to the odd node while it still takes its list for a recent one.
        is_quick = seed % 2 == 0
        if is_quick:
            changes_after = 0.0
        with OutOfStep() as platform:
            platform.door.rejects = rejects
            platform.settle()
            # So that the nodes have read which versions served before.
            for number, node in enumerate(platform.nodes):
                Try(node, f"w-{number}", "never-seen", 3)

            def begin(name, events=None):
                number = int(name.split("-")[2])
                events = events or (SOME_EVENTS if number % 3 else ALL_EVENTS)
                return Try(platform.nodes[number % 2], name, events=events, path=f"/resumed-stream/{name}")

            def take_up(first):
                return [first, Try(platform.odd, f"{first.id}-again", first.id, first.last, path=f"/resumed-stream/{first.id}")]

            def begin_all(lanes, when):
                """Two thirds of the callers leave, and the streams of the others are broken off."""
                running = [lanes.submit(begin, f"s-{when}-{number}") for number in range(STREAMS)]
                end = time.monotonic() + BREAK_TIME
                time.sleep(0.1)
                while time.monotonic() < end or not all(made.done() for made in running):
                    for replica in list(platform.replicas):
                        replica.break_connections()
                    time.sleep(BREAK_PAUSE)
                return [made.result() for made in running]

            with concurrent.futures.ThreadPoolExecutor(2 * STREAMS) as lanes:
                before = begin_all(lanes, "before")
                time.sleep(1.0)
                platform.leave(manner)
                left = time.monotonic()
                time.sleep(changes_after)
                platform.change(kind)
                end = time.monotonic() + LONGEST_PROBE
                probes = [begin("s-probe-0", FIRST_EVENT)]
                while "v2" not in versions_in(probes[-1]) and time.monotonic() < end:
                    probes.append(begin(f"s-probe-{len(probes)}", FIRST_EVENT))
                probed = time.monotonic() + LONGEST_PROBE - end
                if is_quick:
                    after = list(lanes.map(lambda number: begin(f"s-after-{number}", FIRST_EVENT), range(STREAMS)))
                else:
                    after = begin_all(lanes, "after")
                    time.sleep(pause)
                if manner == "stands still":
                    platform.come_back(manner)
                taken_at = time.monotonic() - left
                chains = list(lanes.map(take_up, [made for made in before + probes[-1:] + after if made.has_events]))
            platform.come_back(manner)
            logs = [node.log.read_text() for node in platform.nodes]
        return self.summary({"seed": seed, "kind": kind, "manner": manner, "rejects": rejects, "probed": round(probed, 2),
                             "change": round(changes_after, 2), "taken_at": round(taken_at, 2)}, chains, logs)

    def summary(self, summary, chains, logs):
        begun = [chain for chain in chains if versions_in(chain[0])]
        joined = [(chain[0].id, [sorted(versions_in(made)) for made in chain]) for chain in begun if len(versions_in(*chain)) > 1]
        taken_up = [chain for chain in begun if len(chain) > 1]
        on_new = [chain for chain in taken_up if "v2" in versions_in(chain[0])]
        summary |= {"taken_up": len(taken_up), "went_on": sum(bool(versions_in(chain[1])) for chain in taken_up),
                    "on_new": len(on_new), "broken_on_new": sum(is_broken(chain[0]) for chain in on_new),
                    "joined": joined[:4], "joined_count": len(joined)}
        if "OUT_OF_STEP_OUTPUT" in os.environ:
            with open(os.environ["OUT_OF_STEP_OUTPUT"], "a", encoding="utf-8") as output:
                output.write(json.dumps(summary) + "\n")
                for id, _ in joined[:4]:
                    for number, log in enumerate(logs):
                        for line in log.splitlines():
                            if f"{id} " in line or f"{id}-again" in line:
                                output.write(f"  {number} {line}\n")
        return summary

    def check(self, play, kind, manner):
        summaries = [play(seed, kind, manner) for seed in range(FIRST_SEED, FIRST_SEED + SEEDS)]
        self.assertEqual([summary for summary in summaries if summary["joined"]], [])
        # Otherwise nothing was asked.
        for summary in summaries:
            self.assertGreater(summary["on_new"], 0, summary)
        self.assertGreater(sum(summary["broken_on_new"] for summary in summaries), 0, summaries)
        if manner != "cut off":
            self.assertGreater(sum(summary["went_on"] for summary in summaries), 0, summaries)

    def test_a_version_takes_anothers_place_while_a_node_is_cut_off(self):
        self.check(self.play_moment, "swaps", "cut off")

    def test_a_version_takes_anothers_place_while_a_node_has_no_store(self):
        self.check(self.play_moment, "swaps", "without store")

    def test_a_version_takes_anothers_place_while_a_node_stands_still(self):
        self.check(self.play_moment, "swaps", "stands still")

    def test_replicas_start_again_with_another_version_while_a_node_is_cut_off(self):
        self.check(self.play_moment, "restarts", "cut off")

    def test_replicas_start_again_with_another_version_while_a_node_has_no_store(self):
        self.check(self.play_moment, "restarts", "without store")

    def test_replicas_start_again_with_another_version_while_a_node_stands_still(self):
        self.check(self.play_moment, "restarts", "stands still")

    def test_a_version_joins_while_a_node_is_cut_off_for_long(self):
        self.check(self.play_long, "joins", "cut off")

    def test_a_version_joins_while_a_node_has_no_store_for_long(self):
        self.check(self.play_long, "joins", "without store")

    def test_a_version_joins_while_a_node_stands_still_for_long(self):
        self.check(self.play_long, "joins", "stands still")

    def test_a_version_takes_anothers_place_while_a_node_is_cut_off_for_long(self):
        self.check(self.play_long, "swaps", "cut off")

    def test_a_version_takes_anothers_place_while_a_node_has_no_store_for_long(self):
        self.check(self.play_long, "swaps", "without store")

    def test_a_version_takes_anothers_place_while_a_node_stands_still_for_long(self):
        self.check(self.play_long, "swaps", "stands still")

    def test_replicas_start_again_with_another_version_while_a_node_is_cut_off_for_long(self):
        self.check(self.play_long, "restarts", "cut off")

    def test_replicas_start_again_with_another_version_while_a_node_has_no_store_for_long(self):
        self.check(self.play_long, "restarts", "without store")

    def test_replicas_start_again_with_another_version_while_a_node_stands_still_for_long(self):
        self.check(self.play_long, "restarts", "stands still")


if __name__ == "__main__":
    unittest.main()
