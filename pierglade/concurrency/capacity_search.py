"""Searches, in probing rounds, for how many attempts the fleet can work on.

A round that shows no queue is followed by an increment of the limit, which is taken back where it
made answers slower. A deep queue halves the limit, to see whether what is slow is a queue at all.
Where half as many are no quicker the backends rest for some seconds: overloaded ones recover from
it, and are not sent as much again. A node that was full from its first moment on drains once, to
see answers that did not wait.
"""

from copy import copy
from enum import Enum
from math import exp, log

from pierglade.concurrency.capacity_estimate import (
    CLEAR,
    DOUBT,
    RESTS_STEP,
    Assessment,
    CapacityEstimate,
    RoundResult,
)
from pierglade.concurrency.in_flight_budget import UNUSED, InFlightBudget
from pierglade.concurrency.increment import (
    HOLD,
    STEP_LEAST,
    STEP_NOISY,
    Increment,
)
from pierglade.concurrency.overload_history import OverloadHistory
from pierglade.concurrency.probing_round import MAX_SIZE, MIN_SIZE, ProbingRound
from pierglade.model.ticks import Ticks

# Constants. Times are tenths of a millisecond; shifts are natural logarithms of times answers took.
# As sure as of such a step must it be that half as many in flight are no quicker.
STEP_HALF = log(2) / 2
STEADY_SPAN: Ticks = 5000  # 0.5 s; a round that waits for the next increment
# 1 s; a steady round takes no more, as far as the one before shows.
ROUND_SPAN: Ticks = 10000
# 0.8 s; an increment not known good by then is taken back: backends bear that long.
STEP_SPAN: Ticks = 8000
SETTLE: Ticks = 10000  # 1 s; the other nodes see the same queue and halve within it
GIVEN = 1.5  # times what quotas keep in flight unhurried; no more capacity than that is sought
REST = 0.15  # of what was in flight when half as many were no quicker; mostly idle, they recover
TWICE = log(2)  # shift from which a rest is tried at once where half as many could not be judged
HALF_SPAN: Ticks = 20000  # 2 s; half as many for longer costs more than it shows
DRAIN = 0.3  # of what is in flight; unhurried, and enough to be judged by
REST_WORKED = 0.5  # of how many are worked on, by what they answer; the same
REST_SPAN: Ticks = 45000  # 4.5 s; overloaded backends recover after some three seconds of it
REST_MORE: Ticks = 15000  # 1.5 s; with other nodes, which may begin theirs so much later
# 2 s; what was only a queue is gone sooner, even where others halve later.
OVERLOADED_REST: Ticks = 20000


class SearchMode(Enum):
    """What the current probing round is for."""

    STEADY = "steady"
    STEPPED = "stepped"
    HALVED = "halved"
    RESTED = "rested"
    DRAINED = "drained"


STEADY, STEPPED, HALVED, RESTED, DRAINED = SearchMode


class CapacitySearch:
    """Moves the limit of a budget, round by round.

    `demand` is what quotas let come to this node in a tenth of a millisecond; None: no quotas.
    """

    def __init__(
        self, budget: InFlightBudget, request_classes: int, now: Ticks, demand: float | None
    ) -> None:
        self.budget, self.demand = budget, demand
        self.estimate = CapacityEstimate(request_classes, now, is_uncertain=demand is None)
        self.rate = MAX_SIZE  # attempts in a tenth of a millisecond, in steady rounds
        self.mode = STEADY
        self.before, self.shift_before, self.busy_before = budget.per_backend, 0.0, 0.0
        self.rested = now
        self.increment, self.overload = Increment(now), OverloadHistory(now)
        self.round = ProbingRound(1, now, MIN_SIZE, request_classes)

    def successor(
        self, budget: InFlightBudget, now: Ticks, places: list[int | None], demand: float | None
    ) -> "CapacitySearch":
        """Returns a copy for another budget and other request classes, with a new round."""
        heir = copy(self)
        heir.budget, heir.demand = budget, demand
        heir.estimate = self.estimate.successor(places)
        heir.increment, heir.overload = copy(self.increment), copy(self.overload)
        heir.round = ProbingRound(self.round.number, now, self.round.size, len(places))
        heir.begin_round(now, self.round.size)
        return heir

    def begin_round(self, now: Ticks, attempts: float) -> None:
        """Begins a round of about so many attempts."""
        self.budget.used = 0.0
        self.round = ProbingRound(self.round.number + 1, now, attempts, len(self.round.missing))

    def judge(self, now: Ticks) -> None:
        """Ends the round if it has shown enough."""
        probe = self.round
        late = self._is_late(now)
        if probe.unsent > 0 and not late:
            return
        is_held = self.mode is STEADY and now < self.increment.hold_until
        if is_held and now - probe.began < STEADY_SPAN:
            return
        if now < probe.judge_at and not late:
            return
        needs_all = self.mode in (RESTED, DRAINED)
        result = self.estimate.evaluate(now, probe, late, needs_all)
        if result is not None:
            self._end_round(now, result)
        elif late:
            self._abandon_round(now)

    def take_back_step(self, now: Ticks) -> None:
        """Goes back to the limit before an increment, and waits before the next."""
        budget = self.budget
        self.increment.failed(now, budget.per_backend / self.before)
        budget.per_backend = min(budget.per_backend, self.before)
        self._become_steady(now, self.shift_before)

    def begin_rest(self, now: Ticks, mode: SearchMode, shift: float) -> None:
        """Lets so few out that backends recover (RESTED) or answer unhurried (DRAINED)."""
        budget = self.budget
        self.mode, self.rested = mode, now
        # An overloaded backend works on one a core, and answers as if it had part of them.
        limit = (
            DRAIN * self.busy_before
            if mode is DRAINED
            else min(
                REST * self.busy_before,
                REST_WORKED * budget.per_backend * budget.nodes * exp(-shift),
            )
        )
        budget.per_backend, self.shift_before = limit / budget.nodes, shift
        self.begin_round(
            now + (SETTLE if mode is DRAINED and budget.nodes > 1 else 0),
            self.estimate.attempts_needed(TWICE if mode is DRAINED else shift / 2),
        )

    # The end of a round, by its mode.

    def _end_round(self, now: Ticks, result: RoundResult) -> None:
        rise = result.shift - self.shift_before
        tolerated = log(self.budget.per_backend / self.before) / 2
        if self.mode is STEADY:
            self._end_steady(now, result)
        elif self.mode is HALVED:
            self._end_halved(now, result.shift, rise <= tolerated)
        elif self.mode is DRAINED:
            self._end_drained(now, result, rise)
        elif self.mode is RESTED:
            self._end_rested(now, result.shift)
        elif rise <= tolerated:
            self._keep_step(now, result)
        else:
            self.take_back_step(now)

    def _end_halved(self, now: Ticks, shift: float, is_quicker: bool) -> None:
        if is_quicker:
            self._limit_to_worked(self.shift_before)
            self._become_steady(now, shift)
        elif now < self.overload.useless_until:
            self._accept_slower(now, shift)
        else:
            # Half as many, no quicker: overloaded, or others have not halved, or slower for good.
            self.begin_rest(now, RESTED, shift)

    def _end_drained(self, now: Ticks, result: RoundResult, rise: float) -> None:
        estimate, shift = self.estimate, result.shift
        # A deep queue is not gone at a part of it: once more, until a drain shows little new.
        estimate.is_uncertain, estimate.doubt_at = shift <= -2 * CLEAR, now + DOUBT
        # Answers under load would only raise it again, round by round.
        estimate.round_answers = MAX_SIZE
        self.budget.per_backend = self.before
        if rise <= -CLEAR:
            # It was slow from a queue all along.
            self._limit_to_worked(-rise)
        lower = (
            shift if rise <= -CLEAR or self.budget.nodes == 1 else max(0.0, shift - result.error)
        )
        estimate.shift_base(lower)
        self._become_steady(now, shift - lower)

    def _end_rested(self, now: Ticks, shift: float) -> None:
        if shift <= self.shift_before / 2:
            if now - self.rested < OVERLOADED_REST:
                self._limit_to_worked(self.shift_before)
            else:
                self.budget.per_backend = self.overload.recovered(now, self.before)
                self.increment.step = STEP_LEAST
            self.overload.rest_helped()
            self._become_steady(now, shift)
        elif now - self.rested < self._rest_span():
            self.begin_round(now, self.estimate.attempts_needed(self.shift_before / 2))
        else:
            self.overload.rest_was_useless(now)
            self._accept_slower(now, shift)

    def _keep_step(self, now: Ticks, result: RoundResult) -> None:
        budget = self.budget
        self.increment.succeeded()
        self.mode = STEADY
        if budget.last_limited_at < self.round.began and self.demand is None:
            # Capacity that is not used is not known to be there, and all of it would be when
            # backends go.
            budget.spend(now)
            busy = budget.used / max(1, now - self.round.began) / budget.fleet
            budget.per_backend = max(self.before, min(budget.per_backend, UNUSED * busy))
        self._end_steady(now, result)

    def _abandon_round(self, now: Ticks) -> None:
        """Ends a round of which most is not answered in time."""
        if self.mode is STEPPED:
            self.take_back_step(now)
        elif self.mode is RESTED:
            self.overload.rest_was_useless(now)
            self._accept_slower(now, self.shift_before)
        else:
            estimate = self.estimate
            estimate.is_uncertain = estimate.is_uncertain and self.mode is not DRAINED
            self.budget.per_backend = self.before
            self._become_steady(now, self.shift_before)

    def _accept_slower(self, now: Ticks, shift: float) -> None:
        """Takes it that there is no queue: the backends are that much slower than they were."""
        self.estimate.shift_base(shift)
        self.budget.per_backend = self.before
        self._become_steady(now, 0.0)

    def _limit_to_worked(self, shift: float) -> None:
        """Lets out what is worked on and chance makes wait, when answers took `shift` longer."""
        limit = self.budget.limit_for_worked(self.busy_before * exp(-shift))
        self.budget.per_backend = min(self.before, limit)

    def _become_steady(self, now: Ticks, shift: float) -> None:
        estimate, limit = self.estimate, self.budget.per_backend
        if self.mode is not STEADY:
            estimate.mean_answers = 0
        elif not estimate.is_queued:
            self.overload.healthy_limit = limit
        self.mode, self.shift_before, self.before = STEADY, shift, limit
        needed = estimate.attempts_needed(min(STEP_NOISY, self.increment.step))
        self.begin_round(now, min(needed, self.rate * ROUND_SPAN))

    # What follows a steady round.

    def _end_steady(self, now: Ticks, result: RoundResult) -> None:
        """Lets the estimate follow, and takes a step if there is one."""
        view = self._assess(now, result)
        estimate = self.estimate
        if estimate.is_queued:
            self.budget.lower_while_queued(view.busy, view.worked, self.demand is not None)
        largest = self.increment.largest(estimate.spread)
        # Answers that an increment has time for.
        within = min(MAX_SIZE, self._step_span() * view.answers / view.span)
        estimate.check_certainty(now, view, self.demand is not None)
        can_step = estimate.attempts_needed(largest) <= within
        is_deep = estimate.is_queued and view.is_queue_deep()
        has_bound = self.budget.has_bound_since(self.round.began)
        is_stuck = view.shift > CLEAR or self.increment.hold > HOLD or not can_step
        is_doubtful = has_bound and estimate.is_doubtful(now, is_deep, is_stuck)
        can_halve = estimate.attempts_needed(STEP_HALF) <= within * HALF_SPAN / self._step_span()
        needs_rest = is_doubtful or (
            is_deep
            and view.sure_shift > TWICE
            and not can_halve
            and now >= self.overload.useless_until
        )
        if needs_rest and self._try_rest(now, view, is_doubtful):
            return
        if is_deep and can_halve:
            if self._try_halving(now, view):
                return
        elif can_step and self._may_step(now, view) and self._try_step(now, view, within, largest):
            return
        self._become_steady(now, view.shift)

    def _assess(self, now: Ticks, result: RoundResult) -> Assessment:
        budget, probe = self.budget, self.round
        # Not until it was judged.
        self.rate = probe.size / max(1, probe.last_sent_at - probe.began)
        usage = budget.usage_since(now, probe.began)
        return self.estimate.assess(result, usage, self.demand is not None)

    def _try_rest(self, now: Ticks, view: Assessment, is_doubtful: bool) -> bool:
        expected, part = (TWICE, DRAIN) if is_doubtful else (view.sure_shift / 2, REST)
        # Answers that a rest has time for.
        within = self._rest_span() * part * exp(expected) * view.answers / view.span
        if self.estimate.attempts_needed(expected) > within:
            return False
        self.before, self.busy_before = self.budget.per_backend, view.busy
        if is_doubtful:
            self.begin_rest(now, DRAINED, view.shift)
        else:
            self.begin_rest(now, RESTED, view.sure_shift)
        return True

    def _try_halving(self, now: Ticks, view: Assessment) -> bool:
        budget = self.budget
        half = min(budget.per_backend, view.busy / budget.nodes) / 2
        if self.demand is not None:
            half = max(budget.least_per_backend(), half)
        if half >= budget.per_backend:
            return False
        self._move(HALVED, half, view.sure_shift, view.busy)
        needed = self.estimate.attempts_needed(STEP_HALF)
        self.begin_round(now if budget.nodes == 1 else now + SETTLE, needed)
        return True

    def _may_step(self, now: Ticks, view: Assessment) -> bool:
        estimate = self.estimate
        return (
            now >= self.increment.hold_until
            and self.budget.has_bound_since(self.round.began)
            and view.shift <= CLEAR
            # Tenants may ask for more than the limit, as far as quotas say.
            and (self.demand is None or self.budget.limit() < GIVEN * self.demand * estimate.work)
            and (
                self.demand is not None
                or (not estimate.is_queued and estimate.round_answers >= RESTS_STEP)
            )
        )

    def _try_step(self, now: Ticks, view: Assessment, within: float, largest: float) -> bool:
        estimate, budget = self.estimate, self.budget
        step = self.increment.choose(estimate, within, largest)
        limit = self.overload.bounded(budget.per_backend * exp(step), budget.spare_at)
        if log(limit / budget.per_backend) <= STEP_LEAST / 2:
            return False
        self._move(STEPPED, limit, view.shift, view.busy)
        # The first ones sent are ahead in any queue: all that an increment lets out must
        # be judged.
        more = min((limit - self.before) * budget.fleet, self.rate * STEP_SPAN / 2)
        self.begin_round(now, max(estimate.attempts_needed(step), more))
        return True

    def _move(self, mode: SearchMode, limit: float, shift: float, busy: float) -> None:
        self.mode, self.before, self.budget.per_backend = mode, self.budget.per_backend, limit
        self.estimate.mean_answers = 0
        self.shift_before, self.busy_before = shift, busy

    # Spans.

    def _is_late(self, now: Ticks) -> bool:
        """Whether the round has had its time."""
        if self.mode is STEPPED:
            return now - self.round.began > self._step_span()
        if self.mode is HALVED:
            return now - self.round.began > HALF_SPAN + 2 * self.estimate.work
        return self.mode is not STEADY and now - self.rested > self._rest_span() + HALF_SPAN

    def _rest_span(self) -> Ticks:
        return REST_SPAN + (REST_MORE if self.budget.nodes > 1 else 0)

    def _step_span(self) -> float:
        return STEP_SPAN + 2 * self.estimate.work
