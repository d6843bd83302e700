"""Counts which of 720 nodes have a backend in their subset, and what a dead backend still gets. Decisions only.

    .venv/bin/python experiments/capacity/views.py OUT.json [NODES]

Each node receives the list of 6,800 backends, then the removal of a zone (one in ten), then its return with a later
start time. Then one node handles a minute of its 236 requests/s with a listed backend that is dead.
"""

import json
import os
import pathlib
import sys
import time
from collections import Counter
from dataclasses import replace

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from slopes import (  # noqa: E402 - in the folder of this file
    BACKENDS,
    NODES,
    REQUEST_INTERVAL_TICKS,
    RESPONSE_TICKS,
    START_TICKS,
    current_commit,
    endpoint_entries,
    settings_document,
)

from pierglade.balancer.balancer import Balancer  # noqa: E402
from pierglade.model.decision import CheckHealth, SendAttempt  # noqa: E402
from pierglade.model.endpoint import Endpoint, EndpointState
from pierglade.model.outcome import Outcome
from pierglade.model.request import Request
from pierglade.settings import platform as platform_settings

TENANTS = 100  # how tenants divide the 170,000 requests/s does not matter here
CHANGE_INTERVAL_TICKS = 600000  # 1 min, from the removal of the zone to its return
# Duration of the run with a dead backend, and the time until it refuses a connection.
DURATION_S, REFUSED_AFTER_MS = 60, 100


def subsets_of_node(settings, number, endpoints):
    """Returns the names in the subset of node `number` at first, without a zone, and with the zone back."""
    node, now = Balancer(number, replace(settings, node_number=number), START_TICKS), START_TICKS
    subsets = []
    zone = [e for e in endpoints if e.zone == "z3"]
    for is_full_list, changed in (
        (True, endpoints),
        (False, [replace(e, state=EndpointState.REMOVED) for e in zone]),
        (False, [replace(e, started_at=now + 2 * CHANGE_INTERVAL_TICKS) for e in zone]),
    ):
        node.endpoints_updated(now, changed, is_full_list)
        subsets.append({node.endpoints.names[backend] for backend in node.rotation.subset})
        now += CHANGE_INTERVAL_TICKS
    return subsets


def spread(counts, names):
    """Returns the minimum, mean and maximum of the counts of these names."""
    figures = sorted(counts.get(name, 0) for name in names)
    return {"least": figures[0], "mean": round(sum(figures) / len(figures), 2), "most": figures[-1]}


def measure_dead_backend(settings, endpoints, checks_health):
    """Returns what one node sends to a listed but dead backend per minute, measured in the second half."""
    node, now = (
        Balancer(5, replace(settings, node_number=5, may_check_health=checks_health), START_TICKS),
        START_TICKS,
    )
    node.endpoints_updated(now, endpoints, True)
    dead_backend, in_flight, sent, probed, count = node.rotation.subset[0], [], 0, 0, 0
    half, end = START_TICKS + DURATION_S * 5000, START_TICKS + DURATION_S * 10000
    request_class = settings.request_classes[0]
    while now < end:
        now += REQUEST_INTERVAL_TICKS
        count += 1
        node.request_received(
            now, Request(count, request_class, None, now, now + request_class.request_timeout)
        )
        while (decision := node.next_decision(now)) is not None:
            if type(decision) is SendAttempt:
                attempt = decision.attempt
                sent += attempt.backend == dead_backend and now >= half
                in_flight.append((now + RESPONSE_TICKS, attempt))
            elif type(decision) is CheckHealth:
                backend = decision.backend
                probed += backend == dead_backend and now >= half
                node.health_checked(now, node.endpoints.names[backend], backend != dead_backend, 5)
        while in_flight and in_flight[0][0] <= now:
            attempt = in_flight.pop(0)[1]
            is_lost = attempt.backend == dead_backend
            node.attempt_ended(
                now,
                attempt,
                Outcome.CONNECT_FAILED if is_lost else Outcome.SUCCESS,
                RESPONSE_TICKS,
                not is_lost,
            )
    return {"sends_a_minute": sent * 2, "probes_a_minute": probed * 2}


def main(path, nodes=NODES):
    """Writes the figures to `path` and prints them."""
    settings = platform_settings.settings_from(settings_document(TENANTS, NODES))
    endpoints = [
        Endpoint(e["name"], EndpointState.READY, e["zone"], e["group"], 0, 1.0)
        for e in endpoint_entries(BACKENDS)
    ]
    names = [e.name for e in endpoints]
    names_outside_zone = [e.name for e in endpoints if e.zone != "z3"]
    node_counts, subset_sizes, added = [Counter(), Counter(), Counter()], [], [0, 0]
    began = time.process_time()
    for number in range(nodes):
        subsets = subsets_of_node(settings, number, endpoints)
        for counter, subset in zip(node_counts, subsets):
            counter.update(subset)
        subset_sizes.append(len(subsets[0]))
        added[0] += len(subsets[1] - subsets[0])
        added[1] += len(subsets[2] - subsets[1])
    result = {
        "commit": current_commit(),
        "nodes": nodes,
        "cpu_s": round(time.process_time() - began, 1),
        "in_view_of_a_node": [min(subset_sizes), max(subset_sizes)],
        "nodes_that_see_a_backend": spread(node_counts[0], names),
        "the_same_without_a_zone": spread(node_counts[1], names_outside_zone),
        "the_same_with_it_back": spread(node_counts[2], names),
        "new_in_view_a_node": {
            "gone": round(added[0] / nodes, 1),
            "back": round(added[1] / nodes, 1),
        },
        "dead": measure_dead_backend(settings, endpoints, False),
        "dead_with_probes": measure_dead_backend(settings, endpoints, True),
    }
    pathlib.Path(path).write_text(json.dumps(result, indent=1) + "\n")
    print(json.dumps(result, indent=1))


if __name__ == "__main__":
    main(sys.argv[1], *map(int, sys.argv[2:]))
