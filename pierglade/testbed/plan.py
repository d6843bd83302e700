"""The plan of a stand-in fleet, read from TOML into typed structs: backends, discovery and faults.

Times carry their unit in the name; shares are fractions from 0 to 1. An error is one line that names
the place in the plan. The kinds of backends, overdrive and request classes are those of the model
(`pierglade.simulation.plan`).
"""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from pierglade.simulation.plan import (
    InvalidPlanError,
    Kind,
    NotNegative,
    Overdrive,
    PlanTable,
    Positive,
    RequestClassPlan,
    Share,
    read_tables,
)

Port = Annotated[int, Meta(ge=0, le=65535)]
# Maximum number of listening sockets of one process; with their connections they fit into 20,000
# descriptors.
MAX_BACKENDS = 1000

BACKEND_FAULTS = (
    "crash",
    "hang",
    "errors",
    "slow",
    "pause",
    "reset",
    "spoil",
    "refuse",
    "drain",
    "restart",
    "replace",
)
DISCOVERY_FAULTS = ("late", "silent", "broken")
# Faults that have a duration; all others happen at one point in time.
LASTING_FAULTS = (
    "crash",
    "hang",
    "errors",
    "slow",
    "pause",
    "reset",
    "spoil",
    "refuse",
    "drain",
    *DISCOVERY_FAULTS,
)
UNTIL_END = float("inf")  # the duration of a fault that lasts until the fleet stops


class Place(PlanTable):
    """A group of backends of one kind in one zone and one cell."""

    kind: str = ""  # name of the kind; empty: the first kind of the plan
    count: Annotated[int, Meta(ge=1)] = 1
    zone: str = "a"
    cell: int = 0
    port: Port = 0  # of the first backend; the others use the ports after it; 0: any free port


class NamedKind(Kind):
    """A kind of backend with a name that places refer to."""

    name: str = "std"


class Report(PlanTable):
    """How backends report their load."""

    how: Literal["answers", "probes", "none"] = "none"
    fields: tuple[Literal["inflight", "queue", "util", "qps"], ...] = ("inflight", "util")
    period_ms: Positive = 100.0  # interval between updates of a report, and so its greatest age


class Discovery(PlanTable):
    """The discovery agent that serves the endpoint list to nodes."""

    port: Port = 0
    notice_s: NotNegative = 0.5  # from a change until it is published
    heartbeat_s: Positive = 2.0


class Ledger(PlanTable):
    """The file that records received and executed requests; an empty path disables it."""

    path: str = ""
    # Maximum size; beyond it, nothing is written and the ledger reports a gap
    most_mb: Positive = 64.0


class Fault(PlanTable):
    """A fault: what happens, when, for how long and to which backends."""

    at_s: NotNegative
    what: Literal[BACKEND_FAULTS + DISCOVERY_FAULTS]
    for_s: Positive = UNTIL_END
    backends: list[str] = []  # by name; empty: those that `share`, `zone` and `cell` select
    # Fraction of the backends in `zone` and `cell`, from the first on
    share: Annotated[float, Meta(gt=0, le=1)] = 1.0
    zone: str = ""  # empty: any zone
    cell: int = -1  # -1: any cell
    part: Share = 1.0  # fraction of the requests, for errors, reset, spoil and refuse
    times: Positive = 3.0  # factor by which the backend is slower, for slow
    pause_ms: Positive = 300.0  # length of each pause, for pause
    after: Annotated[int, Meta(ge=1)] = 200  # executed requests between pauses, for pause
    delay_s: Positive = 3.0  # added to `notice_s`, for late

    def is_discovery_fault(self):
        """Whether the fault affects discovery instead of backends."""
        return self.what in DISCOVERY_FAULTS

    def ends_at_s(self):
        """Returns the moment in seconds at which the fault ends."""
        return self.at_s + (self.for_s if self.what in LASTING_FAULTS else 0.0)


class Plan(PlanTable):
    """The whole plan of a fleet."""

    kind: Annotated[list[NamedKind], Meta(min_length=1)]
    place: Annotated[list[Place], Meta(min_length=1)]
    request_class: Annotated[list[RequestClassPlan], Meta(min_length=1)] = msgspec.field(
        name="offering"
    )
    discovery: Discovery = msgspec.field(default_factory=Discovery)
    report: Report = msgspec.field(default_factory=Report)
    ledger: Ledger = msgspec.field(default_factory=Ledger)
    befall: list[Fault] = []
    overdrive: Overdrive | None = None
    drops_waiting: bool = True  # queued requests are dropped when their connection ends
    probes: bool = True  # GET /health/live and GET /stats are answered
    # Connections of a backend; requests on further ones are rejected unexecuted.
    connections: Annotated[int, Meta(ge=1)] = 512
    idle_s: Positive = 15.0  # idle time after which a connection is closed
    body_bytes: Annotated[int, Meta(ge=0, le=1 << 20)] = 64  # of a successful response
    seconds: Positive | None = None  # duration of the run; None: until SIGTERM
    seed: int = 1
    title: str = ""

    def names(self):
        """Returns (name, place) of all backends, in order."""
        places = [place for place in self.place for _ in range(place.count)]
        return [(f"b{number}", place) for number, place in enumerate(places)]

    def kind_of(self, place):
        """Returns the kind of the backends of a place."""
        return next(kind for kind in self.kind if kind.name == place.kind or not place.kind)

    def affected_backends(self, fault):
        """Returns the names of the backends that a fault affects."""
        names = self.names()
        if fault.backends:
            return [name for name, _ in names if name in fault.backends]
        candidates = [
            name
            for name, place in names
            if fault.zone in ("", place.zone) and fault.cell in (-1, place.cell)
        ]
        return candidates[: max(1, round(len(candidates) * fault.share))] if candidates else []


def read(path):
    """Reads the plan in the TOML file at `path`; raises InvalidPlanError with a one-line message."""
    return plan_from(read_tables(path), path)


def plan_from(raw, path="plan"):
    """Builds a plan from a mapping; raises InvalidPlanError, whose message begins with `path`."""
    try:
        plan = msgspec.convert(raw, Plan)
    except msgspec.ValidationError as error:
        raise InvalidPlanError(f"{path}: {error}") from None
    problem = next(_problems(plan), None)
    if problem:
        raise InvalidPlanError(f"{path}: {problem}")
    return plan


def _problems(plan):
    """Yields a line for each invalid value of a plan whose types are valid."""
    kinds = [kind.name for kind in plan.kind]
    if len(set(kinds)) < len(kinds):
        yield f"$.kind: duplicate name in {', '.join(kinds)}"
    if len({request_class.name for request_class in plan.request_class}) < len(plan.request_class):
        yield "$.offering: duplicate name"
    for number, request_class in enumerate(plan.request_class):
        if request_class.expected_ms > request_class.hard_limit_ms:
            yield (
                f"$.offering[{number}].expected_ms: {request_class.expected_ms:g} exceeds "
                f"`hard_limit_ms`, {request_class.hard_limit_ms:g}"
            )
    for number, place in enumerate(plan.place):
        if place.kind and place.kind not in kinds:
            yield f"$.place[{number}].kind: unknown kind {place.kind!r}; known: {', '.join(kinds)}"
        if place.port and place.port + place.count > 65536:
            yield (
                f"$.place[{number}].port: {place.count} ports from {place.port} exceed the highest "
                f"port, 65535"
            )
    if sum(place.count for place in plan.place) > MAX_BACKENDS:
        yield f"$.place: more than {MAX_BACKENDS} backends"
    if plan.discovery.port and plan.discovery.port in _ports(plan):
        yield f"$.discovery.port: {plan.discovery.port} is already the port of a backend"
    ports = list(_ports(plan))
    if len(set(ports)) < len(ports):
        yield "$.place: two backends have the same port"
    yield from _fault_problems(plan)


def _ports(plan):
    return (
        place.port + offset for place in plan.place if place.port for offset in range(place.count)
    )


def _fault_problems(plan):
    names = {name for name, _ in plan.names()}
    spans = {}  # name of a backend, or "discovery", to its (start, end, place in the plan, kind)
    for number, fault in enumerate(plan.befall):
        here = f"$.befall[{number}]"
        if plan.seconds is not None and fault.at_s >= plan.seconds:
            yield f"{here}.at_s: {fault.at_s:g} is not before the end of the run at {plan.seconds:g}"
        if number and fault.at_s < plan.befall[number - 1].at_s:
            yield (
                f"{here}.at_s: {fault.at_s:g} is before that of the previous fault, "
                f"{plan.befall[number - 1].at_s:g}"
            )
        if fault.is_discovery_fault():
            affected = ["discovery"]
            if fault.backends or fault.zone or fault.cell != -1 or fault.share != 1.0:
                yield f"{here}: `{fault.what}` affects discovery and can't select backends"
        else:
            unknown = sorted(set(fault.backends) - names)
            if unknown:
                yield f"{here}.backends: unknown backends {', '.join(unknown)}"
            affected = plan.affected_backends(fault)
            if not affected:
                yield f"{here}: no backend matches its `zone` and `cell`"
        if fault.for_s != UNTIL_END and fault.what not in LASTING_FAULTS:
            yield f"{here}.for_s: `{fault.what}` has no duration"
        for name in affected:
            for start, end, place, kind in spans.get(name, ()):
                if fault.at_s < end and fault.ends_at_s() > start or fault.at_s == start:
                    yield (
                        f"{here}: `{fault.what}` affects {name} while {place}, `{kind}`, "
                        f"still does; faults must not overlap"
                    )
            spans.setdefault(name, []).append((fault.at_s, fault.ends_at_s(), here, fault.what))
