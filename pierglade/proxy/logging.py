"""The log: one JSON line per event on standard output, written without blocking."""

import os
import select

import gevent
import orjson

MAX_LINE_BYTES = 4000  # a writable pipe accepts this much without blocking (PIPE_BUF)
# Lines are collected for this time, as one write takes as long as formatting several lines.
FLUSH_DELAY_S = 0.05


class Log:
    """Collects lines and writes them together to `fd`; drops lines while the reader is slow."""

    def __init__(self, fd, name):
        self.fd, self.name = fd, name
        self.dropped = 0
        self.pending, self.size = [], 0
        self.rest = b""  # of lines that a short write has cut
        self.poll = select.poll()
        self.poll.register(fd, select.POLLOUT)

    def text(self, now: int, event: str, fields: dict) -> bytes:
        """Returns the log line of an event, without a newline."""
        return orjson.dumps(
            {"at_ms": now / 10, "node": self.name, "event": event, **fields}, default=str
        )

    def line(self, now: int, event: str, **fields):
        """Adds the line of an event; `now`: Unix time in tenths of a millisecond."""
        text = self.text(now, event, fields)
        if len(text) >= MAX_LINE_BYTES:
            text = orjson.dumps(
                {"at_ms": now / 10, "node": self.name, "event": event, "cut": len(text)}
            )
        if self.size + len(text) >= MAX_LINE_BYTES:
            self.flush()
        if not self.pending:
            gevent.spawn_later(FLUSH_DELAY_S, self.flush)
        self.pending.append(text)
        self.size += len(text) + 1

    def flush(self):
        """Writes the pending lines, or drops them where writing would block."""
        lines, self.pending, self.size = self.pending, [], 0
        if not lines and not self.rest:
            return
        if self.dropped:
            lines.insert(
                0,
                orjson.dumps(
                    {"event": "log_lines_dropped", "node": self.name, "lines": self.dropped}
                ),
            )
        try:
            if any(ready & select.POLLOUT for _, ready in self.poll.poll(0)):
                data = b"".join((self.rest, *(line + b"\n" for line in lines)))
                self.rest = data[os.write(self.fd, data) :]
                self.dropped = 0
                return
        except OSError:
            pass
        self.dropped += len(lines) - (self.dropped > 0)
