"""Since when a client may have sent the whole of the request that is being read.

A request's time counts from its last byte. That byte may be in the buffers of both kernels long
before it is read, if reading was paused because a backend takes the body slowly.
"""

from collections.abc import Callable

from pierglade.proxy.event_loop import EventLoopMonitor
from pierglade.proxy.http.body_stream import BodyStream

# Ticks (50 ms). Time in which the client's kernel sends what it has once this side reads again.
MAX_SEND_DELAY = 500


class RequestArrival:
    """Notes when nothing was left to read: the client was not done then.

    After a pause, what the client has sent may still be in its own kernel when the buffer of this
    side is empty for a moment. `now` returns the time in ticks.
    """

    __slots__ = ("incomplete_at", "monitor", "now", "open_since", "polled_ns", "window_open_since")

    def __init__(self, monitor: EventLoopMonitor, now: Callable[[], int]):
        self.monitor, self.now = monitor, now
        self.incomplete_at = monitor.arrived_at
        """When the client had certainly not sent all of its current request (ticks)."""
        # Since when the client's kernel could send all that it had (ticks). None: reading was
        # paused, and what came meanwhile is not read yet.
        self.window_open_since = 0
        self.open_since = self.polled_ns = 0  # of the read in progress

    def reading_paused(self):
        """Records that nothing is read for now."""
        self.window_open_since = None

    def read_begins(self, body: BodyStream | None):
        """Records that a read begins; `body`: the one that it is for, if that is streamed."""
        self.polled_ns = self.monitor.poll_ended_ns
        self.open_since = self.now() if self.window_open_since is None else self.window_open_since
        if body is not None:
            body.awaited_from = self.open_since + MAX_SEND_DELAY

    def read_ended(self, body: BodyStream | None, begins_request: bool):
        """Records the end of a read; `begins_request`: no bytes of its request came before."""
        if body is not None:
            body.awaited_from = None
        arrived_at = self.monitor.arrived_at
        if self.monitor.poll_ended_ns != self.polled_ns:  # The read has waited.
            self.window_open_since = self.open_since
            if arrived_at >= self.open_since + MAX_SEND_DELAY:
                self.incomplete_at = arrived_at
        elif begins_request:
            self.incomplete_at = arrived_at
