"""The decisions of the balancer, one type for each kind. The caller takes them one by one."""

from dataclasses import dataclass
from typing import TypeAlias

from pierglade.model.request import Attempt, Request
from pierglade.model.ticks import Ticks


@dataclass(slots=True)
class SendAttempt:
    """Sends the attempt's request to its backend."""

    attempt: Attempt


@dataclass(slots=True)
class CancelAttempt:
    """Stops waiting for the attempt."""

    attempt: Attempt


@dataclass(slots=True)
class RejectRequest:
    """Responds that the request was not executed, or is safe to send again."""

    request: Request
    retry_after: Ticks = 0
    """Wait before the client may retry; 0 if none is sent to clients."""


@dataclass(slots=True)
class FailRequest:
    """Responds that the request failed; it may have been executed."""

    request: Request


@dataclass(slots=True)
class CheckHealth:
    """Checks the health of a backend, given by its index in the balancer."""

    backend: int


@dataclass(slots=True)
class PollEndpoints:
    """Requests the endpoint list from discovery."""


Decision: TypeAlias = (
    SendAttempt | CancelAttempt | RejectRequest | FailRequest | CheckHealth | PollEndpoints
)
