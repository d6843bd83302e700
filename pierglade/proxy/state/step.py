"""The step in progress: one event, its moment, and the effects so far."""

from pierglade.proxy.state.effects import LogEvent


class Step:
    """What one event is handled with: its moment, and the effects that it has brought about."""

    def __init__(self, now):
        self.now = self.came = self.idle = now
        self.effects = []

    def begin(self, now, came, idle):
        """A new event: time never goes back; `came`, `idle` as in ProxyStateMachine.apply."""
        self.now, self.effects = max(now, self.now), []
        self.came, self.idle = min(came, self.now), idle

    def emit(self, effect):
        """Adds an effect."""
        self.effects.append(effect)

    def log(self, event, **fields):
        """Adds a line of the log, as an effect."""
        self.effects.append(LogEvent(event, fields))
