"""Maps the platform's settings, from the simulator or a node's configuration, to typed ones.

The platform's settings are in microseconds, the balancer's in ticks (tenths of a millisecond).
Limits are rounded down and minimum waiting times up, so that no limit is exceeded by rounding.
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

# Maps names of load values in settings and in the reports of backends to fields of LoadReport.
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
# Interned quotas, in requests a second. Of many thousand tenants, most have one of a few values, so
# sharing the objects saves memory.
_COMMON_QUOTAS: dict[float, float] = {}
_MAX_COMMON_QUOTAS = 1000


def floor_ticks(microseconds: float) -> Ticks:
    """Converts microseconds to ticks, rounded down; for limits."""
    return int(microseconds) // 100


def ceil_ticks(microseconds: float) -> Ticks:
    """Converts microseconds to ticks, rounded up; for minimum waiting times."""
    return -(-int(microseconds) // 100)


def settings_from(settings: dict, quotas: dict[str, float] | None = None) -> BalancerSettings:
    """Maps the platform's settings; unknown keys are ignored.

    Args:
        settings: The platform's `settings` object.
        quotas: Requests a second by tenant, if `customers` was read before.

    Raises:
        InvalidSettingsError: A setting cannot be used.
    """
    request_classes = _request_classes(settings)
    tenants = TenantRegistry(
        quotas_from_rows(settings.get("customers") or []) if quotas is None else quotas
    )
    limits = settings["limits"]
    settings["contract"]  # required, although each of its keys is optional
    return BalancerSettings(
        request_classes=request_classes,
        tenants=tenants,
        **_load_reports(settings),
        node_number=validation.whole_number(settings, "me", 0),
        node_count=validation.whole_number(settings, "siblings", 1),
        max_attempts=validation.whole_number(settings, "limits.mostTrips", 1),
        may_cancel=bool(limits.get("mayCancel")),
        may_check_health=validation.boolean(settings, "limits.probes"),
        max_retry_after=floor_ticks(limits.get("maxRetryAfterUs") or 0)
        if limits.get("retryAfter")
        else 0,
        worst_class_weight=_worst_class_weight(settings),
        connect_timeout=floor_ticks(
            limits.get("connectTimeoutUs") or DEFAULT_CONNECT_TIMEOUT * 100
        ),
        idle_timeout=floor_ticks(limits.get("connIdleUs") or DEFAULT_IDLE_TIMEOUT * 100),
        **_contract(settings),
        polls_endpoints=validation.one_of(("push", "ask"), settings, "membershipMode") == "ask",
        zone=settings.get("zone"),
        cross_zone_penalty=float(validation.number(settings, "deductions.crossZone")),
        **_retry_budget(settings),
    )


def quotas_from_rows(rows: Any, first_index: int = 0) -> dict[str, float]:
    """Returns quotas by tenant from rows of `customers`, the first of which has `first_index`.

    Raises:
        InvalidSettingsError: A row has no name, or its quota is not a number of 0 or more.
    """
    if not isinstance(rows, list):
        raise InvalidSettingsError("customers", rows, "a list of objects")
    quotas = {}
    for i, row in enumerate(rows, first_index):
        if not isinstance(row, dict) or not isinstance(row.get("name"), str):
            raise InvalidSettingsError(f"customers.{i}", row, "an object with a name")
        quota = row.get("quotaPerS") or 0
        if not validation.is_non_negative(quota):
            raise InvalidSettingsError(f"customers.{i}.quotaPerS", quota, "a number of 0 or more")
        quotas[row["name"]] = (
            _COMMON_QUOTAS.setdefault(quota, float(quota))
            if len(_COMMON_QUOTAS) < _MAX_COMMON_QUOTAS
            else float(quota)
        )
    return quotas


def load_report_from_values(
    fields: Iterable[str | None], values: Iterable[float | None]
) -> LoadReport:
    """Returns a load report of values in the order of the configured fields."""
    return LoadReport(
        **{
            name: float(value)
            for name, value in zip(fields, values)  # noqa: B905 (a report may be shorter)
            if name and value is not None
        }
    )


def parse_load_report(text: str) -> LoadReport | None:
    """Parses the report in a header or a health check's body, such as "TEXT qps=71, queue=2".

    Returns None if it is malformed.
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
        settings,
        "offerings",
        lambda value: isinstance(value, list) and value,
        "a non-empty list of objects",
    )
    classes = [_request_class(i, row) for i, row in enumerate(rows)]
    if len({each.name for each in classes}) < len(classes):
        message = "settings.offerings has a duplicate name; expected unique names"
        raise InvalidSettingsError("offerings", rows, "unique names", message)
    return classes


def _request_class(i: int, row: Any) -> RequestClass:
    """Maps a row. Each time is required: without it all requests would be past their deadline."""

    def _setting(key, accepts, expected):
        settings = {"offerings": {str(i): row}}
        return validation.required(settings, f"offerings.{i}.{key}", accepts, expected)

    def _span(key):
        return floor_ticks(_setting(key, validation.is_positive, "a number above 0"))

    return RequestClass(
        i,
        _setting("name", lambda value: isinstance(value, str) and value, "a non-empty string"),
        IDEMPOTENCY[
            _setting(
                "idempotency",
                lambda value: value in list(IDEMPOTENCY),
                f"one of {', '.join(IDEMPOTENCY)}",
            )
        ],
        row.get("group") or "all",
        floor_ticks(row.get("repeatWindowUs") or 0),
        _span("expectedTimeUs"),
        _span("hardLimitUs"),
        float(row.get("credit", 1)),
    )


def _load_reports(settings: dict) -> dict[str, Any]:
    source = validation.one_of(LOAD_REPORT_SOURCES, settings, "loadInfo.via") or "silent"
    names = validation.optional(
        settings, "loadInfo.fields", validation.is_list_of_strings, "a list of strings", []
    )
    fields = tuple(LOAD_FIELDS.get(name) for name in names)
    # If reports contain neither throughput nor utilization, no decision uses them and they need not
    # be read.
    is_used = {"throughput", "utilization"} & set(fields)
    return {
        "load_report_source": LOAD_REPORT_SOURCES[source] if is_used else None,
        "load_report_fields": fields,
    }


def _worst_class_weight(settings: dict) -> float:
    goal = {k: v for k, v in (settings.get("goal") or {}).items() if k != "tailMiss"}
    return goal.get("worstClass", 0) / (sum(goal.values()) or 1)


def _contract(settings: dict) -> dict[str, Any]:
    contract = settings["contract"]
    return {
        "slow_start_duration": ceil_ticks(contract.get("coldUs") or 0),
        "slow_start_capacity": float(contract.get("startCapacity") or 1),
        "slow_start_overload": float(contract.get("tipMultiple") or 1),
        "drain_grace": floor_ticks(contract.get("drainGraceUs") or 0),
        "removal_binds": not validation.boolean(settings, "contract.onlyDrainingBinds"),
    }


def _retry_budget(settings: dict) -> dict[str, Any]:
    """Maps window, minimum and ratio of retries; minimum and ratio require the window."""
    contract = settings.get("contract") or {}
    given = [key for key in RETRY_BUDGET_KEYS if contract.get(key) is not None]
    if given and "lookBackUs" not in given:
        path = f"contract.{given[0]}"
        message = f"settings.{path} requires settings.contract.lookBackUs, which is missing"
        raise InvalidSettingsError(
            path, contract[given[0]], "lookBackUs to be set as well", message
        )
    return {
        "retry_budget_window": ceil_ticks(validation.number(settings, "contract.lookBackUs")),
        "retry_budget_minimum": int(validation.number(settings, "contract.extraFloor")),
        "retry_budget_ratio": float(validation.number(settings, "contract.resendRatio")),
    }
