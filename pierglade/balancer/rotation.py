"""The hash ring of ready backends, the subset of it that this node sends to, and whose turn it is.

Moments and spans are tenths of a millisecond; rates are requests in one. No I/O.
"""

from bisect import bisect_left, insort
from collections.abc import Callable

from pierglade.balancer.ejections import COUNTS_TOWARD_CAPACITY, Ejections
from pierglade.balancer.endpoint_stats import EndpointStats, RequestStats
from pierglade.balancer.load_reports import LOOK_INTERVAL, LoadReports
from pierglade.balancer.slow_start import SlowStart
from pierglade.balancer.wakeup import NEVER, Wakeup
from pierglade.concurrency.limiter import ConcurrencyLimiter
from pierglade.settings.balancer import BalancerSettings

# 0.25 s; of a backend seen less often it is not known how full it is.
SEEN_EACH = 2500
# Backends of a subset; with fewer a node could lose all to one outage.
SUBSET_LEAST = 2
# 0.1 a second; a node that nothing has come to yet is asked for that much.
RATE_LEAST = 1e-5
# 5 s; between moves by one backend towards an even place on the ring.
MOVE_INTERVAL = 50000


class Rotation:
    """The order of turns, over as many backends as this node sees often enough.

    Other parts may read its fields; `position` is set by whoever takes a turn.
    """

    def __init__(
        self,
        settings: BalancerSettings,
        now: int,
        pick: Callable[[int], int],
        learns: bool,
        limit: ConcurrencyLimiter,
        wakeup: Wakeup,
        endpoints: EndpointStats,
        request_stats: RequestStats,
        slow_start: SlowStart,
        load_reports: LoadReports,
        ejections: Ejections,
    ) -> None:
        """Begins with an empty ring.

        `learns`: where there are no quotas, what comes and is reported tells the subset's size.
        """
        self._settings, self.pick, self.limit, self._wakeup = settings, pick, limit, wakeup
        self._endpoints, self._request_stats = endpoints, request_stats
        self._slow_start, self._load_reports = slow_start, load_reports
        self._ejections = ejections
        self.has_quotas = settings.tenants.total > 0
        self.request_rate = settings.tenants.total / settings.node_count / 10000
        """Requests that this node is asked for."""
        self.subset_size: int | None = (
            max(SUBSET_LEAST, int(self.request_rate * SEEN_EACH))
            if self.has_quotas or learns
            else None
        )
        """Backends of mean size in the subset; None for all."""
        self.by_rank: list[int] = []
        """The ready backends, as they stand on the ring."""
        self.total_size = 0.0
        self.subset: list[int] = []
        self.position = 0
        """Place in the subset whose turn is next."""
        self.largest_size = 1.0
        self.rebuild_at = NEVER
        self.anchor, self._move_at, self._most_ready = b"", now, 0

    def copy_from(self, before: "Rotation", same_ring: bool, both_learn: bool) -> None:
        """Takes over ring and subset.

        Args:
            before: whose place this one takes.
            same_ring: it has the same number and count of nodes, so the same place on the ring.
            both_learn: both learn the rate and the size of the subset.
        """
        self.by_rank, self.subset = before.by_rank.copy(), before.subset.copy()
        self.total_size, self.position = before.total_size, before.position
        self._most_ready = before._most_ready
        if same_ring:
            self.anchor, self._move_at = before.anchor, before._move_at
        if both_learn:
            self.request_rate, self.subset_size = before.request_rate, before.subset_size

    def is_whole_ring(self) -> bool:
        """Whether this node sends to all ready backends."""
        return len(self.subset) == len(self.by_rank)

    def add(self, backend: int) -> None:
        """A backend is ready."""
        insort(self.by_rank, backend, key=self._endpoints.rank.__getitem__)

    def remove(self, backend: int) -> None:
        """A backend is ready no more."""
        rank = self._endpoints.rank
        self.total_size -= self._endpoints.size[backend]
        del self.by_rank[bisect_left(self.by_rank, rank[backend], key=rank.__getitem__)]

    def endpoints_updated(self, now: int) -> None:
        """Backends or their sizes have changed."""
        self.total_size = sum(map(self._endpoints.size.__getitem__, self.by_rank))
        self.rebuild(now)

    def quotas_updated(self, now: int) -> None:
        """What tenants may ask has changed; they have quotas, and had some before."""
        settings = self._settings
        self.request_rate = self.limit.demand = settings.tenants.total / settings.node_count / 10000
        self.subset_size = max(SUBSET_LEAST, int(self.request_rate * SEEN_EACH))
        self.rebuild(now)

    def look(self, now: int) -> None:
        """Updates the rate, the subset's size and the limit where there are no quotas.

        They follow from what comes and what backends report.
        """
        self.request_rate = self.limit.demand = max(
            RATE_LEAST, self._request_stats.rate(now, "asked")
        )
        self._load_reports.look(now, self.subset, self.by_rank, self.request_rate, self.limit)
        subset_size = max(SUBSET_LEAST, int(self.request_rate * SEEN_EACH))
        if not self.subset_size / 1.5 <= subset_size <= self.subset_size * 1.5:
            self.subset_size = subset_size
        self.rebuild(now)

    def rebuild(self, now: int) -> None:
        """The subset is as much of the ring as are enough healthy backends."""
        before = self.subset
        enough = self.subset_size and self.subset_size * self.total_size
        self.rebuild_at = NEVER
        after, healthy = self._fill(self._begin(now), enough, now)
        # One at least: a node that was cut off sees all fail, and must still send trials to find
        # them well.
        healthy = max(1, healthy)
        ready = len(self.by_rank)
        factor = self._load_reports.capacity_factor(now)
        self.limit.update_backends(now, healthy, factor * healthy * ready / max(1, len(after)))
        self._most_ready = max(self._most_ready, ready)
        if after:
            self._update_warm_rate(now, len(after))
        self.largest_size = max((self._endpoints.size[backend] for backend in after), default=1.0)
        if after == before:
            return
        self.subset, kept = after, set(after)
        following = next(
            (
                backend
                for backend in before[self.position :] + before[: self.position]
                if backend in kept
            ),
            None,
        )
        # It starts at random, or all nodes would begin with the same one.
        self.position = (
            self.pick(max(1, len(after))) if following is None else after.index(following)
        )

    def _begin(self, now: int) -> int:
        """Where on the ring the subset begins.

        Evenly round one ring: by chance some backends were in two thirds more subsets. Each move
        opens connections, so it is by one backend at a time.
        """
        rank, settings, count = self._endpoints.rank, self._settings, len(self.by_rank)
        begin = bisect_left(self.by_rank, self.anchor, key=rank.__getitem__) % max(1, count)
        even = count * settings.node_number // settings.node_count % max(1, count)
        if begin != even and now >= self._move_at:
            nearer = 1 if (even - begin) % count <= count // 2 else -1
            begin = (begin + nearer) % count if self.anchor else even
            self.anchor, self._move_at = rank[self.by_rank[begin]], now + MOVE_INTERVAL
        return begin

    def _fill(self, begin: int, enough: float | None, now: int) -> tuple[list[int], int]:
        """The subset from that place on, and how many of it count toward the capacity."""
        after, healthy, size = [], 0, 0.0
        sizes, until, reason = self._endpoints.size, self._slow_start.until, self._ejections.reason
        for backend in self.by_rank[begin:] + self.by_rank[:begin]:
            if enough is not None and size * len(self.by_rank) >= enough:
                break
            after.append(backend)
            if now < until[backend]:
                size += sizes[backend] * self._settings.slow_start_capacity
                self.rebuild_at = min(
                    self.rebuild_at,
                    until[backend],
                    NEVER if self.has_quotas else now + LOOK_INTERVAL,
                )
                self._wakeup.request(self.rebuild_at)
            elif reason[backend] in COUNTS_TOWARD_CAPACITY:
                size += sizes[backend]
            healthy += reason[backend] in COUNTS_TOWARD_CAPACITY
        return after, healthy

    def _update_warm_rate(self, now: int, in_subset: int) -> None:
        """What a warm backend gets of this node, by which cold ones get their part.

        Without quotas, of what was answered lately: what is asked may be an overload. One attempt
        at a time of all nodes is none; with all backends cold and nothing answered, nothing at all
        would be sent.
        """
        settings, ready = self._settings, len(self.by_rank)
        least = (
            ready
            / settings.node_count
            / max(each.latency_objective for each in settings.request_classes)
        )
        rate = (
            self.request_rate
            if self.has_quotas
            else max(least, self._request_stats.rate(now, "got"))
        )
        self._slow_start.warm_rate = (
            rate * ready**2 / (self._most_ready * in_subset * self.total_size)
        )
