"""Two processes of one node, while a new version takes over: each knows by a lock whether there is another.

Who serves holds the first of two files in $TMPDIR locked to its end, however that comes. Who finds it locked
is the one to follow, and holds the second until the first is free. The files say nothing and may stay.
"""

import fcntl
import os
import re

FOLDER = "/tmp"  # where $TMPDIR is not set
AGAIN = 0.2  # s; between looks whether the process before has ended


class Tenure:
    def __init__(self, address, folder=None):
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
            self.files = []  # Nowhere to say so: it serves as if it were alone.

    def alone(self):
        """Whether no other process serves here; if one does, it can see that it is followed."""
        if not self.files:
            return True
        serves, follows = self.files
        if not _lock(serves):
            _lock(follows)
            return False
        fcntl.flock(follows, fcntl.LOCK_UN)
        return True

    def followed(self):
        """Whether a process has come that takes over from this one."""
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
