"""Admission without I/O: who may connect, who is served next, what is shed while CPU is short."""

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
from tests.support.scene import Desk, TraceTest

S = 10000  # tenths of a ms in a second
GET = b"GET /look/1 HTTP/1.1\r\nHost: h\r\nX-Trace-Id: f%d\r\n\r\n"
IDS = itertools.count()


class ConnectionAdmissionTest(TraceTest):
    def test_limits_reserve_and_a_known_address_that_is_blocked(self):
        caps = connection_admission.ConnectionLimits(
            per_address=3,
            per_prefix=5,
            rate_per_address=4,
            known=["10.0.0.0/8", "2001:db8::/32"],
            reserve=0.25,
        )
        admission, lines = connection_admission.ConnectionAdmission(caps), []

        def come(now, address, times, budget=16):
            got = [admission.opened(now, address, budget) or "in" for _ in range(times)]
            lines.append(f"{now / S:g} s {address}: {' '.join(got)}")

        come(0, "192.0.2.1", 4)
        come(0, "192.0.2.2", 3)  # two of the prefix's five are left
        come(0, "198.51.100.1", 3)
        come(0, "203.0.113.1", 3)
        come(0, "198.51.100.9", 1)
        come(0, "192.0.3.1", 2)  # the rest is the reserve
        come(0, "10.1.1.1", 6)
        come(0, "2001:db8::1", 2)
        for _ in range(3):
            admission.closed(S, "198.51.100.1")
        come(S, "198.51.100.1", 4)  # its rate allowed eight at once, and four more have come since
        for _ in range(10):
            admission.faulted(2 * S, "10.1.1.1")
        come(2 * S, "10.1.1.1", 1)  # a stranger now: over a stranger's cap
        come(8 * S, "10.1.1.1", 1)
        lines += [
            f"open to strangers {admission.strangers}",
            str(admission.take_rejections()),
            str(admission.top(8 * S, 3)),
        ]
        admission.set_limits(
            connection_admission.ConnectionLimits(per_address=9, known=["192.0.2.0/24"])
        )
        come(9 * S, "192.0.2.1", 9)  # an honest one behind a NAT, lifted by its operator
        lines.append(f"open to strangers {admission.strangers}")
        for address, row in list(admission.rows.items()):
            for _ in range(0 if address.endswith(connection_admission.PREFIXES) else row.open):
                admission.closed(9 * S, address.partition("/")[0])
        lines.append(f"all closed: rows {len(admission.rows)}, strangers {admission.strangers}")
        self.check("admission_gate", lines)

    def test_penalties_double_and_decay_and_fresh_addresses_evict_none(self):
        admission, lines = (
            connection_admission.ConnectionAdmission(
                connection_admission.ConnectionLimits(per_address=1)
            ),
            [],
        )
        now = 0
        for again in (0, 6 * S, 12 * S, 1000 * S):
            now += again
            for _ in range(11):
                admission.faulted(now, "192.0.2.1")
            lines.append(f"{now / S:g} s: shut out for {admission.top(now)[0]['shut_out_s']:g} s")
        for number in range(60000):
            address = f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}"
            admission.opened(now, address, 100)
            admission.closed(now, address)
        lines.append(
            f"after 60000 others: {admission.opened(now, '192.0.2.1', 100)}; rows {len(admission.rows)} "
            f"{len(admission.resting)} {len(admission.penalised)}"
        )
        self.check("admission_penalty", lines)


class FairQueueTest(TraceTest):
    def test_an_address_that_sends_much_delays_only_its_own(self):
        """A flood of 40 and one of large requests beside two of one each; then, late, the newest go first."""
        line, lines = fair_queue.FairQueue(), []
        for number in range(40):
            line.put(0, "flood", 100, f"f{number}")
        for number in range(3):
            line.put(0, "large", 9000, f"l{number}")
        line.put(5, "a", 100, "a")
        line.put(6, "b", 100, "b")
        lines.append(" ".join(line.take(10) for _ in range(16)))
        lines.append(" ".join(line.take(700) for _ in range(4)))
        while len(line):
            line.take(700)
        lines.append(f"left {line.count} {line.queues} {line.saved} {list(line.turns)}")
        self.check("admission_turns", lines)


class Core:
    """A core that answers in 0.5 ms, refuses in 0.05 ms, or at once after parsing in 0.35 ms without a shedder.

    Clients come back twice, 100 ms after a refusal. A loop's turn takes what has come.
    """

    def __init__(self, sheds):
        self.shedder = (
            load_shedder.LoadShedder([1.0, 3.0], random.Random(1).random) if sheds else None
        )
        self.now = 0.0
        self.due, self.chance = [], random.Random(2)

    def second(self, rate):
        """One second at `rate` first tries: (answered within 250 ms, their credit, refused)."""
        from heapq import heappop, heappush

        start = self.now
        for number in range(rate):
            at = start + S * number / rate
            heappush(self.due, (at, self.chance.random(), 0, at, self.chance.random() < 0.2))
        good = priority_weight = refused = 0
        while self.due and self.due[0][0] < start + S:
            at, order, tries, first, dear = heappop(self.due)
            if at > self.now:
                self.now = at
            waited = self.now - at
            if self.shedder:
                turned = self.shedder.rejects(int(dear), tries > 0)
                if not turned:
                    self.shedder.note_wait(self.now, waited / 2500)
            else:
                turned = waited > 2500
            if turned:
                self.now += 0.5 if self.shedder else 3.5
                refused += 1
                if tries < 2:
                    heappush(self.due, (self.now + 1000, order, tries + 1, first, dear))
                continue
            self.now += 5
            good += self.now - at < 2500
            priority_weight += (3 if dear else 1) * (self.now - at < 2500)
        self.now = max(self.now, start + S)
        return good, priority_weight, refused


class Bars(TraceTest):
    def test_load_steps(self):
        """Stable at each step, dear and first ones before others, and back within a second; without it not."""
        lines = []
        for sheds in (True, False):
            core = Core(sheds)
            lines.append("with the bar" if sheds else "without")
            for rate in (1000, 1000, 5000, 5000, 5000, 3000, 3000, 1000, 1000, 1000):
                good, priority_weight, refused = core.second(rate)
                lines.append(
                    f"  {rate} a second: in time {good}, credit {priority_weight}, refused {refused}"
                )
        self.check("admission_steps", lines)

    def test_clients_that_keep_the_core_just_busy_are_no_overload(self):
        """32 clients that ask again at once: the core never rests, and each waits for 16 ms of 250."""
        shedder = load_shedder.LoadShedder([1.0], random.Random(1).random)
        for now in range(0, 50000, 5):
            shedder.note_wait(now, 0.064 + 0.02 * (now % 3))
        self.check("admission_busy", [f"bar {shedder.threshold}"])

    def test_a_pause_of_its_own_is_no_overload(self):
        """Half a second without the core, then what came meanwhile: the bar is down again at once."""
        shedder = load_shedder.LoadShedder([1.0], random.Random(1).random)
        for now in range(0, 5000, 10):
            shedder.note_wait(now, 0.001)
        highest = 0.0
        for each in range(100):
            shedder.note_wait(10000 + 4 * each, (5000 - 50 * each) / 2500)
            highest = max(highest, shedder.threshold)
        for now in range(10400, 14400, 10):
            shedder.note_wait(now, 0.001)
        self.check("admission_pause", [f"at most {highest:.2f}, then {shedder.threshold:.2f}"])


class Glances(TraceTest):
    HEAD = "GET /look/1 HTTP/1.1\r\nHost: h\r\nX-Trace-Id: {id}\r\nX-Expires-In-Ms: 900\r\n"

    def test_what_needs_more_than_a_glance_goes_the_ordinary_way(self):
        """All is to be refused; what the rules need looked at is not refused unseen."""
        desk, lines = Desk(["b0"]), []
        desk.ask("busy", trace="out")
        shedder = desk.reducer.balancers.load_shedder
        shedder.threshold = 0.99
        shedder.rejects = lambda *what: True
        get, post = self.HEAD, self.HEAD.replace("GET /look", "POST /pay")
        for what, head in (
            ("harmless", get),
            ("one-shot", post + "Content-Length: 0\r\n"),
            ("stamped", self.HEAD.replace("GET /look", "POST /hold") + "Idempotency-Key: k\r\n"),
            ("an id that is out", get.replace("{id}", "out")),
            ("no id", get.replace("X-Trace-Id", "X-Other")),
            ("two ids", get + "X-Trace-Id: 2\r\n"),
            ("a body", post + "Content-Length: 2\r\n\r\nab"),
            ("chunks", post + "Transfer-Encoding: chunked\r\n"),
            ("waits", post + "Expect: 100-continue\r\n"),
            ("closes", get + "Connection: close\r\n"),
            ("no host", get.replace("Host: h\r\n", "")),
            ("half", get[:-8]),
            ("one ahead", get + "\r\n" + get),
            ("no HTTP", get + "no field\r\n"),
            ("older", get.replace("1.1", "1.0")),
            ("another offering", get.replace("look", "none")),
            ("another method", get.replace("GET", "POST")),
            ("health", get.replace("/look/1", "/health/live")),
            ("a key too much", get + "Idempotency-Key: k\r\n"),
        ):
            name = what.replace(" ", "-")
            data = (head.replace("{id}", name) + "\r\n").encode()
            incoming = reader.RequestReader()
            incoming.writable()[: len(data)] = data
            incoming.filled(len(data))
            desk.open(name)
            refusal = desk.reducer.requests.preview(
                desk.now, desk.clients[name], incoming, desk.now, desk.now
            )
            lines.append(f"{what}: {'refused' if refusal else 'ordinary'}")
        lines.append(refusal.decode() if refusal else str(desk.reducer.balancers.refusals))
        owed = desk.clients["busy"]
        lines.append(
            f"one that is owed an answer: {desk.reducer.requests.preview(desk.now, owed, incoming, desk.now, desk.now)}"
        )
        self.check("admission_glance", lines)


OWN = """
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
per_address = {most}
known = ["127.0.0.1/32"]
reserve = 0.5
"""


class Floods(TraceTest):
    def test_sighup_and_sigterm_while_one_address_floods(self):
        """Known clients are served all along; other caps hold from SIGHUP on; SIGTERM ends it with nothing owed."""
        backend = Peer(lambda message: answer(200, b"served"))
        stop, lines = threading.Event(), []
        with tempfile.NamedTemporaryFile("w+", suffix=".toml") as file:

            def write(most):
                file.seek(0)
                file.truncate()
                file.write(OWN.format(port=backend.address.rpartition(":")[2], most=most))
                file.flush()

            write(8)
            node = subprocess.Popen(
                [sys.executable, "-m", "pierglade.cli", "serve", file.name], stdout=subprocess.PIPE
            )
            seen, started = [], threading.Event()
            threading.Thread(
                target=self.read, args=(node.stdout, seen, started), daemon=True
            ).start()
            started.wait(20)
            place = tuple(seen[0]["listen"].rsplit(":", 1))
            place = place[0], int(place[1])
            flood = threading.Thread(target=self.flood, args=(place, stop), daemon=True)
            flood.start()
            self.until(lambda: any("open" in line.get("reason", ()) for line in seen))
            lines.append(f"known: {self.known(place, 50)}")
            write(0)  # no caps: whoever comes now is let in
            node.send_signal(signal.SIGHUP)
            self.until(lambda: any(line["event"] == "config_reloaded" for line in seen))
            lines.append(f"known: {self.known(place, 50)}")
            node.send_signal(signal.SIGTERM)
            lines.append(f"exit {node.wait(20)}")
            stop.set()
            flood.join(20)
        node.stdout.close()
        faults = [line for line in seen if line["event"] in ("internal_error", "deadline_overrun")]
        self.check("admission_flood", [*lines, f"faults {faults}"])

    def read(self, pipe, seen, started):
        for line in pipe:
            seen.append(json.loads(line))
            started.set()

    def until(self, true):
        end = time.monotonic() + 20
        while time.monotonic() < end and not true():
            time.sleep(0.005)
        self.assertTrue(true())

    def flood(self, place, stop):
        """Connections from 127.0.0.2, some silent, some with half a head, some with whole requests."""
        held, number = [], 0
        while not stop.is_set():
            number += 1
            try:
                sock = socket.create_connection(place, 1, source_address=("127.0.0.2", 0))
                sock.sendall((b"", b"GET /look/1 HT", GET % number)[number % 3])
                held.append(sock)
            except OSError:
                time.sleep(0.001)
            while len(held) > 60:
                held.pop(0).close()
        for sock in held:
            sock.close()

    def known(self, place, count):
        """Of so many requests of a known client, each on a connection of its own: all answered, most served?

        The flood takes what it can of the core, and a machine that stands still makes the node refuse some.
        """
        got = Counter()
        for number in range(count):
            with socket.create_connection(place, 20) as sock:
                sock.sendall(GET % (10**6 + next(IDS)))
                got[sock.recv(4096)[9:12].decode()] += 1
        return (
            f"answered {got['200'] + got['503']} of {count}, most served {got['200'] > 0.8 * count}"
        )
