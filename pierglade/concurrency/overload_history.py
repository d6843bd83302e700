"""What rests have shown: the limit that overloaded the backends, and rests that did not help."""

from math import exp, log

from pierglade.model.ticks import Ticks

# Constants. Times are tenths of a millisecond.
BACK = 0.5  # of what was in flight before; what a limit begins with after a rest that helped
OVERLOADED = 0.85  # of what was in flight before; no more than that is let out for long after
FORGIVES = log(1.07) / 600000  # in a tenth of a millisecond; this bound grows by 7% a minute
# 1 min, 10 min; no rest again after one that did not help, doubled each time.
USELESS, USELESS_MOST = 600000, 6000000


class OverloadHistory:
    """Bounds the limit after an overload, and keeps rests that do not help apart."""

    __slots__ = ("healthy_limit", "overload_limit", "overloaded_at", "useless", "useless_until")

    def __init__(self, now: Ticks) -> None:
        self.healthy_limit = 0.0  # a backend, when the last round without a queue was over
        # The limit a backend that overloaded them, less a part.
        self.overload_limit, self.overloaded_at = None, now
        self.useless, self.useless_until = USELESS, now

    def bounded(self, limit: float, now: Ticks) -> float:
        """Returns a limit a backend, at most what once overloaded the backends, for some time."""
        if self.overload_limit is None:
            return limit
        return min(limit, self.overload_limit * exp(FORGIVES * (now - self.overloaded_at)))

    def recovered(self, now: Ticks, before: float) -> float:
        """Takes in that a rest helped; returns the limit to begin with again.

        Never back to what was too much: a second overload would be caused by this node. By the
        limit when all was well: since then it has fallen, maybe to the least.
        """
        overload = max(before, self.healthy_limit)
        self.overload_limit, self.overloaded_at = OVERLOADED * overload, now
        self.healthy_limit = BACK * overload
        return self.healthy_limit

    def rest_was_useless(self, now: Ticks) -> None:
        """Puts off the next rest, for twice as long each time."""
        self.useless_until = now + self.useless
        self.useless = min(USELESS_MOST, 2 * self.useless)

    def rest_helped(self) -> None:
        """Ends the doubling after rests that did not help."""
        self.useless = USELESS
