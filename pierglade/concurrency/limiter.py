"""The limit on attempts in flight, derived from the latency of answers while the limit binds.

A ConcurrencyLimiter is notified when attempts are sent, answered and ended; it decides whether one
more may be in flight. Moments and spans are ticks (tenths of a millisecond).

The limit changes in two ways. Each answer lowers it slightly if it took most of its latency
objective, and raises it slightly otherwise. Probing rounds search for capacity (`capacity_search`).
"""

from copy import copy

from pierglade.concurrency.capacity_estimate import STRAIN_RATIO, log_latency
from pierglade.concurrency.capacity_search import STEADY, STEPPED, CapacitySearch, SearchMode
from pierglade.concurrency.in_flight_budget import INITIAL_LIMIT, InFlightBudget
from pierglade.model.ticks import Ticks

# Fraction of the answers that may be strained before the limit is lowered.
MAX_STRAINED_RATIO = 0.05
# Fraction of the answers that may be strained if rounds show that there is no queue; a lower limit
# would then not make answers quicker.
MAX_STRAINED_RATIO_WITHOUT_QUEUE = 0.15
# Attempts. Maximum change of the limit by one answer.
ADJUSTMENT_ATTEMPTS = 0.5
# Fraction of the limit. Bounds the change by one answer if the limit is one or two attempts.
MAX_ADJUSTMENT_RATIO = 0.2


class ConcurrencyLimiter:
    """Limits the attempts in flight of one of `nodes` balancers that share the fleet.

    `demand` is how many requests quotas allow for this node per tick; None without quotas.
    """

    def __init__(
        self, nodes: int, request_classes: int, now: Ticks, demand: float | None = None
    ) -> None:
        self._budget = InFlightBudget(nodes, now)
        self._search = CapacitySearch(self._budget, request_classes, now, demand)

    def successor(
        self, now: Ticks, previous_indexes: list[int | None], demand: float | None
    ) -> "ConcurrencyLimiter":
        """Returns a copy with what this limiter has learned and nothing in flight.

        `previous_indexes` has the index here of each request class of the copy, or None.
        """
        self._budget.spend(now)
        successor = copy(self)
        successor._budget = copy(self._budget)
        successor._budget.in_flight = 0
        successor._search = self._search.successor(successor._budget, now, previous_indexes, demand)
        return successor

    # State.

    @property
    def demand(self) -> float | None:
        """Requests per tick that quotas allow for this node, or None."""
        return self._search.demand

    @demand.setter
    def demand(self, demand: float | None) -> None:
        """Sets the demand after a change of quotas."""
        self._search.demand = demand

    @property
    def nodes(self) -> int:
        """The number of balancers that share the fleet."""
        return self._budget.nodes

    @property
    def per_backend(self) -> float:
        """The limit for each backend."""
        return self._budget.per_backend

    @property
    def healthy_backends(self) -> int:
        """The number of healthy backends that this node sends to."""
        return self._budget.healthy_backends

    @property
    def in_flight(self) -> int:
        """The number of attempts that count against the limit."""
        return self._budget.in_flight

    @property
    def last_limited_at(self) -> Ticks:
        """The moment when a request last waited because of the limit; -1 for never."""
        return self._budget.last_limited_at

    @property
    def base(self) -> list[float]:
        """The natural logarithm of the unloaded latency of each request class."""
        return self._search.estimate.log_base_latencies

    @property
    def answers(self) -> list[int]:
        """The number of answers that each unloaded latency is based on."""
        return self._search.estimate.class_answers

    @property
    def missing(self) -> list[int]:
        """The attempts of the probing round in flight, by request class."""
        return self._search.round.pending

    @property
    def mode(self) -> SearchMode:
        """The purpose of the current probing round."""
        return self._search.mode

    def update_backends(self, now: Ticks, healthy: int, fleet_size: float) -> None:
        """Sets how many backends are healthy here, and the number of backends of all nodes.

        Both are positive, also while no backend is ready.
        """
        self._budget.spend(now)
        self._budget.healthy_backends, self._budget.fleet_size = healthy, fleet_size

    def change_in_flight(self, now: Ticks, change: int) -> None:
        """Adds `change`, which may be negative, to the attempts in flight."""
        self._budget.spend(now)
        self._budget.in_flight += change

    def attempt_sent(self, now: Ticks, request_class: int) -> int:
        """Counts an attempt that was sent; returns the round that it is part of, 0 for none."""
        return self._search.round.attempt_sent(now, request_class)

    def attempt_lost(self, request_class: int, round_number: int) -> None:
        """Removes an attempt of a round that has no answer, or none with a usable latency."""
        probing_round = self._search.round
        if round_number == probing_round.number:
            probing_round.pending[request_class] -= 1

    def attempt_answered(
        self,
        now: Ticks,
        request_class: int,
        round_number: int,
        sent_at: Ticks,
        latency: Ticks,
        objective: Ticks,
    ) -> None:
        """Records an answer from a healthy backend to an attempt of a round."""
        search = self._search
        estimate, probing_round = search.estimate, search.round
        max_ratio = (
            MAX_STRAINED_RATIO_WITHOUT_QUEUE if estimate.is_queue_free else MAX_STRAINED_RATIO
        )
        self._adjust_limit(sent_at, latency > STRAIN_RATIO * objective, max_ratio)
        latency_log = log_latency(latency)
        weight = estimate.add_answer(request_class, latency_log, objective, search.mode is STEADY)
        if round_number == probing_round.number:
            probing_round.attempt_answered(
                request_class, latency_log - estimate.log_base_latencies[request_class], weight
            )
        search.evaluate_round(now)

    def attempt_rejected(self, now: Ticks, sent_at: Ticks) -> None:
        """Records that a healthy backend rejected an attempt unprocessed because it is full."""
        budget = self._budget
        # Up to the initial limit, the likelier cause is one slow machine while the others have
        # capacity.
        if budget.per_backend * budget.nodes > INITIAL_LIMIT:
            self._adjust_limit(sent_at, True, MAX_STRAINED_RATIO)
        if self._search.mode is STEPPED:
            self._search.revert_step(now)

    # Queries.

    def current_limit(self) -> float:
        """Returns how many attempts this node may have in flight on average."""
        return self._budget.limit()

    def is_full(self, now: Ticks, may_borrow: bool = False) -> bool:
        """Returns whether a queued request has to wait.

        With `may_borrow`, it may use the budget of the requests queued behind it.
        """
        return self._budget.is_full(now, may_borrow)

    def opens_at(self, now: Ticks) -> Ticks | None:
        """Returns when the mean has capacity again if no attempt ends before, or None."""
        return self._budget.opens_at(now)

    def _adjust_limit(self, sent_at: Ticks, is_strained: bool, max_ratio: float) -> None:
        """Lowers the limit if more than `max_ratio` of answers are strained, else raises it."""
        budget, search = self._budget, self._search
        adjustment = min(MAX_ADJUSTMENT_RATIO, ADJUSTMENT_ATTEMPTS / budget.limit())
        if is_strained:
            lowered = budget.per_backend * (1 - adjustment * (1 - max_ratio))
            budget.per_backend = min(budget.per_backend, max(budget.min_per_backend(), lowered))
        elif (
            (budget.spare <= 0 or sent_at <= budget.last_limited_at)
            and search.mode is STEADY
            and not search.estimate.is_queued
        ):
            # A single attempt uses up a limit of less than one. This does not prove demand for a
            # higher limit, but the answer proves that there is capacity.
            budget.per_backend = search.overload.bounded(
                budget.per_backend * (1 + adjustment * max_ratio), budget.spare_at
            )
