"""The JSON of a configuration, or of a list, read in steps.

One call of a parser on tens of thousands of rows takes some 35 ms, in which a node answers nothing.
Where a cut may be made is guessed, and the parser itself decides whether it was right: no JSON is
read by code of this package.
"""

import re
import uuid
from collections.abc import Callable, Generator, Iterable
from typing import Any, NamedTuple

import orjson

from pierglade.settings.platform import shares_from
from pierglade.settings.validation import InvalidSettingsError

# Constants.
WHOLE = 1 << 16  # bytes that are parsed at once
PIECE = 1 << 13  # bytes of a step beside requests, under half a ms
LARGE = 1 << 16  # the same of a list, that nothing may be sent by as it was for long; 2 ms
TRIES = 8  # cuts tried at one brace after the other, before the piece is taken for one long row
CUSTOMERS = ("settings", "customers")
KNOWN = ("known", "endpoints")
OPENS = rb'"%b"[ \t\r\n]*:[ \t\r\n]*\['
BEHIND = re.compile(rb"[ \t\r\n]*([],])")


class LargeArray(NamedTuple):
    """An array that is read in steps, outside of its document."""

    path: tuple[str, ...]
    """The keys that lead to it."""
    take: Callable[[list, int], None]
    """Takes some of its rows, and the place of the first."""
    replacement: list
    """Stands in the document in its place."""


def steps(text: bytes, known: bool = True) -> Generator[None, None, tuple[Any, dict[str, float]]]:
    """Yields after each step; returns the document without customers, and their quotas by name.

    Quotas are in requests a second.

    Args:
        text: The JSON.
        known: Whether the endpoint list that is known is kept; else it is left empty.

    Raises:
        ValueError: The text is no JSON.
        InvalidSettingsError: A customer cannot be used.
    """
    shares, errors, rows = {}, [], []

    def _take(some, first):
        try:
            shares.update(shares_from(some, first))
        except InvalidSettingsError as error:
            errors.append(error)  # raised once it is sure that it stands among the customers

    def _keep(some, _):
        rows.extend(some if known else ())

    document = yield from _without(
        text, (LargeArray(CUSTOMERS, _take, []), LargeArray(KNOWN, _keep, rows)), PIECE
    )
    if document is None:
        # Rows that stand elsewhere under the same key; rare enough to be read at once.
        document, errors = orjson.loads(text), []
        shares.clear()
    if errors:
        raise errors[0]
    document = without_customers(document, shares)
    if not known and isinstance(document, dict) and document.get("known") is not None:
        document["known"] = {}
    return document, shares


def parsed(text: bytes) -> Generator[None, None, Any]:
    """Yields after each step; returns the endpoint list, or whatever else the JSON holds."""
    rows = []
    document = yield from _without(
        text, (LargeArray(("endpoints",), lambda some, _: rows.extend(some), rows),), LARGE
    )
    return orjson.loads(text) if document is None else document


def without_customers(document: Any, shares: dict[str, float]) -> Any:
    """Returns the document without its customers; adds their quotas to `shares`."""
    settings = document.get("settings") if isinstance(document, dict) else None
    if isinstance(settings, dict) and settings.get("customers") is not None:
        shares.update(shares_from(settings["customers"]))
        document = {**document, "settings": {**settings, "customers": []}}
    return document


def _without(text: bytes, arrays: Iterable[LargeArray], piece: int) -> Generator[None, None, Any]:
    """Yields after each step; returns the document, its large arrays read and replaced.

    None if one of them was not what its key made it look like.
    """
    marks = []
    for path, take, replacement in arrays:
        opens = re.search(OPENS % path[-1].encode(), text) if len(text) > WHOLE else None
        if opens is not None:
            end = yield from _rows(text, opens.end(), take, piece)
            # A mark that no text holds: what holds it later is what the rows stood in.
            mark = uuid.uuid4().hex
            marks.append((path, mark, replacement))
            text = b'%b"%b"%b' % (text[: opens.end() - 1], mark.encode(), text[end:])
            yield
    document = orjson.loads(text)
    for (*way, last), mark, replacement in marks:
        place = document
        for key in way:
            place = place.get(key) if isinstance(place, dict) else None
        if not isinstance(place, dict) or place.get(last) != mark:
            return None
        place[last] = replacement
    return document


def _rows(text, at, take, piece):
    """Reads an array whose first row begins `at`; returns where the text goes on behind it.

    A cut that falls into a row or into a text leaves no whole JSON: then it is tried further on.
    One behind the array's end does neither, and the parser says where the array was over.
    """
    count, tries, cut = 0, 0, at + piece
    while True:
        cut = text.find(b"}", cut) + 1
        part = b"[%b]" % text[at : cut or len(text)]
        try:
            rows, end = orjson.loads(part), None
        except orjson.JSONDecodeError as error:
            rows, end = _closed(part, error.pos)
            if rows is None:
                if not cut:
                    raise
                tries += 1
                if tries % TRIES == 0:
                    cut += cut - at  # a row as long as this piece and more
                yield
                continue
        if count and not rows:
            raise ValueError("a comma stands behind the last row")
        take(rows, count)
        count += len(rows)
        yield
        if end is not None:
            return at - 1 + end
        behind = BEHIND.match(text, cut)
        if behind is None:
            raise ValueError("no comma stands between two rows")
        at, tries = behind.end(), 0
        if behind[1] == b"]":
            return at
        cut = at + piece


def _closed(part, pos):
    """Returns rows and length of the array that `part` begins with, if it ends before `pos`."""
    try:
        array = part.decode()[:pos].rstrip(" \t\r\n").encode()
        return (orjson.loads(array), len(array)) if array[-1:] == b"]" else (None, None)
    except ValueError:
        return None, None
