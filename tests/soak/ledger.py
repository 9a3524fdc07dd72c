"""Records what callers and replicas observed in a soak test, and checks it against the guarantees."""
import collections
import contextlib
import dataclasses
import signal
import threading
import time

NOT_RUN = (408, 421, 429, 503)


@dataclasses.dataclass
class SentRequest:
    """One request of a caller."""
    id: str
    kind: str
    node: str
    key: str
    account: str
    began: float
    ended: float = 0.0
    status: int = 0
    """0 when no complete answer was received."""
    error: str = ""
    """The type of the exception when no complete answer was received."""
    keeps_connection: bool = False
    fault: str = ""
    """The fault of the answer itself; empty when it is correct."""
    stream: str = ""
    """The first request of the stream, where callers take streams up."""
    signed_by: str = ""
    """The replica that began the answer, where its caller received events of it."""


@dataclasses.dataclass
class Run:
    """One run of a request at a replica."""
    id: str
    replica: str
    account: str
    at: float


@dataclasses.dataclass
class End:
    """The end of a node's process."""
    node: str
    sent: int
    """The signal that was sent to the process; 0 for none."""
    code: int
    seconds: float


class Ledger:
    def __init__(self):
        self.lock = threading.Lock()
        self.sent = {}
        self.runs = []
        self.revoked = {}
        self.leaving_since = {}
        self.disturbed = collections.defaultdict(list)
        self.interrupted = collections.defaultdict(list)
        """Times in which a node's process was ended, restarted, frozen or suspended."""
        self.told = {}
        """When a node first passed on an answer of a replica which says that it leaves, by node and replica."""
        self.rests = []
        """Requests for rest: replica, the request that was rejected, when, and for how long."""
        self.arrivals = collections.defaultdict(list)
        """Times and requests that reached a replica, rejected or not."""
        self.resumed_at = collections.defaultdict(list)
        self.ends = []
        self.crashes = collections.defaultdict(list)
        self.versions = {}
        """The software version of each replica, by name."""

    def record_crash(self, body):
        with self.lock:
            self.crashes[body].append(time.monotonic())

    def record_request(self, request):
        with self.lock:
            self.sent[request.id] = request

    def record_run(self, run):
        with self.lock:
            self.runs.append(run)

    def disturbance(self, nodes, after=0.0):
        """Marks nodes as disturbed by a fault during the context and for `after` seconds more."""
        return self.span(self.disturbed, nodes, after)

    def interruption(self, nodes):
        """Marks nodes whose processes are ended, restarted, frozen or suspended during the context."""
        return self.span(self.interrupted, nodes, 0.0)

    @contextlib.contextmanager
    def span(self, spans, nodes, after):
        span = [time.monotonic(), float("inf")]
        with self.lock:
            for node in nodes:
                spans[node].append(span)
        try:
            yield
        finally:
            span[1] = time.monotonic() + after

    def record_told(self, node, replica):
        with self.lock:
            self.told.setdefault((node, replica), time.monotonic())

    def record_arrival(self, replica, request, rest=None):
        """`rest`: seconds, if the replica rejects the request and asks for rest"""
        with self.lock:
            self.arrivals[replica].append((time.monotonic(), request))
            if rest is not None:
                self.rests.append((replica, request, time.monotonic(), rest))

    def is_uninterrupted(self, node, since, until):
        return all(ended < since or began > until for began, ended in self.interrupted[node])

    def is_undisturbed(self, node, began, ended, contact):
        """Whether no fault disturbed a node from `contact` seconds before `began` until `ended`."""
        return all(until + contact < began or since > ended for since, until in self.disturbed[node])

    def breaches(self, limits):
        """Lists the broken guarantees, one line each. `limits`: see soak.LIMITS."""
        runs = collections.defaultdict(list)
        for run in self.runs:
            runs[run.id].append(run)
        found = [f"runs without a request: {id}" for id in runs if id not in self.sent]
        for request in self.sent.values():
            found += self.check_request(request, runs[request.id], limits)
        for end in self.ends:
            found += self.check_end(end, limits)
        for body, crashes in self.crashes.items():
            found += self.check_crashes(body, sorted(crashes), limits)
        found += self.check_streams(runs)
        found += self.check_told(limits)
        found += self.check_rests(limits)
        return found

    def check_told(self, limits):
        """A node that passed on that a replica leaves sends it no request that its caller sends later than the limit. Only what
        interrupts the node's process excuses it."""
        for (node, replica), told in self.told.items():
            for at, id in self.arrivals[replica]:
                request = self.sent.get(id)
                if request is None or request.node != node or request.began <= told + limits["told"]:
                    continue
                if self.is_uninterrupted(node, told, at):
                    yield f"{id} reached {replica} {at - told:.1f} s after {node} passed on that it leaves"

    def check_rests(self, limits):
        """At most two requests of a node reach a replica in a rest. What interrupts or cuts off the node excuses it."""
        for replica, rejected, asked, rest in self.rests:
            node = self.sent[rejected].node if rejected in self.sent else ""
            late = [id for at, id in self.arrivals[replica] if asked + limits["rest"] < at < asked + rest
                    and id in self.sent and self.sent[id].node == node]
            if len(late) > 2 and self.is_undisturbed(node, asked, asked + rest, 0.0):
                yield f"{len(late)} requests of {node} reached {replica} in a rest of {rest} s: {late[:5]}"

    def check_streams(self, runs):
        """The events of a stream are of one software version, within an answer and over all requests that take it up."""
        versions = collections.defaultdict(dict)
        for request in self.sent.values():
            if not request.signed_by:
                continue
            replicas = [run.replica for run in sorted(runs[request.id], key=lambda run: run.at)]
            if request.signed_by not in replicas:
                yield f"{request.id} was answered by {request.signed_by}, which did not run it"
                continue
            for replica in replicas[replicas.index(request.signed_by):]:
                versions[request.stream or request.id].setdefault(self.versions[replica], f"{request.id} at {replica}")
        for stream, found in versions.items():
            if len(found) > 1:
                yield f"stream {stream} holds events of {found}"

    @staticmethod
    def check_end(end, limits):
        if not end.sent:
            yield f"{end.node} ended by itself with {end.code}"
        elif end.sent == signal.SIGTERM and end.code != 0:
            yield f"{end.node} ended with {end.code} when it was asked to stop"
        elif end.sent == signal.SIGTERM and end.seconds > limits["stop"]:
            yield f"{end.node} took {end.seconds:.1f} s to stop"

    def check_crashes(self, body, crashes, limits):
        """A request that has crashed three replicas may run at most three times more once all nodes can have received that."""
        if len(crashes) < 3:
            return
        late = [run for run in self.runs if (request := self.sent.get(run.id)) is not None and request.kind == body
                and run.at > crashes[2] + limits["contact"]
                and self.is_undisturbed(request.node, request.began, run.at, limits["contact"])]
        if len(late) > 3:
            yield f"{body} ran {len(late)} times more after it had ended three replicas, {len(crashes)} in all"

    def check_request(self, request, runs, limits):
        may_repeat = request.kind in ("again", "resumed-stream") or request.kind in self.crashes
        max_runs = 2 if may_repeat else 1
        if len(runs) > max_runs:
            yield f"{request.id} ({request.kind}) ran {len(runs)} times"
        if request.status in NOT_RUN and runs and not may_repeat:
            yield f"{request.id} ({request.kind}) was told {request.status}, and ran at {runs[0].replica}"
        if request.fault:
            yield f"{request.id} ({request.kind}): {request.fault}"
        for run in runs:
            if run.account != request.account:
                yield f"{request.id} of {request.account} ran for {run.account}"
            revoked = self.revoked.get(request.key)
            if revoked is not None and request.began > revoked + limits["revoke"]:
                yield f"{request.id} ran {request.began - revoked:.1f} s after its key was revoked"
            left = self.leaving_since.get(run.replica)
            calm = self.is_undisturbed(request.node, request.began, run.at, limits["contact"])
            if left is not None and calm and run.at > left + limits["drain"]:
                yield f"{request.id} ran at {run.replica} {run.at - left:.1f} s after it was leaving"
        if self.is_undisturbed(request.node, request.began, request.ended, limits["contact"]):
            if request.ended - request.began > limits["answer"]:
                yield f"{request.id} ({request.kind}) was held {request.ended - request.began:.1f} s"


def duty_breaches(calls, resumed_at, grace):
    """Lists usage windows that were reported with two different counts, and fencing tokens that decreased. Calls within
    `grace` seconds after their holder's process was resumed, or its path was healed, don't count for the tokens.

    `calls`: (time, path, holder, fence, body)
    `resumed_at`: times by holder"""
    counts, highest, found = {}, 0, []
    for at, path, holder, fence, body in calls:
        if not any(0 <= at - resumed <= grace for resumed in resumed_at.get(holder, ())):
            if fence < highest:
                found.append(f"{holder} acted with fence {fence} after {highest}")
            highest = max(highest, fence)
        if path == "/usage":
            before = counts.setdefault(body["window_id"], body["counts"])
            if before != body["counts"]:
                found.append(f"window {body['window_id']}: {before}, then {body['counts']}")
    return found
