"""The limiter alone, on a manual clock, and in short simulations of different fleets."""

from math import exp, log

from pierglade.concurrency.capacity_search import DRAINED, RESTED
from pierglade.concurrency.limiter import ConcurrencyLimiter
from pierglade.simulation import plan as plans
from pierglade.simulation import simulation as world
from tests.support.scene import MS, TraceTest


class Rounds(TraceTest):
    """Attempts are sent while the limiter is not full and answered after `took`, oldest first."""

    def setUp(self):
        self.lines, self.now, self.out = [], 0, []

    def say(self, limiter, what):
        self.lines.append(
            f"{self.now / MS:8.1f}  {what}: {limiter.current_limit():.1f} attempts, {limiter.mode.value}"
        )

    def keep_full(self, limiter, ms, took, kept=1000, expected=1000 * MS):
        """`took(in flight)` is in tenths of a millisecond; notes each change of the mode."""
        end, mode = self.now + ms * MS, limiter.mode
        while self.now < end:
            while len(self.out) < kept and not limiter.is_full(self.now):
                limiter.change_in_flight(self.now, 1)
                span = took(len(self.out) + 1)
                self.out.append(
                    (self.now + span, self.now, limiter.attempt_sent(self.now, 0), span)
                )
            self.out.sort()
            if limiter.mode != mode:
                mode = limiter.mode
                self.say(limiter, "now")
            if not self.out:
                self.now += MS
                continue
            due, sent, number, span = self.out[0]
            if due > self.now + 5 * MS:
                self.now += 5 * MS
                continue
            self.out.pop(0)
            self.now = max(self.now, due)
            limiter.change_in_flight(self.now, -1)
            limiter.attempt_answered(self.now, 0, number, sent, span, expected)
        self.say(limiter, "at last")

    def new_limiter(self, nodes=1, backends=4, demand=None):
        limiter = ConcurrencyLimiter(nodes, 1, self.now, demand)
        limiter.update_backends(self.now, backends, backends)
        return limiter

    def test_steps_up_while_answers_are_no_slower(self):
        limiter = self.new_limiter()
        self.keep_full(limiter, 1500, lambda out: 100 * MS, kept=200)
        self.check("limit_steps", self.lines)

    def test_steps_back_where_a_step_made_answers_slower(self):
        limiter = self.new_limiter()
        self.keep_full(limiter, 3000, lambda out: 100 * MS * max(1, out // 40))
        self.check("limit_back", self.lines)

    def test_halves_and_finds_a_queue(self):
        limiter = self.new_limiter()
        self.keep_full(limiter, 2000, lambda out: 100 * MS, kept=200)
        self.say(limiter, "from now on 50 at a time")
        self.keep_full(limiter, 3000, lambda out: int(100 * MS * max(1.0, out / 50)), kept=200)
        self.check("limit_queue", self.lines)

    def test_halves_rests_once_and_finds_slower_backends(self):
        """All slower is no queue: fewer attempts, or a second rest, would only idle the fleet."""
        limiter = self.new_limiter()
        for slower in (1, 3, 6):
            self.say(limiter, f"from now on {slower} times slower")
            self.keep_full(
                limiter, 15000, lambda out: slower * 100 * MS, kept=200, expected=9000 * MS
            )
        self.check("limit_slower", self.lines)

    def test_rests_overloaded_backends_and_does_not_repeat_the_overload(self):
        """Beyond a limit three times slower, until fewer than 20 are in flight for 3 s."""
        limiter, tips = self.new_limiter(), []
        self.bears, self.slow, self.full_at = 1000, False, 0

        def took(out):
            self.full_at = self.now if out >= 20 else self.full_at
            if out > self.bears and not self.slow:
                tips.append(self.now)
            self.slow = (self.slow or out > self.bears) and self.now - self.full_at < 3000 * MS
            return int(100 * MS * max(1.0, out / 60)) * (3 if self.slow else 1)

        self.keep_full(limiter, 4000, took, expected=4000 * MS)
        self.bears = limiter.current_limit() * 0.9
        self.keep_full(limiter, 72000, took, expected=4000 * MS)
        # A minute of limits in full would hang on the last bit of a logarithm.
        rested = sum(line.endswith("rested") for line in self.lines)
        self.check(
            "limit_rest",
            [
                f"rested {rested}, tipped over {len(tips)}, well again {not self.slow}, "
                f"below what tipped it {limiter.current_limit() < self.bears}"
            ],
        )

    def test_drains_to_learn_unhurried_latency(self):
        """Full from the first moment, a node sees only answers that waited; quotas spare it that."""
        for demand in (None, 400 / 10000):
            self.now, self.out = 0, []
            limiter = self.new_limiter(demand=demand)
            self.keep_full(
                limiter, 15000, lambda out: int(100 * MS * max(1.0, out / 4)), 200, 4000 * MS
            )
            self.lines.append(
                f"unhurried {exp(limiter.base[0]) / MS:.0f} ms, unsure {limiter._search.estimate.is_uncertain}"
            )
        self.check("limit_drain", self.lines)

    def test_what_a_drain_has_taught_is_not_forgotten_under_load(self):
        """A deep queue is drained again; then loaded rounds do not raise the base."""
        limiter = self.new_limiter()
        search = limiter._search
        estimate = search.estimate
        estimate.answers, estimate.base = [32], [log(400 * MS)]
        estimate.round_answers, estimate.spread = 64.0, 1.2
        limiter.change_in_flight(0, 16)
        for took in (100 * MS, 95 * MS, *[300 * MS] * 20):
            if took < 300 * MS:
                search.before, search.busy_before = limiter.each, 4.0
                search.begin_rest(self.now, DRAINED, 0.0)
            while search.round.unsent > 0:
                limiter.attempt_sent(self.now, 0)
            for n in range(max(limiter.missing)):
                self.now += 10 * MS if n else took
                limiter.attempt_answered(
                    self.now, 0, search.round.number, self.now - took, took, 9000 * MS
                )
            self.now += 1000 * MS
            self.lines.append(
                f"{took / MS:.0f} ms: base {exp(limiter.base[0]) / MS:.0f}, unsure {limiter._search.estimate.is_uncertain}"
            )
        self.check("limit_drain_kept", self.lines[:3] + self.lines[-1:])

    def test_a_rest_is_not_judged_by_those_back_when_its_time_is_up(self):
        limiter = self.new_limiter()
        search = limiter._search
        search.estimate.base, search.before, search.busy_before = [log(100 * MS)], 4.0, 4.0
        search.begin_rest(0, RESTED, 1.1)
        half = limiter._search.round.size // 2 + 1
        for n in range(limiter._search.round.size):
            limiter.attempt_sent((6400 if n < half else 6495) * MS, 0)
        for n in range(half):
            now = 6501 * MS if n == half - 1 else 6480 * MS
            limiter.attempt_answered(
                now, 0, search.round.number, 6400 * MS, now - 6400 * MS, 9000 * MS
            )
        self.assertIsNone(limiter._search.overload.overload_limit)

    def test_few_slow_answers_do_not_count_as_many(self):
        """Ninety quick and one slow answer count as two, or noise would be a queue."""
        limiter = ConcurrencyLimiter(1, 2, 0)
        probe = limiter._search.round
        probe.shifts, probe.missing = [(0.0, 1.0)] * 90, [0, 1]
        self.assertLess(probe.effective_answers([0.0, 7.0], 90 + exp(7.0)), 1.5)

    def test_seeks_no_more_capacity_than_quotas_need(self):
        lines = []
        for demand in (None, 20 / 10000, 400 / 10000):
            self.setUp()
            limiter = self.new_limiter(demand=demand)
            self.keep_full(limiter, 1500, lambda out: 100 * MS, kept=200)
            lines.append(f"demand {demand}: {limiter.current_limit():.0f} attempts")
        self.check("limit_shares", lines)

    def test_quick_ones_that_are_back_first_prove_nothing(self):
        """Every step must wait for the slow half, or each would look like a good one."""
        limiter, self.now = self.new_limiter(), 0
        for n in range(limiter._search.round.size):
            limiter.change_in_flight(0, 1)
            self.assertEqual(limiter.attempt_sent(0, 0), 1)
        limiter.attempt_answered(1 * MS, 0, 1, 0, 1 * MS, 1000 * MS)
        self.say(limiter, "one of four back after 1 ms")
        limiter.attempt_answered(2 * MS, 0, 1, 0, 2 * MS, 1000 * MS)
        limiter.attempt_answered(50 * MS, 0, 1, 0, 50 * MS, 1000 * MS)
        self.say(limiter, "three back")
        self.lines.append(
            f"unhurried {exp(limiter.base[0]) / MS:.1f} ms, spread {limiter._search.estimate.spread:.1f}"
        )
        self.check("limit_back_first", self.lines)

    def test_refused_beyond_the_first_limit(self):
        limiter = self.new_limiter()
        for each in (4.0, 20.0):
            limiter._budget.per_backend = each
            for _ in range(4):
                limiter.attempt_rejected(self.now, self.now)
            self.say(limiter, f"four refused at {each:.0f} a backend")
        self.check("limit_refused", self.lines)


def played(seconds, left_out, kinds, request_class, load, nodes=1, change=(), seed=1, **fleet):
    request_classes = [{"name": f"o{n}", **each} for n, each in enumerate(request_class)]
    return world.run_plan(
        plans.plan_from(
            dict(
                seed=seed,
                seconds=seconds,
                left_out_s=left_out,
                fleet=dict(kind=kinds, **fleet),
                offering=request_classes,
                load=load,
                nodes=dict(count=nodes),
                change=list(change),
            )
        )
    )


class Fleets(TraceTest):
    """Bounds with a margin, one seed each.

    Chance differs a little from machine to machine (the last bit of a logarithm). Larger fleets and
    more seeds: experiments/limit/.
    """

    WORK = [dict(work_ms=100)]

    def within(self, name, play, share, tips=0):
        """Settled in time over what is possible, and how often a backend was overdriven."""
        self.check(
            f"fleet_{name}",
            [
                f"share over {share} {play['share'] > share}, up to {tips} tips "
                f"{play['tips'] <= tips}, broken {play['broken']}"
            ],
        )

    def test_capacity_is_found_from_a_cold_start(self):
        lines = []
        for backends, nodes, ms, kept in ((1, 1, 5, 4), (4, 30, 100, 64)):
            play = played(
                8,
                6,
                [dict(count=backends, cores=0)],
                [dict(work_ms=ms, spread="fixed", expected_ms=1000)],
                dict(kept=kept),
                nodes,
            )
            lines.append(
                f"{backends} backends, {nodes} nodes, {ms} ms: 90% within 5 s "
                f"{play['found_after_s'] is not None and play['found_after_s'] <= 5}, "
                f"then {play['share'] >= 0.95}, broken {play['broken']}"
            )
        self.check("fleet_cold", lines)

    def test_capacity_is_found_with_uneven_work(self):
        self.within(
            "uneven", played(10, 8, [dict(count=2, cores=32)], self.WORK, dict(kept_each=24)), 0.9
        )

    def test_half_of_the_capacity_goes(self):
        """One node follows at once; no backend may be overloaded by what it still sends."""
        for change in (dict(what="gone", share=0.5), dict(what="cores", times=0.5)):
            play = played(
                14,
                11,
                [dict(count=4, cores=8)],
                self.WORK,
                dict(kept=100),
                overdrive={},
                change=[dict(at_s=8, **change)],
            )
            self.within(f"half_{change['what']}", play, 0.45)

    def test_limit_recovers_after_an_overload(self):
        """A quarter of the cores for 4 s overloads both once; then all capacity is found again."""
        change = [dict(at_s=8, what="cores", times=0.25), dict(at_s=12, what="cores")]
        self.within(
            "tip",
            played(
                32,
                26,
                [dict(count=2, cores=8)],
                self.WORK,
                dict(kept=50),
                overdrive={},
                change=change,
            ),
            0.8,
            4,
        )

    def test_one_backend_with_a_fifth_of_the_capacity(self):
        self.within(
            "fifth",
            played(
                10,
                7,
                [dict(count=1, cores=4), dict(count=3, cores=20)],
                self.WORK,
                dict(rate_share=0.9),
                3,
            ),
            0.95,
        )

    def test_a_slow_request_class_leaves_capacity_for_a_quick_one(self):
        play = played(
            12,
            5,
            [dict(count=6, cores=8)],
            [
                dict(work_ms=2, share=20, expected_ms=200, hard_limit_ms=1000),
                dict(work_ms=900, share=1, expected_ms=4000, hard_limit_ms=10000),
            ],
            dict(rate_share=0.5),
        )
        self.check(
            "fleet_two",
            [
                f"share over 0.95 {play['share'] > 0.95}, quick p99 under 100 ms "
                f"{play['offerings']['o0']['p99_ms'] < 100}"
            ],
        )

    def test_bursts(self):
        self.within(
            "bursts",
            played(
                16,
                5,
                [dict(count=8, cores=32)],
                [dict(work_ms=50)],
                dict(rate_share=0.1, burst_times=10, burst_ms=200),
                overdrive={},
            ),
            0.95,
        )

    def test_near_what_the_fleet_can_do(self):
        self.within(
            "near",
            played(20, 8, [dict(count=4, cores=2)], self.WORK, dict(rate_share=1.0), overdrive={}),
            0.85,
        )
