"""A stand-in of a replica, as a process of its own. It writes one JSON line for each event to its log.

Arguments: NAME IP PORT LOG VERSION. The version stands in each event that is written whole. What it does with a request is told by the request's path:
  .../plain/N         works for N ms, then answers a signed body with its length
  .../tokens/F/S/E/T  streams E events of 5 tokens: the first token after F ms, later ones each S ms, written as they are made;
                      the answer is framed by chunks, or by the end of the connection when T is "open"; with "-whole" after
                      it, each event is written at once, when its last token is made
While a file LOG.grey lies there, it fails part of the plain requests that it has run with the status in that file's second word;
the first word is the share.
A request that isn't ready at its deadline (X-Deadline-Ms) gets a 504 of its own. Work ends when the connection closes.
"""
import json
import os
import random
import select
import socket
import sys
import threading
import time

NAME, IP, PORT, LOG = sys.argv[1], sys.argv[2], int(sys.argv[3]), open(sys.argv[4], "a", buffering=1)
VERSION = sys.argv[5]
TOKENS_PER_EVENT = 5
LOCK = threading.Lock()


def note(what, **more):
    with LOCK:
        LOG.write(json.dumps({"at": time.monotonic(), "replica": NAME, "what": what, **more}) + "\n")


class Gone(Exception):
    """The other end has closed the connection."""


class Connection:
    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def fill(self):
        data = self.sock.recv(65536)
        if not data:
            raise Gone
        self.buffer += data

    def read_request(self):
        while b"\r\n\r\n" not in self.buffer:
            self.fill()
        head, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
        lines = head.decode("latin-1").split("\r\n")
        method, path, _ = lines[0].split(" ")
        fields = {name.strip().lower(): value.strip() for name, value in (line.split(":", 1) for line in lines[1:])}
        length = int(fields.get("content-length", 0))
        while len(self.buffer) < length:
            self.fill()
        self.buffer = self.buffer[length:]
        return method, path, fields

    def sleep_until(self, end):
        """Waits, and ends the work when the other end closes the connection."""
        while (left := end - time.monotonic()) > 0:
            if select.select([self.sock], [], [], left)[0]:
                self.fill()

    def send(self, status, headers, body=b""):
        head = f"HTTP/1.1 {status}\r\n" + "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        self.sock.sendall(head.encode() + b"\r\n" + body)


def grey_status():
    path = sys.argv[4] + ".grey"
    if not os.path.exists(path):
        return ""
    share, status = open(path).read().split(" ", 1)
    return status if random.random() < float(share) else ""


def whole(connection, status, headers, body):
    connection.send(status, {**headers, "Content-Length": len(body)}, body)


def stream(connection, fields, parts, begun, deadline, headers):
    first, step, events, framing = int(parts[0]) / 1000, int(parts[1]) / 1000, int(parts[2]), parts[3]
    request = fields["x-request-id"]
    if begun + first > deadline:
        connection.sleep_until(deadline)
        whole(connection, "504 Gateway Timeout", headers, b"deadline")
        note("own 504", request=request)
        return True
    connection.sleep_until(begun + first)
    head = {**headers, "Content-Type": "text/event-stream"}
    is_open = framing.startswith("open")
    head.update({"Connection": "close"} if is_open else {"Transfer-Encoding": "chunked"})
    connection.send("200 OK", head)
    start = int(fields.get("last-event-id") or 0) + 1
    due = begun + first
    for number in range(start, events + 1):
        if framing.endswith("-whole"):
            due += step * TOKENS_PER_EVENT
            connection.sleep_until(due)
            data = f"id: {number}\ndata: piece {number} of {VERSION}\n\n".encode()
            connection.sock.sendall(data if is_open else b"%x\r\n%s\r\n" % (len(data), data))
            note("event made", request=request, event=number, version=VERSION)
            continue
        for token in range(TOKENS_PER_EVENT):
            connection.sleep_until(due)
            due += step
            data = f"id: {number}\ndata: piece {number} token 0" if token == 0 else f" {token}"
            data = (data + ("\n\n" if token == TOKENS_PER_EVENT - 1 else "")).encode()
            connection.sock.sendall(data if is_open else b"%x\r\n%s\r\n" % (len(data), data))
            if token in (0, TOKENS_PER_EVENT - 1):
                note("event begun" if token == 0 else "event made", request=request, event=number)
    if not is_open:
        connection.sock.sendall(b"0\r\n\r\n")
    note("stream whole", request=request, events=events)
    return not is_open


def handle(connection):
    method, path, fields = connection.read_request()
    begun = time.monotonic()
    request = fields.get("x-request-id", "")
    if method == "GET" and path == "/health":
        whole(connection, "200 OK", {"X-Instance-Id": NAME, "X-Server-Load": "0,0,64"}, b"")
        return True
    if fields.get("x-target-instance", NAME) != NAME:
        whole(connection, "421 Misdirected Request", {"X-Instance-Id": NAME}, b"")
        note("other instance", request=request)
        return True
    note("run", request=request, path=path, deadline=fields.get("x-deadline-ms"), resumed=fields.get("last-event-id"))
    deadline = begun + int(fields.get("x-deadline-ms", 60000)) / 1000
    headers = {"X-Request-Id": request, "X-Response-Signature": f"{NAME}.{request}"}
    try:
        parts = path.strip("/").split("/")
        if "tokens" in parts:
            return stream(connection, fields, parts[parts.index("tokens") + 1:], begun, deadline, headers)
        ready = begun + int(parts[parts.index("plain") + 1]) / 1000
        connection.sleep_until(min(ready, deadline))
        if ready > deadline:
            whole(connection, "504 Gateway Timeout", headers, b"deadline")
        elif status := grey_status():
            whole(connection, status, headers, b"the work was done, but its result could not be read")
            note("ran and failed", request=request, status=status)
        else:
            whole(connection, "200 OK", headers, f"answer to {request}".encode())
        note("answered", request=request)
        return True
    except (Gone, OSError):
        note("caller gone", request=request)
        raise


def serve(sock):
    connection = Connection(sock)
    try:
        while handle(connection):
            pass
    except (Gone, OSError, ValueError):
        pass
    finally:
        sock.close()


def main():
    listener = socket.create_server((IP, PORT), backlog=256)
    note("started", version=VERSION)
    while True:
        sock, _ = listener.accept()
        threading.Thread(target=serve, args=(sock,), daemon=True).start()


main()
