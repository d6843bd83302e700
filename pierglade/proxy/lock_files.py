"""Files in $TMPDIR by which the processes that serve one address find each other, and their locks.

The kernel releases a lock when its process ends, even if it crashes.
"""

import fcntl
import os
import re

DEFAULT_FOLDER = "/tmp"  # used where $TMPDIR is not set


def open_shared(address: str, suffix: str, folder: str | None = None) -> int:
    """Opens or creates the file with this suffix of the processes that serve `address`.

    `folder`: None for $TMPDIR. Returns the descriptor.

    Raises:
        OSError: the file can be neither opened nor created.
    """
    folder = folder or os.environ.get("TMPDIR") or DEFAULT_FOLDER
    name = f"pierglade-{re.sub(r'[^0-9.]', '-', address)}.{suffix}"
    flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | os.O_NOFOLLOW
    return os.open(os.path.join(folder, name), flags, 0o600)


def lock(file: int) -> bool:
    """Locks a file until this process ends; returns False if another process has locked it.

    Raises:
        OSError: the file system can't lock it.
    """
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        return False
    return True


def unlock(file: int):
    """Releases the lock of a file."""
    fcntl.flock(file, fcntl.LOCK_UN)
