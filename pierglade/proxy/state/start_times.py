"""Start times of backends on this node's own clock.

The list tells them in Unix time, but wall clocks may be stepped by seconds or by an hour, on this
machine or on others. A start that this node hears of as it happens is recent, whatever is told.
"""

# Times are tenths of a millisecond.

MAX_NEWS_DELAY = 10000  # 1 s; usual time from the start of a process until its node hears of it


class StartTimes:
    """Translates reported start times; `now` is the time of the message."""

    def __init__(self):
        self.offset = None  # by how much the reporting clock is ahead of this one
        self.is_current = False  # discovery has told the list, and was not lost since
        self.lost_at = None  # since when changes may have been missed

    def list_received(self, now, reported):
        """Estimates the difference of the clocks from the first list: no start is in the future."""
        if self.offset is None:
            self.offset = max(0, max(reported, default=0) - now)

    def message_applied(self):
        """Records that all changes up to now are known."""
        self.is_current, self.lost_at = True, None

    def discovery_lost(self, lost_at):
        """Records that changes after `lost_at` may be unknown."""
        if self.is_current and self.lost_at is None:
            self.lost_at = lost_at

    def local(self, now, reported, previous):
        """Returns when a process started, on this node's clock; 0 if long ago.

        `previous`: the start of the process that had the name before, on the same clock; None if
        there was none. The process counts as just started where the reported time is impossible.
        """
        if not reported:
            return 0
        started_at = reported - self.offset
        if self.is_current:
            earliest = (now if self.lost_at is None else self.lost_at) - MAX_NEWS_DELAY
        else:
            earliest = 0 if previous is None else previous + 1
        return started_at if earliest <= started_at <= now else now
