"""The load generator against arithmetic: a stall counts in full, and what it could not do it says."""

import asyncio
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import threading
import time
from unittest import mock

import numpy as np

from pierglade.load import plan, run
from pierglade.simulation.plan import InvalidPlanError
from tests.support.scene import TraceTest

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class Target(threading.Thread):
    """Answers at once, but nothing from `stalls` on for `for_s`, seconds after its first request."""

    def __init__(self, stalls=1e9, for_s=0.0):
        super().__init__(daemon=True)
        self.stalls, self.for_s, self.first = stalls, for_s, None
        self.up = threading.Event()
        self.start()
        self.up.wait(5)

    def run(self):
        asyncio.run(self.serve())

    async def serve(self):
        self.over = asyncio.Event()
        self.loop = asyncio.get_running_loop()
        server = await asyncio.start_server(self.answer, "127.0.0.1", 0, backlog=4096)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        self.up.set()
        await self.over.wait()
        server.close()

    async def answer(self, reader, writer):
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                now = time.monotonic()
                self.first = self.first or now
                since = now - self.first
                if self.stalls <= since < self.stalls + self.for_s:
                    await asyncio.sleep(self.stalls + self.for_s - since)
                writer.write(ANSWER)
        except (asyncio.IncompleteReadError, OSError):
            writer.close()

    def end(self):
        self.loop.call_soon_threadsafe(self.over.set)
        self.join(5)


class Loads(TraceTest):
    def test_a_stall_counts_in_full(self):
        """0.6 s of 2 s at an even 200 a second: p90 0.4 s and p99 0.58 s from the planned moment.

        A busy machine may add to them; a load that waits for its answers shows 0.001 s."""
        target = Target(0.7, 0.6)
        load = run.Load(
            target.address,
            "/look/x",
            plan.moments([plan.ArrivalPattern(rate=200, seconds=2)], "even", 1),
        )
        result = run.play(load).summary()
        target.end()
        at = result["latency_ms"]
        self.check(
            "load_stall",
            [
                f"planned {result['planned']}, sent {result['sent']}, answered {result['answered']}",
                f"p90 {340 < at['p90'] < 800}, p99 {520 < at['p99'] < 1000}, max at least the stall's length "
                f"{at['max'] > 570}",
            ],
        )

    def test_plans(self):
        """So many as the area under the rate, and at the moments at which it is reached."""
        lines = []
        for told, spacing in (
            ([plan.ArrivalPattern(rate=100, seconds=2)], "even"),
            ([plan.ArrivalPattern(shape="ramp", rate=0, to=200, seconds=2)], "even"),
            ([plan.ArrivalPattern(shape="wave", rate=50, to=150, seconds=10)], "even"),
            (
                [
                    plan.ArrivalPattern(rate=10, seconds=1),
                    plan.ArrivalPattern(shape="surge", rate=10, seconds=1),
                ],
                "even",
            ),
            ([plan.ArrivalPattern(rate=1000, seconds=10)], "poisson"),
            ([plan.ArrivalPattern(rate=0, seconds=1)], "even"),
        ):
            at = plan.moments(told, spacing, 3)
            counts = np.histogram(at, bins=4, range=(0, sum(s.seconds for s in told)))[0]
            if spacing == "poisson":
                near = abs(len(at) - 10000) < 400 and abs(np.std(np.diff(at)) * 1000 - 1) < 0.1
                lines.append(
                    f"poisson: near 10000 with gaps as uneven as chance makes them {bool(near)}"
                )
            else:
                lines.append(
                    f"{told[-1].shape}: {len(at)}, by quarters {counts.tolist()}, in order "
                    f"{bool((np.diff(at) >= 0).all())}"
                )
        self.check("load_plans", lines)

    def test_traces(self):
        lines = []
        for text in (
            "offset,offering,customer,size\n0.5,look,acme,3\n0.7,pay,,0\n",
            '{"offset": 1, "offering": "look"}\n\n{"offset": 2}\n',
            "offset\n2\n1\n",
            "offset\nsoon\n",
            "",
            "when\n1\n",
            '{"offset": 1}\n{"offset"\n',
            '{"offset": 1}\n[2]\n',
            "offset,size\n1,-4\n",
        ):
            with tempfile.NamedTemporaryFile("w", suffix=".trace") as file:
                file.write(text)
                file.flush()
                try:
                    at, rows = plan.read_trace(file.name, 2.0)
                    lines.append(
                        f"{at.tolist()} {[(row.request_class, row.customer, row.size) for row in rows]}"
                    )
                except InvalidPlanError as fault:
                    lines.append(str(fault).replace(file.name, "FILE"))
        self.check("load_traces", lines)

    def test_a_worker_that_is_killed_voids_the_run(self):
        target = Target()
        load = run.Load(
            target.address, "/", plan.moments([plan.ArrivalPattern(rate=50, seconds=30)], "even", 1)
        )
        work = run._work

        def dies(load, share, begins, pipe):
            if share[0]:
                os.kill(os.getpid(), signal.SIGKILL)
            work(load, share, begins, pipe)

        load.moments = load.moments[:20]
        with mock.patch.object(run, "_work", dies), self.assertRaises(run.InvalidRunError) as void:
            run.play(load, 2)
        target.end()
        self.check("load_void", [str(void.exception)])

    def test_says_that_it_fell_behind_and_what_it_saw_when_stopped(self):
        """Kept from its core for a while it says so, never silently less; Ctrl-C leaves what was seen."""
        target, lines = Target(), []
        with tempfile.TemporaryDirectory() as folder:
            out = str(pathlib.Path(folder) / "out.json")
            for seconds, signals in (
                ("1", (signal.SIGSTOP, signal.SIGCONT)),
                ("60", (signal.SIGINT,)),
            ):
                target.first = None
                child = subprocess.Popen(
                    [
                        sys.executable,
                        "-m",
                        "pierglade.cli",
                        "load",
                        "--target",
                        f"http://{target.address}/x",
                        "--rate",
                        "100",
                        "--seconds",
                        seconds,
                        "--json",
                        out,
                    ],
                    stdout=subprocess.PIPE,
                    stderr=subprocess.PIPE,
                    text=True,
                )
                while target.first is None:
                    time.sleep(0.01)
                for number in signals:
                    child.send_signal(number)
                    time.sleep(0.3 if number is signal.SIGSTOP else 0)
                _, errors = child.communicate(timeout=100)
                told = json.loads(pathlib.Path(out).read_text())
                lines += [
                    f"exit {child.returncode}: {errors.strip()}",
                    f"    behind {told['behind']}, "
                    f"all sent {told['sent'] == told['planned']}, keys {' '.join(sorted(told))}",
                ]
        target.end()
        self.check("load_behind", lines)

    def test_outside_of_loopback_is_refused(self):
        lines = []
        for url in (
            "http://10.0.0.1:80/",
            "http://example.org/",
            "https://127.0.0.1/",
            "ftp://127.0.0.1/",
            "http://127.0.0.1:99999/",
        ):
            done = subprocess.run(
                [sys.executable, "-m", "pierglade.cli", "load", "--target", url],
                capture_output=True,
                text=True,
            )
            lines.append(f"{done.returncode} {done.stderr.strip()}")
        self.check("load_refused", lines)
