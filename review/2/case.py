"""A node that is cut off from the replicas is served through another node, which is killed in the middle of answers without a
length: they end with their connection."""
import pathlib
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

from bed import BROKEN, HELD, TROUBLE, NotRun, Path, StoreView, configuration, encode, read_answer, route, run  # noqa: E402

REPLICAS = ("lm-1", "lm-2", "lm-3", "lm-4")
STREAMS = 120
# One answer in this many has no length and ends with its connection.
OPEN_EACH = 40
EVENTS = 12
# The first event after 0.5 s, then one each 200 ms, written whole: 2.7 s in all.
STREAM = f"/digest/tokens/300/40/{EVENTS}/"
LONGEST_CUT = 5.5


def case(bed):
    ports = {}
    paths = []
    for name in REPLICAS:
        port = bed.start_replica(name, "lm")
        paths.append(Path(port))
        ports[port] = paths[-1].port
    bed.store.put("op/config", configuration(7, [route("/digest/", "lm", "streaming")], {"lm": {}}))
    view_port = bed.free_port()
    view = StoreView(view_port, bed.store, ports)
    cut_off = bed.start_node("front-a-1", store_port=view_port, zone="a")
    others = [bed.start_node("front-b-1", zone="b"), bed.start_node("front-c-1", zone="c")]
    for node in (cut_off, *others):
        node.wait_ready()
    time.sleep(4)

    def ask(id, answers, framing="chunks-whole"):
        connection = cut_off.connect()
        bed.note(f"sent {id} to {cut_off.name}")
        connection.sendall(encode("POST", STREAM + framing, id, 15000, body=id.encode(), headers={
            "X-Model": "m", "X-Token-Count": "1460,125", "X-Prompt-Prefix": f"5c1e07a2:800,{abs(hash(id)) % 2**32:08x}:660"}))
        answers[id] = read_answer(connection)
        bed.note(f"{id}: {answers[id].describe()}, events {answers[id].body.count(b'id: ')} of {EVENTS}")

    cut_at = time.monotonic()
    if TROUBLE:
        bed.note("front-a-1 is cut off from the replicas")
        for path in paths:
            path.cut()

    answers = {}
    open_ids = [f"digest-{number}" for number in range(STREAMS) if number % OPEN_EACH == 20]
    threads = []
    for number in range(STREAMS):
        id = f"digest-{number}"
        framing = "open-whole" if id in open_ids else "chunks-whole"
        threads.append(threading.Thread(target=ask, args=(id, answers, framing), daemon=True))
        threads[-1].start()
        time.sleep(0.01)
    time.sleep(0.3)
    if TROUBLE:
        ways = {}
        for node in others:
            lines = bed.log_lines(cut_off.name, "connection_through_relay", f"relay={node.ip} ", "status=200")
            ways[node.name] = [id for id in open_ids if any(f"request={id} " in line for line in lines)]
        bed.note(f"answers without a length that the other nodes carry: {ways}")
        victim = max(ways, key=lambda name: len(ways[name]))
        if not ways[victim]:
            raise NotRun("no answer without a length went through another node")
        bed.kill(victim)
    for thread in threads:
        thread.join(15)
    if TROUBLE:
        lasted = time.monotonic() - cut_at
        bed.note(f"the cut lasted {lasted:.1f} s")
        if lasted > LONGEST_CUT:
            raise NotRun("the cut lasted too long")

    signed = {id: answer for id, answer in answers.items() if answer.status == 200 and "x-response-signature" in answer.fields}
    false = {id: answer.body.count(b"id: ") for id, answer in signed.items()
             if answer.whole and answer.body.count(b"id: ") < EVENTS}
    bed.note(f"streams that end as complete before their last event: {len(false)} {false}")
    print(f"complete {sum(answer.whole for answer in answers.values())} of {len(answers)}, "
          f"of these without the last event: {len(false)} {false}")
    if not TROUBLE and any(not answer.whole for answer in answers.values()):
        bed.note("an answer was not whole")
    view.server.shutdown()
    return BROKEN if false else HELD


run(HERE, case)
