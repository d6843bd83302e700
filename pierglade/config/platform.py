"""Converts between the operator's file and the platform's JSON document.

Both directions use the tables `KEY_MAPPINGS` and `LIST_MAPPINGS`, so that a node behaves the same
with either form (`pierglade.__main__` reads the platform's document). The platform's document has
times in microseconds.
"""

import msgspec

from pierglade.config.structs import File, value_of


def _unchanged(value):
    return value


def _microseconds(per_unit):
    """Returns the conversions of a time to microseconds and back."""
    return (lambda value: round(value * per_unit), lambda value: value / per_unit)


_MS, _S = _microseconds(1000), _microseconds(1000000)
_IDEMPOTENCY = {"harmless": "free", "stamped": "guarded", "one_shot": "single_shot"}
_REPORT_SOURCE = {"none": "silent", "answers": "piggyback", "probes": "pull"}


def _translated(to_theirs):
    to_ours = {theirs: ours for ours, theirs in to_theirs.items()}
    return (to_theirs.__getitem__, to_ours.__getitem__)


def _flag(true, false):
    return (lambda value: true if value else false, lambda value: value == true)


_IDENTITY = (_unchanged, _unchanged)
_TEXT_OR_NONE = (lambda value: value or None, lambda value: value or "")
_NOT = (lambda value: not value, lambda value: not value)

# (path in the operator's file, path in the platform's document, conversions to it and back).
KEY_MAPPINGS = (
    ("node.name", "name", _IDENTITY),
    ("node.seed", "seed", (_unchanged, str)),
    ("node.zone", "settings.zone", _TEXT_OR_NONE),
    ("node.number", "settings.me", _IDENTITY),
    ("node.nodes", "settings.siblings", _IDENTITY),
    ("listen.address", "listen", _IDENTITY),
    ("listen.management", "management", _TEXT_OR_NONE),
    ("discovery.address", "discovery", _IDENTITY),
    ("discovery.asked", "settings.membershipMode", _flag("ask", "push")),
    ("limits.sockets", "limits.sockets", _IDENTITY),
    ("limits.memory_mb", "limits.memory_mb", _IDENTITY),
    ("limits.trips", "settings.limits.mostTrips", _IDENTITY),
    ("limits.cancel", "settings.limits.mayCancel", _IDENTITY),
    ("limits.probes", "settings.limits.probes", _IDENTITY),
    ("limits.connect_ms", "settings.limits.connectTimeoutUs", _MS),
    ("limits.idle_s", "settings.limits.connIdleUs", _S),
    ("limits.retry_after_ms", "settings.limits.maxRetryAfterUs", _MS),
    ("rules.drain_grace_ms", "settings.contract.drainGraceUs", _MS),
    ("rules.gone_binds", "settings.contract.onlyDrainingBinds", _NOT),
    ("rules.cold_s", "settings.contract.coldUs", _S),
    ("rules.cold_from", "settings.contract.startCapacity", _IDENTITY),
    ("rules.tip_multiple", "settings.contract.tipMultiple", _IDENTITY),
    ("rules.further_span_s", "settings.contract.lookBackUs", _S),
    ("rules.further_most", "settings.contract.extraFloor", _IDENTITY),
    ("rules.further_share", "settings.contract.resendRatio", _IDENTITY),
    ("rules.worst_offering", "settings.goal.worstClass", _IDENTITY),
    ("rules.crossing", "settings.deductions.crossZone", _IDENTITY),
    ("reports.how", "settings.loadInfo.via", _translated(_REPORT_SOURCE)),
    ("reports.fields", "settings.loadInfo.fields", (list, tuple)),
)
# The same for lists of tables: (list in the file, list in the document, mappings of its keys).
LIST_MAPPINGS = (
    (
        "offerings",
        "settings.offerings",
        (
            ("name", "name", _IDENTITY),
            ("repeat", "idempotency", _translated(_IDEMPOTENCY)),
            ("group", "group", _IDENTITY),
            ("window_ms", "repeatWindowUs", _MS),
            ("expected_ms", "expectedTimeUs", _MS),
            ("hard_limit_ms", "hardLimitUs", _MS),
            ("credit", "credit", _IDENTITY),
        ),
    ),
    (
        "members",
        "settings.customers",
        (("name", "name", _IDENTITY), ("per_s", "quotaPerS", _IDENTITY)),
    ),
    (
        "backends",
        "known.endpoints",
        (
            ("name", "name", _IDENTITY),
            ("address", "address", _IDENTITY),
            ("zone", "zone", _TEXT_OR_NONE),
            ("cell", "group", _IDENTITY),
            ("weight", "weight", _IDENTITY),
        ),
    ),
)
# Keys of the file without a counterpart in the platform's document.
FILE_ONLY = (
    "listen.ids",
    "admission.per_address",
    "admission.per_prefix",
    "admission.rate_per_address",
    "admission.known",
    "admission.reserve",
    "learning.folder",
    "learning.every_s",
    "learning.half_life_s",
    "learning.most_mb",
    "log.level",
    "log.sampling",
    "log.form",
)


def to_platform(file):
    """Returns the platform's document for a structs.File, as plain data."""
    document = {}
    for ours, theirs, (to_theirs, _) in KEY_MAPPINGS:
        value = _get_from_file(file, ours)
        if value is not None:
            _put(document, theirs, to_theirs(value))
    for ours, theirs, columns in LIST_MAPPINGS:
        _put(
            document,
            theirs,
            [
                {key: to_theirs(value_of(row, name)) for name, key, (to_theirs, _) in columns}
                for row in value_of(file, ours)
            ],
        )
    for row in document["known"]["endpoints"]:
        row.update(status="SERVING", since_ms=0)
    # Only discovery assigns versions. With discovery, the list from the file has none, so that the
    # whole list is requested.
    document["known"].update(index=None if file.discovery else 1, snapshot=True)
    settings = document["settings"]
    settings["goal"]["whole"] = 1 - settings["goal"]["worstClass"]
    settings["limits"]["retryAfter"] = settings["limits"]["maxRetryAfterUs"] > 0
    if not file.rules.further_span_s:
        for key in ("lookBackUs", "extraFloor", "resendRatio"):
            del settings["contract"][key]
    return document


def from_platform(document):
    """Returns the structs.File that is equivalent to a platform's document.

    Raises:
        KeyError, TypeError, ValueError, msgspec.ValidationError: The document is malformed.
    """
    raw = {}
    for ours, theirs, (_, to_ours) in KEY_MAPPINGS:
        value = _get(document, theirs)
        if value is not None:
            _put(raw, ours, to_ours(value))
    if not raw.get("discovery", {}).get("address"):
        raw.pop("discovery", None)
    for ours, theirs, columns in LIST_MAPPINGS:
        rows = _get(document, theirs) or []
        raw[ours] = [
            {
                name: to_ours(row[key])
                for name, key, (_, to_ours) in columns
                if row.get(key) is not None
            }
            for row in rows
            if row.get("status", "SERVING") == "SERVING"
        ]
    if not (_get(document, "settings.limits.retryAfter")):
        raw.get("limits", {}).pop("retry_after_ms", None)
    return msgspec.convert(raw, File)


def _get_from_file(table, path):
    for key in path.split("."):
        table = value_of(table, key) if table is not None else None
    return table


def _get(document, path):
    for key in path.split("."):
        document = document.get(key) if isinstance(document, dict) else None
    return document


def _put(document, path, value):
    *parents, last = path.split(".")
    for key in parents:
        document = document.setdefault(key, {})
    document[last] = value
