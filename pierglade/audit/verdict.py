"""What the audit says: violations with their timelines, gaps, counts."""

import msgspec

from pierglade.audit.records import TraceGap

RULES = ("one answer", "no effect twice", "drains", "cold", "budget", "left")
"""Names of the rules, as verdicts print them."""
TIMELINE_LINES = 12


class Violation(msgspec.Struct):
    """A broken rule."""

    rule: str
    subject: str = msgspec.field(name="who")
    """The id of a request, or a backend."""
    problem: str = msgspec.field(name="what")
    timeline: list[str] = msgspec.field(name="lines")


class Verdict(msgspec.Struct):
    """What the audit found."""

    violations: list[Violation]
    gaps: list[TraceGap]
    counts: dict[str, int]

    def held(self) -> dict[str, bool | None]:
        """Rule to True, False, or None where a gap leaves it open."""
        broken = {each.rule for each in self.violations}
        otherwise = None if self.gaps else True
        return {rule: False if rule in broken else otherwise for rule in RULES}


class RequestRecords:
    """All rows of one request."""

    def __init__(self):
        self.client: list[dict] = []
        self.backends: list[dict] = []

    def of_client(self, event: str) -> list[dict]:
        """The client's rows of an event."""
        return [row for row in self.client if row["event"] == event]

    def of_backends(self, event: str) -> list[dict]:
        """The backends' rows of an event."""
        return [row for row in self.backends if row["event"] == event]

    def timeline(self) -> list[str]:
        """Its first rows as lines."""
        rows = sorted(self.client + self.backends, key=lambda row: row["t_ms"])
        lines = [line_of(row) for row in rows[:TIMELINE_LINES]]
        if len(rows) > TIMELINE_LINES:
            lines.append(f"and {len(rows) - TIMELINE_LINES} lines more")
        return lines


def line_of(row: dict) -> str:
    """A row as a line of a timeline."""
    shown = (f"{key}={value}" for key, value in row.items() if key not in ("t_ms", "event", "id"))
    return f"{row['t_ms']:10.1f} {row['event']} {' '.join(shown)}".rstrip()
