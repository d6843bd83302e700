"""Ejected backends, their trial requests, and the attempts in flight at each backend.

Times and durations are in ticks (tenths of a millisecond). No I/O, no clock.
"""

from pierglade.balancer.wakeup import SWEEP_INTERVAL, Wakeup
from pierglade.concurrency.limiter import ConcurrencyLimiter
from pierglade.model.endpoint import EjectionReason
from pierglade.model.request import Attempt

# Ticks (150 ms, 4 s). Initial and longest interval between trial requests, doubled after each
# failure.
TRIAL_INTERVAL, MAX_TRIAL_INTERVAL = 1500, 40000
# Values of `reason` with which a backend counts toward the capacity. Attempts at backends ejected
# for another reason are lost and must not use up the limit.
COUNTS_TOWARD_CAPACITY = (None, EjectionReason.SLOW)

# Arrays of `Ejections`, with the values for a new backend.
INITIAL = dict(
    reason=None,
    since=0,
    until=0,
    trial_at=0,
    trial_interval=TRIAL_INTERVAL,
    trial_due=False,
    trials_in_flight=0,
)


class Ejections:
    """The ejections of all backends, one array per figure, indexed by backend.

    Other modules read the arrays and never modify them.
    """

    def __init__(self, limit: ConcurrencyLimiter, wakeup: Wakeup) -> None:
        self.limit, self._wakeup = limit, wakeup
        self.reason: list[EjectionReason | None] = []
        self.since: list[int] = []
        self.until: list[int] = []
        """When the ejection of a slow backend ends and it receives regular requests again."""
        self.trial_at: list[int] = []
        self.trial_interval: list[int] = []
        self.trial_due: list[bool] = []
        self.trials_in_flight: list[int] = []
        self.in_flight: dict[int, dict[Attempt, None]] = {}
        """Attempts in flight of each backend that has any, oldest first."""
        self.ejected: dict[int, None] = {}
        """The ejected backends, in the order of their ejection."""
        self.slow_count = 0
        """Number of backends ejected as slow."""

    def add(self, backend: int) -> None:
        """Adds a backend that is not ejected.

        An ejection of the backend that had the index before is removed; otherwise the new one would
        get no health checks.
        """
        for name, initial in INITIAL.items():
            getattr(self, name)[backend : backend + 1] = [initial]
        self.ejected.pop(backend, None)

    def copy_from(self, previous: "Ejections") -> None:
        """Copies the ejections; attempts in flight and trial requests stay with `previous`."""
        for name in INITIAL:
            setattr(self, name, getattr(previous, name).copy())
        self.trials_in_flight = [0] * len(previous.trials_in_flight)
        self.ejected, self.slow_count = previous.ejected.copy(), previous.slow_count

    def begin(self, backend: int, until: int, now: int) -> None:
        """Sets the times of an ejection that begins now."""
        self.since[backend], self.until[backend] = now, until
        self.trial_interval[backend] = TRIAL_INTERVAL
        self.trial_at[backend] = now + TRIAL_INTERVAL
        self.trial_due[backend] = False

    def set_reason(self, backend: int, reason: EjectionReason | None, now: int) -> None:
        """Sets the reason for the ejection and updates the counts that depend on it."""
        previous = self.reason[backend]
        self.limit.change_in_flight(
            now,
            len(self.in_flight.get(backend, ()))
            * ((reason in COUNTS_TOWARD_CAPACITY) - (previous in COUNTS_TOWARD_CAPACITY)),
        )
        self.slow_count += (reason is EjectionReason.SLOW) - (previous is EjectionReason.SLOW)
        self.reason[backend] = reason
        if reason is None:
            self.ejected.pop(backend, None)
        else:
            self.ejected[backend] = None
            self._wakeup.request(now + SWEEP_INTERVAL)

    def double_trial_interval(self, backend: int) -> None:
        """Doubles the trial interval after a failed trial request or health check."""
        self.trial_interval[backend] = min(MAX_TRIAL_INTERVAL, self.trial_interval[backend] * 2)

    def schedule_trial(self, backend: int, now: int) -> None:
        """Schedules the next trial request after the trial interval."""
        self.trial_due[backend] = False
        self.trial_at[backend] = now + self.trial_interval[backend]
        self._wakeup.request(self.trial_at[backend])

    def admit_trial(self, backend: int, is_due: bool = True) -> None:
        """Sets whether the next suitable request is sent to the backend as a trial request."""
        self.trial_due[backend] = is_due

    def attempt_sent(self, backend: int, attempt: Attempt) -> None:
        """Records an attempt that is sent."""
        self.in_flight.setdefault(backend, {})[attempt] = None

    def trial_sent(self, backend: int) -> None:
        """Records that a trial request is sent."""
        self.trials_in_flight[backend] += 1

    def trial_ended(self, backend: int) -> None:
        """Records that a trial request has ended."""
        self.trials_in_flight[backend] -= 1

    def remove_attempt(self, backend: int, attempt: Attempt, now: int) -> None:
        """Removes an attempt that is no longer in flight."""
        in_flight = self.in_flight
        del in_flight[backend][attempt]
        if not in_flight[backend]:
            del in_flight[backend]
        if self.reason[backend] in COUNTS_TOWARD_CAPACITY:
            self.limit.change_in_flight(now, -1)
