"""Real-time clock for the simulation model on an asyncio loop; it measures how late its calls run."""

import asyncio

PER_SECOND = 10000.0  # ticks (tenths of a millisecond), the unit of the simulation model
LATENESS_STEP_TICKS = 1.0  # resolution of the lateness histogram
LATENESS_STEPS = 20000  # two seconds; greater lateness is counted in the last step


class RealClock:
    """Real-time counterpart of `pierglade.simulation.clock.Clock`: `now`, `at` and `after`, in ticks.

    Moments count from the creation of the clock. An exception in a callback goes to the loop's
    exception handler.
    """

    def __init__(self, loop=None):
        self.loop = loop or asyncio.get_running_loop()
        self.started_at = self.loop.time()
        self.lateness_counts = [0] * (LATENESS_STEPS + 1)  # number of calls by steps of lateness
        self.max_lateness = 0.0

    @property
    def now(self):
        """The current moment in ticks."""
        return (self.loop.time() - self.started_at) * PER_SECOND

    def at(self, moment, call, *arguments):
        """Calls `call(*arguments)` at `moment`."""
        self.loop.call_at(
            self.started_at + moment / PER_SECOND, self._run_due, moment, call, arguments
        )

    def after(self, span, call, *arguments):
        """Calls `call(*arguments)` when `span` has passed; a span of 0 or less is not measured."""
        if span <= 0:
            self.loop.call_soon(call, *arguments)
        else:
            self.at(self.now + span, call, *arguments)

    def _run_due(self, moment, call, arguments):
        lateness = self.now - moment
        self.lateness_counts[min(LATENESS_STEPS, max(0, int(lateness / LATENESS_STEP_TICKS)))] += 1
        self.max_lateness = max(self.max_lateness, lateness)
        call(*arguments)

    def lateness_ms(self, quantile):
        """Returns a quantile of the lateness of all calls, in ms; 0 if there were none."""
        count = sum(self.lateness_counts)
        seen = 0
        for step, calls in enumerate(self.lateness_counts):
            seen += calls
            if count and seen >= quantile * count:
                return step * LATENESS_STEP_TICKS / 10
        return 0.0
