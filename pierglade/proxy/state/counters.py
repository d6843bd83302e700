"""Counts of what is done too often for a log line each."""

from collections import Counter

from pierglade.proxy.state.constants import LOG_INTERVAL

# Times are tenths of a millisecond.
# What is counted, in the order in which it is logged.
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
    """Counts events, and logs them together once in LOG_INTERVAL."""

    def __init__(self, step, timers):
        self.step = step
        self.timers = timers
        self.pending = Counter()  # what was done since the last line of counts

    def count(self, what):
        """Counts one of COUNTERS."""
        if not self.pending:
            self.timers.at(self.step.now + LOG_INTERVAL, self._log_pending, None)
        self.pending[what] += 1

    def _log_pending(self, _):
        # Harmless from one process, much of it does harm from forty: only the counts of all show
        # it.
        self.step.log(
            "counters", **{name: self.pending[name] for name in COUNTERS if name in self.pending}
        )
        self.pending.clear()
