"""One-shot requests that have run are refused with 503, and run again when their clients retry."""

import collections
import subprocess
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from rig2 import rig

BOXES, PER_PROCESS = 16, 4
CLIENTS, SPELL_S, WAIT_MS = 60, 20.0, 6000
BODY = b"x" * 1200000
RESETS = 0.1  # share of the requests whose connection is reset after they have run
BACKOFF_S = 0.05
OFFERINGS = [
    rig.offering(
        "repayment",
        "guarded",
        group="zone",
        repeatWindowUs=4000000,
        expectedTimeUs=600000,
        hardLimitUs=2000000,
        credit=3,
    ),
    rig.offering("payout", "single_shot", expectedTimeUs=1500000, hardLimitUs=6000000, credit=2),
]


def start_boxes(stage: rig.Stage) -> tuple[list[dict], list[Path]]:
    """Starts the backends; returns their entries in the list, and their ledgers."""
    entries, ledgers = [], []
    for first in range(0, BOXES, PER_PROCESS):
        addresses = [rig.free_address() for _ in range(PER_PROCESS)]
        ledgers.append(stage.folder / f"ledger-{first}")
        ledgers[-1].touch()
        ports = [each.rpartition(":")[2] for each in addresses]
        script = str(rig.ROOT / "review/rig2/boxes.py")
        share = str(RESETS if rig.TROUBLE else 0.0)
        stage.processes.append(
            subprocess.Popen([sys.executable, script, share, str(ledgers[-1]), *ports])
        )
        for number, address in enumerate(addresses, first):
            name = f"app-{number}"
            entries.append(
                {"name": name, "address": address, "zone": "a", "type": "std-2c", "group": 1}
                | {"status": "SERVING", "weight": 1.0, "since_ms": 0}
            )
    time.sleep(1.0)
    return entries, ledgers


def pay(stage: rig.Stage, node: rig.Node, number: int, end: float, answers: dict):
    """Makes payouts one after another; after a refusal, the client tries once more."""
    client = stage.client(node, f"client-{number}")
    count = 0
    while rig.seconds() < end:
        count += 1
        for attempt in (1, 2):
            trace_id, path = f"{number}-{count}-{attempt}", f"/payout/{number}-{count}"
            try:
                client.send(rig.request_bytes(path, trace_id, WAIT_MS, body=BODY), trace_id)
                answer = client.answer(trace_id)
            except OSError:
                answer = None
            answers[trace_id] = answer.status if answer else 0
            if answer is None or answer.fields.get("connection") == "close":
                client.close()
                client = stage.client(node, f"client-{number}")
            if answers[trace_id] not in (429, 503):
                break
            time.sleep(BACKOFF_S)
    client.close()


def case(stage: rig.Stage) -> str | None:
    """Plays clients with long bodies while connections are reset after requests have run."""
    entries, ledgers = start_boxes(stage)
    discovery = stage.discovery(entries)
    node = stage.node(stage.config(discovery, rig.settings(OFFERINGS, connectTimeoutUs=200000)))
    node.wait_ready()
    answers, end = {}, rig.seconds() + SPELL_S
    threads = [
        threading.Thread(target=pay, args=(stage, node, number, end, answers))
        for number in range(CLIENTS)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    rows = [line.split() for path in ledgers for line in path.read_text().splitlines()]
    for trace_id, path, outcome in rows:
        stage.record.add("backend", "ran", id=trace_id, path=path, then=outcome)
    runs = collections.Counter(path for _, path, _ in rows)
    refused = [trace_id for trace_id, _, _ in rows if answers.get(trace_id) in (429, 503)]
    twice = [path for path, count in runs.items() if count > 1]
    stage.record.add("check", "answers", **{f"s{k}": v for k, v in _counted(answers).items()})
    for trace_id in refused:
        stage.record.add("check", "refused although it ran", id=trace_id)
    for path in twice:
        stage.record.add("check", "ran more than once", path=path)
    if len(rows) < 100:
        raise rig.NotRunError(f"only {len(rows)} requests ran")
    if not refused:
        return None
    return (
        f"{len(refused)} of {len(rows)} one-shot requests that ran were refused as harmless to "
        f"repeat; {len(twice)} ran twice"
    )


def _counted(answers):
    return dict(collections.Counter(answers.values()))


rig.play(__file__, case)
