"""Where two things meet in the node: real loopback sockets and the real host, each crossing forced.

One side is held until the state is there by its own event; then both are let go before the loop turns. That
nothing was written is told by a later request that came through the same links.
"""

import gc
import os
import socket
import struct
import subprocess
import sys
import time
from unittest import mock

import gevent
from gevent.event import Event

from pierglade.__main__ import place_of
from pierglade.net import backends, discovery, http, sending
from pierglade.net.host import Host
from pierglade.net.state import events as ev
from pierglade.net.state import links
from tests.scene import Desk, TraceTest, entry, message, terms
from tests.test_net import HOST, answer

LONG = {"expectedTimeUs": 9000000, "hardLimitUs": 9000000}
OFFERINGS = [{"name": "look", "idempotency": "free", **LONG}, {"name": "pay", "idempotency": "single_shot", **LONG}]


def until(come):
    """Turns the loop until it has come; the machine may stand still, the test only fails."""
    end = time.monotonic() + 20
    while not come():
        if time.monotonic() > end:
            raise AssertionError("it never came")
        gevent.sleep(0)


class Backend:
    """Notes each request that has come whole; `reply(message)` gives bytes, None to end, or an Event to wait on."""

    def __init__(self, name):
        self.name, self.seen, self.reply = name, [], lambda message: answer(200, b"ok")
        self.sock = gevent.socket.socket()
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(64)
        self.address = "127.0.0.1:%d" % self.sock.getsockname()[1]
        self.running = gevent.spawn(self.run)

    def run(self):
        while True:
            gevent.spawn(self.serve, self.sock.accept()[0])

    def serve(self, sock):
        inbox = http.Requests()
        try:
            while count := sock.recv_into(inbox.room()):
                inbox.filled(count)
                while (message := inbox.next()) is not None:
                    self.seen.append(message.url.decode())
                    reply = self.reply(message)
                    if isinstance(reply, Event):
                        reply.wait()
                        reply = answer(200, b"late")
                    if reply is None:
                        return
                    sock.sendall(reply)
                    inbox.release()
        except OSError:
            pass
        finally:
            sock.close()


class House:
    """The host of a node with its door open, its backends, and the gate before new connections to them."""

    def __init__(self, count=1, cancel=True, listed=True, trips=3, **settings):
        self.backends = [Backend(f"b{n}") for n in range(count)]
        self.known = {"index": 1, "snapshot": True, "endpoints": [
            entry(b.name, address=b.address) for b in self.backends]}
        settings = {"offerings": OFFERINGS, "limits": {
            "mostTrips": trips, "mayCancel": cancel, "connectTimeoutUs": 8000000}, "contract": {}, **settings}
        told = {"name": "n1", "listen": "127.0.0.1:0", "seed": "8c", "settings": settings, "known": {}}
        # A socket of ours in the place of standard output: what the log says is not looked at here.
        log = mock.Mock(return_value=mock.Mock())
        with mock.patch.dict(os.environ, TMPDIR="/nowhere"):
            place = place_of(told, "config", {}, fixed=True)
            place.log = log
            self.host = Host(place)
        self.host.spawn(self.host.door.run)
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
        self.host.tell(ev.HEARD, self.known)

    def client(self):
        return socket.create_connection(self.host.door.sock.getsockname())

    def seen(self):
        return [url for backend in self.backends for url in backend.seen]

    def connecting(self):
        return [link for link in self.host.reducer.links[ev.CONNECTING] if link.trip is not None]

    def warm(self):
        """A link to each backend that is used again at once."""
        reducer = self.host.reducer
        for n in range(len(self.backends)):
            with self.client() as sock:
                sock.sendall(request("look", f"warm{n}"))
                sock.setblocking(False)
                until(lambda sock=sock: sending.waiting(mock.Mock(_sock=sock)))
        until(lambda: not any(reducer.clients.values()))
        until(lambda: all(reducer.now - link.since >= links.REST and self.host.clock.now() - link.since
                          >= links.REST for link in reducer.links[ev.IDLE]) or self.host.tell(ev.WOKE))

    def rest(self):
        """What backends saw, once all clients are gone and later requests have come through every backend."""
        reducer = self.host.reducer
        self.gate.set()
        until(lambda: not any(reducer.clients.values()))
        if self.first is not None:      # its backend still holds the first request
            self.host.tell(ev.LINK_ENDED, self.first, ev.BROKE, True, "as the test says")
        for backend in self.backends:
            backend.reply = lambda message: answer(200, b"ok")
        before = len(self.seen())
        later = 2 * len(self.backends)
        for n in range(later):
            with self.client() as sock:
                sock.sendall(request("look", f"after{n}"))
                sock.setblocking(False)
                until(lambda sock=sock: sending.waiting(mock.Mock(_sock=sock)))
        until(lambda: len(self.seen()) >= before + later and not reducer.carried)
        return [url for url in self.seen() if "after" not in url and "warm" not in url]

    def close(self):
        self.patch.stop()
        self.host.door.open = False
        self.host.door.sock.close()
        for backend in self.backends:
            backend.running.kill()
            backend.sock.close()
        for some in (*self.host.reducer.links.values(), *self.host.reducer.clients.values()):
            for connection in list(some):
                if connection.io is not None:
                    connection.io.end()
        gevent.sleep(0)


def request(offering, number, body=b""):
    method = b"GET" if offering == "look" else b"POST"
    head = b"%s /%s/%s HTTP/1.1\r\n%sX-Trace-Id: %s\r\n" % (
        method, offering.encode(), number.encode(), HOST, number.encode())
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

    def connecting(self, house, sock, offering, body=b""):
        """For a backend's connection; the end is read first."""
        house.gate.clear()
        sock.sendall(request(offering, "1", body))
        until(house.connecting)
        yield
        if not body:
            until(lambda: not any(house.host.reducer.clients.values()))
        house.gate.set()

    def connecting_at_once(self, house, sock, offering):
        """The same; end and connection come up in one turn."""
        house.gate.clear()
        sock.sendall(request(offering, "1"))
        until(house.connecting)
        yield
        house.gate.set()

    def full_body(self, house, sock, offering):
        """The same behind a body that fills its buffer: the end is not read until the answer."""
        yield from self.connecting(house, sock, offering, b"x" * 9000)

    def line(self, house, sock, offering):
        """In the node's own line."""
        go, line = Event(), house.host.line
        line.full, line.wait = lambda: True, lambda *what: go.wait()
        sock.sendall(request(offering, "1"))
        until(lambda: any(client.io.come for client in house.host.reducer.clients[ev.FRESH]))
        yield
        go.set()

    def first(self, house, sock, offering, more=b""):
        """The link of a request that its backend has and does not answer."""
        held = Event()
        for backend in house.backends:
            backend.reply = lambda message: held
        sock.sendall(request(offering, "first") + more)
        until(lambda: any("first" in url for url in house.seen()))
        house.first = next(link for link in house.host.reducer.links[ev.BUSY] if link.trip)
        return house.first

    def ahead(self, house, sock, offering):
        """Behind one in hand, whose answer comes as the client leaves."""
        link = self.first(house, sock, offering, request(offering, "1"))
        yield
        house.host.tell(ev.REPLIED, link, message(answer(200, b"ok"), http.Answers))

    def far_ahead(self, house, sock, offering):
        """Behind one in hand and before more than the buffer holds."""
        link = self.first(house, sock, offering, b"".join(request(offering, str(n)) for n in range(1, 90)))
        yield
        house.host.tell(ev.REPLIED, link, message(answer(200, b"ok"), http.Answers))

    def decisions(self, house, sock, offering):
        """Held by the decisions: they decide as the client leaves."""
        decide, house.host.reducer.node.decide = house.host.reducer.node.decide, lambda now: None
        sock.sendall(request(offering, "1"))
        until(lambda: house.host.reducer.clients[ev.OWED])
        yield
        house.host.reducer.node.decide = decide
        house.host.tell(ev.WOKE)

    def again(self, house, sock, offering):
        """Before its further trip; the loss is told before the end is read."""
        link = self.first(house, sock, offering)
        yield
        for backend in house.backends:
            backend.seen.clear()
        house.host.tell(ev.LINK_ENDED, link, ev.BROKE, False, "as the test says")

    def kernel(self, house, sock, offering):
        """In the kernel, before it is accepted."""
        sock.sendall(request(offering, "1"))
        yield

    def test_nothing_is_sent_on(self):
        lines = []
        places = (self.connecting, self.connecting_at_once, self.full_body, self.line, self.ahead, self.far_ahead,
                  self.decisions, self.again, self.kernel)
        for place in places:
            for offering in ("look", "pay"):
                if place == self.full_body and offering == "look":
                    continue        # what is harmless has no body
                for cancel in (True, False):
                    counts, faults = [], 0
                    for how in ("close", "half", "reset"):
                        house = House(1 + (place in (self.ahead, self.far_ahead, self.again)), cancel)
                        try:
                            if place not in (self.connecting, self.connecting_at_once, self.full_body):
                                house.warm()
                            sock = house.client()
                            steps = place(house, sock, offering)
                            next(steps)
                            leave(sock, how)
                            next(steps, None)
                            counts.append(len([url for url in house.rest()
                                               if "first" not in url or place == self.again]))
                            faults += house.host.faults
                        finally:
                            sock.close()
                            house.close()
                    lines.append(f"{place.__name__} {offering} may_cancel={cancel}: sent on after close, half, "
                                 f"reset {counts}, faults {faults}")
        self.check("crossings_left", lines)
