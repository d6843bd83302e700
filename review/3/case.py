"""A request that can't be read is rewritten into another one, which a backend runs.

One node, two backends, the three offerings of kingston-auth. The usual clients send plain and
chunked requests. The disruption: a bad client announces a chunked body, sends something else in its
place, and names a protocol to upgrade to.
Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
"""

import threading
import time
from pathlib import Path

from rig.backend import Backend
from rig.client import Client, request_bytes
from rig.discovery import DiscoveryAgent, endpoint
from rig.node import CaseCouldNotRunError, Node, free_port
from rig.play import BROKEN, HELD, play
from rig.settings import node_config, offering

OWED_WITHIN_S = 3.0  # a bad client is owed an error or a close within this time
ROUNDS = 5


class Arrivals:
    """What arrived at the backends: (trace id, method, target, body)."""

    def __init__(self, record):
        self.record, self.lock, self.all = record, threading.Lock(), []

    def serve(self, backend, messages):
        """Runs one request of a connection."""
        start, fields = messages.head()
        method, target = (part.decode() for part in start.split()[:2])
        body = messages.body(fields)
        trace_id = fields.get(b"x-trace-id", b"").decode()
        with self.lock:
            self.all.append((trace_id, method, target, body))
        time.sleep(0.03)
        self.record.note(f"{backend.name} ran {method} {target} of {trace_id}, body {body!r}")
        messages.sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")


def chunked(target: str, trace_id: str, body: bytes, headers: str = "") -> bytes:
    """Returns a POST that announces a chunked body, followed by `body` as it is."""
    return (
        f"POST {target} HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: {trace_id}\r\n"
        f"X-Customer: parish-schools\r\nX-Expires-In-Ms: 800\r\n{headers}"
        "Transfer-Encoding: chunked\r\n\r\n"
    ).encode() + body


def case(record, trouble, started):
    """Plays the case once; returns the exit status."""
    arrivals = Arrivals(record)
    backends = [Backend(f"s-{i}", arrivals.serve) for i in range(2)]
    endpoints = [endpoint(each.name, each.address) for each in backends]
    agent = DiscoveryAgent(endpoints)
    started += [*backends, agent]
    offerings = [
        offering("balance-check", "free"),
        offering("pump-hold", "guarded", group="zone", repeatWindowUs=10000000, credit=3),
        offering(
            "sale-settle", "single_shot", expectedTimeUs=300000, hardLimitUs=1000000, credit=8
        ),
    ]
    node = Node(node_config(free_port(), agent.address, endpoints, offerings))
    started.append(node)
    node.start()
    sent, faults = {}, []
    for i in range(ROUNDS):
        _usual(record, node, sent, i)
        if trouble:
            faults += _bad(record, node, i)
    time.sleep(0.3)
    for trace_id, method, target, body in arrivals.all:
        if sent.get(trace_id) != (method, target, body):
            faults.append(f"{trace_id}: a backend ran {method} {target} with {body!r}, unsent")
    for fault in faults:
        record.note(f"broken: {fault}")
    return BROKEN if faults else HELD


def _usual(record, node, sent, i):
    """Sends a plain and a chunked request of a usual client."""
    plain, in_chunks = f"plain-{i}", f"chunks-{i}"
    sent[plain] = ("POST", f"/sale-settle/{i}", b"litres=40")
    sent[in_chunks] = ("POST", f"/sale-settle/{i}", b"litres=41")
    requests = {
        plain: request_bytes(*sent[plain][:2], plain, 800, sent[plain][2]),
        in_chunks: chunked(sent[in_chunks][1], in_chunks, b"9\r\nlitres=41\r\n0\r\n\r\n"),
    }
    for trace_id, request in requests.items():
        client = Client(node.port)
        client.send(request)
        answer = client.answer(3)
        client.close()
        record.note(f"client: {trace_id} answered {answer.status} {answer.fault}")
        if answer.status != 200:
            raise CaseCouldNotRunError("a usual request was not served")


def _bad(record, node, i):
    """Sends the request that can't be read; returns how its client was served wrongly."""
    client = Client(node.port)
    unreadable = b"POST /refund/7 HTTP/1.1\r\nContent-Length: 9\r\n\r\nlitres=99"
    client.send(
        chunked(
            f"/sale-settle/{i}",
            f"bad-{i}",
            unreadable,
            "Connection: Upgrade\r\nUpgrade: h2c\r\n",
        )
    )
    answer = client.answer(OWED_WITHIN_S)
    client.close()
    record.note(f"client: bad-{i} answered {answer.status} {answer.body!r} {answer.fault}")
    return [f"bad-{i}: served with {answer.status}"] if answer.status == 200 else []


if __name__ == "__main__":
    play(Path(__file__).parent, case)
