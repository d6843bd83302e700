"""What of a snapshot still holds, by its age: one rule a kind of knowledge. No I/O.

- Typical latency, its spread, a backend's latency levels: fade towards what a new node assumes, by
  half-lives.
- How many answers they rest on: fades likewise, so that new answers soon weigh more.
- Mean pause of the forecast: fades likewise; its window is one of three, kept while half is left.
- When the next pause is due: only if the work done meanwhile is surely under a part of the gap
  between pauses.
- Throughput that a backend usually reports: kept, with fewer reports behind it.
- Ejections, trials, attempts in flight, overload, slow-start budgets, rates of tenants, the worst
  class: nothing; a restart ends the first ones, and the others describe two seconds.

Nothing is kept of a backend whose process, address or name is another, and of a request class whose
limits are. Times are tenths of a millisecond.
"""

from collections import deque

from pierglade.snapshot.errors import UntrustedSnapshotError
from pierglade.snapshot.stored_names import STORED_IDEMPOTENCY

MOST_HALVES = 8  # half-lives after which nothing is kept; the next answers tell more
FUTURE = 50000  # 5 s; clocks of machines differ so much, and a file from later than that is none
# of a gap between pauses, that may have gone by unseen; more, and the moment is chance
SURE = 0.25
KEPT_HALF = 0.5  # weight down to which what can't be faded is kept
# Of a backend, and what is kept of it as it is while it weighs KEPT_HALF.
FADING = ("level", "quick", "mean_pause")
WORK = ("work", "pauses", "work_due", "window")
USUAL = ("usual", "usual_of")
KEYS = (*FADING, *WORK, *USUAL)
ROW_FADING = ("typical", "skew", "hinted")
ROW_KEYS = (*ROW_FADING, "answers", "usual_left", "usual_votes")


def aged(snapshot, now, half_life, request_classes, fresh_rows, listed):
    """(rows, backends) for `Balancer.restore_statistics`, and a line that says what was kept.

    `fresh_rows`: what a new node knows of the `request_classes`; `listed`: name to (address,
    started) of the backends that are ready. Raises UntrustedSnapshotError.
    """
    age = _age(snapshot, now, half_life)
    weight = 0.5 ** (age / half_life)
    rows = [
        _row(snapshot.request_classes.get(request_class.name), request_class, fresh, weight)
        for request_class, fresh in zip(request_classes, fresh_rows, strict=False)
    ]
    if not any(rows):
        raise UntrustedSnapshotError(
            "none of its offerings is one of the settings: another deployment's"
        )
    backends = {}
    for name, (address, started) in listed.items():
        stored = snapshot.backends.get(name)
        if stored is not None and stored.address == address and stored.started_at == started:
            # Each backend gets its part of what this node answered; work is counted by that.
            backends[name] = _backend(
                stored.statistics, weight, age * snapshot.request_rate / max(1, len(listed))
            )
    kept = sum(map(bool, rows))
    return (
        rows,
        backends,
        (
            f"{age / 10000:.0f} s old, weight {weight:.2f}: {kept} of {len(rows)} offerings, "
            f"{len(backends)} of {len(listed)} backends"
        ),
    )


def _age(snapshot, now, half_life):
    """The snapshot's age; raises UntrustedSnapshotError where it is too old or from the future."""
    age = now - snapshot.written_at
    if age < -FUTURE:
        raise UntrustedSnapshotError(
            f"it was written {-age / 10000:.0f} s from now: a clock was set back"
        )
    age = max(0, age)
    if age > MOST_HALVES * half_life:
        raise UntrustedSnapshotError(
            f"it is {age / 10000:.0f} s old, over {MOST_HALVES} half-lives"
        )
    return age


def _row(stored, request_class, fresh, weight):
    """What is kept of a request class; empty where its limits have changed."""
    same = {
        "expected": request_class.latency_objective,
        "hard_limit": request_class.request_timeout,
        "repeats": STORED_IDEMPOTENCY[request_class.idempotency],
    }
    if stored is None or any(stored.get(key) != value for key, value in same.items()):
        return {}
    row = {
        key: _faded(stored[key], fresh[key], weight)
        for key in ROW_FADING
        if _number(stored.get(key))
    }
    if _number(stored.get("answers")):
        row["answers"] = max(fresh["answers"], int(stored["answers"] * weight))
    if weight >= KEPT_HALF and _number(stored.get("usual_left")):
        row["usual_left"], row["usual_votes"] = stored["usual_left"], 0
    return row


def _backend(stored, weight, done):
    """What is kept of a backend; `done`: what it has likely answered for this node meanwhile."""
    from pierglade.balancer.stored_figures import STORED_FIGURES

    kept = {
        key: _faded(stored[key], STORED_FIGURES[key][-1], weight)
        for key in FADING
        if _number(stored.get(key))
    }
    kept = {
        key: int(value) if isinstance(STORED_FIGURES[key][-1], int) else value
        for key, value in kept.items()
    }
    if _number(stored.get("usual")) and _number(stored.get("usual_of")):
        kept["usual"], kept["usual_of"] = stored["usual"], int(stored["usual_of"] * weight)
    pauses, due = stored.get("pauses"), stored.get("work_due")
    if weight >= KEPT_HALF and type(stored.get("window")) is int:
        kept["window"] = stored["window"]
    if (
        not isinstance(pauses, list)
        or len(pauses) < 2
        or not all(map(_number, pauses))
        or not _number(due)
    ):
        return kept
    gap = (pauses[-1] - pauses[0]) / (len(pauses) - 1)
    if gap > 0 and done <= SURE * gap and _number(stored.get("work")):
        kept["work"] = int(stored["work"] + done)
        kept["pauses"], kept["work_due"] = deque(map(int, pauses), maxlen=_most_pauses()), due
    return kept


def _most_pauses():
    from pierglade.balancer.pause_forecast import PAUSES_KEPT

    return PAUSES_KEPT


def _faded(stored, fresh, weight):
    return fresh + (stored - fresh) * weight


def _number(value):
    """Whether arithmetic can use the value; a checksum does not say who wrote the file."""
    return type(value) in (int, float) and value == value and abs(value) < 1e15


def newer_list(snapshot, known):
    """The list to start with: the configuration's document `known`, or the snapshot's.

    The newer one by discovery's version where both have one; else the snapshot's, which is what
    discovery sent this node last.
    """
    if not snapshot.endpoints:
        return known
    if (
        known
        and known.get("endpoints")
        and type(known.get("index")) is int
        and (snapshot.endpoints_version is None or known["index"] >= snapshot.endpoints_version)
    ):
        return known
    return {"index": snapshot.endpoints_version, "snapshot": True, "endpoints": snapshot.endpoints}
