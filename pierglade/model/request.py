"""Requests, their classes and tenants, and the attempts made for them."""

from dataclasses import dataclass, field
from enum import StrEnum

from pierglade.model.outcome import Outcome
from pierglade.model.ticks import Ticks


class Idempotency(StrEnum):
    """What a second execution of a request does."""

    SAFE = "safe"
    """Nothing: it may be executed any number of times."""
    KEYED = "keyed"
    """Nothing within the deduplication scope and window: it carries an idempotency key."""
    UNSAFE = "unsafe"
    """Harm: it must never be executed twice."""


class DeduplicationScope(StrEnum):
    """Which backends together drop a second execution of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(slots=True)
class RequestClass:
    """What is known from the settings of one kind of request."""

    index: int
    name: str
    idempotency: Idempotency
    deduplication_scope: str
    """Keyed: a `DeduplicationScope`."""
    deduplication_window: Ticks
    """Keyed: for how long, from the first attempt that may have been executed."""
    latency_objective: Ticks
    """An answer within this span counts."""
    request_timeout: Ticks
    """The client gives up after this span."""
    priority_weight: float
    """What an answer is worth beside those of other classes."""


@dataclass(slots=True)
class Tenant:
    """A customer that shares the fleet, while requests of it come."""

    name: str
    quota_per_second: float
    """Over all nodes; 0: none is stated."""
    rate: float = 0.0
    """Requests of late, in what the balancer counts them by."""
    last_seen: Ticks = 0
    slowness: float = 1.0
    """Times that its requests take as long as others of their class."""
    slowness_seen_at: Ticks = 0
    slow_requests: int = 0
    """How many of its requests came while it was slow."""


@dataclass(slots=True, eq=False)
class Request:
    """A request taken from a client; it is owed one final answer."""

    host_context: object
    """The host's own, never read by the decisions."""
    request_class: RequestClass
    tenant: Tenant | None
    arrived_at: Ticks
    deadline: Ticks
    """When the client gives up."""
    cost_hint: int = 0
    """How much work it is, as far as the client can tell; 0: not told."""
    relative_cost: float = 1.0
    """The work over the mean of its class."""
    objective_at: Ticks = 0
    """By when an answer counts, as the balancer judges it."""
    attempts: "list[Attempt]" = field(default_factory=list)
    in_flight: int = 0
    """Attempts without an outcome."""
    first_possibly_executed: "Attempt | None" = None
    queued_since: Ticks = 0
    """Since when it has waited with no attempt in flight."""
    completed: bool = False
    """It has its final answer."""
    owner: object = None
    """The host's own: the balancer that took it, under the settings of that moment."""

    def update_possibly_executed(self, ended: "Attempt") -> None:
        """Looks for another first attempt that may have been executed, if `ended` was none."""
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
    """One sending of a request to a backend."""

    request: Request
    number: int
    backend: int
    """Index of the backend in the balancer that chose it."""
    sent_at: Ticks
    timeout_at: Ticks
    is_trial: bool = False
    """It goes to an ejected backend, to see whether that has recovered."""
    probing_round: int = 0
    """Which round of the concurrency limit it belongs to, 0 for none."""
    cancelled: bool = False
    outcome: Outcome | None = None
