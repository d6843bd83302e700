"""Results of the audit: violations with their timelines, gaps and counts."""

import msgspec

from pierglade.audit.records import TraceGap

RULES = ("one answer", "no effect twice", "drains", "cold", "budget", "left")
"""Names of the rules as printed in verdicts."""
MAX_TIMELINE_LINES = 12


class Violation(msgspec.Struct):
    """A violation of one rule."""

    rule: str
    subject: str = msgspec.field(name="who")
    """The id of a request, or the name of a backend or node."""
    problem: str = msgspec.field(name="what")
    timeline: list[str] = msgspec.field(name="lines")


class Verdict(msgspec.Struct):
    """The outcome of an audit."""

    violations: list[Violation]
    gaps: list[TraceGap]
    counts: dict[str, int]

    def held(self) -> dict[str, bool | None]:
        """Maps each rule to True, False, or None if gaps in the records leave it undecided."""
        broken = {each.rule for each in self.violations}
        otherwise = None if self.gaps else True
        return {rule: False if rule in broken else otherwise for rule in RULES}


class RequestRecords:
    """All ledger rows of one request."""

    def __init__(self):
        self.client: list[dict] = []
        self.backends: list[dict] = []

    def of_client(self, event: str) -> list[dict]:
        """Returns the rows of an event that the client recorded."""
        return [row for row in self.client if row["event"] == event]

    def of_backends(self, event: str) -> list[dict]:
        """Returns the rows of an event that backends recorded."""
        return [row for row in self.backends if row["event"] == event]

    def timeline(self) -> list[str]:
        """Returns the first rows, formatted as lines."""
        rows = sorted(self.client + self.backends, key=lambda row: row["t_ms"])
        lines = [line_of(row) for row in rows[:MAX_TIMELINE_LINES]]
        if len(rows) > MAX_TIMELINE_LINES:
            lines.append(f"and {len(rows) - MAX_TIMELINE_LINES} more lines")
        return lines


def line_of(row: dict) -> str:
    """Formats a row as a line of a timeline."""
    shown = (f"{key}={value}" for key, value in row.items() if key not in ("t_ms", "event", "id"))
    return f"{row['t_ms']:10.1f} {row['event']} {' '.join(shown)}".rstrip()
