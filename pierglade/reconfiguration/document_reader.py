"""Parses the JSON of a configuration, or of an endpoint list, in steps.

Parsing tens of thousands of rows at once takes some 35 ms, during which a node answers nothing. The
text is cut where a row probably ends, and the JSON parser decides whether the cut was right: this
module does not interpret JSON itself.
"""

import re
import uuid
from collections.abc import Callable, Generator, Iterable
from typing import Any, NamedTuple

import orjson

from pierglade.settings.platform import quotas_from_rows
from pierglade.settings.validation import InvalidSettingsError

# A text up to this size is parsed in one step.
MAX_UNSPLIT_BYTES = 1 << 16
# Bytes parsed in one step between requests, which takes under half a millisecond.
CHUNK_BYTES = 1 << 13
# Bytes of an endpoint list parsed in one step, which takes 2 ms. These steps are larger than
# others, as the outdated list must not stay in use for long.
LIST_CHUNK_BYTES = 1 << 16
# Number of cuts that are tried, at successive braces, before the chunk is extended because it may
# be a single long row.
CUTS_PER_EXTENSION = 8
CUSTOMERS_PATH = ("settings", "customers")
KNOWN_ENDPOINTS_PATH = ("known", "endpoints")
ARRAY_START = rb'"%b"[ \t\r\n]*:[ \t\r\n]*\['
ROW_SEPARATOR = re.compile(rb"[ \t\r\n]*([],])")


class LargeArray(NamedTuple):
    """An array that is parsed in steps, separately from its document."""

    path: tuple[str, ...]
    """Keys from the root of the document to the array."""
    add_rows: Callable[[list, int], None]
    """Receives some of its rows and the index of the first."""
    replacement: list
    """Value that replaces it in the document."""


def read_document(
    text: bytes, with_known_endpoints: bool = True
) -> Generator[None, None, tuple[Any, dict[str, float]]]:
    """Yields after each step; returns the document without customers, and quotas by customer.

    Quotas are in requests a second.

    Args:
        text: The JSON document.
        with_known_endpoints: Whether to return the known endpoint list; else it is left empty.

    Raises:
        ValueError: The text is not JSON.
        InvalidSettingsError: The entry of a customer is invalid.
    """
    quotas, errors, known_endpoints = {}, [], []

    def _add_customers(rows, first_index):
        try:
            quotas.update(quotas_from_rows(rows, first_index))
        except InvalidSettingsError as error:
            errors.append(error)  # raised once it is certain that the rows are the customers

    def _add_endpoints(rows, _):
        known_endpoints.extend(rows if with_known_endpoints else ())

    document = yield from _parse_without(
        text,
        (
            LargeArray(CUSTOMERS_PATH, _add_customers, []),
            LargeArray(KNOWN_ENDPOINTS_PATH, _add_endpoints, known_endpoints),
        ),
        CHUNK_BYTES,
    )
    if document is None:
        # The key of the rows was found elsewhere in the document first. This is rare enough to
        # parse the whole text in one step.
        document, errors = orjson.loads(text), []
        quotas.clear()
    if errors:
        raise errors[0]
    document = without_customers(document, quotas)
    if (
        not with_known_endpoints
        and isinstance(document, dict)
        and document.get("known") is not None
    ):
        document["known"] = {}
    return document, quotas


def read_endpoint_list(text: bytes) -> Generator[None, None, Any]:
    """Yields after each step; returns the endpoint list, or any other value in the JSON."""
    rows = []
    document = yield from _parse_without(
        text,
        (LargeArray(("endpoints",), lambda some_rows, _: rows.extend(some_rows), rows),),
        LIST_CHUNK_BYTES,
    )
    return orjson.loads(text) if document is None else document


def without_customers(document: Any, quotas: dict[str, float]) -> Any:
    """Returns the document without its customers; adds their quotas to `quotas`."""
    settings = document.get("settings") if isinstance(document, dict) else None
    if isinstance(settings, dict) and settings.get("customers") is not None:
        quotas.update(quotas_from_rows(settings["customers"]))
        document = {**document, "settings": {**settings, "customers": []}}
    return document


def _parse_without(
    text: bytes, arrays: Iterable[LargeArray], chunk_bytes: int
) -> Generator[None, None, Any]:
    """Yields after each step; returns the document with its large arrays replaced.

    Returns None if an array was found under the right key in the wrong place.
    """
    placeholders = []
    for path, add_rows, replacement in arrays:
        array_start = (
            re.search(ARRAY_START % path[-1].encode(), text)
            if len(text) > MAX_UNSPLIT_BYTES
            else None
        )
        if array_start is not None:
            end = yield from _read_rows(text, array_start.end(), add_rows, chunk_bytes)
            # The placeholder is unique, so it shows where the rows were in the document.
            placeholder = uuid.uuid4().hex
            placeholders.append((path, placeholder, replacement))
            text = b'%b"%b"%b' % (text[: array_start.end() - 1], placeholder.encode(), text[end:])
            yield
    document = orjson.loads(text)
    for (*parent_keys, last_key), placeholder, replacement in placeholders:
        parent = document
        for key in parent_keys:
            parent = parent.get(key) if isinstance(parent, dict) else None
        if not isinstance(parent, dict) or parent.get(last_key) != placeholder:
            return None
        parent[last_key] = replacement
    return document


def _read_rows(text, start, add_rows, chunk_bytes):
    """Parses an array whose first row begins at `start`; returns the position after its end.

    A cut within a row or a string leaves invalid JSON, and a later one is tried. After a cut beyond
    the end of the array, the parser reports where the array ended.
    """
    count, cuts, cut = 0, 0, start + chunk_bytes
    while True:
        cut = text.find(b"}", cut) + 1
        part = b"[%b]" % text[start : cut or len(text)]
        try:
            rows, end = orjson.loads(part), None
        except orjson.JSONDecodeError as error:
            rows, end = _parse_complete_array(part, error.pos)
            if rows is None:
                if not cut:
                    raise
                cuts += 1
                if cuts % CUTS_PER_EXTENSION == 0:
                    cut += cut - start  # the row is probably longer than this chunk
                yield
                continue
        if count and not rows:
            raise ValueError("trailing comma after the last row of an array; expected another row")
        add_rows(rows, count)
        count += len(rows)
        yield
        if end is not None:
            return start - 1 + end
        separator = ROW_SEPARATOR.match(text, cut)
        if separator is None:
            raise ValueError("missing comma after a row of an array; expected ',' or ']'")
        start, cuts = separator.end(), 0
        if separator[1] == b"]":
            return start
        cut = start + chunk_bytes


def _parse_complete_array(part, error_position):
    """Returns rows and length of the array at the start of `part`, if it ends before the error."""
    try:
        array = part.decode()[:error_position].rstrip(" \t\r\n").encode()
        return (orjson.loads(array), len(array)) if array[-1:] == b"]" else (None, None)
    except ValueError:
        return None, None
