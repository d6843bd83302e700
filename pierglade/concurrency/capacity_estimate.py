"""What is known of the fleet: unhurried latencies, strained answers, and queues at the backends.

Shifts are natural logarithms of a latency over the unhurried one. Spans are whole tenths of a
millisecond.
"""

from copy import copy
from dataclasses import dataclass
from math import exp, log, sqrt

from pierglade.concurrency.in_flight_budget import RoundUsage
from pierglade.concurrency.probing_round import MAX_SIZE, ProbingRound
from pierglade.model.ticks import Ticks

# Constants.
STRAIN = 0.75  # share of the latency objective; slower answers mean that the fleet is filling up
NOISY = 0.3  # spread of shifts beyond which answers differ
SURE = 1.5  # standard errors; one wrong increment in fifteen is taken back a round later
MEDIAN = 1.25  # times the standard error of a mean; that of a median
LOW_PART = 0.16  # share of a round's answers; up to the median they span one standard deviation
CLEAR = 0.25  # shift over unhurried answers up to which no queue is seen, whatever its cause
# Times the root of how many are worked on may wait while the limit grows; chance fills it.
QUEUE_SOME = 1.0
QUEUE = 3.0  # the same before the limit is halved to see whether it is a queue
# Worked on at each backend; with fewer, strain shows soon enough that a few wait.
QUEUE_SEEN = 6.0
BLIND = 25.0  # times unhurried answers; strain that begins there comes too late to show a queue
BASE_SPAN: Ticks = 100000  # 10 s; the unhurried latency follows slower answers within this
BASE_FIRST = 32  # answers until a request class's unhurried latency is known
RESTS_STEP = (
    16  # attempts in whole rounds until an increment; the spread of one round of four is luck
)
BASE_RESTS = 64  # attempts in whole rounds until the unhurried latency is known
DOUBT: Ticks = 50000  # 5 s; where there is capacity twice as many are in flight within it


@dataclass(slots=True)
class RoundResult:
    """What the answers of a round showed."""

    shift: float
    """The median shift."""
    error: float
    """By how much it may be wrong."""
    answers: float
    """How many answers of equal weight it rests on."""


@dataclass(slots=True)
class Assessment:
    """A steady round seen against all that is known."""

    shift: float
    """The median shift over the unhurried latency as it is known now."""
    sure_shift: float
    """The part of it that is no chance."""
    answers: float
    span: Ticks
    busy: float
    worked: float
    """How many of `busy` are worked on; others wait."""

    def is_queue_deep(self) -> bool:
        """Whether so many wait that the limit is to be halved."""
        return self.busy - self.worked > QUEUE * sqrt(self.worked)


class CapacityEstimate:
    """Unhurried latencies and queues, learned from single answers and from steady rounds."""

    def __init__(self, request_classes: int, now: Ticks, is_uncertain: bool) -> None:
        self.base = [0.0] * request_classes  # log of the unhurried latency
        self.answers = [0] * request_classes  # how many that rests on, up to BASE_FIRST
        self.round_answers = 0  # answers of whole rounds that it rests on
        self.work = 0.0  # unhurried latency, in the mean of what is requested
        self.strain = 0.0  # latency from which on an answer strains, in the same mean
        self.spread = NOISY / 2  # of shifts, as of a standard deviation
        self.mean_shift, self.mean_answers = 0.0, 0  # of steady rounds, and what it rests on
        # Whether unhurried answers may have been slow from a queue all along.
        self.is_uncertain = is_uncertain
        # How few were in flight since unhurried answers are known.
        self.first_busy, self.doubt_at = None, now
        self.is_clear = False  # rounds are sure that no queue is there
        self.is_queued = False  # more wait at the backends than chance makes wait

    def successor(self, places: list[int | None]) -> "CapacityEstimate":
        """Returns a copy for other request classes; `places` has the old place of each, or None."""
        heir = copy(self)
        heir.base = [0.0 if place is None else self.base[place] for place in places]
        heir.answers = [0 if place is None else self.answers[place] for place in places]
        return heir

    def add_answer(
        self, request_class: int, log_latency: float, objective: Ticks, is_steady: bool
    ) -> float:
        """Takes in one answer; returns its weight, the unhurried latency of its class."""
        seen = self.answers[request_class]
        if seen < BASE_FIRST and is_steady:
            self.answers[request_class] = seen + 1
            self.base[request_class] += (log_latency - self.base[request_class]) / (seen + 1)
        # By time, not by answers: the request classes that fill the backends show what waits.
        weight = exp(self.base[request_class])
        self.work += (weight - self.work) / BASE_FIRST
        self.strain += (STRAIN * objective - self.strain) / BASE_FIRST
        return weight

    def evaluate(
        self, now: Ticks, probe: ProbingRound, is_late: bool, needs_all: bool
    ) -> RoundResult | None:
        """Returns what a round showed; None if not enough (yet, where it is not late).

        With `needs_all` those answered in time prove nothing: they are the quick ones.
        """
        whole = probe.total_weight(self.base)
        if 2 * probe.answered_weight < whole or not probe.shifts:
            return None
        shift, low = probe.shift_at(whole / 2), probe.shift_at(whole * LOW_PART)
        slow_until = probe.slow_until(self.base, shift)
        if slow_until is not None and slow_until > now:
            if not is_late:
                probe.judge_at = slow_until
                return None
            if needs_all:
                return None
        # A wider spread counts at once.
        spread = shift - low
        self.spread = max(spread, self.spread + (spread - self.spread) / 4)
        answers = probe.effective_answers(self.base, whole)
        return RoundResult(shift, self.standard_error(answers), answers)

    def standard_error(self, answers: float) -> float:
        """By how much the median shift of so many answers may be wrong, at SURE."""
        return SURE * MEDIAN * self.spread / sqrt(answers)

    def attempts_needed(self, step: float) -> float:
        """Returns how many attempts can distinguish a step, as a logarithm, from none at all."""
        return 1 + (2 * SURE * MEDIAN * self.spread / step) ** 2

    def base_answers_needed(self, has_demand: bool) -> float:
        """Attempts until the unhurried latency is known; without quotas, by the spread."""
        if has_demand:
            return BASE_RESTS
        return max(RESTS_STEP, min(MAX_SIZE, self.attempts_needed(CLEAR)))

    def shift_base(self, shift: float) -> None:
        """Moves all unhurried latencies by a shift."""
        self.base = [base + shift for base in self.base]

    def assess(self, result: RoundResult, usage: RoundUsage, has_demand: bool) -> Assessment:
        """Takes in a steady round: the unhurried latency follows, and a queue is seen or not."""
        shift, answers, busy = result.shift, result.answers, usage.busy
        # Of a low shift only what is sure: all of it would let the base sink by chance.
        lower = min(0.0, shift + result.error)
        if self.round_answers < self.base_answers_needed(has_demand):
            lower = shift * answers / (self.round_answers + answers)
            self.round_answers += answers
        elif not lower and shift > 0 and usage.is_at_ease:
            lower = shift * min(1.0, usage.span / BASE_SPAN)
        self.shift_base(lower)
        shift -= lower
        # One round shows a sudden queue, many show one that a round's noise would hide.
        self.mean_shift -= lower
        self.mean_shift += (shift - self.mean_shift) * answers / (self.mean_answers + answers)
        self.mean_answers = min(MAX_SIZE, self.mean_answers + answers)
        mean_error = self.standard_error(self.mean_answers)
        sure = max(0.0, shift - result.error, self.mean_shift - mean_error)
        worked = busy * exp(-sure)
        sees = not has_demand or worked > QUEUE_SEEN or self.strain > BLIND * self.work
        self.is_queued = sees and busy - worked > QUEUE_SOME * sqrt(worked)
        self.is_clear = (
            not has_demand and not self.is_uncertain and self.mean_shift + mean_error <= CLEAR
        )
        return Assessment(shift, sure, answers, usage.span, busy, worked)

    def is_doubtful(self, now: Ticks, is_deep: bool, is_stuck: bool) -> bool:
        """Whether unhurried answers may have been slow from a queue, if the limit always bound."""
        return (
            self.is_uncertain
            and self.first_busy is not None
            and (is_deep or (now >= self.doubt_at and is_stuck))
        )

    def check_certainty(self, now: Ticks, view: Assessment, has_demand: bool) -> None:
        """Ends the doubt in unhurried latencies once twice as many in flight were no slower."""
        if self.is_uncertain and self.round_answers >= min(
            BASE_RESTS, self.base_answers_needed(has_demand)
        ):
            if self.first_busy is None:
                self.first_busy, self.doubt_at = view.busy, now + DOUBT
            elif (
                view.busy > 2 * self.first_busy and view.shift <= CLEAR and self.mean_shift <= CLEAR
            ):
                # With a queue, twice as many in flight would have been as much slower.
                self.is_uncertain = False


def log_latency(latency: Ticks) -> float:
    """Returns the natural logarithm of a latency of one tick or more."""
    return log(max(1, latency))
