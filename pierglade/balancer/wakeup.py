"""The time at which the balancer's periodic work is next due.

Times are in ticks (tenths of a millisecond).
"""

# A time that is never reached.
NEVER = 1 << 62
# Ticks (50 ms). At this interval, checks for unresponsive backends are cheap and detect them within
# the time of one answer.
SWEEP_INTERVAL = 500


class Wakeup:
    """The earliest time that any component has requested."""

    def __init__(self, at: int) -> None:
        self.at = at

    def request(self, at: int) -> None:
        """Requests a wakeup at that time."""
        if at < self.at:
            self.at = at

    def reset(self) -> None:
        """Clears the wakeup, as everything due is being handled now."""
        self.at = NEVER
