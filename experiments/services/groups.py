"""Which nodes carry which services: rendezvous hashing, and what moves when nodes or a zone fail.

    .venv/bin/python experiments/services/groups.py [--seeds 5]

720 nodes in ten zones, 210 services whose load differs (lognormal). By rendezvous hashing (xxhash of
both names) a service goes to the nodes that rank first for it, spread over the zones. `hashed`: as many
nodes for each service. `by load`: as many as its load asks for, so that each sees about the same of it.
`dealt`: 21 fixed groups of 30 to 40 nodes, spread over the zones, and each service at the first group
by rank that is not over 1.1 times the mean load.

Printed: zones and nodes of a service, services and backends that a node sees, requests/s of a service
at a node (services share theirs evenly over their nodes), load of a node over the mean, and places of a
service on a node that are lost and that move, when one node and when a zone is lost.
"""

import random
from collections import Counter, defaultdict
from math import ceil, exp

import click
import numpy as np
import xxhash

NODES, ZONES, SERVICES = 720, 10, 210
RATE, BACKENDS = 170000.0, 6800  # of all services: requests a second, backends
SIGMA = 0.8  # of the logarithm of a service's load: one of 210 carries some times the mean
GROUPS, BOUNDED = (
    21,
    1.1,
)  # and times the mean load that one takes (consistent hashing with bounded loads)
LEAST = 4  # nodes a service, in as many zones
HASHED, BY_LOAD, DEALT = "hashed", "hashed, by load", "dealt"


def ranks(service, seed):
    """Nodes, the first for this service first."""
    weight = {
        node: xxhash.xxh3_64_intdigest(f"{service} n{node}".encode(), seed) for node in range(NODES)
    }
    return sorted(weight, key=weight.__getitem__)


def chosen(order, size, gone=frozenset()):
    """The first `size` of them, spread over the zones; where one is gone, the next ones take its places."""
    taken, each = {}, Counter()
    for most in (ceil(size / ZONES), ceil(size / (ZONES - 1)), size):
        for node in order:
            if len(taken) == size:
                return taken
            if node not in gone and node not in taken and each[node % ZONES] < most:
                taken[node] = None
                each[node % ZONES] += 1
    return taken


def dealt(loads, seed):
    """The group of each service: the first by rank that has room, so that none is much over the mean."""
    room, of = [BOUNDED * sum(loads) / GROUPS] * GROUPS, []
    for service, load in enumerate(loads):
        weight = [
            xxhash.xxh3_64_intdigest(f"s{service} g{g}".encode(), seed) for g in range(GROUPS)
        ]
        order = sorted(range(GROUPS), key=weight.__getitem__)
        of.append(next((g for g in order if room[g] >= load), max(order, key=room.__getitem__)))
        room[of[-1]] -= load
    return of


def measured(size, how, seed):
    chance = random.Random(seed)
    loads = [exp(chance.gauss(0, SIGMA)) for _ in range(SERVICES)]
    mean = sum(loads) / SERVICES
    sizes = [
        min(NODES, max(LEAST, round(size * load / mean))) if how == BY_LOAD else size
        for load in loads
    ]
    if how == DEALT:
        # Each node is in one group: those of a zone go round the groups.
        of, orders = dealt(loads, seed), defaultdict(list)
        for node in range(NODES):
            orders[node // ZONES % GROUPS].append(node)
        sizes = [len(orders[group]) for group in of]
    else:
        of, orders = (
            range(SERVICES),
            {service: ranks(f"s{service}", seed) for service in range(SERVICES)},
        )
    before = [set(chosen(orders[group], sizes[s])) for s, group in enumerate(of)]
    services, load = [0] * NODES, np.zeros(NODES)
    for service, nodes in enumerate(before):
        for node in nodes:
            services[node] += 1
            load[node] += loads[service] / len(nodes)

    def moved(gone):
        lost = sum(len(gone & nodes) for nodes in before)
        moves = sum(
            len(set(chosen(orders[group], sizes[s], gone)) - before[s])
            for s, group in enumerate(of)
            if gone & before[s]
        )
        return lost, moves

    one = [moved({node}) for node in range(0, NODES, 24)]
    zone = moved(set(range(0, NODES, ZONES)))
    rates = [loads[s] / mean * RATE / SERVICES / len(nodes) for s, nodes in enumerate(before)]
    return {
        "zones": min(len({node % ZONES for node in nodes}) for nodes in before),
        "idle": services.count(0),
        "most": load.max() / load.mean(),
        "p99": np.percentile(load, 99) / load.mean(),
        "services": np.mean(services),
        "services most": max(services),
        "rate": np.mean(rates),
        "rate least": min(rates),
        "one lost": np.mean([lost for lost, _ in one]),
        "one moves": np.mean([moves for _, moves in one]),
        "zone lost": zone[0],
        "zone moves": zone[1],
        "places": sum(services),
    }


@click.command()
@click.option("--seeds", type=click.IntRange(1), default=5, show_default=True)
def main(seeds):
    heads = (
        "nodes a service",
        "which",
        "zones, least",
        "services a node: mean, most",
        "backends a node",
        "requests/s a service and node: mean, least",
        "load of a node over the mean: 99 in 100, most",
        "nodes with nothing",
        "a node lost: places lost, moved",
        "a zone lost: places lost, moved, of all",
    )
    print("| " + " | ".join(heads) + " |\n" + "| --- " * len(heads) + "|")
    for size, how in (
        (4, HASHED),
        (10, HASHED),
        (34, HASHED),
        (34, BY_LOAD),
        (34, DEALT),
        (68, HASHED),
        (68, BY_LOAD),
        (720, HASHED),
    ):
        rows = [measured(size, how, seed) for seed in range(1, seeds + 1)]
        mean = {key: float(np.mean([row[key] for row in rows])) for key in rows[0]}
        print(
            f"| {size} | {how} | {min(row['zones'] for row in rows)} | {mean['services']:.1f}, "
            f"{max(row['services most'] for row in rows)} | {mean['services'] * BACKENDS / SERVICES:.0f} "
            f"| {mean['rate']:.1f}, {min(row['rate least'] for row in rows):.1f} "
            f"| {mean['p99']:.2f}, {max(row['most'] for row in rows):.2f} | {mean['idle']:.0f} "
            f"| {mean['one lost']:.1f}, {mean['one moves']:.1f} | {mean['zone lost']:.0f}, "
            f"{mean['zone moves']:.0f}, {mean['places']:.0f} |",
            flush=True,
        )


if __name__ == "__main__":
    main()
