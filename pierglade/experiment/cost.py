"""The CPU cost of a response and of a rejection, and the highest rate within the expected latency.

Measures one node on one core, in front of simulated backends with spare cores. The runs of several
builds alternate.
"""

import statistics
import tempfile

import msgspec

from pierglade.experiment import plan as plans
from pierglade.experiment import play as runner
from pierglade.simulation.plan import (
    Count,
    InvalidPlanError,
    PlanTable,
    Positive,
    Share,
    read_tables,
)

LATENCY_LIMITS = {"expected_ms": 250.0, "hard_limit_ms": 1000.0}
MAX_DOUBLINGS = 16  # how often the search for the highest rate may double the first rate


class Cost(PlanTable):
    """The `[cost]` table."""

    core: int = 1  # core of the node; all other processes run on the other cores
    backends: Count = 4
    work_ms: Positive = 2.0  # processing time of a request at a backend
    rate: Positive = 400.0  # requests per second while the CPU cost is measured
    seconds: Positive = 5.0  # duration of each run
    first_rate: Positive = 800.0  # start of the search for the highest rate
    steps: Count = 4  # bisections between the last passing and the first failing rate
    enough: Share = 0.99  # minimum service at which a rate passes
    seed: int = 1


def has_cost_table(path):
    """Whether the file has a [cost] table; False if it can't be read."""
    try:
        return "cost" in read_tables(path)
    except InvalidPlanError:
        return False


def read(path):
    """Returns the Cost in the file at `path`; raises InvalidPlanError, which names the place."""
    raw = read_tables(path)
    if set(raw) - {"cost", "title"}:
        raise InvalidPlanError(
            f"{path}: $.{sorted(set(raw) - {'cost', 'title'})[0]}: unknown key; "
            "expected only [cost] and `title`"
        )
    try:
        return msgspec.convert(raw["cost"], Cost)
    except msgspec.ValidationError as error:
        raise InvalidPlanError(f"{path}: {str(error).replace('$', '$.cost')}") from None


def _plan(cost, rate, is_rejected=False):
    """Returns a plan with one node in front of backends without a concurrency bound.

    With `is_rejected`, all backends are draining from the start, so that each request is rejected.
    """
    raw = {
        "title": "cost",
        "seed": cost.seed,
        "load": [{"rate": rate, "seconds": cost.seconds}],
        "clients": {"spacing": "even"},
        "nodes": {"count": 1, "core": cost.core, "probes": False},
        "fleet": {
            "kind": [{"cores": 0}],
            "place": [{"count": cost.backends}],
            "connections": 4096,
            "offering": [
                {"name": "look", "work_ms": cost.work_ms, "spread": "fixed", **LATENCY_LIMITS}
            ],
        },
    }
    if is_rejected:
        raw["fleet"]["befall"] = [{"at_s": 0.0, "what": "drain"}]
    plan = plans.plan_from(raw)
    if is_rejected:
        raw["fleet"]["befall"][0]["at_s"] = -0.8  # before the first request of the load
    return plan


class UnreliableRunError(Exception):
    """The load that was sent differs from the planned load."""


def _run(cost, build, rate, is_rejected=False):
    with tempfile.TemporaryDirectory(prefix="pierglade-") as folder:
        summary = runner.run_experiment(_plan(cost, rate, is_rejected), folder, build)
    if summary["not_to_be_trusted"]:
        raise UnreliableRunError(summary["not_to_be_trusted"][0])
    return summary


def _highest_rate(cost, build):
    """Returns the highest passing rate per second, found by doubling and then by bisection."""

    def passes(rate):
        try:
            return _run(cost, build, rate)["service"] >= cost.enough
        except UnreliableRunError:
            return False

    low, high = 0.0, cost.first_rate
    for _ in range(MAX_DOUBLINGS):
        if not passes(high):
            break
        low, high = high, high * 2
    for _ in range(cost.steps):
        middle = (low + high) / 2
        if passes(middle):
            low = middle
        else:
            high = middle
    return round(low, 1)


def measure(plan, builds, times, progress=lambda completed, fraction: None):
    """Returns {label: {figure: [value of each round]}}; raises RunFailedError if a run is invalid."""
    results = {
        build.label: {"cpu_ms_an_answer": [], "cpu_ms_a_refusal": [], "highest_a_second": []}
        for build in builds
    }
    completed = 0
    for round_number in range(times):
        for build in builds[round_number % len(builds) :] + builds[: round_number % len(builds)]:
            figures = results[build.label]
            try:
                figures["cpu_ms_an_answer"].append(_run(plan, build, plan.rate)["cpu_ms_an_answer"])
                rejections = _run(plan, build, plan.rate, is_rejected=True)
            except UnreliableRunError as error:
                raise runner.RunFailedError(str(error)) from None
            if rejections["in_time"]:
                raise runner.RunFailedError(
                    f"{rejections['in_time']} requests were answered while all backends were "
                    "draining; expected only rejections"
                )
            figures["cpu_ms_a_refusal"].append(rejections["cpu_ms_an_answer"])
            figures["highest_a_second"].append(_highest_rate(plan, build))
            completed += 1
            progress(completed, 0.0)
    return results


def table_lines(results):
    """Yields the lines of a table that compares each build with the first."""
    first = next(iter(results))
    for figure in results[first]:
        medians = {label: statistics.median(figures[figure]) for label, figures in results.items()}
        cells = [
            f"{label} {value:g} ({min(results[label][figure]):g} to {max(results[label][figure]):g})"
            + (f", x{value / medians[first]:.2f}" if label != first and medians[first] else "")
            for label, value in medians.items()
        ]
        yield f"{figure.replace('_', ' '):20} " + "; ".join(cells)
