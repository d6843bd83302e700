"""Experiments: invalid plans, figures against hand calculation, and complete or aborted runs."""

import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import types
import unittest
import unittest.mock
from concurrent.futures import ThreadPoolExecutor

import psutil

from pierglade.experiment import compare, plan, play, report, sums
from pierglade.simulation.plan import InvalidPlanError
from tests.support.scene import TraceTest

BASE_PLAN = {
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


def plan_with(**tables):
    """Returns BASE_PLAN with some of its tables replaced."""
    return {**BASE_PLAN, **tables}


def write_plans(folder, **texts):
    """Writes each text to the file NAME.toml."""
    for name, text in texts.items():
        pathlib.Path(folder, name + ".toml").write_text(text)


class InvalidPlans(TraceTest):
    """Plans that are rejected, and plans that extend a base."""

    def test_invalid_plans_are_reported_with_their_place(self):
        """An invalid plan must be reported in one line before any process is started."""
        lines = []
        fleet = BASE_PLAN["fleet"]
        for raw in (
            plan_with(load=[]),
            plan_with(surprise=1),
            plan_with(nodes={"count": 0}),
            plan_with(member=[{"name": "a"}] * 2),
            plan_with(fleet={**fleet, "befall": [{"at_s": 2, "what": "hang"}]}),
            plan_with(fleet={**fleet, "ledger": {"path": "x"}}),
            plan_with(fleet={**fleet, "befall": [{"at_s": 1, "what": "hang", "backends": ["b7"]}]}),
        ):
            try:
                plan.plan_from(raw, "FILE")
                lines.append("valid")
            except InvalidPlanError as error:
                lines.append(str(error))
        with tempfile.TemporaryDirectory() as folder:
            write_plans(
                folder,
                cycle='base = "cycle.toml"',
                missing='base = "none.toml"',
                number="base = 3",
                base="seed = 5\n[nodes]\ncount = 3\ntrips = 2",
                extended='base = "base.toml"\n[nodes]\ncount = 1',
            )
            for name in ("cycle", "missing", "number"):
                try:
                    plan.read(f"{folder}/{name}.toml")
                except InvalidPlanError as error:
                    lines.append(str(error).replace(folder, "FOLDER"))
            lines.append(str(plan._read_with_bases(f"{folder}/extended.toml", 2)))
        self.check("experiment_plans", lines)


class Figures(TraceTest):
    """Figures of a run, and the comparison of runs."""

    def test_service_faults_and_recovery_time(self):
        """Figures of a constructed ledger agree with hand calculation.

        Ten requests per second for 12 s. From 4 to 7 s all but the retried ones are late, from 7 to
        8 s half of them. An unsolicited response must not count.
        """
        raw = plan_with(
            load=[{"rate": 10, "seconds": 12}],
            fleet={
                **BASE_PLAN["fleet"],
                "befall": [
                    {"at_s": 4, "what": "hang", "for_s": 3},
                    {"at_s": 11, "what": "restart"},
                ],
            },
        )
        rows = []
        for number in range(120):
            planned_ms, request_id = 1000 + number * 100, f"p-{number}"
            is_late = (
                4000 <= planned_ms - 1000 < 7000 or 7000 <= planned_ms - 1000 < 8000 and number % 2
            )
            rows.append(
                {
                    "t_ms": planned_ms + 5,
                    "event": "sent",
                    "id": f"{request_id}-0",
                    "offering": "pay" if number % 2 else "look",
                    "late_ms": 5.0,
                }
            )
            if is_late and number % 5 == 0:
                rows += [
                    {
                        "t_ms": planned_ms + 20,
                        "event": "left",
                        "id": f"{request_id}-0",
                        "why": "closed",
                    },
                    {
                        "t_ms": planned_ms + 30,
                        "event": "sent",
                        "id": f"{request_id}-1",
                        "offering": "look",
                        "late_ms": 0,
                    },
                    {
                        "t_ms": planned_ms + 60,
                        "event": "answer",
                        "id": f"{request_id}-1",
                        "status": 200,
                    },
                ]
            elif is_late and number % 5 == 1:
                rows.append(
                    {
                        "t_ms": planned_ms + 500,
                        "event": "left",
                        "id": f"{request_id}-0",
                        "why": "timed out",
                    }
                )
            else:
                rows.append(
                    {
                        "t_ms": planned_ms + (300 if is_late else 10),
                        "event": "answer",
                        "id": f"{request_id}-0",
                        "status": 200,
                    }
                )
        rows.append(
            {"t_ms": 1700, "event": "answer", "id": "p-1-0", "status": 200, "unasked": True}
        )
        samples = [(0.0, 0, 1.0, 10**7), (0.5, 0, 1.2, 2 * 10**7), (1.0, 0, 1.3, 10**7)]
        figures = sums.figures(
            plan.plan_from(raw), rows, [{"event": "arrived", "t_ms": 1}], samples, 1000.0
        )
        self.check("experiment_sums", [f"{name}: {value}" for name, value in figures.items()])

    def test_comparison_needs_disjoint_ranges(self):
        """One build is called better only if the ranges of several runs do not overlap."""

        def summaries(*values):
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
        for first, second in (
            ((0.9, 0.92), (0.7, 0.8)),
            ((0.9, 0.7), (0.8, 0.85)),
            ((0.9,), (0.7,)),
        ):
            rows = compare.compare_figures({"a": summaries(*first), "b": summaries(*second)})
            lines += [
                f"{name} {spread}: {verdict}"
                for name, spread, verdict in rows
                if name in ("service", "p50 ms", "CPU ms/response")
            ]
        self.check("experiment_spreads", lines)


def start_command(*args, **options):
    """Starts `pierglade ARGS`."""
    return subprocess.Popen(
        [sys.executable, "-m", "pierglade.cli", *args],
        text=True,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        **options,
    )


class Starts(unittest.TestCase):
    """Runs on a busy machine, and runs that are stopped."""

    BUILD = types.SimpleNamespace(label="build")

    def test_a_start_that_came_too_late_is_repeated_with_a_longer_lead(self):
        """Guards against runs without a result where processes start slowly."""
        leads = []

        def start(run):
            leads.append(run.lead_s)
            raise play.StartedTooLateError("late")

        with (
            tempfile.TemporaryDirectory() as folder,
            unittest.mock.patch.object(play, "_run_once", start),
            self.assertRaises(play.StartedTooLateError),
        ):
            play.run_experiment(plan.plan_from(BASE_PLAN, "FILE"), folder, self.BUILD)
        self.assertEqual([lead_s / leads[0] for lead_s in leads], [1, 2, 4])

    def test_a_stopped_run_decides_no_rule_though_no_line_is_cut(self):
        """Guards against rules that are said to hold for requests whose end was not seen."""
        with tempfile.TemporaryDirectory() as folder:
            run = play._ExperimentRun(
                plan.plan_from(BASE_PLAN, "FILE"), folder, self.BUILD, None, 1
            )
            row = {"t_ms": 1.0, "event": "began"}
            for name in ("clients-0", "clients-1", "backends"):
                pathlib.Path(folder, name + ".jsonl").write_text(json.dumps(row) + "\n")
            run.start_unix_ms, run.stopped_by = 0, "SIGINT"
            self.assertEqual(set(run.summary()["rules"].values()), {None})


class Plays(TraceTest):
    """Whole runs of the `experiment` command."""

    def test_to_the_end_stopped_and_without_a_node(self):
        """Runs that complete, are interrupted or lose a node leave a folder and no processes.

        The interrupted and the failed run report the reason in one line.
        """
        with tempfile.TemporaryDirectory() as folder, ThreadPoolExecutor(3) as executor:
            for name, seconds in (("short", 2), ("long", 60)):
                pathlib.Path(folder, f"{name}.json").write_text(
                    json.dumps(plan_with(load=[{"rate": 40, "seconds": seconds}]))
                )
            scenarios = (("to its end", "short"), ("SIGINT", "long"), ("a node dies", "long"))
            lines = [
                line
                for run_lines in executor.map(
                    lambda scenario: self.run_scenario(folder, *scenario), scenarios
                )
                for line in run_lines
            ]
            lines += self.check_completed(folder)
        self.check("experiment_plays", lines)

    def run_scenario(self, folder, scenario, name):
        """Runs one scenario; returns lines that describe its end and its folder."""
        out = pathlib.Path(folder, scenario.replace(" ", "-"))
        child = start_command("experiment", f"{folder}/{name}.json", "--out", str(out))
        if scenario != "to its end":
            clients = out / "pierglade-0" / "clients-1.jsonl"
            deadline = time.monotonic() + 30
            while time.monotonic() < deadline and not (clients.exists() and clients.stat().st_size):
                time.sleep(0.02)
            descendants = psutil.Process(child.pid).children(recursive=True)
            if scenario == "SIGINT":
                child.send_signal(signal.SIGINT)
            else:
                next(
                    process for process in descendants if "runpy" in " ".join(process.cmdline())
                ).kill()
        _, errors = child.communicate(timeout=60)
        remaining = [] if scenario == "to its end" else psutil.wait_procs(descendants, timeout=5)[1]
        lines = [
            f"{scenario}: exit "
            f"{child.returncode if child.returncode != 3 or scenario != 'to its end' else 0}, "
            f"processes left {len(remaining)}"
        ]
        if scenario != "to its end":
            lines.append("    " + errors.strip())
        for run in sorted(os.listdir(out)):
            file_names = sorted(path.name for path in (out / run).iterdir())
            lines.append(f"    {run}: {' '.join(file_names)}")
            if "summary.json" in file_names:
                summary = json.loads((out / run / "summary.json").read_text())
                held = sorted(rule for rule, has_held in summary["rules"].items() if has_held)
                doubts = [
                    doubt for doubt in summary["not_to_be_trusted"] if doubt.startswith("stopped")
                ]
                lines.append(f"        held: {', '.join(held)}; {'; '.join(doubts) or 'whole'}")
                if scenario == "to its end":
                    lines.append(
                        f"        planned {summary['planned'] > 50}, all answered "
                        f"{sum(summary['statuses'].values()) == summary['planned']}, "
                        f"nodes {len(summary['nodes'])}"
                    )
        return lines

    def check_completed(self, folder):
        """Returns lines about the report and the comparison of the completed run."""
        out = pathlib.Path(folder, "to-its-end", "pierglade-0")
        page = pathlib.Path(report.write_report(str(out))).read_text()
        lines = [f"page: charts {page.count('data:image/png')}, rules {page.count('held')}"]
        (out / "summary.json").write_text("{")
        for first, second in ((str(out), folder), (folder, folder), (f"{folder}/none", str(out))):
            child = start_command("compare", first, second)
            _, errors = child.communicate(timeout=60)
            lines.append(f"compare: {child.returncode} {errors.strip().replace(folder, 'FOLDER')}")
        return lines
