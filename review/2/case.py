"""While no listed backend is ready, the answers to all that is in flight are thrown away.

One node, a fleet of one backend, two offerings of kingston-auth. The disruption: the backend is
listed as draining while it works on four requests, and its successor is listed a second later. The
backend finishes what it has, in time. Then the same order of events on the wire of `sim`.
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
from rig.sim import Simulator

SLACK_S = 0.05  # on sockets each time limit is 50 ms longer
LARGE_BYTES = 200000  # over 64 KiB: only the first bytes are timed
PIECE_BYTES, PIECE_INTERVAL_S = 20000, 0.01
WORK_S = 0.08  # from the last byte of a request to the first byte of its answer
USUAL_WORK_S = 0.05  # the same for the undisturbed requests before
TOLD_AFTER_S = 0.04  # from sending the requests to the change of the list
SUCCESSOR_AFTER_S = 1.0  # a new backend is listed 0.66 to 2.1 s after its start
# Trace id, offering, method, milliseconds that the client waits, kind of answer.
IN_FLIGHT = (
    ("settle-large-1", "sale-settle", "POST", 800, "large"),
    ("settle-small-1", "sale-settle", "POST", 800, "small"),
    ("settle-large-2", "sale-settle", "POST", 800, "large"),
    ("balance-large-1", "balance-check", "GET", 2000, "large"),
)


class Fleet:
    """What the backends ran and gave."""

    def __init__(self, record):
        self.record, self.lock = record, threading.Lock()
        self.began = {}  # moment of the first byte of the answer by trace id
        self.whole = set()  # trace ids whose answers were given to the last byte
        self.cut_off = {}  # bytes given by trace id, where the node ended the connection

    def serve(self, backend, messages):
        """Serves one request of a connection."""
        start, fields = messages.head()
        messages.body(fields)
        trace_id = fields[b"x-trace-id"].decode()
        is_large = start.split()[1].endswith(b"/large")
        time.sleep(USUAL_WORK_S if trace_id.startswith("usual") else WORK_S)
        length, given = LARGE_BYTES if is_large else 2, 0
        self.began[trace_id] = self.record.now()
        self.record.note(f"{backend.name} ran {trace_id} and begins its answer of {length} bytes")
        try:
            messages.sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % length)
            while given < length:
                piece = min(PIECE_BYTES, length - given)
                messages.sock.sendall(b"x" * piece)
                given += piece
                time.sleep(PIECE_INTERVAL_S if is_large else 0)
        except OSError:
            self.cut_off[trace_id] = given
            self.record.note(f"{backend.name} was cut off in {trace_id} after {given} bytes")
            return False
        self.whole.add(trace_id)
        self.record.note(f"{backend.name} has given all of {trace_id}")
        return True


class Asker:
    """Asks one thing and keeps what came back."""

    def __init__(self, record, node, trace_id, name, method, wait_ms, kind):
        self.record, self.trace_id, self.wait_s = record, trace_id, wait_ms / 1000
        self.client, self.answer, self.took_s = Client(node.port), None, 0.0
        body = b"litres=40" if method == "POST" else b""
        self.request = request_bytes(method, f"/{name}/{kind}", trace_id, wait_ms, body)
        self.sent_at = 0.0

    def run(self):
        """Sends the request and waits for its answer."""
        self.client.send(self.request)
        self.sent_at = self.record.now()
        self.answer = self.client.answer(5)
        self.client.close()
        self.took_s = self.record.now() - self.sent_at
        self.record.note(
            f"client: {self.trace_id} answered {self.answer.status}, {len(self.answer.body)} bytes"
            f" after {self.took_s:.3f} s {self.answer.fault}"
        )


def case(record, trouble, started):
    """Plays the case on both hosts; returns the exit status."""
    statuses = _on_sockets(record, trouble, started), _on_wire(record, trouble, started)
    return BROKEN if BROKEN in statuses else HELD


def _on_wire(record, trouble, started):
    """Plays the order of events on the simulator's wire; an adapter that ends breaks the rules."""
    simulator, backend = Simulator(), "127.0.0.7:11203"
    started.append(simulator)
    settings = node_config(1, "127.0.0.1:1", [], _offerings())["settings"]
    boot = {"who": "node_0", "seed": 7, "conf": settings}
    simulator.list_backend(0, backend, "Ready", "restored", {"Boot": boot})
    for call in range(10):
        simulator.send_request(call, "balance-check", 2000000)
        simulator.complete(call, backend, 5000)
    simulator.send_request(10, "sale-settle", 800000)
    if trouble:
        record.note("sim: the backend drains")
        simulator.list_backend(1, backend, "Terminating", "update")
    if simulator.complete(10, backend, 80000) is not None:
        record.note("sim: the adapter took the answer and goes on")
        return HELD
    simulator.process.wait(5)
    error = simulator.process.stderr.read().decode(errors="replace").strip().splitlines()
    record.note(
        f"broken: sim ended with {simulator.process.returncode} at the answer: {error[-1:]}"
    )
    return BROKEN


def _offerings():
    return [
        offering("balance-check", "free"),
        offering(
            "sale-settle", "single_shot", expectedTimeUs=300000, hardLimitUs=1000000, credit=8
        ),
    ]


def _on_sockets(record, trouble, started):
    fleet = Fleet(record)
    old, new = Backend("s-old", fleet.serve), Backend("s-new", fleet.serve)
    listed = endpoint(old.name, old.address)
    agent = DiscoveryAgent([listed])
    started += [old, new, agent]
    node = Node(node_config(free_port(), agent.address, [listed], _offerings()))
    started.append(node)
    node.start()
    for i in range(10):
        usual = Asker(record, node, f"usual-{i}", "balance-check", "GET", 2000, "small")
        usual.run()
        if usual.answer.status != 200:
            raise CaseCouldNotRunError("an undisturbed request was not served")
    askers = [Asker(record, node, *each) for each in IN_FLIGHT]
    threads = [threading.Thread(target=each.run) for each in askers]
    for thread in threads:
        thread.start()
    time.sleep(TOLD_AFTER_S)
    if trouble:
        record.note("discovery: s-old drains")
        agent.tell([{**listed, "status": "DRAINING"}])
        time.sleep(SUCCESSOR_AFTER_S)
        record.note("discovery: s-new serves")
        since_ms = int(time.time() * 1000)
        agent.tell([{**endpoint(new.name, new.address), "since_ms": since_ms}])
    for thread in threads:
        thread.join()
    time.sleep(0.3)
    Asker(record, node, "usual-last", "balance-check", "GET", 2000, "small").run()
    record.note(f"internal errors in the node's log: {node.log().count('internal_error')}")
    return judge(record, fleet, askers)


def judge(record, fleet, askers):
    """Returns whether an answer over 64 KiB that began in time was cut off by the node."""
    broken = False
    for each in askers:
        began_at = fleet.began.get(each.trace_id)
        if began_at is None or each.answer.status == 200:
            continue
        in_time = began_at <= each.sent_at + each.wait_s + SLACK_S
        if each.trace_id in fleet.cut_off and in_time:
            broken = True
            record.note(
                f"broken: {each.trace_id} ran, its answer began {began_at - each.sent_at:.3f} s"
                f" after it was sent and was cut off after {fleet.cut_off[each.trace_id]} of"
                f" {LARGE_BYTES} bytes; its client got {each.answer.status}"
            )
        elif each.trace_id in fleet.whole:
            record.note(
                f"beside it: {each.trace_id} ran and was answered whole"
                f" {began_at - each.sent_at:.3f} s after it was sent; its client got"
                f" {each.answer.status} after {each.took_s:.3f} s"
            )
    return BROKEN if broken else HELD


if __name__ == "__main__":
    play(Path(__file__).parent, case)
