"""The node cuts off large answers without a length that their backends are still giving.

One node, two backends, the three offerings of kingston-auth. The backends answer some requests with
160 to 192 kB in chunks, the first of them at once. With the disruption they write such an answer
slowly, in pieces; without it, at once. Undisturbed small requests are sent in between.
Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
"""

import threading
import time
from pathlib import Path

from rig.backend import Backend
from rig.client import Client, request_bytes
from rig.discovery import DiscoveryAgent, endpoint
from rig.http import ConnectionEndedError
from rig.node import CaseCouldNotRunError, Node, free_port
from rig.play import BROKEN, HELD, play
from rig.settings import node_config, offering

LATE_SLACK_S = 0.05  # on sockets each time limit is 50 ms longer
# How an answer is written: bytes a piece, seconds between two pieces, pieces. Both make more than
# 64 kB a second, the slowest rate of a body that the pages name.
WAYS = {"wide": (16384, 0.15, 12), "even": (2048, 0.03, 80)}
# Offering, method, milliseconds that the client waits (a share of 0.4 to 0.8 of the hard limit).
BALANCE, HOLD, SETTLE = (
    ("balance-check", "GET", 4000),
    ("pump-hold", "POST", 4000),
    ("sale-settle", "POST", 800),
)
PLAN = (
    (SETTLE, "wide"),
    (SETTLE, "even"),
    (HOLD, "wide"),
    (BALANCE, "wide"),
    (SETTLE, "wide"),
    (SETTLE, "even"),
)


class Answers:
    """What the backends gave of each large answer."""

    def __init__(self, record, trouble: bool):
        self.record, self.trouble, self.lock = record, trouble, threading.Lock()
        self.ran = {}  # number of executions by trace id
        self.begun = {}  # moment of the first byte of the first answer by trace id
        self.cut_off = {}  # (bytes given, bytes of the answer) by trace id, where the node ended it

    def serve(self, backend, messages):
        """Serves one request of a connection."""
        start, fields = messages.head()
        messages.body(fields)
        trace_id = fields[b"x-trace-id"].decode()
        with self.lock:
            self.ran[trace_id] = self.ran.get(trace_id, 0) + 1
        time.sleep(0.03)
        self.record.note(f"{backend.name} ran {trace_id}")
        way = WAYS.get(start.split()[1].rpartition(b"/")[2].decode())
        if way is None:
            return messages.sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        return self._give(backend, messages.sock, trace_id, *way)

    def _give(self, backend, sock, trace_id, size, interval, count):
        given, began_at = 0, time.monotonic()
        self.begun.setdefault(trace_id, self.record.now())
        self.record.note(f"{backend.name} begins to answer {trace_id}")
        try:
            sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            for i in range(count):
                sock.sendall(b"%x\r\n%s\r\n" % (size, bytes([97 + i % 26]) * size))
                given += size
                if self.trouble:
                    pause = began_at + (i + 1) * interval - time.monotonic()
                    self._wait_while_open(sock, max(0.0, pause))
            sock.sendall(b"0\r\n\r\n")
        except (OSError, ConnectionEndedError):
            self.cut_off[trace_id] = (given, size * count)
            self.record.note(f"{backend.name} was cut off in {trace_id} after {given} bytes")
            return False
        self.record.note(f"{backend.name} has given all of {trace_id}, {given} bytes")
        return True

    @staticmethod
    def _wait_while_open(sock, seconds):
        sock.settimeout(max(seconds, 0.001))
        try:
            if not sock.recv(1):
                raise ConnectionEndedError("the node closed the connection")
        except TimeoutError:
            pass
        finally:
            sock.settimeout(None)


def case(record, trouble, started):
    """Plays the case once; returns the exit status."""
    answers = Answers(record, trouble)
    backends = [Backend(f"s-{i}", answers.serve) for i in range(2)]
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
    lost = []
    for number, ((name, method, wait_ms), way) in enumerate(PLAN):
        for i in range(8):  # undisturbed traffic, so that the backends stay in use
            _ask(record, node, f"small-{number}-{i}", "balance-check", "GET", 4000, "small")
        trace_id = f"large-{number}-{name}-{way}"
        sent_at = record.now()
        answer = _ask(record, node, trace_id, name, method, wait_ms, way)
        if _is_lost(record, answers, trace_id, sent_at, wait_ms / 1000, answer, WAYS[way]):
            lost.append(trace_id)
        time.sleep(0.5)
    record.note(f"lost: {len(lost)} of {len(PLAN)}: {', '.join(lost) or 'none'}")
    if not answers.begun:
        raise CaseCouldNotRunError("no backend began a large answer")
    return BROKEN if lost else HELD


def _ask(record, node, trace_id, name, method, wait_ms, way):
    client = Client(node.port)
    key = f"key-{trace_id}" if name == "pump-hold" else None
    body = b"litres=40" if method == "POST" else b""
    client.send(request_bytes(method, f"/{name}/{way}", trace_id, wait_ms, body, key))
    answer = client.answer(8)
    client.close()
    record.note(
        f"client: {trace_id} answered {answer.status}, {len(answer.body)} bytes {answer.fault}"
    )
    return answer


def _is_lost(record, answers, trace_id, sent_at, wait_s, answer, way):
    """Returns whether an answer that began in time and was still being given was cut off."""
    size, _, count = way
    whole = b"".join(bytes([97 + i % 26]) * size for i in range(count))
    if answer.status == 200 and answer.body == whole:
        return False
    began_at = answers.begun.get(trace_id)
    if began_at is None or began_at > sent_at + wait_s + LATE_SLACK_S:
        return False  # Not forwarded, or its first byte was late: refused or failed, not lost.
    time.sleep(0.3)  # for the backend to notice that it was cut off
    if trace_id not in answers.cut_off:
        return False
    given, size = answers.cut_off[trace_id]
    record.note(
        f"broken: {trace_id} began {began_at - sent_at:.3f} s after it was sent, ran"
        f" {answers.ran[trace_id]} times, and was cut off after {given} of {size} bytes;"
        f" its client got {answer.status}"
    )
    return True


if __name__ == "__main__":
    play(Path(__file__).parent, case)
