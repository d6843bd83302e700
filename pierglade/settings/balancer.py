"""The settings that the balancing decisions depend on, validated and typed."""

from dataclasses import dataclass
from typing import TYPE_CHECKING

from pierglade.model.endpoint import LoadReportSource
from pierglade.model.request import RequestClass
from pierglade.model.ticks import Ticks

if TYPE_CHECKING:
    from pierglade.tenants.registry import TenantRegistry

# Ticks (1 s). A connection on a local network is established within this time.
DEFAULT_CONNECT_TIMEOUT: Ticks = 10000
# Ticks (10 s). Common servers keep an idle connection open for longer.
DEFAULT_IDLE_TIMEOUT: Ticks = 100000


@dataclass(slots=True)
class BalancerSettings:
    """The settings of a balancer for its deployment."""

    request_classes: list[RequestClass]
    tenants: "TenantRegistry"
    node_number: int
    """Number of this node among `node_count`, from 0."""
    node_count: int
    max_attempts: int
    """Maximum number of attempts per request."""
    may_cancel: bool
    may_check_health: bool
    max_retry_after: Ticks
    """Longest `Retry-After` that clients follow; 0 if none is sent."""
    slow_start_duration: Ticks
    """Time after the start of its process during which a backend is in slow start."""
    slow_start_capacity: float
    """Fraction of its capacity that a backend has right after the start."""
    slow_start_overload: float
    """Multiple of its current capacity above which a backend in slow start collapses."""
    worst_class_weight: float
    """Weight of the worst-served request class in the service objective."""
    connect_timeout: Ticks = DEFAULT_CONNECT_TIMEOUT
    """Time after which a connection attempt is given up."""
    idle_timeout: Ticks = DEFAULT_IDLE_TIMEOUT
    """Time after which backends close an idle connection."""
    drain_grace: Ticks = 0
    """Time for which requests may still go to a draining or removed backend; nodes send none."""
    removal_binds: bool = True
    """Whether a removed backend gets no requests; else only one that was draining gets none."""
    polls_endpoints: bool = False
    """Whether the endpoint list has to be polled."""
    load_report_source: LoadReportSource | None = None
    """How load reports arrive; None if backends report nothing that the decisions use."""
    load_report_fields: tuple[str | None, ...] = ()
    """Fields of `LoadReport` in the order of a report; None for an unused one."""
    retry_budget_window: Ticks = 0
    """Window to which the retry budget applies; 0 without a budget."""
    retry_budget_minimum: int = 0
    """Retries that are always allowed within the window."""
    retry_budget_ratio: float = 0.0
    """Retries allowed on top, as a fraction of the requests received within the window."""
    zone: str | None = None
    """Zone of this node."""
    cross_zone_penalty: float = 0.0
    """Cost of sending a request to another zone, as a fraction of the request's value."""
