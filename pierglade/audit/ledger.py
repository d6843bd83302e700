"""Records events of stand-in backends and clients as JSON lines, in batches and bounded in size.

A line has `t_ms` (Unix time), `event` and, as far as known, `backend`, `id`, `offering`, `key`,
`conn` and `status`.

Events of backends: `arrived` (the last byte of a request was received), `ran`, `never ran`,
`error`, `dropped` (the connection ended before the request was executed), `called off` (the
connection ended during the execution), `repeat` (a keyed request, dropped as a duplicate),
`listed` (the endpoint list reports `state` from now on), `befalls` (the start or end of a fault,
with `what`, `begins` and `backends`) and `hole` (lines are missing from here on).

Events of clients: `sent`, `answer` and `left` (the client timed out, or its connection was lost).

Lines that can't be written are reported as a gap: by a `hole` line where possible, and always by
the attribute `gap`.
"""

import contextlib
import os
from collections.abc import Callable

import msgspec

BYTES_PER_MB = 1 << 20


class Ledger:
    """Buffers lines in memory until `flush` is called, so that no request waits for the disk.

    Raises OSError if `path` can't be opened; with an empty path nothing is recorded. `now_ms()`
    returns the Unix time in ms, from a clock that does not step.
    """

    def __init__(self, path: str, max_mb: float, now_ms: Callable[[], float]):
        self._now_ms, self._max_bytes = now_ms, int(max_mb * BYTES_PER_MB)
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC
        self._fd = os.open(path, flags) if path else None
        self._encode = msgspec.json.Encoder().encode
        self._lines: list[bytes] = []
        self._size = 0
        self.written = 0
        """Number of lines written to the file."""
        self.gap: str | None = None
        """Why lines are missing; None while the ledger is complete."""
        self.missing = 0
        """Number of lines that could not be recorded."""

    @property
    def is_open(self) -> bool:
        """Whether events are recorded."""
        return self._fd is not None

    @property
    def pending(self) -> int:
        """Number of buffered lines."""
        return len(self._lines)

    def note(self, event: str, **fields) -> None:
        """Records an event with the current time."""
        if self._fd is None:
            return
        if self.gap is not None:
            self.missing += 1
            return
        line = self._line(event, fields)
        if self._size + len(line) + 1 > self._max_bytes:
            self._begin_gap("full")
            self.missing += 1
            return
        self._size += len(line) + 1
        self._lines.append(line)

    def _line(self, event, fields):
        return self._encode({"t_ms": round(self._now_ms(), 1), "event": event, **fields})

    def _begin_gap(self, reason):
        """Stops recording; a `hole` line with the reason is the last one buffered."""
        self.gap = reason
        self._lines.append(self._line("hole", {"why": reason}))

    def flush(self) -> None:
        """Writes the buffered lines to the file."""
        if self._fd is None or not self._lines:
            return
        data, count = b"\n".join(self._lines) + b"\n", len(self._lines)
        self._lines = []
        try:
            while data:
                data = data[os.write(self._fd, data) :]
            self.written += count
        except OSError as error:
            # Part of a line may have been written: the reader then finds a truncated last line.
            self.gap, self.missing = error.strerror or str(error), self.missing + count
            with contextlib.suppress(OSError):
                os.close(self._fd)
            self._fd = None

    def close(self) -> None:
        """Writes the buffered lines and closes the file."""
        self.flush()
        if self._fd is not None:
            os.close(self._fd)
            self._fd = None
