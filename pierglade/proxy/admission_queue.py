"""The queue in which downstream greenlets wait once an iteration of the event loop takes too long.

Without the queue, an iteration lasts until everything that has arrived is handled: a fifth of a
second with thousands of clients, in which no upstream response is read. Waiting greenlets are
resumed in fair order, before the next poll.
"""

from time import monotonic_ns

import gevent

from pierglade.admission.fair_queue import FairQueue
from pierglade.proxy.event_loop import Clock, EventLoopMonitor

# Ticks (25 ms). Time that an iteration of the event loop may spend on clients; after it, further
# greenlets wait. Shorter iterations cost more CPU time: with 10 ms, 64 clients that send at
# once need a sixth more CPU time per response.
MAX_TURN_TICKS = 250
MAX_TURN_NS = MAX_TURN_TICKS * 100000
OVERLOAD_FACTOR = 3  # multiple of MAX_TURN_TICKS; after that, even rejections have to wait


class AdmissionQueue:
    """Queues greenlets: those of known clients go first, each group in the order of FairQueue."""

    def __init__(self, clock: Clock, monitor: EventLoopMonitor):
        self.clock, self.monitor = clock, monitor
        self.known, self.unknown, self.is_scheduled = FairQueue(), FairQueue(), False
        self.hub = gevent.get_hub()

    def full(self) -> bool:
        """Returns whether a greenlet that has read something now must wait."""
        return self.is_scheduled or monotonic_ns() - self.monitor.poll_ended_ns > MAX_TURN_NS

    def is_overloaded(self) -> bool:
        """Returns whether this iteration is too long even for sending rejections."""
        return monotonic_ns() - self.monitor.poll_ended_ns > OVERLOAD_FACTOR * MAX_TURN_NS

    def wait(self, address: str, size: int, known: bool = False):
        """Blocks until this greenlet is resumed; `size`: bytes that it has read."""
        queue = self.known if known else self.unknown
        queue.put(self.clock.now(), address, size, gevent.getcurrent())
        if not self.is_scheduled:
            self.is_scheduled = True
            self.hub.loop.run_callback(self._resume_waiting)
        self.hub.switch()

    def _resume_waiting(self):
        deadline = self.clock.now() + MAX_TURN_TICKS
        known, unknown = self.known, self.unknown
        while (known.count or unknown.count) and (now := self.clock.now()) < deadline:
            (known if known.count else unknown).take(now).switch()
        self.is_scheduled = bool(known.count or unknown.count)
        if self.is_scheduled:
            self.hub.loop.run_callback(self._resume_waiting)
