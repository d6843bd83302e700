"""Records the results of rests: the limit that overloaded the backends, and failed rests."""

from math import exp, log

from pierglade.model.ticks import Ticks

# Fraction of the limit before the overload, with which a node resumes after a rest that helped.
RECOVERY_RATIO = 0.5
# Fraction of the limit before the overload that bounds the limit for a long time afterwards.
OVERLOAD_BOUND_RATIO = 0.85
# Logarithm per tick. Growth of the bound after an overload, 7% a minute.
OVERLOAD_BOUND_GROWTH = log(1.07) / 600000
# Ticks (1 min, 10 min). Delay of the next rest after one that did not help; doubled each time.
MIN_REST_DELAY, MAX_REST_DELAY = 600000, 6000000


class OverloadHistory:
    """Bounds the limit after an overload, and delays the next rest after one that failed."""

    __slots__ = ("healthy_limit", "next_rest_at", "overload_limit", "overloaded_at", "rest_delay")

    def __init__(self, now: Ticks) -> None:
        self.healthy_limit = 0.0  # per backend, at the end of the last round without a queue
        # Limit per backend that overloaded the backends, reduced by OVERLOAD_BOUND_RATIO.
        self.overload_limit, self.overloaded_at = None, now
        self.rest_delay, self.next_rest_at = MIN_REST_DELAY, now

    def bounded(self, limit: float, now: Ticks) -> float:
        """Returns `limit` (per backend), bounded for some time after an overload."""
        if self.overload_limit is None:
            return limit
        return min(
            limit, self.overload_limit * exp(OVERLOAD_BOUND_GROWTH * (now - self.overloaded_at))
        )

    def record_overload(self, now: Ticks, previous_limit: float) -> float:
        """Records that a rest ended an overload; returns the limit to resume with.

        The limit that was too high is never restored, as it would cause a second overload. The
        bound is derived from the limit of the last healthy round, because the limit may have fallen
        to its minimum since then.
        """
        overload = max(previous_limit, self.healthy_limit)
        self.overload_limit, self.overloaded_at = OVERLOAD_BOUND_RATIO * overload, now
        self.healthy_limit = RECOVERY_RATIO * overload
        return self.healthy_limit

    def record_failed_rest(self, now: Ticks) -> None:
        """Delays the next rest; the delay doubles with each failed one."""
        self.next_rest_at = now + self.rest_delay
        self.rest_delay = min(MAX_REST_DELAY, 2 * self.rest_delay)

    def record_successful_rest(self) -> None:
        """Resets the delay that failed rests doubled."""
        self.rest_delay = MIN_REST_DELAY
