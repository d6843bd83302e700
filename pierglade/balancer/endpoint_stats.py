"""Who the backends are, under a dense index, and what is known of each class of requests. No I/O.

Moments and spans are tenths of a millisecond.
"""

from collections import OrderedDict
from collections.abc import Container
from hashlib import blake2b

from pierglade.model.endpoint import EndpointState
from pierglade.model.request import Idempotency, Request, RequestClass

# Times the longest request timeout; a removed backend's index is used again after that.
REUSE_AFTER = 2
# Share of the latency objective assumed as usual latency; leaves enough time for a retry.
INITIAL_LATENCY = 0.25
# Requests; an idempotency that none of these had comes no more, or too seldom.
KIND_SEEN_WITHIN = 100
# 0.5 s; what came in a shorter span is luck.
RATE_SPAN_LEAST = 5000
# Share left of the recent counts after each FADE_SPAN (50 ms): about 50 s are seen.
FADE, FADE_SPAN = 0.999, 500

# The arrays of `EndpointStats`, by name, and what a new backend begins with.
INITIAL = dict(
    names=None,
    rank=None,
    state=EndpointState.REMOVED,
    zone=None,
    cell=None,
    size=0.0,
    left_at=0,
)


class EndpointStats:
    """Identity of all backends: one array for each figure, under a dense index.

    Other parts may read the arrays and change nothing in them but by `endpoints_updated`.
    """

    def __init__(self, longest_timeout: int) -> None:
        self.index: dict[str, int] = {}
        """The index of each name, also of removed backends until it is used again."""
        self.removed: OrderedDict[int, None] = OrderedDict()
        """Removed backends, the one that left first in front."""
        self._reuse_after = REUSE_AFTER * longest_timeout
        self.names: list[str] = []
        self.rank: list[bytes] = []
        """Place on the hash ring."""
        self.state: list[EndpointState] = []
        self.zone: list[str | None] = []
        self.cell: list[str | None] = []
        self.size: list[float] = []
        """The largest weight seen."""
        self.left_at: list[int] = []
        """When it drained or was removed; 0 while it is listed as ready."""

    def add(self, name: str, now: int, in_flight: Container[int]) -> int:
        """An index for a new backend: a removed one's that has no attempts left, or the next."""
        backend = next((backend for backend in self.removed if backend not in in_flight), None)
        if backend is None or now - self.left_at[backend] <= self._reuse_after:
            backend = len(self.names)
        else:
            del self.index[self.names[backend]], self.removed[backend]
        for array, initial in INITIAL.items():
            getattr(self, array)[backend : backend + 1] = [initial]  # appends where backend is new
        self.names[backend] = name
        self.rank[backend] = blake2b(name.encode(), digest_size=8).digest() + name.encode()
        self.left_at[backend] = now
        self.index[name] = backend
        return backend

    def copy_from(self, before: "EndpointStats") -> None:
        """Takes over what `before` knows; nothing that changes later is shared."""
        for name in INITIAL:
            setattr(self, name, getattr(before, name).copy())
        self.index, self.removed = before.index.copy(), OrderedDict(before.removed)

    def became_ready(self, backend: int) -> None:
        """The backend is listed as ready."""
        self.state[backend] = EndpointState.READY
        self.removed.pop(backend, None)

    def became_unready(self, backend: int, state: EndpointState) -> None:
        """The backend drains or was removed."""
        self.state[backend] = state
        (self.removed.setdefault if state == EndpointState.REMOVED else self.removed.pop)(
            backend, None
        )


class RequestClassStats:
    """What a balancer knows of one class of requests.

    The names of its fields are those that snapshots store.
    """

    def __init__(self, request_class: RequestClass) -> None:
        self.priority_weight = request_class.priority_weight
        # A first answer alone is a poor guide: by a very quick one all would look unresponsive.
        self.typical = INITIAL_LATENCY * request_class.latency_objective
        """Smoothed latency."""
        self.skew = 0.0
        """Log of the mean latency over the usual one, half the variance of that log."""
        self.hinted = 0.0
        """Smoothed cost hint."""
        self.answers = 2
        """How many answers `typical` rests on; the first guess counts as two."""
        self.asked = 0.0
        """First attempts of clients received lately."""
        self.got = 0.0
        """Requests answered lately within the latency objective."""
        self.usual_left = 0
        """The time that a client's first attempt comes with."""
        self.usual_votes = 0
        """How sure that is."""


class RequestStats:
    """What a balancer knows of all classes of requests, and how many came lately."""

    def __init__(self, request_classes: list[RequestClass], now: int) -> None:
        self.classes = [RequestClassStats(each) for each in request_classes]
        self.received = 0
        """Requests received in all."""
        self.last_received = {
            kind: (
                0
                if any(each.idempotency == kind for each in request_classes)
                else -KIND_SEEN_WITHIN
            )
            for kind in (Idempotency.SAFE, Idempotency.KEYED, Idempotency.UNSAFE)
        }
        """How many requests had come when one of the kind last did."""
        self.succeeded = 0.0
        """Successful attempts lately."""
        self.span = 0.0
        """The span over which the recent counts are seen, fading with them."""
        self.faded_at = now

    def request_received(self, request: Request) -> RequestClassStats:
        """Counts a request; what is known of its class."""
        self.received += 1
        stats = self.classes[request.request_class.index]
        stats.asked += 1
        self.last_received[request.request_class.idempotency] = self.received
        return stats

    def least_harmful_kind(self) -> Idempotency:
        """Of the kinds that come, the least harmful to send as a trial request.

        One that nobody asks for would bring no trial ever.
        """
        since = self.received - KIND_SEEN_WITHIN
        return next(kind for kind, at in self.last_received.items() if at > since)

    def rate(self, now: int, field: str) -> float:
        """Requests received (`asked`) or answered in time (`got`) lately, in a tenth of a ms."""
        over = self.span + now - self.faded_at
        return sum(getattr(each, field) for each in self.classes) / max(over, RATE_SPAN_LEAST)

    def success_rate(self, now: int) -> float:
        """Successful attempts lately, in a tenth of a ms."""
        return self.succeeded / max(self.span + now - self.faded_at, RATE_SPAN_LEAST)

    def fade(self, now: int) -> None:
        """The recent counts fade with time."""
        fade = FADE ** ((now - self.faded_at) / FADE_SPAN)
        self.span = (self.span + now - self.faded_at) * fade
        self.faded_at = now
        self.succeeded *= fade
        for each in self.classes:
            each.asked, each.got = each.asked * fade, each.got * fade

    def copy_from(self, before: "RequestStats") -> None:
        """Takes over the counts of all classes together; those of each class are taken by name."""
        self.received, self.succeeded = before.received, before.succeeded
        self.span, self.faded_at = before.span, before.faded_at
