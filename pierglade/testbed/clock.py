"""The model's clock in real time, on an asyncio loop; it tells how late it was."""

import asyncio

PER_SECOND = 10000.0  # tenths of a millisecond, the model's unit
FINEST = 1.0  # tenths of a millisecond; lateness is counted in such steps
STEPS = 20000  # steps; two seconds, and what is later counts as that


class RealClock:
    """What `pierglade.simulation.clock.Clock` is to a play: `now`, `at` and `after`, in tenths of a millisecond.

    Times in calls are since the clock was made. A call that raises ends the loop's run with that fault.
    """

    def __init__(self, loop=None):
        self.loop = loop or asyncio.get_running_loop()
        self.began = self.loop.time()
        self.late = [0] * (STEPS + 1)  # calls by how late they came
        self.latest = 0.0

    @property
    def now(self):
        return (self.loop.time() - self.began) * PER_SECOND

    def at(self, moment, call, *what):
        self.loop.call_at(self.began + moment / PER_SECOND, self._due, moment, call, what)

    def after(self, span, call, *what):
        if span <= 0:
            self.loop.call_soon(call, *what)
        else:
            self.at(self.now + span, call, *what)

    def _due(self, moment, call, what):
        late = self.now - moment
        self.late[min(STEPS, max(0, int(late / FINEST)))] += 1
        self.latest = max(self.latest, late)
        call(*what)

    def lateness_ms(self, share):
        """So late or less came `share` of all calls, in ms; 0 where there were none."""
        count = sum(self.late)
        seen = 0
        for step, calls in enumerate(self.late):
            seen += calls
            if count and seen >= share * count:
                return step * FINEST / 10
        return 0.0
