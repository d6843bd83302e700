"""Reads the ledgers of clients and backends; unreadable parts are reported as gaps.

Both are JSON lines written by `pierglade.audit.ledger`, with times of one clock.
"""

import msgspec


class TraceGap(msgspec.Struct):
    """A part of a ledger that is missing or unreadable."""

    path: str
    line: int
    """Line number, counted from 1; 0: the whole file."""
    reason: str = msgspec.field(name="why")

    def text(self) -> str:
        """Returns the place and the reason in one line."""
        place = f"{self.path}:{self.line}" if self.line else self.path
        return f"{place}: {self.reason}"


def read(path: str) -> tuple[list[dict], list[TraceGap]]:
    """Returns the rows of a ledger in order of time, and its gaps."""
    try:
        with open(path, "rb") as file:
            data = file.read()
    except OSError as error:
        return [], [TraceGap(path, 0, error.strerror)]
    rows, gaps = [], []
    lines = data.split(b"\n")
    if lines[-1]:
        gaps.append(TraceGap(path, len(lines), "the last line is truncated"))
    decode = msgspec.json.Decoder().decode
    for number, line in enumerate(lines[:-1], 1):
        try:
            row = _checked(decode(line))
        except (msgspec.DecodeError, KeyError, TypeError):
            gaps.append(
                TraceGap(
                    path, number, "not a ledger line: expected a JSON object with t_ms and event"
                )
            )
            continue
        if row["event"] == "hole":
            gaps.append(TraceGap(path, number, row.get("why", "lines are missing from here on")))
        rows.append(row)
    if not rows and not gaps:
        gaps.append(TraceGap(path, 0, "the file is empty"))
    rows.sort(key=lambda row: row["t_ms"])
    return rows, gaps


def _checked(row):
    if type(row["t_ms"]) not in (int, float) or not isinstance(row["event"], str):
        raise TypeError
    return row
