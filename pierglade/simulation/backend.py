"""A backend in virtual time: cores, a queue, overdrive and rest, pauses, a cold start.

Work is in tenths of a millisecond on one core of speed 1. One that is overdriven turns slower until it has
been mostly idle for a while; a cold one that is sent too much falls over and stays down.
"""

from collections import deque
from math import sqrt

from pierglade.model.outcome import Outcome

LOOK = 1000.0  # 100 ms; how often overdrive and cold starts are judged, a tenth of what they span
KEPT_LOOKS = 50  # looks; covers five seconds, more than any span that is judged
WAIT_FOR_EVER = 1 << 60  # a queue without a bound


class Job:
    """One trip at a backend. `ended(outcome)` is called once, when the answer leaves."""

    __slots__ = ("work", "wait", "left", "begun", "turn", "state", "ended")

    def __init__(self, work, wait, ended):
        self.work, self.wait, self.ended = work, wait, ended
        self.left = work  # of the work
        self.begun = 0.0  # when `left` was last true
        self.turn = 0  # counts reckonings, so that an end that was planned before the last is void
        self.state = None  # "waiting", "running", or None once it is over


class Backend:
    def __init__(self, clock, name, kind, fleet):
        self.clock, self.name, self.kind, self.fleet = clock, name, kind, fleet
        self.cores = kind.cores or WAIT_FOR_EVER
        self.bound = WAIT_FOR_EVER if kind.queue < 0 else kind.queue
        self.running, self.waiting = {}, deque()
        self.slowed = 1.0  # times slower, by what the plan's changes say
        self.tipped_at = None  # overdriven since
        self.paused = self.down = self.hanging = False
        self.failing = 0  # one of so many answers is an error, none at 0
        self.started = None  # a cold start's moment; None: long ago
        self.handled = 0  # answers of any kind, for failing and pauses
        self.tips = self.falls = self.ran = 0
        self.work_done = 0.0
        # For each look: (those running or waiting beyond what it bears, share of cores busy, work arrived).
        self.looks = deque(maxlen=KEPT_LOOKS)
        self.seen_at, self.inside, self.busy, self.arrived = 0.0, 0.0, 0.0, 0.0
        self.judged = fleet.overdrive is not None or kind.cold_from < 1
        if self.judged:
            clock.after(LOOK, self._look)
        if fleet.pause is not None:
            clock.after(fleet.pause.every_s * 10000.0, self._pause)

    def speed(self):
        """Of one core, now."""
        if self.paused or self.hanging:
            return 0.0
        speed = self.kind.speed / self.slowed
        if self.tipped_at is not None:
            speed /= self.fleet.overdrive.slower
        return speed * self._warmth()

    def _warmth(self):
        if self.started is None:
            return 1.0
        age = (self.clock.now - self.started) / (self.kind.cold_for_s * 10000.0)
        return min(1.0, self.kind.cold_from + (1 - self.kind.cold_from) * age)

    def room(self):
        """How many it works on at once; the bound that no policy knows."""
        return 0 if self.down or self.hanging else self.cores

    def inflight(self):
        return len(self.running) + len(self.waiting)

    def backlog(self):
        """When a new job would be begun, in tenths of a millisecond of this backend's own pace."""
        if len(self.running) < self.cores:
            return 0.0
        pace = max(1e-9, self.speed()) * self.cores
        return (
            sum(job.left for job in self.running) + sum(job.work for job in self.waiting)
        ) / pace

    # What comes in.

    def offer(self, job):
        """A trip has arrived."""
        self._count()
        if self.down:
            job.ended(Outcome.CONNECT_FAILED)
            return
        self.arrived += job.work
        if len(self.running) < self.cores and not self.waiting:
            self._start(job)
        elif len(self.waiting) < self.bound:
            job.state = "waiting"
            self.waiting.append(job)
        else:
            job.ended(Outcome.REJECTED_UNPROCESSED)

    def drop(self, job):
        """Nobody waits for it any more: what waits goes, what runs goes on."""
        if job.state == "waiting" and self.fleet.drops_waiting:
            self._count()
            self.waiting.remove(job)
            job.state = None

    def _start(self, job):
        job.state, job.begun = "running", self.clock.now
        self.running[job] = None
        if self.kind.contention:
            job.left = job.work * (1 + self.kind.contention * (len(self.running) - 1))
        self._plan(job)

    def _plan(self, job):
        job.turn += 1
        speed = self.speed()
        if speed > 0:
            self.clock.after(job.left / speed, self._done, job, job.turn)

    def _done(self, job, turn):
        if turn != job.turn or job.state != "running":
            return
        self._count()
        del self.running[job]
        job.state = None
        self.handled += 1
        self.work_done += job.work
        while self.waiting and len(self.running) < self.cores:
            self._start(self.waiting.popleft())
        if self.failing and self.handled % self.failing == 0:
            job.ended(Outcome.SERVER_ERROR)
            return
        self.ran += 1
        if job.wait:
            self.clock.after(job.wait, job.ended, Outcome.SUCCESS)
        else:
            job.ended(Outcome.SUCCESS)

    # What changes its pace.

    def change(self, apply):
        """Runs `apply()`, which may alter the pace; what runs is reckoned anew."""
        self._count()
        before, now = self.speed(), self.clock.now
        apply()
        for job in self.running:
            job.left = max(0.0, job.left - (now - job.begun) * before)
            job.begun = now
            self._plan(job)
        while self.waiting and len(self.running) < self.cores and not self.down:
            self._start(self.waiting.popleft())

    def crash(self):
        """The process dies: all trips in it break, and new ones find nobody."""
        self._count()
        lost = [*self.running, *self.waiting]
        self.running.clear()
        self.waiting.clear()
        self.down = True
        for job in lost:
            job.state = None
            job.ended(Outcome.CONNECTION_RESET)

    def restart(self):
        self._count()
        self.down, self.tipped_at, self.looks = False, None, deque(maxlen=KEPT_LOOKS)
        self.started = self.clock.now if self.kind.cold_from < 1 else None

    def _pause(self):
        def stand(still):
            self.paused = still

        pause = self.fleet.pause
        self.change(lambda: stand(True))
        self.clock.after(pause.for_ms * 10.0, self.change, lambda: stand(False))
        self.clock.after(pause.every_s * 10000.0, self._pause)

    # Overdrive and cold starts.

    def _count(self):
        if not self.judged:
            return
        span = self.clock.now - self.seen_at
        self.inside += self.inflight() * span
        self.busy += min(1.0, len(self.running) / self.cores) * span
        self.seen_at = self.clock.now

    def _mean(self, span_s, which):
        count = max(1, round(span_s * 10000.0 / LOOK))
        looks = list(self.looks)[-count:]
        return sum(look[which] for look in looks) / count if len(looks) == count else None

    def _look(self):
        self._count()
        at = self.fleet.overdrive.at if self.fleet.overdrive else 0.0
        beyond = self.inside / LOOK - self.cores - at * sqrt(self.cores)
        self.looks.append((beyond, self.busy / LOOK, self.arrived))
        self.inside = self.busy = self.arrived = 0.0
        self.clock.after(LOOK, self._look)
        if self.started is not None:
            self._look_cold()
        if self.fleet.overdrive is not None and not self.down:
            self._look_driven()
        if self.started is not None:
            self.change(lambda: None)  # it has grown warmer

    def _look_driven(self):
        drive, now = self.fleet.overdrive, self.clock.now
        if self.tipped_at is None:
            beyond = self._mean(drive.over_s, 0)
            if beyond is not None and beyond > 0:
                self.tips += 1

                def tip():
                    self.tipped_at = now

                self.change(tip)
            return
        busy = self._mean(drive.rest_s, 1)
        rested = (
            now - self.tipped_at >= drive.rest_s * 10000.0
            and busy is not None
            and busy < drive.below
        )
        if rested or now - self.tipped_at >= drive.most_s * 10000.0:

            def rest():
                self.tipped_at = None
                self.looks.clear()

            self.change(rest)

    def _look_cold(self):
        kind = self.kind
        if self.clock.now - self.started >= kind.cold_for_s * 10000.0:
            self.change(self._warm)
            return
        count = max(1, round(kind.tip_s * 10000.0 / LOOK))
        sent = sum(look[2] for look in list(self.looks)[-count:])
        able = kind.tip_multiple * self._warmth() * self.cores * kind.speed * kind.tip_s * 10000.0
        if sent > able and not self.down:
            self.falls += 1
            self.crash()

    def _warm(self):
        self.started = None
