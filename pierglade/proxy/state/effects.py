"""Effects: what the proxy's state machine requests from its caller, one type per kind.

Each is a NamedTuple, like the events. The caller executes them in order, by type.
"""

from typing import Any, NamedTuple

from pierglade.proxy.state.connections import DownstreamConnection, UpstreamConnection


class SendResponse(NamedTuple):
    """Write a response to a client."""

    connection: DownstreamConnection
    head: bytes
    body: Any  # bytes, or a BodyStream
    chunked: bool | None = None  # whether a BodyStream is sent in chunks; None: bytes


class CloseWhenRead(NamedTuple):
    """Close a client's connection, unless it has unread bytes."""

    connection: DownstreamConnection
    reason: str


class AbortConnection(NamedTuple):
    """Close a client's connection at once."""

    connection: DownstreamConnection


class Connect(NamedTuple):
    """Connect to a backend."""

    connection: UpstreamConnection


class SendRequest(NamedTuple):
    """Write a request to a backend."""

    connection: UpstreamConnection
    head: bytes
    body: Any  # bytes, or a BodyStream


class StreamResponse(NamedTuple):
    """Report the response being read as received, and stream the rest of its body.

    Only for a response whose length is known only at its end.
    """

    connection: UpstreamConnection


class AbortUnlessWritten(NamedTuple):
    """Abort a connection unless the backend has received the request on it to the last byte."""

    connection: UpstreamConnection


class CloseUpstream(NamedTuple):
    """Close a connection to a backend."""

    connection: UpstreamConnection


class ResyncEndpoints(NamedTuple):
    """Request the whole endpoint list from discovery again."""


class PollDiscovery(NamedTuple):
    """Request the endpoint list from discovery now."""


class FollowDiscovery(NamedTuple):
    """Follow discovery at another address."""

    address: str


class ReplyToManagement(NamedTuple):
    """Answer a management call."""

    call: Any
    status: int
    body: bytes
    allow: bytes | None


class OpenListener(NamedTuple):
    """Accept new connections."""


class CloseListener(NamedTuple):
    """Stop accepting new connections."""


class Exit(NamedTuple):
    """Exit the process, as no client is connected any more."""


class LogEvent(NamedTuple):
    """Write a line to the log."""

    event: str
    fields: dict[str, Any]
