"""Virtual time: calls in the order of their moments."""

from collections.abc import Callable
from heapq import heappop, heappush

SECOND = 10000.0
"""Ticks (tenths of a millisecond) in a second."""
MS = 10.0
"""Ticks in a millisecond."""


class Clock:
    """Runs calls at moments in ticks, with fractions; equal moments keep their order."""

    def __init__(self) -> None:
        self.now = 0.0
        self._calls: list[tuple] = []
        self._count = 0

    def at(self, moment: float, call: Callable, *arguments) -> None:
        """Calls `call(*arguments)` at `moment`, or as soon as possible if that is past."""
        self._count += 1
        heappush(self._calls, (max(moment, self.now), self._count, call, arguments))

    def after(self, span: float, call: Callable, *arguments) -> None:
        """Calls `call(*arguments)` when `span` has passed."""
        self.at(self.now + span, call, *arguments)

    def run(self, until: float) -> None:
        """Makes all calls up to the moment `until`."""
        calls = self._calls
        while calls and calls[0][0] <= until:
            self.now, _, call, arguments = heappop(calls)
            call(*arguments)
        self.now = until
