"""The settings, as the simulator's wire and a node's configuration give them, in our words.

Settings count microseconds; the decisions count whole tenths of a millisecond. Limits round down and spans
that must have passed round up, so no limit is ever seen later than it is.
"""

from pierglade import records as r

# What reports hold, as settings name it and as backends on sockets may.
GAUGES = {"throughput": "pace", "qps": "pace", "backlog": "queue", "queue": "queue", "utilization": "busy",
          "util": "busy"}
REPORTS = {"piggyback": r.WITH_ANSWERS, "pull": r.WITH_PROBES, "silent": None}
REPEATS = {"free": r.HARMLESS, "guarded": r.STAMPED, "single_shot": r.ONE_SHOT}


def down(us):
    return int(us) // 100


def up(us):
    return -(-int(us) // 100)


class Wrong(ValueError):
    """A setting that cannot be used, named by its place."""


def _one_of(known, settings, *place):
    """The setting at that place, absent or one of the known."""
    for key in place:
        settings = (settings or {}).get(key)
    if settings is not None and settings not in known:
        raise Wrong(f"settings.{'.'.join(place)} is {settings!r}, none of {', '.join(known)}")
    return settings


def _flag(settings, *place):
    for key in place:
        settings = (settings or {}).get(key)
    if settings is not None and type(settings) is not bool:
        raise Wrong(f"settings.{'.'.join(place)} is {settings!r}, neither true nor false")
    return bool(settings)


def _count(settings, key, least):
    value = settings.get(key)
    if value is not None and (type(value) is not int or value < least):
        raise Wrong(f"settings.{key} is {value!r}, no whole number from {least} on")
    return value or least


def _fields(told):
    fields = told.get("fields") or []
    if not isinstance(fields, list) or not all(isinstance(field, str) for field in fields):
        raise Wrong(f"settings.loadInfo.fields is {fields!r}, no list of names")
    return fields


def terms_from(settings):
    """Keys that are not known are skipped."""
    offerings = [
        r.Offering(i, o["name"], REPEATS[o["idempotency"]], o.get("group") or "all",
                   down(o.get("repeatWindowUs") or 0), down(o["expectedTimeUs"]), down(o["hardLimitUs"]),
                   float(o.get("credit", 1)))
        for i, o in enumerate(settings["offerings"])]
    members = [r.Member(m["name"], float(m.get("quotaPerS") or 0)) for m in settings.get("customers") or []]
    limits, contract = settings["limits"], settings["contract"]
    told = settings.get("loadInfo") or {}
    goal = {k: v for k, v in (settings.get("goal") or {}).items() if k != "tailMiss"}
    return r.Terms(
        offerings=offerings, members=members, number=_count(settings, "me", 0),
        nodes=_count(settings, "siblings", 1),
        most_trips=limits.get("mostTrips") or 1, may_cancel=bool(limits.get("mayCancel")),
        may_probe=_flag(settings, "limits", "probes"),
        retry_after=down(limits.get("maxRetryAfterUs") or 0) if limits.get("retryAfter") else 0,
        cold_for=up(contract.get("coldUs") or 0),
        cold_from=float(contract.get("startCapacity") or 1),
        tip_multiple=float(contract.get("tipMultiple") or 1),
        worst_offering=goal.get("worstClass", 0) / (sum(goal.values()) or 1),
        connect_within=down(limits.get("connectTimeoutUs") or r.CONNECT_WITHIN * 100),
        idle_for=down(limits.get("connIdleUs") or r.IDLE_FOR * 100),
        drain_grace=down(contract.get("drainGraceUs") or 0),
        asks_list=_one_of(("push", "ask"), settings, "membershipMode") == "ask",
        reports=REPORTS[_one_of(tuple(REPORTS), settings, "loadInfo", "via") or "silent"],
        gauges=tuple(GAUGES.get(field) for field in _fields(told)))


def load_from(gauges, figures):
    """A report as the decisions read it; `figures` stand in the order of the settings' fields."""
    return r.Load(**{name: float(figure) for name, figure in zip(gauges, figures)
                     if name and figure is not None})


def load_told(text):
    """The same from a header or a probe's body, "TEXT qps=71, queue=2"; None where it cannot be read."""
    try:
        pairs = [pair.split("=") for pair in text.removeprefix("TEXT").split(",")]
        return r.Load(**{GAUGES[name.strip()]: float(figure) for name, figure in pairs
                         if name.strip() in GAUGES})
    except ValueError:
        return None
