"""Planned stops of a node: each request that a replica began through it gets an answer."""
import collections
import concurrent.futures
import contextlib
import http.client
import re
import signal
import socket
import time
import unittest

from platform_deployment import Platform, configuration

GRACE = 6.0
"""Seconds from SIGTERM to SIGKILL that the nodes are given."""

TAKEN = 2.3
"""Seconds after SIGTERM in which the balancer may still send requests."""

NO_ANSWER = 0


class Caller:
    """Sends one request, on a new connection or an open one, and records what became of it."""

    def __init__(self, node, number, path, connection=None, deadline=5000):
        self.node, self.path, self.deadline = node, path, deadline
        self.id = f"r-{path.strip('/').split('/')[0]}-{number}"
        self.connection = connection
        self.status, self.headers, self.body = None, {}, b""
        self.sent = self.ended = None

    def run(self):
        connection = self.connection or http.client.HTTPConnection("127.0.0.1", self.node.front, timeout=30)
        self.sent = time.monotonic()
        try:
            connection.request("POST", self.path, self.id, {
                "Host": "one.example", "X-Request-Id": self.id, "X-Api-Key": "key-alpha", "X-Deadline-Ms": str(self.deadline)})
            answer = connection.getresponse()
            self.headers = {name.lower(): text for name, text in answer.getheaders()}
            self.body = answer.read()
            self.status = answer.status
        except (OSError, http.client.HTTPException):
            self.status = NO_ANSWER
        finally:
            self.ended = time.monotonic()
            connection.close()
        return self


def open_connection(node):
    connection = http.client.HTTPConnection("127.0.0.1", node.front, timeout=30)
    connection.request("GET", "/again/warm", None, {"Host": "one.example", "X-Request-Id": "r-warm", "X-Api-Key": "key-alpha"})
    connection.getresponse().read()
    return connection


class NodeStops(unittest.TestCase):
    def platform(self, how="well", first=None, slots=64, **more):
        """`how` all requests are handled; without `slots` the queue is short of places."""
        platform = Platform(first=first or configuration(), **more)
        platform.__enter__()
        self.addCleanup(platform.__exit__)
        for replica in platform.replicas:
            replica.behave = [how] * 200
            if slots:
                platform.list_replica(replica, "v1", slots=slots)
        time.sleep(0.5)
        return platform

    def stop(self, platform):
        platform.first.process.send_signal(signal.SIGTERM)
        return time.monotonic()

    def assert_true_answers(self, platform, callers):
        """Each request that a replica began has an answer that doesn't deny it, and each caller has some answer."""
        runs = collections.Counter(platform.runs())
        for caller in callers:
            with self.subTest(caller=caller.id, status=caller.status):
                self.assertNotEqual(caller.status, NO_ANSWER, f"began {runs[caller.id]} times")
                if caller.status in (503, 429, 408, 421):
                    self.assertEqual(runs[caller.id], 0)
                if caller.path.startswith("/once/"):
                    self.assertLessEqual(runs[caller.id], 1)

    def assert_ended(self, platform, asked):
        self.assertEqual(platform.first.process.wait(10), 0)
        self.assertLess(time.monotonic() - asked, GRACE)
        self.assertIn(" stopped", platform.first.log.read_text())

    def late_requests(self, how, path, is_open, deadline=5000):
        platform = self.platform()
        connections = [open_connection(platform.first) if is_open else None for _ in range(24)]
        for replica in platform.replicas:
            replica.behave = [how] * 200
        asked = self.stop(platform)
        callers = [Caller(platform.first, number, path, connection, deadline) for number, connection in enumerate(connections)]

        def send(caller, delay):
            time.sleep(max(0.0, asked + delay - time.monotonic()))
            return caller.run()

        with concurrent.futures.ThreadPoolExecutor(len(callers)) as pool:
            list(pool.map(send, callers, [0.2 + 2.05 * number / len(callers) for number in range(len(callers))]))
        self.assert_true_answers(platform, callers)
        self.assert_ended(platform, asked)
        return platform, callers

    def test_late_requests_that_run_once_and_take_long(self):
        for how, is_open in (("slow", False), ("slower", True), ("hang", False)):
            with self.subTest(how=how, is_open=is_open):
                platform, callers = self.late_requests(how, "/once/x", is_open)
                # The first ones' deadlines come before the end.
                late = [caller for caller in callers if caller.status == 503]
                self.assertGreaterEqual(len(late), 20)
                for caller in late:
                    self.assertIn("retry-after", caller.headers)
                    self.assertLess(caller.ended - caller.sent, 0.5)
                self.assertIn("this node's end", platform.first.log.read_text())

    def test_late_requests_that_may_be_repeated_and_take_long(self):
        for how, is_open in (("slow", True), ("slower", False), ("hang", True)):
            with self.subTest(how=how, is_open=is_open):
                platform, callers = self.late_requests(how, "/again/x", is_open)
                self.assertIn("request_at_stop", platform.first.log.read_text())
                self.assertLessEqual({caller.status for caller in callers}, {200, 503, 504})

    def test_late_requests_with_deadlines_within_the_grace_are_taken(self):
        for path in ("/once/x", "/again/x"):
            _, callers = self.late_requests("well", path, False, 2500)
            self.assertEqual({caller.status for caller in callers}, {200})

    def test_ordinary_requests_that_may_be_repeated_are_taken_until_the_balancer_is_done(self):
        platform = self.platform()
        asked, statuses, number = self.stop(platform), collections.Counter(), 0
        while time.monotonic() < asked + TAKEN - 0.1:
            statuses[Caller(platform.first, number, "/again/x").run().status] += 1
            number += 1
            time.sleep(0.01)
        self.assertEqual(set(statuses), {200})
        self.assertGreater(statuses[200], 20)

    def test_no_replica_is_handed_more_time_than_remains(self):
        platform = self.platform()
        asked, handed, number = self.stop(platform), [], 0
        while time.monotonic() < asked + TAKEN - 0.1:
            Caller(platform.first, number, ("/again/x", "/resumed-stream/x")[number % 2]).run()
            number += 1
            time.sleep(0.02)
        for replica in platform.replicas:
            for (_, _, headers, _), (when, _) in zip(replica.seen, replica.arrivals):
                fields = {name.lower(): text for name, text in headers.items()}
                if when > asked + 0.05 and "x-deadline-ms" in fields:
                    handed.append(when - asked + int(fields["x-deadline-ms"]) / 1000)
        self.assertGreater(len(handed), 20)
        self.assertLess(max(handed), GRACE - 0.6)

    def test_requests_under_way_get_an_answer_at_the_end(self):
        patient = configuration()
        for route in patient["routes"]:
            route["timeout_ms"] = 30000
        for is_open in (False, True):
            platform = self.platform(first=patient)
            connections = [open_connection(platform.first) if is_open else None for _ in range(12)]
            for replica in platform.replicas:
                replica.behave = ["hang"] * 200
            callers = [Caller(platform.first, number, ("/once/x", "/again/x")[number % 2], connection, 20000)
                       for number, connection in enumerate(connections)]
            with concurrent.futures.ThreadPoolExecutor(len(callers)) as pool:
                running = [pool.submit(caller.run) for caller in callers]
                time.sleep(0.5)
                asked = self.stop(platform)
                for caller in running:
                    caller.result()
            self.assert_true_answers(platform, callers)
            self.assertEqual({caller.status for caller in callers}, {504})
            for caller in callers:
                # They are not ended earlier than the process itself used to be.
                self.assertGreater(caller.ended - asked, GRACE - 0.75)
            self.assert_ended(platform, asked)
            self.assertEqual(len(re.findall("request_ended_by_stop", platform.first.log.read_text())), len(callers))

    def test_nothing_waits_in_a_queue_into_the_end(self):
        patient = configuration()
        for route in patient["routes"]:
            route["timeout_ms"], route["latency_slo_ms"] = 30000, 20000
        platform = self.platform("hang", first=patient, slots=None, replicas=1)
        callers = [Caller(platform.first, number, ("/once/x", "/again/x")[number % 2], None, 20000) for number in range(40)]
        with concurrent.futures.ThreadPoolExecutor(len(callers)) as pool:
            running = [pool.submit(caller.run) for caller in callers]
            time.sleep(0.5)
            asked = self.stop(platform)
            for caller in running:
                caller.result()
        runs = set(platform.runs())
        waiting = [caller for caller in callers if caller.id not in runs]
        self.assertTrue(waiting)
        self.assert_true_answers(platform, callers)
        self.assertEqual({caller.status for caller in waiting}, {503})
        for caller in waiting:
            # What may be repeated may still get a place.
            self.assertLess(caller.ended - asked, 0.5 if caller.path.startswith("/once/") else GRACE - 0.4)
        self.assert_ended(platform, asked)

    def test_a_stream_that_may_be_resumed_ends_between_two_events(self):
        patient = configuration()
        for route in patient["routes"]:
            route["timeout_ms"] = 30000
        platform = self.platform("slow", first=patient)
        for replica in platform.replicas:
            replica.events = 100
        with socket.create_connection(("127.0.0.1", platform.first.front)) as caller:
            caller.sendall(b"POST /resumed-stream/x HTTP/1.1\r\nHost: one.example\r\nX-Request-Id: r-1\r\n"
                           b"X-Api-Key: key-alpha\r\nContent-Length: 0\r\n\r\n")
            received = caller.recv(1000)
            asked = self.stop(platform)
            caller.settimeout(10)
            with contextlib.suppress(ConnectionResetError):
                while piece := caller.recv(1000):
                    received += piece
        self.assertFalse(received.endswith(b"0\r\n\r\n"))
        self.assertTrue(received.endswith(b"\n\n\r\n"), received[-80:])
        self.assertGreater(time.monotonic() - asked, GRACE - 0.75)
        self.assert_ended(platform, asked)
        self.assertIn("outcome=broken_off", platform.first.log.read_text())


if __name__ == "__main__":
    unittest.main()
