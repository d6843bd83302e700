"""Deficit round robin between client addresses (Shreedhar and Varghese, 1995).

Each address has a queue. In its turn an address may spend QUANTUM_BYTES and its saved deficit, so
an address that sends a thousand requests, or large ones, delays only its own requests. Within an
address the order is first in, first out, until the first has waited for more than LATE_TICKS: then
the newest goes first, as its client is the most likely one to be waiting still (adaptive LIFO,
Maurer, 2015).
"""

from collections import deque

# Added to the deficit of an address per turn; one request of usual size, with its overhead.
QUANTUM_BYTES = 2048
# The cost of a request besides its size, as most of its cost does not depend on its size.
OVERHEAD_BYTES = 1024
LATE_TICKS = 600  # 60 ms; as long as the event loop may run without becoming idle


class FairQueue:
    """A queue of items by address; has at most as many keys as items."""

    def __init__(self):
        self.queues = {}  # by address: deque of (time of `put`, cost, item)
        self.deficits = {}  # by address, in bytes
        self.turns = deque()  # addresses in the order of their turns
        self.count = 0

    def __len__(self):
        return self.count

    def put(self, now: int, address: str, size: int, item: object):
        """Adds an item; `size` is the number of bytes that were read of it."""
        queue = self.queues.get(address)
        if queue is None:
            queue = self.queues[address] = deque()
            self.deficits[address] = QUANTUM_BYTES
            self.turns.append(address)
        queue.append((now, OVERHEAD_BYTES + size, item))
        self.count += 1

    def take(self, now: int) -> object:
        """Removes and returns the next item; the queue must not be empty."""
        while True:
            address = self.turns[0]
            queue = self.queues[address]
            newest_first = now - queue[0][0] > LATE_TICKS
            _, cost, item = queue[-1] if newest_first else queue[0]
            if self.deficits[address] < cost:
                self.deficits[address] += QUANTUM_BYTES
                self.turns.rotate(-1)
                continue
            queue.pop() if newest_first else queue.popleft()
            self.deficits[address] -= cost
            self.count -= 1
            if not queue:
                del self.queues[address], self.deficits[address]
                self.turns.popleft()
            return item
