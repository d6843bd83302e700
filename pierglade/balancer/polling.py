"""When to poll the endpoint list after a watch was lost.

Spans are tenths of a millisecond. No I/O.
"""

from collections.abc import Callable

# 2 s and 16 s; the interval, doubled by each loss up to the second and halved by each list.
INTERVAL, INTERVAL_MOST = 20000, 160000
# 0.6 s; no poll comes sooner after a loss.
INTERVAL_LEAST = 6000
# 4.4 s; what is listed must be known 6 s after it was published, and a poll itself takes time.
KNOWN_WITHIN = 44000
# A moment that does not come.
NEVER = 1 << 62


class PollSchedule:
    """The moment of the next poll, and the interval to the one after."""

    def __init__(self, polls: bool, now: int, pick: Callable[[int], int]) -> None:
        """Schedules the first poll.

        Args:
            polls: whether the host polls at all, at once then.
            now: the moment.
            pick: gives a random int below its argument.
        """
        self.pick = pick
        self.next_at: int = now if polls else NEVER
        self._interval = INTERVAL

    def endpoints_updated(self) -> None:
        """A list has come: later polls may come sooner again.

        Not at once: a call that still waits its turn has its first line, and may yet come to
        nothing.
        """
        self._interval = max(INTERVAL, self._interval // 2)

    def discovery_lost(self, now: int, waited: int) -> None:
        """The list could not be had, or is watched no more; `waited`: since its last update.

        All nodes lose it at once and would poll at once: the moment is drawn by chance, and polls
        are as rare as they may be.
        """
        interval = max(INTERVAL_LEAST, min(self._interval, (KNOWN_WITHIN - waited) * 2 // 3))
        self.next_at = now + interval // 2 + self.pick(interval)
        self._interval = min(INTERVAL_MOST, self._interval * 2)

    def take_due(self, now: int) -> bool:
        """Whether a poll is due now; it counts as made."""
        if now < self.next_at:
            return False
        self.next_at = NEVER
        return True
