"""A small deployment of real processes on loopback: the router by the deploy file's command, replicas as processes, and the
project's stand-ins of the platform's store and cloud interface."""
import base64
import json
import os
import pathlib
import random
import select
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tests" / "process"))

from platform_stand_in import Cloud, Server, Store  # noqa: E402  (its folder is put on the path above)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2

# The bounds of the smallest deployment's sheet.
SETTINGS = """role=router
machine_class=front
serves=front
region=r
zones.a=r
zones.b=r
zones.c=r
bootstrap=true
count_as_fault=false
limits.cpu_share=0.25
limits.cores=1
limits.memory_mb=260
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,quota,leader,platform
fault_tolerance.machines=2
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.catch_up_s=4
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.rollback_slack_ms=250
bounds.max_stretch_ms=5000
bounds.revoke_strict=true
bounds.revoke_ms=5000
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.retry_slack=56
bounds.quota_window_s=8
bounds.quota_overshoot=0.1
bounds.quota_slack=140000
bounds.require_fencing=false
bounds.lease_ms=3000
bounds.thaw_ms=300
bounds.report_window_s=5
bounds.usage_off=0.05
bounds.usage_late_s=10
bounds.recovery_s=12
bounds.pass_ms=120
bounds.retry_after_s=10
platform.form=kv
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes=1048576
platform.ttl_min_ms=1000
cloud.rate_per_s=50.0
cloud.duties=metered,autoscale
cloud.duty_per_s=50.0
"""


class NotRun(Exception):
    """The case could not run."""


def wait_until(condition, what, limit=15.0):
    end = time.monotonic() + limit
    while time.monotonic() < end:
        if value := condition():
            return value
        time.sleep(0.005)
    raise NotRun(f"timed out waiting for: {what}")


def route(prefix, service, kind, **more):
    return {"name": prefix.strip("/"), "host": "one.example", "path_prefix": prefix, "kind": kind, "timeout_ms": 15000,
            "latency_slo_ms": 600, "priority": 1, "service": service, "max_attempts": 1, "public": False, "stream_resume": False,
            **more}


def configuration(version, routes, services, keys=("key-alpha",)):
    return {"version": version, "routes": routes,
            "services": [{"name": name, "health_path": "/health", "max_conns": 370, "protocol": "h1", "tls": False, **more}
                         for name, more in services.items()],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "alpha", "api_keys": list(keys), "priority": 1, "unit": "token_stream", "plain_tokens": 200,
                         "rate_per_s": 0, "burst": 0}]}


class Bed:
    def __init__(self, folder):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="snowrudder-review-"))
        self.record = open(pathlib.Path(folder) / "record.txt", "w", buffering=1)
        self.began = time.monotonic()
        self.lock = threading.Lock()
        self.processes = {}
        self.events = []
        self.store_port, self.cloud_port = self.free_port(), self.free_port()
        self.store, self.cloud = Store(self.store_port), TimedCloud(self.cloud_port)
        if not (ROOT / "target" / "snowrudder-router").exists():
            raise NotRun("target/snowrudder-router has not been built")
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.command = next(iter(deploy["roles"].values()))["run"].split(" ")

    @staticmethod
    def free_port(ip="127.0.0.1", kind=socket.SOCK_STREAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            probe.bind((ip, 0))
            return probe.getsockname()[1]

    def free_address(self):
        """Returns a loopback address of its own, on which the fixed ports of the deploy file's command are free."""
        while True:
            ip = f"127.{random.randrange(1, 255)}.{random.randrange(1, 255)}.{random.randrange(1, 255)}"
            try:
                with socket.socket() as probe:
                    probe.bind((ip, 9464))
                return ip
            except OSError:
                continue

    def note(self, text):
        with self.lock:
            self.record.write(f"{time.monotonic() - self.began:8.3f} {text}\n")

    def start_replica(self, name, service, port=None, version="v1", is_listed=True, **entry):
        """Starts a replica, also again at the port that it had before, and lists it at the store if it reaches it."""
        port = port or self.free_port()
        log = self.folder / f"{name}.jsonl"
        log.touch()
        starts = len(self.of(name, "started"))
        self.processes[name] = subprocess.Popen([sys.executable, "-u", str(ROOT / "review/common-2/replica.py"), name, "127.0.0.1",
                                                 str(port), str(log), version], stdin=subprocess.DEVNULL)
        wait_until(lambda: len(self.of(name, "started")) > starts, f"{name} has started")
        self.note(f"replica {name} of {service}, {version}, started at 127.0.0.1:{port}")
        if is_listed:
            self.list_replica(name, service, port, version, **entry)
        return port

    def list_replica(self, name, service, port, version, **entry):
        """Writes a replica's entry as the replica itself does."""
        self.store.put(f"servers/{name}", {"service": service, "address": f"127.0.0.1:{port}", "zone": "a", "version": version,
                                           "slots": 64, "state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": int(time.time() * 1000), **entry})

    def seen(self, name):
        lines = (self.folder / f"{name}.jsonl").read_text().split("\n")[:-1]
        return [json.loads(line) for line in lines]

    def of(self, name, what):
        return [entry for entry in self.seen(name) if entry["what"] == what]

    def start_node(self, name, store_port=None, cloud_port=None, zone="a"):
        ip = self.free_address()
        front, readiness, peers = (self.free_port(ip) for _ in range(3))
        settings = self.folder / f"{name}.conf"
        settings.write_text(f"node_name={name}\nip={ip}\nzone={zone}\nlisten.front={ip}:{front}\n"
                            f"listen.readiness={ip}:{readiness}\nport_range={peers},{peers}\n"
                            f"platform.address=127.0.0.1:{store_port or self.store_port}\n"
                            f"cloud.address=127.0.0.1:{cloud_port or self.cloud_port}\n" + SETTINGS)
        self.start_process(name, settings)
        self.note(f"node {name} started, front {ip}:{front}")
        return Node(self, name, ip, front, readiness, peers)

    def restart_node(self, node):
        """Starts a node that has ended once more, with the settings that it had."""
        settings = self.folder / f"{node.name}.conf"
        settings.write_text(settings.read_text().replace("bootstrap=true", "bootstrap=false"))
        self.start_process(node.name, settings)
        self.note(f"node {node.name} started again")
        return node

    def start_process(self, name, settings):
        with open(self.folder / f"{name}.log", "ab") as log:
            environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
            process = subprocess.Popen(self.command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                                       env={**environment, "SNOWRUDDER_BOOT": str(settings)})
        self.processes[name] = process

    def kill(self, name, number=signal.SIGKILL):
        self.note(f"{signal.Signals(number).name} to {name}")
        self.processes[name].send_signal(number)

    def log_lines(self, name, *words):
        lines = (self.folder / f"{name}.log").read_text(errors="replace").split("\n")
        return [line for line in lines if all(word in line for word in words)]

    def close(self):
        for name, process in self.processes.items():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        replica_events = []
        for log in sorted(self.folder.glob("*.jsonl")):
            replica_events += [json.loads(line) for line in log.read_text().split("\n")[:-1]]
        self.record.write("\nseen by the replicas:\n")
        for entry in sorted(replica_events, key=lambda entry: entry["at"]):
            at = entry.pop("at") - self.began
            self.record.write(f"{at:8.3f} {json.dumps(entry)}\n")
        self.record.close()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Path:
    """A node's way to one address, which can be cut: new connections are refused, open ones reset."""

    def __init__(self, target):
        self.target = target
        self.open = set()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                near, _ = self.listener.accept()
                far = socket.create_connection(("127.0.0.1", self.target), 5)
            except OSError:
                return
            far.settimeout(None)
            self.open |= {near, far}
            for source, sink in ((near, far), (far, near)):
                sink.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                threading.Thread(target=self.forward, args=(source, sink), daemon=True).start()

    @staticmethod
    def forward(source, sink):
        try:
            while piece := source.recv(65536):
                sink.sendall(piece)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            for connection in (source, sink):
                reset(connection)

    def cut(self):
        try:
            self.listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.listener.close()
        for connection in list(self.open):
            reset(connection)


class Link:
    """A node's way to the platform over a link that can be cut without a sign, as TCP sees it: what was sent before or during
    the cut on an open connection arrives with the first retransmission after the cut (0.2 s after it was sent, doubling from
    there), also if the sender has closed the connection meanwhile. A reset discards it. New connections get nowhere."""

    FIRST_RETRANSMISSION = 0.2

    def __init__(self, target, note):
        self.target, self.note = target, note
        self.cut_from = self.cut_until = None
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def cut(self, seconds):
        self.cut_from = time.monotonic()
        self.cut_until = self.cut_from + seconds

    def is_cut(self):
        return self.cut_from is not None and self.cut_from <= time.monotonic() < self.cut_until

    def accept(self):
        while True:
            try:
                near, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(near,), daemon=True).start()

    def serve(self, near):
        if self.is_cut():
            time.sleep(self.cut_until - time.monotonic())
            reset(near)
            return
        try:
            far = socket.create_connection(("127.0.0.1", self.target), 5)
        except OSError:
            reset(near)
            return
        far.settimeout(None)
        for source, sink in ((near, far), (far, near)):
            sink.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.forward, args=(source, sink, source is near), daemon=True).start()

    def arrival(self, sent):
        """Returns when bytes arrive that were sent during the cut."""
        pause, due = self.FIRST_RETRANSMISSION, sent
        while due < self.cut_until:
            due, pause = due + pause, 2 * pause
        return due

    def forward(self, source, sink, is_from_node):
        held, due, has_ended = b"", None, False
        try:
            while True:
                if due is None or not has_ended:
                    wait = None if due is None else max(0.0, due - time.monotonic())
                    if select.select([source], [], [], wait)[0]:
                        piece = source.recv(65536)
                        has_ended = not piece
                        if due is None and not self.is_cut():
                            if has_ended:
                                break
                            sink.sendall(piece)
                            continue
                        if due is None:
                            due = self.arrival(time.monotonic())
                        held += piece
                        continue
                else:
                    time.sleep(max(0.0, due - time.monotonic()))
                if held:
                    if is_from_node:
                        self.note(f"{len(held)} bytes that the node sent during the cut arrive {time.monotonic() - self.cut_until:.2f} s"
                                  f" after it; the node has {'closed the connection' if has_ended else 'kept the connection'}")
                    sink.sendall(held)
                held, due = b"", None
                if has_ended:
                    break
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            reset(source)
            reset(sink)


class TimedCloud(Cloud):
    """Records when each duty call arrived."""

    def __init__(self, port):
        self.arrived = []
        super().__init__(port)

    def handle(self, call, body):
        self.arrived.append((time.monotonic(), *self.entry(call, body)))
        super().handle(call, body)


def reset(connection):
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.shutdown(socket.SHUT_RDWR)
        connection.close()
    except OSError:
        pass


class StoreView:
    """The store as one node reaches it. It shows the replicas at the node's own paths to them, by `ports`."""

    def __init__(self, port, store, ports):
        self.store, self.ports = store, ports
        self.server = Server(port, self)

    def handle(self, call, body):
        path, _, text = call.path.partition("?")
        query = dict(part.split("=", 1) for part in text.split("&") if part)
        status, value = self.store.serve(call.command, path, query, json.loads(body) if body else {})
        call.answer(status, self.shown(value))

    def shown(self, value):
        lists = {name: [self.item(entry) for entry in value[name]] for name in ("items", "events") if name in value}
        return {**value, **lists}

    def item(self, item):
        if not item["key"].startswith("servers/") or "value" not in item:
            return item
        entry = json.loads(base64.b64decode(item["value"]))
        ip, port = entry["address"].split(":")
        entry["address"] = f"{ip}:{self.ports.get(int(port), port)}"
        return {**item, "value": base64.b64encode(json.dumps(entry).encode()).decode()}


class Node:
    def __init__(self, bed, name, ip, front, readiness, peers):
        self.bed, self.name, self.ip, self.front, self.readiness, self.peers = bed, name, ip, front, readiness, peers

    def is_ready(self):
        try:
            with socket.create_connection((self.ip, self.readiness), 1) as connection:
                connection.sendall(b"GET /snowrudder/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                return connection.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def wait_ready(self):
        wait_until(self.is_ready, f"{self.name} is ready")

    def connect(self):
        connection = socket.create_connection((self.ip, self.front), 5)
        connection.settimeout(30)
        return connection


def encode(method, path, id, deadline_ms, key="key-alpha", headers=None, body=b""):
    fields = {"Host": "one.example", "X-Request-Id": id, "X-Deadline-Ms": deadline_ms, "X-Api-Key": key, **(headers or {})}
    if method != "GET":
        fields["Content-Length"] = len(body)
    return (f"{method} {path} HTTP/1.1\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields.items())
            + "\r\n").encode() + body


class Answer:
    """What came back on a connection for one request. `whole` tells whether it ended by its framing."""

    def __init__(self):
        self.status, self.fields, self.body, self.whole, self.raw, self.ended = 0, {}, b"", False, b"", ""

    def describe(self):
        return f"status {self.status}, {len(self.body)} bytes, {'whole' if self.whole else 'not whole'} {self.ended}".strip()


def read_answer(connection):
    """Reads one answer. Raises nothing: a connection that ends early shows in the answer."""
    answer = Answer()
    data = b""

    def more():
        nonlocal data
        try:
            piece = connection.recv(65536)
        except socket.timeout:
            answer.ended = "timed out"
            return False
        except OSError:
            answer.ended = "reset"
            return False
        if not piece:
            answer.ended = "closed"
            return False
        data += piece
        answer.raw += piece
        return True

    while b"\r\n\r\n" not in data:
        if not more():
            return answer
    head, data = data.split(b"\r\n\r\n", 1)
    lines = head.decode("latin-1").split("\r\n")
    answer.status = int(lines[0].split(" ")[1])
    answer.fields = {name.strip().lower(): value.strip() for name, value in (line.split(":", 1) for line in lines[1:])}
    if answer.fields.get("transfer-encoding") == "chunked":
        while True:
            while b"\r\n" not in data:
                if not more():
                    return answer
            size, data = data.split(b"\r\n", 1)
            length = int(size, 16)
            while len(data) < length + 2:
                if not more():
                    return answer
            answer.body += data[:length]
            data = data[length + 2:]
            if length == 0:
                answer.whole = True
                return answer
    length = int(answer.fields.get("content-length", 0))
    while len(data) < length:
        if not more():
            answer.body = data
            return answer
    answer.body = data[:length]
    answer.whole = True
    return answer


def stop(number, _):
    raise NotRun(f"stopped by {signal.Signals(number).name}")


def run(folder, case):
    """Runs a case and exits as a review's script does. Whatever goes wrong in the script itself is "not run", never "broken"."""
    bed = None
    code = NOT_RUN
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, stop)
    try:
        bed = Bed(folder)
        code = case(bed)
    except NotRun as error:
        print(f"could not run: {error}")
        if bed:
            bed.note(f"could not run: {error}")
    except Exception:
        traceback.print_exc()
    finally:
        try:
            if bed:
                bed.close()
            print({HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[code], flush=True)
        finally:
            os._exit(code)
