"""Which backends fail, are slow or do not respond, from the outcomes of attempts. No I/O, no clock.

Moments and spans are tenths of a millisecond; latencies are compared as times the usual one of the
request's class.
"""

from math import exp, log, sqrt

from pierglade.balancer.ejections import COUNTS_TOWARD_CAPACITY, TRIAL_INTERVAL_MOST, Ejections
from pierglade.balancer.endpoint_stats import EndpointStats, RequestClassStats, RequestStats
from pierglade.balancer.health_checks import HealthChecks
from pierglade.balancer.pause_forecast import PauseForecast
from pierglade.balancer.pending_decisions import PendingDecisions
from pierglade.balancer.request_cost import LATENCY_GRAIN, RequestCosts
from pierglade.balancer.retry import RequestDeadlines, RetryBudget
from pierglade.balancer.rotation import Rotation
from pierglade.balancer.wakeup import NEVER, SWEEP_INTERVAL, Wakeup
from pierglade.concurrency.limiter import ConcurrencyLimiter
from pierglade.model.endpoint import EjectionReason, EndpointState
from pierglade.model.outcome import Outcome
from pierglade.model.request import Attempt, Idempotency
from pierglade.settings.balancer import BalancerSettings

# 5 s; longest that a slow backend is left alone before it is tried in earnest.
SLOW_EJECTION_MOST = 50000
# Times; recent latency this far above its smoothed level is a pause, above a wide tail.
SLOW_RATIO = 2.5
# Times; an answer within this of the level ends a pause, under SLOW_RATIO so it cannot flap.
RECOVERED_RATIO = 2.0
# Times; one answer counts as no slower, so that one heavy request is no pause.
RATIO_MOST = 6.0
# Shares of a new answer in the recent and in the smoothed latency level.
RECENT_SMOOTHING, LEVEL_SMOOTHING = 1 / 4, 1 / 32
# 3 s; the level follows within this where answers are rare.
LEVEL_SPAN = 30000
# Share of a new answer in a class's usual latency: about a second's worth.
LATENCY_SMOOTHING = 1 / 24
# Share of a new outcome in the error rate.
ERROR_SMOOTHING = 0.3
# Error rate; after two errors in a row three good answers end an outage.
ERROR_RATE_RECOVERED = 0.2
# The same share where no connection came up; as much as two errors.
CONNECT_ERROR_SMOOTHING = 0.51
# Errors; so many and over half of one more start an outage where few attempts are lost.
ERRORS_IN_A_ROW = 1.43
# Share; where losses are common, as many errors in a row as are rarer than this by chance.
BY_CHANCE = 0.0005
# Shares lost; rarer is not seen within minutes, half is no chance.
LOSS_LEAST, LOSS_MOST = 0.001, 0.5
# Share of a new outcome in what healthy backends lose; half a second's worth.
LOSS_SMOOTHING = 1 / 64
# Times the usual latency, summed over the attempts in flight; chance silence is rarer if work is
# alike.
UNRESPONSIVE_SUM = 6.0
# Standard deviations of the work, over the attempts in flight; the same where it is not.
UNRESPONSIVE_DEVIATIONS = 3.3
# Times the usual latency; one slow class must not look unresponsive however many wait behind it.
UNRESPONSIVE_LEAST = 2.5

# The arrays of `OutlierDetection` that tell of a process, and what a new one begins with.
PROCESS_INITIAL = dict(error_rate=0.0, relapses=0, recent_level=1.0)
# All its arrays, by name.
INITIAL = PROCESS_INITIAL | dict(last_answer_at=0, latency_level=1.0)

SLOW, UNRESPONSIVE, FAILING = (
    EjectionReason.SLOW,
    EjectionReason.UNRESPONSIVE,
    EjectionReason.FAILING,
)


class OutlierDetection:
    """Latency and errors of all backends: one array a figure, under the backends' dense index.

    Other parts may read the arrays and change nothing in them.
    """

    def __init__(
        self,
        settings: BalancerSettings,
        limit: ConcurrencyLimiter,
        wakeup: Wakeup,
        endpoints: EndpointStats,
        request_stats: RequestStats,
        request_costs: RequestCosts,
        pause_forecast: PauseForecast,
        ejections: Ejections,
        rotation: Rotation,
        retry_budget: RetryBudget,
        deadlines: RequestDeadlines,
        health_checks: HealthChecks,
        pending: PendingDecisions,
    ) -> None:
        self._settings, self.limit, self._wakeup = settings, limit, wakeup
        self._endpoints, self._request_stats = endpoints, request_stats
        self._request_costs, self._pause_forecast = request_costs, pause_forecast
        self._ejections, self._rotation = ejections, rotation
        self._retry_budget, self._deadlines = retry_budget, deadlines
        self._health_checks, self._pending = health_checks, pending
        self.error_rate: list[float] = []
        self.relapses: list[int] = []  # how often it was slow again before it was well
        self.recent_level: list[float] = []  # latency of the last few answers
        self.latency_level: list[float] = []  # smoothed latency
        self.last_answer_at: list[int] = []
        # Share of attempts that come to nothing at healthy backends.
        self.loss_rate = LOSS_LEAST

    def add(self, backend: int) -> None:
        """Begins with nothing for `backend`."""
        for name, initial in INITIAL.items():
            getattr(self, name)[backend : backend + 1] = [initial]

    def copy_from(self, before: "OutlierDetection") -> None:
        """Takes over what `before` knows; nothing that changes later is shared."""
        for name in INITIAL:
            setattr(self, name, getattr(before, name).copy())
        self.loss_rate = before.loss_rate

    def process_started(self, backend: int, now: int) -> None:
        """Forgets what was learned of the process before.

        A new process pauses anew, and why the one before was ejected is not its own.
        """
        if self._ejections.reason[backend] is not None:
            self._set_reason(backend, None, now)
        for name, initial in PROCESS_INITIAL.items():
            getattr(self, name)[backend] = initial
        self._pause_forecast.add(backend)

    def endpoint_left(self, backend: int, state: EndpointState, now: int) -> None:
        """Takes a backend out of the rotation (rule 3).

        From the moment it is listed as draining or removed, it gets nothing more.
        """
        endpoints, ejections = self._endpoints, self._ejections
        if endpoints.state[backend] == EndpointState.READY:
            endpoints.left_at[backend] = now
            if (
                state == EndpointState.REMOVED
                and not self._settings.removal_binds
                and ejections.trial_interval[backend] < TRIAL_INTERVAL_MOST
            ):
                # It may be up all the same: trials tell, and one that fails them for long is
                # removed.
                if ejections.reason[backend] in COUNTS_TOWARD_CAPACITY:
                    self.eject(backend, FAILING, now)
                return
            self._rotation.remove(backend)
            if ejections.reason[backend] is SLOW:
                # Removed, it must not count to the slow ones for ever, or shared slowness would
                # seem to last.
                self._set_reason(backend, None, now)
        endpoints.became_unready(backend, state)

    def attempt_ended(self, now: int, attempt: Attempt, outcome: Outcome, took: int) -> None:
        """Learns from the outcome of an attempt that took that long."""
        backend, request_class = attempt.backend, attempt.request.request_class
        healthy, succeeded = self._ejections.reason[backend] is None, outcome == Outcome.SUCCESS
        if not succeeded or not healthy:
            self.limit.attempt_lost(request_class.index, attempt.probing_round)
        if (succeeded and healthy) or outcome in (Outcome.TIMEOUT, Outcome.CANCELLED):
            self._request_costs.latency_seen(now, attempt.request, took, succeeded)
        if succeeded:
            self._attempt_succeeded(now, attempt, took)
        elif outcome not in (Outcome.CANCELLED, Outcome.NOT_SENT):
            self._attempt_failed(now, attempt, outcome)

    def _attempt_succeeded(self, now: int, attempt: Attempt, took: int) -> None:
        backend, stats = (
            attempt.backend,
            self._request_stats.classes[attempt.request.request_class.index],
        )
        reason = self._ejections.reason[backend]
        self._request_stats.succeeded += 1
        smoothing = min(
            RECENT_SMOOTHING,
            max(LEVEL_SMOOTHING, (now - self.last_answer_at[backend]) / LEVEL_SPAN),
        )
        self.last_answer_at[backend] = now
        self.error_rate[backend] *= 1 - ERROR_SMOOTHING
        alike = took / attempt.request.relative_cost
        ratio = min(RATIO_MOST, max(alike, LATENCY_GRAIN) / max(stats.typical, LATENCY_GRAIN))
        self.recent_level[backend] += (ratio - self.recent_level[backend]) * RECENT_SMOOTHING
        level = max(self.latency_level[backend], 1.0)
        if reason is None:
            self.latency_level[backend] += (ratio - self.latency_level[backend]) * smoothing
            self._healthy_answer(now, attempt, stats, alike, ratio)
            if self.recent_level[backend] > SLOW_RATIO * level:
                self.eject(backend, SLOW, now)
        elif attempt.sent_at < self._ejections.since[backend] and reason is not UNRESPONSIVE:
            pass  # An answer from before the ejection says nothing about its end.
        elif ratio <= RECOVERED_RATIO * level and self.error_rate[backend] <= ERROR_RATE_RECOVERED:
            self._recovered(backend, now)
        else:
            self._ejections.admit_trial(backend, reason is FAILING)

    def _healthy_answer(
        self, now: int, attempt: Attempt, stats: RequestClassStats, alike: float, ratio: float
    ) -> None:
        """`alike`: what it had taken at the mean cost; `ratio`: times the usual latency."""
        self.loss_rate = max(LOSS_LEAST, self.loss_rate * (1 - LOSS_SMOOTHING))
        stats.answers += 1
        smoothing = max(LATENCY_SMOOTHING, 1 / stats.answers)
        stats.typical += (alike - stats.typical) * smoothing
        stats.skew = max(0.0, stats.skew - (log(ratio) + stats.skew) * smoothing)
        self._pause_forecast.answer_received(attempt.backend, now)
        request_class = attempt.request.request_class
        self.limit.attempt_answered(
            now,
            request_class.index,
            attempt.probing_round,
            attempt.sent_at,
            int(alike),
            request_class.latency_objective,
        )

    def _attempt_failed(self, now: int, attempt: Attempt, outcome: Outcome) -> None:
        backend = attempt.backend
        if outcome in (Outcome.REJECTED_UNPROCESSED, Outcome.CLIENT_ERROR):
            self.last_answer_at[backend] = now
        if outcome == Outcome.CLIENT_ERROR:
            return  # What a client got wrong says nothing against the backend.
        # A rejection counts too: whoever says no at once has nothing in flight and would attract
        # work.
        self.error_rate[backend] += (1 - self.error_rate[backend]) * (
            CONNECT_ERROR_SMOOTHING if outcome == Outcome.CONNECT_FAILED else ERROR_SMOOTHING
        )
        if self._ejections.reason[backend] is None:
            self.loss_rate += (1 - self.loss_rate) * LOSS_SMOOTHING
            if (
                outcome == Outcome.REJECTED_UNPROCESSED
                and self._endpoints.state[backend] == EndpointState.READY
            ):
                self.limit.attempt_rejected(now, attempt.sent_at)
        # What all backends lose alike is no one's outage: left out for it, they would leave no
        # capacity.
        many = ERRORS_IN_A_ROW
        if self._rotation.is_whole_ring():
            many = max(many, log(BY_CHANCE) / log(min(LOSS_MOST, self.loss_rate)) - 0.5)
        if self.error_rate[backend] >= 1 - (1 - ERROR_SMOOTHING) ** many:
            self.eject(backend, FAILING, now)
            if attempt.is_trial:
                self.trial_failed(backend, now)

    def eject(self, backend: int, reason: EjectionReason, now: int) -> None:
        """The backend gets trial requests only from now on.

        If it was ejected already, only the reason changes.
        """
        if self._ejections.reason[backend] is None:
            # Slow again before it was well: it has not had the rest that it needs, and gets twice
            # as long.
            rest = min(
                SLOW_EJECTION_MOST,
                self._pause_forecast.mean_pause[backend] << self.relapses[backend],
            )
            self._ejections.begin(backend, now + rest, now)
        self._set_reason(backend, reason, now)

    def _set_reason(self, backend: int, reason: EjectionReason | None, now: int) -> None:
        self._ejections.set_reason(backend, reason, now)
        self._rotation.rebuild(now)

    def _recovered(self, backend: int, now: int) -> None:
        """Its answers are as good as ever."""
        self._set_reason(backend, None, now)
        self.error_rate[backend] = 0.0
        self.relapses[backend] = 0
        self.recent_level[backend] = min(
            self.recent_level[backend], max(self.latency_level[backend], 1.0)
        )
        self._pause_forecast.pause_ended(backend, now - self._ejections.since[backend])

    def _rest_ended(self, backend: int, now: int) -> None:
        """A slow backend has been left alone for long enough; whether it is well is not known."""
        self._set_reason(backend, None, now)
        self.error_rate[backend] = 0.0
        self.relapses[backend] = min(self.relapses[backend] + 1, 8)
        self.recent_level[backend] = RECOVERED_RATIO * max(self.latency_level[backend], 1.0)

    def trial_failed(self, backend: int, now: int) -> None:
        """A trial request or a health check has failed: the next one waits twice as long."""
        ejections, endpoints = self._ejections, self._endpoints
        ejections.double_trial_interval(backend)
        if (
            ejections.trial_interval[backend] == TRIAL_INTERVAL_MOST
            and endpoints.left_at[backend]
            and endpoints.state[backend] == EndpointState.READY
        ):
            self.endpoint_left(backend, EndpointState.REMOVED, now)
            self._rotation.rebuild(now)
        ejections.schedule_trial(backend, now)

    def check_ejected(self, now: int) -> None:
        """Ends the rests of slow backends, and has trial requests made that are due."""
        ejections = self._ejections
        for backend in list(ejections.ejected):
            if self._endpoints.state[backend] != EndpointState.READY:
                continue
            slow = ejections.reason[backend] is SLOW
            if slow and now >= ejections.until[backend]:
                self._rest_ended(backend, now)
                continue
            if (
                not ejections.trial_due[backend]
                and now >= ejections.trial_at[backend]
                and not ejections.trials_in_flight[backend]
            ):
                ejections.schedule_trial(backend, now)
                if self._settings.may_check_health and not slow:
                    self._health_checks.request(backend)
                else:
                    ejections.admit_trial(backend)
            if slow or not ejections.trial_due[backend]:
                self._wakeup.request(
                    max(
                        now + SWEEP_INTERVAL,
                        min(ejections.until[backend], ejections.trial_at[backend]),
                    )
                )

    def check_unresponsive(self, backend: int, now: int) -> int:
        """With attempts in flight and no answer for long, a backend is unresponsive.

        What may be is sent elsewhere then. Returns when to check again.
        """
        attempts = self._ejections.in_flight[backend]
        for attempt in [
            attempt for attempt in attempts if attempt.outcome and now >= attempt.timeout_at
        ]:
            self._ejections.attempt_left(backend, attempt, now)
        if not attempts:
            return NEVER
        oldest = next(iter(attempts))
        quiet = now - max(self.last_answer_at[backend], oldest.sent_at)
        # A light one may wait behind heavy ones, and has no less patience for it.
        cost = max(1.0, *(attempt.request.relative_cost for attempt in attempts))
        stats = self._request_stats.classes[oldest.request.request_class.index]
        typical = max(LATENCY_GRAIN, cost * stats.typical * max(self.latency_level[backend], 1.0))
        bearable = _bearable_quiet(typical, stats.skew, len(attempts))
        if quiet < bearable:
            return min(
                int(now - quiet + bearable) + 1,
                *(attempt.timeout_at for attempt in attempts if attempt.outcome),
                NEVER,
            )
        if self._ejections.reason[backend] is not UNRESPONSIVE:
            self.eject(backend, UNRESPONSIVE, now)
        self._cancel_unanswered(backend, now, list(attempts), typical)
        return now

    def _cancel_unanswered(
        self, backend: int, now: int, attempts: list[Attempt], typical: float
    ) -> None:
        """Cancels what an unresponsive backend has and what may be sent elsewhere in time."""
        left = self._retry_budget.left(now)
        for attempt in attempts:
            request = attempt.request
            if attempt.is_trial and now - attempt.sent_at > UNRESPONSIVE_SUM * typical:
                self.trial_failed(backend, now)
            if (
                request.request_class.idempotency != Idempotency.UNSAFE
                and not attempt.cancelled
                and not request.completed
                and now - attempt.sent_at > UNRESPONSIVE_LEAST * typical
                and left >= 1
                and now < self._deadlines.last_chance(request, sure=True)
                and len(request.attempts) < self._settings.max_attempts
            ):
                self._pending.cancel(attempt)
                left -= self._retry_budget.window > 0


def _bearable_quiet(typical: float, skew: float, in_flight: int) -> float:
    """For how long a backend with so many attempts in flight may give no answer.

    A node with few attempts has one in flight at a time: by the mean alone each heavy one is taken
    for silence. So the spread of the latency counts too (`skew`).
    """
    heavy = exp(UNRESPONSIVE_DEVIATIONS / in_flight * sqrt(2 * skew) - skew)
    return typical * max(UNRESPONSIVE_LEAST, UNRESPONSIVE_SUM / in_flight, heavy)
