"""Figures of one experiment run, from its ledgers: service, latency, timeline, CPU of the nodes.

Latency is in ms from the planned time to the last response, retries included. Service is the
priority weight of the requests answered with 200 within the expected time, as a fraction of the
priority weight of all requests.
"""

from collections import Counter

import numpy as np
from hdrh.histogram import HdrHistogram

from pierglade.load.recorder import (
    MAX_LATENCY_US,
    MIN_LATENCY_US,
    PERCENTILES,
    SIGNIFICANT_DIGITS,
)

NO_RESPONSE = -1  # in place of a latency


class RequestTable:
    """All planned requests as parallel arrays, in order of `at_s`.

    `at_s`: planned time, in seconds from the start of the load. `latency_ms`: NO_RESPONSE if no
    response arrived. `status`: 0 if no response arrived. `tries`: number of attempts.
    `request_class`: index into the plan's request classes. `in_time`: answered with 200 within the
    expected time.
    """

    def __init__(self, plan, clients, began_ms):
        class_indexes = {
            request_class.name: number
            for number, request_class in enumerate(plan.fleet.request_class)
        }
        # Request id (attempt id without the attempt number) to
        # [planned ms, class, attempts, status, end ms].
        requests = {}
        for row in clients:
            if "id" not in row or row.get("unasked"):
                continue
            request_id = row["id"].rpartition("-")[0]
            if row["event"] == "sent":
                if request_id not in requests:
                    requests[request_id] = [
                        row["t_ms"] - row["late_ms"],
                        class_indexes.get(row["offering"], 0),
                        0,
                        0,
                        0.0,
                    ]
                requests[request_id][2] += 1
            elif request_id in requests and row["event"] in ("answer", "left"):
                requests[request_id][3:] = row.get("status", 0), row["t_ms"]
        table = np.array(list(requests.values()) or np.empty((0, 5)), float)
        table = table[np.argsort(table[:, 0], kind="stable")]
        self.at_s = (table[:, 0] - began_ms) / 1000
        self.request_class, self.tries, self.status = (table[:, n].astype(int) for n in (1, 2, 3))
        self.latency_ms = np.where(self.status > 0, table[:, 4] - table[:, 0], NO_RESPONSE)
        self.priority_weight = np.array(
            [request_class.priority_weight for request_class in plan.fleet.request_class]
        )[self.request_class]
        expected = np.array(
            [request_class.expected_ms for request_class in plan.fleet.request_class]
        )[self.request_class]
        self.in_time = (self.status == 200) & (self.latency_ms <= expected)

    def service(self, selection=slice(None)):
        """Returns the service of the selected requests; 1.0 if there are none."""
        weight = self.priority_weight[selection].sum()
        return (
            float(self.priority_weight[selection][self.in_time[selection]].sum() / weight)
            if weight
            else 1.0
        )


def figures(plan, clients, backends, samples, began_ms):
    """Returns the measured part of a run's summary, as plain data."""
    requests = RequestTable(plan, clients, began_ms)
    arrived = sum(row["event"] == "arrived" for row in backends)
    node_usage = _node_usage(samples)
    answers = sum(row["event"] == "answer" for row in clients)
    cpu_s = sum(node["cpu_s"] for node in node_usage)
    statuses = Counter(str(status) if status else "none" for status in requests.status.tolist())
    return {
        "service": round(requests.service(), 4),
        "worst_second": _worst_second(requests),
        "planned": len(requests.at_s),
        "in_time": int(requests.in_time.sum()),
        "statuses": dict(sorted(statuses.items())),
        "tries": round(float(requests.tries.mean()), 3) if len(requests.tries) else 0.0,
        "trips": arrived,
        "by_offering": {
            request_class.name: round(requests.service(requests.request_class == number), 4)
            for number, request_class in enumerate(plan.fleet.request_class)
        },
        "latency_ms": percentiles(requests.latency_ms[requests.latency_ms >= 0]),
        "cpu_ms_an_answer": round(cpu_s * 1000 / answers, 4) if answers else None,
        "nodes": node_usage,
        "faults": _fault_impact(plan, requests),
    }


def _worst_second(requests):
    """Returns [second, service] of the second with the lowest service."""
    if not len(requests.at_s):
        return [0, 1.0]
    seconds = requests.at_s.astype(int)
    candidates = [(requests.service(seconds == second), second) for second in np.unique(seconds)]
    service, second = min(candidates)
    return [int(second), round(service, 4)]


def percentiles(values_ms):
    """Returns p50, p90, p99, p999 and max of latencies in ms; empty if there are none."""
    histogram = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    for value in values_ms:
        histogram.record_value(min(MAX_LATENCY_US, max(MIN_LATENCY_US, int(value * 1000))))
    if not histogram.total_count:
        return {}
    values = {
        name: histogram.get_value_at_percentile(percentile) / 1000
        for name, percentile in PERCENTILES.items()
    }
    return {
        name: round(value, 3)
        for name, value in {**values, "max": histogram.get_max_value() / 1000}.items()
    }


def _node_usage(samples):
    """Returns, for each node, CPU seconds, highest CPU use in a sample interval and peak memory.

    CPU use is a fraction of one core.
    """
    samples_by_node = {}
    for at, number, cpu, rss in samples:
        samples_by_node.setdefault(number, []).append((at, cpu, rss))
    usage = []
    for number, node_samples in sorted(samples_by_node.items()):
        at, cpu, rss = np.array(node_samples).T
        core_use = np.diff(cpu) / np.maximum(np.diff(at), 1e-3)
        usage.append(
            {
                "node": number,
                "cpu_s": round(float(cpu[-1] - cpu[0]), 3),
                "fullest_core": round(float(core_use.max()), 3) if len(core_use) else 0.0,
                "rss_mb": round(float(rss.max()) / 1e6, 1),
            }
        )
    return usage


def _fault_impact(plan, requests):
    """Returns, for each fault, the service during the fault and the time until recovery.

    A fault without a duration counts for 5 s.

    `back_s`: seconds from the end of the fault (from its start if it has no end) until the service
    of each of three consecutive seconds is at least 0.98 of the service before the first fault. None
    if that does not happen by the end of the load.
    """
    impact, end = [], plan.seconds()
    first = min((fault.at_s for fault in plan.fleet.befall), default=end)
    baseline = requests.service(requests.at_s < first)
    for fault in plan.fleet.befall:
        until = min(end, fault.ends_at_s())
        has_duration = fault.ends_at_s() > fault.at_s
        during = (requests.at_s >= fault.at_s) & (
            requests.at_s < (until if has_duration else fault.at_s + 5.0)
        )
        recovery_start = until if has_duration and until < end else fault.at_s
        impact.append(
            {
                "what": fault.what,
                "at_s": fault.at_s,
                "until_s": until,
                "service": round(requests.service(during), 4),
                "back_s": _recovery_time(requests, recovery_start, end, 0.98 * baseline),
            }
        )
    return impact


def _recovery_time(requests, since, end, required_service):
    for start in np.arange(since, end - 3 + 1e-9, 0.5):
        windows = [(requests.at_s >= start + n) & (requests.at_s < start + n + 1) for n in range(3)]
        if all(requests.service(window) >= required_service for window in windows):
            return round(float(start - since), 1)
    return None


def by_second(requests, end_s):
    """Returns columns for charts, with a row for each second.

    The columns are: second, requests, in time, late, rejected (429, 503), other, and p50 and p99 of
    the latency in ms.
    """
    rows = []
    for second in range(int(np.ceil(end_s))):
        selection = (requests.at_s >= second) & (requests.at_s < second + 1)
        status, in_time = requests.status[selection], requests.in_time[selection]
        rejected = np.isin(status, (429, 503)).sum()
        late = (status == 200).sum() - in_time.sum()
        latency = requests.latency_ms[selection]
        latency = latency[latency >= 0]
        p50, p99 = np.percentile(latency, (50, 99)) if len(latency) else (np.nan, np.nan)
        rows.append(
            (
                second,
                selection.sum(),
                in_time.sum(),
                late,
                rejected,
                selection.sum() - in_time.sum() - late - rejected,
                p50,
                p99,
            )
        )
    return np.array(rows, float).T
