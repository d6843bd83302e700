"""Measures service after a restart of all nodes: with their snapshots, without, and with wrong snapshots.

    .venv/bin/python experiments/learned/restart.py [TIMES]

Two nodes before twelve stand-in backends (three at 0.35 of the others' speed, six that pause for 400 ms after
about 250 requests), 420 requests/s. After 20 s each node is replaced by a process on the same address.

"stale" is a snapshot that is an hour old, with a half-life of an hour, of a fleet in which the slow backends were
fast, the fast ones slow, and everything took twice as long. "fresh lie" is the same snapshot dated one second ago,
which is the worst content that a file can have.
"""

import json
import os
import statistics
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__)))))

from pierglade.load import plan, run  # noqa: E402
from pierglade.processes.children import Children, free_port  # noqa: E402 - from the checkout that contains this file
from pierglade.snapshot import schema, store

# RATE in requests/s.
NODES, RATE, RESTART_AT_S, RUN_AFTER_RESTART_S, EXPECTED_MS = 2, 420, 20, 32, 120
WINDOWS_S = (5, 10, 30)  # after the restart
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
NODE_TEMPLATE = """
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
LEARNING_TEMPLATE = '[learning]\nfolder = "{folder}"\nevery_s = 2\nhalf_life_s = {half_life}\n'


def falsify_snapshot(folder, name, age_s):
    """Replaces the snapshot of a node by a wrong one of this age, as the module's docstring describes."""
    snapshot_store = store.SnapshotStore(folder, name)
    snapshot, _, _ = snapshot_store.read()
    snapshot.written_at = int(time.time() * 10000 - age_s * 10000)
    for row in snapshot.request_classes.values():
        row["typical"] *= 2
    for backend in snapshot.backends.values():
        statistics_row = backend.statistics
        statistics_row["level"] = 3.0 if statistics_row["level"] < 1.5 else 0.5
        statistics_row["mean_pause"] = 40000
        statistics_row["pauses"] = []
    snapshot_store.write(schema.encode(snapshot))


def run_case(case, seed):
    """Runs a case once; returns {window: fraction of requests answered in time within it after the restart}."""
    with Children() as children:
        with open(children.path("fleet.json"), "w") as file:
            json.dump({**FLEET, "seed": seed}, file)
        fleet = children.start("fleet", "pierglade.cli", "fleet", file.name, "--with-parent")
        folder = children.path("learned")
        os.mkdir(folder)
        learning = (
            ""
            if case == "without"
            else LEARNING_TEMPLATE.format(folder=folder, half_life=3600 if case == "stale" else 60)
        )
        ports = [free_port() for _ in range(NODES)]

        def start_node(number, suffix=""):
            with open(children.path(f"n{number}{suffix}.toml"), "w") as file:
                file.write(
                    NODE_TEMPLATE.format(
                        number=number,
                        nodes=NODES,
                        port=ports[number],
                        discovery=fleet["discovery"],
                        expected=EXPECTED_MS,
                        learning=learning,
                    )
                )
            children.start_logged(
                f"n{number}{suffix}",
                ["-m", "pierglade.cli", "serve", file.name, "--with-parent"],
                children.path(f"n{number}{suffix}.log"),
            )

        for number in range(NODES):
            start_node(number)
        time.sleep(1.0)
        begins = time.monotonic() + 0.5
        ledgers = [children.path(f"clients-{number}") for number in range(NODES)]
        worker_pool = run.WorkerPool(
            [
                (
                    run.Load(
                        f"127.0.0.1:{port}",
                        "/look/x",
                        plan.arrival_times(
                            [
                                plan.ArrivalPattern(
                                    rate=RATE / NODES, seconds=RESTART_AT_S + RUN_AFTER_RESTART_S
                                )
                            ],
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
        time.sleep(max(0.0, begins + RESTART_AT_S - time.monotonic()))
        clock_offset = time.time() - time.monotonic()
        restarted = time.monotonic()
        for number in range(NODES):
            if case in ("stale", "fresh lie"):
                falsify_snapshot(folder, f"n{number}", 3600 if case == "stale" else 1)
            start_node(number, "b")
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
        restarted_ms = (restarted + clock_offset) * 1000
        service = {}
        for window in WINDOWS_S:
            in_time = [
                is_in_time
                for at, is_in_time in rows
                if restarted_ms <= at < restarted_ms + window * 1000
            ]
            service[window] = sum(in_time) / max(1, len(in_time))
        return service


def main(times="3"):
    """Runs each case `times` times; prints the median and the range of the service in each window."""
    results_by_case = {case: [] for case in ("with", "without", "stale", "fresh lie")}
    for run_number in range(int(times)):
        for case, results in results_by_case.items():
            results.append(run_case(case, 5 + run_number))
    for case, results in results_by_case.items():
        print(
            f"{case:10} "
            + "; ".join(
                f"{window} s {statistics.median(each[window] for each in results):.4f} "
                f"({min(each[window] for each in results):.4f} "
                f"to {max(each[window] for each in results):.4f})"
                for window in WINDOWS_S
            ),
            flush=True,
        )


if __name__ == "__main__":
    main(*sys.argv[1:])
