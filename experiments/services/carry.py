"""One service of 32 backends that pause, its 810 requests/s spread over so many nodes, in the lab's model.

    .venv/bin/python experiments/services/carry.py [--pause-ms 500] [--by-work] [--nodes 1,4,34,720]

720 nodes: all services on each node, 1.1 requests/s of this one at each. 34: node groups for ten
services each, 24. 4: 3.4 nodes a service, 203. 1: the whole service at one node, for comparison. Besides
the node's own decisions (`node`): plain turns without a limit (`none`) and the lab's bound that sees the
true state (`seer`, whatever the nodes). Backends pause each at its own time, every 5 s, or after so many
answers. The first half of each play is left out.

`met`: trips that came to a backend in its pause or were there as it began; `forecast`: of the pauses,
each counted for each node that has the backend in view, those that the node passed over from their first
moment on as forecast; `out`: trips at a backend in the mean and at most.
"""

import os
import sys
from concurrent.futures import ProcessPoolExecutor
from itertools import product

import click

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__)))))

from pierglade.simulation import plan  # noqa: E402 - the checkout that this file stands in
from pierglade.simulation import simulation as world  # noqa: E402
from pierglade.simulation.backend import SimulatedBackend  # noqa: E402

RATE, BACKENDS, ASKED = 810.0, 32, 950.0  # requests a second; the same that tenants may ask for
EVERY = 127  # answers from one pause to the next where pauses come by work: 5 s of a backend's part
PLAN = {
    "fleet": {"kind": [{"count": BACKENDS, "cores": 2}]},
    "offering": [
        {"name": "look", "work_ms": 30, "spread": "exp", "expected_ms": 150, "hard_limit_ms": 1000}
    ],
    "load": {"rate": RATE},
}
POLICIES = ("node", "none", "seer")


class Watched(SimulatedBackend):
    """Counts who meets a pause, and asks the nodes what they think as one begins."""

    by_work = False

    def __init__(self, *what):
        super().__init__(*what)
        self.number = int(self.name[1:])
        self.met = self.offered = self.most = 0
        self.pauses = self.seen = self.forecast = 0
        self.since, self.seats, self.shifted = 0.0, (), False

    def offer(self, job):
        if self.clock.now >= self.since:
            self.offered += 1
            self.met += self.is_paused
        super().offer(job)
        self.most = max(self.most, self.in_flight())

    def _pause(self):
        if not self.shifted:  # the model's all pause at the same moment, each of these at its own
            self.shifted = True
            if not self.by_work:
                self.clock.after(
                    self.number / BACKENDS * self.fleet.pause.every_s * 10000.0, self._pause
                )
            return
        if self.clock.now >= self.since:
            self.met += self.in_flight()
            self.pauses += 1
            for seat in self.seats:
                node = getattr(seat, "_balancer", None)
                if (
                    node is not None
                    and (b := node.endpoints.index[self.name]) in node.rotation.subset
                ):
                    self.seen += 1
                    self.forecast += self._expects(node, b)
        if self.by_work:
            self.change(self._stand)
            self.clock.after(self.fleet.pause.for_ms * 10.0, self.change, self._go_on)
        else:
            super()._pause()

    def _stand(self):
        self.is_paused = True

    def _go_on(self):
        self.is_paused = False

    def _finish(self, job, plan_number):
        before = self.handled
        super()._finish(job, plan_number)
        if self.by_work and self.handled > before and (self.handled + self.number * 4) % EVERY == 0:
            self._pause()

    def _expects(self, node, b):
        forecast, now = node.pause_forecast.next_pause_at[b], int(self.clock.now)
        ahead = node.request_stats.classes[0].typical * node.outliers.latency_level[b]
        return (
            forecast is not None
            and forecast - ahead <= now <= forecast + node.pause_forecast.mean_pause[b]
        )


def one(job):
    nodes, policy, seed, seconds, pause_ms, by_work = job
    world.SimulatedBackend, Watched.by_work = Watched, by_work
    fleet = {**PLAN["fleet"], "pause": {"every_s": 5, "for_ms": pause_ms}}
    spread = {"count": nodes, "members_per_s": ASKED}
    made = plan.plan_from(
        {
            **PLAN,
            "fleet": fleet,
            "nodes": spread,
            "seed": seed,
            "seconds": seconds,
            "left_out_s": seconds / 2,
        }
    )
    played = world.Simulation(made, policy)
    for backend in played.backends.values():
        backend.since, backend.seats = seconds / 2 * 10000, played.policies
    summary = played.run()
    backends = list(played.backends.values())
    asked = summary["per_s"]["asked"]
    view = [
        len(seat._balancer.rotation.subset)
        for seat in played.policies
        if hasattr(seat, "_balancer")
    ]
    return {
        "in time": summary["per_s"]["in_time"] / asked,
        "p99": summary["p99_ms"],
        "met": sum(b.met for b in backends) / sum(b.offered for b in backends),
        "forecast": sum(b.forecast for b in backends) / max(1, sum(b.seen for b in backends)),
        "pauses": sum(b.pauses for b in backends),
        "trips": sum(b.offered for b in backends) / asked / seconds * 2,
        "out": summary["mean_out"] / BACKENDS,
        "most": max(b.most for b in backends),
        "view": sum(view) / max(1, len(view)),
        "broken": summary["broken"],
    }


@click.command()
@click.option("--nodes", default="1,4,34,720", show_default=True)
@click.option("--seeds", type=click.IntRange(1), default=3, show_default=True)
@click.option("--seconds", type=click.IntRange(20), default=60, show_default=True)
@click.option(
    "--pause-ms", type=float, default=500.0, show_default=True, help="Every 5 s, each backend."
)
@click.option("--by-work", is_flag=True, help=f"Each pauses after {EVERY} answers instead.")
@click.option("--jobs", type=click.IntRange(1), default=2, show_default=True)
def main(nodes, seeds, seconds, pause_ms, by_work, jobs):
    counts = list(map(int, nodes.split(",")))
    rows = [
        (n, policy) for n, policy in product(counts, POLICIES) if policy != "seer" or n == counts[0]
    ]
    work = [
        (n, policy, seed, seconds, pause_ms, by_work)
        for n, policy in rows
        for seed in range(1, seeds + 1)
    ]
    heads = (
        "nodes",
        "a node, requests/s",
        "policy",
        "in time",
        "p99 ms",
        "met a pause",
        "forecast, of pauses",
        "trips a request",
        "trips at a backend, mean and most",
        "backends in view",
    )
    print("| " + " | ".join(heads) + " |\n" + "| --- " * len(heads) + "|")
    with ProcessPoolExecutor(jobs) as pool:
        plays = pool.map(one, work)
        for n, policy in rows:
            got = [next(plays) for _ in range(seeds)]

            def spread(key, form):
                values = sorted(play[key] for play in got)
                low, high = format(values[0], form), format(values[-1], form)
                return low if low == high else f"{low} to {high}"

            broken = [play["broken"] for play in got if play["broken"]]
            forecast = spread("forecast", ".3f") if policy == "node" else "-"
            view = spread("view", ".1f") if policy == "node" else BACKENDS
            print(
                f"| {n} | {RATE / n:.1f} | {policy} | {spread('in time', '.3f')} | {spread('p99', '.0f')} "
                f"| {spread('met', '.3f')} | {forecast} | {spread('trips', '.2f')} "
                f"| {spread('out', '.2f')}, {max(play['most'] for play in got)} | {view} |"
                + (f" rules broken: {broken}" if broken else ""),
                flush=True,
            )


if __name__ == "__main__":
    main()
