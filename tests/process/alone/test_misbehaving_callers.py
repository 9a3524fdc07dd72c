"""Tests that callers who send too much, or stop short of a request's end, don't end a router by its memory, with real processes.

Run alone: they measure memory. Guards against bodies and read buffers that were bounded each, but not in their sum.
"""
import pathlib
import socket
import sys
import threading
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from harness import Deployment, request, wait_until  # noqa: E402
from platform_deployment import Platform, configuration  # noqa: E402

MEBIBYTE = 1 << 20

MEMORY = 64 * MEBIBYTE
"""The memory of the router's machine, as its settings tell: more ends the process."""

OWN_MEMORY = 256 * MEBIBYTE
"""The same where the settings don't tell it."""

MAX_BODY = MEBIBYTE
OWN_MAX_BODY = 8 * MEBIBYTE
CROWD = 80
OWN_CROWD = 48

MAX_DESCRIPTORS = 2 * CROWD + 100
MAX_LEFT = 16 * MEBIBYTE
"""By how much memory may be above what it was before, once the crowd has left."""

MAX_LEFT_DESCRIPTORS = 16

LARGE_CHUNK = 64 * 1024


def account(name, key):
    return {"name": name, "api_keys": [key], "unit": "token_stream", "plain_tokens": 10, "rate_per_s": 0, "burst": 0}


def settings_of_callers():
    first = configuration(tenants=[account("alpha", "key-alpha"), account("beta", "key-beta")])
    first["limits"] |= {"max_body_bytes": MAX_BODY, "header_timeout_ms": 30000, "idle_timeout_ms": 30000}
    return first


class Process:
    """What the kernel tells of a process."""

    def __init__(self, process):
        self.process = process

    def status(self, field):
        with open(f"/proc/{self.process.pid}/status", encoding="ascii") as lines:
            return next(int(line.split()[1]) * 1024 for line in lines if line.startswith(field + ":"))

    def descriptors(self):
        return sum(1 for _ in pathlib.Path(f"/proc/{self.process.pid}/fd").iterdir())


class Caller:
    """A connection that sends, in a thread of its own, until all is sent or the router closes. It stays open."""

    def __init__(self, port, parts, reads=False):
        self.socket = socket.create_connection(("127.0.0.1", port), 30)
        self.answered = b""
        self.reads = reads
        self.thread = threading.Thread(target=self.send, args=(parts,), daemon=True)
        self.thread.start()

    def send(self, parts):
        try:
            for part in parts:
                self.socket.sendall(part)
                if self.reads and part.endswith(END):
                    self.read()
        except OSError:
            pass

    def read(self):
        """Reads one whole answer with a length."""
        received = b""
        while b"\r\n\r\n" not in received:
            piece = self.socket.recv(65536)
            if not piece:
                return
            received += piece
        head, _, body = received.partition(b"\r\n\r\n")
        length = next((int(line.split(b":")[1]) for line in head.split(b"\r\n") if line.lower().startswith(b"content-length")), 0)
        while len(body) < length:
            body += self.socket.recv(65536)
        self.answered += head + b"\r\n"

    def close(self):
        self.thread.join(30)
        self.socket.close()


END = b"\n#end"
"""How a whole body ends, so that the sender knows that an answer follows."""


def head(number, framing, path="/again/x", extra=b""):
    return (b"POST %s HTTP/1.1\r\nHost: one.example\r\nX-Request-Id: crowd-%d\r\nX-Api-Key: key-alpha\r\nX-Deadline-Ms: 5000\r\n"
            b"Authorization: Bearer key-alpha\r\n%s%s\r\n\r\n" % (path.encode(), number, extra, framing))


LENGTH = b"Content-Length: %d"
CHUNKED = b"Transfer-Encoding: chunked"


def of_length(number, size, missing=1, path="/again/x"):
    yield head(number, LENGTH % size, path)
    yield from pieces(size - missing)


def pieces(size):
    for _ in range(size // LARGE_CHUNK):
        yield b"x" * LARGE_CHUNK
    yield b"x" * (size % LARGE_CHUNK)


def of_chunks(number, size, chunk, path="/again/x", extension=b""):
    """A body in chunks whose last chunk doesn't come."""
    yield head(number, CHUNKED, path)
    framed = b"%x%s\r\n%s\r\n" % (chunk, extension, b"x" * chunk)
    at_once = max(1, LARGE_CHUNK // len(framed))
    for _ in range(size // chunk // at_once):
        yield framed * at_once


def of_trailer(number, size):
    yield head(number, CHUNKED)
    yield b"%x\r\n%s\r\n0\r\nX-Field: " % (size, b"x" * size)


def whole(number, size, times=1):
    for _ in range(times):
        yield head(number, LENGTH % size)
        yield from pieces(size - len(END))
        yield END


class Crowd(unittest.TestCase):
    memory = MEMORY

    def play(self, process, callers, ordinary, meanwhile=True, settle=False):
        """Starts the callers, checks the process while they stay, lets them leave, and checks it again.

        settle: memory must be back while they are still connected."""
        figures = Process(process)
        ordinary("before")
        before, descriptors = figures.status("VmRSS"), figures.descriptors()
        crowd = [make() for make in callers]
        for caller in crowd:
            caller.thread.join(30)
        if meanwhile:
            ordinary("meanwhile")
        if settle:
            wait_until(lambda: process.poll() is not None or figures.status("VmRSS") < before + MAX_LEFT, "memory is given back")
        self.assertIsNone(process.poll())
        self.assertLess(figures.descriptors(), MAX_DESCRIPTORS)
        for caller in crowd:
            caller.close()
        wait_until(lambda: process.poll() is not None or figures.descriptors() <= descriptors + MAX_LEFT_DESCRIPTORS,
                   "the connections are closed")
        ordinary("afterwards")
        self.assertIsNone(process.poll())
        self.assertLess(figures.status("VmHWM"), self.memory)
        wait_until(lambda: figures.status("VmRSS") < before + MAX_LEFT, "memory is given back")
        return crowd


class Callers(Crowd):
    def setUp(self):
        self.platform = Platform(first=settings_of_callers(), settings=f"limits.memory_mb={MEMORY // MEBIBYTE}\n").__enter__()
        self.addCleanup(self.platform.__exit__)
        self.node = self.platform.first
        wait_until(self.node.is_ready, "the node is ready")

    def ordinary(self, name):
        """A request of another account."""
        self.assertEqual(self.node.call("POST", "/again/x", body="prompt", key="key-beta", id=f"ordinary-{name}").status, 200)

    def play_bodies(self, make, port=None, meanwhile=True, **more):
        port = port or self.node.front
        callers = [lambda number=number: Caller(port, make(number), **more) for number in range(CROWD)]
        return self.play(self.node.process, callers, self.ordinary, meanwhile)

    def test_bodies_of_a_length_that_stop_short_of_their_end(self):
        self.play_bodies(lambda number: of_length(number, MAX_BODY))

    def test_bodies_in_large_chunks_that_stop_short_of_their_end(self):
        self.play_bodies(lambda number: of_chunks(number, MAX_BODY - LARGE_CHUNK, LARGE_CHUNK))

    def test_bodies_in_one_chunk_that_stops_short_of_its_end(self):
        def parts(number):
            yield head(number, CHUNKED) + b"%x\r\n" % MAX_BODY
            yield from pieces(MAX_BODY - 1)
        self.play_bodies(parts)

    def test_bodies_in_tiny_chunks_that_stop_short_of_their_end(self):
        self.play_bodies(lambda number: of_chunks(number, 200_000, 1))

    def test_bodies_whose_length_is_far_over_the_limit(self):
        self.play_bodies(lambda number: of_length(number, 50 * MAX_BODY, missing=48 * MAX_BODY))

    def test_bodies_in_chunks_far_over_the_limit(self):
        self.play_bodies(lambda number: of_chunks(number, 3 * MAX_BODY, LARGE_CHUNK))

    def test_chunk_extensions_and_trailers(self):
        self.play_bodies(lambda number: of_chunks(number, 1000, 1, extension=b";" + b"e" * 2000))
        self.play_bodies(lambda number: of_trailer(number, LARGE_CHUNK))

    def test_heads_that_stop_short_of_their_end(self):
        self.play_bodies(lambda number: [b"POST /again/x HTTP/1.1\r\nHost: one.example\r\nX-Field: " + b"x" * 8000])

    def test_whole_bodies_while_replicas_are_busy(self):
        for replica in self.platform.replicas:
            replica.behave = ["slow"] * CROWD
        callers = [lambda number=number: Caller(self.node.front, whole(number, MAX_BODY)) for number in range(CROWD)]

        def ordinary(name):
            if name == "afterwards":
                for replica in self.platform.replicas:
                    replica.behave = []
            if name != "before":
                self.ordinary(name)
        self.play(self.node.process, callers, ordinary, meanwhile=False)

    def test_kept_connections_after_large_bodies(self):
        callers = [lambda number=number: Caller(self.node.front, whole(number, MAX_BODY, 3), reads=True) for number in range(CROWD)]
        self.play(self.node.process, callers, self.ordinary, settle=True)

    def test_answers_that_nobody_reads(self):
        for replica in self.platform.replicas:
            replica.answer_bytes = MAX_BODY
        self.play_bodies(lambda number: whole(number, 1000), meanwhile=False)

    def test_large_events_that_nobody_reads(self):
        for replica in self.platform.replicas:
            replica.event_text = "x" * 1_000_000
        self.play_bodies(lambda number: [head(number, LENGTH % 0, "/stream/x")], meanwhile=False)

    def test_the_load_balancer_is_answered_while_two_accounts_hold_all_they_may(self):
        for replica in self.platform.replicas:
            replica.behave = ["slow"] * 2 * CROWD

        def of(number):
            yield from (part.replace(b"key-alpha", b"key-beta") if number % 2 else part for part in whole(number, MAX_BODY))
        crowd = [Caller(self.node.front, of(number)) for number in range(CROWD)]
        for _ in range(20):
            self.assertTrue(self.node.is_ready())
        for caller in crowd:
            caller.thread.join(30)
        self.assertTrue(self.node.is_ready())
        for caller in crowd:
            caller.close()
        for replica in self.platform.replicas:
            replica.behave = []
        self.ordinary("afterwards")
        self.assertLess(Process(self.node.process).status("VmHWM"), self.memory)

    def test_a_refusal_for_memory_is_true_and_says_when_to_come_again(self):
        crowd = [Caller(self.node.front, of_length(number, MAX_BODY)) for number in range(CROWD)]
        for caller in crowd:
            caller.thread.join(30)
        answers = []
        for caller in crowd:
            caller.socket.settimeout(0.5)
            try:
                answers.append(caller.socket.recv(65536))
            except OSError:
                pass
        refused = [answer for answer in answers if answer.startswith(b"HTTP/1.1 503")]
        self.assertGreater(len(refused), 0)
        for answer in refused:
            self.assertIn(b'"memory_full"', answer)
            self.assertIn(b'"ran":"no"', answer)
            self.assertIn(b"Retry-After: ", answer)
        for caller in crowd:
            caller.close()
        self.assertEqual([run for run in self.platform.runs() if run.startswith("crowd")], [])
        figures = request(self.node.metrics, "GET", "/metrics").body.decode()
        self.assertRegex(figures, r"snowrudder_requests_evicted [1-9]")

    def test_bodies_to_the_ports_that_take_none(self):
        for port in (self.node.readiness, self.node.metrics, self.node.peers):
            with self.subTest(port):
                self.play_bodies(lambda number: of_length(number, MAX_BODY), port)
                self.play_bodies(lambda number: of_chunks(number, MAX_BODY - LARGE_CHUNK, LARGE_CHUNK), port)
                self.assertTrue(self.node.is_ready())


class OwnFaceCallers(Crowd):
    """The same on the product's own interface, whose limit on a body is fixed."""
    memory = OWN_MEMORY

    def setUp(self):
        self.deployment = Deployment(routers=1, engines=1, services=1).__enter__()
        self.addCleanup(self.deployment.__exit__)
        self.port = self.deployment.routers["router-1"]
        self.process = self.deployment.processes["router-1"]
        wait_until(lambda: self.is_served("start"), "the router is ready")

    def is_served(self, name):
        answer = request(self.port, "POST", f"/services/plain/again/{name}", "x", {"Authorization": "Bearer key-beta"})
        return answer.status == 200

    def ordinary(self, name):
        self.assertTrue(self.is_served(name))

    def play_bodies(self, make):
        callers = [lambda number=number: Caller(self.port, make(number)) for number in range(OWN_CROWD)]
        self.play(self.process, callers, self.ordinary)

    def test_bodies_of_a_length_that_stop_short_of_their_end(self):
        self.play_bodies(lambda number: of_length(number, OWN_MAX_BODY, path="/services/plain/again/x"))

    def test_bodies_in_large_chunks_that_stop_short_of_their_end(self):
        self.play_bodies(lambda number: of_chunks(number, OWN_MAX_BODY - LARGE_CHUNK, LARGE_CHUNK, "/services/plain/again/x"))


if __name__ == "__main__":
    unittest.main()
