"""What the rules are judged by, and how the plan of a stand-in fleet states it."""

from typing import NamedTuple

import msgspec

from pierglade.model.request import DeduplicationScope, Idempotency

SLACK_MS = 50.0
"""What the machine's own unpunctuality may explain."""
IDEMPOTENCY = {
    "harmless": Idempotency.SAFE,
    "stamped": Idempotency.KEYED,
    "one_shot": Idempotency.UNSAFE,
    "one-shot": Idempotency.UNSAFE,
}
"""What plans call the idempotency of a request class."""


class RequestClassRules(NamedTuple):
    """What may be done with the requests of a class."""

    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    deduplication_window_ms: float
    timeout_ms: float


class RetryBudgetRules(NamedTuple):
    """In any window the retries of a node number at most `minimum` and `ratio` of its requests."""

    window_ms: float
    minimum: int
    ratio: float


class AuditSettings(msgspec.Struct, kw_only=True):
    """What the rules are judged by."""

    request_classes: dict[str, RequestClassRules]
    places: dict[str, tuple[str, int]] = {}
    """Backend to its zone and cell."""
    drain_grace_ms: float = 1000.0
    slow_start_ms: float = 0.0
    slow_start_capacity: float = 1.0
    """Share of its capacity that a backend has right after its start."""
    slow_start_overload: float = 1.0
    """In slow start it may get so many times what it can do."""
    capacity_per_s: float = 0.0
    """Requests that a warmed-up backend can do; 0: rule 4 is not judged."""
    overload_window_ms: float = 2000.0
    retry_budget: RetryBudgetRules | None = None
    allows_hedging: bool = False
    """Safe requests may have two attempts in flight."""
    slack_ms: float = SLACK_MS


def request_class_rules(repeats: str, group: str, window_ms: float, timeout_ms: float):
    """The rules of a request class by the words of a plan."""
    return RequestClassRules(IDEMPOTENCY[repeats], DeduplicationScope(group), window_ms, timeout_ms)


def settings_of_plan(
    plan, drain_grace_ms: float, budget: tuple[float, int, float] | None
) -> AuditSettings:
    """The settings that the plan of a stand-in fleet states.

    `budget`: (window in s, minimum, ratio) of the retry budget, or None.
    """
    kind = plan.kind[0]
    shares = sum(each.share for each in plan.request_class)
    work_ms = sum(each.share * each.work_ms for each in plan.request_class) / shares
    is_judged = kind.cores and kind.cold_from < 1
    return AuditSettings(
        request_classes={
            each.name: request_class_rules(
                each.repeats, each.group, each.window_ms, each.hard_limit_ms
            )
            for each in plan.request_class
        },
        drain_grace_ms=drain_grace_ms,
        places={name: (place.zone, place.cell) for name, place in plan.names()},
        slow_start_ms=kind.cold_for_s * 1000,
        slow_start_capacity=kind.cold_from,
        slow_start_overload=kind.tip_multiple,
        overload_window_ms=kind.tip_s * 1000,
        capacity_per_s=kind.cores * kind.speed * 1000 / work_ms if is_judged else 0.0,
        retry_budget=(
            RetryBudgetRules(budget[0] * 1000, int(budget[1]), budget[2]) if budget else None
        ),
    )
