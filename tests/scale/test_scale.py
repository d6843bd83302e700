"""Tests of scale runs: plan checks, fits, hollow nodes, figures, resource guard and the clean-up."""

import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import types
import unittest
import uuid
from concurrent.futures import ThreadPoolExecutor
from unittest import mock

import psutil
from click.testing import CliRunner

from pierglade.cli import main
from pierglade.proxy.state.events import EndpointsUpdated
from pierglade.scale import figures, guard, play
from pierglade.scale import plan as plans
from pierglade.scale.fit import fit
from pierglade.scale.hollow import WatchOnlyNode
from pierglade.scale.report import fits
from tests.cli.test_cli import start_command
from tests.support.scene import TraceTest

ROOT = pathlib.Path(__file__).parents[2]
TINY = {
    "nodes": {"count": 5, "loaded": 1, "idle": 0, "full": 1, "processes": 1},
    "backends": {"count": 10, "services": 2, "answer_ms": 1.0},
    "tenants": {"count": 5},
    "load": {"rate": 20.0},
    "scene": [{"what": "list", "seconds": 60, "multiple": 1000.0}],
}


def tiny(**changes):
    """Returns the smallest plan, with some of its tables replaced."""
    return {**TINY, **changes}


class FitTest(unittest.TestCase):
    def test_the_shape_with_the_least_error(self):
        """Guards against a wrong shape or exponent for figures with 3 % of noise."""
        xs = 850, 1700, 3400, 6800
        noise = 1.02, 0.97, 1.03, 0.98
        for shape, function, exponent in (
            ("constant", lambda x: 40.0, 0),
            ("linear", lambda x: 5 + 0.3 * x, 1),
            ("square", lambda x: 3 + 4e-5 * x * x, 2),
        ):
            with self.subTest(shape):
                curve = fit([(x, function(x) * factor) for x, factor in zip(xs, noise)])
                self.assertEqual(curve.shape, shape)
                self.assertLess(curve.error, 0.06)
                self.assertAlmostEqual(curve.exponent, exponent, delta=0.1)
                self.assertAlmostEqual(curve.at(6800) / function(6800), 1, delta=0.06)

    def test_figures_within_a_tenth_are_constant(self):
        self.assertEqual(fit([(1, 100.0), (2, 103.0), (4, 106.0)]).shape, "constant")

    def test_falling_figures_are_constant(self):
        curve = fit([(1, 13.0), (2, 12.0), (4, 11.0), (8, 8.0)])
        self.assertEqual((curve.shape, curve.base), ("constant", 11.0))

    def test_noise_is_reported_as_error(self):
        self.assertGreater(fit([(1, 10.0), (2, 70.0), (4, 5.0), (8, 60.0)]).error, 0.5)

    def test_zero_figures_and_too_few_points(self):
        curve = fit([(1, 0.0), (2, 0.0), (4, 0.0)])
        self.assertEqual((curve.shape, curve.base, curve.error), ("constant", 0, 0))
        self.assertNotEqual(curve.exponent, curve.exponent)  # nan
        with self.assertRaises(ValueError):
            fit([(1, 2.0), (2, 4.0)])

    def test_a_figure_without_a_value_at_some_point_is_skipped(self):
        runs = [
            {
                "axis": "nodes",
                "x": x,
                "measures": {"grows": 2.0 * x, "lacks": None if x == 4 else 1.0},
            }
            for x in (1, 2, 4)
        ]
        self.assertEqual([(row["what"], row["shape"]) for row in fits(runs)], [("grows", "linear")])


class PlanTest(TraceTest):
    def test_invalid_plans_are_rejected_before_anything_starts(self):
        """An invalid plan gives one line that names the key and exit status 2, before a process starts.

        The memory of the machine is replaced by 24 GB, so that the messages are the same everywhere.
        """
        memory = types.SimpleNamespace(total=24 << 30)
        cases = {
            "no such scene": tiny(scene=[{"what": "flood"}]),
            "no real node": tiny(nodes={"count": 5, "loaded": 0, "idle": 0, "full": 1}),
            "too few nodes": tiny(nodes={"count": 3, "loaded": 2, "idle": 1, "full": 4}),
            "too short": tiny(scene=[{"what": "list", "seconds": 3}]),
            "unknown key": tiny(nods={}),
            "too many processes": tiny(nodes={"count": 720, "full": 190}),
            "over the plan's own": tiny(limits={"processes": 5}),
            "720 with the whole list": tiny(
                nodes={"count": 720, "full": 150},
                backends={"count": 6800},
                tenants={"count": 47000},
            ),
            "no axes": tiny(),
            "axes that are too large": tiny(axes={"nodes": [20, 700], "tenants": [100, 900000000]}),
        }
        lines = []
        with (
            tempfile.TemporaryDirectory() as folder,
            mock.patch.object(plans.psutil, "virtual_memory", lambda: memory),
            mock.patch.object(
                play, "Children", side_effect=AssertionError("something was started")
            ),
        ):
            for name, raw in cases.items():
                path = os.path.join(folder, "plan.json")
                with open(path, "w") as file:
                    json.dump(raw, file)
                result = CliRunner().invoke(
                    main, ["scale", path, *(["--axes"] if "axes" in name else [])]
                )
                lines.append(
                    f"{name}: {result.exit_code} {result.output.strip().replace(path, 'PLAN')}"
                )
            result = CliRunner().invoke(main, ["scale", os.path.join(folder, "none.toml")])
            lines.append(
                f"no file: {result.exit_code} {result.output.strip().replace(folder, 'DIR')}"
            )
        self.check("scale_plans", lines)

    def test_committed_plans_are_within_the_limits(self):
        """Guards against plans in experiments/scale that this machine rejects."""
        for path in sorted((ROOT / "experiments" / "scale").glob("*.toml")):
            with self.subTest(path.name):
                plans.check_limits(plans.read(str(path)))

    def test_the_target_plan_has_the_target_size(self):
        plan = plans.read(str(ROOT / "experiments" / "scale" / "target.toml"))
        names = plans.backend_names(plan)
        self.assertEqual(
            (plan.nodes.count, len(set(names)), plan.tenants.count), (720, 6800, 47000)
        )
        self.assertEqual(len({name.rpartition("-")[0] for name in names}), 210)
        self.assertEqual(len({plans.backend_address(number, 1) for number in range(6800)}), 6800)
        self.assertEqual(sum(count for _, count, _ in plan.hollow_groups().values()), 720 - 3)
        self.assertEqual({scene.what for scene in plan.scene}, set(plans.SCENES))
        # A node accepts no line over 1 MB on its watch.
        self.assertLess(len(json.dumps(plans.endpoint_entries(plan, 65535))), 1 << 20)

    def test_an_axis_point_changes_one_axis_only(self):
        """The other axes are at their minimum, and the original plan is not modified."""
        plan = plans.plan_from(tiny(axes={"backends": [32, 6800]}))
        point = plans.axis_point(plan, "backends", 0.25)
        self.assertEqual(
            (point.nodes.count, point.backends.count, point.tenants.count), (20, 1700, 100)
        )
        self.assertEqual(plan.backends.count, 10)


class WatchOnlyNodeTest(unittest.TestCase):
    """What a hollow node that stores no list records of the messages that it received."""

    def setUp(self):
        self.node = WatchOnlyNode(7, "127.0.0.1:1", ["a", "b", "c"])

    def receive(self, index, is_snapshot=False, **statuses):
        """Delivers a message of the watch."""
        endpoints = [
            {"name": name, "status": status, "since_ms": 0} for name, status in statuses.items()
        ]
        self.node.handle_event(
            EndpointsUpdated({"index": index, "snapshot": is_snapshot, "endpoints": endpoints})
        )

    def test_changes_of_the_initial_list(self):
        self.receive(2, a="DRAINING")
        self.receive(4, a="SERVING", b="DELETED")
        self.assertEqual((self.node.index, self.node.duplicate_changes), (4, 0))
        self.assertEqual(self.node.count_wrong({"b": ["DELETED", 0]}), 0)
        self.assertEqual(self.node.count_wrong({}), 1)
        self.assertEqual(self.node.count_wrong({"b": ["DELETED", 0], "c": ["DRAINING", 0]}), 1)

    def test_a_change_received_twice_is_counted(self):
        self.receive(2, a="DRAINING")
        self.receive(2, a="DRAINING")
        self.assertEqual(self.node.duplicate_changes, 1)

    def test_the_whole_list_replaces_earlier_changes(self):
        """Guards against changes that survive a snapshot; a backend missing from it counts as deleted."""
        self.receive(2, a="DRAINING")
        self.receive(9, is_snapshot=True, b="SERVING", c="DRAINING")
        self.assertEqual(self.node.count_wrong({"a": ["DELETED", 0], "c": ["DRAINING", 0]}), 0)

    def test_when_a_version_was_in_force(self):
        """Guards against delays of changes that a node received late, never or while it was down."""
        at = time.monotonic()
        self.receive(3, a="DRAINING")
        # A later version includes the change.
        self.assertLess(self.node.version_delay(2, at), 1.0)
        self.assertIsNone(self.node.version_delay(4, at))
        self.node.stop()
        now = time.monotonic()
        self.assertIs(self.node.version_delay(4, now), False)  # a node that is down is left out


class FiguresTest(unittest.TestCase):
    def test_delay_percentiles_and_nodes_that_never_received_the_change(self):
        worst = figures.worst_delay_percentiles([[5.0, 1.0, 2.0, -1], [9.0, 3.0, 4.0, 8.0]])
        self.assertEqual(
            worst,
            {
                "changes": 2,
                "never": 1,
                "nodes": 4,
                "first_ms": 3.0,
                "half_ms": 4.0,
                "p99_ms": 9.0,
                "last_ms": 9.0,
            },
        )
        self.assertEqual(figures.worst_delay_percentiles([[-1, -1]]), {"changes": 1, "never": 2})

    def test_a_truncated_log_line_counts_as_the_version(self):
        """A log line that was cut for its length has no version; its change must not count as missing."""
        lines = [{"at": 1.0, "index": 4}, {"at": 2.0, "cut": 5000}, {"at": 3.0, "index": 9}]
        delays = [
            figures.delay_ms(at, lines, index)
            for at, index in ((0.5, 4), (1.5, 9), (2.5, 9), (3.5, 9))
        ]
        self.assertEqual(delays, [500.0, 500.0, 500.0, -1])

    def test_wrong_states_in_the_report_of_a_real_node(self):
        """A node does not report a draining backend to which it has sent no request.

        That must not count as wrong, while an unreported backend that serves must.
        """
        names, changed = ["a", "b", "c"], {"b": ["DRAINING", 0], "c": ["SERVING", 5]}
        for states, wrong_count in (
            ("ready draining ready", 0),
            ("ready - ready", 0),
            ("ready draining -", 1),
            ("ready ready removed", 2),
        ):
            reported = {name: state for name, state in zip(names, states.split()) if state != "-"}
            self.assertEqual(
                figures.count_wrong_states(reported, names, changed), wrong_count, states
            )

    def test_latency_counts_from_the_planned_time(self):
        """Guards against a latency that omits how late the request was sent.

        A response that nobody waits for any more must not replace the first one.
        """
        rows = [
            {"event": "sent", "id": "x", "t_ms": 100.0, "late_ms": 4.0},
            {"event": "answer", "id": "x", "t_ms": 120.0, "status": 200},
            {"event": "answer", "id": "x", "t_ms": 900.0, "status": 200, "unasked": True},
        ]
        responses = figures.Responses(rows)
        self.assertEqual(responses.latencies_between(90.0, 100.0).tolist(), [24.0])
        self.assertEqual(responses.latencies_between(100.0, 200.0).tolist(), [])


class GuardTest(unittest.TestCase):
    def test_memory_and_process_limits(self):
        used_mb = {1: 30.0, 2: 40.0, 3: 50.0}
        processes = [("a", 1), ("b", 2)]
        resource_guard = guard.ResourceGuard(100.0, 2, lambda: processes, used_mb.__getitem__)
        resource_guard.check()
        self.assertEqual(resource_guard.take_peaks(), {"a": 30.0, "b": 40.0})
        processes.append(("c", 3))
        with self.assertRaisesRegex(
            guard.ResourceLimitError,
            "the run used 120 MB, at most 100 MB are allowed; it was stopped",
        ):
            resource_guard.check()
        used_mb[3] = 1.0
        with self.assertRaisesRegex(
            guard.ResourceLimitError, "the run had 3 processes, at most 2 are allowed"
        ):
            resource_guard.check()

    def test_processes_of_one_name_count_separately(self):
        """Guards against a process limit that counts names, as a restarted process keeps its name."""
        processes = [("node 0", 1), ("node 0", 2), ("node 0", 3)]
        resource_guard = guard.ResourceGuard(100.0, 2, lambda: processes, lambda pid: 10.0)
        with self.assertRaises(guard.ResourceLimitError):
            resource_guard.check()

    def test_cpu_time_and_wait_of_a_process(self):
        """Measures a child process, as threads of other tests may end meanwhile in this one.

        The CPU time of a thread that has ended is no longer counted.
        """
        script = (
            "import os, time; from pierglade.scale import guard; before = guard.cpu_s(os.getpid())\n"
            "until = time.process_time() + 0.05\n"
            "while time.process_time() < until: pass\n"
            "print(*(now - then for now, then in zip(guard.cpu_s(os.getpid()), before)))"
        )
        child = subprocess.run(
            [sys.executable, "-c", script], capture_output=True, text=True, cwd=ROOT, check=True
        )
        used, waited = map(float, child.stdout.split())
        self.assertGreater(used, 0.02)
        self.assertGreaterEqual(waited, 0.0)
        self.assertEqual(figures._waited_ratio(1.0, 3.0), 0.25)

    def test_a_thread_that_ends_while_it_is_read(self):
        """Guards against a failed run when a listed thread ends before its times are read."""
        thread_ids = os.listdir(f"/proc/{os.getpid()}/task")
        with mock.patch.object(guard.os, "listdir", lambda path: [*thread_ids, "999999999"]):
            used, _ = guard.cpu_s(os.getpid())
        self.assertGreater(used, 0)


class CommandTest(TraceTest):
    """Runs the command as a process.

    However it ends, it prints one line, exits with the right status, and leaves no process and no file.
    """

    def count_leftover(self, mark):
        """Returns how many processes with that mark in their environment still run after 10 s."""
        deadline = time.monotonic() + 10
        while found := [process for process in psutil.process_iter() if _has_mark(process, mark)]:
            if time.monotonic() > deadline:
                return len(found)
            time.sleep(0.1)
        return 0

    def run_until_end(self, case):
        """Runs a tiny plan until it ends in the way of the case; returns the lines for the trace."""
        mark = uuid.uuid4().hex
        with tempfile.TemporaryDirectory() as folder, socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            port, raw = listener.getsockname()[1], tiny()
            if case == "discovery's port is in use":
                raw = tiny(discovery={"port": port})
            elif case == "the backends' port is in use":
                raw = tiny(backends={**TINY["backends"], "port": port})
            elif case == "it takes more than it may":
                # Fits the estimate, which `underestimating_path` makes too low.
                raw = tiny(limits={"memory_mb": 90.0})
            path = os.path.join(folder, "plan.json")
            with open(path, "w") as file:
                json.dump(raw, file)
            os.mkdir(os.path.join(folder, "tmp"))
            env = {**os.environ, "PIERGLADE_TEST": mark, "TMPDIR": os.path.join(folder, "tmp")}
            if case == "it takes more than it may":
                env["PYTHONPATH"] = self.underestimating_path(folder)
            run = start_command("scale", path, env=env, cwd=ROOT)
            try:
                if case == "a hollow process dies":
                    self.hollow_process_of(run).kill()
                elif case in ("SIGTERM", "SIGKILL"):
                    self.sender_of(run)
                    run.send_signal(getattr(signal, case))
                _, errors = run.communicate(timeout=60)
            finally:
                run.kill()
            process_count = self.count_leftover(mark)
            file_count = len(os.listdir(os.path.join(folder, "tmp"))) if case != "SIGKILL" else "-"
        message = errors.strip().replace(str(port), "PORT")
        return [
            f"{case}: exit {run.returncode}, left {process_count}, files left {file_count}",
            *(f"    {_without_memory_figure(line)}" for line in message.splitlines()),
        ]

    def underestimating_path(self, folder):
        """Returns a PYTHONPATH with a sitecustomize that makes the memory estimate too low."""
        with open(os.path.join(folder, "sitecustomize.py"), "w") as file:
            file.write("import pierglade.scale.plan as plan\nplan.BASE_MB = 1.0\n")
        return f"{folder}:{ROOT}"

    def hollow_process_of(self, run):
        """Returns the watch-only hollow process, once its watches are open."""
        return self.child_of(run, "hollow-0.spec", 3)

    def sender_of(self, run):
        """Returns the sender of the real node, once it sends; all other processes run by then."""
        return self.child_of(run, "sender-n0.spec", 1)

    def child_of(self, run, spec_name, connections):
        """Returns the child with that SPEC file, once it has so many connections."""
        deadline = time.monotonic() + 30
        while time.monotonic() < deadline:
            for child in psutil.Process(run.pid).children():
                try:
                    if (
                        spec_name in " ".join(child.cmdline())
                        and len(child.net_connections()) >= connections
                    ):
                        return child
                except psutil.NoSuchProcess:
                    continue
            time.sleep(0.02)
        self.fail(f"no process with {spec_name} had {connections} connections within 30 s")

    def test_each_way_of_ending(self):
        """Guards against processes and files that outlive a run, however it ends."""
        cases = (
            "discovery's port is in use",
            "the backends' port is in use",
            "a hollow process dies",
            "it takes more than it may",
            "SIGTERM",
            "SIGKILL",
        )
        with ThreadPoolExecutor(len(cases)) as executor:
            self.check(
                "scale_ends",
                [line for lines in executor.map(self.run_until_end, cases) for line in lines],
            )


def _has_mark(process, mark):
    try:
        return (
            process.environ().get("PIERGLADE_TEST") == mark
            and process.status() != psutil.STATUS_ZOMBIE
        )
    except psutil.Error:
        return False


def _without_memory_figure(line):
    """Returns the line with N for the memory used, which differs from run to run."""
    words = line.split()
    return " ".join(
        "N" if word.replace(",", "").isdigit() and words[index + 1 : index + 2] == ["MB,"] else word
        for index, word in enumerate(words)
    )
