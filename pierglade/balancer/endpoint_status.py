"""Status of a backend as the balancer sees it, for operators."""

from typing import NamedTuple

from pierglade.balancer.ejections import Ejections
from pierglade.balancer.endpoint_stats import EndpointStats
from pierglade.balancer.outlier_detection import OutlierDetection
from pierglade.balancer.pause_forecast import PauseForecast
from pierglade.balancer.rotation import Rotation
from pierglade.balancer.slow_start import SlowStart
from pierglade.model.endpoint import EjectionReason

# Ticks (10 ms). A backend counts as pausing this long before its forecast pause; about the latency
# of an attempt.
PAUSE_LEAD_TIME = 100


class EndpointStatus(NamedTuple):
    """Status of a backend as the balancer sees it."""

    zone: str | None
    is_in_subset: bool
    in_flight: int
    ejection_reason: EjectionReason | None
    is_pausing: bool
    next_pause_at: int | None
    latency_level: float
    """Multiple of the typical latency."""
    is_in_slow_start: bool
    answered: int
    """Successful answers counted for the pause forecast."""


class EndpointObserver:
    """Collects the status of a backend from the balancer's components; changes nothing."""

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
        """Returns the status of the backend with that name, or None if it is unknown."""
        backend = self._endpoints.index.get(name)
        if backend is None:
            return None
        forecast = self._pause_forecast.next_pause_at[backend]
        level = self._outliers.latency_level[backend]
        is_pausing = forecast is not None and (
            forecast - PAUSE_LEAD_TIME * level
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
