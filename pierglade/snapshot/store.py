"""The files in which a node keeps its newest snapshot and the one before.

`NAME.learned` and `NAME.learned.1`; written as `NAME.learned.PID-COUNT.part`, synced, renamed, and
the directory synced. A process killed at any moment leaves at least one whole generation, and a
part file that the next write removes. The lock between processes is the kernel's (flock) and ends
with its process, so that it is never stale.
"""

import contextlib
import fcntl
import itertools
import os
import re
import threading
from collections.abc import Iterator
from typing import NamedTuple

from pierglade.snapshot import schema
from pierglade.snapshot.schema import CorruptSnapshotError, Snapshot

SUFFIX, PREVIOUS_SUFFIX, LOCK_SUFFIX = ".learned", ".learned.1", ".lock"
# Earlier builds wrote `NAME.learned.part`: theirs are found and removed as well.
PART = re.compile(r"(.+)\.learned(\.[0-9]+-[0-9]+)?\.part")
NAME = re.compile(r"[A-Za-z0-9._-]{1,100}")


class StoredSnapshot(NamedTuple):
    """The newest usable snapshot of a node."""

    snapshot: Snapshot | None
    file: str
    """The name of its file; empty where there is none."""
    rejected: list[str]
    """A line for each newer file that cannot be used."""


class SnapshotStore:
    """The snapshot files of one node in one directory; several threads may use it at once.

    Raises:
        OSError: The name makes no file name.
    """

    def __init__(self, path: str, name: str, max_mb: float = 16.0) -> None:
        if not NAME.fullmatch(name) or name.startswith("."):
            raise OSError(
                22, f"the node's name {name!r} makes no file name; allowed: letters, digits, . _ -"
            )
        self.path, self.name, self.max_bytes = path, name, int(max_mb * (1 << 20))
        self.lock = None
        # The final write of a node may meet a periodic one, each in a thread of its own: with one
        # part file for both, the second renamed what the first had moved away, and no newest
        # generation was left.
        self.writing = threading.Lock()
        self.parts = itertools.count(1)

    def _path(self, suffix: str) -> str:
        return os.path.join(self.path, self.name + suffix)

    def lock_files(self) -> bool:
        """Takes the lock between processes; False where another process of this name has it."""
        with self.writing:
            if self.lock is None:
                fd = os.open(self._path(LOCK_SUFFIX), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
                try:
                    fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
                except BlockingIOError:
                    os.close(fd)
                    return False
                self.lock = fd
            return True

    def write(self, data: bytes) -> None:
        """Stores `data` as the newest generation.

        Raises:
            OSError: It was not written; the generations that were there remain.
        """
        if len(data) > self.max_bytes:
            raise OSError(27, f"a snapshot of {len(data)} bytes is over the most, {self.max_bytes}")
        with self.writing:
            if self.lock is not None:
                self._remove_part_files()
            part = self._path(f"{SUFFIX}.{os.getpid()}-{next(self.parts)}.part")
            _write_synced(part, data)
            with contextlib.suppress(FileNotFoundError):
                os.rename(self._path(SUFFIX), self._path(PREVIOUS_SUFFIX))
            os.rename(part, self._path(SUFFIX))
            fd = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
            try:
                os.fsync(fd)
            finally:
                os.close(fd)

    def _remove_part_files(self):
        """Removes what killed or failed writes left; needs both locks, or it may be in use."""
        for name in os.listdir(self.path):
            part = PART.fullmatch(name)
            if part and part[1] == self.name:
                os.unlink(os.path.join(self.path, name))

    def read(self) -> StoredSnapshot:
        """Reads the newest snapshot that can be used."""
        rejected = []
        for suffix in (SUFFIX, PREVIOUS_SUFFIX):
            try:
                snapshot = load(self._path(suffix), self.max_bytes)
                return StoredSnapshot(snapshot, self.name + suffix, rejected)
            except FileNotFoundError:
                continue
            except (OSError, CorruptSnapshotError) as error:
                rejected.append(f"{self.name}{suffix}: {getattr(error, 'strerror', None) or error}")
        return StoredSnapshot(None, "", rejected)

    def release(self) -> None:
        """Gives up the lock between processes."""
        if self.lock is not None:
            os.close(self.lock)
            self.lock = None


def _write_synced(path, data):
    fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o644)
    try:
        remaining = memoryview(data)
        while remaining:
            remaining = remaining[os.write(fd, remaining) :]
        os.fsync(fd)
    finally:
        os.close(fd)


def load(path: str, max_bytes: int = schema.MAX_BODY_BYTES + schema.HEAD.size) -> Snapshot:
    """Reads a snapshot file.

    Raises:
        OSError: The file cannot be read.
        CorruptSnapshotError: It holds no usable snapshot.
    """
    with open(path, "rb") as file:
        data = file.read(max_bytes + 1)
    if len(data) > max_bytes:
        raise CorruptSnapshotError(f"over {max_bytes} bytes")
    return schema.decode(data)


def find_snapshots(path: str) -> Iterator[tuple[str, Snapshot | CorruptSnapshotError | OSError]]:
    """Yields each snapshot file of a directory by name, with its snapshot or its error."""
    for name in sorted(os.listdir(path)):
        if name.endswith((SUFFIX, PREVIOUS_SUFFIX)) or PART.fullmatch(name):
            try:
                yield name, load(os.path.join(path, name))
            except (OSError, CorruptSnapshotError) as error:
                yield name, error


def in_use(path: str, name: str) -> bool:
    """Whether a process holds the files of node `name`; asks the kernel and creates no file."""
    try:
        fd = os.open(os.path.join(path, name + LOCK_SUFFIX), os.O_RDWR | os.O_CLOEXEC)
    except FileNotFoundError:
        return False
    try:
        fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        return True
    finally:
        os.close(fd)
    return False
