"""Backends as the endpoint list names them, and what they report of their load."""

from dataclasses import dataclass
from enum import StrEnum

from pierglade.model.ticks import Ticks


class EndpointState(StrEnum):
    """What the endpoint list says of a backend."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "removed"


class EjectionReason(StrEnum):
    """Why a backend gets trial requests only."""

    SLOW = "slow"
    UNRESPONSIVE = "unresponsive"
    FAILING = "failing"


@dataclass(slots=True)
class Endpoint:
    """A backend as the endpoint list names it."""

    name: str
    state: EndpointState
    zone: str | None
    cell: object
    started_at: Ticks
    """When its process started; 0: long ago."""
    weight: float = 1.0
    """What it can bear beside others, as far as the list knows."""


@dataclass(slots=True)
class LoadReport:
    """What a backend reports of its load from all nodes, a little late. None: not reported."""

    throughput: float | None = None
    """Requests answered in a second."""
    queue_length: float | None = None
    """Requests that wait at the backend."""
    utilization: float | None = None
    """Share of its cores in use."""


class LoadReportSource(StrEnum):
    """How load reports reach a node."""

    RESPONSES = "responses"
    HEALTH_CHECKS = "health checks"
