"""What backends report of their load, and how much more or less is sent for it. No I/O, no clock.

Moments and spans are tenths of a millisecond. A utilization is a share of cores in use, a
throughput is requests in a second that a backend answers for all nodes.
"""

from pierglade.balancer.endpoint_stats import EndpointStats, RequestStats
from pierglade.balancer.slow_start import SlowStart
from pierglade.concurrency.limiter import ConcurrencyLimiter
from pierglade.model.endpoint import LoadReport, LoadReportSource
from pierglade.settings.balancer import BalancerSettings

# Share of a new report in the smoothed figures; one covers few answers.
SMOOTHING = 1 / 3
# 3 s; an older report says nothing of now.
FRESH_FOR = 30000
# Utilization from which the throughput tells what a backend can do.
UTILIZATION_LEAST = 0.2
# Share of a new report in the baseline throughput.
BASELINE_SMOOTHING = 1 / 32
# Reports that a baseline must rest on.
BASELINE_FROM = 4
# Share of the baseline from which backends are well again; they had rest enough.
RECOVERED = 0.9
# Utilization and waiting requests at a backend from which it is full; with less, more may be sent.
FULL_UTILIZATION, FULL_QUEUE = 0.9, 1.0
# Times; how the limit grows and shrinks by reports, look by look, and at most.
GROWTH, SHRINKAGE, GROWTH_MOST = 1.1, 0.95, 4.0
# Times the limit; where reports are rare and tell no throughput, growth from one would be too slow.
INITIAL_GROWTH_RARE = 2.0
# 0.2 s; how often a balancer looks at the reports.
LOOK_INTERVAL = 2000
# Times the mean; bounds of a node's share of what all nodes are asked for.
SHARE_LEAST, SHARE_MOST = 0.2, 20.0
# Attempts answered; of fewer nobody can tell a share.
SHARE_FROM = 8
# Share that counts of what it cannot answer; a node with too low a limit finds out.
UNMET = 1 / 8
# Share of the baseline; less, of all backends alike, is no chance.
SLOWER_TOGETHER = 0.65
# Utilization; with less, backends have their rest already.
REST_FROM = 0.6
# 2 s; so long must all look slower, as many such spells pass within some seconds.
SURE_AFTER = 20000
# 6 s, 1 s; rests begin at multiples of the one, within the other.
REST_EACH, REST_BEGINS_WITHIN = 60000, 10000
# 5 s, 11 s; a rest, and from its start to another one.
REST_FOR, REST_INTERVAL = 50000, 110000
# Share of the limit during a rest; cores are then less than half in use.
REST_SHARE = 0.2
# A moment that does not come.
NEVER = 1 << 62

# The arrays of `LoadReports`, by name, and what a new backend begins with.
INITIAL = dict(
    throughput=None,
    utilization=0.0,
    queue_length=0.0,
    reported_at=0,
    baseline_throughput=0.0,
    baseline_reports=0,
)


class LoadReports:
    """The reports of all backends: one array for each figure, under the backends' dense index.

    Other parts may read the arrays and change nothing in them.
    """

    def __init__(
        self,
        settings: BalancerSettings,
        endpoints: EndpointStats,
        request_stats: RequestStats,
        slow_start: SlowStart,
        are_rare: bool,
        now: int,
    ) -> None:
        """`are_rare`: reports come with health checks alone, and tell no throughput."""
        self._node_count = settings.node_count
        self._by_health_checks = settings.load_report_source == LoadReportSource.HEALTH_CHECKS
        self._endpoints, self._request_stats = endpoints, request_stats
        self._slow_start = slow_start
        self.throughput: list[float | None] = []
        self.utilization: list[float] = []
        self.queue_length: list[float] = []
        self.reported_at: list[int] = []
        self.baseline_throughput: list[float] = []
        """What the backend usually answers when all its cores are in use."""
        self.baseline_reports: list[int] = []
        """Reports that the baseline rests on."""
        self.traffic_share = 1.0
        """Times the mean of all nodes that this one is asked for."""
        # Where a throughput is reported, the limit grows soon enough by that.
        self._growth = INITIAL_GROWTH_RARE if are_rare else 1.0
        self._grown_at = self._looked_at = self._next_look_at = now
        self._slower_since, self._rest_until, self._next_rest_at = NEVER, 0, 0

    def add(self, backend: int) -> None:
        """Begins with nothing for `backend`."""
        for name, initial in INITIAL.items():
            getattr(self, name)[backend : backend + 1] = [initial]

    def copy_reports(self, before: "LoadReports", same_reports: bool) -> None:
        """Takes over what backends reported; where it was reported in another way, nothing."""
        for name, initial in INITIAL.items():
            reported = getattr(before, name)
            setattr(self, name, reported.copy() if same_reports else [initial] * len(reported))

    def copy_growth(self, before: "LoadReports") -> None:
        """Takes over how far the limit has grown by reports, and the rests of all backends."""
        self._growth, self._grown_at = before._growth, before._grown_at
        self._looked_at, self._slower_since = before._looked_at, before._slower_since
        self._rest_until, self._next_rest_at = before._rest_until, before._next_rest_at

    def load_reported(self, backend: int, now: int, load: LoadReport) -> None:
        """A backend reports its load, with an answer or a health check's result."""
        if load.throughput is None and load.utilization is None:
            return
        smoothing = SMOOTHING if self.reported_at[backend] else 1
        if load.throughput is not None:
            before = self.throughput[backend] or 0.0
            self.throughput[backend] = before + (load.throughput - before) * smoothing
        self.queue_length[backend] += (
            (load.queue_length or 0.0) - self.queue_length[backend]
        ) * smoothing
        if load.utilization is not None:
            self.utilization[backend] += (load.utilization - self.utilization[backend]) * smoothing
            if (
                load.throughput is not None
                and self.utilization[backend] > UTILIZATION_LEAST
                and self._rest_until <= now < self._slower_since
            ):
                does = self.throughput[backend] / self.utilization[backend]
                self.baseline_reports[backend] += 1
                self.baseline_throughput[backend] += (
                    does - self.baseline_throughput[backend]
                ) * max(BASELINE_SMOOTHING, 1 / self.baseline_reports[backend])
        self.reported_at[backend] = now

    def capacity_factor(self, now: int) -> float:
        """Times the even share of the limit that this node may use."""
        return self.traffic_share * (REST_SHARE if now < self._rest_until else self._growth)

    def take_due_look(self, now: int) -> bool:
        """Whether a look is due now; it counts as made."""
        if now < self._next_look_at:
            return False
        self._next_look_at = now + LOOK_INTERVAL
        return True

    def look(
        self,
        now: int,
        subset: list[int],
        by_rank: list[int],
        rate: float,
        limit: ConcurrencyLimiter,
    ) -> None:
        """What follows from the reports of the `subset` for this node's share and its limit.

        Args:
            now: the moment.
            subset: the backends that this node sends to.
            by_rank: all ready backends.
            rate: requests that come to this node, in a tenth of a millisecond.
            limit: asked for the moment when it last held requests back.
        """
        until = self._slow_start.until
        reported = [
            backend for backend in subset if self.reported_at[backend] and now >= until[backend]
        ]
        self._update_share(now, reported, by_rank, rate)
        reported = [backend for backend in reported if now - self.reported_at[backend] < FRESH_FOR]
        self._update_growth(now, reported, limit)
        self._looked_at = now
        self._look_for_slower_together(now, reported)

    def _update_share(self, now: int, reported: list[int], by_rank: list[int], rate: float) -> None:
        """Updates this node's share of the traffic of all nodes.

        Without quotas, it follows from what comes to the node.
        """
        with_throughput = [backend for backend in reported if self.throughput[backend] is not None]
        if not with_throughput:
            return
        size = self._endpoints.size
        scale = sum(size[backend] for backend in by_rank) / sum(
            size[backend] for backend in with_throughput
        )
        fleet = sum(self.throughput[backend] for backend in with_throughput) * scale / 10000
        if self._request_stats.succeeded >= SHARE_FROM:
            # Like with like: by all that is asked each node of a full fleet took itself for a
            # busy one.
            own = self._request_stats.success_rate(now)
            own += max(0.0, rate - own) * UNMET
            self.traffic_share = max(
                SHARE_LEAST, min(SHARE_MOST, own * self._node_count / max(fleet, 1e-9))
            )

    def _update_growth(self, now: int, reported: list[int], limit: ConcurrencyLimiter) -> None:
        """Lets the limit grow by the capacity that reports show.

        What is full by them is left to the limiter's rounds.
        """
        # Checks are few and far between: none vouches for more than was out when it was made.
        fresh = [
            backend
            for backend in reported
            if not self._by_health_checks or self.reported_at[backend] >= self._looked_at
        ]
        if not fresh or limit.last_limited_at < self._looked_at:
            return
        full = sum(
            self.utilization[backend] / FULL_UTILIZATION + self.queue_length[backend] / FULL_QUEUE
            for backend in fresh
        ) / len(fresh)
        most = GROWTH ** ((now - self._grown_at) / LOOK_INTERVAL)
        more = min(most, 1 / max(full, UTILIZATION_LEAST)) if self._by_health_checks else GROWTH
        self._growth = max(1.0, min(GROWTH_MOST, self._growth * (SHRINKAGE if full >= 1 else more)))
        self._grown_at = now

    def _look_for_slower_together(self, now: int, reported: list[int]) -> None:
        """Where all backends are slower alike, a rest of all: some such spells end by it."""
        known = [backend for backend in reported if self.baseline_reports[backend] >= BASELINE_FROM]
        busy = sum(self.utilization[backend] for backend in known)
        does = sum(self.throughput[backend] for backend in known)
        usual = sum(
            self.utilization[backend] * self.baseline_throughput[backend] for backend in known
        )
        if now < self._rest_until:
            if does > RECOVERED * usual:
                self._rest_until = now
        elif not known or busy < REST_FROM * len(known) or does > SLOWER_TOGETHER * usual:
            self._slower_since = NEVER
        elif self._slower_since == NEVER:
            self._slower_since, self._growth = now, 1.0
        elif (
            now - self._slower_since >= SURE_AFTER
            and now >= self._next_rest_at
            and now % REST_EACH < REST_BEGINS_WITHIN
        ):
            # Only all nodes together give the backends a rest, and the clock is all that they
            # share.
            self._rest_until, self._next_rest_at = (
                now - now % REST_EACH + REST_FOR,
                now + REST_INTERVAL,
            )
