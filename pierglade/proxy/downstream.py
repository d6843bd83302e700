"""The clients' side: takes every connection, reads requests from each in a greenlet, writes answers."""

from collections import deque

import gevent
from gevent import socket
from gevent.event import Event

from pierglade.proxy import socket_io as sending
from pierglade.proxy.http.body_stream import GATHER_MOST, GATHER_PART, WINDOW, WINDOW_COST, Flow
from pierglade.proxy.http.message import GO_ON, Malformed, Requests
from pierglade.proxy.state.constants import NEVER
from pierglade.proxy.state.events import (
    BodyReceived,
    ClientDisconnected,
    ConnectionOpened,
    MalformedRequest,
    RequestReceived,
    RequestStarted,
    ResponseProgressed,
    ResponseSent,
)

BACKLOG = 4096  # connections; whatever the kernel's queue holds counts as taken
ACCEPTS = 64  # connections taken in a turn, where descriptors are not short
PAUSE = 0.01  # s; until descriptors are free again, should accepting fail
AHEAD_MOST = 16  # reads whose time is kept; a client may send a byte at a time
THROWN_MOST = (
    1 << 20
)  # bytes; read after the last answer so that it is not reset away, but not 60 MB
REST_MOST = 1 << 25  # bytes; the same behind an answer that came before its body was whole
FAULTS = (b"400", b"408", b"413", b"431")  # what is answered to no request, or to half of one
REJECTED_UNPROCESSED = (
    b"HTTP/1.1 429 Too Many Requests\r\nRetry-After: 5\r\nContent-Type: text/plain\r\n"
    b"Content-Length: 35\r\nConnection: close\r\n\r\ntoo many connections from this side\n"[:-1]
)
THROWN = memoryview(bytearray(65536))  # where all of them read what nobody wants


class ClientSocket:
    """One client's connection. It is read on while an answer is owed, as its end means that nobody waits."""

    def __init__(self, sock, host, address):
        self.sock, self.tell, self.space, self.refuse = sock, host.tell, host.space, host.refuse
        self.host, self.line, self.address = host, host.line, address
        self.gate = host.reducer.descriptors.admission  # that let it in; None: nobody was asked
        self.now = host.clock.now
        self.requests = Requests()
        self.read_on = Event()
        self.last = False  # what still comes is thrown away: it follows a fault or the last answer
        self.message = None  # that it belongs to
        self.thrown, self.thrown_most = 0, THROWN_MOST  # bytes
        self.flow = None  # the body that comes, where it is too large to hold
        self.passing = False  # an answer is on its way to it as it comes, and not whole
        self.held = 0  # bytes of the space that it holds
        self.asked = False  # the reducer was told of it
        self.client = None  # the reducer's, set as it is told
        self.came = host.came  # when what is read now is likely to have come
        self.come = 0  # bytes read
        self.ahead = (
            deque()
        )  # (bytes read by then, when) while a request waited behind the one in hand
        sending.set_up(sock)
        self.known = self.gate is not None and self.gate.knows(self.now(), address)
        self.tell(ConnectionOpened(self, self.known))

    def run(self):
        reason = "client closed"
        try:
            while True:
                if self.flow is not None and self.flow.full() and self.asked and not self.last:
                    # Whoever takes the body is slower than the client, who has to wait for it.
                    self.read_on.clear()
                    self.read_on.wait()
                    continue
                room = THROWN if self.last else self.requests.room()
                if room is None:
                    # More than one request ahead: its end is not seen until the one in hand is answered.
                    self.read_on.clear()
                    self.read_on.wait()
                    continue
                count = self.sock.recv_into(room)
                if not count:
                    break
                if not self.last:
                    self.requests.filled(count)
                    self.come += count
                    if self.host.reducer.balancers.load_shedder.bar and self._refused():
                        continue
                    came = NEVER
                    if self.line.full():
                        came = self.came()
                        self.line.wait(self.address, count, self.known)
                        if self.client.io is None:
                            break  # Ended meanwhile, by us.
                    self._take(came)
                    if self.requests.held and self.requests.more():
                        self._note_ahead()
                    continue
                self.thrown += count
                if self.thrown > self.thrown_most:
                    reason = "sends on after its last answer"
                    break
                gevent.sleep(0)  # It may send at full speed, and must not have the core to itself.
        except OSError as fault:
            reason = f"broke: {fault.strerror}"
        finally:
            self.requests.drop()
            self._end_flow()
        self.tell(ClientDisconnected(self.client, reason))

    def _refused(self):
        """Whether what came was refused at a glance: the refusal is written, or its client reads nothing."""
        if self.flow is not None or self.line.over():
            return False
        refusal = self.refuse(self.client, self.requests)
        if not refusal:
            return False
        self.requests.skip()
        if sending.send_now(self.sock, refusal, b""):
            raise BrokenPipeError(0, "takes no refusal")
        return True

    def _take(self, came=NEVER):
        """`came`: when it came, where that was before this turn."""
        try:
            if self.flow is not None:
                return self._take_piece()
            message = self.requests.next()
        except Malformed as fault:
            # Where the fault ends nobody can tell: nothing behind it is read as a request.
            self.last = True
            self._end_flow()
            self.tell(MalformedRequest(self.client, fault.status, str(fault)))
            return
        if message is not None and self.requests.flows:
            self._begin_flow(message)
        elif message is not None:
            if self.ahead:
                self.tell(RequestReceived(self.client, message), came=self._came_ahead())
            else:
                self.tell(RequestReceived(self.client, message), came=came)
        elif self.requests.begun():
            self.tell(RequestStarted(self.client, self.requests.come()))
            if self.requests.expects_go_on():
                sending.send_now(self.sock, GO_ON, b"")

    # A body too large to hold.

    def _begin_flow(self, message):
        if not self.space.take(WINDOW_COST):
            # Before its body is read: together they are far more than the node may hold.
            self.last, self.thrown_most = True, REST_MOST
            self.tell(MalformedRequest(self.client, 503))
            return
        self.held = WINDOW_COST
        self.message, self.asked = message, False
        message.flow = self.flow = Flow(
            self.requests.length if self.requests.pieces is None else None, self.read_on.set
        )
        if self.requests.expects_go_on():
            sending.send_now(self.sock, GO_ON, b"")
        self._take_piece()

    def _take_piece(self):
        """A slow sender's body is gathered, as far as there is space; else it is passed on as it comes."""
        flow, requests = self.flow, self.requests
        flow.add(requests.piece())
        if requests.over:
            flow.finish()
        if self.asked:
            self.tell(BodyReceived(self.client))
        elif requests.over or not self._gathers():
            self.asked = True
            self.tell(RequestReceived(self.client, self.message))
        else:
            self.tell(RequestStarted(self.client, flow.size))
        if requests.over:
            self.flow = None

    def _gathers(self):
        more = self.flow.size - self.held
        if self.flow.size + WINDOW > GATHER_MOST:
            return False
        if more > 0:
            if not self.space.take(more, GATHER_PART):
                return False
            self.held += more
        return True

    def _end_flow(self):
        """Its connection or its answer has come to an end: nothing more of the body is passed on."""
        if self.flow is not None:
            self.flow.break_off()
            self.flow = None

    def _free(self):
        self._end_flow()
        self.message = None
        self.space.free(self.held)
        self.held = 0

    def answer(self, head, body, last, chunked=False):
        self._free()
        if self.gate is not None and head[9:12] in FAULTS:
            self.gate.faulted(self.now(), self.address)
        if isinstance(body, Flow):
            self.passing = True
            gevent.spawn(self._pass_on, head, body, last, chunked)
            return
        try:
            rest = sending.send_now(self.sock, head, body)
        except OSError as fault:
            # The reader may be waiting for this answer, and not see it before the time for slow readers.
            return self.tell(ClientDisconnected(self.client, f"broke: {fault.strerror}"))
        if rest:
            gevent.spawn(self._write_rest, rest, last)
        else:
            self._written(last)

    def _write_rest(self, rest, last):
        try:
            self.sock.sendall(rest)
        except OSError as fault:
            return self.tell(ClientDisconnected(self.client, f"broke: {fault.strerror}"))
        self._written(last)

    def _pass_on(self, head, flow, last, chunked):
        """An answer as it comes. One that breaks off must not look whole."""
        try:
            sending.pass_on(
                self.sock, head, flow, chunked, lambda: self.tell(ResponseProgressed(self.client))
            )
        except OSError:
            flow.break_off()
        if flow.broken:
            sending.reset(self.sock)
            self.tell(ClientDisconnected(self.client, "answer broke off"))
        else:
            self._written(last)

    def _written(self, last):
        self.passing = False
        self.tell(ResponseSent(self.client))
        if last:
            # Closed at once with something unread, the connection would be reset and the answer lost.
            if not self.last and self.requests.flows and not self.requests.over:
                self.thrown_most = REST_MOST
            self.last = True
            self.requests.drop()
            self.requests = Requests()
            try:
                self.sock.shutdown(socket.SHUT_WR)
            except OSError:
                pass
        else:
            self.requests.release()
            if self.requests.more():
                # Answered in order, each in a turn of its own: hundreds in a row take no turn of others.
                gevent.spawn(self._take_next)
        self.read_on.set()

    def _take_next(self):
        # Its connection may have ended before its turn came, and the inbox be dropped.
        if self.requests.parser is not None and not self.last and not self.requests.held:
            self._take()

    # Requests sent ahead of the answer to the one in hand (RFC 9112, 9.3.2).

    def _note_ahead(self):
        """The time of a request runs from its last byte, also where that waits behind another."""
        if len(self.ahead) == AHEAD_MOST:
            self.ahead[-1] = (self.come, self.ahead[-1][1])  # Rather too early than too late.
        else:
            self.ahead.append((self.come, self.came()))

    def _came_ahead(self):
        """When the last byte of the message that was just taken had come."""
        upto = self.come - (self.requests.end - self.requests.at)
        while self.ahead and self.ahead[0][0] < upto:
            self.ahead.popleft()
        came = self.ahead[0][1] if self.ahead else NEVER
        if not self.requests.more():
            self.ahead.clear()
        return came

    def let_go(self, reason):
        """Closes if nothing has come that was not taken."""
        if not self.requests.begun() and not sending.waiting(self.sock):
            # At once: a request that comes between the look and the end would be lost.
            sending.hang_up(self.sock)
            self.tell(ClientDisconnected(self.client, reason))

    def end(self):
        self._free()
        self.read_on.set()
        # Broken off by the link's time or by its own, whichever is due first, it must not look whole.
        (sending.reset if self.passing else sending.hang_up)(self.sock)
        if self.gate is not None:
            self.gate.closed(self.now(), self.address)
            self.gate = None


class Door:
    """The listening socket."""

    def __init__(self, address, host):
        self.host = host
        self.sock = sending.bound(address, shared=True)
        self.open = False

    def listen(self):
        self.sock.listen(BACKLOG)
        self.open = True
        sending.steer_here(self.sock)

    def run(self):
        taken = 0
        while self.open:
            try:
                sock, address = self.sock.accept()
            except OSError as fault:
                if self.open:
                    self.host.note("accept_failed", error=fault.strerror)
                    gevent.sleep(PAUSE)
                continue
            self._admit(sock, address)
            taken += 1
            if taken >= self.host.reducer.descriptors.acceptable(ACCEPTS) or self.host.line.full():
                # Lets the loop close what has yielded before the next one takes a descriptor.
                taken = 0
                gevent.sleep(0)

    def _admit(self, sock, address):
        reducer = self.host.reducer
        if reducer.descriptors.admission is not None and not reducer.descriptors.admits(
            self.host.clock.now(), address[0]
        ):
            return self._turn_away(sock)
        seat = ClientSocket(sock, self.host, address[0])
        self.host.spawn(seat.run, seat)

    def _turn_away(self, sock):
        """One line for whoever looks at it; nothing is read, so a client that has sent may see a reset."""
        try:
            sock._sock.send(REJECTED_UNPROCESSED, socket.MSG_DONTWAIT)
            sock._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        sock.close()

    def close(self):
        """What the kernel has accepted by now is still taken."""
        self.open = False
        self.sock.setblocking(False)
        while True:
            try:
                sock, address = self.sock.accept()
            except OSError:
                break
            self._admit(sock, address)
        self.sock.close()
