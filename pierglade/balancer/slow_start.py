"""How much may be sent to a backend whose process has just started, and is slow until it is warm.

Moments and spans are tenths of a millisecond; rates are attempts in one. No I/O.
"""

from pierglade.settings.balancer import BalancerSettings

# Share of the slow start budget used while colder; the rest is for uneven nodes and work.
MARGIN = 0.5
# Attempts saved up at most, by one node and by all nodes together.
SAVED_MOST, SAVED_BY_ALL = 1.5, 2.0
# 1 s; of what a cold backend bears beyond its part, so much may be saved up.
SAVED_SPAN = 10000

# The arrays of `SlowStart`, by name, and what a new backend begins with.
INITIAL = dict(started_at=0, until=0, allowance=0.0, allowance_at=0)


class SlowStart:
    """The slow start of all backends: one array for each figure, under the backends' dense index.

    Other parts may read the arrays and change nothing in them.
    """

    def __init__(self, duration: int, capacity: float, overload: float, node_count: int) -> None:
        """Begins with no backend.

        Args:
            duration: how long a process takes to become warm.
            capacity: share of its warm capacity that it has at its start.
            overload: times this capacity that it bears.
            node_count: nodes that send to it.
        """
        self.duration, self._node_count = duration, node_count
        self._capacity, self._overload = capacity, overload
        self.started_at: list[int] = []
        """When the process started; 0 where that is not known."""
        self.until: list[int] = []
        """The moment from which it is warm."""
        self.allowance: list[float] = []
        """Attempts saved up for it at `allowance_at`."""
        self.allowance_at: list[int] = []
        self.warm_rate = 0.0
        """What this node sends to a warm backend of the subset, for each unit of its size."""

    @classmethod
    def from_settings(cls, settings: BalancerSettings) -> "SlowStart":
        """As the settings state it."""
        return cls(
            settings.slow_start_duration,
            settings.slow_start_capacity,
            settings.slow_start_overload,
            settings.node_count,
        )

    def add(self, backend: int, now: int) -> None:
        """Begins with a warm `backend` of which nothing is known."""
        for name, initial in INITIAL.items():
            getattr(self, name)[backend : backend + 1] = [initial]
        self.allowance_at[backend] = now

    def copy_from(self, before: "SlowStart") -> None:
        """Takes over what `before` knows, by this one's duration.

        `before` has nothing saved up then.

        Or both would spend what was saved up.
        """
        for name in INITIAL:
            setattr(self, name, getattr(before, name).copy())
        if self.duration != before.duration:
            self.until = [started and started + self.duration for started in before.started_at]
        before.allowance = [0.0] * len(before.allowance)

    def process_started(self, backend: int, now: int, started_at: int, allowance: float) -> None:
        """A process has just started.

        It is cold for the full duration, whoever else sends to it.
        """
        self.started_at[backend] = started_at
        self.until[backend] = started_at + self.duration
        self.allowance[backend], self.allowance_at[backend] = allowance, now

    def attempt_sent(self, backend: int, now: int) -> None:
        """An attempt goes to `backend`; while that is cold, the attempt uses up its allowance."""
        if now < self.until[backend]:
            self.allowance[backend] -= 1

    def allows(self, backend: int, now: int, size: float, ready: int, in_subset: int) -> bool:
        """Rule 4: whether cold `backend` may be sent one more attempt of this node.

        That is this node's part of what a cold backend may be sent, and of what all nodes may have
        saved up. `ready`, `in_subset`: how many backends there are of each.
        """
        age, warm = max(0, now - self.started_at[backend]), self.warm_rate * size
        capacity = self._capacity + (1 - self._capacity) * age / max(1, self.duration)
        bearable = self._overload * capacity
        part = max(MARGIN, capacity) * min(1.0, bearable)
        saved = self.allowance[backend] + part * warm * (now - self.allowance_at[backend])
        more = (bearable - part) * warm * SAVED_SPAN + (
            SAVED_BY_ALL * ready / in_subset / self._node_count
        )
        saved = min(saved, SAVED_MOST if 1 + more >= SAVED_MOST else more + (saved - more) % 1)
        self.allowance[backend], self.allowance_at[backend] = saved, now
        return saved >= 1
