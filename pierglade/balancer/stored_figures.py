"""The figures of a backend that snapshots store.

For each stored name, where a balancer keeps it.
"""

from pierglade.balancer import load_reports, outlier_detection, pause_forecast

# Stored name: the balancer's part, its array, and what a new backend begins with.
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
