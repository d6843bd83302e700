"""Deficit round robin between client addresses (Shreedhar and Varghese, 1995).

Each address has a queue. In each round an address may use QUANTUM_BYTES and its unused deficit, so
an address that sends a thousand requests, or large ones, delays only its own requests. Within an
address the order is first in, first out, until the oldest item has waited for more than LATE_TICKS.
Then the newest item is taken first, as its client is the most likely to be still waiting (adaptive
LIFO, Maurer, 2015).
"""

from collections import deque

# Added to the deficit of an address per round; the cost of a typical request with its overhead.
QUANTUM_BYTES = 2048
# Added to the size of a request as its cost, since most of the work does not depend on the size.
OVERHEAD_BYTES = 1024
LATE_TICKS = 600  # 60 ms; as long as the event loop may run without becoming idle


class FairQueue:
    """A fair queue of items by address; an address without items takes no memory."""

    def __init__(self):
        self.queues = {}  # by address: deque of (time of `put`, cost, item)
        self.deficits = {}  # by address, in bytes
        self.turns = deque()  # addresses in round-robin order
        self.count = 0

    def __len__(self):
        return self.count

    def put(self, now: int, address: str, size: int, item: object):
        """Adds an item; `size` is the number of its bytes that were read."""
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
