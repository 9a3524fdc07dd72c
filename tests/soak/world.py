"""The deployment of a soak test: router processes, fakes of the platform, a proxy between each router and the store, and a
proxy in front of each replica."""
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
from ledger import End, Ledger, Run, SentRequest  # noqa: E402
from links import HoldingLink  # noqa: E402
from platform_deployment import PAGE_ITEMS, Node, add_foreign_entries, configuration  # noqa: E402
from platform_stand_in import Cloud, Replica, Store  # noqa: E402
from proxy import Proxy  # noqa: E402

FATAL = "fatal"
KINDS = {"again": ("GET", "/again/x"), "once": ("POST", "/once/x"), "stream": ("POST", "/stream/x"),
         "resumed-stream": ("POST", "/resumed-stream/x")}
EVENTS = 6
# Seconds until a crashed replica is replaced, and until its entry expires.
REPLACEMENT_DELAY = 1.0
ENTRY_EXPIRY_DELAY = 1.5
# Seconds after which a process that does not end is killed; well above its grace period of 6 s.
MAX_STOP_SECONDS = 15
VERSIONS = ("v1", "v2")
# Callers that leave streams and take them up at other nodes, beside the other callers.
RETURNING_CALLERS = 3
EXPECTED_EVENTS = [b"data: piece %d" % number for number in range(1, EVENTS + 1)]


class RecordedReplica(Replica):
    """Records its runs in the ledger, and crashes when it runs a fatal request."""

    def __init__(self, port, name, ledger, crash):
        super().__init__(port, name, events=EVENTS)
        self.ledger = ledger
        self.crash = crash
        self.connections = set()

    def handle(self, call, body):
        self.connections.add(call.connection)
        super().handle(call, body)

    def reject(self, call):
        self.ledger.record_arrival(self.name, call.headers["X-Request-Id"], self.rest)
        super().reject(call)

    def note_run(self, call):
        super().note_run(call)
        self.ledger.record_arrival(self.name, call.headers["X-Request-Id"])
        self.ledger.record_run(Run(call.headers["X-Request-Id"], self.name, call.headers["X-Tenant"], time.monotonic()))
        body = self.seen[-1][3].decode()
        if body.startswith(FATAL):
            self.crash(self, body)
            raise ConnectionResetError


class TimedCloud(Cloud):
    """Records the time of each call."""

    def entry(self, call, body):
        return (time.monotonic(), *super().entry(call, body))


class World:
    def __init__(self, seed, folder, nodes, replicas, callers, suspendable=False, holds_duty_calls=False):
        """`holds_duty_calls`: whether each node reaches the cloud interface over a link of its own, in `duty_links`."""
        self.random = random.Random(seed)
        self.folder = folder
        self.ledger = Ledger()
        self.store_port, self.cloud_port = free_ports(2)
        self.store, self.cloud = Store(self.store_port), TimedCloud(self.cloud_port)
        self.store.page_items = PAGE_ITEMS
        add_foreign_entries(self.store)
        self.names = (f"i-{number}" for number in itertools.count())
        self.replicas, self.proxies = {}, {}
        self.version = 1
        self.keys = {"alpha": ["alpha-0", "alpha-1"], "beta": ["beta-0", "beta-1"]}
        self.issued = itertools.count(2)
        self.publish()
        for _ in range(replicas):
            self.add_replica()
        self.store_proxies = [Proxy(self.store_port) for _ in range(nodes)]
        self.duty_links = [HoldingLink(self.cloud_port) for _ in range(nodes)] if holds_duty_calls else []
        self.nodes = []
        for number, proxy in enumerate(self.store_proxies):
            if holds_duty_calls:
                self.cloud_port = self.duty_links[number].port
            self.nodes.append(Node(self, f"front-{number}", proxy.port, "ab"[number % 2], suspendable=suspendable))
        self.stopping = threading.Event()
        self.ids = itertools.count()
        self.callers = [threading.Thread(target=self.run_caller, args=(random.Random(f"{seed} {number}"), number), daemon=True)
                        for number in range(callers)]
        self.callers += [threading.Thread(target=self.run_returning_caller, args=(random.Random(f"{seed} returning {number}"),),
                                          daemon=True) for number in range(RETURNING_CALLERS)]

    # Writes of the operators and the replicas to the store

    def publish(self):
        """Writes the configuration; returns when it is stored."""
        tenants = [{"name": name, "api_keys": keys, "unit": "token_stream", "plain_tokens": 10, "rate_per_s": 0, "burst": 0}
                   for name, keys in self.keys.items()]
        self.store.put("op/config", configuration(self.version, tenants=tenants))
        self.version += 1

    def revoke(self, account):
        """Revokes the oldest API key of an account and issues a new one."""
        key = self.keys[account].pop(0)
        self.keys[account].append(f"{account}-{next(self.issued)}")
        self.publish()
        self.ledger.revoked[key] = time.monotonic()

    def add_replica(self):
        replica = RecordedReplica(free_ports(1)[0], next(self.names), self.ledger, self.crash)
        replica.version = random.Random(replica.name).choice(VERSIONS)
        self.ledger.versions[replica.name] = replica.version
        self.replicas[replica.name] = replica
        self.proxies[replica.name] = Proxy(replica.port)
        self.enter(replica)

    def enter(self, replica, state="ready"):
        entry = replica.entry("svc", state=state, version=replica.version)
        entry["address"] = f"127.0.0.1:{self.proxies[replica.name].port}"
        self.store.put(f"servers/{replica.name}", entry)

    def start_leaving(self, name):
        """Marks a replica as draining and starts another one. The replica keeps serving for 6 s before it is stopped and its
        entry is removed."""
        replica = self.replicas.pop(name)
        self.enter(replica, "draining")
        self.ledger.leaving_since[name] = time.monotonic()
        self.add_replica()

        def end():
            time.sleep(6)
            self.store.remove(f"servers/{name}")
            replica.server.shutdown()
            replica.server.server_close()

        threading.Thread(target=end, daemon=True).start()

    def state_leaving(self, name, stays_listed):
        """Lets a replica say in its answers that it leaves, while the store lists it as ready, or no more and then again. Another
        one starts; the replica keeps serving for 6 s."""
        replica = self.replicas.pop(name)
        replica.leaving = "1"
        self.add_replica()

        def end():
            for _ in range(6):
                time.sleep(1)
                if not stays_listed:
                    self.store.remove(f"servers/{name}")
                self.enter(replica)
            self.store.remove(f"servers/{name}")
            replica.server.shutdown()
            replica.server.server_close()

        threading.Thread(target=end, daemon=True).start()

    def crash(self, replica, body):
        """Closes a replica's connections at once. Another one replaces it later, and then its entry is removed."""
        if self.replicas.pop(replica.name, None) is None:
            return
        self.ledger.record_crash(body)
        with contextlib.suppress(OSError):
            replica.server.socket.shutdown(socket.SHUT_RDWR)
        for connection in list(replica.connections):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

        def replace():
            replica.server.shutdown()
            replica.server.server_close()
            time.sleep(REPLACEMENT_DELAY)
            self.add_replica()
            time.sleep(ENTRY_EXPIRY_DELAY - REPLACEMENT_DELAY)
            self.store.remove(f"servers/{replica.name}")

        threading.Thread(target=replace, daemon=True).start()

    # Processes

    def stop_process(self, node, sent):
        """Ends a node's process with a signal, records how it ended in the ledger, and starts it again."""
        self.record_unrequested_end(node)
        node.process.send_signal(sent)
        began = time.monotonic()
        try:
            code = node.process.wait(MAX_STOP_SECONDS)
        except subprocess.TimeoutExpired:
            node.process.kill()
            code = node.process.wait()
        self.ledger.ends.append(End(node.name, sent, code, time.monotonic() - began))
        time.sleep(0.2)
        node.start()

    def record_unrequested_end(self, node):
        """Records a process that has ended without a signal from the test."""
        if node.process.poll() is not None:
            self.ledger.ends.append(End(node.name, 0, node.process.returncode, 0.0))

    # Callers

    def run_caller(self, draw, number):
        """Sends requests over a keep-alive connection to one node; when it is closed, connects to the next node."""
        node_index = number
        connection = None
        while not self.stopping.is_set():
            node = self.nodes[node_index % len(self.nodes)]
            connection = connection or http.client.HTTPConnection("127.0.0.1", node.front, timeout=9)
            if not self.send(draw, node, connection).keeps_connection:
                connection.close()
                connection = None
                node_index += 1
            time.sleep(draw.uniform(0, 0.05))

    def run_returning_caller(self, draw):
        """Begins streams, leaves each after some events, and takes it up at any node."""
        while not self.stopping.is_set():
            account = draw.choice(list(self.keys))
            stream, last = "", ""
            for _ in range(draw.randint(2, 4)):
                request, last = self.read_events(draw.choice(self.nodes), account, stream, last, draw.randint(1, 2))
                stream = stream or (request.id if last else "")
                time.sleep(draw.choice((0, 0.05, draw.uniform(0, 2))))

    def read_events(self, node, account, stream, last, wanted):
        """Begins a stream, or takes one up, and leaves after some events; returns the request and the last event's id."""
        key = self.keys[account][-1]
        request = SentRequest(f"r-{next(self.ids)}", "resumed-stream", node.name, key, account, time.monotonic(), stream=stream)
        self.ledger.record_request(request)
        headers = {"Host": "one.example", "X-Request-Id": request.id, "X-Deadline-Ms": "5000", "X-Api-Key": key}
        if stream:
            headers |= {"Resumes": stream, "Last-Event-Id": last}
        connection = http.client.HTTPConnection("127.0.0.1", node.front, timeout=9)
        try:
            connection.request("POST", "/resumed-stream/x", headers=headers)
            answer = connection.getresponse()
            request.status = answer.status if answer.status != 200 else 0
            while answer.status == 200 and wanted and (line := answer.readline()):
                if line.startswith(b"id:"):
                    last = line.split()[1].decode()
                    request.signed_by = answer.getheader("X-Response-Signature").removeprefix("signed-by-")
                    wanted -= 1
        except (OSError, http.client.HTTPException) as error:
            request.error = type(error).__name__
        connection.close()
        request.ended = time.monotonic()
        return request, last

    def send(self, draw, node, connection, kind=None, key=None, body=None):
        """Sends a request and reads its answer; returns the record of both."""
        kind = kind or draw.choice(list(KINDS))
        account = key.split("-")[0] if key else draw.choice(list(self.keys))
        key = key or draw.choice(self.keys[account] + [key for key in self.ledger.revoked if key.startswith(account)][-2:])
        request = SentRequest(f"r-{next(self.ids)}", kind, node.name, key, account, time.monotonic())
        self.ledger.record_request(request)
        method, path = KINDS.get(kind, ("POST", "/again/x"))
        try:
            connection.request(method, path, body, headers={"Host": "one.example", "X-Request-Id": request.id, "X-Deadline-Ms": "5000",
                                                      "X-Api-Key": key})
            answer = connection.getresponse()
            body = answer.read()
            request.status = answer.status
            if answer.getheader("Server-Leaving") == "1":
                self.ledger.record_told(node.name, (answer.getheader("X-Response-Signature") or "").removeprefix("signed-by-"))
            request.fault = self.find_fault(request, answer, body)
            request.keeps_connection = not answer.will_close
        except (OSError, http.client.HTTPException) as error:
            request.error = type(error).__name__
        request.ended = time.monotonic()
        return request

    @staticmethod
    def find_fault(request, answer, body):
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
            return "" if pieces == EXPECTED_EVENTS else f"whole answer with events {pieces}"
        return "" if body.startswith(b'{"by": "i-') else f"a body of nobody: {body[:40]}"

    # The whole deployment

    def start(self):
        for node in self.nodes:
            wait_until(node.is_ready, f"{node.name} is ready")
        for caller in self.callers:
            caller.start()

    def heal(self):
        for proxy in (*self.store_proxies, *self.proxies.values()):
            proxy.set("pass")
        for link in self.duty_links:
            link.release()
        self.store.silent = self.store.busy = self.store.lose_answers = False
        for node in self.nodes:
            if node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)

    def recover(self):
        """Lists the nodes that don't serve requests again after all faults have ended."""
        failed = []
        for node in self.nodes:
            self.record_unrequested_end(node)
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
        for proxy in (*self.store_proxies, *self.proxies.values(), *self.duty_links):
            proxy.close()
        for server in (self.store, self.cloud, *self.replicas.values()):
            server.server.shutdown()
            server.server.server_close()
