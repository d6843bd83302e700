"""How many retries may go out, whether one would come back in time, and where it may go.

Moments and spans are tenths of a millisecond. No I/O, no clock.
"""

from collections import deque

from pierglade.balancer.endpoint_stats import EndpointStats, RequestStats
from pierglade.balancer.request_cost import COST_MOST
from pierglade.balancer.request_queue import RequestQueue
from pierglade.balancer.rotation import Rotation
from pierglade.model.request import Idempotency, Request, RequestClass
from pierglade.settings.balancer import BalancerSettings

# Retries earned by each request where no budget is stated, so that they cannot feed an overload.
EARNED_BY_REQUEST = 0.2
# Retries saved up at most, for a burst of losses when a backend dies.
SAVED_MOST = 20.0
# Times the usual latency; with less time than this left, too many would come too late.
TOO_LATE = 1.5
# The same while there is capacity: work is uneven, and half of it takes less than this.
TOO_LATE_WITH_CAPACITY = 0.4
# Share of the latency objective; what has just come in is worth an attempt.
TOO_LATE_MOST = 0.9
# 10 ms; a host acts every few ms, and the answer must be out before the deadline.
TOO_LATE_LEAST = 100
# Share; an attempt with this much less time than first ones was cut by the request timeout.
USUAL_TIME = 0.02
# Attempts; how many it takes to change what is usual, about a second's worth.
VOTES_MOST = 50
# 2 s; a client that was not answered asks again within this or not at all.
COMES_BACK_WITHIN = 20000


class RetryBudget:
    """The retries that may still go out: of a stated window, else a share of what comes, saved up.

    It holds for all that goes out again, whatever ended the attempt before. No attempt is kept
    back while the window has capacity, so nothing is given up for it.
    """

    def __init__(
        self, window: int, minimum: int, ratio: float, shared_with: "RetryBudget | None" = None
    ) -> None:
        """Begins full.

        Args:
            window: span that the budget looks back on; 0 where none is stated.
            minimum: retries that a window may hold however few requests came in it.
            ratio: further ones for each request of the window.
            shared_with: the budget of the balancer whose place this one's takes as settings
                change; both spend from one.
        """
        self.window, self._minimum, self._ratio = window, minimum, ratio
        self.saved = SAVED_MOST
        self.sent_at: deque[int] = shared_with.sent_at if shared_with else deque()
        """Moments of retries, as far back as the window looks."""
        self.received_at: deque[int] = shared_with.received_at if shared_with else deque()
        """The same of requests."""

    @classmethod
    def from_settings(
        cls, settings: BalancerSettings, shared_with: "RetryBudget | None"
    ) -> "RetryBudget":
        """As the settings state it."""
        return cls(
            settings.retry_budget_window,
            settings.retry_budget_minimum,
            settings.retry_budget_ratio,
            shared_with,
        )

    def copy_from(self, before: "RetryBudget") -> None:
        """Takes over what `before` had saved up."""
        self.saved = before.saved

    def request_received(self, now: int) -> None:
        """A request has come in and earns a part of a retry."""
        self.saved = min(SAVED_MOST, self.saved + EARNED_BY_REQUEST)
        if self.window:
            self.received_at.append(now)

    def retry_granted(self) -> None:
        """A retry is going to be sent as soon as a backend may take it."""
        self.saved -= 1

    def retry_sent(self, now: int) -> None:
        """A retry goes out now."""
        if self.window:
            self.sent_at.append(now)

    def allows_granted(self, now: int) -> bool:
        """Whether a retry that was granted earlier may go out now.

        A window that others used up meanwhile may have capacity again in time.
        """
        return not self.window or self.left(now) >= 1

    def left(self, now: int) -> float:
        """How many retries may go out now; where a window is stated, none of it may hold more."""
        window, sent_at, received_at = self.window, self.sent_at, self.received_at
        if not window:
            return self.saved
        # A tenth of a ms on either side: the host's clock is finer, and counts a window's very
        # ends.
        while sent_at and sent_at[0] < now - window - 1:
            sent_at.popleft()
        while received_at and received_at[0] <= now - window + 1:
            received_at.popleft()
        return self._minimum + int(self._ratio * len(received_at)) - len(sent_at)


class RequestDeadlines:
    """How much time requests have, and from when an attempt would come back too late."""

    def __init__(
        self,
        settings: BalancerSettings,
        request_stats: RequestStats,
        rotation: Rotation,
        queue: RequestQueue,
    ) -> None:
        self._settings, self._request_stats = settings, request_stats
        self._rotation, self._queue = rotation, queue
        self.unanswered = 0.0
        """Requests that their clients may come back with."""

    def copy_from(self, before: "RequestDeadlines") -> None:
        """Takes over what clients may come back with."""
        self.unanswered = before.unanswered

    def fade(self, now: int) -> None:
        """Clients come back soon or not at all; called before the request stats fade."""
        away = now - self._request_stats.faded_at
        self.unanswered = max(0.0, self.unanswered) * max(0.0, 1 - away / COMES_BACK_WITHIN)

    def time_left(self, request: Request) -> int:
        """How much of the latency objective is left, which runs from the client's first attempt."""
        request_class, left = request.request_class, request.deadline - request.arrived_at
        stats = self._request_stats.classes[request_class.index]
        usual = stats.usual_left
        # A vote, not the longest seen: by repeats with more time all first attempts look late.
        stats.usual_votes += 1 if abs(left - usual) <= USUAL_TIME * usual else -1
        stats.usual_left, stats.usual_votes = (
            (left, 1) if stats.usual_votes < 0 else (usual, min(stats.usual_votes, VOTES_MOST))
        )
        # Less time than first attempts bring shows a late repeat; beyond those unanswered, less
        # patience.
        spent = 0
        # One of hundreds of nodes gets the repeats of others, and cannot count them.
        if self.is_repeat(request_class, left) and (
            self.unanswered >= 1 or not self._rotation.is_whole_ring()
        ):
            self.unanswered -= 1
            spent = request_class.request_timeout - left
        return min(left, request_class.latency_objective - spent)

    def is_repeat(self, request_class: RequestClass, left: int) -> bool:
        """Whether it came with less time than clients' first attempts usually do."""
        usual = self._request_stats.classes[request_class.index].usual_left
        return left < (1 - USUAL_TIME) * usual

    def left_unanswered(self, request: Request) -> None:
        """A request was not answered, and its client may come back with it.

        Only first attempts count: if what was taken for a repeat did, each would make another one
        look so.
        """
        self.unanswered += not self.is_repeat(
            request.request_class, request.deadline - request.arrived_at
        )

    def shed(self, request_class: RequestClass, left: int, is_shed: bool) -> None:
        """The same of one that came with that time left and `is_shed` before it was taken in."""
        self.unanswered += is_shed and not self.is_repeat(request_class, left)

    def is_too_late(self, request: Request, now: int) -> bool:
        """Whether an attempt sent now would come back too late."""
        return now >= self.last_chance(request)

    def last_chance(self, request: Request, sure: bool = False) -> int:
        """The moment from which an attempt would no longer come back by the latency objective.

        `sure`: by more than the half of all work, whatever capacity there is.
        """
        request_class = request.request_class
        # Not all of the objective, or what was once slow would never be tried again.
        spare = not self._queue.overloaded and self._rotation.is_whole_ring()
        times = TOO_LATE_WITH_CAPACITY if spare and not sure else TOO_LATE
        need = request.relative_cost * self._request_stats.classes[request_class.index].typical
        if request.relative_cost <= COST_MOST:
            need = min(times * need, TOO_LATE_MOST * request_class.latency_objective)
        return request.objective_at - max(TOO_LATE_LEAST, int(need))


class RetryRules:
    """Rule 2, in one place.

    It says what may still be done with a request, after what its attempts have proved.
    """

    def __init__(self, max_attempts: int, endpoints: EndpointStats) -> None:
        self._max_attempts, self._endpoints = max_attempts, endpoints

    def may_send(self, request: Request, backend: int, now: int) -> bool:
        """Whether the request may go to this backend."""
        request_class = request.request_class
        if (
            now >= request.deadline
            or len(request.attempts) >= self._max_attempts
            or request.in_flight
        ):
            return False
        executed = request.first_possibly_executed
        if executed is None or request_class.idempotency == Idempotency.SAFE:
            return True
        if (
            request_class.idempotency == Idempotency.UNSAFE
            or now >= executed.sent_at + request_class.deduplication_window
        ):
            return False
        scope, endpoints = request_class.deduplication_scope, self._endpoints
        return (
            scope == "all"
            or (scope == "zone" and endpoints.zone[backend] == endpoints.zone[executed.backend])
            or (scope == "cell" and endpoints.cell[backend] == endpoints.cell[executed.backend])
        )

    @staticmethod
    def may_reject(request: Request) -> bool:
        """A rejection promises that trying again is harmless."""
        request_class = request.request_class
        return (
            request.first_possibly_executed is None
            or request_class.idempotency == Idempotency.SAFE
            or (
                request_class.idempotency == Idempotency.KEYED
                and request_class.deduplication_scope == "all"
            )
        )
