"""Test harness for the process tests: starts a small deployment of real processes on loopback, and its HTTP client."""
import hashlib
import hmac
import http.client
import itertools
import json
import os
import pathlib
import secrets
import signal
import socket
import subprocess
import tempfile
import time

from suspension import Suspension

ROOT = pathlib.Path(__file__).resolve().parents[2]
BUILD = pathlib.Path(os.environ.get("SNOWRUDDER_BUILD", ROOT / "build"))
MODEL = "test-model"
NODE_SECRET = "test secret"
LONGEST_WAIT = 20.0


def sha256(text):
    return hashlib.sha256(text.encode()).hexdigest()


def uuid7(milliseconds=None):
    """Returns a new UUID of version 7, as used for idempotency keys."""
    now = int(time.time() * 1000) if milliseconds is None else milliseconds
    value = (now & ((1 << 48) - 1)) << 80 | 0x7 << 76 | secrets.randbits(12) << 64 | 0b10 << 62 | secrets.randbits(62)
    text = f"{value:032x}"
    return f"{text[:8]}-{text[8:12]}-{text[12:16]}-{text[16:20]}-{text[20:]}"


class Ports:
    """Allocates ports from a block reserved for this test process. Test files run in parallel, and if the system assigned a
    port again after its process ended, callers would reach another test's deployment. A block is reserved by listening on its
    first port. All blocks lie below the ephemeral port range (32,768 and up on Linux).
    """

    BLOCKS = range(10_000, 32_000, 550)

    def __init__(self):
        for first in self.BLOCKS:
            self.guard = socket.socket()
            try:
                self.guard.bind(("127.0.0.1", first))
                self.guard.listen(1)
                break
            except OSError:
                self.guard.close()
        else:
            raise OSError("no block of ports is free")
        self.next = itertools.cycle(range(first + 1, first + self.BLOCKS.step))

    @staticmethod
    def is_free(port):
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                return False
        return True

    def take(self, count):
        tried = itertools.islice(self.next, self.BLOCKS.step)
        return list(itertools.islice(filter(self.is_free, tried), count))


PORTS = Ports()


def free_ports(count):
    """Returns ports that no process listens on, and that no other test process allocates."""
    return PORTS.take(count)


def wait_until(condition, what, pause=0.02):
    """Waits until a condition holds, and returns its value. The timeout only serves to end a test that fails."""
    end = time.monotonic() + LONGEST_WAIT
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        time.sleep(pause)
    raise AssertionError(f"timed out waiting for: {what}")


def usual_tree():
    return {
        "policy": {"services": ["models", "plain"]},
        "accounts": {
            "alpha": {"keys": [{"sha256": sha256("key-alpha")}]},
            "beta": {"keys": [{"sha256": sha256("key-beta")}]},
            "narrow": {"policy": {"services": ["plain"]}, "keys": [{"sha256": sha256("key-narrow")}]},
            "slow": {"policy": {"requests_per_second": 1, "concurrent_requests": 1},
                     "keys": [{"sha256": sha256("key-slow")}]},
        },
        "services": {
            "models": {"kind": "MODEL", "models": [MODEL]},
            "plain": {"kind": "PLAIN", "refusal_statuses": [503],
                      "repeat_rules": [{"path_prefix": "/once", "repeatable": False},
                                       {"path_prefix": "/again", "repeatable": True}]},
        },
    }


def varint(number):
    out = b""
    while number > 127:
        out, number = out + bytes([number & 127 | 128]), number >> 7
    return out + bytes([number])


def message(fields):
    """Encodes a Protobuf message of strings and unsigned integers, by field number."""
    out = b""
    for number, value in fields.items():
        if isinstance(value, int):
            out += varint(number << 3) + varint(value)
        else:
            data = value.encode()
            out += varint(number << 3 | 2) + varint(len(data)) + data
    return out


def signed(path, body, node="router-9"):
    """Returns the header that authenticates a call between nodes."""
    moment = str(int(time.time() * 1000))
    covered = f"{node};{moment};POST {path}   ".encode() + body
    return {"Snowrudder-Node": f"{node};{moment};{hmac.new(NODE_SECRET.encode(), covered, hashlib.sha256).hexdigest()}"}


class Answer:
    """An HTTP response, read completely."""

    def __init__(self, response):
        self.status = response.status
        self.headers = {name.lower(): value for name, value in response.getheaders()}
        self.body = response.read()

    def json(self):
        return json.loads(self.body)


def request(port, method, path, body=None, headers=None, timeout=LONGEST_WAIT):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        data = json.dumps(body) if isinstance(body, (dict, list)) else body
        connection.request(method, path, data, headers or {})
        return Answer(connection.getresponse())
    finally:
        connection.close()


def raw(port, data, timeout=LONGEST_WAIT):
    """Sends raw bytes and returns everything received until the connection closes."""
    with socket.create_connection(("127.0.0.1", port), timeout) as connection:
        connection.sendall(data)
        received = b""
        while True:
            try:
                piece = connection.recv(65536)
            except ConnectionResetError:
                return received
            if not piece:
                return received
            received += piece


def bearer(key="key-alpha", **more):
    return {"Authorization": f"Bearer {key}", **{name.replace("_", "-"): value for name, value in more.items()}}


def chat_body(content="hello there", stream=False, max_tokens=8, **more):
    return {"model": MODEL, "stream": stream, "max_tokens": max_tokens,
            "messages": [{"role": "user", "content": content}], **more}


class Stream:
    """A streamed answer, read event by event."""

    def __init__(self, port, method, path, body=None, headers=None, timeout=LONGEST_WAIT):
        self.connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
        self.connection.request(method, path, json.dumps(body) if body is not None else None, headers or {})
        self.response = self.connection.getresponse()
        self.id = self.response.getheader("Snowrudder-Request-Id")

    def events(self):
        """Yields (id, data) pairs; comment lines are skipped."""
        number, data = None, None
        while True:
            line = self.response.readline()
            if not line:
                return
            line = line.decode().rstrip("\n")
            if line.startswith("id: "):
                number = int(line[4:])
            elif line.startswith("data: "):
                data = line[6:]
            elif not line and data is not None:
                yield number, data
                number, data = None, None

    def close(self):
        self.response.close()
        self.connection.close()


def text_of(events):
    """Joins the text of a stream's events, and checks that their numbers have no gaps and no duplicates.

    Returns the text and whether the stream ended with [DONE].
    """
    text, last = "", None
    for number, data in events:
        if number is not None:
            assert last is None or number == last + 1, (last, number)
            last = number
        if data == "[DONE]":
            return text, True
        for choice in json.loads(data).get("choices", []):
            text += choice["delta"].get("content") or ""
    return text, False


class Deployment:
    """A small deployment: the fake platform, engines, plain services and routers, each as a process of its own."""

    def __init__(self, routers=2, engines=2, services=2, tree=None, engine=None, router=None, slots=8, environment=None,
                 suspendable=False):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="snowrudder-test-"))
        self.processes = {}
        ports = free_ports(2 + routers + engines + services)
        self.admin = ports.pop()
        self.platform = ports.pop()
        self.engines = {f"engine-{index + 1}": ports.pop() for index in range(engines)}
        self.services = {f"service-{index + 1}": ports.pop() for index in range(services)}
        self.routers = {f"router-{index + 1}": ports.pop() for index in range(routers)}
        self.domains = ["domain-a", "domain-b"]
        self.slots = slots
        self.tree = tree or usual_tree()
        self.engine_settings = {"step_microseconds": 2000, "slots": slots, **(engine or {})}
        self.router_settings = router or {}
        self.environment = {**os.environ, **(environment or {})}
        self.suspendable = suspendable
        self.suspensions = {}

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_):
        self.stop()

    def settings_file(self, name, settings):
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        return path

    def launch(self, name, program, settings):
        path = self.settings_file(name, settings)
        log = open(self.folder / f"{name}.log", "ab")
        environment = dict(self.environment)
        if self.suspendable:
            self.suspensions[name] = Suspension(self.folder / f"{name}.suspended")
            environment |= self.suspensions[name].environment(BUILD)
        self.processes[name] = subprocess.Popen([BUILD / program, "--settings", path], stdin=subprocess.DEVNULL,
                                                stdout=log, stderr=log, env=environment)
        log.close()

    def vm_list(self):
        vms = []
        for names, service in ((self.engines, "models"), (self.services, "plain")):
            for index, (name, port) in enumerate(names.items()):
                vms.append({"name": f"vm-{name}", "failure_domain": self.domains[index % 2], "state": "live",
                            "class": "engine" if service == "models" else "service", "reclaimable": True,
                            "replicas": [{"name": name, "service": service, "endpoint": f"127.0.0.1:{port}",
                                          "slots": self.slots}]})
        for index, name in enumerate(self.routers):
            vms.append({"name": f"vm-{name}", "failure_domain": self.domains[index % 2], "state": "live", "class": "entry",
                        "reclaimable": True, "replicas": []})
        return {"vms": vms}

    def start_engine(self, name):
        self.launch(name, "snowrudder-fake-engine", {"listen": f"127.0.0.1:{self.engines[name]}", "name": name,
                                                     "model": MODEL, **self.engine_settings})

    def router_entries(self):
        return [{"name": name, "failure_domain": self.domains[index % 2], "endpoint": f"127.0.0.1:{port}"}
                for index, (name, port) in enumerate(self.routers.items())]

    def start_router(self, name):
        index = list(self.routers).index(name)
        peers = [entry for entry in self.router_entries() if entry["name"] != name]
        self.launch(name, "snowrudder-router", {
            "node": {"name": name, "vm": f"vm-{name}", "failure_domain": self.domains[index % 2], "region": "test"},
            "listen": f"127.0.0.1:{self.routers[name]}", "platform": f"127.0.0.1:{self.platform}",
            "node_secret": NODE_SECRET, "peers": peers, **self.router_settings})

    def start_admin(self):
        self.launch("admin", "snowrudder-admin", {
            "node": {"name": "admin", "vm": "vm-router-1", "failure_domain": self.domains[0], "region": "test"},
            "listen": f"127.0.0.1:{self.admin}", "platform": f"127.0.0.1:{self.platform}", "node_secret": NODE_SECRET,
            "routers": self.router_entries(), "operators": [{"name": "ops", "sha256": sha256("key-ops"), "role": "EDIT"},
                                              {"name": "viewer", "sha256": sha256("key-viewer"), "role": "READ"}]})
        wait_until(lambda: self.answers(self.admin), "admin answers")

    def answers(self, port):
        try:
            return request(port, "GET", "/livez", timeout=2).status == 200
        except OSError:
            return False

    def start(self):
        (self.folder / "tree.json").write_text(json.dumps(self.tree))
        (self.folder / "vms.json").write_text(json.dumps(self.vm_list()))
        self.launch("platform", "snowrudder-fake-platform",
                    {"listen": f"127.0.0.1:{self.platform}", "settings_tree": "tree.json", "vm_list": "vms.json"})
        for name in self.engines:
            self.start_engine(name)
        for name, port in self.services.items():
            self.launch(name, "snowrudder-fake-service", {"listen": f"127.0.0.1:{port}", "name": name})
        for name in self.routers:
            self.start_router(name)
        for name in self.routers:
            self.wait_ready(name)

    def is_ready(self, name):
        try:
            return request(self.routers[name], "GET", "/readyz", timeout=2).status == 200
        except OSError:
            return False

    def wait_ready(self, name):
        wait_until(lambda: self.is_ready(name), f"{name} ready")

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()

    @property
    def router(self):
        return next(iter(self.routers.values()))

    def log(self, name):
        return (self.folder / f"{name}.log").read_text(errors="replace")

    def all_alive(self):
        return [name for name, process in self.processes.items() if process.poll() is not None] == []

    def fault(self, port, **faults):
        assert request(port, "POST", "/faults", faults).status == 200

    def stats(self, port):
        return request(port, "GET", "/stats").json()

    def runs(self, key):
        return sum(self.stats(port)["runs"].get(key, 0) for port in self.services.values())

    def metric(self, router, name):
        for line in request(self.routers[router], "GET", "/metrics").body.decode().splitlines():
            if line.split(" ")[0] == name:
                return float(line.split(" ")[1])
        return 0.0
