"""One stand-in backend: an HTTP server on a listening socket in front of a simulated backend.

The model (`pierglade.simulation.backend.SimulatedBackend`) decides when a request completes and with
which outcome; this module reads requests, sends responses and records both. Times are in ticks
(tenths of a millisecond), as in the model.
"""

import asyncio
import socket
from collections import deque

import httptools

from pierglade.model.outcome import Outcome
from pierglade.simulation.backend import Job, JobState, SimulatedBackend
from pierglade.simulation.plan import Fleet

LISTEN_BACKLOG = 512  # connections pending in the kernel
MAX_BODY_BYTES = 1 << 26  # of a request; a longer body aborts the connection
UNPROCESSED_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"
)
ERROR_RESPONSE = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
NOT_FOUND_RESPONSE = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
MALFORMED_RESPONSE = b"HTTP/1.1 2oo\r\nContent-Length: x\r\n\r\n"
HEALTH_PATH, STATS_PATH = b"/health/live", b"/stats"


def _bound_socket(port, is_exclusive=False):
    """Returns a socket bound to `port`; unless exclusive, others may bind to the same port."""
    sock = socket.socket()
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if not is_exclusive:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.setblocking(False)
        sock.bind(("127.0.0.1", port))
    except OSError:
        sock.close()
        raise
    return sock


class Request:
    """A request as it is being parsed."""

    __slots__ = ("method", "url", "id", "key", "close", "size")

    def __init__(self):
        self.method = self.url = b""
        self.id = self.key = None
        self.close = False
        self.size = 0


class Connection(asyncio.Protocol):
    """A node's connection: one request is served at a time, pipelined ones wait."""

    def __init__(self, backend):
        self.backend = backend
        self.parser = httptools.HttpRequestParser(self)
        self.request, self.pipelined = None, deque()
        self.current = None  # (request, job) that is being served; the job may be None
        self.transport = None
        self.last_used_at = 0.0
        self.number = backend.fleet.next_connection()

    def connection_made(self, transport):
        """asyncio: the connection is established."""
        self.transport = transport
        self.last_used_at = self.backend.clock.now
        self.backend.connections[self] = None
        # Decided once, when the connection opens: above the limit, all its requests are rejected.
        self.is_over_limit = len(self.backend.connections) > self.backend.fleet.plan.connections

    def connection_lost(self, error):
        """asyncio: the connection has ended."""
        self.backend.connections.pop(self, None)
        current, self.current = self.current, None
        if current is not None:
            self.backend.connection_lost(*current, self)

    def data_received(self, data):
        """asyncio: bytes were received."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            pass
        except httptools.HttpParserError:
            self.transport.abort()

    # Callbacks of the parser.

    def on_message_begin(self):
        """httptools: a request begins."""
        self.request = Request()

    def on_url(self, url):
        """httptools: a part of the URL was read."""
        self.request.url += url

    def on_header(self, name, value):
        """httptools: a header was read."""
        lower_name = name.lower()
        if lower_name == b"x-trace-id":
            self.request.id = value.decode("latin-1")
        elif lower_name == b"idempotency-key":
            self.request.key = value.decode("latin-1")

    def on_body(self, body):
        """httptools: a part of the body was read."""
        self.request.size += len(body)
        if self.request.size > MAX_BODY_BYTES:
            self.transport.abort()

    def on_message_complete(self):
        """httptools: the request is complete."""
        request = self.request
        request.method = self.parser.get_method()
        request.close = not self.parser.should_keep_alive()
        if self.current is not None:
            self.pipelined.append(request)
        else:
            self.start_request(request)

    def start_request(self, request):
        """Makes a request the current one and passes it to the backend."""
        self.current = request, None
        self.backend.request_received(request, self)

    def set_job(self, request, job):
        """Records the model's job of a request, if that is still the current one."""
        if self.current is not None and self.current[0] is request:
            self.current = request, job

    def respond(self, request, head, body=b""):
        """Writes the response and returns True, if `request` is still the current one."""
        if self.current is None or self.current[0] is not request:
            return False
        self.current = None
        self.last_used_at = self.backend.clock.now
        self.transport.write(head + body if body else head)
        if request.close:
            self.transport.close()
        elif self.pipelined:
            self.start_request(self.pipelined.popleft())
        return True

    def abort(self):
        """Ends the connection at once, as if the process had died."""
        self.current = None
        self.transport.abort()


class StandInBackend:
    """A stand-in backend; `fleet` is the `pierglade.testbed.run.StandInFleet` that it belongs to."""

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
        self.fault_ratios = {"errors": 0.0, "reset": 0.0, "spoil": 0.0, "refuse": 0.0}
        # Executed requests between two pauses (0: no pauses), length of a pause in ticks, and
        # the counter of executed requests.
        self.pause_interval, self.pause_duration, self.pause_counter = 0, 0.0, 0
        self.is_draining = False
        self.counts = dict.fromkeys(
            ("arrived", "ran", "never ran", "error", "dropped", "repeat"), 0
        )
        self.utilization, self.request_rate, self.reported_executed = 0.0, 0.0, 0
        self.success_head = b""
        _bound_socket(port, is_exclusive=True).close()  # fails if another process has the port
        # Bound but never listening: reserves the port while the simulated process is down, so that
        # connections are refused.
        self.reserving_socket = _bound_socket(port)
        self.address = "%s:%d" % self.reserving_socket.getsockname()
        self.listening_socket = None
        self.is_listening = False
        self._build_success_head()

    # Sockets.

    def listen(self):
        """Accepts connections from now on."""
        if self.is_listening:
            return
        self.listening_socket = _bound_socket(self.reserving_socket.getsockname()[1])
        self.listening_socket.listen(LISTEN_BACKLOG)
        self.is_listening = True
        self.clock.loop.add_reader(self.listening_socket, self._accept)

    def stop_listening(self):
        """Refuses new connections from now on; the port stays reserved."""
        if self.is_listening:
            self.is_listening = False
            self.clock.loop.remove_reader(self.listening_socket)
            self.listening_socket.close()

    def _accept(self):
        while True:
            try:
                sock, _ = self.listening_socket.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                self.fleet.record_error(
                    f"{self.name}: cannot accept a connection: {error.strerror}"
                )
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.fleet.spawn(
                self.clock.loop.connect_accepted_socket(lambda: Connection(self), sock)
            )

    def close(self):
        """Ends all connections and releases the port."""
        self.stop_listening()
        for connection in list(self.connections):
            connection.abort()
        self.reserving_socket.close()

    def close_idle_connections(self):
        """Closes connections that exceeded the idle time-out, as servers do."""
        oldest = self.clock.now - self.fleet.plan.idle_s * 10000
        for connection in list(self.connections):
            if connection.current is None and connection.last_used_at < oldest:
                connection.transport.close()

    # Requests.

    def request_received(self, request, connection):
        """Handles a request whose last byte was received."""
        path = request.url.partition(b"?")[0]
        if path == HEALTH_PATH or path == STATS_PATH:
            return self._answer_probe(request, connection, path)
        request_class = (
            self.fleet.request_classes.get(path.split(b"/")[1]) if path[:1] == b"/" else None
        )
        if request_class is None or request.id is None:
            connection.respond(request, NOT_FOUND_RESPONSE)
            return
        self.counts["arrived"] += 1
        fields = {
            "backend": self.name,
            "id": request.id,
            "offering": request_class.name,
            "conn": connection.number,
        }
        if request.key:
            fields["key"] = request.key
        self.fleet.ledger.note("arrived", **fields)
        random = self.fleet.random.random
        if self.fault_ratios["reset"] and random() < self.fault_ratios["reset"]:
            connection.abort()
            return
        if (
            self.is_draining
            or connection.is_over_limit
            or self.fault_ratios["refuse"]
            and random() < self.fault_ratios["refuse"]
        ):
            return self._complete(request, connection, Outcome.REJECTED_UNPROCESSED, fields)
        if request_class.repeats == "stamped" and self.fleet.is_repeat(
            self, request_class, request
        ):
            self.counts["repeat"] += 1
            self.fleet.ledger.note("repeat", **fields)
            connection.respond(request, self.success_head, self.fleet.body)
            return
        job = Job(
            self.fleet.work_distributions[request_class.name].next(),
            request_class.wait_ms * 10.0,
            lambda outcome: self._complete(request, connection, outcome, fields),
        )
        connection.set_job(request, job)
        self.model.offer(job)

    def _complete(self, request, connection, outcome, fields):
        fleet, event = self.fleet, "never ran"
        if (
            outcome == Outcome.SUCCESS
            and self.fault_ratios["errors"]
            and fleet.random.random() < self.fault_ratios["errors"]
        ):
            outcome = Outcome.SERVER_ERROR
        if outcome == Outcome.SUCCESS:
            event = "ran"
            if self.fault_ratios["spoil"] and fleet.random.random() < self.fault_ratios["spoil"]:
                connection.respond(request, MALFORMED_RESPONSE)
                connection.abort()
            else:
                connection.respond(request, self.success_head, fleet.body)
            self.pause_counter += 1
            if self.pause_interval and self.pause_counter % self.pause_interval == 0:
                self._pause()
        elif outcome == Outcome.SERVER_ERROR:
            event = "error"
            connection.respond(request, ERROR_RESPONSE)
        elif outcome == Outcome.REJECTED_UNPROCESSED:
            connection.respond(request, UNPROCESSED_RESPONSE)
        else:  # The process is down, or crashed while it served the request.
            connection.abort()
        self.counts[event] += 1
        fleet.ledger.note(event, **fields)

    def connection_lost(self, request, job, connection):
        """Drops the job of a request whose connection has ended, if the job is still waiting."""
        if job is None:
            return
        was_waiting, event = job.state is JobState.WAITING, "called off"
        if job.state is not None:
            self.model.drop(job)
            if was_waiting and job.state is None:
                self.counts["dropped"] += 1
                event = "dropped"
        self.fleet.ledger.note(event, backend=self.name, id=request.id, conn=connection.number)

    def _answer_probe(self, request, connection, path):
        if not self.fleet.plan.probes:
            connection.respond(request, NOT_FOUND_RESPONSE)
        elif self.model.is_hanging:
            return  # A hanging process does not respond.
        elif path == HEALTH_PATH or self.fleet.plan.report.how == "none":
            connection.respond(request, b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", b"ok\n")
        else:
            body = self.load_report()
            connection.respond(
                request, b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body), body
            )

    # Load reports.

    def load_report(self):
        """Returns the load report in its wire format."""
        model = self.model
        figures = {
            "inflight": f"{model.in_flight()}",
            "queue": f"{len(model.waiting)}",
            "util": f"{self.utilization:.2f}",
            "qps": f"{self.request_rate:.1f}",
        }
        text = ", ".join(f"{name}={figures[name]}" for name in self.fleet.plan.report.fields)
        return b"TEXT " + text.encode()

    def update_load_report(self, span_s):
        """Updates the moving averages of the report, which cover about its last three periods."""
        executed = self.counts["ran"] - self.reported_executed
        self.reported_executed = self.counts["ran"]
        self.utilization += (
            min(1.0, len(self.model.running) / self.model.cores) - self.utilization
        ) / 3
        self.request_rate += (executed / span_s - self.request_rate) / 3
        self._build_success_head()

    def _build_success_head(self):
        plan = self.fleet.plan
        report = (
            b"Endpoint-Load-Metrics: %s\r\n" % self.load_report()
            if plan.report.how == "answers"
            else b""
        )
        self.success_head = b"HTTP/1.1 200 OK\r\nX-Backend: %s\r\n%sContent-Length: %d\r\n\r\n" % (
            self.name.encode(),
            report,
            len(self.fleet.body),
        )

    # Faults.

    def _pause(self):
        self.model.set_paused(True)
        self.clock.after(self.pause_duration, self.model.set_paused, False)

    def crash(self):
        """Ends the simulated process: connections break, and new ones are refused."""
        self.model.crash()
        self.stop_listening()
        for connection in list(self.connections):
            connection.abort()

    def restart(self):
        """Starts a new process on the same address, in slow start if its kind has one."""
        self.model.restart()
        self.is_draining = False
        self.listen()

    def set_model_attribute(self, name, value):
        """Sets an attribute of the model and reschedules the running jobs."""
        self.model.change(lambda: setattr(self.model, name, value))
