"""The operator's file as typed structs: each key has its unit in its name, its meaning beside it.

`docs/operate/configuration.md` is made from this file by `python -m pierglade.config.page`.
"""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

FAR_OFF = 10**9  # no figure of a file is larger; 1e400 is no figure


def _text(what, **more):
    return Annotated[str, Meta(description=what, **more)]


def _figure(what, **bounds):
    return Annotated[float, Meta(description=what, **{"le": FAR_OFF, **bounds})]


def _count(what, least=0, most=FAR_OFF):
    return Annotated[int, Meta(description=what, ge=least, le=most)]


def _flag(what):
    return Annotated[bool, Meta(description=what)]


def _one_of(what, *words):
    return Annotated[Literal[words], Meta(description=what)]


class Table(msgspec.Struct, kw_only=True, omit_defaults=True):
    """A table of the file; `read` reports keys that it does not have."""


def value_of(table, key):
    """The value under the file's `key` in a table, whatever the field's name is here.

    Raises KeyError where the table has no such key.
    """
    for field in msgspec.structs.fields(table):
        if field.encode_name == key:
            return getattr(table, field.name)
    raise KeyError(key)


class Node(Table):
    """Who the node is among those that share the fleet."""

    name: _text("its name in the log", min_length=1) = "pierglade"
    seed: _text("starts its random numbers", min_length=1) = "1"
    zone: _text("its zone; empty: none") = ""
    number: _count("its own number among the nodes, from 0 on") = 0
    nodes: _count("how many nodes share the fleet", 1) = 1


class Listen(Table):
    """Where clients and operators connect."""

    address: _text("host:port where clients connect") = "127.0.0.1:8080"
    management: _text("host:port where operators call; empty: nowhere") = ""
    ids: _one_of(
        "whether clients must send X-Trace-Id; where it is optional the node assigns one itself, "
        "and such a request never counts as having an idempotency key",
        "required",
        "optional",
    ) = "required"


class Discovery(Table):
    """Where the endpoint list comes from, if it is not fixed."""

    address: _text("host:port of the discovery agent")
    asked: _flag(
        "whether the list has to be polled; after a loss it is polled again within 4.4 s"
    ) = False


class Backend(Table):
    """A backend of a fixed list, or of the list that is used until discovery answers."""

    name: _text("the same at every node", min_length=1)
    address: _text("host:port")
    zone: _text("its zone") = ""
    cell: _count("the group of machines (cell) that it belongs to") = 0
    weight: _figure("its capacity relative to the others", gt=0) = 1.0


class RequestClass(Table):
    """A request class: the first part of a request's path, and whether it may be retried."""

    name: _text("the first part of the path", min_length=1, pattern="^[^/?# ]+$")
    expected_ms: _figure("latency objective: a response within this time is of use", gt=0)
    hard_limit_ms: _figure("request timeout: by then the client has its final answer", gt=0)
    repeat: _one_of(
        "what a second execution does: nothing (GET), nothing within the deduplication scope and "
        "window (POST with Idempotency-Key), harm (POST)",
        "harmless",
        "stamped",
        "one_shot",
    )
    group: _one_of(
        "stamped: deduplication scope, which backends together drop a duplicate",
        "all",
        "zone",
        "cell",
    ) = "all"
    window_ms: _figure("stamped: deduplication window, for how long they do", ge=0) = 0.0
    priority_weight: _figure("priority weight of a success beside other request classes", ge=0) = (
        msgspec.field(name="credit", default=1.0)
    )


class Member(Table):
    """A tenant, as X-Customer names it."""

    name: _text("as the header names it", min_length=1)
    per_s: _figure("its quota: requests a second over all nodes; 0: none is stated", ge=0) = 0.0


class Limits(Table):
    """What the node may use and do."""

    sockets: _count("the most file descriptors that it uses", 64, 1 << 20) = 1024
    memory_mb: _count("MB; three tenths are for bodies being streamed", 16, 1 << 20) = 192
    attempts: _count("the most attempts of a request", 1, 100) = msgspec.field(
        name="trips", default=3
    )
    cancel: _flag("whether an attempt may be cancelled, by closing its connection") = True
    probes: _flag("whether backends answer GET /health/live and GET /stats") = False
    connect_ms: _figure("connect timeout of a connection to a backend", gt=0) = 1000.0
    idle_s: _figure("backends close a connection that was idle for so long", gt=0) = 10.0
    retry_after_ms: _figure(
        "the longest Retry-After that clients follow; 0: none is sent", ge=0
    ) = 0.0


class Rules(Table):
    """The rules that must hold, with their figures."""

    drain_grace_ms: _figure(
        "a draining backend may be sent requests for so long; nodes stop at once", ge=0
    ) = 1000.0
    gone_binds: _flag(
        "whether a backend listed as gone, without having drained, is sent nothing as well"
    ) = True
    cold_s: _figure("slow start: a backend that has started is cold for so long", ge=0) = 0.0
    cold_from: _figure("its share of its capacity right after its start", gt=0, le=1) = 1.0
    tip_multiple: _figure("cold, it is overloaded beyond so many times its capacity", ge=1) = 1.0
    further_span_s: _figure("retry budget: its window; 0: no budget is stated", ge=0) = 0.0
    further_most: _count("retry budget: so many retries within the window in any case") = 0
    further_share: _figure(
        "retry budget: and such a share of the requests received in it", ge=0, le=100
    ) = 0.0
    worst_offering: _figure(
        "weight of the worst-served request class in what counts as service", ge=0, le=1
    ) = 0.0
    crossing: _figure(
        "penalty of a request that crosses zones, as a share of its priority weight", ge=0, le=1
    ) = 0.0


GAUGES = ("qps", "queue", "util", "throughput", "backlog", "utilization", "inflight", "latency_ms")


class Reports(Table):
    """How backends tell their load, if they do."""

    how: _one_of(
        "with responses (Endpoint-Load-Metrics), with health checks (GET /stats), or not",
        "none",
        "answers",
        "probes",
    ) = "none"
    fields: Annotated[
        tuple[Literal[GAUGES], ...], Meta(description="what a report holds, in its order")
    ] = ()


class Admission(Table):
    """Connection limits; without any, everybody may connect (docs/operate/admission.md)."""

    per_address: _count(
        "open connections of an IPv4 address, or of the /64 of an IPv6 one; 0: no limit"
    ) = 0
    per_prefix: _count("the same of a /24 or a /48") = 0
    rate_per_address: _figure(
        "new connections a second of an address, two seconds' worth at once; 0: no limit", ge=0
    ) = 0.0
    known: Annotated[
        tuple[str, ...], Meta(description="prefixes of known clients, who have no limits")
    ] = ()
    reserve: _figure("share of the descriptors that only known clients may use", ge=0, le=0.9) = 0.0


class SnapshotTable(Table):
    """Learned statistics, kept over a restart as snapshots (docs/operate/learning.md)."""

    folder: _text("folder of the snapshots, read at the start only; empty: none are kept") = ""
    every_s: _figure("a snapshot is written so often", ge=1) = 10.0
    half_life_s: _figure("the weight of a snapshot halves with each such time of its age", gt=0) = (
        60.0
    )
    most_mb: _figure("MB; a larger snapshot is neither written nor read", gt=0, le=64) = 16.0


class Log(Table):
    """What is written on standard output; docs/operate/log.md lists the events."""

    level: _one_of("lines below this are not written", "debug", "info", "warning", "error") = (
        "debug"
    )
    sampling: _figure("share of the lines below warning that is written", gt=0, le=1) = 1.0
    form: _one_of(
        "JSON lines, readable ones, or readable on a terminal only", "auto", "json", "readable"
    ) = "auto"


class File(Table):
    """The whole file."""

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
