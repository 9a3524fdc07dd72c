"""A test deployment: router processes and the stand-ins of the platform."""
import os
import pathlib
import socket
import subprocess
import tempfile

from harness import BUILD, free_ports, request, wait_until
from platform_stand_in import Cloud, Door, Replica, Store
from suspension import Suspension


# Pages of the store's lists are small by default, so that most lists have several.
PAGE_ITEMS = 3
# Entries of other systems beside those of the replicas: before, between and behind them.
FOREIGN_ENTRIES = {"%7Ez": {"owner": "another system"}, "a&after=z": "no object", "i-0%25": {"service": "svc"},
                   "i-1 +": ["svc"], "z#\u00e9?/..": ""}


def add_foreign_entries(store):
    for key, value in FOREIGN_ENTRIES.items():
        store.put(f"servers/{key}", value)


def configuration(version=1, keys=("key-alpha",), **more):
    def route(prefix, kind, **traits):
        return {"name": prefix, "host": "one.example", "path_prefix": prefix, "kind": kind, "timeout_ms": 5000,
                "latency_slo_ms": 600, "priority": 1, "service": "svc", "max_attempts": 2, "public": False, **traits}
    return {"version": version,
            "routes": [route("/again/", "idempotent"), route("/once/", "non_idempotent", max_attempts=1),
                       route("/stream/", "streaming", max_attempts=1),
                       route("/resumed-stream/", "streaming", stream_resume=True),
                       route("/short/", "idempotent", timeout_ms=500, max_attempts=1)],
            "services": [{"name": "svc", "health_path": "/health", "max_conns": 100, "protocol": "h1", "tls": False}],
            "limits": {"max_header_bytes": 8192, "max_body_bytes": 65536, "header_timeout_ms": 3000, "idle_timeout_ms": 5000},
            "tenants": [{"name": "alpha", "api_keys": list(keys), "unit": "token_stream", "plain_tokens": 10,
                         "rate_per_s": 0, "burst": 0}], **more}


class Node:
    """A router process. One that is suspendable can be suspended as if its VM were. `named` is its name in the settings, where
    that can't be part of a file's name."""

    def __init__(self, platform, name, store_port=None, zone="a", environment=None, settings="", suspendable=False, named=None):
        self.name = name
        self.front, self.readiness, self.peers, self.metrics = free_ports(4)
        self.settings = platform.folder / f"{name}.conf"
        self.settings.write_text(f"node_name={named or name}\nzone={zone}\nip=127.0.0.1\nlisten.front=127.0.0.1:{self.front}\n"
                                 f"listen.readiness=127.0.0.1:{self.readiness}\nport_range={self.peers},{self.peers}\n"
                                 f"platform.address=127.0.0.1:{store_port or platform.store_port}\n"
                                 f"cloud.address=127.0.0.1:{platform.cloud_port}\ncloud.duties=metered,autoscale\n"
                                 "bounds.revoke_ms=2500\nbounds.report_window_s=1\nbounds.grace_s=6\nbounds.lease_ms=3000\n" + settings)
        self.log = platform.folder / f"{name}.log"
        self.suspension = Suspension(platform.folder / f"{name}.suspended")
        self.environment = {**(environment or {}), **(self.suspension.environment(BUILD) if suspendable else {})}
        self.start()

    def start(self):
        """Starts the process, also again after it has ended."""
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen([BUILD / "snowrudder-router", "--face", "platform", "--metrics-port", str(self.metrics)],
                                            stdin=subprocess.DEVNULL,
                                            stdout=log, stderr=log,
                                            env={**os.environ, "SNOWRUDDER_BOOT": str(self.settings), **self.environment})

    def suspend(self):
        self.suspension.suspend(self.process)

    def resume(self):
        self.suspension.resume(self.process)

    def is_ready(self):
        try:
            return request(self.readiness, "GET", "/snowrudder/ready", timeout=2).status == 200
        except OSError:
            return False

    def call(self, method, path, headers=None, body=None, key="key-alpha", id="r-1", host="one.example"):
        given = {"Host": host, "X-Request-Id": id, "X-Deadline-Ms": "5000", **(headers or {})}
        if key:
            given["X-Api-Key"] = key
        return request(self.front, method, path, body, {name: text for name, text in given.items() if text is not None})

    def open_stream(self):
        """Returns a connection on which a stream was requested; its answer is still unread."""
        caller = socket.create_connection(("127.0.0.1", self.front))
        caller.sendall(b"POST /stream/x HTTP/1.1\r\nHost: one.example\r\nX-Request-Id: r-1\r\n"
                       b"X-Api-Key: key-alpha\r\nContent-Length: 0\r\n\r\n")
        return caller


class Platform:
    """The stand-ins of the platform, and the nodes under test."""

    def __init__(self, nodes=1, replicas=2, first=configuration(), environment=None, settings="", suspendable=False,
                 expect_ready=True, versions=None, foreign_entries=True, page_items=PAGE_ITEMS):
        """`versions` are the replicas' software versions, one each; without them all are of one version.

        `foreign_entries`: whether the store lists entries of other systems among the replicas'"""
        self.expect_ready = expect_ready
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="snowrudder-platform-"))
        self.store_port, self.cloud_port, *ports = free_ports(2 + replicas)
        self.store, self.cloud = Store(self.store_port), Cloud(self.cloud_port)
        self.store.page_items = page_items
        if foreign_entries:
            add_foreign_entries(self.store)
        self.replicas = [Replica(port, f"i-{number}") for number, port in enumerate(ports)]
        if first:
            self.store.put("op/config", first)
        for replica, version in zip(self.replicas, versions or ["v1"] * replicas):
            self.list_replica(replica, version)
        self.nodes = [Node(self, f"front-{number}", environment=environment, settings=settings, suspendable=suspendable)
                      for number in range(nodes)]
        self.first = self.nodes[0] if self.nodes else None
        self.doors = []

    def list_replica(self, replica, version, **more):
        replica.version = version
        self.store.put(f"servers/{replica.name}", replica.entry("svc", version=version, **more))

    def add_node(self, name):
        self.nodes.append(Node(self, name))
        self.first = self.nodes[0]

    def add_node_behind_door(self, zone="a"):
        door = Door(free_ports(1)[0], self.store)
        self.doors.append(door)
        self.nodes.append(Node(self, f"front-{len(self.nodes)}", door.server.server_port, zone))
        return self.nodes[-1], door

    def __enter__(self):
        try:
            for node in self.nodes:
                wait_until(lambda node=node: node.process.poll() is not None or node.is_ready() or not (
                    self.expect_ready and self.store.value("op/config")), "the node is ready")
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_):
        for node in self.nodes:
            if node.process.poll() is None:
                node.process.kill()
            node.process.wait()
        for server in (self.store, self.cloud, *self.doors, *self.replicas):
            server.server.shutdown()
            server.server.server_close()
        if self.store.malformed:
            raise AssertionError(f"{len(self.store.malformed)} malformed calls to the store: {self.store.malformed[:5]}")

    def runs(self):
        return [run for replica in self.replicas for run in replica.runs]
