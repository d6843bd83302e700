"""The limit on trips out, found from how long answers take while it binds.

A Room is told of trips that leave and end and of answers; it says whether one more may be out. It holds in
the mean, as a node's part may be half a trip. Moments and spans are whole tenths of a millisecond.

Two forces move it. Answers near their expected time lower it and others raise it gently, answer by answer.
And in rounds it looks for room in earnest: it steps up while answers show no queue, goes back where the step
made them slower, and halves to look whether what is slow is a queue at all. Where half as many are no
quicker it lets the backends rest for some seconds: overdriven ones are well after it, and are not sent as
much again. A node that was full from its first moment on drains once, to see answers that did not wait.

A round is some trips sent one after the other, judged by the median once half of them are back: those that
are back first are the quick ones, and a judgement by answers alone would find every step a good one.
"""

from bisect import insort
from copy import copy
from math import ceil, exp, log, sqrt

# Constants. Times are tenths of a millisecond; shifts are natural logarithms of times answers took.
FIRST = 4.0  # trips a backend, of all nodes together; before anything was learned
LEAST = 2.0  # trips a backend, of all nodes together; it works on some while others wait or travel
OWN = 1.0  # trips a backend more, in full where there are two backends for each node
STRAIN = 0.75  # share of the expected time; slower answers mean that the fleet is filling up
STRAINED = 0.05  # share of answers that may be so slow before fewer trips are let out
STRAINED_CLEAR = 0.15  # the same where rounds are sure of no queue: fewer out would not be quicker
FOLLOWS = 0.5  # trips; how fast the limit follows single answers
FOLLOWS_SHARE = 0.2  # share of the limit; the same where it is a trip or two
SPAN = 5000  # 0.5 s; the limit holds in the mean of about this, as a node's part may be under one
PEAK_SMALL = 1.5  # times a limit of a trip or two, and one more: out at once while the mean allows
PEAK_LARGE, PEAK_MORE = (
    0.8,
    3,
)  # times a limit of some trips, and trips; from 15 on the limit itself
AHEAD = 2.0  # times that peak; what goes ahead is little, and more than this is no burst of it
STEP_MOST = log(3)  # where answers hardly differ, a step is known good or bad by the first ones
STEP_NOISY = log(1.5)  # else; overshoot by half for a round fills no queue that lasts
STEP_LEAST = log(1.15)  # a smaller one gains little
STEP_HALF = log(2) / 2  # as sure as of such a step must it be that half as many out are no quicker
NOISY = 0.3  # spread of shifts beyond which answers differ
SURE = 1.5  # standard errors; one wrong step in fifteen is taken back a round later
MEDIAN = 1.25  # times the standard error of a mean; that of a median
LOW_PART = 0.16  # share of a round's answers; up to the median they span one standard deviation
STEADY_SPAN = 5000  # 0.5 s; a round that waits for the next step
ROUND_SPAN = 10000  # 1 s; a steady round takes no more, as far as the one before tells
STEP_SPAN = (
    8000  # 0.8 s; a step that is not known good by then is taken back: backends bear that long
)
SETTLE = 10000  # 1 s; the other nodes see the same queue and halve within it
ROUND_LEAST, ROUND_MOST = (
    4,
    400,
)  # trips in a round; fewer tell nothing of their spread, more little else
HOLD, HOLD_MOST = 10000, 80000  # 1 s, 8 s; between steps that failed, doubled
CLEAR = 0.25  # shift over unhurried answers up to which no queue is seen, however it came about
GIVEN = 1.5  # times what tenants' shares keep out at ease; no more room than that is looked for
QUEUE_SOME = (
    1.0  # times the root of how many are worked on may wait while it grows; chance fills it
)
QUEUE_KEPT = 2.0  # the same that are left out; the way there is halved round by round
QUEUE = 3.0  # the same before it is halved to see whether it is a queue
UNUSED = 1.25  # times what is out; no more is kept open while a queue is seen
QUEUE_SEEN = (
    6.0  # worked on at each backend; with fewer, strain tells soon enough of a few that wait
)
BLIND = 25.0  # times unhurried answers; strain that begins there comes too late to tell of a queue
BASE_SPAN = 100000  # 10 s; the unhurried latency follows slower answers within this
BASE_FIRST = 32  # answers until an offering's unhurried latency is known
RESTS_STEP = 16  # the same until a step; the spread of one round of four is luck
BASE_RESTS = 64  # trips in whole rounds until the unhurried latency is known
EASE = 0.5  # share of the limit in use up to which answers are unhurried
REST = 0.15  # of what was out when half as many were no quicker; mostly idle, they recover
TWICE = log(2)  # shift from which a rest is tried at once where half as many could not be judged
HALF_SPAN = 20000  # 2 s; half as many for longer costs more than it tells
DOUBT = 50000  # 5 s; where there is room twice as many are out within it
DRAIN = 0.3  # of what is out; at ease, and enough to be judged by
REST_WORKED = 0.5  # of how many are worked on, by what they answer; the same
REST_SPAN = 45000  # 4.5 s; backends that were overdriven are well after some three seconds of it
REST_MORE = 15000  # 1.5 s; with others, which may begin theirs so much later
TIPPED_REST = 20000  # 2 s; what was only a queue is gone sooner, even where others halve later
BACK = 0.5  # of what was out before; what a limit begins with after a rest that helped
TIPPED = 0.85  # of what was out before; no more than that is let out for long after
FORGIVES = log(1.07) / 600000  # in a tenth of a millisecond; this bound grows by 7% a minute
USELESS = 600000  # 1 min; no rest again after one that did not help, doubled each time
USELESS_MOST = 6000000  # 10 min
STEADY, STEPPED, HALVED, RESTED, DRAINED = "steady", "stepped", "halved", "rested", "drained"


class ConcurrencyLimiter:
    """`nodes` balancers share the fleet; `offerings` is how many rows there are.

    `asked` is what tenants' shares let come to this node in a tenth of a millisecond; None: no shares.
    """

    def __init__(self, nodes, request_classes, now, asked=None):
        self.nodes, self.demand = nodes, asked
        self.each = FIRST / nodes  # how many trips this node may have out for each sound backend
        self.healthy_backends, self.fleet = 1, 1.0
        self.in_flight = 0
        self.spare, self.spare_at = 0.0, now  # trips x time that the limit has left over
        self.used = 0.0  # trips x time, in this round
        self.last_limited_at = -1  # when something last waited for want of room
        self.base = [0.0] * request_classes  # log of how long an answer takes at ease
        self.answers = [0] * request_classes  # how many that rests on, up to BASE_FIRST
        self.rate = ROUND_MOST  # trips in a tenth of a millisecond, in steady rounds
        self.rests = 0  # trips of whole rounds that say so
        self.work = 0.0  # how long an answer takes at ease, in the mean of what is asked
        self.strain = 0.0  # from when on an answer strains, in the same mean
        self.spread = NOISY / 2  # of shifts, as of a standard deviation
        self.mode, self.round = STEADY, 0
        self.seen, self.seen_in = 0.0, 0  # shift in the mean of steady rounds, and its trips
        self.step = STEP_MOST
        self.before, self.shift_before, self.busy_before = self.each, 0.0, 0.0
        self.hold, self.hold_until = HOLD, now
        self.unsure = (
            asked is None
        )  # whether answers at ease may have been slow from a queue all along
        self.first, self.doubt_at = None, now  # how few were out since answers at ease are known
        self.well = 0.0  # trips a backend when the last round without a queue was over
        self.most, self.most_at = None, now  # trips a backend that tipped them over, less a part
        self.rested, self.useless, self.useless_until = now, USELESS, now
        self.clear = False  # rounds are sure that no queue is there
        self.queued = False  # more wait at the backends than chance makes wait
        self.missing = [0] * request_classes  # trips of the round that are not back
        self._begin(now, ROUND_LEAST)

    def successor(self, now, places, asked):
        """Another node's Room that knows what this one does, with no trip out and the round begun anew.

        `places`: of each of its rows the one here, None where there is none.
        """
        self._spend(now)
        heir = copy(self)
        heir.demand, heir.in_flight = asked, 0
        heir.base = [0.0 if place is None else self.base[place] for place in places]
        heir.answers = [0 if place is None else self.answers[place] for place in places]
        heir.missing = [0] * len(places)
        heir._begin(now, self.size)
        return heir

    # What is known.

    def update_backends(self, now, sound, fleet):
        """How many backends in view are sound, and how many all nodes have, as far as this one can tell."""
        self._spend(now)
        self.healthy_backends, self.fleet = sound, fleet

    def change_in_flight(self, now, more):
        """So many more trips count, or fewer."""
        self._spend(now)
        self.in_flight += more

    def attempt_sent(self, now, request_class):
        """A trip has left; returns the round that it belongs to, 0 for none."""
        if self.open <= 0 or now < self.began:
            return 0
        self.open -= 1
        self.closed = now
        self.missing[request_class] += 1
        return self.round

    def attempt_lost(self, request_class, number):
        """A trip of that round came to nothing, or its answer says nothing of the fleet."""
        if number == self.round:
            self.missing[request_class] -= 1

    def attempt_answered(self, now, request_class, number, sent, took, expected):
        """An answer from a backend that was well, `took` after `sent`, of that round.

        `expected` is the offering's expected time.
        """
        self._follow(sent, took > STRAIN * expected, STRAINED_CLEAR if self.clear else STRAINED)
        seen, taken = self.answers[request_class], log(max(1, took))
        if seen < BASE_FIRST and self.mode is STEADY:
            self.answers[request_class] = seen + 1
            self.base[request_class] += (taken - self.base[request_class]) / (seen + 1)
        # By time, not by answers: what waits is told by the offerings that fill the backends.
        weight = exp(self.base[request_class])
        self.work += (weight - self.work) / BASE_FIRST
        self.strain += (STRAIN * expected - self.strain) / BASE_FIRST
        if number == self.round:
            self.missing[request_class] -= 1
            self.back += weight
            insort(self.shifts, (taken - self.base[request_class], weight))
        self._judge(now)

    def attempt_rejected(self, now, sent):
        """A backend that was well sent a trip back unseen: it is full."""
        # Up to the first limit it is rather one slow machine, with others that have room.
        if self.each * self.nodes > FIRST:
            self._follow(sent, True)
        if self.mode is STEPPED:
            self._step_back(now)

    # What is asked.

    def current_limit(self):
        """How many trips this node may have out, in the mean."""
        return self.each * self.fleet

    def is_full(self, now, ahead=False):
        """Whether what waits has to wait for want of room; `ahead` borrows from what waits behind it."""
        self._spend(now)
        limit = self.current_limit()
        peak = min(PEAK_SMALL * limit + 1, max(limit, PEAK_LARGE * limit + PEAK_MORE))
        if ahead and self.spare > -limit * SPAN and self.in_flight < AHEAD * peak:
            return False
        if self.spare >= 0 and self.in_flight < peak:
            return False
        # A burst that meets the peak while the mean has room is none of the limit's doing.
        if self.spare <= 0 or peak <= limit:
            self.last_limited_at = now
        return True

    def opens_at(self, now):
        """When the mean has room again if nothing ends before, or None."""
        gain = self.current_limit() - self.in_flight
        return now + 1 - int(self.spare / gain) if self.spare < 0 and gain > 0 else None

    # How it moves.

    def _spend(self, now):
        limit, span = self.current_limit(), now - self.spare_at
        self.used += self.in_flight * span
        self.spare = min(limit * SPAN, self.spare + (limit - self.in_flight) * span)
        self.spare_at = now

    def _least(self):
        # With many trips of its own a node evens them out, and may fill backends more than one of many.
        return (LEAST + OWN * min(1.0, self.fleet / self.nodes / 2)) / self.nodes

    def _follow(self, sent, strained, part=STRAINED):
        """Fewer trips out when too many answers come close to their expected time, more when few do."""
        follows = min(FOLLOWS_SHARE, FOLLOWS / self.current_limit())
        if strained:
            lower = self.each * (1 - follows * (1 - part))
            self.each = min(self.each, max(self._least(), lower))
        elif (
            (self.spare <= 0 or sent <= self.last_limited_at)
            and self.mode is STEADY
            and not self.queued
        ):
            # A part of a trip is used up by one trip: that shows no want, but room for it all the same.
            self.each = self._borne(self.each * (1 + follows * part))

    def _begin(self, now, needs):
        self.round += 1
        self.began, self.used = now, 0.0
        self.closed = self.judge_at = now
        self.open = self.size = ceil(max(ROUND_LEAST, min(ROUND_MOST, needs)))
        self.missing = [0] * len(self.missing)
        self.shifts, self.back = [], 0.0

    def _judge(self, now):
        """Ends the round if it has shown enough."""
        late = self._late(now)
        if self.open > 0 and not late:
            return
        if self.mode is STEADY and now < self.hold_until and now - self.began < STEADY_SPAN:
            return
        if now < self.judge_at and not late:
            return
        whole = self.back + sum(n * exp(base) for n, base in zip(self.missing, self.base) if n)
        if 2 * self.back < whole or not self.shifts:
            if late:
                self._give_up(now)
            return
        shift, low = self._part(whole / 2), self._part(whole * LOW_PART)
        # What is not back counts as slower, so the last of it must have been out for as long.
        longest = max((base for n, base in zip(self.missing, self.base) if n), default=None)
        if longest is not None and self.closed + exp(longest + shift) > now:
            if not late:
                self.judge_at = self.closed + exp(longest + shift)
                return
            if self.mode in (RESTED, DRAINED):
                # Those back when its time is up are the quick ones, and would prove any rest a help.
                self._give_up(now)
                return
        self.spread = max(shift - low, self.spread + (shift - low - self.spread) / 4)
        answers = self._worth(whole)
        error = SURE * MEDIAN * self.spread / sqrt(answers)
        rise = shift - self.shift_before
        line = log(self.each / self.before) / 2
        if self.mode is STEADY:
            self._look(now, shift, error, answers)
        elif self.mode is HALVED:
            if rise <= line:
                self._to_worked(self.shift_before)
                self._steady(now, shift)
            elif now < self.useless_until:
                self._slower(now, shift)
            else:
                # Half as many out and no quicker: overdriven, or others have not halved, or slower for good.
                self._rest(now, RESTED, shift)
        elif self.mode is DRAINED:
            # A deep queue is not gone at a part of it: once more, until a drain shows little new.
            self.unsure, self.doubt_at = shift <= -2 * CLEAR, now + DOUBT
            # Answers under load would only raise it again, round by round.
            self.rests = ROUND_MOST
            self.each = self.before
            if rise <= -CLEAR:
                # It was slow from a queue all along.
                self._to_worked(-rise)
            lower = shift if rise <= -CLEAR or self.nodes == 1 else max(0.0, shift - error)
            self._shift_base(lower)
            self._steady(now, shift - lower)
        elif self.mode is RESTED:
            if shift <= self.shift_before / 2:
                if now - self.rested < TIPPED_REST:
                    self._to_worked(self.shift_before)
                else:
                    # Never back to what was too much: a second tip would be of this node's making.
                    # By what was out when all was well: since then the limit has fallen, maybe to the least.
                    tipped = max(self.before, self.well)
                    self.most, self.most_at = TIPPED * tipped, now
                    self.each = self.well = BACK * tipped
                    self.step = STEP_LEAST
                self.useless = USELESS
                self._steady(now, shift)
            elif now - self.rested < self._rest_span():
                self._begin(now, self._needs(self.shift_before / 2))
            else:
                self._useless(now, shift)
        elif rise <= line:
            self.step, self.hold = min(STEP_MOST, 2 * self.step), HOLD
            self.mode = STEADY
            if self.last_limited_at < self.began and self.demand is None:
                # Room that is not used is not known to be there, and all of it would be when backends go.
                self._spend(now)
                busy = self.used / max(1, now - self.began) / self.fleet
                self.each = max(self.before, min(self.each, UNUSED * busy))
            self._look(now, shift, error, answers)
        else:
            self._step_back(now)

    def _late(self, now):
        """Whether the round has had its time."""
        if self.mode is STEPPED:
            return now - self.began > self._step_span()
        if self.mode is HALVED:
            return now - self.began > HALF_SPAN + 2 * self.work
        return self.mode is not STEADY and now - self.rested > self._rest_span() + HALF_SPAN

    def _rest(self, now, mode, shift):
        self.mode, self.rested = mode, now
        # An overdriven backend works on as many as it has cores, and answers as if it had a part of them.
        out = (
            DRAIN * self.busy_before
            if mode is DRAINED
            else min(REST * self.busy_before, REST_WORKED * self.each * self.nodes * exp(-shift))
        )
        self.each, self.shift_before = out / self.nodes, shift
        self._begin(
            now + (SETTLE if mode is DRAINED and self.nodes > 1 else 0),
            self._needs(TWICE if mode is DRAINED else shift / 2),
        )

    def _useless(self, now, shift):
        self.useless_until = now + self.useless
        self.useless = min(USELESS_MOST, 2 * self.useless)
        self._slower(now, shift)

    def _rest_span(self):
        return REST_SPAN + (REST_MORE if self.nodes > 1 else 0)

    def _to_worked(self, shift):
        """As many out as are worked on and chance makes wait, when answers took `shift` longer."""
        worked = self.busy_before * exp(-shift)
        self.each = min(self.before, max(LEAST / self.nodes, (worked + sqrt(worked)) / self.nodes))

    def _slower(self, now, shift):
        """No queue: the backends take that much longer than they did."""
        self._shift_base(shift)
        self.each = self.before
        self._steady(now, 0.0)

    def _borne(self, each):
        """Not more than what once tipped backends over, for some time."""
        if self.most is None:
            return each
        return min(each, self.most * exp(FORGIVES * (self.spare_at - self.most_at)))

    def _part(self, weight):
        """The shift up to which answers weigh so much."""
        for shift, each in self.shifts:
            weight -= each
            if weight <= 0:
                break
        return shift

    def _worth(self, whole):
        """How many answers of equal work the round is worth (Kish 1965): few slow ones can make all of it."""
        squares = sum(weight * weight for _, weight in self.shifts)
        squares += sum(n * exp(2 * base) for n, base in zip(self.missing, self.base) if n)
        return whole * whole / squares

    def _give_up(self, now):
        """Most of the round is not back in time."""
        if self.mode is STEPPED:
            self._step_back(now)
        elif self.mode is RESTED:
            self._useless(now, self.shift_before)
        else:
            self.unsure = self.unsure and self.mode is not DRAINED
            self.each = self.before
            self._steady(now, self.shift_before)

    def _look(self, now, shift, error, answers):
        """A steady round is over: the unhurried latency follows, and a step is taken if there is one."""
        span = max(1, now - self.began)
        self.rate = self.size / max(1, self.closed - self.began)  # not until it was judged
        self._spend(now)
        # A short round of a node with half a trip shows one out all along; in the mean it keeps to its part.
        busy = min(self.used / span / self.fleet, self.each) * self.nodes
        # Of a low one only what is sure: all of it would let the base sink by chance, round by round.
        lower = min(0.0, shift + error)
        if self.rests < self._rests():
            lower = shift * answers / (self.rests + answers)
            self.rests += answers
        elif not lower and shift > 0 and busy < EASE * self.each * self.nodes:
            lower = shift * min(1.0, span / BASE_SPAN)
        self._shift_base(lower)
        shift -= lower
        # One round tells of a sudden queue, many of one that a round's noise would hide.
        self.seen -= lower
        self.seen += (shift - self.seen) * answers / (self.seen_in + answers)
        self.seen_in = min(ROUND_MOST, self.seen_in + answers)
        wide = SURE * MEDIAN * self.spread / sqrt(self.seen_in)
        sure = max(0.0, shift - error, self.seen - wide)
        worked = busy * exp(-sure)
        sees = self.demand is None or worked > QUEUE_SEEN or self.strain > BLIND * self.work
        self.queued = sees and busy - worked > QUEUE_SOME * sqrt(worked)
        self.clear = self.demand is None and not self.unsure and self.seen + wide <= CLEAR
        if self.queued:
            # What others fill must not be open to this node as well: unused, its part goes back.
            self.each = min(self.each, max(self._least(), UNUSED * busy / self.nodes))
            kept = (worked + QUEUE_KEPT * sqrt(worked)) / self.nodes
            if self.demand is None and kept < self.each:
                self.each = max(min(self.each, self._least()), (self.each + kept) / 2)
        most = STEP_NOISY if self.spread > NOISY else STEP_MOST
        within = min(
            ROUND_MOST, self._step_span() * answers / span
        )  # answers that a step has time for
        bound = self.began <= self.last_limited_at
        if self.unsure and self.rests >= min(BASE_RESTS, self._rests()):
            if self.first is None:
                self.first, self.doubt_at = busy, now + DOUBT
            elif busy > 2 * self.first and shift <= CLEAR and self.seen <= CLEAR:
                self.unsure = (
                    False  # with a queue, twice as many out would have been as much slower
                )
        steps = self._needs(most) <= within
        deep = self.queued and busy - worked > QUEUE * sqrt(worked)
        # What was unhurried may have been slow from a queue all along, if the limit bound all along.
        doubtful = (
            self.unsure
            and bound
            and self.first is not None
            and (deep or now >= self.doubt_at and (shift > CLEAR or self.hold > HOLD or not steps))
        )
        halves = self._needs(STEP_HALF) <= within * HALF_SPAN / self._step_span()
        told, part = (TWICE, DRAIN) if doubtful else (sure / 2, REST)
        rested = (
            self._rest_span() * part * exp(told) * answers / span
        )  # answers that a rest has time for
        if (
            doubtful or deep and sure > TWICE and not halves and now >= self.useless_until
        ) and self._needs(told) <= rested:
            self.before, self.busy_before = self.each, busy
            self._rest(now, *((DRAINED, shift) if doubtful else (RESTED, sure)))
            return
        if deep and halves:
            low = min(self.each, busy / self.nodes) / 2
            if self.demand is not None:
                low = max(self._least(), low)
            if low < self.each:
                self._move(now, HALVED, low, sure, busy, STEP_HALF)
                return
        elif (
            now >= self.hold_until
            and bound
            and steps
            and shift <= CLEAR
            and self._wanted()
            and (self.demand is not None or not self.queued and self.rests >= RESTS_STEP)
        ):
            # As small as the last one that failed allows, but no smaller than can be told from noise in time.
            step = self.step
            while self._needs(step) > within:
                step *= 1.25
            step = min(step, most)
            each = self._borne(self.each * exp(step))
            if log(each / self.each) > STEP_LEAST / 2:
                self._move(now, STEPPED, each, shift, busy, step)
                return
        self._steady(now, shift)

    def _needs(self, step):
        """Trips that tell a step from none at all."""
        return 1 + (2 * SURE * MEDIAN * self.spread / step) ** 2

    def _rests(self):
        """Trips until the unhurried latency is known; without shares, by how far answers differ."""
        if self.demand is not None:
            return BASE_RESTS
        return max(RESTS_STEP, min(ROUND_MOST, self._needs(CLEAR)))

    def _step_span(self):
        return STEP_SPAN + 2 * self.work

    def _wanted(self):
        """Whether tenants may ask for more than there is room for, as far as the settings tell."""
        return self.demand is None or self.current_limit() < GIVEN * self.demand * self.work

    def _move(self, now, mode, each, shift, busy, step):
        self.mode, self.before, self.each = mode, self.each, each
        self.seen_in = 0
        self.shift_before, self.busy_before = shift, busy
        alone = mode is STEPPED or self.nodes == 1
        needs = self._needs(step)
        if mode is STEPPED:
            # The first ones out are ahead of the rest in any queue: all that a step lets out must be judged.
            needs = max(needs, min((each - self.before) * self.fleet, self.rate * STEP_SPAN / 2))
        self._begin(now if alone else now + SETTLE, needs)

    def _steady(self, now, shift):
        if self.mode is not STEADY:
            self.seen_in = 0
        elif not self.queued:
            self.well = self.each
        self.mode, self.shift_before, self.before = STEADY, shift, self.each
        self._begin(now, min(self._needs(min(STEP_NOISY, self.step)), self.rate * ROUND_SPAN))

    def _step_back(self, now):
        self.step = max(STEP_LEAST, log(max(1.0, self.each / self.before)) / 2)
        self.each = min(self.each, self.before)
        self.hold_until = now + self.hold
        self.hold = min(HOLD_MOST, 2 * self.hold)
        self._steady(now, self.shift_before)

    def _shift_base(self, shift):
        self.base = [base + shift for base in self.base]
