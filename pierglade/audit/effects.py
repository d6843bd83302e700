"""Rule 2: a request that may have been executed is retried only as its request class allows.

Two attempts of a request are never in flight at once, unless hedging is allowed.
"""

from collections.abc import Iterator
from itertools import pairwise

from pierglade.audit.settings import AuditSettings, RequestClassRules
from pierglade.audit.verdict import RequestRecords, Violation
from pierglade.model.request import DeduplicationScope, Idempotency

ATTEMPT_ENDS = frozenset(("ran", "never ran", "error", "dropped", "repeat", "called off"))
"""Ledger events that end an attempt at a backend."""


def check_effects(
    settings: AuditSettings, request_id: str, records: RequestRecords
) -> Iterator[Violation]:
    """Yields the violations of rule 2 by one request."""
    attempts = records.of_backends("arrived")
    if not attempts:
        return
    rules = settings.request_classes.get(attempts[0].get("offering", ""))
    if rules is None:
        return
    is_unsafe = rules.idempotency is Idempotency.UNSAFE
    executions = len(records.of_backends("ran"))
    if is_unsafe and executions > 1:
        yield _violation(request_id, records, f"one-shot request executed {executions} times")
    problem = _retry_problem(settings, rules, records, attempts)
    if problem:
        yield _violation(request_id, records, problem)
        return
    if settings.allows_hedging and rules.idempotency is Idempotency.SAFE:
        return
    problem = _overlap_problem(settings, records, attempts)
    if problem:
        yield _violation(request_id, records, problem)


def _violation(request_id, records, problem):
    return Violation("no effect twice", request_id, problem, records.timeline())


def _retry_problem(settings, rules, records, attempts) -> str | None:
    """Returns the first retry that the request class does not allow, or None."""
    if rules.idempotency is Idempotency.SAFE:
        return None
    unexecuted = records.of_backends("never ran")
    for before, after in pairwise(attempts):
        is_unexecuted = any(
            row["backend"] == before["backend"]
            and before["t_ms"] <= row["t_ms"] <= after["t_ms"] + settings.slack_ms
            for row in unexecuted
        )
        if is_unexecuted:
            continue
        if rules.idempotency is Idempotency.UNSAFE:
            backends = f"{before['backend']} was retried at {after['backend']}"
            return f"one-shot request that may have been executed at {backends}"
        if not _is_in_scope(settings, rules, before, after):
            return f"keyed request was retried in another {rules.deduplication_scope}"
        first_at = attempts[0]["t_ms"]
        if after["t_ms"] > first_at + rules.deduplication_window_ms + settings.slack_ms:
            return "keyed request was retried after its deduplication window"
    return None


def _is_in_scope(settings: AuditSettings, rules: RequestClassRules, before, after) -> bool:
    """Whether the backends of two attempts deduplicate keyed requests together."""
    first, second = (settings.places.get(row["backend"], ("", 0)) for row in (before, after))
    if rules.deduplication_scope == DeduplicationScope.ZONE:
        return first[0] == second[0]
    if rules.deduplication_scope == DeduplicationScope.CELL:
        return first == second
    return True


def _overlap_problem(settings, records, attempts) -> str | None:
    """Returns the first attempt that began before the previous one had ended, or None."""
    ends = [row for row in records.backends if row["event"] in ATTEMPT_ENDS]
    for before, after in pairwise(attempts):
        # Only the end of this attempt counts: one connection may have carried several attempts.
        connection = before["backend"], before.get("conn")
        ended_at = min(
            (
                row["t_ms"]
                for row in ends
                if row["t_ms"] >= before["t_ms"] and (row["backend"], row.get("conn")) == connection
            ),
            default=None,
        )
        if ended_at is not None and ended_at > after["t_ms"] + settings.slack_ms:
            return f"in flight at {before['backend']} and at {after['backend']} at once"
    return None
