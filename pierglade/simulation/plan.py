"""The plan of a simulation run, read from TOML into typed structs.

Times carry their unit in the name; shares are fractions of 1. A field is named like its key in the
file, or is mapped to that key by `msgspec.field(name=...)`.
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
    """An invalid plan; the message is one line with the file, the key and the error."""


class PlanTable(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Base of the tables of a plan; unknown keys are errors."""


class Kind(PlanTable):
    """A group of identical backends."""

    count: Count = 1
    cores: Annotated[int, Meta(ge=0)] = 2  # concurrent jobs; 0: unbounded
    queue: Annotated[int, Meta(ge=-1)] = -1  # waiting jobs before it rejects; -1: unbounded
    speed: Positive = 1.0
    # Additional work of a new job per running job, as a fraction of its work
    contention: NotNegative = 0.0
    weight: Positive = 1.0  # weight announced in the endpoint list
    cold_from: Annotated[float, Meta(gt=0, le=1)] = 1.0  # fraction of full speed after a start
    cold_for_s: Positive = 8.0  # duration of slow start
    tip_multiple: Positive = 3.0  # in slow start, crashes beyond this multiple of its capacity
    tip_s: Positive = 2.0  # span over which the work received is summed


class Overdrive(PlanTable):
    """Overload: more than cores + at * sqrt(cores) jobs on average slow a backend down."""

    at: Positive = 4.0
    over_s: Positive = 2.0  # span of the average
    slower: Annotated[float, Meta(ge=1)] = 3.0  # factor by which it slows down
    below: Share = 0.3  # fraction of busy cores below which it recovers
    rest_s: Positive = 3.0  # span over which that fraction is averaged
    most_s: Positive = 20.0  # longest overload; then it recovers at any utilization


class Pause(PlanTable):
    """Periodic pauses, in which each backend does no work."""

    every_s: Positive = 5.0
    for_ms: Positive = 200.0


class Fleet(PlanTable):
    """The backends, and the network between them and the nodes."""

    kind: Annotated[list[Kind], Meta(min_length=1)]
    delay_ms: NotNegative = 0.1  # one way
    notice_s: NotNegative = 1.0  # delay until the endpoint list announces a change
    drops_waiting: bool = True  # whether attempts cancelled while waiting are dropped
    overdrive: Overdrive | None = None
    pause: Pause | None = None


class RequestClassPlan(PlanTable):
    """A request class: its work and its settings."""

    name: str
    work_ms: Positive
    share: Positive = 1.0
    spread: Literal["fixed", "exp", "lognormal", "pareto"] = "exp"
    cv: Positive = 1.0
    wait_ms: NotNegative = 0.0  # I/O wait, which occupies no core
    expected_ms: Positive = 1000.0
    hard_limit_ms: Positive = 4000.0
    priority_weight: Positive = msgspec.field(name="credit", default=1.0)
    repeats: Literal["harmless", "stamped", "one-shot"] = "harmless"
    group: Literal["all", "zone", "cell"] = "all"
    window_ms: NotNegative = 0.0


class Nodes(PlanTable):
    """The balancer nodes and their settings."""

    count: Count = 1
    members_per_s: NotNegative = 0.0  # quota of the only tenant; 0: no quota
    max_attempts: Count = msgspec.field(name="most_trips", default=3)


class Load(PlanTable):
    """The load: a closed population of `kept` clients, or open arrivals at `rate` per second."""

    kept: Annotated[int, Meta(ge=0)] = 0
    kept_each: Annotated[int, Meta(ge=0)] = 0  # `kept`, as a number per backend
    # closed population: think time between an answer and the next request
    next_request_ms: NotNegative = msgspec.field(name="again_ms", default=0.0)
    rate: NotNegative = 0.0
    rate_share: NotNegative = 0.0  # `rate`, as a fraction of the capacity of all cores
    spacing: Literal["poisson", "even"] = "poisson"
    burst_times: Annotated[float, Meta(ge=1)] = 1.0
    burst_ms: NotNegative = 0.0
    burst_every_s: Positive = 5.0
    retries: Annotated[int, Meta(ge=0)] = 0  # open arrivals: retries of a client
    retry_ms: NotNegative = 200.0  # delay before the first retry; doubles with each further one
    # fraction of the hard limit after which a client abandons a try
    try_timeout_share: Share = msgspec.field(name="patience", default=1.0)


class Change(PlanTable):
    """A change of the backends or of the load during the run."""

    at_s: NotNegative
    what: Literal["gone", "back", "slower", "cores", "load", "hang", "errors", "well"]
    share: Share = 1.0  # fraction of the backends that change, in order from the first
    times: Positive = 1.0  # factor of the change; for "errors", n if every n-th answer fails
    listed: bool = True  # whether the endpoint list announces it


class Plan(PlanTable):
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
        """Returns the number of backends."""
        return sum(kind.count for kind in self.fleet.kind)

    def mean(self, field: str) -> float:
        """Returns the mean of a field of the request classes, weighted by their shares."""
        weighted = sum(each.share * getattr(each, field) for each in self.request_class)
        return weighted / sum(each.share for each in self.request_class)

    def capacity(self) -> float:
        """Returns the requests per second that all cores can process, given speed and work."""
        if any(kind.cores == 0 for kind in self.fleet.kind):
            return float("inf")
        total = sum(kind.count * kind.cores * kind.speed for kind in self.fleet.kind)
        return total * 1000 / self.mean("work_ms")

    def achievable_rate(self) -> float:
        """Returns the answers per second that load and capacity allow, without the changes."""
        load = self.load
        if load.kept:
            fastest = max(kind.speed for kind in self.fleet.kind)
            cycle_ms = (
                self.mean("work_ms") / fastest
                + self.mean("wait_ms")
                + 2 * self.fleet.delay_ms
                + load.next_request_ms
            )
            requested = load.kept * 1000 / cycle_ms
        else:
            bursts = load.burst_ms / 1000 / load.burst_every_s
            requested = load.rate * (1 + bursts * (load.burst_times - 1))
        return min(self.capacity(), requested)


def read_tables(path: str) -> dict:
    """Returns the unvalidated tables of a TOML or JSON file; raises InvalidPlanError."""
    try:
        with open(path, "rb") as file:
            if path.endswith(".json"):
                return msgspec.json.decode(file.read(), type=dict)
            return tomllib.load(file)
    except OSError as error:
        raise InvalidPlanError(f"{path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, msgspec.DecodeError) as error:
        raise InvalidPlanError(f"{path}: {error}") from None


def read_plans(path: str) -> list[tuple[dict, Plan]]:
    """Returns the plans of a TOML file as (varied values, plan) pairs; raises InvalidPlanError.

    A table `vary` maps keys of the plan to lists of values: `"fleet.kind.0.count" = [1, 4]`. There
    is one plan for each combination, in order.
    """
    raw = read_tables(path)
    vary = raw.pop("vary", {})
    if not isinstance(vary, dict) or not all(isinstance(v, list) and v for v in vary.values()):
        raise InvalidPlanError(
            f"{path}: $.vary: expected a table of plan keys, each with a non-empty list"
        )
    plans = []
    for values in product(*vary.values()):
        varied = deepcopy(raw)
        for key_path, value in zip(vary, values, strict=True):
            _set_value(varied, key_path, value, path)
        plans.append((dict(zip(vary, values, strict=True)), plan_from(varied, path)))
    return plans


def _set_value(raw, key_path, value, path):
    *parents, last = [int(key) if key.isdigit() else key for key in key_path.split(".")]
    try:
        for key in parents:
            raw = raw.setdefault(key, {}) if isinstance(raw, dict) else raw[key]
        raw[last] = value
    except (KeyError, IndexError, TypeError, AttributeError):
        raise InvalidPlanError(f"{path}: $.vary.{key_path}: no such key in the plan") from None


def plan_from(raw: dict, path: str = "plan") -> Plan:
    """Returns a plan from plain data; raises InvalidPlanError, whose message names `path`."""
    try:
        plan = msgspec.convert(raw, Plan)
    except msgspec.ValidationError as error:
        raise InvalidPlanError(f"{path}: {error}") from None
    _resolve_load(plan, path)
    _validate(plan, path)
    return plan


def _resolve_load(plan, path):
    """Converts loads given per backend or relative to the capacity to absolute ones."""
    load = plan.load
    if sum(map(bool, (load.kept, load.kept_each, load.rate, load.rate_share))) != 1:
        raise InvalidPlanError(
            f"{path}: $.load: exactly one of `kept`, `kept_each`, `rate`, `rate_share` must be > 0"
        )
    if load.rate_share and plan.capacity() == float("inf"):
        raise InvalidPlanError(
            f"{path}: $.load.rate_share: needs a bounded capacity; no backend may have `cores = 0`"
        )
    load.kept = load.kept or load.kept_each * plan.backend_count()
    load.rate = load.rate or (load.rate_share * plan.capacity() if load.rate_share else 0.0)


def _validate(plan, path):
    """Checks the constraints between keys; raises InvalidPlanError."""
    if plan.left_out_s >= plan.seconds:
        raise InvalidPlanError(
            f"{path}: $.left_out_s: must be less than `seconds`, {plan.seconds:g}"
        )
    for number, change in enumerate(plan.change):
        if change.at_s >= plan.seconds:
            raise InvalidPlanError(
                f"{path}: $.change[{number}].at_s: must be less than `seconds`, {plan.seconds:g}"
            )
    for number, each in enumerate(plan.request_class):
        if each.expected_ms > each.hard_limit_ms:
            raise InvalidPlanError(
                f"{path}: $.offering[{number}].expected_ms: is {each.expected_ms:g}; "
                f"must be at most `hard_limit_ms`, {each.hard_limit_ms:g}"
            )
    if len({each.name for each in plan.request_class}) < len(plan.request_class):
        raise InvalidPlanError(f"{path}: $.offering: two request classes have the same `name`")
