"""The clock (tenths of a millisecond of Unix time), the one timer, and the event loop's turns."""

import time
from collections.abc import Callable, Generator

import gevent

BETWEEN = (
    0.004  # s; between two steps of long work, ten times one step: few requests are delayed by it
)
PER_SECOND = 10000  # tenths of a millisecond
# ns; in a shorter turn the poll itself does not take long, and measuring costs
LONG_TURN = 3000000
WAITED = 150000  # ns; a poll that slept for less found events at once


def in_steps(work: object, between: float = BETWEEN) -> object:
    """Returns the result of `work`; a generator is run, with `between` s after each step."""
    if not isinstance(work, Generator):
        return work
    while True:
        try:
            next(work)
        except StopIteration as over:
            return over.value
        gevent.sleep(between)


class Clock:
    """Unix time that never steps."""

    def __init__(self):
        # Set once: a step of the system clock must not move the deadlines of pending requests.
        self.ahead = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        """Returns the time in tenths of a millisecond."""
        return (time.monotonic_ns() + self.ahead) // 100000


class EventLoopMonitor:
    """Follows the turns of the event loop.

    `came`: when what is read in this turn is likely to have arrived; `idle`: when the loop last
    waited.

    A loop that waited sees an event at once. One that did not has worked through its last turn,
    during which the event arrived. After a long turn, the thread's CPU time shows whether it
    waited: with thousands of connections the poll itself takes long, as it registers its watchers.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.began = self.came = self.idle = clock.now()
        self.polled = time.monotonic_ns()
        self.used = None  # CPU time in ns before the poll, after a long turn
        self.ended = self.polled  # when the last poll ended
        loop = gevent.get_hub().loop
        self.watchers = loop.prepare(ref=False), loop.check(ref=False)
        for watcher, call in zip(self.watchers, (self._before_poll, self._after_poll), strict=True):
            watcher.start(call)

    def _before_poll(self):
        self.polled = time.monotonic_ns()
        self.used = time.thread_time_ns() if self.polled - self.ended > LONG_TURN else None

    def _after_poll(self):
        now = self.clock.now()
        self.ended = time.monotonic_ns()
        worked = 0 if self.used is None else time.thread_time_ns() - self.used
        if self.ended - self.polled - worked > WAITED:
            self.came = self.idle = now
        else:
            self.came = (self.began + now) // 2
        self.began = now


class Timer:
    """Calls back at the last moment that was set, in a greenlet of its own, with the lag.

    Postponing does not move the loop's timer, which finds out when it fires: nearly every event
    postpones it, and few moments are reached.
    """

    def __init__(self, clock: Clock, call: Callable[[int], None]):
        self.clock, self.call = clock, call
        self.moment = self.fires_at = None
        self.timer = None

    def set(self, moment: int | None):
        """Sets the moment, in tenths of a millisecond; None: there is none."""
        self.moment = moment
        if moment is None or (self.fires_at is not None and self.fires_at <= moment):
            return
        if self.timer is not None:
            self.timer.close()
        self.fires_at = moment
        self.timer = gevent.get_hub().loop.timer(max(0, moment - self.clock.now()) / PER_SECOND)
        self.timer.start(self._fire)

    def _fire(self):
        moment, self.moment, self.fires_at = self.moment, None, None
        if moment is None:
            return
        lag = self.clock.now() - moment
        if lag < 0:
            self.set(moment)
        else:
            gevent.spawn(self.call, lag)
