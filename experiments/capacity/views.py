"""A backend as it sees 720 nodes: whose rotation it is in, what a dead one still gets. The decisions alone.

    .venv/bin/python experiments/capacity/views.py OUT.json [NODES]

Each of the nodes is told the list of 6,800 backends, then that a zone (one in ten) is gone, then that it is
back under a later start. Then one node plays a minute of its 236 requests/s before a dead one that is listed.
"""

import json
import os
import pathlib
import sys
import time
from collections import Counter
from dataclasses import replace

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from slopes import (  # noqa: E402 - beside this file
    BACKENDS,
    GAP,
    NODES,
    NOW,
    TOOK,
    commit,
    endpoints_of,
    settings_of,
)

from pierglade.balancer.balancer import Balancer  # noqa: E402
from pierglade.model.decision import CheckHealth, SendAttempt  # noqa: E402
from pierglade.model.endpoint import Endpoint, EndpointState
from pierglade.model.outcome import Outcome
from pierglade.model.request import Request
from pierglade.settings import platform as t

TENANTS = 100  # who shares the 170,000 requests/s is no matter here
AFTER = 600000  # tenths of a ms; a minute after the zone went, it is back
MINUTE, DEAD_FOR = 60, 100  # s a look takes; ms until a connection is refused


def views_of(terms, number, entries):
    """Names in the rotation of node `number` at first, without a zone, and with it back."""
    node, now = Balancer(number, replace(terms, node_number=number), NOW), NOW
    views = []
    zone = [e for e in entries if e.zone == "z3"]
    for whole, listed in (
        (True, entries),
        (False, [replace(e, state=EndpointState.REMOVED) for e in zone]),
        (False, [replace(e, started_at=now + 2 * AFTER) for e in zone]),
    ):
        node.endpoints_updated(now, listed, whole)
        views.append({node.endpoints.names[b] for b in node.rotation.subset})
        now += AFTER
    return views


def spread(counts, of):
    figures = sorted(counts.get(name, 0) for name in of)
    return {"least": figures[0], "mean": round(sum(figures) / len(figures), 2), "most": figures[-1]}


def dead(terms, entries, probes):
    """What a backend that is dead and listed gets of one node in a minute, from the second half on."""
    node, now = Balancer(5, replace(terms, node_number=5, may_check_health=probes), NOW), NOW
    node.endpoints_updated(now, entries, True)
    gone, out, sent, probed, count = node.rotation.subset[0], [], 0, 0, 0
    half, end = NOW + MINUTE * 5000, NOW + MINUTE * 10000
    request_class = terms.request_classes[0]
    while now < end:
        now += GAP
        count += 1
        node.request_received(
            now, Request(count, request_class, None, now, now + request_class.request_timeout)
        )
        while (decision := node.next_decision(now)) is not None:
            if type(decision) is SendAttempt:
                subject = decision.attempt
                sent += subject.backend == gone and now >= half
                out.append((now + TOOK, subject))
            elif type(decision) is CheckHealth:
                subject = decision.backend
                probed += subject == gone and now >= half
                node.health_checked(now, node.endpoints.names[subject], subject != gone, 5)
        while out and out[0][0] <= now:
            attempt = out.pop(0)[1]
            lost = attempt.backend == gone
            node.attempt_ended(
                now, attempt, Outcome.CONNECT_FAILED if lost else Outcome.SUCCESS, TOOK, not lost
            )
    return {"sends_a_minute": sent * 2, "probes_a_minute": probed * 2}


def main(path, nodes=NODES):
    terms = t.settings_from(settings_of(TENANTS, NODES))
    entries = [
        Endpoint(e["name"], EndpointState.READY, e["zone"], e["group"], 0, 1.0)
        for e in endpoints_of(BACKENDS)
    ]
    names = [e.name for e in entries]
    kept = [e.name for e in entries if e.zone != "z3"]
    seen, sizes, moved = [Counter(), Counter(), Counter()], [], [0, 0]
    began = time.process_time()
    for number in range(nodes):
        views = views_of(terms, number, entries)
        for counter, view in zip(seen, views):
            counter.update(view)
        sizes.append(len(views[0]))
        moved[0] += len(views[1] - views[0])
        moved[1] += len(views[2] - views[1])
    result = {
        "commit": commit(),
        "nodes": nodes,
        "cpu_s": round(time.process_time() - began, 1),
        "in_view_of_a_node": [min(sizes), max(sizes)],
        "nodes_that_see_a_backend": spread(seen[0], names),
        "the_same_without_a_zone": spread(seen[1], kept),
        "the_same_with_it_back": spread(seen[2], names),
        "new_in_view_a_node": {
            "gone": round(moved[0] / nodes, 1),
            "back": round(moved[1] / nodes, 1),
        },
        "dead": dead(terms, entries, False),
        "dead_with_probes": dead(terms, entries, True),
    }
    pathlib.Path(path).write_text(json.dumps(result, indent=1) + "\n")
    print(json.dumps(result, indent=1))


if __name__ == "__main__":
    main(sys.argv[1], *map(int, sys.argv[2:]))
