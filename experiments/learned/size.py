"""What keeping costs: bytes, the loop's time to gather, the thread's to write, at 10, 100 and 1,000 backends.

.venv/bin/python experiments/learned/size.py
"""

import os
import sys
import tempfile
import time
from collections import deque

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__)))))

from pierglade.snapshot import aging as ageing
from pierglade.snapshot import schema as form
from pierglade.snapshot import store as files
from tests.support.scene import Desk, entry  # noqa: E402


def middle(call, times=15):
    spans = []
    for _ in range(times):
        began = time.perf_counter()
        call()
        spans.append((time.perf_counter() - began) * 1000)
    return sorted(spans)[times // 2], max(spans)


def main():
    print("backends    bytes  gather ms (most)  write ms (most)  read ms  remember ms")
    for count in (10, 100, 500, 1000):
        desk = Desk([entry(f"b{n}") for n in range(count)])
        node = desk.reducer.balancers.current
        for b in range(count):
            node.pause_forecast.pauses[b] = deque(range(0, 9000, 1000))
            node.pause_forecast.next_pause_answered[b] = 9000.0
        with tempfile.TemporaryDirectory(dir=".") as path:
            folder = files.SnapshotStore(path, "n1")

            def gather():
                request_classes, backends, _, entries = desk.reducer.snapshot.export(
                    ageing.KEYS, ageing.ROW_KEYS
                )
                return form.Snapshot(
                    "n1",
                    desk.now,
                    0,
                    0.0,
                    request_classes,
                    {name: form.StoredBackend(*told) for name, told in backends.items()},
                    1,
                    entries,
                )

            one = gather()
            data = form.encode(one)
            folder.write(data)
            rows = (
                middle(gather),
                middle(lambda: folder.write(form.encode(one))),
                middle(folder.read),
                middle(lambda: desk.reducer.snapshot.restore(one, 600000)),
            )
        print(
            f"{count:8} {len(data):8}  {rows[0][0]:8.2f} ({rows[0][1]:.2f})  {rows[1][0]:8.2f} "
            f"({rows[1][1]:.2f})  {rows[2][0]:7.2f}  {rows[3][0]:11.2f}"
        )


if __name__ == "__main__":
    main()
