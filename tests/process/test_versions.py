"""Tests that a stream goes on only at replicas of the software version that began it, within one answer and over the tries
of its caller."""
import concurrent.futures
import json
import socket
import time
import unittest

from harness import free_ports, wait_until
from platform_deployment import Platform, configuration
from platform_stand_in import Replica

STREAMS = 36
LANES = 12
EVENTS_BEFORE_LEAVING = 3
# Seconds within which a stream that can't go on has to be refused.
REFUSAL_TIME = 0.6
# Of the streams that could go on, the share that has to: without faults, and after nodes have ended.
CALM_SHARE = 0.95
SHARE_AFTER_ENDS = 2 / 3


class Try:
    """One try of a caller: what it received until it left, or until the answer ended."""

    def __init__(self, node, id, resumes=None, last=None, events=EVENTS_BEFORE_LEAVING, more=(), key="key-alpha",
                 path="/resumed-stream/x"):
        self.id = id
        self.wanted = events
        lines = [f"POST {path} HTTP/1.1", "Host: one.example", f"X-Request-Id: {id}", "X-Deadline-Ms: 5000",
                 f"X-Api-Key: {key}", "Content-Length: 0"]
        if resumes is not None:
            lines.append(f"Resumes: {resumes}")
        if last is not None:
            lines.append(f"Last-Event-Id: {last}")
        self.received = b""
        began = time.monotonic()
        try:
            with socket.create_connection(("127.0.0.1", node.front), timeout=6) as caller:
                caller.sendall("\r\n".join([*lines, *more, "", ""]).encode("latin-1"))
                while self.received.count(b"data: piece") < events and not self.has_ended():
                    part = caller.recv(65536)
                    if not part:
                        break
                    self.received += part
        except OSError:
            pass
        self.seconds = time.monotonic() - began

    def has_ended(self):
        head, _, body = self.received.partition(b"\r\n\r\n")
        return body.endswith(b"0\r\n\r\n") or (self.status >= 400 and body.endswith(b"}"))

    @property
    def status(self):
        return int(self.received.split(b" ", 2)[1]) if self.received.startswith(b"HTTP/1.1 ") else 0

    @property
    def problem(self):
        return json.loads(self.received.partition(b"\r\n\r\n")[2])

    @property
    def has_events(self):
        return b"data: piece" in self.received

    @property
    def last(self):
        return [line.split()[1].decode() for line in self.received.split(b"\n") if line.startswith(b"id:")][-1]


class Versions(unittest.TestCase):
    def deployment(self, nodes, versions, **more):
        platform = Platform(nodes=nodes, replicas=len(versions), versions=versions, **more)
        for replica in platform.replicas:
            replica.events = 200
        return platform

    def settle(self, platform):
        """Waits until nodes know each other and use all versions."""
        wait_until(lambda: all(node.log.read_text().count("members_changed") or len(platform.nodes) == 1
                               for node in platform.nodes), "the nodes know each other")
        time.sleep(2.5)

    def versions_of(self, platform, *ids):
        return {replica.version for replica in platform.replicas for run in list(replica.runs) if run in ids}

    def in_lanes(self, work, streams=STREAMS):
        with concurrent.futures.ThreadPoolExecutor(LANES) as lanes:
            return list(lanes.map(work, range(streams)))

    def begin(self, platform, number, node):
        first = Try(node, f"s-{number}-0")
        self.assertTrue(first.has_events, first.received)
        return first

    def check(self, platform, chains, share):
        """No stream holds events of two versions, and enough of them went on."""
        self.check_versions(platform, chains)
        later = [part for chain in chains for part in chain[1:]]
        went_on = sum(part.has_events for part in later)
        self.assertGreaterEqual(went_on / len(later), share, [part.received[:300] for part in later if not part.has_events][:2])

    def check_versions(self, platform, chains):
        crossed = [(chain[0].id, self.versions_of(platform, *(part.id for part in chain)))
                   for chain in chains if len(self.versions_of(platform, *(part.id for part in chain))) != 1]
        self.assertEqual(crossed, [])

    def taken_up(self, platform, where, tries=1, before=lambda: None, streams=STREAMS):
        """Begins streams, lets something happen, and takes each up; `where` gives the node of each try."""
        begun = self.in_lanes(lambda number: self.begin(platform, number, where(number, 0)), streams)
        before()

        def go_on(first):
            number = int(first.id.split("-")[1])
            chain = [first]
            for count in range(1, tries + 1):
                if not chain[-1].has_events:
                    break
                chain.append(Try(where(number, count), f"s-{number}-{count}", first.id, chain[-1].last))
            return chain

        with concurrent.futures.ThreadPoolExecutor(LANES) as lanes:
            return list(lanes.map(go_on, begun))

    def test_a_stream_goes_on_within_its_answer_at_its_version(self):
        with self.deployment(1, ["v1", "v1", "v2", "v2"]) as platform:
            self.settle(platform)
            for replica in platform.replicas:
                replica.events = 6
                replica.behave = ["break", "well", "well"] * 3
            self.in_lanes(lambda number: Try(platform.first, f"a-{number}", events=100))
            ids = {run for run in platform.runs()}
            crossed = [id for id in ids if len(self.versions_of(platform, id)) != 1]
            self.assertEqual(crossed, [])
            self.assertGreater(len(platform.runs()), STREAMS)

    def test_a_stream_taken_up_at_its_node_goes_on_at_its_version(self):
        with self.deployment(1, ["v1", "v1", "v2", "v2"]) as platform:
            self.settle(platform)
            self.check(platform, self.taken_up(platform, lambda number, count: platform.first), CALM_SHARE)

    def test_a_stream_taken_up_at_other_nodes_goes_on_at_its_version(self):
        with self.deployment(3, ["v1", "v1", "v2", "v2"]) as platform:
            self.settle(platform)
            self.check(platform, self.taken_up(platform, lambda number, count: platform.nodes[(number + count) % 3]), CALM_SHARE)

    def test_a_chain_of_tries_over_five_nodes_goes_on_at_its_version(self):
        with self.deployment(5, ["v1", "v1", "v2", "v2", "v3"]) as platform:
            self.settle(platform)
            chains = self.taken_up(platform, lambda number, count: platform.nodes[(number + count) % 5], tries=4)
            self.check(platform, chains, CALM_SHARE)

    def test_streams_of_killed_nodes_go_on_at_their_versions(self):
        with self.deployment(8, ["v1", "v1", "v2", "v2"]) as platform:
            self.settle(platform)

            def kill():
                for node in platform.nodes[:3]:
                    node.process.kill()

            chains = self.taken_up(platform, lambda number, count: platform.nodes[number % 3 if count == 0 else 3 + number % 5],
                                   before=kill)
            self.check(platform, chains, SHARE_AFTER_ENDS)

    def test_streams_go_on_at_their_versions_after_all_nodes_were_restarted_in_turn(self):
        with self.deployment(3, ["v1", "v1", "v2", "v2"]) as platform:
            self.settle(platform)

            def restart_in_turn():
                for node in platform.nodes:
                    node.process.terminate()
                    node.process.wait(timeout=10)
                    node.start()
                    wait_until(node.is_ready, "the node is ready again")

            chains = self.taken_up(platform, lambda number, count: platform.nodes[(number + count) % 3], before=restart_in_turn)
            self.check(platform, chains, SHARE_AFTER_ENDS)

    def test_a_stream_whose_version_has_left_is_refused_without_being_run(self):
        with self.deployment(3, ["v1", "v1", "v2", "v2"]) as platform:
            self.settle(platform)

            def leave():
                for replica in platform.replicas[2:]:
                    platform.store.remove(f"servers/{replica.name}")
                time.sleep(3)

            chains = self.taken_up(platform, lambda number, count: platform.nodes[(number + count) % 3], before=leave)
            left = [chain for chain in chains if self.versions_of(platform, chain[0].id) == {"v2"}]
            self.assertGreater(len(left), 0)
            for chain in left:
                self.assertEqual((chain[1].status, chain[1].problem["kind"], chain[1].problem["ran"]),
                                 (503, "stream_not_resumable", "no"))
                self.assertLess(chain[1].seconds, REFUSAL_TIME)
                self.assertEqual(self.versions_of(platform, chain[1].id), set())
            self.check(platform, [chain for chain in chains if chain not in left], CALM_SHARE)

    def test_streams_stay_at_their_version_when_another_one_starts(self):
        with self.deployment(3, ["v1", "v1"]) as platform:
            self.settle(platform)

            def start_others():
                for number, port in enumerate(free_ports(3)):
                    other = Replica(port, f"later-{number}", events=200)
                    platform.replicas.append(other)
                    platform.list_replica(other, "v2")
                time.sleep(2.5)

            chains = self.taken_up(platform, lambda number, count: platform.nodes[(number + count) % 3], before=start_others)
            self.check(platform, chains, CALM_SHARE)

    def test_streams_of_the_only_version_go_on_after_all_nodes_were_killed(self):
        with self.deployment(3, ["v1", "v1"]) as platform:
            self.settle(platform)

            def kill_all():
                for node in platform.nodes:
                    node.process.kill()
                    node.process.wait()
                for node in platform.nodes:
                    node.start()
                for node in platform.nodes:
                    wait_until(node.is_ready, "the node is ready again")

            chains = self.taken_up(platform, lambda number, count: platform.nodes[(number + count) % 3], before=kill_all)
            self.check(platform, chains, CALM_SHARE)

    def test_streams_of_a_version_that_has_left_do_not_go_on_after_all_nodes_were_killed(self):
        with self.deployment(3, ["v1", "v1", "v2", "v2"]) as platform:
            self.settle(platform)

            def leave_and_kill():
                for replica in platform.replicas[2:]:
                    platform.store.remove(f"servers/{replica.name}")
                time.sleep(1)
                for node in platform.nodes:
                    node.process.kill()
                    node.process.wait()
                for node in platform.nodes:
                    node.start()
                for node in platform.nodes:
                    wait_until(node.is_ready, "the node is ready again")

            chains = self.taken_up(platform, lambda number, count: platform.nodes[(number + count) % 3], before=leave_and_kill)
            self.check(platform, chains, 0.0)
            for chain in chains:
                if not chain[1].has_events:
                    self.assertEqual(chain[1].problem["kind"], "stream_not_resumable")
                    self.assertLess(chain[1].seconds, REFUSAL_TIME)

    def kill_all(self, platform, before=lambda: None):
        """Kills all nodes at the same moment, and starts them again."""
        before()
        for node in platform.nodes:
            node.process.kill()
        for node in platform.nodes:
            node.process.wait()
        for node in platform.nodes:
            node.start()
        for node in platform.nodes:
            wait_until(node.is_ready, "the node is ready again")

    def test_no_stream_is_joined_from_two_versions_when_all_nodes_are_killed_at_once(self):
        """Guards against take-ups of streams at the only version in sight, which is not the one that began them: two versions
        serve, or the old one leaves 1 s or 0.1 s before all nodes are killed, or at that moment."""
        with self.deployment(3, ["v1", "v1", "v2", "v2"]) as platform:
            self.settle(platform)
            old, new = platform.replicas[:2], platform.replicas[2:]
            for round_number in range(10):
                lead = (None, 1.0, 0.1, 0.0)[round_number % 4]

                def old_leaves(lead=lead, old=old):
                    if lead is not None:
                        for replica in old:
                            platform.store.remove(f"servers/{replica.name}")
                        time.sleep(lead)

                chains = self.taken_up(platform, lambda number, count: platform.nodes[(number + count) % 3],
                                       before=lambda: self.kill_all(platform, old_leaves))  # pylint: disable=cell-var-from-loop
                self.check(platform, chains, 0.0)
                for replica in platform.replicas:
                    replica.runs.clear()
                if lead is not None:
                    # The old version comes back under new names, as one that is new to its service.
                    old, new = new, old
                    for number, replica in enumerate(new):
                        replica.name = f"later-{round_number}-{number}"
                        platform.list_replica(replica, f"v{round_number + 3}")
                    time.sleep(2.5)

    def test_no_stream_is_joined_when_a_replica_starts_again_with_another_version_unseen(self):
        """Guards against streams that nodes themselves go on with by a list of any age: while the store is silent, a replica
        starts again under its name with another version, begins streams, and ends."""
        with self.deployment(3, ["v1", "v1", "v1"], settings="bounds.revoke_ms=20000\n") as platform:
            self.settle(platform)
            changed = platform.replicas[0]
            for replica in platform.replicas:
                replica.event_pause = 0.05
            platform.store.silent = True
            time.sleep(0.2)
            changed.break_connections()
            changed.event_text = "other"
            time.sleep(1.0)

            def run(number):
                return Try(platform.nodes[number % 3], f"s-{number}-0", events=60)

            with concurrent.futures.ThreadPoolExecutor(STREAMS) as lanes:
                running = [lanes.submit(run, number) for number in range(STREAMS)]
                time.sleep(1.5)
                at_changed = set(changed.runs)
                changed.break_connections()
                tries = [made.result() for made in running]
            platform.store.silent = False
            self.assertGreater(len(at_changed), 0, "no stream began at the replica that had started again")
            joined = [made.id for made in tries if b"data: piece" in made.received and b"data: other" in made.received]
            self.assertEqual(joined, [])

    def test_names_that_are_unknown_or_not_allowed_have_stated_outcomes(self):
        first = configuration(keys=("key-alpha",))
        first["tenants"].append({**first["tenants"][0], "name": "beta", "api_keys": ["key-beta"]})
        with self.deployment(2, ["v1", "v2"], first=first) as platform:
            self.settle(platform)
            begun = [self.begin(platform, number, platform.first) for number in range(4)]
            name = begun[0].id
            refused = {
                "unknown": Try(platform.first, "t-1", "never-seen", 3),
                "another account's": Try(platform.first, "t-2", name, 3, key="key-beta"),
                "another path's": Try(platform.first, "t-3", name, 3, path="/resumed-stream/y"),
                "none": Try(platform.first, "t-4", None, 3),
                "unknown, without an event": Try(platform.first, "t-5", "never-seen"),
            }
            for case, made in refused.items():
                with self.subTest(case):
                    self.assertEqual((made.status, made.problem["kind"], made.problem["ran"]), (503, "stream_not_resumable", "no"))
                    self.assertLess(made.seconds, REFUSAL_TIME)
                    self.assertEqual(self.versions_of(platform, made.id), set())
            malformed = {
                "empty": Try(platform.first, "t-10", "", 3),
                "itself": Try(platform.first, "t-11", "t-11", 3),
                "twice": Try(platform.first, "t-12", name, 3, more=[f"Resumes: {name}"]),
                "too long": Try(platform.first, "t-13", "x" * 1000, 3),
                "bytes": Try(platform.first, "t-14", "a\xe9b", 3),
                "blanks inside": Try(platform.first, "t-15", "a b", 3),
            }
            for case, made in malformed.items():
                with self.subTest(case):
                    self.assertEqual((made.status, made.problem["kind"]), (400, "invalid_request"))
                    self.assertEqual(self.versions_of(platform, made.id), set())
            without_event = Try(platform.nodes[1], "t-20", name)
            self.assertTrue(without_event.has_events, without_event.received)
            self.assertEqual(len(self.versions_of(platform, name, "t-20")), 1)

    def test_a_node_that_reaches_no_other_does_not_go_on_with_what_it_does_not_know(self):
        with self.deployment(2, ["v1", "v2"]) as platform:
            self.settle(platform)
            begun = [self.begin(platform, number, platform.first) for number in range(8)]
            platform.first.process.kill()
            platform.nodes[1].process.kill()
            platform.nodes[1].process.wait()
            platform.nodes[1].start()
            wait_until(platform.nodes[1].is_ready, "the node is ready again")
            time.sleep(2)
            for first in begun:
                made = Try(platform.nodes[1], f"{first.id}-again", first.id, first.last)
                self.assertEqual((made.status, made.problem["kind"]), (503, "stream_not_resumable"))
                self.assertLess(made.seconds, REFUSAL_TIME)

    def test_streams_keep_their_versions_through_a_roll_out(self):
        with self.deployment(3, ["v1", "v1", "v1"], settings="contracts=base,rollout\nbounds.exposure_share=0.1\n") as platform:
            wait_until(lambda: any("duties_taken" in node.log.read_text() for node in platform.nodes), "the duties are taken")
            self.settle(platform)
            end = time.monotonic() + 16

            def lane(lane):
                chains = []
                while time.monotonic() < end:
                    name = f"{lane}-{len(chains)}"
                    chain = [Try(platform.nodes[lane % 3], f"s-{name}-0")]
                    if chain[0].has_events:
                        for count in (1, 2):
                            if chain[-1].has_events:
                                chain.append(Try(platform.nodes[(lane + count) % 3], f"s-{name}-{count}", chain[0].id, chain[-1].last))
                        chains.append(chain)
                return chains

            with concurrent.futures.ThreadPoolExecutor(16) as lanes:
                running = [lanes.submit(lane, number) for number in range(16)]
                time.sleep(1)
                platform.store.put("op/rollout/svc", {"service": "svc", "target_version": "v2", "period_s": 10})
                time.sleep(0.5)
                for number, port in enumerate(free_ports(3)):
                    other = Replica(port, f"new-{number}", events=200)
                    platform.replicas.append(other)
                    platform.list_replica(other, "v2")
                chains = [chain for future in running for chain in future.result()]
            self.assertEqual({version for chain in chains for version in self.versions_of(platform, chain[0].id)}, {"v1", "v2"})
            self.check(platform, chains, CALM_SHARE)

    def test_versions_that_are_missing_empty_or_long_are_versions_of_their_own(self):
        with self.deployment(3, ["v1", "", "x" * 10_000, "x" * 10_000 + "y"]) as platform:
            missing = Replica(free_ports(1)[0], "missing", events=200)
            platform.replicas.append(missing)
            missing.version = ""
            entry = missing.entry("svc")
            del entry["version"]
            platform.store.put("servers/missing", entry)
            self.settle(platform)
            self.check(platform, self.taken_up(platform, lambda number, count: platform.nodes[(number + count) % 3]), CALM_SHARE)

    def test_streams_go_on_while_the_store_is_briefly_away_and_are_refused_when_the_list_is_old(self):
        with self.deployment(3, ["v1", "v1", "v2", "v2"], settings="bounds.revoke_ms=20000\n") as platform:
            self.settle(platform)
            begun = [self.begin(platform, number, platform.nodes[number % 3]) for number in range(STREAMS)]
            platform.store.busy = True
            soon = [[first, Try(platform.nodes[(number + 1) % 3], f"{first.id}-1", first.id, first.last)]
                    for number, first in enumerate(begun[:6])]
            self.check(platform, soon, CALM_SHARE)
            time.sleep(4)
            for number, first in enumerate(begun[6:12]):
                late = Try(platform.nodes[number % 3], f"{first.id}-late", first.id, first.last)
                self.assertEqual((late.status, late.problem["kind"]), (503, "stream_not_resumable"))
                self.assertLess(late.seconds, REFUSAL_TIME)
            platform.store.busy = False
            time.sleep(3)
            again = [[first, Try(platform.nodes[(number + 1) % 3], f"{first.id}-2", first.id, first.last)]
                     for number, first in enumerate(begun[12:])]
            self.check(platform, again, CALM_SHARE)


if __name__ == "__main__":
    unittest.main()
