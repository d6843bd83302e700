"""Decisions made while inputs were processed, which the caller has not taken yet."""

from collections import deque

from pierglade.model.decision import CancelAttempt
from pierglade.model.request import Attempt, Request


class PendingDecisions:
    """A queue of decisions, in the order in which they were made."""

    def __init__(self, may_cancel: bool) -> None:
        """`may_cancel`: whether the caller can cancel attempts."""
        self._decisions: deque = deque()
        self._may_cancel = may_cancel

    def append(self, decision: object) -> None:
        """Appends a decision."""
        self._decisions.append(decision)

    def take(self) -> object | None:
        """Returns the next decision, or None."""
        return self._decisions.popleft() if self._decisions else None

    def cancel(self, attempt: Attempt) -> None:
        """Cancels the attempt if it is still in flight and attempts can be cancelled."""
        if attempt.outcome is None and not attempt.cancelled and self._may_cancel:
            attempt.cancelled = True
            self._decisions.append(CancelAttempt(attempt))

    def cancel_all(self, request: Request) -> None:
        """Cancels all attempts of the request that are still in flight."""
        for attempt in request.attempts:
            self.cancel(attempt)
