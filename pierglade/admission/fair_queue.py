"""Who is served next: deficit round robin between addresses (Shreedhar and Varghese, 1995).

Each address has a queue; in its turn it may spend QUANTUM and its saved deficit, so an address that
sends a thousand requests, or large ones, delays only its own. Within an address the order is first
in, first out, until the first has waited for LATE: then the newest goes first, as its client is the
one most likely to wait still (adaptive LIFO, Maurer, 2015).
"""

from collections import deque

QUANTUM = 2048  # bytes a turn of an address; one request of usual size, with its overhead
OVERHEAD = 1024  # bytes; the cost of a request beside its size, as most of it is not in its bytes
LATE = 600  # tenths of a ms; as long as the event loop may go on without idling


class FairQueue:
    """Items by address; as many keys as there are items at most."""

    def __init__(self):
        self.queues = {}  # address: deque of (when it was put, cost, item)
        self.saved = {}  # address: its deficit, in bytes
        self.turns = deque()  # addresses, whose turn it is first
        self.count = 0

    def __len__(self):
        return self.count

    def put(self, now: int, address: str, size: int, item: object):
        """Adds an item; `size`: bytes that were read of it."""
        queue = self.queues.get(address)
        if queue is None:
            queue = self.queues[address] = deque()
            self.saved[address] = QUANTUM
            self.turns.append(address)
        queue.append((now, OVERHEAD + size, item))
        self.count += 1

    def take(self, now: int) -> object:
        """Removes and returns the next item; there must be one."""
        while True:
            address = self.turns[0]
            queue = self.queues[address]
            newest = now - queue[0][0] > LATE
            _, cost, item = queue[-1] if newest else queue[0]
            if self.saved[address] < cost:
                self.saved[address] += QUANTUM
                self.turns.rotate(-1)
                continue
            queue.pop() if newest else queue.popleft()
            self.saved[address] -= cost
            self.count -= 1
            if not queue:
                del self.queues[address], self.saved[address]
                self.turns.popleft()
            return item
