"""Tests that bytes without end, from a replica or a caller, cost a node no memory and no other request, with real router processes.

Guards against a replica whose head of a chunk did not end: a node read 6 GB of it in 20 s, and no deadline ended the call."""
import socket
import threading
import time
import unittest

from harness import wait_until
from platform_deployment import Platform

MAX_MEMORY = 24 << 20
"""Bytes by which a node's memory may grow meanwhile."""

AT_ONCE = 1.0
"""Seconds in which a node leaves what can't become an answer."""

LATE_TIME = 1.5
"""Seconds after a deadline by which a node has closed the connection: what was received before is still passed on."""


def memory(node):
    with open(f"/proc/{node.process.pid}/statm", encoding="ascii") as statm:
        return int(statm.read().split()[1]) * 4096


class EndlessBytes(unittest.TestCase):
    def setUp(self):
        self.platform = Platform(replicas=2).__enter__()
        self.addCleanup(self.platform.__exit__)
        self.node = self.platform.first
        wait_until(self.node.is_ready, "the node is ready")
        self.assertEqual(self.node.call("GET", "/again/x").status, 200)
        self.before = memory(self.node)

    def check_node(self):
        self.assertLess(memory(self.node) - self.before, MAX_MEMORY)
        self.assertEqual(self.node.call("GET", "/again/x").status, 200)


class EndlessAnswers(EndlessBytes):
    def play(self, how, path, deadline=3000):
        """@returns the answer, or None where it was broken off, and the seconds until the node closed the replica's connection."""
        for replica in self.platform.replicas:
            replica.endless = []
        self.platform.replicas[0].behave = self.platform.replicas[1].behave = [how]
        began = time.monotonic()
        try:
            answer = self.node.call("POST", path, {"X-Deadline-Ms": str(deadline)}, "prompt", id=f"{how}-{path[1:3]}")
        except Exception:  # pylint: disable=broad-except  (however it is broken off)
            answer = None
        wait_until(lambda: any(replica.endless for replica in self.platform.replicas), "the node closes the connection")
        ended = [at for replica in self.platform.replicas for _, at in replica.endless]
        self.assertEqual(len(ended), 1)
        self.check_node()
        return answer, ended[0] - began

    def test_what_is_no_answer_is_left_at_once_and_another_replica_serves_the_request(self):
        for how in ("endless-bytes", "endless-head", "endless-interim"):
            with self.subTest(how):
                answer, seconds = self.play(how, "/again/x")
                self.assertEqual(answer.status, 200)
                self.assertLess(seconds, AT_ONCE)

    def test_what_is_no_answer_is_not_repeated_where_the_request_may_have_run(self):
        for how in ("endless-bytes", "endless-head", "endless-interim"):
            with self.subTest(how):
                answer, seconds = self.play(how, "/once/x")
                self.assertEqual((answer.status, answer.json()["ran"]), (502, "unknown"))
                self.assertLess(seconds, AT_ONCE)

    def test_a_body_whose_framing_does_not_end_is_never_complete(self):
        for how in ("endless-chunk-head", "endless-chunk-size", "endless-trailer"):
            for path in ("/once/x", "/stream/x"):
                with self.subTest(f"{how} {path}"):
                    answer, seconds = self.play(how, path)
                    self.assertTrue(answer is None or answer.status == 502, answer)
                    self.assertLess(seconds, AT_ONCE)

    def test_a_body_whose_framing_does_not_end_is_sent_again_where_nothing_of_it_was_passed_on(self):
        for how in ("endless-chunk-head", "endless-chunk-size", "endless-trailer"):
            with self.subTest(how):
                answer, seconds = self.play(how, "/again/x")
                self.assertEqual(answer.status, 200)
                self.assertLess(seconds, AT_ONCE)

    def test_an_event_that_does_not_end_is_broken_off(self):
        answer, _ = self.play("endless-event", "/stream/x")
        self.assertIsNone(answer)

    def test_a_body_without_end_ends_with_the_deadline(self):
        for path in ("/again/x", "/stream/x"):
            with self.subTest(path):
                answer, seconds = self.play("endless-body", path, deadline=1500)
                self.assertIsNone(answer)
                self.assertLess(seconds, 1.5 + LATE_TIME)


class EndlessRequests(EndlessBytes):
    HEAD = (b"POST /again/x HTTP/1.1\r\nHost: one.example\r\nX-Request-Id: r-1\r\nX-Api-Key: key-alpha\r\n")

    def play(self, port, first, rest):
        """Sends without end until the node closes the connection. @returns what the node answered."""
        answered = []
        with socket.create_connection(("127.0.0.1", port), 10) as caller:
            caller.sendall(first)
            reader = threading.Thread(target=self.read, args=(caller, answered), daemon=True)
            reader.start()
            began = time.monotonic()
            try:
                while time.monotonic() - began < 8:
                    caller.send(rest * (4096 // len(rest)))
            except OSError:
                pass
            seconds = time.monotonic() - began
        self.assertLess(seconds, 3)
        self.check_node()
        return b"".join(answered)

    @staticmethod
    def read(caller, answered):
        try:
            while data := caller.recv(4096):
                answered.append(data)
        except OSError:
            pass

    def test_a_request_whose_framing_does_not_end_is_refused(self):
        chunked = self.HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        for name, first, rest in (("head of a chunk", chunked + b"1;", b"x"), ("size of a chunk", chunked, b"0"),
                                  ("trailer", chunked + b"4\r\npart\r\n0\r\nX-Field: ", b"x"),
                                  ("head", self.HEAD + b"X-Field: ", b"x")):
            with self.subTest(name):
                answered = self.play(self.node.front, first, rest)
                self.assertRegex(answered[:13], b"^(HTTP/1.1 4(00|13|31)|$)")

    def test_a_node_s_request_for_a_connection_that_does_not_end_is_left(self):
        first = b"CONNECT i-0/127.0.0.1:1/1000 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1;"
        self.play(self.node.peers, first, b"x")


if __name__ == "__main__":
    unittest.main()
