"""The connections that the proxy's state machine keeps, and what each of them is doing."""

from enum import StrEnum


class ConnectionState(StrEnum):
    """What a connection is doing.

    A StrEnum, as members are dictionary keys in every request: its hash is that of a string,
    where a plain Enum computes one in Python.
    """

    # Downstream.
    NEW = "new"  # no byte has come yet
    IDLE = "idle"  # upstream as well
    READING_REQUEST = "reading_request"
    AWAITING_RESPONSE = "awaiting_response"
    WRITING_RESPONSE = "writing_response"
    LINGERING = "lingering"  # answered for the last time: the client is to close
    CLOSED = "closed"  # upstream as well
    # Upstream.
    CONNECTING = "connecting"
    BUSY = "busy"


class CloseCause(StrEnum):
    """How a connection to a backend came to its end, as far as outcomes differ."""

    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    STALE = "stale"  # a kept connection was found closed before a byte was written
    MALFORMED_RESPONSE = "malformed_response"
    CLIENT_GONE = "client_gone"  # the request's client left in the middle of its body


# Under their own names as well: reading a member from its class runs Python code in CPython 3.11,
# 0.2 us of it, about twenty times in a request.
(
    NEW,
    IDLE,
    READING_REQUEST,
    AWAITING_RESPONSE,
    WRITING_RESPONSE,
    LINGERING,
    CLOSED,
    CONNECTING,
    BUSY,
) = ConnectionState


class DownstreamConnection:
    """A client's connection, and the request on it that awaits its response."""

    __slots__ = (
        "dropped",
        "due",
        "headed",
        "id",
        "io",
        "is_closing",
        "known",
        "last",
        "message",
        "passed",
        "queued",
        "request",
        "since",
        "source",
        "state",
        "taken",
    )

    def __init__(self, io):
        self.io = io
        self.state = ConnectionState.NEW  # no byte has come yet
        self.since = 0  # when it was opened or became idle
        self.due = self.queued = None
        self.message = self.request = self.id = None
        self.last = False  # it ends with its next answer
        self.is_closing = False  # it was asked to close, and does unless something of it is unread
        self.headed = 0  # when the head of what it sends was whole
        self.taken = -1  # bytes of its body when it was last looked at
        self.source = None  # the upstream connection whose response is forwarded as it comes
        self.dropped = 0  # when the proxy last ended an attempt of its request
        self.passed = False  # not shed at a glance, though others are
        self.known = False  # of an address that has priority over strangers


class UpstreamConnection:
    """A connection to a backend, and the attempt or health check on it."""

    __slots__ = (
        "address",
        "attempt",
        "backend",
        "cut",
        "due",
        "flow",
        "io",
        "probing",
        "queued",
        "reader",
        "replying",
        "since",
        "state",
    )

    def __init__(self, backend):
        self.io = None
        self.backend, self.address = backend, backend.address
        self.state = ConnectionState.CONNECTING
        self.due = self.queued = None
        self.attempt = None
        self.probing = False
        self.replying = 0  # by when the response that has begun is to go on; 0: none has
        self.cut = False  # it was ended in the middle of something
        self.flow = self.reader = None  # a response that is forwarded as it comes, and its client
        self.since = 0


class EndpointRecord:
    """Where a backend is reached, and which connections to it are open."""

    __slots__ = (
        "address",
        "coming_up",
        "draining_since",
        "entry",
        "idle",
        "links",
        "name",
        "probed_on",
        "started",
        "state",
        "was_draining",
    )

    def __init__(self, name, address, started):
        self.name, self.address, self.started = name, address, started
        self.state = None  # the EndpointState that discovery told last
        self.draining_since = None  # since when it is draining or is gone
        self.was_draining = False  # it was listed as draining since it was last ready
        self.idle = []  # the last one used last
        self.links = 0  # open ones, the idle included
        self.coming_up = 0  # of these, those that are not up yet
        self.probed_on = None  # the connection of a health check without a result yet
        self.entry = None  # the last Endpoint of discovery


def set_state(connection, state, by_state):
    """Moves a connection to a state, last of those that are in it."""
    by_state[connection.state].pop(connection, None)
    connection.state = state
    by_state[state][connection] = None
