"""Rule 1: each request gets one answer by its deadline, and no attempt arrives after that answer.

Also checks that requests whose clients have disconnected are rarely sent to a backend.
"""

from collections.abc import Iterator

from pierglade.audit.settings import AuditSettings
from pierglade.audit.verdict import RequestRecords, Violation

ABANDONED_GRACE_MS = 300.0
"""Time after a client's disconnect in which its request may still arrive at a backend."""
MAX_LATE_SEND_RATIO = 0.25
"""Fraction of the abandoned requests that may arrive at a backend after that time."""


def check_answers(
    settings: AuditSettings, request_id: str, records: RequestRecords
) -> Iterator[Violation]:
    """Yields the violations of rule 1 by one request."""

    def _violation(problem):
        return Violation("one answer", request_id, problem, records.timeline())

    sent, answers = records.of_client("sent"), records.of_client("answer")
    if not sent:
        return
    client_disconnected = bool(records.of_client("left"))
    if len(answers) > 1:
        yield _violation(f"{len(answers)} answers; expected one")
    if not answers and not client_disconnected:
        yield _violation("no answer, although the client did not disconnect")
    if not answers:
        return
    rules = settings.request_classes.get(sent[0].get("offering", ""))
    timeout = sent[0].get("limit_ms") or (rules.timeout_ms if rules else None)
    latency = answers[0]["t_ms"] - sent[0]["t_ms"]
    if timeout and answers[0]["t_ms"] > sent[0]["t_ms"] + timeout + settings.slack_ms:
        yield _violation(f"answered after {latency:.0f} ms; the limit is {timeout:.0f} ms")
    answered_at = answers[0]["t_ms"] + settings.slack_ms
    late = [row for row in records.of_backends("arrived") if row["t_ms"] > answered_at]
    if late:
        yield _violation(f"arrived at {late[0]['backend']} after it was answered")


class AbandonedRequests:
    """Requests whose clients disconnected while they were queued at a node."""

    def __init__(self, requests: dict[str, RequestRecords]):
        self.queued = 0
        self.sent_late: list[tuple[str, float]] = []
        """(request id, ms from the client's disconnect to the last arrival) of late requests."""
        for request_id, records in requests.items():
            self._classify(request_id, records)

    def _classify(self, request_id, records):
        left_at = min((row["t_ms"] for row in records.of_client("left")), default=None)
        if left_at is None:
            return
        arrivals = [row["t_ms"] for row in records.of_backends("arrived")]
        delay = max(arrivals, default=left_at) - left_at
        # A request whose only attempt was in flight at the disconnect was not queued at the node.
        was_sent = any(moment <= left_at for moment in arrivals)
        self.queued += delay > ABANDONED_GRACE_MS or not was_sent
        if delay > ABANDONED_GRACE_MS:
            self.sent_late.append((request_id, delay))

    def check(self, requests: dict[str, RequestRecords]) -> Iterator[Violation]:
        """Yields a violation if too many requests arrived at a backend after the grace period."""
        if len(self.sent_late) <= MAX_LATE_SEND_RATIO * self.queued:
            return
        request_id, delay = self.sent_late[0]
        others = f"as did {len(self.sent_late)} of {self.queued} abandoned requests"
        problem = f"arrived at a backend {delay:.0f} ms after its client disconnected, {others}"
        yield Violation("left", request_id, problem, requests[request_id].timeline())
