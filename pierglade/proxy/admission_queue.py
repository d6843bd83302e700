"""Where downstream greenlets wait once a turn of the event loop has taken long enough.

Without it a turn lasts as long as all that has arrived takes: with thousands of clients a fifth of
a second, in which no upstream response is read. Those that wait are resumed in fair order, before
the next poll.
"""

from time import monotonic_ns

import gevent

from pierglade.admission.fair_queue import FairQueue
from pierglade.proxy.event_loop import Clock, EventLoopMonitor

# 25 ms in tenths of a ms; that a turn spends on clients before the others wait. Shorter turns cost
# more: with 10 ms, 64 clients that send at once cost a sixth more a response.
TURN = 250
TURN_NS = TURN * 100000
OVER = 3  # times that; in a turn so long even load shedding stops


class AdmissionQueue:
    """Greenlets of known clients go first; within each group the order is that of FairQueue."""

    def __init__(self, clock: Clock, monitor: EventLoopMonitor):
        self.clock, self.monitor = clock, monitor
        self.known, self.strangers, self.called = FairQueue(), FairQueue(), False
        self.hub = gevent.get_hub()

    def full(self) -> bool:
        """Whether a greenlet that has read something now has to wait."""
        return self.called or monotonic_ns() - self.monitor.ended > TURN_NS

    def over(self) -> bool:
        """Whether not even rejections are made in this turn."""
        return monotonic_ns() - self.monitor.ended > OVER * TURN_NS

    def wait(self, address: str, size: int, known: bool = False):
        """Blocks until it is this greenlet's turn; `size`: bytes that it has read."""
        fair = self.known if known else self.strangers
        fair.put(self.clock.now(), address, size, gevent.getcurrent())
        if not self.called:
            self.called = True
            self.hub.loop.run_callback(self._call)
        self.hub.switch()

    def _call(self):
        until = self.clock.now() + TURN
        known, strangers = self.known, self.strangers
        while (known.count or strangers.count) and (now := self.clock.now()) < until:
            (known if known.count else strangers).take(now).switch()
        self.called = bool(known.count or strangers.count)
        if self.called:
            self.hub.loop.run_callback(self._call)
