"""Chooses how large the next increment of the limit is, and when it may be tried."""

from math import log

from pierglade.concurrency.capacity_estimate import NOISY_SPREAD, CapacityEstimate
from pierglade.model.ticks import Ticks

# Steps are natural logarithms of the factor by which the limit grows.
# Largest step if the spread is low; the first answers then show whether an increment was too large.
MAX_STEP = log(3)
# Largest step if the spread is high. Exceeding the capacity by half for a round leaves no lasting
# queue.
MAX_NOISY_STEP = log(1.5)
# Smallest step; a smaller one gains little.
MIN_STEP = log(1.15)
# Ticks (1 s, 8 s). Initial and longest delay after a failed increment; doubled by each failure.
MIN_HOLD_SPAN, MAX_HOLD_SPAN = 10000, 80000


class Increment:
    """The next increment, derived from the results of earlier ones."""

    __slots__ = ("hold_span", "hold_until", "step")

    def __init__(self, now: Ticks) -> None:
        self.step = MAX_STEP
        self.hold_span, self.hold_until = MIN_HOLD_SPAN, now

    def record_success(self) -> None:
        """Doubles the step after an increment that made answers no slower."""
        self.step, self.hold_span = min(MAX_STEP, 2 * self.step), MIN_HOLD_SPAN

    def record_failure(self, now: Ticks, growth: float) -> None:
        """Halves the step of an increment to `growth` times the limit, and delays the next."""
        self.step = max(MIN_STEP, log(max(1.0, growth)) / 2)
        self.hold_until = now + self.hold_span
        self.hold_span = min(MAX_HOLD_SPAN, 2 * self.hold_span)

    def max_step(self, spread: float) -> float:
        """Returns the largest step for shifts with that spread."""
        return MAX_NOISY_STEP if spread > NOISY_SPREAD else MAX_STEP

    def choose(self, estimate: CapacityEstimate, max_answers: float, max_step: float) -> float:
        """Returns the step to take in a round that has time for `max_answers` answers."""
        # The step is as small as the last failure requires, but large enough to be distinguished
        # from noise.
        step = self.step
        while estimate.attempts_needed(step) > max_answers:
            step *= 1.25
        return min(step, max_step)
