"""Links of nodes to the platform that hold up what is sent, and deliver it later, as a network path does after a fault."""
import select
import socket
import threading
import time

from proxy import Proxy


class HoldingLink:
    """A proxy. While it holds, what the node sends on open connections is kept, and new connections get nowhere. Afterwards it
    delivers what was kept, also of connections that the node has closed, but not of those that it has reset.

    `late` has the ages in seconds, at their delivery, of the bytes that were kept."""

    def __init__(self, target):
        self.target = target
        self.late = []
        self.accepted = 0
        self.kept_bytes = 0
        self.released = threading.Event()
        self.released.set()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def hold(self):
        self.kept_bytes = 0
        self.released.clear()

    def release(self):
        self.released.set()

    def accept(self):
        while True:
            try:
                near, _ = self.listener.accept()
            except OSError:
                return
            self.accepted += 1
            threading.Thread(target=self.serve, args=(near,), daemon=True).start()

    def serve(self, near):
        if not self.released.is_set():
            self.released.wait()
            Proxy.reset(near)
            return
        try:
            far = socket.create_connection(("127.0.0.1", self.target), 5)
        except OSError:
            Proxy.reset(near)
            return
        far.settimeout(None)
        for sock in (near, far):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=self.forward, args=(near, far, True), daemon=True).start()
        threading.Thread(target=self.forward, args=(far, near, False), daemon=True).start()

    def forward(self, source, sink, is_from_node):
        kept = []
        ended = False
        try:
            while not ended or kept:
                if kept and self.released.is_set():
                    for data, at in kept:
                        if is_from_node:
                            self.late.append(time.monotonic() - at)
                        sink.sendall(data)
                    kept = []
                    continue
                if ended or not select.select([source], [], [], 0.01)[0]:
                    time.sleep(0.005 if ended else 0)
                    # A reset that comes after the close is still one.
                    if ended and source.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                        raise OSError
                    continue
                data = source.recv(65536)
                ended = not data
                if data and self.released.is_set() and not kept:
                    sink.sendall(data)
                elif data:
                    kept.append((data, time.monotonic()))
                    self.kept_bytes += len(data) if is_from_node else 0
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            Proxy.reset(source)
            Proxy.reset(sink)

    def close(self):
        self.released.set()
        self.listener.close()
