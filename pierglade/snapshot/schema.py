"""The form of a snapshot: a head, then MessagePack, checked by xxHash. Bytes in and out, no I/O.

    "PGLE" | version, 2 bytes | bytes of the body, 4 | xxh3-64 of version, length and body, 8 | body

all numbers big-endian. What can't be believed is a Spoilt, whatever is wrong with it. An older version is
carried forward by STEPS, one version at a time; a newer one is refused, never guessed at.
"""

import struct

import msgspec
import xxhash

from pierglade.model.request import Idempotency

MAGIC = b"PGLE"
HEAD = struct.Struct(">4sHIQ")
VERSION = 1
MOST = 64 << 20  # bytes of a body; a thousand backends take a quarter of a megabyte
# version: what makes of its body, as plain data, that of the next one.
STEPS = {}


class Spoilt(ValueError):
    """Bytes that are no snapshot that this build can use; one line that says why."""


# What a stored file calls the idempotency of a request class.
STORED_IDEMPOTENCY = {
    Idempotency.SAFE: "harmless",
    Idempotency.KEYED: "stamped",
    Idempotency.UNSAFE: "one-shot",
}


class Backend(msgspec.Struct):
    """What was known of one backend, and which process it was."""

    address: str
    started: int  # tenths of a ms of Unix time, as the list told; 0: it did not
    figures: dict  # by the decisions' own names


class Snapshot(msgspec.Struct):
    """Moments are tenths of a millisecond of Unix time."""

    node: str
    written: int
    began: int  # the node's start
    asked: float  # invocations that it settled in a tenth of a ms of late
    # Name to what was known, `expected`, `hard_limit` and `repeats` with it.
    request_classes: dict[str, dict] = msgspec.field(name="offerings")
    backends: dict[str, Backend]
    index: int | None  # the version of the list
    list: list[dict]  # the list's entries in the platform's form


def encode(snapshot):
    """The bytes of a Snapshot."""
    body = msgspec.msgpack.encode(snapshot)
    return HEAD.pack(MAGIC, VERSION, len(body), _sum(VERSION, body)) + body


def decode(data, steps=None, upto=VERSION):
    """The Snapshot of these bytes; raises Spoilt. `steps`, `upto`: in place of STEPS and VERSION."""
    if len(data) < HEAD.size:
        raise Spoilt(f"{len(data)} bytes: cut off in its head")
    magic, version, length, told = HEAD.unpack_from(data)
    body = data[HEAD.size :]
    if magic != MAGIC:
        raise Spoilt("no snapshot: it does not begin with PGLE")
    if length > MOST:
        raise Spoilt(f"a body of {length} bytes is over the most, {MOST}")
    if len(body) != length:
        raise Spoilt(f"its body has {len(body)} bytes of {length}")
    if _sum(version, body) != told:
        raise Spoilt("its sum is not that of its bytes")
    if version > upto:
        raise Spoilt(f"version {version}; this build reads up to {upto}")
    steps = STEPS if steps is None else steps
    try:
        raw = msgspec.msgpack.decode(body)
        while version < upto:
            if version not in steps:
                raise Spoilt(f"version {version}, which nothing carries forward")
            raw, version = steps[version](raw), version + 1
        return msgspec.convert(raw, Snapshot)
    except (msgspec.DecodeError, msgspec.ValidationError, KeyError, TypeError) as fault:
        raise Spoilt(f"its body is none of version {version}: {fault}") from None


def _sum(version, body):
    return xxhash.xxh3_64_intdigest(struct.pack(">HI", version, len(body)) + body)
