"""Rules 3 and 4: draining backends and backends in slow start.

A draining backend gets no new requests after the grace period; one in slow start is not overloaded.
"""

from collections import defaultdict, deque
from collections.abc import Iterator

from pierglade.audit.settings import AuditSettings
from pierglade.audit.verdict import Violation, line_of


def check_draining(settings: AuditSettings, rows: list[dict]) -> Iterator[Violation]:
    """Yields the violations of rule 3, at most one for each backend."""
    not_ready_since: dict[str, float] = {}
    reported = set()
    for row in rows:
        name = row.get("backend", "")
        if row["event"] == "listed":
            if row.get("state") == "SERVING":
                not_ready_since.pop(name, None)
            else:
                not_ready_since.setdefault(name, row["t_ms"])
        elif row["event"] == "arrived" and name in not_ready_since and name not in reported:
            since = not_ready_since[name]
            delay = row["t_ms"] - since - settings.drain_grace_ms - settings.slack_ms
            if delay > 0:
                reported.add(name)
                after_grace = delay + settings.slack_ms
                problem = (
                    f"{row.get('id')} arrived {after_grace:.0f} ms after the drain grace period"
                )
                yield Violation("drains", name, problem, [line_of(row)])


def check_slow_start(settings: AuditSettings, rows: list[dict]) -> Iterator[Violation]:
    """Yields the violations of rule 4, at most one for each backend.

    In no window may the arrivals at a backend exceed the allowed multiple of its current capacity.
    """
    if not settings.capacity_per_s or not settings.slow_start_ms:
        return
    started_at: dict[str, float] = {}
    recent: defaultdict[str, deque[float]] = defaultdict(deque)
    reported = set()
    for row in rows:
        name = row.get("backend", "")
        if row["event"] == "befalls" and _is_start(row):
            for backend in row.get("backends", ()):
                started_at[backend] = row["t_ms"]
                recent[backend].clear()
        elif row["event"] == "arrived" and name in started_at and name not in reported:
            problem = _overload(settings, row["t_ms"], started_at[name], recent[name])
            if problem:
                reported.add(name)
                yield Violation("cold", name, problem, [line_of(row)])


def _is_start(row):
    """Whether a fault starts a new process; a crash does so when the fault ends."""
    faults = ("restart", "replace") if row.get("begins") else ("crash",)
    return row.get("what") in faults


def _overload(settings, now, started_at, arrivals) -> str | None:
    """Adds an arrival to the window `arrivals` and returns the overload that it causes, or None."""
    age = now - started_at
    if age > settings.slow_start_ms:
        return None
    arrivals.append(now)
    while arrivals[0] <= now - settings.overload_window_ms:
        arrivals.popleft()
    initial = settings.slow_start_capacity
    capacity = initial + (1 - initial) * age / settings.slow_start_ms
    rate = settings.slow_start_overload * capacity * settings.capacity_per_s
    allowed = rate * settings.overload_window_ms / 1000
    # The tolerance is two standard deviations of a Poisson count, plus one.
    if len(arrivals) <= allowed + 2 * allowed**0.5 + 1:
        return None
    window = f"{settings.overload_window_ms:.0f} ms"
    return f"{len(arrivals)} arrived within {window} at age {age:.0f} ms; allowed: {allowed:.0f}"
