"""A backend in virtual time: cores, a queue, overload and rest, pauses, slow start.

Work is in ticks on one core of speed 1. A backend that is overloaded turns slower until it has been
mostly idle for a while; one in slow start that is sent too much collapses and stays down.
"""

from collections import deque
from collections.abc import Callable
from enum import Enum
from math import sqrt
from typing import NamedTuple

from pierglade.model.outcome import Outcome
from pierglade.simulation.clock import MS, SECOND

SAMPLE_INTERVAL = 1000.0
"""100 ms; how often overload and slow start are judged, a tenth of what they span."""
MAX_SAMPLES = 50
"""Samples; covers five seconds, more than any span that is judged."""
UNBOUNDED = 1 << 60
"""Cores or places in a queue without a bound."""


class JobState(Enum):
    """Where a job is in its backend."""

    WAITING = "waiting"
    RUNNING = "running"


class Job:
    """One attempt at a backend. `ended(outcome)` is called once, when the answer leaves."""

    __slots__ = ("begun_at", "ended", "io_wait", "plan_number", "remaining", "state", "work")

    def __init__(self, work: float, io_wait: float, ended: Callable[[Outcome], None]):
        self.work, self.io_wait, self.ended = work, io_wait, ended
        self.remaining = work
        self.begun_at = 0.0  # when `remaining` was last true
        self.plan_number = 0  # an end that was planned before the last plan is void
        self.state: JobState | None = None  # None before it is begun and once it is over


class LoadSample(NamedTuple):
    """What one sample interval saw of a backend."""

    excess: float
    """Jobs running or waiting beyond what it bears."""
    utilization: float
    arrived_work: float


class SimulatedBackend:
    """The model of one backend; `kind` and `fleet` are its tables of the plan."""

    def __init__(self, clock, name: str, kind, fleet):
        self.clock, self.name, self.kind, self.fleet = clock, name, kind, fleet
        self.cores = kind.cores or UNBOUNDED
        self.queue_bound = UNBOUNDED if kind.queue < 0 else kind.queue
        self.running: dict[Job, None] = {}
        self.waiting: deque[Job] = deque()
        self.slowdown = 1.0  # times slower, by the plan's changes
        self.overloaded_since: float | None = None
        self.is_paused = self.is_down = self.is_hanging = False
        self.error_interval = 0  # one of so many answers is an error, none at 0
        self.started_at: float | None = None  # of a process in slow start; None: long ago
        self.handled = 0  # answers of any kind
        self.overloads = self.collapses = self.executed = 0
        self._samples: deque[LoadSample] = deque(maxlen=MAX_SAMPLES)
        # Sums of the sample interval under way, up to `_summed_at`.
        self._summed_at = self._job_time = self._busy_time = self._arrived_work = 0.0
        self._is_sampled = fleet.overdrive is not None or kind.cold_from < 1
        if self._is_sampled:
            clock.after(SAMPLE_INTERVAL, self._sample)
        if fleet.pause is not None:
            clock.after(fleet.pause.every_s * SECOND, self._pause)

    # What can be seen of it.

    def speed(self) -> float:
        """Speed of one core, now."""
        if self.is_paused or self.is_hanging:
            return 0.0
        speed = self.kind.speed / self.slowdown
        if self.overloaded_since is not None:
            speed /= self.fleet.overdrive.slower
        return speed * self._warmth()

    def capacity(self) -> int:
        """How many jobs it works on at once."""
        return 0 if self.is_down or self.is_hanging else self.cores

    def in_flight(self) -> int:
        """Jobs that run or wait."""
        return len(self.running) + len(self.waiting)

    def is_responsive(self) -> bool:
        """Whether it answers a health check."""
        return not (self.is_down or self.is_hanging)

    def _warmth(self):
        """Share of its speed that it has in slow start."""
        if self.started_at is None:
            return 1.0
        age = (self.clock.now - self.started_at) / (self.kind.cold_for_s * SECOND)
        return min(1.0, self.kind.cold_from + (1 - self.kind.cold_from) * age)

    # Jobs.

    def offer(self, job: Job) -> None:
        """An attempt has arrived."""
        self._sum_up()
        if self.is_down:
            job.ended(Outcome.CONNECT_FAILED)
            return
        self._arrived_work += job.work
        if len(self.running) < self.cores and not self.waiting:
            self._start(job)
        elif len(self.waiting) < self.queue_bound:
            job.state = JobState.WAITING
            self.waiting.append(job)
        else:
            job.ended(Outcome.REJECTED_UNPROCESSED)

    def drop(self, job: Job) -> None:
        """Nobody waits for the job any more: one that waits goes, one that runs goes on."""
        if job.state is JobState.WAITING and self.fleet.drops_waiting:
            self._sum_up()
            self.waiting.remove(job)
            job.state = None

    def _start(self, job):
        job.state, job.begun_at = JobState.RUNNING, self.clock.now
        self.running[job] = None
        if self.kind.contention:
            others = len(self.running) - 1
            job.remaining = job.work * (1 + self.kind.contention * others)
        self._plan_end(job)

    def _plan_end(self, job):
        job.plan_number += 1
        speed = self.speed()
        if speed > 0:
            self.clock.after(job.remaining / speed, self._finish, job, job.plan_number)

    def _finish(self, job, plan_number):
        if plan_number != job.plan_number or job.state is not JobState.RUNNING:
            return
        self._sum_up()
        del self.running[job]
        job.state = None
        self.handled += 1
        while self.waiting and len(self.running) < self.cores:
            self._start(self.waiting.popleft())
        if self.error_interval and self.handled % self.error_interval == 0:
            job.ended(Outcome.SERVER_ERROR)
            return
        self.executed += 1
        if job.io_wait:
            self.clock.after(job.io_wait, job.ended, Outcome.SUCCESS)
        else:
            job.ended(Outcome.SUCCESS)

    # What changes its speed.

    def change(self, apply: Callable[[], None]) -> None:
        """Runs `apply()`, which may alter the speed, and plans the running jobs anew."""
        self._sum_up()
        speed_before, now = self.speed(), self.clock.now
        apply()
        for job in self.running:
            job.remaining = max(0.0, job.remaining - (now - job.begun_at) * speed_before)
            job.begun_at = now
            self._plan_end(job)
        while self.waiting and len(self.running) < self.cores and not self.is_down:
            self._start(self.waiting.popleft())

    def apply(self, change) -> None:
        """Carries out a change of the plan that is no start or end of the process."""
        self.change(lambda: self._alter(change))

    def _alter(self, change):
        if change.what == "slower":
            self.slowdown = change.times
        elif change.what == "cores":
            self.cores = max(1, round(self.kind.cores * change.times))
        elif change.what == "hang":
            self.is_hanging = True
        elif change.what == "errors":
            self.error_interval = max(1, round(change.times))
        elif change.what == "well":
            self.is_hanging, self.error_interval, self.slowdown = False, 0, 1.0

    def crash(self) -> None:
        """The process dies: all attempts in it break, and new ones find nobody."""
        self._sum_up()
        lost = [*self.running, *self.waiting]
        self.running.clear()
        self.waiting.clear()
        self.is_down = True
        for job in lost:
            job.state = None
            job.ended(Outcome.CONNECTION_RESET)

    def restart(self) -> None:
        """A new process, in slow start where its kind has one."""
        self._sum_up()
        self.is_down, self.overloaded_since = False, None
        self._samples = deque(maxlen=MAX_SAMPLES)
        self.started_at = self.clock.now if self.kind.cold_from < 1 else None

    def set_paused(self, is_paused: bool) -> None:
        """Stops all work, or lets it go on."""

        def _apply():
            self.is_paused = is_paused

        self.change(_apply)

    def _pause(self):
        pause = self.fleet.pause
        self.set_paused(True)
        self.clock.after(pause.for_ms * MS, self.set_paused, False)
        self.clock.after(pause.every_s * SECOND, self._pause)

    # Overload and slow start.

    def _sum_up(self):
        if not self._is_sampled:
            return
        span = self.clock.now - self._summed_at
        self._job_time += self.in_flight() * span
        self._busy_time += min(1.0, len(self.running) / self.cores) * span
        self._summed_at = self.clock.now

    def _recent_samples(self, span_s):
        """(the samples of the last `span_s`, how many there are when it is whole)."""
        count = max(1, round(span_s * SECOND / SAMPLE_INTERVAL))
        return list(self._samples)[-count:], count

    def _mean(self, span_s, figure):
        """The mean of a sample's figure over `span_s`; None until that has passed."""
        samples, count = self._recent_samples(span_s)
        if len(samples) != count:
            return None
        return sum(getattr(sample, figure) for sample in samples) / count

    def _sample(self):
        self._sum_up()
        threshold = self.fleet.overdrive.at if self.fleet.overdrive else 0.0
        excess = self._job_time / SAMPLE_INTERVAL - self.cores - threshold * sqrt(self.cores)
        utilization = self._busy_time / SAMPLE_INTERVAL
        self._samples.append(LoadSample(excess, utilization, self._arrived_work))
        self._job_time = self._busy_time = self._arrived_work = 0.0
        self.clock.after(SAMPLE_INTERVAL, self._sample)
        if self.started_at is not None:
            self._judge_slow_start()
        if self.fleet.overdrive is not None and not self.is_down:
            self._judge_overload()
        if self.started_at is not None:
            self.change(lambda: None)  # it has become faster

    def _judge_overload(self):
        overdrive, now = self.fleet.overdrive, self.clock.now
        if self.overloaded_since is None:
            excess = self._mean(overdrive.over_s, "excess")
            if excess is not None and excess > 0:
                self.overloads += 1
                self.change(self._begin_overload)
            return
        span = now - self.overloaded_since
        utilization = self._mean(overdrive.rest_s, "utilization")
        is_idle = utilization is not None and utilization < overdrive.below
        has_rested = span >= overdrive.rest_s * SECOND and is_idle
        if has_rested or span >= overdrive.most_s * SECOND:
            self.change(self._end_overload)

    def _begin_overload(self):
        self.overloaded_since = self.clock.now

    def _end_overload(self):
        self.overloaded_since = None
        self._samples.clear()

    def _judge_slow_start(self):
        kind = self.kind
        if self.clock.now - self.started_at >= kind.cold_for_s * SECOND:
            self.change(self._end_slow_start)
            return
        samples, _ = self._recent_samples(kind.tip_s)
        arrived = sum(sample.arrived_work for sample in samples)
        capacity = self._warmth() * self.cores * kind.speed * kind.tip_s * SECOND
        if arrived > kind.tip_multiple * capacity and not self.is_down:
            self.collapses += 1
            self.crash()

    def _end_slow_start(self):
        self.started_at = None
