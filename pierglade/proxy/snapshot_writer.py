"""Writes snapshots of a node's statistics: collected in the event loop, written by a thread.

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

JITTER_RATIO = 0.2  # random part of the period; spreads the writes of nodes started together
MAX_BACKOFF = 16  # longest interval between failing writes, as a multiple of the period
FINAL_WRITE_S = 0.6  # time limit of the last write, as SIGKILL may follow soon after SIGTERM


@dataclass(slots=True)
class SnapshotSettings:
    """The `[learning]` table of the operator's configuration file."""

    folder: str
    every_s: float
    half_life_s: float
    most_mb: float


class SnapshotWriter:
    """Restores a node's snapshot at the start; writes a new one periodically and at the end."""

    def __init__(self, server: "ProxyServer", settings: SnapshotSettings, name: str) -> None:
        self.server, self.settings = server, settings
        self.started_at = server.clock.now()
        self.rate_measured_at, self.completed, self.request_rate = self.started_at, 0, 0.0
        self.backoff, self.last_failure = 1, ""
        self.store, self.snapshot = None, None
        try:
            self.store = SnapshotStore(settings.folder, name, settings.most_mb)
            self.snapshot, self.file, rejected = self.store.read()
            for message in rejected:
                server.note("snapshot_rejected", error=message)
        except OSError as error:
            self._write_failed(error)

    def newer_endpoints(self, known: dict | None) -> dict | None:
        """Returns the endpoint list to start with: `known`, or that of the snapshot if newer."""
        return known if self.snapshot is None else aging.newer_endpoint_list(self.snapshot, known)

    def restore(self) -> None:
        """Restores the figures that are still valid; called once the endpoint list is loaded."""
        if self.snapshot is None:
            return
        try:
            message = self.server.state_machine.snapshot.restore(
                self.snapshot, int(self.settings.half_life_s * 10000)
            )
            self.server.note("snapshot_restored", file=self.file, summary=message)
        except schema.UntrustedSnapshotError as error:
            self.server.note("snapshot_rejected", error=f"{self.file}: {error}")
        self.snapshot = None

    def run(self) -> None:
        """Writes a snapshot each period until the node ends."""
        while True:
            period = self.settings.every_s * self.backoff
            gevent.sleep(period * (1 + JITTER_RATIO * (random.random() - 0.5)))
            self.write()

    def write(self) -> bool:
        """Writes a snapshot now; returns whether one was written.

        Nothing is written after an internal error, as the learned figures may be its cause.
        """
        if self.server.faults or self.store is None:
            return False
        gathered = self._gather()
        # A write may take seconds, so it runs outside the event loop.
        error = gevent.get_hub().threadpool.spawn(self._write, gathered).get()
        if error is not None:
            self._write_failed(error)
            return False
        self.backoff, self.last_failure = 1, ""
        return True

    def write_final(self) -> bool | None:
        """Writes the last snapshot before the node ends, within FINAL_WRITE_S."""
        with gevent.Timeout(FINAL_WRITE_S, False):
            return self.write()

    def _gather(self) -> schema.Snapshot:
        now = self.server.clock.now()
        request_classes, backends, completed, entries = self.server.state_machine.snapshot.export(
            aging.BACKEND_KEYS, aging.REQUEST_CLASS_KEYS
        )
        if now > self.rate_measured_at and completed >= self.completed:
            self.request_rate = (completed - self.completed) / (now - self.rate_measured_at)
        self.rate_measured_at, self.completed = now, completed
        return schema.Snapshot(
            node=self.store.name,
            written_at=now,
            node_started_at=self.started_at,
            request_rate=self.request_rate,
            request_classes=request_classes,
            backends={name: schema.StoredBackend(*fields) for name, fields in backends.items()},
            endpoints_version=self.server.state_machine.endpoints.version,
            endpoints=entries,
        )

    def _write(self, snapshot: schema.Snapshot) -> OSError | None:
        """Writes the snapshot, in a thread; returns the error that occurred."""
        try:
            if not self.store.lock_files():
                return OSError(11, "another process with this node name has locked the snapshots")
            self.store.write(schema.encode(snapshot))
        except OSError as error:
            return error
        return None

    def _write_failed(self, error: OSError) -> None:
        """Logs each new reason once, and doubles the period between writes up to the maximum."""
        self.backoff = min(MAX_BACKOFF, self.backoff * 2)
        reason = error.strerror or str(error)
        if reason != self.last_failure:
            self.last_failure = reason
            self.server.note("snapshot_write_failed", error=f"{self.settings.folder}: {reason}")
