"""Tests that no signal, settings file or log pipe ends a router other than by its stop, with real processes.

Guards against signals that came before their handlers were installed, and a closed log, which ended the process.
"""
import errno
import os
import random
import signal
import subprocess
import threading
import time
import unittest

from harness import BUILD, Deployment, LONGEST_WAIT, request, wait_until
from platform_deployment import Node, Platform

SEEDS = [int(seed) for seed in os.environ.get("SNOWRUDDER_SIGNAL_SEEDS", "1,2,3,4").split(",")]
MOMENTS = int(os.environ.get("SNOWRUDDER_SIGNAL_MOMENTS", "10"))
"""Starts for each seed. By hand: SNOWRUDDER_SIGNAL_SEEDS=1,2,... SNOWRUDDER_SIGNAL_MOMENTS=100."""

LATEST_MOMENT = 0.1
"""Seconds from main() on within which the signals of a series are sent; a start takes less."""


def ended(process):
    """@returns the exit code, negative for a signal."""
    return process.wait(LONGEST_WAIT)


class HeldStart:
    """A router that waits within main() for its settings file, a pipe, until release() is called."""

    def __init__(self, platform, name, stdout=None):
        self.node = Node.__new__(Node)
        self.node.start = lambda: None
        Node.__init__(self.node, platform, name)
        self.text = self.node.settings.read_bytes()
        self.node.settings.unlink()
        os.mkfifo(self.node.settings)
        del self.node.start
        self.node.start()
        self.process = self.node.process
        platform.nodes.append(self.node)
        self.pipe = wait_until(self.open_pipe, "the process reads its settings")
        os.set_blocking(self.pipe, True)

    def open_pipe(self):
        """@returns the pipe, or None until the process has opened its side."""
        try:
            return os.open(self.node.settings, os.O_WRONLY | os.O_NONBLOCK)
        except OSError as error:
            if error.errno != errno.ENXIO:
                raise
            return None

    def release(self):
        regular = self.node.settings.with_suffix(".next")
        regular.write_bytes(self.text)
        regular.rename(self.node.settings)
        os.write(self.pipe, self.text)
        os.close(self.pipe)


class Signals(unittest.TestCase):
    def setUp(self):
        self.platform = Platform(nodes=0).__enter__()
        self.addCleanup(self.platform.__exit__)

    def test_a_reload_before_the_start_is_complete_changes_nothing(self):
        start = HeldStart(self.platform, "held")
        for _ in range(3):
            start.process.send_signal(signal.SIGHUP)
        start.release()
        wait_until(lambda: start.process.poll() is not None or start.node.is_ready(), "the node is ready")
        self.assertIsNone(start.process.poll())
        start.process.send_signal(signal.SIGTERM)
        self.assertEqual(ended(start.process), 0)

    def test_a_stop_before_the_start_is_complete_ends_without_an_error(self):
        for number in (signal.SIGTERM, signal.SIGINT):
            with self.subTest(number):
                start = HeldStart(self.platform, f"held-{number}")
                start.process.send_signal(number)
                start.release()
                self.assertEqual(ended(start.process), 0)

    def play_series(self, seed, index, results):
        """Sends reloads and, last, stops at random moments from main() on."""
        choice = random.Random(f"{seed}/{index}")
        start = HeldStart(self.platform, f"held-{seed}-{index}")
        moments = sorted(choice.uniform(0, LATEST_MOMENT) for _ in range(choice.randint(1, 6)))
        begun = time.monotonic()
        start.release()
        for moment in moments:
            time.sleep(max(0.0, begun + moment - time.monotonic()))
            start.process.send_signal(signal.SIGHUP)
        if choice.random() < 0.5:
            time.sleep(choice.uniform(0, LATEST_MOMENT))
        # Repeated until the process is gone, also while it ends.
        last = time.monotonic() + LONGEST_WAIT
        while start.process.poll() is None and time.monotonic() < last:
            start.process.send_signal(choice.choice([signal.SIGTERM, signal.SIGTERM, signal.SIGINT, signal.SIGHUP]))
            time.sleep(choice.uniform(0.0005, 0.005))
        results.append((seed, index, start.process.returncode))

    def test_no_moment_of_a_signal_ends_a_process_other_than_by_its_stop(self):
        at_once = 10
        series = [(seed, index) for seed in SEEDS for index in range(MOMENTS)]
        results = []
        for first in range(0, len(series), at_once):
            threads = [threading.Thread(target=self.play_series, args=(*each, results)) for each in series[first:first + at_once]]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
        self.assertEqual(len(results), len(series))
        self.assertEqual([result for result in results if result[2] != 0], [])

    def test_signals_that_mean_nothing_here_change_nothing(self):
        with Platform() as platform:
            for number in (signal.SIGPIPE, signal.SIGUSR1, signal.SIGUSR2, signal.SIGALRM, signal.SIGVTALRM, signal.SIGPROF,
                           signal.SIGIO, signal.SIGPWR, signal.SIGXCPU, signal.SIGXFSZ):
                with self.subTest(number):
                    platform.first.process.send_signal(number)
                    self.assertEqual(platform.first.call("GET", "/again/x").status, 200)
                    self.assertIsNone(platform.first.process.poll())

    def test_a_process_that_a_fault_ends_says_so_in_its_log(self):
        with Platform() as platform:
            for number in (signal.SIGSEGV, signal.SIGABRT):
                with self.subTest(number):
                    platform.first.process.send_signal(number)
                    self.assertEqual(ended(platform.first.process), -number)
                    self.assertIn(f"process_fault signal={number}", platform.first.log.read_text())
                    platform.first.start()
                    wait_until(platform.first.is_ready, "the node is ready")


class Logs(unittest.TestCase):
    def start(self, platform):
        """@returns a node and the reading end of the pipe that takes its log."""
        reading, writing = os.pipe()
        node = Node.__new__(Node)
        node.start = lambda: None
        Node.__init__(node, platform, "logged")
        node.process = subprocess.Popen(
            [BUILD / "snowrudder-router", "--face", "platform", "--metrics-port", str(node.metrics)], stdin=subprocess.DEVNULL,
            stdout=writing, stderr=writing, env={**os.environ, "SNOWRUDDER_BOOT": str(node.settings)})
        os.close(writing)
        platform.nodes.append(node)
        wait_until(lambda: node.process.poll() is not None or node.is_ready(), "the node is ready")
        return node, reading

    def use(self, node):
        for index in range(40):
            node.process.send_signal(signal.SIGHUP)
            self.assertEqual(node.call("GET", "/again/x", id=f"r-{index}").status, 200)

    def check_stop(self, node):
        self.assertIsNone(node.process.poll())
        node.process.send_signal(signal.SIGTERM)
        self.assertEqual(ended(node.process), 0)

    def test_a_log_that_is_closed_ends_nothing(self):
        with Platform(nodes=0) as platform:
            node, reading = self.start(platform)
            os.close(reading)
            self.use(node)
            self.check_stop(node)

    def test_a_log_that_nobody_reads_holds_up_nothing_and_left_out_lines_are_counted(self):
        with Platform(nodes=0) as platform:
            node, reading = self.start(platform)
            # Errors of the settings are logged too.
            node.settings.write_text("rubbish " * 200 + "\n")
            for _ in range(1200):
                node.process.send_signal(signal.SIGHUP)
                request(node.readiness, "GET", "/snowrudder/ready")
            self.use(node)
            figures = request(node.metrics, "GET", "/metrics").body.decode()
            self.assertRegex(figures, r"snowrudder_log_lines_dropped_total [1-9]")
            self.check_stop(node)
            os.close(reading)


class SettingsForms(unittest.TestCase):
    """Forms of a settings file that lack nothing start; the others are refused by line and reason."""

    def check(self, change):
        with Platform(nodes=0) as platform:
            node = Node.__new__(Node)
            node.start = lambda: None
            Node.__init__(node, platform, "formed")
            node.settings.write_bytes(change (node.settings.read_bytes()))
            del node.start
            node.start()
            platform.nodes.append(node)
            wait_until(lambda: node.process.poll() is not None or node.is_ready(), "the node is ready")
            return node.process.poll(), node.log.read_text()

    def test_forms_that_are_allowed(self):
        forms = {"CRLF": lambda text: text.replace(b"\n", b"\r\n"),
                 "lines of spaces": lambda text: text.replace(b"\n", b"\n   \n\t\n"),
                 "an empty line of CRLF": lambda text: b"\r\n" + text,
                 "spaces around names and values": lambda text: text.replace(b"=", b" = ").replace(b"\n", b" \n"),
                 "no newline at the end": lambda text: text.rstrip(b"\n"),
                 "unknown fields": lambda text: text + b"later.field=7\nempty=\nlimits.new=1,2\n"}
        for name, change in forms.items():
            with self.subTest(name):
                code, log = self.check(change)
                self.assertIsNone(code, log)

    def test_a_line_that_is_no_field_is_refused_by_its_number(self):
        code, log = self.check(lambda text: b"node_name=x\nno field\n" + text)
        self.assertEqual(code, 3)
        self.assertIn("formed.conf:2: ", log)


class OwnFace(unittest.TestCase):
    def test_signals_while_a_router_stops_change_nothing(self):
        with Deployment(routers=1, engines=1, services=1) as deployment:
            process = deployment.processes["router-1"]
            choice = random.Random(1)
            process.send_signal(signal.SIGHUP)
            time.sleep(0.2)
            self.assertIsNone(process.poll())
            last = time.monotonic() + LONGEST_WAIT
            while process.poll() is None and time.monotonic() < last:
                process.send_signal(choice.choice([signal.SIGTERM, signal.SIGINT, signal.SIGHUP]))
                time.sleep(choice.uniform(0.0005, 0.005))
            self.assertEqual(process.returncode, 0)

    def test_a_log_that_is_closed_or_unread_ends_nothing_and_holds_up_nothing(self):
        for is_closed in (True, False):
            with self.subTest(is_closed=is_closed), Deployment(routers=1, engines=1, services=1) as deployment:
                old = deployment.processes["router-1"]
                old.send_signal(signal.SIGTERM)
                self.assertEqual(ended(old), 0)
                reading, writing = os.pipe()
                process = subprocess.Popen([BUILD / "snowrudder-router", "--settings", deployment.folder / "router-1.json",
                                            "--log-level", "debug"],
                                           stdin=subprocess.DEVNULL, stdout=writing, stderr=writing)
                deployment.processes["router-1"] = process
                os.close(writing)
                if is_closed:
                    os.close(reading)
                port = deployment.routers["router-1"]
                def is_ready():
                    try:
                        return request(port, "GET", "/readyz").status == 200
                    except OSError:
                        return False
                wait_until(lambda: process.poll() is not None or is_ready(), "the router is ready")
                for index in range(600):
                    answer = request(port, "POST", "/v1/nowhere", {"x": index}, {"Authorization": "Bearer key-alpha"})
                    self.assertEqual(answer.status, 404)
                process.send_signal(signal.SIGTERM)
                self.assertEqual(ended(process), 0)
                if not is_closed:
                    os.close(reading)


if __name__ == "__main__":
    unittest.main()
