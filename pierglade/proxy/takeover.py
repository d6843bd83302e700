"""File locks by which two processes of one node detect each other during a takeover.

The serving process locks the first of two files in $TMPDIR; the kernel releases the lock when the
process ends, even if it crashes. A process that finds the first file locked is the successor, and
locks the second file until the first is free. The files are empty and need not be removed.
"""

import contextlib

from pierglade.proxy import lock_files

POLL_INTERVAL_S = 0.2  # interval between checks whether the earlier process has ended


class ProcessLock:
    """The locks of the process that serves `address`, in `folder` or $TMPDIR."""

    def __init__(self, address: str, folder: str | None = None):
        self.files = []
        # If the files cannot be created, this process serves as the sole one.
        with contextlib.suppress(OSError):
            self.files = [
                lock_files.open_shared(address, role, folder) for role in ("serves", "follows")
            ]

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
        lock_files.unlock(successor_file)
        return True

    def successor_is_running(self) -> bool:
        """Returns whether a process that takes over from this one is running."""
        if not self.files:
            return False
        if not _lock(self.files[1]):
            return True
        lock_files.unlock(self.files[1])
        return False


def _lock(file):
    try:
        return lock_files.lock(file)
    except OSError:
        return False
