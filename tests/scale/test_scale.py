"""Scale runs: what plans refuse, how figures grow, what hollow nodes account, and that nothing is left."""

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
from pierglade.scale.hollow import Watching
from pierglade.scale.report import fits
from tests.cli.test_cli import started
from tests.support.scene import TraceTest

ROOT = pathlib.Path(__file__).parents[2]
TINY = {
    "nodes": {"count": 5, "loaded": 1, "idle": 0, "full": 1, "processes": 1},
    "backends": {"count": 10, "services": 2, "answer_ms": 1.0},
    "tenants": {"count": 5},
    "load": {"rate": 20.0},
    "scene": [{"what": "list", "seconds": 60, "multiple": 1000.0}],
}


def tiny(**changed):
    return {**TINY, **changed}


class Fits(unittest.TestCase):
    def test_the_shape_with_the_least_error(self):
        xs = 850, 1700, 3400, 6800
        wobble = 1.02, 0.97, 1.03, 0.98
        for shape, grows, exponent in (
            ("constant", lambda x: 40.0, 0),
            ("linear", lambda x: 5 + 0.3 * x, 1),
            ("square", lambda x: 3 + 4e-5 * x * x, 2),
        ):
            with self.subTest(shape):
                one = fit([(x, grows(x) * part) for x, part in zip(xs, wobble)])
                self.assertEqual(one.shape, shape)
                self.assertLess(one.error, 0.06)
                self.assertAlmostEqual(one.exponent, exponent, delta=0.1)
                self.assertAlmostEqual(one.at(6800) / grows(6800), 1, delta=0.06)

    def test_what_lies_within_a_tenth_does_not_grow(self):
        self.assertEqual(fit([(1, 100.0), (2, 103.0), (4, 106.0)]).shape, "constant")

    def test_what_falls_is_constant(self):
        one = fit([(1, 13.0), (2, 12.0), (4, 11.0), (8, 8.0)])
        self.assertEqual((one.shape, one.base), ("constant", 11.0))

    def test_noise_is_told_as_error(self):
        self.assertGreater(fit([(1, 10.0), (2, 70.0), (4, 5.0), (8, 60.0)]).error, 0.5)

    def test_none_over_0_and_too_few(self):
        one = fit([(1, 0.0), (2, 0.0), (4, 0.0)])
        self.assertEqual((one.shape, one.base, one.error), ("constant", 0, 0))
        self.assertNotEqual(one.exponent, one.exponent)  # nan
        with self.assertRaises(ValueError):
            fit([(1, 2.0), (2, 4.0)])

    def test_a_figure_that_a_point_lacks_is_left_out(self):
        runs = [
            {
                "axis": "nodes",
                "x": x,
                "measures": {"grows": 2.0 * x, "lacks": None if x == 4 else 1.0},
            }
            for x in (1, 2, 4)
        ]
        self.assertEqual([(one["what"], one["shape"]) for one in fits(runs)], [("grows", "linear")])


class Plans(TraceTest):
    def test_what_is_refused_before_anything_starts(self):
        """One line that names the place, exit 2; a machine of 24 GB is taken for this one."""
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
                told = CliRunner().invoke(
                    main, ["scale", path, *(["--axes"] if "axes" in name else [])]
                )
                lines.append(
                    f"{name}: {told.exit_code} {told.output.strip().replace(path, 'PLAN')}"
                )
            told = CliRunner().invoke(main, ["scale", os.path.join(folder, "none.toml")])
            lines.append(f"no file: {told.exit_code} {told.output.strip().replace(folder, 'DIR')}")
        self.check("scale_plans", lines)

    def test_plans_that_lie_here_can_be_played(self):
        for path in sorted((ROOT / "experiments" / "scale").glob("*.toml")):
            with self.subTest(path.name):
                plans.refuse(plans.read(str(path)))

    def test_the_target_is_the_letter_s(self):
        plan = plans.read(str(ROOT / "experiments" / "scale" / "target.toml"))
        names = plans.names(plan)
        self.assertEqual(
            (plan.nodes.count, len(set(names)), plan.tenants.count), (720, 6800, 47000)
        )
        self.assertEqual(len({name.rpartition("-")[0] for name in names}), 210)
        self.assertEqual(len({plans.address(number, 1) for number in range(6800)}), 6800)
        self.assertEqual(sum(count for _, count, _ in plan.groups().values()), 720 - 3)
        self.assertEqual({scene.what for scene in plan.scene}, set(plans.SCENES))
        # A watch takes no line over 1 MB.
        self.assertLess(len(json.dumps(plans.entries(plan, 65535))), 1 << 20)

    def test_an_axis_moves_alone(self):
        plan = plans.made(tiny(axes={"backends": [32, 6800]}))
        point = plans.at_axis(plan, "backends", 0.25)
        self.assertEqual(
            (point.nodes.count, point.backends.count, point.tenants.count), (20, 1700, 100)
        )
        self.assertEqual(plan.backends.count, 10)


class Accounts(unittest.TestCase):
    """What a hollow node that holds no list says of what it was told."""

    def setUp(self):
        self.node = Watching(7, "127.0.0.1:1", ["a", "b", "c"])

    def told(self, index, whole=False, **entries):
        told = [{"name": name, "status": status, "since_ms": 0} for name, status in entries.items()]
        self.node.tell(EndpointsUpdated({"index": index, "snapshot": whole, "endpoints": told}))

    def test_changes_on_top_of_the_start(self):
        self.told(2, a="DRAINING")
        self.told(4, a="SERVING", b="DELETED")
        self.assertEqual((self.node.index, self.node.twice), (4, 0))
        self.assertEqual(self.node.wrong({"b": ["DELETED", 0]}), 0)
        self.assertEqual(self.node.wrong({}), 1)
        self.assertEqual(self.node.wrong({"b": ["DELETED", 0], "c": ["DRAINING", 0]}), 1)

    def test_a_change_told_twice_counts(self):
        self.told(2, a="DRAINING")
        self.told(2, a="DRAINING")
        self.assertEqual(self.node.twice, 1)

    def test_the_whole_list_takes_the_place_of_all(self):
        self.told(2, a="DRAINING")
        self.told(9, whole=True, b="SERVING", c="DRAINING")
        self.assertEqual(self.node.wrong({"a": ["DELETED", 0], "c": ["DRAINING", 0]}), 0)

    def test_when_a_version_was_in_force(self):
        at = time.monotonic()
        self.told(3, a="DRAINING")
        self.assertLess(
            self.node.delay(2, at), 1.0
        )  # what came with a later version counts as well
        self.assertIsNone(self.node.delay(4, at))
        self.node.down()
        now = time.monotonic()
        self.assertIs(self.node.delay(4, now), False)  # nobody waits for a node that is down


class Figures(unittest.TestCase):
    def test_first_half_and_last_and_who_never_had_it(self):
        told = figures.in_force([[5.0, 1.0, 2.0, -1], [9.0, 3.0, 4.0, 8.0]])
        self.assertEqual(
            told,
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
        self.assertEqual(figures.in_force([[-1, -1]]), {"changes": 1, "never": 2})

    def test_a_cut_log_line_is_taken_for_the_version(self):
        lines = [{"at": 1.0, "index": 4}, {"at": 2.0, "cut": 5000}, {"at": 3.0, "index": 9}]
        told = [
            figures.since(at, lines, index)
            for at, index in ((0.5, 4), (1.5, 9), (2.5, 9), (3.5, 9))
        ]
        self.assertEqual(told, [500.0, 500.0, 500.0, -1])

    def test_what_a_real_node_tells_of_its_list(self):
        """It leaves out what its settings of now never sent to: a draining one, not one that serves."""
        names, changed = ["a", "b", "c"], {"b": ["DRAINING", 0], "c": ["SERVING", 5]}
        for states, wrong in (
            ("ready draining ready", 0),
            ("ready - ready", 0),
            ("ready draining -", 1),
            ("ready ready removed", 2),
        ):
            rows = {name: state for name, state in zip(names, states.split()) if state != "-"}
            self.assertEqual(figures.wrong_rows(rows, names, changed), wrong, states)

    def test_answers_count_from_the_planned_moment(self):
        rows = [
            {"event": "sent", "id": "x", "t_ms": 100.0, "late_ms": 4.0},
            {"event": "answer", "id": "x", "t_ms": 120.0, "status": 200},
            {"event": "answer", "id": "x", "t_ms": 900.0, "status": 200, "unasked": True},
        ]
        answers = figures.Answers(rows)
        self.assertEqual(answers.within(90.0, 100.0).tolist(), [24.0])
        self.assertEqual(answers.within(100.0, 200.0).tolist(), [])


class Guards(unittest.TestCase):
    def test_over_by_memory_and_by_processes(self):
        taken = {1: 30.0, 2: 40.0, 3: 50.0}
        some = [("a", 1), ("b", 2)]
        one = guard.Guard(100.0, 2, lambda: some, taken.__getitem__)
        one.look()
        self.assertEqual(one.take(), {"a": 30.0, "b": 40.0})
        some.append(("c", 3))
        with self.assertRaisesRegex(
            guard.Over, "the run took 120 MB, 100 are allowed; it was ended"
        ):
            one.look()
        taken[3] = 1.0
        with self.assertRaisesRegex(guard.Over, "the run had 3 processes, 2 are allowed"):
            one.look()

    def test_processes_of_one_name_count_each(self):
        some = [("node 0", 1), ("node 0", 2), ("node 0", 3)]
        one = guard.Guard(100.0, 2, lambda: some, lambda pid: 10.0)
        with self.assertRaises(guard.Over):
            one.look()

    def test_what_a_process_used_and_waited_for(self):
        """In a process of its own: threads of other tests end meanwhile, and what they used goes with them."""
        script = (
            "import os, time; from pierglade.scale import guard; before = guard.cpu_s(os.getpid())\n"
            "until = time.process_time() + 0.05\n"
            "while time.process_time() < until: pass\n"
            "print(*(now - then for now, then in zip(guard.cpu_s(os.getpid()), before)))"
        )
        told = subprocess.run(
            [sys.executable, "-c", script], capture_output=True, text=True, cwd=ROOT, check=True
        )
        used, waited = map(float, told.stdout.split())
        self.assertGreater(used, 0.02)
        self.assertGreaterEqual(waited, 0.0)
        self.assertEqual(figures._share(1.0, 3.0), 0.25)

    def test_a_thread_that_ends_while_it_is_looked_at(self):
        own = os.listdir(f"/proc/{os.getpid()}/task")
        with mock.patch.object(guard.os, "listdir", lambda path: [*own, "999999999"]):
            used, _ = guard.cpu_s(os.getpid())
        self.assertGreater(used, 0)


class Commands(TraceTest):
    """The command as a process: one line, the right code, nothing left."""

    def left(self, mark):
        """Processes with that mark in their environment, after they had a moment."""
        until = time.monotonic() + 10
        while found := [process for process in psutil.process_iter() if _has(process, mark)]:
            if time.monotonic() > until:
                return len(found)
            time.sleep(0.1)
        return 0

    def played(self, how):
        mark = uuid.uuid4().hex
        with tempfile.TemporaryDirectory() as folder, socket.socket() as taken:
            taken.bind(("127.0.0.1", 0))
            taken.listen()
            port, raw = taken.getsockname()[1], tiny()
            if how == "discovery's port is in use":
                raw = tiny(discovery={"port": port})
            elif how == "the backends' port is in use":
                raw = tiny(backends={**TINY["backends"], "port": port})
            elif how == "it takes more than it may":
                # By the estimate it fits: a tenth of what a process takes is told for one.
                raw = tiny(limits={"memory_mb": 90.0})
            path = os.path.join(folder, "plan.json")
            with open(path, "w") as file:
                json.dump(raw, file)
            os.mkdir(os.path.join(folder, "tmp"))
            env = {**os.environ, "PIERGLADE_TEST": mark, "TMPDIR": os.path.join(folder, "tmp")}
            if how == "it takes more than it may":
                env["PYTHONPATH"] = self.lighter(folder)
            run = started("scale", path, env=env, cwd=ROOT)
            try:
                if how == "a hollow process dies":
                    self.hollow_of(run).kill()
                elif how in ("SIGTERM", "SIGKILL"):
                    self.sender_of(run)
                    run.send_signal(getattr(signal, how))
                _, errors = run.communicate(timeout=60)
            finally:
                run.kill()
            left = self.left(mark)
            files = len(os.listdir(os.path.join(folder, "tmp"))) if how != "SIGKILL" else "-"
        said = errors.strip().replace(str(port), "PORT")
        return [
            f"{how}: exit {run.returncode}, left {left}, files left {files}",
            *(f"    {_plain(line)}" for line in said.splitlines()),
        ]

    def lighter(self, folder):
        """A folder whose sitecustomize makes the estimate too low."""
        with open(os.path.join(folder, "sitecustomize.py"), "w") as file:
            file.write("import pierglade.scale.plan as p\np.BASE_MB = 1.0\n")
        return f"{folder}:{ROOT}"

    def hollow_of(self, run):
        """The hollow process that holds watches, once it holds them."""
        return self.child_of(run, "hollow-0.spec", 3)

    def sender_of(self, run):
        """The sender before the node, once it sends: all others are up by then."""
        return self.child_of(run, "sender-n0.spec", 1)

    def child_of(self, run, word, connections):
        until = time.monotonic() + 30
        while time.monotonic() < until:
            for child in psutil.Process(run.pid).children():
                try:
                    if (
                        word in " ".join(child.cmdline())
                        and len(child.net_connections()) >= connections
                    ):
                        return child
                except psutil.NoSuchProcess:
                    continue
            time.sleep(0.02)
        self.fail(f"no {word} came up")

    def test_each_way_that_it_ends(self):
        hows = (
            "discovery's port is in use",
            "the backends' port is in use",
            "a hollow process dies",
            "it takes more than it may",
            "SIGTERM",
            "SIGKILL",
        )
        with ThreadPoolExecutor(len(hows)) as beside:
            self.check(
                "scale_ends", [line for lines in beside.map(self.played, hows) for line in lines]
            )


def _has(process, mark):
    try:
        return (
            process.environ().get("PIERGLADE_TEST") == mark
            and process.status() != psutil.STATUS_ZOMBIE
        )
    except psutil.Error:
        return False


def _plain(line):
    """Without the figure of what was taken, which differs from run to run."""
    words = line.split()
    return " ".join(
        "N" if word.replace(",", "").isdigit() and words[k + 1 : k + 2] == ["MB,"] else word
        for k, word in enumerate(words)
    )
