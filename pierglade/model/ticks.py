"""The unit of moments and spans in decisions: whole tenths of a millisecond."""

from typing import TypeAlias

Ticks: TypeAlias = int
"""A moment (Unix time on sockets, the simulator's clock in the bench) or a span."""

TICKS_PER_MS = 10
TICKS_PER_SECOND = 10_000
NEVER: Ticks = 1 << 62
"""A moment that is never reached."""
