"""The files in which a node stores its newest snapshot and the previous one.

They are `NAME.learned` and `NAME.learned.1`. A snapshot is written to
`NAME.learned.PID-COUNT.part`, synced and renamed, and then the directory is synced. A process that
is killed at any moment leaves at least one complete generation, and at most a part file that the
next write removes. The lock between processes is a kernel lock (flock) that ends with its process,
so it is never stale.
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

NEWEST_SUFFIX, PREVIOUS_SUFFIX, LOCK_SUFFIX = ".learned", ".learned.1", ".lock"
# Earlier builds wrote `NAME.learned.part`; such files are found and removed as well.
PART_PATTERN = re.compile(r"(.+)\.learned(\.[0-9]+-[0-9]+)?\.part")
NAME_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,100}")


class StoredSnapshot(NamedTuple):
    """The newest usable snapshot of a node."""

    snapshot: Snapshot | None
    file: str
    """The name of its file; empty if there is none."""
    rejected: list[str]
    """A line for each newer file that cannot be used, with the reason."""


class SnapshotStore:
    """The snapshot files of one node in one directory; it is thread-safe.

    Raises:
        OSError: The name is not allowed as a file name.
    """

    def __init__(self, path: str, name: str, max_mb: float = 16.0) -> None:
        if not NAME_PATTERN.fullmatch(name) or name.startswith("."):
            raise OSError(
                22,
                f"the node's name is {name!r}; expected letters, digits, . _ - and no leading dot",
            )
        self.path, self.name, self.max_bytes = path, name, int(max_mb * (1 << 20))
        self.lock_fd = None
        # The final write of a node may overlap with a periodic one in another thread. With a shared
        # part file, the second write would find it already renamed by the first, after it has
        # renamed the newest generation to the previous one, and no newest generation would remain.
        self.write_lock = threading.Lock()
        self.part_numbers = itertools.count(1)

    def _path(self, suffix: str) -> str:
        return os.path.join(self.path, self.name + suffix)

    def lock_files(self) -> bool:
        """Takes the lock between processes; returns False if another one has it."""
        with self.write_lock:
            if self.lock_fd is None:
                fd = os.open(self._path(LOCK_SUFFIX), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
                try:
                    fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
                except BlockingIOError:
                    os.close(fd)
                    return False
                self.lock_fd = fd
            return True

    def write(self, data: bytes) -> None:
        """Stores `data` as the newest generation.

        Raises:
            OSError: The snapshot was not written; earlier generations remain.
        """
        if len(data) > self.max_bytes:
            raise OSError(
                27, f"the snapshot has {len(data)} bytes; expected at most {self.max_bytes}"
            )
        with self.write_lock:
            if self.lock_fd is not None:
                self._remove_part_files()
            part = self._path(f"{NEWEST_SUFFIX}.{os.getpid()}-{next(self.part_numbers)}.part")
            _write_synced(part, data)
            with contextlib.suppress(FileNotFoundError):
                os.rename(self._path(NEWEST_SUFFIX), self._path(PREVIOUS_SUFFIX))
            os.rename(part, self._path(NEWEST_SUFFIX))
            fd = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
            try:
                os.fsync(fd)
            finally:
                os.close(fd)

    def _remove_part_files(self):
        """Removes part files of killed or failed writes.

        Both locks must be held; otherwise a part file may be in use.
        """
        for name in os.listdir(self.path):
            part = PART_PATTERN.fullmatch(name)
            if part and part[1] == self.name:
                os.unlink(os.path.join(self.path, name))

    def read(self) -> StoredSnapshot:
        """Reads the newest snapshot that can be used."""
        rejected = []
        for suffix in (NEWEST_SUFFIX, PREVIOUS_SUFFIX):
            try:
                snapshot = load(self._path(suffix), self.max_bytes)
                return StoredSnapshot(snapshot, self.name + suffix, rejected)
            except FileNotFoundError:
                continue
            except (OSError, CorruptSnapshotError) as error:
                rejected.append(f"{self.name}{suffix}: {getattr(error, 'strerror', None) or error}")
        return StoredSnapshot(None, "", rejected)

    def release(self) -> None:
        """Releases the lock between processes."""
        if self.lock_fd is not None:
            os.close(self.lock_fd)
            self.lock_fd = None


def _write_synced(path, data):
    fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o644)
    try:
        remaining = memoryview(data)
        while remaining:
            remaining = remaining[os.write(fd, remaining) :]
        os.fsync(fd)
    finally:
        os.close(fd)


def load(path: str, max_bytes: int = schema.MAX_BODY_BYTES + schema.HEADER.size) -> Snapshot:
    """Reads a snapshot file.

    Raises:
        OSError: The file cannot be read.
        CorruptSnapshotError: The file has no usable snapshot.
    """
    with open(path, "rb") as file:
        data = file.read(max_bytes + 1)
    if len(data) > max_bytes:
        raise CorruptSnapshotError(f"the file has over {max_bytes} bytes, the maximum")
    return schema.decode(data)


def find_snapshots(path: str) -> Iterator[tuple[str, Snapshot | CorruptSnapshotError | OSError]]:
    """Yields the name of each snapshot file of a directory, with its snapshot or its error."""
    for name in sorted(os.listdir(path)):
        if name.endswith((NEWEST_SUFFIX, PREVIOUS_SUFFIX)) or PART_PATTERN.fullmatch(name):
            try:
                yield name, load(os.path.join(path, name))
            except (OSError, CorruptSnapshotError) as error:
                yield name, error


def is_in_use(path: str, name: str) -> bool:
    """Returns whether a process holds the lock of node `name`, without creating a file."""
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
