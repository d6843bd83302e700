"""Requests, their classes and tenants, and the attempts made for them."""

from dataclasses import dataclass, field
from enum import StrEnum

from pierglade.model.outcome import Outcome
from pierglade.model.ticks import Ticks


class Idempotency(StrEnum):
    """The effect of executing a request a second time."""

    SAFE = "safe"
    """None: the request may be executed any number of times."""
    KEYED = "keyed"
    """None within the deduplication scope and window: the request has an idempotency key."""
    UNSAFE = "unsafe"
    """Harmful: the request must never be executed twice."""


class DeduplicationScope(StrEnum):
    """The backends that jointly prevent a second execution of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(slots=True)
class RequestClass:
    """A class of requests, as configured."""

    index: int
    name: str
    idempotency: Idempotency
    deduplication_scope: str
    """For keyed requests, a `DeduplicationScope`."""
    deduplication_window: Ticks
    """For keyed requests, its length from the first attempt that may have been executed."""
    latency_objective: Ticks
    """Time within which an answer is useful."""
    request_timeout: Ticks
    """Time after which the client gives up."""
    priority_weight: float
    """Weight of an answer relative to those of other classes."""


@dataclass(slots=True)
class Tenant:
    """A customer that shares the fleet; exists while it sends requests."""

    name: str
    quota_per_second: float
    """Quota over all nodes; 0 if there is none."""
    rate: float = 0.0
    """Recent requests, as a decaying count of the balancer."""
    last_seen: Ticks = 0
    slowness: float = 1.0
    """Latency of its requests as a multiple of that of others in their class."""
    slowness_seen_at: Ticks = 0
    slow_requests: int = 0
    """Number of its requests received while it was slow."""


@dataclass(slots=True, eq=False)
class Request:
    """A request accepted from a client; it gets exactly one final answer."""

    caller_context: object
    """Data of the caller, never read by the decisions."""
    request_class: RequestClass
    tenant: Tenant | None
    arrived_at: Ticks
    deadline: Ticks
    """Moment when the client gives up."""
    cost_hint: int = 0
    """Amount of work according to the client; 0 if not stated."""
    relative_cost: float = 1.0
    """Amount of work relative to the mean of its class."""
    objective_at: Ticks = 0
    """Moment by which an answer is useful, as estimated by the balancer."""
    attempts: "list[Attempt]" = field(default_factory=list)
    in_flight: int = 0
    """Number of attempts without an outcome."""
    first_possibly_executed: "Attempt | None" = None
    queued_since: Ticks = 0
    """Moment since which it has waited with no attempt in flight."""
    completed: bool = False
    """Whether it has its final answer."""
    owner: object = None
    """Data of the caller: the balancer that accepted it, with the settings of that moment."""

    def update_possibly_executed(self, ended: "Attempt") -> None:
        """Updates `first_possibly_executed` if `ended` was that attempt but was not executed."""
        is_unexecuted = ended.outcome is not None and ended.outcome.is_unexecuted
        if not is_unexecuted or self.first_possibly_executed is not ended:
            return
        self.first_possibly_executed = next(
            (
                attempt
                for attempt in self.attempts
                if attempt.outcome is None or not attempt.outcome.is_unexecuted
            ),
            None,
        )


@dataclass(slots=True, eq=False)
class Attempt:
    """One transmission of a request to a backend."""

    request: Request
    number: int
    backend: int
    """Index of the backend in the balancer that chose it."""
    zone: str | None
    cell: str | None
    """Where the backend was when it was chosen; its name may belong to another process later."""
    sent_at: Ticks
    timeout_at: Ticks
    is_trial: bool = False
    """Whether it goes to an ejected backend, to test whether that has recovered."""
    probing_round: int = 0
    """Number of the concurrency limiter's probing round that it is part of; 0 for none."""
    write_by: Ticks | None = None
    """Moment until which its last byte may be sent, as backends forget an earlier attempt from then
    on; None for no limit."""
    cancelled: bool = False
    outcome: Outcome | None = None
