"""Applies the endpoint list to the components that store figures of backends."""

from collections.abc import Callable, Iterable

from pierglade.balancer.ejections import Ejections
from pierglade.balancer.endpoint_stats import EndpointStats
from pierglade.balancer.load_reports import LoadReports
from pierglade.balancer.outlier_detection import OutlierDetection
from pierglade.balancer.pause_forecast import PauseForecast
from pierglade.balancer.rotation import Rotation
from pierglade.balancer.selection import Selection
from pierglade.balancer.slow_start import SlowStart
from pierglade.model.endpoint import Endpoint, EndpointState

# Number of different random fractions, from 0 to 0.999.
FRACTION_STEPS = 1000


class EndpointList:
    """Registers listed backends with all components; `pick` is the balancer's random generator."""

    def __init__(
        self,
        pick: Callable[[int], int],
        endpoints: EndpointStats,
        ejections: Ejections,
        outliers: OutlierDetection,
        pause_forecast: PauseForecast,
        slow_start: SlowStart,
        load_reports: LoadReports,
        selection: Selection,
        rotation: Rotation,
    ) -> None:
        self._pick, self._endpoints, self._ejections = pick, endpoints, ejections
        self._outliers, self._pause_forecast = outliers, pause_forecast
        self._slow_start, self._load_reports = slow_start, load_reports
        self._selection, self._rotation = selection, rotation

    def apply(self, now: int, entries: Iterable[Endpoint], is_full_list: bool) -> None:
        """Applies the list: all backends if `is_full_list`, else the changed ones."""
        if is_full_list:
            self._remove_missing(now, entries)
        for entry in entries:
            backend = self._endpoints.index.get(entry.name)
            if backend is None:
                if entry.state != EndpointState.READY:
                    continue
                backend = self._add(entry.name, now)
            self._update(backend, entry, now)
        self._rotation.endpoints_updated(now)

    def _remove_missing(self, now, entries):
        listed = {entry.name for entry in entries}
        for name, backend in self._endpoints.index.items():
            if name not in listed:
                self._outliers.take_out_of_rotation(backend, EndpointState.REMOVED, now)

    def _update(self, backend, entry, now):
        endpoints, slow_start = self._endpoints, self._slow_start
        endpoints.zone[backend], endpoints.cell[backend] = entry.zone, entry.cell
        # The largest weight received is used as the size. Current weights arrive late, and all
        # nodes would oscillate together if they followed them.
        endpoints.size[backend] = max(endpoints.size[backend], entry.weight)
        if entry.state != EndpointState.READY:
            self._outliers.take_out_of_rotation(backend, entry.state, now)
            return
        if entry.started_at > slow_start.started_at[backend]:
            allowance = self._draw_fraction()
            slow_start.process_started(backend, now, entry.started_at, allowance)
            self._outliers.process_started(backend, now)
        endpoints.unready_since[backend] = 0
        if endpoints.state[backend] != EndpointState.READY:
            endpoints.became_ready(backend)
            self._rotation.add(backend)

    def _add(self, name, now):
        backend = self._endpoints.add(name, now, self._ejections.in_flight)
        self._ejections.add(backend)
        self._outliers.add(backend)
        self._pause_forecast.add(backend)
        self._slow_start.add(backend, now)
        self._load_reports.add(backend)
        self._selection.add(backend, self._draw_fraction())
        return backend

    def _draw_fraction(self):
        return self._pick(FRACTION_STEPS) / FRACTION_STEPS
