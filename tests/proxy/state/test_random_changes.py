"""Lists, settings, requests, losses and probes in any order: what must hold of a node after each step."""

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


class Chance:
    """One play. The host's part: each trip ends in time, each decision is carried out at once."""

    def __init__(self, case, seed):
        self.case, self.chance, self.now = case, random.Random(seed), 10**6
        self.node, self.older = Balancer(seed, self.settings(), self.now), []
        self.owed, self.finals = [], {}
        self.hear([listed(f"b{n}") for n in range(6)])

    def settings(self):
        pick = self.chance.choice
        rows = self.chance.sample(balancer_settings().request_classes, self.chance.randint(1, 3))
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

    def nodes(self):
        return (*self.older, self.node)

    def hear(self, entries):
        for node in self.nodes():
            node.endpoints_updated(self.now, entries, False)

    def entry(self, step):
        pick = self.chance.choice
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
        self.now += self.chance.randint(1, 300)
        pick, what = self.chance.choice, self.chance.random()
        if what < 0.05:
            before = self.node
            self.older.append(before)
            self.node = Balancer(number, self.settings(), self.now, before)
            take_over(self.node, before, self.now)
        elif what < 0.15:
            self.hear([self.entry(number) for _ in range(pick((1, 2, 3)))])
        elif what < 0.17:
            self.now += 30000
        elif what < 0.55:
            request_class = pick(self.node.settings.request_classes)
            taken = Request(
                number, request_class, None, self.now, self.now + request_class.request_timeout
            )
            taken.owner = self.node
            self.owed.append(taken)
            self.node.request_received(self.now, taken)
        elif what < 0.6:
            self.node.load_reported(
                self.now,
                f"b{pick(range(12))}",
                LoadReport(throughput=30.0, utilization=0.7, queue_length=1.0),
            )
        elif attempts := [
            attempt for each in self.owed for attempt in each.attempts if attempt.outcome is None
        ]:
            self.end(pick(attempts), pick(OUTCOMES))
        for each in self.owed:
            for attempt in each.attempts:
                if attempt.outcome is None and self.now >= each.deadline:
                    self.end(attempt, Outcome.TIMEOUT)
        for node in self.nodes():
            self.pull(node)
        self.owed = [each for each in self.owed if not each.completed or each.in_flight]
        self.older = [node for node in self.older if any(each.owner is node for each in self.owed)]
        for node in self.nodes():
            self.check(node)

    def end(self, attempt, outcome):
        attempt.request.owner.attempt_ended(
            self.now,
            attempt,
            outcome,
            max(1, self.now - attempt.sent_at),
            outcome == Outcome.SUCCESS,
        )

    def pull(self, node):
        while (decision := node.next_decision(self.now)) is not None:
            match decision:
                case CancelAttempt(attempt) if attempt.outcome is None:
                    self.end(attempt, Outcome.CANCELLED)
                case CheckHealth(backend):
                    good = self.chance.random() < 0.5
                    node.health_checked(self.now, node.endpoints.names[backend], good, 5)
                case SendAttempt(attempt):
                    self.case.assertEqual(
                        node.endpoints.state[attempt.backend], EndpointState.READY
                    )
                    self.case.assertIs(attempt.request.owner, node)
                    self.case.assertLess(self.now, attempt.request.deadline)
                case RejectRequest(request) | FailRequest(request):
                    self.case.assertNotIn(request.host_context, self.finals)
                    self.finals[request.host_context] = type(decision)

    def check(self, node):
        equal, all_of = self.case.assertEqual, range(len(node.endpoints.names))
        equal(len(node.selection.turn_share), len(node.endpoints.names))
        for part, names in (
            (node.pause_forecast, pause_forecast.INITIAL),
            (node.slow_start, slow_start.INITIAL),
            (node.endpoints, endpoint_stats.INITIAL),
            (node.ejections, ejections.INITIAL),
            (node.outliers, outlier_detection.INITIAL),
            (node.load_reports, load_reports.INITIAL),
        ):
            equal({len(getattr(part, name)) for name in names}, {len(node.endpoints.names)})
        equal(
            sorted(node.rotation.by_rank),
            [b for b in all_of if node.endpoints.state[b] == EndpointState.READY],
        )
        equal(
            node.rotation.by_rank,
            sorted(node.rotation.by_rank, key=node.endpoints.rank.__getitem__),
        )
        self.case.assertAlmostEqual(
            node.rotation.total_size, sum(node.endpoints.size[b] for b in node.rotation.by_rank)
        )
        self.case.assertLessEqual(set(node.rotation.subset), set(node.rotation.by_rank))
        equal(
            sorted(node.endpoints.removed),
            [b for b in all_of if node.endpoints.state[b] == EndpointState.REMOVED],
        )
        equal(
            {b: name for name, b in node.endpoints.index.items()},
            dict(enumerate(node.endpoints.names)),
        )
        equal(node.ejections.slow_count, sum(trouble is SLOW for trouble in node.ejections.reason))
        equal(
            sorted(node.ejections.ejected),
            [b for b in all_of if node.ejections.reason[b] is not None],
        )
        equal(
            node.limit.in_flight,
            sum(
                len(attempts)
                for b, attempts in node.ejections.in_flight.items()
                if node.ejections.reason[b] in COUNTS_TOWARD_CAPACITY
            ),
        )
        trials = [
            attempt.backend
            for each in self.owed
            if each.owner is node
            for attempt in each.attempts
            if attempt.is_trial and attempt.outcome is None
        ]
        equal(node.ejections.trials_in_flight, [trials.count(b) for b in all_of])
        equal(
            {len(node.limit.missing), len(node.limit.base), len(node.limit.answers)},
            {len(node.request_stats.classes)},
        )


class Changes(unittest.TestCase):
    def test_any_order(self):
        for seed in range(SEEDS):
            play = Chance(self, seed)
            for number in range(STEPS):
                with self.subTest(seed=seed, step=number):
                    play.step(number)
            self.assertGreater(len(play.finals), 0)
