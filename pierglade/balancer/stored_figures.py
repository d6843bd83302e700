"""Figures of backends that snapshots store.

Maps each stored name to its place in the balancer.
"""

from collections.abc import Iterable
from typing import TYPE_CHECKING

from pierglade.balancer import load_reports, outlier_detection, pause_forecast
from pierglade.model.endpoint import EndpointState

if TYPE_CHECKING:
    from pierglade.balancer.balancer import Balancer

# Stored name: component of the balancer, its array, and the value for a new backend.
STORED_FIGURES = {
    "level": ("outliers", "latency_level", outlier_detection.INITIAL["latency_level"]),
    "quick": ("outliers", "recent_level", outlier_detection.INITIAL["recent_level"]),
    "mean_pause": ("pause_forecast", "mean_pause", pause_forecast.INITIAL["mean_pause"]),
    "work": ("pause_forecast", "answered", pause_forecast.INITIAL["answered"]),
    "pauses": ("pause_forecast", "pauses", pause_forecast.INITIAL["pauses"]),
    "work_due": (
        "pause_forecast",
        "next_pause_answered",
        pause_forecast.INITIAL["next_pause_answered"],
    ),
    "window": ("pause_forecast", "window", pause_forecast.INITIAL["window"]),
    "usual": (
        "load_reports",
        "baseline_throughput",
        load_reports.INITIAL["baseline_throughput"],
    ),
    "usual_of": ("load_reports", "baseline_reports", load_reports.INITIAL["baseline_reports"]),
}


def export_statistics(
    balancer: "Balancer", keys: Iterable[str]
) -> tuple[list[dict], dict[str, dict]]:
    """Exports the figures of each class and the figures `keys` of each ready backend.

    They would be lost in a restart. `keys` are stored names.
    """
    endpoints, arrays = balancer.endpoints, {key: _array(balancer, key) for key in keys}
    return [vars(each) for each in balancer.request_stats.classes], {
        name: {key: array[backend] for key, array in arrays.items()}
        for name, backend in endpoints.index.items()
        if endpoints.state[backend] == EndpointState.READY
    }


def restore_statistics(balancer: "Balancer", rows: list[dict], backends: dict[str, dict]) -> None:
    """Restores the exported statistics that are still valid (`pierglade/snapshot/`).

    The backends must be known.
    """
    for stats, stored in zip(balancer.request_stats.classes, rows, strict=False):
        vars(stats).update(stored)
    for name, stored in backends.items():
        for key, value in stored.items():
            _array(balancer, key)[balancer.endpoints.index[name]] = value


def _array(balancer: "Balancer", stored_name: str) -> list:
    part, array, _ = STORED_FIGURES[stored_name]
    return getattr(getattr(balancer, part), array)
