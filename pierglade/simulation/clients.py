"""Clients in virtual time: a closed population that asks again at once, and open arrivals."""

import random

from pierglade.model.decision import FailRequest
from pierglade.model.outcome import Outcome
from pierglade.model.request import RequestClass
from pierglade.simulation.clock import MS, SECOND

START_SPREAD = 100 * MS
"""A closed population starts its requests over this span."""


class SimulatedRequest:
    """What a client wants, with all its tries; moments are in ticks."""

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
        self.has_answer = False  # the present try has one
        self.policy_context = None  # the policy's own
        self.attempts = self.tries = self.executions = self.try_number = 0
        self.policy = None

    def answered(self, answer) -> None:
        """The final answer of the present try: Outcome.SUCCESS, RejectRequest or FailRequest."""
        if self.has_answer:
            self.clients.simulation.rule_broken(1, "two answers")
            return
        if self.clients.clock.now > self.deadline:
            self.clients.simulation.rule_broken(1, "an answer after the hard limit")
        self.has_answer = True
        self.clients.answered(self, answer)


class ClientPopulation:
    """All clients of a run: sends their requests to the nodes and retries as the plan says."""

    def __init__(self, simulation):
        self.simulation, self.clock = simulation, simulation.clock
        self.load = simulation.plan.load
        # Plain random for the gaps: their rate changes, so blocks drawn ahead would be stale.
        self._random = random.Random(simulation.plan.seed)
        self._rate = self.load.rate
        self._population = 0

    def start(self) -> None:
        """Schedules the first requests."""
        if self.load.kept:
            self._add(self.load.kept)
        else:
            self.clock.after(self._gap(), self._arrive)

    def scale(self, factor: float) -> None:
        """Changes the load to `factor` times that of the plan."""
        if not self.load.kept:
            self._rate = self.load.rate * factor
            return
        extra = round(self.load.kept * factor) - self._population
        if extra > 0:
            self._add(extra)
        else:
            self._population += extra  # as many leave when they have their answers

    def answered(self, request: SimulatedRequest, answer) -> None:
        """Counts the final answer of a try, and lets its client go on."""
        if answer == Outcome.SUCCESS:
            self.simulation.metrics.succeeded(request)
        else:
            self.simulation.metrics.unserved(answer)
        # After the policy has done with this event, or its decisions would be pulled recursively.
        self.clock.after(0, self._continue, request, answer)

    def _add(self, count):
        self._population += count
        for _ in range(count):
            self.clock.after(self._random.random() * START_SPREAD, self._send_new)

    def _gap(self):
        load, rate = self.load, self._rate
        if load.burst_ms and self.clock.now % (load.burst_every_s * SECOND) < load.burst_ms * MS:
            rate *= load.burst_times
        if load.spacing == "even":
            return SECOND / rate
        return self._random.expovariate(rate / SECOND)

    def _arrive(self):
        self._send_new()
        self.clock.after(self._gap(), self._arrive)

    def _send_new(self):
        request = self.simulation.draw_request(self)
        self.simulation.metrics.requested()
        self._try(request)

    def _try(self, request):
        request.has_answer, request.attempts = False, 0
        request.try_number += 1
        request.tries += 1
        # A plain front spreads clients over the nodes evenly, in another order each time.
        policies = self.simulation.policies
        request.policy = policies[self._random.randrange(len(policies))]
        timeout = self.load.try_timeout_share * request.request_class.request_timeout
        gives_up_at = self.clock.now + timeout
        if gives_up_at < request.deadline:
            self.clock.at(gives_up_at, self._abandon, request, request.try_number)
        request.policy.request_received(request)

    def _abandon(self, request, try_number):
        if request.has_answer or request.try_number != try_number:
            return
        request.has_answer = True
        self.simulation.metrics.abandoned()
        request.policy.client_disconnected(request)
        self._continue(request, FailRequest)

    def _continue(self, request, answer):
        metrics = self.simulation.metrics
        if self.load.kept:
            if metrics.in_system > self._population:
                metrics.in_system -= 1
                return
            self.clock.after(self.load.next_request_ms * MS, self._send_next)
            return
        wait = self.load.retry_ms * MS * 2 ** (request.tries - 1)
        may_retry = answer != Outcome.SUCCESS and request.tries <= self.load.retries
        if may_retry and self.clock.now + wait < request.deadline:
            self.clock.after(wait, self._try, request)

    def _send_next(self):
        self.simulation.metrics.in_system -= 1
        self._send_new()
