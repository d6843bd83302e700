"""The audit detects each injected fault, passes a good run, and passes no rule despite gaps."""

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
# Fault of the node to (changes of the plan, path, method, retry budget).
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


def audit_settings(plan, budget):
    """Returns settings with slack for a busy machine; the injected faults exceed it by far."""
    settings = settings_of_plan(plan, 200.0, budget)
    settings.slack_ms = 200.0
    return settings


class Audits(TraceTest):
    def audit_run(self, fault):
        """Audits a run of a plain node with this fault against a stand-in fleet; returns lines."""
        changes, path, method, budget = CASES[fault]
        with tempfile.TemporaryDirectory() as folder:
            client_ledger, backend_ledger = (
                os.path.join(folder, "clients"),
                os.path.join(folder, "backends"),
            )
            plan = plans.plan_from(
                {
                    **BASE,
                    **changes,
                    "ledger": {"path": backend_ledger},
                    "discovery": {"notice_s": 0.1},
                }
            )
            started, stop_requested = threading.Event(), threading.Event()
            discovery = {}

            async def run_fleet():
                fleet = fleets.StandInFleet(plan)
                await fleet.start()
                discovery.update(address=fleet.agent.address)
                started.set()
                await asyncio.to_thread(stop_requested.wait)
                await fleet.stop()

            fleet_thread = threading.Thread(target=asyncio.run, args=(run_fleet(),))
            fleet_thread.start()
            started.wait(10)
            node = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "pierglade.testbed.plain",
                    "--fault",
                    fault,
                    "--discovery",
                    discovery["address"],
                    "--with-parent",
                ],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
            )
            try:
                address = json.loads(node.stdout.readline())["listen"]
                moments = (
                    loads.arrival_times([loads.ArrivalPattern(rate=60, seconds=1.5)], "even", 1)
                    + 0.3
                )
                run.run_load(
                    run.Load(
                        address,
                        path,
                        moments,
                        method,
                        timeout_s=0.3 if fault == "left" else 3.0,
                        ledger=client_ledger,
                    )
                )
            finally:
                node.kill()
                node.communicate()
                stop_requested.set()
                fleet_thread.join(10)
            client_rows, client_gaps = records.read(client_ledger)
            backend_rows, backend_gaps = records.read(backend_ledger)
            verdict = rules.audit(
                audit_settings(plan, budget),
                client_rows,
                backend_rows,
                client_gaps + backend_gaps,
            )
            damage_lines = (
                self.audit_damaged(plan, client_ledger, backend_ledger) if fault == "none" else []
            )
        broken = sorted({each.rule for each in verdict.violations})
        first = verdict.violations[0] if verdict.violations else None
        return [
            f"{fault}: {', '.join(broken) or 'all held'}, gaps {len(verdict.gaps)}, a timeline "
            f"{bool(first and first.timeline)}"
        ] + damage_lines

    def audit_damaged(self, plan, client_ledger, backend_ledger):
        """Audits the same run with the backends' ledger truncated, empty, and with a bad line."""
        lines = []
        intact = pathlib.Path(backend_ledger).read_bytes()
        for damage, data in (
            ("truncated", intact[: len(intact) // 2]),
            ("empty", b""),
            ("malformed", intact.replace(b'"event"', b"event", 1)),
        ):
            pathlib.Path(backend_ledger).write_bytes(data)
            client_rows, client_gaps = records.read(client_ledger)
            backend_rows, backend_gaps = records.read(backend_ledger)
            verdict = rules.audit(
                audit_settings(plan, None), client_rows, backend_rows, client_gaps + backend_gaps
            )
            passed = [rule for rule, held in verdict.held().items() if held]
            lines.append(f"    backends' ledger {damage}: held {passed}, {verdict.gaps[0].reason}")
        return lines

    def test_each_injected_fault_and_a_good_run(self):
        """Each fault of the node breaks its rule, and gaps in a ledger leave no rule as held."""
        with ThreadPoolExecutor(4) as executor:
            self.check(
                "audit", [line for lines in executor.map(self.audit_run, CASES) for line in lines]
            )
