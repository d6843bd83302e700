"""The clock (ticks of Unix time), the wakeup timer, and measurements of the event loop.

A tick is a tenth of a millisecond. A turn is one iteration of the event loop.
"""

import time
from collections.abc import Callable, Generator

import gevent

# Pause between two steps of long work: ten times the duration of a step, so that the work delays
# few requests.
STEP_PAUSE_S = 0.004
TICKS_PER_SECOND = 10000
# The CPU time of the poll is measured only after a turn of this length: after a shorter turn the
# poll is fast, and measuring takes time itself.
LONG_TURN_NS = 3000000
MIN_WAIT_NS = 150000  # a poll that slept for less time found an event waiting
HEARTBEAT_S = 0.1  # between two times at which a poll ends for certain
HEARTBEAT_TICKS = 1000  # the same in ticks
# Ticks (30 ms). A poll that ends so long after a heartbeat was due shows that the process was not
# run meanwhile.
MAX_HEARTBEAT_LAG = 300
# Ticks (50 ms). Time after that in which polls return what arrived meanwhile, until one waits.
MAX_BACKLOG_TICKS = 500
# 100 ms; a turn of that length does not write requests, as it may not know of a drain or a deadline
MAX_TURN_BEFORE_SEND_NS = 100000000
MIN_WAIT_AFTER_STANDSTILL_NS = 1000000  # 1 ms; caches are cold, and a poll takes longer


def run_in_steps(work: object, pause_s: float = STEP_PAUSE_S) -> object:
    """Returns the result of `work`; a generator is run, pausing for `pause_s` after each step."""
    if not isinstance(work, Generator):
        return work
    while True:
        try:
            next(work)
        except StopIteration as stop:
            return stop.value
        gevent.sleep(pause_s)


class Clock:
    """Unix time that follows the monotonic clock, and therefore never jumps."""

    def __init__(self):
        # Computed once, so that a jump of the system clock does not move the deadlines of pending
        # requests.
        self.unix_offset_ns = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        """Returns the time in ticks."""
        return (time.monotonic_ns() + self.unix_offset_ns) // 100000


class EventLoopMonitor:
    """Measures the turns of the event loop.

    `arrived_at`: when the data that is read in this turn is likely to have arrived; `idle_at`: when
    the loop last waited for events.

    If the loop waited in the poll, it reads an event as soon as it arrives. If it did not wait, it
    was busy for its whole last turn, and the event arrived during that turn. After a long turn, the
    thread's CPU time shows whether the poll waited: with thousands of connections the poll itself
    takes long, as it registers its watchers.

    If the process is stopped or gets no CPU time while it waits, data arrives unnoticed. This shows
    in a heartbeat that is overdue when the poll ends.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.turn_began_at = self.arrived_at = self.idle_at = clock.now()
        self.poll_began_ns = time.monotonic_ns()
        # CPU time of the thread before the poll; set after a long turn.
        self.cpu_before_poll_ns = None
        self.poll_ended_ns = self.poll_began_ns  # end of the last poll
        self.heartbeat_due_at = clock.now() + HEARTBEAT_TICKS
        self.resumed_at = 0  # end of the last poll during which the process was not run
        loop = gevent.get_hub().loop
        self.watchers = (
            loop.prepare(ref=False),
            loop.check(ref=False, priority=loop.MAXPRI),
            loop.timer(HEARTBEAT_S, HEARTBEAT_S, ref=False),
        )
        for watcher, callback in zip(
            self.watchers, (self._before_poll, self._after_poll, self._beat), strict=True
        ):
            watcher.start(callback)

    def was_held_up(self) -> bool:
        """Returns whether this turn has lasted so long that what it knows may be outdated."""
        return time.monotonic_ns() - self.poll_ended_ns > MAX_TURN_BEFORE_SEND_NS

    def _beat(self):
        self.heartbeat_due_at = self.clock.now() + HEARTBEAT_TICKS

    def _before_poll(self):
        self.poll_began_ns = time.monotonic_ns()
        self.cpu_before_poll_ns = (
            time.thread_time_ns()
            if self.poll_began_ns - self.poll_ended_ns > LONG_TURN_NS
            else None
        )

    def _after_poll(self):
        now = self.clock.now()
        self.poll_ended_ns = time.monotonic_ns()
        poll_cpu_ns = (
            0
            if self.cpu_before_poll_ns is None
            else time.thread_time_ns() - self.cpu_before_poll_ns
        )
        waited_ns = self.poll_ended_ns - self.poll_began_ns - poll_cpu_ns
        self._estimate_arrival(now, waited_ns)
        self.turn_began_at = now

    def _estimate_arrival(self, now, waited_ns):
        if waited_ns > MIN_WAIT_NS:
            self.idle_at = now
            if now > self.heartbeat_due_at + MAX_HEARTBEAT_LAG:
                self.arrived_at, self.resumed_at = self.heartbeat_due_at, now
                return
        if now <= self.resumed_at + MAX_BACKLOG_TICKS and waited_ns < MIN_WAIT_AFTER_STANDSTILL_NS:
            return  # What arrived during the standstill is still being read.
        self.arrived_at = now if waited_ns > MIN_WAIT_NS else (self.turn_began_at + now) // 2


class Timer:
    """Calls back at the time that was set last, in a greenlet of its own, with the lag in ticks.

    When a call is postponed, the loop's timer stays as it is, and is started again if it fires too
    early. This saves restarts, as nearly every event postpones the wakeup and few are reached.
    """

    def __init__(self, clock: Clock, callback: Callable[[int], None]):
        self.clock, self.callback = clock, callback
        self.due_at = self.fires_at = None
        self.timer = None

    def set(self, due_at: int | None):
        """Sets the time of the next call, in ticks; None cancels the call."""
        self.due_at = due_at
        if due_at is None or (self.fires_at is not None and self.fires_at <= due_at):
            return
        if self.timer is not None:
            self.timer.close()
        self.fires_at = due_at
        self.timer = gevent.get_hub().loop.timer(
            max(0, due_at - self.clock.now()) / TICKS_PER_SECOND
        )
        self.timer.start(self._fire)

    def _fire(self):
        due_at, self.due_at, self.fires_at = self.due_at, None, None
        if due_at is None:
            return
        lag = self.clock.now() - due_at
        if lag < 0:
            self.set(due_at)
        else:
            gevent.spawn(self.callback, lag)
