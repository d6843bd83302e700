"""Searches, in probing rounds, for the number of attempts that the fleet can work on.

A steady round that shows no queue is followed by an increment of the limit, which is reverted if it
made answers slower. If a deep queue is suspected, the limit is halved to verify that the slow
answers are due to a queue. If half as many attempts are no quicker, the backends rest for some
seconds: overloaded ones recover, and the limit is then bounded below the one that overloaded them.
A node whose limit made requests wait from the start lowers it to let queues drain, in order to
measure answers that did not wait in a queue.
"""

from copy import copy
from enum import Enum
from math import exp, log

from pierglade.concurrency.capacity_estimate import (
    MAX_CLEAR_SHIFT,
    MIN_STEP_ANSWERS,
    UNCERTAINTY_SPAN,
    Assessment,
    CapacityEstimate,
    RoundResult,
)
from pierglade.concurrency.in_flight_budget import MAX_UNUSED_RATIO, InFlightBudget
from pierglade.concurrency.increment import (
    MAX_NOISY_STEP,
    MIN_HOLD_SPAN,
    MIN_STEP,
    Increment,
)
from pierglade.concurrency.overload_history import OverloadHistory
from pierglade.concurrency.probing_round import MAX_SIZE, MIN_SIZE, ProbingRound
from pierglade.model.ticks import Ticks

# Spans are ticks (tenths of a millisecond); shifts and steps are natural logarithms of ratios.
# A round at half the limit must be able to distinguish a step of this size.
HALVING_STEP = log(2) / 2
# Ticks (0.5 s). Minimum length of a steady round that waits for the next increment.
STEADY_SPAN: Ticks = 5000
# Ticks (1 s). Maximum length of a steady round, at the rate of the one before.
MAX_ROUND_SPAN: Ticks = 10000
# Ticks (0.8 s). Backends tolerate an overload this long; an increment that is not confirmed within
# it is reverted.
STEP_SPAN: Ticks = 8000
# Ticks (1 s). Within it the other nodes detect the same queue and halve their limits as well.
SETTLE_SPAN: Ticks = 10000
# Multiple of the unloaded attempts in flight that quotas allow. The search stops at this limit.
MAX_DEMAND_RATIO = 1.5
# Fraction of the attempts in flight before the halving. It leaves overloaded backends mostly idle,
# so that they recover.
REST_RATIO = 0.15
# Shift from which a rest is tried at once where a halving could not be evaluated.
DOUBLING_SHIFT = log(2)
# Ticks (2 s). Maximum time at half the limit; a longer one costs more throughput than the result
# is worth.
HALVED_SPAN: Ticks = 20000
# Fraction of the attempts in flight that remain while queues drain: few enough to leave no queue,
# enough to be evaluated.
DRAIN_RATIO = 0.3
# Fraction of the attempts in service, as derived from latencies. Bounds the limit during a rest,
# as REST_RATIO does.
REST_IN_SERVICE_RATIO = 0.5
# Ticks (4.5 s). Duration of a rest; overloaded backends recover after some three seconds.
REST_SPAN: Ticks = 45000
# Ticks (1.5 s). Extension of a rest if there are several nodes: the others may begin theirs that
# much later.
REST_EXTRA_SPAN: Ticks = 15000
# Ticks (2 s). If a rest makes answers quicker sooner than this, the cause was a queue and not an
# overload, even if other nodes halve their limits later.
MIN_OVERLOAD_SPAN: Ticks = 20000


class SearchMode(Enum):
    """The purpose of the current probing round."""

    STEADY = "steady"
    STEPPED = "stepped"
    HALVED = "halved"
    RESTED = "rested"
    DRAINED = "drained"


STEADY, STEPPED, HALVED, RESTED, DRAINED = SearchMode


class CapacitySearch:
    """Adjusts the limit of a budget, round by round.

    `demand` is how many requests quotas allow for this node per tick; None without quotas.
    """

    def __init__(
        self, budget: InFlightBudget, request_classes: int, now: Ticks, demand: float | None
    ) -> None:
        self.budget, self.demand = budget, demand
        self.estimate = CapacityEstimate(request_classes, now, is_uncertain=demand is None)
        self.rate = MAX_SIZE  # attempts per tick in steady rounds
        self.mode = STEADY
        self.previous_limit, self.previous_shift, self.previous_in_flight = (
            budget.per_backend,
            0.0,
            0.0,
        )
        self.rest_began_at = now
        self.increment, self.overload = Increment(now), OverloadHistory(now)
        self.round = ProbingRound(1, now, MIN_SIZE, request_classes)

    def successor(
        self,
        budget: InFlightBudget,
        now: Ticks,
        previous_indexes: list[int | None],
        demand: float | None,
    ) -> "CapacitySearch":
        """Returns a copy for another budget and other request classes, with a new round.

        `previous_indexes` has the old index of each request class, or None.
        """
        successor = copy(self)
        successor.budget, successor.demand = budget, demand
        successor.estimate = self.estimate.successor(previous_indexes)
        successor.increment, successor.overload = copy(self.increment), copy(self.overload)
        successor.round = ProbingRound(
            self.round.number, now, self.round.size, len(previous_indexes)
        )
        successor.begin_round(now, self.round.size)
        return successor

    def begin_round(self, now: Ticks, attempts: float) -> None:
        """Begins a round of about that many attempts."""
        self.budget.used = 0.0
        self.round = ProbingRound(self.round.number + 1, now, attempts, len(self.round.pending))

    def evaluate_round(self, now: Ticks) -> None:
        """Ends the round if enough of its attempts are answered, or its time is over."""
        probing_round = self.round
        is_overdue = self._is_overdue(now)
        if probing_round.unsent > 0 and not is_overdue:
            return
        is_on_hold = self.mode is STEADY and now < self.increment.hold_until
        if is_on_hold and now - probing_round.began_at < STEADY_SPAN:
            return
        if now < probing_round.evaluate_at and not is_overdue:
            return
        needs_all = self.mode in (RESTED, DRAINED)
        result = self.estimate.evaluate(now, probing_round, is_overdue, needs_all)
        if result is not None:
            self._end_round(now, result)
        elif is_overdue:
            self._abandon_round(now)

    def revert_step(self, now: Ticks) -> None:
        """Restores the limit before an increment, and delays the next one."""
        budget = self.budget
        self.increment.record_failure(now, budget.per_backend / self.previous_limit)
        budget.per_backend = min(budget.per_backend, self.previous_limit)
        self._become_steady(now, self.previous_shift)

    def begin_rest(self, now: Ticks, mode: SearchMode, shift: float) -> None:
        """Lowers the limit so that backends recover (RESTED) or have no queue (DRAINED)."""
        budget = self.budget
        self.mode, self.rest_began_at = mode, now
        # An overloaded backend works on one attempt per core, as slowly as if it had fewer cores.
        limit = (
            DRAIN_RATIO * self.previous_in_flight
            if mode is DRAINED
            else min(
                REST_RATIO * self.previous_in_flight,
                REST_IN_SERVICE_RATIO * budget.per_backend * budget.nodes * exp(-shift),
            )
        )
        budget.per_backend, self.previous_shift = limit / budget.nodes, shift
        self.begin_round(
            now + (SETTLE_SPAN if mode is DRAINED and budget.nodes > 1 else 0),
            self.estimate.attempts_needed(DOUBLING_SHIFT if mode is DRAINED else shift / 2),
        )

    # Methods that end a round, by search mode.

    def _end_round(self, now: Ticks, result: RoundResult) -> None:
        increase = result.shift - self.previous_shift
        tolerance = log(self.budget.per_backend / self.previous_limit) / 2
        if self.mode is STEADY:
            self._end_steady(now, result)
        elif self.mode is HALVED:
            self._end_halved(now, result.shift, increase <= tolerance)
        elif self.mode is DRAINED:
            self._end_drained(now, result, increase)
        elif self.mode is RESTED:
            self._end_rested(now, result.shift)
        elif increase <= tolerance:
            self._keep_step(now, result)
        else:
            self.revert_step(now)

    def _end_halved(self, now: Ticks, shift: float, is_quicker: bool) -> None:
        if is_quicker:
            self._limit_to_in_service(self.previous_shift)
            self._become_steady(now, shift)
        elif now < self.overload.next_rest_at:
            self._accept_slower(now, shift)
        else:
            # With half as many attempts, answers are no quicker: the backends are overloaded or
            # permanently slower, or the other nodes have not halved their limits.
            self.begin_rest(now, RESTED, shift)

    def _end_drained(self, now: Ticks, result: RoundResult, increase: float) -> None:
        estimate, shift = self.estimate, result.shift
        # A deep queue may remain even with a fraction of the attempts, so drains are repeated until
        # one shows little change.
        estimate.is_uncertain, estimate.doubtful_from = (
            shift <= -2 * MAX_CLEAR_SHIFT,
            now + UNCERTAINTY_SPAN,
        )
        # Answers under load would raise the unloaded latency again, round by round.
        estimate.round_answers = MAX_SIZE
        self.budget.per_backend = self.previous_limit
        if increase <= -MAX_CLEAR_SHIFT:
            # The answers were slow because of a queue from the start.
            self._limit_to_in_service(-increase)
        correction = (
            shift
            if increase <= -MAX_CLEAR_SHIFT or self.budget.nodes == 1
            else max(0.0, shift - result.error)
        )
        estimate.shift_base(correction)
        self._become_steady(now, shift - correction)

    def _end_rested(self, now: Ticks, shift: float) -> None:
        if shift <= self.previous_shift / 2:
            if now - self.rest_began_at < MIN_OVERLOAD_SPAN:
                self._limit_to_in_service(self.previous_shift)
            else:
                self.budget.per_backend = self.overload.record_overload(now, self.previous_limit)
                self.increment.step = MIN_STEP
            self.overload.record_successful_rest()
            self._become_steady(now, shift)
        elif now - self.rest_began_at < self._rest_span():
            self.begin_round(now, self.estimate.attempts_needed(self.previous_shift / 2))
        else:
            self.overload.record_failed_rest(now)
            self._accept_slower(now, shift)

    def _keep_step(self, now: Ticks, result: RoundResult) -> None:
        budget = self.budget
        self.increment.record_success()
        self.mode = STEADY
        if budget.last_limited_at < self.round.began_at and self.demand is None:
            # It is not proven that the backends have the capacity that was left unused, but all of
            # it would be used when backends are removed.
            budget.spend(now)
            mean_in_flight = budget.used / max(1, now - self.round.began_at) / budget.fleet_size
            budget.per_backend = max(
                self.previous_limit, min(budget.per_backend, MAX_UNUSED_RATIO * mean_in_flight)
            )
        self._end_steady(now, result)

    def _abandon_round(self, now: Ticks) -> None:
        """Ends a round in which most attempts were not answered in time."""
        if self.mode is STEPPED:
            self.revert_step(now)
        elif self.mode is RESTED:
            self.overload.record_failed_rest(now)
            self._accept_slower(now, self.previous_shift)
        else:
            estimate = self.estimate
            estimate.is_uncertain = estimate.is_uncertain and self.mode is not DRAINED
            self.budget.per_backend = self.previous_limit
            self._become_steady(now, self.previous_shift)

    def _accept_slower(self, now: Ticks, shift: float) -> None:
        """Concludes that there is no queue: the backends have become slower by `shift`."""
        self.estimate.shift_base(shift)
        self.budget.per_backend = self.previous_limit
        self._become_steady(now, 0.0)

    def _limit_to_in_service(self, shift: float) -> None:
        """Sets the limit to the attempts in service plus a random queue.

        The limit never exceeds the previous one. `shift` is that of the answers that waited in the
        queue.
        """
        limit = self.budget.limit_for_in_service(self.previous_in_flight * exp(-shift))
        self.budget.per_backend = min(self.previous_limit, limit)

    def _become_steady(self, now: Ticks, shift: float) -> None:
        estimate, limit = self.estimate, self.budget.per_backend
        if self.mode is not STEADY:
            estimate.mean_shift_answers = 0
        elif not estimate.is_queued:
            self.overload.healthy_limit = limit
        self.mode, self.previous_shift, self.previous_limit = STEADY, shift, limit
        needed = estimate.attempts_needed(min(MAX_NOISY_STEP, self.increment.step))
        self.begin_round(now, min(needed, self.rate * MAX_ROUND_SPAN))

    # Methods that decide on the next round after a steady one.

    def _end_steady(self, now: Ticks, result: RoundResult) -> None:
        """Updates the estimate, and begins a rest, a halving or an increment where needed."""
        assessment = self._assess(now, result)
        estimate = self.estimate
        if estimate.is_queued:
            self.budget.lower_while_queued(
                assessment.mean_in_flight, assessment.in_service, self.demand is not None
            )
        max_step = self.increment.max_step(estimate.spread)
        # Number of answers that arrive within the time for an increment.
        max_answers = min(MAX_SIZE, self._step_span() * assessment.answers / assessment.span)
        estimate.check_certainty(now, assessment, self.demand is not None)
        can_step = estimate.attempts_needed(max_step) <= max_answers
        is_deep = estimate.is_queued and assessment.is_queue_deep()
        has_bound = self.budget.has_bound_since(self.round.began_at)
        is_stuck = (
            assessment.shift > MAX_CLEAR_SHIFT
            or self.increment.hold_span > MIN_HOLD_SPAN
            or not can_step
        )
        is_doubtful = has_bound and estimate.is_doubtful(now, is_deep, is_stuck)
        can_halve = (
            estimate.attempts_needed(HALVING_STEP) <= max_answers * HALVED_SPAN / self._step_span()
        )
        needs_rest = is_doubtful or (
            is_deep
            and assessment.significant_shift > DOUBLING_SHIFT
            and not can_halve
            and now >= self.overload.next_rest_at
        )
        if needs_rest and self._try_rest(now, assessment, is_doubtful):
            return
        if is_deep and can_halve:
            if self._try_halving(now, assessment):
                return
        elif (
            can_step
            and self._may_step(now, assessment)
            and self._try_step(now, assessment, max_answers, max_step)
        ):
            return
        self._become_steady(now, assessment.shift)

    def _assess(self, now: Ticks, result: RoundResult) -> Assessment:
        budget, probing_round = self.budget, self.round
        # Updated only once the round has been evaluated.
        self.rate = probing_round.size / max(1, probing_round.last_sent_at - probing_round.began_at)
        usage = budget.usage_since(now, probing_round.began_at)
        return self.estimate.assess(result, usage, self.demand is not None)

    def _try_rest(self, now: Ticks, assessment: Assessment, is_doubtful: bool) -> bool:
        expected_shift, ratio = (
            (DOUBLING_SHIFT, DRAIN_RATIO)
            if is_doubtful
            else (assessment.significant_shift / 2, REST_RATIO)
        )
        # Number of answers that arrive within the time for a rest.
        max_answers = (
            self._rest_span() * ratio * exp(expected_shift) * assessment.answers / assessment.span
        )
        if self.estimate.attempts_needed(expected_shift) > max_answers:
            return False
        self.previous_limit, self.previous_in_flight = (
            self.budget.per_backend,
            assessment.mean_in_flight,
        )
        if is_doubtful:
            self.begin_rest(now, DRAINED, assessment.shift)
        else:
            self.begin_rest(now, RESTED, assessment.significant_shift)
        return True

    def _try_halving(self, now: Ticks, assessment: Assessment) -> bool:
        budget = self.budget
        halved_limit = min(budget.per_backend, assessment.mean_in_flight / budget.nodes) / 2
        if self.demand is not None:
            halved_limit = max(budget.min_per_backend(), halved_limit)
        if halved_limit >= budget.per_backend:
            return False
        self._change_limit(
            HALVED, halved_limit, assessment.significant_shift, assessment.mean_in_flight
        )
        needed = self.estimate.attempts_needed(HALVING_STEP)
        self.begin_round(now if budget.nodes == 1 else now + SETTLE_SPAN, needed)
        return True

    def _may_step(self, now: Ticks, assessment: Assessment) -> bool:
        estimate = self.estimate
        return (
            now >= self.increment.hold_until
            and self.budget.has_bound_since(self.round.began_at)
            and assessment.shift <= MAX_CLEAR_SHIFT
            # With quotas, the limit need not grow far beyond what tenants may send.
            and (
                self.demand is None
                or self.budget.limit() < MAX_DEMAND_RATIO * self.demand * estimate.mean_base_latency
            )
            and (
                self.demand is not None
                or (not estimate.is_queued and estimate.round_answers >= MIN_STEP_ANSWERS)
            )
        )

    def _try_step(
        self, now: Ticks, assessment: Assessment, max_answers: float, max_step: float
    ) -> bool:
        estimate, budget = self.estimate, self.budget
        step = self.increment.choose(estimate, max_answers, max_step)
        limit = self.overload.bounded(budget.per_backend * exp(step), budget.spare_at)
        if log(limit / budget.per_backend) <= MIN_STEP / 2:
            return False
        self._change_limit(STEPPED, limit, assessment.shift, assessment.mean_in_flight)
        # The attempts sent first wait the least in any queue, so the round must cover all attempts
        # that the increment adds.
        added = min((limit - self.previous_limit) * budget.fleet_size, self.rate * STEP_SPAN / 2)
        self.begin_round(now, max(estimate.attempts_needed(step), added))
        return True

    def _change_limit(
        self, mode: SearchMode, limit: float, shift: float, mean_in_flight: float
    ) -> None:
        self.mode, self.previous_limit, self.budget.per_backend = (
            mode,
            self.budget.per_backend,
            limit,
        )
        self.estimate.mean_shift_answers = 0
        self.previous_shift, self.previous_in_flight = shift, mean_in_flight

    # Spans.

    def _is_overdue(self, now: Ticks) -> bool:
        """Returns whether the time for the round is over."""
        if self.mode is STEPPED:
            return now - self.round.began_at > self._step_span()
        if self.mode is HALVED:
            return now - self.round.began_at > HALVED_SPAN + 2 * self.estimate.mean_base_latency
        return (
            self.mode is not STEADY and now - self.rest_began_at > self._rest_span() + HALVED_SPAN
        )

    def _rest_span(self) -> Ticks:
        return REST_SPAN + (REST_EXTRA_SPAN if self.budget.nodes > 1 else 0)

    def _step_span(self) -> float:
        return STEP_SPAN + 2 * self.estimate.mean_base_latency
