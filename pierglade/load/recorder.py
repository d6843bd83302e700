"""Latency histograms and counts of a load, which add up over worker processes."""

import msgspec
from hdrh.histogram import HdrHistogram

LOWEST, HIGHEST, DIGITS = 1, 600_000_000, 3  # microseconds: 1 us to 10 min, to three digits
SHARES = {"p50": 50.0, "p90": 90.0, "p99": 99.0, "p999": 99.9}
KINDS = ("latency", "service", "late")
BEHIND_MS = (
    20.0  # p99 of how late sends were; from there on the load was not the one that was planned
)


class LatencyRecorder:
    """Histograms in microseconds, and counts.

    `latency`: from the planned moment to the answer or failure; `service`: from the send; `late`:
    from the planned moment to the send.
    """

    def __init__(self):
        self.histograms = {kind: HdrHistogram(LOWEST, HIGHEST, DIGITS) for kind in KINDS}
        self.counts = dict.fromkeys(("planned", "sent", "answered", "failed"), 0)
        self.statuses = {}

    def add(self, kind: str, seconds: float) -> None:
        """Records a span of one of KINDS."""
        self.histograms[kind].record_value(min(HIGHEST, max(LOWEST, int(seconds * 1e6))))

    def ended(self, status: int, reason: str | None) -> None:
        """Counts the end of a request: its status, or why it has none."""
        self.counts["answered" if status else "failed"] += 1
        name = str(status) if status else reason
        self.statuses[name] = self.statuses.get(name, 0) + 1

    def encoded(self) -> bytes:
        """What another process merges."""
        return msgspec.json.encode(
            {
                "counts": self.counts,
                "statuses": self.statuses,
                "of": {kind: each.encode().decode() for kind, each in self.histograms.items()},
            }
        )

    def merge(self, encoded: bytes) -> None:
        """Adds what another recorder saw."""
        other = msgspec.json.decode(encoded)
        for name, count in other["counts"].items():
            self.counts[name] += count
        for name, count in other["statuses"].items():
            self.statuses[name] = self.statuses.get(name, 0) + count
        for kind, histogram in other["of"].items():
            self.histograms[kind].decode_and_add(histogram)

    def figures(self, kind):
        """In ms: p50, p90, p99, p999 and max."""
        histogram = self.histograms[kind]
        if not histogram.total_count:
            return dict.fromkeys((*SHARES, "max"), 0.0)
        values = {name: histogram.get_value_at_percentile(share) for name, share in SHARES.items()}
        return {
            name: round(value / 1000, 3)
            for name, value in {**values, "max": histogram.get_max_value()}.items()
        }

    def summary(self, more=()):
        """Plain data, in the form that `pierglade load --json` writes."""
        late = self.figures("late")
        behind = late["p99"] > BEHIND_MS or self.counts["sent"] < self.counts["planned"]
        return {
            **self.counts,
            "behind": behind,
            "latency_ms": self.figures("latency"),
            "service_ms": self.figures("service"),
            "late_ms": late,
            "statuses": self.statuses,
            **dict(more),
        }
