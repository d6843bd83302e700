"""Reads and validates the operator's TOML file, with one line per error.

A line names the file, the key, the value found and what is expected. `read` raises
UnusableFileError with all lines; `find_errors` returns them for parsed tables.
"""

import ipaddress
import tomllib
from difflib import get_close_matches

import msgspec
from msgspec import inspect as types

from pierglade.config.structs import File, value_of
from pierglade.errors import PiergladeError

MAX_SHOWN_CHARS = 40  # longer values are abbreviated in error lines


class UnusableFileError(PiergladeError, ValueError):
    """A file that cannot be used; `lines` has a line per error, and the first is the message."""

    def __init__(self, lines):
        super().__init__(lines[0])
        self.lines = lines


def read(path):
    """Returns the file at `path` as structs.File.

    Raises:
        UnusableFileError: The file cannot be read or has errors.
    """
    raw = load(path)
    lines = [f"{path}: {line}" for line in find_errors(raw)]
    if lines:
        raise UnusableFileError(lines)
    return msgspec.convert(raw, File)


def load(path):
    """Returns the tables of the file at `path`, not validated.

    Raises:
        UnusableFileError: The file cannot be read or is not TOML.
    """
    try:
        with open(path, "rb") as file:
            return tomllib.load(file)
    except OSError as error:
        raise UnusableFileError([f"{path}: {error.strerror}"]) from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, RecursionError) as error:
        raise UnusableFileError([f"{path}: not valid TOML: {error}"]) from None


def find_errors(raw):
    """Returns a line for each error, in the order of the file.

    Relations between keys are checked only if every key is valid on its own.
    """
    lines = list(_table_errors(raw, types.type_info(File), ""))
    if not lines:
        lines = list(_relation_errors(msgspec.convert(raw, File)))
    return lines


def describe_type(kind):
    """Describes the values that a msgspec type allows."""
    if isinstance(kind, types.Metadata):
        return describe_type(kind.type)
    if isinstance(kind, types.LiteralType):
        return "one of " + ", ".join(f'"{value}"' for value in kind.values)
    if isinstance(kind, types.BoolType):
        return "true or false"
    if isinstance(kind, types.StrType):
        return (
            "a string"
            + (" that is not empty" if kind.min_length else "")
            + (" and has no /, ?, # or space" if kind.pattern else "")
        )
    if isinstance(kind, (types.IntType, types.FloatType)):
        noun = "a whole number" if isinstance(kind, types.IntType) else "a number"
        ranges = ("from", kind.ge), ("over", kind.gt), ("to", kind.le), ("under", kind.lt)
        bounds = [f"{preposition} {bound:g}" for preposition, bound in ranges if bound is not None]
        return " ".join([noun, *bounds])
    if isinstance(kind, (types.ListType, types.VarTupleType)):
        inner = kind.item_type
        if isinstance(inner, types.StructType):
            return "a list of tables" + (
                ", at least one" if getattr(kind, "min_length", None) else ""
            )
        return f"a list, each {describe_type(inner)}"
    if isinstance(kind, types.StructType):
        return "a table"
    if isinstance(kind, types.UnionType):
        return describe_type(
            next(each for each in kind.types if not isinstance(each, types.NoneType))
        )
    return "nothing"


def _table_errors(raw, kind, place):
    """Yields the errors of a table; `kind` is the type_info of its Struct."""
    fields = {field.encode_name: field for field in kind.fields}
    for key, value in raw.items():
        full_key = f"{place}.{key}" if place else key
        if key not in fields:
            similar = get_close_matches(key, fields, 1, 0.5)
            yield f"{full_key} is an unknown key; " + (
                f"did you mean `{similar[0]}`?"
                if similar
                else f"expected one of {', '.join(fields)}"
            )
            continue
        yield from _value_errors(value, fields[key].type, full_key)
    for key, field in fields.items():
        if field.required and key not in raw:
            full_key = f"{place}.{key}" if place else key
            yield f"{full_key} is missing; expected {describe_type(field.type)}"


def _value_errors(value, kind, place):
    while isinstance(kind, types.Metadata):
        kind = kind.type
    if isinstance(kind, types.UnionType):
        kind = next(each for each in kind.types if not isinstance(each, types.NoneType))
    if isinstance(kind, types.StructType) and isinstance(value, dict):
        yield from _table_errors(value, kind, place)
    elif (
        isinstance(kind, types.ListType)
        and isinstance(kind.item_type, types.StructType)
        and isinstance(value, list)
        and all(isinstance(each, dict) for each in value)
        and len(value) >= (kind.min_length or 0)
    ):
        for number, each in enumerate(value):
            yield from _table_errors(each, kind.item_type, f"{place}[{number}]")
    elif not _is_valid(value, kind):
        yield f"{place} is {_abbreviated(value)}; expected {describe_type(kind)}"


def _is_valid(value, kind):
    """Returns whether a value without tables is of this type and within its bounds."""
    if isinstance(kind, types.BoolType):
        return isinstance(value, bool)
    if isinstance(kind, types.LiteralType):
        return isinstance(value, str) and value in kind.values
    if isinstance(kind, (types.IntType, types.FloatType)):
        number_types = (int,) if isinstance(kind, types.IntType) else (int, float)
        return (
            type(value) in number_types
            and (kind.ge is None or value >= kind.ge)
            and (kind.gt is None or value > kind.gt)
            and (kind.le is None or value <= kind.le)
            and (kind.lt is None or value < kind.lt)
            and value == value
        )
    if isinstance(kind, types.StrType):
        try:
            msgspec.convert(value, _string_type(kind))
        except msgspec.ValidationError:
            return False
        return True
    if isinstance(kind, types.VarTupleType):
        return isinstance(value, list) and all(_is_valid(each, kind.item_type) for each in value)
    return False


def _string_type(kind):
    from typing import Annotated

    return Annotated[str, msgspec.Meta(min_length=kind.min_length, pattern=kind.pattern)]


def _abbreviated(value):
    text = repr(value)
    return text if len(text) <= MAX_SHOWN_CHARS else text[: MAX_SHOWN_CHARS - 3] + "..."


def is_address(text):
    """Returns whether the text is host:port."""
    host, _, port = text.rpartition(":")
    return bool(host) and port.isascii() and port.isdigit() and int(port) <= 65535


def _relation_errors(file):
    """Yields malformed addresses, and errors that involve more than one key."""
    addresses = [
        ("listen.address", file.listen.address),
        ("listen.management", file.listen.management),
    ]
    addresses += [("discovery.address", file.discovery.address)] if file.discovery else []
    addresses += [
        (f"backends[{number}].address", backend.address)
        for number, backend in enumerate(file.backends)
    ]
    for place, address in addresses:
        is_set = address or place != "listen.management"
        if is_set and not is_address(address):
            yield f"{place} is {address!r}; expected host:port"
    yield from _duplicate_name_errors(file)
    yield from _consistency_errors(file)


def _duplicate_name_errors(file):
    for table in ("offerings", "backends", "members"):
        seen = {}
        for number, row in enumerate(value_of(file, table)):
            if row.name in seen:
                first = f"{table}[{seen[row.name]}]"
                yield f"{table}[{number}].name is {row.name!r}, which {first} has already"
            seen.setdefault(row.name, number)


def _consistency_errors(file):
    for number, request_class in enumerate(file.request_classes):
        if request_class.expected_ms > request_class.hard_limit_ms:
            yield (
                f"offerings[{number}].expected_ms is {request_class.expected_ms:g}; "
                f"expected at most hard_limit_ms, {request_class.hard_limit_ms:g}"
            )
    if not file.backends and file.discovery is None:
        yield "backends is missing; expected at least one backend, or a [discovery] table"
    if file.node.number >= file.node.nodes:
        expected = f"expected a number under node.nodes, {file.node.nodes}"
        yield f"node.number is {file.node.number}; {expected}"
    if file.rules.further_span_s == 0 and (file.rules.further_most or file.rules.further_share):
        yield "rules.further_span_s is missing; further_most and further_share need it"
    for number, prefix in enumerate(file.admission.known):
        try:
            ipaddress.ip_network(prefix)
        except ValueError:
            place = f"admission.known[{number}]"
            yield f"{place} is {prefix!r}; expected a prefix such as 10.1.0.0/16"
    if file.reports.how == "probes" and not file.limits.probes:
        yield 'limits.probes is false; expected true, as reports.how is "probes"'
    if file.reports.how != "none" and not file.reports.fields:
        yield 'reports.fields is missing; expected report fields, as reports.how is not "none"'
