"""What is rejected unparsed while the node is short of CPU: a threshold on queueing delay.

AIMD, as in TCP's congestion control and Netflix's concurrency limits, on the signal that CoDel
takes: not how much waits, nor how busy the CPU is, but the least that anything of the last
interval has waited. A burst, or clients that keep the CPU just busy, leave that small; a standing
queue does not. While it is over HIGH of the latency objective, the admitted share goes down by a
factor a step; under LOW it goes up by one. Both are factors: at ten times the load a tenth is
right, and a step must be small beside it. Times are tenths of a millisecond; the threshold is the
rejected share of arrivals.
"""

from collections.abc import Callable, Sequence

STEP = 100  # 10 ms; the threshold moves at most once in it
# of the latency objective, waited before any work: with the way there and back it is late
HIGH = 0.15
LOW = 0.06  # likewise, with capacity to spare: between the two the threshold stays
# times the admitted share, a step; half in 80 ms, a tenth in 0.3 s, as clients take to retry
DOWN = 0.92
UP = 1.035  # the same with capacity to spare; from 1/20 to all within 0.9 s of a surge's end
LEAST = 0.005  # admitted in any case: else there is no measure of whether it would be late
STEPS_MOST = 200  # steps that are caught up at once
DECAY = 0.9  # of each class's arrivals, a step, so that shares follow within 0.1 s
NEVER = float("inf")


class LoadShedder:
    """Rejects the least valuable arrivals while the threshold is above 0.

    `priority_weights`: of each request class, by its index; `chance`: returns a random float in
    [0, 1).

    Arrivals are of a shedding class: unknown clients before known ones, retries before first
    attempts, then by priority weight, the least first. A threshold of 0.3 rejects the first 30% in
    that order; within the class in which it lies, at random.
    """

    def __init__(self, priority_weights: Sequence[float], chance: Callable[[], float]):
        self.chance = chance
        self.threshold = 0.0
        order = sorted(set(priority_weights))
        # Shedding class by request class, whether it is a retry, and whether its client is known.
        self.classes = [
            [
                [
                    order.index(priority_weight) + len(order) * (first + 2 * known)
                    for known in (False, True)
                ]
                for first in (True, False)
            ]
            for priority_weight in priority_weights
        ]
        self.seen = [0.0] * (4 * len(order))  # arrivals of late, by shedding class
        self.parts = [0.0] * (4 * len(order))  # rejected share of each
        self.moved, self.least = None, NEVER

    def note_wait(self, now: int, share: float):
        """Notes that an admitted request has waited for this share of its latency objective."""
        if share < self.least:
            self.least = share
        if self.moved is None or now - self.moved >= STEP:
            self._move(now)

    def rejects(self, request_class: int, second: bool, known: bool = False) -> bool:
        """Decides on one arrival; `request_class`: its index, `second`: it is a retry."""
        of = self.classes[request_class][second][known]
        self.seen[of] += 1
        part = self.parts[of]
        return part > 0.0 and (part >= 1.0 or self.chance() < part)

    def _move(self, now):
        steps = 1 if self.moved is None else min(STEPS_MOST, (now - self.moved) // STEP)
        least, admitted = self.least, 1.0 - self.threshold
        self.moved, self.least = now, NEVER
        if least > HIGH:
            # Once, however long ago: it cannot tell a pause of this process.
            admitted = max(LEAST, admitted * DOWN)
        elif least < LOW:
            admitted = min(1.0, admitted * UP**steps)
        threshold = 1.0 - admitted
        decay = DECAY**steps
        self.seen = [seen * decay for seen in self.seen]
        if threshold or self.threshold:
            self.threshold = threshold
            self._spread()

    def _spread(self):
        """Sets the rejected share of each class from the threshold."""
        left = self.threshold * sum(self.seen)
        for of, seen in enumerate(self.seen):
            if not self.threshold:
                self.parts[of] = 0.0
            elif left >= seen > 0:
                self.parts[of] = 1.0
            else:
                self.parts[of] = left / seen if seen else 0.0
            left = max(0.0, left - seen)
        if self.threshold and not any(self.parts):
            self.parts = [self.threshold] * len(self.parts)  # no arrivals of late: at random
