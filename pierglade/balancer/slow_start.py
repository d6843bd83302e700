"""Limits the attempts sent to a backend whose process has just started and is still cold.

Times and durations are in ticks (tenths of a millisecond); rates are attempts per tick. No I/O.
"""

from pierglade.settings.balancer import BalancerSettings

# Minimum fraction of the slow start budget that is used at a steady rate; the rest absorbs uneven
# traffic of nodes and uneven work of requests.
MARGIN = 0.5
# Maximum number of attempts saved up by one node, and by all nodes together.
MAX_SAVED_ATTEMPTS, MAX_SAVED_BY_ALL_NODES = 1.5, 2.0
# Ticks (1 s). Span for which unused capacity of a cold backend may be saved up.
MAX_SAVED_SPAN = 10000

# Arrays of `SlowStart`, with the values for a new backend.
INITIAL = dict(started_at=0, until=0, allowance=0.0, allowance_at=0)


class SlowStart:
    """The slow start of all backends, one array per figure, indexed by backend.

    Other modules read the arrays and never modify them.
    """

    def __init__(self, duration: int, capacity: float, overload: float, node_count: int) -> None:
        """Starts with no backends.

        Args:
            duration: how long a process takes to become warm.
            capacity: fraction of its warm capacity that it has at its start.
            overload: multiple of this capacity that it can sustain.
            node_count: number of nodes that send to it.
        """
        self.duration, self._node_count = duration, node_count
        self._capacity, self._overload = capacity, overload
        self.started_at: list[int] = []
        """When the process started; 0 if unknown."""
        self.until: list[int] = []
        """The time from which the process is warm."""
        self.allowance: list[float] = []
        """Attempts saved up for the backend at `allowance_at`."""
        self.allowance_at: list[int] = []
        self.warm_rate = 0.0
        """Rate of this node at a warm backend of the subset, per unit of its size."""

    @classmethod
    def from_settings(cls, settings: BalancerSettings) -> "SlowStart":
        """Creates the slow start from the settings."""
        return cls(
            settings.slow_start_duration,
            settings.slow_start_capacity,
            settings.slow_start_overload,
            settings.node_count,
        )

    def add(self, backend: int, now: int) -> None:
        """Adds a warm `backend` without history."""
        for name, initial in INITIAL.items():
            getattr(self, name)[backend : backend + 1] = [initial]
        self.allowance_at[backend] = now

    def copy_from(self, previous: "SlowStart") -> None:
        """Copies the state of `previous`, with this object's duration.

        The saved attempts of `previous` are set to zero; otherwise both would spend them.
        """
        for name in INITIAL:
            setattr(self, name, getattr(previous, name).copy())
        if self.duration != previous.duration:
            self.until = [started and started + self.duration for started in previous.started_at]
        previous.allowance = [0.0] * len(previous.allowance)

    def process_started(self, backend: int, now: int, started_at: int, allowance: float) -> None:
        """Starts the slow start of a new process.

        It is cold for the full duration, even if other nodes send to it too.
        """
        self.started_at[backend] = started_at
        self.until[backend] = started_at + self.duration
        self.allowance[backend], self.allowance_at[backend] = allowance, now

    def attempt_sent(self, backend: int, now: int) -> None:
        """Deducts an attempt sent to `backend` from its allowance while it is cold."""
        if now < self.until[backend]:
            self.allowance[backend] -= 1

    def allows(
        self, backend: int, now: int, size: float, ready_count: int, subset_count: int
    ) -> bool:
        """Returns whether this node may send one more attempt to a cold `backend` (rule 4).

        The allowance is this node's part of what a cold backend may receive, and of what all nodes
        together may have saved up. `ready_count` and `subset_count` are numbers of backends.
        """
        age, warm_rate = max(0, now - self.started_at[backend]), self.warm_rate * size
        capacity = self._capacity + (1 - self._capacity) * age / max(1, self.duration)
        max_fraction = self._overload * capacity
        fraction = max(MARGIN, capacity) * min(1.0, max_fraction)
        allowance = self.allowance[backend] + fraction * warm_rate * (
            now - self.allowance_at[backend]
        )
        burst = (max_fraction - fraction) * warm_rate * MAX_SAVED_SPAN + (
            MAX_SAVED_BY_ALL_NODES * ready_count / subset_count / self._node_count
        )
        allowance = min(
            allowance,
            MAX_SAVED_ATTEMPTS
            if 1 + burst >= MAX_SAVED_ATTEMPTS
            else burst + (allowance - burst) % 1,
        )
        self.allowance[backend], self.allowance_at[backend] = allowance, now
        return allowance >= 1
