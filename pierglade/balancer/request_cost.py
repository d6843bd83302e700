"""How much work a request is, by its hint or by how slow its tenant's requests are everywhere.

Moments and spans are tenths of a millisecond; costs are times the mean of the request's class.
"""

from pierglade.balancer.endpoint_stats import RequestClassStats, RequestStats
from pierglade.model.request import Request, Tenant
from pierglade.tenants.registry import RunningMedian

# Times the mean; hints are not to be trusted beyond.
COST_LEAST, COST_MOST = 0.25, 4.0
# Share of a new hint in a class's smoothed hint.
HINT_SMOOTHING = 1 / 24
# Times what others take; a tenant's work that takes so long is slow wherever it goes.
SLOW_TENANT = 2.5
# Share of a new latency in a tenant's slowness.
SLOWNESS_SMOOTHING = 1 / 8
# Times the usual latency; one answer counts as no slower.
SLOWNESS_MOST = 20.0
# One in so many requests of a slow tenant goes out though it would come late.
SLOW_TENANT_TRIES = 16
# 5 s; a tenant that was slow is as others again within this, unless it is seen slow.
SLOWNESS_SPAN = 50000
# 5 ms; a host is held up for as long now and then, so what is quicker tells nothing.
LATENCY_GRAIN = 50


class RequestCosts:
    """The relative cost of requests, and how slow the work of tenants is in the median."""

    def __init__(self, request_stats: RequestStats) -> None:
        self._request_stats = request_stats
        self.slowness = RunningMedian(SLOWNESS_SPAN)
        """Times the usual latency that each tenant's requests take."""
        self.median_slowness = 1.0

    def copy_from(self, before: "RequestCosts") -> None:
        """Takes over what `before` knows; nothing that changes later is shared."""
        self.median_slowness = before.median_slowness
        self.slowness.newest = before.slowness.newest.copy()
        self.slowness.figures = before.slowness.figures.copy()

    def assess(self, now: int, request: Request, stats: RequestClassStats) -> None:
        """Sets the relative cost of a request that has just come in."""
        tenant = request.tenant
        if request.cost_hint:
            # Few requests cost what their class does in the mean: unweighed, heavy ones look
            # queued.
            stats.hinted += (request.cost_hint - stats.hinted) * (
                HINT_SMOOTHING if stats.hinted else 1
            )
            request.relative_cost = max(
                COST_LEAST, min(COST_MOST, request.cost_hint / stats.hinted)
            )
        elif (
            tenant is not None
            and (slowness := self._slowness(tenant, now) / self.median_slowness) > SLOW_TENANT
        ):
            # Some go out all the same, or nobody would see that the others are as quick as ever
            # again.
            tenant.slow_requests += 1
            request.relative_cost = (
                slowness if tenant.slow_requests % SLOW_TENANT_TRIES else min(slowness, COST_MOST)
            )

    def latency_seen(self, now: int, request: Request, took: int, whole: bool) -> None:
        """A tenant's work may be slow at every backend: no backend is slow for that.

        `whole`: it took just `took`; else it was given up then, and took so long at least.
        """
        tenant = request.tenant
        if tenant is None or request.cost_hint:
            return
        typical = self._request_stats.classes[request.request_class.index].typical
        ratio = min(SLOWNESS_MOST, max(took, LATENCY_GRAIN) / max(typical, LATENCY_GRAIN))
        slowness = self._slowness(tenant, now)
        if not whole and ratio < slowness:
            return  # It tells nothing where so long a latency is as usual.
        tenant.slowness = slowness + (ratio - slowness) * SLOWNESS_SMOOTHING
        tenant.slowness_seen_at = now
        self.slowness.see(now, tenant.name, tenant.slowness)

    def update_median(self, now: int) -> None:
        """Which slowness is usual among tenants.

        In the mean of all, a large slow tenant hid itself; where all are slow, none is.
        """
        self.median_slowness = max(1.0, self.slowness.figure(now) or 1.0)

    def _slowness(self, tenant: Tenant, now: int) -> float:
        """The tenant's slowness, which fades by itself.

        So what is rejected for it is tried again, one more and one more.
        """
        return 1 + (tenant.slowness - 1) * max(
            0.0, 1 - (now - tenant.slowness_seen_at) / SLOWNESS_SPAN
        )
