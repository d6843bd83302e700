"""Detects failing, slow and unresponsive backends by the outcomes of attempts. No I/O, no clock.

Times and durations are in ticks (tenths of a millisecond). Latencies are compared as multiples of
the typical latency of the request's class.
"""

from math import exp, log, sqrt

from pierglade.balancer.ejections import COUNTS_TOWARD_CAPACITY, MAX_TRIAL_INTERVAL, Ejections
from pierglade.balancer.endpoint_stats import EndpointStats, RequestClassStats, RequestStats
from pierglade.balancer.health_checks import HealthChecks
from pierglade.balancer.pause_forecast import PauseForecast
from pierglade.balancer.pending_decisions import PendingDecisions
from pierglade.balancer.request_cost import MIN_LATENCY, RequestCosts
from pierglade.balancer.retry import RequestDeadlines, RetryBudget
from pierglade.balancer.rotation import Rotation
from pierglade.balancer.wakeup import NEVER, SWEEP_INTERVAL, Wakeup
from pierglade.concurrency.limiter import ConcurrencyLimiter
from pierglade.model.endpoint import EjectionReason, EndpointState
from pierglade.model.outcome import Outcome
from pierglade.model.request import Attempt, Idempotency
from pierglade.settings.balancer import BalancerSettings

# Ticks (5 s). Longest ejection of a slow backend before it receives regular requests again.
MAX_SLOW_EJECTION = 50000
# Multiple of the smoothed latency level. A recent latency above it is a pause; a wide latency tail
# stays below it.
SLOW_RATIO = 2.5
# Multiple of the smoothed latency level. An answer within it ends a pause; it is below SLOW_RATIO
# to prevent flapping.
RECOVERED_RATIO = 2.0
# Multiple of the typical latency at which a single answer is capped, so that one heavy request does
# not look like a pause.
MAX_RATIO = 6.0
# Weights of a new answer in the recent and in the smoothed latency level.
RECENT_SMOOTHING, LEVEL_SMOOTHING = 1 / 4, 1 / 32
# Ticks (3 s). Time in which the smoothed level follows the latency where answers are rare.
LEVEL_SMOOTHING_SPAN = 30000
# Weight of a new answer in the typical latency of a class; averages over about a second.
LATENCY_SMOOTHING = 1 / 24
# Weight of a new outcome in the error rate.
ERROR_SMOOTHING = 0.3
# Highest error rate of a recovered backend. After two consecutive errors, three successful answers
# end an outage.
RECOVERED_ERROR_RATE = 0.2
# Weight of a failure to establish a connection in the error rate; it counts as two errors.
CONNECT_ERROR_SMOOTHING = 0.51
# Number of consecutive errors. Where few attempts are lost, a backend is ejected if its error rate
# corresponds to this many, that is, one error and nearly half of a second one.
MIN_CONSECUTIVE_ERRORS = 1.43
# Probability. Where losses are common, only a run of errors less likely than this to be random
# ejects a backend.
RUN_PROBABILITY = 0.0005
# Fractions of attempts lost. Lower rates are not observable within minutes; losing half of all
# attempts is not random.
MIN_LOSS_RATE, MAX_LOSS_RATE = 0.001, 0.5
# Weight of a new outcome in the loss rate of healthy backends; averages over half a second.
LOSS_SMOOTHING = 1 / 64
# Multiple of the typical latency, divided by the attempts in flight: the silence after which a
# backend counts as unresponsive if requests take similar times. Random silences are rarely longer.
UNRESPONSIVE_LATENCY_SUM = 6.0
# Standard deviations of the request latency, divided by the attempts in flight: the bound for
# silence if latencies vary widely.
UNRESPONSIVE_STANDARD_DEVIATIONS = 3.3
# Multiple of the typical latency. Minimum silence of an unresponsive backend: a slow request class
# must not make a backend look unresponsive, however many requests wait behind it.
MIN_UNRESPONSIVE_RATIO = 2.5

# Arrays of `OutlierDetection` that describe a process, with the values for a new one.
PROCESS_INITIAL = dict(error_rate=0.0, repeated_slow_ejections=0, recent_level=1.0)
# All arrays of `OutlierDetection`, with the values for a new backend.
INITIAL = PROCESS_INITIAL | dict(last_answer_at=0, latency_level=1.0)

SLOW, UNRESPONSIVE, FAILING = (
    EjectionReason.SLOW,
    EjectionReason.UNRESPONSIVE,
    EjectionReason.FAILING,
)


class OutlierDetection:
    """Latency and errors of all backends, one array per figure, indexed by backend.

    Other modules read the arrays and never modify them.
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
        self.repeated_slow_ejections: list[int] = []  # ejected again before recovery
        self.recent_level: list[float] = []  # latency of the last few answers
        self.latency_level: list[float] = []  # smoothed latency
        self.last_answer_at: list[int] = []
        # Fraction of attempts at healthy backends that get no response.
        self.loss_rate = MIN_LOSS_RATE

    def add(self, backend: int) -> None:
        """Resets all figures of `backend`."""
        for name, initial in INITIAL.items():
            getattr(self, name)[backend : backend + 1] = [initial]

    def copy_from(self, previous: "OutlierDetection") -> None:
        """Copies the state of `previous`; shares no mutable data with it."""
        for name in INITIAL:
            setattr(self, name, getattr(previous, name).copy())
        self.loss_rate = previous.loss_rate

    def process_started(self, backend: int, now: int) -> None:
        """Resets the figures of the previous process of the backend.

        A new process pauses at other times, and the ejection of the previous one does not apply.
        """
        if self._ejections.reason[backend] is not None:
            self._set_reason(backend, None, now)
        for name, initial in PROCESS_INITIAL.items():
            getattr(self, name)[backend] = initial
        self._pause_forecast.add(backend)

    def take_out_of_rotation(self, backend: int, state: EndpointState, now: int) -> None:
        """Takes a backend out of the rotation (rule 3).

        A backend listed as draining or removed receives no further attempts.
        """
        endpoints, ejections = self._endpoints, self._ejections
        if endpoints.state[backend] == EndpointState.READY:
            endpoints.unready_since[backend] = now
            if (
                state == EndpointState.REMOVED
                and not self._settings.removal_binds
                and ejections.trial_interval[backend] < MAX_TRIAL_INTERVAL
            ):
                # The process may still be running. Trial requests test this, and the backend is
                # removed after they have failed for a long time.
                if ejections.reason[backend] in COUNTS_TOWARD_CAPACITY:
                    self.eject(backend, FAILING, now)
                return
            self._rotation.remove(backend)
            if ejections.reason[backend] is SLOW:
                # A removed backend must not count as slow; otherwise slowness shared by most
                # backends would seem to last.
                self._set_reason(backend, None, now)
        endpoints.became_unready(backend, state)

    def attempt_ended(self, now: int, attempt: Attempt, outcome: Outcome, latency: int) -> None:
        """Updates the figures from the outcome of an attempt that took `latency`."""
        backend, request_class = attempt.backend, attempt.request.request_class
        healthy, succeeded = self._ejections.reason[backend] is None, outcome == Outcome.SUCCESS
        if not succeeded or not healthy:
            self.limit.attempt_lost(request_class.index, attempt.probing_round)
        if (succeeded and healthy) or outcome in (Outcome.TIMEOUT, Outcome.CANCELLED):
            self._request_costs.record_latency(now, attempt.request, latency, succeeded)
        if succeeded:
            self._attempt_succeeded(now, attempt, latency)
        elif outcome not in (Outcome.CANCELLED, Outcome.NOT_SENT):
            self._attempt_failed(now, attempt, outcome)

    def _attempt_succeeded(self, now: int, attempt: Attempt, latency: int) -> None:
        backend, stats = (
            attempt.backend,
            self._request_stats.classes[attempt.request.request_class.index],
        )
        reason = self._ejections.reason[backend]
        self._request_stats.succeeded += 1
        smoothing = min(
            RECENT_SMOOTHING,
            max(LEVEL_SMOOTHING, (now - self.last_answer_at[backend]) / LEVEL_SMOOTHING_SPAN),
        )
        self.last_answer_at[backend] = now
        self.error_rate[backend] *= 1 - ERROR_SMOOTHING
        normalized = latency / attempt.request.relative_cost
        ratio = min(MAX_RATIO, max(normalized, MIN_LATENCY) / max(stats.typical, MIN_LATENCY))
        self.recent_level[backend] += (ratio - self.recent_level[backend]) * RECENT_SMOOTHING
        level = max(self.latency_level[backend], 1.0)
        if reason is None:
            self.latency_level[backend] += (ratio - self.latency_level[backend]) * smoothing
            self._record_healthy_answer(now, attempt, stats, normalized, ratio)
            if self.recent_level[backend] > SLOW_RATIO * level:
                self.eject(backend, SLOW, now)
        elif attempt.sent_at < self._ejections.since[backend] and reason is not UNRESPONSIVE:
            pass  # An attempt sent before the ejection does not indicate recovery.
        elif ratio <= RECOVERED_RATIO * level and self.error_rate[backend] <= RECOVERED_ERROR_RATE:
            self._end_ejection(backend, now)
        else:
            self._ejections.admit_trial(backend, reason is FAILING)

    def _record_healthy_answer(
        self, now: int, attempt: Attempt, stats: RequestClassStats, normalized: float, ratio: float
    ) -> None:
        """Records an answer: latency `normalized` to mean cost, `ratio` to the typical latency."""
        self.loss_rate = max(MIN_LOSS_RATE, self.loss_rate * (1 - LOSS_SMOOTHING))
        stats.answers += 1
        smoothing = max(LATENCY_SMOOTHING, 1 / stats.answers)
        stats.typical += (normalized - stats.typical) * smoothing
        stats.skew = max(0.0, stats.skew - (log(ratio) + stats.skew) * smoothing)
        self._pause_forecast.record_answer(attempt.backend, now)
        request_class = attempt.request.request_class
        self.limit.attempt_answered(
            now,
            request_class.index,
            attempt.probing_round,
            attempt.sent_at,
            int(normalized),
            request_class.latency_objective,
        )

    def _attempt_failed(self, now: int, attempt: Attempt, outcome: Outcome) -> None:
        backend = attempt.backend
        if outcome in (Outcome.REJECTED_UNPROCESSED, Outcome.CLIENT_ERROR):
            self.last_answer_at[backend] = now
        if outcome == Outcome.CLIENT_ERROR:
            return  # An error of the client does not indicate a fault of the backend.
        # A rejection counts too: a backend that rejects at once has nothing in flight and would
        # attract more requests.
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
        # Losses that all backends share do not indicate an outage of one backend; ejecting backends
        # because of them would leave no capacity.
        run = MIN_CONSECUTIVE_ERRORS
        if self._rotation.uses_all_backends():
            run = max(run, log(RUN_PROBABILITY) / log(min(MAX_LOSS_RATE, self.loss_rate)) - 0.5)
        if self.error_rate[backend] >= 1 - (1 - ERROR_SMOOTHING) ** run:
            self.eject(backend, FAILING, now)
            if attempt.is_trial:
                self.trial_failed(backend, now)

    def eject(self, backend: int, reason: EjectionReason, now: int) -> None:
        """Ejects the backend, which receives only trial requests from now on.

        If it is already ejected, only the reason changes.
        """
        if self._ejections.reason[backend] is None:
            # A backend that is ejected again before it has recovered was ejected for too short a
            # time: each further ejection lasts twice as long.
            duration = min(
                MAX_SLOW_EJECTION,
                self._pause_forecast.mean_pause[backend] << self.repeated_slow_ejections[backend],
            )
            self._ejections.begin(backend, now + duration, now)
        self._set_reason(backend, reason, now)

    def _set_reason(self, backend: int, reason: EjectionReason | None, now: int) -> None:
        self._ejections.set_reason(backend, reason, now)
        self._rotation.rebuild(now)

    def _end_ejection(self, backend: int, now: int) -> None:
        """Readmits a backend whose answers are as fast and as successful as before."""
        self._set_reason(backend, None, now)
        self.error_rate[backend] = 0.0
        self.repeated_slow_ejections[backend] = 0
        self.recent_level[backend] = min(
            self.recent_level[backend], max(self.latency_level[backend], 1.0)
        )
        self._pause_forecast.pause_ended(backend, now - self._ejections.since[backend])

    def _end_slow_ejection(self, backend: int, now: int) -> None:
        """Readmits a slow backend at the end of its ejection; its recovery is not confirmed yet."""
        self._set_reason(backend, None, now)
        self.error_rate[backend] = 0.0
        self.repeated_slow_ejections[backend] = min(self.repeated_slow_ejections[backend] + 1, 8)
        self.recent_level[backend] = RECOVERED_RATIO * max(self.latency_level[backend], 1.0)

    def trial_failed(self, backend: int, now: int) -> None:
        """Records a failed trial request or health check, and doubles the trial interval."""
        ejections, endpoints = self._ejections, self._endpoints
        ejections.double_trial_interval(backend)
        if (
            ejections.trial_interval[backend] == MAX_TRIAL_INTERVAL
            and endpoints.unready_since[backend]
            and endpoints.state[backend] == EndpointState.READY
        ):
            self.take_out_of_rotation(backend, EndpointState.REMOVED, now)
            self._rotation.rebuild(now)
        ejections.schedule_trial(backend, now)

    def check_ejected(self, now: int) -> None:
        """Ends expired ejections of slow backends and admits due trial requests."""
        ejections = self._ejections
        for backend in list(ejections.ejected):
            if self._endpoints.state[backend] != EndpointState.READY:
                continue
            is_slow = ejections.reason[backend] is SLOW
            if is_slow and now >= ejections.until[backend]:
                self._end_slow_ejection(backend, now)
                continue
            if (
                not ejections.trial_due[backend]
                and now >= ejections.trial_at[backend]
                and not ejections.trials_in_flight[backend]
            ):
                ejections.schedule_trial(backend, now)
                if self._settings.may_check_health and not is_slow:
                    self._health_checks.request(backend)
                else:
                    ejections.admit_trial(backend)
            if is_slow or not ejections.trial_due[backend]:
                self._wakeup.request(
                    max(
                        now + SWEEP_INTERVAL,
                        min(ejections.until[backend], ejections.trial_at[backend]),
                    )
                )

    def check_unresponsive(self, backend: int, now: int) -> int:
        """Ejects a backend that has attempts in flight and has not answered for too long.

        Its attempts that may be retried are then cancelled. Returns the time of the next check.
        """
        attempts = self._ejections.in_flight[backend]
        for attempt in [
            attempt for attempt in attempts if attempt.outcome and now >= attempt.timeout_at
        ]:
            self._ejections.remove_attempt(backend, attempt, now)
        if not attempts:
            return NEVER
        oldest = next(iter(attempts))
        silence = now - max(self.last_answer_at[backend], oldest.sent_at)
        # A light request may wait behind heavy ones, so it does not shorten the permitted silence.
        cost = max(1.0, *(attempt.request.relative_cost for attempt in attempts))
        stats = self._request_stats.classes[oldest.request.request_class.index]
        typical = max(MIN_LATENCY, cost * stats.typical * max(self.latency_level[backend], 1.0))
        max_silence = _max_silence(typical, stats.skew, len(attempts))
        if silence < max_silence:
            return min(
                int(now - silence + max_silence) + 1,
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
        """Cancels the attempts at an unresponsive backend that may be retried elsewhere in time."""
        retries_left = self._retry_budget.remaining(now)
        for attempt in attempts:
            request = attempt.request
            if attempt.is_trial and now - attempt.sent_at > UNRESPONSIVE_LATENCY_SUM * typical:
                self.trial_failed(backend, now)
            if (
                request.request_class.idempotency != Idempotency.UNSAFE
                and not attempt.cancelled
                and not request.completed
                and now - attempt.sent_at > MIN_UNRESPONSIVE_RATIO * typical
                and retries_left >= 1
                and now < self._deadlines.latest_send_time(request, conservative=True)
                and len(request.attempts) < self._settings.max_attempts
            ):
                self._pending.cancel(attempt)
                retries_left -= self._retry_budget.window > 0


def _max_silence(typical: float, skew: float, in_flight: int) -> float:
    """Returns how long a backend with `in_flight` attempts may be silent, in ticks.

    A node with few attempts has one in flight at a time. By the mean latency alone, each heavy
    request would look like silence, so the spread of the latency (`skew`) counts too.
    """
    uneven_work_ratio = exp(UNRESPONSIVE_STANDARD_DEVIATIONS / in_flight * sqrt(2 * skew) - skew)
    return typical * max(
        MIN_UNRESPONSIVE_RATIO, UNRESPONSIVE_LATENCY_SUM / in_flight, uneven_work_ratio
    )
