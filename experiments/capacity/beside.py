"""Answers beside changes: one real node with all of the target's list and tenants, on sockets.

    .venv/bin/python experiments/capacity/beside.py OUT.json [PLAYS]

236 requests/s through it, a quarter as many straight to the backend; one tenant's share changes every 2 s. No
crowd: a node, a backend of 20 ms behind all 6,800 names, the stand-in discovery of slopes.py; 14 s a play.
"""

import asyncio
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

import slopes  # noqa: E402 - beside this file

RATE, ANSWER_S, LIMIT_MS = 236, 0.02, 900
STRAIGHT = 4  # one request in so many more goes straight to the backend
SECONDS, CHANGES = 12, (4, 6, 8, 10)  # s after the beginning
BEFORE, AFTER = 0.02, 1.0  # s around a change that count as beside it


async def backend():
    async def serve(reader, writer):
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                await asyncio.sleep(ANSWER_S)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        except (OSError, asyncio.IncompleteReadError):
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    print("%s:%d" % server.sockets[0].getsockname(), flush=True)
    await asyncio.Event().wait()


class Client:
    """Open loop: each request has a connection of its own that no other is using.

    One on a connection that the node has closed meanwhile is a fault and isn't sent again.
    """

    def __init__(self, address):
        self.host, _, port = address.partition(":")
        self.port, self.free, self.rows, self.faults = int(port), [], [], []

    async def ask(self, number):
        began = time.perf_counter()
        try:
            connection = (
                self.free.pop()
                if self.free
                else await asyncio.open_connection(self.host, self.port)
            )
            reader, writer = connection
            writer.write(
                b"GET /look/x HTTP/1.1\r\nHost: h\r\nX-Trace-Id: t%d\r\nX-Customer: tenant-%d\r\n"
                b"X-Expires-In-Ms: %d\r\n\r\n" % (number, number * 37 % slopes.TENANTS, LIMIT_MS)
            )
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
            await reader.readexactly(int(head.split(b"content-length:")[1].split()[0]))
        except (OSError, IndexError, asyncio.IncompleteReadError) as fault:
            return self.faults.append(repr(fault))
        self.rows.append((began, (time.perf_counter() - began) * 1e3, head[9:12].decode()))
        if b"connection: close" in head:
            writer.close()
        else:
            self.free.append(connection)

    def told(self, within):
        took = sorted(ms for began, ms, _ in self.rows if within(began))
        return {
            "count": len(took),
            "p50_ms": round(took[len(took) // 2], 2),
            "p99_ms": round(took[len(took) * 99 // 100], 2),
            "worst_ms": round(took[-1], 2),
        }


async def send(through, straight, change):
    """Returns the beginning and the moments of the changes."""
    began, changes, moments, tasks, count = time.perf_counter(), list(CHANGES), [], [], 0
    while (passed := time.perf_counter() - began) < SECONDS:
        tasks.append(asyncio.create_task(through.ask(count)))
        if count % STRAIGHT == 0:
            tasks.append(asyncio.create_task(straight.ask(count)))
        count += 1
        if changes and passed >= changes[0]:
            moments.append(time.perf_counter())
            change(changes.pop(0))
        await asyncio.sleep(max(0.0, began + count / RATE - time.perf_counter()))
    await asyncio.gather(*tasks)
    return began, moments


def play():
    behind = subprocess.Popen(
        [sys.executable, __file__, "backend"], stdout=subprocess.PIPE, text=True
    )
    address, listen = behind.stdout.readline().strip(), slopes.free_address()
    agent = slopes.Agent(slopes.BACKENDS, address)
    document = slopes.document_of(
        slopes.TENANTS, slopes.NODES, listen=listen, discovery=agent.address
    )
    with tempfile.TemporaryDirectory() as folder:
        path = os.path.join(folder, "n1.json")
        # Made beforehand: what it takes to write a file of 2 MB must not hold up who sends.
        slopes.write(path, document)
        for at in CHANGES:
            document["settings"]["customers"][at]["quotaPerS"] += 1
            slopes.write(f"{path}.{at}", document)
        with open(os.path.join(folder, "log"), "w") as log:
            node = subprocess.Popen(
                [sys.executable, "-m", "pierglade"],
                stdout=log,
                cwd=slopes.ROOT,
                env={**os.environ, "BALANCER_CONFIG": path},
            )

        def change(at):
            os.replace(f"{path}.{at}", path)
            node.send_signal(signal.SIGHUP)

        try:
            while not slopes.ready(listen):
                if node.poll() is not None:
                    raise SystemExit(f"the node ended with {node.returncode}")
                time.sleep(0.05)
            through, straight = Client(listen), Client(address)
            began, moments = asyncio.run(send(through, straight, change))
            loaded = slopes.log_count(folder, "settings_applied")
        finally:
            node.terminate()
            node.wait(15)
            behind.kill()
            behind.wait()
            agent.server.close()
    found = {"load": round(os.getloadavg()[0], 1), "loaded": loaded}
    for name, client in (("through", through), ("straight", straight)):
        found[name] = {
            "calm": client.told(lambda at: began + 1 <= at < moments[0] - BEFORE),
            "beside changes": client.told(
                lambda at: any(m - BEFORE <= at < m + AFTER for m in moments)
            ),
            "statuses": sorted({status for *_, status in client.rows}),
            "faults": len(client.faults),
        }
    return found


def main(out, plays=3):
    result = {
        "commit": slopes.commit(),
        "began": time.strftime("%H:%M:%S"),
        "plays": [play() for _ in range(int(plays))],
    }
    pathlib.Path(out).write_text(json.dumps(result, indent=1) + "\n")
    for one in result["plays"]:
        print(json.dumps(one))


if __name__ == "__main__":
    asyncio.run(backend()) if sys.argv[1:] == ["backend"] else main(*sys.argv[1:])
