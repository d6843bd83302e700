"""How large the next increment of the limit is, and when it may be tried."""

from math import log

from pierglade.concurrency.capacity_estimate import NOISY, CapacityEstimate
from pierglade.model.ticks import Ticks

# Constants. Steps are natural logarithms of how many times as many are let out.
STEP_MOST = log(3)  # where answers hardly differ, an increment is judged by the first ones
STEP_NOISY = log(1.5)  # else; overshoot by half for a round fills no queue that lasts
STEP_LEAST = log(1.15)  # a smaller one gains little
HOLD, HOLD_MOST = 10000, 80000  # 1 s, 8 s; between increments that failed, doubled


class Increment:
    """The next increment, by how those before it went."""

    __slots__ = ("hold", "hold_until", "step")

    def __init__(self, now: Ticks) -> None:
        self.step = STEP_MOST
        self.hold, self.hold_until = HOLD, now

    def succeeded(self) -> None:
        """Doubles the step after one that made answers no slower."""
        self.step, self.hold = min(STEP_MOST, 2 * self.step), HOLD

    def failed(self, now: Ticks, growth: float) -> None:
        """Halves the step after one to `growth` times the limit, and waits before the next."""
        self.step = max(STEP_LEAST, log(max(1.0, growth)) / 2)
        self.hold_until = now + self.hold
        self.hold = min(HOLD_MOST, 2 * self.hold)

    def largest(self, spread: float) -> float:
        """Returns the largest step where shifts have that spread."""
        return STEP_NOISY if spread > NOISY else STEP_MOST

    def choose(self, estimate: CapacityEstimate, within: float, largest: float) -> float:
        """Returns the step to take, where a round has time for `within` answers."""
        # As small as the last failed one allows, but not too small to be seen in the noise.
        step = self.step
        while estimate.attempts_needed(step) > within:
            step *= 1.25
        return min(step, largest)
