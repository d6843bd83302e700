"""Rule 2: what may have been executed is sent again only as its class allows.

Two attempts are never in flight at once, unless hedging is allowed.
"""

from collections.abc import Iterator
from itertools import pairwise

from pierglade.audit.settings import AuditSettings, RequestClassRules
from pierglade.audit.verdict import RequestRecords, Violation
from pierglade.model.request import DeduplicationScope, Idempotency

ATTEMPT_ENDS = frozenset(("ran", "never ran", "error", "dropped", "repeat", "called off"))


def check_effects(
    settings: AuditSettings, request_id: str, records: RequestRecords
) -> Iterator[Violation]:
    """Violations of rule 2 by a request."""
    attempts = records.of_backends("arrived")
    if not attempts:
        return
    rules = settings.request_classes.get(attempts[0].get("offering", ""))
    if rules is None:
        return
    is_unsafe = rules.idempotency is Idempotency.UNSAFE
    executions = len(records.of_backends("ran"))
    if is_unsafe and executions > 1:
        yield _violation(request_id, records, f"a one-shot ran {executions} times")
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
    """The first retry that the request's class does not allow."""
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
            way = f"{before['backend']} was sent to {after['backend']}"
            return f"a one-shot that may have run at {way}"
        if not _is_in_scope(settings, rules, before, after):
            return f"a stamped one was sent on to another {rules.deduplication_scope}"
        first_at = attempts[0]["t_ms"]
        if after["t_ms"] > first_at + rules.deduplication_window_ms + settings.slack_ms:
            return "a stamped one was sent on after its window"
    return None


def _is_in_scope(settings: AuditSettings, rules: RequestClassRules, before, after) -> bool:
    """Whether the backends of two attempts together drop a second execution."""
    first, second = (settings.places.get(row["backend"], ("", 0)) for row in (before, after))
    if rules.deduplication_scope == DeduplicationScope.ZONE:
        return first[0] == second[0]
    if rules.deduplication_scope == DeduplicationScope.CELL:
        return first == second
    return True


def _overlap_problem(settings, records, attempts) -> str | None:
    """Two attempts in flight at once: the earlier one had not ended by then."""
    ends = [row for row in records.backends if row["event"] in ATTEMPT_ENDS]
    for before, after in pairwise(attempts):
        # Of this attempt: one connection may have carried several of them.
        place = before["backend"], before.get("conn")
        ended_at = min(
            (
                row["t_ms"]
                for row in ends
                if row["t_ms"] >= before["t_ms"] and (row["backend"], row.get("conn")) == place
            ),
            default=None,
        )
        if ended_at is not None and ended_at > after["t_ms"] + settings.slack_ms:
            return f"out at {before['backend']} and at {after['backend']} at once"
    return None
