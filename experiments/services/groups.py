"""Assigns services to nodes by rendezvous hashing and counts what moves when nodes or a zone fail.

    .venv/bin/python experiments/services/groups.py [--seeds 5]

720 nodes in ten zones, 210 services whose load differs (lognormal). Rendezvous hashing (xxhash of both names)
assigns a service to the nodes that rank first for it, spread over the zones. `hashed`: the same number of
nodes for each service. `hashed, by load`: a number in proportion to the service's load, so that each node gets
about the same of it. `dealt`: 21 fixed groups of 30 to 40 nodes, spread over the zones; each service goes to
the first group by rank whose load stays within 1.1 times the mean.

Prints the zones and nodes of a service, the services and backends that a node sees, the requests/s of a service
at a node (a service's load is spread evenly over its nodes), the load of a node relative to the mean, and the
assignments of a service to a node that are lost and that move when one node and when a zone is lost.
"""

import random
from collections import Counter, defaultdict
from math import ceil, exp

import click
import numpy as np
import xxhash

NODES, ZONES, SERVICES = 720, 10, 210
RATE, BACKENDS = 170000.0, 6800  # of all services: requests/s, and number of backends
# Standard deviation of the logarithm of a service's load; one of 210 services has several times the mean load.
SIGMA = 0.8
# Number of groups, and the most load of a group as a multiple of the mean (consistent hashing with bounded loads).
GROUPS, MAX_LOAD_RATIO = 21, 1.1
MIN_NODES = 4  # per service, each in another zone
HASHED, BY_LOAD, DEALT = "hashed", "hashed, by load", "dealt"


def rank_nodes(service, seed):
    """Returns all nodes in the order of their rank for this service."""
    weights = {
        node: xxhash.xxh3_64_intdigest(f"{service} n{node}".encode(), seed) for node in range(NODES)
    }
    return sorted(weights, key=weights.__getitem__)


def select_nodes(order, size, failed=frozenset()):
    """Returns the first `size` nodes of `order`, spread over the zones; the next ones replace failed nodes."""
    selected, zone_counts = {}, Counter()
    for max_per_zone in (ceil(size / ZONES), ceil(size / (ZONES - 1)), size):
        for node in order:
            if len(selected) == size:
                return selected
            if (
                node not in failed
                and node not in selected
                and zone_counts[node % ZONES] < max_per_zone
            ):
                selected[node] = None
                zone_counts[node % ZONES] += 1
    return selected


def assign_groups(loads, seed):
    """Returns the group of each service: the first by rank with enough free capacity, else the freest one."""
    free, groups = [MAX_LOAD_RATIO * sum(loads) / GROUPS] * GROUPS, []
    for service, load in enumerate(loads):
        weights = [
            xxhash.xxh3_64_intdigest(f"s{service} g{g}".encode(), seed) for g in range(GROUPS)
        ]
        order = sorted(range(GROUPS), key=weights.__getitem__)
        groups.append(next((g for g in order if free[g] >= load), max(order, key=free.__getitem__)))
        free[groups[-1]] -= load
    return groups


def measure(size, method, seed):
    """Assigns all services by `method`; returns the figures of one row by name."""
    generator = random.Random(seed)
    loads = [exp(generator.gauss(0, SIGMA)) for _ in range(SERVICES)]
    mean = sum(loads) / SERVICES
    sizes = [
        min(NODES, max(MIN_NODES, round(size * load / mean))) if method == BY_LOAD else size
        for load in loads
    ]
    if method == DEALT:
        # Each node is in one group: the nodes of a zone are assigned to the groups in rotation.
        groups, orders = assign_groups(loads, seed), defaultdict(list)
        for node in range(NODES):
            orders[node // ZONES % GROUPS].append(node)
        sizes = [len(orders[group]) for group in groups]
    else:
        groups, orders = (
            range(SERVICES),
            {service: rank_nodes(f"s{service}", seed) for service in range(SERVICES)},
        )
    initial = [set(select_nodes(orders[group], sizes[s])) for s, group in enumerate(groups)]
    services, node_loads = [0] * NODES, np.zeros(NODES)
    for service, nodes in enumerate(initial):
        for node in nodes:
            services[node] += 1
            node_loads[node] += loads[service] / len(nodes)

    def count_moves(failed):
        lost = sum(len(failed & nodes) for nodes in initial)
        moved = sum(
            len(set(select_nodes(orders[group], sizes[s], failed)) - initial[s])
            for s, group in enumerate(groups)
            if failed & initial[s]
        )
        return lost, moved

    one_node = [count_moves({node}) for node in range(0, NODES, 24)]
    one_zone = count_moves(set(range(0, NODES, ZONES)))
    rates = [loads[s] / mean * RATE / SERVICES / len(nodes) for s, nodes in enumerate(initial)]
    return {
        "zones": min(len({node % ZONES for node in nodes}) for nodes in initial),
        "idle": services.count(0),
        "max load": node_loads.max() / node_loads.mean(),
        "p99 load": np.percentile(node_loads, 99) / node_loads.mean(),
        "services": np.mean(services),
        "max services": max(services),
        "rate": np.mean(rates),
        "min rate": min(rates),
        "node lost": np.mean([lost for lost, _ in one_node]),
        "node moved": np.mean([moved for _, moved in one_node]),
        "zone lost": one_zone[0],
        "zone moved": one_zone[1],
        "assignments": sum(services),
    }


@click.command()
@click.option("--seeds", type=click.IntRange(1), default=5, show_default=True)
def main(seeds):
    """Prints a table with a row for each number of nodes per service and assignment method."""
    headings = (
        "nodes per service",
        "method",
        "zones, minimum",
        "services per node: mean, maximum",
        "backends per node",
        "requests/s per service and node: mean, minimum",
        "load of a node relative to the mean: p99, maximum",
        "idle nodes",
        "one node lost: assignments lost, moved",
        "one zone lost: assignments lost, moved, of all",
    )
    print("| " + " | ".join(headings) + " |\n" + "| --- " * len(headings) + "|")
    for size, method in (
        (4, HASHED),
        (10, HASHED),
        (34, HASHED),
        (34, BY_LOAD),
        (34, DEALT),
        (68, HASHED),
        (68, BY_LOAD),
        (720, HASHED),
    ):
        rows = [measure(size, method, seed) for seed in range(1, seeds + 1)]
        mean = {key: float(np.mean([row[key] for row in rows])) for key in rows[0]}
        print(
            f"| {size} | {method} | {min(row['zones'] for row in rows)} | {mean['services']:.1f}, "
            f"{max(row['max services'] for row in rows)} | {mean['services'] * BACKENDS / SERVICES:.0f} "
            f"| {mean['rate']:.1f}, {min(row['min rate'] for row in rows):.1f} "
            f"| {mean['p99 load']:.2f}, {max(row['max load'] for row in rows):.2f} | {mean['idle']:.0f} "
            f"| {mean['node lost']:.1f}, {mean['node moved']:.1f} | {mean['zone lost']:.0f}, "
            f"{mean['zone moved']:.0f}, {mean['assignments']:.0f} |",
            flush=True,
        )


if __name__ == "__main__":
    main()
