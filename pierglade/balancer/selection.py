"""Which backend a request goes to, and why others are skipped. No I/O, no clock."""

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

# Of a request's worth for each crossing; less is no reason to crowd the own zone.
CROSS_ZONE_PENALTY_FROM = 0.05
# Times the mean in flight; far more than chance piles up on one backend.
OVER_MEAN = 1.0
# Attempts; below this much over the mean no backend has too many.
OVER_MEAN_FLOOR = 0.5
# Power of the level in turns; nothing else evens out what few connections bring by chance.
LEVEL_POWER = 4


class SkipReason(Enum):
    """Why a backend is skipped when its turn comes."""

    RETRY_NOT_ALLOWED = auto()
    """Rule 2: the request may not go there after what its attempts have proved."""
    ALREADY_TRIED = auto()
    """The request was there."""
    SLOW_START = auto()
    """It is cold and has had its part."""
    EJECTED = auto()
    """It fails or does not respond."""
    SLOW = auto()
    """It is ejected as slow."""
    OVER_MEAN_IN_FLIGHT = auto()
    """It has far more in flight than the mean."""
    PAUSE_FORECAST = auto()
    """Its next pause is due."""
    LOW_WEIGHT = auto()
    """It is small or slow, and has had its part of the turns."""


# Skips that give way when all backends are skipped.
FALLBACKS = (
    SkipReason.PAUSE_FORECAST,
    SkipReason.SLOW,
    SkipReason.OVER_MEAN_IN_FLIGHT,
    SkipReason.LOW_WEIGHT,
)


class Selection:
    """The next backend in turn that nothing speaks against."""

    def __init__(
        self,
        settings: BalancerSettings,
        learns: bool,
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
        self._home = (
            settings.zone if settings.cross_zone_penalty >= CROSS_ZONE_PENALTY_FROM else None
        )
        self._level_power = LEVEL_POWER if learns else 1
        self._endpoints, self._request_stats = endpoints, request_stats
        self._pause_forecast, self._slow_start = pause_forecast, slow_start
        self._ejections, self._outliers = ejections, outliers
        self._rotation, self._retry_rules = rotation, retry_rules
        self.turn_share: list[float] = []
        """Of each backend the part of a turn that it has saved up."""

    def add(self, backend: int, share: float) -> None:
        """A new backend has saved up `share`."""
        self.turn_share[backend : backend + 1] = [share]

    def copy_from(self, before: "Selection") -> None:
        """Takes over the parts of turns saved up."""
        self.turn_share = before.turn_share.copy()

    def choose(self, request: Request, now: int) -> int | None:
        """The next in turn that nothing speaks against.

        If all are skipped, the first that may take it; None if none may.
        """
        rotation, sizes, share = self._rotation, self._endpoints.size, self.turn_share
        subset, position, fallback = rotation.subset, rotation.position, None
        count = len(subset)
        # Where a way to another zone is dear, one lap over the own zone's first.
        for step in range(0 if self._home is None else -count, count):
            place = (position + step) % count
            backend = subset[place]
            if step < 0 and self._endpoints.zone[backend] != self._home:
                continue
            skip = self.skip_reason(request, backend, now)
            if skip is None:
                # Even turns would overdrive the small machines at a load that the fleet can bear.
                level = self._outliers.latency_level[backend]
                share[backend] += min(
                    1.0, sizes[backend] / (rotation.largest_size * level**self._level_power)
                )
                if share[backend] >= 1:
                    share[backend] -= 1
                    rotation.position = place + 1 if place + 1 < count else 0
                    return backend
                skip = SkipReason.LOW_WEIGHT
            if fallback is None and skip in FALLBACKS:
                fallback = place
        if fallback is None:
            return None
        rotation.position = fallback + 1 if fallback + 1 < count else 0
        return subset[fallback]

    def skip_reason(self, request: Request, backend: int, now: int) -> SkipReason | None:
        """Why the backend is skipped, or None."""
        if request.attempts:
            if not self._retry_rules.may_send(request, backend, now):
                return SkipReason.RETRY_NOT_ALLOWED
            if any(attempt.backend == backend for attempt in request.attempts):
                return SkipReason.ALREADY_TRIED
        rotation, ejections = self._rotation, self._ejections
        if now < self._slow_start.until[backend] and not self._slow_start.allows(
            backend, now, self._endpoints.size[backend], len(rotation.by_rank), len(rotation.subset)
        ):
            return SkipReason.SLOW_START
        reason = ejections.reason[backend]
        if reason is not None and not self.is_trial(request, backend):
            if reason is not EjectionReason.SLOW:
                return SkipReason.EJECTED
            # Shared slowness: when most backends are slow at once, skipping them all helps nobody.
            if ejections.slow_count * 2 <= len(rotation.subset):
                return SkipReason.SLOW
        level = self._outliers.latency_level[backend]
        most = 1 + OVER_MEAN_FLOOR + OVER_MEAN * self.limit.in_flight / self.limit.healthy_backends
        if (attempts := ejections.in_flight.get(backend)) and (len(attempts) + 1) * level > most:
            return SkipReason.OVER_MEAN_IN_FLIGHT
        forecast = self._pause_forecast.next_pause_at[backend]
        if forecast is not None:
            usual = self._request_stats.classes[request.request_class.index].typical
            if forecast - usual * level <= now:
                if now <= forecast + self._pause_forecast.mean_pause[backend]:
                    return SkipReason.PAUSE_FORECAST
                # No pause came: set aside until one does, the forecast cannot starve the backend.
                self._pause_forecast.set_aside(backend)
        return None

    def is_trial(self, request: Request, backend: int) -> bool:
        """Whether the request would be the trial request that is due at that backend."""
        return (
            self._ejections.trial_due[backend]
            and not self._ejections.trials_in_flight[backend]
            and request.request_class.idempotency == self._request_stats.least_harmful_kind()
        )
