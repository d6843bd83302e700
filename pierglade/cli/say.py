"""How tools say what happens: JSON lines, or readable ones on a terminal, through structlog."""

import sys

import structlog


def json_lines(stream=None):
    """A log that writes a JSON object a line; a reader that has gone is no fault."""
    return structlog.wrap_logger(
        structlog.WriteLogger(_Unbothered(stream or sys.stdout)),
        processors=[
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.JSONRenderer(),
        ],
    )


def readable(stream=None):
    """The same for people."""
    stream = stream or sys.stdout
    return structlog.wrap_logger(
        structlog.WriteLogger(_Unbothered(stream)),
        processors=[
            structlog.processors.TimeStamper(fmt="%H:%M:%S"),
            structlog.dev.ConsoleRenderer(colors=stream.isatty(), sort_keys=False),
        ],
    )


class _Unbothered:
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
