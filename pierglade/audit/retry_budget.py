"""The retry budget: in any window a node's retries are limited by the requests it received."""

from collections import defaultdict, deque
from collections.abc import Iterator

from pierglade.audit.settings import AuditSettings, RetryBudgetRules
from pierglade.audit.verdict import RequestRecords, Violation


def check_retry_budget(
    settings: AuditSettings,
    client_rows: list[dict],
    backend_rows: list[dict],
    requests: dict[str, RequestRecords],
) -> Iterator[Violation]:
    """Yields the violations of the retry budget, at most one for each node."""
    budget = settings.retry_budget
    if budget is None:
        return
    sent = [row for row in client_rows if row["event"] == "sent"]
    arrived = [row for row in backend_rows if row["event"] == "arrived" and "id" in row]
    node_of = {row["id"]: row.get("node", "") for row in sent}
    windows: defaultdict[str, _Window] = defaultdict(lambda: _Window(budget))
    attempted, reported = set(), set()
    for row in sorted(sent + arrived, key=lambda row: (row["t_ms"], row["event"] != "sent")):
        node = node_of.get(row["id"], "")
        window = windows[node]
        if row["event"] == "sent":
            window.requests.append(row["t_ms"])
            continue
        if row["id"] not in attempted:
            attempted.add(row["id"])
            continue
        problem = window.add_retry(row["t_ms"])
        if problem and node not in reported:
            reported.add(node)
            timeline = requests[row["id"]].timeline()
            yield Violation("budget", node or "the node", problem, timeline)


class _Window:
    """Sliding window over the requests and retries of one node."""

    def __init__(self, budget: RetryBudgetRules):
        self._budget = budget
        self.requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def add_retry(self, now) -> str | None:
        """Counts a retry; returns the problem if it exceeds the budget, else None."""
        budget = self._budget
        self._retries.append(now)
        for moments in (self.requests, self._retries):
            while moments and moments[0] <= now - budget.window_ms:
                moments.popleft()
        # A request received shortly before this window may still count in the node's own window.
        allowed = budget.minimum + budget.ratio * (len(self.requests) + budget.ratio) + 1
        if len(self._retries) <= allowed:
            return None
        count, window = len(self._retries), f"{budget.window_ms:.0f} ms"
        return f"{count} retries within {window}; allowed: {allowed:.1f}"
