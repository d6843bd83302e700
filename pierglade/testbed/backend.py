"""One stand-in backend: the protocol's side of a backend on a listening socket, over the model of one.

The model (`pierglade.simulation.backend.SimulatedBackend`) says when an invocation's answer leaves and how it ended; here it
is read, answered and written down. Times are tenths of a millisecond, as in the model.
"""

import asyncio
import socket
from collections import deque

import httptools

from pierglade.model.outcome import Outcome
from pierglade.simulation.backend import Job, JobState, SimulatedBackend
from pierglade.simulation.plan import Fleet

BACKLOG = 512  # connections that the kernel holds
BODY_MOST = 1 << 26  # bytes of a request's body; more ends its connection
NEVER_RAN = b"HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"
FAILED = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
UNKNOWN = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
SPOILT = b"HTTP/1.1 2oo\r\nContent-Length: x\r\n\r\n"
HEALTH, STATS = b"/health/live", b"/stats"


def _bound(port, alone=False):
    sock = socket.socket()
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if not alone:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.setblocking(False)
        sock.bind(("127.0.0.1", port))
    except OSError:
        sock.close()
        raise
    return sock


class Request:
    __slots__ = ("method", "url", "id", "key", "close", "size")

    def __init__(self):
        self.method = self.url = b""
        self.id = self.key = None
        self.close = False
        self.size = 0


class Connection(asyncio.Protocol):
    """A node's connection: one request at a time, those sent ahead wait."""

    def __init__(self, stand):
        self.stand = stand
        self.parser = httptools.HttpRequestParser(self)
        self.request, self.ahead = None, deque()
        self.busy = None  # (request, job) that is being worked on; the job may be None
        self.transport = None
        self.used_at = 0.0
        self.number = stand.fleet.next_connection()

    def connection_made(self, transport):
        self.transport = transport
        self.used_at = self.stand.clock.now
        self.stand.connections[self] = None
        # Counted when it comes up: a full table says so to each request on the new one.
        self.beyond = len(self.stand.connections) > self.stand.fleet.plan.connections

    def connection_lost(self, fault):
        self.stand.connections.pop(self, None)
        busy, self.busy = self.busy, None
        if busy is not None:
            self.stand.left(*busy, self)

    def data_received(self, data):
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            pass
        except httptools.HttpParserError:
            self.transport.abort()

    # What the parser calls.

    def on_message_begin(self):
        self.request = Request()

    def on_url(self, url):
        self.request.url += url

    def on_header(self, name, value):
        small = name.lower()
        if small == b"x-trace-id":
            self.request.id = value.decode("latin-1")
        elif small == b"idempotency-key":
            self.request.key = value.decode("latin-1")

    def on_body(self, body):
        self.request.size += len(body)
        if self.request.size > BODY_MOST:
            self.transport.abort()

    def on_message_complete(self):
        request = self.request
        request.method = self.parser.get_method()
        request.close = not self.parser.should_keep_alive()
        if self.busy is not None:
            self.ahead.append(request)
        else:
            self.begin(request)

    def begin(self, request):
        self.busy = request, None
        self.stand.arrived(request, self)

    def working(self, request, job):
        if self.busy is not None and self.busy[0] is request:
            self.busy = request, job

    def answer(self, request, head, body=b""):
        """The whole answer, if the connection is still there and waits for it."""
        if self.busy is None or self.busy[0] is not request:
            return False
        self.busy = None
        self.used_at = self.stand.clock.now
        self.transport.write(head + body if body else head)
        if request.close:
            self.transport.close()
        elif self.ahead:
            self.begin(self.ahead.popleft())
        return True

    def end(self):
        """At once, as the connections of a process that dies."""
        self.busy = None
        self.transport.abort()


class Stand:
    """A stand-in backend. `fleet` is what holds all of them (`pierglade.testbed.run.StandIn`)."""

    def __init__(self, fleet, name, place, port):
        self.fleet, self.clock, self.name, self.place = fleet, fleet.clock, name, place
        plan = fleet.plan
        self.model = SimulatedBackend(
            fleet.clock,
            name,
            plan.kind_of(place),
            Fleet(
                kind=[plan.kind_of(place)],
                overdrive=plan.overdrive,
                drops_waiting=plan.drops_waiting,
            ),
        )
        self.connections = {}
        self.part = {"errors": 0.0, "reset": 0.0, "spoil": 0.0, "refuse": 0.0}
        self.pause_after, self.pause_for, self.settled = 0, 0.0, 0
        self.draining = False
        self.counts = dict.fromkeys(
            ("arrived", "ran", "never ran", "error", "dropped", "repeat"), 0
        )
        self.util, self.pace, self.counted = 0.0, 0.0, 0
        self.head = b""
        _bound(port, alone=True).close()  # taken by another, it shows here
        # Bound and never listening: while the process is down the port stays ours, and refuses.
        self.held = _bound(port)
        self.address = "%s:%d" % self.held.getsockname()
        self.sock = None
        self.listening = False
        self._write_head()

    # Sockets.

    def listen(self):
        if self.listening:
            return
        self.sock = _bound(self.held.getsockname()[1])
        self.sock.listen(BACKLOG)
        self.listening = True
        self.clock.loop.add_reader(self.sock, self._accept)

    def close_door(self):
        """New connections are refused from now on; the port stays ours."""
        if self.listening:
            self.listening = False
            self.clock.loop.remove_reader(self.sock)
            self.sock.close()

    def _accept(self):
        while True:
            try:
                sock, _ = self.sock.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as fault:
                self.fleet.trouble(f"{self.name}: {fault.strerror}")
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.fleet.spawn(
                self.clock.loop.connect_accepted_socket(lambda: Connection(self), sock)
            )

    def close(self):
        self.close_door()
        for connection in list(self.connections):
            connection.end()
        self.held.close()

    def end_idle(self):
        """Connections that rested for long are closed, as servers do."""
        oldest = self.clock.now - self.fleet.plan.idle_s * 10000
        for connection in list(self.connections):
            if connection.busy is None and connection.used_at < oldest:
                connection.transport.close()

    # Invocations.

    def arrived(self, request, connection):
        """The last byte of a request has come."""
        path = request.url.partition(b"?")[0]
        if path == HEALTH or path == STATS:
            return self._probed(request, connection, path)
        request_class = (
            self.fleet.request_classes.get(path.split(b"/")[1]) if path[:1] == b"/" else None
        )
        if request_class is None or request.id is None:
            connection.answer(request, UNKNOWN)
            return
        self.counts["arrived"] += 1
        named = {
            "backend": self.name,
            "id": request.id,
            "offering": request_class.name,
            "conn": connection.number,
        }
        if request.key:
            named["key"] = request.key
        self.fleet.ledger.note("arrived", **named)
        chance = self.fleet.chance.random
        if self.part["reset"] and chance() < self.part["reset"]:
            connection.end()
            return
        if (
            self.draining
            or connection.beyond
            or self.part["refuse"]
            and chance() < self.part["refuse"]
        ):
            return self._answer(request, connection, Outcome.REJECTED_UNPROCESSED, named)
        if request_class.repeats == "stamped" and self.fleet.is_repeat(
            self, request_class, request
        ):
            self.counts["repeat"] += 1
            self.fleet.ledger.note("repeat", **named)
            connection.answer(request, self.head, self.fleet.body)
            return
        job = Job(
            self.fleet.sizes[request_class.name].next(),
            request_class.wait_ms * 10.0,
            lambda outcome: self._answer(request, connection, outcome, named),
        )
        connection.working(request, job)
        self.model.offer(job)

    def _answer(self, request, connection, outcome, named):
        fleet, what = self.fleet, "never ran"
        if (
            outcome == Outcome.SUCCESS
            and self.part["errors"]
            and fleet.chance.random() < self.part["errors"]
        ):
            outcome = Outcome.SERVER_ERROR
        if outcome == Outcome.SUCCESS:
            what = "ran"
            if self.part["spoil"] and fleet.chance.random() < self.part["spoil"]:
                connection.answer(request, SPOILT)
                connection.end()
            else:
                connection.answer(request, self.head, fleet.body)
            self.settled += 1
            if self.pause_after and self.settled % self.pause_after == 0:
                self._stand_still()
        elif outcome == Outcome.SERVER_ERROR:
            what = "error"
            connection.answer(request, FAILED)
        elif outcome == Outcome.REJECTED_UNPROCESSED:
            connection.answer(request, NEVER_RAN)
        else:  # The process is down, or went down with it inside.
            connection.end()
        self.counts[what] += 1
        fleet.ledger.note(what, **named)

    def left(self, request, job, connection):
        """Whoever sent it has ended the connection."""
        if job is None:
            return
        waits, what = job.state is JobState.WAITING, "called off"
        if job.state is not None:
            self.model.drop(job)
            if waits and job.state is None:
                self.counts["dropped"] += 1
                what = "dropped"
        self.fleet.ledger.note(what, backend=self.name, id=request.id, conn=connection.number)

    def _probed(self, request, connection, path):
        if not self.fleet.plan.probes:
            connection.answer(request, UNKNOWN)
        elif self.model.is_hanging:
            return  # The process runs and says nothing.
        elif path == HEALTH or self.fleet.plan.report.how == "none":
            connection.answer(request, b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", b"ok\n")
        else:
            body = self.load()
            connection.answer(
                request, b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body), body
            )

    # Reports.

    def load(self):
        """The load report as it goes over the wire."""
        model = self.model
        figures = {
            "inflight": f"{model.in_flight()}",
            "queue": f"{len(model.waiting)}",
            "util": f"{self.util:.2f}",
            "qps": f"{self.pace:.1f}",
        }
        told = ", ".join(f"{name}={figures[name]}" for name in self.fleet.plan.report.fields)
        return b"TEXT " + told.encode()

    def refresh(self, span_s):
        """Makes the report anew; it covers about the last three of these spans."""
        done = self.counts["ran"] - self.counted
        self.counted = self.counts["ran"]
        self.util += (min(1.0, len(self.model.running) / self.model.cores) - self.util) / 3
        self.pace += (done / span_s - self.pace) / 3
        self._write_head()

    def _write_head(self):
        plan = self.fleet.plan
        report = (
            b"Endpoint-Load-Metrics: %s\r\n" % self.load() if plan.report.how == "answers" else b""
        )
        self.head = b"HTTP/1.1 200 OK\r\nX-Backend: %s\r\n%sContent-Length: %d\r\n\r\n" % (
            self.name.encode(),
            report,
            len(self.fleet.body),
        )

    # What befalls it.

    def _stand_still(self):
        self.model.set_paused(True)
        self.clock.after(self.pause_for, self.model.set_paused, False)

    def crash(self):
        self.model.crash()
        self.close_door()
        for connection in list(self.connections):
            connection.end()

    def start_again(self):
        """A new process, cold where its kind starts cold, behind the same address."""
        self.model.restart()
        self.draining = False
        self.listen()

    def set(self, what, value):
        self.model.change(lambda: setattr(self.model, what, value))
