"""Network paths from nodes to replicas that can be cut: each node reaches each replica through a proxy of its own."""
import base64
import contextlib
import json
import pathlib
import socket
import sys
import threading

from harness import free_ports
from platform_deployment import Node, Platform
from platform_stand_in import Server

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "soak"))

from proxy import Proxy  # noqa: E402  (its folder is put on the path above)


class Path(Proxy):
    """A path from one node to one replica. `cut` says what becomes of new and of open connections: new ones "hang", are
    "refused" or "reset"; open ones "hang", are "reset" or "live" on."""

    def __init__(self, target):
        self.fillers = []
        super().__init__(target)

    def accept(self):
        # `self.listener` is replaced while the path is cut.
        listener = self.listener
        while True:
            try:
                caller, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=self.connect, args=(caller,), daemon=True).start()

    def cut(self, new, kept):
        if kept == "reset":
            with self.lock:
                for connection in list(self.connections):
                    self.reset(connection)
        elif kept == "hang":
            self.silence_open_connections()
        if new == "reset":
            self.mode = "reset"
            return
        self.stop_listening()
        if new == "hang":
            # A full queue of connections drops the opening packet.
            self.listener = socket.socket()
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.listener.bind(("127.0.0.1", self.port))
            self.listener.listen(0)
            for _ in range(2):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex(("127.0.0.1", self.port))
                self.fillers.append(filler)

    def stop_listening(self):
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def heal(self):
        if self.mode == "reset":
            self.mode = "pass"
            return
        for filler in self.fillers:
            filler.close()
        self.fillers = []
        self.stop_listening()
        self.listener = socket.create_server(("127.0.0.1", self.port), backlog=128)
        threading.Thread(target=self.accept, daemon=True).start()


class RewritingDoor:
    """The store as one node sees it: the replicas have the addresses of the node's paths."""

    def __init__(self, store, paths):
        self.store, self.paths = store, paths
        self.server = Server(free_ports(1)[0], self)

    def handle(self, call, body):
        self.store.handle(RewrittenCall(call, self), body)

    def rewrite(self, item):
        if not item["key"].startswith("servers/") or "value" not in item:
            return item
        entry = json.loads(base64.b64decode(item["value"]))
        port = int(entry["address"].rpartition(":")[2])
        if port in self.paths:
            entry["address"] = f"127.0.0.1:{self.paths[port].port}"
        return {**item, "value": base64.b64encode(json.dumps(entry).encode()).decode()}


class RewrittenCall:
    def __init__(self, call, door):
        self.call, self.door = call, door

    def __getattr__(self, name):
        return getattr(self.call, name)

    def __setattr__(self, name, value):
        if name in ("call", "door"):
            super().__setattr__(name, value)
        else:
            setattr(self.call, name, value)

    def answer(self, status, value=None, headers=None):
        if isinstance(value, dict):
            for field in ("items", "events"):
                if field in value:
                    value = {**value, field: [self.door.rewrite(item) for item in value[field]]}
        self.call.answer(status, value, headers)


class PathPlatform(Platform):
    """A platform whose nodes reach each replica on a path of their own."""

    def __init__(self, nodes, replicas, **more):
        super().__init__(nodes=0, replicas=replicas, **more)
        self.paths, self.path_doors = [], []
        for number in range(nodes):
            paths = {replica.port: Path(replica.port) for replica in self.replicas}
            door = RewritingDoor(self.store, paths)
            self.paths.append(paths)
            self.path_doors.append(door)
            self.nodes.append(Node(self, f"front-{number}", door.server.server_port))
        self.first = self.nodes[0]

    def cut(self, node, new, kept):
        for path in self.paths[node].values():
            path.cut(new, kept)

    def heal(self, node):
        for path in self.paths[node].values():
            path.heal()

    def __exit__(self, *_):
        super().__exit__()
        for door in self.path_doors:
            door.server.shutdown()
            door.server.server_close()
        for paths in self.paths:
            for path in paths.values():
                path.close()
