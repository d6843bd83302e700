"""Two processes of one node during a takeover: each learns from locks whether there is another.

The serving process holds a lock on the first of two files in $TMPDIR to its end, however it ends.
A process that finds it locked is the successor, and locks the second file until the first is free.
The files are empty and may stay.
"""

import fcntl
import os
import re

FOLDER = "/tmp"  # where $TMPDIR is not set
POLL_INTERVAL = 0.2  # s; between checks whether the process before has ended


class ProcessLock:
    """The locks of the process that serves `address`, in `folder` or $TMPDIR."""

    def __init__(self, address: str, folder: str | None = None):
        folder = folder or os.environ.get("TMPDIR") or FOLDER
        stem = os.path.join(folder, "pierglade-" + re.sub(r"[^0-9.]", "-", address))
        self.files = []
        try:
            for place in ("serves", "follows"):
                self.files.append(
                    os.open(
                        f"{stem}.{place}",
                        os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | os.O_NOFOLLOW,
                        0o600,
                    )
                )
        except OSError:
            self.files = []  # No place for the files: it serves as the sole process.

    def is_sole_process(self) -> bool:
        """Whether no other process serves here; one that does can now see its successor."""
        if not self.files:
            return True
        serves, follows = self.files
        if not _lock(serves):
            _lock(follows)
            return False
        fcntl.flock(follows, fcntl.LOCK_UN)
        return True

    def successor_is_running(self) -> bool:
        """Whether a process that takes over from this one is running."""
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
