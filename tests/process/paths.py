"""Network paths from nodes to replicas that can be cut: each node reaches each replica through a proxy of its own."""
import contextlib
import pathlib
import socket
import sys
import threading
import time

from harness import BUILD
from platform_deployment import Node, Platform

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "soak"))

from proxy import Proxy  # noqa: E402  (its folder is put on the path above)


class Path(Proxy):
    """A path from one node to one replica. `cut` says what becomes of new and of open connections: new ones "hang", are
    "refused", "reset" or "reset late"; open ones "hang", are "reset" or "live" on."""

    RESET_DELAY = 0.15
    """Seconds after which connections are "reset late"."""

    def __init__(self, target):
        self.fillers = []
        self.reset_delay = 0.0
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

    def connect(self, caller):
        if self.mode == "reset":
            time.sleep(self.reset_delay)
        super().connect(caller)

    def cut(self, new, kept):
        if kept == "hang":
            self.silence_open_connections()
        if new in ("reset", "reset late"):
            self.reset_delay = self.RESET_DELAY if new == "reset late" else 0.0
            self.mode = "reset"
        else:
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
        # Last, so that a node that looks why an answer has ended finds its path cut.
        if kept == "reset":
            self.reset_open_connections()

    def reset_open_connections(self):
        with self.lock:
            for connection in list(self.connections):
                self.reset(connection)

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


class PathPlatform(Platform):
    """A platform whose nodes reach each replica on a path of their own. All list the same addresses, since nodes pass on to
    each other what they know of replicas."""

    def __init__(self, nodes, replicas, **more):
        super().__init__(nodes=0, replicas=replicas, **more)
        self.paths = []
        for number in range(nodes):
            paths = {replica.port: Path(replica.port) for replica in self.replicas}
            self.paths.append(paths)
            ports = ",".join(f"{port}={path.port}" for port, path in paths.items())
            redirection = {"LD_PRELOAD": str(BUILD / "libredirected_connects.so"), "TEST_CONNECT_PORTS": ports}
            self.nodes.append(Node(self, f"front-{number}", environment=redirection))
        self.first = self.nodes[0]

    def cut(self, node, new, kept):
        for path in self.paths[node].values():
            path.cut(new, kept)

    def cut_together(self, nodes):
        """Cuts nodes off at the same moment: new connections are refused on all paths before open ones are reset."""
        paths = [path for node in nodes for path in self.paths[node].values()]
        for path in paths:
            path.stop_listening()
        for path in paths:
            path.reset_open_connections()

    def heal(self, node):
        for path in self.paths[node].values():
            path.heal()

    def __exit__(self, *_):
        super().__exit__()
        for paths in self.paths:
            for path in paths.values():
                path.close()
