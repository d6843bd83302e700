"""The ledgers of clients and backends, read line by line: what can't be read is told as a hole.

Both are JSON lines as `pierglade.audit.ledger` writes them, on one clock.
"""

import msgspec


class Hole(msgspec.Struct):
    """A part of the records that is missing: the file, the line (0: none) and why."""

    path: str
    line: int
    why: str

    def text(self):
        return f"{self.path}:{self.line}: {self.why}" if self.line else f"{self.path}: {self.why}"


def read(path):
    """(rows, holes) of a ledger, the rows in order of their moments."""
    rows, holes = [], []
    decode = msgspec.json.Decoder().decode
    try:
        with open(path, "rb") as file:
            data = file.read()
    except OSError as fault:
        return [], [Hole(path, 0, fault.strerror)]
    lines = data.split(b"\n")
    if lines[-1]:
        holes.append(Hole(path, len(lines), "the last line is cut off"))
    for number, line in enumerate(lines[:-1], 1):
        try:
            row = decode(line)
            if type(row["t_ms"]) not in (int, float) or not isinstance(row["event"], str):
                raise TypeError
        except (msgspec.DecodeError, KeyError, TypeError):
            holes.append(Hole(path, number, "no line of a ledger"))
            continue
        if row["event"] == "hole":
            holes.append(Hole(path, number, row.get("why", "a hole")))
        rows.append(row)
    if not rows and not holes:
        holes.append(Hole(path, 0, "it is empty"))
    rows.sort(key=lambda row: row["t_ms"])
    return rows, holes
