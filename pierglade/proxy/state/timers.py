"""Timers: a heap of callbacks by time, and at most one timer per connection."""

from heapq import heappop, heappush

from pierglade.proxy.state.connections import (
    CLOSED,
)


class Timers:
    """Callbacks that are due at a later time."""

    def __init__(self, step):
        self.step = step
        self.heap = []  # (time, sequence, callback, argument)
        self._sequence = 0  # orders timers of the same time by when they were scheduled

    def schedule(self, moment, callback, argument):
        """Calls `callback(argument)` at that time, or in the first step after it."""
        self._sequence += 1
        heappush(self.heap, (moment, self._sequence, callback, argument))

    def set_timer(self, connection, moment, callback):
        """Sets the one timer of a connection; replaces an earlier one."""
        connection.timer = (moment, callback)
        self._enqueue(connection)

    def _enqueue(self, connection):
        # Usually there is one entry per connection. With one entry per response, the heap would
        # contain the timers of a whole minute.
        moment = connection.timer[0]
        if connection.timer_queued_at is None or moment < connection.timer_queued_at:
            connection.timer_queued_at = moment
            self.schedule(moment, self._connection_timer_fired, (connection, moment))

    def _connection_timer_fired(self, entry):
        connection, moment = entry
        if connection.timer_queued_at != moment:
            return  # An earlier entry has replaced it; if renewed, both would stay for ever.
        connection.timer_queued_at = None
        if connection.timer is None or connection.state is CLOSED:
            return
        if connection.timer[0] > self.step.now:
            return self._enqueue(connection)
        callback, connection.timer = connection.timer[1], None
        callback(connection)

    def run_due(self):
        """Runs the callbacks that are due; returns whether there were any."""
        if not self.heap or self.heap[0][0] > self.step.now:
            return False
        while self.heap and self.heap[0][0] <= self.step.now:
            _, _, callback, argument = heappop(self.heap)
            callback(argument)
        return True
