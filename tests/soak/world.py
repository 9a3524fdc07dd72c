"""The deployment of a soak: router processes, stand-ins of the platform, and a proxy before each store and replica."""
import contextlib
import http.client
import itertools
import pathlib
import random
import signal
import socket
import subprocess
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "process"))

from harness import free_ports, wait_until  # noqa: E402  (its folder is put on the path above)
from ledger import End, Ledger, Run, Sent  # noqa: E402
from platform_deployment import Node, configuration  # noqa: E402
from platform_stand_in import Cloud, Replica, Store  # noqa: E402
from proxy import Proxy  # noqa: E402

FATAL = "fatal"
KINDS = {"again": ("GET", "/again/x"), "once": ("POST", "/once/x"), "stream": ("POST", "/stream/x"),
         "resumed-stream": ("POST", "/resumed-stream/x")}
EVENTS = 6
# Seconds until a replica that crashed is replaced, and until its entry lapses.
REPLACED_AFTER = 1.0
ENTRY_LAPSES = 1.5
# Seconds after which a process that does not end is killed: far over its grace time of 6 s.
LONGEST_STOP = 15
WHOLE = [b"data: piece %d" % number for number in range(1, EVENTS + 1)]


class WatchedReplica(Replica):
    """Tells the ledger of its runs, and crashes under a fatal request."""

    def __init__(self, port, name, ledger, crash):
        super().__init__(port, name, events=EVENTS)
        self.ledger = ledger
        self.crash = crash
        self.connections = set()

    def handle(self, call, body):
        self.connections.add(call.connection)
        super().handle(call, body)

    def note_run(self, call):
        super().note_run(call)
        self.ledger.note_run(Run(call.headers["X-Request-Id"], self.name, call.headers["X-Tenant"], time.monotonic()))
        body = self.seen[-1][3].decode()
        if body.startswith(FATAL):
            self.crash(self, body)
            raise ConnectionResetError


class TimedCloud(Cloud):
    """Notes when each call came."""

    def entry(self, call, body):
        return (time.monotonic(), *super().entry(call, body))


class World:
    def __init__(self, seed, folder, nodes, replicas, callers):
        self.random = random.Random(seed)
        self.folder = folder
        self.ledger = Ledger()
        self.store_port, self.cloud_port = free_ports(2)
        self.store, self.cloud = Store(self.store_port), TimedCloud(self.cloud_port)
        self.names = (f"i-{number}" for number in itertools.count())
        self.replicas, self.doors = {}, {}
        self.version = 1
        self.keys = {"alpha": ["alpha-0", "alpha-1"], "beta": ["beta-0", "beta-1"]}
        self.issued = itertools.count(2)
        self.publish()
        for _ in range(replicas):
            self.add_replica()
        self.store_doors = [Proxy(self.store_port) for _ in range(nodes)]
        self.nodes = [Node(self, f"front-{number}", door.port, "ab"[number % 2]) for number, door in enumerate(self.store_doors)]
        self.stopping = threading.Event()
        self.ids = itertools.count()
        self.callers = [threading.Thread(target=self.call_on, args=(random.Random(f"{seed} {number}"), number), daemon=True)
                        for number in range(callers)]

    # What the operator and the replicas write

    def publish(self):
        """Puts the configuration in force; returns when the store has it."""
        tenants = [{"name": name, "api_keys": keys, "unit": "token_stream", "plain_tokens": 10, "rate_per_s": 0, "burst": 0}
                   for name, keys in self.keys.items()]
        self.store.put("op/config", configuration(self.version, tenants=tenants))
        self.version += 1

    def revoke(self, account):
        """Takes a key away and gives a new one."""
        key = self.keys[account].pop(0)
        self.keys[account].append(f"{account}-{next(self.issued)}")
        self.publish()
        self.ledger.revoked[key] = time.monotonic()

    def add_replica(self):
        replica = WatchedReplica(free_ports(1)[0], next(self.names), self.ledger, self.crash)
        self.replicas[replica.name] = replica
        self.doors[replica.name] = Proxy(replica.port)
        self.enter(replica)

    def enter(self, replica, state="ready"):
        entry = replica.entry("svc", state=state)
        entry["address"] = f"127.0.0.1:{self.doors[replica.name].port}"
        self.store.put(f"servers/{replica.name}", entry)

    def let_leave(self, name):
        """A replica announces its leave, serves on for a while, and is gone; another takes its place."""
        replica = self.replicas.pop(name)
        self.enter(replica, "draining")
        self.ledger.left[name] = time.monotonic()
        self.add_replica()

        def end():
            time.sleep(6)
            self.store.remove(f"servers/{name}")
            replica.server.shutdown()
            replica.server.server_close()

        threading.Thread(target=end, daemon=True).start()

    def crash(self, replica, body):
        """A replica ends at once; another takes its place, and its entry lapses."""
        if self.replicas.pop(replica.name, None) is None:
            return
        self.ledger.note_crash(body)
        with contextlib.suppress(OSError):
            replica.server.socket.shutdown(socket.SHUT_RDWR)
        for connection in list(replica.connections):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

        def replace():
            replica.server.shutdown()
            replica.server.server_close()
            time.sleep(REPLACED_AFTER)
            self.add_replica()
            time.sleep(ENTRY_LAPSES - REPLACED_AFTER)
            self.store.remove(f"servers/{replica.name}")

        threading.Thread(target=replace, daemon=True).start()

    # Processes

    def stop_process(self, node, sent):
        """Ends a node's process by a signal and starts it again; the ledger learns how it ended."""
        self.note_own_end(node)
        node.process.send_signal(sent)
        began = time.monotonic()
        try:
            code = node.process.wait(LONGEST_STOP)
        except subprocess.TimeoutExpired:
            node.process.kill()
            code = node.process.wait()
        self.ledger.ends.append(End(node.name, sent, code, time.monotonic() - began))
        time.sleep(0.2)
        node.start()

    def note_own_end(self, node):
        """Notes a process that has ended though nobody asked it to."""
        if node.process.poll() is not None:
            self.ledger.ends.append(End(node.name, 0, node.process.returncode, 0.0))

    # Callers

    def call_on(self, draw, number):
        """Sends requests over one kept connection until the node's process is gone, then over another's."""
        place = number
        connection = None
        while not self.stopping.is_set():
            node = self.nodes[place % len(self.nodes)]
            connection = connection or http.client.HTTPConnection("127.0.0.1", node.front, timeout=9)
            if not self.send(draw, node, connection).keeps_connection:
                connection.close()
                connection = None
                place += 1
            time.sleep(draw.uniform(0, 0.05))

    def send(self, draw, node, connection, kind=None, key=None, body=None):
        """Sends a request and reads its answer; returns what came of it."""
        kind = kind or draw.choice(list(KINDS))
        account = key.split("-")[0] if key else draw.choice(list(self.keys))
        key = key or draw.choice(self.keys[account] + [key for key in self.ledger.revoked if key.startswith(account)][-2:])
        request = Sent(f"r-{next(self.ids)}", kind, node.name, key, account, time.monotonic())
        self.ledger.note_sent(request)
        method, path = KINDS.get(kind, ("POST", "/again/x"))
        try:
            connection.request(method, path, body, headers={"Host": "one.example", "X-Request-Id": request.id, "X-Deadline-Ms": "5000",
                                                      "X-Api-Key": key})
            answer = connection.getresponse()
            body = answer.read()
            request.status = answer.status
            request.fault = self.fault_of(request, answer, body)
            request.keeps_connection = not answer.will_close
        except (OSError, http.client.HTTPException) as error:
            request.said = type(error).__name__
        request.ended = time.monotonic()
        return request

    @staticmethod
    def fault_of(request, answer, body):
        if answer.getheader("X-Request-Id") != request.id:
            return f"the answer is of {answer.getheader('X-Request-Id')}"
        if b'"crashes_replicas"' in body and not request.kind.startswith(FATAL):
            return "taken for a request that ends its replicas"
        if answer.status != 200:
            return ""
        if not (answer.getheader("X-Response-Signature") or "").startswith("signed-by-"):
            return "a success without a signature"
        if "stream" in request.kind:
            pieces = [line for line in body.split(b"\n") if line.startswith(b"data: piece")]
            return "" if pieces == WHOLE else f"whole answer with events {pieces}"
        return "" if body.startswith(b'{"by": "i-') else f"a body of nobody: {body[:40]}"

    # The whole

    def start(self):
        for node in self.nodes:
            wait_until(node.is_ready, f"{node.name} is ready")
        for caller in self.callers:
            caller.start()

    def heal(self):
        for door in (*self.store_doors, *self.doors.values()):
            door.set("pass")
        self.store.silent = self.store.busy = self.store.lose_answers = False
        for node in self.nodes:
            if node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)

    def recover(self):
        """Lists the nodes that don't serve again once all is healed."""
        failed = []
        for node in self.nodes:
            self.note_own_end(node)
            try:
                wait_until(node.is_ready, "ready")
            except AssertionError:
                failed.append(f"{node.name} is not ready again")
                continue
            connection = http.client.HTTPConnection("127.0.0.1", node.front, timeout=9)
            statuses = [self.send(random.Random(0), node, connection, "again", self.keys["beta"][0]).status for _ in range(10)]
            if statuses != [200] * 10:
                failed.append(f"{node.name} answered {statuses} when all was healed")
            connection.close()
        return failed

    def close(self):
        self.stopping.set()
        for caller in self.callers:
            caller.join(12)
        for node in self.nodes:
            with contextlib.suppress(ProcessLookupError):
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
            node.process.wait()
        for door in (*self.store_doors, *self.doors.values()):
            door.close()
        for server in (self.store, self.cloud, *self.replicas.values()):
            server.server.shutdown()
            server.server.server_close()
