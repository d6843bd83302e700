"""Decisions that were made while inputs came, and that the host has not pulled yet."""

from collections import deque

from pierglade.model.decision import CancelAttempt
from pierglade.model.request import Attempt, Request


class PendingDecisions:
    """A queue of decisions, in the order in which they were made."""

    def __init__(self, may_cancel: bool) -> None:
        """`may_cancel`: whether the host can cancel attempts."""
        self._decisions: deque = deque()
        self._may_cancel = may_cancel

    def append(self, decision: object) -> None:
        """That decision was made."""
        self._decisions.append(decision)

    def take(self) -> object | None:
        """The next decision, or None."""
        return self._decisions.popleft() if self._decisions else None

    def cancel(self, attempt: Attempt) -> None:
        """The attempt is cancelled, if it still runs and attempts can be cancelled at all."""
        if attempt.outcome is None and not attempt.cancelled and self._may_cancel:
            attempt.cancelled = True
            self._decisions.append(CancelAttempt(attempt))

    def cancel_all(self, request: Request) -> None:
        """All attempts of the request that still run are cancelled."""
        for attempt in request.attempts:
            self.cancel(attempt)
