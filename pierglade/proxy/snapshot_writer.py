"""Keeps what a node has learned, beside its work: gathered in the loop, written by a thread, never waited
for."""

import random
from dataclasses import dataclass

import gevent

from pierglade.snapshot import aging as ageing
from pierglade.snapshot import schema as form
from pierglade.snapshot.store import Folder

JITTER = 0.2  # share of the period, by chance: nodes that start together must not write together
GAPS = 16  # times the period; the longest gap between tries where nothing can be written
LAST_S = 0.6  # s; for the last writing at the end, which may come a moment before SIGKILL


@dataclass(slots=True)
class Keeping:
    """What the operator's file says of it."""

    folder: str
    every_s: float
    half_life_s: float
    most_mb: float


class Learning:
    def __init__(self, host, keeping, name):
        self.host, self.keeping = host, keeping
        self.began = host.clock.now()
        self.work_at, self.work, self.asked = self.began, 0, 0.0
        self.gap, self.why = 1, ""
        self.files, self.snapshot = None, None
        try:
            self.files = Folder(keeping.folder, name, keeping.most_mb)
            self.snapshot, file, wrong = self.files.read()
            for line in wrong:
                host.note("snapshot_rejected", error=line)
            self.file = file
        except OSError as fault:
            self._fails(fault)

    def list_or(self, known):
        """The list to start with: the configuration's, or the snapshot's where that is newer."""
        return known if self.snapshot is None else ageing.newer_list(self.snapshot, known)

    def remember(self):
        """After the list: the node takes back what is still true."""
        if self.snapshot is None:
            return
        try:
            line = self.host.reducer.snapshot.restore(
                self.snapshot, int(self.keeping.half_life_s * 10000)
            )
            self.host.note("snapshot_restored", file=self.file, summary=line)
        except ageing.Unworthy as fault:
            self.host.note("snapshot_rejected", error=f"{self.file}: {fault}")
        self.snapshot = None

    def run(self):
        while True:
            period = self.keeping.every_s * self.gap
            gevent.sleep(period * (1 + JITTER * (random.random() - 0.5)))
            self.keep()

    def keep(self):
        """Writes a snapshot now; whether one was written. Never after a fault of ours: it may be what is
        wrong."""
        if self.host.faults or self.files is None:
            return False
        gathered = self._gather()
        # What takes long is not done in the loop: a disk may need seconds.
        fault = gevent.get_hub().threadpool.spawn(self._write, gathered).get()
        if fault is not None:
            self._fails(fault)
            return False
        self.gap, self.why = 1, ""
        return True

    def last(self):
        """At the end, within its time."""
        with gevent.Timeout(LAST_S, False):
            return self.keep()

    def _gather(self):
        now = self.host.clock.now()
        request_classes, backends, work, entries = self.host.reducer.snapshot.export(
            ageing.KEYS, ageing.ROW_KEYS
        )
        if now > self.work_at and work >= self.work:
            self.asked = (work - self.work) / (now - self.work_at)
        self.work_at, self.work = now, work
        return form.Snapshot(
            node=self.files.name,
            written=now,
            began=self.began,
            asked=self.asked,
            request_classes=request_classes,
            backends={name: form.Backend(*told) for name, told in backends.items()},
            index=self.host.reducer.endpoints.version,
            list=entries,
        )

    def _write(self, snapshot):
        """In a thread: None, or the fault."""
        try:
            if not self.files.lock_it():
                return OSError(11, "another process of this name keeps its own there")
            self.files.write(form.encode(snapshot))
        except OSError as fault:
            return fault
        return None

    def _fails(self, fault):
        """One line for each new reason, and tries farther apart."""
        self.gap = min(GAPS, self.gap * 2)
        why = fault.strerror or str(fault)
        if why != self.why:
            self.why = why
            self.host.note("snapshot_write_failed", error=f"{self.keeping.folder}: {why}")
