"""The decisions of a balancer: which backend gets a request, what is retried, what is rejected.

A host makes one `Balancer` with a seed and its settings, and reports whatever happens by its inputs
(`endpoints_updated`, `request_received`, `attempt_ended` and so on); these only update what is
known. It then pulls `next_decision(now)` until that is None, carries each decision out, and calls
again no later than `next_wakeup(now)`. The decisions' types are in `pierglade/model/decision.py`;
docs/design.md has the reasons. Moments and spans are tenths of a millisecond. No I/O, no clock.
"""

import random
from collections.abc import Iterable
from typing import NamedTuple

from pierglade.balancer.dispatch import Dispatch
from pierglade.balancer.ejections import Ejections
from pierglade.balancer.endpoint_stats import EndpointStats, RequestStats
from pierglade.balancer.health_checks import HealthChecks
from pierglade.balancer.load_reports import LoadReports
from pierglade.balancer.outlier_detection import OutlierDetection
from pierglade.balancer.pause_forecast import PauseForecast
from pierglade.balancer.pending_decisions import PendingDecisions
from pierglade.balancer.polling import PollSchedule
from pierglade.balancer.request_cost import RequestCosts
from pierglade.balancer.request_queue import OVERLOADED_FROM, RequestQueue
from pierglade.balancer.retry import RequestDeadlines, RetryBudget, RetryRules
from pierglade.balancer.rotation import RATE_LEAST, Rotation
from pierglade.balancer.selection import Selection
from pierglade.balancer.slow_start import SlowStart
from pierglade.balancer.stored_figures import STORED_FIGURES
from pierglade.balancer.wakeup import NEVER, SWEEP_INTERVAL, Wakeup
from pierglade.concurrency.limiter import ConcurrencyLimiter
from pierglade.model.decision import (
    Decision,
    PollEndpoints,
    RejectRequest,
)
from pierglade.model.endpoint import (
    EjectionReason,
    Endpoint,
    EndpointState,
    LoadReport,
    LoadReportSource,
)
from pierglade.model.outcome import Outcome
from pierglade.model.request import Attempt, Request, RequestClass
from pierglade.settings.balancer import BalancerSettings

# Times the usual latency; how long an attempt that nobody waits for still counts as in flight.
ABANDONED_FOR = 1.5
# 100 ms; a host that had no rest for so long is short of its core, not held up once.
LAG_LEAST = 1000
# 10 ms; about an attempt, by which a backend is skipped before its forecast pause.
SKIPPED_BEFORE_PAUSE = 100
# 0.1 s; advice to a rejected client without overload, as what it found full may be free.
RETRY_SOON = 1000
# 0.5 s; the same under overload, the time a burst takes to pass.
RETRY_LATER = 5000


class EndpointStatus(NamedTuple):
    """What a balancer knows of a backend, for operators."""

    zone: str | None
    is_in_subset: bool
    in_flight: int
    ejection_reason: EjectionReason | None
    is_pausing: bool
    next_pause_at: int | None
    latency_level: float
    """Times the usual latency."""
    is_in_slow_start: bool
    answered: int
    """Successful answers counted for the forecast."""


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
        self.limit = ConcurrencyLimiter(
            settings.node_count,
            len(settings.request_classes),
            now,
            RATE_LEAST if self.learns else rate or None,
        )
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

    def _make_stats(self, now: int) -> None:
        """The parts that only keep figures."""
        settings, learns = self.settings, self.learns
        self.endpoints = EndpointStats(
            max(each.request_timeout for each in settings.request_classes)
        )
        self.request_stats = RequestStats(settings.request_classes, now)
        self.request_costs = RequestCosts(self.request_stats)
        self.pause_forecast = PauseForecast()
        self.slow_start = SlowStart(
            settings.slow_start_duration,
            settings.slow_start_capacity,
            settings.slow_start_overload,
            settings.node_count,
        )
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
        self.retry_budget = RetryBudget(
            settings.retry_budget_window,
            settings.retry_budget_minimum,
            settings.retry_budget_ratio,
            before.retry_budget if before else None,
        )
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
        backend = self.endpoints.index.get(name)
        if backend is None:
            return None
        forecast, level = (
            self.pause_forecast.next_pause_at[backend],
            self.outliers.latency_level[backend],
        )
        is_pausing = forecast is not None and (
            forecast - SKIPPED_BEFORE_PAUSE * level
            <= now
            <= forecast + self.pause_forecast.mean_pause[backend]
        )
        return EndpointStatus(
            zone=self.endpoints.zone[backend],
            is_in_subset=backend in self.rotation.subset,
            in_flight=len(self.ejections.in_flight.get(backend, ())),
            ejection_reason=self.ejections.reason[backend],
            is_pausing=is_pausing,
            next_pause_at=forecast,
            latency_level=level,
            is_in_slow_start=now < self.slow_start.until[backend],
            answered=self.pause_forecast.answered[backend],
        )

    def queue_length(self) -> int:
        """How many requests wait for a backend."""
        return len(self.queue)

    def retry_after(self, now: int) -> int:
        """Advice to a rejected client; 0 where clients are given none."""
        return min(RETRY_LATER if self.overloaded else RETRY_SOON, self.settings.max_retry_after)

    def export_statistics(self, keys: Iterable[str]) -> tuple[list[dict], dict[str, dict]]:
        """What a restart would forget: each class's figures, and of each ready backend the `keys`.

        `keys` are stored names (`pierglade/balancer/stored_figures.py`).
        """
        endpoints, arrays = self.endpoints, {key: self._figures(key) for key in keys}
        return [vars(each) for each in self.request_stats.classes], {
            name: {key: array[backend] for key, array in arrays.items()}
            for name, backend in endpoints.index.items()
            if endpoints.state[backend] == EndpointState.READY
        }

    def restore_statistics(self, rows: list[dict], backends: dict[str, dict]) -> None:
        """Takes what of exported statistics is still true (`pierglade/snapshot/`).

        The backends must be known.
        """
        for stats, stored in zip(self.request_stats.classes, rows, strict=False):
            vars(stats).update(stored)
        for name, stored in backends.items():
            for key, value in stored.items():
                self._figures(key)[self.endpoints.index[name]] = value

    def _figures(self, stored_name: str) -> list:
        part, array, _ = STORED_FIGURES[stored_name]
        return getattr(getattr(self, part), array)

    # Inputs: they update what is known.

    def quotas_updated(self, now: int) -> None:
        """What tenants may ask has changed; they have quotas, and had some before."""
        self.rotation.quotas_updated(now)

    def endpoints_updated(self, now: int, entries: Iterable[Endpoint], whole: bool) -> None:
        """The endpoint list: of all backends where it is `whole`, or of the changed ones."""
        self.polling.endpoints_updated()
        endpoints = self.endpoints
        if whole:
            named = {e.name for e in entries}
            for name, backend in endpoints.index.items():
                if name not in named:
                    self.outliers.endpoint_left(backend, EndpointState.REMOVED, now)
        for e in entries:
            backend = endpoints.index.get(e.name)
            if backend is None:
                if e.state != EndpointState.READY:
                    continue
                backend = self._add_endpoint(e.name, now)
            endpoints.zone[backend], endpoints.cell[backend] = e.zone, e.cell
            # Live weights are late and would swing all nodes together; the largest seen is the
            # size.
            endpoints.size[backend] = max(endpoints.size[backend], e.weight)
            if e.state != EndpointState.READY:
                self.outliers.endpoint_left(backend, e.state, now)
                continue
            if e.started_at > self.slow_start.started_at[backend]:
                self.slow_start.process_started(backend, now, e.started_at, self.pick(1000) / 1000)
                self.outliers.process_started(backend, now)
            endpoints.left_at[backend] = 0
            if endpoints.state[backend] != EndpointState.READY:
                endpoints.became_ready(backend)
                self.rotation.add(backend)
        self.rotation.endpoints_updated(now)

    def _add_endpoint(self, name: str, now: int) -> int:
        backend = self.endpoints.add(name, now, self.ejections.in_flight)
        self.ejections.add(backend)
        self.outliers.add(backend)
        self.pause_forecast.add(backend)
        self.slow_start.add(backend, now)
        self.load_reports.add(backend)
        self.selection.add(backend, self.pick(1000) / 1000)
        return backend

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

        Taken all the same, all would come late to their turn, and what is left of the core go into
        rejections. `idle`: when the host was last idle; `refused`: it was shed at the door already.
        """
        shed = refused or (
            now - idle > LAG_LEAST
            and now - came > OVERLOADED_FROM * request_class.latency_objective
        )
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
        if outcome.is_unexecuted and request.first_possibly_executed is attempt:
            request.first_possibly_executed = next(
                (
                    attempt
                    for attempt in request.attempts
                    if not (attempt.outcome and attempt.outcome.is_unexecuted)
                ),
                None,
            )
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

    # Decisions: the host pulls them one by one.

    def next_wakeup(self, now: int) -> int | None:
        """When to pull decisions again, if nothing comes in before; None for never."""
        # A client's repeat may have so little time left that the next sweep would come after its
        # limit.
        first = min([self.wakeup.at, *map(self.deadlines.last_chance, self.queue.first_of_each())])
        return max(now + 1, first) if first < NEVER else None

    def next_decision(self, now: int) -> Decision | None:
        """The next decision (`pierglade.model.decision`), or None."""
        if now >= self.wakeup.at:
            self._sweep(now)
        decision = self.dispatch.next_decision(now)
        if type(decision) is RejectRequest:
            decision.retry_after = self.retry_after(now)
        return decision

    def _sweep(self, now: int) -> None:
        """Looks after all that is due.

        That is unresponsive backends, trial requests, polls and requests that wait too long.
        """
        wakeup, rotation = self.wakeup, self.rotation
        wakeup.reset()
        if now >= rotation.rebuild_at:
            rotation.rebuild(now)
        if self.polling.take_due(now):
            self.pending.append(PollEndpoints())
        wakeup.request(self.polling.next_at)
        wakeup.request(rotation.rebuild_at)
        if self.queue.retries:
            wakeup.request(now + SWEEP_INTERVAL)
        for request in self.queue.update_overload(now):
            self.pending.append(self.dispatch.final(request))
        self.deadlines.fade(now)
        self.request_stats.fade(now)
        self.request_costs.update_median(now)
        if self.learns and self.load_reports.take_due_look(now):
            rotation.look(now)
        for backend in list(self.ejections.in_flight):
            next_check_at = self.outliers.check_unresponsive(backend, now)
            wakeup.request(max(now + SWEEP_INTERVAL, next_check_at))
        self.outliers.check_ejected(now)
