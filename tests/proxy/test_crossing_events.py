"""Race conditions between events, each forced, with loopback sockets and the real ProxyServer.

One side is blocked until an event has brought about the state in question; then both go on before
the event loop runs again. A later request on the same connections proves that nothing else was
written to them.
"""

import gc
import json
import os
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
from unittest import mock

import gevent
from gevent.event import Event

from pierglade.__main__ import config_from_document
from pierglade.balancer.balancer import Balancer
from pierglade.balancer.polling import INTERVAL, MIN_INTERVAL
from pierglade.model.request import Idempotency, RequestClass
from pierglade.proxy import discovery
from pierglade.proxy import socket_io as sending
from pierglade.proxy.http import reader
from pierglade.proxy.server import ProxyServer
from pierglade.proxy.state import downstream as downstream_state
from pierglade.proxy.state.connections import CloseCause, ConnectionState
from pierglade.proxy.state.events import (
    ConfigurationLoaded,
    EndpointsUpdated,
    RequestReceived,
    RequestStarted,
    ResponsePartReceived,
    ResponseReceived,
    StopRequested,
    TimerFired,
    UpstreamClosed,
)
from pierglade.proxy.upstream import UpstreamHandler
from tests.proxy.state.test_machine import desk_with_idle_connections
from tests.proxy.test_sockets import CHUNKED, HOST, SETTINGS, Peer, answer
from tests.support.scene import (
    MS,
    StateMachineHarness,
    TraceTest,
    balancer_settings,
    entry,
    message,
)

LONG = {"expectedTimeUs": 9000000, "hardLimitUs": 9000000}
OFFERINGS = [
    {"name": "look", "idempotency": "free", **LONG},
    {"name": "pay", "idempotency": "single_shot", **LONG},
]


def run_until(condition):
    """Runs the event loop until `condition()` holds; fails after 20 s, as the machine may stall."""
    end = time.monotonic() + 20
    while not condition():
        if time.monotonic() > end:
            raise AssertionError("the condition did not hold within 20 s")
        gevent.sleep(0)


class Backend:
    """Records each whole request; `reply(message)` returns bytes, None to close, or an Event."""

    def __init__(self, name):
        self.name, self.seen, self.reply = name, [], lambda message: answer(200, b"ok")
        self.socks = []
        self.sock = gevent.socket.socket()
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(64)
        self.address = "127.0.0.1:%d" % self.sock.getsockname()[1]
        self.running = gevent.spawn(self.run)

    def run(self):
        while True:
            self.socks.append(self.sock.accept()[0])
            gevent.spawn(self.serve, self.socks[-1])

    def serve(self, sock):
        incoming = reader.RequestReader()
        try:
            while count := sock.recv_into(incoming.writable()):
                incoming.filled(count)
                while (message := incoming.next()) is not None:
                    self.seen.append(message.url.decode())
                    reply = self.reply(message)
                    if isinstance(reply, Event):
                        reply.wait()
                        reply = answer(200, b"late")
                    if reply is None:
                        return
                    sock.sendall(reply)
                    incoming.release()
        except OSError:
            pass
        finally:
            sock.close()


class ProxyHarness:
    """A listening ProxyServer, its backends, and a gate that delays connections to them."""

    def __init__(self, count=1, cancel=True, listed=True, attempts=3, **settings):
        self.backends = [Backend(f"b{n}") for n in range(count)]
        self.known = {
            "index": 1,
            "snapshot": True,
            "endpoints": [
                entry(backend.name, address=backend.address) for backend in self.backends
            ],
        }
        settings = {
            "offerings": OFFERINGS,
            "limits": {"mostTrips": attempts, "mayCancel": cancel, "connectTimeoutUs": 8000000},
            "contract": {},
            **settings,
        }
        document = {
            "name": "n1",
            "listen": "127.0.0.1:0",
            "seed": "8c",
            "settings": settings,
            "known": {},
        }
        # The log is not inspected here.
        log = mock.Mock(return_value=mock.Mock())
        with mock.patch.dict(os.environ, TMPDIR="/nowhere"):
            config = config_from_document(document, "config", {}, fixed=True)
            config.log = log
            self.host = ProxyServer(config)
        self.host.spawn(self.host.listener.run)
        self.pending_connection = None
        self.gate = Event()
        self.gate.set()
        connect = gevent.socket.socket.connect

        def delayed_connect(sock, address):
            self.gate.wait()
            return connect(sock, address)

        self.patch = mock.patch.object(gevent.socket.socket, "connect", delayed_connect)
        self.patch.start()
        if listed:
            self.list()

    def list(self):
        self.host.handle_event(EndpointsUpdated(self.known))

    def client(self):
        return socket.create_connection(self.host.listener.sock.getsockname())

    def seen(self):
        return [url for backend in self.backends for url in backend.seen]

    def connecting(self):
        return [
            link
            for link in self.host.state_machine.upstream.by_state[ConnectionState.CONNECTING]
            if link.attempt is not None
        ]

    def open_connections(self):
        """Opens a reusable connection to each backend."""
        state_machine = self.host.state_machine
        for n in range(len(self.backends)):
            with self.client() as sock:
                sock.sendall(http_request("look", f"warm{n}"))
                sock.setblocking(False)
                run_until(lambda sock=sock: sending.is_readable(mock.Mock(_sock=sock)))
        run_until(lambda: not any(state_machine.downstream.by_state.values()))
        run_until(
            lambda: (
                all(
                    state_machine.step.now - link.since >= link.backend.reuse_delay()
                    and self.host.clock.now() - link.since >= link.backend.reuse_delay()
                    for link in state_machine.upstream.by_state[ConnectionState.IDLE]
                )
                or self.host.handle_event(TimerFired())
            )
        )

    def forwarded_requests(self):
        """Returns the requests that backends saw.

        Waits until all clients are gone and later requests have come through every backend.
        """
        state_machine = self.host.state_machine
        self.gate.set()
        run_until(lambda: not any(state_machine.downstream.by_state.values()))
        if self.pending_connection is not None:  # its backend has not answered the first request
            self.host.handle_event(
                UpstreamClosed(self.pending_connection, CloseCause.RESET, True, "as the test says")
            )
        for backend in self.backends:
            backend.reply = lambda message: answer(200, b"ok")
        before = len(self.seen())
        later = 2 * len(self.backends)
        for n in range(later):
            with self.client() as sock:
                sock.sendall(http_request("look", f"after{n}"))
                sock.setblocking(False)
                run_until(lambda sock=sock: sending.is_readable(mock.Mock(_sock=sock)))
        run_until(
            lambda: len(self.seen()) >= before + later and not state_machine.attempts.connections
        )
        return [url for url in self.seen() if "after" not in url and "warm" not in url]

    def close(self):
        self.patch.stop()
        self.host.listener.open = False
        self.host.listener.sock.close()
        for backend in self.backends:
            backend.running.kill()
            backend.sock.close()
        for connections in (
            *self.host.state_machine.upstream.by_state.values(),
            *self.host.state_machine.downstream.by_state.values(),
        ):
            for connection in list(connections):
                if connection.io is not None:
                    connection.io.end()
        gevent.sleep(0)


def http_request(request_class, number, body=b""):
    method = b"GET" if request_class == "look" else b"POST"
    head = b"%s /%s/%s HTTP/1.1\r\n%sX-Trace-Id: %s\r\n" % (
        method,
        request_class.encode(),
        number.encode(),
        HOST,
        number.encode(),
    )
    return head + (b"Content-Length: %d\r\n" % len(body) if body else b"") + b"\r\n" + body


def disconnect_client(sock, how):
    """Ends the client's connection; the proxy's side has received the end on return."""
    if how == "half":
        return sock.shutdown(socket.SHUT_WR)
    if how == "reset":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


class ClientDisconnects(TraceTest):
    """A client disconnects while its request waits at any point: no backend receives it."""

    def connecting(self, proxy, sock, request_class, body=b""):
        """Waits for a connection to a backend; the end is read first."""
        proxy.gate.clear()
        sock.sendall(http_request(request_class, "1", body))
        run_until(proxy.connecting)
        yield
        if not body:
            run_until(lambda: not any(proxy.host.state_machine.downstream.by_state.values()))
        proxy.gate.set()

    def connecting_at_once(self, proxy, sock, request_class):
        """Waits for a connection; the end and the connection are there in the same iteration."""
        proxy.gate.clear()
        sock.sendall(http_request(request_class, "1"))
        run_until(proxy.connecting)
        yield
        proxy.gate.set()

    def full_body(self, proxy, sock, request_class):
        """As `connecting`, but its body fills the buffer: the end is not read until the response."""
        yield from self.connecting(proxy, sock, request_class, b"x" * 9000)

    def in_admission_queue(self, proxy, sock, request_class):
        """Waits in the admission queue."""
        go, queue = Event(), proxy.host.admission_queue
        queue.full, queue.wait = lambda: True, lambda *arguments: go.wait()
        sock.sendall(http_request(request_class, "1"))
        run_until(
            lambda: any(
                client.io.received
                for client in proxy.host.state_machine.downstream.by_state[ConnectionState.NEW]
            )
        )
        yield
        go.set()

    def pending_request(self, proxy, sock, request_class, more=b""):
        """Returns the connection of a request that its backend has received and not answered."""
        release = Event()
        for backend in proxy.backends:
            backend.reply = lambda message: release
        sock.sendall(http_request(request_class, "first") + more)
        run_until(lambda: any("first" in url for url in proxy.seen()))
        proxy.pending_connection = next(
            link
            for link in proxy.host.state_machine.upstream.by_state[ConnectionState.BUSY]
            if link.attempt
        )
        return proxy.pending_connection

    def pipelined(self, proxy, sock, request_class):
        """Pipelined behind a pending request, which is answered as the client disconnects."""
        link = self.pending_request(proxy, sock, request_class, http_request(request_class, "1"))
        yield
        proxy.host.handle_event(
            ResponseReceived(link, message(answer(200, b"ok"), reader.ResponseReader))
        )

    def pipelined_beyond_buffer(self, proxy, sock, request_class):
        """Pipelined behind a pending request, before more requests than the buffer holds."""
        link = self.pending_request(
            proxy,
            sock,
            request_class,
            b"".join(http_request(request_class, str(n)) for n in range(1, 90)),
        )
        yield
        proxy.host.handle_event(
            ResponseReceived(link, message(answer(200, b"ok"), reader.ResponseReader))
        )

    def before_decision(self, proxy, sock, request_class):
        """Waits for the balancer's decision, which is made as the client disconnects."""
        next_decision, proxy.host.state_machine.balancers.current.next_decision = (
            proxy.host.state_machine.balancers.current.next_decision,
            lambda now: None,
        )
        sock.sendall(http_request(request_class, "1"))
        run_until(
            lambda: proxy.host.state_machine.downstream.by_state[ConnectionState.AWAITING_RESPONSE]
        )
        yield
        proxy.host.state_machine.balancers.current.next_decision = next_decision
        proxy.host.handle_event(TimerFired())

    def before_retry(self, proxy, sock, request_class):
        """Before its retry; the failure is reported before the end is read."""
        link = self.pending_request(proxy, sock, request_class)
        yield
        for backend in proxy.backends:
            backend.seen.clear()
        proxy.host.handle_event(UpstreamClosed(link, CloseCause.RESET, False, "as the test says"))

    def in_kernel_queue(self, proxy, sock, request_class):
        """In the kernel's queue, before it is accepted."""
        sock.sendall(http_request(request_class, "1"))
        yield

    def setUp(self):
        # Exceptions in bare greenlets are failures too; no client is closed as a slow reader.
        self.raised = []
        for patch in (
            mock.patch.object(
                type(gevent.get_hub()),
                "handle_error",
                lambda hub, *arguments: self.raised.append(arguments),
            ),
            mock.patch.object(downstream_state, "CLIENT_READ_TIMEOUT", 10**9),
        ):
            patch.start()
            self.addCleanup(patch.stop)

    def test_request_is_not_forwarded(self):
        lines = []
        waits = (
            self.connecting,
            self.connecting_at_once,
            self.full_body,
            self.in_admission_queue,
            self.pipelined,
            self.pipelined_beyond_buffer,
            self.before_decision,
            self.before_retry,
            self.in_kernel_queue,
        )
        for wait in waits:
            for request_class in ("look", "pay"):
                if wait == self.full_body and request_class == "look":
                    continue  # safe requests have no body
                for cancel in (True, False):
                    counts, faults = [], 0
                    for how in ("close", "half", "reset"):
                        proxy = ProxyHarness(
                            1
                            + (
                                wait
                                in (self.pipelined, self.pipelined_beyond_buffer, self.before_retry)
                            ),
                            cancel,
                        )
                        try:
                            if wait not in (
                                self.connecting,
                                self.connecting_at_once,
                                self.full_body,
                            ):
                                proxy.open_connections()
                            sock = proxy.client()
                            steps = wait(proxy, sock, request_class)
                            next(steps)
                            disconnect_client(sock, how)
                            next(steps, None)
                            counts.append(
                                len(
                                    [
                                        url
                                        for url in proxy.forwarded_requests()
                                        if "first" not in url or wait == self.before_retry
                                    ]
                                )
                            )
                            faults += proxy.host.faults + len(self.raised)
                        finally:
                            sock.close()
                            proxy.close()
                    lines.append(
                        f"{wait.__name__} {request_class} may_cancel={cancel}: forwarded after close, "
                        f"half, reset {counts}, faults {faults}"
                    )
        self.check("crossings_left", lines)

    def test_reader_dropped_before_the_next_pipelined_request_is_parsed(self):
        """The response frees the message reader, and the reading greenlet drops it in the same
        iteration: the next pipelined request must not be read from it.
        """
        proxy = ProxyHarness()
        try:
            sock = proxy.client()
            link = self.pending_request(proxy, sock, "look", http_request("look", "1"))
            client = link.attempt.request.caller_context
            proxy.host.handle_event(
                ResponseReceived(link, message(answer(200, b"ok"), reader.ResponseReader))
            )
            client.io.requests.drop()
            gevent.sleep(0)
            gevent.sleep(0)
            sock.close()
            self.assertEqual((proxy.forwarded_requests(), self.raised), (["/look/first"], []))
        finally:
            proxy.close()

    def test_connection_closed_while_its_request_is_half_written(self):
        """The proxy closes it before or while the rest of the request waits to be written: the
        writing greenlet ends without an exception.
        """
        for iterations in (0, 3):
            ours, theirs = socket.socketpair()
            link = mock.Mock(probing=True, state=ConnectionState.BUSY, cut=True)
            calls = []
            handler = UpstreamHandler(link, lambda *arguments, calls=calls: calls.append(arguments))
            handler.sock.close()
            handler.sock = gevent.socket.socket(fileno=ours.detach())
            handler.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            handler.write(b"x" * 100000, b"")
            greenlets = [
                each
                for each in gc.get_objects()
                if isinstance(each, gevent.Greenlet)
                and getattr(each, "_run", None) == handler._write_rest
            ]
            for _ in range(iterations):
                gevent.sleep(0)
            handler.end()
            run_until(lambda greenlets=greenlets: all(each.dead for each in greenlets))
            theirs.close()
            self.assertEqual(
                (len(greenlets), self.raised, handler.is_request_written), (1, [], False)
            )

    def test_client_disconnects_while_its_request_is_half_written(self):
        """The backend reads nothing for a while: the rest of the request is not sent after its
        client has disconnected.
        """
        lines = []
        for cancel in (True, False):
            proxy, go = ProxyHarness(cancel=cancel), Event()
            backend, set_up = proxy.backends[0], sending.set_up

            def set_up_small_buffer(sock):
                set_up(sock)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)

            def serve_late(sock, serve=backend.serve, go=go):
                go.wait()
                serve(sock)

            backend.serve = serve_late
            backend.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            try:
                with mock.patch.object(sending, "set_up", set_up_small_buffer):
                    sock = proxy.client()
                    sock.sendall(http_request("pay", "1", b"x" * 60000))
                    run_until(
                        lambda proxy=proxy: any(
                            link.io.is_request_written is False and link.attempt
                            for link in proxy.host.state_machine.upstream.by_state[
                                ConnectionState.BUSY
                            ]
                        )
                    )
                    gevent.sleep(0)
                    sock.close()
                    run_until(
                        lambda proxy=proxy: (
                            not proxy.host.state_machine.downstream.by_state[ConnectionState.NEW]
                        )
                    )
                    go.set()
                    seen = proxy.forwarded_requests()
                lines.append(
                    f"may_cancel={cancel}: received by the backend {seen}, faults {proxy.host.faults}"
                )
            finally:
                proxy.close()
        self.check("crossings_half_written", lines)


class ConnectionReuse(TraceTest):
    def test_unused_connection_closed_while_idle(self):
        """The connection has carried nothing yet: written without a check, its end would count as
        that of an unsafe request that may have been executed.
        """
        proxy = ProxyHarness()
        backend, state_machine = proxy.backends[0], proxy.host.state_machine
        try:
            proxy.open_connections()
            release = Event()
            backend.reply = lambda message: (
                release if b"first" in message.url else answer(200, b"ok")
            )
            one, two, three = (proxy.client() for _ in range(3))
            one.sendall(http_request("look", "first"))
            run_until(lambda: "/look/first" in backend.seen)
            proxy.gate.clear()
            two.sendall(http_request("look", "second"))
            run_until(proxy.connecting)
            release.set()
            run_until(lambda: "/look/second" in backend.seen)
            proxy.gate.set()
            run_until(
                lambda: (
                    len(state_machine.upstream.by_state[ConnectionState.IDLE])
                    == 2
                    == len(backend.socks)
                )
            )
            run_until(
                lambda: all(
                    proxy.host.clock.now() - link.since > link.backend.reuse_delay()
                    for link in state_machine.upstream.by_state[ConnectionState.IDLE]
                )
            )
            fresh = next(
                link
                for link in state_machine.upstream.by_state[ConnectionState.IDLE]
                if not link.io.responses.end
            )
            fresh.backend.idle.sort(key=lambda link: link is fresh)
            run_until(
                lambda: (
                    len(state_machine.downstream.by_state[ConnectionState.NEW])
                    + len(state_machine.downstream.by_state[ConnectionState.IDLE])
                    == 3
                )
            )
            client = next(iter(state_machine.downstream.by_state[ConnectionState.NEW]))
            # The event loop does not run before the request is written.
            backend.socks[1]._sock.shutdown(socket.SHUT_RDWR)
            proxy.host.handle_event(RequestReceived(client, message(http_request("pay", "once"))))
            three.setblocking(False)
            run_until(lambda: sending.is_readable(mock.Mock(_sock=three)))
            status, times = three.recv(100).split()[1].decode(), backend.seen.count("/pay/once")
            lines = [f"answered {status}, seen {times} times"]
            for sock in (one, two, three):
                sock.close()
        finally:
            proxy.close()
        self.check("crossings_passed_over", lines)

    def test_endpoint_changes_while_a_connection_is_established(self):
        """While a connection is established, its backend moves, drains or the attempt times out, or
        a health check's backend drains: nothing is written to it.
        """
        lines = []
        for change in ("moved", "drained", "late", "probe drained"):
            harness = StateMachineHarness(
                ["b0", "b1"] if change == "probe drained" else ["b0"], may_cancel=False
            )
            if change == "probe drained":
                for name in ("c0", "c1"):
                    harness.send_request(name)
                    harness.lose(
                        CloseCause.CONNECT_FAILED, whole=False, link=0
                    ) if name == "c0" else None
                harness.after(200)
                link = next(n for n, link in enumerate(harness.links) if link.is_health_check)
            else:
                harness.send_request("c0", "/pay")
                link = 0
            harness.lines = [f"{change}:"]
            if change == "moved":
                harness.update_endpoints([entry("b0", address="127.0.0.1:8999")], 2, whole=False)
            elif change == "late":
                harness.now += 9960  # the timeout is due in the same step and not handled yet
            else:
                harness.update_endpoints(
                    [entry(harness.links[link].backend.name, "DRAINING")], 2, whole=False
                )
            harness.connect_upstream(link)
            lines += [line for line in harness.lines if " log " not in line]
        self.check("crossings_coming_up", lines)

    def test_settings_change_while_a_connection_is_established(self):
        """Removal binds under the settings that received the request, not under the new ones:
        nothing is sent to the removed backend. Requests that wait for a poll of the endpoint list
        under the earlier settings get one at once.
        """
        harness = StateMachineHarness(["b0"], may_cancel=False, polls_endpoints=True)
        harness.send_request("c0", "/pay")
        harness.handle_event(
            ConfigurationLoaded("", {"settings": 1}, balancer_settings(removal_binds=False))
        )
        harness.update_endpoints([entry("b0", "DELETED")], 2, whole=False)
        harness.connect_upstream()
        self.check("crossings_settings", harness.lines)

    def test_endpoint_removed_and_added_within_one_message(self):
        """Idle connections to the removed process are closed, and an attempt on its way goes to the
        new one.
        """
        harness = StateMachineHarness(["b0"])
        for name in ("c0", "c1"):
            harness.send_request(name)
        harness.connect_upstream(0)
        harness.reply(link=0)
        back = [entry("b0", "DELETED"), entry("b0", address="127.0.0.1:8999")]
        harness.update_endpoints(back, 2, whole=False)
        harness.connect_upstream(1)
        harness.connect_upstream(2)
        self.check("crossings_one_message", harness.lines)

    def test_response_that_the_proxy_aborts(self):
        """For a malformed or endless response: the backend counts the attempt as in flight until
        the close arrives, which must be before the next attempt.
        """
        harness = desk_with_idle_connections()
        harness.send_request("c0")
        link = next(n for n, link in enumerate(harness.links) if link.attempt)
        harness.handle_event(ResponsePartReceived(harness.links[link]))
        harness.after(502)
        self.check("crossings_garbled", [line for line in harness.lines if " log " not in line])

    def test_duplicate_response_some_ms_late(self):
        """A duplicate 4 ms after the first response answers no client, and the next attempt uses
        another connection.
        """
        harness = StateMachineHarness(["b0"])
        harness.send_request("c0")
        harness.connect_upstream()
        harness.reply()
        harness.response_sent("c0")
        harness.after(3.9)
        harness.send_request("c0", "/pay")
        harness.reply(link=0)
        harness.connect_upstream()
        harness.reply()
        self.check("crossings_second", harness.lines)


class Shutdown(TraceTest):
    def test_exit_time_follows_the_request_timeouts(self):
        """With timeouts of 0.6 s, the process may be killed after 1.3 s. A request without an early
        deadline on a connection that is established late, one that is half read and one that comes
        near the end are all answered, and nothing is sent upstream.
        """
        rows = [
            RequestClass(0, "look", Idempotency.SAFE, "all", 0, 300 * MS, 600 * MS, 1.0),
            RequestClass(1, "pay", Idempotency.UNSAFE, "all", 0, 300 * MS, 600 * MS, 1.0),
        ]
        harness = StateMachineHarness(
            ["b0"], request_classes=rows, may_cancel=False, connect_timeout=5000 * MS
        )
        for name in ("half", "late"):
            harness.open(name)
        harness.handle_event(RequestStarted(harness.clients["half"], None))
        harness.handle_event(StopRequested())
        harness.handle_event(
            StopRequested()
        )  # neither a second one nor new settings postpone the end
        harness.handle_event(
            ConfigurationLoaded(
                "",
                {"settings": 1},
                balancer_settings(
                    request_classes=rows,
                    may_cancel=False,
                    connect_timeout=5000 * MS,
                    max_retry_after=10000 * MS,
                ),
            ),
        )
        harness.after(600)
        harness.send_request("body", "/pay", left=600)
        request = harness.clients["body"].request
        request.deadline += 90000  # as while a body is being received
        request.attempts[0].timeout_at += 90000
        harness.state_machine.upstream.restart_timeout(harness.links[0])
        harness.state_machine.downstream.await_response(harness.clients["body"])
        harness.after(480)
        harness.send_request("late", "/pay")
        harness.connect_upstream(0)
        harness.after(100)
        self.check("crossings_stop", [line for line in harness.lines if " log " not in line])


class Startup(TraceTest):
    def test_signals_during_the_start(self):
        """SIGHUP as soon as the file was read, then SIGTERM: the file is read again, and the
        process ends in order.
        """
        code = (
            "import os, signal, sys\n"
            "from pierglade import __main__ as m\n"
            "def first():\n"
            "    place = m.config_from_environ(os.environ)\n"
            "    os.kill(os.getpid(), signal.SIGHUP)\n"
            "    os.kill(os.getpid(), signal.SIGTERM)\n"
            "    return place\n"
            "sys.exit(m.run(first, m.reloaded_config))\n"
        )
        document = {
            "name": "n1",
            "listen": "127.0.0.1:0",
            "discovery": "127.0.0.1:1",
            "seed": "8c",
            "settings": SETTINGS,
        }
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "config.json")
            with open(path, "w") as file:
                json.dump(document, file)
            done = subprocess.run(
                [sys.executable, "-c", code],
                capture_output=True,
                timeout=20,
                env={**os.environ, "BALANCER_CONFIG": path, "TMPDIR": folder},
            )
        events = [json.loads(line)["event"] for line in done.stdout.splitlines()]
        logged = [
            event
            for event in events
            if event in ("started", "config_reloaded", "stopping", "stopped")
        ]
        self.check("crossings_start", [f"{', '.join(logged)}, exit {done.returncode}"])


class DiscoveryStream(TraceTest):
    def test_stopped_or_resynced_while_it_connects(self):
        """The client is stopped or resynced while it connects: its connection is closed and nothing
        of it is reported.
        """
        lines = []
        for change in ("stop", "resync"):
            events, gate, peer = [], Event(), Peer(lambda message: answer(200, b'{"index":3}'))
            connect, sockets = gevent.socket.socket.connect, []

            def delayed_connect(sock, address, gate=gate, connect=connect, sockets=sockets):
                sockets.append(sock)
                gate.wait()
                return connect(sock, address)

            def handle_event(event, events=events):
                events.append(type(event).__name__)

            with mock.patch.object(gevent.socket.socket, "connect", delayed_connect):
                client = discovery.DiscoveryClient(
                    peer.address, mock.Mock(handle_event=handle_event)
                )
                running = gevent.spawn(client.run)
                run_until(lambda sockets=sockets: sockets)
                getattr(client, change)()
                gate.set()
                run_until(
                    lambda client=client, running=running, events=events: (
                        running.dead if client.stopped else "EndpointsUpdated" in events
                    )
                )
                running.kill()
            lines.append(f"{change}: {events[:2]}, exception {running.exception!r}")
        self.check("crossings_left_watch", lines)

    def test_event_loop_lag_is_not_a_timeout(self):
        """The list arrives while the process is busy for longer than the timeout: that is no
        timeout.
        """
        events, received = [], Event()

        def handle_event(event):
            events.append(type(event).__name__)
            received.set()

        ready = threading.Event()

        def serve(message):
            ready.wait(20)
            return answer(200, b'{"index":3}') if b"follow" not in message.url else None

        peer = Peer(serve)
        with mock.patch.object(discovery, "RESPONSE_TIMEOUT", 0.5):
            client = discovery.DiscoveryClient(peer.address, mock.Mock(handle_event=handle_event))
            running = gevent.spawn(client.run)
            run_until(lambda: peer.seen)
            ready.set()
            # The event loop does not run: response and timeout are both due in the next iteration.
            time.sleep(0.6)
            received.wait(20)
            running.kill()
        self.check("crossings_late_itself", events[:1])

    def test_silent_stream_with_a_polled_endpoint_list(self):
        """Polls come sooner the more is over of the 6 s after which discovery counts its changes as
        received.
        """
        events, lost = [], Event()

        def handle_event(event):
            name, reason = type(event).__name__, event.reason.partition(":")[0]
            # Both count from the last message of the stream, also that of the poll behind it.
            events.append(f"{name} {reason}, since the last message {event.waited >= 490}")
            if len(events) > 1:
                lost.set()
            client.poll_now()

        peer = Peer(lambda message: CHUNKED + b"1\r\n\n\r\n" if len(peer.seen) == 1 else None)
        # Only the silence of the stream is to time out, however late the peer closes the next one.
        with mock.patch.multiple(
            discovery, SILENCE_TIMEOUT=0.05, RESPONSE_TIMEOUT=20, RETRY_INTERVAL=0
        ):
            client = discovery.DiscoveryClient(
                peer.address, mock.Mock(handle_event=handle_event), 7
            )
            client.is_polled = lambda: True
            running = gevent.spawn(client.run)
            lost.wait(20)
            running.kill()
        lines = events[:2]
        for waited, gap in (
            (0, INTERVAL),
            (20000, 16000),
            (35000, MIN_INTERVAL),
            (90000, MIN_INTERVAL),
        ):
            waits = []
            for seed in range(200):
                balancer = Balancer(seed, balancer_settings(polls_endpoints=True), 0)
                balancer.discovery_lost(100, waited)
                waits.append(balancer.polling.next_at - 100)
            maximum = 1.5 * gap
            is_spread_out = max(waits) - min(waits) > maximum / 2
            lines.append(
                f"waited {waited / 10:.0f} ms: within {maximum / 10:.0f} ms {max(waits) <= maximum}, "
                f"spread out {is_spread_out}"
            )
        self.check("crossings_silent", lines)
