"""Measures the cost of snapshots with 10, 100, 500 and 1,000 backends.

    .venv/bin/python experiments/learned/size.py

Prints the size in bytes, the event loop's time to gather the content, the thread's time to write it, and the times
to read and to restore it.
"""

import os
import sys
import tempfile
import time
from collections import deque

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__)))))

from pierglade.snapshot import aging, schema, store
from tests.support.scene import StateMachineHarness, entry  # noqa: E402


def time_call(call, times=15):
    """Returns the median and the maximum duration of the call in ms."""
    durations = []
    for _ in range(times):
        began = time.perf_counter()
        call()
        durations.append((time.perf_counter() - began) * 1000)
    return sorted(durations)[times // 2], max(durations)


def main():
    """Prints a row for each number of backends."""
    print("backends    bytes   gather ms (max)   write ms (max)  read ms   restore ms")
    for count in (10, 100, 500, 1000):
        harness = StateMachineHarness([entry(f"b{n}") for n in range(count)])
        node = harness.state_machine.balancers.current
        for backend in range(count):
            node.pause_forecast.pauses[backend] = deque(range(0, 9000, 1000))
            node.pause_forecast.next_pause_answered[backend] = 9000.0
        with tempfile.TemporaryDirectory(dir=".") as path:
            snapshot_store = store.SnapshotStore(path, "n1")

            def gather():
                request_classes, backends, _, entries = harness.state_machine.snapshot.export(
                    aging.BACKEND_KEYS, aging.REQUEST_CLASS_KEYS
                )
                return schema.Snapshot(
                    "n1",
                    harness.now,
                    0,
                    0.0,
                    request_classes,
                    {name: schema.StoredBackend(*fields) for name, fields in backends.items()},
                    1,
                    entries,
                )

            snapshot = gather()
            data = schema.encode(snapshot)
            snapshot_store.write(data)
            timings = (
                time_call(gather),
                time_call(lambda: snapshot_store.write(schema.encode(snapshot))),
                time_call(snapshot_store.read),
                time_call(lambda: harness.state_machine.snapshot.restore(snapshot, 600000)),
            )
        print(
            f"{count:8} {len(data):8}  {timings[0][0]:8.2f} ({timings[0][1]:.2f})  {timings[1][0]:8.2f} "
            f"({timings[1][1]:.2f})  {timings[2][0]:7.2f}  {timings[3][0]:11.2f}"
        )


if __name__ == "__main__":
    main()
