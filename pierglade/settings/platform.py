"""The settings, as the simulator's wire and a node's configuration give them, in our words.

Settings count microseconds; the decisions count whole tenths of a millisecond. Limits round down and spans
that must have passed round up, so no limit is ever seen later than it is.
"""

from pierglade.model.endpoint import LoadReport, LoadReportSource
from pierglade.model.request import Idempotency, RequestClass
from pierglade.settings.balancer import (
    DEFAULT_CONNECT_TIMEOUT,
    DEFAULT_IDLE_TIMEOUT,
    BalancerSettings,
)
from pierglade.tenants.registry import TenantRegistry

# What reports hold, as settings name it and as backends on sockets may.
GAUGES = {
    "throughput": "throughput",
    "qps": "throughput",
    "backlog": "queue_length",
    "queue": "queue_length",
    "utilization": "utilization",
    "util": "utilization",
}
REPORTS = {
    "piggyback": LoadReportSource.RESPONSES,
    "pull": LoadReportSource.HEALTH_CHECKS,
    "silent": None,
}
REPEATS = {
    "free": Idempotency.SAFE,
    "guarded": Idempotency.KEYED,
    "single_shot": Idempotency.UNSAFE,
}

BUDGET = ("lookBackUs", "extraFloor", "resendRatio")
FIGURES = {}  # shares by themselves: most of many thousand tenants have one of a few
FAR_OFF = 10**12  # microseconds; over a week; no client waits for so long, and 1e400 is no figure


def down(us):
    return int(us) // 100


def up(us):
    return -(-int(us) // 100)


class InvalidSettingsError(ValueError):
    """A setting that cannot be used, named by its place."""


def _checked(settings, place, fits, what, absent):
    """The setting at that place, such as "limits.probes"; `what` it is not, if it does not fit."""
    value = settings
    for key in place.split("."):
        if not isinstance(value, dict):
            raise InvalidSettingsError(f"settings.{place} stands in {value!r}, no object")
        value = value.get(key)
        if value is None:
            return absent
    if not fits(value):
        raise InvalidSettingsError(f"settings.{place} is {value!r}, {what}")
    return value


def _one_of(known, settings, place):
    return _checked(
        settings, place, lambda value: value in list(known), f"none of {', '.join(known)}", None
    )


def _count(settings, place, least):
    return _checked(
        settings,
        place,
        lambda value: type(value) is int and value >= least,
        f"no whole number from {least} on",
        least,
    )


def _over_zero(value):
    return type(value) in (int, float) and 0 < value < FAR_OFF


def _needed(settings, place, fits, what):
    value = _checked(settings, place, fits, what, None)
    if value is None:
        raise InvalidSettingsError(f"settings.{place} is missing")
    return value


def _offering(i, row):
    """A row of the table. Half a row is no row: taken all the same, its invocations would all be overdue."""

    def told(key, fits, what):
        return _needed({"offerings": {str(i): row}}, f"offerings.{i}.{key}", fits, what)

    def figure(key):
        return down(told(key, _over_zero, "no figure over 0"))

    return RequestClass(
        i,
        told("name", lambda value: isinstance(value, str) and value, "no name"),
        REPEATS[
            told(
                "idempotency", lambda value: value in list(REPEATS), f"none of {', '.join(REPEATS)}"
            )
        ],
        row.get("group") or "all",
        down(row.get("repeatWindowUs") or 0),
        figure("expectedTimeUs"),
        figure("hardLimitUs"),
        float(row.get("credit", 1)),
    )


def short_of(told, first):
    """The place of a key that the first configuration had and this one lacks; None if there is none.

    A file that is half written may still be JSON, and what it lacks would be taken for what it does not say.
    """
    for place in ("", "settings", "settings.limits", "settings.contract"):
        now, before = _at(told, place), _at(first, place)
        for key in before:
            if before[key] is not None and now.get(key) is None:
                return f"{place}.{key}".lstrip(".")
    rows = _at(first, "settings").get("offerings")
    common = set.intersection(*map(set, rows)) if rows else set()
    for i, row in enumerate(_at(told, "settings").get("offerings") or []):
        for key in sorted(common.difference(row)):
            return f"settings.offerings.{i}.{key}"
    return None


def _at(told, place):
    for key in filter(None, place.split(".")):
        told = told.get(key)
        if not isinstance(told, dict):
            return {}
    return told


def _figure(settings, place):
    return _checked(
        settings,
        place,
        lambda value: type(value) in (int, float) and 0 <= value < FAR_OFF,
        "no figure from 0 on",
        0,
    )


def _budget(settings):
    """Span, most and share of further trips; one of the three alone is half a rule."""
    told = [key for key in BUDGET if (settings.get("contract") or {}).get(key) is not None]
    if told and "lookBackUs" not in told:
        raise InvalidSettingsError(f"settings.contract.{told[0]} stands without lookBackUs")
    return dict(
        retry_budget_window=up(_figure(settings, "contract.lookBackUs")),
        retry_budget_minimum=int(_figure(settings, "contract.extraFloor")),
        retry_budget_ratio=float(_figure(settings, "contract.resendRatio")),
    )


def _names(value):
    return isinstance(value, list) and all(isinstance(name, str) for name in value)


def shares_from(rows, first=0):
    """Shares by name, of rows of `customers` of which the first stands at the place `first`."""
    if not isinstance(rows, list):
        raise InvalidSettingsError(f"settings.customers is {rows!r}, no list of rows")
    shares = {}
    for place, row in enumerate(rows, first):
        if not isinstance(row, dict) or not isinstance(row.get("name"), str):
            raise InvalidSettingsError(
                f"settings.customers.{place} is {row!r}, no tenant with a name"
            )
        share = row.get("quotaPerS") or 0
        if type(share) not in (int, float) or not 0 <= share < FAR_OFF:
            raise InvalidSettingsError(
                f"settings.customers.{place}.quotaPerS is {share!r}, no figure from 0 on"
            )
        shares[row["name"]] = (
            FIGURES.setdefault(share, float(share)) if len(FIGURES) < 1000 else float(share)
        )
    return shares


def settings_from(settings, shares=None):
    """Keys that are not known are skipped. `shares`: of the customers, where they were read already."""
    rows = _needed(
        settings, "offerings", lambda value: isinstance(value, list) and value, "no list of rows"
    )
    request_classes = [_offering(i, row) for i, row in enumerate(rows)]
    if len({o.name for o in request_classes}) < len(request_classes):
        raise InvalidSettingsError("settings.offerings holds a name twice")
    tenants = TenantRegistry(
        shares_from(settings.get("customers") or []) if shares is None else shares
    )
    limits, contract = settings["limits"], settings["contract"]
    reports = REPORTS[_one_of(REPORTS, settings, "loadInfo.via") or "silent"]
    fields = _checked(settings, "loadInfo.fields", _names, "no list of names", [])
    load_report_fields = tuple(GAUGES.get(field) for field in fields)
    goal = {k: v for k, v in (settings.get("goal") or {}).items() if k != "tailMiss"}
    return BalancerSettings(
        request_classes=request_classes,
        tenants=tenants,
        node_number=_count(settings, "me", 0),
        node_count=_count(settings, "siblings", 1),
        max_attempts=_count(settings, "limits.mostTrips", 1),
        may_cancel=bool(limits.get("mayCancel")),
        may_check_health=_checked(
            settings,
            "limits.probes",
            lambda value: type(value) is bool,
            "neither true nor false",
            False,
        ),
        max_retry_after=down(limits.get("maxRetryAfterUs") or 0) if limits.get("retryAfter") else 0,
        slow_start_duration=up(contract.get("coldUs") or 0),
        slow_start_capacity=float(contract.get("startCapacity") or 1),
        slow_start_overload=float(contract.get("tipMultiple") or 1),
        worst_class_weight=goal.get("worstClass", 0) / (sum(goal.values()) or 1),
        connect_timeout=down(limits.get("connectTimeoutUs") or DEFAULT_CONNECT_TIMEOUT * 100),
        idle_timeout=down(limits.get("connIdleUs") or DEFAULT_IDLE_TIMEOUT * 100),
        drain_grace=down(contract.get("drainGraceUs") or 0),
        removal_binds=not _checked(
            settings,
            "contract.onlyDrainingBinds",
            lambda value: type(value) is bool,
            "neither true nor false",
            False,
        ),
        polls_endpoints=_one_of(("push", "ask"), settings, "membershipMode") == "ask",
        # Where they tell neither pace nor cores in use nothing rests on them, and reading each would cost.
        load_report_source=reports
        if {"throughput", "utilization"} & set(load_report_fields)
        else None,
        load_report_fields=load_report_fields,
        zone=settings.get("zone"),
        cross_zone_penalty=float(_figure(settings, "deductions.crossZone")),
        **_budget(settings),
    )


def load_from(load_report_fields, figures):
    """A report as the decisions read it; `figures` stand in the order of the settings' fields."""
    return LoadReport(
        **{
            name: float(figure)
            for name, figure in zip(load_report_fields, figures)
            if name and figure is not None
        }
    )


def load_told(text):
    """The same from a header or a probe's body, "TEXT qps=71, queue=2"; None where it cannot be read."""
    try:
        pairs = [pair.split("=") for pair in text.removeprefix("TEXT").split(",")]
        return LoadReport(
            **{
                GAUGES[name.strip()]: float(figure)
                for name, figure in pairs
                if name.strip() in GAUGES
            }
        )
    except ValueError:
        return None
