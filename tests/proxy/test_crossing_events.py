"""Where two things meet in the node: real loopback sockets and the real host, each crossing forced.

One side is held until the state is there by its own event; then both are let go before the loop turns. That
nothing was written is told by a later request that came through the same links.
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
from pierglade.balancer.polling import INTERVAL, INTERVAL_LEAST
from pierglade.model.request import Idempotency, RequestClass
from pierglade.proxy import discovery
from pierglade.proxy import socket_io as sending
from pierglade.proxy.http import reader
from pierglade.proxy.server import ProxyServer
from pierglade.proxy.state import downstream as state_clients
from pierglade.proxy.state.connections import CloseCause, ConnectionState
from pierglade.proxy.state.constants import REUSE_DELAY
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
from tests.proxy.state.test_machine import warm_desk
from tests.proxy.test_sockets import CHUNKED, HOST, SETTINGS, Peer, answer
from tests.support.scene import MS, Desk, TraceTest, balancer_settings, entry, message

LONG = {"expectedTimeUs": 9000000, "hardLimitUs": 9000000}
OFFERINGS = [
    {"name": "look", "idempotency": "free", **LONG},
    {"name": "pay", "idempotency": "single_shot", **LONG},
]


def until(come):
    """Turns the loop until it has come; the machine may stand still, the test only fails."""
    end = time.monotonic() + 20
    while not come():
        if time.monotonic() > end:
            raise AssertionError("it never came")
        gevent.sleep(0)


class Backend:
    """Notes each request that has come whole; `reply(message)` gives bytes, None to end, or an Event."""

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


class House:
    """The host of a node with its door open, its backends, and the gate before new connections to them."""

    def __init__(self, count=1, cancel=True, listed=True, attempts=3, **settings):
        self.backends = [Backend(f"b{n}") for n in range(count)]
        self.known = {
            "index": 1,
            "snapshot": True,
            "endpoints": [entry(b.name, address=b.address) for b in self.backends],
        }
        settings = {
            "offerings": OFFERINGS,
            "limits": {"mostTrips": attempts, "mayCancel": cancel, "connectTimeoutUs": 8000000},
            "contract": {},
            **settings,
        }
        told = {
            "name": "n1",
            "listen": "127.0.0.1:0",
            "seed": "8c",
            "settings": settings,
            "known": {},
        }
        # A socket of ours in the place of standard output: what the log says is not looked at here.
        log = mock.Mock(return_value=mock.Mock())
        with mock.patch.dict(os.environ, TMPDIR="/nowhere"):
            place = config_from_document(told, "config", {}, fixed=True)
            place.log = log
            self.host = ProxyServer(place)
        self.host.spawn(self.host.listener.run)
        self.first = None
        self.gate = Event()
        self.gate.set()
        connect = gevent.socket.socket.connect

        def held(sock, where):
            self.gate.wait()
            return connect(sock, where)

        self.patch = mock.patch.object(gevent.socket.socket, "connect", held)
        self.patch.start()
        if listed:
            self.list()

    def list(self):
        self.host.tell(EndpointsUpdated(self.known))

    def client(self):
        return socket.create_connection(self.host.listener.sock.getsockname())

    def seen(self):
        return [url for backend in self.backends for url in backend.seen]

    def connecting(self):
        return [
            link
            for link in self.host.reducer.upstream.by_state[ConnectionState.CONNECTING]
            if link.attempt is not None
        ]

    def warm(self):
        """A link to each backend that is used again at once."""
        reducer = self.host.reducer
        for n in range(len(self.backends)):
            with self.client() as sock:
                sock.sendall(http_request("look", f"warm{n}"))
                sock.setblocking(False)
                until(lambda sock=sock: sending.is_readable(mock.Mock(_sock=sock)))
        until(lambda: not any(reducer.downstream.by_state.values()))
        until(
            lambda: (
                all(
                    reducer.step.now - link.since >= REUSE_DELAY
                    and self.host.clock.now() - link.since >= REUSE_DELAY
                    for link in reducer.upstream.by_state[ConnectionState.IDLE]
                )
                or self.host.tell(TimerFired())
            )
        )

    def rest(self):
        """What backends saw, once all clients are gone and later requests have come through every backend."""
        reducer = self.host.reducer
        self.gate.set()
        until(lambda: not any(reducer.downstream.by_state.values()))
        if self.first is not None:  # its backend still holds the first request
            self.host.tell(UpstreamClosed(self.first, CloseCause.RESET, True, "as the test says"))
        for backend in self.backends:
            backend.reply = lambda message: answer(200, b"ok")
        before = len(self.seen())
        later = 2 * len(self.backends)
        for n in range(later):
            with self.client() as sock:
                sock.sendall(http_request("look", f"after{n}"))
                sock.setblocking(False)
                until(lambda sock=sock: sending.is_readable(mock.Mock(_sock=sock)))
        until(lambda: len(self.seen()) >= before + later and not reducer.attempts.connections)
        return [url for url in self.seen() if "after" not in url and "warm" not in url]

    def close(self):
        self.patch.stop()
        self.host.listener.open = False
        self.host.listener.sock.close()
        for backend in self.backends:
            backend.running.kill()
            backend.sock.close()
        for some in (
            *self.host.reducer.upstream.by_state.values(),
            *self.host.reducer.downstream.by_state.values(),
        ):
            for connection in list(some):
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


def leave(sock, how):
    """The client ends its connection; its end has reached the node's side when this returns."""
    if how == "half":
        return sock.shutdown(socket.SHUT_WR)
    if how == "reset":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


class Left(TraceTest):
    """A client leaves while its request waits, wherever that is: nothing of it is written to a backend."""

    def connecting(self, house, sock, request_class, body=b""):
        """For a backend's connection; the end is read first."""
        house.gate.clear()
        sock.sendall(http_request(request_class, "1", body))
        until(house.connecting)
        yield
        if not body:
            until(lambda: not any(house.host.reducer.downstream.by_state.values()))
        house.gate.set()

    def connecting_at_once(self, house, sock, request_class):
        """The same; end and connection come up in one turn."""
        house.gate.clear()
        sock.sendall(http_request(request_class, "1"))
        until(house.connecting)
        yield
        house.gate.set()

    def full_body(self, house, sock, request_class):
        """The same behind a body that fills its buffer: the end is not read until the answer."""
        yield from self.connecting(house, sock, request_class, b"x" * 9000)

    def line(self, house, sock, request_class):
        """In the node's own line."""
        go, line = Event(), house.host.admission_queue
        line.full, line.wait = lambda: True, lambda *what: go.wait()
        sock.sendall(http_request(request_class, "1"))
        until(
            lambda: any(
                client.io.received
                for client in house.host.reducer.downstream.by_state[ConnectionState.NEW]
            )
        )
        yield
        go.set()

    def first(self, house, sock, request_class, more=b""):
        """The link of a request that its backend has and does not answer."""
        held = Event()
        for backend in house.backends:
            backend.reply = lambda message: held
        sock.sendall(http_request(request_class, "first") + more)
        until(lambda: any("first" in url for url in house.seen()))
        house.first = next(
            link
            for link in house.host.reducer.upstream.by_state[ConnectionState.BUSY]
            if link.attempt
        )
        return house.first

    def ahead(self, house, sock, request_class):
        """Behind one in hand, whose answer comes as the client leaves."""
        link = self.first(house, sock, request_class, http_request(request_class, "1"))
        yield
        house.host.tell(ResponseReceived(link, message(answer(200, b"ok"), reader.ResponseReader)))

    def far_ahead(self, house, sock, request_class):
        """Behind one in hand and before more than the buffer holds."""
        link = self.first(
            house,
            sock,
            request_class,
            b"".join(http_request(request_class, str(n)) for n in range(1, 90)),
        )
        yield
        house.host.tell(ResponseReceived(link, message(answer(200, b"ok"), reader.ResponseReader)))

    def decisions(self, house, sock, request_class):
        """Held by the decisions: they decide as the client leaves."""
        decide, house.host.reducer.balancers.current.next_decision = (
            house.host.reducer.balancers.current.next_decision,
            lambda now: None,
        )
        sock.sendall(http_request(request_class, "1"))
        until(lambda: house.host.reducer.downstream.by_state[ConnectionState.AWAITING_RESPONSE])
        yield
        house.host.reducer.balancers.current.next_decision = decide
        house.host.tell(TimerFired())

    def again(self, house, sock, request_class):
        """Before its further trip; the loss is told before the end is read."""
        link = self.first(house, sock, request_class)
        yield
        for backend in house.backends:
            backend.seen.clear()
        house.host.tell(UpstreamClosed(link, CloseCause.RESET, False, "as the test says"))

    def kernel(self, house, sock, request_class):
        """In the kernel, before it is accepted."""
        sock.sendall(http_request(request_class, "1"))
        yield

    def setUp(self):
        # What a bare greenlet raises is a fault as well; and nobody is to be ended for reading slowly.
        self.raised = []
        for patch in (
            mock.patch.object(
                type(gevent.get_hub()), "handle_error", lambda hub, *what: self.raised.append(what)
            ),
            mock.patch.object(state_clients, "SLOW_READER", 10**9),
        ):
            patch.start()
            self.addCleanup(patch.stop)

    def test_nothing_is_sent_on(self):
        lines = []
        places = (
            self.connecting,
            self.connecting_at_once,
            self.full_body,
            self.line,
            self.ahead,
            self.far_ahead,
            self.decisions,
            self.again,
            self.kernel,
        )
        for place in places:
            for request_class in ("look", "pay"):
                if place == self.full_body and request_class == "look":
                    continue  # what is harmless has no body
                for cancel in (True, False):
                    counts, faults = [], 0
                    for how in ("close", "half", "reset"):
                        house = House(
                            1 + (place in (self.ahead, self.far_ahead, self.again)), cancel
                        )
                        try:
                            if place not in (
                                self.connecting,
                                self.connecting_at_once,
                                self.full_body,
                            ):
                                house.warm()
                            sock = house.client()
                            steps = place(house, sock, request_class)
                            next(steps)
                            leave(sock, how)
                            next(steps, None)
                            counts.append(
                                len(
                                    [
                                        url
                                        for url in house.rest()
                                        if "first" not in url or place == self.again
                                    ]
                                )
                            )
                            faults += house.host.faults + len(self.raised)
                        finally:
                            sock.close()
                            house.close()
                    lines.append(
                        f"{place.__name__} {request_class} may_cancel={cancel}: sent on after close, "
                        f"half, reset {counts}, faults {faults}"
                    )
        self.check("crossings_left", lines)

    def test_a_reader_that_ends_before_the_next_one_sent_ahead_is_taken(self):
        """The answer frees the message reader, the reading greenlet drops it in the same turn: nothing is left to take."""
        house = House()
        try:
            sock = house.client()
            link = self.first(house, sock, "look", http_request("look", "1"))
            client = link.attempt.request.host_context
            house.host.tell(
                ResponseReceived(link, message(answer(200, b"ok"), reader.ResponseReader))
            )
            client.io.requests.drop()
            gevent.sleep(0)
            gevent.sleep(0)
            sock.close()
            self.assertEqual((house.rest(), self.raised), (["/look/first"], []))
        finally:
            house.close()

    def test_a_link_ended_while_its_request_is_half_written(self):
        """By us, before or while its rest waits: whoever writes it ends, and raises nothing."""
        for turns in (0, 3):
            ours, theirs = socket.socketpair()
            link = mock.Mock(probing=True, state=ConnectionState.BUSY, cut=True)
            told = []
            handler = UpstreamHandler(link, lambda *what, told=told: told.append(what))
            handler.sock.close()
            handler.sock = gevent.socket.socket(fileno=ours.detach())
            handler.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            handler.write(b"x" * 100000, b"")
            writing = [
                each
                for each in gc.get_objects()
                if isinstance(each, gevent.Greenlet)
                and getattr(each, "_run", None) == handler._write_rest
            ]
            for _ in range(turns):
                gevent.sleep(0)
            handler.end()
            until(lambda writing=writing: all(each.dead for each in writing))
            theirs.close()
            self.assertEqual((len(writing), self.raised, handler.whole), (1, [], False))

    def test_a_request_half_written(self):
        """Its backend reads nothing for a while: what is left of the request does not follow its client."""
        lines = []
        for cancel in (True, False):
            house, go = House(cancel=cancel), Event()
            backend, set_up = house.backends[0], sending.set_up

            def small(sock):
                set_up(sock)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)

            def late(sock, serve=backend.serve, go=go):
                go.wait()
                serve(sock)

            backend.serve = late
            backend.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            try:
                with mock.patch.object(sending, "set_up", small):
                    sock = house.client()
                    sock.sendall(http_request("pay", "1", b"x" * 60000))
                    until(
                        lambda house=house: any(
                            link.io.whole is False and link.attempt
                            for link in house.host.reducer.upstream.by_state[ConnectionState.BUSY]
                        )
                    )
                    gevent.sleep(0)
                    sock.close()
                    until(
                        lambda house=house: (
                            not house.host.reducer.downstream.by_state[ConnectionState.NEW]
                        )
                    )
                    go.set()
                    seen = house.rest()
                lines.append(
                    f"may_cancel={cancel}: whole at the backend {seen}, faults {house.host.faults}"
                )
            finally:
                house.close()
        self.check("crossings_half_written", lines)


class Again(TraceTest):
    def test_a_link_passed_over_and_closed_while_idle(self):
        """It never carried anything; written blind, its end would count as a one-shot's that may have run."""
        house = House()
        backend, reducer = house.backends[0], house.host.reducer
        try:
            house.warm()
            held = Event()
            backend.reply = lambda message: held if b"first" in message.url else answer(200, b"ok")
            one, two, three = (house.client() for _ in range(3))
            one.sendall(http_request("look", "first"))
            until(lambda: "/look/first" in backend.seen)
            house.gate.clear()
            two.sendall(http_request("look", "passed"))
            until(house.connecting)
            held.set()
            until(lambda: "/look/passed" in backend.seen)
            house.gate.set()
            until(
                lambda: (
                    len(reducer.upstream.by_state[ConnectionState.IDLE]) == 2 == len(backend.socks)
                )
            )
            until(
                lambda: all(
                    house.host.clock.now() - link.since > REUSE_DELAY
                    for link in reducer.upstream.by_state[ConnectionState.IDLE]
                )
            )
            fresh = next(
                link
                for link in reducer.upstream.by_state[ConnectionState.IDLE]
                if not link.io.answers.end
            )
            fresh.backend.idle.sort(key=lambda link: link is fresh)
            until(
                lambda: (
                    len(reducer.downstream.by_state[ConnectionState.NEW])
                    + len(reducer.downstream.by_state[ConnectionState.IDLE])
                    == 3
                )
            )
            client = next(iter(reducer.downstream.by_state[ConnectionState.NEW]))
            backend.socks[1]._sock.shutdown(
                socket.SHUT_RDWR
            )  # and the loop does not turn before it is written
            house.host.tell(RequestReceived(client, message(http_request("pay", "once"))))
            three.setblocking(False)
            until(lambda: sending.is_readable(mock.Mock(_sock=three)))
            status, times = three.recv(100).split()[1].decode(), backend.seen.count("/pay/once")
            lines = [f"answered {status}, seen {times} times"]
            for sock in (one, two, three):
                sock.close()
        finally:
            house.close()
        self.check("crossings_passed_over", lines)

    def test_what_is_told_while_a_link_comes_up(self):
        """Another address, a drain, the trip's end, and the same for a probe: nothing is written there."""
        lines = []
        for what in ("moved", "drained", "late", "probe drained"):
            desk = Desk(["b0", "b1"] if what == "probe drained" else ["b0"], may_cancel=False)
            if what == "probe drained":
                for name in ("c0", "c1"):
                    desk.ask(name)
                    desk.lose(
                        CloseCause.CONNECT_FAILED, whole=False, link=0
                    ) if name == "c0" else None
                desk.after(200)
                link = next(n for n, link in enumerate(desk.links) if link.probing)
            else:
                desk.ask("c0", "/pay")
                link = 0
            desk.lines = [f"{what}:"]
            if what == "moved":
                desk.hear([entry("b0", address="127.0.0.1:8999")], 2, whole=False)
            elif what == "late":
                desk.now += 9960  # its time-out is due in the same turn, and not seen yet
            else:
                desk.hear([entry(desk.links[link].backend.name, "DRAINING")], 2, whole=False)
            desk.up(link)
            lines += [line for line in desk.lines if " log " not in line]
        self.check("crossings_coming_up", lines)

    def test_settings_that_change_while_a_link_comes_up(self):
        """Gone binds under the settings that took it, and not under the new ones: it is left alone. Where the
        list was asked for, who waits for the word to ask again is not left waiting.
        """
        desk = Desk(["b0"], may_cancel=False, polls_endpoints=True)
        desk.ask("c0", "/pay")
        desk.tell(ConfigurationLoaded("", {"settings": 1}, balancer_settings(removal_binds=False)))
        desk.hear([entry("b0", "DELETED")], 2, whole=False)
        desk.up()
        self.check("crossings_settings", desk.lines)

    def test_gone_and_back_within_one_message(self):
        """What was kept to the process that went is ended, and what is on its way goes to the new one."""
        desk = Desk(["b0"])
        for name in ("c0", "c1"):
            desk.ask(name)
        desk.up(0)
        desk.reply(link=0)
        back = [entry("b0", "DELETED"), entry("b0", address="127.0.0.1:8999", since_ms=2000)]
        desk.hear(back, 2, whole=False)
        desk.up(1)
        desk.up(2)
        self.check("crossings_one_message", desk.lines)

    def test_an_answer_that_we_end(self):
        """Spoilt or never ending: the backend has the trip out until our end is there, ahead of the next."""
        desk = warm_desk()
        desk.ask("c0")
        link = next(n for n, link in enumerate(desk.links) if link.attempt)
        desk.tell(ResponsePartReceived(desk.links[link]))
        desk.after(102)
        self.check("crossings_garbled", [line for line in desk.lines if " log " not in line])

    def test_a_second_answer_some_ms_late(self):
        """Behind the first by 4 ms: it answers nobody, and the next trip is not on its link."""
        desk = Desk(["b0"])
        desk.ask("c0")
        desk.up()
        desk.reply()
        desk.taken("c0")
        desk.after(3.9)
        desk.ask("c0", "/pay")
        desk.reply(link=0)
        desk.up()
        desk.reply()
        self.check("crossings_second", desk.lines)


class Stopping(TraceTest):
    def test_the_end_comes_with_the_settings_own_limits(self):
        """Limits of 0.6 s: the process may be killed at 1.3 s. One with no limit near it on a link that comes
        up later, one half read, one that asks when the end is near: each is answered, nothing goes out.
        """
        rows = [
            RequestClass(0, "look", Idempotency.SAFE, "all", 0, 300 * MS, 600 * MS, 1.0),
            RequestClass(1, "pay", Idempotency.UNSAFE, "all", 0, 300 * MS, 600 * MS, 1.0),
        ]
        desk = Desk(["b0"], request_classes=rows, may_cancel=False, connect_timeout=5000 * MS)
        for name in ("half", "late"):
            desk.open(name)
        desk.tell(RequestStarted(desk.clients["half"], None))
        desk.tell(StopRequested())
        desk.tell(StopRequested())  # two, and new settings behind them, change nothing of the end
        desk.tell(
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
        desk.after(600)
        desk.ask("body", "/pay", left=600)
        request = desk.clients["body"].request
        request.deadline += 90000  # as where a body is still coming
        request.attempts[0].timeout_at += 90000
        desk.reducer.upstream.restart_timeout(desk.links[0])
        desk.reducer.downstream.await_response(desk.clients["body"])
        desk.after(480)
        desk.ask("late", "/pay")
        desk.up(0)
        desk.after(100)
        self.check("crossings_stop", [line for line in desk.lines if " log " not in line])


class Starting(TraceTest):
    def test_signals_of_the_start(self):
        """SIGHUP as soon as the file was read, SIGTERM behind it: it is read again, the end in order."""
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
        told = {
            "name": "n1",
            "listen": "127.0.0.1:0",
            "discovery": "127.0.0.1:1",
            "seed": "8c",
            "settings": SETTINGS,
        }
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "config.json")
            with open(path, "w") as file:
                json.dump(told, file)
            done = subprocess.run(
                [sys.executable, "-c", code],
                capture_output=True,
                timeout=20,
                env={**os.environ, "BALANCER_CONFIG": path, "TMPDIR": folder},
            )
        events = [json.loads(line)["event"] for line in done.stdout.splitlines()]
        kept = [
            event
            for event in events
            if event in ("started", "config_reloaded", "stopping", "stopped")
        ]
        self.check("crossings_start", [f"{', '.join(kept)}, exit {done.returncode}"])


class Watching(TraceTest):
    def test_left_while_it_connects(self):
        """A move, a relist: what is open is closed under the one that waits, and nothing of it is told."""
        lines = []
        for what in ("stop", "resync"):
            told, gate, peer = [], Event(), Peer(lambda message: answer(200, b'{"index":3}'))
            connect, tries = gevent.socket.socket.connect, []

            def held(sock, where, gate=gate, connect=connect, tries=tries):
                tries.append(sock)
                gate.wait()
                return connect(sock, where)

            def tell(event, told=told):
                told.append(type(event).__name__)

            with mock.patch.object(gevent.socket.socket, "connect", held):
                watch = discovery.DiscoveryClient(peer.address, mock.Mock(tell=tell))
                running = gevent.spawn(watch.run)
                until(lambda tries=tries: tries)
                getattr(watch, what)()
                gate.set()
                until(
                    lambda watch=watch, running=running, told=told: (
                        running.dead if watch.stopped else "EndpointsUpdated" in told
                    )
                )
                running.kill()
            lines.append(f"{what}: {told[:2]}, a fault {running.exception!r}")
        self.check("crossings_left_watch", lines)

    def test_a_node_that_is_late_itself(self):
        """The list has come while the node was busy for longer than it waits: that is no time-out."""
        told, come = [], Event()

        def tell(event):
            told.append(type(event).__name__)
            come.set()

        ready = threading.Event()

        def serve(message):
            ready.wait(20)
            return answer(200, b'{"index":3}') if b"follow" not in message.url else None

        peer = Peer(serve)
        with mock.patch.object(discovery, "RESPONSE_TIMEOUT", 0.5):
            watch = discovery.DiscoveryClient(peer.address, mock.Mock(tell=tell))
            running = gevent.spawn(watch.run)
            until(lambda: peer.seen)
            ready.set()
            time.sleep(
                0.6
            )  # no turn of the loop: the answer and the time-out are both there at the next
            come.wait(20)
            running.kill()
        self.check("crossings_late_itself", told[:1])

    def test_a_silent_watch_where_the_list_is_asked_for(self):
        """Asked for again the sooner the more is gone of the 6 s in which what it misses counts as told."""
        told, lost = [], Event()

        def tell(event):
            name, reason = type(event).__name__, event.reason.partition(":")[0]
            # Both count from the watch's last word, that of the call behind it as well.
            told.append(f"{name} {reason}, since the last word {event.waited >= 490}")
            if len(told) > 1:
                lost.set()
            watch.ask()

        peer = Peer(lambda message: CHUNKED + b"1\r\n\n\r\n" if len(peer.seen) == 1 else None)
        with mock.patch.multiple(discovery, SILENCE_TIMEOUT=0.05, RETRY_INTERVAL=0):
            watch = discovery.DiscoveryClient(peer.address, mock.Mock(tell=tell), 7)
            watch.is_polled = lambda: True
            running = gevent.spawn(watch.run)
            lost.wait(20)
            running.kill()
        lines = told[:2]
        for waited, gap in (
            (0, INTERVAL),
            (20000, 16000),
            (35000, INTERVAL_LEAST),
            (90000, INTERVAL_LEAST),
        ):
            waits = []
            for seed in range(200):
                node = Balancer(seed, balancer_settings(polls_endpoints=True), 0)
                node.discovery_lost(100, waited)
                waits.append(node.polling.next_at - 100)
            most = 1.5 * gap
            apart = max(waits) - min(waits) > most / 2
            lines.append(
                f"waited {waited / 10:.0f} ms: within {most / 10:.0f} ms {max(waits) <= most}, "
                f"well apart {apart}"
            )
        self.check("crossings_silent", lines)
