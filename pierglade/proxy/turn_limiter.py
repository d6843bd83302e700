"""Bounds the time that busy connections take in one iteration of the event loop.

A client that sends at full speed always has input to handle. If that was handled as it arrives, the
input of all others would wait for it in each iteration. A connection that used more than its share
waits its turn here; all of these together get one slice of each iteration, or all of the time that
others leave. So do streamed bodies: each of hundreds may be within its share, but not all of them.
"""

from collections import deque
from time import monotonic_ns

import gevent

from pierglade.proxy.event_loop import EventLoopMonitor

SLICE_NS = 2000000  # 2 ms
# Fraction of the CPU time that a connection may use without waiting: some hundred requests/s.
FREE_SHARE = 0.05
MAX_DEBT_NS = 1000000  # 1 ms; use beyond FREE_SHARE after which a connection waits


class CpuUse:
    """The CPU time that the input of one connection took lately, beyond its free share."""

    __slots__ = ("debt_ns", "updated_ns")

    def __init__(self):
        self.debt_ns, self.updated_ns = 0, monotonic_ns()

    def add(self, began_ns: int):
        """Adds the time since `began_ns`."""
        now_ns = monotonic_ns()
        paid_ns = int(FREE_SHARE * (now_ns - self.updated_ns))
        self.debt_ns = max(0, self.debt_ns - paid_ns) + now_ns - began_ns
        self.updated_ns = now_ns

    def is_over_share(self) -> bool:
        """Returns whether the connection has to wait before its next input is handled."""
        return self.debt_ns > MAX_DEBT_NS + FREE_SHARE * (monotonic_ns() - self.updated_ns)


class TurnLimiter:
    """Queues the greenlets of busy connections; each iteration resumes some, in their order."""

    def __init__(self, loop_monitor: EventLoopMonitor):
        self.hub, self.loop_monitor = gevent.get_hub(), loop_monitor
        self.waiting, self.timer = deque(), None

    def wait_if_busy(self):
        """Blocks the current greenlet until its turn, if others wait or the iteration is long."""
        lasted_ns = monotonic_ns() - self.loop_monitor.poll_ended_ns
        if self.waiting or lasted_ns > SLICE_NS:
            self.wait()

    def wait(self):
        """Blocks the current greenlet until its turn."""
        self.waiting.append(gevent.getcurrent())
        self._schedule()
        self.hub.switch()

    def _schedule(self):
        # A timer, as callbacks may run several times before the loop polls again.
        if self.timer is None:
            self.timer = self.hub.loop.timer(0)
            self.timer.start(self._resume)

    def _resume(self):
        self.timer.close()
        self.timer = None
        ends_ns = monotonic_ns() + SLICE_NS
        for _ in range(len(self.waiting)):
            self.waiting.popleft().switch()
            if monotonic_ns() >= ends_ns:
                break
        if self.waiting:
            self._schedule()
