"""Invariants of a balancer after each of many random endpoint, settings and request events."""

import random
import unittest
from dataclasses import replace

from pierglade.balancer import (
    ejections,
    endpoint_stats,
    load_reports,
    outlier_detection,
    pause_forecast,
    slow_start,
)
from pierglade.balancer.balancer import Balancer
from pierglade.balancer.ejections import COUNTS_TOWARD_CAPACITY
from pierglade.balancer.outlier_detection import SLOW
from pierglade.model.decision import (
    CancelAttempt,
    CheckHealth,
    FailRequest,
    RejectRequest,
    SendAttempt,
)
from pierglade.model.endpoint import EndpointState, LoadReport, LoadReportSource
from pierglade.model.outcome import Outcome
from pierglade.model.request import Request
from pierglade.snapshot.handover import take_over
from pierglade.tenants.registry import TenantRegistry
from tests.support.scene import MS, balancer_settings, listed

SEEDS, STEPS = 12, 300
OUTCOMES = (Outcome.SUCCESS,) * 5 + (
    Outcome.SERVER_ERROR,
    Outcome.REJECTED_UNPROCESSED,
    Outcome.CONNECT_FAILED,
    Outcome.TIMEOUT,
    Outcome.CONNECTION_RESET,
)


class RandomSequence:
    """A random sequence of events. Attempts end in time and decisions are executed at once."""

    def __init__(self, case, seed):
        self.case, self.random, self.now = case, random.Random(seed), 10**6
        self.balancer, self.earlier = Balancer(seed, self.settings(), self.now), []
        self.requests, self.final_decisions = [], {}
        self.update_endpoints([listed(f"b{n}") for n in range(6)])

    def settings(self):
        pick = self.random.choice
        rows = self.random.sample(balancer_settings().request_classes, self.random.randint(1, 3))
        rows = [
            replace(
                row,
                index=n,
                request_timeout=pick((400, 1000)) * MS,
                latency_objective=pick((200, 400)) * MS,
            )
            for n, row in enumerate(rows)
        ]
        return balancer_settings(
            request_classes=rows,
            node_count=pick((1, 1, 3, 70)),
            tenants=pick((TenantRegistry(), TenantRegistry({"n": 50.0}))),
            max_attempts=pick((1, 2, 3, 4)),
            may_check_health=pick((False, True)),
            retry_budget_minimum=3,
            retry_budget_ratio=0.2,
            retry_budget_window=pick((0, 0, 5000)),
            removal_binds=pick((True, True, False)),
            slow_start_duration=pick((0, 3000, 8000)) * MS,
            load_report_fields=pick((("throughput", "utilization"), ("utilization",))),
            load_report_source=pick(
                (None, LoadReportSource.RESPONSES, LoadReportSource.HEALTH_CHECKS)
            ),
        )

    def balancers(self):
        return (*self.earlier, self.balancer)

    def update_endpoints(self, entries):
        for balancer in self.balancers():
            balancer.endpoints_updated(self.now, entries, False)

    def entry(self, step):
        pick = self.random.choice
        return listed(
            f"b{pick(range(12))}{pick(('', 'x', str(step)))}",
            pick(
                (
                    EndpointState.READY,
                    EndpointState.READY,
                    EndpointState.DRAINING,
                    EndpointState.REMOVED,
                )
            ),
            started=pick((0, 0, 0, self.now - pick(range(9000)) * MS)),
            weight=pick((1.0, 0.7, 2.0)),
        )

    def step(self, number):
        self.now += self.random.randint(1, 300)
        pick, draw = self.random.choice, self.random.random()
        if draw < 0.05:
            earlier = self.balancer
            self.earlier.append(earlier)
            self.balancer = Balancer(number, self.settings(), self.now, earlier)
            take_over(self.balancer, earlier, self.now)
        elif draw < 0.15:
            self.update_endpoints([self.entry(number) for _ in range(pick((1, 2, 3)))])
        elif draw < 0.17:
            self.now += 30000
        elif draw < 0.55:
            request_class = pick(self.balancer.settings.request_classes)
            request = Request(
                number, request_class, None, self.now, self.now + request_class.request_timeout
            )
            request.owner = self.balancer
            self.requests.append(request)
            self.balancer.request_received(self.now, request)
        elif draw < 0.6:
            self.balancer.load_reported(
                self.now,
                f"b{pick(range(12))}",
                LoadReport(throughput=30.0, utilization=0.7, queue_length=1.0),
            )
        elif attempts := [
            attempt
            for each in self.requests
            for attempt in each.attempts
            if attempt.outcome is None
        ]:
            self.end_attempt(pick(attempts), pick(OUTCOMES))
        for each in self.requests:
            for attempt in each.attempts:
                if attempt.outcome is None and self.now >= each.deadline:
                    self.end_attempt(attempt, Outcome.TIMEOUT)
        for balancer in self.balancers():
            self.execute_decisions(balancer)
        self.requests = [each for each in self.requests if not each.completed or each.in_flight]
        self.earlier = [
            balancer
            for balancer in self.earlier
            if any(each.owner is balancer for each in self.requests)
        ]
        for balancer in self.balancers():
            self.check(balancer)

    def end_attempt(self, attempt, outcome):
        attempt.request.owner.attempt_ended(
            self.now,
            attempt,
            outcome,
            max(1, self.now - attempt.sent_at),
            outcome == Outcome.SUCCESS,
        )

    def execute_decisions(self, balancer):
        while (decision := balancer.next_decision(self.now)) is not None:
            match decision:
                case CancelAttempt(attempt) if attempt.outcome is None:
                    self.end_attempt(attempt, Outcome.CANCELLED)
                case CheckHealth(backend):
                    is_healthy = self.random.random() < 0.5
                    balancer.health_checked(
                        self.now, balancer.endpoints.names[backend], is_healthy, 5
                    )
                case SendAttempt(attempt):
                    self.case.assertEqual(
                        balancer.endpoints.state[attempt.backend], EndpointState.READY
                    )
                    self.case.assertIs(attempt.request.owner, balancer)
                    self.case.assertLess(self.now, attempt.request.deadline)
                case RejectRequest(request) | FailRequest(request):
                    self.case.assertNotIn(request.caller_context, self.final_decisions)
                    self.final_decisions[request.caller_context] = type(decision)

    def check(self, balancer):
        assert_equal, backends = self.case.assertEqual, range(len(balancer.endpoints.names))
        assert_equal(len(balancer.selection.accumulated_weight), len(balancer.endpoints.names))
        for component, names in (
            (balancer.pause_forecast, pause_forecast.INITIAL),
            (balancer.slow_start, slow_start.INITIAL),
            (balancer.endpoints, endpoint_stats.INITIAL),
            (balancer.ejections, ejections.INITIAL),
            (balancer.outliers, outlier_detection.INITIAL),
            (balancer.load_reports, load_reports.INITIAL),
        ):
            assert_equal(
                {len(getattr(component, name)) for name in names}, {len(balancer.endpoints.names)}
            )
        assert_equal(
            sorted(balancer.rotation.by_rank),
            [
                backend
                for backend in backends
                if balancer.endpoints.state[backend] == EndpointState.READY
            ],
        )
        assert_equal(
            balancer.rotation.by_rank,
            sorted(balancer.rotation.by_rank, key=balancer.endpoints.rank.__getitem__),
        )
        self.case.assertAlmostEqual(
            balancer.rotation.total_size,
            sum(balancer.endpoints.size[backend] for backend in balancer.rotation.by_rank),
        )
        self.case.assertLessEqual(set(balancer.rotation.subset), set(balancer.rotation.by_rank))
        assert_equal(
            sorted(balancer.endpoints.removed),
            [
                backend
                for backend in backends
                if balancer.endpoints.state[backend] == EndpointState.REMOVED
            ],
        )
        assert_equal(
            {backend: name for name, backend in balancer.endpoints.index.items()},
            dict(enumerate(balancer.endpoints.names)),
        )
        assert_equal(
            balancer.ejections.slow_count,
            sum(reason is SLOW for reason in balancer.ejections.reason),
        )
        assert_equal(
            sorted(balancer.ejections.ejected),
            [backend for backend in backends if balancer.ejections.reason[backend] is not None],
        )
        assert_equal(
            balancer.limit.in_flight,
            sum(
                len(attempts)
                for backend, attempts in balancer.ejections.in_flight.items()
                if balancer.ejections.reason[backend] in COUNTS_TOWARD_CAPACITY
            ),
        )
        trials = [
            attempt.backend
            for each in self.requests
            if each.owner is balancer
            for attempt in each.attempts
            if attempt.is_trial and attempt.outcome is None
        ]
        assert_equal(
            balancer.ejections.trials_in_flight, [trials.count(backend) for backend in backends]
        )
        assert_equal(
            {len(balancer.limit.missing), len(balancer.limit.base), len(balancer.limit.answers)},
            {len(balancer.request_stats.classes)},
        )


class RandomChanges(unittest.TestCase):
    def test_any_order(self):
        for seed in range(SEEDS):
            sequence = RandomSequence(self, seed)
            for number in range(STEPS):
                with self.subTest(seed=seed, step=number):
                    sequence.step(number)
            self.assertGreater(len(sequence.final_decisions), 0)
