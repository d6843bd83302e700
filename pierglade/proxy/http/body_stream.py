"""A body too large to hold, streamed from one connection to another.

No I/O: the reading side adds pieces and pauses while the window is full, the writing side takes
them; each side may end it early.
"""

from collections import deque

WINDOW = 1 << 16  # bytes; read and not yet written; more would only wait in our memory
WINDOW_COST = 1 << 17  # bytes; what a streamed body holds, with the buffer it is read into
GATHER_MOST = (
    1 << 20
)  # bytes; a slow sender's body of this size is held whole, so that it can be sent again
GATHER_PART = 0.5  # share of the space for bodies held whole; the rest is for those streamed


class BufferBudget:
    """Bytes of bodies that this process may hold, over all connections."""

    def __init__(self, most):
        self.most, self.used = most, 0

    def reserve(self, count: int, part: float = 1.0) -> bool:
        """Reserves `count` bytes unless more than `part` of the budget would be in use."""
        if self.used + count > self.most * part:
            return False
        self.used += count
        return True

    def release(self, count: int):
        """Returns bytes that were reserved."""
        self.used -= count


class BodyStream:
    """The pieces of one body that were read and not yet written.

    `length`: bytes of the whole body, None where it is known only at its end. `wakes`: called
    whenever either side may continue.
    """

    def __init__(self, length, *wakes):
        self.length, self.wakes = length, list(wakes)
        self.pieces, self.waiting, self.size = deque(), 0, 0  # `size`: bytes read in all
        self.whole = self.broken = False
        self.passing = False  # pieces are discarded once taken; not while it is buffered whole

    def wake(self):
        """Calls all of `wakes`."""
        for wake in self.wakes:
            wake()

    def add(self, piece: bytes):
        """Adds what was read."""
        if piece and not self.broken:
            self.pieces.append(piece)
            self.waiting += len(piece)
            self.size += len(piece)
            self.wake()

    def full(self) -> bool:
        """Whether the reading side should pause until more is taken."""
        return self.waiting >= WINDOW and not self.broken

    def finish(self):
        """Notes that the body was read to its end."""
        self.whole = True
        self.wake()

    def break_off(self):
        """Aborts the body: nothing more is read or written."""
        self.broken = True
        self.pieces.clear()
        self.waiting = 0
        self.wake()

    def take(self) -> bytes | None:
        """Returns the next piece, b"" where none was read yet, None at the end."""
        if self.pieces:
            self.passing = True
            piece = self.pieces.popleft()
            self.waiting -= len(piece)
            self.wake()
            return piece
        return None if self.whole or self.broken else b""

    def spent(self) -> bool:
        """Whether part of it was already taken, so that a retry cannot send it."""
        return self.passing or self.broken
