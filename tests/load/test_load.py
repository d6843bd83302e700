"""The load generator: latency under a stall, arrival times, traces, and reported failures."""

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

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class Target(threading.Thread):
    """A server that responds at once, except during one stall.

    The stall begins `stall_start_s` after the first request and lasts `stall_s`.
    """

    def __init__(self, stall_start_s=1e9, stall_s=0.0):
        super().__init__(daemon=True)
        self.stall_start_s, self.stall_s, self.first_request_at = stall_start_s, stall_s, None
        self.listening = threading.Event()
        self.start()
        self.listening.wait(5)

    def run(self):
        """Runs the server until `end` is called."""
        asyncio.run(self.serve())

    async def serve(self):
        """Listens on a free loopback port."""
        self.stopping = asyncio.Event()
        self.loop = asyncio.get_running_loop()
        server = await asyncio.start_server(self.respond, "127.0.0.1", 0, backlog=4096)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        self.listening.set()
        await self.stopping.wait()
        server.close()

    async def respond(self, reader, writer):
        """Responds to each request of a connection, after the stall if it falls into it."""
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                now = time.monotonic()
                self.first_request_at = self.first_request_at or now
                elapsed = now - self.first_request_at
                if self.stall_start_s <= elapsed < self.stall_start_s + self.stall_s:
                    await asyncio.sleep(self.stall_start_s + self.stall_s - elapsed)
                writer.write(RESPONSE)
        except (asyncio.IncompleteReadError, OSError):
            writer.close()

    def end(self):
        """Stops the server and waits for its thread."""
        self.loop.call_soon_threadsafe(self.stopping.set)
        self.join(5)


class LoadGenerator(TraceTest):
    """Sent loads, their results and the reports of what went wrong."""

    def test_a_stall_counts_in_full(self):
        """Latency counts from the planned send time, also during a stall of the target.

        200 requests per second for 2 s, with a stall of 0.6 s: p90 is 0.4 s and p99 0.58 s, more on
        a busy machine. A generator that waits for its responses would report 0.001 s.
        """
        target = Target(0.7, 0.6)
        load = run.Load(
            target.address,
            "/look/x",
            plan.arrival_times([plan.ArrivalPattern(rate=200, seconds=2)], "even", 1),
        )
        result = run.run_load(load).summary()
        target.end()
        latency_ms = result["latency_ms"]
        self.check(
            "load_stall",
            [
                f"planned {result['planned']}, sent {result['sent']}, answered {result['answered']}",
                f"p90 {340 < latency_ms['p90'] < 800}, p99 {520 < latency_ms['p99'] < 1000}, max at least "
                f"the stall's length {latency_ms['max'] > 570}",
            ],
        )

    def test_arrival_times_follow_the_rate(self):
        """Request n is due when the area under the rate reaches n, and none is missing."""
        lines = []
        for patterns, spacing in (
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
            times = plan.arrival_times(patterns, spacing, 3)
            counts = np.histogram(
                times, bins=4, range=(0, sum(pattern.seconds for pattern in patterns))
            )[0]
            if spacing == "poisson":
                is_poisson = (
                    abs(len(times) - 10000) < 400 and abs(np.std(np.diff(times)) * 1000 - 1) < 0.1
                )
                lines.append(
                    f"poisson: near 10000 with gaps that deviate like those of a Poisson process {bool(is_poisson)}"
                )
            else:
                lines.append(
                    f"{patterns[-1].shape}: {len(times)}, by quarters {counts.tolist()}, in order "
                    f"{bool((np.diff(times) >= 0).all())}"
                )
        self.check("load_plans", lines)

    def test_recorded_traces(self):
        """Valid traces are read; each kind of invalid trace is reported with its file and line."""
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
                    times, rows = plan.read_trace(file.name, 2.0)
                    lines.append(
                        f"{times.tolist()} {[(row.request_class, row.customer, row.size) for row in rows]}"
                    )
                except InvalidPlanError as error:
                    lines.append(str(error).replace(file.name, "FILE"))
        self.check("load_traces", lines)

    def test_a_killed_worker_invalidates_the_run(self):
        """A partial result must not pass for a whole one when a worker is killed."""
        target = Target()
        load = run.Load(
            target.address,
            "/",
            plan.arrival_times([plan.ArrivalPattern(rate=50, seconds=30)], "even", 1),
        )
        run_worker = run._run_worker

        def kill_second_worker(load, partition, start_time, pipe):
            if partition[0]:
                os.kill(os.getpid(), signal.SIGKILL)
            run_worker(load, partition, start_time, pipe)

        load.moments = load.moments[:20]
        with (
            mock.patch.object(run, "_run_worker", kill_second_worker),
            self.assertRaises(run.InvalidRunError) as raised,
        ):
            run.run_load(load, 2)
        target.end()
        self.check("load_void", [str(raised.exception)])

    def test_reports_falling_behind_and_partial_results_when_stopped(self):
        """A suspended load reports that it fell behind; Ctrl-C leaves the results so far."""
        target, lines = Target(), []
        with tempfile.TemporaryDirectory() as folder:
            out = str(pathlib.Path(folder) / "out.json")
            for seconds, signals in (
                ("1", (signal.SIGSTOP, signal.SIGCONT)),
                ("60", (signal.SIGINT,)),
            ):
                target.first_request_at = None
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
                while target.first_request_at is None:
                    time.sleep(0.01)
                for number in signals:
                    child.send_signal(number)
                    time.sleep(0.3 if number is signal.SIGSTOP else 0)
                _, errors = child.communicate(timeout=100)
                summary = json.loads(pathlib.Path(out).read_text())
                lines += [
                    f"exit {child.returncode}: {errors.strip()}",
                    f"    behind {summary['behind']}, "
                    f"all sent {summary['sent'] == summary['planned']}, "
                    f"keys {' '.join(sorted(summary))}",
                ]
        target.end()
        self.check("load_behind", lines)

    def test_targets_outside_loopback_are_refused(self):
        """A load must never be sent to another machine."""
        lines = []
        for url in (
            "http://10.0.0.1:80/",
            "http://example.org/",
            "https://127.0.0.1/",
            "ftp://127.0.0.1/",
            "http://127.0.0.1:99999/",
        ):
            completed = subprocess.run(
                [sys.executable, "-m", "pierglade.cli", "load", "--target", url],
                capture_output=True,
                text=True,
            )
            lines.append(f"{completed.returncode} {completed.stderr.strip()}")
        self.check("load_refused", lines)
