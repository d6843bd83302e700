"""A body that is too large to buffer, streamed from one connection to another.

There is no I/O here: the reading side adds pieces and pauses while the window is full, the writing
side takes them; each side may abort the body.
"""

from collections import deque
from time import monotonic_ns

WINDOW = 1 << 15  # maximum bytes read and not yet written; more would only occupy memory
# Memory that a streamed body takes: its window, the buffer that it is read into, and the piece that
# is being written.
STREAM_RESERVATION_BYTES = 3 << 15
SMALL_WINDOW = 1 << 12  # for a response where no memory is left for more
# A slow sender's body of up to this size is buffered whole, so that it can be sent again.
MAX_BUFFERED_BYTES = 1 << 20
BUFFERED_FRACTION = 0.5  # of the budget, for bodies buffered whole; the rest is for streamed ones
REQUEST_FRACTION = 0.7  # of the budget, for all of requests; the rest is for responses
PROGRESS_INTERVAL_NS = 50000000  # 50 ms; progress restarts timeouts of seconds


class BufferBudget:
    """Limits the bytes of messages that this process holds, over all connections.

    Each connection may hold one small buffer beside it, which its descriptor stands for.
    """

    def __init__(self, max_bytes):
        self.max_bytes, self.reserved = max_bytes, 0

    def reserve(self, byte_count: int, fraction: float = 1.0) -> bool:
        """Reserves `byte_count` bytes unless more than `fraction` of the budget would be reserved.

        Returns whether the bytes were reserved.
        """
        if self.reserved + byte_count > self.max_bytes * fraction:
            return False
        self.reserved += byte_count
        return True

    def force(self, byte_count: int):
        """Reserves bytes that are in use already; others get none until the budget is met again."""
        self.reserved += byte_count

    def release(self, byte_count: int):
        """Releases reserved bytes."""
        self.reserved -= byte_count


class BodyStream:
    """The pieces of one body that were read and not yet written.

    `length`: bytes of the whole body; None where the length is known only at its end. `wakes`:
    callbacks, called whenever either side may continue.
    """

    def __init__(self, length, *wakes, window=WINDOW):
        self.length, self.wakes, self.window = length, list(wakes), window
        # `buffered_bytes`: bytes in `pieces`; `size`: bytes read in total.
        self.pieces, self.buffered_bytes, self.size = deque(), 0, 0
        self.is_complete = self.is_aborted = False  # read to its end; aborted
        self.is_partly_taken = False  # whether pieces were taken, which discards them
        # When the sender had certainly not sent all of it yet (ticks); and from when on a read that
        # waits for more shows that it still has not. None: no read is waiting.
        self.incomplete_at, self.awaited_from = 0, None

    def wake(self):
        """Calls all callbacks in `wakes`."""
        for wake in self.wakes:
            wake()

    def add(self, piece: bytes):
        """Adds a piece that was read."""
        if piece and not self.is_aborted:
            self.pieces.append(piece)
            self.buffered_bytes += len(piece)
            self.size += len(piece)
            self.wake()

    def full(self) -> bool:
        """Returns whether the reading side should pause until a piece is taken."""
        return self.buffered_bytes >= self.window and not self.is_aborted

    def finish(self):
        """Records that the body was read to its end."""
        self.is_complete = True
        self.wake()

    def abort_body(self):
        """Aborts the body: nothing more is read or written."""
        self.is_aborted = True
        self.pieces.clear()
        self.buffered_bytes = 0
        self.wake()

    def take(self) -> bytes | None:
        """Returns the next piece, b"" if none was read yet, or None at the end."""
        if self.pieces:
            self.is_partly_taken = True
            piece = self.pieces.popleft()
            self.buffered_bytes -= len(piece)
            self.wake()
            return piece
        return None if self.is_complete or self.is_aborted else b""

    def last_incomplete_at(self, now: int) -> int:
        """Returns when the sender had certainly not sent the whole body yet, `now` at the latest.

        While the body is not read because its receiver is slow, the sender may have finished.
        """
        is_sending = self.awaited_from is not None and now >= self.awaited_from
        return now if is_sending else self.incomplete_at

    def is_not_repeatable(self) -> bool:
        """Returns whether a retry cannot send the body, as pieces were taken or it was aborted."""
        return self.is_partly_taken or self.is_aborted


class ProgressReports:
    """Tells when the progress of a body is to be reported: once per PROGRESS_INTERVAL_NS."""

    def __init__(self):
        self.due_ns = 0  # monotonic time of the next report

    def is_due(self) -> bool:
        """Returns whether to report a piece that was moved now."""
        now_ns = monotonic_ns()
        if now_ns < self.due_ns:
            return False
        self.due_ns = now_ns + PROGRESS_INTERVAL_NS
        return True
