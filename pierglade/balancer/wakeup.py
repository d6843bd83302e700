"""When the balancer has to look after its periodic work again.

Moments are tenths of a millisecond.
"""

# A moment that does not come.
NEVER = 1 << 62
# 50 ms; looking for unresponsive backends costs little at this pace and finds them within one
# answer.
SWEEP_INTERVAL = 500


class Wakeup:
    """The earliest moment that any part asked for."""

    def __init__(self, at: int) -> None:
        self.at = at

    def request(self, moment: int) -> None:
        """Something is due at that moment."""
        if moment < self.at:
            self.at = moment

    def reset(self) -> None:
        """All that is due is being looked after now."""
        self.at = NEVER
