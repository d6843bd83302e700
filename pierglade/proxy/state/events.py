"""What the host reports to the proxy's state machine: one type for each kind of event.

Each is a NamedTuple: events are made for every request, and a tuple is the cheapest typed record.
The machine dispatches by type and passes the fields on in their order. `connection` is the
DownstreamConnection or UpstreamConnection concerned.
"""

from typing import Any, NamedTuple

from pierglade.proxy.state.connections import CloseCause, DownstreamConnection, UpstreamConnection


class ConnectionOpened(NamedTuple):
    """A client has connected; `io` gets its DownstreamConnection as `io.client`."""

    io: Any
    known: bool = False  # its address has priority over strangers


class RequestStarted(NamedTuple):
    """Some bytes of a request have come."""

    connection: DownstreamConnection
    body_size: int | None = None  # bytes behind the head; None until the head is whole


class RequestReceived(NamedTuple):
    """A request is whole, or whole enough to be forwarded while its body comes."""

    connection: DownstreamConnection
    message: Any


class BodyReceived(NamedTuple):
    """More of a forwarded request's body has come."""

    connection: DownstreamConnection


class MalformedRequest(NamedTuple):
    """What came is no message that the proxy takes."""

    connection: DownstreamConnection
    status: int
    reason: str = ""


class ResponseProgressed(NamedTuple):
    """Some more of a response was written to its client."""

    connection: DownstreamConnection


class ResponseSent(NamedTuple):
    """The response's last byte was written to its client."""

    connection: DownstreamConnection


class ClientDisconnected(NamedTuple):
    """The client closed, or its connection broke."""

    connection: DownstreamConnection
    reason: str


class UpstreamConnected(NamedTuple):
    """A connection to a backend is established."""

    connection: UpstreamConnection


class RequestNotSent(NamedTuple):
    """Nothing was written upstream: the client's end of stream was there to be read."""

    connection: UpstreamConnection


class ResponsePartReceived(NamedTuple):
    """A piece of a response has come, and it is not whole."""

    connection: UpstreamConnection


class ResponseReceived(NamedTuple):
    """A response is whole, or whole enough to be forwarded while its body comes."""

    connection: UpstreamConnection
    message: Any


class ResponseCompleted(NamedTuple):
    """A response that was forwarded as it came is whole."""

    connection: UpstreamConnection
    keep_alive: bool


class UpstreamClosed(NamedTuple):
    """A connection to a backend has ended by itself."""

    connection: UpstreamConnection
    cause: CloseCause
    request_written: bool  # the last byte of a request was written
    reason: str


class EndpointsUpdated(NamedTuple):
    """A message of discovery, as it was read: not validated."""

    document: Any


class DiscoveryLost(NamedTuple):
    """Discovery can't be reached, or does not answer."""

    reason: str
    waited: int = 0  # tenths of a ms since its last message, or since the call for it began


class ConfigurationLoaded(NamedTuple):
    """The configuration was read again."""

    discovery: str
    document: dict
    settings: Any = None
    quota_delta: Any = None


class ManagementCall(NamedTuple):
    """An operator's call: the host's, with its method and path."""

    call: Any


class SoleProcess(NamedTuple):
    """The process that served this address before has ended."""


class StopRequested(NamedTuple):
    """The process is to stop."""

    successor_running: bool = False


class TimerFired(NamedTuple):
    """Only time has passed."""


# After these alone the balancer has nothing new to decide.
UNDECIDED = frozenset(
    (
        ConnectionOpened,
        RequestStarted,
        ResponseProgressed,
        ResponseSent,
        ResponsePartReceived,
        ResponseCompleted,
    )
)
