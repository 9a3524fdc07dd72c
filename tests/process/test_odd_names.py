"""Tests that names with bytes that mean something to a header, a query, a log line or a path break no request apart and end no
process, on real processes."""
import random
import re
import subprocess
import time
import unittest

from harness import wait_until
from platform_deployment import BUILD, Node, Platform, configuration

# Seconds from the start of a node until it is ready, the store being in good order.
READY_TIME = 2.0

# Names with bytes that mean something to a header, a query, a log line or a path. Each can be a header as it is.
ODD_NAMES = ["%", "a%b", "a%41", "a%n%s%D{", "a&b=c", "a+b", "a#b", "a;b,c", "a b", '"a"', "a\\", "..", "/", "a/b", "../op/config",
             "é", "😀", "\u2028", "x" * 200, "x" * 1024]

# Names that can't be a header.
BROKEN_NAMES = ["a\rb", "a\nb", "a\r\nX-Priority: 9", "a\0b", "a\tb", "a\x7fb", "x" * 1025, "x" * 70_000]


# The start of a line of the log: the time, the level, the node's name as one word or quoted, and the event.
LINE = re.compile(r'\d{4}-\d\d-\d\dT[\d:.]+Z (?:DEBUG|INFO|WARN|ERROR) (?:"((?:[^"\\]|\\.)*)"|([^ "=]+)) [a-z_]+(?: |$)')


class OddNames(unittest.TestCase):
    def setUp(self):
        self.random = random.Random(86)
        self.version = 1

    def run_platform(self, **settings):
        platform = Platform(nodes=2, replicas=2, **settings).__enter__()
        self.addCleanup(platform.__exit__)
        self.check_ready(platform)
        return platform

    def check_ready(self, platform):
        began = time.monotonic()
        for node in platform.nodes:
            wait_until(node.is_ready, f"{node.name} is ready")
        self.assertLess(time.monotonic() - began, READY_TIME)

    def check(self, platform):
        """All nodes run, answer sound requests, and get ready in time when they are started again together."""
        self.assertEqual([node.process.poll() for node in platform.nodes], [None] * len(platform.nodes))
        for node in platform.nodes:
            self.assertEqual(node.call("POST", "/again/x", body="prompt").status, 200)
            node.process.kill()
            node.process.wait()
        for node in platform.nodes:
            node.start()
        self.check_ready(platform)
        for node in platform.nodes:
            self.assertEqual(node.call("POST", "/again/x", body="prompt").status, 200)
        self.assertEqual(platform.store.malformed, [])

    def publish(self, platform, **more):
        """Writes a configuration and waits until all nodes have adopted or refused it.

        @returns the lines of the log that say so, one of each node
        """
        self.version += 1
        platform.store.put("op/config", configuration(version=self.version, **more))

        def line_of(node):
            lines = node.log.read_text().split("\n")
            return [line for line in lines if f" version={self.version} " in line and " configuration_" in line]
        return [wait_until(lambda node=node: line_of(node), "the configuration is seen")[0] for node in platform.nodes]

    def test_names_of_accounts_reach_replicas_whole(self):
        platform = self.run_platform()
        accounts = [{"name": name, "api_keys": [f"key-{number}"]} for number, name in enumerate(ODD_NAMES)]
        accounts.append({"name": "alpha", "api_keys": ["key-alpha"]})
        for line in self.publish(platform, tenants=accounts):
            self.assertIn("configuration_adopted", line)
        for number, name in enumerate(ODD_NAMES):
            node = self.random.choice(platform.nodes)
            self.assertEqual(node.call("POST", "/again/x", body="prompt", key=f"key-{number}", id=f"odd-{number}").status, 200)
            heads = [head for replica in platform.replicas for _, _, head, _ in replica.seen if head["X-Request-Id"] == f"odd-{number}"]
            # Headers are read as Latin-1.
            self.assertEqual([head["X-Tenant"].encode("latin-1").decode() for head in heads], [name])
        counted = set()

        def are_counted():
            for _, _, _, report in platform.cloud.of("/usage"):
                counted.update(report["counts"])
            return counted >= set(ODD_NAMES)
        wait_until(are_counted, "the use of all accounts is reported")
        self.check(platform)

    def test_a_name_of_an_account_that_breaks_a_header_apart_is_refused_by_a_line_that_names_it(self):
        platform = self.run_platform()
        for name in BROKEN_NAMES:
            with self.subTest(name=name[:20], bytes=len(name)):
                accounts = [{"name": "alpha", "api_keys": ["key-alpha"]}, {"name": name, "api_keys": ["key-odd"]}]
                for line in self.publish(platform, tenants=accounts):
                    self.assertIn("configuration_refused", line)
                    self.assertIn("member=tenants[1].name", line)
        # The next sound one is adopted.
        for line in self.publish(platform):
            self.assertIn("configuration_adopted", line)
        for node in platform.nodes:
            self.assertEqual(node.call("POST", "/again/x", body="prompt", key="key-odd").status, 401)
        self.check(platform)
        self.assertTrue(all(head["X-Tenant"] == "alpha" for replica in platform.replicas for _, _, head, _ in replica.seen))

    def test_no_name_of_a_service_keeps_a_node_from_reporting_to_others(self):
        platform = self.run_platform()
        usual = configuration()

        def publish(names):
            routes = [{**usual["routes"][0], "path_prefix": f"/odd-{number}/", "service": name} for number, name in enumerate(names)]
            return self.publish(platform, routes=usual["routes"] + routes, services=usual["services"] + [
                {"name": name, "max_conns": 1, "scaling": {"min": 1, "max": 2, "boot_s": 1}} for name in names])
        names = [name for name in ODD_NAMES if len(name) <= 256] + ["a\r\nb", "a\0"]
        for line in publish(names):
            self.assertIn("configuration_adopted", line)
        for number in range(len(names)):
            # No replica is there.
            self.assertEqual(platform.first.call("POST", f"/odd-{number}/x", body="prompt").status, 503)
        for name in ("x" * 257, "x" * 9000):
            for line in publish([name]):
                self.assertIn("configuration_refused", line)
                self.assertIn("member=services[1].name", line)
            platform.first.call("POST", "/odd-0/x", body="prompt")
        # Nodes report some times a second.
        time.sleep(1.0)
        self.assertFalse(any("datagram_too_large" in node.log.read_text() for node in platform.nodes))
        for line in publish([]):
            self.assertIn("configuration_adopted", line)
        self.check(platform)

    def test_nodes_and_failure_domains_of_any_name_join_the_members_once(self):
        platform = self.run_platform()
        names = ["a/b", "a%n%s%D{", "x" * 200] + self.random.sample([name for name in ODD_NAMES if len(name) < 200], 5)
        zones = self.random.sample(names, len(names))
        odd = [Node(platform, f"odd-{number}", zone=zone, named=name) for number, (name, zone) in enumerate(zip(names, zones))]
        platform.nodes += odd
        self.check_ready(platform)

        def counts():
            return [re.findall(r" members_changed before=\d+ now=(\d+)", node.log.read_text())[-1:] for node in platform.nodes]
        expected = [[str(len(platform.nodes))]] * len(platform.nodes)
        wait_until(lambda: counts() == expected, "all nodes know all members")
        # The members are listed some times a second at first.
        time.sleep(1.0)
        self.assertEqual(counts(), expected)
        self.check(platform)
        for node in odd:
            node.process.terminate()
        for node, name in zip(odd, names):
            node.process.wait(10)
            for line in node.log.read_text().rstrip("\n").split("\n"):
                self.assertRegex(line, LINE)
                quoted, plain = LINE.match(line).groups()
                self.assertEqual(plain or re.sub(r"\\(.)", r"\1", quoted), name)

    def test_a_name_of_a_node_that_breaks_a_header_or_a_message_apart_is_refused_by_a_line_that_names_it(self):
        platform = self.run_platform()
        for member, usual in (("node_name", "front-0"), ("zone", "a")):
            for name in (b"a\rb", b"a\0b", b"a\tb", b"a\x7fb", b"a\xff\xfeb", b"a\xed\xa0\x80", b"x" * 257, b"x" * 70_000):
                with self.subTest(member=member, name=name[:20]):
                    file = platform.folder / "odd.conf"
                    file.write_bytes(platform.first.settings.read_bytes().replace(f"{member}={usual}\n".encode(),
                                                                                  member.encode() + b"=" + name + b"\n"))
                    run = subprocess.run([BUILD / "snowrudder-router", "--face", "platform", "--settings", file], timeout=5,
                                         capture_output=True, check=False)
                    self.assertNotEqual(run.returncode, 0)
                    self.assertIn(f"{member}: must have".encode(), run.stderr)
        self.check(platform)

    def test_no_name_of_an_entry_forges_a_field_or_a_line_of_the_log(self):
        # The lines of its own entries are counted.
        platform = self.run_platform(foreign_entries=False)
        keys = ["\x1b[2Jx", "\vx", "x\0", "x\x7f", "x\x1cINFO", "x forged=1", "x\nforged=1", 'x" forged=1', "x\\\" forged=1", "%n%m", "x\\"]
        for number, key in enumerate(keys, 1):
            platform.store.put(f"servers/{key}", "no object")
            # Only some of the entries of one list are logged each.
            for node in platform.nodes:
                wait_until(lambda node=node, number=number: node.log.read_text().count(" replica_unreadable ") == number,
                           f"entry {key!r} is logged")
        for node in platform.nodes:
            text = node.log.read_text()
            self.assertNotRegex(text, r"[\x00-\x09\x0b-\x1f\x7f]")
            for line in text.rstrip("\n").split("\n"):
                self.assertRegex(line, LINE)
                self.assertNotIn("forged", re.sub(r'"(?:[^"\\]|\\.)*"', "", line))
        self.check(platform)


if __name__ == "__main__":
    unittest.main()
