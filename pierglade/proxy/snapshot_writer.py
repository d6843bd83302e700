"""Writes what a node has learned, beside its work: gathered in the event loop, written by a thread.

Requests never wait for the disk.
"""

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

import gevent

from pierglade.snapshot import aging, schema
from pierglade.snapshot.store import SnapshotStore

if TYPE_CHECKING:
    from pierglade.proxy.server import ProxyServer

JITTER = 0.2  # share of the period, random: nodes that start together must not write together
MAX_BACKOFF = 16  # times the period; the longest gap between tries where nothing can be written
FINAL_WRITE_S = 0.6  # s; SIGKILL may follow a moment later


@dataclass(slots=True)
class SnapshotSettings:
    """The `[learning]` table of the operator's file."""

    folder: str
    every_s: float
    half_life_s: float
    most_mb: float


class SnapshotWriter:
    """Restores a node's snapshot at its start and writes a new one periodically and at its end."""

    def __init__(self, host: "ProxyServer", settings: SnapshotSettings, name: str) -> None:
        self.host, self.settings = host, settings
        self.started_at = host.clock.now()
        self.counted_at, self.completed, self.request_rate = self.started_at, 0, 0.0
        self.backoff, self.reason = 1, ""
        self.store, self.snapshot = None, None
        try:
            self.store = SnapshotStore(settings.folder, name, settings.most_mb)
            self.snapshot, self.file, rejected = self.store.read()
            for line in rejected:
                host.note("snapshot_rejected", error=line)
        except OSError as error:
            self._write_failed(error)

    def newer_endpoints(self, known: dict | None) -> dict | None:
        """Returns the endpoint list to start with: `known`, or the snapshot's if newer."""
        return known if self.snapshot is None else aging.newer_list(self.snapshot, known)

    def restore(self) -> None:
        """Restores what still holds; called once the endpoint list is known."""
        if self.snapshot is None:
            return
        try:
            line = self.host.reducer.snapshot.restore(
                self.snapshot, int(self.settings.half_life_s * 10000)
            )
            self.host.note("snapshot_restored", file=self.file, summary=line)
        except schema.UntrustedSnapshotError as error:
            self.host.note("snapshot_rejected", error=f"{self.file}: {error}")
        self.snapshot = None

    def run(self) -> None:
        """Writes a snapshot each period, for as long as the node runs."""
        while True:
            period = self.settings.every_s * self.backoff
            gevent.sleep(period * (1 + JITTER * (random.random() - 0.5)))
            self.write()

    def write(self) -> bool:
        """Writes a snapshot now; returns whether one was written.

        Never after an internal error: what was learned may be what is wrong.
        """
        if self.host.faults or self.store is None:
            return False
        gathered = self._gather()
        # Not in the event loop: a disk may need seconds.
        error = gevent.get_hub().threadpool.spawn(self._write, gathered).get()
        if error is not None:
            self._write_failed(error)
            return False
        self.backoff, self.reason = 1, ""
        return True

    def write_final(self) -> bool | None:
        """Writes the last snapshot before the node ends, within FINAL_WRITE_S."""
        with gevent.Timeout(FINAL_WRITE_S, False):
            return self.write()

    def _gather(self) -> schema.Snapshot:
        now = self.host.clock.now()
        request_classes, backends, completed, entries = self.host.reducer.snapshot.export(
            aging.KEYS, aging.ROW_KEYS
        )
        if now > self.counted_at and completed >= self.completed:
            self.request_rate = (completed - self.completed) / (now - self.counted_at)
        self.counted_at, self.completed = now, completed
        return schema.Snapshot(
            node=self.store.name,
            written_at=now,
            node_started_at=self.started_at,
            request_rate=self.request_rate,
            request_classes=request_classes,
            backends={name: schema.StoredBackend(*stored) for name, stored in backends.items()},
            endpoints_version=self.host.reducer.endpoints.version,
            endpoints=entries,
        )

    def _write(self, snapshot: schema.Snapshot) -> OSError | None:
        """Runs in a thread; returns the error that it met."""
        try:
            if not self.store.lock_files():
                return OSError(11, "another process of this name keeps its own there")
            self.store.write(schema.encode(snapshot))
        except OSError as error:
            return error
        return None

    def _write_failed(self, error: OSError) -> None:
        """Logs each new reason once, and makes the periods between writes longer."""
        self.backoff = min(MAX_BACKOFF, self.backoff * 2)
        reason = error.strerror or str(error)
        if reason != self.reason:
            self.reason = reason
            self.host.note("snapshot_write_failed", error=f"{self.settings.folder}: {reason}")
