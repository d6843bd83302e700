"""The audit: checks all rules against the rows of all clients and backends.

All times are in ms on the ledgers' clock.
"""

from collections import defaultdict
from collections.abc import Iterable

from pierglade.audit.answers import AbandonedRequests, check_answers
from pierglade.audit.effects import check_effects
from pierglade.audit.endpoints import check_draining, check_slow_start
from pierglade.audit.records import TraceGap
from pierglade.audit.retry_budget import check_retry_budget
from pierglade.audit.settings import AuditSettings
from pierglade.audit.verdict import RequestRecords, Verdict


def audit(
    settings: AuditSettings,
    client_rows: list[dict],
    backend_rows: list[dict],
    gaps: Iterable[TraceGap] = (),
) -> Verdict:
    """Returns the verdict over all rows; `gaps` are those found while reading the ledgers."""
    requests = _by_request(client_rows, backend_rows)
    violations = []
    for request_id, records in requests.items():
        violations += check_answers(settings, request_id, records)
        violations += check_effects(settings, request_id, records)
    violations += check_draining(settings, backend_rows)
    violations += check_slow_start(settings, backend_rows)
    violations += check_retry_budget(settings, client_rows, backend_rows, requests)
    abandoned = AbandonedRequests(requests)
    violations += abandoned.check(requests)
    counts = {
        "invocations": len(requests),
        "arrived": _count(backend_rows, "arrived"),
        "ran": _count(backend_rows, "ran"),
        "answers": _count(client_rows, "answer"),
        "left waiting": abandoned.queued,
        "sent on": len(abandoned.sent_late),
    }
    return Verdict(violations, [*gaps, *_unknown_requests(requests)], counts)


def _by_request(client_rows, backend_rows):
    requests: defaultdict[str, RequestRecords] = defaultdict(RequestRecords)
    for row in client_rows:
        if "id" in row:
            requests[row["id"]].client.append(row)
    for row in backend_rows:
        if "id" in row:
            requests[row["id"]].backends.append(row)
    return requests


def _unknown_requests(requests):
    """Yields a gap if requests arrived at backends that no client recorded."""
    unknown = [
        request_id for request_id, records in requests.items() if not records.of_client("sent")
    ]
    if unknown:
        problem = f"{len(unknown)} ids arrived that no client recorded; the first is {unknown[0]}"
        yield TraceGap("clients", 0, problem)


def _count(rows, event):
    return sum(row["event"] == event for row in rows)
