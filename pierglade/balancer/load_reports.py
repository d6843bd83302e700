"""Load reports of backends, and the capacity derived from them. No I/O, no clock.

Times and durations are in ticks (tenths of a millisecond). A utilization is the fraction of cores
in use; a throughput is the number of requests per second that a backend answers for all nodes.
"""

from pierglade.balancer.endpoint_stats import EndpointStats, RequestStats
from pierglade.balancer.slow_start import SlowStart
from pierglade.concurrency.limiter import ConcurrencyLimiter
from pierglade.model.endpoint import LoadReport, LoadReportSource
from pierglade.settings.balancer import BalancerSettings

# Weight of a new report in the smoothed figures. They are smoothed because one report covers few
# answers.
SMOOTHING = 1 / 3
# Ticks (3 s). An older report does not describe the present.
MAX_REPORT_AGE = 30000
# Utilization from which the throughput indicates the capacity of a backend.
MIN_UTILIZATION = 0.2
# Weight of a new report in the baseline throughput.
BASELINE_SMOOTHING = 1 / 32
# Reports that a baseline needs to be used.
MIN_BASELINE_REPORTS = 4
# Fraction of the baseline throughput from which the backends have recovered and a back-off ends.
RECOVERED_THROUGHPUT_RATIO = 0.9
# Utilization and queue length from which a backend counts as full; below them, more may be sent.
FULL_UTILIZATION, FULL_QUEUE = 0.9, 1.0
# Multiples of the limit: its growth and shrinkage per evaluation of the reports, and the maximum.
GROWTH, SHRINKAGE, MAX_GROWTH = 1.1, 0.95, 4.0
# Initial multiple of the limit if reports are rare and have no throughput; growth from 1 would be
# too slow.
INITIAL_GROWTH_RARE = 2.0
# Ticks (0.2 s). Interval between evaluations of the reports.
EVALUATION_INTERVAL = 2000
# Bounds of a node's share of the traffic, as multiples of the mean of all nodes.
MIN_TRAFFIC_SHARE, MAX_TRAFFIC_SHARE = 0.2, 20.0
# Number of answered attempts needed to determine a traffic share.
MIN_SHARE_ATTEMPTS = 8
# Fraction of the unanswered rate that counts toward the traffic share, so that a node with too low
# a limit can raise it.
UNMET_DEMAND_WEIGHT = 1 / 8
# Fraction of the baseline throughput. A lower throughput of all backends together is a common
# slowdown, not random variation.
SLOWDOWN_THROUGHPUT_RATIO = 0.65
# Mean utilization below which there is no back-off, as the backends have spare capacity.
MIN_BACKOFF_UTILIZATION = 0.6
# Ticks (2 s). Duration of a common slowdown before a back-off; many end by themselves within
# seconds.
SLOWDOWN_CONFIRMATION_SPAN = 20000
# Ticks (6 s, 1 s). Back-offs begin at multiples of the first, within the second after them.
BACKOFF_ALIGNMENT, BACKOFF_START_SPAN = 60000, 10000
# Ticks (5 s, 11 s). Duration of a back-off, and time from its start to the next one.
BACKOFF_DURATION, BACKOFF_INTERVAL = 50000, 110000
# Fraction of the limit used during a back-off; less than half of the cores are then in use.
BACKOFF_LIMIT_RATIO = 0.2
# A time that is never reached.
NEVER = 1 << 62

# Arrays of `LoadReports`, with the values for a new backend.
INITIAL = dict(
    throughput=None,
    utilization=0.0,
    queue_length=0.0,
    reported_at=0,
    baseline_throughput=0.0,
    baseline_reports=0,
)


class LoadReports:
    """The load reports of all backends, one array per figure, indexed by backend.

    Other modules read the arrays and never modify them.
    """

    def __init__(
        self,
        settings: BalancerSettings,
        endpoints: EndpointStats,
        request_stats: RequestStats,
        slow_start: SlowStart,
        reports_are_rare: bool,
        now: int,
    ) -> None:
        """`reports_are_rare`: they come only with health checks and have no throughput."""
        self._node_count = settings.node_count
        self._by_health_checks = settings.load_report_source == LoadReportSource.HEALTH_CHECKS
        self._endpoints, self._request_stats = endpoints, request_stats
        self._slow_start = slow_start
        self.throughput: list[float | None] = []
        self.utilization: list[float] = []
        self.queue_length: list[float] = []
        self.reported_at: list[int] = []
        self.baseline_throughput: list[float] = []
        """Typical throughput of the backend with all cores in use."""
        self.baseline_reports: list[int] = []
        """Number of reports behind the baseline."""
        self.traffic_share = 1.0
        """Rate at this node as a multiple of the mean of all nodes."""
        # If reports have a throughput, the limit grows fast enough from 1.0.
        self._growth = INITIAL_GROWTH_RARE if reports_are_rare else 1.0
        self._grown_at = self._evaluated_at = self._next_evaluation_at = now
        self._slowdown_since, self._backoff_until, self._next_backoff_at = NEVER, 0, 0

    def add(self, backend: int) -> None:
        """Resets all figures of `backend`."""
        for name, initial in INITIAL.items():
            getattr(self, name)[backend : backend + 1] = [initial]

    def copy_reports(self, previous: "LoadReports", same_reports: bool) -> None:
        """Copies the load reports, or resets them where they were reported in another way."""
        for name, initial in INITIAL.items():
            reported = getattr(previous, name)
            setattr(self, name, reported.copy() if same_reports else [initial] * len(reported))

    def copy_growth(self, previous: "LoadReports") -> None:
        """Copies the growth of the limit and the state of the common back-off."""
        self._growth, self._grown_at = previous._growth, previous._grown_at
        self._evaluated_at, self._slowdown_since = previous._evaluated_at, previous._slowdown_since
        self._backoff_until, self._next_backoff_at = (
            previous._backoff_until,
            previous._next_backoff_at,
        )

    def load_reported(self, backend: int, now: int, load: LoadReport) -> None:
        """Records a load report that came with an answer or with a health check."""
        if load.throughput is None and load.utilization is None:
            return
        smoothing = SMOOTHING if self.reported_at[backend] else 1
        if load.throughput is not None:
            previous = self.throughput[backend] or 0.0
            self.throughput[backend] = previous + (load.throughput - previous) * smoothing
        self.queue_length[backend] += (
            (load.queue_length or 0.0) - self.queue_length[backend]
        ) * smoothing
        if load.utilization is not None:
            self.utilization[backend] += (load.utilization - self.utilization[backend]) * smoothing
            if (
                load.throughput is not None
                and self.utilization[backend] > MIN_UTILIZATION
                and self._backoff_until <= now < self._slowdown_since
            ):
                full_throughput = self.throughput[backend] / self.utilization[backend]
                self.baseline_reports[backend] += 1
                self.baseline_throughput[backend] += (
                    full_throughput - self.baseline_throughput[backend]
                ) * max(BASELINE_SMOOTHING, 1 / self.baseline_reports[backend])
        self.reported_at[backend] = now

    def capacity_factor(self, now: int) -> float:
        """Returns the multiple of the even share of the limit that this node may use."""
        return self.traffic_share * (
            BACKOFF_LIMIT_RATIO if now < self._backoff_until else self._growth
        )

    def take_due_evaluation(self, now: int) -> bool:
        """Returns whether an evaluation is due, and schedules the next one."""
        if now < self._next_evaluation_at:
            return False
        self._next_evaluation_at = now + EVALUATION_INTERVAL
        return True

    def evaluate(
        self,
        now: int,
        subset: list[int],
        by_rank: list[int],
        rate: float,
        limit: ConcurrencyLimiter,
    ) -> None:
        """Updates this node's traffic share and limit from the reports of the `subset`.

        Args:
            now: the current time.
            subset: the backends that this node sends to.
            by_rank: all ready backends.
            rate: requests per tick received by this node.
            limit: the limiter, for the time at which it last queued a request.
        """
        until = self._slow_start.until
        reported = [
            backend for backend in subset if self.reported_at[backend] and now >= until[backend]
        ]
        self._update_share(now, reported, by_rank, rate)
        reported = [
            backend for backend in reported if now - self.reported_at[backend] < MAX_REPORT_AGE
        ]
        self._update_growth(now, reported, limit)
        self._evaluated_at = now
        self._detect_common_slowdown(now, reported)

    def _update_share(self, now: int, reported: list[int], by_rank: list[int], rate: float) -> None:
        """Updates this node's share of the traffic of all nodes.

        Without quotas, it follows from the requests that the node receives.
        """
        with_throughput = [backend for backend in reported if self.throughput[backend] is not None]
        if not with_throughput:
            return
        size = self._endpoints.size
        scale = sum(size[backend] for backend in by_rank) / sum(
            size[backend] for backend in with_throughput
        )
        fleet_rate = sum(self.throughput[backend] for backend in with_throughput) * scale / 10000
        if self._request_stats.succeeded >= MIN_SHARE_ATTEMPTS:
            # Both rates count answers. If the own rate counted all requests received, each node of
            # an overloaded fleet would overestimate its traffic share.
            own_rate = self._request_stats.success_rate(now)
            own_rate += max(0.0, rate - own_rate) * UNMET_DEMAND_WEIGHT
            self.traffic_share = max(
                MIN_TRAFFIC_SHARE,
                min(MAX_TRAFFIC_SHARE, own_rate * self._node_count / max(fleet_rate, 1e-9)),
            )

    def _update_growth(self, now: int, reported: list[int], limit: ConcurrencyLimiter) -> None:
        """Raises the limit by the spare capacity that the reports show.

        Without spare capacity, the limit is determined by the probing rounds of the limiter.
        """
        # Reports by health checks are rare and describe only the load in flight when they were
        # made, so reports older than the last evaluation are not used.
        fresh = [
            backend
            for backend in reported
            if not self._by_health_checks or self.reported_at[backend] >= self._evaluated_at
        ]
        if not fresh or limit.last_limited_at < self._evaluated_at:
            return
        fullness = sum(
            self.utilization[backend] / FULL_UTILIZATION + self.queue_length[backend] / FULL_QUEUE
            for backend in fresh
        ) / len(fresh)
        max_factor = GROWTH ** ((now - self._grown_at) / EVALUATION_INTERVAL)
        factor = (
            min(max_factor, 1 / max(fullness, MIN_UTILIZATION))
            if self._by_health_checks
            else GROWTH
        )
        self._growth = max(
            1.0, min(MAX_GROWTH, self._growth * (SHRINKAGE if fullness >= 1 else factor))
        )
        self._grown_at = now

    def _detect_common_slowdown(self, now: int, reported: list[int]) -> None:
        """Starts a back-off if all backends are similarly slow; it ends some of these slowdowns."""
        with_baseline = [
            backend
            for backend in reported
            if self.baseline_reports[backend] >= MIN_BASELINE_REPORTS
        ]
        total_utilization = sum(self.utilization[backend] for backend in with_baseline)
        throughput = sum(self.throughput[backend] for backend in with_baseline)
        expected_throughput = sum(
            self.utilization[backend] * self.baseline_throughput[backend]
            for backend in with_baseline
        )
        if now < self._backoff_until:
            if throughput > RECOVERED_THROUGHPUT_RATIO * expected_throughput:
                self._backoff_until = now
        elif (
            not with_baseline
            or total_utilization < MIN_BACKOFF_UTILIZATION * len(with_baseline)
            or throughput > SLOWDOWN_THROUGHPUT_RATIO * expected_throughput
        ):
            self._slowdown_since = NEVER
        elif self._slowdown_since == NEVER:
            self._slowdown_since, self._growth = now, 1.0
        elif (
            now - self._slowdown_since >= SLOWDOWN_CONFIRMATION_SPAN
            and now >= self._next_backoff_at
            and now % BACKOFF_ALIGNMENT < BACKOFF_START_SPAN
        ):
            # The backends recover only if all nodes back off together. The nodes share nothing but
            # the clock, so the start is aligned to it.
            self._backoff_until, self._next_backoff_at = (
                now - now % BACKOFF_ALIGNMENT + BACKOFF_DURATION,
                now + BACKOFF_INTERVAL,
            )
