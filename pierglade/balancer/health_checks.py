"""Which backends to check next. No I/O, no clock."""

from collections import deque

# Health checks for each attempt, where only they tell the load; more where they tell no throughput.
CHECKS_PER_ATTEMPT, CHECKS_PER_ATTEMPT_RARE = 0.05, 0.15
# Checks due at the start; or a node with few attempts learns of the first load after seconds.
INITIAL_DUE = 3.0


class HealthChecks:
    """Health checks to be made: of ejected backends, and of loads that only checks tell."""

    def __init__(self, tell_load: bool, are_rare: bool) -> None:
        """`tell_load`: only checks tell the load; `are_rare`: and they tell no throughput."""
        self._pending: deque[int] = deque()
        self._tell_load = tell_load
        self._per_attempt = CHECKS_PER_ATTEMPT_RARE if are_rare else CHECKS_PER_ATTEMPT
        self._due = INITIAL_DUE

    def copy_due(self, before: "HealthChecks") -> None:
        """Takes over how soon the next check for the load is due."""
        self._due = before._due

    def request(self, backend: int) -> None:
        """Backend `backend` is to be checked."""
        self._pending.append(backend)

    def attempt_sent(self, subset: list[int], reported_at: list[int]) -> None:
        """Counts an attempt.

        After so many the backend of the subset that reported longest ago is checked.
        """
        if self._tell_load:
            self._due += self._per_attempt
            if self._due >= 1:
                self._due -= 1
                self._pending.append(min(subset, key=reported_at.__getitem__))

    def take(self) -> int | None:
        """The next backend to check, or None."""
        return self._pending.popleft() if self._pending else None
