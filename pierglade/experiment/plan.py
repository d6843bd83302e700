"""An experiment's plan, read from TOML: the fleet, the load, the clients, the nodes and the rules.

Times carry their unit in the name; shares are of 1. Moments of what befalls the fleet count from the load's
first request. What can't be used is one line that names the place.
"""

import os
from copy import deepcopy
from typing import Annotated, Literal

import msgspec
import numpy as np
from msgspec import Meta

from pierglade.load.plan import ArrivalPattern, RecordedRequest, moments
from pierglade.simulation.plan import (
    Count,
    InvalidPlanError,
    NotNegative,
    Positive,
    Share,
    Struct,
    tables,
)
from pierglade.testbed import plan as fleets

BASES = 4  # how many files may stand on one another


class Clients(Struct):
    """What the clients do."""

    spacing: Literal["even", "poisson"] = "poisson"
    patience_ms: NotNegative = 0.0  # 0: the longest hard limit of the offerings
    retries: Annotated[int, Meta(ge=0, le=20)] = 0  # tries more after a refusal or a failure
    retry_ms: NotNegative = 200.0  # the wait before the first of them; then doubled, if `doubled`
    doubled: bool = True
    marks: bool = True  # they mark them with X-Second-Try
    # go away after half of their patience
    abandon_share: Share = msgspec.field(name="leaves", default=0.0)
    kept: bool = True  # connections are used again
    processes: Count = 1  # that send to each node


class Member(Struct):
    """Who asks, as X-Customer names them."""

    name: str
    share: Positive = 1.0
    per_s: NotNegative = 0.0  # what the nodes are told of its share; 0: nothing


class Nodes(Struct):
    """The nodes before the fleet."""

    count: Count = 2
    attempts: Count = msgspec.field(name="trips", default=3)
    probes: bool = True
    retry_after_ms: NotNegative = 0.0
    core: int = -1  # the first node is bound to this core, the next to the next; -1: free


class Rules(Struct):
    """What must hold."""

    drain_grace_ms: NotNegative = 1000.0
    further_span_s: NotNegative = 0.0
    further_most: Annotated[int, Meta(ge=0)] = 0
    further_share: Share = 0.0


class Experiment(Struct):
    fleet: fleets.Plan
    load: Annotated[list[ArrivalPattern], Meta(min_length=1)]
    title: str = ""
    seed: int = 1
    clients: Clients = msgspec.field(default_factory=Clients)
    nodes: Nodes = msgspec.field(default_factory=Nodes)
    rules: Rules = msgspec.field(default_factory=Rules)
    member: list[Member] = []
    raw: dict = {}  # the tables that it was made of

    def seconds(self):
        return sum(shape.seconds for shape in self.load)

    def timeout_s(self):
        return (
            self.clients.patience_ms or max(o.hard_limit_ms for o in self.fleet.request_class)
        ) / 1000

    def ledgers(self):
        """How many ledgers the clients write."""
        return self.nodes.count * self.clients.processes

    def arrivals(self):
        """(moments in s, [Recorded], the sender that each has), all from the one seed."""
        at = moments(self.load, self.clients.spacing, self.seed)
        chance = np.random.default_rng([self.seed, 1])

        def drawn(rows):
            shares = np.array([row.share for row in rows])
            return chance.choice(len(rows), len(at), p=shares / shares.sum())

        request_classes = drawn(self.fleet.request_class)
        members = drawn(self.member) if self.member else None
        rows = [
            RecordedRequest(
                float(moment),
                self.fleet.request_class[request_class].name,
                self.member[members[number]].name if self.member else "",
            )
            for number, (moment, request_class) in enumerate(zip(at, request_classes))
        ]
        return at, rows, chance.integers(self.ledgers(), size=len(at))

    def shifted(self, lead_s):
        """The fleet's tables with all that befalls it `lead_s` later, as its own process reads them."""
        raw = deepcopy(self.raw["fleet"])
        for befall in raw.get("befall", ()):
            befall["at_s"] += lead_s
        raw["seed"] = self.seed
        return raw


def read(path):
    """The Experiment in the TOML file at `path`; raises InvalidPlanError with one line that names the place.

    `base = "FILE"`, beside it, stands below it: a table's keys go before the base's, a list in place of it.
    """
    return made(_whole(path, BASES), path)


def _whole(path, left):
    raw = tables(path)
    base = raw.pop("base", None)
    if base is None:
        return raw
    if not isinstance(base, str) or not left:
        raise InvalidPlanError(
            f"{path}: $.base: {base!r} stands there; allowed: a file, {BASES} on one another"
        )
    return _over(_whole(os.path.join(os.path.dirname(path), base), left - 1), raw)


def _over(below, above):
    if not isinstance(below, dict) or not isinstance(above, dict):
        return above
    return {
        key: _over(below[key], above[key])
        if key in below and key in above
        else above.get(key, below.get(key))
        for key in {**below, **above}
    }


def made(raw, path="plan"):
    """The same from a mapping."""
    try:
        plan = msgspec.convert(
            {key: value for key, value in raw.items() if key != "raw"}, Experiment
        )
    except msgspec.ValidationError as fault:
        raise InvalidPlanError(f"{path}: {fault}") from None
    plan.raw = raw
    plan.fleet = fleets.made(raw["fleet"], f"{path}: fleet")
    if plan.fleet.ledger.path:
        raise InvalidPlanError(
            f"{path}: $.fleet.ledger.path: an experiment has a folder of its own for it"
        )
    if len({member.name for member in plan.member}) < len(plan.member):
        raise InvalidPlanError(f"{path}: $.member: two of one name")
    for number, befall in enumerate(plan.fleet.befall):
        if befall.at_s >= plan.seconds():
            raise InvalidPlanError(
                f"{path}: $.fleet.befall[{number}].at_s: {befall.at_s:g} lies behind the load's "
                f"end at {plan.seconds():g}"
            )
    return plan
