"""A stamped request is sent again after the time for which its group remembers it, and runs twice.

One node, two backends of one pod, and the `propose-swap` offering of padana-main: expected within
1.5 s, hard limit 5 s, repeats dropped by the pod for 3 s. The backend that gets the request first
reads its body at once, the other one reads bodies slowly. The disruption: the connection of the
first backend is reset under the request, after that has run.
Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
"""

import socket
import struct
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

WINDOW_S = 3.0  # repeatWindowUs of propose-swap at padana-main
SLACK_S = 0.05  # on sockets each time limit is 50 ms longer
EXPIRES_IN_MS = 4800  # a try is given up after 70 to 100% of the hard limit of 5 s
BODY_BYTES = 256000
SLOW_BYTES_PER_S = 64000  # the slowest rate of a body that the pages name
WORK_S = 0.2  # work of propose-swap at padana-main: 130 to 230 ms
RECEIVE_BUFFER = 8192  # small, so that what the backend has not read is not there yet either


class Pod:
    """The two backends: which one is in which trouble, and what the pod has run."""

    def __init__(self, record, trouble: bool):
        self.record, self.trouble, self.lock = record, trouble, threading.Lock()
        self.first = None  # the backend that got the stamped request first
        self.arrivals = []  # (moment of the last byte, backend, key) of each attempt
        self.runs = []  # (moment, backend, key) of each execution

    def serve(self, backend, messages):
        """Serves one request of a connection."""
        start, fields = messages.head()
        if start.startswith(b"GET"):
            time.sleep(0.05)
            self.record.note(f"{backend.name} ran {start.split()[1].decode()}")
            return messages.sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        key = fields[b"idempotency-key"].decode()
        with self.lock:
            self.first = self.first or backend
        is_first = self.first is backend
        self.record.note(f"{backend.name} got the head of {key}")
        self._read_body(backend, messages, int(fields[b"content-length"]), is_first, key)
        arrived_at = self.record.now()
        self.arrivals.append((arrived_at, backend.name, key))
        self.record.note(f"{backend.name} got the last byte of {key}")
        answer = self._run_unless_repeated(backend, key, arrived_at)
        if self.trouble and is_first:
            # The connection breaks under a request that has run.
            self.record.note(f"{backend.name} resets the connection of {key}")
            messages.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            return False
        messages.sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (2, answer))
        return True

    def _read_body(self, backend, messages, length, is_first, key):
        is_slow = not is_first
        received, began_at = len(messages.buffer), time.monotonic()
        messages.buffer = b""
        while received < length:
            data = messages.sock.recv(min(length - received, 3200 if is_slow else 65536))
            if not data:
                self.record.note(f"{backend.name} saw {key} given up after {received} bytes")
                raise ConnectionEndedError("given up")
            received += len(data)
            if is_slow:
                time.sleep(max(0.0, began_at + received / SLOW_BYTES_PER_S - time.monotonic()))

    def _run_unless_repeated(self, backend, key, arrived_at):
        with self.lock:
            # The pod drops a repeat for the window from the last byte of the attempt that ran.
            for ran_at, _, ran_key in self.runs:
                if ran_key == key and arrived_at <= ran_at + WINDOW_S + SLACK_S:
                    self.record.note(f"{backend.name} dropped {key} as a repeat")
                    return b"ok"
            self.runs.append((arrived_at, backend.name, key))
        time.sleep(WORK_S)
        self.record.note(f"{backend.name} ran {key}")
        return b"ok"


def case(record, trouble, started):
    """Plays the case once; returns the exit status."""
    pod = Pod(record, trouble)
    backends = [Backend(f"s-{i}", pod.serve, RECEIVE_BUFFER) for i in range(2)]
    endpoints = [endpoint(each.name, each.address, group=3) for each in backends]
    agent = DiscoveryAgent(endpoints)
    started += [*backends, agent]
    offerings = [
        offering("read-scores", "free", expectedTimeUs=400000, hardLimitUs=1000000),
        offering(
            "propose-swap",
            "guarded",
            group="cell",
            repeatWindowUs=int(WINDOW_S * 1e6),
            expectedTimeUs=1500000,
            hardLimitUs=5000000,
            credit=3,
        ),
    ]
    node = Node(node_config(free_port(), agent.address, endpoints, offerings))
    started.append(node)
    node.start()
    for i in range(12):
        client = Client(node.port)
        client.send(request_bytes("GET", f"/read-scores/{i}", f"warm-{i}", 900))
        answer = client.answer(3)
        client.close()
        record.note(f"client: read-scores/{i} answered {answer.status}")
        if answer.status != 200:
            raise CaseCouldNotRunError("an undisturbed request was not served")
    client = Client(node.port)
    body = b"x" * BODY_BYTES
    record.note("client: sends propose-swap with key k-1")
    client.send(request_bytes("POST", "/propose-swap/1", "swap-1", EXPIRES_IN_MS, body, key="k-1"))
    answer = client.answer(8)
    client.close()
    record.note(f"client: propose-swap answered {answer.status} {answer.fault}")
    time.sleep(0.5)
    return judge(record, pod)


def judge(record, pod):
    """Returns whether an attempt came after the window, counted from last byte to last byte."""
    if not pod.arrivals:
        raise CaseCouldNotRunError("no backend got the request")
    first_at = pod.arrivals[0][0]
    late = [each for each in pod.arrivals if each[0] > first_at + WINDOW_S + SLACK_S]
    for moment, name, key in late:
        record.note(
            f"broken: {name} got {key} whole {moment - first_at:.3f} s after {pod.arrivals[0][1]},"
            f" past the window of {WINDOW_S} s and {SLACK_S} s"
        )
    record.note(f"executions of k-1: {len(pod.runs)}")
    return BROKEN if late and len(pod.runs) > 1 else HELD


if __name__ == "__main__":
    play(Path(__file__).parent, case)
