"""Maps the platform's settings, from the simulator's wire or a node's configuration, to typed ones.

Settings count microseconds; the balancer counts whole tenths of a millisecond. Limits round down
and spans that must have passed round up, so no limit is ever seen later than it is.
"""

from collections.abc import Iterable
from typing import Any

from pierglade.model.endpoint import LoadReport, LoadReportSource
from pierglade.model.request import Idempotency, RequestClass
from pierglade.model.ticks import Ticks
from pierglade.settings import validation
from pierglade.settings.balancer import (
    DEFAULT_CONNECT_TIMEOUT,
    DEFAULT_IDLE_TIMEOUT,
    BalancerSettings,
)
from pierglade.settings.validation import InvalidSettingsError
from pierglade.tenants.registry import TenantRegistry

# Names of load figures, as settings have them and as backends on sockets may.
LOAD_FIELDS = {
    "throughput": "throughput",
    "qps": "throughput",
    "backlog": "queue_length",
    "queue": "queue_length",
    "utilization": "utilization",
    "util": "utilization",
}
LOAD_REPORT_SOURCES = {
    "piggyback": LoadReportSource.RESPONSES,
    "pull": LoadReportSource.HEALTH_CHECKS,
    "silent": None,
}
IDEMPOTENCY = {
    "free": Idempotency.SAFE,
    "guarded": Idempotency.KEYED,
    "single_shot": Idempotency.UNSAFE,
}
RETRY_BUDGET_KEYS = ("lookBackUs", "extraFloor", "resendRatio")
# Quotas by themselves: most of many thousand tenants have one of a few.
_COMMON_QUOTAS: dict[float, float] = {}
_MAX_COMMON_QUOTAS = 1000


def down(microseconds: float) -> Ticks:
    """Returns microseconds as ticks, rounded down; for limits."""
    return int(microseconds) // 100


def up(microseconds: float) -> Ticks:
    """Returns microseconds as ticks, rounded up; for spans that must have passed."""
    return -(-int(microseconds) // 100)


def settings_from(settings: dict, shares: dict[str, float] | None = None) -> BalancerSettings:
    """Maps the platform's settings; keys that are not known are skipped.

    Args:
        settings: The platform's `settings` object.
        shares: Quotas by tenant, where `customers` was read already.

    Raises:
        InvalidSettingsError: A setting cannot be used.
    """
    request_classes = _request_classes(settings)
    tenants = TenantRegistry(
        shares_from(settings.get("customers") or []) if shares is None else shares
    )
    limits = settings["limits"]
    settings["contract"]  # required, also where each of its keys is optional
    return BalancerSettings(
        request_classes=request_classes,
        tenants=tenants,
        **_load_reports(settings),
        node_number=validation.whole_number(settings, "me", 0),
        node_count=validation.whole_number(settings, "siblings", 1),
        max_attempts=validation.whole_number(settings, "limits.mostTrips", 1),
        may_cancel=bool(limits.get("mayCancel")),
        may_check_health=validation.boolean(settings, "limits.probes"),
        max_retry_after=down(limits.get("maxRetryAfterUs") or 0) if limits.get("retryAfter") else 0,
        worst_class_weight=_worst_class_weight(settings),
        connect_timeout=down(limits.get("connectTimeoutUs") or DEFAULT_CONNECT_TIMEOUT * 100),
        idle_timeout=down(limits.get("connIdleUs") or DEFAULT_IDLE_TIMEOUT * 100),
        **_contract(settings),
        polls_endpoints=validation.one_of(("push", "ask"), settings, "membershipMode") == "ask",
        zone=settings.get("zone"),
        cross_zone_penalty=float(validation.figure(settings, "deductions.crossZone")),
        **_retry_budget(settings),
    )


def shares_from(rows: Any, first: int = 0) -> dict[str, float]:
    """Returns quotas by tenant, of rows of `customers` of which the first has the place `first`.

    Raises:
        InvalidSettingsError: A row names no tenant, or its quota is no figure.
    """
    if not isinstance(rows, list):
        raise InvalidSettingsError("customers", rows, "no list of rows")
    shares = {}
    for place, row in enumerate(rows, first):
        if not isinstance(row, dict) or not isinstance(row.get("name"), str):
            raise InvalidSettingsError(f"customers.{place}", row, "no tenant with a name")
        share = row.get("quotaPerS") or 0
        if not validation.is_figure(share):
            raise InvalidSettingsError(f"customers.{place}.quotaPerS", share, "no figure from 0 on")
        shares[row["name"]] = (
            _COMMON_QUOTAS.setdefault(share, float(share))
            if len(_COMMON_QUOTAS) < _MAX_COMMON_QUOTAS
            else float(share)
        )
    return shares


def load_from(fields: Iterable[str | None], figures: Iterable[float | None]) -> LoadReport:
    """Returns a load report of figures that stand in the order of the settings' fields."""
    return LoadReport(
        **{
            name: float(value)
            for name, value in zip(fields, figures)  # noqa: B905 (a report may be shorter)
            if name and value is not None
        }
    )


def load_from_text(text: str) -> LoadReport | None:
    """Returns the report in a header or a health check's body, "TEXT qps=71, queue=2".

    None where it cannot be read.
    """
    try:
        pairs = [pair.split("=") for pair in text.removeprefix("TEXT").split(",")]
        return LoadReport(
            **{
                LOAD_FIELDS[name.strip()]: float(value)
                for name, value in pairs
                if name.strip() in LOAD_FIELDS
            }
        )
    except ValueError:
        return None


def _request_classes(settings: dict) -> list[RequestClass]:
    rows = validation.required(
        settings, "offerings", lambda value: isinstance(value, list) and value, "no list of rows"
    )
    classes = [_request_class(i, row) for i, row in enumerate(rows)]
    if len({each.name for each in classes}) < len(classes):
        message = "settings.offerings holds a name twice"
        raise InvalidSettingsError("offerings", rows, "a name twice", message)
    return classes


def _request_class(i: int, row: Any) -> RequestClass:
    """Maps a row; half a row is none: its requests would all be past their deadline."""

    def _setting(key, accepts, expected):
        settings = {"offerings": {str(i): row}}
        return validation.required(settings, f"offerings.{i}.{key}", accepts, expected)

    def _span(key):
        return down(_setting(key, validation.is_positive_figure, "no figure over 0"))

    return RequestClass(
        i,
        _setting("name", lambda value: isinstance(value, str) and value, "no name"),
        IDEMPOTENCY[
            _setting(
                "idempotency",
                lambda value: value in list(IDEMPOTENCY),
                f"none of {', '.join(IDEMPOTENCY)}",
            )
        ],
        row.get("group") or "all",
        down(row.get("repeatWindowUs") or 0),
        _span("expectedTimeUs"),
        _span("hardLimitUs"),
        float(row.get("credit", 1)),
    )


def _load_reports(settings: dict) -> dict[str, Any]:
    word = validation.one_of(LOAD_REPORT_SOURCES, settings, "loadInfo.via") or "silent"
    names = validation.optional(
        settings, "loadInfo.fields", validation.is_list_of_names, "no list of names", []
    )
    fields = tuple(LOAD_FIELDS.get(name) for name in names)
    # Without throughput and utilization nothing rests on reports, and reading each would cost.
    is_used = {"throughput", "utilization"} & set(fields)
    return {
        "load_report_source": LOAD_REPORT_SOURCES[word] if is_used else None,
        "load_report_fields": fields,
    }


def _worst_class_weight(settings: dict) -> float:
    goal = {k: v for k, v in (settings.get("goal") or {}).items() if k != "tailMiss"}
    return goal.get("worstClass", 0) / (sum(goal.values()) or 1)


def _contract(settings: dict) -> dict[str, Any]:
    contract = settings["contract"]
    return {
        "slow_start_duration": up(contract.get("coldUs") or 0),
        "slow_start_capacity": float(contract.get("startCapacity") or 1),
        "slow_start_overload": float(contract.get("tipMultiple") or 1),
        "drain_grace": down(contract.get("drainGraceUs") or 0),
        "removal_binds": not validation.boolean(settings, "contract.onlyDrainingBinds"),
    }


def _retry_budget(settings: dict) -> dict[str, Any]:
    """Maps window, minimum and ratio of retries; one of the three alone is half a rule."""
    contract = settings.get("contract") or {}
    given = [key for key in RETRY_BUDGET_KEYS if contract.get(key) is not None]
    if given and "lookBackUs" not in given:
        place = f"contract.{given[0]}"
        message = f"settings.{place} stands without lookBackUs"
        raise InvalidSettingsError(place, contract[given[0]], "without lookBackUs", message)
    return {
        "retry_budget_window": up(validation.figure(settings, "contract.lookBackUs")),
        "retry_budget_minimum": int(validation.figure(settings, "contract.extraFloor")),
        "retry_budget_ratio": float(validation.figure(settings, "contract.resendRatio")),
    }
