"""`python -m tests.soak.play SEED...`: plays seeded faults on real processes and checks the rules.

Each seed draws its forms: crowds, floods, bursts of connections, late bodies, clients that leave, failing system
calls, backends that drain and are replaced, also at the same address, a node that stands still, reloads, upgrades, signals in
series, failing writes, steps of the wall clock, few descriptors, ids that come again, a bad network, large requests, outages of
discovery, a node that is killed and started again. Clients use their open connections until
SIGKILL, which comes at the earliest time of the pages. Prints a line for each broken rule; ends with 1 if there is one.
"""

import contextlib
import json
import random
import resource
import signal
import sys
import threading
import time
from zlib import crc32

from tests.support.crowd import Crowd
from tests.support.fault_proxy import MAX_DELAY_S, FaultProxy
from tests.support.node_process import (
    SETTINGS,
    Backend,
    Client,
    Discovery,
    NodeProcess,
    offering,
    request,
    respond,
)

LONGEST_WAIT_S = 1.6
KILL_AFTER_TERM_S = LONGEST_WAIT_S + 0.7  # the earliest of the protocol page
ANSWER_LIMIT_S = 0.5  # how late an answer may be before it counts as lost
LEFT_GRACE_S = 0.1  # after a close, in which an attempt may still begin
DRAIN_GRACE_S = 0.5
SLACK_S = 0.1  # of this program's own threads, on top of the pages' limits
CONNECT_AFTER_TERM_S = 0.3  # in which clients still open connections
CLIENTS, BACKENDS = 8, 4
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
FAULTS = {"accept": 0.1, "socket": 0.03, "connect": 0.03, "short": 0.2, "broken": 0.005}
FORMS = {  # the share of seeds that have it
    "crowd": 0.4,
    "flood": 0.2,
    "late_bodies": 0.5,
    "departures": 0.6,
    "faults": 0.3,
    "replacement": 0.6,
    "stepped_clock": 0.3,
    "upgrade": 0.4,
    "no_cancel": 0.2,
    "small_memory": 0.3,
    "errors": 0.4,
    "burst": 0.3,
    "standstill": 0.3,
    "same_address": 0.3,
    "few_descriptors": 0.2,
    "file_errors": 0.3,
    "node_clock": 0.3,
    "repeats": 0.4,
    "network": 0.4,
    "uploads": 0.3,
    "discovery_outage": 0.3,
    "crash": 0.2,
}
UPLOAD_BYTES, UPLOAD_PIECES, UPLOAD_PAUSE_S = 200000, 8, 0.02
NETWORK_DELAY_S = 2 * MAX_DELAY_S
FEW_DESCRIPTORS = 96
FILE_FAULTS = {"file": 0.3}
CLOCK_STEPS_S = (3.0, 3600.0)
STANDSTILLS_S = (0.2, 0.6, 0.9)  # of the node; the longest exceeds the grace of a drain
BURST = 200  # connections


def settings(forms):
    times = {"expectedTimeUs": 600000, "hardLimitUs": int(LONGEST_WAIT_S * 1e6)}
    kinds = (("check", "free"), ("hold", "guarded"), ("settle", "single_shot"))
    return {
        **SETTINGS,
        "offerings": [offering(*each, group="all", **times) for each in kinds],
        "limits": {**SETTINGS["limits"], "mayCancel": "no_cancel" not in forms},
    }


class Sent:
    """A request of a client, and how it ended: `status` 0 is an end without an answer."""

    def __init__(self, trace_id, path, wait_s):
        self.trace_id, self.path, self.wait_s = trace_id, path, wait_s
        self.sent_at, self.ended_at, self.left_at = time.monotonic(), None, None
        self.status, self.is_whole, self.body = None, False, b""


class Soak:
    """One seed."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.forms = {each for each, share in FORMS.items() if self.random.random() < share}
        self.sent, self.lock, self.number = [], threading.Lock(), 0
        self.term_at, self.is_over, self.drained_at = None, False, {}
        self.crashed_at = None
        self.proxies = []
        self.backends = [self.backend(f"b{n}") for n in range(BACKENDS)]
        self.discovery = Discovery([each.entry() for each in self.backends])
        self.crowds, self.nodes, self.standstills = [], [], []

    def backend(self, name, **changed):
        """Returns a new backend, behind a proxy where the seed has a bad network."""
        backend = Backend(name, self.serve, **changed)
        if "network" in self.forms:
            self.proxies.append(FaultProxy(backend.address, random.Random(self.random.random())))
            backend.put_behind(self.proxies[-1])
        return backend

    def start_node(self, **changed):
        faults = {"seed": self.random.random()}
        faults |= FAULTS if "faults" in self.forms else {}
        faults |= FILE_FAULTS if "file_errors" in self.forms else {}
        faults |= (
            {"step_s": self.random.choice(CLOCK_STEPS_S)} if "node_clock" in self.forms else {}
        )
        descriptors = FEW_DESCRIPTORS if "few_descriptors" in self.forms else 1024
        node = NodeProcess(
            self.discovery,
            module="tests.support.faulty_node" if len(faults) > 1 else "pierglade",
            environ={"FAULTS": json.dumps(faults)},
            settings=settings(self.forms),
            limits={
                "memory_mb": 32 if "small_memory" in self.forms else 192,
                "sockets": descriptors,
            },
            **changed,
        ).wait_ready()
        resource.prlimit(node.process.pid, resource.RLIMIT_NOFILE, (descriptors, descriptors))
        self.nodes.append(node)
        return node

    def serve(self, sock, received):
        kind = crc32(received.trace_id.encode()) % 100
        time.sleep(0.005 + kind % 10 / 200)
        if "errors" in self.forms and kind < 6:
            if kind < 3:
                return respond(sock, status=503, fields=b"X-Never-Ran: 1\r\n")
            return sock.close()
        if "late_bodies" in self.forms and received.path.endswith("late"):
            sock.sendall(CHUNKED)
            time.sleep(0.5)
            for _ in range(10):
                sock.sendall(b"2710\r\n%s\r\n" % (b"x" * 10000))
                time.sleep(0.02)
            return sock.sendall(b"0\r\n\r\n")
        return respond(sock, received.trace_id.encode())

    def play(self):
        """Plays the seed and returns the broken rules, a line each."""
        try:
            node = self.start_node()
            self.place = node.place
            clients = [
                threading.Thread(target=self.client, args=(node.place, random.Random(n)))
                for n in range(CLIENTS)
            ]
            for each in clients:
                each.start()
            node = self.disturb(node)
            self.stop(node)
            self.is_over = True
            for each in clients:
                each.join(20)
            time.sleep(0.3)
            return self.broken(node)
        finally:
            self.is_over = True
            for each in (
                *self.crowds,
                *self.nodes,
                self.discovery,
                *self.proxies,
                *self.backends,
            ):
                each.close()

    def disturb(self, node):
        time.sleep(0.4)
        if "crowd" in self.forms:
            kinds = (
                lambda i: request("/settle", f"crowd-{i}", body=b"x" * 60000)[:-1],
                lambda i: b"GET /check HTTP/1.1\r\nA: " + b"a" * 9000,
                lambda i: b"",
            )
            self.crowds.append(Crowd(node.place, 300, lambda i: kinds[i % 3](i)))
        if "flood" in self.forms:
            threading.Thread(target=self.flood, args=(node.place,), daemon=True).start()
        time.sleep(0.5)
        self.begin_standstill(node)
        if "discovery_outage" in self.forms:
            self.discovery.set_silent(True)
            time.sleep(self.random.choice((0.2, 1.0)))
        if "replacement" in self.forms:
            self.replace()
        self.discovery.set_silent(False)
        if "same_address" in self.forms:
            self.take_address()
        self.end_standstill(node)
        if "burst" in self.forms:
            self.crowds.append(
                Crowd(node.place, BURST, lambda i: request("/check", f"burst-{i}", wait_ms=400))
            )
        node.reload()
        time.sleep(0.6)
        if "crash" in self.forms:
            node = self.restart(node)
            time.sleep(0.3)
        if "upgrade" in self.forms:
            self.start_node(listen="%s:%d" % node.place, folder=node.folder)
        return node

    def restart(self, node):
        """Kills the node, and starts another one at its address and in its folder; returns that."""
        self.crashed_at = time.monotonic()
        node.process.kill()
        node.process.wait()
        return self.start_node(listen="%s:%d" % node.place, folder=node.folder)

    def begin_standstill(self, node):
        if "standstill" in self.forms:
            node.process.send_signal(signal.SIGSTOP)
            self.standstills.append((time.monotonic(), self.random.choice(STANDSTILLS_S)))

    def end_standstill(self, node):
        if "standstill" in self.forms:
            began_at, duration_s = self.standstills.pop()
            time.sleep(duration_s)
            node.process.send_signal(signal.SIGCONT)
            self.standstills.append((began_at, time.monotonic() - began_at))

    def stood_still_s(self, sent):
        """Returns for how long the node stood still while a request was pending."""
        return sum(
            max(0.0, min(sent.ended_at, began_at + duration_s) - max(sent.sent_at, began_at))
            for began_at, duration_s in self.standstills
        )

    def is_due_in_standstill(self, sent):
        """Returns whether a deadline passed while the node stood still, which it then overruns."""
        due_at = sent.sent_at + sent.wait_s
        return any(
            began_at - SLACK_S <= due_at <= began_at + duration_s + SLACK_S
            for began_at, duration_s in self.standstills
        )

    def replace(self):
        old = self.backends[0]
        step_s = self.random.choice((-3600, -3, 3, 3600)) if "stepped_clock" in self.forms else 0
        new = self.backend("b9")
        self.backends.append(new)
        self.discovery.tell(
            old.entry("DRAINING"), new.entry(since_ms=int((time.time() + step_s) * 1000))
        )
        self.drained_at[old] = time.monotonic()

    def take_address(self):
        """Ends a backend; a process of another name, in another zone, comes up at its address."""
        old = self.backends[1]
        old.close()
        new = Backend("b8", self.serve, zone="b", address=old.own_address)
        new.address = old.address
        self.backends.append(new)
        time.sleep(self.random.choice((0.0, 0.1, 0.3)))  # until discovery knows
        self.discovery.tell(old.entry("DELETED"), new.entry(since_ms=int(time.time() * 1000)))

    def flood(self, place):
        try:
            client = Client(place, 2)
            while not self.is_over:
                client.send(b"GET /new HTTP/1.1\r\nHost: node\r\n\r\n" * 50)
                client.sock.recv(1 << 16)
        except OSError:
            pass

    def stop(self, node):
        self.term_at = time.monotonic()
        for name in self.random.choice(
            (["t"], ["t", "t"], ["h", "t"], ["t", "h"], ["h", "h", "t", "h"])
        ):
            node.terminate() if name == "t" else node.reload()
        while time.monotonic() < self.term_at + KILL_AFTER_TERM_S and node.process.poll() is None:
            time.sleep(0.005)
        self.killed_at = time.monotonic() if node.process.poll() is None else None
        if self.killed_at:
            node.process.kill()

    def client(self, place, chance):
        connection = None
        while not self.is_over:
            if connection is None:
                if self.term_at and time.monotonic() > self.term_at + CONNECT_AFTER_TERM_S:
                    if "upgrade" not in self.forms:
                        return
                try:
                    connection = Client(place, 10)
                except OSError:
                    time.sleep(0.02)
                    continue
            if not self.ask(connection, chance):
                connection.close()
                connection = None
            time.sleep(chance.random() * 0.03)
        if connection is not None:
            connection.close()

    def ask(self, connection, chance):
        """Sends one request; returns whether the connection stays open."""
        path = chance.choice(("/check", "/hold", "/settle"))
        if chance.random() < 0.1:
            path += "/late"
        elif "uploads" in self.forms and path != "/check" and chance.random() < 0.1:
            path += "/upload"
        with self.lock:
            self.number += 1
            sent = Sent(f"id{self.number}", path, chance.choice((0.4, 0.8, LONGEST_WAIT_S)))
            self.sent.append(sent)
        body = b"y" * chance.choice((0, 40, 5000)) if path[:6] != "/check" else b""
        if path.endswith("upload"):
            body = b"y" * UPLOAD_BYTES
        try:
            data = request(path, sent.trace_id, int(sent.wait_s * 1000), body)
            if path.endswith("upload"):
                self.upload(connection, sent, data)
            else:
                connection.send(data)
            if "departures" in self.forms and chance.random() < 0.1:
                time.sleep(chance.random() * 0.1)
                sent.left_at = time.monotonic()
                if "repeats" in self.forms:
                    self.repeat(connection, sent, body)
                return False
            answer = connection.answer()
            sent.status, sent.is_whole, sent.body = answer.status, answer.whole, answer.body
        except OSError:
            sent.status = 0
        sent.ended_at = time.monotonic()
        sent.first_at = connection.first_byte_at or sent.ended_at
        return bool(sent.status) and sent.is_whole and answer.fields.get("connection") != "close"

    def upload(self, connection, sent, data):
        """Sends a large request piece by piece; its time counts from its last byte."""
        step = len(data) // UPLOAD_PIECES + 1
        with contextlib.suppress(ConnectionError):  # It may be answered before its end.
            for start in range(0, len(data), step):
                connection.send(data[start : start + step])
                sent.sent_at = time.monotonic()
                time.sleep(UPLOAD_PAUSE_S)

    def repeat(self, connection, sent, body):
        """Sends the request of a client that has left once more, on a new connection."""
        connection.close()
        with contextlib.suppress(OSError), contextlib.closing(Client(self.place, 10)) as again:
            again.send(request(sent.path, sent.trace_id, int(sent.wait_s * 1000), body)).answer()

    # The rules.

    def broken(self, node):
        received = [each for backend in self.backends for each in backend.received]
        arrivals = {}
        for each in received:
            arrivals.setdefault(each.trace_id, []).append(each)
        lines = [self.fault(sent, arrivals.get(sent.trace_id, []), node) for sent in self.sent]
        for backend, drained_at in self.drained_at.items():
            grace_s = DRAIN_GRACE_S + SLACK_S + self.network_delay_s()
            late = [e for e in backend.received if e.at > drained_at + grace_s]
            lines += [f"drain: {e.trace_id} {e.at - drained_at:.2f} s after it" for e in late]
        for each in self.nodes:
            lines += [f"fault: {line['error']}" for line in each.events("internal_error")]
            for line in each.events("deadline_overrun"):
                about = [e for e in each.lines if e.get("request_id") == line["request_id"]]
                sent = next((e for e in self.sent if e.trace_id == line["request_id"]), None)
                if sent is None or not self.is_due_in_standstill(sent):
                    lines.append(f"overrun: {sent and sent.path} {about}")
        if node.process.poll() not in (0, None, -9):
            lines.append(f"crash: exit status {node.process.poll()}")
        for other in self.nodes:
            if other.process.poll() == -signal.SIGKILL and self.crashed_at:
                continue
            if other is not node and other.process.poll() is not None:
                lines.append(f"crash: the new process ended with {other.process.poll()}")
        return [line for line in lines if line]

    def network_delay_s(self):
        """Returns by how much a request may reach its backend later than it was sent."""
        return NETWORK_DELAY_S if "network" in self.forms else 0.0

    def fault(self, sent, arrivals, node):
        where = f"{sent.trace_id} {sent.path} wait {sent.wait_s} s"
        ran = len(arrivals)
        if sent.path.startswith("/settle") and ran > 1 and not self.never_ran(sent):
            return f"duplicate: {where} ran {ran} times"
        if sent.left_at is not None and "repeats" in self.forms:
            return None  # The repeat may have been forwarded; that it ran once is checked above.
        if sent.left_at is not None:
            grace_s = LEFT_GRACE_S + SLACK_S + self.network_delay_s()
            late = [e.at for e in arrivals if e.at > sent.left_at + grace_s]
            return late and f"lost: {where} began {late[0] - sent.left_at:.2f} s after its close"
        if sent.ended_at is None:
            return f"lost: {where} was not answered"
        took_s = sent.ended_at - sent.sent_at - self.stood_still_s(sent)
        if sent.status == 200 and sent.path.endswith("late") and "late_bodies" in self.forms:
            took_s = sent.first_at - sent.sent_at - self.stood_still_s(sent)
        if sent.status and took_s > sent.wait_s + ANSWER_LIMIT_S + SLACK_S:
            return f"lost: {where} was answered {sent.status} after {took_s:.2f} s"
        if sent.status == 200 and sent.is_whole and "late" not in sent.path:
            if sent.body != sent.trace_id.encode():
                return f"lost: {where} got another answer"
        if self.crashed_at and sent.sent_at - SLACK_S < self.crashed_at < sent.ended_at + SLACK_S:
            return None  # A node that is killed loses what it had taken.
        if not sent.status and (ran or self.was_read(sent)):
            since = self.term_at and sent.ended_at - self.term_at
            return f"lost: {where} ended with no answer, {since} s after SIGTERM, ran {ran}"
        return None

    def never_ran(self, sent):
        return "errors" in self.forms and crc32(sent.trace_id.encode()) % 100 < 3

    def was_read(self, sent):
        return any(
            line.get("request_id") == sent.trace_id
            for node in self.nodes
            for line in node.events("downstream_closed")
        )


def main(seeds):
    """Plays the seeds one after the other; returns the number of broken rules."""
    count = 0
    for seed in seeds:
        soak = Soak(seed)
        lines = soak.play()
        count += len(lines)
        statuses = {}
        for each in soak.sent:
            statuses[each.status] = statuses.get(each.status, 0) + 1
        end = "killed" if soak.killed_at else "ended"
        print(
            f"seed {seed}: {len(lines)} broken, {end}, {statuses}, {', '.join(sorted(soak.forms))}"
        )
        for line in lines[:20]:
            print(f"  {line}", flush=True)
    return count


if __name__ == "__main__":
    sys.exit(main([int(each) for each in sys.argv[1:]]) > 0)
