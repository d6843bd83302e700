"""What a balancer knows of a backend, for operators."""

from typing import NamedTuple

from pierglade.balancer.ejections import Ejections
from pierglade.balancer.endpoint_stats import EndpointStats
from pierglade.balancer.outlier_detection import OutlierDetection
from pierglade.balancer.pause_forecast import PauseForecast
from pierglade.balancer.rotation import Rotation
from pierglade.balancer.slow_start import SlowStart
from pierglade.model.endpoint import EjectionReason

# 10 ms; about an attempt, by which a backend is skipped before its forecast pause.
SKIPPED_BEFORE_PAUSE = 100


class EndpointStatus(NamedTuple):
    """What a balancer knows of a backend, for operators."""

    zone: str | None
    is_in_subset: bool
    in_flight: int
    ejection_reason: EjectionReason | None
    is_pausing: bool
    next_pause_at: int | None
    latency_level: float
    """Times the usual latency."""
    is_in_slow_start: bool
    answered: int
    """Successful answers counted for the forecast."""


class EndpointObserver:
    """Joins what the balancer's parts know of a backend; changes nothing."""

    def __init__(
        self,
        endpoints: EndpointStats,
        rotation: Rotation,
        ejections: Ejections,
        outliers: OutlierDetection,
        pause_forecast: PauseForecast,
        slow_start: SlowStart,
    ) -> None:
        self._endpoints, self._rotation, self._ejections = endpoints, rotation, ejections
        self._outliers, self._pause_forecast = outliers, pause_forecast
        self._slow_start = slow_start

    def status(self, name: str, now: int) -> EndpointStatus | None:
        """What is known of the backend of that name; None if nothing is."""
        backend = self._endpoints.index.get(name)
        if backend is None:
            return None
        forecast = self._pause_forecast.next_pause_at[backend]
        level = self._outliers.latency_level[backend]
        is_pausing = forecast is not None and (
            forecast - SKIPPED_BEFORE_PAUSE * level
            <= now
            <= forecast + self._pause_forecast.mean_pause[backend]
        )
        return EndpointStatus(
            zone=self._endpoints.zone[backend],
            is_in_subset=backend in self._rotation.subset,
            in_flight=len(self._ejections.in_flight.get(backend, ())),
            ejection_reason=self._ejections.reason[backend],
            is_pausing=is_pausing,
            next_pause_at=forecast,
            latency_level=level,
            is_in_slow_start=now < self._slow_start.until[backend],
            answered=self._pause_forecast.answered[backend],
        )
