"""Events: what the caller reports to the proxy's state machine, one type per kind.

Each is a NamedTuple: events are made for every request, and a tuple is the cheapest typed record.
The machine dispatches by type and passes the fields on in their order. `connection` is the
DownstreamConnection or UpstreamConnection concerned.
"""

from typing import Any, NamedTuple

from pierglade.proxy.state.connections import CloseCause, DownstreamConnection, UpstreamConnection


class ConnectionOpened(NamedTuple):
    """A client has connected; `io` gets its DownstreamConnection as `io.client`."""

    io: Any
    known: bool = False  # whether its address has priority over unknown ones


class ConnectionWaiting(NamedTuple):
    """A client waits to be accepted, and no file descriptor is free."""


class RequestStarted(NamedTuple):
    """Some bytes of a request have arrived."""

    connection: DownstreamConnection
    body_size: int | None = None  # bytes after the head; None until the head is complete


class RequestReceived(NamedTuple):
    """A request is complete, or can be forwarded while the rest of its body arrives."""

    connection: DownstreamConnection
    message: Any


class BodyReceived(NamedTuple):
    """More of a forwarded request's body has arrived."""

    connection: DownstreamConnection


class MalformedRequest(NamedTuple):
    """The received bytes are not a request that the proxy accepts."""

    connection: DownstreamConnection
    status: int
    reason: str = ""


class ResponseProgressed(NamedTuple):
    """Part of a response was written to its client."""

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
    """Nothing was written upstream: the client has ended its side, or may have, unseen."""

    connection: UpstreamConnection
    client_closed: bool = True


class RequestHeldUp(NamedTuple):
    """Nothing was written upstream, as the process stood still since it last looked for events."""

    connection: UpstreamConnection


class ResponsePartReceived(NamedTuple):
    """A piece of a response has arrived; the response is not complete yet."""

    connection: UpstreamConnection
    # Bytes read of a body that is not streamed yet and whose length is known only at its end.
    unsized_body_bytes: int | None = None


class ResponseReceived(NamedTuple):
    """A response is complete, or can be forwarded while the rest of its body arrives."""

    connection: UpstreamConnection
    message: Any


class UnsolicitedBytesReceived(NamedTuple):
    """A backend sent bytes behind a response, or while the connection was idle."""

    connection: UpstreamConnection


class ResponseCompleted(NamedTuple):
    """A streamed response is complete."""

    connection: UpstreamConnection
    keep_alive: bool


class UpstreamClosed(NamedTuple):
    """A connection to a backend has ended without the state machine closing it."""

    connection: UpstreamConnection
    cause: CloseCause
    request_written: bool  # whether the last byte of the request was written
    reason: str


class EndpointsUpdated(NamedTuple):
    """A message of discovery has arrived; it is not validated yet."""

    document: Any


class DiscoveryLost(NamedTuple):
    """Discovery is unreachable or does not answer."""

    reason: str
    waited: int = 0  # ticks since discovery's last message, or since the call began


class ConfigurationLoaded(NamedTuple):
    """The configuration was loaded again."""

    discovery: str
    document: dict
    settings: Any = None
    quota_delta: Any = None


class ManagementCall(NamedTuple):
    """An operator made a management call; `call`: an object with method and path."""

    call: Any


class SoleProcess(NamedTuple):
    """The process that served this address before has ended."""


class IdsShared(NamedTuple):
    """The files are open through which processes of this node share the ids of sent requests."""


class StopRequested(NamedTuple):
    """The process was requested to stop."""

    successor_running: bool = False


class TimerFired(NamedTuple):
    """A wakeup time was reached; nothing else happened."""


# Events after which the balancer has no new decisions.
EVENTS_WITHOUT_DECISIONS = frozenset(
    (
        ConnectionOpened,
        ConnectionWaiting,
        RequestStarted,
        ResponseProgressed,
        ResponseSent,
        ResponsePartReceived,
        ResponseCompleted,
        UnsolicitedBytesReceived,
    )
)
