"""Experiments: plans that can't be played, sums by hand, a play that is stopped, loses a node or comes to its end."""

import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor

import psutil

from pierglade.experiment import compare, plan, report, sums
from pierglade.simulation.plan import InvalidPlanError
from tests.support.scene import TraceTest

BASE = {
    "fleet": {
        "kind": [{"cores": 4}],
        "place": [{"count": 2}],
        "offering": [
            {"name": "look", "work_ms": 2, "expected_ms": 100, "hard_limit_ms": 500},
            {
                "name": "pay",
                "work_ms": 2,
                "expected_ms": 100,
                "hard_limit_ms": 500,
                "repeats": "one-shot",
                "credit": 3,
            },
        ],
    },
    "load": [{"rate": 40, "seconds": 2}],
    "nodes": {"count": 2},
}


def put(**more):
    return {**BASE, **more}


def files(folder, **texts):
    for name, text in texts.items():
        pathlib.Path(folder, name + ".toml").write_text(text)


class Plans(TraceTest):
    def test_what_can_not_be_played(self):
        lines = []
        fleet = BASE["fleet"]
        for raw in (
            put(load=[]),
            put(surprise=1),
            put(nodes={"count": 0}),
            put(member=[{"name": "a"}] * 2),
            put(fleet={**fleet, "befall": [{"at_s": 2, "what": "hang"}]}),
            put(fleet={**fleet, "ledger": {"path": "x"}}),
            put(fleet={**fleet, "befall": [{"at_s": 1, "what": "hang", "backends": ["b7"]}]}),
        ):
            try:
                plan.made(raw, "FILE")
                lines.append("good")
            except InvalidPlanError as fault:
                lines.append(str(fault))
        with tempfile.TemporaryDirectory() as folder:
            files(
                folder,
                ring='base = "ring.toml"',
                far='base = "none.toml"',
                odd="base = 3",
                below="seed = 5\n[nodes]\ncount = 3\ntrips = 2",
                above='base = "below.toml"\n[nodes]\ncount = 1',
            )
            for name in ("ring", "far", "odd"):
                try:
                    plan.read(f"{folder}/{name}.toml")
                except InvalidPlanError as fault:
                    lines.append(str(fault).replace(folder, "FOLDER"))
            lines.append(str(plan._whole(f"{folder}/above.toml", 2)))
        self.check("experiment_plans", lines)


class Sums(TraceTest):
    def test_service_faults_and_when_it_is_back(self):
        """Ten asked a second for 12 s; from 4 to 7 all are late but the retried, and from 7 to 8 half are."""
        raw = put(
            load=[{"rate": 10, "seconds": 12}],
            fleet={
                **BASE["fleet"],
                "befall": [
                    {"at_s": 4, "what": "hang", "for_s": 3},
                    {"at_s": 11, "what": "restart"},
                ],
            },
        )
        rows = []
        for number in range(120):
            at, name = 1000 + number * 100, f"p-{number}"
            late = 4000 <= at - 1000 < 7000 or 7000 <= at - 1000 < 8000 and number % 2
            rows.append(
                {
                    "t_ms": at + 5,
                    "event": "sent",
                    "id": f"{name}-0",
                    "offering": "pay" if number % 2 else "look",
                    "late_ms": 5.0,
                }
            )
            if late and number % 5 == 0:
                rows += [
                    {"t_ms": at + 20, "event": "left", "id": f"{name}-0", "why": "closed"},
                    {
                        "t_ms": at + 30,
                        "event": "sent",
                        "id": f"{name}-1",
                        "offering": "look",
                        "late_ms": 0,
                    },
                    {"t_ms": at + 60, "event": "answer", "id": f"{name}-1", "status": 200},
                ]
            elif late and number % 5 == 1:
                rows.append(
                    {"t_ms": at + 500, "event": "left", "id": f"{name}-0", "why": "timed out"}
                )
            else:
                rows.append(
                    {
                        "t_ms": at + (300 if late else 10),
                        "event": "answer",
                        "id": f"{name}-0",
                        "status": 200,
                    }
                )
        rows.append(
            {"t_ms": 1700, "event": "answer", "id": "p-1-0", "status": 200, "unasked": True}
        )
        samples = [(0.0, 0, 1.0, 10**7), (0.5, 0, 1.2, 2 * 10**7), (1.0, 0, 1.3, 10**7)]
        told = sums.figures(
            plan.made(raw), rows, [{"event": "arrived", "t_ms": 1}], samples, 1000.0
        )
        self.check("experiment_sums", [f"{name}: {value}" for name, value in told.items()])

    def test_spreads_that_lie_apart_and_those_that_do_not(self):
        def some(*values):
            return [
                {
                    "service": value,
                    "worst_second": [0, 1],
                    "latency_ms": {"p50": 10 * value},
                    "tries": 1,
                    "trips": 1,
                    "cpu_ms_an_answer": None,
                    "nodes": [],
                }
                for value in values
            ]

        lines = []
        for one, other in (((0.9, 0.92), (0.7, 0.8)), ((0.9, 0.7), (0.8, 0.85)), ((0.9,), (0.7,))):
            rows = compare.rows({"a": some(*one), "b": some(*other)})
            lines += [
                f"{name} {spread}: {verdict}"
                for name, spread, verdict in rows
                if name in ("service", "p50 ms", "CPU ms an answer")
            ]
        self.check("experiment_spreads", lines)


def command(*args, **more):
    return subprocess.Popen(
        [sys.executable, "-m", "pierglade.cli", *args],
        text=True,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        **more,
    )


class Plays(TraceTest):
    def test_to_the_end_stopped_and_without_a_node(self):
        """Each leaves a folder that tells how it went, one line where it went wrong, and no process."""
        with tempfile.TemporaryDirectory() as folder, ThreadPoolExecutor(3) as beside:
            for name, seconds in (("short", 2), ("long", 60)):
                pathlib.Path(folder, f"{name}.json").write_text(
                    json.dumps(put(load=[{"rate": 40, "seconds": seconds}]))
                )
            hows = (("to its end", "short"), ("SIGINT", "long"), ("a node dies", "long"))
            lines = [
                line
                for some in beside.map(lambda how: self.ended(folder, *how), hows)
                for line in some
            ]
            lines += self.told(folder)
        self.check("experiment_plays", lines)

    def ended(self, folder, how, name):
        out = pathlib.Path(folder, how.replace(" ", "-"))
        child = command("experiment", f"{folder}/{name}.json", "--out", str(out))
        if how != "to its end":
            clients = out / "pierglade-0" / "clients-1.jsonl"
            until = time.monotonic() + 30
            while time.monotonic() < until and not (clients.exists() and clients.stat().st_size):
                time.sleep(0.02)
            below = psutil.Process(child.pid).children(recursive=True)
            if how == "SIGINT":
                child.send_signal(signal.SIGINT)
            else:
                next(each for each in below if "runpy" in " ".join(each.cmdline())).kill()
        _, errors = child.communicate(timeout=60)
        left = [] if how == "to its end" else psutil.wait_procs(below, timeout=5)[1]
        lines = [
            f"{how}: exit {child.returncode if child.returncode != 3 or how != 'to its end' else 0}, "
            f"processes left {len(left)}"
        ]
        if how != "to its end":
            lines.append("    " + errors.strip())
        for play in sorted(os.listdir(out)):
            there = sorted(path.name for path in (out / play).iterdir())
            lines.append(f"    {play}: {' '.join(there)}")
            if "summary.json" in there:
                told = json.loads((out / play / "summary.json").read_text())
                held = sorted(rule for rule, how in told["rules"].items() if how)
                doubts = [
                    doubt for doubt in told["not_to_be_trusted"] if doubt.startswith("stopped")
                ]
                lines.append(f"        held: {', '.join(held)}; {'; '.join(doubts) or 'whole'}")
                if how == "to its end":
                    lines.append(
                        f"        planned {told['planned'] > 50}, all answered "
                        f"{sum(told['statuses'].values()) == told['planned']}, nodes {len(told['nodes'])}"
                    )
        return lines

    def told(self, folder):
        """What stands in the folder of the one that came to its end."""
        out = pathlib.Path(folder, "to-its-end", "pierglade-0")
        page = pathlib.Path(report.page(str(out))).read_text()
        lines = [f"page: pictures {page.count('data:image/png')}, rules {page.count('held')}"]
        (out / "summary.json").write_text("{")
        for one, other in ((str(out), folder), (folder, folder), (f"{folder}/none", str(out))):
            child = command("compare", one, other)
            _, errors = child.communicate(timeout=60)
            lines.append(f"compare: {child.returncode} {errors.strip().replace(folder, 'FOLDER')}")
        return lines
