"""The limit on attempts in flight, found from how long answers take while it binds.

A ConcurrencyLimiter is told when attempts are sent, answered and over; it says whether one more may
be in flight. Moments and spans are whole tenths of a millisecond.

Two things move the limit. Answers near their latency objective lower it and others raise it gently,
answer by answer. And in probing rounds it searches for capacity (`capacity_search`).
"""

from copy import copy

from pierglade.concurrency.capacity_estimate import STRAIN, log_latency
from pierglade.concurrency.capacity_search import STEADY, STEPPED, CapacitySearch, SearchMode
from pierglade.concurrency.in_flight_budget import FIRST, InFlightBudget
from pierglade.model.ticks import Ticks

# Constants.
STRAINED = 0.05  # share of answers that may strain before the limit is lowered
# The same where rounds are sure of no queue: a lower limit would not make answers quicker.
STRAINED_CLEAR = 0.15
FOLLOWS = 0.5  # attempts; how fast the limit follows single answers
FOLLOWS_SHARE = 0.2  # share of the limit; the same where it is an attempt or two


class ConcurrencyLimiter:
    """How many attempts one of `nodes` balancers that share the fleet may have in flight.

    `demand` is what quotas let come to this node in a tenth of a millisecond; None: no quotas.
    """

    def __init__(
        self, nodes: int, request_classes: int, now: Ticks, demand: float | None = None
    ) -> None:
        self._budget = InFlightBudget(nodes, now)
        self._search = CapacitySearch(self._budget, request_classes, now, demand)

    def successor(
        self, now: Ticks, places: list[int | None], demand: float | None
    ) -> "ConcurrencyLimiter":
        """Returns another node's limiter that knows what this one does, with nothing in flight.

        `places` has, for each of its request classes, the place of the class here or None.
        """
        self._budget.spend(now)
        heir = copy(self)
        heir._budget = copy(self._budget)
        heir._budget.in_flight = 0
        heir._search = self._search.successor(heir._budget, now, places, demand)
        return heir

    # What is known.

    @property
    def demand(self) -> float | None:
        """Requests that quotas let come to this node in a tenth of a millisecond, or None."""
        return self._search.demand

    @demand.setter
    def demand(self, demand: float | None) -> None:
        """Takes what changed quotas let come to this node."""
        self._search.demand = demand

    @property
    def nodes(self) -> int:
        """How many balancers share the fleet."""
        return self._budget.nodes

    @property
    def each(self) -> float:
        """The limit for each backend."""
        return self._budget.per_backend

    @property
    def healthy_backends(self) -> int:
        """How many backends that this node sends to are healthy."""
        return self._budget.healthy_backends

    @property
    def in_flight(self) -> int:
        """How many attempts count against the limit."""
        return self._budget.in_flight

    @property
    def last_limited_at(self) -> Ticks:
        """When something last waited because of the limit; -1 for never."""
        return self._budget.last_limited_at

    @property
    def base(self) -> list[float]:
        """The log of the unhurried latency of each request class."""
        return self._search.estimate.base

    @property
    def answers(self) -> list[int]:
        """How many answers each unhurried latency rests on."""
        return self._search.estimate.answers

    @property
    def missing(self) -> list[int]:
        """Attempts of the probing round in flight, by request class."""
        return self._search.round.missing

    @property
    def mode(self) -> SearchMode:
        """What the current probing round is for."""
        return self._search.mode

    def update_backends(self, now: Ticks, healthy: int, fleet: float) -> None:
        """Sets how many backends are healthy here, and how many all nodes have."""
        self._budget.spend(now)
        self._budget.healthy_backends, self._budget.fleet = healthy, fleet

    def change_in_flight(self, now: Ticks, change: int) -> None:
        """Counts so many more attempts in flight, or fewer."""
        self._budget.spend(now)
        self._budget.in_flight += change

    def attempt_sent(self, now: Ticks, request_class: int) -> int:
        """Counts an attempt that was sent; returns the round that it is part of, 0 for none."""
        return self._search.round.attempt_sent(now, request_class)

    def attempt_lost(self, request_class: int, number: int) -> None:
        """Takes out an attempt of round `number` that has no answer, or one that says nothing."""
        probe = self._search.round
        if number == probe.number:
            probe.missing[request_class] -= 1

    def attempt_answered(
        self,
        now: Ticks,
        request_class: int,
        number: int,
        sent_at: Ticks,
        latency: Ticks,
        objective: Ticks,
    ) -> None:
        """Takes in an answer from a healthy backend to an attempt of round `number`."""
        search = self._search
        estimate, probe = search.estimate, search.round
        part = STRAINED_CLEAR if estimate.is_clear else STRAINED
        self._follow(sent_at, latency > STRAIN * objective, part)
        taken = log_latency(latency)
        weight = estimate.add_answer(request_class, taken, objective, search.mode is STEADY)
        if number == probe.number:
            probe.attempt_answered(request_class, taken - estimate.base[request_class], weight)
        search.judge(now)

    def attempt_rejected(self, now: Ticks, sent_at: Ticks) -> None:
        """Takes in that a healthy backend rejected an attempt unprocessed: it is full."""
        budget = self._budget
        # Up to the first limit it is rather one slow machine, with others that have capacity.
        if budget.per_backend * budget.nodes > FIRST:
            self._follow(sent_at, True, STRAINED)
        if self._search.mode is STEPPED:
            self._search.take_back_step(now)

    # What is asked.

    def current_limit(self) -> float:
        """Returns how many attempts this node may have in flight, in the mean."""
        return self._budget.limit()

    def is_full(self, now: Ticks, ahead: bool = False) -> bool:
        """Whether what waits has to go on waiting; `ahead` borrows from what waits behind it."""
        return self._budget.is_full(now, ahead)

    def opens_at(self, now: Ticks) -> Ticks | None:
        """Returns when the mean has capacity again if no attempt ends before, or None."""
        return self._budget.opens_at(now)

    def _follow(self, sent_at: Ticks, is_strained: bool, part: float) -> None:
        """Lowers the limit when more answers than `part` strain, and raises it when fewer do."""
        budget, search = self._budget, self._search
        follows = min(FOLLOWS_SHARE, FOLLOWS / budget.limit())
        if is_strained:
            lower = budget.per_backend * (1 - follows * (1 - part))
            budget.per_backend = min(budget.per_backend, max(budget.least_per_backend(), lower))
        elif (
            (budget.spare <= 0 or sent_at <= budget.last_limited_at)
            and search.mode is STEADY
            and not search.estimate.is_queued
        ):
            # A limit under one is used up by one attempt: that shows no demand, but capacity for
            # it all the same.
            budget.per_backend = search.overload.bounded(
                budget.per_backend * (1 + follows * part), budget.spare_at
            )
