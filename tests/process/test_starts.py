"""Tests that a node's log and figures say why it isn't ready, and that it soon gets ready, on real processes.

SNOWRUDDER_SEED selects another series of starts."""
import os
import random
import re
import time
import unittest

from harness import request, wait_until
from platform_deployment import Platform, configuration

# Seconds in which a line must follow what it is about.
LINE_TIME = 2.5

# Seconds from the first answer of the store to a node that starts until all that start are ready.
READY_TIME = 2.0

SEED = int(os.environ.get("SNOWRUDDER_SEED", "86"))


class Watched:
    """A node that was killed and started again, and what it has logged since."""

    def __init__(self, node, while_down=lambda: None):
        self.node = node
        node.process.kill()
        node.process.wait()
        while_down()
        self.begin = node.log.stat().st_size
        node.start()

    def lines(self, event):
        """Returns the fields of all lines of an event since the start."""
        text = self.node.log.read_bytes()[self.begin:].decode()
        return [dict(re.findall(r"(\w+)=(\S+)", found)) for found in re.findall(rf"^\S+ [A-Z]+ \S+ {event} (.*)", text, re.MULTILINE)]

    def missing(self):
        return [line["missing"] for line in self.lines("not_ready")]

    def figure(self, name):
        text = request(self.node.metrics, "GET", "/metrics").body.decode()
        return int(re.search(rf"^{re.escape(name)} (\S+)$", text, re.MULTILINE)[1])

    def answer(self):
        found = request(self.node.readiness, "GET", "/snowrudder/ready")
        return found.status, found.body.decode().strip()


class NotReady(unittest.TestCase):
    def find_line(self, watched, **fields):
        """Waits for a line `not_ready` with these fields, and returns it."""
        began = time.monotonic()

        def found():
            return [line for line in watched.lines("not_ready") if fields.items() <= line.items()]
        line = wait_until(found, f"not_ready with {fields}")[0]
        self.assertLess(time.monotonic() - began, LINE_TIME)
        return line

    def check_gets_ready(self, watched):
        """The node gets ready and says so once; afterwards its figures name nothing that is missing."""
        self.assertEqual(watched.lines("ready"), [])
        began = time.monotonic()
        line = wait_until(lambda: watched.lines("ready"), "the node says that it is ready")
        self.assertIsNone(watched.node.process.poll())
        self.assertNotIn("process_fault", watched.node.log.read_text())
        self.assertLess(time.monotonic() - began, LINE_TIME)
        self.assertEqual(len(line), 1)
        self.assertGreater(float(line[0]["milliseconds"]), 0)
        self.assertEqual(watched.answer(), (200, "ready"))
        self.assertEqual(watched.figure("snowrudder_ready"), 1)
        for gap in ("configuration", "proof", "replicas", "leaving"):
            self.assertEqual(watched.figure(f'snowrudder_not_ready_seconds{{missing="{gap}"}}'), 0)

    def test_a_silent_store_is_named_as_what_keeps_a_node_from_being_ready(self):
        with Platform(nodes=1, replicas=2) as platform:
            watched = Watched(platform.first, lambda: setattr(platform.store, "silent", True))
            wait_until(lambda: len(watched.missing()) == 2, "a second line not_ready")
            line = watched.lines("not_ready")[-1]
            self.assertEqual(line["missing"], "configuration,replicas")
            self.assertIn(line["members_call"], ("read_secret", "create_secret"))
            self.assertIn(line["members_outcome"], ("no_response_yet", "unknown"))
            self.assertGreater(float(line["since_milliseconds"]), 900)
            self.assertEqual(watched.answer(), (503, "not ready: configuration,replicas"))
            wait_until(lambda: watched.figure('snowrudder_not_ready_seconds{missing="replicas"}') >= 1, "the figure rises")
            self.assertEqual(watched.figure("snowrudder_ready"), 0)
            time.sleep(3)
            self.assertEqual(len(watched.missing()), 2)
            # By then it has asked for both without the members.
            wait_until(lambda: len(watched.missing()) == 3, "a third line not_ready")
            line = watched.lines("not_ready")[-1]
            self.assertEqual((line["configuration_call"], line["replicas_call"]), ("read", "list"))
            for call in ("configuration", "replicas"):
                self.assertIn(line[f"{call}_outcome"], ("no_response_yet", "unknown"))
            self.assertEqual((line["list_pages"], line["list_whole"]), ("0", "no"))
            platform.store.silent = False
            self.check_gets_ready(watched)

    def test_a_busy_store_is_named_as_what_keeps_a_node_from_being_ready(self):
        with Platform(nodes=1, replicas=2) as platform:
            watched = Watched(platform.first, lambda: setattr(platform.store, "busy", True))
            self.find_line(watched, missing="configuration,replicas", members_outcome="unavailable")
            platform.store.busy = False
            self.check_gets_ready(watched)

    def test_a_store_that_falls_silent_after_the_start_is_named_with_its_calls(self):
        with Platform(nodes=1, replicas=2) as platform:
            watched = Watched(platform.first)
            wait_until(lambda: watched.lines("ready"), "the node is ready")
            platform.store.silent = True
            # The proof of the configuration lasts 2.3 s.
            wait_until(lambda: watched.missing()[-1] == "proof", "not_ready with the proof missing")
            line = watched.lines("not_ready")[-1]
            self.assertEqual(line["configuration_call"], "check")
            self.assertGreater(float(line["proof_milliseconds"]), 2000)
            platform.store.silent = False
            wait_until(lambda: len(watched.lines("ready")) == 2, "the node is ready again")

    def test_a_missing_configuration_is_named_as_what_keeps_a_node_from_being_ready(self):
        with Platform(nodes=1, replicas=2) as platform:
            watched = Watched(platform.first, lambda: platform.store.remove("op/config"))
            line = self.find_line(watched, missing="configuration", configuration_call="read", configuration_outcome="refused")
            self.assertEqual(line["proof_milliseconds"], "-1.000")
            platform.store.put("op/config", configuration(2))
            self.check_gets_ready(watched)

    def test_missing_replicas_are_named_as_what_keeps_a_node_from_being_ready(self):
        with Platform(nodes=1, replicas=1, foreign_entries=False) as platform:
            watched = Watched(platform.first, lambda: platform.store.remove("servers/i-0"))
            self.find_line(watched, missing="replicas", list_pages="1", list_items="0", list_whole="yes")
            self.assertEqual(watched.answer(), (503, "not ready: replicas"))
            platform.list_replica(platform.replicas[0], "v1")
            self.check_gets_ready(watched)

    def test_foreign_entries_in_place_of_replicas_are_counted_in_what_keeps_a_node_from_being_ready(self):
        def replace_replicas():
            platform.store.remove("servers/i-0")
            platform.store.page_items = 2
            for number in range(5):
                platform.store.put(f"servers/a{number}", {"owner": "another system"})
        with Platform(nodes=1, replicas=1, foreign_entries=False) as platform:
            watched = Watched(platform.first, replace_replicas)
            self.find_line(watched, missing="replicas", list_pages="3", list_items="5", list_unreadable="5", list_whole="yes")
            platform.list_replica(platform.replicas[0], "v1")
            self.check_gets_ready(watched)

    def test_a_node_that_leaves_names_that_and_no_fault(self):
        with Platform(nodes=1, replicas=1) as platform:
            watched = Watched(platform.first)
            wait_until(lambda: watched.lines("ready"), "the node is ready")
            watched.node.process.terminate()
            self.find_line(watched, missing="leaving")
            self.assertEqual(watched.answer(), (503, "not ready: leaving"))


class Series(unittest.TestCase):
    def restart(self, platform, doors, places, fault, outage):
        """Kills nodes and starts them again beside a store with a fault that ends after some time. All must be ready in time."""
        platform.store.silent, platform.store.busy = fault == "silent", fault == "busy"
        nodes = [platform.nodes[place] for place in places]
        for node in nodes:
            node.process.kill()
            node.process.wait()
        for place in places:
            doors[place].answered.clear()
        for node in nodes:
            node.start()
        if fault:
            time.sleep(outage)
        platform.store.silent = platform.store.busy = False
        for node in nodes:
            wait_until(node.is_ready, f"{node.name} is ready")
        first_answer = min(doors[place].answered[0] for place in places)
        return time.monotonic() - first_answer

    def test_nodes_that_are_killed_and_started_in_series_are_ready_soon_after_the_first_answer_of_the_store(self):
        random_source = random.Random(SEED)
        with Platform(nodes=0, replicas=5) as platform:
            platform.store.page_items = 2
            for number in range(5):
                platform.store.put(f"servers/a{number}%25", {"owner": "another system"})
            doors = [platform.add_node_behind_door()[1] for _ in range(6)]
            for node in platform.nodes:
                wait_until(node.is_ready, f"{node.name} is ready")
            rounds = [(count, fault) for count in (1, 3, 6) for fault in (None, "silent", "busy")]
            random_source.shuffle(rounds)
            for count, fault in rounds:
                places = random_source.sample(range(6), count)
                outage = random_source.uniform(0.3, 3.0)
                with self.subTest(nodes=count, fault=fault, outage=round(outage, 3)):
                    taken = self.restart(platform, doors, places, fault, outage)
                    print(f"{count} of 6 nodes, store {fault or 'sound'} for {outage if fault else 0:.2f} s: ready after {taken:.2f} s")
                    self.assertLess(taken, READY_TIME)
            for node in platform.nodes:
                self.assertNotIn("process_fault", node.log.read_text())
            self.assertEqual(platform.store.malformed, [])


if __name__ == "__main__":
    unittest.main()
