"""The format of a stored snapshot: a header, then MessagePack, with an xxHash checksum. No I/O.

    "PGLE" | version, 2 bytes | body length, 4 | xxh3-64 of version, length and body, 8 | body

All numbers are big-endian. Any damage to the data raises `CorruptSnapshotError`. An older version
is migrated by MIGRATIONS, one version at a time; a newer one is rejected. The stored names of
version 1 are mapped to this package's names only here and in `stored_names.py`.
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
HEADER = struct.Struct(">4sHIQ")
VERSION = 1
MAX_BODY_BYTES = 64 << 20  # 64 MiB; a thousand backends need a quarter of a megabyte
# By version, the function that converts its body to that of the next version, as plain data.
MIGRATIONS: dict[int, Callable[[Any], Any]] = {}


class StoredBackend(msgspec.Struct):
    """The statistics of one backend, and the identity of its process."""

    address: str
    # Unix time from the endpoint list; 0 if the list has none.
    started_at: Ticks = msgspec.field(name="started")
    # Learned statistics by their stored names.
    statistics: dict = msgspec.field(name="figures")


class Snapshot(msgspec.Struct):
    """The learned statistics of a node. Times are ticks (tenths of a millisecond) of Unix time."""

    node: str
    written_at: Ticks = msgspec.field(name="written")
    node_started_at: Ticks = msgspec.field(name="began")
    # Requests per tick that the node completed, over the last period.
    request_rate: float = msgspec.field(name="asked")
    # Statistics by name, with `expected`, `hard_limit` and `repeats` of the class.
    request_classes: dict[str, dict] = msgspec.field(name="offerings")
    backends: dict[str, StoredBackend]
    endpoints_version: int | None = msgspec.field(name="index")
    # The endpoint list, in the platform's format.
    endpoints: list[dict] = msgspec.field(name="list")


def encode(snapshot: Snapshot) -> bytes:
    """Encodes a snapshot as version VERSION."""
    body = msgspec.msgpack.encode(snapshot)
    return HEADER.pack(MAGIC, VERSION, len(body), _checksum(VERSION, body)) + body


def decode(
    data: bytes,
    migrations: dict[int, Callable[[Any], Any]] | None = None,
    newest_version: int = VERSION,
) -> Snapshot:
    """Decodes a snapshot and migrates it to the newest version.

    Args:
        data: The whole file.
        migrations: Replaces MIGRATIONS.
        newest_version: Replaces VERSION.

    Raises:
        CorruptSnapshotError: This build cannot decode the bytes.
    """
    if len(data) < HEADER.size:
        raise CorruptSnapshotError(f"truncated in its header: got {len(data)} bytes")
    magic, version, length, checksum = HEADER.unpack_from(data)
    body = data[HEADER.size :]
    if magic != MAGIC:
        raise CorruptSnapshotError("not a snapshot: it does not begin with PGLE")
    if length > MAX_BODY_BYTES:
        raise CorruptSnapshotError(f"body of {length} bytes; expected at most {MAX_BODY_BYTES}")
    if len(body) != length:
        raise CorruptSnapshotError(f"body of {len(body)} bytes; expected {length} bytes")
    if _checksum(version, body) != checksum:
        raise CorruptSnapshotError("the checksum does not match the content")
    if version > newest_version:
        raise CorruptSnapshotError(f"version {version}; this build reads up to {newest_version}")
    migrations = MIGRATIONS if migrations is None else migrations
    try:
        raw = msgspec.msgpack.decode(body)
        while version < newest_version:
            if version not in migrations:
                raise CorruptSnapshotError(f"version {version}, for which there is no migration")
            raw, version = migrations[version](raw), version + 1
        return msgspec.convert(raw, Snapshot)
    except (msgspec.DecodeError, msgspec.ValidationError, KeyError, TypeError) as error:
        raise CorruptSnapshotError(f"invalid body for version {version}: {error}") from None


def _checksum(version: int, body: bytes) -> int:
    return xxhash.xxh3_64_intdigest(struct.pack(">HI", version, len(body)) + body)
