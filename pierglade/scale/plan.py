"""Reads the plan of a scale run from TOML, estimates its resources and builds its input data.

A plan gives the numbers of nodes, backends and tenants, the load and the scenes. The names of times
end in their unit. An invalid plan raises an error of one line that names the key.
"""

from typing import Annotated, Literal

import msgspec
import psutil
from msgspec import Meta

from pierglade.simulation.plan import (
    Count,
    InvalidPlanError,
    NotNegative,
    PlanTable,
    Positive,
    Share,
    read_tables,
)

Port = Annotated[int, Meta(ge=0, le=65535)]
NonNegativeInt = Annotated[int, Meta(ge=0)]
SCENES = ("calm", "list", "settings", "restarts", "zone", "discovery")
# Whether a request of each class may be repeated.
REQUEST_CLASS_REPEATS = {"look": "harmless", "pay": "one-shot"}
AXES = ("nodes", "backends", "tenants")
DAY_S = 86400
MAX_BACKENDS = 60000  # fits the addresses of 127.1.0.0/16
MAX_PROCESSES = 200  # of one run
MAX_MEMORY_RATIO = 0.5  # fraction of the machine's memory that one run may take
# Time at the end of a scene without new changes, so that all changes complete in their scene.
TAIL_S = {"settings": 6.0}
DEFAULT_TAIL_S = 3.0  # for any other scene
# Memory of a process, and of each backend and tenant that it stores. Rounded up from processes with
# 6,800 backends and 47,000 tenants; used only to reject plans that are too large.
BASE_MB, BACKEND_KB, TENANT_KB = 40.0, 8.0, 2.0
WATCH_KB, ENTRY_KB = 60.0, 0.2  # memory of an open watch; of a list entry while it is received


class Nodes(PlanTable):
    """The numbers of nodes.

    Nodes beyond `loaded`, `idle` and `full` are hollow ones that only keep a watch open and record
    versions.
    """

    count: Count = 720
    loaded: NonNegativeInt = 2  # real nodes that receive requests
    idle: NonNegativeInt = 1  # real nodes without requests
    full: NonNegativeInt = 4  # hollow nodes that store the list and the settings, one process each
    processes: Count = 4  # shared by the watch-only nodes


class Backends(PlanTable):
    """The hollow backends: number, layout, response time and port (0: any free port)."""

    count: Annotated[int, Meta(ge=10, le=MAX_BACKENDS)] = 6800
    services: Count = 210
    zones: Count = 10
    answer_ms: NotNegative = 20.0
    port: Port = 0


class Tenants(PlanTable):
    """The number of tenants in the settings."""

    count: Count = 47000


class Load(PlanTable):
    """The load of each loaded node, and of the one sender that bypasses the nodes."""

    rate: Positive = 236.0
    spacing: Literal["even", "poisson"] = "poisson"
    one_shot: Share = 0.3  # fraction of the requests that must not run twice
    limit_ms: Positive = 3000.0


class DailyChanges(PlanTable):
    """Settings changes and backend restarts per day at the target size."""

    changes: Positive = 760.0
    restarts: Positive = 1700.0


class Discovery(PlanTable):
    """The discovery process: its port (0: any free port) and the heartbeat interval of a watch."""

    port: Port = 0
    heartbeat_s: Positive = 2.0


class Limits(PlanTable):
    """Limits of the run, on top of the fixed ones of half the memory and 200 processes."""

    memory_mb: NotNegative = 0.0  # 0: half of the machine's memory
    processes: Annotated[int, Meta(ge=1, le=MAX_PROCESSES)] = MAX_PROCESSES


class Scene(PlanTable):
    """One phase of a run, with one kind of change."""

    what: Literal[SCENES]
    seconds: Annotated[float, Meta(ge=2, le=3600)] = 20.0
    # Rate of changes as a multiple of the daily rate; for list, settings and restarts.
    multiple: Positive = 100.0
    down_s: Positive = 1.0  # how long discovery is down, for the discovery scene

    def tail_s(self):
        """Returns the time at the end of the scene in which no change begins."""
        return TAIL_S.get(self.what, DEFAULT_TAIL_S)


class Budget(PlanTable):
    """What the operators allow for control at the target size."""

    cpu_share: Positive = 0.022  # fraction of a core per node, for control
    memory_mb: Positive = 64.0  # of a node, beyond that of an empty node
    bytes_s: Positive = 9000.0
    in_force_s: Positive = 13.0
    added_ms: Positive = 1.4  # added by a node to the p99 latency
    # Slowest response while one tenant's quota changes, beyond the slowest without a node
    worst_ms: Positive = 20.0
    ready_s: Positive = 10.0


class Axes(PlanTable):
    """Each axis grows through fractions of its target while the others stay at their minimum."""

    shares: Annotated[list[Annotated[float, Meta(gt=0, le=1)]], Meta(min_length=3)] = msgspec.field(
        default_factory=lambda: [0.125, 0.25, 0.5, 1.0]
    )
    nodes: tuple[Count, Count] = (20, 720)  # minimum, target
    backends: tuple[Count, Count] = (32, 6800)
    tenants: tuple[Count, Count] = (100, 47000)


class Plan(PlanTable):
    """The whole plan of a scale run."""

    scene: Annotated[list[Scene], Meta(min_length=1)]
    title: str = ""
    seed: int = 1
    nodes: Nodes = msgspec.field(default_factory=Nodes)
    backends: Backends = msgspec.field(default_factory=Backends)
    tenants: Tenants = msgspec.field(default_factory=Tenants)
    load: Load = msgspec.field(default_factory=Load)
    day: DailyChanges = msgspec.field(default_factory=DailyChanges)
    discovery: Discovery = msgspec.field(default_factory=Discovery)
    limits: Limits = msgspec.field(default_factory=Limits)
    warm_s: NotNegative = 5.0  # time with requests before the first scene
    budget: Budget = msgspec.field(default_factory=Budget)
    axes: Axes | None = None

    def watch_only_count(self):
        """Returns the number of hollow nodes that only keep a watch open."""
        return self.nodes.count - self.nodes.loaded - self.nodes.idle - self.nodes.full

    def seconds(self):
        """Returns how long requests are sent, in seconds, including the warm-up."""
        return self.warm_s + sum(scene.seconds for scene in self.scene)

    def hollow_groups(self):
        """Returns the hollow processes: {name: (first node number, node count, whether full)}."""
        groups, number = {}, self.nodes.loaded + self.nodes.idle
        for index in range(self.nodes.full):
            groups[f"full {index}"] = (number, 1, True)
            number += 1
        nodes, processes = (
            self.watch_only_count(),
            min(self.nodes.processes, self.watch_only_count()),
        )
        for index in range(processes):
            count = nodes // processes + (index < nodes % processes)
            groups[f"hollow {index}"] = (number, count, False)
            number += count
        return groups

    def process_count(self):
        """Returns the number of processes of a run.

        These are the command itself, discovery, the backends, the hollow processes, the real nodes,
        the senders and an empty node.
        """
        return 5 + len(self.hollow_groups()) + 2 * self.nodes.loaded + self.nodes.idle

    def memory_mb(self):
        """Returns an estimate of the peak memory of a run."""
        storing_nodes = self.nodes.loaded + self.nodes.idle + self.nodes.full
        stored_mb = (self.backends.count * BACKEND_KB + self.tenants.count * TENANT_KB) / 1024
        # All nodes may receive the whole list at once: each buffers, joins and parses it.
        watch_mb = (WATCH_KB + 4 * self.backends.count * ENTRY_KB) / 1024
        return (
            self.process_count() * BASE_MB + storing_nodes * stored_mb + self.nodes.count * watch_mb
        )

    def max_memory_mb(self):
        """Returns the memory that a run may take."""
        machine_limit_mb = psutil.virtual_memory().total * MAX_MEMORY_RATIO / (1 << 20)
        return min(machine_limit_mb, self.limits.memory_mb or machine_limit_mb)


def read(path):
    """Returns the Plan in the TOML file at `path`.

    Raises InvalidPlanError with one line that names the key.
    """
    return plan_from(read_tables(path), path)


def plan_from(raw, path="plan"):
    """Returns the Plan in a mapping; raises InvalidPlanError, with `path` in front of the message."""
    try:
        plan = msgspec.convert(raw, Plan)
    except msgspec.ValidationError as error:
        raise InvalidPlanError(f"{path}: {error}") from None
    if plan.watch_only_count() < 0:
        raise InvalidPlanError(
            f"{path}: $.nodes.count is {plan.nodes.count}; expected at least the sum of `loaded`, "
            f"`idle` and `full`"
        )
    if not plan.nodes.loaded + plan.nodes.idle:
        raise InvalidPlanError(
            f"{path}: $.nodes has no real node; expected `loaded` or `idle` over 0"
        )
    for number, scene in enumerate(plan.scene):
        if scene.what != "calm" and scene.seconds <= scene.tail_s() + 1:
            raise InvalidPlanError(
                f"{path}: $.scene[{number}].seconds is too short; expected more than "
                f"{scene.tail_s() + 1:g}, as no change begins in the last {scene.tail_s():g} s"
            )
    for name in AXES if plan.axes else ():
        minimum, target = getattr(plan.axes, name)
        if minimum > target:
            raise InvalidPlanError(
                f"{path}: $.axes.{name}: the minimum is {minimum}; expected at most the target, "
                f"{target}"
            )
    return plan


def check_limits(plan, path="plan"):
    """Raises InvalidPlanError if a run would need more processes or memory than allowed."""
    if plan.process_count() > plan.limits.processes:
        raise InvalidPlanError(
            f"{path}: the run needs {plan.process_count()} processes; at most "
            f"{plan.limits.processes} are allowed"
        )
    if plan.memory_mb() > plan.max_memory_mb():
        raise InvalidPlanError(
            f"{path}: the run needs about {plan.memory_mb():,.0f} MB of memory; at most "
            f"{plan.max_memory_mb():,.0f} MB are allowed (never more than half of the machine's)"
        )


# The input data of a run.


def backend_names(plan):
    """Returns the names of all backends in order, made of the service and the number within it."""
    services = plan.backends.services
    return [f"svc-{i % services}-b{i // services}" for i in range(plan.backends.count)]


def backend_address(number, port):
    """Returns the address of backend `number`: from 127.1.0.1 on, 250 addresses to a /24 block."""
    return f"127.1.{number // 250}.{number % 250 + 1}:{port}"


def zone_of(number, plan):
    """Returns the number of the zone of backend `number`."""
    return number // plan.backends.services % plan.backends.zones


def endpoint_entries(plan, port):
    """Returns the initial endpoint list, as discovery reports it."""
    return [
        {
            "name": name,
            "address": backend_address(number, port),
            "zone": f"z{zone_of(number, plan)}",
            "group": number % 4,
            "status": "SERVING",
            "weight": 1.0,
            "since_ms": 0,
        }
        for number, name in enumerate(backend_names(plan))
    ]


def node_document(plan, number, discovery, management, entries):
    """Returns the platform document that node `number` starts with."""
    # Twice the rate of a tenant if all nodes had equal load, so that no tenant exceeds its quota.
    quota_per_s = round(2 * plan.load.rate * plan.nodes.count / plan.tenants.count, 3)
    limit_us = int(plan.load.limit_ms * 1000)
    request_classes = [
        {
            "name": name,
            "idempotency": idempotency,
            "expectedTimeUs": limit_us,
            "hardLimitUs": limit_us,
            "credit": 1,
        }
        for name, idempotency in (("look", "free"), ("pay", "single_shot"))
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
                {"name": f"tenant-{index}", "quotaPerS": quota_per_s}
                for index in range(plan.tenants.count)
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


def change_offsets_s(scene, plan):
    """Returns the times of the scene's changes, in s from its start."""
    if scene.what == "calm":
        return []
    if scene.what in ("zone", "discovery"):
        return [1.0]
    per_day = plan.day.restarts if scene.what == "restarts" else plan.day.changes
    span_s = scene.seconds - scene.tail_s() - 1
    interval_s = DAY_S / (per_day * scene.multiple)
    count = max(1, int(span_s / interval_s))
    if scene.what == "list":
        count += count % 2  # each drained backend is returned to service
    return [1.0 + interval_s * index for index in range(count)]


def axis_point(plan, axis, share):
    """Returns the plan of one point: `axis` at a fraction of its target, the others at the minimum."""
    point = msgspec.convert(msgspec.to_builtins(plan), Plan)
    for name in AXES:
        minimum, target = getattr(plan.axes, name)
        getattr(point, name).count = (
            max(minimum, round(target * share)) if name == axis else minimum
        )
    point.backends.services = min(plan.backends.services, max(1, point.backends.count // 32))
    return point
