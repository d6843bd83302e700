"""Estimates the unloaded latency of each request class and the queues at the backends.

The unloaded latency is that of an answer which did not wait in a queue. A shift is the natural
logarithm of a latency over the unloaded latency. A strained answer took most of its latency
objective. Spans are ticks (tenths of a millisecond).
"""

from copy import copy
from dataclasses import dataclass
from math import exp, log, sqrt

from pierglade.concurrency.in_flight_budget import RoundUsage
from pierglade.concurrency.probing_round import MAX_SIZE, ProbingRound
from pierglade.model.ticks import Ticks

# Fraction of the latency objective. Slower answers count as strained, a sign that the fleet is
# close to its capacity.
STRAIN_RATIO = 0.75
# Spread of shifts above which answers count as noisy.
NOISY_SPREAD = 0.3
# Standard errors that a difference must exceed to count as significant. One wrong increment in
# fifteen is accepted, and is reverted a round later.
SIGNIFICANCE_ERRORS = 1.5
# Standard error of a median, as a multiple of that of a mean.
MEDIAN_ERROR_RATIO = 1.25
# Fraction of a round's answers. The distance from this quantile to the median is one standard
# deviation.
LOW_QUANTILE = 0.16
# Largest shift that is never attributed to a queue.
MAX_CLEAR_SHIFT = 0.25
# Multiple of the square root of the attempts in service. Random arrivals alone make this many
# attempts wait. More waiting attempts count as a queue, and the limit stops growing.
QUEUE_RATIO = 1.0
# Multiple of the square root of the attempts in service. With more waiting attempts the limit is
# halved, to check whether they are a queue.
DEEP_QUEUE_RATIO = 3.0
# Attempts in service per backend. With fewer, strained answers reveal a short queue early enough.
MIN_IN_SERVICE_FOR_QUEUE = 6.0
# Multiple of the unloaded latency. If answers count as strained only above it, they reveal a queue
# too late.
LATE_STRAIN_RATIO = 25.0
# Ticks (10 s). Span within which the unloaded latency is adjusted to slower answers.
BASE_LATENCY_SPAN: Ticks = 100000
# Answers after which the unloaded latency of a request class is known.
MIN_CLASS_ANSWERS = 32
# Answers in whole rounds before an increment; the spread of a single round of four answers is
# random.
MIN_STEP_ANSWERS = 16
# Answers in whole rounds after which the unloaded latency is known.
MIN_BASE_ANSWERS = 64
# Ticks (5 s). Where there is capacity, the attempts in flight double within this span.
UNCERTAINTY_SPAN: Ticks = 50000


@dataclass(slots=True)
class RoundResult:
    """The statistics of one round's answers."""

    shift: float
    """The median shift."""
    error: float
    """The error margin of the median shift."""
    answers: float
    """The number of answers of equal weight that the median is based on."""


@dataclass(slots=True)
class Assessment:
    """The result of comparing a steady round with the estimate."""

    shift: float
    """The median shift over the current unloaded latency."""
    significant_shift: float
    """The part of the shift that is statistically significant."""
    answers: float
    span: Ticks
    mean_in_flight: float
    in_service: float
    """The part of `mean_in_flight` that backends are processing; the other attempts wait."""

    def is_queue_deep(self) -> bool:
        """Returns whether so many attempts wait that the limit is to be halved."""
        return self.mean_in_flight - self.in_service > DEEP_QUEUE_RATIO * sqrt(self.in_service)


class CapacityEstimate:
    """Unloaded latencies and queues, learned from single answers and from steady rounds."""

    def __init__(self, request_classes: int, now: Ticks, is_uncertain: bool) -> None:
        # Natural logarithm of the unloaded latency of each request class.
        self.log_base_latencies = [0.0] * request_classes
        # Answers that the unloaded latency of each class is based on, up to MIN_CLASS_ANSWERS.
        self.class_answers = [0] * request_classes
        # Answers in whole rounds that the unloaded latencies are based on.
        self.round_answers = 0
        # Moving averages over requests: unloaded latency, and latency of a strained answer.
        self.mean_base_latency = 0.0
        self.mean_strain_latency = 0.0
        self.spread = NOISY_SPREAD / 2  # of shifts, as a standard deviation
        # Mean shift of steady rounds, and the answers that it is based on.
        self.mean_shift, self.mean_shift_answers = 0.0, 0
        # Whether the unloaded latencies may include a queue that was there from the start.
        self.is_uncertain = is_uncertain
        # Attempts in flight per backend when the unloaded latencies became known.
        self.first_in_flight, self.doubtful_from = None, now
        self.is_queue_free = False  # rounds show significantly that there is no queue
        self.is_queued = False  # more attempts wait at the backends than random arrivals explain

    def successor(self, previous_indexes: list[int | None]) -> "CapacityEstimate":
        """Returns a copy for other request classes, given the old index of each or None."""
        successor = copy(self)
        successor.log_base_latencies = [
            0.0 if index is None else self.log_base_latencies[index] for index in previous_indexes
        ]
        successor.class_answers = [
            0 if index is None else self.class_answers[index] for index in previous_indexes
        ]
        return successor

    def add_answer(
        self, request_class: int, log_latency: float, objective: Ticks, is_steady: bool
    ) -> float:
        """Records one answer; returns its weight, the unloaded latency of its class."""
        count = self.class_answers[request_class]
        if count < MIN_CLASS_ANSWERS and is_steady:
            self.class_answers[request_class] = count + 1
            self.log_base_latencies[request_class] += (
                log_latency - self.log_base_latencies[request_class]
            ) / (count + 1)
        # Answers are weighted by time, not by count: queues show in the request classes that occupy
        # the backends longest.
        weight = exp(self.log_base_latencies[request_class])
        self.mean_base_latency += (weight - self.mean_base_latency) / MIN_CLASS_ANSWERS
        self.mean_strain_latency += (
            STRAIN_RATIO * objective - self.mean_strain_latency
        ) / MIN_CLASS_ANSWERS
        return weight

    def evaluate(
        self, now: Ticks, probing_round: ProbingRound, is_overdue: bool, needs_all: bool
    ) -> RoundResult | None:
        """Returns the result of a round, or None if too few attempts have been answered.

        A round that is not overdue may be evaluated again later. With `needs_all`, an overdue round
        has no result either while pending attempts could change it, as the attempts answered in
        time are the quick ones.
        """
        total_weight = probing_round.total_weight(self.log_base_latencies)
        if 2 * probing_round.answered_weight < total_weight or not probing_round.shifts:
            return None
        shift, low_shift = (
            probing_round.shift_at(total_weight / 2),
            probing_round.shift_at(total_weight * LOW_QUANTILE),
        )
        slow_until = probing_round.slow_until(self.log_base_latencies, shift)
        if slow_until is not None and slow_until > now:
            if not is_overdue:
                probing_round.evaluate_at = slow_until
                return None
            if needs_all:
                return None
        # A wider spread applies at once, a narrower one gradually.
        spread = shift - low_shift
        self.spread = max(spread, self.spread + (spread - self.spread) / 4)
        answers = probing_round.effective_answers(self.log_base_latencies, total_weight)
        return RoundResult(shift, self.standard_error(answers), answers)

    def standard_error(self, answers: float) -> float:
        """Returns the error margin of the median shift, at SIGNIFICANCE_ERRORS."""
        return SIGNIFICANCE_ERRORS * MEDIAN_ERROR_RATIO * self.spread / sqrt(answers)

    def attempts_needed(self, step: float) -> float:
        """Returns how many attempts are needed to detect a step, given as a logarithm."""
        return 1 + (2 * SIGNIFICANCE_ERRORS * MEDIAN_ERROR_RATIO * self.spread / step) ** 2

    def base_answers_needed(self, has_demand: bool) -> float:
        """Returns the number of answers after which the unloaded latency is known.

        Without quotas, the number depends on the spread.
        """
        if has_demand:
            return MIN_BASE_ANSWERS
        return max(MIN_STEP_ANSWERS, min(MAX_SIZE, self.attempts_needed(MAX_CLEAR_SHIFT)))

    def shift_base(self, shift: float) -> None:
        """Moves all unloaded latencies by a shift."""
        self.log_base_latencies = [log_latency + shift for log_latency in self.log_base_latencies]

    def assess(self, result: RoundResult, usage: RoundUsage, has_demand: bool) -> Assessment:
        """Records a steady round: adjusts the unloaded latency and detects a queue."""
        shift, answers, mean_in_flight = result.shift, result.answers, usage.mean_in_flight
        # Only the significant part of a negative shift is applied; otherwise random variation would
        # make the unloaded latency drift down.
        correction = min(0.0, shift + result.error)
        if self.round_answers < self.base_answers_needed(has_demand):
            correction = shift * answers / (self.round_answers + answers)
            self.round_answers += answers
        elif not correction and shift > 0 and usage.is_unloaded:
            correction = shift * min(1.0, usage.span / BASE_LATENCY_SPAN)
        self.shift_base(correction)
        shift -= correction
        # A sudden queue shows in one round. A small one is hidden by the noise of a single round
        # and shows only in the mean of many.
        self.mean_shift -= correction
        self.mean_shift += (shift - self.mean_shift) * answers / (self.mean_shift_answers + answers)
        self.mean_shift_answers = min(MAX_SIZE, self.mean_shift_answers + answers)
        mean_error = self.standard_error(self.mean_shift_answers)
        significant_shift = max(0.0, shift - result.error, self.mean_shift - mean_error)
        in_service = mean_in_flight * exp(-significant_shift)
        can_detect_queue = (
            not has_demand
            or in_service > MIN_IN_SERVICE_FOR_QUEUE
            or self.mean_strain_latency > LATE_STRAIN_RATIO * self.mean_base_latency
        )
        self.is_queued = can_detect_queue and mean_in_flight - in_service > QUEUE_RATIO * sqrt(
            in_service
        )
        self.is_queue_free = (
            not has_demand
            and not self.is_uncertain
            and self.mean_shift + mean_error <= MAX_CLEAR_SHIFT
        )
        return Assessment(shift, significant_shift, answers, usage.span, mean_in_flight, in_service)

    def is_doubtful(self, now: Ticks, is_deep: bool, is_stuck: bool) -> bool:
        """Returns whether the unloaded latencies probably include time in a queue.

        This is possible if requests have been waiting because of the limit from the start.
        """
        return (
            self.is_uncertain
            and self.first_in_flight is not None
            and (is_deep or (now >= self.doubtful_from and is_stuck))
        )

    def check_certainty(self, now: Ticks, assessment: Assessment, has_demand: bool) -> None:
        """Marks the unloaded latencies certain once doubled attempts in flight were no slower."""
        if self.is_uncertain and self.round_answers >= min(
            MIN_BASE_ANSWERS, self.base_answers_needed(has_demand)
        ):
            if self.first_in_flight is None:
                self.first_in_flight, self.doubtful_from = (
                    assessment.mean_in_flight,
                    now + UNCERTAINTY_SPAN,
                )
            elif (
                assessment.mean_in_flight > 2 * self.first_in_flight
                and assessment.shift <= MAX_CLEAR_SHIFT
                and self.mean_shift <= MAX_CLEAR_SHIFT
            ):
                # With a queue, twice the attempts in flight would have taken twice as long.
                self.is_uncertain = False


def log_latency(latency: Ticks) -> float:
    """Returns the natural logarithm of a latency, which counts as one tick or more."""
    return log(max(1, latency))
