"""Virtual time: what is to happen, in order."""

from heapq import heappop, heappush

SECOND = 10000.0  # tenths of a millisecond
MS = 10.0  # the same


class Clock:
    """Moments are tenths of a millisecond, with fractions; what is due at the same one keeps its order."""

    def __init__(self):
        self.now = 0.0
        self.due = []
        self.count = 0

    def at(self, moment, call, *what):
        """Calls `call(*what)` at `moment`, or now if that is past."""
        self.count += 1
        heappush(self.due, (max(moment, self.now), self.count, call, what))

    def after(self, span, call, *what):
        self.at(self.now + span, call, *what)

    def run(self, until):
        """Plays all that is due up to `until`, in tenths of a millisecond."""
        due = self.due
        while due and due[0][0] <= until:
            self.now, _, call, what = heappop(due)
            call(*what)
        self.now = until
