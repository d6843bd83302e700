"""The log: one JSON line an event on standard output, written without blocking."""

import os
import select

import gevent
import orjson

LINE_MOST = 4000  # bytes; a pipe that can be written takes as much at once (PIPE_BUF)
WRITE_AFTER = 0.05  # s; lines are written together, as each write costs as much as several lines


class Log:
    """Collects lines and writes them together to `fd`; drops them while its reader is slow."""

    def __init__(self, fd, name):
        self.fd, self.name = fd, name
        self.dropped = 0
        self.pending, self.size = [], 0
        self.poll = select.poll()
        self.poll.register(fd, select.POLLOUT)

    def text(self, now: int, event: str, fields: dict) -> bytes:
        """Returns the line of an event."""
        return orjson.dumps(
            {"at_ms": now / 10, "node": self.name, "event": event, **fields}, default=str
        )

    def line(self, now: int, event: str, **fields):
        """Adds the line of an event; `now`: tenths of a millisecond."""
        text = self.text(now, event, fields)
        if len(text) >= LINE_MOST:
            text = orjson.dumps(
                {"at_ms": now / 10, "node": self.name, "event": event, "cut": len(text)}
            )
        if self.size + len(text) >= LINE_MOST:
            self.flush()
        if not self.pending:
            gevent.spawn_later(WRITE_AFTER, self.flush)
        self.pending.append(text)
        self.size += len(text) + 1

    def flush(self):
        """Writes what is pending, or drops it where that would block."""
        lines, self.pending, self.size = self.pending, [], 0
        if not lines:
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
                os.write(self.fd, b"\n".join(lines) + b"\n")
                self.dropped = 0
                return
        except OSError:
            pass
        self.dropped += len(lines) - (self.dropped > 0)
