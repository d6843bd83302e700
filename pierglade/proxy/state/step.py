"""The step in progress: one event, its time, and the effects so far."""

from pierglade.proxy.state.effects import LogEvent


class Step:
    """The time of the event being handled, and its effects so far."""

    def __init__(self, now):
        self.now = self.arrived_at = self.last_idle_at = now
        self.effects = []

    def begin(self, now, arrived_at, last_idle_at):
        """Starts a step; time never goes back. `arrived_at`, `last_idle_at`: as for `apply`."""
        self.now, self.effects = max(now, self.now), []
        self.arrived_at, self.last_idle_at = min(arrived_at, self.now), last_idle_at

    def queueing_delay(self):
        """Returns how long the event has waited for others: not while the caller was idle since.

        A caller that was idle after the event arrived had stood still.
        """
        was_idle = self.last_idle_at <= self.now
        return self.now - (max(self.arrived_at, self.last_idle_at) if was_idle else self.arrived_at)

    def emit(self, effect):
        """Adds an effect."""
        self.effects.append(effect)

    def log(self, event, **fields):
        """Adds a log line, as an effect."""
        self.effects.append(LogEvent(event, fields))
