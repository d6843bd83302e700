"""Plain types shared by the decisions and their hosts. No decision is made here.

All moments and durations are whole tenths of a millisecond.
"""

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pierglade.tenants.registry import Tenants

# What a repeat of an offering's invocation may do.
SAFE, KEYED, UNSAFE = "harmless", "stamped", "one-shot"

# States of a backend on the list.
READY, DRAINING, GONE = "ready", "draining", "gone"

# How a trip ended.
SUCCESS = "settled"  # answered; the answer has gone to the client
ERROR = "error"  # the backend answered with an error; it may have run
REJECTED_UNPROCESSED = "turned away"  # the backend sent it back unseen
TIMEOUT = "timed out"  # no answer in time; it may have run
CONNECT_FAILED = "unreachable"  # no connection came up
CONNECTION_RESET = "broken"  # the connection broke; it may have run
CANCELLED = "called off"  # we stopped waiting; it may have run
NOT_SENT = "never sent"  # the host did not send it
CLIENT_ERROR = (
    "rejected"  # the backend found fault with the invocation itself, and its answer is passed on
)

NEVER_RAN = frozenset((REJECTED_UNPROCESSED, CONNECT_FAILED, NOT_SENT))

# Where the settings name none.
CONNECT_WITHIN = 10000  # 1 s; a connection on a local network comes up well within it
IDLE_FOR = 100000  # 10 s; common servers keep an idle connection for longer

# How load reports come, where backends give any.
WITH_ANSWERS, WITH_PROBES = "with answers", "with probes"

# Kinds of decision that a host pulls.
SEND, CANCEL_ATTEMPT, REJECT_REQUEST, FAIL_REQUEST, PROBE, ASK = (
    "send",
    "call off",
    "bounce",
    "give up",
    "probe",
    "ask",
)


@dataclass(slots=True)
class RequestClass:
    """One row of the table of offerings."""

    index: int
    name: str
    repeats: str  # HARMLESS, STAMPED or ONE_SHOT
    group: str  # stamped: the backends that drop its repeats: "all", "zone" or "cell"
    window: int  # stamped: how long they do, from the first trip that may have run
    expected: int  # the expected time
    request_timeout: int
    priority_weight: float


@dataclass(slots=True)
class Tenant:
    """Who shares the fleet, and the rate that its share allows over all nodes."""

    name: str
    per_second: float
    rate: float = 0.0
    seen: int = 0
    drag: float = (
        1.0  # times that its invocations take as long as others of their offering, of late
    )
    dragged: int = 0  # when that was seen
    slow: int = 0  # how many of its invocations came meanwhile


@dataclass(slots=True)
class BalancerSettings:
    """The settings as received, in our words."""

    request_classes: list
    tenants: "Tenants"  # of pierglade/tenants/registry.py
    number: int  # the node's own, among so many
    nodes: int
    most_trips: int
    may_cancel: bool
    may_probe: bool
    retry_after: int  # longest wait that clients follow; 0 where they are told none
    cold_for: int
    cold_from: float
    tip_multiple: float
    worst_offering: float  # weight of the worst-served offering in what counts as service
    connect_within: int = CONNECT_WITHIN  # a connection that is not up by then never will be
    idle_for: int = IDLE_FOR  # backends close a connection that was idle for this long
    drain_grace: int = (
        0  # how long a draining or gone backend may still be sent to; a node never does
    )
    gone_binds: bool = (
        True  # gone binds like draining; else only what was seen draining is not sent to
    )
    asks_list: bool = False  # the list comes only once it was asked for
    reports: str | None = None  # WITH_ANSWERS, WITH_PROBES, or None where they tell no pace
    gauges: tuple = ()  # what a report holds, in order: names of fields of Load, None where not used
    # In any such span a node's further trips are at most so many and such a share of what it took; 0: free.
    further_span: int = 0
    further_most: int = 0
    further_share: float = 0.0
    zone: str | None = None  # the node's own
    crossing: float = (
        0.0  # what each crossing between zones costs, as a share of an invocation's worth
    )

    @property
    def members(self):
        """The tenants under the name that tools of others read."""
        return self.tenants


@dataclass(slots=True)
class Endpoint:
    """A backend as the list names it."""

    name: str
    state: str
    zone: str
    cell: object
    started: int  # 0: long ago
    weight: float = 1.0  # what it can bear beside others, as far as the list knows


@dataclass(slots=True)
class Load:
    """What a backend tells of its load from all nodes; a little late. None: not told."""

    pace: float | None = None  # invocations settled, in a second
    queue: float | None = None  # invocations that wait
    busy: float | None = None  # share of its cores


@dataclass(slots=True, eq=False)
class Request:
    """Something taken from a client. `mark` is the host's own and never read by the decisions."""

    mark: object
    request_class: RequestClass
    tenant: Tenant | None
    arrived: int
    limit: int  # the moment at which the client gives up
    hint: int = 0  # how much work it is, as far as whoever sent it can tell; 0: not told
    cost: float = 1.0  # that over the mean of its offering
    expected: int = 0  # the moment of its expected time, as the node judges it
    attempts: list = field(default_factory=list)
    out: int = 0  # trips still out
    risky: "Attempt | None" = None  # the first trip that may have run
    held: int = 0  # since when it has waited here with nothing out
    over: bool = False  # it has its final answer
    by: object = None  # the host's own: the node that took it, under the settings of that moment


@dataclass(slots=True, eq=False)
class Attempt:
    """One sending of an invocation to a backend."""

    request: Request
    number: int
    backend: int  # dense index in the node that sent it
    sent: int
    until: int  # the moment of its time-out
    trial: bool = False
    round: int = 0  # which round of the limit it belongs to, 0 for none
    cancelled: bool = False
    outcome: str | None = None
