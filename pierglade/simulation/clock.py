"""Virtual clock: runs scheduled calls in the order of their times."""

from collections.abc import Callable
from heapq import heappop, heappush

SECOND = 10000.0
"""Ticks (tenths of a millisecond) in a second."""
MS = 10.0
"""Ticks in a millisecond."""


class Clock:
    """Runs calls at times in fractional ticks; calls at equal times keep their order."""

    def __init__(self) -> None:
        self.now = 0.0
        self._scheduled: list[tuple] = []
        self._sequence = 0

    def at(self, time: float, callback: Callable, *arguments) -> None:
        """Schedules `callback(*arguments)` for `time`, or for now if that has passed."""
        self._sequence += 1
        heappush(self._scheduled, (max(time, self.now), self._sequence, callback, arguments))

    def after(self, delay: float, callback: Callable, *arguments) -> None:
        """Schedules `callback(*arguments)` for when `delay` has passed."""
        self.at(self.now + delay, callback, *arguments)

    def run(self, until: float) -> None:
        """Runs all calls that are due up to `until`."""
        scheduled = self._scheduled
        while scheduled and scheduled[0][0] <= until:
            self.now, _, callback, arguments = heappop(scheduled)
            callback(*arguments)
        self.now = until
