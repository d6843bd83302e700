"""Reads the ledgers of clients and backends; what can't be read is a gap.

Both are JSON lines as `pierglade.audit.ledger` writes them, on one clock.
"""

import msgspec


class TraceGap(msgspec.Struct):
    """A part of the records that is missing."""

    path: str
    line: int
    """0: none."""
    reason: str = msgspec.field(name="why")

    def text(self) -> str:
        """The gap in one line."""
        place = f"{self.path}:{self.line}" if self.line else self.path
        return f"{place}: {self.reason}"


def read(path: str) -> tuple[list[dict], list[TraceGap]]:
    """The rows of a ledger in order of their moments, and its gaps."""
    try:
        with open(path, "rb") as file:
            data = file.read()
    except OSError as error:
        return [], [TraceGap(path, 0, error.strerror)]
    rows, gaps = [], []
    lines = data.split(b"\n")
    if lines[-1]:
        gaps.append(TraceGap(path, len(lines), "the last line is cut off"))
    decode = msgspec.json.Decoder().decode
    for number, line in enumerate(lines[:-1], 1):
        try:
            row = _checked(decode(line))
        except (msgspec.DecodeError, KeyError, TypeError):
            gaps.append(TraceGap(path, number, "no line of a ledger"))
            continue
        if row["event"] == "hole":
            gaps.append(TraceGap(path, number, row.get("why", "a hole")))
        rows.append(row)
    if not rows and not gaps:
        gaps.append(TraceGap(path, 0, "it is empty"))
    rows.sort(key=lambda row: row["t_ms"])
    return rows, gaps


def _checked(row):
    if type(row["t_ms"]) not in (int, float) or not isinstance(row["event"], str):
        raise TypeError
    return row
