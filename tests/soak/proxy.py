"""A loopback proxy for TCP connections with faults that are set from outside."""
import contextlib
import socket
import struct
import threading
import time

CHUNK_SIZE = 65536
# The first one is the mode without a fault.
MODES = ("pass", "delay", "silent", "answers_lost", "reset")


class Proxy:
    """Forwards connections to one address. Mode "silent" blocks both directions, "answers_lost" blocks the answers; blocked
    bytes are forwarded late, when the mode ends. "delay" delays each chunk. "reset" resets open and new connections.
    Connections that were open at silence_open_connections() forward nothing any more, and are not closed."""

    def __init__(self, target):
        self.target = target
        self.mode = "pass"
        self.delay = 0.0
        self.generation = 0
        self.connections = set()
        self.lock = threading.Lock()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def set(self, mode, delay=0.0):
        self.mode, self.delay = mode, delay
        if mode == "reset":
            with self.lock:
                for connection in list(self.connections):
                    self.reset(connection)

    def silence_open_connections(self):
        self.generation += 1

    def close(self):
        self.listener.close()
        with self.lock:
            for connection in list(self.connections):
                with contextlib.suppress(OSError):
                    connection.close()

    @staticmethod
    def reset(connection):
        with contextlib.suppress(OSError):
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            connection.shutdown(socket.SHUT_RDWR)
            connection.close()

    def accept(self):
        while True:
            try:
                caller, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.connect, args=(caller,), daemon=True).start()

    def connect(self, caller):
        self.wait_while_blocked(False)
        if self.mode == "reset":
            self.reset(caller)
            return
        try:
            server = socket.create_connection(("127.0.0.1", self.target), 5)
        except OSError:
            self.reset(caller)
            return
        with self.lock:
            self.connections |= {caller, server}
        for source, sink, is_answer in ((caller, server, False), (server, caller, True)):
            threading.Thread(target=self.forward, args=(source, sink, is_answer, self.generation), daemon=True).start()

    def wait_while_blocked(self, is_answer):
        """Waits while the mode blocks this direction."""
        while self.mode == "silent" or (self.mode == "answers_lost" and is_answer):
            time.sleep(0.02)

    def forward(self, source, sink, is_answer, generation):
        try:
            while chunk := source.recv(CHUNK_SIZE):
                if generation < self.generation:
                    continue
                self.wait_while_blocked(is_answer)
                if self.mode == "delay":
                    time.sleep(self.delay)
                sink.sendall(chunk)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            self.reset(source)
            self.reset(sink)
        with self.lock:
            self.connections -= {source}
