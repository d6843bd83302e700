"""Decides which request is sent, rejected or failed next, and where to. No I/O, no clock."""

from heapq import heappop

from pierglade.balancer.ejections import COUNTS_TOWARD_CAPACITY, Ejections
from pierglade.balancer.endpoint_stats import EndpointStats, RequestStats
from pierglade.balancer.health_checks import HealthChecks
from pierglade.balancer.load_reports import LoadReports
from pierglade.balancer.outlier_detection import MIN_UNRESPONSIVE_RATIO
from pierglade.balancer.pending_decisions import PendingDecisions
from pierglade.balancer.request_queue import MAX_QUEUED_RATIO, RequestQueue
from pierglade.balancer.retry import RequestDeadlines, RetryBudget, RetryRules
from pierglade.balancer.rotation import Rotation
from pierglade.balancer.selection import Selection
from pierglade.balancer.slow_start import SlowStart
from pierglade.balancer.wakeup import SWEEP_INTERVAL, Wakeup
from pierglade.concurrency.limiter import ConcurrencyLimiter
from pierglade.model.decision import (
    CheckHealth,
    Decision,
    FailRequest,
    RejectRequest,
    SendAttempt,
)
from pierglade.model.outcome import Outcome
from pierglade.model.request import Attempt, Request


class Dispatch:
    """Takes requests off the queue.

    The order is: pending decisions, retries, queued requests, trial requests.
    """

    def __init__(
        self,
        limit: ConcurrencyLimiter,
        wakeup: Wakeup,
        endpoints: EndpointStats,
        pending: PendingDecisions,
        queue: RequestQueue,
        deadlines: RequestDeadlines,
        retry_budget: RetryBudget,
        retry_rules: RetryRules,
        selection: Selection,
        rotation: Rotation,
        ejections: Ejections,
        slow_start: SlowStart,
        health_checks: HealthChecks,
        load_reports: LoadReports,
        request_stats: RequestStats,
    ) -> None:
        self.limit = limit
        self._wakeup = wakeup
        self._endpoints = endpoints
        self._pending = pending
        self._queue = queue
        self._deadlines = deadlines
        self._retry_budget = retry_budget
        self._retry_rules = retry_rules
        self._selection = selection
        self._rotation = rotation
        self._ejections = ejections
        self._slow_start = slow_start
        self._health_checks = health_checks
        self._load_reports = load_reports
        self._request_stats = request_stats

    def next_decision(self, now: int) -> Decision | None:
        """Returns the next decision, or None; the caller sets the retry advice of a rejection."""
        if (decision := self._pending.take()) is not None:
            return decision
        is_decided, decision = self._decide_retry(now)
        if is_decided:
            return decision
        if (decision := self._decide_queued(now) or self._decide_trial(now)) is not None:
            return decision
        for heap in self._queue.heaps:
            if heap and self._deadlines.is_too_late(heap[0][2], now):
                return self.final_answer(heappop(heap)[2])
        backend = self._health_checks.take()
        return None if backend is None else CheckHealth(backend)

    def _decide_retry(self, now: int) -> tuple[bool, Decision | None]:
        """Returns whether a retry determines the next decision, and that decision or None."""
        retries = self._queue.retries
        for request in retries:
            if request.completed or self._deadlines.is_too_late(request, now):
                retries.remove(request)
                return True, self.next_decision(now) if request.completed else self.final_answer(
                    request
                )
            allowed = self._retry_budget.allows_granted(now)
            backend = self._selection.choose(request, now) if allowed else None
            if backend is not None:
                retries.remove(request)
                return True, self.send(request, backend, now)
        return False, None

    def _decide_queued(self, now: int) -> Decision | None:
        queue, limit = self._queue, self.limit
        while (heap := queue.next_heap()) is not None:
            request = heap[0][2]
            if (
                self._deadlines.is_too_late(request, now)
                or now - request.queued_since
                > MAX_QUEUED_RATIO * request.request_class.latency_objective
            ):
                # After such a long wait the answer would be late. An early rejection leaves the
                # capacity to others.
                heappop(heap)
                return self.final_answer(request)
            is_full = limit.is_full(now, heap is queue.light_heap)
            if is_full and (opens_at := limit.opens_at(now)) is not None:
                self._wakeup.request(opens_at)
            backend = None if is_full else self._selection.choose(request, now)
            if backend is None:
                break
            heappop(heap)
            return self.send(request, backend, now)
        return None

    def _decide_trial(self, now: int) -> Decision | None:
        """Returns a due trial request, even if the healthy backends are full.

        Otherwise a node that wrongly ejected most backends as unresponsive would queue everything
        for the remaining one and could not correct the mistake. A node that can add other backends
        to its subset never exceeds the limit: hundreds of nodes that did would overload the fleet.
        """
        rotation, ejections = self._rotation, self._ejections
        if not self.limit.healthy_backends * 2 <= len(rotation.subset) == len(rotation.by_rank):
            return None
        for backend in ejections.ejected:
            if not ejections.trial_due[backend] or ejections.trials_in_flight[backend]:
                continue
            if backend not in rotation.subset:
                continue
            for heap in self._queue.heaps:
                if (
                    heap
                    and self._selection.is_trial(heap[0][2], backend)
                    and not self._deadlines.is_too_late(heap[0][2], now)
                    and self._selection.skip_reason(heap[0][2], backend, now) is None
                ):
                    return self.send(heappop(heap)[2], backend, now)
        return None

    def send(self, request: Request, backend: int, now: int) -> SendAttempt:
        """Sends an attempt of the request to the backend."""
        ejections, class_index = self._ejections, request.request_class.index
        is_trial = self._selection.is_trial(request, backend)
        endpoints = self._endpoints
        attempt = Attempt(
            request,
            len(request.attempts),
            backend,
            endpoints.zone[backend],
            endpoints.cell[backend],
            now,
            request.deadline,
            is_trial,
        )
        attempt.write_by = self._retry_rules.latest_resend(request)
        if ejections.reason[backend] in COUNTS_TOWARD_CAPACITY:
            self.limit.change_in_flight(now, 1)
            attempt.probing_round = self.limit.attempt_sent(now, class_index)
        if is_trial:
            ejections.trial_sent(backend)
            ejections.schedule_trial(backend, now)
        self._slow_start.attempt_sent(backend, now)
        self._health_checks.attempt_sent(self._rotation.subset, self._load_reports.reported_at)
        ejections.attempt_sent(backend, attempt)
        silence = int(MIN_UNRESPONSIVE_RATIO * self._request_stats.classes[class_index].typical)
        self._wakeup.request(now + max(SWEEP_INTERVAL, silence))
        if request.attempts:
            self._retry_budget.retry_sent(now)
        request.attempts.append(attempt)
        request.in_flight += 1
        if request.first_possibly_executed is None:
            request.first_possibly_executed = attempt
        return SendAttempt(attempt)

    def final_answer(self, request: Request) -> RejectRequest | FailRequest:
        """Returns the final answer of a request that gets no response."""
        request.completed = True
        self._deadlines.request_unanswered(request)
        if self._retry_rules.may_reject(request):
            return RejectRequest(request, 0)
        return FailRequest(request)

    def may_retry_after_loss(self, now: int, request: Request) -> bool:
        """Returns whether the request is sent again if all of its attempts are lost now.

        A request that was lost at every ready backend has no backend left.
        """
        return (
            self._retry_budget.remaining(now) >= 1
            and not self._deadlines.is_too_late(request, now)
            and any(
                self._retry_rules.may_send_after_loss(request, backend, now)
                for backend in self._rotation.subset
            )
            and not {attempt.backend for attempt in request.attempts}.issuperset(
                self._rotation.by_rank
            )
        )

    def attempt_lost(self, now: int, request: Request, outcome: Outcome) -> None:
        """Queues a retry of a request whose attempt was lost, or decides its final answer."""
        if outcome != Outcome.NOT_SENT and self.may_retry_after_loss(now, request):
            self._retry_budget.retry_granted()
            request.queued_since = now
            self._queue.retries.append(request)
            self._wakeup.request(now + SWEEP_INTERVAL)
        else:
            self._pending.append(self.final_answer(request))
