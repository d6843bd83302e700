"""Identity of the backends under a dense index, and statistics of request classes. No I/O.

Times and durations are in ticks (tenths of a millisecond).
"""

from collections import OrderedDict
from collections.abc import Container
from hashlib import blake2b

from pierglade.model.endpoint import EndpointState
from pierglade.model.request import Idempotency, Request, RequestClass

# Multiple of the longest request timeout after which the index of a removed backend is reused.
INDEX_REUSE_RATIO = 2
# Fraction of the latency objective that is the initial typical latency; leaves time for a retry.
INITIAL_LATENCY = 0.25
# Number of recent requests. A kind of idempotency that none of them had is no longer sent, or too
# rarely.
IDEMPOTENCY_WINDOW = 100
# Ticks (0.5 s). Minimum span of a rate; over a shorter one it is random.
MIN_RATE_SPAN = 5000
# Factor applied to the recent counts per DECAY_INTERVAL (50 ms), so that they cover about 50 s.
DECAY_FACTOR, DECAY_INTERVAL = 0.999, 500

# Arrays of `EndpointStats`, with the values for a new backend.
INITIAL = dict(
    names=None,
    rank=None,
    state=EndpointState.REMOVED,
    zone=None,
    cell=None,
    size=0.0,
    unready_since=0,
)


class EndpointStats:
    """Identity of all backends, one array per figure, under a dense index.

    Other modules read the arrays and modify them only through `endpoints_updated`.
    """

    def __init__(self, longest_timeout: int) -> None:
        self.index: dict[str, int] = {}
        """The index of each name; a removed backend keeps it until it is reused."""
        self.removed: OrderedDict[int, None] = OrderedDict()
        """Removed backends, the one removed first in front."""
        self._reuse_after = INDEX_REUSE_RATIO * longest_timeout
        self.names: list[str] = []
        self.rank: list[bytes] = []
        """Position on the hash ring."""
        self.state: list[EndpointState] = []
        self.zone: list[str | None] = []
        self.cell: list[str | None] = []
        self.size: list[float] = []
        """The largest weight received."""
        self.unready_since: list[int] = []
        """When the backend started draining or was removed; 0 while it is listed as ready."""

    def add(self, name: str, now: int, in_flight: Container[int]) -> int:
        """Returns an index for a new backend, reusing one of a removed backend without attempts."""
        backend = next((backend for backend in self.removed if backend not in in_flight), None)
        if backend is None or now - self.unready_since[backend] <= self._reuse_after:
            backend = len(self.names)
        else:
            del self.index[self.names[backend]], self.removed[backend]
        for array, initial in INITIAL.items():
            getattr(self, array)[backend : backend + 1] = [initial]  # appends if the index is new
        self.names[backend] = name
        self.rank[backend] = blake2b(name.encode(), digest_size=8).digest() + name.encode()
        self.unready_since[backend] = now
        self.index[name] = backend
        return backend

    def copy_from(self, previous: "EndpointStats") -> None:
        """Copies the state of `previous`; shares no mutable data with it."""
        for name in INITIAL:
            setattr(self, name, getattr(previous, name).copy())
        self.index, self.removed = previous.index.copy(), OrderedDict(previous.removed)

    def became_ready(self, backend: int) -> None:
        """Marks the backend as ready."""
        self.state[backend] = EndpointState.READY
        self.removed.pop(backend, None)

    def became_unready(self, backend: int, state: EndpointState) -> None:
        """Marks the backend as draining or removed."""
        self.state[backend] = state
        (self.removed.setdefault if state == EndpointState.REMOVED else self.removed.pop)(
            backend, None
        )


class RequestClassStats:
    """Statistics of one request class.

    Snapshots store the fields under these names.
    """

    def __init__(self, request_class: RequestClass) -> None:
        self.priority_weight = request_class.priority_weight
        # An initial estimate is needed because the first answer alone is a poor one: if it is very
        # fast, all backends would look unresponsive.
        self.typical = INITIAL_LATENCY * request_class.latency_objective
        """Smoothed latency."""
        self.skew = 0.0
        """Log of the ratio of mean to typical latency, half the variance of the log latency."""
        self.hinted = 0.0
        """Smoothed cost hint."""
        self.answers = 2
        """Number of answers behind `typical`; the initial estimate counts as two."""
        self.asked = 0.0
        """First attempts of clients received recently."""
        self.got = 0.0
        """Requests answered recently within the latency objective."""
        self.usual_left = 0
        """The time left with which first attempts of clients usually arrive."""
        self.usual_votes = 0
        """Votes for `usual_left`; more votes mean higher confidence."""


class RequestStats:
    """Statistics of all request classes, and recent counts of requests."""

    def __init__(self, request_classes: list[RequestClass], now: int) -> None:
        self.classes = [RequestClassStats(each) for each in request_classes]
        self.received = 0
        """Total number of requests received."""
        self.last_received = {
            kind: (
                0
                if any(each.idempotency == kind for each in request_classes)
                else -IDEMPOTENCY_WINDOW
            )
            for kind in (Idempotency.SAFE, Idempotency.KEYED, Idempotency.UNSAFE)
        }
        """Value of `received` at the last request of each kind of idempotency."""
        self.succeeded = 0.0
        """Recent successful attempts."""
        self.span = 0.0
        """Time span covered by the recent counts; decays with them."""
        self.decayed_at = now

    def request_received(self, request: Request) -> RequestClassStats:
        """Counts a request and returns the statistics of its class."""
        self.received += 1
        stats = self.classes[request.request_class.index]
        stats.asked += 1
        self.last_received[request.request_class.idempotency] = self.received
        return stats

    def safest_idempotency(self) -> Idempotency:
        """Returns the safest kind of idempotency among recent requests, for trial requests.

        A kind that clients no longer send would never provide a trial request.
        """
        oldest_recent = self.received - IDEMPOTENCY_WINDOW
        return next(kind for kind, number in self.last_received.items() if number > oldest_recent)

    def rate(self, now: int, field: str) -> float:
        """Returns the recent requests received (`asked`) or answered in time (`got`) per tick."""
        span = self.span + now - self.decayed_at
        return sum(getattr(each, field) for each in self.classes) / max(span, MIN_RATE_SPAN)

    def success_rate(self, now: int) -> float:
        """Returns the recent successful attempts per tick."""
        return self.succeeded / max(self.span + now - self.decayed_at, MIN_RATE_SPAN)

    def decay(self, now: int) -> None:
        """Decays the recent counts."""
        factor = DECAY_FACTOR ** ((now - self.decayed_at) / DECAY_INTERVAL)
        self.span = (self.span + now - self.decayed_at) * factor
        self.decayed_at = now
        self.succeeded *= factor
        for each in self.classes:
            each.asked, each.got = each.asked * factor, each.got * factor

    def copy_from(self, previous: "RequestStats") -> None:
        """Copies the counts over all classes.

        The caller copies the counts of each class by the name of the class.
        """
        self.received, self.succeeded = previous.received, previous.succeeded
        self.span, self.decayed_at = previous.span, previous.decayed_at
