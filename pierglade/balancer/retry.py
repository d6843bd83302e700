"""How many retries may go out. Moments and spans are tenths of a millisecond. No I/O, no clock."""

from collections import deque

# Retries earned by each request where no budget is stated, so that they cannot feed an overload.
EARNED_BY_REQUEST = 0.2
# Retries saved up at most, for a burst of losses when a backend dies.
SAVED_MOST = 20.0


class RetryBudget:
    """The retries that may still go out: of a stated window, else a share of what comes, saved up.

    It holds for all that goes out again, whatever ended the attempt before. No attempt is kept
    back while the window has capacity, so nothing is given up for it.
    """

    def __init__(
        self, window: int, minimum: int, ratio: float, shared_with: "RetryBudget | None" = None
    ) -> None:
        """Begins full.

        Args:
            window: span that the budget looks back on; 0 where none is stated.
            minimum: retries that a window may hold however few requests came in it.
            ratio: further ones for each request of the window.
            shared_with: the budget of the balancer whose place this one's takes as settings
                change; both spend from one.
        """
        self.window, self._minimum, self._ratio = window, minimum, ratio
        self.saved = SAVED_MOST
        self.sent_at: deque[int] = shared_with.sent_at if shared_with else deque()
        """Moments of retries, as far back as the window looks."""
        self.received_at: deque[int] = shared_with.received_at if shared_with else deque()
        """The same of requests."""

    def copy_from(self, before: "RetryBudget") -> None:
        """Takes over what `before` had saved up."""
        self.saved = before.saved

    def request_received(self, now: int) -> None:
        """A request has come in and earns a part of a retry."""
        self.saved = min(SAVED_MOST, self.saved + EARNED_BY_REQUEST)
        if self.window:
            self.received_at.append(now)

    def retry_granted(self) -> None:
        """A retry is going to be sent as soon as a backend may take it."""
        self.saved -= 1

    def retry_sent(self, now: int) -> None:
        """A retry goes out now."""
        if self.window:
            self.sent_at.append(now)

    def allows_granted(self, now: int) -> bool:
        """Whether a retry that was granted earlier may go out now.

        A window that others used up meanwhile may have capacity again in time.
        """
        return not self.window or self.left(now) >= 1

    def left(self, now: int) -> float:
        """How many retries may go out now; where a window is stated, none of it may hold more."""
        window, sent_at, received_at = self.window, self.sent_at, self.received_at
        if not window:
            return self.saved
        # A tenth of a ms on either side: the host's clock is finer, and counts a window's very ends.
        while sent_at and sent_at[0] < now - window - 1:
            sent_at.popleft()
        while received_at and received_at[0] <= now - window + 1:
            received_at.popleft()
        return self._minimum + int(self._ratio * len(received_at)) - len(sent_at)
