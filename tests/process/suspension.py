"""Suspends the VM of a process under test: stops the process, and its monotonic clock with it. See suspended_clock.cpp."""
import os
import signal
import struct
import time


LONGEST_STOP_WAIT = 5.0


class Suspension:
    """The suspensions of one process."""

    def __init__(self, path):
        self.path = path
        self.nanoseconds = 0
        self.stopped_at = 0
        self.store()

    def environment(self, build):
        return {"LD_PRELOAD": str(build / "libsuspended_clock.so"), "TEST_SUSPENDED_TIME": str(self.path)}

    def store(self):
        """Replaces the time in place, since the process keeps the file open."""
        with open(self.path, "r+b" if os.path.exists(self.path) else "wb") as file:
            file.write(struct.pack("=q", self.nanoseconds))

    def suspend(self, process):
        process.send_signal(signal.SIGSTOP)
        end = time.monotonic() + LONGEST_STOP_WAIT
        while process_state(process) not in "TZX":
            assert time.monotonic() < end, "the process does not stop"
            time.sleep(0.001)
        self.stopped_at = time.monotonic_ns()

    def resume(self, process):
        self.nanoseconds += time.monotonic_ns() - self.stopped_at
        self.store()
        process.send_signal(signal.SIGCONT)


def process_state(process):
    """Returns the state of a process by the letter in /proc, X when it has ended."""
    try:
        with open(f"/proc/{process.pid}/stat", encoding="utf-8", errors="replace") as stat:
            return stat.read().rpartition(")")[2].split()[0]
    except FileNotFoundError:
        return "X"
