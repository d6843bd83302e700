"""Decides how many retries may be sent, whether one would be answered in time, and where it may go.

Times and durations are in ticks (tenths of a millisecond). No I/O, no clock.
"""

from collections import deque

from pierglade.balancer.endpoint_stats import EndpointStats, RequestStats
from pierglade.balancer.request_cost import MAX_COST
from pierglade.balancer.request_queue import RequestQueue
from pierglade.balancer.rotation import Rotation
from pierglade.model.request import Idempotency, Request, RequestClass
from pierglade.settings.balancer import BalancerSettings

# Retries that each request adds to the budget if none is configured; few enough not to amplify an
# overload.
RETRIES_PER_REQUEST = 0.2
# Maximum number of saved retries, for a burst of losses when a backend fails.
MAX_SAVED_RETRIES = 20.0
# Multiple of the typical latency. With less time left than this, too many attempts would be
# answered late.
TIME_NEEDED_RATIO = 1.5
# Multiple of the typical latency that is needed while there is spare capacity. Latencies vary, and
# half of all attempts take less than this.
TIME_NEEDED_RATIO_WITH_CAPACITY = 0.4
# Fraction of the latency objective. Upper bound of the time needed: a request that has just arrived
# is always worth an attempt.
MAX_TIME_NEEDED_RATIO = 0.9
# Ticks (10 ms). Lower bound of the time needed: the caller acts every few milliseconds, and the
# answer must be out before the deadline.
MIN_TIME_NEEDED = 100
# Fraction of the time left that first attempts usually have. If a request has less by more than
# this, an earlier attempt of its client has used up the difference.
TIME_LEFT_TOLERANCE = 0.02
# Maximum number of votes for the usual time left, one per request; about a second of requests.
MAX_VOTES = 50
# Ticks (2 s). A client without an answer retries within this time or not at all.
CLIENT_RETRY_SPAN = 20000


class RetryBudget:
    """Budget of retries: a number per window, or a fraction of requests if none is configured.

    The budget covers every further attempt, however the previous one ended. No retry is withheld
    while the window has capacity, so no request fails while budget is available.
    """

    def __init__(
        self, window: int, minimum: int, ratio: float, shared_with: "RetryBudget | None" = None
    ) -> None:
        """Starts with a full budget.

        Args:
            window: length of the sliding window; 0 if none is configured.
            minimum: retries allowed per window, however few requests it has.
            ratio: further retries allowed for each request of the window.
            shared_with: the budget of the balancer that this one's replaces when settings
                change; both spend from the same window.
        """
        self.window, self._minimum, self._ratio = window, minimum, ratio
        self.saved_retries = MAX_SAVED_RETRIES
        self.sent_at: deque[int] = shared_with.sent_at if shared_with else deque()
        """Times of the retries in the window."""
        self.received_at: deque[int] = shared_with.received_at if shared_with else deque()
        """Times of the requests in the window."""

    @classmethod
    def from_settings(
        cls, settings: BalancerSettings, shared_with: "RetryBudget | None"
    ) -> "RetryBudget":
        """Creates the budget from the settings."""
        return cls(
            settings.retry_budget_window,
            settings.retry_budget_minimum,
            settings.retry_budget_ratio,
            shared_with,
        )

    def copy_from(self, previous: "RetryBudget") -> None:
        """Copies the saved retries of `previous`."""
        self.saved_retries = previous.saved_retries

    def request_received(self, now: int) -> None:
        """Records a request, which earns a fraction of a retry."""
        self.saved_retries = min(MAX_SAVED_RETRIES, self.saved_retries + RETRIES_PER_REQUEST)
        if self.window:
            self.received_at.append(now)

    def retry_granted(self) -> None:
        """Reserves a retry that is sent as soon as a backend is available."""
        self.saved_retries -= 1

    def retry_sent(self, now: int) -> None:
        """Records a retry that is sent now."""
        if self.window:
            self.sent_at.append(now)

    def allows_granted(self, now: int) -> bool:
        """Returns whether a retry granted earlier may be sent now.

        If other retries have used up the window since, it may have capacity again in time.
        """
        return not self.window or self.remaining(now) >= 1

    def remaining(self, now: int) -> float:
        """Returns how many retries may be sent now so that no window exceeds its budget."""
        window, sent_at, received_at = self.window, self.sent_at, self.received_at
        if not window:
            return self.saved_retries
        # One tick of tolerance is added on either side, because the caller's clock is finer and the
        # caller counts both ends of a window.
        while sent_at and sent_at[0] < now - window - 1:
            sent_at.popleft()
        while received_at and received_at[0] <= now - window + 1:
            received_at.popleft()
        return self._minimum + int(self._ratio * len(received_at)) - len(sent_at)


class RequestDeadlines:
    """Computes the time left for requests and when an attempt would be answered too late."""

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
        """Number of unanswered requests that clients may still retry."""

    def copy_from(self, previous: "RequestDeadlines") -> None:
        """Copies the number of unanswered requests of `previous`."""
        self.unanswered = previous.unanswered

    def decay(self, now: int) -> None:
        """Decays the unanswered requests; must run before `RequestStats.decay`."""
        elapsed = now - self._request_stats.decayed_at
        self.unanswered = max(0.0, self.unanswered) * max(0.0, 1 - elapsed / CLIENT_RETRY_SPAN)

    def time_left(self, request: Request) -> int:
        """Returns how much of the latency objective is left since the client's first attempt."""
        request_class, time_left = request.request_class, request.deadline - request.arrived_at
        stats = self._request_stats.classes[request_class.index]
        usual = stats.usual_left
        # The usual time left is found by a majority vote. With the maximum, repeats that carry more
        # time would make every first attempt look like a late repeat.
        stats.usual_votes += 1 if abs(time_left - usual) <= TIME_LEFT_TOLERANCE * usual else -1
        stats.usual_left, stats.usual_votes = (
            (time_left, 1) if stats.usual_votes < 0 else (usual, min(stats.usual_votes, MAX_VOTES))
        )
        # Less time than first attempts carry indicates a late repeat. If there are more such
        # requests than unanswered ones, it indicates a client with a shorter time-out.
        elapsed = 0
        # A node that uses only some backends is one of hundreds. It receives repeats of requests
        # that other nodes left unanswered, and cannot count those.
        if self.is_repeat(request_class, time_left) and (
            self.unanswered >= 1 or not self._rotation.uses_all_backends()
        ):
            self.unanswered -= 1
            elapsed = request_class.request_timeout - time_left
        return min(time_left, request_class.latency_objective - elapsed)

    def is_repeat(self, request_class: RequestClass, time_left: int) -> bool:
        """Returns whether the request arrived with less time than first attempts usually carry."""
        usual = self._request_stats.classes[request_class.index].usual_left
        return time_left < (1 - TIME_LEFT_TOLERANCE) * usual

    def request_unanswered(self, request: Request) -> None:
        """Counts a request without an answer, which its client may retry.

        Only first attempts count. If presumed repeats counted too, each one would make another
        request look like a repeat.
        """
        self.unanswered += not self.is_repeat(
            request.request_class, request.deadline - request.arrived_at
        )

    def request_shed(self, request_class: RequestClass, time_left: int, is_shed: bool) -> None:
        """Counts a first attempt that was shed before it became a request."""
        self.unanswered += is_shed and not self.is_repeat(request_class, time_left)

    def is_too_late(self, request: Request, now: int) -> bool:
        """Returns whether an attempt sent now would be answered too late."""
        return now >= self.latest_send_time(request)

    def latest_send_time(self, request: Request, conservative: bool = False) -> int:
        """Returns the time from which an attempt would miss the latency objective.

        `conservative` leaves time for more than half of all attempts, even with spare capacity.
        """
        request_class = request.request_class
        # The time needed stays below the latency objective; otherwise a class that was once slow
        # would never be tried again.
        has_capacity = not self._queue.overloaded and self._rotation.uses_all_backends()
        ratio = (
            TIME_NEEDED_RATIO_WITH_CAPACITY
            if has_capacity and not conservative
            else TIME_NEEDED_RATIO
        )
        time_needed = (
            request.relative_cost * self._request_stats.classes[request_class.index].typical
        )
        if request.relative_cost <= MAX_COST:
            time_needed = min(
                ratio * time_needed, MAX_TIME_NEEDED_RATIO * request_class.latency_objective
            )
        return request.objective_at - max(MIN_TIME_NEEDED, int(time_needed))


class RetryRules:
    """Rule 2: whether a request may be sent or rejected after its earlier attempts."""

    def __init__(self, max_attempts: int, endpoints: EndpointStats) -> None:
        self._max_attempts, self._endpoints = max_attempts, endpoints

    def may_send(self, request: Request, backend: int, now: int) -> bool:
        """Returns whether the request may be sent to this backend."""
        return not request.in_flight and self.may_send_after_loss(request, backend, now)

    def may_send_after_loss(self, request: Request, backend: int, now: int) -> bool:
        """Returns whether the request may be sent to this backend if its attempts are lost now."""
        request_class = request.request_class
        if now >= request.deadline or len(request.attempts) >= self._max_attempts:
            return False
        executed = request.first_possibly_executed
        if executed is None or request_class.idempotency == Idempotency.SAFE:
            return True
        latest = self.latest_resend(request)
        if latest is None or now >= latest:
            return False
        scope, endpoints = request_class.deduplication_scope, self._endpoints
        return (
            scope == "all"
            or (scope == "zone" and endpoints.zone[backend] == executed.zone)
            or (scope == "cell" and endpoints.cell[backend] == executed.cell)
        )

    @staticmethod
    def latest_resend(request: Request) -> int | None:
        """Returns until when a keyed request that may have been executed may be sent again.

        None for other requests. It is sent at the moment of its last byte.
        """
        executed, request_class = request.first_possibly_executed, request.request_class
        if executed is None or request_class.idempotency != Idempotency.KEYED:
            return None
        return executed.sent_at + request_class.deduplication_window

    @staticmethod
    def may_reject(request: Request) -> bool:
        """Returns whether the request may be rejected, which promises that a retry is harmless."""
        request_class = request.request_class
        return (
            request.first_possibly_executed is None
            or request_class.idempotency == Idempotency.SAFE
            or (
                request_class.idempotency == Idempotency.KEYED
                and request_class.deduplication_scope == "all"
            )
        )
