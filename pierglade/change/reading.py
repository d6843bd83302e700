"""The JSON of a configuration, read in steps.

One call of a parser on tens of thousands of tenants takes some 35 ms, in which a node answers nothing.
Where a cut may be made is guessed, and the parser itself tells whether it was right: no JSON is read by
code of ours.
"""

import orjson

from pierglade.terms import Wrong, shares_from

# Constants.
PIECE = 1 << 15         # bytes parsed in one step, about 0.7 ms
TRIES = 8               # cuts tried at one brace after the other, before the piece is taken for one long row
CUSTOMERS = ("settings", "customers")
KNOWN = ("known",)


def steps(text, known=True):
    """Yields after each step; returns the document with `settings.customers` empty, and what stood there as
    shares by name, in requests a second.

    `known`: whether the list that is known is read; else it is left empty. Raises ValueError where the text
    is no JSON, and Wrong where a customer can't be used.
    """
    shares = {}
    told = yield from _value(text, (), shares, known)
    return without_customers(told, shares), shares


def parsed(text):
    """Yields after each step; returns what any JSON holds."""
    return (yield from _value(text, (), {}, True))


def without_customers(told, shares):
    """The same document with its customers taken out, into `shares`."""
    settings = told.get("settings") if isinstance(told, dict) else None
    if isinstance(settings, dict) and settings.get("customers") is not None:
        shares.update(shares_from(settings["customers"]))
        told = {**told, "settings": {**settings, "customers": []}}
    return told


def _value(text, path, shares, known):
    if path == KNOWN and not known:
        return {}
    if len(text) <= 2 * PIECE:
        return orjson.loads(text)
    text = text.strip()
    if text[:1] == b"{":
        # Loaded where it is needed: no node with a small file pays for it.
        import msgspec
        parts = msgspec.json.decode(text, type=dict[str, msgspec.Raw])
        yield
        told = {}
        for key, part in parts.items():
            told[key] = yield from _value(bytes(part), (*path, key), shares, known)
        return told
    if text[:1] == b"[":
        rows, place = [], 0
        for piece in _pieces(text):
            if path == CUSTOMERS:
                shares.update(shares_from(piece, place))
            else:
                rows += piece
            place += len(piece)
            yield
        return rows
    return orjson.loads(text)


def _pieces(text):
    """The rows of an array, some at a time.

    A cut that falls into a row or into a text leaves no whole JSON: then it is tried further on.
    """
    at, end = 1, len(text) - 1
    while True:
        tries, cut, rows = 0, at + PIECE, []
        while not rows:
            cut = text.find(b"}", cut, end) + 1
            try:
                rows = orjson.loads(b"[%b]" % text[at:cut or end])
            except ValueError:
                if not cut:
                    raise
                tries += 1
                if tries % TRIES == 0:
                    cut += cut - at     # a row as long as this piece and more
            yield rows
            if not cut:
                break
        if not cut:
            return
        at = text.find(b",", cut) + 1
        if not at:
            at = end
        if text[cut:at].strip(b" \t\r\n,"):
            raise Wrong(f"no comma behind row {text[cut - 20:cut + 20]!r}")
