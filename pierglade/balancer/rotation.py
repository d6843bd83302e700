"""The hash ring of ready backends, this node's subset of it, and the position in the rotation.

Times and durations are in ticks (tenths of a millisecond); rates are requests per tick. No I/O.
"""

from bisect import bisect_left, insort
from collections.abc import Callable

from pierglade.balancer.ejections import COUNTS_TOWARD_CAPACITY, Ejections
from pierglade.balancer.endpoint_stats import EndpointStats, RequestStats
from pierglade.balancer.load_reports import EVALUATION_INTERVAL, LoadReports
from pierglade.balancer.slow_start import SlowStart
from pierglade.balancer.wakeup import NEVER, Wakeup
from pierglade.concurrency.limiter import ConcurrencyLimiter
from pierglade.settings.balancer import BalancerSettings

# Ticks (0.25 s). Maximum interval between requests to a backend; with rarer ones, its load is not
# known.
MAX_REQUEST_INTERVAL = 2500
# Minimum number of backends in a subset; with fewer, a single outage could affect all of them.
MIN_SUBSET_SIZE = 2
# Requests per tick (0.1 a second). Rate assumed for a node that has not received requests yet.
MIN_REQUEST_RATE = 1e-5
# Ticks (5 s). Interval between moves by one backend toward an even place on the ring.
MOVE_INTERVAL = 50000


class Rotation:
    """The rotation over as many backends as this node sends to often enough.

    Other modules read its fields; `position` is set by `Selection`.
    """

    def __init__(
        self,
        settings: BalancerSettings,
        now: int,
        pick: Callable[[int], int],
        learns_limit: bool,
        limit: ConcurrencyLimiter,
        wakeup: Wakeup,
        endpoints: EndpointStats,
        request_stats: RequestStats,
        slow_start: SlowStart,
        load_reports: LoadReports,
        ejections: Ejections,
    ) -> None:
        """Starts with an empty ring.

        `learns_limit`: without quotas, requests and load reports determine the size of the subset.
        """
        self._settings, self.pick, self.limit, self._wakeup = settings, pick, limit, wakeup
        self._endpoints, self._request_stats = endpoints, request_stats
        self._slow_start, self._load_reports = slow_start, load_reports
        self._ejections = ejections
        self.has_quotas = settings.tenants.total > 0
        self.request_rate = settings.tenants.total / settings.node_count / 10000
        """Requests per tick that this node receives."""
        self.subset_size: int | None = (
            max(MIN_SUBSET_SIZE, int(self.request_rate * MAX_REQUEST_INTERVAL))
            if self.has_quotas or learns_limit
            else None
        )
        """Number of backends of mean size in the subset; None for all backends."""
        self.by_rank: list[int] = []
        """The ready backends in the order of the ring."""
        self.total_size = 0.0
        self.subset: list[int] = []
        self.position = 0
        """Position in the subset of the next backend."""
        self.largest_size = 1.0
        self.rebuild_at = NEVER
        self.anchor, self._move_at, self._max_ready = b"", now, 0

    def copy_from(self, previous: "Rotation", same_ring: bool, both_learn: bool) -> None:
        """Copies the ring and the subset.

        Args:
            previous: the rotation that this one replaces.
            same_ring: whether node number and node count are the same, and thus the place on the
                ring.
            both_learn: whether both learn the rate and the size of the subset.
        """
        self.by_rank, self.subset = previous.by_rank.copy(), previous.subset.copy()
        self.total_size, self.position = previous.total_size, previous.position
        self._max_ready = previous._max_ready
        if same_ring:
            self.anchor, self._move_at = previous.anchor, previous._move_at
        if both_learn:
            self.request_rate, self.subset_size = previous.request_rate, previous.subset_size

    def uses_all_backends(self) -> bool:
        """Returns whether this node sends to all ready backends."""
        return len(self.subset) == len(self.by_rank)

    def add(self, backend: int) -> None:
        """Adds a backend that became ready."""
        insort(self.by_rank, backend, key=self._endpoints.rank.__getitem__)

    def remove(self, backend: int) -> None:
        """Removes a backend that is no longer ready."""
        rank = self._endpoints.rank
        self.total_size -= self._endpoints.size[backend]
        del self.by_rank[bisect_left(self.by_rank, rank[backend], key=rank.__getitem__)]

    def endpoints_updated(self, now: int) -> None:
        """Updates the subset after backends or their sizes have changed."""
        self.total_size = sum(map(self._endpoints.size.__getitem__, self.by_rank))
        self.rebuild(now)

    def quotas_updated(self, now: int) -> None:
        """Applies changed quotas of tenants that had quotas before."""
        settings = self._settings
        self.request_rate = self.limit.demand = settings.tenants.total / settings.node_count / 10000
        self.subset_size = max(MIN_SUBSET_SIZE, int(self.request_rate * MAX_REQUEST_INTERVAL))
        self.rebuild(now)

    def update_from_load_reports(self, now: int) -> None:
        """Updates the rate, the subset's size and the limit where there are no quotas.

        They follow from the requests received and the load that backends report.
        """
        self.request_rate = self.limit.demand = max(
            MIN_REQUEST_RATE, self._request_stats.rate(now, "asked")
        )
        self._load_reports.evaluate(now, self.subset, self.by_rank, self.request_rate, self.limit)
        subset_size = max(MIN_SUBSET_SIZE, int(self.request_rate * MAX_REQUEST_INTERVAL))
        if not self.subset_size / 1.5 <= subset_size <= self.subset_size * 1.5:
            self.subset_size = subset_size
        self.rebuild(now)

    def rebuild(self, now: int) -> None:
        """Selects as much of the ring as contains enough healthy backends."""
        previous = self.subset
        target_size = self.subset_size and self.subset_size * self.total_size
        self.rebuild_at = NEVER
        subset, healthy = self._select_subset(self._start_place(now), target_size, now)
        # At least one backend counts as healthy. A node that was disconnected sees all backends
        # fail, and must still send trial requests to detect that they are healthy.
        healthy = max(1, healthy)
        ready_count = len(self.by_rank)
        factor = self._load_reports.capacity_factor(now)
        # While no backend is ready, attempts at draining ones are still in flight and answered, so
        # the fleet whose limit they count against is never empty.
        fleet_size = factor * healthy * max(1, ready_count) / max(1, len(subset))
        self.limit.update_backends(now, healthy, fleet_size)
        self._max_ready = max(self._max_ready, ready_count)
        if subset:
            self._update_warm_rate(now, len(subset))
        self.largest_size = max((self._endpoints.size[backend] for backend in subset), default=1.0)
        if subset == previous:
            return
        self.subset, retained = subset, set(subset)
        next_backend = next(
            (
                backend
                for backend in previous[self.position :] + previous[: self.position]
                if backend in retained
            ),
            None,
        )
        # The first position is random; otherwise all nodes would begin with the same backend.
        self.position = (
            self.pick(max(1, len(subset))) if next_backend is None else subset.index(next_backend)
        )

    def _start_place(self, now: int) -> int:
        """Returns the index on the ring at which the subset begins.

        The subsets of all nodes are spaced evenly on the ring; with random places, some backends
        would be in two thirds more subsets than others. Each move opens connections, so the subset
        moves by one backend at a time.
        """
        rank, settings, count = self._endpoints.rank, self._settings, len(self.by_rank)
        start = bisect_left(self.by_rank, self.anchor, key=rank.__getitem__) % max(1, count)
        even_start = count * settings.node_number // settings.node_count % max(1, count)
        if start != even_start and now >= self._move_at:
            step = 1 if (even_start - start) % count <= count // 2 else -1
            start = (start + step) % count if self.anchor else even_start
            self.anchor, self._move_at = rank[self.by_rank[start]], now + MOVE_INTERVAL
        return start

    def _select_subset(
        self, start: int, target_size: float | None, now: int
    ) -> tuple[list[int], int]:
        """Returns the subset from index `start`, and how many of it count toward the capacity."""
        subset, healthy, size = [], 0, 0.0
        sizes, until, reason = self._endpoints.size, self._slow_start.until, self._ejections.reason
        for backend in self.by_rank[start:] + self.by_rank[:start]:
            if target_size is not None and size * len(self.by_rank) >= target_size:
                break
            subset.append(backend)
            if now < until[backend]:
                size += sizes[backend] * self._settings.slow_start_capacity
                self.rebuild_at = min(
                    self.rebuild_at,
                    until[backend],
                    NEVER if self.has_quotas else now + EVALUATION_INTERVAL,
                )
                self._wakeup.request(self.rebuild_at)
            elif reason[backend] in COUNTS_TOWARD_CAPACITY:
                size += sizes[backend]
            healthy += reason[backend] in COUNTS_TOWARD_CAPACITY
        return subset, healthy

    def _update_warm_rate(self, now: int, subset_count: int) -> None:
        """Updates the rate at a warm backend, from which the rate at cold ones is derived.

        Without quotas, the rate is that of the requests answered recently, as those received may be
        an overload. The minimum is one attempt at a time from all nodes together, which is no
        overload; without it, no requests would be sent while all backends are cold and none are
        answered.
        """
        settings, ready_count = self._settings, len(self.by_rank)
        min_rate = (
            ready_count
            / settings.node_count
            / max(each.latency_objective for each in settings.request_classes)
        )
        rate = (
            self.request_rate
            if self.has_quotas
            else max(min_rate, self._request_stats.rate(now, "got"))
        )
        self._slow_start.warm_rate = (
            rate * ready_count**2 / (self._max_ready * subset_count * self.total_size)
        )
