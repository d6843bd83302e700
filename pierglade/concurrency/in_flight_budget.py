"""Enforces the limit on attempts in flight as the mean over a short span.

The limit of one node may be less than a whole attempt.
"""

from dataclasses import dataclass
from math import sqrt

from pierglade.model.ticks import Ticks

# Attempts per backend, of all nodes together, before anything is learned.
INITIAL_LIMIT = 4.0
# Attempts per backend, of all nodes together. A backend processes some while others wait or are in
# transit.
MIN_LIMIT = 2.0
# Attempts per backend added to MIN_LIMIT; all of it applies if there are two backends per node.
MIN_LIMIT_EXTRA = 1.0
# Ticks (0.5 s). The limit applies to the mean over about this span, as the limit of a node may be
# less than one attempt.
AVERAGING_SPAN: Ticks = 5000
# Multiple of a limit of one or two attempts, plus one attempt: the most in flight at once while
# the mean is within the limit.
SMALL_PEAK_RATIO = 1.5
# Multiple of a larger limit, and attempts on top of it. From a limit of 15 on, the peak is the
# limit.
LARGE_PEAK_RATIO, LARGE_PEAK_EXTRA = 0.8, 3
# Fraction of the limit in use up to which answers are unloaded.
MAX_UNLOADED_RATIO = 0.5
# Multiple of the square root of the attempts in service. Length of the queue that is tolerated; the
# excess is halved in each round.
TOLERATED_QUEUE_RATIO = 2.0
# Multiple of the attempts in flight. Upper bound of the limit while there is a queue.
MAX_UNUSED_RATIO = 1.25
# Multiple of the peak that borrowing may reach. Requests that may borrow are few, so more attempts
# than this are not a burst of them.
BORROWING_PEAK_RATIO = 2.0


@dataclass(slots=True)
class RoundUsage:
    """The load on the backends during a round."""

    span: Ticks
    mean_in_flight: float
    """Mean attempts in flight per backend, of all nodes together."""
    is_unloaded: bool
    """Whether so few were in flight that no answer waited in a queue."""


class InFlightBudget:
    """Compares the attempts in flight with the limit, as a budget of attempts times ticks."""

    __slots__ = (
        "fleet_size",
        "healthy_backends",
        "in_flight",
        "last_limited_at",
        "nodes",
        "per_backend",
        "spare",
        "spare_at",
        "used",
    )

    def __init__(self, nodes: int, now: Ticks) -> None:
        self.nodes = nodes
        self.per_backend = INITIAL_LIMIT / nodes  # this node's limit for each healthy backend
        self.healthy_backends, self.fleet_size = 1, 1.0
        self.in_flight = 0
        self.spare, self.spare_at = 0.0, now  # attempts x ticks that the limit left unused
        self.used = 0.0  # attempts x ticks in the current probing round
        self.last_limited_at = -1  # when a request last waited because of the limit

    def limit(self) -> float:
        """Returns how many attempts this node may have in flight on average."""
        return self.per_backend * self.fleet_size

    def min_per_backend(self) -> float:
        """Returns the lowest limit for each backend.

        A node with many attempts distributes them evenly, so it may load each backend more than one
        of many nodes may.
        """
        return (
            MIN_LIMIT + MIN_LIMIT_EXTRA * min(1.0, self.fleet_size / self.nodes / 2)
        ) / self.nodes

    def spend(self, now: Ticks) -> None:
        """Accounts for the attempts in flight up to now."""
        limit, span = self.per_backend * self.fleet_size, now - self.spare_at
        self.used += self.in_flight * span
        self.spare = min(limit * AVERAGING_SPAN, self.spare + (limit - self.in_flight) * span)
        self.spare_at = now

    def usage_since(self, now: Ticks, began_at: Ticks) -> RoundUsage:
        """Returns the load on the backends in the round that began at `began_at`."""
        span = max(1, now - began_at)
        self.spend(now)
        # A node with a limit of half an attempt has one in flight for all of a short round, but
        # stays within its limit on average.
        mean_in_flight = min(self.used / span / self.fleet_size, self.per_backend) * self.nodes
        return RoundUsage(
            span,
            mean_in_flight,
            mean_in_flight < MAX_UNLOADED_RATIO * self.per_backend * self.nodes,
        )

    def limit_for_in_service(self, in_service: float) -> float:
        """Returns the limit per backend for the attempts in service plus a random queue."""
        return max(MIN_LIMIT / self.nodes, (in_service + sqrt(in_service)) / self.nodes)

    def lower_while_queued(
        self, mean_in_flight: float, in_service: float, has_demand: bool
    ) -> None:
        """Lowers the limit towards the attempts in service per backend, of all nodes together."""
        minimum, nodes = self.min_per_backend(), self.nodes
        # Other nodes may be using the capacity that this node left unused, so its limit is lowered
        # to little more than the attempts in flight.
        limit = min(self.per_backend, max(minimum, MAX_UNUSED_RATIO * mean_in_flight / nodes))
        tolerated = (in_service + TOLERATED_QUEUE_RATIO * sqrt(in_service)) / nodes
        if not has_demand and tolerated < limit:
            limit = max(min(limit, minimum), (limit + tolerated) / 2)
        self.per_backend = limit

    def has_bound_since(self, moment: Ticks) -> bool:
        """Returns whether a request had to wait because of the limit at or after that moment."""
        return moment <= self.last_limited_at

    def is_full(self, now: Ticks, may_borrow: bool) -> bool:
        """Returns whether a queued request has to wait.

        With `may_borrow`, it may use the budget of the requests queued behind it.
        """
        self.spend(now)
        limit = self.per_backend * self.fleet_size
        peak = min(
            SMALL_PEAK_RATIO * limit + 1, max(limit, LARGE_PEAK_RATIO * limit + LARGE_PEAK_EXTRA)
        )
        if (
            may_borrow
            and self.spare > -limit * AVERAGING_SPAN
            and self.in_flight < BORROWING_PEAK_RATIO * peak
        ):
            return False
        if self.spare >= 0 and self.in_flight < peak:
            return False
        # While the mean is within the limit, a burst that reaches the peak does not show that the
        # limit is too low.
        if self.spare <= 0 or peak <= limit:
            self.last_limited_at = now
        return True

    def opens_at(self, now: Ticks) -> Ticks | None:
        """Returns when the mean has capacity again if no attempt ends before, or None."""
        gain = self.limit() - self.in_flight
        return now + 1 - int(self.spare / gain) if self.spare < 0 and gain > 0 else None
