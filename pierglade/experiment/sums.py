"""What a play came to, from its ledgers: service, answers, latency, second by second, and CPU of the nodes.

Latency counts from the planned moment to the last answer, retries included, in ms. Service is the credit
answered with 200 within the expected time over the credit asked for.
"""

from collections import Counter

import numpy as np
from hdrh.histogram import HdrHistogram

from pierglade.load.recorder import DIGITS, HIGHEST, LOWEST, SHARES

NEVER = -1  # in place of a latency: no answer came


class Asked:
    """Everything that was planned, in arrays that go along: `at_s` from the load's begin, `took_ms` (NEVER
    where no answer came), `status` (0 likewise), `tries`, `offering` (its number)."""

    def __init__(self, plan, clients, began_ms):
        numbers = {o.name: number for number, o in enumerate(plan.fleet.request_class)}
        # what was asked for, by its id without the try: [planned, offering, tries, status, end]
        seen = {}
        for row in clients:
            if "id" not in row or row.get("unasked"):
                continue
            key = row["id"].rpartition("-")[0]
            if row["event"] == "sent":
                if key not in seen:
                    seen[key] = [
                        row["t_ms"] - row["late_ms"],
                        numbers.get(row["offering"], 0),
                        0,
                        0,
                        0.0,
                    ]
                seen[key][2] += 1
            elif key in seen and row["event"] in ("answer", "left"):
                seen[key][3:] = row.get("status", 0), row["t_ms"]
        table = np.array(list(seen.values()) or np.empty((0, 5)), float)
        table = table[np.argsort(table[:, 0], kind="stable")]
        self.at_s = (table[:, 0] - began_ms) / 1000
        self.request_class, self.tries, self.status = (table[:, n].astype(int) for n in (1, 2, 3))
        self.took_ms = np.where(self.status > 0, table[:, 4] - table[:, 0], NEVER)
        self.priority_weight = np.array([o.priority_weight for o in plan.fleet.request_class])[
            self.request_class
        ]
        expected = np.array([o.expected_ms for o in plan.fleet.request_class])[self.request_class]
        self.in_time = (self.status == 200) & (self.took_ms <= expected)

    def service(self, some=slice(None)):
        asked = self.priority_weight[some].sum()
        return float(self.priority_weight[some][self.in_time[some]].sum() / asked) if asked else 1.0


def figures(plan, clients, backends, samples, began_ms):
    """The part of a summary that holds figures, as plain data."""
    asked = Asked(plan, clients, began_ms)
    arrived = sum(row["event"] == "arrived" for row in backends)
    of_nodes = _nodes(samples)
    answers = sum(row["event"] == "answer" for row in clients)
    used = sum(node["cpu_s"] for node in of_nodes)
    statuses = Counter(str(status) if status else "none" for status in asked.status.tolist())
    return {
        "service": round(asked.service(), 4),
        "worst_second": _worst(asked),
        "planned": len(asked.at_s),
        "in_time": int(asked.in_time.sum()),
        "statuses": dict(sorted(statuses.items())),
        "tries": round(float(asked.tries.mean()), 3) if len(asked.tries) else 0.0,
        "trips": arrived,
        "by_offering": {
            o.name: round(asked.service(asked.request_class == number), 4)
            for number, o in enumerate(plan.fleet.request_class)
        },
        "latency_ms": percentiles(asked.took_ms[asked.took_ms >= 0]),
        "cpu_ms_an_answer": round(used * 1000 / answers, 4) if answers else None,
        "nodes": of_nodes,
        "faults": _faults(plan, asked),
    }


def _worst(asked):
    """[second, service] of the worst one."""
    if not len(asked.at_s):
        return [0, 1.0]
    seconds = asked.at_s.astype(int)
    rows = [(asked.service(seconds == second), second) for second in np.unique(seconds)]
    service, second = min(rows)
    return [int(second), round(service, 4)]


def percentiles(values_ms):
    """p50, p90, p99, p999 and max of latencies in ms."""
    of = HdrHistogram(LOWEST, HIGHEST, DIGITS)
    for value in values_ms:
        of.record_value(min(HIGHEST, max(LOWEST, int(value * 1000))))
    if not of.total_count:
        return {}
    told = {name: of.get_value_at_percentile(share) / 1000 for name, share in SHARES.items()}
    return {
        name: round(value, 3) for name, value in {**told, "max": of.get_max_value() / 1000}.items()
    }


def _nodes(samples):
    """CPU and memory of each node: seconds used, share of a core in its fullest half second, most memory."""
    rows = {}
    for at, number, cpu, rss in samples:
        rows.setdefault(number, []).append((at, cpu, rss))
    told = []
    for number, of_node in sorted(rows.items()):
        at, cpu, rss = np.array(of_node).T
        shares = np.diff(cpu) / np.maximum(np.diff(at), 1e-3)
        told.append(
            {
                "node": number,
                "cpu_s": round(float(cpu[-1] - cpu[0]), 3),
                "fullest_core": round(float(shares.max()), 3) if len(shares) else 0.0,
                "rss_mb": round(float(rss.max()) / 1e6, 1),
            }
        )
    return told


def _faults(plan, asked):
    """Service while each fault lasted, and from its end (or begin, if it has none) until it was back.

    `back_s`: seconds until three seconds in a row were at 0.98 of the time before the first fault; None:
    not by the end.
    """
    told, end = [], plan.seconds()
    first = min((befall.at_s for befall in plan.fleet.befall), default=end)
    usual = asked.service(asked.at_s < first)
    for befall in plan.fleet.befall:
        until = min(end, befall.until())
        lasts = befall.until() > befall.at_s
        during = (asked.at_s >= befall.at_s) & (
            asked.at_s < (until if lasts else befall.at_s + 5.0)
        )
        back = until if lasts and until < end else befall.at_s
        told.append(
            {
                "what": befall.what,
                "at_s": befall.at_s,
                "until_s": until,
                "service": round(asked.service(during), 4),
                "back_s": _back(asked, back, end, 0.98 * usual),
            }
        )
    return told


def _back(asked, since, end, enough):
    for start in np.arange(since, end - 3 + 1e-9, 0.5):
        windows = [(asked.at_s >= start + n) & (asked.at_s < start + n + 1) for n in range(3)]
        if all(asked.service(window) >= enough for window in windows):
            return round(float(start - since), 1)
    return None


def by_second(asked, end_s):
    """Columns for a picture: second, asked, in time, late, refused (429, 503), other, p50 and p99 in ms."""
    rows = []
    for second in range(int(np.ceil(end_s))):
        some = (asked.at_s >= second) & (asked.at_s < second + 1)
        status, good = asked.status[some], asked.in_time[some]
        refused = np.isin(status, (429, 503)).sum()
        late = (status == 200).sum() - good.sum()
        took = asked.took_ms[some]
        took = took[took >= 0]
        p50, p99 = np.percentile(took, (50, 99)) if len(took) else (np.nan, np.nan)
        rows.append(
            (
                second,
                some.sum(),
                good.sum(),
                late,
                refused,
                some.sum() - good.sum() - late - refused,
                p50,
                p99,
            )
        )
    return np.array(rows, float).T
