"""Who is served next: deficit round robin between addresses (Shreedhar and Varghese, 1995).

Each address has a queue; in its turn it may spend QUANTUM and what it saved. So one that sends a thousand
requests, or large ones, delays its own. Within an address the first goes first, until it has waited for LATE:
then the newest does, as its client is the likelier one to wait still (adaptive LIFO, Maurer, 2015).
"""

from collections import deque

# bytes; what one turn of an address is worth: one request of usual size, with its overhead
QUANTUM = 2048
EACH = 1024  # bytes; what a request costs beside its own, as most of its price is not in its bytes
LATE = 600  # 60 ms in tenths of a ms; as long as the loop may go without a rest (`press.BEHIND`)


class Fair:
    """Items by address. Holds as many keys as there are items, no more."""

    def __init__(self):
        self.queues = {}  # address: deque of (when it was put, cost, item)
        self.saved = {}  # address: what it may spend
        self.turns = deque()  # addresses, whose turn it is first
        self.count = 0

    def __len__(self):
        return self.count

    def put(self, now, address, size, item):
        """`size`: bytes that came of it."""
        queue = self.queues.get(address)
        if queue is None:
            queue = self.queues[address] = deque()
            self.saved[address] = QUANTUM
            self.turns.append(address)
        queue.append((now, EACH + size, item))
        self.count += 1

    def take(self, now):
        """The next item; there must be one."""
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
