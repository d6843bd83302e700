"""The auditor finds each planted fault, finds nothing on a good run, and takes no hole for a pass."""

import asyncio
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import threading
from concurrent.futures import ThreadPoolExecutor

from pierglade.audit import records, rules
from pierglade.audit.settings import settings_of_plan
from pierglade.load import plan as loads
from pierglade.load import run
from pierglade.testbed import plan as plans
from pierglade.testbed import run as fleets
from tests.support.scene import TraceTest

BASE = {
    "kind": [{"cores": 8}],
    "place": [{"count": 3}],
    "offering": [
        {
            "name": "look",
            "work_ms": 2,
            "spread": "fixed",
            "hard_limit_ms": 1200,
            "expected_ms": 200,
        },
        {
            "name": "pay",
            "work_ms": 2,
            "spread": "fixed",
            "repeats": "one-shot",
            "hard_limit_ms": 1200,
            "expected_ms": 200,
        },
    ],
}
COLD = {
    "kind": [{"cores": 1, "cold_from": 0.1, "cold_for_s": 60, "tip_multiple": 1.5, "tip_s": 0.5}],
    "offering": [{"name": "look", "work_ms": 20, "spread": "fixed", "hard_limit_ms": 2000}],
}
# fault of the node: (plan, path, method, budget)
CASES = {
    "none": ({}, "/look/x", "GET", None),
    "twice": ({}, "/look/x", "GET", None),
    "late": ({}, "/look/x", "GET", None),
    "again": ({"befall": [{"at_s": 0, "what": "errors", "part": 0.5}]}, "/pay/x", "POST", None),
    "drained": (
        {"befall": [{"at_s": 1.2, "what": "drain", "backends": ["b0"]}]},
        "/look/x",
        "GET",
        None,
    ),
    "flood": (
        {**COLD, "befall": [{"at_s": 0.1, "what": "restart", "backends": ["b0"]}]},
        "/look/x",
        "GET",
        None,
    ),
    "overdraw": ({}, "/look/x", "GET", (0.5, 3, 0.2)),
    "left": ({}, "/look/x", "GET", None),
}


def judged(plan, budget):
    """The settings, with slack for a machine busy with other tests; what is planted goes far beyond it."""
    settings = settings_of_plan(plan, 200.0, budget)
    settings.slack_ms = 200.0
    return settings


class Audits(TraceTest):
    def played(self, fault):
        """What the auditor says of a plain node with this fault planted, before a stand-in fleet."""
        more, path, method, budget = CASES[fault]
        with tempfile.TemporaryDirectory() as folder:
            ours, theirs = os.path.join(folder, "clients"), os.path.join(folder, "backends")
            plan = plans.made(
                {**BASE, **more, "ledger": {"path": theirs}, "discovery": {"notice_s": 0.1}}
            )
            up, over = threading.Event(), threading.Event()
            told = {}

            async def play():
                fleet = fleets.StandIn(plan)
                await fleet.start()
                told.update(address=fleet.agent.address)
                up.set()
                await asyncio.to_thread(over.wait)
                await fleet.stop()

            fleet = threading.Thread(target=asyncio.run, args=(play(),))
            fleet.start()
            up.wait(10)
            node = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "pierglade.testbed.plain",
                    "--fault",
                    fault,
                    "--discovery",
                    told["address"],
                    "--with-parent",
                ],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
            )
            try:
                where = json.loads(node.stdout.readline())["listen"]
                moments = (
                    loads.moments([loads.ArrivalPattern(rate=60, seconds=1.5)], "even", 1) + 0.3
                )
                run.play(
                    run.Load(
                        where,
                        path,
                        moments,
                        method,
                        timeout_s=0.3 if fault == "left" else 3.0,
                        ledger=ours,
                    )
                )
            finally:
                node.kill()
                node.communicate()
                over.set()
                fleet.join(10)
            clients, holes = records.read(ours)
            backends, more_holes = records.read(theirs)
            verdict = rules.audit(judged(plan, budget), clients, backends, holes + more_holes)
            kept = self.cut(plan, ours, theirs) if fault == "none" else []
        broken = sorted({each.rule for each in verdict.violations})
        first = verdict.violations[0] if verdict.violations else None
        return [
            f"{fault}: {', '.join(broken) or 'all held'}, holes {len(verdict.gaps)}, a timeline "
            f"{bool(first and first.timeline)}"
        ] + kept

    def cut(self, plan, ours, theirs):
        """The same ledgers with a line cut in two, with a line missing, and none at all."""
        lines = []
        whole = pathlib.Path(theirs).read_bytes()
        for what, data in (
            ("cut off", whole[: len(whole) // 2]),
            ("empty", b""),
            ("spoilt", whole.replace(b'"event"', b"event", 1)),
        ):
            pathlib.Path(theirs).write_bytes(data)
            clients, holes = records.read(ours)
            backends, more = records.read(theirs)
            verdict = rules.audit(judged(plan, None), clients, backends, holes + more)
            passed = [rule for rule, how in verdict.held().items() if how]
            lines.append(f"    backends' ledger {what}: held {passed}, {verdict.gaps[0].reason}")
        return lines

    def test_each_planted_fault_and_a_good_run(self):
        with ThreadPoolExecutor(4) as beside:
            self.check(
                "audit", [line for lines in beside.map(self.played, CASES) for line in lines]
            )
