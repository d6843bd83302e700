"""What a load saw: three histograms and counts, which add up over workers."""

import msgspec
from hdrh.histogram import HdrHistogram

LOWEST, HIGHEST, DIGITS = 1, 600_000_000, 3  # microseconds: 1 us to 10 min, to three digits
SHARES = {"p50": 50.0, "p90": 90.0, "p99": 99.0, "p999": 99.9}
KINDS = ("latency", "service", "late")
BEHIND_MS = (
    20.0  # p99 of how late sends were; from there on the load was not the one that was planned
)


class Tally:
    """`latency`: from the planned moment to the answer, or until it failed; `service`: from the send; `late`:
    from the planned moment to the send. All of them in microseconds."""

    def __init__(self):
        self.of = {kind: HdrHistogram(LOWEST, HIGHEST, DIGITS) for kind in KINDS}
        self.counts = dict.fromkeys(("planned", "sent", "answered", "failed"), 0)
        self.statuses = {}

    def add(self, kind, seconds):
        self.of[kind].record_value(min(HIGHEST, max(LOWEST, int(seconds * 1e6))))

    def ended(self, status, why):
        good = status == 200
        self.counts["answered" if status else "failed"] += 1
        name = str(status) if status else why
        self.statuses[name] = self.statuses.get(name, 0) + 1
        return good

    def packed(self):
        """What another process adds up again."""
        return msgspec.json.encode(
            {
                "counts": self.counts,
                "statuses": self.statuses,
                "of": {kind: of.encode().decode() for kind, of in self.of.items()},
            }
        )

    def add_up(self, packed):
        told = msgspec.json.decode(packed)
        for name, count in told["counts"].items():
            self.counts[name] += count
        for name, count in told["statuses"].items():
            self.statuses[name] = self.statuses.get(name, 0) + count
        for kind, encoded in told["of"].items():
            self.of[kind].decode_and_add(encoded)

    def figures(self, kind):
        """In ms: p50, p90, p99, p999 and max."""
        of = self.of[kind]
        if not of.total_count:
            return dict.fromkeys((*SHARES, "max"), 0.0)
        told = {name: of.get_value_at_percentile(share) for name, share in SHARES.items()}
        return {
            name: round(value / 1000, 3)
            for name, value in {**told, "max": of.get_max_value()}.items()
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
