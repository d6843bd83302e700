"""The settings that the decisions rest on, checked and typed."""

from dataclasses import dataclass
from typing import TYPE_CHECKING

from pierglade.model.endpoint import LoadReportSource
from pierglade.model.request import RequestClass
from pierglade.model.ticks import Ticks

if TYPE_CHECKING:
    from pierglade.tenants.registry import TenantRegistry

# Where the settings name none.
DEFAULT_CONNECT_TIMEOUT: Ticks = 10000  # 1 s; a connection on a local network comes up within it
DEFAULT_IDLE_TIMEOUT: Ticks = 100000  # 10 s; common servers keep an idle connection for longer


@dataclass(slots=True)
class BalancerSettings:
    """What a balancer is told of its deployment."""

    request_classes: list[RequestClass]
    tenants: "TenantRegistry"
    node_number: int
    """The node's own number among `node_count`, from 0 on."""
    node_count: int
    max_attempts: int
    """The most attempts for a request."""
    may_cancel: bool
    may_check_health: bool
    max_retry_after: Ticks
    """The longest wait that clients follow; 0 where they are told none."""
    slow_start_duration: Ticks
    """A backend is in slow start for so long after its process started."""
    slow_start_capacity: float
    """Share of its capacity that it has right after the start."""
    slow_start_overload: float
    """In slow start it collapses beyond so many times what it can do."""
    worst_class_weight: float
    """Weight of the worst-served request class in what counts as service."""
    connect_timeout: Ticks = DEFAULT_CONNECT_TIMEOUT
    """A connection that is not up by then never will be."""
    idle_timeout: Ticks = DEFAULT_IDLE_TIMEOUT
    """Backends close a connection that was idle for so long."""
    drain_grace: Ticks = 0
    """How long a draining or removed backend may be sent to; a node never does."""
    removal_binds: bool = True
    """A removed backend is not sent to; else only one that was seen draining is not."""
    polls_endpoints: bool = False
    """The endpoint list comes only when asked for."""
    load_report_source: LoadReportSource | None = None
    """None where backends report nothing that the decisions use."""
    load_report_fields: tuple[str | None, ...] = ()
    """Fields of `LoadReport` in the order of a report; None for one that is not used."""
    retry_budget_window: Ticks = 0
    """In any such span retries keep to the budget; 0: none is stated."""
    retry_budget_minimum: int = 0
    """So many retries in the window in any case."""
    retry_budget_ratio: float = 0.0
    """And such a share of the requests taken in it."""
    zone: str | None = None
    """The node's own."""
    cross_zone_penalty: float = 0.0
    """What each crossing between zones costs, as a share of a request's worth."""
