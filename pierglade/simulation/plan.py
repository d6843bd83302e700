"""A plan of one run, read from TOML into typed structs.

Times carry their unit in the name; shares are of 1. What can't be read is one line that names the place.
"""

import tomllib
from copy import deepcopy
from itertools import product
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

Share = Annotated[float, Meta(ge=0, le=1)]
Positive = Annotated[float, Meta(gt=0)]
NotNegative = Annotated[float, Meta(ge=0)]
Count = Annotated[int, Meta(ge=1)]


class Unreadable(Exception):
    """A plan that can't be used: the file, the place and what is wrong there."""


class Struct(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    pass


class Kind(Struct):
    """Some backends of one kind."""

    count: Count = 1
    cores: Annotated[int, Meta(ge=0)] = (
        2  # worked on at once; 0: no bound, each answer takes its time
    )
    queue: Annotated[int, Meta(ge=-1)] = -1  # waiting before it turns away; -1: no bound
    speed: Positive = 1.0
    contention: NotNegative = 0.0  # share by which each other one running slows a new one
    weight: Positive = 1.0  # as the list names it
    cold_from: Annotated[float, Meta(gt=0, le=1)] = 1.0  # share of its speed right after a start
    cold_for_s: Positive = 8.0
    tip_multiple: Positive = 3.0  # cold, it falls over beyond so many times what it can do
    tip_s: Positive = 2.0  # for so long


class Overdrive(Struct):
    """More than cores + at x root of cores, in the mean of over_s, makes a backend slower."""

    at: Positive = 4.0
    over_s: Positive = 2.0
    slower: Annotated[float, Meta(ge=1)] = 3.0
    below: Share = 0.3  # of its cores busy, for rest_s, or most_s at the longest, and it is well
    rest_s: Positive = 3.0
    most_s: Positive = 20.0


class Pause(Struct):
    """Each backend stands still for so long, so often, whenever its turn comes."""

    every_s: Positive = 5.0
    for_ms: Positive = 200.0


class Fleet(Struct):
    kind: Annotated[list[Kind], Meta(min_length=1)]
    delay_ms: NotNegative = 0.1  # one way
    notice_s: NotNegative = 1.0  # until the list tells of a change
    drops_waiting: bool = True  # trips that are called off and wait are dropped
    overdrive: Overdrive | None = None
    pause: Pause | None = None


class Offered(Struct):
    name: str
    work_ms: Positive
    share: Positive = 1.0
    spread: Literal["fixed", "exp", "lognormal", "pareto"] = "exp"
    cv: Positive = 1.0
    wait_ms: NotNegative = 0.0  # on others, holding no core
    expected_ms: Positive = 1000.0
    hard_limit_ms: Positive = 4000.0
    priority_weight: Positive = msgspec.field(name="credit", default=1.0)
    repeats: Literal["harmless", "stamped", "one-shot"] = "harmless"
    group: Literal["all", "zone", "cell"] = "all"
    window_ms: NotNegative = 0.0


class Nodes(Struct):
    count: Count = 1
    members_per_s: NotNegative = 0.0  # shares of one named member; 0: no members are named
    most_trips: Count = 3


class Load(Struct):
    """Closed: `kept` invocations in the system. Open: `rate` a second, and bursts."""

    kept: Annotated[int, Meta(ge=0)] = 0
    kept_each: Annotated[int, Meta(ge=0)] = 0  # the same for each backend
    again_ms: NotNegative = 0.0  # closed: until the next one, after a bounce as after an answer
    rate: NotNegative = 0.0
    rate_share: NotNegative = 0.0  # the same as a share of what the cores could do
    spacing: Literal["poisson", "even"] = "poisson"
    burst_times: Annotated[float, Meta(ge=1)] = 1.0
    burst_ms: NotNegative = 0.0
    burst_every_s: Positive = 5.0
    retries: Annotated[int, Meta(ge=0)] = 0  # open: tries more after a bounce or a give-up
    retry_ms: NotNegative = 200.0  # the wait before each, doubled
    patience: Share = 1.0  # share of the hard limit after which a try is abandoned


class Change(Struct):
    at_s: NotNegative
    what: Literal["gone", "back", "slower", "cores", "load", "hang", "errors", "well"]
    share: Share = 1.0  # of the backends, the first ones
    times: Positive = 1.0
    listed: bool = True  # whether the list tells


class Plan(Struct):
    fleet: Fleet
    request_class: Annotated[list[Offered], Meta(min_length=1)] = msgspec.field(name="offering")
    load: Load
    nodes: Nodes = msgspec.field(default_factory=Nodes)
    change: list[Change] = []
    seed: int = 1
    seconds: Positive = 20.0
    left_out_s: NotNegative = 8.0
    title: str = ""

    def count(self):
        return sum(kind.count for kind in self.fleet.kind)

    def mean(self, figure):
        """A figure of the offerings in the mean of what is asked."""
        return sum(o.share * getattr(o, figure) for o in self.request_class) / sum(
            o.share for o in self.request_class
        )

    def able(self):
        """Invocations a second that the cores could do, by arithmetic."""
        if any(k.cores == 0 for k in self.fleet.kind):
            return float("inf")
        return (
            sum(k.count * k.cores * k.speed for k in self.fleet.kind) * 1000 / self.mean("work_ms")
        )

    def possible(self):
        """Settled a second that the fleet could bear and the clients ask for, by arithmetic, unchanged."""
        load = self.load
        if load.kept:
            fast = max(k.speed for k in self.fleet.kind)
            asked = (
                load.kept
                * 1000
                / (
                    self.mean("work_ms") / fast
                    + self.mean("wait_ms")
                    + 2 * self.fleet.delay_ms
                    + load.again_ms
                )
            )
        else:
            bursts = load.burst_ms / 1000 / load.burst_every_s
            asked = load.rate * (1 + bursts * (load.burst_times - 1))
        return min(self.able(), asked)


def tables(path):
    """The tables of the TOML file at `path`, or of a JSON one, not looked into; raises Unreadable."""
    try:
        with open(path, "rb") as file:
            if path.endswith(".json"):
                return msgspec.json.decode(file.read(), type=dict)
            return tomllib.load(file)
    except OSError as fault:
        raise Unreadable(f"{path}: {fault.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, msgspec.DecodeError) as fault:
        raise Unreadable(f"{path}: {fault}") from None


def read(path):
    """The plans in the TOML file at `path`, as (what was varied, plan) pairs; raises Unreadable.

    A table `vary` names figures by their place and gives each a list: `"fleet.kind.0.count" = [1, 4]`. There
    is a plan for each combination, in order.
    """
    raw = tables(path)
    vary = raw.pop("vary", {})
    if not isinstance(vary, dict) or not all(isinstance(v, list) and v for v in vary.values()):
        raise Unreadable(f"{path}: $.vary: a table of places, each with a list of values")
    plans = []
    for values in product(*vary.values()):
        varied = deepcopy(raw)
        for place, value in zip(vary, values):
            _put(varied, place, value, path)
        plans.append((dict(zip(vary, values)), made(varied, path)))
    return plans


def _put(raw, place, value, path):
    *way, last = [int(word) if word.isdigit() else word for word in place.split(".")]
    try:
        for word in way:
            raw = raw.setdefault(word, {}) if isinstance(raw, dict) else raw[word]
        raw[last] = value
    except (KeyError, IndexError, TypeError, AttributeError):
        raise Unreadable(f"{path}: $.vary.{place}: there is no such place") from None


def made(raw, path="plan"):
    """A plan from a mapping; raises Unreadable, with `path` named in front."""
    try:
        plan = msgspec.convert(raw, Plan)
    except msgspec.ValidationError as fault:
        raise Unreadable(f"{path}: {fault}") from None
    load = plan.load
    if sum(map(bool, (load.kept, load.kept_each, load.rate, load.rate_share))) != 1:
        raise Unreadable(
            f"{path}: $.load: just one of `kept`, `kept_each`, `rate`, `rate_share` is over 0"
        )
    if load.rate_share and plan.able() == float("inf"):
        raise Unreadable(
            f"{path}: $.load.rate_share: backends with `cores = 0` have no bound to take it of"
        )
    load.kept = load.kept or load.kept_each * plan.count()
    load.rate = load.rate or (load.rate_share * plan.able() if load.rate_share else 0.0)
    if plan.left_out_s >= plan.seconds:
        raise Unreadable(f"{path}: $.left_out_s: less than `seconds`, {plan.seconds:g}")
    for number, change in enumerate(plan.change):
        if change.at_s >= plan.seconds:
            raise Unreadable(
                f"{path}: $.change[{number}].at_s: less than `seconds`, {plan.seconds:g}"
            )
    for number, request_class in enumerate(plan.request_class):
        if request_class.expected_ms > request_class.hard_limit_ms:
            raise Unreadable(f"{path}: $.offering[{number}].expected_ms: at most `hard_limit_ms`")
    if len({o.name for o in plan.request_class}) < len(plan.request_class):
        raise Unreadable(f"{path}: $.offering: two of one name")
    return plan
