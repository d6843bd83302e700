"""Rule 1: one final answer before the deadline, and nothing sent for a request afterwards."""

from collections.abc import Iterator

from pierglade.audit.settings import AuditSettings
from pierglade.audit.verdict import RequestRecords, Violation

ABANDONED_GRACE_MS = 300.0
"""So long after its client left nothing is sent on ..."""
MAX_ABANDONED_SHARE = 0.25
"""... but for this share of the requests whose clients left."""


def check_answers(
    settings: AuditSettings, request_id: str, records: RequestRecords
) -> Iterator[Violation]:
    """Violations of rule 1 by a request."""

    def _violation(problem):
        return Violation("one answer", request_id, problem, records.timeline())

    sent, answers = records.of_client("sent"), records.of_client("answer")
    if not sent:
        return
    has_left = bool(records.of_client("left"))
    if len(answers) > 1:
        yield _violation(f"{len(answers)} answers")
    if not answers and not has_left:
        yield _violation("no answer")
    if not answers:
        return
    rules = settings.request_classes.get(sent[0].get("offering", ""))
    timeout = sent[0].get("limit_ms") or (rules.timeout_ms if rules else None)
    latency = answers[0]["t_ms"] - sent[0]["t_ms"]
    if timeout and answers[0]["t_ms"] > sent[0]["t_ms"] + timeout + settings.slack_ms:
        yield _violation(f"answered after {latency:.0f} ms of {timeout:.0f}")
    answered_at = answers[0]["t_ms"] + settings.slack_ms
    late = [row for row in records.of_backends("arrived") if row["t_ms"] > answered_at]
    if late:
        yield _violation(f"sent to {late[0]['backend']} after its answer")


class AbandonedRequests:
    """Requests whose clients left while they waited at a node."""

    def __init__(self, requests: dict[str, RequestRecords]):
        self.waited = 0
        self.sent_on: list[tuple[str, float]] = []
        """(id, ms after its client left) of those sent on."""
        for request_id, records in requests.items():
            self._look_at(request_id, records)

    def _look_at(self, request_id, records):
        left = min((row["t_ms"] for row in records.of_client("left")), default=None)
        if left is None:
            return
        arrived = [row["t_ms"] for row in records.of_backends("arrived")]
        late = max(arrived, default=left) - left
        # A request whose only attempt was in flight by then did not wait at the node.
        was_sent = any(moment <= left for moment in arrived)
        self.waited += late > ABANDONED_GRACE_MS or not was_sent
        if late > ABANDONED_GRACE_MS:
            self.sent_on.append((request_id, late))

    def check(self, requests: dict[str, RequestRecords]) -> Iterator[Violation]:
        """A violation where too many were sent on."""
        if len(self.sent_on) <= MAX_ABANDONED_SHARE * self.waited:
            return
        request_id, late = self.sent_on[0]
        others = f"as were {len(self.sent_on)} of {self.waited}"
        problem = f"sent on {late:.0f} ms after its client left, {others}"
        yield Violation("left", request_id, problem, requests[request_id].timeline())
