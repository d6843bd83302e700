"""What stand-in backends and clients record: JSON lines, written in bundles, bounded in size.

A line has `t_ms` (Unix time), `event`, and as far as known `backend`, `id`, `offering`, `key`,
`conn`, `status`. Events of backends: `arrived` (the last byte of a request has come), `ran`,
`never ran`, `error`, `dropped` (the connection ended before the request was executed), `called off`
(the connection ended while it was executed), `repeat` (a keyed request, dropped as a duplicate),
`listed` (what the endpoint list says from now on, `state`), `befalls` (a fault, with `what`,
`begins` and `backends`), `hole`. Events of clients: `sent`, `answer`, `left` (the client waits no
longer, or its connection broke). What can't be written is recorded as a gap: by a line where that
is possible, and by `gap` in any case.
"""

import contextlib
import os
from collections.abc import Callable

import msgspec

BYTES_PER_MB = 1 << 20


class Ledger:
    """Records lines in memory until `flush` is called, never on the path of a request.

    Raises OSError where `path` can't be opened; an empty path records nothing. `now_ms()` is the
    Unix time in ms, of a clock that does not step.
    """

    def __init__(self, path: str, max_mb: float, now_ms: Callable[[], float]):
        self._now_ms, self._max_bytes = now_ms, int(max_mb * BYTES_PER_MB)
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC
        self._fd = os.open(path, flags) if path else None
        self._encode = msgspec.json.Encoder().encode
        self._lines: list[bytes] = []
        self._size = 0
        self.written = 0
        """Lines written."""
        self.gap: str | None = None
        """Why it is not whole."""
        self.missing = 0
        """Lines that are not in it."""

    @property
    def is_open(self) -> bool:
        """Whether anything is recorded."""
        return self._fd is not None

    @property
    def pending(self) -> int:
        """Lines that wait to be written."""
        return len(self._lines)

    def note(self, event: str, **fields) -> None:
        """Records an event of now."""
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
        """From here on lines are missing; the line that says so is written, if anything can be."""
        self.gap = reason
        self._lines.append(self._line("hole", {"why": reason}))

    def flush(self) -> None:
        """Writes what was recorded."""
        if self._fd is None or not self._lines:
            return
        data, count = b"\n".join(self._lines) + b"\n", len(self._lines)
        self._lines = []
        try:
            while data:
                data = data[os.write(self._fd, data) :]
            self.written += count
        except OSError as error:
            # Part of a line may stand there: whoever reads it finds a last line that is cut off.
            self.gap, self.missing = error.strerror or str(error), self.missing + count
            with contextlib.suppress(OSError):
                os.close(self._fd)
            self._fd = None

    def close(self) -> None:
        """Writes what is pending and closes the file."""
        self.flush()
        if self._fd is not None:
            os.close(self._fd)
            self._fd = None
