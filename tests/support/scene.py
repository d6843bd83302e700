"""Drives a balancer, or the whole proxy state machine, on a simulated clock and records its decisions."""

import difflib
import os
import pathlib
import unittest

from pierglade.balancer.balancer import Balancer
from pierglade.model.decision import (
    CancelAttempt,
    CheckHealth,
    FailRequest,
    PollEndpoints,
    RejectRequest,
    SendAttempt,
)
from pierglade.model.endpoint import Endpoint, EndpointState
from pierglade.model.outcome import Outcome
from pierglade.model.request import Idempotency, Request, RequestClass
from pierglade.proxy.http import reader
from pierglade.proxy.http.body_stream import BodyStream
from pierglade.proxy.state.connections import CloseCause
from pierglade.proxy.state.effects import Connect, LogEvent
from pierglade.proxy.state.events import (
    ConnectionOpened,
    EndpointsUpdated,
    RequestReceived,
    ResponseReceived,
    ResponseSent,
    TimerFired,
    UpstreamClosed,
    UpstreamConnected,
)
from pierglade.proxy.state.machine import ProxyStateMachine
from pierglade.settings.balancer import BalancerSettings
from pierglade.tenants.registry import TenantRegistry

TRACES = pathlib.Path(__file__).parents[1] / "traces"
MS = 10  # ticks per millisecond


def balancer_settings(**changed):
    request_classes = [
        RequestClass(0, "look", Idempotency.SAFE, "all", 0, 400 * MS, 1000 * MS, 1.0),
        RequestClass(1, "hold", Idempotency.KEYED, "zone", 300 * MS, 400 * MS, 1000 * MS, 3.0),
        RequestClass(2, "pay", Idempotency.UNSAFE, "all", 0, 400 * MS, 1000 * MS, 8.0),
    ]
    values = dict(
        request_classes=request_classes,
        tenants=TenantRegistry({"north": 20.0, "south": 500.0}),
        node_number=0,
        node_count=1,
        max_attempts=3,
        may_cancel=True,
        may_check_health=True,
        max_retry_after=0,
        slow_start_duration=8000 * MS,
        slow_start_capacity=0.25,
        slow_start_overload=4.0,
        worst_class_weight=0.2,
    )
    values.update(changed)
    return BalancerSettings(**values)


def listed(name, state=EndpointState.READY, zone="east", started=0, weight=1.0):
    return Endpoint(name, state, zone, 0, started, weight)


class BalancerHarness:
    def __init__(self, backends, seed=4, dead=(), **changed):
        self.dead = dead
        self.settings = balancer_settings(**changed)
        self.now = 10000 * MS
        self.lines, self.requests = [], {}
        self.node = Balancer(seed, self.settings, self.now)
        self.list(backends, whole=True)

    def record(self, text):
        self.lines.append(f"{self.now / MS - 10000:8.1f}  {text}")

    def list(self, backends, whole=False):
        entries = [listed(backend) if isinstance(backend, str) else backend for backend in backends]
        self.node.endpoints_updated(self.now, entries, whole)
        self.pull()

    def after(self, ms):
        """Advances the clock, with each wakeup that the balancer requests on the way."""
        end = self.now + int(ms * MS)
        while (wakeup := self.node.next_wakeup(self.now)) is not None and wakeup <= end:
            self.now = wakeup
            self.pull()
        self.now = end
        self.pull()

    def take(self, name, request_class=0, left=1000, tenant=None, hint=0):
        deadline = self.now + left * MS
        request = Request(
            name,
            self.settings.request_classes[request_class],
            tenant,
            self.now,
            deadline,
            hint or 0,
        )
        self.requests[name] = request
        self.node.request_received(self.now, request)
        self.pull()
        return request

    def end(self, name, outcome=Outcome.SUCCESS, note=True):
        attempt = self.requests[name].attempts[-1]
        if note:
            self.record(f"{name} at {self.node.endpoint_name(attempt.backend)}: {outcome}")
        self.node.attempt_ended(
            self.now, attempt, outcome, self.now - attempt.sent_at, outcome == Outcome.SUCCESS
        )
        self.pull()

    def flow(self, count, slow=(), took=20, slow_took=200):
        """Sends safe requests one after the other and prints the backends that received them."""
        receivers, lines = [], self.lines
        for _ in range(count):
            self.lines = []
            request = self.take("flow")
            if request.attempts:
                name = self.node.endpoint_name(request.attempts[-1].backend)
                receivers.append(name)
                self.after(slow_took if name in slow else took)
                if request.attempts[-1].outcome is None:
                    self.end("flow")
            else:
                receivers.append("-")
        self.lines = lines
        self.record(f"{count} went to {' '.join(receivers)}")

    def pull(self):
        while (decision := self.node.next_decision(self.now)) is not None:
            match decision:
                case SendAttempt(attempt):
                    trial = " as a trial" if attempt.is_trial else ""
                    name = self.node.endpoint_name(attempt.backend)
                    self.record(f"send {attempt.request.caller_context} to {name}{trial}")
                case CancelAttempt(attempt):
                    name = self.node.endpoint_name(attempt.backend)
                    self.record(f"cancel {attempt.request.caller_context} at {name}")
                case PollEndpoints():
                    self.record("poll the endpoint list")
                case CheckHealth(backend):
                    name = self.node.endpoint_name(backend)
                    self.record(f"check health of {name}")
                    self.node.health_checked(self.now, name, name not in self.dead, 5)
                case RejectRequest(request):
                    self.record(f"reject {request.caller_context}")
                case FailRequest(request):
                    self.record(f"fail {request.caller_context}")

    def out(self):
        return [name for name, request in self.requests.items() if request.in_flight]


def entry(name, status="SERVING", address=None, since_ms=0):
    return {
        "name": name,
        "address": address or f"127.0.0.1:{9000 + int(name[1:])}",
        "zone": "east",
        "group": 0,
        "status": status,
        "weight": 1.0,
        "since_ms": since_ms,
    }


def message(data, reader_class=reader.RequestReader):
    request_reader = reader_class()
    request_reader.writable()[: len(data)] = data
    request_reader.filled(len(data))
    return request_reader.next()


class FakeSocket:
    """Stands in for a socket; only its name is printed."""

    def __init__(self, name):
        self.name, self.client, self.has_more = name, None, False

    def has_more_input(self):
        return self.has_more


class StateMachineHarness:
    """Drives a `ProxyStateMachine`; its effects are recorded and carried out only by the test."""

    def __init__(self, backends=("b0", "b1"), sockets=200, known=None, **changed):
        self.now = 10000 * MS
        self.lines, self.clients, self.links, self.request_count = [], {}, [], 0
        self.state_machine = ProxyStateMachine(4, balancer_settings(**changed), self.now, sockets)
        self.state_machine.endpoints.restore(known)
        if backends:
            self.update_endpoints(backends)

    def record(self, text):
        self.lines.append(f"{self.now / MS - 10000:8.1f}  {text}")

    def update_endpoints(self, backends, index=1, whole=True):
        endpoints = [
            entry(backend) if isinstance(backend, str) else backend for backend in backends
        ]
        self.handle_event(
            EndpointsUpdated({"index": index, "snapshot": whole, "endpoints": endpoints})
        )

    def handle_event(self, event, **timing):
        for effect in self.state_machine.apply(self.now, event, **timing):
            if isinstance(effect, LogEvent):
                fields = (
                    f"{key}={value}"
                    for key, value in effect.fields.items()
                    if not key.endswith("ms") and key != "request_id"
                )
                self.record(" ".join(["log", effect.event, *fields]))
                continue
            arguments = list(effect)
            subject = arguments.pop(0) if arguments and not isinstance(arguments[0], str) else None
            if isinstance(effect, Connect):
                subject.io = FakeSocket(f"link {len(self.links)}")
                self.links.append(subject)
                arguments = [subject.backend.name]
            arguments = [
                f"a flow of {argument.length}" if isinstance(argument, BodyStream) else argument
                for argument in arguments
                if argument is not None
            ]
            texts = [
                (
                    str(argument) if isinstance(argument, (str, int)) else bytes(argument).decode()
                ).replace("\r\n", "|")
                for argument in arguments
            ]
            line = " ".join(
                [type(effect).__name__, *([subject.io.name] if subject else []), *texts]
            )
            self.record(line.replace("\n", " ").rstrip())

    def after(self, ms):
        """Advances the clock, with each wakeup on the way."""
        end = self.now + int(ms * MS)
        while (wakeup := self.state_machine.next_wakeup(self.now)) is not None and wakeup <= end:
            self.now = max(wakeup, self.now)
            self.handle_event(TimerFired())
        self.now = end

    def open(self, name):
        socket = FakeSocket(name)
        self.handle_event(ConnectionOpened(socket))
        self.clients[name] = socket.client

    def send_request(
        self, name, path="/look", method=None, left=1000, headers="", body="", trace=None
    ):
        if name not in self.clients:
            self.open(name)
        method = method or ("GET" if path == "/look" else "POST")
        headers += "Idempotency-Key: k\r\n" if path == "/hold" else ""
        headers += f"Content-Length: {len(body)}\r\n" if body else ""
        self.request_count += 1
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: h\r\nX-Trace-Id: {trace or self.request_count}\r\n"
        )
        head += f"X-Expires-In-Ms: {left}\r\n"
        self.handle_event(
            RequestReceived(self.clients[name], message((head + headers + "\r\n" + body).encode()))
        )

    def connect_upstream(self, link=-1):
        self.handle_event(UpstreamConnected(self.links[link]))

    def reply(self, status=200, headers="", link=-1):
        answer = f"HTTP/1.1 {status} .\r\nContent-Length: 2\r\n{headers}\r\nok"
        self.handle_event(
            ResponseReceived(self.links[link], message(answer.encode(), reader.ResponseReader))
        )

    def lose(self, cause=CloseCause.RESET, whole=True, link=-1):
        self.handle_event(UpstreamClosed(self.links[link], cause, whole, "as the test says"))

    def response_sent(self, name):
        self.handle_event(ResponseSent(self.clients[name]))


class TraceTest(unittest.TestCase):
    def check(self, name, actual):
        """Compares `actual` with tests/traces/NAME.txt, or rewrites that file if RETRACE=1 is set."""
        path = TRACES / f"{name}.txt"
        if os.environ.get("RETRACE"):
            path.write_text("\n".join(actual) + "\n")
        expected = path.read_text().splitlines()
        if expected != actual:
            self.fail(
                "\n"
                + "\n".join(
                    difflib.unified_diff(expected, actual, "expected", "actual", lineterm="")
                )
            )
