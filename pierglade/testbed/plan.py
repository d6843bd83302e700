"""A stand-in fleet's plan, read from TOML into typed structs: who is in it, and what befalls whom when.

Times carry their unit in the name; shares are of 1. What can't be used is one line that names the place.
The kinds of backend, overdrive and offerings are those of the model (`pierglade.simulation.plan`).
"""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from pierglade.simulation.plan import (
    InvalidPlanError,
    Kind,
    NotNegative,
    Overdrive,
    Positive,
    RequestClassPlan,
    Share,
    Struct,
    tables,
)

Port = Annotated[int, Meta(ge=0, le=65535)]
MOST_BACKENDS = (
    1000  # listening sockets of one process; with their connections they fit 20,000 descriptors
)

# What may befall backends, and what may befall discovery.
BEFALLS = (
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
LIST_BEFALLS = ("late", "silent", "broken")
LASTING = (
    "crash",
    "hang",
    "errors",
    "slow",
    "pause",
    "reset",
    "spoil",
    "refuse",
    "drain",
    *LIST_BEFALLS,
)
FOR_EVER = float("inf")


class Place(Struct):
    """Some backends of one kind in one zone and one cell."""

    kind: str = ""  # by its name; empty: the first
    count: Annotated[int, Meta(ge=1)] = 1
    zone: str = "a"
    cell: int = 0
    port: Port = 0  # of the first, the others behind it; 0: whatever is free


class Named(Kind):
    """A kind of backend, with a name to refer to it."""

    name: str = "std"


class Report(Struct):
    """How backends tell their load."""

    how: Literal["answers", "probes", "none"] = "none"
    fields: tuple[Literal["inflight", "queue", "util", "qps"], ...] = ("inflight", "util")
    period_ms: Positive = 100.0  # a report is as old as this at most


class Discovery(Struct):
    """The agent that tells nodes of backends."""

    port: Port = 0
    notice_s: NotNegative = 0.5  # until it tells of what has changed
    heartbeat_s: Positive = 2.0


class Ledger(Struct):
    """Where it is written down what arrived and what ran; empty: nowhere."""

    path: str = ""
    most_mb: Positive = 64.0  # no more is written then, and the ledger says that it has a hole


class Befall(Struct):
    """What befalls whom, when, and for how long."""

    at_s: NotNegative
    what: Literal[BEFALLS + LIST_BEFALLS]
    for_s: Positive = FOR_EVER  # without it, to the end
    backends: list[str] = []  # by name; or
    share: Annotated[float, Meta(gt=0, le=1)] = (
        1.0  # of those that `zone` and `cell` leave, the first
    )
    zone: str = ""
    cell: int = -1
    part: Share = 1.0  # of the invocations, for errors, reset, spoil and refuse
    times: Positive = 3.0  # slower, for slow
    pause_ms: Positive = 300.0  # how long each pause is, for pause
    after: Annotated[int, Meta(ge=1)] = 200  # invocations between pauses, for pause
    delay_s: Positive = 3.0  # for late

    def of_list(self):
        return self.what in LIST_BEFALLS

    def until(self):
        """The moment in seconds at which it is over."""
        return self.at_s + (self.for_s if self.what in LASTING else 0.0)


class Plan(Struct):
    kind: Annotated[list[Named], Meta(min_length=1)]
    place: Annotated[list[Place], Meta(min_length=1)]
    request_class: Annotated[list[RequestClassPlan], Meta(min_length=1)] = msgspec.field(
        name="offering"
    )
    discovery: Discovery = msgspec.field(default_factory=Discovery)
    report: Report = msgspec.field(default_factory=Report)
    ledger: Ledger = msgspec.field(default_factory=Ledger)
    befall: list[Befall] = []
    overdrive: Overdrive | None = None
    drops_waiting: bool = True  # what waits is dropped when its connection ends
    probes: bool = True  # GET /health/live and GET /stats are answered
    connections: Annotated[int, Meta(ge=1)] = (
        512  # that a backend holds; more are answered with never ran
    )
    idle_s: Positive = 15.0  # a connection that rests for so long is closed
    body_bytes: Annotated[int, Meta(ge=0, le=1 << 20)] = 64  # of an answer
    seconds: Positive | None = None  # it ends by itself then; None: on SIGTERM
    seed: int = 1
    title: str = ""

    def names(self):
        """(name, its place) of all backends, in order."""
        each = [place for place in self.place for _ in range(place.count)]
        return [(f"b{number}", place) for number, place in enumerate(each)]

    def kind_of(self, place):
        return next(k for k in self.kind if k.name == place.kind or not place.kind)

    def struck(self, befall):
        """The names of the backends that it befalls."""
        names = self.names()
        if befall.backends:
            return [name for name, _ in names if name in befall.backends]
        left = [
            name
            for name, place in names
            if befall.zone in ("", place.zone) and befall.cell in (-1, place.cell)
        ]
        return left[: max(1, round(len(left) * befall.share))] if left else []


def read(path):
    """The plan in the TOML file at `path`; raises InvalidPlanError with one line that names the place."""
    return made(tables(path), path)


def made(raw, path="plan"):
    """A plan from a mapping; raises InvalidPlanError, with `path` named in front."""
    try:
        plan = msgspec.convert(raw, Plan)
    except msgspec.ValidationError as fault:
        raise InvalidPlanError(f"{path}: {fault}") from None
    wrong = next(_faults(plan), None)
    if wrong:
        raise InvalidPlanError(f"{path}: {wrong}")
    return plan


def _faults(plan):
    """What can't be used in a plan whose types are right, line by line."""
    kinds = [k.name for k in plan.kind]
    if len(set(kinds)) < len(kinds):
        yield "$.kind: two of one name"
    if len({o.name for o in plan.request_class}) < len(plan.request_class):
        yield "$.offering: two of one name"
    for number, request_class in enumerate(plan.request_class):
        if request_class.expected_ms > request_class.hard_limit_ms:
            yield f"$.offering[{number}].expected_ms: {request_class.expected_ms:g} is over `hard_limit_ms`"
    for number, place in enumerate(plan.place):
        if place.kind and place.kind not in kinds:
            yield f"$.place[{number}].kind: {place.kind!r} is none of {', '.join(kinds)}"
        if place.port and place.port + place.count > 65536:
            yield f"$.place[{number}].port: {place.count} ports from {place.port} on go beyond 65535"
    if sum(place.count for place in plan.place) > MOST_BACKENDS:
        yield f"$.place: more than {MOST_BACKENDS} backends"
    if plan.discovery.port and plan.discovery.port in _ports(plan):
        yield f"$.discovery.port: {plan.discovery.port} is a backend's"
    ports = list(_ports(plan))
    if len(set(ports)) < len(ports):
        yield "$.place: two backends on one port"
    yield from _faults_of_moments(plan)


def _ports(plan):
    return (place.port + n for place in plan.place if place.port for n in range(place.count))


def _faults_of_moments(plan):
    names = {name for name, _ in plan.names()}
    spans = {}  # (backend or the list) to what befalls it: (from, until, place in the file, what)
    for number, befall in enumerate(plan.befall):
        here = f"$.befall[{number}]"
        if plan.seconds is not None and befall.at_s >= plan.seconds:
            yield f"{here}.at_s: {befall.at_s:g} lies behind the end at {plan.seconds:g}"
        if number and befall.at_s < plan.befall[number - 1].at_s:
            yield (
                f"{here}.at_s: {befall.at_s:g} lies before the one above it, "
                f"{plan.befall[number - 1].at_s:g}"
            )
        if befall.of_list():
            struck = ["the list"]
            if befall.backends or befall.zone or befall.cell != -1 or befall.share != 1.0:
                yield f"{here}: `{befall.what}` befalls the list, not some backends"
        else:
            unknown = sorted(set(befall.backends) - names)
            if unknown:
                yield f"{here}.backends: there is no {', '.join(unknown)}"
            struck = plan.struck(befall)
            if not struck:
                yield f"{here}: there is no such backend"
        if befall.for_s != FOR_EVER and befall.what not in LASTING:
            yield f"{here}.for_s: `{befall.what}` takes no time"
        for name in struck:
            for since, until, place, what in spans.get(name, ()):
                if befall.at_s < until and befall.until() > since or befall.at_s == since:
                    yield (
                        f"{here}: `{befall.what}` befalls {name} while {place}, `{what}`, "
                        f"still does"
                    )
            spans.setdefault(name, []).append((befall.at_s, befall.until(), here, befall.what))
