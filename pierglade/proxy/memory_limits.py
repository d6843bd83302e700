"""Divides the memory of a process between its connections and the messages that they carry."""

from typing import NamedTuple

BYTES_PER_MB = 1 << 20
# Fraction of the memory left at the start that messages may use beside the small buffer of each
# connection. The rest is for connections, learned statistics, and what the allocator can't reuse.
MESSAGE_FRACTION = 0.2
CONNECTION_FRACTION = 0.4  # of the same, for connections
# Memory of a connection with a request: a greenlet takes 16 kB for its Python stack, and beside it
# there are its C stack, the parser, the request and small buffers.
CONNECTION_BYTES = 24 << 10
MIN_MESSAGE_BYTES = 1 << 20
MIN_CONNECTIONS = 64


class MemoryLimits(NamedTuple):
    """What a process may use."""

    message_bytes: int
    connections: int


def private_bytes() -> int:
    """Returns the private memory of this process in bytes; 0 if the kernel does not tell."""
    try:
        with open("/proc/self/status", "rb") as file:
            for line in file:
                if line.startswith(b"RssAnon:"):
                    return int(line.split()[1]) << 10
    except OSError:
        pass
    return 0


def memory_limits(limit_mb: int, used_bytes: int) -> MemoryLimits:
    """Divides a limit of `limit_mb` of which `used_bytes` are in use."""
    available = max(0, limit_mb * BYTES_PER_MB - used_bytes)
    return MemoryLimits(
        message_bytes=max(MIN_MESSAGE_BYTES, int(MESSAGE_FRACTION * available)),
        connections=max(MIN_CONNECTIONS, int(CONNECTION_FRACTION * available / CONNECTION_BYTES)),
    )
