"""Event logs of the tools through structlog: JSON lines, or readable lines on a terminal."""

import sys

import structlog


def json_log(stream=None):
    """Returns a log that writes one JSON object per line, and ignores that its reader has disconnected."""
    return structlog.wrap_logger(
        structlog.WriteLogger(_TolerantStream(stream or sys.stdout)),
        processors=[
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.JSONRenderer(),
        ],
    )


def readable_log(stream=None):
    """Returns a log that writes readable lines, and ignores that its reader has disconnected."""
    stream = stream or sys.stdout
    return structlog.wrap_logger(
        structlog.WriteLogger(_TolerantStream(stream)),
        processors=[
            structlog.processors.TimeStamper(fmt="%H:%M:%S"),
            structlog.dev.ConsoleRenderer(colors=stream.isatty(), sort_keys=False),
        ],
    )


class _TolerantStream:
    """Wraps a stream and ignores writes to it after the reader has closed it."""

    def __init__(self, stream):
        self.stream = stream

    def write(self, text):
        try:
            self.stream.write(text)
        except (BrokenPipeError, ValueError):
            pass

    def flush(self):
        try:
            self.stream.flush()
        except (BrokenPipeError, ValueError):
            pass
