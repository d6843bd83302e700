"""Selects the backend of an attempt and gives the reasons for skipping others. No I/O, no clock."""

from enum import Enum, auto

from pierglade.balancer.ejections import Ejections
from pierglade.balancer.endpoint_stats import EndpointStats, RequestStats
from pierglade.balancer.outlier_detection import OutlierDetection
from pierglade.balancer.pause_forecast import PauseForecast
from pierglade.balancer.retry import RetryRules
from pierglade.balancer.rotation import Rotation
from pierglade.balancer.slow_start import SlowStart
from pierglade.concurrency.limiter import ConcurrencyLimiter
from pierglade.model.endpoint import EjectionReason
from pierglade.model.request import Request
from pierglade.settings.balancer import BalancerSettings

# Fraction of a request's value that is lost by sending it to another zone. Below this, preferring
# the node's own zone is not worth the load that it concentrates there.
MIN_CROSS_ZONE_PENALTY = 0.05
# Multiple of the mean number of attempts in flight that one backend may have; random variation
# rarely puts more on one.
OVER_MEAN_RATIO = 1.0
# Attempts that one backend may have beyond that multiple, at any load.
OVER_MEAN_MARGIN = 0.5
# Exponent of the latency level in the rotation weights if the limit is learned. Nothing else then
# balances the random load of backends with few connections.
LATENCY_LEVEL_EXPONENT = 4


class SkipReason(Enum):
    """Reason for skipping a backend at its position in the rotation."""

    RETRY_NOT_ALLOWED = auto()
    """Rule 2: the earlier attempts of the request rule this backend out."""
    ALREADY_TRIED = auto()
    """An earlier attempt of the request was sent to this backend."""
    SLOW_START = auto()
    """The backend is in slow start and has used up its allowance."""
    EJECTED = auto()
    """The backend is ejected as failing or unresponsive."""
    SLOW = auto()
    """The backend is ejected as slow."""
    OVER_MEAN_IN_FLIGHT = auto()
    """The backend has far more attempts in flight than the mean."""
    PAUSE_FORECAST = auto()
    """The next forecast pause of the backend is due."""
    LOW_WEIGHT = auto()
    """The backend is small or slow and has used up its weight in the rotation."""


# Reasons that are ignored when all backends are skipped.
FALLBACKS = (
    SkipReason.PAUSE_FORECAST,
    SkipReason.SLOW,
    SkipReason.OVER_MEAN_IN_FLIGHT,
    SkipReason.LOW_WEIGHT,
)


class Selection:
    """Selects the next backend in the rotation that has no reason to be skipped."""

    def __init__(
        self,
        settings: BalancerSettings,
        learns_limit: bool,
        limit: ConcurrencyLimiter,
        endpoints: EndpointStats,
        request_stats: RequestStats,
        pause_forecast: PauseForecast,
        slow_start: SlowStart,
        ejections: Ejections,
        outliers: OutlierDetection,
        rotation: Rotation,
        retry_rules: RetryRules,
    ) -> None:
        self.limit = limit
        self._preferred_zone = (
            settings.zone if settings.cross_zone_penalty >= MIN_CROSS_ZONE_PENALTY else None
        )
        self._latency_level_exponent = LATENCY_LEVEL_EXPONENT if learns_limit else 1
        self._endpoints, self._request_stats = endpoints, request_stats
        self._pause_forecast, self._slow_start = pause_forecast, slow_start
        self._ejections, self._outliers = ejections, outliers
        self._rotation, self._retry_rules = rotation, retry_rules
        self.accumulated_weight: list[float] = []
        """Weight that each backend has accumulated toward its next selection, 0 to 1."""

    def add(self, backend: int, fraction: float) -> None:
        """Adds a new backend that has accumulated the weight `fraction`."""
        self.accumulated_weight[backend : backend + 1] = [fraction]

    def copy_from(self, previous: "Selection") -> None:
        """Copies the accumulated weights of `previous`."""
        self.accumulated_weight = previous.accumulated_weight.copy()

    def choose(self, request: Request, now: int) -> int | None:
        """Returns the next backend in the rotation that has no reason to be skipped.

        If all are skipped, returns the first one skipped for a reason in `FALLBACKS`, else None.
        """
        rotation, sizes, accumulated = self._rotation, self._endpoints.size, self.accumulated_weight
        subset, position, fallback = rotation.subset, rotation.position, None
        count = len(subset)
        # If crossing zones is expensive, a first pass covers only the backends of this node's zone.
        for step in range(0 if self._preferred_zone is None else -count, count):
            place = (position + step) % count
            backend = subset[place]
            if step < 0 and self._endpoints.zone[backend] != self._preferred_zone:
                continue
            skip = self.skip_reason(request, backend, now)
            if skip is None:
                # The weight depends on size and latency. With equal weights, small machines would
                # be overloaded at a load that the whole fleet can handle.
                level = self._outliers.latency_level[backend]
                accumulated[backend] += min(
                    1.0,
                    sizes[backend] / (rotation.largest_size * level**self._latency_level_exponent),
                )
                if accumulated[backend] >= 1:
                    accumulated[backend] -= 1
                    rotation.position = place + 1 if place + 1 < count else 0
                    return backend
                skip = SkipReason.LOW_WEIGHT
            if fallback is None and skip in FALLBACKS:
                fallback = place
        if fallback is None:
            return None
        rotation.position = fallback + 1 if fallback + 1 < count else 0
        return subset[fallback]

    def allows_slow_start(self, backend: int, now: int) -> bool:
        """Returns whether a backend is warm, or may get one more attempt in its slow start."""
        rotation = self._rotation
        return now >= self._slow_start.until[backend] or self._slow_start.allows(
            backend, now, self._endpoints.size[backend], len(rotation.by_rank), len(rotation.subset)
        )

    def skip_reason(self, request: Request, backend: int, now: int) -> SkipReason | None:
        """Returns the reason for skipping the backend, or None."""
        if request.attempts:
            if not self._retry_rules.may_send(request, backend, now):
                return SkipReason.RETRY_NOT_ALLOWED
            if any(attempt.backend == backend for attempt in request.attempts):
                return SkipReason.ALREADY_TRIED
        rotation, ejections = self._rotation, self._ejections
        if not self.allows_slow_start(backend, now):
            return SkipReason.SLOW_START
        reason = ejections.reason[backend]
        if reason is not None and not self.is_trial(request, backend):
            if reason is not EjectionReason.SLOW:
                return SkipReason.EJECTED
            # If most backends are slow at the same time, skipping all of them does not help.
            if ejections.slow_count * 2 <= len(rotation.subset):
                return SkipReason.SLOW
        level = self._outliers.latency_level[backend]
        max_in_flight = (
            1
            + OVER_MEAN_MARGIN
            + OVER_MEAN_RATIO * self.limit.in_flight / self.limit.healthy_backends
        )
        if (attempts := ejections.in_flight.get(backend)) and (
            len(attempts) + 1
        ) * level > max_in_flight:
            return SkipReason.OVER_MEAN_IN_FLIGHT
        forecast = self._pause_forecast.next_pause_at[backend]
        if forecast is not None:
            typical_latency = self._request_stats.classes[request.request_class.index].typical
            if forecast - typical_latency * level <= now:
                if now <= forecast + self._pause_forecast.mean_pause[backend]:
                    return SkipReason.PAUSE_FORECAST
                # The forecast pause did not occur. The forecast is discarded until the next pause,
                # as the backend would otherwise receive no requests.
                self._pause_forecast.discard_forecast(backend)
        return None

    def is_trial(self, request: Request, backend: int) -> bool:
        """Returns whether the request would be the trial request that is due at the backend."""
        return (
            self._ejections.trial_due[backend]
            and not self._ejections.trials_in_flight[backend]
            and request.request_class.idempotency == self._request_stats.safest_idempotency()
        )
