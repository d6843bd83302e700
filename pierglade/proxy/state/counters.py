"""Counters of events that are too frequent for a log line each."""

from collections import Counter

from pierglade.proxy.state.constants import LOG_INTERVAL

# Times are tenths of a millisecond.

# The counted events, in the order in which they are logged.
COUNTERS = (
    "endpoint_polls",
    "request_rejected",
    "request_failed",
    "connections_opened",
    "connections_skipped",
    "connections_refused",
    "discovery_losses",
    "health_checks",
    "trials",
    "attempts",
)


class EventCounters:
    """Counts events and logs all counts together once per LOG_INTERVAL."""

    def __init__(self, step, timers):
        self.step = step
        self.timers = timers
        self.pending = Counter()  # counts since the last log line

    def count(self, name):
        """Counts one event of COUNTERS."""
        if not self.pending:
            self.timers.schedule(self.step.now + LOG_INTERVAL, self._log_pending, None)
        self.pending[name] += 1

    def _log_pending(self, _):
        # A rate that is harmless from one process may be harmful from forty. The counts of all
        # nodes are logged so that they can be added up.
        self.step.log(
            "counters", **{name: self.pending[name] for name in COUNTERS if name in self.pending}
        )
        self.pending.clear()
