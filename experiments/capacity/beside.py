"""Measures latency during settings changes: one real node with the target's endpoint list and tenants, on sockets.

    .venv/bin/python experiments/capacity/beside.py OUT.json [RUNS]

236 requests/s go through the node, a quarter as many directly to the backend; one tenant's quota changes every
2 s. Only a few processes run: a node, one backend with a response time of 20 ms behind all 6,800 names, and the
stand-in discovery of slopes.py. A run takes 14 s.
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

import slopes  # noqa: E402 - in the folder of this file

RATE, RESPONSE_S, REQUEST_TIMEOUT_MS = 236, 0.02, 900  # RATE in requests/s
DIRECT_INTERVAL = 4  # in addition, one request per this many goes directly to the backend
DURATION_S, CHANGES_S = 12, (4, 6, 8, 10)  # CHANGES_S: seconds after the start
BEFORE_S, AFTER_S = 0.02, 1.0  # the window around a change that counts as "beside changes"


async def run_backend():
    """Runs the backend, which answers each request after RESPONSE_S."""

    async def serve(reader, writer):
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                await asyncio.sleep(RESPONSE_S)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        except (OSError, asyncio.IncompleteReadError):
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    print("%s:%d" % server.sockets[0].getsockname(), flush=True)
    await asyncio.Event().wait()


class Client:
    """An open-loop client: each request has exclusive use of a connection.

    A request on a connection that the node has closed in the meantime fails and is not sent again.
    """

    def __init__(self, address):
        self.host, _, port = address.partition(":")
        self.port, self.idle, self.rows, self.errors = int(port), [], [], []

    async def send_request(self, number):
        """Sends a request and records (start, latency in ms, status), or the error."""
        began = time.perf_counter()
        try:
            connection = (
                self.idle.pop()
                if self.idle
                else await asyncio.open_connection(self.host, self.port)
            )
            reader, writer = connection
            writer.write(
                b"GET /look/x HTTP/1.1\r\nHost: h\r\nX-Trace-Id: t%d\r\nX-Customer: tenant-%d\r\n"
                b"X-Expires-In-Ms: %d\r\n\r\n"
                % (number, number * 37 % slopes.TENANTS, REQUEST_TIMEOUT_MS)
            )
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
            await reader.readexactly(int(head.split(b"content-length:")[1].split()[0]))
        except (OSError, IndexError, asyncio.IncompleteReadError) as error:
            return self.errors.append(repr(error))
        self.rows.append((began, (time.perf_counter() - began) * 1e3, head[9:12].decode()))
        if b"connection: close" in head:
            writer.close()
        else:
            self.idle.append(connection)

    def summary(self, is_included):
        """Returns the latencies of the requests whose start satisfies `is_included`."""
        latencies = sorted(ms for began, ms, _ in self.rows if is_included(began))
        return {
            "count": len(latencies),
            "p50_ms": round(latencies[len(latencies) // 2], 2),
            "p99_ms": round(latencies[len(latencies) * 99 // 100], 2),
            "worst_ms": round(latencies[-1], 2),
        }


async def send_load(through_node, direct, apply_change):
    """Sends the load and applies the changes; returns the start and the moments of the changes."""
    began, changes, moments, tasks, count = time.perf_counter(), list(CHANGES_S), [], [], 0
    while (elapsed := time.perf_counter() - began) < DURATION_S:
        tasks.append(asyncio.create_task(through_node.send_request(count)))
        if count % DIRECT_INTERVAL == 0:
            tasks.append(asyncio.create_task(direct.send_request(count)))
        count += 1
        if changes and elapsed >= changes[0]:
            moments.append(time.perf_counter())
            apply_change(changes.pop(0))
        await asyncio.sleep(max(0.0, began + count / RATE - time.perf_counter()))
    await asyncio.gather(*tasks)
    return began, moments


def run_once():
    """Runs the experiment once; returns its figures."""
    backend = subprocess.Popen(
        [sys.executable, __file__, "backend"], stdout=subprocess.PIPE, text=True
    )
    address, listen = backend.stdout.readline().strip(), slopes.free_address()
    agent = slopes.DiscoveryAgent(slopes.BACKENDS, address)
    document = slopes.node_document(
        slopes.TENANTS, slopes.NODES, listen=listen, discovery=agent.address
    )
    with tempfile.TemporaryDirectory() as folder:
        path = os.path.join(folder, "n1.json")
        # Written in advance, because writing a file of 2 MB would delay the clients.
        slopes.write_document(path, document)
        for at in CHANGES_S:
            document["settings"]["customers"][at]["quotaPerS"] += 1
            slopes.write_document(f"{path}.{at}", document)
        with open(os.path.join(folder, "log"), "w") as log:
            node = subprocess.Popen(
                [sys.executable, "-m", "pierglade"],
                stdout=log,
                cwd=slopes.ROOT,
                env={**os.environ, "BALANCER_CONFIG": path},
            )

        def apply_change(at):
            os.replace(f"{path}.{at}", path)
            node.send_signal(signal.SIGHUP)

        try:
            while not slopes.is_ready(listen):
                if node.poll() is not None:
                    raise SystemExit(
                        f"the node exited with {node.returncode} before it became ready"
                    )
                time.sleep(0.05)
            through_node, direct = Client(listen), Client(address)
            began, moments = asyncio.run(send_load(through_node, direct, apply_change))
            loaded = slopes.log_count(folder, "settings_applied")
        finally:
            node.terminate()
            node.wait(15)
            backend.kill()
            backend.wait()
            agent.server.close()
    figures = {"load": round(os.getloadavg()[0], 1), "loaded": loaded}
    for name, client in (("through", through_node), ("straight", direct)):
        figures[name] = {
            "calm": client.summary(lambda at: began + 1 <= at < moments[0] - BEFORE_S),
            "beside changes": client.summary(
                lambda at: any(m - BEFORE_S <= at < m + AFTER_S for m in moments)
            ),
            "statuses": sorted({status for *_, status in client.rows}),
            "faults": len(client.errors),
        }
    return figures


def main(out, runs=3):
    """Writes the figures of all runs to `out` and prints them."""
    result = {
        "commit": slopes.current_commit(),
        "began": time.strftime("%H:%M:%S"),
        "plays": [run_once() for _ in range(int(runs))],
    }
    pathlib.Path(out).write_text(json.dumps(result, indent=1) + "\n")
    for figures in result["plays"]:
        print(json.dumps(figures))


if __name__ == "__main__":
    asyncio.run(run_backend()) if sys.argv[1:] == ["backend"] else main(*sys.argv[1:])
