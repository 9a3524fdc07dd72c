"""A replica fails part of the requests that it has run with a 503 of its own, which doesn't say that the request was not run."""
import pathlib
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

from bed import BROKEN, HELD, TROUBLE, configuration, encode, read_answer, route, run  # noqa: E402

REPLICAS = ("push-1", "push-2", "push-3", "push-4")
CLIENTS = 6
SECONDS = 5.0
SHARE = 0.4
PROMISES = (408, 421, 429, 503)


def case(bed):
    for name in REPLICAS:
        bed.start_replica(name, "push", slots=6)
    bed.store.put("op/config", configuration(7, [
        route("/push/", "push", "non_idempotent", timeout_ms=1500, latency_slo_ms=300)], {"push": {}}))
    node = bed.start_node("front-a-1")
    node.wait_ready()
    time.sleep(2)
    answers = {}
    if TROUBLE:
        bed.note(f"push-1 fails {SHARE} of the requests that it has run, with a 503 of its own")
        (bed.folder / "push-1.jsonl.grey").write_text(f"{SHARE} 503 Service Unavailable")
    end = time.monotonic() + SECONDS

    def push(client):
        connection = node.connect()
        number = 0
        while time.monotonic() < end:
            id = f"push-{client}-{number}"
            number += 1
            bed.note(f"sent {id}")
            connection.sendall(encode("POST", "/push/plain/60", id, 1500, body=id.encode()))
            answers[id] = read_answer(connection)
            bed.note(f"{id}: {answers[id].describe()}, signature {answers[id].fields.get('x-response-signature')}")
            if not answers[id].whole:
                connection = node.connect()

    threads = [threading.Thread(target=push, args=(client,), daemon=True) for client in range(CLIENTS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(10)
    ran = {entry["request"] for name in REPLICAS for entry in bed.of(name, "run")}
    broken = [id for id, answer in answers.items() if answer.status in PROMISES and id in ran]
    bed.note(f"requests that got one of {PROMISES} and have run: {len(broken)} {broken}")
    print(f"{len(answers)} sent, refused though they have run: {len(broken)}")
    return BROKEN if broken else HELD


run(HERE, case)
