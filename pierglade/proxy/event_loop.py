"""The node's clock: whole tenths of a millisecond of Unix time, and the one timer for what is due."""

import time
from collections.abc import Generator

import gevent

BETWEEN = (
    0.004  # s; between two steps of a long work, ten times one: few requests meet it on their way
)
PER_SECOND = 10000  # tenths of a millisecond
LONG = (
    3000000  # ns; a shorter turn had too little in it for the poll to work long, and the look costs
)
WAITED = 150000  # ns; a poll that slept for less found something at once


def in_steps(work, between=BETWEEN):
    """What comes out of a work; of one in steps, with so many s for all else between them."""
    if not isinstance(work, Generator):
        return work
    while True:
        try:
            next(work)
        except StopIteration as over:
            return over.value
        gevent.sleep(between)


class Clock:
    def __init__(self):
        # Set once: a step of the system's clock must not move the limits of what is out.
        self.ahead = time.time_ns() - time.monotonic_ns()

    def now(self):
        return (time.monotonic_ns() + self.ahead) // 100000


class Turns:
    """Follows the loop's turns: `came` is when what is read in this one is likely to have come, `idle` when
    the loop last had to wait.

    A loop that had to wait is told at once. One that did not has worked through its last turn meanwhile, and
    what it finds has come in the course of that. After a long turn, whether it waited is told by its
    processor
    time: with thousands of connections the poll works for long itself, as it sets up what it looks at.
    """

    def __init__(self, clock):
        self.clock = clock
        self.began = self.came = self.idle = clock.now()
        self.asked = time.monotonic_ns()
        self.used = None  # processor time in ns as it asked, after a long turn
        self.ended = self.asked  # when the last poll did
        loop = gevent.get_hub().loop
        self.watchers = loop.prepare(ref=False), loop.check(ref=False)
        for watcher, call in zip(self.watchers, (self._asks, self._begins)):
            watcher.start(call)

    def _asks(self):
        self.asked = time.monotonic_ns()
        self.used = time.thread_time_ns() if self.asked - self.ended > LONG else None

    def _begins(self):
        now = self.clock.now()
        self.ended = time.monotonic_ns()
        worked = 0 if self.used is None else time.thread_time_ns() - self.used
        if self.ended - self.asked - worked > WAITED:
            self.came = self.idle = now
        else:
            self.came = (self.began + now) // 2
        self.began = now


class Timer:
    """Calls back at the last moment that was set, in a greenlet of its own, with how late that is.

    A moment that is put off does not move the loop's timer, which finds that out when it rings: it is put
    off with nearly every event, and few of them are reached.
    """

    def __init__(self, clock, call):
        self.clock, self.call = clock, call
        self.moment = self.rings = None
        self.timer = None

    def set(self, moment):
        self.moment = moment
        if moment is None or self.rings is not None and self.rings <= moment:
            return
        if self.timer is not None:
            self.timer.close()
        self.rings = moment
        self.timer = gevent.get_hub().loop.timer(max(0, moment - self.clock.now()) / PER_SECOND)
        self.timer.start(self._ring)

    def _ring(self):
        moment, self.moment, self.rings = self.moment, None, None
        if moment is None:
            return
        late = self.clock.now() - moment
        if late < 0:
            self.set(moment)
        else:
            gevent.spawn(self.call, late)
