"""The plan of a run, read from TOML into typed structs.

Times carry their unit in the name; shares are of 1. The names of fields are the plan's keys; those
of an earlier vocabulary are mapped by `msgspec.field(name=...)`.
"""

import tomllib
from copy import deepcopy
from itertools import product
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from pierglade.errors import PiergladeError

Share = Annotated[float, Meta(ge=0, le=1)]
Positive = Annotated[float, Meta(gt=0)]
NotNegative = Annotated[float, Meta(ge=0)]
Count = Annotated[int, Meta(ge=1)]


class InvalidPlanError(PiergladeError):
    """A plan that can't be used: the file, the place and what is wrong there, in one line."""


class Struct(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """A table of a plan; a key that it does not have is an error."""


class Kind(Struct):
    """Some backends of one kind."""

    count: Count = 1
    cores: Annotated[int, Meta(ge=0)] = 2  # jobs at once; 0: no bound, each takes its time
    queue: Annotated[int, Meta(ge=-1)] = -1  # jobs that wait before it rejects; -1: no bound
    speed: Positive = 1.0
    contention: NotNegative = 0.0  # share by which each other one running slows a new one
    weight: Positive = 1.0  # as the list names it
    cold_from: Annotated[float, Meta(gt=0, le=1)] = 1.0  # share of its speed right after a start
    cold_for_s: Positive = 8.0
    tip_multiple: Positive = 3.0  # in slow start it collapses beyond so many times its capacity
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
    """Each backend stops for so long, so often."""

    every_s: Positive = 5.0
    for_ms: Positive = 200.0


class Fleet(Struct):
    """The backends, and the network between them and the nodes."""

    kind: Annotated[list[Kind], Meta(min_length=1)]
    delay_ms: NotNegative = 0.1  # one way
    notice_s: NotNegative = 1.0  # until the list tells of a change
    drops_waiting: bool = True  # attempts that are cancelled while they wait are dropped
    overdrive: Overdrive | None = None
    pause: Pause | None = None


class RequestClassPlan(Struct):
    """A request class: its work and what the settings say of it."""

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
    """The nodes, and what their settings say."""

    count: Count = 1
    members_per_s: NotNegative = 0.0  # quota of one tenant; 0: no tenant has one
    max_attempts: Count = msgspec.field(name="most_trips", default=3)


class Load(Struct):
    """Closed: a population of `kept` requests. Open: `rate` requests a second, and bursts."""

    kept: Annotated[int, Meta(ge=0)] = 0
    kept_each: Annotated[int, Meta(ge=0)] = 0  # the same for each backend
    # closed: until the next request, after any answer
    next_request_ms: NotNegative = msgspec.field(name="again_ms", default=0.0)
    rate: NotNegative = 0.0
    rate_share: NotNegative = 0.0  # the same as a share of what the cores could do
    spacing: Literal["poisson", "even"] = "poisson"
    burst_times: Annotated[float, Meta(ge=1)] = 1.0
    burst_ms: NotNegative = 0.0
    burst_every_s: Positive = 5.0
    retries: Annotated[int, Meta(ge=0)] = 0  # open: further tries of a client
    retry_ms: NotNegative = 200.0  # the wait before each, doubled
    # share of the hard limit after which a try is abandoned
    try_timeout_share: Share = msgspec.field(name="patience", default=1.0)


class Change(Struct):
    """A change of the backends or of the load during the run."""

    at_s: NotNegative
    what: Literal["gone", "back", "slower", "cores", "load", "hang", "errors", "well"]
    share: Share = 1.0  # of the backends, the first ones
    times: Positive = 1.0
    listed: bool = True  # whether the list tells


class Plan(Struct):
    """The whole plan."""

    fleet: Fleet
    request_class: Annotated[list[RequestClassPlan], Meta(min_length=1)] = msgspec.field(
        name="offering"
    )
    load: Load
    nodes: Nodes = msgspec.field(default_factory=Nodes)
    change: list[Change] = []
    seed: int = 1
    seconds: Positive = 20.0
    left_out_s: NotNegative = 8.0
    title: str = ""

    def backend_count(self) -> int:
        """How many backends there are."""
        return sum(kind.count for kind in self.fleet.kind)

    def mean(self, figure: str) -> float:
        """A figure of the request classes in the mean of what is requested."""
        weighted = sum(each.share * getattr(each, figure) for each in self.request_class)
        return weighted / sum(each.share for each in self.request_class)

    def capacity(self) -> float:
        """Requests a second that the cores could do, by arithmetic."""
        if any(kind.cores == 0 for kind in self.fleet.kind):
            return float("inf")
        total = sum(kind.count * kind.cores * kind.speed for kind in self.fleet.kind)
        return total * 1000 / self.mean("work_ms")

    def achievable_rate(self) -> float:
        """Answers a second that the fleet could give and the clients ask for, without changes."""
        load = self.load
        if load.kept:
            fastest = max(kind.speed for kind in self.fleet.kind)
            round_trip_ms = (
                self.mean("work_ms") / fastest
                + self.mean("wait_ms")
                + 2 * self.fleet.delay_ms
                + load.next_request_ms
            )
            requested = load.kept * 1000 / round_trip_ms
        else:
            bursts = load.burst_ms / 1000 / load.burst_every_s
            requested = load.rate * (1 + bursts * (load.burst_times - 1))
        return min(self.capacity(), requested)


def tables(path: str) -> dict:
    """The tables of a TOML or JSON file, not looked into; raises InvalidPlanError."""
    try:
        with open(path, "rb") as file:
            if path.endswith(".json"):
                return msgspec.json.decode(file.read(), type=dict)
            return tomllib.load(file)
    except OSError as error:
        raise InvalidPlanError(f"{path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, msgspec.DecodeError) as error:
        raise InvalidPlanError(f"{path}: {error}") from None


def read(path: str) -> list[tuple[dict, Plan]]:
    """The plans in a TOML file, as (what was varied, plan) pairs; raises InvalidPlanError.

    A table `vary` names figures by their place and gives each a list:
    `"fleet.kind.0.count" = [1, 4]`. There is a plan for each combination, in order.
    """
    raw = tables(path)
    vary = raw.pop("vary", {})
    if not isinstance(vary, dict) or not all(isinstance(v, list) and v for v in vary.values()):
        raise InvalidPlanError(f"{path}: $.vary: a table of places, each with a list of values")
    plans = []
    for values in product(*vary.values()):
        varied = deepcopy(raw)
        for place, value in zip(vary, values, strict=True):
            _put(varied, place, value, path)
        plans.append((dict(zip(vary, values, strict=True)), plan_from(varied, path)))
    return plans


def _put(raw, place, value, path):
    *way, last = [int(word) if word.isdigit() else word for word in place.split(".")]
    try:
        for word in way:
            raw = raw.setdefault(word, {}) if isinstance(raw, dict) else raw[word]
        raw[last] = value
    except (KeyError, IndexError, TypeError, AttributeError):
        raise InvalidPlanError(f"{path}: $.vary.{place}: there is no such place") from None


def plan_from(raw: dict, path: str = "plan") -> Plan:
    """A plan from plain data; raises InvalidPlanError, with `path` named in front."""
    try:
        plan = msgspec.convert(raw, Plan)
    except msgspec.ValidationError as error:
        raise InvalidPlanError(f"{path}: {error}") from None
    _complete_load(plan, path)
    _check(plan, path)
    return plan


def _complete_load(plan, path):
    """Turns figures a backend and shares of the capacity into absolute ones."""
    load = plan.load
    if sum(map(bool, (load.kept, load.kept_each, load.rate, load.rate_share))) != 1:
        raise InvalidPlanError(
            f"{path}: $.load: just one of `kept`, `kept_each`, `rate`, `rate_share` is over 0"
        )
    if load.rate_share and plan.capacity() == float("inf"):
        raise InvalidPlanError(
            f"{path}: $.load.rate_share: backends with `cores = 0` have no bound to take it of"
        )
    load.kept = load.kept or load.kept_each * plan.backend_count()
    load.rate = load.rate or (load.rate_share * plan.capacity() if load.rate_share else 0.0)


def _check(plan, path):
    """What single keys do not show."""
    if plan.left_out_s >= plan.seconds:
        raise InvalidPlanError(f"{path}: $.left_out_s: less than `seconds`, {plan.seconds:g}")
    for number, change in enumerate(plan.change):
        if change.at_s >= plan.seconds:
            raise InvalidPlanError(
                f"{path}: $.change[{number}].at_s: less than `seconds`, {plan.seconds:g}"
            )
    for number, each in enumerate(plan.request_class):
        if each.expected_ms > each.hard_limit_ms:
            raise InvalidPlanError(
                f"{path}: $.offering[{number}].expected_ms: at most `hard_limit_ms`"
            )
    if len({each.name for each in plan.request_class}) < len(plan.request_class):
        raise InvalidPlanError(f"{path}: $.offering: two of one name")
