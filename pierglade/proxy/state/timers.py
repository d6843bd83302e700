"""When something is due: a heap of moments, and one timer a connection."""

from heapq import heappop, heappush

from pierglade.proxy.state.connections import (
    CLOSED,
)


class Timers:
    """What is to be done at a later moment."""

    def __init__(self, step):
        self.step = step
        self.heap = []  # (moment, sequence, callback, its argument)
        self._sequence = 0  # keeps timers of one moment in the order in which they were set

    def at(self, moment, call, subject):
        """Calls `call(subject)` at that moment, or in the first step after it."""
        self._sequence += 1
        heappush(self.heap, (moment, self._sequence, call, subject))

    def set_timer(self, connection, moment, call):
        """A connection has one thing due at a time; a later one takes its place."""
        connection.due = (moment, call)
        self._enqueue(connection)

    def _enqueue(self, connection):
        # Seldom more than one entry each: with one for every response the heap would hold a
        # minute's worth.
        moment = connection.due[0]
        if connection.queued is None or moment < connection.queued:
            connection.queued = moment
            self.at(moment, self._connection_timer_fired, (connection, moment))

    def _connection_timer_fired(self, queued):
        connection, moment = queued
        if connection.queued != moment:
            return  # An earlier one has taken its place; followed up, both would live on for ever.
        connection.queued = None
        if connection.due is None or connection.state is CLOSED:
            return
        if connection.due[0] > self.step.now:
            return self._enqueue(connection)
        call, connection.due = connection.due[1], None
        call(connection)

    def run_due(self):
        """Whether anything was due."""
        if not self.heap or self.heap[0][0] > self.step.now:
            return False
        while self.heap and self.heap[0][0] <= self.step.now:
            _, _, call, subject = heappop(self.heap)
            call(subject)
        return True
