"""What the proxy's state machine asks of its host: one type for each kind of effect.

Each is a NamedTuple, as the events are. The host carries them out in their order, by type.
"""

from typing import Any, NamedTuple

from pierglade.proxy.state.connections import DownstreamConnection, UpstreamConnection


class SendResponse(NamedTuple):
    """Write a response to a client."""

    connection: DownstreamConnection
    head: bytes
    body: Any  # bytes, or a flow that goes on to come
    chunked: bool | None = None  # of a flow: whether it is sent in chunks; None: not a flow


class CloseWhenRead(NamedTuple):
    """Close a client's connection, unless something of it is unread."""

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
    body: Any  # bytes, or a flow that goes on to come


class CloseUpstream(NamedTuple):
    """Close a connection to a backend."""

    connection: UpstreamConnection


class ResyncEndpoints(NamedTuple):
    """Ask discovery for the whole endpoint list again."""


class PollDiscovery(NamedTuple):
    """Ask discovery for the endpoint list now."""


class FollowDiscovery(NamedTuple):
    """Follow discovery at another address."""

    address: str


class ReplyToManagement(NamedTuple):
    """Answer an operator's call."""

    call: Any
    status: int
    body: bytes
    allow: bytes | None


class OpenListener(NamedTuple):
    """Take new connections."""


class CloseListener(NamedTuple):
    """Take no new connections any more."""


class Exit(NamedTuple):
    """Nothing is left to be done: the process may end."""


class LogEvent(NamedTuple):
    """Write a line to the log."""

    event: str
    fields: dict[str, Any]
