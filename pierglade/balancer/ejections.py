"""Which backends are ejected, when each gets its next trial request, and what is in flight where.

Moments and spans are tenths of a millisecond. No I/O, no clock.
"""

from pierglade.balancer.wakeup import SWEEP_INTERVAL, Wakeup
from pierglade.concurrency.limiter import ConcurrencyLimiter
from pierglade.model.endpoint import EjectionReason
from pierglade.model.request import Attempt

# 150 ms, 4 s; between trial requests, doubled after each bad one.
TRIAL_INTERVAL, TRIAL_INTERVAL_MOST = 1500, 40000
# Attempts at backends ejected for another reason come to nothing and must not use up the limit.
COUNTS_TOWARD_CAPACITY = (None, EjectionReason.SLOW)

# The arrays of `Ejections`, by name, and what a new backend begins with.
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
    """The ejections of all backends: one array for each figure, under the backends' dense index.

    Other parts may read the arrays and change nothing in them.
    """

    def __init__(self, limit: ConcurrencyLimiter, wakeup: Wakeup) -> None:
        self.limit, self._wakeup = limit, wakeup
        self.reason: list[EjectionReason | None] = []
        self.since: list[int] = []
        self.until: list[int] = []
        """Until when a slow backend is left alone before it is tried in earnest."""
        self.trial_at: list[int] = []
        self.trial_interval: list[int] = []
        self.trial_due: list[bool] = []
        self.trials_in_flight: list[int] = []
        self.in_flight: dict[int, dict[Attempt, None]] = {}
        """Of each backend that has any, the attempts in flight, the oldest first."""
        self.ejected: dict[int, None] = {}
        """The backends that are ejected, in the order of their ejection."""
        self.slow_count = 0
        """How many are ejected as slow."""

    def add(self, backend: int) -> None:
        """Begins with a backend that is not ejected; why the one before was, costs it no checks."""
        for name, initial in INITIAL.items():
            getattr(self, name)[backend : backend + 1] = [initial]
        self.ejected.pop(backend, None)

    def copy_from(self, before: "Ejections") -> None:
        """Takes over the ejections; attempts in flight, also trial requests, stay with `before`."""
        for name in INITIAL:
            setattr(self, name, getattr(before, name).copy())
        self.trials_in_flight = [0] * len(before.trials_in_flight)
        self.ejected, self.slow_count = before.ejected.copy(), before.slow_count

    def begin(self, backend: int, until: int, now: int) -> None:
        """Sets the moments of an ejection that begins now."""
        self.since[backend], self.until[backend] = now, until
        self.trial_interval[backend] = TRIAL_INTERVAL
        self.trial_at[backend] = now + TRIAL_INTERVAL
        self.trial_due[backend] = False

    def set_reason(self, backend: int, reason: EjectionReason | None, now: int) -> None:
        """Keeps the counts that depend on why a backend is ejected."""
        before = self.reason[backend]
        self.limit.change_in_flight(
            now,
            len(self.in_flight.get(backend, ()))
            * ((reason in COUNTS_TOWARD_CAPACITY) - (before in COUNTS_TOWARD_CAPACITY)),
        )
        self.slow_count += (reason is EjectionReason.SLOW) - (before is EjectionReason.SLOW)
        self.reason[backend] = reason
        if reason is None:
            self.ejected.pop(backend, None)
        else:
            self.ejected[backend] = None
            self._wakeup.request(now + SWEEP_INTERVAL)

    def double_trial_interval(self, backend: int) -> None:
        """A trial request or a health check has failed."""
        self.trial_interval[backend] = min(TRIAL_INTERVAL_MOST, self.trial_interval[backend] * 2)

    def schedule_trial(self, backend: int, now: int) -> None:
        """The next trial request is due after the interval."""
        self.trial_due[backend] = False
        self.trial_at[backend] = now + self.trial_interval[backend]
        self._wakeup.request(self.trial_at[backend])

    def admit_trial(self, backend: int, due: bool = True) -> None:
        """The next request that may be a trial is sent to the backend, if `due`."""
        self.trial_due[backend] = due

    def attempt_sent(self, backend: int, attempt: Attempt) -> None:
        """An attempt goes out."""
        self.in_flight.setdefault(backend, {})[attempt] = None

    def trial_sent(self, backend: int) -> None:
        """It is a trial request."""
        self.trials_in_flight[backend] += 1

    def trial_ended(self, backend: int) -> None:
        """A trial request has ended."""
        self.trials_in_flight[backend] -= 1

    def attempt_left(self, backend: int, attempt: Attempt, now: int) -> None:
        """An attempt is in flight no more."""
        in_flight = self.in_flight
        del in_flight[backend][attempt]
        if not in_flight[backend]:
            del in_flight[backend]
        if self.reason[backend] in COUNTS_TOWARD_CAPACITY:
            self.limit.change_in_flight(now, -1)
