"""Measures known clients during floods from other loopback addresses, with connection limits and without.

    .venv/bin/python experiments/admission/floods.py [SECONDS]

Runs a stand-in fleet, one node with 1,024 sockets, 150 requests/s from a known address, and each kind of flood in
turn. Prints the fraction of the known client's requests answered with 200 within 250 ms, their p99 latency, and
the clients, table rows and memory of the node. Everything ends by itself; nothing is sent outside 127.0.0.0/8.
"""

import asyncio
import json
import multiprocessing
import os
import random
import sys
import time

import psutil

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__)))))

from pierglade.load import plan, run  # noqa: E402
from pierglade.processes.children import Children, free_port  # noqa: E402 - from the checkout that contains this file

RATE, EXPECTED_MS = 150, 250  # RATE in requests/s
OPEN_CONNECTIONS = 1200  # that a flood tries to keep open
TRICKLE_ADDRESSES = 5000  # client addresses, each with at most one request per second
FLOOD_PROCESSES = 2
REQUEST = b"GET /look/x HTTP/1.1\r\nHost: h\r\nX-Trace-Id: %s\r\nX-Expires-In-Ms: 1000\r\n\r\n"
NODE_TEMPLATE = """
[node]
name = "n"
[listen]
address = "127.0.0.1:0"
management = "127.0.0.1:{management}"
[discovery]
address = "{discovery}"
[limits]
sockets = 1024
[[offerings]]
name = "look"
expected_ms = 250
hard_limit_ms = 1000
repeat = "harmless"
"""
ADMISSION_SETTINGS = """
[admission]
per_address = 40
per_prefix = 400
rate_per_address = 20
known = ["127.0.0.1/32"]
reserve = 0.4
"""
FLEET = {
    "kind": [{"cores": 0}],
    "place": [{"count": 4}],
    "connections": 2000,
    "body_bytes": 100000,
    "offering": [{"name": "look", "work_ms": 10, "spread": "fixed"}],
    "seconds": 600,
}


class Flooder:
    """One process of a flood; `open_writers` keeps writers referenced, so that none is closed by being collected."""

    def __init__(self, kind, target, until, number):
        host, _, port = target.rpartition(":")
        self.target, self.until, self.number = (host, int(port)), until, number
        self.attack, self.open_writers, self.sent = getattr(self, kind), [], 0
        self.name = f"{kind}{number}".encode()

    def next_id(self):
        self.sent += 1
        return b"%s-%d-%d" % (self.name, time.time_ns(), self.sent)

    async def connect(self, address):
        return await asyncio.open_connection(*self.target, local_addr=(address, 0))

    async def run(self):
        """Floods the target with 60 tasks until the end time."""
        tasks = [asyncio.create_task(self._repeat(number)) for number in range(60)]
        await asyncio.sleep(max(0, self.until - time.monotonic()))
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _repeat(self, number):
        while True:
            try:
                async with asyncio.timeout(3):
                    await self.attack(number)
            except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, TimeoutError):
                await asyncio.sleep(0.005)

    def _keep_open(self, writer):
        self.open_writers.append(writer)
        if len(self.open_writers) > OPEN_CONNECTIONS // FLOOD_PROCESSES:
            self.open_writers.pop(0).transport.abort()

    async def connects(self, number):
        """Opens connections and sends nothing."""
        _, writer = await self.connect("127.0.0.2")
        self._keep_open(writer)

    async def halves(self, number):
        """Sends incomplete requests and keeps the connections open."""
        _, writer = await self.connect("127.0.0.2")
        writer.write(REQUEST[:40])
        self._keep_open(writer)

    async def wholes(self, number):
        """Sends complete requests one after the other on each connection."""
        reader, writer = await self.connect("127.0.0.2")
        try:
            while True:
                writer.write(REQUEST % self.next_id())
                head = (await reader.readuntil(b"\r\n\r\n")).lower()
                await reader.readexactly(
                    int(head.partition(b"content-length: ")[2].split(b"\r\n")[0])
                )
                if b"connection: close" in head:
                    return
        finally:
            writer.transport.abort()

    async def slows(self, number):
        """Sends requests and never reads the responses."""
        reader, writer = await self.connect("127.0.0.2")
        writer.transport.pause_reading()
        writer.write(REQUEST % self.next_id())
        self._keep_open(writer)
        await asyncio.sleep(0.02)

    async def trickles(self, number):
        """Sends each request on a new connection from one of many addresses."""
        suffix = random.randrange(TRICKLE_ADDRESSES) + 256
        reader, writer = await self.connect(f"127.1.{suffix >> 8}.{suffix & 255}")
        try:
            writer.write(REQUEST % self.next_id())
            await reader.readuntil(b"\r\n\r\n")
        finally:
            writer.transport.abort()
        await asyncio.sleep(0.05)


def run_flooder(*arguments):
    asyncio.run(Flooder(*arguments).run())


def measure(kind, has_limits, seconds):
    """Returns (fraction in time, p99 in ms, statuses, admission state of the node, its memory in MB)."""
    with Children() as children:
        with open(children.path("fleet.json"), "w") as file:
            json.dump(FLEET, file)
        fleet = children.start("fleet", "pierglade.cli", "fleet", file.name, "--with-parent")
        management = free_port()
        with open(children.path("node.toml"), "w") as file:
            file.write(
                NODE_TEMPLATE.format(management=management, discovery=fleet["discovery"])
                + (ADMISSION_SETTINGS if has_limits else "")
            )
        node = children.start_logged(
            "node",
            ["-m", "pierglade.cli", "serve", file.name, "--with-parent"],
            children.path("node.log"),
        )
        time.sleep(1.0)
        until = time.monotonic() + seconds + 1
        flooders = [
            multiprocessing.Process(target=run_flooder, args=(kind, node["listen"], until, number))
            for number in range(FLOOD_PROCESSES if kind else 0)
        ]
        for flooder in flooders:
            flooder.start()
        time.sleep(1.0)
        load = run.Load(
            node["listen"],
            "/look/x",
            plan.arrival_times([plan.ArrivalPattern(rate=RATE, seconds=seconds)], "even", 1),
            timeout_s=1.0,
            ledger=children.path("clients.jsonl"),
        )
        tally = run.run_load(load)
        from pierglade.cli.admission import fetch_admission

        admission = fetch_admission(f"127.0.0.1:{management}")
        memory_mb = psutil.Process(children.running["node"][0].pid).memory_info().rss / 1e6
        for flooder in flooders:
            flooder.join()
        sent_at, in_time = {}, 0
        with open(children.path("clients.jsonl")) as file:
            for line in file:
                row = json.loads(line)
                if row["event"] == "sent":
                    sent_at[row["id"]] = row["t_ms"] - row["late_ms"]
                elif row["event"] == "answer" and row["status"] == 200:
                    in_time += row["t_ms"] - sent_at[row["id"]] <= EXPECTED_MS
        summary = tally.summary()
        return (
            in_time / max(1, len(sent_at)),
            summary["latency_ms"]["p99"],
            summary["statuses"],
            admission,
            memory_mb,
        )


def main(seconds="6"):
    """Prints a row for each kind of flood, without connection limits and with them."""
    print(
        f"{'flood':10} {'limit':5} {'in time':>8} {'p99 ms':>8} {'clients':>8} {'rows':>6} {'MB':>6}  answers"
    )
    for kind in ("", "connects", "halves", "wholes", "slows", "trickles"):
        for has_limits in (False, True):
            fraction, p99, statuses, admission, memory_mb = measure(
                kind, has_limits, float(seconds)
            )
            print(
                f"{kind or 'none':10} {'yes' if has_limits else 'no':5} {fraction:8.3f} {p99:8.1f} "
                f"{admission['clients']:8} {len(admission['top']):6} {memory_mb:6.1f}  {statuses}",
                flush=True,
            )


if __name__ == "__main__":
    main(*sys.argv[1:])
