"""A scale run's plan, read from TOML: how many of what, the load, the scenes; and what it will take.

Times carry their unit in the name. What can't be used is one line that names the place.
"""

from typing import Annotated, Literal

import msgspec
import psutil
from msgspec import Meta

from pierglade.simulation.plan import (
    Count,
    InvalidPlanError,
    NotNegative,
    Positive,
    Share,
    Struct,
    tables,
)

Port = Annotated[int, Meta(ge=0, le=65535)]
Some = Annotated[int, Meta(ge=0)]
SCENES = ("calm", "list", "settings", "restarts", "zone", "discovery")
REPEATS = {"look": "harmless", "pay": "one-shot"}  # what a repeat of each offering may do
AXES = ("nodes", "backends", "tenants")
DAY_S = 86400
MOST_BACKENDS = 60000  # addresses that fit behind 127.1.0.0
PROCESSES = 200  # a run never has more
HALF = 0.5  # of the machine's memory; likewise
TAIL_S = {
    "settings": 6.0
}  # at the end of a scene nothing begins: what did is to be seen in force, and over
TAIL_ELSE_S = 3.0
# What a process takes, MB: measured at 6,800 backends and 47,000 tenants, rounded up; only to refuse by.
BASE_MB, BACKEND_KB, TENANT_KB = 40.0, 8.0, 2.0
WATCH_KB, ENTRY_KB = 60.0, 0.2  # a watch; an entry of the list on its way


class Nodes(Struct):
    """All nodes; what `loaded`, `idle` and `full` leave only holds its watch and accounts versions."""

    count: Count = 720
    loaded: Some = 2  # real ones, with requests
    idle: Some = 1  # real ones, without
    full: Some = 4  # hollow ones that hold the list and the settings, a process each
    processes: Count = 4  # that the others share


class Backends(Struct):
    count: Annotated[int, Meta(ge=10, le=MOST_BACKENDS)] = 6800
    services: Count = 210
    zones: Count = 10
    answer_ms: NotNegative = 20.0
    port: Port = 0


class Tenants(Struct):
    count: Count = 47000


class Load(Struct):
    """What each loaded node gets, and the backend that the same is sent to straight."""

    rate: Positive = 236.0
    spacing: Literal["even", "poisson"] = "poisson"
    one_shot: Share = 0.3  # share of the requests that must not run twice
    limit_ms: Positive = 3000.0


class Day(Struct):
    """A day of the target."""

    changes: Positive = 760.0
    restarts: Positive = 1700.0


class Discovery(Struct):
    port: Port = 0
    heartbeat_s: Positive = 2.0


class Limits(Struct):
    """Lower than what holds in any case, if at all."""

    memory_mb: NotNegative = 0.0  # 0: half of the machine's
    processes: Annotated[int, Meta(ge=1, le=PROCESSES)] = PROCESSES


class Scene(Struct):
    what: Literal[SCENES]
    seconds: Annotated[float, Meta(ge=2, le=3600)] = 20.0
    multiple: Positive = (
        100.0  # how many times faster than in a day, for list, settings and restarts
    )
    down_s: Positive = 1.0  # for discovery: until it is back

    def tail_s(self):
        return TAIL_S.get(self.what, TAIL_ELSE_S)


class Budget(Struct):
    """What the operators allow."""

    cpu_share: Positive = 0.022  # of a core, control, a node
    memory_mb: Positive = 64.0  # over an empty node
    bytes_s: Positive = 9000.0
    in_force_s: Positive = 13.0
    added_ms: Positive = 1.4  # 99 in 100
    worst_ms: Positive = 20.0  # answer as one tenant's share changes, over the worst straight then
    ready_s: Positive = 10.0


class Axes(Struct):
    """Each axis at shares of its target while the others stay at the least."""

    shares: Annotated[list[Annotated[float, Meta(gt=0, le=1)]], Meta(min_length=3)] = msgspec.field(
        default_factory=lambda: [0.125, 0.25, 0.5, 1.0]
    )
    nodes: tuple[Count, Count] = (20, 720)  # least, target
    backends: tuple[Count, Count] = (32, 6800)
    tenants: tuple[Count, Count] = (100, 47000)


class Plan(Struct):
    scene: Annotated[list[Scene], Meta(min_length=1)]
    title: str = ""
    seed: int = 1
    nodes: Nodes = msgspec.field(default_factory=Nodes)
    backends: Backends = msgspec.field(default_factory=Backends)
    tenants: Tenants = msgspec.field(default_factory=Tenants)
    load: Load = msgspec.field(default_factory=Load)
    day: Day = msgspec.field(default_factory=Day)
    discovery: Discovery = msgspec.field(default_factory=Discovery)
    limits: Limits = msgspec.field(default_factory=Limits)
    warm_s: NotNegative = 5.0  # of requests before the first scene
    budget: Budget = msgspec.field(default_factory=Budget)
    axes: Axes | None = None

    def watch_only(self):
        return self.nodes.count - self.nodes.loaded - self.nodes.idle - self.nodes.full

    def seconds(self):
        """Of requests."""
        return self.warm_s + sum(scene.seconds for scene in self.scene)

    def groups(self):
        """The hollow processes: {name: (first number, how many, whether they are full)}."""
        told, number = {}, self.nodes.loaded + self.nodes.idle
        for each in range(self.nodes.full):
            told[f"full {each}"] = (number, 1, True)
            number += 1
        left, sharers = self.watch_only(), min(self.nodes.processes, self.watch_only())
        for each in range(sharers):
            many = left // sharers + (each < left % sharers)
            told[f"hollow {each}"] = (number, many, False)
            number += many
        return told

    def processes(self):
        """How many a run has: ours, discovery, the backends, hollow ones, real ones, senders and an empty
        node."""
        return 5 + len(self.groups()) + 2 * self.nodes.loaded + self.nodes.idle

    def memory_mb(self):
        """What a run will take, at its most."""
        whole = self.nodes.loaded + self.nodes.idle + self.nodes.full
        holds = (self.backends.count * BACKEND_KB + self.tenants.count * TENANT_KB) / 1024
        # Where all get the whole list at once: read in pieces, put together, parsed.
        watch = (WATCH_KB + 4 * self.backends.count * ENTRY_KB) / 1024
        return self.processes() * BASE_MB + whole * holds + self.nodes.count * watch

    def most_mb(self):
        half = psutil.virtual_memory().total * HALF / (1 << 20)
        return min(half, self.limits.memory_mb or half)


def read(path):
    """The Plan in the TOML file at `path`; raises InvalidPlanError with one line that names the place."""
    return made(tables(path), path)


def made(raw, path="plan"):
    """The same from a mapping."""
    try:
        plan = msgspec.convert(raw, Plan)
    except msgspec.ValidationError as fault:
        raise InvalidPlanError(f"{path}: {fault}") from None
    if plan.watch_only() < 0:
        raise InvalidPlanError(
            f"{path}: $.nodes.count: {plan.nodes.count}, fewer than `loaded`, `idle` and `full`"
        )
    if not plan.nodes.loaded + plan.nodes.idle:
        raise InvalidPlanError(f"{path}: $.nodes: no real node; `loaded` or `idle` is over 0")
    for number, scene in enumerate(plan.scene):
        if scene.what != "calm" and scene.seconds <= scene.tail_s() + 1:
            raise InvalidPlanError(
                f"{path}: $.scene[{number}].seconds: over {scene.tail_s() + 1:g}, as nothing "
                f"begins in its last {scene.tail_s():g}"
            )
    for name in AXES if plan.axes else ():
        least, target = getattr(plan.axes, name)
        if least > target:
            raise InvalidPlanError(
                f"{path}: $.axes.{name}: the least, {least}, is over the target, {target}"
            )
    return plan


def refuse(plan, path="plan"):
    """Raises InvalidPlanError if a run would take more than it may."""
    if plan.processes() > plan.limits.processes:
        raise InvalidPlanError(
            f"{path}: it would take {plan.processes()} processes, {plan.limits.processes} are "
            f"allowed"
        )
    if plan.memory_mb() > plan.most_mb():
        raise InvalidPlanError(
            f"{path}: it would take about {plan.memory_mb():,.0f} MB, {plan.most_mb():,.0f} are "
            f"allowed (at most half of the machine's)"
        )


# What the run is made of.


def names(plan):
    """Of all backends, in order: a service and its number there."""
    services = plan.backends.services
    return [f"svc-{i % services}-b{i // services}" for i in range(plan.backends.count)]


def address(number, port):
    """Of backend `number`: 127.1.0.1 and on, 250 to a row."""
    return f"127.1.{number // 250}.{number % 250 + 1}:{port}"


def zone_of(number, plan):
    return number // plan.backends.services % plan.backends.zones


def entries(plan, port):
    """The list at the start, as discovery tells it."""
    return [
        {
            "name": name,
            "address": address(number, port),
            "zone": f"z{zone_of(number, plan)}",
            "group": number % 4,
            "status": "SERVING",
            "weight": 1.0,
            "since_ms": 0,
        }
        for number, name in enumerate(names(plan))
    ]


def document(plan, number, discovery, management, entries):
    """The platform's document that node `number` starts on."""
    # Twice what comes, were it to come to all nodes alike: no tenant is over its share.
    per_s = round(2 * plan.load.rate * plan.nodes.count / plan.tenants.count, 3)
    limit_us = int(plan.load.limit_ms * 1000)
    request_classes = [
        {
            "name": name,
            "idempotency": repeats,
            "expectedTimeUs": limit_us,
            "hardLimitUs": limit_us,
            "credit": 1,
        }
        for name, repeats in (("look", "free"), ("pay", "single_shot"))
    ]
    return {
        "name": f"n{number}",
        "listen": "127.0.0.1:0",
        "discovery": discovery,
        "management": management,
        "seed": f"{plan.seed}-{number}",
        "limits": {"sockets": 4096, "memory_mb": 192},
        "known": {"index": 1, "snapshot": True, "endpoints": entries},
        "settings": {
            "offerings": request_classes,
            "customers": [
                {"name": f"tenant-{k}", "quotaPerS": per_s} for k in range(plan.tenants.count)
            ],
            "limits": {
                "mostTrips": 3,
                "mayCancel": True,
                "probes": False,
                "connectTimeoutUs": 150000,
                "connIdleUs": 10000000,
            },
            "contract": {
                "drainGraceUs": 500000,
                "coldUs": 8000000,
                "startCapacity": 0.4,
                "tipMultiple": 3,
            },
            "siblings": plan.nodes.count,
            "me": number,
        },
    }


def events_of(scene, plan):
    """The moments in s, from the scene's begin, at which something happens in it."""
    if scene.what == "calm":
        return []
    if scene.what in ("zone", "discovery"):
        return [1.0]
    day = plan.day.restarts if scene.what == "restarts" else plan.day.changes
    span = scene.seconds - scene.tail_s() - 1
    gap = DAY_S / (day * scene.multiple)
    count = max(1, int(span / gap))
    if scene.what == "list":
        count += count % 2  # what drains serves again
    return [1.0 + gap * k for k in range(count)]


def at_axis(plan, axis, share):
    """The plan of one point: `axis` at that share of its target, the others at the least."""
    point = msgspec.convert(msgspec.to_builtins(plan), Plan)
    for name in AXES:
        least, target = getattr(plan.axes, name)
        getattr(point, name).count = max(least, round(target * share)) if name == axis else least
    point.backends.services = min(plan.backends.services, max(1, point.backends.count // 32))
    return point
