"""The settings, as the simulator's wire and a node's configuration give them, in our words.

Settings count microseconds; the decisions count whole tenths of a millisecond. Limits round down and spans
that must have passed round up, so no limit is ever seen later than it is.
"""

from pierglade import records as r

GAUGES = {"throughput": "pace", "backlog": "queue", "utilization": "busy"}
REPORTS = {"piggyback": r.WITH_ANSWERS, "pull": r.WITH_PROBES, "silent": None}
REPEATS = {"free": r.HARMLESS, "guarded": r.STAMPED, "single_shot": r.ONE_SHOT}


def down(us):
    return int(us) // 100


def up(us):
    return -(-int(us) // 100)


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
        offerings=offerings, members=members, number=settings.get("me") or 0,
        nodes=max(1, settings.get("siblings") or 1),
        most_trips=limits.get("mostTrips") or 1, may_cancel=bool(limits.get("mayCancel")),
        may_probe=bool(limits.get("probes")),
        retry_after=down(limits.get("maxRetryAfterUs") or 0) if limits.get("retryAfter") else 0,
        marks_repeats=bool((settings.get("clientHabits") or {}).get("marksRetry")),
        cold_for=up(contract.get("coldUs") or 0),
        cold_from=float(contract.get("startCapacity") or 1),
        tip_multiple=float(contract.get("tipMultiple") or 1),
        worst_offering=goal.get("worstClass", 0) / (sum(goal.values()) or 1),
        connect_within=down(limits.get("connectTimeoutUs") or r.CONNECT_WITHIN * 100),
        idle_for=down(limits.get("connIdleUs") or r.IDLE_FOR * 100),
        drain_grace=down(contract.get("drainGraceUs") or 0),
        asks_list=settings.get("membershipMode") == "ask",
        reports=REPORTS[told.get("via") or "silent"],
        gauges=tuple(GAUGES.get(field) for field in told.get("fields") or ()))


def load_from(gauges, figures):
    """A report as the decisions read it; `figures` stand in the order of the settings' fields."""
    return r.Load(**{name: float(figure) for name, figure in zip(gauges, figures)
                     if name and figure is not None})
