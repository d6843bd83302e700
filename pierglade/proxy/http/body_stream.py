"""A body too large to hold, on its way from one connection to another: what is read waits here to be written.

No I/O: whoever reads adds pieces and waits when told to, whoever writes takes them; each may end it early.
"""

from collections import deque

WINDOW = 1 << 16  # bytes; read and not yet written; more would only wait in our memory
WINDOW_COST = 1 << 17  # bytes; what a body on its way holds, with the buffer it is read into
GATHER_MOST = (
    1 << 20
)  # bytes; a slow sender's body of this size is held whole, so that it can be sent again
GATHER_PART = 0.5  # share of the space for bodies held whole; the rest is for those on their way


class Space:
    """Bytes of bodies that this process may hold, over all connections."""

    def __init__(self, most):
        self.most, self.used = most, 0

    def take(self, count, part=1.0):
        if self.used + count > self.most * part:
            return False
        self.used += count
        return True

    def free(self, count):
        self.used -= count


class Flow:
    """`length`: of the whole body, None where it shows only at its end."""

    def __init__(self, length, *wakes):
        self.length, self.wakes = length, list(wakes)  # called whenever either side may go on
        self.pieces, self.waiting, self.size = deque(), 0, 0  # `size`: bytes that have come in all
        self.whole = self.broken = False
        self.passing = False  # pieces are gone once they are taken; not so while it is gathered

    def wake(self):
        for wake in self.wakes:
            wake()

    def add(self, piece):
        if piece and not self.broken:
            self.pieces.append(piece)
            self.waiting += len(piece)
            self.size += len(piece)
            self.wake()

    def full(self):
        """Whether whoever reads should wait until more is taken."""
        return self.waiting >= WINDOW and not self.broken

    def finish(self):
        self.whole = True
        self.wake()

    def break_off(self):
        """Either side has ended: nothing more is read or written."""
        self.broken = True
        self.pieces.clear()
        self.waiting = 0
        self.wake()

    def take(self):
        """The next piece, b"" where none has come yet, None at the end."""
        if self.pieces:
            self.passing = True
            piece = self.pieces.popleft()
            self.waiting -= len(piece)
            self.wake()
            return piece
        return None if self.whole or self.broken else b""

    def spent(self):
        """Whether some of it is gone, so that it cannot be sent once more."""
        return self.passing or self.broken
