"""What an invocation costs: CPU an answer, CPU a refusal, and the highest rate within expected times.

One node on one core before stand-in backends that have cores to spare; several builds in turns.
"""

import statistics
import tempfile

import msgspec

from pierglade.experiment import plan as plans
from pierglade.experiment import play as plays
from pierglade.simulation.plan import Count, InvalidPlanError, Positive, Share, Struct, tables

HARD = {"expected_ms": 250.0, "hard_limit_ms": 1000.0}
TOO_FAR = 16  # doublings of the first rate after which the search ends


class Cost(Struct):
    """The `[cost]` table."""

    core: int = 1  # the node's; all else runs on the others
    backends: Count = 4
    work_ms: Positive = 2.0  # what an answer takes a backend
    rate: Positive = 400.0  # at which an answer and a refusal are weighed, a second
    seconds: Positive = 5.0  # each play
    first_rate: Positive = 800.0  # the search for the highest rate doubles from here
    steps: Count = 4  # halvings between the last that held and the first that did not
    enough: Share = 0.99  # of what was asked, answered within the expected time: it holds
    seed: int = 1


def is_cost(path):
    """Whether the file asks for the cost; one that can't be read does not."""
    try:
        return "cost" in tables(path)
    except InvalidPlanError:
        return False


def read(path):
    """The Cost in the file at `path`; raises InvalidPlanError with one line that names the place."""
    raw = tables(path)
    if set(raw) - {"cost", "title"}:
        raise InvalidPlanError(
            f"{path}: $.{sorted(set(raw) - {'cost', 'title'})[0]}: beside [cost] there is only "
            "`title`"
        )
    try:
        return msgspec.convert(raw["cost"], Cost)
    except msgspec.ValidationError as fault:
        raise InvalidPlanError(f"{path}: {str(fault).replace('$', '$.cost')}") from None


def _plan(cost, rate, refused=False):
    """One node before backends that have room for all, or that are all draining from the start."""
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
            "offering": [{"name": "look", "work_ms": cost.work_ms, "spread": "fixed", **HARD}],
        },
    }
    if refused:
        raw["fleet"]["befall"] = [{"at_s": 0.0, "what": "drain"}]
    plan = plans.made(raw)
    if refused:
        raw["fleet"]["befall"][0]["at_s"] = -0.8  # before the load's first request
    return plan


class Lost(Exception):
    """The load was not the one that was planned."""


def _play(cost, build, rate, refused=False):
    with tempfile.TemporaryDirectory(prefix="pierglade-") as folder:
        told = plays.play(_plan(cost, rate, refused), folder, build)
    if told["not_to_be_trusted"]:
        raise Lost(told["not_to_be_trusted"][0])
    return told


def _highest(cost, build):
    """(a second, why it ends there): by doubling, then by halving between."""

    def holds(rate):
        try:
            return _play(cost, build, rate)["service"] >= cost.enough
        except Lost:
            return False

    low, high = 0.0, cost.first_rate
    for _ in range(TOO_FAR):
        if not holds(high):
            break
        low, high = high, high * 2
    for _ in range(cost.steps):
        middle = (low + high) / 2
        if holds(middle):
            low = middle
        else:
            high = middle
    return round(low, 1)


def measure(plan, builds, times, progress=lambda played, share: None):
    """{label: {figure: [a value a round]}}; raises plays.Failed where a play is void."""
    told = {
        build.label: {"cpu_ms_an_answer": [], "cpu_ms_a_refusal": [], "highest_a_second": []}
        for build in builds
    }
    played = 0
    for turn in range(times):
        for build in builds[turn % len(builds) :] + builds[: turn % len(builds)]:
            of = told[build.label]
            try:
                of["cpu_ms_an_answer"].append(_play(plan, build, plan.rate)["cpu_ms_an_answer"])
                refusals = _play(plan, build, plan.rate, refused=True)
            except Lost as fault:
                raise plays.Failed(str(fault)) from None
            if refusals["in_time"]:
                raise plays.Failed(f"{refusals['in_time']} of what was to be refused was answered")
            of["cpu_ms_a_refusal"].append(refusals["cpu_ms_an_answer"])
            of["highest_a_second"].append(_highest(plan, build))
            played += 1
            progress(played, 0.0)
    return told


def lines(told):
    """The table, with each build beside the first."""
    first = next(iter(told))
    for figure in told[first]:
        middle = {label: statistics.median(of[figure]) for label, of in told.items()}
        cells = [
            f"{label} {value:g} ({min(told[label][figure]):g} to {max(told[label][figure]):g})"
            + (f", x{value / middle[first]:.2f}" if label != first and middle[first] else "")
            for label, value in middle.items()
        ]
        yield f"{figure.replace('_', ' '):20} " + "; ".join(cells)
