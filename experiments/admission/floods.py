"""Known clients beside floods from other addresses of this machine's loopback, with caps and without.

    .venv/bin/python experiments/admission/floods.py [SECONDS]

A stand-in fleet, one node with 1,024 sockets, 150 requests a second from a known address, and in turn each
flood. Prints the share of the known ones that were answered with 200 within 250 ms, their p99, and what the
node holds. Everything ends by itself; nothing is sent beyond 127.0.0.0/8.
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
from pierglade.processes.children import Children, free_port  # noqa: E402 - the checkout that this file stands in

RATE, EXPECTED_MS = 150, 250
HELD = 1200  # connections that a flood tries to hold
TRICKLERS = 5000  # addresses, each with a request a second at the most
FLOODERS = 2  # processes
GET = b"GET /look/x HTTP/1.1\r\nHost: h\r\nX-Trace-Id: %s\r\nX-Expires-In-Ms: 1000\r\n\r\n"
NODE = """
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
CAPS = """
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
    """One process: `held` writers stay open until the end, so that nothing is closed by a collection."""

    def __init__(self, kind, target, until, number):
        host, _, port = target.rpartition(":")
        self.place, self.until, self.number = (host, int(port)), until, number
        self.act, self.held, self.sent = getattr(self, kind), [], 0
        self.name = f"{kind}{number}".encode()

    def id(self):
        self.sent += 1
        return b"%s-%d-%d" % (self.name, time.time_ns(), self.sent)

    async def connect(self, address):
        return await asyncio.open_connection(*self.place, local_addr=(address, 0))

    async def play(self):
        tasks = [asyncio.create_task(self._again(each)) for each in range(60)]
        await asyncio.sleep(max(0, self.until - time.monotonic()))
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _again(self, each):
        while True:
            try:
                async with asyncio.timeout(3):
                    await self.act(each)
            except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, TimeoutError):
                await asyncio.sleep(0.005)

    def _hold(self, writer):
        self.held.append(writer)
        if len(self.held) > HELD // FLOODERS:
            self.held.pop(0).transport.abort()

    async def connects(self, each):
        _, writer = await self.connect("127.0.0.2")
        self._hold(writer)

    async def halves(self, each):
        _, writer = await self.connect("127.0.0.2")
        writer.write(GET[:40])
        self._hold(writer)

    async def wholes(self, each):
        reader, writer = await self.connect("127.0.0.2")
        try:
            while True:
                writer.write(GET % self.id())
                head = (await reader.readuntil(b"\r\n\r\n")).lower()
                await reader.readexactly(
                    int(head.partition(b"content-length: ")[2].split(b"\r\n")[0])
                )
                if b"connection: close" in head:
                    return
        finally:
            writer.transport.abort()

    async def slows(self, each):
        reader, writer = await self.connect("127.0.0.2")
        writer.transport.pause_reading()
        writer.write(GET % self.id())
        self._hold(writer)
        await asyncio.sleep(0.02)

    async def trickles(self, each):
        number = random.randrange(TRICKLERS) + 256
        reader, writer = await self.connect(f"127.1.{number >> 8}.{number & 255}")
        try:
            writer.write(GET % self.id())
            await reader.readuntil(b"\r\n\r\n")
        finally:
            writer.transport.abort()
        await asyncio.sleep(0.05)


def flood(*what):
    asyncio.run(Flooder(*what).play())


def one(kind, capped, seconds):
    """(share in time, p99 in ms, statuses, what the node tells, its MB) of the known clients."""
    with Children() as children:
        with open(children.path("fleet.json"), "w") as file:
            json.dump(FLEET, file)
        fleet = children.start("fleet", "pierglade.cli", "fleet", file.name, "--with-parent")
        management = free_port()
        with open(children.path("node.toml"), "w") as file:
            file.write(
                NODE.format(management=management, discovery=fleet["discovery"])
                + (CAPS if capped else "")
            )
        node = children.start_logged(
            "node",
            ["-m", "pierglade.cli", "serve", file.name, "--with-parent"],
            children.path("node.log"),
        )
        time.sleep(1.0)
        until = time.monotonic() + seconds + 1
        flooders = [
            multiprocessing.Process(target=flood, args=(kind, node["listen"], until, number))
            for number in range(FLOODERS if kind else 0)
        ]
        for each in flooders:
            each.start()
        time.sleep(1.0)
        load = run.Load(
            node["listen"],
            "/look/x",
            plan.moments([plan.ArrivalPattern(rate=RATE, seconds=seconds)], "even", 1),
            timeout_s=1.0,
            ledger=children.path("clients.jsonl"),
        )
        tally = run.play(load)
        from pierglade.cli.admission import fetch_admission

        told = fetch_admission(f"127.0.0.1:{management}")
        memory = psutil.Process(children.running["node"][0].pid).memory_info().rss / 1e6
        for each in flooders:
            each.join()
        sent, good = {}, 0
        with open(children.path("clients.jsonl")) as file:
            for line in file:
                row = json.loads(line)
                if row["event"] == "sent":
                    sent[row["id"]] = row["t_ms"] - row["late_ms"]
                elif row["event"] == "answer" and row["status"] == 200:
                    good += row["t_ms"] - sent[row["id"]] <= EXPECTED_MS
        summary = tally.summary()
        return (
            good / max(1, len(sent)),
            summary["latency_ms"]["p99"],
            summary["statuses"],
            told,
            memory,
        )


def main(seconds="6"):
    print(
        f"{'flood':10} {'caps':5} {'in time':>8} {'p99 ms':>8} {'clients':>8} {'rows':>6} {'MB':>6}  answers"
    )
    for kind in ("", "connects", "halves", "wholes", "slows", "trickles"):
        for capped in (False, True):
            share, p99, statuses, told, memory = one(kind, capped, float(seconds))
            print(
                f"{kind or 'none':10} {'yes' if capped else 'no':5} {share:8.3f} {p99:8.1f} "
                f"{told['clients']:8} {len(told['top']):6} {memory:6.1f}  {statuses}",
                flush=True,
            )


if __name__ == "__main__":
    main(*sys.argv[1:])
