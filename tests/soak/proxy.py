"""A loopback proxy for TCP connections, with faults that are switched from outside."""
import contextlib
import socket
import struct
import threading
import time

PIECE = 65536
# The first lets everything through.
MODES = ("pass", "delay", "silent", "answers_lost", "reset")


class Proxy:
    """Stands before one address. In mode "silent" nothing passes either way, in "answers_lost" nothing comes back; bytes
    that were held up are passed on, late, when the mode ends. "reset" resets what is open and what comes."""

    def __init__(self, target):
        self.target = target
        self.mode = "pass"
        self.delay = 0.0
        self.open = set()
        self.lock = threading.Lock()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def set(self, mode, delay=0.0):
        self.mode, self.delay = mode, delay
        if mode == "reset":
            with self.lock:
                for connection in list(self.open):
                    self.reset(connection)

    def close(self):
        self.listener.close()
        with self.lock:
            for connection in list(self.open):
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
        self.hold(False)
        if self.mode == "reset":
            self.reset(caller)
            return
        try:
            server = socket.create_connection(("127.0.0.1", self.target), 5)
        except OSError:
            self.reset(caller)
            return
        with self.lock:
            self.open |= {caller, server}
        for source, sink, is_answer in ((caller, server, False), (server, caller, True)):
            threading.Thread(target=self.pump, args=(source, sink, is_answer), daemon=True).start()

    def hold(self, is_answer):
        """Waits while the mode lets nothing through in this direction."""
        while self.mode == "silent" or (self.mode == "answers_lost" and is_answer):
            time.sleep(0.02)

    def pump(self, source, sink, is_answer):
        try:
            while piece := source.recv(PIECE):
                self.hold(is_answer)
                if self.mode == "delay":
                    time.sleep(self.delay)
                sink.sendall(piece)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            self.reset(source)
            self.reset(sink)
        with self.lock:
            self.open -= {source}
