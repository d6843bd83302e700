"""The operator's TOML file as typed structs; keys have their unit in the name.

`docs/operate/configuration.md` is made from this file by `python -m pierglade.config.page`.
"""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

MAX_NUMBER = 10**9  # bound of all numbers in the file; TOML reads 1e400 as infinity


def _text(description, **constraints):
    return Annotated[str, Meta(description=description, **constraints)]


def _number(description, **bounds):
    return Annotated[float, Meta(description=description, **{"le": MAX_NUMBER, **bounds})]


def _count(description, minimum=0, maximum=MAX_NUMBER):
    return Annotated[int, Meta(description=description, ge=minimum, le=maximum)]


def _flag(description):
    return Annotated[bool, Meta(description=description)]


def _one_of(description, *values):
    return Annotated[Literal[values], Meta(description=description)]


class Table(msgspec.Struct, kw_only=True, omit_defaults=True):
    """A table of the file; `read` reports unknown keys."""


def value_of(table, key):
    """Returns the value of a table's `key`, whose field may have another name.

    Raises:
        KeyError: The table has no such key.
    """
    for field in msgspec.structs.fields(table):
        if field.encode_name == key:
            return getattr(table, field.name)
    raise KeyError(key)


class Node(Table):
    """The identity of the node among the nodes that share the fleet."""

    name: _text("name of the node in the log", min_length=1) = "pierglade"
    seed: _text("seed of the random number generator", min_length=1) = "1"
    zone: _text("zone of the node; empty: none") = ""
    number: _count("index of the node among the nodes, from 0") = 0
    nodes: _count("number of nodes that share the fleet", 1) = 1


class Listen(Table):
    """The addresses on which the node listens."""

    address: _text("host:port for clients") = "127.0.0.1:8080"
    management: _text("host:port for operators; empty: none") = ""
    ids: _one_of(
        "whether clients must send X-Trace-Id; if it is optional, the node assigns a missing one, "
        "and such a request never counts as having an idempotency key",
        "required",
        "optional",
    ) = "required"


class Discovery(Table):
    """The source of the endpoint list, unless the list is fixed."""

    address: _text("host:port of the discovery agent")
    asked: _flag(
        "whether the node polls the list; after a loss of discovery it polls again within 4.4 s"
    ) = False


class Backend(Table):
    """A backend of the fixed list, or of the list that is used until discovery responds."""

    name: _text("name of the backend, the same at every node", min_length=1)
    address: _text("host:port")
    zone: _text("zone of the backend") = ""
    cell: _count("group of machines (cell) of the backend") = 0
    weight: _number("capacity relative to the other backends", gt=0) = 1.0


class RequestClass(Table):
    """A request class: the first segment of a request's path, and whether it may be retried."""

    name: _text("first segment of the path", min_length=1, pattern="^[^/?# ]+$")
    expected_ms: _number("latency objective: a response within this time is useful", gt=0)
    hard_limit_ms: _number("request timeout: the client gets a final response by then", gt=0)
    repeat: _one_of(
        "whether a request may be executed twice: always (GET); within the deduplication scope and "
        "window (POST with Idempotency-Key); never (POST)",
        "harmless",
        "stamped",
        "one_shot",
    )
    group: _one_of(
        "stamped: deduplication scope, the backends that together drop a duplicate",
        "all",
        "zone",
        "cell",
    ) = "all"
    window_ms: _number(
        "stamped: deduplication window, how long they recognise a duplicate", ge=0
    ) = 0.0
    priority_weight: _number(
        "priority weight of a success relative to other request classes", ge=0
    ) = msgspec.field(name="credit", default=1.0)


class Member(Table):
    """A tenant, identified by the X-Customer header."""

    name: _text("value of the header", min_length=1)
    per_s: _number("quota: requests per second over all nodes; 0: no quota", ge=0) = 0.0


class Limits(Table):
    """Limits on the resources of the node and on its attempts."""

    sockets: _count("maximum number of file descriptors", 64, 1 << 20) = 1024
    memory_mb: _count(
        "MB; of what is left at the start, a fifth is for messages and 45% for connections",
        16,
        1 << 20,
    ) = 192
    attempts: _count("maximum number of attempts per request", 1, 100) = msgspec.field(
        name="trips", default=3
    )
    cancel: _flag("whether an attempt may be cancelled by closing its connection") = True
    probes: _flag("whether backends answer GET /health/live and GET /stats") = False
    connect_ms: _number("connect timeout for backends", gt=0) = 1000.0
    idle_s: _number("idle time after which backends close a connection", gt=0) = 10.0
    retry_after_ms: _number(
        "longest Retry-After that clients honour; 0: the header is not sent", ge=0
    ) = 0.0


class Rules(Table):
    """The rules of the deployment, with their limits."""

    drain_grace_ms: _number(
        "how long a draining backend may still be sent requests; nodes stop at once", ge=0
    ) = 1000.0
    gone_binds: _flag(
        "whether a backend that was removed without draining is sent no requests either"
    ) = True
    cold_s: _number("slow start: how long a backend is cold after it started", ge=0) = 0.0
    cold_from: _number(
        "slow start: fraction of its capacity that a backend has right after its start", gt=0, le=1
    ) = 1.0
    tip_multiple: _number(
        "slow start: multiple of its capacity beyond which a cold backend is overloaded", ge=1
    ) = 1.0
    further_span_s: _number("retry budget: window; 0: no budget", ge=0) = 0.0
    further_most: _count("retry budget: retries that the window always allows") = 0
    further_share: _number(
        "retry budget: further retries, as a fraction of the requests received in the window",
        ge=0,
        le=100,
    ) = 0.0
    worst_offering: _number(
        "weight of the worst-served request class in the service level", ge=0, le=1
    ) = 0.0
    crossing: _number(
        "penalty of a request that crosses zones, as a fraction of its priority weight", ge=0, le=1
    ) = 0.0


GAUGES = ("qps", "queue", "util", "throughput", "backlog", "utilization", "inflight", "latency_ms")


class Reports(Table):
    """How backends report their load, if they do."""

    how: _one_of(
        "with responses (Endpoint-Load-Metrics), with health checks (GET /stats), or not at all",
        "none",
        "answers",
        "probes",
    ) = "none"
    fields: Annotated[
        tuple[Literal[GAUGES], ...], Meta(description="fields of a report, in their order")
    ] = ()


class Admission(Table):
    """Connection limits; without any, all clients may connect (docs/operate/admission.md)."""

    per_address: _count(
        "open connections per IPv4 address, or per /64 of an IPv6 address; 0: no limit"
    ) = 0
    per_prefix: _count("open connections per /24 (IPv4) or /48 (IPv6); 0: no limit") = 0
    rate_per_address: _number(
        "new connections per second and address, with a burst of two seconds; 0: no limit", ge=0
    ) = 0.0
    known: Annotated[
        tuple[str, ...], Meta(description="prefixes of known clients, which have no limits")
    ] = ()
    reserve: _number(
        "fraction of the file descriptors that only known clients may use", ge=0, le=0.9
    ) = 0.0


class SnapshotTable(Table):
    """Snapshots that preserve learned statistics over a restart (docs/operate/learning.md)."""

    folder: _text("folder of the snapshots, read at the start only; empty: no snapshots") = ""
    every_s: _number("interval between snapshots", ge=1) = 10.0
    half_life_s: _number("age at which the weight of a snapshot has halved", gt=0) = 60.0
    most_mb: _number("MB; larger snapshots are neither written nor read", gt=0, le=64) = 16.0


class Log(Table):
    """The log on standard output; docs/operate/log.md lists the events."""

    level: _one_of(
        "lines below this level are not written", "debug", "info", "warning", "error"
    ) = "debug"
    sampling: _number("fraction of the lines below warning that are written", gt=0, le=1) = 1.0
    form: _one_of(
        "JSON lines, readable lines, or readable lines only on a terminal",
        "auto",
        "json",
        "readable",
    ) = "auto"


class File(Table):
    """The operator's file."""

    request_classes: Annotated[
        list[RequestClass], Meta(min_length=1, description="at least one")
    ] = msgspec.field(name="offerings")
    node: Node = msgspec.field(default_factory=Node)
    listen: Listen = msgspec.field(default_factory=Listen)
    discovery: Discovery | None = None
    backends: list[Backend] = []
    members: list[Member] = []
    limits: Limits = msgspec.field(default_factory=Limits)
    rules: Rules = msgspec.field(default_factory=Rules)
    reports: Reports = msgspec.field(default_factory=Reports)
    admission: Admission = msgspec.field(default_factory=Admission)
    learning: SnapshotTable = msgspec.field(default_factory=SnapshotTable)
    log: Log = msgspec.field(default_factory=Log)
