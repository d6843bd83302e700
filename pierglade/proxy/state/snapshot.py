"""Exports learned statistics for `pierglade/snapshot/` and restores them, as plain values."""

from pierglade.model.endpoint import EndpointState
from pierglade.snapshot.aging import decayed_statistics
from pierglade.snapshot.stored_names import STORED_IDEMPOTENCY

# Times are tenths of a millisecond.
STATUSES = {EndpointState.READY: "SERVING", EndpointState.DRAINING: "DRAINING"}


class SnapshotExchange:
    """Exports the statistics that a snapshot keeps over a restart, and restores them."""

    def __init__(self, step, balancers, endpoints):
        self.step = step
        self.balancers = balancers
        self.endpoints = endpoints

    def export(self, keys, row_keys):
        """Returns copies of (request classes, backends, total work, endpoint list entries).

        The first two are dictionaries by name. `backends` has only ready ones, each as (address,
        started, statistics).
        """
        rows, figures = self.balancers.current.export_statistics(keys)
        request_classes = {
            each.name: {
                "expected": each.latency_objective,
                "hard_limit": each.request_timeout,
                "repeats": STORED_IDEMPOTENCY[each.idempotency],
                **{key: row[key] for key in row_keys},
            }
            for each, row in zip(self.balancers.settings.request_classes, rows, strict=False)
        }
        backends, work = {}, 0
        for name, statistics in figures.items():
            backend = self.endpoints.records.get(name)
            if backend is not None:
                statistics["pauses"] = list(statistics["pauses"])
                work += statistics["work"]
                backends[name] = backend.address, backend.started, statistics
        entries = [
            {
                "name": name,
                "address": backend.address,
                "status": STATUSES[backend.state],
                "zone": backend.entry.zone,
                "group": backend.entry.cell,
                "weight": backend.entry.weight,
                "since_ms": backend.started // 10,
            }
            for name, backend in self.endpoints.records.items()
            if backend.state in STATUSES
        ]
        return request_classes, backends, work, entries

    def restore(self, snapshot, half_life):
        """Restores the valid part of a Snapshot; returns a text for the log that describes it.

        Raises UntrustedSnapshotError if nothing is valid. `half_life`: ticks.
        """
        fresh, _ = self.balancers.current.export_statistics(())
        listed = {
            name: (backend.address, backend.started)
            for name, backend in self.endpoints.records.items()
            if backend.state == EndpointState.READY
        }
        rows, backends, line = decayed_statistics(
            snapshot,
            self.step.now,
            half_life,
            self.balancers.settings.request_classes,
            fresh,
            listed,
        )
        self.balancers.current.restore_statistics(rows, backends)
        return line
