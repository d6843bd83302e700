"""The limit alone, on a hand-moved clock, and in short plays of fleets unlike one another."""

from math import exp, log

from pierglade.concurrency.capacity_search import DRAINED, RESTED
from pierglade.concurrency.limiter import ConcurrencyLimiter
from pierglade.simulation import plan as plans
from pierglade.simulation import world
from tests.support.scene import MS, TraceTest


class Rounds(TraceTest):
    """Trips go out as long as there is room and come back after `took`, oldest first."""

    def setUp(self):
        self.lines, self.now, self.out = [], 0, []

    def say(self, room, what):
        self.lines.append(
            f"{self.now / MS:8.1f}  {what}: {room.current_limit():.1f} trips, {room.mode.value}"
        )

    def keep_full(self, room, ms, took, kept=1000, expected=1000 * MS):
        """`took(how many are out)` is in tenths of a millisecond; says each change of the limit in rounds."""
        end, mode = self.now + ms * MS, room.mode
        while self.now < end:
            while len(self.out) < kept and not room.is_full(self.now):
                room.change_in_flight(self.now, 1)
                span = took(len(self.out) + 1)
                self.out.append((self.now + span, self.now, room.attempt_sent(self.now, 0), span))
            self.out.sort()
            if room.mode != mode:
                mode = room.mode
                self.say(room, "now")
            if not self.out:
                self.now += MS
                continue
            due, sent, number, span = self.out[0]
            if due > self.now + 5 * MS:
                self.now += 5 * MS
                continue
            self.out.pop(0)
            self.now = max(self.now, due)
            room.change_in_flight(self.now, -1)
            room.attempt_answered(self.now, 0, number, sent, span, expected)
        self.say(room, "at last")

    def room(self, nodes=1, backends=4, asked=None):
        room = ConcurrencyLimiter(nodes, 1, self.now, asked)
        room.update_backends(self.now, backends, backends)
        return room

    def test_steps_up_while_answers_are_no_slower(self):
        room = self.room()
        self.keep_full(room, 1500, lambda out: 100 * MS, kept=200)
        self.check("limit_steps", self.lines)

    def test_steps_back_where_a_step_made_answers_slower(self):
        room = self.room()
        self.keep_full(room, 3000, lambda out: 100 * MS * max(1, out // 40))
        self.check("limit_back", self.lines)

    def test_halves_and_finds_a_queue(self):
        room = self.room()
        self.keep_full(room, 2000, lambda out: 100 * MS, kept=200)
        self.say(room, "from now on 50 at a time")
        self.keep_full(room, 3000, lambda out: int(100 * MS * max(1.0, out / 50)), kept=200)
        self.check("limit_queue", self.lines)

    def test_halves_rests_once_and_finds_slower_backends(self):
        """All slower is no queue: fewer trips would only leave the fleet idle, and so would a second rest."""
        room = self.room()
        for slower in (1, 3, 6):
            self.say(room, f"from now on {slower} times slower")
            self.keep_full(room, 15000, lambda out: slower * 100 * MS, kept=200, expected=9000 * MS)
        self.check("limit_slower", self.lines)

    def test_rests_overdriven_backends_and_does_not_tip_them_again(self):
        """Beyond what they bear three times slower, until fewer than 20 were out for three seconds."""
        room, tips = self.room(), []
        self.bears, self.slow, self.full_at = 1000, False, 0

        def took(out):
            self.full_at = self.now if out >= 20 else self.full_at
            if out > self.bears and not self.slow:
                tips.append(self.now)
            self.slow = (self.slow or out > self.bears) and self.now - self.full_at < 3000 * MS
            return int(100 * MS * max(1.0, out / 60)) * (3 if self.slow else 1)

        self.keep_full(room, 4000, took, expected=4000 * MS)
        self.bears = room.current_limit() * 0.9
        self.keep_full(room, 72000, took, expected=4000 * MS)
        # A minute of limits in full would hang on the last bit of a logarithm.
        rested = sum(line.endswith("rested") for line in self.lines)
        self.check(
            "limit_rest",
            [
                f"rested {rested}, tipped over {len(tips)}, well again {not self.slow}, "
                f"below what tipped it {room.current_limit() < self.bears}"
            ],
        )

    def test_drains_to_learn_what_answers_take_at_ease(self):
        """Full from the first moment on, a node has only seen answers that waited; shares spare it that."""
        for asked in (None, 400 / 10000):
            self.now, self.out = 0, []
            room = self.room(asked=asked)
            self.keep_full(
                room, 15000, lambda out: int(100 * MS * max(1.0, out / 4)), 200, 4000 * MS
            )
            self.lines.append(
                f"unhurried {exp(room.base[0]) / MS:.0f} ms, unsure {room._search.estimate.is_uncertain}"
            )
        self.check("limit_drain", self.lines)

    def test_what_a_drain_has_taught_is_not_forgotten_under_load(self):
        """A deep queue is drained again; once that shows little new, loaded rounds do not raise the base."""
        room = self.room()
        search = room._search
        estimate = search.estimate
        estimate.answers, estimate.base = [32], [log(400 * MS)]
        estimate.round_answers, estimate.spread = 64.0, 1.2
        room.change_in_flight(0, 16)
        for took in (100 * MS, 95 * MS, *[300 * MS] * 20):
            if took < 300 * MS:
                search.before, search.busy_before = room.each, 4.0
                search.begin_rest(self.now, DRAINED, 0.0)
            while search.round.unsent > 0:
                room.attempt_sent(self.now, 0)
            for n in range(max(room.missing)):
                self.now += 10 * MS if n else took
                room.attempt_answered(
                    self.now, 0, search.round.number, self.now - took, took, 9000 * MS
                )
            self.now += 1000 * MS
            self.lines.append(
                f"{took / MS:.0f} ms: base {exp(room.base[0]) / MS:.0f}, unsure {room._search.estimate.is_uncertain}"
            )
        self.check("limit_drain_kept", self.lines[:3] + self.lines[-1:])

    def test_a_rest_is_not_judged_by_those_back_when_its_time_is_up(self):
        room = self.room()
        search = room._search
        search.estimate.base, search.before, search.busy_before = [log(100 * MS)], 4.0, 4.0
        search.begin_rest(0, RESTED, 1.1)
        half = room._search.round.size // 2 + 1
        for n in range(room._search.round.size):
            room.attempt_sent((6400 if n < half else 6495) * MS, 0)
        for n in range(half):
            now = 6501 * MS if n == half - 1 else 6480 * MS
            room.attempt_answered(
                now, 0, search.round.number, 6400 * MS, now - 6400 * MS, 9000 * MS
            )
        self.assertIsNone(room._search.overload.overload_limit)

    def test_few_slow_answers_are_not_worth_many(self):
        """Ninety quick ones and one slow one say as much of the work as two answers, or noise is a queue."""
        room = ConcurrencyLimiter(1, 2, 0)
        probe = room._search.round
        probe.shifts, probe.missing = [(0.0, 1.0)] * 90, [0, 1]
        self.assertLess(probe.effective_answers([0.0, 7.0], 90 + exp(7.0)), 1.5)

    def test_looks_for_no_more_room_than_shares_need(self):
        lines = []
        for asked in (None, 20 / 10000, 400 / 10000):
            self.setUp()
            room = self.room(asked=asked)
            self.keep_full(room, 1500, lambda out: 100 * MS, kept=200)
            lines.append(f"asked {asked}: {room.current_limit():.0f} trips")
        self.check("limit_shares", lines)

    def test_quick_ones_that_are_back_first_prove_nothing(self):
        """Every step must wait for the slow half, or each would look like a good one."""
        room, self.now = self.room(), 0
        for n in range(room._search.round.size):
            room.change_in_flight(0, 1)
            self.assertEqual(room.attempt_sent(0, 0), 1)
        room.attempt_answered(1 * MS, 0, 1, 0, 1 * MS, 1000 * MS)
        self.say(room, "one of four back after 1 ms")
        room.attempt_answered(2 * MS, 0, 1, 0, 2 * MS, 1000 * MS)
        room.attempt_answered(50 * MS, 0, 1, 0, 50 * MS, 1000 * MS)
        self.say(room, "three back")
        self.lines.append(
            f"unhurried {exp(room.base[0]) / MS:.1f} ms, spread {room._search.estimate.spread:.1f}"
        )
        self.check("limit_back_first", self.lines)

    def test_refused_beyond_the_first_limit(self):
        room = self.room()
        for each in (4.0, 20.0):
            room._budget.per_backend = each
            for _ in range(4):
                room.attempt_rejected(self.now, self.now)
            self.say(room, f"four refused at {each:.0f} a backend")
        self.check("limit_refused", self.lines)


def played(seconds, left_out, kinds, request_class, load, nodes=1, change=(), seed=1, **fleet):
    request_classes = [{"name": f"o{n}", **each} for n, each in enumerate(request_class)]
    return world.play(
        plans.made(
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
    """Bounds, not figures, one seed each with room to spare: chance differs a little from machine to machine
    (the last bit of a logarithm). Larger fleets and more seeds: experiments/limit/."""

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

    def test_room_is_found_from_a_cold_start(self):
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

    def test_room_is_found_with_uneven_work(self):
        self.within(
            "uneven", played(10, 8, [dict(count=2, cores=32)], self.WORK, dict(kept_each=24)), 0.9
        )

    def test_half_of_the_room_goes(self):
        """One node follows at once; no backend may be tipped over by what it still sends."""
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

    def test_after_a_tip_it_comes_back(self):
        """A quarter of the cores for four seconds tips both over, once; then all room is found again."""
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

    def test_one_backend_with_a_fifth_of_the_room(self):
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

    def test_a_slow_offering_leaves_room_for_a_quick_one(self):
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
