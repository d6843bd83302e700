"""Decides which backend receives a request, what is retried and what is rejected.

The caller creates one `Balancer` from a seed and its settings, and reports all events through its
inputs (`endpoints_updated`, `request_received`, `attempt_ended` and so on), which only update the
state. It then calls `next_decision(now)` until that returns None, carries out each decision, and
calls again no later than `next_wakeup(now)`. The types of decisions are in
`pierglade/model/decision.py`; docs/design.md gives the reasons. Times and durations are in ticks
(tenths of a millisecond). The module does no I/O and reads no clock.
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
from pierglade.balancer.request_queue import RequestQueue, is_cpu_short
from pierglade.balancer.retry import RequestDeadlines, RetryBudget, RetryRules
from pierglade.balancer.rotation import MIN_REQUEST_RATE, Rotation
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

# Multiple of the typical latency for which an abandoned attempt counts as in flight.
ABANDONED_LATENCY_RATIO = 1.5
# Ticks (0.1 s). Retry advice to a client rejected without overload, as capacity may soon be free.
RETRY_SOON = 1000
# Ticks (0.5 s). Retry advice to a client rejected under overload; a burst ends within this time.
RETRY_LATER = 5000


class Balancer:
    """One balancer: connects the components that own its state, and makes the decisions."""

    def __init__(
        self, seed: int, settings: BalancerSettings, now: int, previous: "Balancer | None" = None
    ) -> None:
        """`previous` is the balancer replaced by new settings; both share one retry budget."""
        self.settings = settings
        self.pick = random.Random(seed).randrange
        has_quotas = settings.tenants.total > 0
        # Without a report of what other nodes receive, probing rounds find the limit
        # (docs/notes/limit.md).
        self.learns_limit = bool(
            not has_quotas and settings.node_count > 1 and settings.load_report_source
        )
        rate = settings.tenants.total / settings.node_count / 10000
        demand = MIN_REQUEST_RATE if self.learns_limit else rate or None
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
            self.learns_limit,
            self.limit,
            self.wakeup,
            self.endpoints,
            self.request_stats,
            self.slow_start,
            self.load_reports,
            self.ejections,
        )
        self._make_rules(previous)
        self._make_selection()
        self._make_facades()

    def _make_stats(self, now: int) -> None:
        """Creates the components that only record figures."""
        settings, learns_limit = self.settings, self.learns_limit
        longest_timeout = max(each.request_timeout for each in settings.request_classes)
        self.endpoints = EndpointStats(longest_timeout)
        self.request_stats = RequestStats(settings.request_classes, now)
        self.request_costs = RequestCosts(self.request_stats)
        self.pause_forecast = PauseForecast()
        self.slow_start = SlowStart.from_settings(settings)
        by_checks = learns_limit and settings.load_report_source == LoadReportSource.HEALTH_CHECKS
        reports_are_rare = by_checks and "throughput" not in settings.load_report_fields
        self.load_reports = LoadReports(
            settings, self.endpoints, self.request_stats, self.slow_start, reports_are_rare, now
        )
        self.health_checks = HealthChecks(by_checks and settings.may_check_health, reports_are_rare)
        self.ejections = Ejections(self.limit, self.wakeup)
        self.queue = RequestQueue(settings, self.request_stats, self.wakeup)

    def _make_rules(self, previous: "Balancer | None") -> None:
        """Creates the components that evaluate those figures."""
        settings = self.settings
        self.retry_budget = RetryBudget.from_settings(settings, previous and previous.retry_budget)
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

    def _make_selection(self) -> None:
        """Creates the components that select backends and requests."""
        self.selection = Selection(
            self.settings,
            self.learns_limit,
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
            self.endpoints,
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

    def _make_facades(self) -> None:
        """Creates the components that join others for one input or query."""
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
            self.learns_limit,
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
        """Replaces the limiter of all components (`pierglade/snapshot/handover.py`)."""
        self.limit = self.ejections.limit = self.rotation.limit = limit
        self.outliers.limit = self.selection.limit = self.dispatch.limit = limit

    # Queries of callers and operators.

    @property
    def overloaded(self) -> bool:
        """Whether requests are queued for too long."""
        return self.queue.overloaded

    def endpoint_name(self, backend: int) -> str:
        """Returns the name of the backend with that index."""
        return self.endpoints.names[backend]

    def endpoint_status(self, name: str, now: int) -> EndpointStatus | None:
        """Returns the status of the backend with that name, or None if it is unknown."""
        return self._observer.status(name, now)

    def may_send_to_new_process(self, now: int, backend: int) -> bool:
        """Returns whether an attempt chosen for an earlier process of `backend` may go to this one.

        If so, it counts as sent in the slow start of this process.
        """
        is_allowed = self.selection.allows_slow_start(backend, now)
        if is_allowed:
            self.slow_start.attempt_sent(backend, now)
        return is_allowed

    def queue_length(self) -> int:
        """Returns the number of requests queued for a backend."""
        return len(self.queue)

    def retry_after(self, now: int) -> int:
        """Returns the retry advice to a rejected client in ticks; 0 where none is given."""
        return min(RETRY_LATER if self.overloaded else RETRY_SOON, self.settings.max_retry_after)

    def export_statistics(self, keys: Iterable[str]) -> tuple[list[dict], dict[str, dict]]:
        """Exports the statistics to store; see `stored_figures.export_statistics`."""
        return export_statistics(self, keys)

    def restore_statistics(self, rows: list[dict], backends: dict[str, dict]) -> None:
        """Restores exported statistics; see `stored_figures.restore_statistics`."""
        restore_statistics(self, rows, backends)

    # Inputs, which update the state.

    def quotas_updated(self, now: int) -> None:
        """Applies changed quotas of tenants that had quotas before."""
        self.rotation.quotas_updated(now)

    def endpoints_updated(self, now: int, entries: Iterable[Endpoint], is_full_list: bool) -> None:
        """Applies the endpoint list: all backends if `is_full_list`, else the changed ones."""
        self.polling.endpoints_updated()
        self._endpoint_list.apply(now, entries, is_full_list)

    def discovery_lost(self, now: int, since_update: int = -NEVER) -> None:
        """Schedules a poll after the list was lost; `since_update`: time since its last update."""
        self.polling.discovery_lost(now, since_update)
        self.wakeup.request(self.polling.next_at)

    def load_reported(self, now: int, name: str, load: LoadReport) -> None:
        """Records a load report that came with an answer or with a health check."""
        backend = self.endpoints.index.get(name)
        if backend is not None:
            self.load_reports.load_reported(backend, now, load)

    def request_received(self, now: int, request: Request) -> None:
        """Queues a request, which gets exactly one final answer from here on."""
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
        last_idle_at: int,
        request_class: RequestClass,
        arrived_at: int,
        time_left: int,
        already_rejected: bool = False,
    ) -> bool:
        """Returns whether an arriving request is rejected unread for lack of CPU time.

        `last_idle_at`: when the process was last idle; `already_rejected`: shed by admission.
        """
        is_shed = already_rejected or is_cpu_short(now, last_idle_at, request_class, arrived_at)
        self.deadlines.request_shed(request_class, time_left, is_shed)
        return is_shed

    def attempt_ended(
        self, now: int, attempt: Attempt, outcome: Outcome, latency: int, is_final: bool
    ) -> None:
        """Records the end of an attempt; `is_final` means that its answer is the request's."""
        request, backend = attempt.request, attempt.backend
        stats = self.request_stats.classes[request.request_class.index]
        attempt.outcome = outcome
        request.in_flight -= 1
        # The backend may still be processing an abandoned attempt; replacing it at once by another
        # attempt would overload the backend.
        if outcome == Outcome.TIMEOUT or outcome == Outcome.CANCELLED:
            attempt.timeout_at = now + int(ABANDONED_LATENCY_RATIO * stats.typical)
            self.wakeup.request(attempt.timeout_at)
        else:
            self.ejections.remove_attempt(backend, attempt, now)
        if attempt.is_trial:
            self.ejections.trial_ended(backend)
        request.update_possibly_executed(attempt)
        self.outliers.attempt_ended(now, attempt, outcome, latency)
        if request.completed:
            return
        if is_final:
            request.completed = True
            stats.got += outcome == Outcome.SUCCESS and now <= request.objective_at
            self.pending.cancel_all(request)
        elif not request.in_flight:
            self.dispatch.attempt_lost(now, request, outcome)

    def may_retry_after_loss(self, now: int, request: Request) -> bool:
        """Returns whether the request would be sent again if its attempts were lost now."""
        return not request.completed and self.dispatch.may_retry_after_loss(now, request)

    def response_started(self, attempt: Attempt) -> None:
        """Records that the response has started; the attempt then belongs to the client."""
        attempt.cancelled = attempt.request.completed = True

    def client_disconnected(self, now: int, request: Request) -> None:
        """Records that the client has disconnected and needs no answer."""
        if not request.completed:
            request.completed = True
            self.deadlines.request_unanswered(request)
            self.pending.cancel_all(request)

    def health_checked(self, now: int, name: str, is_healthy: bool, latency: int) -> None:
        """Applies the result of a health check.

        A successful check proves only that the process is running, so the backend receives no more
        than a trial request.
        """
        backend = self.endpoints.index.get(name)
        if backend is None or self.ejections.reason[backend] is None:
            return
        if is_healthy:
            self.ejections.admit_trial(backend)
        else:
            self.outliers.trial_failed(backend, now)

    def next_wakeup(self, now: int) -> int | None:
        """Returns when to request decisions again if nothing happens before; None for never."""
        # A request repeated by a client may have so little time left that the next sweep would be
        # too late for it.
        earliest = min([self.wakeup.at, *map(self.deadlines.latest_send_time, self.queue.heads())])
        return max(now + 1, earliest) if earliest < NEVER else None

    def next_decision(self, now: int) -> Decision | None:
        """Returns the next decision (`pierglade.model.decision`), or None."""
        if now >= self.wakeup.at:
            self._sweep.run(now)
        decision = self.dispatch.next_decision(now)
        if type(decision) is RejectRequest:
            decision.retry_after = self.retry_after(now)
        return decision
