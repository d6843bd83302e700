"""What the balancer decides: one type a kind, pulled by the host one by one."""

from dataclasses import dataclass
from typing import TypeAlias

from pierglade.model.request import Attempt, Request
from pierglade.model.ticks import Ticks


@dataclass(slots=True)
class SendAttempt:
    """Send the attempt's request to its backend."""

    attempt: Attempt


@dataclass(slots=True)
class CancelAttempt:
    """Wait no longer for the attempt."""

    attempt: Attempt


@dataclass(slots=True)
class RejectRequest:
    """Answer that the request was not executed, or may be sent again without harm."""

    request: Request
    retry_after: Ticks = 0
    """When the client may come back; 0 where clients are told nothing."""


@dataclass(slots=True)
class FailRequest:
    """Answer that the request failed; it may have been executed."""

    request: Request


@dataclass(slots=True)
class CheckHealth:
    """Check the health of a backend, by its index in the balancer."""

    backend: int


@dataclass(slots=True)
class PollEndpoints:
    """Ask discovery for the endpoint list."""


Decision: TypeAlias = (
    SendAttempt | CancelAttempt | RejectRequest | FailRequest | CheckHealth | PollEndpoints
)
