"""The format of a stored snapshot: a head, then MessagePack, checked by xxHash. It does no I/O.

    "PGLE" | version, 2 bytes | bytes of the body, 4 | xxh3-64 of version, length and body, 8 | body

All numbers are big-endian. Data that cannot be trusted raises `CorruptSnapshotError`, whatever
is wrong with it. An older version is migrated by MIGRATIONS, one version at a time; a newer one is
refused, never guessed at. The stored names of version 1 are mapped to this package's names here
and in `stored_names.py`, and nowhere else.
"""

import struct
from collections.abc import Callable
from typing import Any

import msgspec
import xxhash

from pierglade.model.ticks import Ticks
from pierglade.snapshot.errors import CorruptSnapshotError, UntrustedSnapshotError
from pierglade.snapshot.stored_names import STORED_IDEMPOTENCY

__all__ = [
    "STORED_IDEMPOTENCY",
    "CorruptSnapshotError",
    "Snapshot",
    "StoredBackend",
    "UntrustedSnapshotError",
    "decode",
    "encode",
]

MAGIC = b"PGLE"
HEAD = struct.Struct(">4sHIQ")
VERSION = 1
MAX_BODY_BYTES = 64 << 20  # a thousand backends take a quarter of a megabyte
# Version to the function that makes the next version's body of its body, both as plain data.
MIGRATIONS: dict[int, Callable[[Any], Any]] = {}


class StoredBackend(msgspec.Struct):
    """What was known of one backend, and which process it was."""

    address: str
    # Of Unix time, as the endpoint list says; 0 where it does not.
    started_at: Ticks = msgspec.field(name="started")
    # Learned statistics, by the balancer's own names for them.
    statistics: dict = msgspec.field(name="figures")


class Snapshot(msgspec.Struct):
    """What a node has learned. Moments are tenths of a millisecond of Unix time."""

    node: str
    written_at: Ticks = msgspec.field(name="written")
    node_started_at: Ticks = msgspec.field(name="began")
    # Requests that the node completed in a tenth of a millisecond, over the last period.
    request_rate: float = msgspec.field(name="asked")
    # Name to statistics, with `expected`, `hard_limit` and `repeats` of the class.
    request_classes: dict[str, dict] = msgspec.field(name="offerings")
    backends: dict[str, StoredBackend]
    endpoints_version: int | None = msgspec.field(name="index")
    # Entries in the platform's format.
    endpoints: list[dict] = msgspec.field(name="list")


def encode(snapshot: Snapshot) -> bytes:
    """Encodes a snapshot as version VERSION."""
    body = msgspec.msgpack.encode(snapshot)
    return HEAD.pack(MAGIC, VERSION, len(body), _checksum(VERSION, body)) + body


def decode(
    data: bytes,
    migrations: dict[int, Callable[[Any], Any]] | None = None,
    newest_version: int = VERSION,
) -> Snapshot:
    """Decodes a snapshot, migrated from its version to the newest one.

    Args:
        data: The whole file.
        migrations: Used in place of MIGRATIONS.
        newest_version: Used in place of VERSION.

    Raises:
        CorruptSnapshotError: The bytes are no snapshot that this build can use.
    """
    if len(data) < HEAD.size:
        raise CorruptSnapshotError(f"{len(data)} bytes: cut off in its head")
    magic, version, length, checksum = HEAD.unpack_from(data)
    body = data[HEAD.size :]
    if magic != MAGIC:
        raise CorruptSnapshotError("no snapshot: it does not begin with PGLE")
    if length > MAX_BODY_BYTES:
        raise CorruptSnapshotError(f"a body of {length} bytes is over the most, {MAX_BODY_BYTES}")
    if len(body) != length:
        raise CorruptSnapshotError(f"its body has {len(body)} bytes of {length}")
    if _checksum(version, body) != checksum:
        raise CorruptSnapshotError("its sum is not that of its bytes")
    if version > newest_version:
        raise CorruptSnapshotError(f"version {version}; this build reads up to {newest_version}")
    migrations = MIGRATIONS if migrations is None else migrations
    try:
        raw = msgspec.msgpack.decode(body)
        while version < newest_version:
            if version not in migrations:
                raise CorruptSnapshotError(f"version {version}, which nothing carries forward")
            raw, version = migrations[version](raw), version + 1
        return msgspec.convert(raw, Snapshot)
    except (msgspec.DecodeError, msgspec.ValidationError, KeyError, TypeError) as error:
        raise CorruptSnapshotError(f"its body is none of version {version}: {error}") from None


def _checksum(version: int, body: bytes) -> int:
    return xxhash.xxh3_64_intdigest(struct.pack(">HI", version, len(body)) + body)
