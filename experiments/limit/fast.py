"""Measures a real node on sockets before backends that answer within a millisecond, or in 100 ms.

    .venv/bin/python experiments/limit/fast.py --answer-ms 0.2 --rate 600 --seconds 10

Open loop: the send times are planned in advance and latency counts from the planned time; `service` counts from
the actual send. Backends, clients and the node are separate processes on loopback; the kernel chooses all ports.
Prints one JSON object: times in ms, the node's CPU time as a fraction of one core.
"""

import json
import os
import signal
import subprocess
import sys
import tempfile
import time

import click
import gevent
import numpy as np
from gevent import socket
from gevent.queue import LifoQueue

READY_TIMEOUT_S = 10.0  # a node is ready within a fraction of a second
WARM_UP_S = 1.0  # not measured: connections are opened in this time
DRAIN_TIMEOUT_S = 3.0  # how long outstanding responses are awaited after the last request


def serve(answer_s, pipe):
    """Runs a backend that answers each request after `answer_s`, one at a time on each connection."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(1024)
    os.write(pipe, b"%d\n" % listener.getsockname()[1])
    os.close(pipe)

    def serve_connection(connection):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        while connection.recv(65536):
            if answer_s >= 0.001:
                gevent.sleep(answer_s)
            elif answer_s:
                until = time.perf_counter() + answer_s
                while time.perf_counter() < until:
                    pass  # The event loop's timers are too coarse for less than a millisecond.
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

    while True:
        connection, _ = listener.accept()
        gevent.spawn(serve_connection, connection)


def start_backends(count, answer_s):
    """Starts `count` backend processes; returns them with their ports."""
    backends = []
    for _ in range(count):
        read_end, write_end = os.pipe()
        process = subprocess.Popen(
            [sys.executable, __file__, "--backend", str(answer_s), str(write_end)],
            pass_fds=(write_end,),
        )
        os.close(write_end)
        with os.fdopen(read_end) as file:
            backends.append((process, int(file.readline())))
    return backends


def configuration(ports, listen, expected_ms):
    """Returns the node's configuration document, for backends on these ports."""
    settings = {
        "offerings": [
            {
                "name": "look",
                "idempotency": "free",
                "expectedTimeUs": expected_ms * 1000,
                "hardLimitUs": expected_ms * 3000,
                "credit": 1,
            }
        ],
        "customers": [],
        "limits": {"mostTrips": 3, "mayCancel": True, "probes": True},
        "contract": {"drainGraceUs": 500000, "coldUs": 1000, "startCapacity": 1, "tipMultiple": 3},
        "siblings": 1,
        "me": 0,
    }
    known = {
        "index": 1,
        "snapshot": True,
        "endpoints": [
            {
                "name": f"b{n}",
                "address": f"127.0.0.1:{port}",
                "zone": "z",
                "group": 0,
                "status": "SERVING",
                "weight": 1.0,
                "since_ms": 0,
            }
            for n, port in enumerate(ports)
        ],
    }
    return {
        "name": "n",
        "listen": f"127.0.0.1:{listen}",
        "discovery": "127.0.0.1:1",
        "seed": "1",
        "limits": {"sockets": 4096},
        "known": known,
        "settings": settings,
    }


class ClientPool:
    """Clients of the node, which share a pool of idle connections."""

    def __init__(self, port):
        self.port, self.idle, self.request_count = port, LifoQueue(), 0
        # Seconds from the planned send time, and from the actual one.
        self.latencies, self.service_times, self.statuses = [], [], {}

    def send_request(self, planned):
        """Sends a request and records its result; `planned` is its send time, None if it is not measured."""
        self.request_count += 1
        # The number is copied: another request may be counted before this one is sent.
        number, connection = self.request_count, None
        try:
            connection = (
                self.idle.get_nowait()
                if not self.idle.empty()
                else socket.create_connection(("127.0.0.1", self.port))
            )
            connection.settimeout(10)
            sent = time.perf_counter()
            connection.sendall(
                b"GET /look/x HTTP/1.1\r\nHost: n\r\nX-Trace-Id: t%d\r\n\r\n" % number
            )
            response = connection.recv(65536)
            status = int(response[9:12]) if len(response) > 12 else 0
            if planned is not None:
                self.service_times.append(time.perf_counter() - sent)
        except OSError:
            status = 0
        if planned is not None:
            self.latencies.append(time.perf_counter() - planned)
            self.statuses[status] = self.statuses.get(status, 0) + 1
        if status and b"close" not in response.lower():
            self.idle.put(connection)
        elif connection is not None:
            connection.close()

    def run_open_loop(self, rate, seconds, seed):
        """Sends requests in an open loop with Poisson arrivals; returns the greatest send delay in seconds."""
        intervals = np.random.default_rng(seed).exponential(1 / rate, int(rate * seconds))
        start, max_delay, jobs = time.perf_counter(), 0.0, []
        for moment in np.cumsum(intervals).tolist():
            remaining = start + moment - time.perf_counter()
            gevent.sleep(max(0.0, remaining))
            max_delay = max(max_delay, time.perf_counter() - start - moment)
            planned = start + moment if moment > WARM_UP_S else None
            jobs.append(gevent.spawn(self.send_request, planned))
        gevent.joinall(jobs, timeout=DRAIN_TIMEOUT_S)
        return max_delay

    def run_closed_loop(self, client_count, seconds):
        """Runs clients that each send the next request as soon as they have the response."""
        end = time.perf_counter() + seconds
        warm_up_end = time.perf_counter() + WARM_UP_S

        def run_client():
            while (now := time.perf_counter()) < end:
                self.send_request(now if now > warm_up_end else None)

        gevent.joinall(
            [gevent.spawn(run_client) for _ in range(client_count)],
            timeout=seconds + DRAIN_TIMEOUT_S,
        )


def cpu_s(pid):
    """Returns the CPU time of a process in seconds."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


@click.command()
@click.option("--answer-ms", type=click.FloatRange(0, 10000), default=1.0, show_default=True)
@click.option("--backends", "count", type=click.IntRange(1, 64), default=4, show_default=True)
@click.option(
    "--rate",
    type=click.FloatRange(0, 50000),
    default=600.0,
    show_default=True,
    help="Requests per second; 0 with --kept.",
)
@click.option(
    "--kept",
    type=click.IntRange(0, 5000),
    default=0,
    help="Closed-loop clients, which send the next request as soon as they have the response.",
)
@click.option("--seconds", type=click.FloatRange(2, 600), default=10.0, show_default=True)
@click.option("--expected-ms", type=click.IntRange(1, 60000), default=400, show_default=True)
@click.option(
    "--tree",
    default=".",
    type=click.Path(exists=True),
    help="The source tree whose node is started.",
)
def main(answer_ms, count, rate, kept, seconds, expected_ms, tree):
    """Sends a load through a node to stand-in backends and prints the results."""
    fleet, node = [], None
    try:
        fleet = start_backends(count, answer_ms / 1000)
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            listen = probe.getsockname()[1]
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            json.dump(configuration([port for _, port in fleet], listen, expected_ms), file)
            file.flush()
            node = subprocess.Popen(
                [sys.executable, "-m", "pierglade"],
                cwd=tree,
                stdout=subprocess.DEVNULL,
                env={**os.environ, "BALANCER_CONFIG": file.name},
            )
            deadline = time.monotonic() + READY_TIMEOUT_S
            while time.monotonic() < deadline and node.poll() is None:
                try:
                    socket.create_connection(("127.0.0.1", listen)).close()
                    break
                except OSError:
                    gevent.sleep(0.05)
            clients, cpu_before, began = ClientPool(listen), cpu_s(node.pid), time.perf_counter()
            max_delay = (
                clients.run_closed_loop(kept, seconds)
                if kept
                else clients.run_open_loop(rate, seconds, 1)
            )
            node_cpu = (cpu_s(node.pid) - cpu_before) / (time.perf_counter() - began)
        latencies_ms, service_ms = (
            np.array(clients.latencies) * 1000,
            np.array(clients.service_times) * 1000,
        )
        print(
            json.dumps(
                {
                    "answer_ms": answer_ms,
                    "backends": count,
                    "rate": rate,
                    "kept": kept,
                    "answered": len(latencies_ms),
                    "statuses": clients.statuses,
                    "per_s": round(len(latencies_ms) / (seconds - WARM_UP_S), 1),
                    **{
                        f"p{p:g}_ms": round(float(np.percentile(latencies_ms, p)), 2)
                        for p in (50, 99, 99.9)
                    },
                    "service_p99_ms": round(float(np.percentile(service_ms, 99)), 2),
                    "node_cpu": round(node_cpu, 2),
                    "sent_late_ms": round((max_delay or 0) * 1000, 1),
                }
            )
        )
    finally:
        for process in [node, *(process for process, _ in fleet)]:
            if process is not None:
                process.send_signal(signal.SIGKILL)
                process.wait()


if __name__ == "__main__":
    if sys.argv[1:2] == ["--backend"]:
        serve(float(sys.argv[2]), int(sys.argv[3]))
    else:
        main()
