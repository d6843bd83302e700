"""Backends as listed by discovery, and the load that they report."""

from dataclasses import dataclass
from enum import StrEnum

from pierglade.model.ticks import Ticks


class EndpointState(StrEnum):
    """State of a backend on the endpoint list."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "removed"


class EjectionReason(StrEnum):
    """Why a backend is ejected and gets trial requests only."""

    SLOW = "slow"
    UNRESPONSIVE = "unresponsive"
    FAILING = "failing"


@dataclass(slots=True)
class Endpoint:
    """An entry of the endpoint list."""

    name: str
    state: EndpointState
    zone: str | None
    cell: object
    started_at: Ticks
    """Start time of its process; 0 if it started long ago."""
    weight: float = 1.0
    """Capacity relative to other backends, according to the list."""


@dataclass(slots=True)
class LoadReport:
    """The load of a backend from all nodes, slightly delayed; None for a value not reported."""

    throughput: float | None = None
    """Requests answered per second."""
    queue_length: float | None = None
    """Requests queued at the backend."""
    utilization: float | None = None
    """Fraction of its cores in use."""


class LoadReportSource(StrEnum):
    """How load reports reach a node."""

    RESPONSES = "responses"
    HEALTH_CHECKS = "health checks"
