"""The plan of an experiment, read from TOML: fleet, load, clients, nodes and rules.

Names of durations end with their unit; shares are fractions of 1. Times of faults count from the
first request of the load. An invalid plan is reported in one line that names the place.
"""

import os
from copy import deepcopy
from typing import Annotated, Literal

import msgspec
import numpy as np
from msgspec import Meta

from pierglade.load.plan import ArrivalPattern, RecordedRequest, arrival_times
from pierglade.simulation.plan import (
    Count,
    InvalidPlanError,
    NotNegative,
    PlanTable,
    Positive,
    Share,
    read_tables,
)
from pierglade.testbed import plan as fleets

MAX_BASES = 4  # files in a chain of `base` references


class ClientPlan(PlanTable):
    """The behaviour of the clients."""

    spacing: Literal["even", "poisson"] = "poisson"
    # Client timeout; 0: the longest hard limit of the request classes
    patience_ms: NotNegative = 0.0
    retries: Annotated[int, Meta(ge=0, le=20)] = 0  # after a rejection or a failure
    retry_ms: NotNegative = 200.0  # wait before the first retry
    doubled: bool = True  # the wait doubles with each further retry
    marks: bool = True  # retries are marked with X-Second-Try
    # fraction of the requests whose client disconnects after half of its timeout
    abandon_share: Share = msgspec.field(name="leaves", default=0.0)
    kept: bool = True  # connections are reused
    processes: Count = 1  # sender processes for each node


class Member(PlanTable):
    """A tenant, as named in X-Customer."""

    name: str
    share: Positive = 1.0  # weight in the random choice of a request's tenant
    per_s: NotNegative = 0.0  # quota in the settings of the nodes; 0: none


class Nodes(PlanTable):
    """The nodes in front of the fleet."""

    count: Count = 2
    attempts: Count = msgspec.field(name="trips", default=3)
    probes: bool = True
    retry_after_ms: NotNegative = 0.0
    core: int = -1  # core of the first node; each further node uses the next core; -1: not bound


class Rules(PlanTable):
    """Parameters of the rules that the run is audited against."""

    drain_grace_ms: NotNegative = 1000.0
    further_span_s: NotNegative = 0.0  # window of the retry budget; 0: no budget
    # Retries that are always allowed within the window
    further_most: Annotated[int, Meta(ge=0)] = 0
    further_share: Share = 0.0  # further retries, as a fraction of the requests in the window


class Experiment(PlanTable):
    """The whole plan."""

    fleet: fleets.Plan
    load: Annotated[list[ArrivalPattern], Meta(min_length=1)]
    title: str = ""
    seed: int = 1
    clients: ClientPlan = msgspec.field(default_factory=ClientPlan)
    nodes: Nodes = msgspec.field(default_factory=Nodes)
    rules: Rules = msgspec.field(default_factory=Rules)
    member: list[Member] = []
    raw: dict = {}  # the tables that the plan was converted from

    def seconds(self):
        """Returns the duration of the load."""
        return sum(pattern.seconds for pattern in self.load)

    def timeout_s(self):
        """Returns the timeout of the clients."""
        return (
            self.clients.patience_ms
            or max(request_class.hard_limit_ms for request_class in self.fleet.request_class)
        ) / 1000

    def ledgers(self):
        """Returns the number of ledgers that the clients write, one for each sender process."""
        return self.nodes.count * self.clients.processes

    def arrivals(self):
        """Returns (arrival times in s, [RecordedRequest], sender index of each request).

        All of them are reproducible from the seed.
        """
        times = arrival_times(self.load, self.clients.spacing, self.seed)
        generator = np.random.default_rng([self.seed, 1])

        def draw(candidates):
            shares = np.array([candidate.share for candidate in candidates])
            return generator.choice(len(candidates), len(times), p=shares / shares.sum())

        request_classes = draw(self.fleet.request_class)
        members = draw(self.member) if self.member else None
        rows = [
            RecordedRequest(
                float(time),
                self.fleet.request_class[request_class].name,
                self.member[members[number]].name if self.member else "",
            )
            for number, (time, request_class) in enumerate(zip(times, request_classes))
        ]
        return times, rows, generator.integers(self.ledgers(), size=len(times))

    def fleet_tables(self, lead_s):
        """Returns the fleet's tables with the experiment's seed and all faults delayed by `lead_s`."""
        raw = deepcopy(self.raw["fleet"])
        for fault in raw.get("befall", ()):
            fault["at_s"] += lead_s
        raw["seed"] = self.seed
        return raw


def read(path):
    """Returns the Experiment in the TOML file at `path`.

    `base = "FILE"` names a file, relative to this one, that the plan extends: keys of a table
    override those of the base, and a list replaces that of the base. Raises InvalidPlanError with
    one line that names the place.
    """
    return plan_from(_read_with_bases(path, MAX_BASES), path)


def _read_with_bases(path, max_bases):
    raw = read_tables(path)
    base = raw.pop("base", None)
    if base is None:
        return raw
    if not isinstance(base, str) or not max_bases:
        raise InvalidPlanError(
            f"{path}: $.base is {base!r}; expected a file name, in a chain of at most {MAX_BASES} "
            "bases"
        )
    return _merge(_read_with_bases(os.path.join(os.path.dirname(path), base), max_bases - 1), raw)


def _merge(base, override):
    """Returns `base` with the keys of `override`; tables are merged, other values replaced."""
    if not isinstance(base, dict) or not isinstance(override, dict):
        return override
    return {
        key: _merge(base[key], override[key])
        if key in base and key in override
        else override.get(key, base.get(key))
        for key in {**base, **override}
    }


def plan_from(raw, path="plan"):
    """Returns the Experiment in a mapping; raises InvalidPlanError, with `path` in the message."""
    try:
        plan = msgspec.convert(
            {key: value for key, value in raw.items() if key != "raw"}, Experiment
        )
    except msgspec.ValidationError as error:
        raise InvalidPlanError(f"{path}: {error}") from None
    plan.raw = raw
    plan.fleet = fleets.plan_from(raw["fleet"], f"{path}: fleet")
    if plan.fleet.ledger.path:
        raise InvalidPlanError(
            f"{path}: $.fleet.ledger.path is {plan.fleet.ledger.path!r}; expected no path, "
            "because the ledger is written to the folder of the run"
        )
    if len({member.name for member in plan.member}) < len(plan.member):
        raise InvalidPlanError(f"{path}: $.member: two members have the same name")
    for number, fault in enumerate(plan.fleet.befall):
        if fault.at_s >= plan.seconds():
            raise InvalidPlanError(
                f"{path}: $.fleet.befall[{number}].at_s is {fault.at_s:g}; expected less than "
                f"{plan.seconds():g}, the end of the load"
            )
    return plan
