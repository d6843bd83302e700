"""Selects the backends whose health is checked next. No I/O, no clock."""

from collections import deque

# Health checks per attempt if only health checks report the load; the second value applies if these
# reports contain no throughput.
CHECKS_PER_ATTEMPT, CHECKS_PER_ATTEMPT_RARE = 0.05, 0.15
# Health checks due at the start; without them, a node with few attempts would wait seconds for the
# first load report.
INITIAL_CHECKS_DUE = 3.0


class HealthChecks:
    """Health checks to make: of ejected backends, and for load reports that only checks provide."""

    def __init__(self, provides_load: bool, reports_are_rare: bool) -> None:
        """Starts with no requested checks.

        Args:
            provides_load: whether the load is reported only by health checks.
            reports_are_rare: whether these reports contain no throughput.
        """
        self._pending: deque[int] = deque()
        self._provides_load = provides_load
        self._per_attempt = CHECKS_PER_ATTEMPT_RARE if reports_are_rare else CHECKS_PER_ATTEMPT
        self._due = INITIAL_CHECKS_DUE

    def copy_checks_due(self, previous: "HealthChecks") -> None:
        """Copies the number of checks due for load reports."""
        self._due = previous._due

    def request(self, backend: int) -> None:
        """Requests a health check of `backend`."""
        self._pending.append(backend)

    def attempt_sent(self, subset: list[int], reported_at: list[int]) -> None:
        """Counts an attempt.

        After a number of attempts, the backend of the subset with the oldest report is checked.
        """
        if self._provides_load:
            self._due += self._per_attempt
            if self._due >= 1:
                self._due -= 1
                self._pending.append(min(subset, key=reported_at.__getitem__))

    def take(self) -> int | None:
        """Returns the next backend to check, or None."""
        return self._pending.popleft() if self._pending else None
