"""Connection admission, fair queueing and load shedding, mostly without I/O."""

import itertools
import json
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter

from pierglade.admission import connection_admission, fair_queue, load_shedder
from pierglade.proxy.http import reader
from tests.proxy.test_sockets import Peer, answer
from tests.support.scene import StateMachineHarness, TraceTest

TICKS_PER_S = 10000
GET = b"GET /look/1 HTTP/1.1\r\nHost: h\r\nX-Trace-Id: f%d\r\n\r\n"
TRACE_IDS = itertools.count()


class ConnectionAdmissionTest(TraceTest):
    def test_limits_reserve_and_a_blocked_known_address(self):
        """Each limit rejects with its reason; a known address that is blocked counts as unknown.

        Also checks that replaced limits apply to open connections, and that closing all connections
        leaves no state behind.
        """
        limits = connection_admission.ConnectionLimits(
            per_address=3,
            per_prefix=5,
            rate_per_address=4,
            known=["10.0.0.0/8", "2001:db8::/32"],
            reserve=0.25,
        )
        admission, lines = connection_admission.ConnectionAdmission(limits), []

        def connect(now, address, times, budget=16):
            results = [admission.admit(now, address, budget) or "admitted" for _ in range(times)]
            lines.append(f"{now / TICKS_PER_S:g} s {address}: {' '.join(results)}")

        connect(0, "192.0.2.1", 4)
        connect(0, "192.0.2.2", 3)  # two of the prefix's five remain
        connect(0, "198.51.100.1", 3)
        connect(0, "203.0.113.1", 3)
        connect(0, "198.51.100.9", 1)
        connect(0, "192.0.3.1", 2)  # only the reserve remains
        connect(0, "10.1.1.1", 6)
        connect(0, "2001:db8::1", 2)
        for _ in range(3):
            admission.connection_closed(TICKS_PER_S, "198.51.100.1")
        # Its burst is eight, and four more tokens were refilled since.
        connect(TICKS_PER_S, "198.51.100.1", 4)
        for _ in range(10):
            admission.record_fault(2 * TICKS_PER_S, "10.1.1.1")
        # Blocked, so it counts as unknown and is over the limit per address.
        connect(2 * TICKS_PER_S, "10.1.1.1", 1)
        connect(8 * TICKS_PER_S, "10.1.1.1", 1)
        lines += [
            f"open of unknown addresses {admission.unknown_open}",
            str(admission.take_rejections()),
            str(admission.most_rejected(8 * TICKS_PER_S, 3)),
        ]
        admission.set_limits(
            connection_admission.ConnectionLimits(per_address=9, known=["192.0.2.0/24"])
        )
        connect(
            9 * TICKS_PER_S, "192.0.2.1", 9
        )  # a NAT gateway, for which the operator raises the limit
        lines.append(f"open of unknown addresses {admission.unknown_open}")
        for key, state in list(admission.active.items()):
            for _ in range(0 if key.endswith(connection_admission.PREFIX_SUFFIXES) else state.open):
                admission.connection_closed(9 * TICKS_PER_S, key.partition("/")[0])
        lines.append(
            f"all closed: active {len(admission.active)}, unknown {admission.unknown_open}"
        )
        self.check("admission_gate", lines)

    def test_penalties_double_decay_and_are_not_evicted(self):
        """Blocks double until none is added for a while; a stream of new addresses evicts none."""
        admission, lines = (
            connection_admission.ConnectionAdmission(
                connection_admission.ConnectionLimits(per_address=1)
            ),
            [],
        )
        now = 0
        for delay in (0, 6 * TICKS_PER_S, 12 * TICKS_PER_S, 1000 * TICKS_PER_S):
            now += delay
            for _ in range(11):
                admission.record_fault(now, "192.0.2.1")
            lines.append(
                f"{now / TICKS_PER_S:g} s: blocked for {admission.most_rejected(now)[0]['shut_out_s']:g} s"
            )
        for number in range(60000):
            address = f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}"
            admission.admit(now, address, 100)
            admission.connection_closed(now, address)
        lines.append(
            f"after 60000 others: {admission.admit(now, '192.0.2.1', 100)}; active {len(admission.active)}, "
            f"idle {len(admission.idle)}, penalised {len(admission.penalised)}"
        )
        self.check("admission_penalty", lines)


class FairQueueTest(TraceTest):
    def test_a_busy_address_delays_only_its_own_requests(self):
        """An address with 40 requests and one with large requests do not delay two with one request each.

        Once the first request of an address is late, its newest goes first.
        """
        queue, lines = fair_queue.FairQueue(), []
        for number in range(40):
            queue.put(0, "flood", 100, f"f{number}")
        for number in range(3):
            queue.put(0, "large", 9000, f"l{number}")
        queue.put(5, "a", 100, "a")
        queue.put(6, "b", 100, "b")
        lines.append(" ".join(queue.take(10) for _ in range(16)))
        lines.append(" ".join(queue.take(700) for _ in range(4)))
        while len(queue):
            queue.take(700)
        lines.append(f"remaining {queue.count} {queue.queues} {queue.deficits} {list(queue.turns)}")
        self.check("admission_turns", lines)


class SimulatedCpu:
    """A CPU that serves a request in 0.5 ms and rejects one in 0.05 ms.

    Without a load shedder it rejects requests that waited for over 250 ms, which takes 0.35 ms as
    they are parsed first. Clients retry twice, 100 ms after a rejection.
    """

    def __init__(self, has_shedder):
        self.shedder = (
            load_shedder.LoadShedder([1.0, 3.0], random.Random(1).random) if has_shedder else None
        )
        self.now = 0.0
        self.arrivals, self.random = [], random.Random(2)

    def run_second(self, rate):
        """Runs one second with `rate` first attempts.

        Returns the responses within 250 ms, the sum of their priority weights, and the rejections.
        """
        from heapq import heappop, heappush

        start = self.now
        for number in range(rate):
            at = start + TICKS_PER_S * number / rate
            heappush(self.arrivals, (at, self.random.random(), 0, at, self.random.random() < 0.2))
        in_time = priority_weight = rejections = 0
        while self.arrivals and self.arrivals[0][0] < start + TICKS_PER_S:
            at, order, retries, first_at, is_important = heappop(self.arrivals)
            if at > self.now:
                self.now = at
            waited = self.now - at
            if self.shedder:
                rejected = self.shedder.rejects(int(is_important), retries > 0)
                if not rejected:
                    self.shedder.record_wait(self.now, waited / 2500)
            else:
                rejected = waited > 2500
            if rejected:
                self.now += 0.5 if self.shedder else 3.5
                rejections += 1
                if retries < 2:
                    heappush(
                        self.arrivals, (self.now + 1000, order, retries + 1, first_at, is_important)
                    )
                continue
            self.now += 5
            in_time += self.now - at < 2500
            priority_weight += (3 if is_important else 1) * (self.now - at < 2500)
        self.now = max(self.now, start + TICKS_PER_S)
        return in_time, priority_weight, rejections


class LoadShedderTest(TraceTest):
    def test_load_steps(self):
        """Load steps up to 5000 requests per second, with a capacity of 2000.

        Goodput is stable at each step, first attempts and high priority weights go first, and the
        node recovers within a second. Without a shedder retries keep all responses late.
        """
        lines = []
        for has_shedder in (True, False):
            cpu = SimulatedCpu(has_shedder)
            lines.append("with load shedder" if has_shedder else "without")
            for rate in (1000, 1000, 5000, 5000, 5000, 3000, 3000, 1000, 1000, 1000):
                in_time, priority_weight, rejections = cpu.run_second(rate)
                lines.append(
                    f"  {rate} per second: in time {in_time}, weight {priority_weight}, rejected {rejections}"
                )
        self.check("admission_steps", lines)

    def test_a_busy_cpu_without_a_standing_queue_is_no_overload(self):
        """32 clients in a closed loop keep the CPU busy; each waits for 16 ms of an objective of 250 ms."""
        shedder = load_shedder.LoadShedder([1.0], random.Random(1).random)
        for now in range(0, 50000, 5):
            shedder.record_wait(now, 0.064 + 0.02 * (now % 3))
        self.check("admission_busy", [f"threshold {shedder.threshold}"])

    def test_a_pause_of_the_process_is_no_overload(self):
        """The process is paused for 0.5 s and then finds a backlog: the threshold drops to 0 at once."""
        shedder = load_shedder.LoadShedder([1.0], random.Random(1).random)
        for now in range(0, 5000, 10):
            shedder.record_wait(now, 0.001)
        highest = 0.0
        for number in range(100):
            shedder.record_wait(10000 + 4 * number, (5000 - 50 * number) / 2500)
            highest = max(highest, shedder.threshold)
        for now in range(10400, 14400, 10):
            shedder.record_wait(now, 0.001)
        self.check("admission_pause", [f"at most {highest:.2f}, then {shedder.threshold:.2f}"])


class UnparsedRejectionTest(TraceTest):
    HEAD = "GET /look/1 HTTP/1.1\r\nHost: h\r\nX-Trace-Id: {id}\r\nX-Expires-In-Ms: 900\r\n"

    def test_only_simple_requests_are_rejected_unparsed(self):
        """While all requests are to be shed, one that needs full parsing is not rejected unparsed.

        Guards against a rejection that skips a rule, as for a duplicate id or an incomplete message.
        """
        harness, lines = StateMachineHarness(["b0"]), []
        harness.send_request("busy", trace="out")
        shedder = harness.state_machine.balancers.load_shedder
        shedder.threshold = 0.99
        shedder.rejects = lambda *arguments: True
        get, post = self.HEAD, self.HEAD.replace("GET /look", "POST /pay")
        for case, head in (
            ("harmless", get),
            ("one-shot", post + "Content-Length: 0\r\n"),
            ("stamped", self.HEAD.replace("GET /look", "POST /hold") + "Idempotency-Key: k\r\n"),
            ("a pending id", get.replace("{id}", "out")),
            ("no id", get.replace("X-Trace-Id", "X-Other")),
            ("two ids", get + "X-Trace-Id: 2\r\n"),
            ("a body", post + "Content-Length: 2\r\n\r\nab"),
            ("chunked body", post + "Transfer-Encoding: chunked\r\n"),
            ("expects continue", post + "Expect: 100-continue\r\n"),
            ("connection close", get + "Connection: close\r\n"),
            ("no host", get.replace("Host: h\r\n", "")),
            ("incomplete head", get[:-8]),
            ("pipelined", get + "\r\n" + get),
            ("malformed field", get + "no field\r\n"),
            ("HTTP version below", get.replace("1.1", "1.0")),
            ("unknown request class", get.replace("look", "none")),
            ("wrong method", get.replace("GET", "POST")),
            ("health", get.replace("/look/1", "/health/live")),
            ("unexpected key", get + "Idempotency-Key: k\r\n"),
        ):
            name = case.replace(" ", "-")
            data = (head.replace("{id}", name) + "\r\n").encode()
            incoming = reader.RequestReader()
            incoming.writable()[: len(data)] = data
            incoming.filled(len(data))
            harness.open(name)
            refusal = harness.state_machine.requests.preview(
                harness.now, harness.clients[name], incoming, harness.now, harness.now
            )
            lines.append(f"{case}: {'rejected unparsed' if refusal else 'parsed'}")
        lines.append(refusal.decode() if refusal else str(harness.state_machine.balancers.refusals))
        busy = harness.clients["busy"]
        lines.append(
            f"client with a pending request: {harness.state_machine.requests.preview(harness.now, busy, incoming, harness.now, harness.now)}"
        )
        self.check("admission_glance", lines)


CONFIG = """
[listen]
address = "127.0.0.1:0"
[[backends]]
name = "b0"
address = "127.0.0.1:{port}"
[[offerings]]
name = "look"
expected_ms = 1000
hard_limit_ms = 4000
repeat = "harmless"
[admission]
per_address = {per_address}
known = ["127.0.0.1/32"]
reserve = 0.5
"""


class FloodTest(TraceTest):
    def test_reload_and_stop_while_one_address_floods(self):
        """Known clients are served while an unknown address floods the node, before and after a SIGHUP.

        SIGTERM still stops the node with no request pending and no internal error.
        """
        backend = Peer(lambda message: answer(200, b"served"))
        stop, lines = threading.Event(), []
        with tempfile.NamedTemporaryFile("w+", suffix=".toml") as file:

            def write_config(per_address):
                file.seek(0)
                file.truncate()
                file.write(
                    CONFIG.format(port=backend.address.rpartition(":")[2], per_address=per_address)
                )
                file.flush()

            write_config(8)
            node = subprocess.Popen(
                [sys.executable, "-m", "pierglade.cli", "serve", file.name], stdout=subprocess.PIPE
            )
            log_lines, started = [], threading.Event()
            threading.Thread(
                target=self.read_log, args=(node.stdout, log_lines, started), daemon=True
            ).start()
            started.wait(20)
            address = tuple(log_lines[0]["listen"].rsplit(":", 1))
            address = address[0], int(address[1])
            flood = threading.Thread(target=self.flood, args=(address, stop), daemon=True)
            flood.start()
            self.wait_until(lambda: any("open" in line.get("reason", ()) for line in log_lines))
            lines.append(f"known: {self.request_as_known_client(address, 50)}")
            write_config(0)  # no limit per address
            node.send_signal(signal.SIGHUP)
            self.wait_until(lambda: any(line["event"] == "config_reloaded" for line in log_lines))
            lines.append(f"known: {self.request_as_known_client(address, 50)}")
            node.send_signal(signal.SIGTERM)
            lines.append(f"exit {node.wait(20)}")
            stop.set()
            flood.join(20)
        node.stdout.close()
        faults = [
            line for line in log_lines if line["event"] in ("internal_error", "deadline_overrun")
        ]
        self.check("admission_flood", [*lines, f"faults {faults}"])

    def read_log(self, pipe, log_lines, started):
        for line in pipe:
            log_lines.append(json.loads(line))
            started.set()

    def wait_until(self, condition):
        end = time.monotonic() + 20
        while time.monotonic() < end and not condition():
            time.sleep(0.005)
        self.assertTrue(condition())

    def flood(self, address, stop):
        """Opens connections from 127.0.0.2: silent, with an incomplete head, or with a whole request."""
        sockets, number = [], 0
        while not stop.is_set():
            number += 1
            try:
                sock = socket.create_connection(address, 1, source_address=("127.0.0.2", 0))
                sock.sendall((b"", b"GET /look/1 HT", GET % number)[number % 3])
                sockets.append(sock)
            except OSError:
                time.sleep(0.001)
            while len(sockets) > 60:
                sockets.pop(0).close()
        for sock in sockets:
            sock.close()

    def request_as_known_client(self, address, count):
        """Sends `count` requests, each on its own connection; reports whether all got a response, and most a 200.

        Some may get a 503: the flood competes for the CPU, and the node sheds load while the machine stalls.
        """
        statuses = Counter()
        for number in range(count):
            with socket.create_connection(address, 20) as sock:
                sock.sendall(GET % (10**6 + next(TRACE_IDS)))
                statuses[sock.recv(4096)[9:12].decode()] += 1
        return f"answered {statuses['200'] + statuses['503']} of {count}, most served {statuses['200'] > 0.8 * count}"
