"""Simulates one service of 32 pausing backends whose 810 requests/s are spread over several nodes.

    .venv/bin/python experiments/services/carry.py [--pause-ms 500] [--by-work] [--nodes 1,4,34,720]

720 nodes: all services on each node, 1.1 requests/s of this one per node. 34: node groups for ten
services each, 24 requests/s per node. 4: 3.4 nodes per service, 203 requests/s per node. 1: the whole
service on one node, for comparison.

Policies: the decisions of a node (`node`), plain round robin without a concurrency limit (`none`), and the
oracle of the simulation, which sees the true state (`seer`, independent of the number of nodes). Each backend
pauses at its own time, every 5 s, or after a number of answers. The first half of each run is not counted.

Columns: `met a pause` is the fraction of attempts that arrived at a backend during its pause or were in flight
when it began. `forecast, of pauses` counts each pause once for every node that has the backend in its subset,
and is the fraction that the node had forecast when they began. `attempts in flight at a backend` has the mean
and the maximum.
"""

import os
import sys
from concurrent.futures import ProcessPoolExecutor
from itertools import product

import click

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__)))))

from pierglade.simulation import plan, simulation  # noqa: E402 - from the checkout that contains this file
from pierglade.simulation.backend import SimulatedBackend  # noqa: E402

RATE, BACKENDS, QUOTA = 810.0, 32, 950.0  # RATE and QUOTA, the sum of all tenant quotas: requests/s
# Answers between two pauses with --by-work: what a backend answers in 5 s.
PAUSE_INTERVAL_ANSWERS = 127
PLAN = {
    "fleet": {"kind": [{"count": BACKENDS, "cores": 2}]},
    "offering": [
        {"name": "look", "work_ms": 30, "spread": "exp", "expected_ms": 150, "hard_limit_ms": 1000}
    ],
    "load": {"rate": RATE},
}
POLICIES = ("node", "none", "seer")


class MeasuredBackend(SimulatedBackend):
    """Counts the attempts that meet a pause, and whether the nodes had forecast each pause."""

    by_work = False

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.number = int(self.name[1:])
        self.met_pause = self.offered = self.max_in_flight = 0
        self.pauses = self.observed_pauses = self.forecast_pauses = 0
        self.measured_from, self.policies, self.is_shifted = 0.0, (), False

    def offer(self, job):
        if self.clock.now >= self.measured_from:
            self.offered += 1
            self.met_pause += self.is_paused
        super().offer(job)
        self.max_in_flight = max(self.max_in_flight, self.in_flight())

    def _pause(self):
        # The simulated backends all pause at the same moment; here each is shifted by its number.
        if not self.is_shifted:
            self.is_shifted = True
            if not self.by_work:
                self.clock.after(
                    self.number / BACKENDS * self.fleet.pause.every_s * 10000.0, self._pause
                )
            return
        if self.clock.now >= self.measured_from:
            self.met_pause += self.in_flight()
            self.pauses += 1
            for policy in self.policies:
                balancer = getattr(policy, "_balancer", None)
                if (
                    balancer is not None
                    and (backend := balancer.endpoints.index[self.name]) in balancer.rotation.subset
                ):
                    self.observed_pauses += 1
                    self.forecast_pauses += self._is_forecast(balancer, backend)
        if self.by_work:
            self.change(self._begin_pause)
            self.clock.after(self.fleet.pause.for_ms * 10.0, self.change, self._end_pause)
        else:
            super()._pause()

    def _begin_pause(self):
        self.is_paused = True

    def _end_pause(self):
        self.is_paused = False

    def _finish(self, job, schedule_number):
        handled_before = self.handled
        super()._finish(job, schedule_number)
        if (
            self.by_work
            and self.handled > handled_before
            and (self.handled + self.number * 4) % PAUSE_INTERVAL_ANSWERS == 0
        ):
            self._pause()

    def _is_forecast(self, balancer, backend):
        forecast, now = balancer.pause_forecast.next_pause_at[backend], int(self.clock.now)
        margin = (
            balancer.request_stats.classes[0].typical * balancer.outliers.latency_level[backend]
        )
        return (
            forecast is not None
            and forecast - margin <= now <= forecast + balancer.pause_forecast.mean_pause[backend]
        )


def run_simulation(job):
    """Runs one simulation; returns its figures by name."""
    nodes, policy, seed, seconds, pause_ms, by_work = job
    simulation.SimulatedBackend, MeasuredBackend.by_work = MeasuredBackend, by_work
    fleet = {**PLAN["fleet"], "pause": {"every_s": 5, "for_ms": pause_ms}}
    node_settings = {"count": nodes, "members_per_s": QUOTA}
    run_plan = plan.plan_from(
        {
            **PLAN,
            "fleet": fleet,
            "nodes": node_settings,
            "seed": seed,
            "seconds": seconds,
            "left_out_s": seconds / 2,
        }
    )
    run = simulation.Simulation(run_plan, policy)
    for backend in run.backends.values():
        backend.measured_from, backend.policies = seconds / 2 * 10000, run.policies
    summary = run.run()
    backends = list(run.backends.values())
    requests_per_s = summary["per_s"]["asked"]
    subset_sizes = [
        len(each._balancer.rotation.subset) for each in run.policies if hasattr(each, "_balancer")
    ]
    return {
        "in time": summary["per_s"]["in_time"] / requests_per_s,
        "p99": summary["p99_ms"],
        "met pause": sum(each.met_pause for each in backends)
        / sum(each.offered for each in backends),
        "forecast": sum(each.forecast_pauses for each in backends)
        / max(1, sum(each.observed_pauses for each in backends)),
        "pauses": sum(each.pauses for each in backends),
        "attempts": sum(each.offered for each in backends) / requests_per_s / seconds * 2,
        "mean in flight": summary["mean_out"] / BACKENDS,
        "max in flight": max(each.max_in_flight for each in backends),
        "subset size": sum(subset_sizes) / max(1, len(subset_sizes)),
        "broken": summary["broken"],
    }


@click.command()
@click.option("--nodes", default="1,4,34,720", show_default=True)
@click.option("--seeds", type=click.IntRange(1), default=3, show_default=True)
@click.option("--seconds", type=click.IntRange(20), default=60, show_default=True)
@click.option(
    "--pause-ms", type=float, default=500.0, show_default=True, help="Length of a pause, every 5 s."
)
@click.option(
    "--by-work",
    is_flag=True,
    help=f"Each backend pauses after {PAUSE_INTERVAL_ANSWERS} answers instead.",
)
@click.option("--jobs", type=click.IntRange(1), default=2, show_default=True)
def main(nodes, seeds, seconds, pause_ms, by_work, jobs):
    """Prints a table with a row for each number of nodes and policy."""
    node_counts = list(map(int, nodes.split(",")))
    rows = [
        (n, policy)
        for n, policy in product(node_counts, POLICIES)
        if policy != "seer" or n == node_counts[0]
    ]
    jobs_to_run = [
        (n, policy, seed, seconds, pause_ms, by_work)
        for n, policy in rows
        for seed in range(1, seeds + 1)
    ]
    headings = (
        "nodes",
        "requests/s of a node",
        "policy",
        "in time",
        "p99 ms",
        "met a pause",
        "forecast, of pauses",
        "attempts per request",
        "attempts in flight at a backend, mean and maximum",
        "backends in the subset",
    )
    print("| " + " | ".join(headings) + " |\n" + "| --- " * len(headings) + "|")
    with ProcessPoolExecutor(jobs) as pool:
        pending_results = pool.map(run_simulation, jobs_to_run)
        for n, policy in rows:
            results = [next(pending_results) for _ in range(seeds)]

            def spread(key, number_format):
                values = sorted(result[key] for result in results)
                low, high = format(values[0], number_format), format(values[-1], number_format)
                return low if low == high else f"{low} to {high}"

            broken = [result["broken"] for result in results if result["broken"]]
            forecast = spread("forecast", ".3f") if policy == "node" else "-"
            subset_size = spread("subset size", ".1f") if policy == "node" else BACKENDS
            print(
                f"| {n} | {RATE / n:.1f} | {policy} | {spread('in time', '.3f')} | {spread('p99', '.0f')} "
                f"| {spread('met pause', '.3f')} | {forecast} | {spread('attempts', '.2f')} "
                f"| {spread('mean in flight', '.2f')}, {max(result['max in flight'] for result in results)} "
                f"| {subset_size} |" + (f" rules violated: {broken}" if broken else ""),
                flush=True,
            )


if __name__ == "__main__":
    main()
