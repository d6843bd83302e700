"""Load-balancing policies between clients and backends: real balancers, baselines and an oracle.

A policy handles events such as `request_received` and `attempt_ended`, calls the simulation's
`send`, `cancel` and `check_health`, and answers each request. Baselines queue requests over their
limit in order of arrival and reject them once their latency objective has passed.
"""

import random
from collections import deque
from heapq import heappop, heappush

from pierglade.model.decision import (
    CancelAttempt,
    CheckHealth,
    FailRequest,
    RejectRequest,
    SendAttempt,
)
from pierglade.model.endpoint import Endpoint, EndpointState
from pierglade.model.outcome import Outcome
from pierglade.model.request import Idempotency, Request
from pierglade.simulation.clock import MS

HEALTH_CHECK_LATENCY = 5
"""Ticks. Has no effect on the decisions."""


class BalancerPolicy:
    """Drives one real balancer as a node does: passes an input, then executes all decisions."""

    def __init__(self, simulation, number: int, make_balancer):
        self._simulation, self._clock = simulation, simulation.clock
        self._settings = simulation.settings(number)
        seed = simulation.policy_seed(number)
        self._balancer = make_balancer(seed, self._settings, 0)
        self._timer = None

    def _now(self):
        return int(self._clock.now)

    def endpoints_updated(self, endpoints: list[Endpoint], is_full_list: bool) -> None:
        """Handles a full endpoint list, or the changed entries of one."""
        self._balancer.endpoints_updated(self._now(), endpoints, is_full_list)
        self._execute_decisions()

    def request_received(self, request) -> None:
        """Handles a request of a client."""
        now = self._now()
        tenants = self._settings.tenants
        balancer_request = Request(
            caller_context=request,
            request_class=self._settings.request_classes[request.class_index],
            tenant=tenants[0] if tenants else None,
            arrived_at=now,
            deadline=now + int(request.deadline - self._clock.now),
        )
        request.policy_context = balancer_request
        self._balancer.request_received(now, balancer_request)
        self._execute_decisions()

    def client_disconnected(self, request) -> None:
        """Handles a client that disconnected before the answer."""
        self._balancer.client_disconnected(self._now(), request.policy_context)
        self._execute_decisions()

    def attempt_ended(self, attempt, outcome: Outcome) -> None:
        """Handles the end of an attempt."""
        now = self._now()
        is_success = outcome == Outcome.SUCCESS
        if is_success and not attempt.request.completed:
            attempt.request.caller_context.complete(Outcome.SUCCESS)
        latency = max(1, now - attempt.sent_at)
        self._balancer.attempt_ended(now, attempt, outcome, latency, is_success)
        self._execute_decisions()

    def health_checked(self, name: str, is_healthy: bool) -> None:
        """Handles the result of a health check."""
        self._balancer.health_checked(self._now(), name, is_healthy, HEALTH_CHECK_LATENCY)
        self._execute_decisions()

    def limit(self) -> float:
        """Returns the concurrency limit, for the samples of a run."""
        return self._balancer.limit.current_limit()

    def _execute_decisions(self):
        balancer, now = self._balancer, self._now()
        while (decision := balancer.next_decision(now)) is not None:
            self._execute(decision)
        wakeup = balancer.next_wakeup(now)
        if wakeup is None:
            return
        if self._timer is None or wakeup < self._timer or self._timer <= now:
            self._timer = wakeup
            self._clock.at(wakeup, self._timer_fired, wakeup)

    def _execute(self, decision):
        match decision:
            case SendAttempt(attempt):
                name = self._balancer.endpoint_name(attempt.backend)
                request = attempt.request.caller_context
                self._simulation.send(self, attempt, request, name, attempt.timeout_at)
            case CancelAttempt(attempt):
                self._simulation.cancel(self, attempt)
            case CheckHealth(backend):
                self._simulation.check_health(self, self._balancer.endpoint_name(backend))
            case RejectRequest(request) | FailRequest(request):
                request.caller_context.complete(type(decision))

    def _timer_fired(self, wakeup):
        if self._timer == wakeup:
            self._timer = None
            self._execute_decisions()


class BaselineAttempt:
    """An attempt of a baseline or of the oracle."""

    __slots__ = ("backend", "cancelled", "outcome", "request")

    def __init__(self, request, backend: str):
        self.request, self.backend = request, backend
        self.cancelled, self.outcome = False, None


class BaselinePolicy:
    """A baseline that uses only the counts of its own attempts.

    `selection` is "turns" (round robin), "least" (fewest in flight) or "random".
    `limit_per_backend` bounds the attempts per backend over all nodes; None sets no limit.
    """

    def __init__(self, simulation, number: int, selection="turns", limit_per_backend=None):
        self._simulation, self._clock = simulation, simulation.clock
        self._select = {
            "turns": self._round_robin,
            "least": self._least_in_flight,
            "random": self._random_choice,
        }[selection]
        self._limit_per_backend = limit_per_backend
        self._random = random.Random(simulation.policy_seed(number))
        self._names: list[str] = []
        self._in_flight: dict[str, int] = {}
        self._position, self._total_in_flight = number, 0
        self._queue: deque = deque()
        self._node_count = simulation.plan.nodes.count

    def endpoints_updated(self, endpoints: list[Endpoint], is_full_list: bool) -> None:
        """Handles a full endpoint list, or the changed entries of one."""
        removed = {each.name for each in endpoints if each.state != EndpointState.READY}
        self._names = [name for name in self._names if name not in removed]
        for endpoint in endpoints:
            if endpoint.state == EndpointState.READY and endpoint.name not in self._names:
                self._names.append(endpoint.name)
                self._in_flight.setdefault(endpoint.name, 0)
        self._dispatch_queue()

    def limit(self) -> float:
        """Returns the maximum number of attempts in flight."""
        if self._limit_per_backend is None:
            return float("inf")
        return max(1, round(self._limit_per_backend * len(self._names) / self._node_count))

    def request_received(self, request) -> None:
        """Handles a request of a client."""
        request.policy_context = self
        request.attempts = 0
        self._queue.append(request)
        self._clock.at(request.objective_at, self._expire, request, request.try_number)
        self._dispatch_queue()

    def client_disconnected(self, request) -> None:
        """Handles a client that disconnected before the answer."""
        if request in self._queue:
            self._queue.remove(request)

    def attempt_ended(self, attempt: BaselineAttempt, outcome: Outcome) -> None:
        """Handles the end of an attempt."""
        self._in_flight[attempt.backend] -= 1
        self._total_in_flight -= 1
        attempt.outcome = outcome
        if not attempt.request.has_answer:
            self._answer_or_retry(attempt.request, outcome)
        self._dispatch_queue()

    def health_checked(self, name: str, is_healthy: bool) -> None:
        """Does nothing: baselines make no health checks."""

    def _answer_or_retry(self, request, outcome):
        if outcome == Outcome.SUCCESS:
            request.complete(Outcome.SUCCESS)
            return
        is_safe = request.request_class.idempotency == Idempotency.SAFE
        may_retry = outcome.is_unexecuted or is_safe
        has_attempts = request.attempts < self._simulation.plan.nodes.max_attempts
        if may_retry and has_attempts and request.objective_at > self._clock.now:
            self._queue.appendleft(request)
        else:
            request.complete(RejectRequest if may_retry else FailRequest)

    def _expire(self, request, try_number):
        is_waiting = request.try_number == try_number and not request.has_answer
        if is_waiting and request in self._queue:
            self._queue.remove(request)
            request.complete(RejectRequest)

    def _dispatch_queue(self):
        queue = self._queue
        while queue and self._names and self._total_in_flight < self.limit():
            request = queue.popleft()
            if request.has_answer:
                continue
            name = self._select()
            request.attempts += 1
            self._in_flight[name] += 1
            self._total_in_flight += 1
            attempt = BaselineAttempt(request, name)
            self._simulation.send(self, attempt, request, name, request.deadline)

    def _round_robin(self):
        self._position += 1
        return self._names[self._position % len(self._names)]

    def _least_in_flight(self):
        self._position += 1
        start = self._position % len(self._names)
        candidates = self._names[start:] + self._names[:start]
        return min(candidates, key=self._in_flight.__getitem__)

    def _random_choice(self):
        return self._random.choice(self._names)


class OraclePolicy:
    """Upper bound: one queue for all nodes and the true state of every backend.

    No real balancer has this information.
    """

    def __init__(self, simulation):
        self._simulation, self._clock = simulation, simulation.clock
        self._in_flight: dict[str, int] = {}
        # Heap of (work, sequence, try, request): shortest job first maximizes the answers.
        self._queue: list[tuple] = []
        self._sequence = 0
        plan = simulation.plan
        self._network_delay = 2 * plan.fleet.delay_ms * MS
        self._least_work = min(each.work_ms for each in plan.request_class) * MS

    def endpoints_updated(self, endpoints: list[Endpoint], is_full_list: bool) -> None:
        """Does nothing: the oracle reads the backends of the simulation."""

    def limit(self) -> float:
        """Returns the maximum number of attempts in flight."""
        return sum(self._capacity(each) for each in self._simulation.backends.values())

    def _capacity(self, backend):
        # Attempts on the network occupy no core, so more of them may be in flight.
        in_transit = self._network_delay * backend.kind.speed / self._least_work
        return backend.capacity() * (1 + in_transit)

    def request_received(self, request) -> None:
        """Handles a request of a client."""
        self._sequence += 1
        heappush(self._queue, (request.work, self._sequence, request.try_number, request))
        request.policy_context = True  # whether it is queued
        self._clock.at(request.objective_at, self._expire, request, request.try_number)
        self._dispatch_queue()

    def client_disconnected(self, request) -> None:
        """Does nothing: `_dispatch_queue` skips requests that need no answer."""

    def attempt_ended(self, attempt: BaselineAttempt, outcome: Outcome) -> None:
        """Handles the end of an attempt."""
        self._in_flight[attempt.backend] -= 1
        attempt.outcome = outcome
        if not attempt.request.has_answer:
            is_success = outcome == Outcome.SUCCESS
            attempt.request.complete(Outcome.SUCCESS if is_success else RejectRequest)
        self._dispatch_queue()

    def health_checked(self, name: str, is_healthy: bool) -> None:
        """Does nothing: the oracle makes no health checks."""

    def _expire(self, request, try_number):
        is_waiting = request.try_number == try_number and not request.has_answer
        if is_waiting and request.policy_context:
            request.complete(RejectRequest)

    def _dispatch_queue(self):
        queue = self._queue
        while queue:
            _, _, try_number, request = queue[0]
            if request.has_answer or request.try_number != try_number:
                heappop(queue)
                continue
            if request.objective_at <= self._clock.now + request.work / 2:
                heappop(queue)
                request.complete(RejectRequest)
                continue
            backend = self._best_free_backend()
            if backend is None:
                return
            heappop(queue)
            request.policy_context = False
            name = backend.name
            self._in_flight[name] = self._in_flight.get(name, 0) + 1
            attempt = BaselineAttempt(request, name)
            self._simulation.send(self, attempt, request, name, request.deadline)

    def _best_free_backend(self):
        in_flight = self._in_flight
        free_backends = [
            each
            for each in self._simulation.backends.values()
            if in_flight.get(each.name, 0) + 1 <= self._capacity(each)
        ]
        if not free_backends:
            return None
        return max(
            free_backends,
            key=lambda each: (each.speed(), -in_flight.get(each.name, 0) / each.cores),
        )
