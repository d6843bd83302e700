"""Load shedding: rejects requests unparsed while the node is short of CPU.

The threshold follows the queueing delay by AIMD, as in TCP's congestion control and Netflix's
concurrency limits. Its signal is that of CoDel: not how much is queued, nor how busy the CPU is,
but the minimum wait within the last interval. A burst, or clients that keep the CPU just busy,
leave that small; a standing queue does not. While the minimum is over HIGH_WAIT_RATIO of the
latency objective, the admitted fraction decreases by a factor per step; under LOW_WAIT_RATIO it
increases by one. Both are factors: at ten times the load a tenth is right, and a step must be small
beside it. Times are ticks (tenths of a millisecond); the threshold is the rejected fraction of
arrivals.
"""

from collections.abc import Callable, Sequence

STEP_TICKS = 100  # 10 ms; the threshold changes at most once per step
# Fraction of the latency objective spent waiting before any work; with the network round trip the
# response is late beyond it.
HIGH_WAIT_RATIO = 0.15
# Fraction of the latency objective. Below it there is spare capacity; between the two ratios the
# threshold is not changed.
LOW_WAIT_RATIO = 0.06
# Factors of the admitted fraction per step.
DECREASE_FACTOR = 0.92  # a half in 80 ms, a tenth in 0.3 s, as fast as clients retry
INCREASE_FACTOR = 1.035  # from 1/20 to all within 0.9 s of a surge's end
# Fraction that is always admitted; without any, nothing tells whether requests would be late.
MIN_ADMITTED_RATIO = 0.005
MAX_STEPS = 200  # steps that are caught up at once
# Factor of each class's arrivals per step, so that the fractions follow within 0.1 s.
ARRIVAL_DECAY = 0.9
NEVER = float("inf")


class LoadShedder:
    """Rejects the least valuable arrivals while the threshold is above 0.

    Each arrival has a shedding class: unknown clients before known ones, retries before first
    attempts, then by priority weight, lowest first. A threshold of 0.3 rejects the first 30% in
    that order; within the class in which it falls, at random.

    Args:
        priority_weights: The priority weight of each request class, by its index.
        random_float: Returns a random float in [0, 1).
    """

    def __init__(self, priority_weights: Sequence[float], random_float: Callable[[], float]):
        self.random_float = random_float
        self.threshold = 0.0
        order = sorted(set(priority_weights))
        # Shedding class by request class, whether it is a retry, and whether its client is known.
        self.shedding_classes = [
            [
                [
                    order.index(priority_weight) + len(order) * (is_first + 2 * is_known)
                    for is_known in (False, True)
                ]
                for is_first in (True, False)
            ]
            for priority_weight in priority_weights
        ]
        self.recent_arrivals = [0.0] * (4 * len(order))  # decayed counts by shedding class
        self.rejected_ratios = [0.0] * (4 * len(order))  # by shedding class
        self.stepped_at, self.min_wait_ratio = None, NEVER

    def record_wait(self, now: int, wait_ratio: float):
        """Records that an admitted request waited for a fraction of its latency objective."""
        if wait_ratio < self.min_wait_ratio:
            self.min_wait_ratio = wait_ratio
        if self.stepped_at is None or now - self.stepped_at >= STEP_TICKS:
            self._step(now)

    def rejects(self, request_class: int, is_retry: bool, is_known: bool = False) -> bool:
        """Decides whether to reject an arrival.

        Args:
            request_class: The index of its request class.
            is_retry: Whether it is a retry.
            is_known: Whether its client is known.
        """
        shedding_class = self.shedding_classes[request_class][is_retry][is_known]
        self.recent_arrivals[shedding_class] += 1
        ratio = self.rejected_ratios[shedding_class]
        return ratio > 0.0 and (ratio >= 1.0 or self.random_float() < ratio)

    def _step(self, now):
        steps = (
            1 if self.stepped_at is None else min(MAX_STEPS, (now - self.stepped_at) // STEP_TICKS)
        )
        min_wait_ratio, admitted = self.min_wait_ratio, 1.0 - self.threshold
        self.stepped_at, self.min_wait_ratio = now, NEVER
        if min_wait_ratio > HIGH_WAIT_RATIO:
            # One step, however much time has passed: a pause of this process looks the same.
            admitted = max(MIN_ADMITTED_RATIO, admitted * DECREASE_FACTOR)
        elif min_wait_ratio < LOW_WAIT_RATIO:
            admitted = min(1.0, admitted * INCREASE_FACTOR**steps)
        threshold = 1.0 - admitted
        decay = ARRIVAL_DECAY**steps
        self.recent_arrivals = [arrivals * decay for arrivals in self.recent_arrivals]
        if threshold or self.threshold:
            self.threshold = threshold
            self._spread()

    def _spread(self):
        """Sets the rejected fraction of each shedding class from the threshold."""
        remaining = self.threshold * sum(self.recent_arrivals)
        for shedding_class, arrivals in enumerate(self.recent_arrivals):
            if not self.threshold:
                self.rejected_ratios[shedding_class] = 0.0
            elif remaining >= arrivals > 0:
                self.rejected_ratios[shedding_class] = 1.0
            else:
                self.rejected_ratios[shedding_class] = remaining / arrivals if arrivals else 0.0
            remaining = max(0.0, remaining - arrivals)
        if self.threshold and not any(self.rejected_ratios):
            # No recent arrivals: all classes are rejected at random.
            self.rejected_ratios = [self.threshold] * len(self.rejected_ratios)
