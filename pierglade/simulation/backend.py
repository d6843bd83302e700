"""Model of a backend in virtual time: cores, queue, overload, pauses and slow start.

Work is in ticks on one core of speed 1. An overloaded backend runs slower until it has been mostly
idle for a while. A backend in slow start that receives too much work crashes and stays down.
"""

from collections import deque
from collections.abc import Callable
from enum import Enum
from math import sqrt
from typing import NamedTuple

from pierglade.model.outcome import Outcome
from pierglade.simulation.clock import MS, SECOND

SAMPLE_INTERVAL_TICKS = 1000.0
"""Ticks (100 ms). Period of the overload and slow-start checks, a tenth of the spans averaged."""
MAX_SAMPLES = 50
"""Samples retained: five seconds, longer than any span that is averaged."""
UNBOUNDED = 1 << 60
"""Stands for the number of cores or queue places of a backend that has no limit."""


class JobState(Enum):
    """State of a job inside its backend."""

    WAITING = "waiting"
    RUNNING = "running"


class Job:
    """One attempt at a backend.

    `end_callback(outcome)` is called once, when the response leaves the backend.
    """

    __slots__ = (
        "accounted_at",
        "end_callback",
        "io_wait",
        "remaining",
        "schedule_number",
        "state",
        "work",
    )

    def __init__(self, work: float, io_wait: float, end_callback: Callable[[Outcome], None]):
        self.work, self.io_wait, self.end_callback = work, io_wait, end_callback
        self.remaining = work
        self.accounted_at = 0.0  # when `remaining` was last updated
        self.schedule_number = 0  # increases with each schedule; earlier completions are ignored
        self.state: JobState | None = None  # None before it is accepted and after its end


class LoadSample(NamedTuple):
    """Measurements of a backend over one sample interval."""

    excess: float
    """Mean number of jobs, running or waiting, above the overload threshold."""
    utilization: float
    arrived_work: float


class SimulatedBackend:
    """Model of one backend; `kind` and `fleet` are its tables of the plan."""

    def __init__(self, clock, name: str, kind, fleet):
        self.clock, self.name, self.kind, self.fleet = clock, name, kind, fleet
        self.cores = kind.cores or UNBOUNDED
        self.queue_bound = UNBOUNDED if kind.queue < 0 else kind.queue
        self.running: dict[Job, None] = {}
        self.waiting: deque[Job] = deque()
        self.slowdown = 1.0  # divisor of the speed, set by changes of the plan
        self.overloaded_since: float | None = None
        self.is_paused = self.is_down = self.is_hanging = False
        self.error_interval = 0  # every n-th response is an error; 0: none
        self.started_at: float | None = None  # start of the process; None after slow start
        self.handled = 0  # completed jobs, including those answered with an error
        self.overloads = self.collapses = self.executed = 0
        self._samples: deque[LoadSample] = deque(maxlen=MAX_SAMPLES)
        # Sums over the current sample interval, up to `_accumulated_until`.
        self._accumulated_until = self._job_time = self._busy_time = self._arrived_work = 0.0
        self._is_sampled = fleet.overdrive is not None or kind.cold_from < 1
        if self._is_sampled:
            clock.after(SAMPLE_INTERVAL_TICKS, self._sample)
        if fleet.pause is not None:
            clock.after(fleet.pause.every_s * SECOND, self._pause)

    # Observable state.

    def speed(self) -> float:
        """Returns the current speed of one core."""
        if self.is_paused or self.is_hanging:
            return 0.0
        speed = self.kind.speed / self.slowdown
        if self.overloaded_since is not None:
            speed /= self.fleet.overdrive.slower
        return speed * self._slow_start_speed_ratio()

    def capacity(self) -> int:
        """Returns the number of jobs that the backend can run concurrently."""
        return 0 if self.is_down or self.is_hanging else self.cores

    def in_flight(self) -> int:
        """Returns the number of running and waiting jobs."""
        return len(self.running) + len(self.waiting)

    def is_responsive(self) -> bool:
        """Returns whether the backend responds to a health check."""
        return not (self.is_down or self.is_hanging)

    def _slow_start_speed_ratio(self):
        """Returns the fraction of full speed that slow start allows now."""
        if self.started_at is None:
            return 1.0
        age = (self.clock.now - self.started_at) / (self.kind.cold_for_s * SECOND)
        return min(1.0, self.kind.cold_from + (1 - self.kind.cold_from) * age)

    # Jobs.

    def offer(self, job: Job) -> None:
        """Accepts a job: starts, queues or rejects it."""
        self._accumulate_usage()
        if self.is_down:
            job.end_callback(Outcome.CONNECT_FAILED)
            return
        self._arrived_work += job.work
        if len(self.running) < self.cores and not self.waiting:
            self._start(job)
        elif len(self.waiting) < self.queue_bound:
            job.state = JobState.WAITING
            self.waiting.append(job)
        else:
            job.end_callback(Outcome.REJECTED_UNPROCESSED)

    def drop(self, job: Job) -> None:
        """Abandons a job: removes it if it is waiting; a running job continues."""
        if job.state is JobState.WAITING and self.fleet.drops_waiting:
            self._accumulate_usage()
            self.waiting.remove(job)
            job.state = None

    def _start(self, job):
        job.state, job.accounted_at = JobState.RUNNING, self.clock.now
        self.running[job] = None
        if self.kind.contention:
            concurrent_jobs = len(self.running) - 1
            job.remaining = job.work * (1 + self.kind.contention * concurrent_jobs)
        self._schedule_completion(job)

    def _schedule_completion(self, job):
        job.schedule_number += 1
        speed = self.speed()
        if speed > 0:
            self.clock.after(job.remaining / speed, self._finish, job, job.schedule_number)

    def _finish(self, job, schedule_number):
        if schedule_number != job.schedule_number or job.state is not JobState.RUNNING:
            return
        self._accumulate_usage()
        del self.running[job]
        job.state = None
        self.handled += 1
        while self.waiting and len(self.running) < self.cores:
            self._start(self.waiting.popleft())
        if self.error_interval and self.handled % self.error_interval == 0:
            job.end_callback(Outcome.SERVER_ERROR)
            return
        self.executed += 1
        if job.io_wait:
            self.clock.after(job.io_wait, job.end_callback, Outcome.SUCCESS)
        else:
            job.end_callback(Outcome.SUCCESS)

    # State changes.

    def change(self, apply: Callable[[], None]) -> None:
        """Calls `apply()`, which may change the speed, and reschedules the running jobs."""
        self._accumulate_usage()
        speed_before, now = self.speed(), self.clock.now
        apply()
        for job in self.running:
            job.remaining = max(0.0, job.remaining - (now - job.accounted_at) * speed_before)
            job.accounted_at = now
            self._schedule_completion(job)
        while self.waiting and len(self.running) < self.cores and not self.is_down:
            self._start(self.waiting.popleft())

    def apply(self, change) -> None:
        """Applies a change of the plan other than a start or crash of the process."""
        self.change(lambda: self._update_condition(change))

    def _update_condition(self, change):
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
        """Crashes the process: resets all its jobs; later ones fail to connect."""
        self._accumulate_usage()
        interrupted_jobs = [*self.running, *self.waiting]
        self.running.clear()
        self.waiting.clear()
        self.is_down = True
        for job in interrupted_jobs:
            job.state = None
            job.end_callback(Outcome.CONNECTION_RESET)

    def restart(self) -> None:
        """Starts a new process, in slow start if its kind has one."""
        self._accumulate_usage()
        self.is_down, self.overloaded_since = False, None
        self._samples = deque(maxlen=MAX_SAMPLES)
        self.started_at = self.clock.now if self.kind.cold_from < 1 else None

    def set_paused(self, is_paused: bool) -> None:
        """Suspends or resumes all work."""

        def _apply():
            self.is_paused = is_paused

        self.change(_apply)

    def _pause(self):
        pause = self.fleet.pause
        self.set_paused(True)
        self.clock.after(pause.for_ms * MS, self.set_paused, False)
        self.clock.after(pause.every_s * SECOND, self._pause)

    # Overload and slow start.

    def _accumulate_usage(self):
        if not self._is_sampled:
            return
        span = self.clock.now - self._accumulated_until
        self._job_time += self.in_flight() * span
        self._busy_time += min(1.0, len(self.running) / self.cores) * span
        self._accumulated_until = self.clock.now

    def _samples_within(self, span_s):
        """Returns the samples of the last `span_s` and the number that a full span has."""
        count = max(1, round(span_s * SECOND / SAMPLE_INTERVAL_TICKS))
        return list(self._samples)[-count:], count

    def _mean_within(self, span_s, field):
        """Returns the mean of a sample field over `span_s`; None until that span is full."""
        samples, count = self._samples_within(span_s)
        if len(samples) != count:
            return None
        return sum(getattr(sample, field) for sample in samples) / count

    def _sample(self):
        self._accumulate_usage()
        threshold = self.fleet.overdrive.at if self.fleet.overdrive else 0.0
        excess = self._job_time / SAMPLE_INTERVAL_TICKS - self.cores - threshold * sqrt(self.cores)
        utilization = self._busy_time / SAMPLE_INTERVAL_TICKS
        self._samples.append(LoadSample(excess, utilization, self._arrived_work))
        self._job_time = self._busy_time = self._arrived_work = 0.0
        self.clock.after(SAMPLE_INTERVAL_TICKS, self._sample)
        if self.started_at is not None:
            self._check_slow_start()
        if self.fleet.overdrive is not None and not self.is_down:
            self._check_overload()
        if self.started_at is not None:
            self.change(lambda: None)  # reschedules: slow start has raised the speed

    def _check_overload(self):
        overdrive, now = self.fleet.overdrive, self.clock.now
        if self.overloaded_since is None:
            excess = self._mean_within(overdrive.over_s, "excess")
            if excess is not None and excess > 0:
                self.overloads += 1
                self.change(self._begin_overload)
            return
        span = now - self.overloaded_since
        utilization = self._mean_within(overdrive.rest_s, "utilization")
        is_idle = utilization is not None and utilization < overdrive.below
        has_recovered = span >= overdrive.rest_s * SECOND and is_idle
        if has_recovered or span >= overdrive.most_s * SECOND:
            self.change(self._end_overload)

    def _begin_overload(self):
        self.overloaded_since = self.clock.now

    def _end_overload(self):
        self.overloaded_since = None
        self._samples.clear()

    def _check_slow_start(self):
        kind = self.kind
        if self.clock.now - self.started_at >= kind.cold_for_s * SECOND:
            self.change(self._end_slow_start)
            return
        samples, _ = self._samples_within(kind.tip_s)
        arrived = sum(sample.arrived_work for sample in samples)
        capacity = self._slow_start_speed_ratio() * self.cores * kind.speed * kind.tip_s * SECOND
        if arrived > kind.tip_multiple * capacity and not self.is_down:
            self.collapses += 1
            self.crash()

    def _end_slow_start(self):
        self.started_at = None
