"""Latency histograms and counters of a load, mergeable across worker processes."""

import msgspec
from hdrh.histogram import HdrHistogram

# Range (1 us to 10 min) and precision (three significant digits) of the histograms.
MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS = 1, 600_000_000, 3
PERCENTILES = {"p50": 50.0, "p90": 90.0, "p99": 99.0, "p999": 99.9}
KINDS = ("latency", "service", "late")
# Limit on the p99 delay from the planned time to the send. Beyond it, the load that was sent
# differs from the planned load.
MAX_SEND_DELAY_MS = 20.0


class LatencyRecorder:
    """Latency histograms in microseconds, and counters of requests.

    `latency`: from the planned time to the response or failure; `service`: from the send to the
    response or failure; `late`: from the planned time to the send.
    """

    def __init__(self):
        self.histograms = {
            kind: HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS) for kind in KINDS
        }
        self.counts = dict.fromkeys(("planned", "sent", "answered", "failed"), 0)
        self.statuses = {}

    def add(self, kind: str, seconds: float) -> None:
        """Records a duration in the histogram `kind`, one of KINDS."""
        self.histograms[kind].record_value(
            min(MAX_LATENCY_US, max(MIN_LATENCY_US, int(seconds * 1e6)))
        )

    def count_result(self, status: int, reason: str | None) -> None:
        """Counts a finished request by its status, or by the reason for its failure."""
        self.counts["answered" if status else "failed"] += 1
        name = str(status) if status else reason
        self.statuses[name] = self.statuses.get(name, 0) + 1

    def encoded(self) -> bytes:
        """Returns the counters and histograms, encoded for `merge` in another process."""
        return msgspec.json.encode(
            {
                "counts": self.counts,
                "statuses": self.statuses,
                "of": {
                    kind: histogram.encode().decode() for kind, histogram in self.histograms.items()
                },
            }
        )

    def merge(self, encoded: bytes) -> None:
        """Adds the encoded counters and histograms of another recorder."""
        other = msgspec.json.decode(encoded)
        for name, count in other["counts"].items():
            self.counts[name] += count
        for name, count in other["statuses"].items():
            self.statuses[name] = self.statuses.get(name, 0) + count
        for kind, histogram in other["of"].items():
            self.histograms[kind].decode_and_add(histogram)

    def figures(self, kind):
        """Returns p50, p90, p99, p999 and max of a histogram, in ms."""
        histogram = self.histograms[kind]
        if not histogram.total_count:
            return dict.fromkeys((*PERCENTILES, "max"), 0.0)
        values = {
            name: histogram.get_value_at_percentile(percentile)
            for name, percentile in PERCENTILES.items()
        }
        return {
            name: round(value / 1000, 3)
            for name, value in {**values, "max": histogram.get_max_value()}.items()
        }

    def summary(self, extra_fields=()):
        """Returns plain data, in the form that `pierglade load --json` writes."""
        send_delay = self.figures("late")
        is_behind = (
            send_delay["p99"] > MAX_SEND_DELAY_MS or self.counts["sent"] < self.counts["planned"]
        )
        return {
            **self.counts,
            "behind": is_behind,
            "latency_ms": self.figures("latency"),
            "service_ms": self.figures("service"),
            "late_ms": send_delay,
            "statuses": self.statuses,
            **dict(extra_fields),
        }
