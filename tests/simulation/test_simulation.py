"""Tests of the simulation: random work, backend model, plans, metrics and rule violations."""

import pathlib
import tempfile

import numpy as np
from click.testing import CliRunner

from pierglade.model.decision import RejectRequest
from pierglade.model.outcome import Outcome
from pierglade.simulation import plan as plans
from pierglade.simulation import policies, simulation
from pierglade.simulation.__main__ import main
from pierglade.simulation.backend import Job, SimulatedBackend
from pierglade.simulation.clock import MS, SECOND, Clock
from pierglade.simulation.distributions import WorkDistribution
from pierglade.simulation.metrics import Metrics
from tests.support.scene import TraceTest


def make_plan(**overrides):
    raw = dict(
        fleet=dict(kind=[dict(count=2, cores=2)]),
        offering=[dict(name="look", work_ms=20)],
        load=dict(rate=100),
        seconds=5,
        left_out_s=1,
    )
    return plans.plan_from({**raw, **overrides})


class Backends(TraceTest):
    """The backend model, with one line per ended job."""

    def setUp(self):
        self.clock, self.lines = Clock(), []

    def make_backend(self, overdrive=None, pause=None, drops_waiting=True, **kind):
        fleet = plans.Fleet(kind=[], overdrive=overdrive, pause=pause, drops_waiting=drops_waiting)
        return SimulatedBackend(self.clock, "b", plans.Kind(**kind), fleet)

    def offer_job(self, backend, name, work_ms, wait_ms=0):
        job = Job(work_ms * MS, wait_ms * MS, lambda outcome: self.record(f"{name} {outcome}"))
        backend.offer(job)
        return job

    def record(self, text):
        self.lines.append(f"{self.clock.now / MS:9.1f}  {text}")

    def test_full_queue_rejects_jobs(self):
        """Two cores and two queue places: the fifth job is rejected, and I/O wait holds no core."""
        backend = self.make_backend(cores=2, queue=2)
        for number in range(5):
            self.offer_job(backend, f"job {number}", 100, wait_ms=50 * (number == 0))
        self.clock.run(1 * SECOND)
        self.check("lab_queue", self.lines)

    def test_slowdown_applies_to_running_job(self):
        """A job that runs during a change of speed keeps its progress and finishes later."""
        backend = self.make_backend(cores=1, speed=2.0)
        self.offer_job(backend, "job", 100)
        self.clock.run(20 * MS)

        def slow_down():
            backend.slowdown = 2.0

        backend.change(slow_down)
        self.record("40 of 100 ms done, speed halved")
        self.clock.run(1 * SECOND)
        self.check("lab_pace", self.lines)

    def test_dropped_job_runs_only_if_started(self):
        """Dropping removes a waiting job; a running job completes."""
        backend = self.make_backend(cores=1)
        jobs = [self.offer_job(backend, f"job {number}", 100) for number in range(3)]
        for job in jobs[:2]:
            backend.drop(job)
        self.clock.run(1 * SECOND)
        self.check("lab_called_off", self.lines)

    def test_overload_lasts_until_idle(self):
        """Arrivals over capacity overload the backend once; it recovers after the last job."""
        backend = self.make_backend(
            plans.Overdrive(at=2, over_s=1, slower=3, below=0.3, rest_s=1), cores=1
        )
        for number in range(20):
            self.clock.at(number * 100 * MS, self.offer_job, backend, f"job {number}", 250)
        for tenth in range(1, 300):
            self.clock.run(tenth * 1000.0)
            is_overloaded = backend.overloaded_since is not None
            if is_overloaded != (
                self.lines and "overloaded" in self.lines[-1]
            ) and "job" not in str(self.lines[-1:]):
                self.record("overloaded" if is_overloaded else "normal")
            self.lines = [line for line in self.lines if "job" not in line]
        self.record(f"overloads {backend.overloads}")
        self.check("lab_overdrive", self.lines)

    def test_collapse_in_slow_start(self):
        """A backend in slow start collapses under a load beyond its reduced capacity only."""
        for interval_ms in (40, 4):
            self.setUp()
            backend = self.make_backend(
                cores=1, cold_from=0.25, cold_for_s=4, tip_multiple=2, tip_s=1
            )
            backend.restart()
            for number in range(200):
                self.clock.at(number * interval_ms * MS, self.offer_job, backend, "job", 10)
            self.clock.run(5 * SECOND)
            self.lines = [
                f"a job of 10 ms every {interval_ms} ms: "
                f"collapses {backend.collapses}, executed {backend.executed}"
            ]
            with self.subTest(interval_ms=interval_ms):
                self.check(f"lab_cold_{interval_ms}", self.lines)

    def test_pause(self):
        """A pause of the backend delays the running job and the jobs queued behind it."""
        backend = self.make_backend(pause=plans.Pause(every_s=1, for_ms=300), cores=1)
        for number in range(6):
            self.clock.at(number * 250 * MS, self.offer_job, backend, f"job {number}", 100)
        self.clock.run(3 * SECOND)
        self.check("lab_pause", self.lines)


class Distributions(TraceTest):
    """Random work."""

    def test_mean_and_coefficient_of_variation(self):
        """Each shape has the mean and, as far as its tail allows, the variation asked for."""
        lines = []
        for shape, cv in (
            ("fixed", 1),
            ("exp", 1),
            ("lognormal", 0.5),
            ("lognormal", 1.5),
            ("pareto", 2),
        ):
            work = WorkDistribution(np.random.default_rng(1), shape, 50.0, cv)
            samples = np.array([work.next() for _ in range(200000)])
            lines.append(
                f"{shape} {cv}: mean {samples.mean():.0f}, cv {samples.std() / samples.mean():.1f}"
            )
        self.check("lab_draws", lines)


class Plans(TraceTest):
    """Plans on the command line."""

    def test_invalid_plans_are_rejected(self):
        """An invalid or missing plan ends the command with status 2 and one line on the error."""
        valid = '[[fleet.kind]]\n[[offering]]\nname = "look"\nwork_ms = 20\n[load]\nrate = 10\n'
        cases = (
            "",
            valid + "rat = 1\n",
            valid.replace("20", "-1"),
            valid.replace("20", '"x"'),
            valid + "kept = 3\n",
            "seconds = 3\n" + valid,
            valid + "[[change]]\nat_s = 1\nwhat = 'boom'\n",
            valid + "[[change]]\nat_s = 99\nwhat = 'gone'\n",
            'vary."offering.3.work_ms" = [1]\n' + valid,
            "vary.seed = 3\n" + valid,
            valid.replace("rate = 10", "rate_share = 0.5").replace(
                "[[fleet.kind]]", "[[fleet.kind]]\ncores = 0"
            ),
            "[fleet\n",
            valid + valid.split("\n[load")[0],
        )
        lines = []
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory, "plan.toml")
            for text in cases:
                path.write_text(text)
                result = CliRunner().invoke(main, [str(path)])
                lines.append(
                    f"{result.exit_code} {result.output.strip().replace(str(path), 'plan.toml')}"
                )
            result = CliRunner().invoke(main, [str(path) + "x"])
            lines.append(
                f"{result.exit_code} {result.output.strip().replace(str(path), 'plan.toml')}"
            )
        self.check("lab_plans", lines)

    def test_varied_plan_runs_under_every_policy(self):
        """A plan with two variants gives one table row and one summary per variant and policy."""
        with tempfile.TemporaryDirectory() as directory:
            path, summaries = (
                pathlib.Path(directory, "plan.toml"),
                pathlib.Path(directory, "out.json"),
            )
            path.write_text(
                'seconds = 2\nleft_out_s = 1\nvary."nodes.count" = [1, 2]\n[[fleet.kind]]\n'
                '[[offering]]\nname = "look"\nwork_ms = 20\n[load]\nrate = 50\n'
            )
            result = CliRunner().invoke(main, [str(path), "--all", "--json", str(summaries)])
            row_labels = [line.split()[:2] for line in result.output.splitlines()]
            self.check(
                "lab_command",
                [
                    f"exit {result.exit_code}, summaries {summaries.read_text().count('share')}",
                    *map(" ".join, row_labels),
                ],
            )


class RecoveryTimes(TraceTest):
    """Metrics after a change of the plan."""

    def test_recovery_times_after_change(self):
        """The change is at 5 s; goodput and load are lists of (seconds, value in each 100 ms)."""
        lines = []
        for name, goodput, load in (
            ("no effect", [(30, 10)], [(30, 1)]),
            ("goodput halved until the end", [(5, 10), (25, 5)], [(30, 1)]),
            ("goodput about a third for four seconds", [(5, 10), (4, 3), (21, 10)], [(30, 1)]),
            ("goodput halved until shortly before the end", [(5, 10), (20, 5), (5, 10)], [(30, 1)]),
            ("triple load for two seconds", [(30, 10)], [(5, 1), (2, 3), (23, 1)]),
            ("nearly double load for one second", [(30, 10)], [(5, 1), (1, 1.9), (24, 1)]),
            ("double load until the end", [(30, 10)], [(5, 1), (25, 2)]),
        ):
            metrics = Metrics(
                make_plan(seconds=30, change=[dict(at_s=5, what="cores", times=0.5)]), Clock()
            )
            metrics.bins["in_time"][:300] = np.concatenate(
                [np.full(seconds * 10, value) for seconds, value in goodput]
            )
            metrics.relative_load = [value for seconds, value in load for _ in range(seconds * 10)]
            lines.append(f"{name}: {metrics.recovery_times()}")
        self.check("lab_after_change", lines)


class RuleViolations(TraceTest):
    """The simulation must detect rule violations; otherwise a run without any proves nothing."""

    def find_violations(self, plant_violation, **overrides):
        run = simulation.Simulation(make_plan(**overrides), "none")
        plant_violation(run)
        run.clients.start()
        run.clock.run(3 * SECOND)
        return sorted(run.rule_violations)

    def test_planted_violations_are_detected(self):
        """Each case makes a baseline violate one or two rules, which the run must report."""

        def answer_twice(run):
            def attempt_ended(attempt, outcome, policy=run.policies[0]):
                policies.BaselinePolicy.attempt_ended(policy, attempt, outcome)
                attempt.request.complete(Outcome.SUCCESS)

            run.policies[0].attempt_ended = attempt_ended

        def execute_twice(run):
            policy, send = run.policies[0], run.send

            def attempt_ended(attempt, outcome):
                if attempt.request.executions < 2:
                    send(
                        policy,
                        policies.BaselineAttempt(attempt.request, "b0"),
                        attempt.request,
                        "b0",
                        attempt.request.deadline,
                    )

            policy.attempt_ended = attempt_ended

        def send_after_answer(run):
            policy = run.policies[0]

            def attempt_ended(attempt, outcome):
                if not attempt.request.has_answer:
                    policies.BaselinePolicy.attempt_ended(policy, attempt, outcome)
                if attempt.request.executions < 2:
                    run.send(
                        policy,
                        policies.BaselineAttempt(attempt.request, "b0"),
                        attempt.request,
                        "b0",
                        attempt.request.deadline,
                    )

            policy.attempt_ended = attempt_ended

        def answer_late(run):
            policy = run.policies[0]
            policy.attempt_ended = lambda attempt, outcome: run.clock.at(
                attempt.request.deadline + 1, attempt.request.complete, RejectRequest
            )

        request_classes = [dict(name="pay", work_ms=20, repeats="one-shot")]
        cases = dict(
            none=lambda run: None,
            answer_twice=answer_twice,
            execute_twice=execute_twice,
            send_after_answer=send_after_answer,
            answer_late=answer_late,
        )
        lines = []
        for name, plant_violation in cases.items():
            request_class = dict(request_classes[0], expected_ms=500, hard_limit_ms=1000)
            lines.append(
                f"{name}: "
                f"{'; '.join(self.find_violations(plant_violation, offering=[request_class], load=dict(rate=10)))}"
            )
        self.check("lab_rules", lines)

    def test_same_seed_gives_same_summary(self):
        """Runs are reproducible: equal seeds give equal summaries, another seed another one."""
        first, second = (simulation.run_plan(make_plan(seconds=3)) for _ in range(2))
        self.assertEqual(first, second)
        self.assertNotEqual(first, simulation.run_plan(make_plan(seconds=3, seed=2)))
