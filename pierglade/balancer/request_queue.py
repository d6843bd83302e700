"""Requests that wait for a backend, and which of them goes first under overload. No I/O, no clock.

Moments and spans are tenths of a millisecond.
"""

from collections import deque
from heapq import heappop, heappush

from pierglade.balancer.endpoint_stats import RequestClassStats, RequestStats
from pierglade.balancer.wakeup import SWEEP_INTERVAL, Wakeup
from pierglade.model.request import Request, RequestClass, Tenant
from pierglade.settings.balancer import BalancerSettings

# Share of the latency objective; queued longer, a request is rejected, as is what is over its
# quota.
QUEUED_MOST = 0.3
# Share of the latency objective; with an oldest wait beyond it, what is queued is ranked by its
# gain.
OVERLOADED_FROM = 0.1
# Share of the work asked for; so little of it need not wait for capacity.
LIGHT_SHARE = 0.1
# Times its quota; nodes see tenants unevenly, and two seconds of a small one are few requests.
OVER_QUOTA = 1.3
# 2 s; span over which a tenant's rate is seen.
TENANT_RATE_SPAN = 20000

Heap = list[tuple[int, int, Request]]

# 100 ms; a host that had no rest for so long is short of its core, not held up once.
LAG_LEAST = 1000


def is_host_late(now: int, idle: int, request_class: RequestClass, came: int) -> bool:
    """Whether the host is so short of its core that what came at `came` is rejected unseen.

    Taken all the same, all would come late to their turn, and what is left of the core go into
    rejections. `idle`: when the host was last idle.
    """
    waited = now - came
    return now - idle > LAG_LEAST and waited > OVERLOADED_FROM * request_class.latency_objective


class RequestQueue:
    """What is queued: a heap for each class of requests, and retries apart."""

    def __init__(
        self, settings: BalancerSettings, request_stats: RequestStats, wakeup: Wakeup
    ) -> None:
        self._settings, self._request_stats, self._wakeup = settings, request_stats, wakeup
        self.heaps: list[Heap] = [[] for _ in settings.request_classes]
        """Of each class (moment of the latency objective, number, request)."""
        self._by_arrival: deque[Request] = deque()
        """The same in order of arrival, some already gone."""
        self.retries: list[Request] = []
        """Requests that wait for a further attempt."""
        self.overloaded = False
        self.light_heap: Heap | None = None
        """The one that need not wait for capacity."""

    def __len__(self) -> int:
        return sum(map(len, self.heaps))

    def count_tenant(self, tenant: Tenant | None, now: int) -> None:
        """A request of that tenant has come in."""
        if tenant is not None:
            tenant.rate = _rate_left(tenant, now) + 1
            tenant.last_seen = now

    def add(self, request: Request) -> None:
        """Queues a request."""
        heappush(
            self.heaps[request.request_class.index],
            (request.objective_at, self._request_stats.received, request),
        )
        self._by_arrival.append(request)

    def next_heap(self) -> Heap | None:
        """The heap whose first request goes next, or None.

        In overload that of the class that gains most; else whose latency objective comes first.
        """
        best = least = None
        for place, heap in enumerate(self.heaps):
            while heap and heap[0][2].completed:
                heappop(heap)
            if heap:
                rank = (
                    -self._gain(self._request_stats.classes[place])
                    if self.overloaded
                    else heap[0][0]
                )
                if best is None or rank < least:
                    best, least = heap, rank
        return best

    def first_of_each(self) -> list[Request]:
        """The retries, and the first request of each heap."""
        return self.retries + [heap[0][2] for heap in self.heaps if heap]

    def update_overload(self, now: int) -> list[Request]:
        """Updates `overloaded` by the oldest wait.

        Returns the requests to reject, which tenants sent beyond their quota.
        """
        line = self._by_arrival
        while line and (line[0].completed or line[0].attempts):
            line.popleft()
        waited = (
            (now - line[0].queued_since) / line[0].request_class.latency_objective if line else 0.0
        )
        self.overloaded = waited > OVERLOADED_FROM
        # A node with capacity for two attempts waits long for one to end: what gains most and is
        # little goes ahead.
        classes = self._request_stats.classes
        work = [max(each.asked, 1.0) * each.typical for each in classes]
        most = max(range(len(work)), key=lambda place: self._gain(classes[place]))
        self.light_heap = self.heaps[most] if work[most] <= LIGHT_SHARE * sum(work) else None
        if line:
            self._wakeup.request(now + SWEEP_INTERVAL)
        if waited <= QUEUED_MOST:
            return []
        return [
            request
            for request in line
            if not (request.completed or request.attempts)
            and self._is_over_quota(request.tenant, now)
        ]

    def _gain(self, stats: RequestClassStats) -> float:
        """What one more request of a class answered adds to the service, for each unit of time."""
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
        rate = _rate_left(tenant, now) / (TENANT_RATE_SPAN / 10000)
        return rate * self._settings.node_count > OVER_QUOTA * tenant.quota_per_second


def _rate_left(tenant: Tenant, now: int) -> float:
    """A tenant's requests of late, fading since its last one."""
    return tenant.rate * max(0.0, 1 - (now - tenant.last_seen) / TENANT_RATE_SPAN)
