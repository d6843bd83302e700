"""Aging of snapshots: selects and decays the statistics to restore. It performs no I/O.

- Typical latency, its spread, and the latency levels of a backend decay towards the values of a new
  node, by half-lives.
- Their sample counts decay in the same way, so that new responses soon outweigh them.
- The mean pause of the forecast decays in the same way. Its window is one of three sizes, which
  cannot decay, and is restored while the weight of the snapshot is a half or more.
- The next pause is restored only if the work done since the snapshot is certainly a small part of
  the gap between pauses.
- The baseline throughput of a backend's load reports is restored, with a lower report count.
- Ejections, trial requests, attempts in flight, overload, slow-start budgets, request rates of
  tenants and the worst class are not restored: a restart ends the first ones, and the others
  describe only two seconds.

A backend whose process, address or name has changed starts without statistics, and so does a
request class whose limits have changed. Times are ticks (tenths of a millisecond).
"""

from collections import deque

from pierglade.snapshot.errors import UntrustedSnapshotError
from pierglade.snapshot.stored_names import STORED_IDEMPOTENCY

# In half-lives. An older snapshot is not restored, as the first responses are more informative.
MAX_HALF_LIVES = 8
# 5 s, by which machines' clocks may differ; a snapshot from further in the future is rejected.
MAX_CLOCK_SKEW_TICKS = 50000
# Fraction of the gap between pauses that may have passed since the snapshot; beyond it, the time of
# the next pause is unknown.
MAX_UNSEEN_GAP_RATIO = 0.25
# Minimum weight of the snapshot at which values that cannot decay are restored.
MIN_WEIGHT_UNDECAYED = 0.5
# Stored names of a backend's statistics: those that decay, and those that are restored unchanged.
DECAYING_KEYS = ("level", "quick", "mean_pause")
PAUSE_KEYS = ("work", "pauses", "work_due", "window")
THROUGHPUT_KEYS = ("usual", "usual_of")
BACKEND_KEYS = (*DECAYING_KEYS, *PAUSE_KEYS, *THROUGHPUT_KEYS)
DECAYING_CLASS_KEYS = ("typical", "skew", "hinted")
REQUEST_CLASS_KEYS = (*DECAYING_CLASS_KEYS, "answers", "usual_left", "usual_votes")


def decayed_statistics(snapshot, now, half_life, request_classes, initial_rows, ready_backends):
    """Returns the statistics to restore from a snapshot, decayed by its age, and a summary.

    The result is (rows, backends, summary), the first two for `Balancer.restore_statistics`.
    `initial_rows` has the statistics of a new node for each of the `request_classes`;
    `ready_backends` has (address, started) by name.

    Raises:
        UntrustedSnapshotError: Nothing may be restored.
    """
    age = _age(snapshot, now, half_life)
    weight = 0.5 ** (age / half_life)
    rows = [
        _aged_class(
            snapshot.request_classes.get(request_class.name), request_class, initial, weight
        )
        for request_class, initial in zip(request_classes, initial_rows, strict=False)
    ]
    if not any(rows):
        raise UntrustedSnapshotError(
            "none of its request classes matches the settings; expected those of this deployment"
        )
    backends = {}
    for name, (address, started) in ready_backends.items():
        stored = snapshot.backends.get(name)
        if stored is not None and stored.address == address and stored.started_at == started:
            # Work counts responses, of which each backend is assumed to have sent an equal part.
            backends[name] = _aged_backend(
                stored.statistics, weight, age * snapshot.request_rate / max(1, len(ready_backends))
            )
    restored_classes = sum(map(bool, rows))
    return (
        rows,
        backends,
        (
            f"{age / 10000:.0f} s old, weight {weight:.2f}: "
            f"{restored_classes} of {len(rows)} request classes, "
            f"{len(backends)} of {len(ready_backends)} backends"
        ),
    )


def _age(snapshot, now, half_life):
    """Returns the snapshot's age; rejects one that is too old or from the future."""
    age = now - snapshot.written_at
    if age < -MAX_CLOCK_SKEW_TICKS:
        raise UntrustedSnapshotError(
            f"it was written {-age / 10000:.0f} s in the future; a clock was set back"
        )
    age = max(0, age)
    if age > MAX_HALF_LIVES * half_life:
        raise UntrustedSnapshotError(
            f"it is {age / 10000:.0f} s old; expected at most {MAX_HALF_LIVES} half-lives"
        )
    return age


def _aged_class(stored, request_class, initial, weight):
    """Returns the statistics of a request class to restore; empty if its limits have changed."""
    limits = {
        "expected": request_class.latency_objective,
        "hard_limit": request_class.request_timeout,
        "repeats": STORED_IDEMPOTENCY[request_class.idempotency],
    }
    if stored is None or any(stored.get(key) != value for key, value in limits.items()):
        return {}
    row = {
        key: _decayed(stored[key], initial[key], weight)
        for key in DECAYING_CLASS_KEYS
        if _is_number(stored.get(key))
    }
    if _is_number(stored.get("answers")):
        row["answers"] = max(initial["answers"], int(stored["answers"] * weight))
    if weight >= MIN_WEIGHT_UNDECAYED and _is_number(stored.get("usual_left")):
        row["usual_left"], row["usual_votes"] = stored["usual_left"], 0
    return row


def _aged_backend(stored, weight, work_since):
    """Returns the statistics of a backend to restore.

    `work_since` estimates the requests of this node that it has completed since the snapshot.
    """
    from pierglade.balancer.stored_figures import STORED_FIGURES

    restored = {
        key: _decayed(stored[key], STORED_FIGURES[key][-1], weight)
        for key in DECAYING_KEYS
        if _is_number(stored.get(key))
    }
    restored = {
        key: int(value) if isinstance(STORED_FIGURES[key][-1], int) else value
        for key, value in restored.items()
    }
    if _is_number(stored.get("usual")) and _is_number(stored.get("usual_of")):
        restored["usual"], restored["usual_of"] = stored["usual"], int(stored["usual_of"] * weight)
    pauses, next_pause_work = stored.get("pauses"), stored.get("work_due")
    if weight >= MIN_WEIGHT_UNDECAYED and type(stored.get("window")) is int:
        restored["window"] = stored["window"]
    if (
        not isinstance(pauses, list)
        or len(pauses) < 2
        or not all(map(_is_number, pauses))
        or not _is_number(next_pause_work)
    ):
        return restored
    gap = (pauses[-1] - pauses[0]) / (len(pauses) - 1)
    if gap > 0 and work_since <= MAX_UNSEEN_GAP_RATIO * gap and _is_number(stored.get("work")):
        restored["work"] = int(stored["work"] + work_since)
        restored["pauses"], restored["work_due"] = (
            deque(map(int, pauses), maxlen=_max_pauses()),
            next_pause_work,
        )
    return restored


def _max_pauses():
    from pierglade.balancer.pause_forecast import MAX_STORED_PAUSES

    return MAX_STORED_PAUSES


def _decayed(stored, initial, weight):
    return initial + (stored - initial) * weight


def _is_number(value):
    """Returns whether the value is a usable number; the checksum does not prove who wrote it."""
    return type(value) in (int, float) and value == value and abs(value) < 1e15


def newer_endpoint_list(snapshot, known):
    """Returns the endpoint list to start with: the configuration's `known`, or the snapshot's.

    The configuration's list is used if its version is at least that of the snapshot's list, if
    only it has a version, or if the snapshot has no list. Otherwise the snapshot's is used, as it
    is the list that discovery sent to this node last.
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
