"""Records of client and backend connections and of endpoints."""

from enum import StrEnum

from pierglade.proxy.state.constants import (
    DUPLICATES_EXPECTED_FOR,
    RETRANSMISSION_DELAY,
    REUSE_DELAY,
)


class ConnectionState(StrEnum):
    """The state of a connection.

    This is a StrEnum because members are dictionary keys in every request: a StrEnum uses the hash
    of its string, whereas a plain Enum computes its hash in Python.
    """

    # Downstream.
    NEW = "new"  # no byte has been received yet
    IDLE = "idle"  # upstream as well
    READING_REQUEST = "reading_request"
    AWAITING_RESPONSE = "awaiting_response"
    WRITING_RESPONSE = "writing_response"
    LINGERING = "lingering"  # the last response is sent, and the client has not closed yet
    CLOSED = "closed"  # upstream as well
    # Upstream.
    CONNECTING = "connecting"
    BUSY = "busy"


class CloseCause(StrEnum):
    """Why a connection to a backend ended, as far as the outcome of an attempt depends on it."""

    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    STALE = "stale"  # an idle connection was found closed before a byte was written
    MALFORMED_RESPONSE = "malformed_response"
    # The deduplication window of an earlier attempt ended before the last byte was sent.
    WRITE_OVERDUE = "write_overdue"
    CLIENT_GONE = "client_gone"  # the client disconnected before its request body was complete


# The members are also module-level names: in CPython 3.11, reading a member from its class runs
# Python code that takes 0.2 us, and a request does so about twenty times.
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
    """A client's connection and its pending request."""

    __slots__ = (
        "body_checked_at",
        "body_size_at_last_check",
        "exceeds_limit",
        "head_received_at",
        "id",
        "io",
        "is_closing",
        "known",
        "last",
        "last_abort_at",
        "message",
        "passed_shedding",
        "request",
        "since",
        "source",
        "state",
        "timer",
        "timer_queued_at",
        "unclaimed_fingerprint",
    )

    def __init__(self, io):
        self.io = io
        self.state = ConnectionState.NEW
        self.since = 0  # when it was opened or became idle
        self.timer = self.timer_queued_at = None
        self.message = self.request = self.id = None
        self.last = False  # whether it is closed after its next response
        self.exceeds_limit = False  # whether no descriptor was free when it was opened
        self.is_closing = False  # whether a close was requested; unread bytes are still handled
        self.head_received_at = 0  # when the head of the current request was complete
        # When it was last checked that the body goes on, and its bytes by then.
        self.body_checked_at, self.body_size_at_last_check = 0, -1
        self.source = None  # the upstream connection whose response is being streamed to it
        self.last_abort_at = 0  # when the proxy last aborted an attempt of its request
        self.unclaimed_fingerprint = None  # of its request's id, until that is recorded as sent
        self.passed_shedding = False  # whether its request was admitted before it was parsed
        self.known = False  # whether its address has priority over unknown ones

    @property
    def request_id(self) -> str | None:
        """The trace id of the pending request, as text for the log; None if there is none."""
        return self.id.decode("latin-1") if self.id else None


class UpstreamConnection:
    """A connection to a backend and the attempt or health check on it."""

    __slots__ = (
        "address",
        "attempt",
        "backend",
        "body_stream",
        "closed_while_busy",
        "incarnation",
        "io",
        "is_health_check",
        "is_open_ended",
        "is_streamed_early",
        "proof_due_at",
        "proved_at",
        "receiver",
        "response_began_at",
        "response_piece_due_at",
        "since",
        "state",
        "timer",
        "timer_queued_at",
    )

    def __init__(self, backend):
        self.io = None
        self.backend, self.address = backend, backend.address
        self.incarnation = backend.incarnation
        self.state = ConnectionState.CONNECTING
        self.timer = self.timer_queued_at = None
        self.attempt = None
        self.is_health_check = False
        self.expect_response()
        self.closed_while_busy = False
        self.body_stream = self.receiver = (
            None  # the response being streamed, and its client's connection
        )
        self.since = 0  # when it was opened or became idle

    @property
    def request_id(self) -> str | None:
        """The trace id of the request whose attempt is on it; None if there is none."""
        return self.attempt.request.caller_context.request_id if self.attempt else None

    def expect_response(self):
        """Clears what is known of the response being read: the next piece begins another one."""
        self.response_began_at = 0  # when its first piece arrived; 0: none has
        self.response_piece_due_at = 0  # when its next piece is due; 0: no piece is
        # Whether its body could be streamed from now on, as its length is known only at its end.
        self.is_open_ended = False
        self.is_streamed_early = False  # whether that was done while the body was small
        # When a body that is streamed early must have turned out to go on, and when that was
        # checked; 0: not at all.
        self.proof_due_at = self.proved_at = 0


class EndpointRecord:
    """Address and state of a backend and its open connections."""

    __slots__ = (
        "address",
        "connecting_count",
        "draining_since",
        "entry",
        "health_check_connection",
        "idle",
        "incarnation",
        "is_superseded",
        "min_connect_time",
        "name",
        "open_connections",
        "sends_duplicates_until",
        "started",
        "state",
        "was_draining",
    )

    def __init__(self, name, address, started):
        self.name, self.address, self.started = name, address, started
        self.state = None  # the last EndpointState that discovery reported
        self.draining_since = None  # when it was first reported as draining or removed
        self.was_draining = False  # whether it was listed as draining since it was last ready
        self.idle = []  # idle connections, the most recently used last
        self.open_connections = 0  # open connections, including idle ones
        self.connecting_count = 0  # those of the open connections that are not established yet
        self.health_check_connection = None  # the connection of a pending health check
        # The shortest time that connecting to its address took, which is about one round trip.
        self.min_connect_time = None
        # The last Endpoint that discovery reported, with its start on this node's clock; `started`
        # is the time as reported.
        self.entry = None
        self.is_superseded = False  # whether the process of another name has its address now
        self.incarnation = 0  # number of restarts: processes that had the name before
        self.sends_duplicates_until = 0  # until when more unsolicited responses are expected

    def is_current(self, connection):
        """Returns whether a connection was opened to the process that has the name now."""
        return connection.incarnation == self.incarnation

    def connect_measured(self, duration):
        """Records how long it took to establish a connection."""
        if self.min_connect_time is None or duration < self.min_connect_time:
            self.min_connect_time = duration

    def reuse_delay(self):
        """Returns for how long a connection is not reused after a response.

        A duplicate response may take longer on its way than the first one did. By how much depends
        on the distance: transit times vary by a fraction of their mean.
        """
        return REUSE_DELAY + (self.min_connect_time or 0) // 2

    def unsolicited_bytes_received(self, now):
        """Records that it sent bytes that answer no request, such as a duplicate response."""
        self.sends_duplicates_until = now + DUPLICATES_EXPECTED_FOR

    def rest_time(self, now):
        """Returns for how long a connection is not reused after a response that was received now.

        Where duplicates come, one of them may be lost on its way and sent again by TCP.
        """
        reuse_delay = self.reuse_delay()
        if now < self.sends_duplicates_until:
            return reuse_delay + RETRANSMISSION_DELAY
        return reuse_delay


def set_state(connection, state, by_state):
    """Changes the state of a connection and appends it to the connections in that state."""
    by_state[connection.state].pop(connection, None)
    connection.state = state
    by_state[state][connection] = None
