"""Handover of learned state to the balancer that replaces another when settings change."""

import gc
import unittest
import weakref
from collections import OrderedDict, deque
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
from pierglade.balancer.dispatch import Dispatch
from pierglade.balancer.ejections import Ejections
from pierglade.balancer.endpoint_list import EndpointList
from pierglade.balancer.endpoint_stats import (
    INITIAL_LATENCY,
    EndpointStats,
    RequestClassStats,
    RequestStats,
)
from pierglade.balancer.endpoint_status import EndpointObserver
from pierglade.balancer.health_checks import HealthChecks
from pierglade.balancer.load_reports import LoadReports
from pierglade.balancer.outlier_detection import FAILING, SLOW, UNRESPONSIVE, OutlierDetection
from pierglade.balancer.pause_forecast import PauseForecast
from pierglade.balancer.pending_decisions import PendingDecisions
from pierglade.balancer.polling import PollSchedule
from pierglade.balancer.request_cost import RequestCosts
from pierglade.balancer.request_queue import RequestQueue
from pierglade.balancer.retry import RequestDeadlines, RetryBudget, RetryRules
from pierglade.balancer.rotation import Rotation
from pierglade.balancer.selection import Selection
from pierglade.balancer.slow_start import SlowStart
from pierglade.balancer.sweep import PeriodicSweep
from pierglade.balancer.wakeup import Wakeup
from pierglade.concurrency.limiter import ConcurrencyLimiter
from pierglade.model.decision import SendAttempt
from pierglade.model.endpoint import EndpointState, LoadReport, LoadReportSource
from pierglade.model.outcome import Outcome
from pierglade.model.request import Idempotency, RequestClass
from pierglade.proxy.state.events import ConfigurationLoaded
from pierglade.snapshot.handover import take_over
from pierglade.tenants.registry import RunningMedian, TenantRegistry
from tests.proxy.test_large_endpoint_lists import fleet, min_cpu_seconds
from tests.support.scene import (
    MS,
    BalancerHarness,
    StateMachineHarness,
    balancer_settings,
    entry,
    listed,
)

PARTS = (
    Dispatch,
    Ejections,
    EndpointList,
    EndpointObserver,
    OutlierDetection,
    PeriodicSweep,
    PendingDecisions,
    RequestCosts,
    RequestDeadlines,
    RequestQueue,
    RetryRules,
    Rotation,
    Selection,
    Wakeup,
    EndpointStats,
    HealthChecks,
    LoadReports,
    RequestStats,
    PauseForecast,
    PollSchedule,
    RetryBudget,
    SlowStart,
)


def replace_balancer(balancer_harness, **settings):
    """Replaces the scene's balancer by one with other settings; returns the earlier one."""
    before, balancer_harness.settings = balancer_harness.node, balancer_settings(**settings)
    balancer_harness.node = Balancer(4, balancer_harness.settings, balancer_harness.now, before)
    take_over(balancer_harness.node, before, balancer_harness.now)
    return before


def learn_pauses(balancer_harness):
    for _ in range(4):
        balancer_harness.flow(60)
        balancer_harness.flow(6, slow=("b1",))
        balancer_harness.after(200)
    balancer_harness.flow(20)


def unshared_fields(part):
    """Returns the fields of an object, except the times that retry budgets share on purpose."""
    shared = ("sent_at", "received_at") if isinstance(part, RetryBudget) else ()
    return {name: value for name, value in vars(part).items() if name not in shared}


def mutable_state(node):
    """Returns all mutable objects that a balancer refers to, by id, except those shared on purpose."""
    found, pending = (
        {},
        [value for name, value in unshared_fields(node).items() if name != "pick"],
    )
    while pending:
        value = pending.pop()
        if id(value) in found or not isinstance(
            value,
            (
                list,
                dict,
                deque,
                OrderedDict,
                RequestClassStats,
                ConcurrencyLimiter,
                RunningMedian,
                *PARTS,
            ),
        ):
            continue
        found[id(value)] = value
        pending += (
            value.values()
            if isinstance(value, dict)
            else value
            if isinstance(value, (list, deque))
            else (unshared_fields(value).values())
        )
    return found


class CopiedStateTest(unittest.TestCase):
    def test_decisions_are_unaffected_by_a_handover(self):
        """A balancer that is replaced decides like one that is not: rotation, pause skips, trials and levels."""
        for dead, slow in (((), ()), (("b3",), ("b2",))):
            lines = []
            for is_replaced in (False, True):
                balancer_harness = BalancerHarness(["b0", "b1", "b2", "b3"], dead=dead)
                learn_pauses(balancer_harness)
                balancer_harness.lines = []
                for n in range(3):
                    if is_replaced:
                        replace_balancer(balancer_harness, max_retry_after=n * MS)
                    balancer_harness.flow(25, slow=slow, slow_took=70)
                    balancer_harness.after(300)
                    node = balancer_harness.node
                    for name, backend in node.endpoints.index.items():
                        balancer_harness.record(
                            f"{name} {node.outliers.latency_level[backend]:.6f} {node.pause_forecast.next_pause_at[backend]} {node.ejections.reason[backend]}"
                        )
                lines.append(balancer_harness.lines)
            self.assertEqual(*lines)

    def test_all_state_is_copied(self):
        """Guards against a field that the successor leaves at its initial value."""
        balancer_harness = BalancerHarness(["b0", "b1", "b2"])
        learn_pauses(balancer_harness)
        before = replace_balancer(balancer_harness, worst_class_weight=0.5)
        node = balancer_harness.node
        for name in ejections.INITIAL:
            self.assertEqual(getattr(node.ejections, name), getattr(before.ejections, name), name)
        for name in outlier_detection.INITIAL:
            self.assertEqual(getattr(node.outliers, name), getattr(before.outliers, name), name)
        self.assertEqual(node.selection.accumulated_weight, before.selection.accumulated_weight)
        for name in pause_forecast.INITIAL:
            self.assertEqual(
                getattr(node.pause_forecast, name), getattr(before.pause_forecast, name), name
            )
        for name in endpoint_stats.INITIAL:
            self.assertEqual(getattr(node.endpoints, name), getattr(before.endpoints, name), name)
        for name in load_reports.INITIAL:
            self.assertEqual(
                getattr(node.load_reports, name), getattr(before.load_reports, name), name
            )
        for name in slow_start.INITIAL:
            if name != "allowance":
                self.assertEqual(
                    getattr(node.slow_start, name), getattr(before.slow_start, name), name
                )
        self.assertGreater(min(map(len, node.pause_forecast.samples)), 30)
        self.assertGreater(len(node.pause_forecast.pauses[node.endpoints.index["b1"]]), 2)
        self.assertEqual(
            [pauses.maxlen for pauses in node.pause_forecast.pauses if pauses],
            [pauses.maxlen for pauses in before.pause_forecast.pauses if pauses],
        )
        self.assertEqual(
            [vars(row) for row in node.request_stats.classes],
            [vars(row) for row in before.request_stats.classes],
        )
        self.assertEqual(
            (node.limit.per_backend, node.limit.base, node.limit.answers, node.limit.in_flight),
            (before.limit.per_backend, before.limit.base, before.limit.answers, 0),
        )
        self.assertEqual(
            (node.rotation.subset, node.rotation.by_rank, node.rotation.anchor),
            (before.rotation.subset, before.rotation.by_rank, before.rotation.anchor),
        )
        self.assertEqual(
            (
                node.outliers.loss_rate,
                node.request_costs.median_slowness,
                node.request_stats.succeeded,
                node.request_stats.span,
                node.request_stats.received,
            ),
            (
                before.outliers.loss_rate,
                before.request_costs.median_slowness,
                before.request_stats.succeeded,
                before.request_stats.span,
                before.request_stats.received,
            ),
        )

    def test_no_mutable_state_is_shared(self):
        """Both balancers run side by side; only the times of retries are shared, on purpose."""
        balancer_harness = BalancerHarness(
            ["b0", "b1", "b2"], tenants=TenantRegistry({"north": 20.0})
        )
        learn_pauses(balancer_harness)
        tenant = balancer_harness.settings.tenants.tenant("north")
        for n in range(6):
            balancer_harness.take(f"i{n}", tenant=tenant)
            balancer_harness.after(20)
            balancer_harness.end(f"i{n}")
        balancer_harness.take("out")
        balancer_harness.list([listed("b2", EndpointState.REMOVED)])
        before = replace_balancer(balancer_harness, max_retry_after=1)
        shared = mutable_state(before).keys() & mutable_state(balancer_harness.node).keys()
        self.assertEqual([mutable_state(before)[key] for key in shared], [])
        self.assertIs(before.retry_budget.sent_at, balancer_harness.node.retry_budget.sent_at)

    def test_the_earlier_balancer_learns_separately(self):
        """Responses to attempts of the earlier balancer change only its own statistics, and vice versa."""
        balancer_harness = BalancerHarness(["b0", "b1"])
        balancer_harness.flow(40)
        pending = [balancer_harness.take(f"i{n}") for n in range(2)]
        before = replace_balancer(balancer_harness, max_retry_after=1)
        node, statistics = (
            balancer_harness.node,
            [
                list(map(len, balancer_harness.node.pause_forecast.samples)),
                list(balancer_harness.node.outliers.latency_level),
            ],
        )
        for request in pending:
            before.attempt_ended(
                balancer_harness.now + 300 * MS,
                request.attempts[0],
                Outcome.SUCCESS,
                300 * MS,
                True,
            )
        self.assertEqual(
            [list(map(len, node.pause_forecast.samples)), list(node.outliers.latency_level)],
            statistics,
        )
        self.assertEqual(
            [len(times) + 1 for times in node.pause_forecast.samples],
            list(map(len, before.pause_forecast.samples)),
        )
        learned = list(before.outliers.latency_level)
        balancer_harness.flow(10)
        self.assertEqual(list(before.outliers.latency_level), learned)
        self.assertEqual(
            (before.limit.in_flight, before.ejections.in_flight, node.limit.in_flight), (0, {}, 0)
        )

    def test_an_ejected_backend_gets_no_requests_before_its_trial(self):
        """The successor sends no requests to an ejected backend before a trial request succeeds."""
        for reason in (FAILING, UNRESPONSIVE):
            with self.subTest(reason):
                balancer_harness = BalancerHarness(["b0", "b1", "b2"], dead=("b1",))
                balancer_harness.flow(30)
                backend = balancer_harness.node.endpoints.index["b1"]
                if reason is FAILING:
                    while balancer_harness.node.ejections.reason[backend] is None:
                        request = balancer_harness.take("i")
                        at_b1 = request.attempts and request.attempts[-1].backend == backend
                        balancer_harness.after(5)
                        balancer_harness.end(
                            "i", Outcome.SERVER_ERROR if at_b1 else Outcome.SUCCESS
                        )
                else:
                    while not [
                        attempt
                        for attempt in balancer_harness.take("i").attempts
                        if attempt.backend == backend
                    ]:
                        balancer_harness.after(5)
                        balancer_harness.end("i")
                    balancer_harness.after(950)
                self.assertIs(balancer_harness.node.ejections.reason[backend], reason)
                before = replace_balancer(balancer_harness, max_retry_after=1)
                self.assertIs(balancer_harness.node.ejections.reason[backend], reason)
                balancer_harness.lines = []
                balancer_harness.flow(20)
                self.assertNotIn(" b1", balancer_harness.lines[-1])
                balancer_harness.dead = ()
                balancer_harness.lines = []
                for _ in range(30):
                    if not balancer_harness.node.ejections.reason[backend]:
                        break
                    balancer_harness.take("t")
                    balancer_harness.after(150)
                    if balancer_harness.requests["t"].attempts[-1].outcome is None:
                        balancer_harness.end("t")
                self.assertIsNone(balancer_harness.node.ejections.reason[backend])
                self.assertTrue(any("as a trial" in line for line in balancer_harness.lines))
                self.assertEqual(balancer_harness.node.ejections.trials_in_flight[backend], 0)
                self.assertIs(before.ejections.reason[backend], reason)

    def test_a_trial_in_flight_at_the_earlier_balancer(self):
        """The successor does not wait for it; its own trial is sent when it is due."""
        balancer_harness = BalancerHarness(["b0", "b1"], may_check_health=False)
        balancer_harness.flow(30)
        node, backend = balancer_harness.node, balancer_harness.node.endpoints.index["b1"]
        node.outliers.eject(backend, FAILING, balancer_harness.now)
        balancer_harness.after(160)
        while not (trial := balancer_harness.take("t")).attempts[-1].is_trial:
            balancer_harness.after(5)
            balancer_harness.end("t")
        self.assertEqual(node.ejections.trials_in_flight[backend], 1)
        before = replace_balancer(balancer_harness, max_retry_after=1)
        self.assertEqual(
            (
                balancer_harness.node.ejections.trials_in_flight[backend],
                balancer_harness.node.ejections.trial_due[backend],
            ),
            (0, False),
        )
        balancer_harness.after(1000)
        self.assertTrue(balancer_harness.node.ejections.trial_due[backend])
        before.attempt_ended(
            balancer_harness.now, trial.attempts[0], Outcome.SUCCESS, 20 * MS, True
        )
        self.assertEqual(
            (
                before.ejections.trials_in_flight[backend],
                balancer_harness.node.ejections.trials_in_flight[backend],
            ),
            (0, 0),
        )

    def test_ejections_of_slow_backends_expire(self):
        """A copied ejection for slowness is counted, and ends at its time."""
        balancer_harness = BalancerHarness(["b0", "b1", "b2"])
        balancer_harness.flow(60)
        backend = balancer_harness.node.endpoints.index["b1"]
        balancer_harness.node.outliers.eject(backend, SLOW, balancer_harness.now)
        replace_balancer(balancer_harness, max_retry_after=1)
        self.assertEqual(
            (
                balancer_harness.node.ejections.slow_count,
                list(balancer_harness.node.ejections.ejected),
            ),
            (1, [backend]),
        )
        balancer_harness.after(6000)
        self.assertEqual(
            (
                balancer_harness.node.ejections.slow_count,
                balancer_harness.node.ejections.ejected,
                balancer_harness.node.ejections.reason[backend],
            ),
            (0, {}, None),
        )

    def test_returning_to_earlier_settings(self):
        """The state comes from the last balancer, not from the one that had these settings before."""
        balancer_harness = BalancerHarness(["b0", "b1", "b2"])
        learn_pauses(balancer_harness)
        first = balancer_harness.node
        replace_balancer(balancer_harness, max_attempts=1)
        balancer_harness.flow(20, slow=("b2",), slow_took=30)
        second = replace_balancer(balancer_harness)
        self.assertEqual(
            balancer_harness.node.outliers.latency_level, second.outliers.latency_level
        )
        self.assertNotEqual(
            balancer_harness.node.outliers.latency_level, first.outliers.latency_level
        )
        self.assertEqual(balancer_harness.node.pause_forecast.pauses, second.pause_forecast.pauses)
        self.assertGreaterEqual(
            min(map(len, filter(None, second.pause_forecast.pauses))),
            min(map(len, filter(None, first.pause_forecast.pauses))),
        )


class RequestClassesTest(unittest.TestCase):
    def learned_scene(self):
        balancer_harness = BalancerHarness(["b0", "b1", "b2"])
        for n in range(60):
            balancer_harness.take(f"i{n}", request_class=n % 3)
            balancer_harness.after((20, 30, 60)[n % 3])
            balancer_harness.end(f"i{n}")
        return balancer_harness

    def test_classes_are_matched_by_name(self):
        """Classes are reordered, added and removed: each keeps its own statistics; a new one starts fresh."""
        balancer_harness = self.learned_scene()
        look, _, pay = balancer_harness.settings.request_classes
        request_classes = [
            replace(pay, index=0),
            RequestClass(1, "new", Idempotency.SAFE, "all", 0, 800 * MS, 1000 * MS, 1.0),
            replace(look, index=2),
        ]
        before = replace_balancer(balancer_harness, request_classes=request_classes)
        node = balancer_harness.node
        self.assertEqual(
            [row.typical for row in node.request_stats.classes],
            [
                before.request_stats.classes[2].typical,
                INITIAL_LATENCY * 800 * MS,
                before.request_stats.classes[0].typical,
            ],
        )
        self.assertEqual(
            [row.answers for row in node.request_stats.classes],
            [before.request_stats.classes[2].answers, 2, before.request_stats.classes[0].answers],
        )
        self.assertEqual(node.limit.base, [before.limit.base[2], 0.0, before.limit.base[0]])
        self.assertEqual(node.limit.answers, [before.limit.answers[2], 0, before.limit.answers[0]])
        self.assertEqual(len(node.limit.missing), 3)
        self.assertFalse(
            node.request_stats.last_received[Idempotency.KEYED] > node.request_stats.received - 100
        )
        self.assertEqual(
            [
                node.request_stats.last_received[kind]
                for kind in (Idempotency.SAFE, Idempotency.UNSAFE)
            ],
            [58, 60],
        )
        for n in range(30):
            balancer_harness.take(f"j{n}", request_class=n % 3)
            balancer_harness.after(20)
            balancer_harness.end(f"j{n}")
        self.assertGreater(node.limit.answers[1], 5)

    def test_a_new_idempotency_counts_as_received(self):
        """An idempotency that returns to the settings counts as just received, so that it is not ignored."""
        balancer_harness = self.learned_scene()
        request_classes = balancer_harness.settings.request_classes
        replace_balancer(balancer_harness, request_classes=request_classes[:1])
        balancer_harness.flow(150)
        replace_balancer(balancer_harness, request_classes=request_classes)
        self.assertEqual(
            [
                balancer_harness.node.request_stats.last_received[kind]
                for kind in (Idempotency.SAFE, Idempotency.KEYED, Idempotency.UNSAFE)
            ],
            [210] * 3,
        )

    def test_fewer_classes_during_a_probing_round(self):
        """Attempts in flight of a removed class end at the earlier balancer; the successor goes on."""
        balancer_harness = self.learned_scene()
        for n in range(3):
            balancer_harness.take(f"out{n}", request_class=2)
        before = replace_balancer(
            balancer_harness, request_classes=balancer_harness.settings.request_classes[:1]
        )
        self.assertEqual(
            (balancer_harness.node.limit.missing, balancer_harness.node.limit.in_flight), ([0], 0)
        )
        for n in range(3):
            before.attempt_ended(
                balancer_harness.now,
                balancer_harness.requests[f"out{n}"].attempts[0],
                Outcome.SUCCESS,
                10,
                True,
            )
        self.assertEqual(before.limit.in_flight, 0)
        balancer_harness.flow(30)

    def test_no_class_remains(self):
        """Without a common class the concurrency limit starts anew."""
        balancer_harness = self.learned_scene()
        replace_balancer(
            balancer_harness,
            request_classes=[
                RequestClass(0, "new", Idempotency.KEYED, "all", 0, 400 * MS, 1000 * MS, 1.0)
            ],
        )
        node = balancer_harness.node
        self.assertEqual(
            (node.limit.base, node.limit.answers, node.request_stats.classes[0].answers),
            ([0.0], [0], 2),
        )
        self.assertGreater(
            node.request_stats.last_received[Idempotency.KEYED], node.request_stats.received - 100
        )
        balancer_harness.flow(10)

    def test_another_request_timeout_resets_the_usual_time(self):
        """The usual time budget of first attempts depends on the request timeout of their class."""
        balancer_harness = self.learned_scene()
        request_classes = [
            replace(row, request_timeout=2000 * MS if row.index == 0 else row.request_timeout)
            for row in balancer_harness.settings.request_classes
        ]
        before = replace_balancer(balancer_harness, request_classes=request_classes)
        self.assertEqual(
            [row.usual_left for row in balancer_harness.node.request_stats.classes],
            [0, *(row.usual_left for row in before.request_stats.classes[1:])],
        )

    def test_a_class_without_responses_follows_its_objective(self):
        """Without responses the typical latency is the assumption for the new latency objective."""
        balancer_harness = BalancerHarness(["b0"])
        request_classes = [
            replace(row, latency_objective=800 * MS)
            for row in balancer_harness.settings.request_classes
        ]
        replace_balancer(balancer_harness, request_classes=request_classes)
        self.assertEqual(
            {row.typical for row in balancer_harness.node.request_stats.classes},
            {INITIAL_LATENCY * 800 * MS},
        )


class NotCopiedTest(unittest.TestCase):
    """State that is not copied, as it means something else under the new settings."""

    def test_another_position_among_the_nodes(self):
        """With another node number or count, the subset and the concurrency limit start anew."""
        names = [f"b{n}" for n in range(100)]
        tenants = TenantRegistry({"north": 200.0})
        balancer_harness = BalancerHarness(names, node_count=10, node_number=0, tenants=tenants)
        balancer_harness.flow(60)
        for settings in (dict(node_count=10, node_number=5), dict(node_count=20, node_number=5)):
            before = replace_balancer(balancer_harness, tenants=tenants, **settings)
            fresh = BalancerHarness(names, tenants=tenants, **settings).node
            # The subset is even at once; changing one backend at a time would take minutes.
            self.assertEqual(
                set(
                    balancer_harness.node.endpoints.names[backend]
                    for backend in balancer_harness.node.rotation.subset
                ),
                set(fresh.endpoints.names[backend] for backend in fresh.rotation.subset),
            )
            self.assertEqual(balancer_harness.node.limit.nodes, settings["node_count"])
            self.assertEqual(
                balancer_harness.node.limit.answers == before.limit.answers,
                settings["node_count"] == before.settings.node_count,
            )
            self.assertEqual(
                balancer_harness.node.outliers.latency_level, before.outliers.latency_level
            )

    def test_an_uneven_subset_is_copied_as_it_is(self):
        """In the same position the successor continues the gradual change of the subset."""
        tenants = TenantRegistry({"north": 200.0})
        balancer_harness = BalancerHarness(
            [f"b{n}" for n in range(100)], node_count=10, node_number=5, tenants=tenants
        )
        balancer_harness.after(100)
        balancer_harness.list([listed(f"b{n}", EndpointState.REMOVED) for n in range(30)])
        subset = list(balancer_harness.node.rotation.subset)
        replace_balancer(
            balancer_harness, node_count=10, node_number=5, tenants=tenants, max_retry_after=1
        )
        self.assertEqual(balancer_harness.node.rotation.subset, subset)
        balancer_harness.after(30000)
        fresh = BalancerHarness(
            [f"b{n}" for n in range(30, 100)], node_count=10, node_number=5, tenants=tenants
        ).node
        self.assertNotEqual(
            [balancer_harness.node.endpoints.names[backend] for backend in subset],
            [fresh.endpoints.names[backend] for backend in fresh.rotation.subset],
        )

    def test_other_quotas_only_resize_the_subset(self):
        """Doubled quotas double the subset and the demand; the concurrency limit keeps its responses."""
        names = [f"b{n}" for n in range(100)]
        balancer_harness = BalancerHarness(
            names, node_count=10, node_number=3, tenants=TenantRegistry({"north": 200.0})
        )
        balancer_harness.flow(60)
        before = replace_balancer(
            balancer_harness, node_count=10, node_number=3, tenants=TenantRegistry({"north": 400.0})
        )
        self.assertEqual(
            balancer_harness.node.rotation.subset[: len(before.rotation.subset)],
            before.rotation.subset,
        )
        self.assertEqual(
            len(balancer_harness.node.rotation.subset), 2 * len(before.rotation.subset)
        )
        self.assertEqual(
            (balancer_harness.node.limit.demand, balancer_harness.node.limit.answers),
            (2 * before.limit.demand, before.limit.answers),
        )

    def test_from_quotas_to_a_learned_traffic_share_and_back(self):
        """Traffic share and concurrency limit are copied only if both balancers get them in the same way."""
        names = [f"b{n}" for n in range(12)]
        learned_share = dict(
            node_count=70, tenants=TenantRegistry(), load_report_source=LoadReportSource.RESPONSES
        )
        quotas = dict(node_count=70, tenants=TenantRegistry({"north": 500.0}))
        balancer_harness = BalancerHarness(names, **quotas)
        balancer_harness.flow(60)
        level = list(balancer_harness.node.outliers.latency_level)
        before = replace_balancer(balancer_harness, **learned_share)
        fresh = BalancerHarness(names, **learned_share).node
        self.assertEqual(
            (balancer_harness.node.outliers.latency_level, balancer_harness.node.limit.answers),
            (level, [0, 0, 0]),
        )
        self.assertEqual(
            (
                balancer_harness.node.rotation.subset_size,
                balancer_harness.node.rotation.request_rate,
            ),
            (fresh.rotation.subset_size, fresh.rotation.request_rate),
        )
        balancer_harness.node.load_reports.traffic_share = 3.0
        balancer_harness.flow(60)
        before = replace_balancer(balancer_harness, max_retry_after=1, **learned_share)
        self.assertEqual(
            (
                balancer_harness.node.load_reports.traffic_share,
                balancer_harness.node.rotation.subset_size,
                balancer_harness.node.rotation.request_rate,
                balancer_harness.node.limit.per_backend,
            ),
            (
                3.0,
                before.rotation.subset_size,
                before.rotation.request_rate,
                before.limit.per_backend,
            ),
        )
        self.assertGreater(sum(balancer_harness.node.limit.answers), 0)
        replace_balancer(balancer_harness, **quotas)
        self.assertEqual(
            (balancer_harness.node.load_reports.traffic_share, balancer_harness.node.limit.answers),
            (1.0, [0, 0, 0]),
        )

    def test_another_source_of_load_reports(self):
        """Load reports are copied only if their source and fields stay the same."""
        settings = dict(
            node_count=70,
            tenants=TenantRegistry(),
            load_report_fields=("throughput", "utilization"),
        )
        balancer_harness = BalancerHarness(
            ["b0", "b1"], load_report_source=LoadReportSource.RESPONSES, **settings
        )
        for name in ("b0", "b1"):
            balancer_harness.node.load_reported(
                balancer_harness.now, name, LoadReport(throughput=30.0, utilization=0.6)
            )
        before = replace_balancer(
            balancer_harness,
            max_retry_after=1,
            load_report_source=LoadReportSource.RESPONSES,
            **settings,
        )
        for name in load_reports.INITIAL:
            self.assertEqual(
                getattr(balancer_harness.node.load_reports, name),
                getattr(before.load_reports, name),
            )
        replace_balancer(
            balancer_harness, load_report_source=LoadReportSource.HEALTH_CHECKS, **settings
        )
        for name, initial in load_reports.INITIAL.items():
            self.assertEqual(getattr(balancer_harness.node.load_reports, name), [initial] * 2)

    def test_slow_start_duration_and_allowance(self):
        """Slow start ends by the new duration; the allowance moves to the successor, not to both."""
        balancer_harness = BalancerHarness(
            ["b0", "b1", listed("b2", started=9000 * MS)], slow_start_duration=8000 * MS
        )
        backend = balancer_harness.node.endpoints.index["b2"]
        allowance = list(balancer_harness.node.slow_start.allowance)
        before = replace_balancer(balancer_harness, slow_start_duration=3000 * MS)
        self.assertEqual(
            (balancer_harness.node.slow_start.until[backend], before.slow_start.until[backend]),
            (12000 * MS, 17000 * MS),
        )
        self.assertEqual(balancer_harness.node.slow_start.until.count(0), 2)
        self.assertEqual(
            (balancer_harness.node.slow_start.allowance, before.slow_start.allowance),
            (allowance, [0.0] * 3),
        )

    def sent_to_cold_backend(self, every_ms):
        """Returns the attempts within 8 s at a cold backend, of 100 requests per second at four backends.

        Settings change every `every_ms`; the pending attempt of the earlier balancer fails then, so
        that it sends another one.
        """
        balancer_harness = BalancerHarness(
            ["b0", "b1", "b2", listed("b3", started=10000 * MS)],
            tenants=TenantRegistry({"north": 100.0}),
            slow_start_capacity=0.1,
            slow_start_overload=2.0,
        )
        cold, sent, next_change_ms = balancer_harness.node.endpoints.index["b3"], 0, every_ms
        for n in range(800):
            # At each change the earlier balancer has one pending request, which it may send to the cold backend.
            requests = [balancer_harness.take(f"i{n}")]
            balancer_harness.after(5)
            if next_change_ms is not None and n * 10 >= next_change_ms:
                next_change_ms += every_ms
                before, balancer_harness.settings = (
                    balancer_harness.node,
                    balancer_settings(
                        tenants=TenantRegistry({"north": 100.0}),
                        slow_start_capacity=0.1,
                        slow_start_overload=2.0,
                    ),
                )
                balancer_harness.node = Balancer(
                    n, balancer_harness.settings, balancer_harness.now, before
                )
                take_over(balancer_harness.node, before, balancer_harness.now)
                before.attempt_ended(
                    balancer_harness.now,
                    requests[0].attempts[-1],
                    Outcome.CONNECT_FAILED,
                    10,
                    False,
                )
                while (decision := before.next_decision(balancer_harness.now)) is not None:
                    if type(decision) is SendAttempt:
                        before.attempt_ended(
                            balancer_harness.now, decision.attempt, Outcome.SUCCESS, 10, True
                        )
            else:
                balancer_harness.end(f"i{n}")
            balancer_harness.after(5)
            sent += sum(attempt.backend == cold for attempt in requests[0].attempts)
        return sent

    def test_changes_of_settings_do_not_overload_a_cold_backend(self):
        """If both balancers kept the allowance, each change would add what the earlier one still sends."""
        baseline = self.sent_to_cold_backend(None)
        self.assertGreater(baseline, 50)
        self.assertLessEqual(self.sent_to_cold_backend(20), baseline + 2 * baseline**0.5 + 2)

    def test_removal_binds_after_a_change(self):
        """A removed backend that was still used is removed once the settings say that removal binds."""
        balancer_harness = BalancerHarness(["b0", "b1", "b2"], removal_binds=False)
        balancer_harness.flow(30)
        balancer_harness.list([listed("b1", EndpointState.REMOVED)])
        self.assertEqual(len(balancer_harness.node.rotation.by_rank), 3)
        replace_balancer(balancer_harness, removal_binds=False, max_retry_after=1)
        self.assertEqual(len(balancer_harness.node.rotation.by_rank), 3)
        before = replace_balancer(balancer_harness, removal_binds=True)
        self.assertEqual(
            (len(balancer_harness.node.rotation.by_rank), len(before.rotation.by_rank)), (2, 3)
        )
        self.assertEqual(
            balancer_harness.node.endpoints.state[balancer_harness.node.endpoints.index["b1"]],
            EndpointState.REMOVED,
        )
        balancer_harness.lines = []
        balancer_harness.after(5000)
        balancer_harness.flow(20)
        self.assertNotIn(" b1", balancer_harness.lines[-1])


class ProxyStateMachineTest(unittest.TestCase):
    """Handover in the proxy: both balancers get the endpoint list; the earlier one ends with its requests."""

    def setUp(self):
        self.harness = StateMachineHarness(["b0", "b1"])
        self.machine = self.harness.state_machine
        self.version = 0

    def configure(self, **changes):
        self.version += 1
        self.harness.handle_event(
            ConfigurationLoaded("", {"settings": self.version}, balancer_settings(**changes))
        )
        return self.machine.balancers.current

    def run_request(self, name):
        self.harness.send_request(name)
        if self.harness.links[-1].state == "connecting":
            self.harness.connect_upstream()
        self.harness.after(15)
        self.harness.reply(
            link=next(
                index for index, link in enumerate(self.harness.links) if link.attempt is not None
            )
        )
        self.harness.after(15)

    def test_two_changes_at_once_keep_what_was_learned(self):
        """A second change before any request is received copies from the successor of the first."""
        for n in range(8):
            self.run_request(f"c{n}")
        learned = [
            (row.typical, row.skew, row.answers)
            for row in self.machine.balancers.current.request_stats.classes
        ]
        self.configure(max_attempts=1)
        node = self.configure(max_attempts=2)
        self.assertEqual(
            [(row.typical, row.skew, row.answers) for row in node.request_stats.classes], learned
        )
        self.assertEqual(learned[0][2], 10)
        self.assertEqual(sum(map(len, node.pause_forecast.samples)), 8)
        self.assertEqual(self.machine.balancers.earlier, [])

    def test_load_shedding_continues(self):
        """The load shedder is kept, or all that it sheds would be admitted at once, unless its classes change."""
        self.machine.balancers.load_shedder.threshold = 0.5
        self.configure(max_attempts=1)
        self.assertEqual(self.machine.balancers.load_shedder.threshold, 0.5)
        self.configure(
            request_classes=[
                replace(row, priority_weight=1.0) for row in balancer_settings().request_classes
            ]
        )
        # Its shedding classes have changed.
        self.assertEqual(self.machine.balancers.load_shedder.threshold, 0.0)

    def test_stricter_settings_do_not_apply_to_pending_requests(self):
        """Fewer attempts and a shorter timeout: a pending request keeps those under which it was received."""
        for n in range(4):
            self.run_request(f"c{n}")
        self.harness.send_request("pending", "/look")
        pending = self.harness.clients["pending"].request
        request_classes = [
            replace(row, latency_objective=50 * MS, request_timeout=100 * MS)
            for row in balancer_settings().request_classes
        ]
        first = self.machine.balancers.current
        node = self.configure(request_classes=request_classes, max_attempts=1)
        self.assertEqual(self.machine.balancers.earlier, [first])
        self.harness.lose(
            link=next(
                index for index, link in enumerate(self.harness.links) if link.attempt is not None
            )
        )
        self.assertEqual((len(pending.attempts), pending.completed), (2, False))
        self.harness.connect_upstream()
        self.harness.after(250)
        self.assertFalse(pending.completed)
        self.harness.lines = []
        self.harness.reply()
        self.assertTrue(
            any("SendResponse pending HTTP/1.1 200" in line for line in self.harness.lines),
            self.harness.lines,
        )
        self.assertEqual(
            (self.machine.balancers.earlier, self.machine.balancers.current), ([], node)
        )
        self.assertEqual(node.limit.in_flight, 0)

    def test_the_earlier_balancer_is_released_after_its_last_response(self):
        """It is not referenced any more once it has no pending request; one without any is released at once."""
        self.harness.send_request("pending")
        first = weakref.ref(self.machine.balancers.current)
        self.configure(max_attempts=1)
        second = weakref.ref(self.machine.balancers.current)
        self.configure(max_attempts=2)
        gc.collect()
        self.assertIsNotNone(first())
        self.assertIsNone(second())
        self.harness.connect_upstream()
        self.harness.reply()
        self.harness.response_sent("pending")
        self.harness.lines, self.harness.links = [], self.harness.links
        self.harness.after(20)
        gc.collect()
        self.assertIsNone(first())

    def test_both_balancers_get_endpoint_updates(self):
        """An update of the endpoint list also reaches the earlier balancer while it has a pending request."""
        self.harness.send_request("pending")
        first = self.machine.balancers.current
        node = self.configure(max_attempts=1)
        self.harness.update_endpoints([entry("b0", "DRAINING"), entry("b2")], 2, whole=False)
        for balancer in (first, node):
            self.assertEqual(
                [balancer.endpoints.names[backend] for backend in balancer.rotation.by_rank],
                [balancer.endpoints.names[backend] for backend in node.rotation.by_rank],
            )
            self.assertEqual(
                sorted(balancer.endpoints.names[backend] for backend in balancer.rotation.by_rank),
                ["b1", "b2"],
            )
        self.assertEqual(len(first.endpoints.names), 3)

    def test_endpoint_update_and_settings_at_once(self):
        """The successor has the last list, and follows the next one."""
        self.harness.update_endpoints(["b0", "b2"], 2)
        node = self.configure(max_attempts=1)
        self.assertEqual(
            sorted(node.endpoints.names[backend] for backend in node.rotation.subset), ["b0", "b2"]
        )
        self.harness.update_endpoints(["b0", "b1"], 3)
        self.assertEqual(
            sorted(node.endpoints.names[backend] for backend in node.rotation.subset), ["b0", "b1"]
        )

    def test_settings_before_the_first_endpoint_list(self):
        """A change of settings without any backend does not prevent the first list from being used."""
        harness = StateMachineHarness([])
        harness.handle_event(
            ConfigurationLoaded("", {"settings": 1}, balancer_settings(max_attempts=1))
        )
        harness.update_endpoints(["b0"], 1)
        self.assertEqual(len(harness.state_machine.balancers.current.rotation.subset), 1)


class TakeOverCostTest(unittest.TestCase):
    def test_a_handover_costs_a_fraction_of_a_start(self):
        """When the successor processed the endpoint list again, a change of settings cost as much as a start."""
        entries, current = fleet(0, 4000), Balancer(4, balancer_settings(node_count=720), 0)
        current.endpoints_updated(0, entries, True)

        def start():
            node = Balancer(4, balancer_settings(node_count=720), 1)
            return lambda: node.endpoints_updated(1, entries, True)

        def hand_over():
            node = Balancer(4, balancer_settings(node_count=720), 1, current)
            return lambda: take_over(node, current, 1)

        start_s, handover_s = min_cpu_seconds(
            start, hand_over, lambda start_s, handover_s: 8 * handover_s < start_s
        )
        self.assertLess(
            8 * handover_s,
            start_s,
            f"a handover takes {handover_s * 1000:.1f} ms, a start {start_s * 1000:.1f} ms",
        )
