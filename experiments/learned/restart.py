"""Service after a rolling restart of all nodes: with what they had learned, without, and with wrong memories.

    .venv/bin/python experiments/learned/restart.py [TIMES]

Two nodes before twelve stand-in backends (three at 0.35 of the others' speed, six that pause for 400 ms after
some 250 invocations), 420 a second. After 20 s each node is replaced by a process on the same address.
"stale"
is a snapshot of an hour ago, with a half-life of an hour, of a fleet in which the slow ones were quick, the
quick ones slow and everything was twice as slow; "fresh lie" is the same, taken for a second old: the worst
that a file can tell.
"""

import json
import os
import statistics
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__)))))

from pierglade.load import plan, run  # noqa: E402
from pierglade.processes.children import Children, free_port  # noqa: E402 - the checkout that this file stands in
from pierglade.snapshot import schema as form
from pierglade.snapshot import store as files

NODES, RATE, RESTART_AT, AFTER, EXPECTED_MS = 2, 420, 20, 32, 120
WINDOWS = (5, 10, 30)
FLEET = {
    "kind": [{"name": "quick", "cores": 2}, {"name": "slow", "cores": 2, "speed": 0.35}],
    "place": [{"kind": "quick", "count": 9}, {"kind": "slow", "count": 3}],
    "offering": [
        {
            "name": "look",
            "work_ms": 20,
            "cv": 0.5,
            "spread": "lognormal",
            "expected_ms": EXPECTED_MS,
            "hard_limit_ms": 1000,
        }
    ],
    "befall": [
        {
            "at_s": 0,
            "what": "pause",
            "backends": [f"b{n}" for n in range(6)],
            "after": 250,
            "pause_ms": 400,
        }
    ],
    "seconds": 600,
    "seed": 5,
}
NODE = """
[node]
name = "n{number}"
number = {number}
nodes = {nodes}
[listen]
address = "127.0.0.1:{port}"
[discovery]
address = "{discovery}"
[limits]
probes = true
[[offerings]]
name = "look"
expected_ms = {expected}
hard_limit_ms = 1000
repeat = "harmless"
{learning}
"""
LEARNING = '[learning]\nfolder = "{folder}"\nevery_s = 2\nhalf_life_s = {half_life}\n'


def lie(folder, name, age_s):
    """Turns the snapshot of a node into what the page above calls a lie."""
    kept = files.SnapshotStore(folder, name)
    one, _, _ = kept.read()
    one.written_at = int(time.time() * 10000 - age_s * 10000)
    for row in one.request_classes.values():
        row["typical"] *= 2
    for backend in one.backends.values():
        told = backend.statistics
        told["level"] = 3.0 if told["level"] < 1.5 else 0.5
        told["mean_pause"] = 40000
        told["pauses"] = []
    kept.write(form.encode(one))


def play(case, seed):
    """{window: service in so many seconds after the restart} of one play."""
    with Children() as children:
        with open(children.path("fleet.json"), "w") as file:
            json.dump({**FLEET, "seed": seed}, file)
        fleet = children.start("fleet", "pierglade.cli", "fleet", file.name, "--with-parent")
        folder = children.path("learned")
        os.mkdir(folder)
        learning = (
            ""
            if case == "without"
            else LEARNING.format(folder=folder, half_life=3600 if case == "stale" else 60)
        )
        ports = [free_port() for _ in range(NODES)]

        def start(number, again=""):
            with open(children.path(f"n{number}{again}.toml"), "w") as file:
                file.write(
                    NODE.format(
                        number=number,
                        nodes=NODES,
                        port=ports[number],
                        discovery=fleet["discovery"],
                        expected=EXPECTED_MS,
                        learning=learning,
                    )
                )
            children.start_logged(
                f"n{number}{again}",
                ["-m", "pierglade.cli", "serve", file.name, "--with-parent"],
                children.path(f"n{number}{again}.log"),
            )

        for number in range(NODES):
            start(number)
        time.sleep(1.0)
        begins = time.monotonic() + 0.5
        ledgers = [children.path(f"clients-{number}") for number in range(NODES)]
        worker_pool = run.WorkerPool(
            [
                (
                    run.Load(
                        f"127.0.0.1:{port}",
                        "/look/x",
                        plan.moments(
                            [plan.ArrivalPattern(rate=RATE / NODES, seconds=RESTART_AT + AFTER)],
                            "poisson",
                            seed * 10 + number,
                        ),
                        timeout_s=1.0,
                        ledger=ledger,
                    ),
                    (0, 1),
                )
                for number, (port, ledger) in enumerate(zip(ports, ledgers))
            ],
            begins,
        )
        time.sleep(max(0.0, begins + RESTART_AT - time.monotonic()))
        ahead = time.time() - time.monotonic()
        restarted = time.monotonic()
        for number in range(NODES):
            if case in ("stale", "fresh lie"):
                lie(folder, f"n{number}", 3600 if case == "stale" else 1)
            start(number, "b")
            children.running[f"n{number}"][0].terminate()
        worker_pool.collect()
        worker_pool.end()
        rows = []
        for ledger in ledgers:
            sent = {}
            with open(ledger) as file:
                for line in file:
                    row = json.loads(line)
                    if row["event"] == "sent":
                        sent[row["id"]] = [row["t_ms"] - row["late_ms"], False]
                    elif row["event"] == "answer" and row["status"] == 200:
                        sent[row["id"]][1] = row["t_ms"] - sent[row["id"]][0] <= EXPECTED_MS
            rows += sent.values()
        moment = (restarted + ahead) * 1000
        told = {}
        for span in WINDOWS:
            some = [good for at, good in rows if moment <= at < moment + span * 1000]
            told[span] = sum(some) / max(1, len(some))
        return told


def main(times="3"):
    cases = {case: [] for case in ("with", "without", "stale", "fresh lie")}
    for turn in range(int(times)):
        for case, told in cases.items():
            told.append(play(case, 5 + turn))
    for case, told in cases.items():
        print(
            f"{case:10} "
            + "; ".join(
                f"{span} s {statistics.median(t[span] for t in told):.4f} "
                f"({min(t[span] for t in told):.4f} to {max(t[span] for t in told):.4f})"
                for span in WINDOWS
            ),
            flush=True,
        )


if __name__ == "__main__":
    main(*sys.argv[1:])
