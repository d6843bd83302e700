"""Estimates the work of a request by its hint or by the slowness of its tenant's requests.

Times and durations are in ticks (tenths of a millisecond); costs are multiples of the mean of the
request's class.
"""

from pierglade.balancer.endpoint_stats import RequestClassStats, RequestStats
from pierglade.model.request import Request, Tenant
from pierglade.tenants.registry import RunningMedian

# Multiples of the mean; cost hints are not trusted beyond these bounds.
MIN_COST, MAX_COST = 0.25, 4.0
# Weight of a new hint in the smoothed hint of a class.
HINT_SMOOTHING = 1 / 24
# Multiple of the latency of other tenants. The requests of a tenant above it are slow at every
# backend.
SLOW_TENANT_RATIO = 2.5
# Weight of a new latency in a tenant's slowness.
SLOWNESS_SMOOTHING = 1 / 8
# Multiple of the typical latency at which a single answer is capped.
MAX_SLOWNESS = 20.0
# Number of requests of a slow tenant of which one is sent although its answer would be late.
REQUESTS_PER_SLOW_TENANT_TRIAL = 16
# Ticks (5 s). A slow tenant counts as normal again after this time without further slow requests.
SLOWNESS_DECAY_SPAN = 50000
# Ticks (5 ms). The process itself is occasionally delayed this long, so lower latencies are treated
# as equal.
MIN_LATENCY = 50


class RequestCosts:
    """The relative cost of requests, and the median slowness of tenants."""

    def __init__(self, request_stats: RequestStats) -> None:
        self._request_stats = request_stats
        self.slowness = RunningMedian(SLOWNESS_DECAY_SPAN)
        """Each tenant's latency as a multiple of the typical latency."""
        self.median_slowness = 1.0

    def copy_from(self, previous: "RequestCosts") -> None:
        """Copies the state of `previous`; shares no mutable data with it."""
        self.median_slowness = previous.median_slowness
        self.slowness.newest_values = previous.slowness.newest_values.copy()
        self.slowness.sorted_values = previous.slowness.sorted_values.copy()

    def assess(self, now: int, request: Request, stats: RequestClassStats) -> None:
        """Sets the relative cost of a request that has just arrived."""
        tenant = request.tenant
        if request.cost_hint:
            # Most requests cost more or less than the mean of their class. Without relative costs,
            # heavy requests would look as if they had waited in a queue.
            stats.hinted += (request.cost_hint - stats.hinted) * (
                HINT_SMOOTHING if stats.hinted else 1
            )
            request.relative_cost = max(MIN_COST, min(MAX_COST, request.cost_hint / stats.hinted))
        elif (
            tenant is not None
            and (slowness := self._slowness(tenant, now) / self.median_slowness) > SLOW_TENANT_RATIO
        ):
            # Some requests of a slow tenant are sent with a capped cost; otherwise its recovery
            # would never be observed.
            tenant.slow_requests += 1
            request.relative_cost = (
                slowness
                if tenant.slow_requests % REQUESTS_PER_SLOW_TENANT_TRIAL
                else min(slowness, MAX_COST)
            )

    def record_latency(self, now: int, request: Request, latency: int, is_complete: bool) -> None:
        """Updates the slowness of a tenant whose work may be slow at every backend.

        Such work does not make backends count as slow. If `is_complete`, the attempt took exactly
        `latency`; otherwise it was abandoned after `latency` and would have taken at least as long.
        """
        tenant = request.tenant
        if tenant is None or request.cost_hint:
            return
        typical = self._request_stats.classes[request.request_class.index].typical
        ratio = min(MAX_SLOWNESS, max(latency, MIN_LATENCY) / max(typical, MIN_LATENCY))
        slowness = self._slowness(tenant, now)
        if not is_complete and ratio < slowness:
            return  # Such a latency is normal for this tenant and gives no information.
        tenant.slowness = slowness + (ratio - slowness) * SLOWNESS_SMOOTHING
        tenant.slowness_seen_at = now
        self.slowness.add(now, tenant.name, tenant.slowness)

    def update_median(self, now: int) -> None:
        """Updates the slowness that is normal among tenants.

        A mean would hide a large slow tenant; if all tenants are slow, none counts as slow.
        """
        self.median_slowness = max(1.0, self.slowness.median(now) or 1.0)

    def _slowness(self, tenant: Tenant, now: int) -> float:
        """Returns the tenant's slowness, which decays over time.

        Because of the decay, requests of a tenant that was too slow are gradually sent again.
        """
        return 1 + (tenant.slowness - 1) * max(
            0.0, 1 - (now - tenant.slowness_seen_at) / SLOWNESS_DECAY_SPAN
        )
