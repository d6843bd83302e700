"""The JSON of a configuration, or of a list, read in steps.

One call of a parser on tens of thousands of rows takes some 35 ms, in which a node answers nothing. Where a
cut may be made is guessed, and the parser itself tells whether it was right: no JSON is read by code of ours.
"""

import re
import uuid

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


def steps(text, known=True):
    """Yields after each step; returns the document with `settings.customers` empty, and what stood there as
    shares by name, in requests a second.

    `known`: whether the list that is known is kept; else it is left empty. Raises ValueError where the text
    is no JSON, and Wrong where a customer can't be used.
    """
    shares, faults, rows = {}, [], []

    def take(some, first):
        try:
            shares.update(shares_from(some, first))
        except InvalidSettingsError as fault:
            faults.append(fault)  # told once it is sure that it stands among the customers

    def keep(some, _):
        rows.extend(some if known else ())

    told = yield from _without(text, ((CUSTOMERS, take, []), (KNOWN, keep, rows)), PIECE)
    if told is None:
        # Rows that stand elsewhere under the same key; rare enough to be read at once.
        told, faults = orjson.loads(text), []
        shares.clear()
    if faults:
        raise faults[0]
    told = without_customers(told, shares)
    if not known and isinstance(told, dict) and told.get("known") is not None:
        told["known"] = {}
    return told, shares


def parsed(text):
    """Yields after each step; returns the list of backends, or whatever else the JSON holds."""
    rows = []
    told = yield from _without(
        text, ((("endpoints",), lambda some, _: rows.extend(some), rows),), LARGE
    )
    return orjson.loads(text) if told is None else told


def without_customers(told, shares):
    """The same document with its customers taken out, into `shares`."""
    settings = told.get("settings") if isinstance(told, dict) else None
    if isinstance(settings, dict) and settings.get("customers") is not None:
        shares.update(shares_from(settings["customers"]))
        told = {**told, "settings": {**settings, "customers": []}}
    return told


def _without(text, arrays, piece):
    """The document with the arrays in it, of (path, who takes the rows, what to leave there), read in steps.

    None if one of them was not what its key made it look like.
    """
    marks = []
    for path, take, left in arrays:
        opens = re.search(OPENS % path[-1].encode(), text) if len(text) > WHOLE else None
        if opens is not None:
            end = yield from _rows(text, opens.end(), take, piece)
            # Nobody has written this before: what holds it later is what the rows stood in.
            mark = uuid.uuid4().hex
            marks.append((path, mark, left))
            text = b'%b"%b"%b' % (text[: opens.end() - 1], mark.encode(), text[end:])
            yield
    told = orjson.loads(text)
    for (*way, last), mark, left in marks:
        place = told
        for key in way:
            place = place.get(key) if isinstance(place, dict) else None
        if not isinstance(place, dict) or place.get(last) != mark:
            return None
        place[last] = left
    return told


def _rows(text, at, take, piece):
    """Reads an array whose first row begins `at`; returns where the text goes on behind it.

    A cut that falls into a row or into a text leaves no whole JSON: then it is tried further on. One behind the
    array's end does neither, and the parser says where the array was over.
    """
    count, tries, cut = 0, 0, at + piece
    while True:
        cut = text.find(b"}", cut) + 1
        part = b"[%b]" % text[at : cut or len(text)]
        try:
            rows, end = orjson.loads(part), None
        except orjson.JSONDecodeError as fault:
            rows, end = _closed(part, fault.pos)
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
    """The rows and the bytes of the array that `part` begins with, if it is over before the character `pos`."""
    try:
        array = part.decode()[:pos].rstrip(" \t\r\n").encode()
        return (orjson.loads(array), len(array)) if array[-1:] == b"]" else (None, None)
    except ValueError:
        return None, None
