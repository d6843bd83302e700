"""A real node on sockets before backends that answer within a millisecond, or in 100 ms.

    .venv/bin/python experiments/limit/fast.py --answer-ms 0.2 --rate 600 --seconds 10

Open loop: each request is planned beforehand and counts from its planned moment; `service` counts from its
real send. Backends, clients and the node are processes of their own on loopback; all ports are the kernel's
choice. Prints one JSON object: times in ms, the node's CPU as a share of one core.
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

READY_WITHIN = 10.0  # s; a node is ready in a fraction of one
WARM = 1.0  # s; opening connections is no part of what is measured
LEFT = 3.0  # s; what is still owed after the last request


def serve(answer_s, pipe):
    """A backend: answers each request after a while, one at a time on each connection."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(1024)
    os.write(pipe, b"%d\n" % listener.getsockname()[1])
    os.close(pipe)

    def talk(link):
        link.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        while link.recv(65536):
            if answer_s >= 0.001:
                gevent.sleep(answer_s)
            elif answer_s:
                until = time.perf_counter() + answer_s
                while time.perf_counter() < until:
                    pass  # The loop's timers are too coarse for less than a millisecond.
            link.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

    while True:
        link, _ = listener.accept()
        gevent.spawn(talk, link)


def backends(count, answer_s):
    """Starts so many processes; returns them with their ports."""
    started = []
    for _ in range(count):
        reads, writes = os.pipe()
        process = subprocess.Popen(
            [sys.executable, __file__, "--backend", str(answer_s), str(writes)], pass_fds=(writes,)
        )
        os.close(writes)
        with os.fdopen(reads) as file:
            started.append((process, int(file.readline())))
    return started


def configured(ports, listen, expected_ms):
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


class Clients:
    def __init__(self, port):
        self.port, self.idle, self.count = port, LifoQueue(), 0
        self.took, self.service, self.statuses = (
            [],
            [],
            {},
        )  # from planned and from sent, in seconds

    def ask(self, planned):
        self.count += 1
        number, link = self.count, None  # another one may be counted before this one is sent
        try:
            link = (
                self.idle.get_nowait()
                if not self.idle.empty()
                else socket.create_connection(("127.0.0.1", self.port))
            )
            link.settimeout(10)
            sent = time.perf_counter()
            link.sendall(b"GET /look/x HTTP/1.1\r\nHost: n\r\nX-Trace-Id: t%d\r\n\r\n" % number)
            answer = link.recv(65536)
            status = int(answer[9:12]) if len(answer) > 12 else 0
            if planned is not None:
                self.service.append(time.perf_counter() - sent)
        except OSError:
            status = 0
        if planned is not None:
            self.took.append(time.perf_counter() - planned)
            self.statuses[status] = self.statuses.get(status, 0) + 1
        if status and b"close" not in answer.lower():
            self.idle.put(link)
        elif link is not None:
            link.close()

    def play(self, rate, seconds, seed):
        """Open loop, Poisson; returns how late the latest request was sent, in seconds."""
        gaps = np.random.default_rng(seed).exponential(1 / rate, int(rate * seconds))
        start, late, jobs = time.perf_counter(), 0.0, []
        for moment in np.cumsum(gaps).tolist():
            ahead = start + moment - time.perf_counter()
            gevent.sleep(max(0.0, ahead))
            late = max(late, time.perf_counter() - start - moment)
            planned = start + moment if moment > WARM else None
            jobs.append(gevent.spawn(self.ask, planned))
        gevent.joinall(jobs, timeout=LEFT)
        return late

    def keep(self, kept, seconds):
        end = time.perf_counter() + seconds
        warm = time.perf_counter() + WARM

        def one():
            while (now := time.perf_counter()) < end:
                self.ask(now if now > warm else None)

        gevent.joinall([gevent.spawn(one) for _ in range(kept)], timeout=seconds + LEFT)


def cpu(pid):
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
    help="Requests a second; 0 with --kept.",
)
@click.option(
    "--kept", type=click.IntRange(0, 5000), default=0, help="Clients that ask again at once."
)
@click.option("--seconds", type=click.FloatRange(2, 600), default=10.0, show_default=True)
@click.option("--expected-ms", type=click.IntRange(1, 60000), default=400, show_default=True)
@click.option(
    "--tree", default=".", type=click.Path(exists=True), help="The build whose node is started."
)
def main(answer_ms, count, rate, kept, seconds, expected_ms, tree):
    """Plays a load on a node before stand-in backends, and prints what came back."""
    fleet, node = [], None
    try:
        fleet = backends(count, answer_ms / 1000)
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            listen = probe.getsockname()[1]
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            json.dump(configured([port for _, port in fleet], listen, expected_ms), file)
            file.flush()
            node = subprocess.Popen(
                [sys.executable, "-m", "pierglade"],
                cwd=tree,
                stdout=subprocess.DEVNULL,
                env={**os.environ, "BALANCER_CONFIG": file.name},
            )
            until = time.monotonic() + READY_WITHIN
            while time.monotonic() < until and node.poll() is None:
                try:
                    socket.create_connection(("127.0.0.1", listen)).close()
                    break
                except OSError:
                    gevent.sleep(0.05)
            clients, before, began = Clients(listen), cpu(node.pid), time.perf_counter()
            late = clients.keep(kept, seconds) if kept else clients.play(rate, seconds, 1)
            used = (cpu(node.pid) - before) / (time.perf_counter() - began)
        took, service = np.array(clients.took) * 1000, np.array(clients.service) * 1000
        print(
            json.dumps(
                {
                    "answer_ms": answer_ms,
                    "backends": count,
                    "rate": rate,
                    "kept": kept,
                    "answered": len(took),
                    "statuses": clients.statuses,
                    "per_s": round(len(took) / (seconds - WARM), 1),
                    **{
                        f"p{p:g}_ms": round(float(np.percentile(took, p)), 2)
                        for p in (50, 99, 99.9)
                    },
                    "service_p99_ms": round(float(np.percentile(service, 99)), 2),
                    "node_cpu": round(used, 2),
                    "sent_late_ms": round((late or 0) * 1000, 1),
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
