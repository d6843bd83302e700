"""Settings of the audit, and how they follow from the plan of a stand-in fleet."""

from typing import NamedTuple

import msgspec

from pierglade.model.request import DeduplicationScope, Idempotency

SLACK_MS = 50.0
"""Tolerance for scheduling delays of the test machine itself."""
IDEMPOTENCY = {
    "harmless": Idempotency.SAFE,
    "stamped": Idempotency.KEYED,
    "one_shot": Idempotency.UNSAFE,
    "one-shot": Idempotency.UNSAFE,
}
"""Maps the values of `repeats` in plans to the idempotency of a request class."""


class RequestClassRules(NamedTuple):
    """Limits on retries, duplicates and latency of a request class."""

    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    deduplication_window_ms: float
    timeout_ms: float


class RetryBudgetRules(NamedTuple):
    """Allows a node `minimum` retries plus `ratio` of its requests in any window."""

    window_ms: float
    minimum: int
    ratio: float


class AuditSettings(msgspec.Struct, kw_only=True):
    """Limits and tolerances that the rules are checked against."""

    request_classes: dict[str, RequestClassRules]
    places: dict[str, tuple[str, int]] = {}
    """Zone and cell of each backend, by name."""
    drain_grace_ms: float = 1000.0
    slow_start_ms: float = 0.0
    slow_start_capacity: float = 1.0
    """Fraction of its capacity that a backend has right after its start."""
    slow_start_overload: float = 1.0
    """Multiple of its current capacity that a backend in slow start may be sent."""
    capacity_per_s: float = 0.0
    """Requests per second that a warmed-up backend can serve; 0: rule 4 is not checked."""
    overload_window_ms: float = 2000.0
    retry_budget: RetryBudgetRules | None = None
    allows_hedging: bool = False
    """Whether safe requests may have two attempts in flight."""
    slack_ms: float = SLACK_MS


def request_class_rules(repeats: str, group: str, window_ms: float, timeout_ms: float):
    """Returns the rules of a request class from the values in a plan."""
    return RequestClassRules(IDEMPOTENCY[repeats], DeduplicationScope(group), window_ms, timeout_ms)


def settings_of_plan(
    plan, drain_grace_ms: float, budget: tuple[float, int, float] | None
) -> AuditSettings:
    """Returns the settings that follow from the plan of a stand-in fleet.

    `budget`: (window in s, minimum, ratio) of the retry budget, or None.
    """
    kind = plan.kind[0]
    shares = sum(each.share for each in plan.request_class)
    work_ms = sum(each.share * each.work_ms for each in plan.request_class) / shares
    has_slow_start = kind.cores and kind.cold_from < 1
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
        capacity_per_s=kind.cores * kind.speed * 1000 / work_ms if has_slow_start else 0.0,
        retry_budget=(
            RetryBudgetRules(budget[0] * 1000, int(budget[1]), budget[2]) if budget else None
        ),
    )
