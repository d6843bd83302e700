"""Requests queued for a backend, and their order under overload. No I/O, no clock.

Times and durations are in ticks (tenths of a millisecond).
"""

from collections import deque
from heapq import heappop, heappush

from pierglade.balancer.endpoint_stats import RequestClassStats, RequestStats
from pierglade.balancer.wakeup import SWEEP_INTERVAL, Wakeup
from pierglade.model.request import Request, RequestClass, Tenant
from pierglade.settings.balancer import BalancerSettings

# Fraction of the latency objective. A request queued for longer is rejected, and with it the queued
# requests over their tenant's quota.
MAX_QUEUED_RATIO = 0.3
# Fraction of the latency objective. If the oldest request has waited longer, queued requests are
# ordered by their gain.
OVERLOAD_WAIT_RATIO = 0.1
# Fraction of the work of all requests received. A class with at most this much work need not wait
# for capacity.
MAX_LIGHT_WORK_RATIO = 0.1
# Multiple of the quota that a tenant may use. Its traffic is distributed unevenly over the nodes,
# and a small tenant sends few requests within two seconds.
MAX_QUOTA_RATIO = 1.3
# Ticks (2 s). Time span of a tenant's request rate.
TENANT_RATE_SPAN = 20000

Heap = list[tuple[int, int, Request]]

# Ticks (100 ms). A process that has not been idle for longer is short of CPU time, not merely
# delayed once.
MIN_BUSY_SPAN = 1000


def is_cpu_short(now: int, last_idle_at: int, request_class: RequestClass, arrived_at: int) -> bool:
    """Returns whether a request is rejected unread because the process is short of CPU time.

    If all requests were accepted, all would be processed late, and the remaining CPU time would be
    spent on rejections. `last_idle_at` is when the process was last idle.
    """
    waited = now - arrived_at
    return (
        now - last_idle_at > MIN_BUSY_SPAN
        and waited > OVERLOAD_WAIT_RATIO * request_class.latency_objective
    )


class RequestQueue:
    """The queue: one heap per request class, and a separate list of retries."""

    def __init__(
        self, settings: BalancerSettings, request_stats: RequestStats, wakeup: Wakeup
    ) -> None:
        self._settings, self._request_stats, self._wakeup = settings, request_stats, wakeup
        self.heaps: list[Heap] = [[] for _ in settings.request_classes]
        """For each class, tuples of latency objective as a time, sequence number and request."""
        self._by_arrival: deque[Request] = deque()
        """The same requests in order of arrival, including some that have left the queue."""
        self.retries: list[Request] = []
        """Requests that wait for a further attempt."""
        self.overloaded = False
        self.light_heap: Heap | None = None
        """The heap whose requests need not wait for capacity."""

    def __len__(self) -> int:
        return sum(map(len, self.heaps))

    def count_tenant(self, tenant: Tenant | None, now: int) -> None:
        """Counts a request of the tenant."""
        if tenant is not None:
            tenant.rate = _decayed_rate(tenant, now) + 1
            tenant.last_seen = now

    def add(self, request: Request) -> None:
        """Queues a request."""
        heappush(
            self.heaps[request.request_class.index],
            (request.objective_at, self._request_stats.received, request),
        )
        self._by_arrival.append(request)

    def next_heap(self) -> Heap | None:
        """Returns the heap whose first request is next, or None.

        Under overload it is the heap of the class with the highest gain, otherwise the one whose
        latency objective is earliest.
        """
        best_heap = best_rank = None
        for index, heap in enumerate(self.heaps):
            while heap and heap[0][2].completed:
                heappop(heap)
            if heap:
                rank = (
                    -self._gain(self._request_stats.classes[index])
                    if self.overloaded
                    else heap[0][0]
                )
                if best_heap is None or rank < best_rank:
                    best_heap, best_rank = heap, rank
        return best_heap

    def heads(self) -> list[Request]:
        """Returns the retries and the first request of each heap."""
        return self.retries + [heap[0][2] for heap in self.heaps if heap]

    def update_overload(self, now: int) -> list[Request]:
        """Updates `overloaded` by the longest wait.

        Returns the requests to reject because their tenants are over their quota.
        """
        arrivals = self._by_arrival
        while arrivals and (arrivals[0].completed or arrivals[0].attempts):
            arrivals.popleft()
        waited = (
            (now - arrivals[0].queued_since) / arrivals[0].request_class.latency_objective
            if arrivals
            else 0.0
        )
        self.overloaded = waited > OVERLOAD_WAIT_RATIO
        # A node with capacity for two attempts waits a long time for one to end, so the class with
        # the highest gain does not wait if it causes little work.
        classes = self._request_stats.classes
        work = [max(each.asked, 1.0) * each.typical for each in classes]
        most_valuable = max(range(len(work)), key=lambda index: self._gain(classes[index]))
        self.light_heap = (
            self.heaps[most_valuable]
            if work[most_valuable] <= MAX_LIGHT_WORK_RATIO * sum(work)
            else None
        )
        if arrivals:
            self._wakeup.request(now + SWEEP_INTERVAL)
        if waited <= MAX_QUEUED_RATIO:
            return []
        return [
            request
            for request in arrivals
            if not (request.completed or request.attempts)
            and self._is_over_quota(request.tenant, now)
        ]

    def _gain(self, stats: RequestClassStats) -> float:
        """Returns how much one more answer to this class gains, per unit of time it takes."""
        classes, weight = self._request_stats.classes, self._settings.worst_class_weight
        gain = (
            (1 - weight)
            * stats.priority_weight
            / sum(each.priority_weight * max(each.asked, 1.0) for each in classes)
        )
        if stats is min(classes, key=lambda each: each.got / max(each.asked, 1.0)):
            gain += weight / max(stats.asked, 1.0)
        return gain / stats.typical

    def _is_over_quota(self, tenant: Tenant | None, now: int) -> bool:
        if tenant is None or not tenant.quota_per_second:
            return False
        rate = _decayed_rate(tenant, now) / (TENANT_RATE_SPAN / 10000)
        return rate * self._settings.node_count > MAX_QUOTA_RATIO * tenant.quota_per_second


def _decayed_rate(tenant: Tenant, now: int) -> float:
    """Returns the recent requests of a tenant, decayed since the last one."""
    return tenant.rate * max(0.0, 1 - (now - tenant.last_seen) / TENANT_RATE_SPAN)
