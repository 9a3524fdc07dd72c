"""The node that holds the duties loses its path to the platform while users come; its order arrives after its successor's."""
import pathlib
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

from bed import BROKEN, HELD, TROUBLE, Link, NotRun, configuration, encode, read_answer, route, run, wait_until  # noqa: E402

CUT_SECONDS = 5.5
THAW_SECONDS = 0.3
STREAMS = 90
STREAM = "/digest/tokens/300/40/60/chunks-whole"
SCALING = {"min": 1, "max": 6, "boot_s": 4.0, "spot_price": 0.18, "zone_prices": {"a": 1.0, "b": 0.8, "c": 1.25}}


def case(bed):
    for name, zone in (("lm-1", "a"), ("lm-2", "b"), ("lm-3", "c")):
        bed.start_replica(name, "lm", slots=8, zone=zone)
    bed.store.put("op/config", configuration(7, [route("/digest/", "lm", "streaming")], {"lm": {"scaling": SCALING}}))
    links = {}
    nodes = {}
    for zone in "abc":
        name = f"front-{zone}-1"
        links[name] = [Link(port, bed.note) for port in (bed.store_port, bed.cloud_port)]
        nodes[name] = bed.start_node(name, store_port=links[name][0].port, cloud_port=links[name][1].port, zone=zone)
    for node in nodes.values():
        node.wait_ready()
    wait_until(lambda: {call[1] for call in bed.cloud.arrived} == {"/usage", "/scale"}, "usage is reported and replicas ordered", 30)
    time.sleep(2)
    holder = bed.cloud.arrived[-1][2]
    bed.note(f"the duties are held by {holder}, fence {bed.cloud.arrived[-1][3]}")
    answers = {}

    def ask(number, node):
        id = f"digest-{number}"
        connection = node.connect()
        connection.sendall(encode("POST", STREAM, id, 15000, body=id.encode(), headers={
            "X-Model": "m", "X-Token-Count": "1460,300", "X-Prompt-Prefix": f"5c1e07a2:800,{number + 16:08x}:660"}))
        answers[id] = read_answer(connection)

    ended = time.monotonic()
    if TROUBLE:
        bed.note(f"{holder} loses its path to the platform for {CUT_SECONDS} s")
        for link in links[holder]:
            link.cut(CUT_SECONDS)
        ended += CUT_SECONDS
    bed.note(f"{STREAMS} users come")
    for number in range(STREAMS):
        threading.Thread(target=ask, args=(number, list(nodes.values())[number % 3]), daemon=True).start()
    time.sleep(13)

    newest = {}
    broken = []
    for at, path, name, fence, body in list(bed.cloud.arrived):
        subject = "usage" if path == "/usage" else f"scale {body['service']} {body['zone']}"
        bed.note(f"duty call at {at - bed.began:.3f}: {name} {fence} {subject} {body}")
        known = newest.get(subject, (0, ""))
        if fence < known[0] and not (TROUBLE and at <= ended + THAW_SECONDS):
            broken.append((subject, fence, known))
        newest[subject] = max(known, (fence, name))
    bed.note(f"calls with a lower fence than one seen before, later than thaw_ms after the cut: {broken}")
    print(broken)
    if TROUBLE and len({name for _, _, name, _, _ in bed.cloud.arrived}) < 2:
        raise NotRun("no other node took over the duties")
    return BROKEN if broken else HELD


run(HERE, case)
