"""Holds the limit in the mean of a short span: a node's part may be half an attempt."""

from dataclasses import dataclass
from math import sqrt

from pierglade.model.ticks import Ticks

# Constants.
FIRST = 4.0  # attempts a backend, of all nodes together; before anything was learned
# Attempts a backend, of all nodes together; it works on some while others wait or travel.
LEAST = 2.0
OWN = 1.0  # attempts a backend more, in full where there are two backends for each node
# 0.5 s; the limit holds in the mean of about this, as a node's part may be under one.
SPAN: Ticks = 5000
# Times a limit of an attempt or two, and one more: in flight at once while the mean allows.
PEAK_SMALL = 1.5
# Times a limit of some attempts, and attempts; from 15 on the limit itself.
PEAK_LARGE, PEAK_MORE = 0.8, 3
EASE = 0.5  # share of the limit in use up to which answers are unhurried
QUEUE_KEPT = 2.0  # times the root of how many are worked on; left waiting, halved round by round
UNUSED = 1.25  # times what is in flight; no more is kept open while a queue is seen
AHEAD = 2.0  # times that peak; what goes ahead is little, and more than this is no burst of it


@dataclass(slots=True)
class RoundUsage:
    """How busy the backends were in a round."""

    span: Ticks
    busy: float
    """Attempts in flight for each backend, of all nodes together, in the mean."""
    is_at_ease: bool
    """So few in flight that answers were unhurried."""


class InFlightBudget:
    """Attempts in flight against the limit, as a budget of attempts times ticks."""

    __slots__ = (
        "fleet",
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
        self.per_backend = FIRST / nodes  # the limit of this node for each healthy backend
        self.healthy_backends, self.fleet = 1, 1.0
        self.in_flight = 0
        self.spare, self.spare_at = 0.0, now  # attempts x ticks that the limit has left over
        self.used = 0.0  # attempts x ticks, in this probing round
        self.last_limited_at = -1  # when something last waited because of the limit

    def limit(self) -> float:
        """Returns how many attempts this node may have in flight, in the mean."""
        return self.per_backend * self.fleet

    def least_per_backend(self) -> float:
        """Returns the lowest limit for each backend.

        With many attempts of its own a node evens them out, and may fill backends more than one of
        many nodes.
        """
        return (LEAST + OWN * min(1.0, self.fleet / self.nodes / 2)) / self.nodes

    def spend(self, now: Ticks) -> None:
        """Accounts for what was in flight up to now."""
        limit, span = self.per_backend * self.fleet, now - self.spare_at
        self.used += self.in_flight * span
        self.spare = min(limit * SPAN, self.spare + (limit - self.in_flight) * span)
        self.spare_at = now

    def usage_since(self, now: Ticks, began: Ticks) -> RoundUsage:
        """Returns how busy the backends were in the round that began then."""
        span = max(1, now - began)
        self.spend(now)
        # A short round of a node with half an attempt shows one in flight all along; in the mean it
        # keeps to its part.
        busy = min(self.used / span / self.fleet, self.per_backend) * self.nodes
        return RoundUsage(span, busy, busy < EASE * self.per_backend * self.nodes)

    def limit_for_worked(self, worked: float) -> float:
        """Returns a limit a backend for what is worked on and what chance makes wait."""
        return max(LEAST / self.nodes, (worked + sqrt(worked)) / self.nodes)

    def lower_while_queued(self, busy: float, worked: float, has_demand: bool) -> None:
        """Lowers the limit towards what is worked on, of `busy` attempts a backend of all nodes."""
        least, nodes = self.least_per_backend(), self.nodes
        # What others fill must not be open to this node as well: unused, its part goes back.
        limit = min(self.per_backend, max(least, UNUSED * busy / nodes))
        kept = (worked + QUEUE_KEPT * sqrt(worked)) / nodes
        if not has_demand and kept < limit:
            limit = max(min(limit, least), (limit + kept) / 2)
        self.per_backend = limit

    def has_bound_since(self, moment: Ticks) -> bool:
        """Whether something had to wait for the limit since then."""
        return moment <= self.last_limited_at

    def is_full(self, now: Ticks, ahead: bool) -> bool:
        """Whether what waits has to wait; `ahead` borrows from what waits behind it."""
        self.spend(now)
        limit = self.per_backend * self.fleet
        peak = min(PEAK_SMALL * limit + 1, max(limit, PEAK_LARGE * limit + PEAK_MORE))
        if ahead and self.spare > -limit * SPAN and self.in_flight < AHEAD * peak:
            return False
        if self.spare >= 0 and self.in_flight < peak:
            return False
        # A burst that meets the peak while the mean has capacity is not caused by the limit.
        if self.spare <= 0 or peak <= limit:
            self.last_limited_at = now
        return True

    def opens_at(self, now: Ticks) -> Ticks | None:
        """Returns when the mean has capacity again if no attempt ends before, or None."""
        gain = self.limit() - self.in_flight
        return now + 1 - int(self.spare / gain) if self.spare < 0 and gain > 0 else None
