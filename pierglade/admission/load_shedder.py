"""Load shedding: rejects requests unparsed while the node is short of CPU.

The threshold is the rejected fraction of arrivals. It follows the queueing delay much like AIMD in
TCP's congestion control and Netflix's concurrency limits. The input is that of CoDel: neither the
queue length nor the CPU load, but the minimum wait within the last interval. It stays small during
a burst or while clients just saturate the CPU, but not with a standing queue. While the minimum is
over HIGH_WAIT_RATIO of the latency objective, the admitted fraction is multiplied by
DECREASE_FACTOR per step; under LOW_WAIT_RATIO it is multiplied by INCREASE_FACTOR. Unlike in AIMD,
both changes are multiplicative: at ten times the load the right fraction is a tenth, and a step
must be small compared with that. Times are ticks (tenths of a millisecond).
"""

from collections.abc import Callable, Sequence

STEP_TICKS = 100  # 10 ms; the threshold changes at most once per step
# Fraction of the latency objective that a request may wait before it is processed; beyond it, the
# response is late, given the network round trip.
HIGH_WAIT_RATIO = 0.15
# Fraction of the latency objective. Below it there is spare capacity; between the two ratios the
# threshold is not changed.
LOW_WAIT_RATIO = 0.06
# Factors of the admitted fraction per step.
DECREASE_FACTOR = 0.92  # reaches a half in 80 ms and a tenth in 0.3 s, as fast as clients retry
INCREASE_FACTOR = 1.035  # from 1/20 to all within 0.9 s after a surge
# Fraction that is always admitted; with no admitted requests, their delay could not be measured.
MIN_ADMITTED_RATIO = 0.005
MAX_STEPS = 200  # maximum number of missed steps that are applied at once
# Factor per step for the recent arrivals of each class, so that the fractions adapt within 0.1 s.
ARRIVAL_DECAY = 0.9
NEVER = float("inf")


class LoadShedder:
    """Rejects the least valuable arrivals while the threshold is above 0.

    Each arrival has a shedding class: unknown clients before known ones, retries before first
    attempts, then by priority weight, lowest first. A threshold of 0.3 rejects the first 30% in
    that order; within the class that contains the limit, arrivals are rejected at random.

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
            # Only one step, however much time has passed: a pause of this process causes waits too.
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
