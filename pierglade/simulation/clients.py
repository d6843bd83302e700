"""Clients in virtual time: a closed population or open arrivals.

A client of a closed population sends its next request after each answer.
"""

import random

from pierglade.model.decision import FailRequest
from pierglade.model.outcome import Outcome
from pierglade.model.request import RequestClass
from pierglade.simulation.clock import MS, SECOND

START_SPREAD_TICKS = 100 * MS
"""Ticks (100 ms) over which a closed population spreads its first requests."""


class SimulatedRequest:
    """A request of a client across all its tries; times are in ticks."""

    __slots__ = (
        "attempts",
        "class_index",
        "clients",
        "deadline",
        "executions",
        "has_answer",
        "io_wait",
        "objective_at",
        "policy",
        "policy_context",
        "request_class",
        "requested_at",
        "tries",
        "try_number",
        "work",
    )

    def __init__(self, clients, request_class: RequestClass, work: float, io_wait: float, now):
        self.clients = clients
        self.request_class, self.class_index = request_class, request_class.index
        self.work, self.io_wait = work, io_wait
        self.requested_at = now
        self.objective_at = now + request_class.latency_objective
        self.deadline = now + request_class.request_timeout
        self.has_answer = False  # whether the current try has its final answer
        self.policy_context = None  # opaque to the client; owned by the policy
        self.attempts = self.tries = self.executions = self.try_number = 0
        self.policy = None

    def complete(self, answer) -> None:
        """Records the final answer of the current try.

        `answer` is Outcome.SUCCESS, RejectRequest or FailRequest.
        """
        if self.has_answer:
            self.clients.simulation.record_violation(1, "two answers")
            return
        if self.clients.clock.now > self.deadline:
            self.clients.simulation.record_violation(1, "an answer after the hard limit")
        self.has_answer = True
        self.clients.request_completed(self, answer)


class ClientPopulation:
    """All clients of a run: sends their requests to the nodes and retries them as planned."""

    def __init__(self, simulation):
        self.simulation, self.clock = simulation, simulation.clock
        self.load = simulation.plan.load
        # Interarrival times are drawn one at a time: a change of the rate would invalidate a block.
        self._random = random.Random(simulation.plan.seed)
        self._rate = self.load.rate
        self._population = 0

    def start(self) -> None:
        """Schedules the first requests."""
        if self.load.kept:
            self._add_clients(self.load.kept)
        else:
            self.clock.after(self._interarrival_time(), self._arrive)

    def scale(self, factor: float) -> None:
        """Scales the load to `factor` times that of the plan."""
        if not self.load.kept:
            self._rate = self.load.rate * factor
            return
        added = round(self.load.kept * factor) - self._population
        if added > 0:
            self._add_clients(added)
        else:
            self._population += added  # the surplus clients leave after their answers

    def request_completed(self, request: SimulatedRequest, answer) -> None:
        """Counts the final answer of a try and schedules what its client does next."""
        if answer == Outcome.SUCCESS:
            self.simulation.metrics.record_success(request)
        else:
            self.simulation.metrics.record_failure(answer)
        # Deferred until the policy has handled this event, to avoid pulling decisions recursively.
        self.clock.after(0, self._schedule_follow_up, request, answer)

    def _add_clients(self, count):
        self._population += count
        for _ in range(count):
            self.clock.after(self._random.random() * START_SPREAD_TICKS, self._send_new)

    def _interarrival_time(self):
        load, rate = self.load, self._rate
        if load.burst_ms and self.clock.now % (load.burst_every_s * SECOND) < load.burst_ms * MS:
            rate *= load.burst_times
        if load.spacing == "even":
            return SECOND / rate
        return self._random.expovariate(rate / SECOND)

    def _arrive(self):
        self._send_new()
        self.clock.after(self._interarrival_time(), self._arrive)

    def _send_new(self):
        request = self.simulation.draw_request(self)
        self.simulation.metrics.record_request()
        self._send_try(request)

    def _send_try(self, request):
        request.has_answer, request.attempts = False, 0
        request.try_number += 1
        request.tries += 1
        # Each try goes to a random node, as through a front end that spreads clients evenly.
        policies = self.simulation.policies
        request.policy = policies[self._random.randrange(len(policies))]
        timeout = self.load.try_timeout_share * request.request_class.request_timeout
        abandon_at = self.clock.now + timeout
        if abandon_at < request.deadline:
            self.clock.at(abandon_at, self._abandon, request, request.try_number)
        request.policy.request_received(request)

    def _abandon(self, request, try_number):
        if request.has_answer or request.try_number != try_number:
            return
        request.has_answer = True
        self.simulation.metrics.record_abandonment()
        request.policy.client_disconnected(request)
        self._schedule_follow_up(request, FailRequest)

    def _schedule_follow_up(self, request, answer):
        metrics = self.simulation.metrics
        if self.load.kept:
            if metrics.in_system > self._population:
                metrics.in_system -= 1
                return
            self.clock.after(self.load.next_request_ms * MS, self._send_next)
            return
        retry_delay = self.load.retry_ms * MS * 2 ** (request.tries - 1)
        may_retry = answer != Outcome.SUCCESS and request.tries <= self.load.retries
        if may_retry and self.clock.now + retry_delay < request.deadline:
            self.clock.after(retry_delay, self._send_try, request)

    def _send_next(self):
        self.simulation.metrics.in_system -= 1
        self._send_new()
