"""The model in virtual time: what it draws, how a backend behaves, what it calls a broken rule."""

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


def plan(**changed):
    raw = dict(
        fleet=dict(kind=[dict(count=2, cores=2)]),
        offering=[dict(name="look", work_ms=20)],
        load=dict(rate=100),
        seconds=5,
        left_out_s=1,
    )
    return plans.plan_from({**raw, **changed})


class Backends(TraceTest):
    def setUp(self):
        self.clock, self.lines = Clock(), []

    def backend(self, overdrive=None, pause=None, drops=True, **kind):
        fleet = plans.Fleet(kind=[], overdrive=overdrive, pause=pause, drops_waiting=drops)
        return SimulatedBackend(self.clock, "b", plans.Kind(**kind), fleet)

    def offer(self, backend, name, ms, wait=0):
        job = Job(ms * MS, wait * MS, lambda outcome: self.say(f"{name} {outcome}"))
        backend.offer(job)
        return job

    def say(self, text):
        self.lines.append(f"{self.clock.now / MS:9.1f}  {text}")

    def test_cores_queue_and_bound(self):
        backend = self.backend(cores=2, queue=2)
        for n in range(5):
            self.offer(backend, f"job {n}", 100, wait=50 * (n == 0))
        self.clock.run(1 * SECOND)
        self.check("lab_queue", self.lines)

    def test_pace_changes_under_way(self):
        backend = self.backend(cores=1, speed=2.0)
        self.offer(backend, "job", 100)
        self.clock.run(20 * MS)

        def slower():
            backend.slowdown = 2.0

        backend.change(slower)
        self.say("40 of 100 ms done, twice slower")
        self.clock.run(1 * SECOND)
        self.check("lab_pace", self.lines)

    def test_called_off(self):
        backend = self.backend(cores=1)
        jobs = [self.offer(backend, f"job {n}", 100) for n in range(3)]
        for job in jobs[:2]:
            backend.drop(job)
        self.clock.run(1 * SECOND)
        self.check("lab_called_off", self.lines)

    def test_overdriven_it_turns_slower_until_it_rested(self):
        backend = self.backend(
            plans.Overdrive(at=2, over_s=1, slower=3, below=0.3, rest_s=1), cores=1
        )
        for n in range(20):
            self.clock.at(n * 100 * MS, self.offer, backend, f"job {n}", 250)
        for tenth in range(1, 300):
            self.clock.run(tenth * 1000.0)
            tipped = backend.overloaded_since is not None
            if tipped != (self.lines and "tipped" in self.lines[-1]) and "job" not in str(
                self.lines[-1:]
            ):
                self.say("tipped" if tipped else "well")
            self.lines = [line for line in self.lines if "job" not in line]
        self.say(f"tips {backend.overloads}")
        self.check("lab_overdrive", self.lines)

    def test_cold_it_falls_over(self):
        for gap in (40, 4):
            self.setUp()
            backend = self.backend(cores=1, cold_from=0.25, cold_for_s=4, tip_multiple=2, tip_s=1)
            backend.restart()
            for n in range(200):
                self.clock.at(n * gap * MS, self.offer, backend, "job", 10)
            self.clock.run(5 * SECOND)
            self.lines = [
                f"a job of 10 ms each {gap} ms: falls {backend.collapses}, ran {backend.executed}"
            ]
            with self.subTest(gap=gap):
                self.check(f"lab_cold_{gap}", self.lines)

    def test_pause(self):
        backend = self.backend(pause=plans.Pause(every_s=1, for_ms=300), cores=1)
        for n in range(6):
            self.clock.at(n * 250 * MS, self.offer, backend, f"job {n}", 100)
        self.clock.run(3 * SECOND)
        self.check("lab_pause", self.lines)


class Draws(TraceTest):
    def test_mean_and_spread(self):
        lines = []
        for spread, cv in (
            ("fixed", 1),
            ("exp", 1),
            ("lognormal", 0.5),
            ("lognormal", 1.5),
            ("pareto", 2),
        ):
            sizes = WorkDistribution(np.random.default_rng(1), spread, 50.0, cv)
            drawn = np.array([sizes.next() for _ in range(200000)])
            lines.append(
                f"{spread} {cv}: mean {drawn.mean():.0f}, cv {drawn.std() / drawn.mean():.1f}"
            )
        self.check("lab_draws", lines)


class Plans(TraceTest):
    def test_what_cannot_be_read(self):
        good = '[[fleet.kind]]\n[[offering]]\nname = "look"\nwork_ms = 20\n[load]\nrate = 10\n'
        cases = (
            "",
            good + "rat = 1\n",
            good.replace("20", "-1"),
            good.replace("20", '"x"'),
            good + "kept = 3\n",
            "seconds = 3\n" + good,
            good + "[[change]]\nat_s = 1\nwhat = 'boom'\n",
            good + "[[change]]\nat_s = 99\nwhat = 'gone'\n",
            'vary."offering.3.work_ms" = [1]\n' + good,
            "vary.seed = 3\n" + good,
            good.replace("rate = 10", "rate_share = 0.5").replace(
                "[[fleet.kind]]", "[[fleet.kind]]\ncores = 0"
            ),
            "[fleet\n",
            good + good.split("\n[load")[0],
        )
        lines = []
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "plan.toml")
            for text in cases:
                path.write_text(text)
                ended = CliRunner().invoke(main, [str(path)])
                lines.append(
                    f"{ended.exit_code} {ended.output.strip().replace(str(path), 'plan.toml')}"
                )
            ended = CliRunner().invoke(main, [str(path) + "x"])
            lines.append(
                f"{ended.exit_code} {ended.output.strip().replace(str(path), 'plan.toml')}"
            )
        self.check("lab_plans", lines)

    def test_a_plan_is_varied_and_played(self):
        with tempfile.TemporaryDirectory() as folder:
            path, out = pathlib.Path(folder, "plan.toml"), pathlib.Path(folder, "out.json")
            path.write_text(
                'seconds = 2\nleft_out_s = 1\nvary."nodes.count" = [1, 2]\n[[fleet.kind]]\n'
                '[[offering]]\nname = "look"\nwork_ms = 20\n[load]\nrate = 50\n'
            )
            ended = CliRunner().invoke(main, [str(path), "--all", "--json", str(out)])
            heads = [line.split()[:2] for line in ended.output.splitlines()]
            self.check(
                "lab_command",
                [
                    f"exit {ended.exit_code}, summaries {out.read_text().count('share')}",
                    *map(" ".join, heads),
                ],
            )


class Counts(TraceTest):
    def test_how_long_a_change_was_felt(self):
        """Settled in each 100 ms and what was at the backends, as (seconds, figure); the change at 5 s."""
        lines = []
        for name, rates, beyond in (
            ("nothing felt", [(30, 10)], [(30, 1)]),
            ("half from then on", [(5, 10), (25, 5)], [(30, 1)]),
            ("a third for four seconds", [(5, 10), (4, 3), (21, 10)], [(30, 1)]),
            ("never at rest", [(5, 10), (20, 5), (5, 10)], [(30, 1)]),
            ("three times too much for two seconds", [(30, 10)], [(5, 1), (2, 3), (23, 1)]),
            ("for one, nearly twice", [(30, 10)], [(5, 1), (1, 1.9), (24, 1)]),
            ("to the end", [(30, 10)], [(5, 1), (25, 2)]),
        ):
            metrics = Metrics(
                plan(seconds=30, change=[dict(at_s=5, what="cores", times=0.5)]), Clock()
            )
            metrics.bins["in_time"][:300] = np.concatenate([np.full(s * 10, n) for s, n in rates])
            metrics.relative_load = [n for s, n in beyond for _ in range(s * 10)]
            lines.append(f"{name}: {metrics.after_change()}")
        self.check("lab_after_change", lines)


class Rules(TraceTest):
    """The model must see a broken rule, or its silence on the node would mean nothing."""

    def broken(self, spoil, **changed):
        made = simulation.Simulation(plan(**changed), "none")
        spoil(made)
        made.clients.start()
        made.clock.run(3 * SECOND)
        return sorted(made.rules_broken)

    def test_planted(self):
        def twice(made):
            def ended(attempt, outcome, policy=made.policies[0]):
                policies.BaselinePolicy.attempt_ended(policy, attempt, outcome)
                attempt.request.answered(Outcome.SUCCESS)

            made.policies[0].attempt_ended = ended

        def again(made):
            policy, send = made.policies[0], made.send

            def ended(attempt, outcome):
                if attempt.request.executions < 2:
                    send(
                        policy,
                        policies.BaselineAttempt(attempt.request, "b0"),
                        attempt.request,
                        "b0",
                        attempt.request.deadline,
                    )

            policy.attempt_ended = ended

        def after(made):
            policy = made.policies[0]

            def ended(attempt, outcome):
                if not attempt.request.has_answer:
                    policies.BaselinePolicy.attempt_ended(policy, attempt, outcome)
                if attempt.request.executions < 2:
                    made.send(
                        policy,
                        policies.BaselineAttempt(attempt.request, "b0"),
                        attempt.request,
                        "b0",
                        attempt.request.deadline,
                    )

            policy.attempt_ended = ended

        def late(made):
            policy = made.policies[0]
            policy.attempt_ended = lambda attempt, outcome: made.clock.at(
                attempt.request.deadline + 1, attempt.request.answered, RejectRequest
            )

        one_shot = [dict(name="pay", work_ms=20, repeats="one-shot")]
        cases = dict(none=lambda made: None, twice=twice, again=again, after=after, late=late)
        lines = []
        for name, spoil in cases.items():
            limits = dict(one_shot[0], expected_ms=500, hard_limit_ms=1000)
            lines.append(
                f"{name}: {'; '.join(self.broken(spoil, offering=[limits], load=dict(rate=10)))}"
            )
        self.check("lab_rules", lines)

    def test_the_same_seed_plays_the_same(self):
        first, second = (simulation.run_plan(plan(seconds=3)) for _ in range(2))
        self.assertEqual(first, second)
        self.assertNotEqual(first, simulation.run_plan(plan(seconds=3, seed=2)))
