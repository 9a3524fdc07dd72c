"""A randomised soak test of real processes: faults are injected from outside, and the guarantees are checked by what
callers and replicas observe.

    python3 tests/soak/soak.py --seed 7 --seconds 20
    python3 tests/soak/soak.py --seed 100 --count 50       fifty seeds, one after the other
    python3 tests/soak/soak.py --regressions               the seeds in regressions.txt, which have failed before
    python3 tests/soak/soak.py --seed 100 --suspensions    suspends VMs besides
    python3 tests/soak/soak.py --seed 100 --statements     replicas say in answers that they leave, or ask for rest, besides
    python3 tests/soak/soak.py --seed 100 --odd-answers    replicas fail requests in further ways, and duty calls are held up, besides
    python3 tests/soak/soak.py --seed 100 --restarts       nodes start again while entries of other systems come and go, besides

A seed always gives the same faults at the same times; the timing of the processes is not deterministic. The folder of a
failed run, which has the nodes' logs, is kept and its path is printed.
"""
import argparse
import http.client
import pathlib
import random
import re
import shutil
import signal
import sys
import tempfile
import threading
import time

from ledger import duty_breaches
from proxy import MODES
from world import World

# In seconds. The nodes' setting for revoked keys is 2.5; the others are the platform's limits for a small site. Those for an
# answer and a stop have a margin for a busy host.
LIMITS = {"revoke": 2.5, "drain": 3.0, "contact": 3.0, "answer": 7.0, "stop": 7.0, "told": 2.0, "rest": 0.5}
RESUME_GRACE = 0.3

# Seconds from the start of one suspension to the start of the next, and how long one lasts. Some outlast all leases.
SUSPENSION_GAP = (1.0, 4.0)
SUSPENSION_TIME = (0.5, 6.0)
HERD_SHARE = 0.3
"""Share of the suspensions that are of all nodes which no other fault uses."""

# Seconds from one replica's statement to the next, how long a replica rejects, and the rest that it asks for.
STATEMENT_GAP = (0.4, 2.0)
REJECTION_TIME = (0.05, 0.6)
REST_TIME = (0.3, 2.0)

# Seconds from one odd answer, or link that holds duty calls up, to the next, and how long a link does.
ODD_ANSWER_GAP = (0.2, 1.0)
HOLD_TIME = (0.3, 6.0)
ODD_ANSWERS = ("break-first", "status-408", "status-429", "status-503", "status-504", "slow-unframed", "break-unframed", "end-unframed")

# Seconds from one fault among entries of other systems, or series of restarts, to the next; how long entries stay, how many there are
# in a burst, and the restarts of a series and the seconds between them.
RESTART_GAP = (0.3, 1.5)
STAY_TIME = (0.2, 5.0)
BURST_SIZE = (100, 600)
SERIES_LENGTH = 4
SERIES_PAUSE = (0.0, 2.0)
KEPT_SHARE = 0.3
"""Share of the entries of other systems that stay until the end of the run."""
# What the keys and the values of other systems' entries are made of.
KEY_PARTS = ("%", "%25", "%41", "%00", "%zz", "&after=z", "=", "+", "#", " ", "?", "/", "..", "\\", '"', ";", ",", "\n", "\t", "\x01",
             "\u00e9", "\u2028", "\U0001f600", "~", "i-1", "i-3", "a", "z")
LONGEST_KEY = 200 - len("servers/")
FOREIGN_VALUES = ("", "no object", ["svc"], 7, {"service": "svc"}, {"owner": "another system"}, {"service": "svc", "state": "ready"})

OUTAGES = ("silent", "busy")
REPLICA_TROUBLES = ("cut", "fail", "shed", "surplus", "break", "slow")


class Faults:
    """Draws random faults and injects them; faults may overlap."""

    def __init__(self, world, draw):
        self.world, self.draw = world, draw
        self.running_threads = []
        self.busy_nodes = set()
        self.claiming = threading.Lock()
        self.kinds = [self.store_cut, self.store_cut, self.store_outage, self.lapse, self.node_killed, self.node_stopped,
                      self.node_frozen, self.herd_killed, self.reload, self.replica_cut, self.replica_trouble, self.replica_trouble,
                      self.replica_leaves, self.revoke, self.revoke, self.lost_answers, self.fatal_request]

    def inject(self):
        kind = self.draw.choice(self.kinds)
        seconds = self.draw.uniform(0.5, 4)
        thread = threading.Thread(target=kind, args=(seconds, random.Random(self.draw.random())), daemon=True)
        thread.start()
        self.running_threads.append(thread)
        return f"{kind.__name__} {seconds:.1f}"

    def wait(self):
        for thread in self.running_threads:
            thread.join(30)

    def claim_node(self, draw):
        """Picks a node that no other fault uses, and keeps at least one node unused; None when there is none."""
        with self.claiming:
            free = [node for node in self.world.nodes if node not in self.busy_nodes]
            if len(free) <= 1:
                return None
            node = draw.choice(free)
            self.busy_nodes.add(node)
            return node

    def with_claimed_node(self, draw, act):
        node = self.claim_node(draw)
        if node is None:
            return
        with self.world.ledger.disturbance([node.name]), self.world.ledger.interruption([node.name]):
            act(node)
        self.busy_nodes.discard(node)

    def node_killed(self, seconds, draw):
        self.with_claimed_node(draw, lambda node: self.world.stop_process(node, signal.SIGKILL))

    def node_stopped(self, seconds, draw):
        self.with_claimed_node(draw, lambda node: self.world.stop_process(node, signal.SIGTERM))

    def node_frozen(self, seconds, draw):
        def act(node):
            node.process.send_signal(signal.SIGSTOP)
            time.sleep(seconds)
            self.world.ledger.resumed_at[node.name].append(time.monotonic())
            node.process.send_signal(signal.SIGCONT)
        self.with_claimed_node(draw, act)

    def suspend_nodes(self, end, draw):
        """Suspends VMs, singly and in herds, until a time. The faults of a seed stay the same without it."""
        while time.monotonic() < end:
            fault = self.herd_suspended if draw.random() < HERD_SHARE else self.node_suspended
            arguments = (draw.uniform(*SUSPENSION_TIME), random.Random(draw.random()))
            self.running_threads.append(threading.Thread(target=fault, args=arguments, daemon=True))
            self.running_threads[-1].start()
            time.sleep(draw.uniform(*SUSPENSION_GAP))

    def state(self, end, draw):
        """Lets replicas say in answers that they leave, or reject and ask for rest, until a time. The faults of a seed stay the
        same without it."""
        while time.monotonic() < end:
            fault = draw.choice((self.leaving_stated, self.rest_asked))
            self.running_threads.append(threading.Thread(target=fault, args=(random.Random(draw.random()),), daemon=True))
            self.running_threads[-1].start()
            time.sleep(draw.uniform(*STATEMENT_GAP))

    def answer_oddly(self, end, draw):
        """Lets replicas fail requests that they have run in ways that the other faults leave out, and holds up duty calls, until
        a time. The faults of a seed stay the same without it."""
        while time.monotonic() < end:
            fault = draw.choice((self.odd_answers, self.odd_answers, self.duty_calls_held))
            self.running_threads.append(threading.Thread(target=fault, args=(random.Random(draw.random()),), daemon=True))
            self.running_threads[-1].start()
            time.sleep(draw.uniform(*ODD_ANSWER_GAP))

    def odd_answers(self, draw):
        for replica in draw.sample(list(self.world.replicas.values()), min(2, len(self.world.replicas))):
            replica.behave += draw.choices(ODD_ANSWERS, k=draw.randint(1, 4))

    def duty_calls_held(self, draw):
        """A node's calls to the platform are held up, those to the store too, so that another node takes the duties."""
        index = draw.randrange(len(self.world.nodes))
        node, link, proxy = self.world.nodes[index], self.world.duty_links[index], self.world.store_proxies[index]
        with self.world.ledger.disturbance([node.name], after=1):
            link.hold()
            proxy.set("silent")
            time.sleep(draw.uniform(*HOLD_TIME))
            self.world.ledger.resumed_at[node.name].append(time.monotonic())
            proxy.set("pass")
            link.release()

    def start_again(self, end, draw):
        """Lets entries of other systems come and go among those of the replicas and kills nodes, until a time. The faults of a
        seed stay the same without it."""
        while time.monotonic() < end:
            fault = draw.choice((self.entries_of_others, self.entries_of_others, self.burst_of_entries, self.series_of_restarts))
            self.running_threads.append(threading.Thread(target=fault, args=(random.Random(draw.random()),), daemon=True))
            self.running_threads[-1].start()
            time.sleep(draw.uniform(*RESTART_GAP))

    def entries_of_others(self, draw):
        self.hold_entries(draw, ["".join(draw.choices(KEY_PARTS, k=draw.randint(1, 40))) for _ in range(draw.randint(1, 8))])

    def burst_of_entries(self, draw):
        first = "".join(draw.choices(KEY_PARTS, k=3))
        self.hold_entries(draw, [f"{first}{number}" for number in range(draw.randint(*BURST_SIZE))])

    def hold_entries(self, draw, keys):
        """Writes entries of other systems, and removes most of them after a while."""
        names = ["servers/" + key.encode()[:LONGEST_KEY].decode(errors="ignore") for key in keys]
        # None may be taken for a replica's.
        names = [name for name in names if not re.fullmatch(r"servers/i-\d+", name)]
        for name in names:
            self.world.store.put(name, draw.choice(FOREIGN_VALUES))
        time.sleep(draw.uniform(*STAY_TIME))
        for name in names:
            if draw.random() >= KEPT_SHARE:
                self.world.store.remove(name)

    def series_of_restarts(self, draw):
        """Kills some or all nodes that no other fault uses and starts them again, also before they are ready. Series overlap."""
        with self.claiming:
            free = [node for node in self.world.nodes if node not in self.busy_nodes]
            nodes = draw.sample(free, draw.choice((len(free), draw.randint(0, len(free)))))
            self.busy_nodes.update(nodes)
        for _ in range(draw.randint(1, SERIES_LENGTH)):
            self.restart(nodes)
            time.sleep(draw.uniform(*SERIES_PAUSE))
        self.busy_nodes.difference_update(nodes)

    def restart(self, nodes):
        """Kills nodes at once and starts them again."""
        names = [node.name for node in nodes]
        with self.world.ledger.disturbance(names), self.world.ledger.interruption(names):
            threads = [threading.Thread(target=self.world.stop_process, args=(node, signal.SIGKILL)) for node in nodes]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()

    def leaving_stated(self, draw):
        if len(self.world.replicas) > 2:
            self.world.state_leaving(draw.choice(list(self.world.replicas)), draw.random() < 0.5)

    def rest_asked(self, draw):
        """One replica, some or all reject for a while."""
        replicas = list(self.world.replicas.values())
        resting = draw.sample(replicas, draw.choice((1, draw.randint(1, len(replicas)), len(replicas)))) if replicas else []
        for replica in resting:
            replica.rest, replica.rejects = round(draw.uniform(*REST_TIME), 3), True
        time.sleep(draw.uniform(*REJECTION_TIME))
        for replica in resting:
            replica.rejects = False

    def node_suspended(self, seconds, draw):
        def act(node):
            node.suspend()
            time.sleep(seconds)
            self.resume(node)
        self.with_claimed_node(draw, act)

    def herd_suspended(self, seconds, draw):
        with self.claiming:
            herd = [node for node in self.world.nodes if node not in self.busy_nodes]
            self.busy_nodes.update(herd)
        names = [node.name for node in herd]
        with self.world.ledger.disturbance(names), self.world.ledger.interruption(names):
            for node in herd:
                node.suspend()
            time.sleep(seconds)
            for node in draw.sample(herd, len(herd)):
                self.resume(node)
                time.sleep(draw.uniform(0, 0.2))
        self.busy_nodes.difference_update(herd)

    def resume(self, node):
        self.world.ledger.resumed_at[node.name].append(time.monotonic())
        node.resume()

    def herd_killed(self, seconds, draw):
        threads = [threading.Thread(target=self.node_killed, args=(seconds, draw)) for _ in self.world.nodes[1:]]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def reload(self, seconds, draw):
        node = draw.choice(self.world.nodes)
        if node not in self.busy_nodes and node.process.poll() is None:
            node.process.send_signal(signal.SIGHUP)

    def store_cut(self, seconds, draw):
        proxy = draw.choice(self.world.store_proxies)
        node = self.world.nodes[self.world.store_proxies.index(proxy)]
        with self.world.ledger.disturbance([node.name], after=1):
            self.inject_proxy_fault(proxy, seconds, draw, 0.3)

    def store_trouble(self, seconds, switch, lapsing=()):
        """Injects a fault of the store for all nodes and removes the entries of the replicas in `lapsing`."""
        with self.world.ledger.disturbance([node.name for node in self.world.nodes], after=1):
            setattr(self.world.store, switch, True)
            for name in lapsing:
                self.world.store.remove(f"servers/{name}")
            time.sleep(seconds)
            setattr(self.world.store, switch, False)

    def store_outage(self, seconds, draw):
        self.store_trouble(seconds, draw.choice(OUTAGES))

    def lapse(self, seconds, draw):
        """The entries of all replicas expire while the store is unavailable, and are written again afterwards."""
        kept = list(self.world.replicas.values())
        self.store_trouble(seconds, draw.choice(OUTAGES), [replica.name for replica in kept])
        for replica in kept:
            if replica.name in self.world.replicas:
                self.world.enter(replica)

    def lost_answers(self, seconds, draw):
        self.store_trouble(seconds, "lose_answers")

    @staticmethod
    def inject_proxy_fault(proxy, seconds, draw, delay):
        proxy.set(draw.choice(MODES[1:]), delay)
        time.sleep(seconds)
        proxy.set("pass")

    def replica_cut(self, seconds, draw):
        if self.world.replicas:
            self.inject_proxy_fault(self.world.proxies[draw.choice(list(self.world.replicas))], seconds, draw, 0.2)

    def replica_trouble(self, seconds, draw):
        if not self.world.replicas:
            return
        replica = draw.choice(list(self.world.replicas.values()))
        replica.behave += [draw.choice(REPLICA_TROUBLES) for _ in range(draw.randint(1, 8))]

    def replica_leaves(self, seconds, draw):
        if len(self.world.replicas) > 2:
            self.world.start_leaving(draw.choice(list(self.world.replicas)))

    def fatal_request(self, seconds, draw):
        """A caller repeats a request that crashes each replica that runs it."""
        body = f"fatal {draw.random()}"
        end = time.monotonic() + seconds + LIMITS["contact"] + 2
        while time.monotonic() < end:
            node = draw.choice(self.world.nodes)
            connection = http.client.HTTPConnection("127.0.0.1", node.front, timeout=9)
            self.world.send(draw, node, connection, body, self.world.keys["alpha"][-1], body)
            connection.close()
            time.sleep(draw.uniform(0.05, 0.3))

    def revoke(self, seconds, draw):
        self.world.revoke(draw.choice(list(self.world.keys)))


def run_seed(seed, seconds, nodes, replicas, callers, suspensions=False, statements=False, odd_answers=False, restarts=False):
    """Runs one seed; returns the broken guarantees and the folder of the logs.

    `suspensions`: whether VMs are suspended besides the seed's other faults
    `statements`: whether replicas say in answers that they leave, or ask for rest, besides
    `odd_answers`: whether replicas fail requests in further ways, and duty calls are held up, besides
    `restarts`: whether nodes start again while entries of other systems come and go, besides"""
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"snowrudder-soak-{seed}-"))
    world = World(seed, folder, nodes, replicas, callers, suspensions, odd_answers)
    draw = random.Random(seed)
    faults = Faults(world, draw)
    injected = []
    try:
        world.start()
        began = time.monotonic()
        if suspensions:
            suspender = threading.Thread(target=faults.suspend_nodes, args=(began + seconds, random.Random(f"{seed} suspensions")))
            suspender.start()
        if statements:
            stating = threading.Thread(target=faults.state, args=(began + seconds, random.Random(f"{seed} statements")))
            stating.start()
        if odd_answers:
            answering = threading.Thread(target=faults.answer_oddly, args=(began + seconds, random.Random(f"{seed} odd answers")))
            answering.start()
        if restarts:
            restarting = threading.Thread(target=faults.start_again, args=(began + seconds, random.Random(f"{seed} restarts")))
            restarting.start()
        while time.monotonic() - began < seconds:
            time.sleep(draw.uniform(0.3, 1.5))
            injected.append(f"{time.monotonic() - began:6.1f} {faults.inject()}")
        if suspensions:
            suspender.join()
        if statements:
            stating.join()
        if odd_answers:
            answering.join()
        if restarts:
            restarting.join()
        faults.wait()
        if odd_answers:
            for replica in list(world.replicas.values()):
                replica.behave.clear()
        world.heal()
        if restarts:
            # What is left of the entries of other systems must keep none of them from being ready.
            faults.restart(world.nodes)
        time.sleep(LIMITS["contact"])
        broken = world.recover()
    finally:
        world.close()
    broken += world.ledger.breaches(LIMITS)
    broken += [f"malformed call to the store: {call}" for call in world.store.malformed]
    broken += duty_breaches(list(world.cloud.calls), world.ledger.resumed_at, RESUME_GRACE)
    served = sum(request.status == 200 for request in world.ledger.sent.values())
    (folder / "faults.txt").write_text("\n".join([*injected, *broken]) + "\n")
    resumed = [request for request in world.ledger.sent.values() if request.stream]
    print(f"seed {seed}: {len(injected)} faults, {len(world.ledger.sent)} requests, {served} served, "
          f"{sum(bool(request.signed_by) for request in resumed)} of {len(resumed)} streams taken up, "
          f"{sum(map(len, world.ledger.crashes.values()))} crashes, {len(world.ledger.told)} told of leaving, "
          f"{len(world.ledger.rests)} asked for rest, "
          f"{sum(end.sent == signal.SIGKILL for end in world.ledger.ends)} kills, {len(world.store.items)} entries at last, "
          f"{len(broken)} broken", flush=True)
    return broken, folder


def regressions():
    """Returns the seeds that have failed before."""
    lines = (pathlib.Path(__file__).parent / "regressions.txt").read_text().splitlines()
    return [int(line.split("|")[0]) for line in lines if line and not line.startswith("#")]


def main():
    options = argparse.ArgumentParser(description="A randomised soak on real processes.")
    options.add_argument("--seed", type=int, default=1)
    options.add_argument("--count", type=int, default=1)
    options.add_argument("--seconds", type=float, default=20.0, help="of faults, for each seed")
    options.add_argument("--nodes", type=int, default=4)
    options.add_argument("--replicas", type=int, default=4)
    options.add_argument("--callers", type=int, default=12)
    options.add_argument("--regressions", action="store_true", help="plays the seeds of regressions.txt")
    options.add_argument("--suspensions", action="store_true", help="suspends VMs besides the seed's other faults")
    options.add_argument("--statements", action="store_true",
                         help="replicas say in answers that they leave, or ask for rest, besides the seed's other faults")
    options.add_argument("--odd-answers", action="store_true",
                         help="replicas fail requests in further ways, and duty calls are held up, besides the seed's other faults")
    options.add_argument("--restarts", action="store_true",
                         help="nodes start again while entries of other systems come and go, besides the seed's other faults")
    given = options.parse_args()
    seeds = range(given.seed, given.seed + given.count)
    if given.regressions:
        seeds = regressions()
    failed = 0
    for seed in seeds:
        broken, folder = run_seed(seed, given.seconds, given.nodes, given.replicas, given.callers, given.suspensions,
                                  given.statements, given.odd_answers, given.restarts)
        failed += bool(broken)
        for line in broken[:10]:
            print(f"  {line}")
        if broken:
            print(f"  logs in {folder}", flush=True)
        else:
            shutil.rmtree(folder)
    print(f"{len(seeds) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
