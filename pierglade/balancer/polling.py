"""Schedules polls of the endpoint list after its watch has ended.

Times and durations are in ticks (tenths of a millisecond). No I/O.
"""

from collections.abc import Callable

# Ticks (2 s, 16 s). Minimum and maximum polling interval. The interval is doubled after each loss
# of the list and halved after each list received.
INTERVAL, MAX_INTERVAL = 20000, 160000
# Ticks (0.6 s). Minimum time from a loss to a poll.
MIN_INTERVAL = 6000
# Ticks (4.4 s). Maximum age of the list when it is polled: a change must be known 6 s after it was
# published, and a poll itself takes time.
MAX_LIST_AGE = 44000
# A time that is never reached.
NEVER = 1 << 62


class PollSchedule:
    """The time of the next poll, and the interval to the one after."""

    def __init__(self, polls: bool, now: int, pick: Callable[[int], int]) -> None:
        """Schedules the first poll.

        Args:
            polls: whether the caller polls at all; the first poll is then due at once.
            now: the current time.
            pick: returns a random integer below its argument.
        """
        self.pick = pick
        self.next_at: int = now if polls else NEVER
        self._interval = INTERVAL

    def endpoints_updated(self) -> None:
        """Shortens the polling interval after a list has been received.

        The interval does not return to the minimum at once: a watch call that is still queued has
        already delivered its first line but may yet fail.
        """
        self._interval = max(INTERVAL, self._interval // 2)

    def discovery_lost(self, now: int, since_update: int) -> None:
        """Schedules a poll after the list failed to load or its watch ended.

        `since_update` is the time since the last update. As all nodes lose the list at the same
        time, the time of the poll is random and polls are as rare as permitted.
        """
        interval = max(MIN_INTERVAL, min(self._interval, (MAX_LIST_AGE - since_update) * 2 // 3))
        self.next_at = now + interval // 2 + self.pick(interval)
        self._interval = min(MAX_INTERVAL, self._interval * 2)

    def take_due(self, now: int) -> bool:
        """Returns whether a poll is due, and marks it as made."""
        if now < self.next_at:
            return False
        self.next_at = NEVER
        return True
