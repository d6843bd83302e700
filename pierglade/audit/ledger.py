"""What stand-in backends and clients write down: JSON lines, one place, bounded.

Written in bundles by whoever calls `flush`, never by the path of an invocation. A line has `t_ms` (Unix
time), `event`, and as far as known `backend`, `id`, `offering`, `key`, `conn`, `status`. Of backends:
`arrived` (its last byte has come), `ran`, `never ran`, `error`, `dropped` (its connection ended, and it never
ran), `called off` (its connection ended, and what runs runs on), `repeat` (a stamped one, dropped as a
repeat), `listed` (what the list says from now on, `state`), `befalls` (with `what`, `begins` and `backends`),
`hole`. Of clients: `sent`, `answer`, `left` (the client waits no longer, or its connection broke).
What can't be written is told as a hole, by a line where that is possible and by `hole` in any case.
"""

import os

import msgspec


class Ledger:
    """`path`: where to write, empty for nowhere; raises OSError where that can't be opened."""

    def __init__(self, path, most_mb, now_ms):
        """`now_ms()` is the Unix time in ms, of a clock that does not step."""
        self.now_ms, self.most = now_ms, int(most_mb * (1 << 20))
        self.fd = (
            os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC) if path else None
        )
        self.encode = msgspec.json.Encoder().encode
        self.lines, self.size, self.written = [], 0, 0
        self.hole = None  # why it is not whole
        self.missing = 0  # lines that are not in it

    def note(self, event, **more):
        if self.fd is None:
            return
        if self.hole is not None:
            self.missing += 1
            return
        line = self.encode({"t_ms": round(self.now_ms(), 1), "event": event, **more})
        if self.size + len(line) + 1 > self.most:
            self._break("full")
            self.missing += 1
            return
        self.size += len(line) + 1
        self.lines.append(line)

    def _break(self, why):
        """From here on it has a hole; the line that says so is written, if anything can be."""
        self.hole = why
        self.lines.append(
            self.encode({"t_ms": round(self.now_ms(), 1), "event": "hole", "why": why})
        )

    def flush(self):
        if self.fd is None or not self.lines:
            return
        data, lines, self.lines = b"\n".join(self.lines) + b"\n", len(self.lines), []
        try:
            while data:
                data = data[os.write(self.fd, data) :]
            self.written += lines
        except OSError as fault:
            # Part of a line may stand there: whoever reads it finds a last line that is cut off.
            self.hole, self.missing = fault.strerror or str(fault), self.missing + lines
            try:
                os.close(self.fd)
            except OSError:
                pass
            self.fd = None

    def close(self):
        self.flush()
        if self.fd is not None:
            os.close(self.fd)
            self.fd = None
