"""File locks by which two processes of one node detect each other during a takeover.

The serving process locks the first of two files in $TMPDIR; the kernel releases the lock when the
process ends, even if it crashes. A process that finds the first file locked is the successor, and
locks the second file until the first is free. The files are empty and need not be removed.
"""

import fcntl
import os
import re

DEFAULT_FOLDER = "/tmp"  # used where $TMPDIR is not set
POLL_INTERVAL_S = 0.2  # interval between checks whether the earlier process has ended


class ProcessLock:
    """The locks of the process that serves `address`, in `folder` or $TMPDIR."""

    def __init__(self, address: str, folder: str | None = None):
        folder = folder or os.environ.get("TMPDIR") or DEFAULT_FOLDER
        stem = os.path.join(folder, "pierglade-" + re.sub(r"[^0-9.]", "-", address))
        self.files = []
        try:
            for role in ("serves", "follows"):
                self.files.append(
                    os.open(
                        f"{stem}.{role}",
                        os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | os.O_NOFOLLOW,
                        0o600,
                    )
                )
        except OSError:
            self.files = []  # The files cannot be created: this process serves as the sole one.

    def is_sole_process(self) -> bool:
        """Returns whether no other process serves the address.

        If another process serves it, that process can detect from then on that it has a successor.
        """
        if not self.files:
            return True
        serving_file, successor_file = self.files
        if not _lock(serving_file):
            _lock(successor_file)
            return False
        fcntl.flock(successor_file, fcntl.LOCK_UN)
        return True

    def successor_is_running(self) -> bool:
        """Returns whether a process that takes over from this one is running."""
        if not self.files:
            return False
        if not _lock(self.files[1]):
            return True
        fcntl.flock(self.files[1], fcntl.LOCK_UN)
        return False


def _lock(file):
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        return False
    return True
