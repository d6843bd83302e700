"""The record of a run: what was sent, answered and run, in the order of time."""

import threading
import time
from pathlib import Path


class Record:
    """Writes lines with the seconds since the start of the run to `path`."""

    def __init__(self, path: Path):
        self.started_at = time.monotonic()
        self.file = open(path, "w")  # noqa: SIM115 (open for the whole run)
        self.lock = threading.Lock()

    def now(self) -> float:
        """Returns the seconds since the start of the run."""
        return time.monotonic() - self.started_at

    def note(self, text: str):
        """Writes one line."""
        with self.lock:
            self.file.write(f"{self.now():9.4f} {text}\n")
            self.file.flush()
