"""The decisions of a balancer: which backend gets a request, what is retried, what is rejected.

A host makes one `Balancer` with a seed and its settings, and reports whatever happens by its inputs
(`endpoints_updated`, `request_received`, `attempt_ended` and so on); these only update what is
known. It then pulls `next_decision(now)` until that is None, carries each decision out, and calls
again no later than `next_wakeup(now)`. The decisions' types are in `pierglade/model/decision.py`;
docs/design.md has the reasons. Moments and spans are tenths of a millisecond. No I/O, no clock.
"""

import random
from collections.abc import Iterable

from pierglade.balancer.dispatch import Dispatch
from pierglade.balancer.ejections import Ejections
from pierglade.balancer.endpoint_list import EndpointList
from pierglade.balancer.endpoint_stats import EndpointStats, RequestStats
from pierglade.balancer.endpoint_status import EndpointObserver, EndpointStatus
from pierglade.balancer.health_checks import HealthChecks
from pierglade.balancer.load_reports import LoadReports
from pierglade.balancer.outlier_detection import OutlierDetection
from pierglade.balancer.pause_forecast import PauseForecast
from pierglade.balancer.pending_decisions import PendingDecisions
from pierglade.balancer.polling import PollSchedule
from pierglade.balancer.request_cost import RequestCosts
from pierglade.balancer.request_queue import RequestQueue, is_host_late
from pierglade.balancer.retry import RequestDeadlines, RetryBudget, RetryRules
from pierglade.balancer.rotation import RATE_LEAST, Rotation
from pierglade.balancer.selection import Selection
from pierglade.balancer.slow_start import SlowStart
from pierglade.balancer.stored_figures import export_statistics, restore_statistics
from pierglade.balancer.sweep import PeriodicSweep
from pierglade.balancer.wakeup import NEVER, SWEEP_INTERVAL, Wakeup
from pierglade.concurrency.limiter import ConcurrencyLimiter
from pierglade.model.decision import (
    Decision,
    RejectRequest,
)
from pierglade.model.endpoint import (
    Endpoint,
    LoadReport,
    LoadReportSource,
)
from pierglade.model.outcome import Outcome
from pierglade.model.request import Attempt, Request, RequestClass
from pierglade.settings.balancer import BalancerSettings

# Times the usual latency; how long an attempt that nobody waits for still counts as in flight.
ABANDONED_FOR = 1.5
# 0.1 s; advice to a rejected client without overload, as what it found full may be free.
RETRY_SOON = 1000
# 0.5 s; the same under overload, the time a burst takes to pass.
RETRY_LATER = 5000


class Balancer:
    """One balancer: joins the parts that own what is known, and makes the decisions."""

    def __init__(
        self, seed: int, settings: BalancerSettings, now: int, before: "Balancer | None" = None
    ) -> None:
        """`before`: whose place this one takes as settings change; both spend one retry budget."""
        self.settings = settings
        self.pick = random.Random(seed).randrange
        has_quotas = settings.tenants.total > 0
        # Without a word of what others are asked for, probing rounds find the limit
        # (docs/notes/limit.md).
        self.learns = bool(
            not has_quotas and settings.node_count > 1 and settings.load_report_source
        )
        rate = settings.tenants.total / settings.node_count / 10000
        demand = RATE_LEAST if self.learns else rate or None
        class_count = len(settings.request_classes)
        self.limit = ConcurrencyLimiter(settings.node_count, class_count, now, demand)
        self.polling = PollSchedule(settings.polls_endpoints, now, self.pick)
        self.wakeup = Wakeup(self.polling.next_at)
        self.pending = PendingDecisions(settings.may_cancel)
        self._make_stats(now)
        self.rotation = Rotation(
            settings,
            now,
            self.pick,
            self.learns,
            self.limit,
            self.wakeup,
            self.endpoints,
            self.request_stats,
            self.slow_start,
            self.load_reports,
            self.ejections,
        )
        self._make_rules(before)
        self._make_choices()
        self._make_fronts()

    def _make_stats(self, now: int) -> None:
        """The parts that only keep figures."""
        settings, learns = self.settings, self.learns
        longest_timeout = max(each.request_timeout for each in settings.request_classes)
        self.endpoints = EndpointStats(longest_timeout)
        self.request_stats = RequestStats(settings.request_classes, now)
        self.request_costs = RequestCosts(self.request_stats)
        self.pause_forecast = PauseForecast()
        self.slow_start = SlowStart.from_settings(settings)
        by_checks = learns and settings.load_report_source == LoadReportSource.HEALTH_CHECKS
        are_rare = by_checks and "throughput" not in settings.load_report_fields
        self.load_reports = LoadReports(
            settings, self.endpoints, self.request_stats, self.slow_start, are_rare, now
        )
        self.health_checks = HealthChecks(by_checks and settings.may_check_health, are_rare)
        self.ejections = Ejections(self.limit, self.wakeup)
        self.queue = RequestQueue(settings, self.request_stats, self.wakeup)

    def _make_rules(self, before: "Balancer | None") -> None:
        """The parts that judge by those figures."""
        settings = self.settings
        self.retry_budget = RetryBudget.from_settings(settings, before and before.retry_budget)
        self.retry_rules = RetryRules(settings.max_attempts, self.endpoints)
        self.deadlines = RequestDeadlines(settings, self.request_stats, self.rotation, self.queue)
        self.outliers = OutlierDetection(
            settings,
            self.limit,
            self.wakeup,
            self.endpoints,
            self.request_stats,
            self.request_costs,
            self.pause_forecast,
            self.ejections,
            self.rotation,
            self.retry_budget,
            self.deadlines,
            self.health_checks,
            self.pending,
        )

    def _make_choices(self) -> None:
        """The parts that choose by these."""
        self.selection = Selection(
            self.settings,
            self.learns,
            self.limit,
            self.endpoints,
            self.request_stats,
            self.pause_forecast,
            self.slow_start,
            self.ejections,
            self.outliers,
            self.rotation,
            self.retry_rules,
        )
        self.dispatch = Dispatch(
            self.limit,
            self.wakeup,
            self.pending,
            self.queue,
            self.deadlines,
            self.retry_budget,
            self.retry_rules,
            self.selection,
            self.rotation,
            self.ejections,
            self.slow_start,
            self.health_checks,
            self.load_reports,
            self.request_stats,
        )

    def _make_fronts(self) -> None:
        """The parts that join others for one input or question."""
        self._endpoint_list = EndpointList(
            self.pick,
            self.endpoints,
            self.ejections,
            self.outliers,
            self.pause_forecast,
            self.slow_start,
            self.load_reports,
            self.selection,
            self.rotation,
        )
        self._sweep = PeriodicSweep(
            self.learns,
            self.wakeup,
            self.rotation,
            self.polling,
            self.pending,
            self.queue,
            self.dispatch,
            self.deadlines,
            self.request_stats,
            self.request_costs,
            self.load_reports,
            self.ejections,
            self.outliers,
        )
        self._observer = EndpointObserver(
            self.endpoints,
            self.rotation,
            self.ejections,
            self.outliers,
            self.pause_forecast,
            self.slow_start,
        )

    def replace_limit(self, limit: ConcurrencyLimiter) -> None:
        """All parts go on with that limiter (`pierglade/snapshot/handover.py`)."""
        self.limit = self.ejections.limit = self.rotation.limit = limit
        self.outliers.limit = self.selection.limit = self.dispatch.limit = limit

    # What hosts and operators may ask.

    @property
    def overloaded(self) -> bool:
        """Whether requests wait for too long."""
        return self.queue.overloaded

    def endpoint_name(self, backend: int) -> str:
        """The name of the backend with that index."""
        return self.endpoints.names[backend]

    def endpoint_status(self, name: str, now: int) -> EndpointStatus | None:
        """What is known of the backend of that name; None if nothing is."""
        return self._observer.status(name, now)

    def queue_length(self) -> int:
        """How many requests wait for a backend."""
        return len(self.queue)

    def retry_after(self, now: int) -> int:
        """Advice to a rejected client; 0 where clients are given none."""
        return min(RETRY_LATER if self.overloaded else RETRY_SOON, self.settings.max_retry_after)

    def export_statistics(self, keys: Iterable[str]) -> tuple[list[dict], dict[str, dict]]:
        """What a restart would forget; see `stored_figures.export_statistics`."""
        return export_statistics(self, keys)

    def restore_statistics(self, rows: list[dict], backends: dict[str, dict]) -> None:
        """Takes back exported statistics; see `stored_figures.restore_statistics`."""
        restore_statistics(self, rows, backends)

    # Inputs: they update what is known.

    def quotas_updated(self, now: int) -> None:
        """What tenants may ask has changed; they have quotas, and had some before."""
        self.rotation.quotas_updated(now)

    def endpoints_updated(self, now: int, entries: Iterable[Endpoint], whole: bool) -> None:
        """The endpoint list: of all backends where it is `whole`, or of the changed ones."""
        self.polling.endpoints_updated()
        self._endpoint_list.apply(now, entries, whole)

    def discovery_lost(self, now: int, waited: int = -NEVER) -> None:
        """The list could not be had, or is watched no more; `waited`: since its last update."""
        self.polling.discovery_lost(now, waited)
        self.wakeup.request(self.polling.next_at)

    def load_reported(self, now: int, name: str, load: LoadReport) -> None:
        """A backend reports its load, with an answer or a health check's result."""
        backend = self.endpoints.index.get(name)
        if backend is not None:
            self.load_reports.load_reported(backend, now, load)

    def request_received(self, now: int, request: Request) -> None:
        """A request has come in; from here on it gets exactly one final answer."""
        self.retry_budget.request_received(now)
        self.queue.count_tenant(request.tenant, now)
        request.queued_since = request.arrived_at
        request.objective_at = request.arrived_at + self.deadlines.time_left(request)
        self.request_costs.assess(now, request, self.request_stats.request_received(request))
        self.queue.add(request)
        self.wakeup.request(now + SWEEP_INTERVAL)

    def should_shed(
        self,
        now: int,
        idle: int,
        request_class: RequestClass,
        came: int,
        left: int,
        refused: bool = False,
    ) -> bool:
        """Whether what has come is rejected unseen, as the host is short of its core.

        `idle`: when the host was last idle; `refused`: it was shed at the door already.
        """
        shed = refused or is_host_late(now, idle, request_class, came)
        self.deadlines.shed(request_class, left, shed)
        return shed

    def attempt_ended(
        self, now: int, attempt: Attempt, outcome: Outcome, took: int, done: bool
    ) -> None:
        """An attempt has ended after `took`; `done`: its answer is the request's."""
        request, backend = attempt.request, attempt.backend
        stats = self.request_stats.classes[request.request_class.index]
        attempt.outcome = outcome
        request.in_flight -= 1
        # An abandoned attempt may still be worked on; filled at once, its place overdrives.
        if outcome == Outcome.TIMEOUT or outcome == Outcome.CANCELLED:
            attempt.timeout_at = now + int(ABANDONED_FOR * stats.typical)
            self.wakeup.request(attempt.timeout_at)
        else:
            self.ejections.attempt_left(backend, attempt, now)
        if attempt.is_trial:
            self.ejections.trial_ended(backend)
        request.update_possibly_executed(attempt)
        self.outliers.attempt_ended(now, attempt, outcome, took)
        if request.completed:
            return
        if done:
            request.completed = True
            stats.got += outcome == Outcome.SUCCESS and now <= request.objective_at
            self.pending.cancel_all(request)
        elif not request.in_flight:
            self.dispatch.attempt_lost(now, request, outcome)

    def response_started(self, attempt: Attempt) -> None:
        """The response has started; the attempt belongs to the client."""
        attempt.cancelled = attempt.request.completed = True

    def client_disconnected(self, now: int, request: Request) -> None:
        """The client has gone; no answer is due."""
        if not request.completed:
            request.completed = True
            self.deadlines.left_unanswered(request)
            self.pending.cancel_all(request)

    def health_checked(self, now: int, name: str, good: bool, took: int) -> None:
        """A health check's result.

        It proves no more than a running process, so it only admits a trial request.
        """
        backend = self.endpoints.index.get(name)
        if backend is None or self.ejections.reason[backend] is None:
            return
        if good:
            self.ejections.admit_trial(backend)
        else:
            self.outliers.trial_failed(backend, now)

    def next_wakeup(self, now: int) -> int | None:
        """When to pull decisions again, if nothing comes in before; None for never."""
        # A client's repeat may have so little time left that the next sweep would come after its
        # limit.
        first = min([self.wakeup.at, *map(self.deadlines.last_chance, self.queue.first_of_each())])
        return max(now + 1, first) if first < NEVER else None

    def next_decision(self, now: int) -> Decision | None:
        """The next decision (`pierglade.model.decision`), or None."""
        if now >= self.wakeup.at:
            self._sweep.run(now)
        decision = self.dispatch.next_decision(now)
        if type(decision) is RejectRequest:
            decision.retry_after = self.retry_after(now)
        return decision
