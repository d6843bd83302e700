"""One table of what belongs to what: the operator's file, and the platform's JSON document.

Both directions are made from `PLACES` and `ROWS`, so a node decides alike under either (the
platform's document is what `pierglade.__main__` reads). The platform counts microseconds.
"""

import msgspec

from pierglade.config.structs import File, value_of


def _same(value):
    return value


def _us(per):
    """Times in our unit to microseconds and back; `per`: microseconds in one."""
    return (lambda value: round(value * per), lambda value: value / per)


_MS, _S = _us(1000), _us(1000000)
_REPEAT = {"harmless": "free", "stamped": "guarded", "one_shot": "single_shot"}
_HOW = {"none": "silent", "answers": "piggyback", "probes": "pull"}


def _words(words):
    back = {theirs: ours for ours, theirs in words.items()}
    return (words.__getitem__, back.__getitem__)


def _flag(true, false):
    return (lambda value: true if value else false, lambda value: value == true)


_PLAIN = (_same, _same)
_TEXT_OR_NONE = (lambda value: value or None, lambda value: value or "")
_NOT = (lambda value: not value, lambda value: not value)

# (place in our file, place in the platform's document, how to get there and back).
PLACES = (
    ("node.name", "name", _PLAIN),
    ("node.seed", "seed", (_same, str)),
    ("node.zone", "settings.zone", _TEXT_OR_NONE),
    ("node.number", "settings.me", _PLAIN),
    ("node.nodes", "settings.siblings", _PLAIN),
    ("listen.address", "listen", _PLAIN),
    ("listen.management", "management", _TEXT_OR_NONE),
    ("discovery.address", "discovery", _PLAIN),
    ("discovery.asked", "settings.membershipMode", _flag("ask", "push")),
    ("limits.sockets", "limits.sockets", _PLAIN),
    ("limits.memory_mb", "limits.memory_mb", _PLAIN),
    ("limits.trips", "settings.limits.mostTrips", _PLAIN),
    ("limits.cancel", "settings.limits.mayCancel", _PLAIN),
    ("limits.probes", "settings.limits.probes", _PLAIN),
    ("limits.connect_ms", "settings.limits.connectTimeoutUs", _MS),
    ("limits.idle_s", "settings.limits.connIdleUs", _S),
    ("limits.retry_after_ms", "settings.limits.maxRetryAfterUs", _MS),
    ("rules.drain_grace_ms", "settings.contract.drainGraceUs", _MS),
    ("rules.gone_binds", "settings.contract.onlyDrainingBinds", _NOT),
    ("rules.cold_s", "settings.contract.coldUs", _S),
    ("rules.cold_from", "settings.contract.startCapacity", _PLAIN),
    ("rules.tip_multiple", "settings.contract.tipMultiple", _PLAIN),
    ("rules.further_span_s", "settings.contract.lookBackUs", _S),
    ("rules.further_most", "settings.contract.extraFloor", _PLAIN),
    ("rules.further_share", "settings.contract.resendRatio", _PLAIN),
    ("rules.worst_offering", "settings.goal.worstClass", _PLAIN),
    ("rules.crossing", "settings.deductions.crossZone", _PLAIN),
    ("reports.how", "settings.loadInfo.via", _words(_HOW)),
    ("reports.fields", "settings.loadInfo.fields", (list, tuple)),
)
# The same for rows: (list in our file, list in the platform's document, its columns).
ROWS = (
    (
        "offerings",
        "settings.offerings",
        (
            ("name", "name", _PLAIN),
            ("repeat", "idempotency", _words(_REPEAT)),
            ("group", "group", _PLAIN),
            ("window_ms", "repeatWindowUs", _MS),
            ("expected_ms", "expectedTimeUs", _MS),
            ("hard_limit_ms", "hardLimitUs", _MS),
            ("credit", "credit", _PLAIN),
        ),
    ),
    ("members", "settings.customers", (("name", "name", _PLAIN), ("per_s", "quotaPerS", _PLAIN))),
    (
        "backends",
        "known.endpoints",
        (
            ("name", "name", _PLAIN),
            ("address", "address", _PLAIN),
            ("zone", "zone", _TEXT_OR_NONE),
            ("cell", "group", _PLAIN),
            ("weight", "weight", _PLAIN),
        ),
    ),
)
# Where ours stands alone: the platform has no word for it.
OURS = (
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
    """The platform's document for a structs.File, as plain data."""
    document = {}
    for ours, theirs, (there, _) in PLACES:
        value = _at(file, ours)
        if value is not None:
            _put(document, theirs, there(value))
    for ours, theirs, columns in ROWS:
        _put(
            document,
            theirs,
            [
                {key: there(value_of(row, name)) for name, key, (there, _) in columns}
                for row in value_of(file, ours)
            ],
        )
    for row in document["known"]["endpoints"]:
        row.update(status="SERVING", since_ms=0)
    # Discovery's versions are its own: a list of ours has none, and the whole of it is asked for.
    document["known"].update(index=None if file.discovery else 1, snapshot=True)
    settings = document["settings"]
    settings["goal"]["whole"] = 1 - settings["goal"]["worstClass"]
    settings["limits"]["retryAfter"] = settings["limits"]["maxRetryAfterUs"] > 0
    if not file.rules.further_span_s:
        for key in ("lookBackUs", "extraFloor", "resendRatio"):
            del settings["contract"][key]
    return document


def from_platform(document):
    """The structs.File that says the same as a platform's document.

    Raises KeyError, TypeError, ValueError or msgspec.ValidationError for any other document.
    """
    raw = {}
    for ours, theirs, (_, back) in PLACES:
        value = _get(document, theirs)
        if value is not None:
            _put(raw, ours, back(value))
    if not raw.get("discovery", {}).get("address"):
        raw.pop("discovery", None)
    for ours, theirs, columns in ROWS:
        rows = _get(document, theirs) or []
        raw[ours] = [
            {name: back(row[key]) for name, key, (_, back) in columns if row.get(key) is not None}
            for row in rows
            if row.get("status", "SERVING") == "SERVING"
        ]
    if not (_get(document, "settings.limits.retryAfter")):
        raw.get("limits", {}).pop("retry_after_ms", None)
    return msgspec.convert(raw, File)


def _at(file, place):
    for name in place.split("."):
        file = value_of(file, name) if file is not None else None
    return file


def _get(document, place):
    for key in place.split("."):
        document = document.get(key) if isinstance(document, dict) else None
    return document


def _put(document, place, value):
    *way, last = place.split(".")
    for key in way:
        document = document.setdefault(key, {})
    document[last] = value
