"""Reads the operator's file; what can't be used is one line an error.

A line names the file, the key, what stands there and what is allowed.
`read` raises UnusableFileError with the first of them, `faults` gives all.
"""

import ipaddress
import tomllib
from difflib import get_close_matches

import msgspec
from msgspec import inspect as types

from pierglade.config.structs import File, value_of
from pierglade.errors import PiergladeError

SHOWN = 40  # characters of a value that a line shows


class UnusableFileError(PiergladeError, ValueError):
    """A file that can't be used, with a line for each fault: `lines`. Its text is the first."""

    def __init__(self, lines):
        super().__init__(lines[0])
        self.lines = lines


def read(path):
    """The file at `path` as structs.File; raises UnusableFileError."""
    raw = load(path)
    lines = [f"{path}: {line}" for line in faults(raw)]
    if lines:
        raise UnusableFileError(lines)
    return msgspec.convert(raw, File)


def load(path):
    """The file's tables, not looked into; raises UnusableFileError."""
    try:
        with open(path, "rb") as file:
            return tomllib.load(file)
    except OSError as fault:
        raise UnusableFileError([f"{path}: {fault.strerror}"]) from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, RecursionError) as fault:
        raise UnusableFileError([f"{path}: no TOML: {fault}"]) from None


def faults(raw):
    """A line for each fault, in the file's order; those of single keys first."""
    lines = list(_of_table(raw, types.type_info(File), ""))
    if not lines:
        lines = list(_between(msgspec.convert(raw, File)))
    return lines


def allowed(kind):
    """What may stand at a place of this type, in words."""
    if isinstance(kind, types.Metadata):
        return allowed(kind.type)
    if isinstance(kind, types.LiteralType):
        return "one of " + ", ".join(f'"{word}"' for word in kind.values)
    if isinstance(kind, types.BoolType):
        return "true or false"
    if isinstance(kind, types.StrType):
        return (
            "a text"
            + (" that is not empty" if kind.min_length else "")
            + (" with no /, ?, # or space" if kind.pattern else "")
        )
    if isinstance(kind, (types.IntType, types.FloatType)):
        words = "a whole number" if isinstance(kind, types.IntType) else "a number"
        ranges = ("from", kind.ge), ("over", kind.gt), ("to", kind.le), ("under", kind.lt)
        bounds = [f"{word} {bound:g}" for word, bound in ranges if bound is not None]
        return " ".join([words, *bounds])
    if isinstance(kind, (types.ListType, types.VarTupleType)):
        inner = kind.item_type
        if isinstance(inner, types.StructType):
            return "a list of tables" + (
                ", at least one" if getattr(kind, "min_length", None) else ""
            )
        return f"a list, each {allowed(inner)}"
    if isinstance(kind, types.StructType):
        return "a table"
    if isinstance(kind, types.UnionType):
        return allowed(next(each for each in kind.types if not isinstance(each, types.NoneType)))
    return "nothing"


def _of_table(raw, kind, place):
    """`kind` is the type_info of a Struct."""
    fields = {field.encode_name: field for field in kind.fields}
    for key, value in raw.items():
        here = f"{place}.{key}" if place else key
        if key not in fields:
            near = get_close_matches(key, fields, 1, 0.5)
            yield f"{here}: no such key" + (
                f"; the nearest is `{near[0]}`" if near else (f"; there are {', '.join(fields)}")
            )
            continue
        yield from _of_value(value, fields[key].type, here)
    for key, field in fields.items():
        if field.required and key not in raw:
            here = f"{place}.{key}" if place else key
            yield f"{here}: is missing; allowed: {allowed(field.type)}"


def _of_value(value, kind, place):
    while isinstance(kind, types.Metadata):
        kind = kind.type
    if isinstance(kind, types.UnionType):
        kind = next(each for each in kind.types if not isinstance(each, types.NoneType))
    if isinstance(kind, types.StructType) and isinstance(value, dict):
        yield from _of_table(value, kind, place)
    elif (
        isinstance(kind, types.ListType)
        and isinstance(kind.item_type, types.StructType)
        and isinstance(value, list)
        and all(isinstance(each, dict) for each in value)
        and len(value) >= (kind.min_length or 0)
    ):
        for number, each in enumerate(value):
            yield from _of_table(each, kind.item_type, f"{place}[{number}]")
    elif not _fits(value, kind):
        yield f"{place}: {_shown(value)} stands there; allowed: {allowed(kind)}"


def _fits(value, kind):
    """Whether a value with no tables in it is of this type, bounds included."""
    if isinstance(kind, types.BoolType):
        return isinstance(value, bool)
    if isinstance(kind, types.LiteralType):
        return isinstance(value, str) and value in kind.values
    if isinstance(kind, (types.IntType, types.FloatType)):
        number = (int,) if isinstance(kind, types.IntType) else (int, float)
        return (
            type(value) in number
            and (kind.ge is None or value >= kind.ge)
            and (kind.gt is None or value > kind.gt)
            and (kind.le is None or value <= kind.le)
            and (kind.lt is None or value < kind.lt)
            and value == value
        )
    if isinstance(kind, types.StrType):
        try:
            msgspec.convert(value, _annotated(kind))
        except msgspec.ValidationError:
            return False
        return True
    if isinstance(kind, types.VarTupleType):
        return isinstance(value, list) and all(_fits(each, kind.item_type) for each in value)
    return False


def _annotated(kind):
    from typing import Annotated

    return Annotated[str, msgspec.Meta(min_length=kind.min_length, pattern=kind.pattern)]


def _shown(value):
    text = repr(value)
    return text if len(text) <= SHOWN else text[: SHOWN - 3] + "..."


def is_address(text):
    """Whether it is a host:port."""
    host, _, port = text.rpartition(":")
    return bool(host) and port.isascii() and port.isdigit() and int(port) <= 65535


def _between(file):
    """What single keys do not show: contradictions, names twice, bad addresses."""
    addresses = [
        ("listen.address", file.listen.address),
        ("listen.management", file.listen.management),
    ]
    addresses += [("discovery.address", file.discovery.address)] if file.discovery else []
    addresses += [
        (f"backends[{n}].address", backend.address) for n, backend in enumerate(file.backends)
    ]
    for place, address in addresses:
        is_set = address or place != "listen.management"
        if is_set and not is_address(address):
            yield f"{place}: {address!r} stands there; allowed: host:port"
    yield from _repeated_names(file)
    yield from _between_figures(file)


def _repeated_names(file):
    for table in ("offerings", "backends", "members"):
        seen = {}
        for number, row in enumerate(value_of(file, table)):
            if row.name in seen:
                first = f"{table}[{seen[row.name]}]"
                yield f"{table}[{number}].name: {row.name!r} stands at {first} already"
            seen.setdefault(row.name, number)


def _between_figures(file):
    for number, request_class in enumerate(file.request_classes):
        if request_class.expected_ms > request_class.hard_limit_ms:
            yield (
                f"offerings[{number}].expected_ms: {request_class.expected_ms:g} stands there; "
                f"allowed: up to hard_limit_ms, {request_class.hard_limit_ms:g}"
            )
    if not file.backends and file.discovery is None:
        yield "backends: there is none, and no [discovery] to tell of any"
    if file.node.number >= file.node.nodes:
        allowed_below = f"allowed: under nodes, {file.node.nodes}"
        yield f"node.number: {file.node.number} stands there; {allowed_below}"
    if file.rules.further_span_s == 0 and (file.rules.further_most or file.rules.further_share):
        yield "rules.further_span_s: is missing beside further_most or further_share"
    for number, prefix in enumerate(file.admission.known):
        try:
            ipaddress.ip_network(prefix)
        except ValueError:
            place = f"admission.known[{number}]"
            yield f"{place}: {prefix!r} stands there; allowed: a prefix, as 10.1.0.0/16"
    if file.reports.how == "probes" and not file.limits.probes:
        yield "limits.probes: false stands there; reports come with probes"
    if file.reports.how != "none" and not file.reports.fields:
        yield "reports.fields: is missing; reports come, and nobody could tell what they hold"
