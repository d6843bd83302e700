"""A downstream connection on its socket: one greenlet reads requests, responses are written."""

import contextlib
from collections import deque

import gevent
from gevent import socket
from gevent.event import Event

from pierglade.proxy import socket_io as sending
from pierglade.proxy.http.body_stream import (
    GATHER_MOST,
    GATHER_PART,
    WINDOW,
    WINDOW_COST,
    BodyStream,
)
from pierglade.proxy.http.message import GO_ON
from pierglade.proxy.http.reader import ProtocolError, RequestReader
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

PIPELINED_MOST = 16  # reads whose time is kept; a client may send a byte at a time
DISCARD_MOST = (
    1 << 20
)  # bytes; read after the last response, so that a reset does not destroy it; but not 60 MB
DISCARD_REST_MOST = (
    1 << 25
)  # bytes; the same behind a response that came before the request was whole
FAULTS = (b"400", b"408", b"413", b"431")  # statuses sent for a malformed or incomplete request
DISCARDED = memoryview(bytearray(65536))  # a shared buffer for what is read and discarded


class DownstreamHandler:
    """The socket of one client.

    It is read on while a response is pending: its end means that the client no longer waits.
    """

    def __init__(self, sock: socket.socket, host, address: str):
        self.sock, self.tell, self.budget, self.refuse = sock, host.tell, host.budget, host.refuse
        self.host, self.line, self.address = host, host.admission_queue, address
        self.gate = host.reducer.descriptors.admission  # that admitted it; None: no limits
        self.now = host.clock.now
        self.requests = RequestReader()
        self.read_on = Event()
        self.last = (
            False  # what is still read is discarded: it follows a fault or the last response
        )
        self.message = None  # the request whose body is read
        self.discarded, self.discard_most = 0, DISCARD_MOST  # bytes
        self.flow = None  # the body that is read, where it is too large to hold
        self.passing = False  # a response is being streamed to it, and not whole
        self.held = 0  # bytes of the budget that it holds
        self.announced = False  # the state machine knows of the request
        self.client = None  # the DownstreamConnection, set by the state machine
        self.came = host.came  # returns when what is read now is likely to have arrived
        self.received = 0  # bytes read
        self.pipelined = (
            deque()
        )  # (bytes read by then, when) while requests wait behind the current one
        sending.set_up(sock)
        self.known = self.gate is not None and self.gate.knows(self.now(), address)
        self.tell(ConnectionOpened(self, self.known))

    def run(self):
        """Reads until the connection ends, and reports how it ended."""
        reason = "client closed"
        try:
            while True:
                if self.flow is not None and self.flow.full() and self.announced and not self.last:
                    # The upstream side takes the body more slowly than the client sends it.
                    self.read_on.clear()
                    self.read_on.wait()
                    continue
                buffer = DISCARDED if self.last else self.requests.writable()
                if buffer is None:
                    # More than one pipelined request: an end is not seen until a response is sent.
                    self.read_on.clear()
                    self.read_on.wait()
                    continue
                count = self.sock.recv_into(buffer)
                if not count:
                    break
                if not self.last:
                    if not self._received(count):
                        break
                    continue
                self.discarded += count
                if self.discarded > self.discard_most:
                    reason = "sends on after its last answer"
                    break
                gevent.sleep(0)  # It may send at full speed, and must not use the CPU alone.
        except OSError as fault:
            reason = f"broke: {fault.strerror}"
        finally:
            self.requests.drop()
            self._end_flow()
        self.tell(ClientDisconnected(self.client, reason))

    def _received(self, count):
        """Takes up `count` bytes that were read; returns whether the connection is still open."""
        self.requests.filled(count)
        self.received += count
        if self.host.reducer.balancers.load_shedder.threshold and self._was_shed():
            return True
        came = NEVER
        if self.line.full():
            came = self.came()
            self.line.wait(self.address, count, self.known)
            if self.client.io is None:
                return False  # Closed by us meanwhile.
        self._take(came)
        if self.requests.held and self.requests.more():
            self._note_pipelined()
        return True

    def _was_shed(self):
        """Whether what was read was rejected unparsed.

        Raises:
            BrokenPipeError: the client does not read the rejection.
        """
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
        """Takes up what was read; `came`: when it arrived, if before this turn of the loop."""
        try:
            if self.flow is not None:
                return self._take_piece()
            message = self.requests.next()
        except ProtocolError as fault:
            # Where the malformed part ends is unknown: nothing behind it is read as a request.
            self.last = True
            self._end_flow()
            self.tell(MalformedRequest(self.client, fault.status, str(fault)))
            return
        if message is not None and self.requests.flows:
            self._begin_flow(message)
        elif message is not None:
            if self.pipelined:
                self.tell(RequestReceived(self.client, message), came=self._arrival_of_pipelined())
            else:
                self.tell(RequestReceived(self.client, message), came=came)
        elif self.requests.begun():
            self.tell(RequestStarted(self.client, self.requests.come()))
            if self.requests.expects_go_on():
                sending.send_now(self.sock, GO_ON, b"")

    # A body too large to hold.

    def _begin_flow(self, message):
        if not self.budget.reserve(WINDOW_COST):
            # Before its body is read: many such bodies are far more than the process may hold.
            self.last, self.discard_most = True, DISCARD_REST_MOST
            self.tell(MalformedRequest(self.client, 503))
            return
        self.held = WINDOW_COST
        self.message, self.announced = message, False
        message.flow = self.flow = BodyStream(
            self.requests.length if self.requests.pieces is None else None, self.read_on.set
        )
        if self.requests.expects_go_on():
            sending.send_now(self.sock, GO_ON, b"")
        self._take_piece()

    def _take_piece(self):
        """Buffers a slow sender's body while the budget allows it; streams it otherwise."""
        flow, requests = self.flow, self.requests
        flow.add(requests.piece())
        if requests.over:
            flow.finish()
        if self.announced:
            self.tell(BodyReceived(self.client))
        elif requests.over or not self._buffers_whole():
            self.announced = True
            self.tell(RequestReceived(self.client, self.message))
        else:
            self.tell(RequestStarted(self.client, flow.size))
        if requests.over:
            self.flow = None

    def _buffers_whole(self):
        """Whether the body may go on being buffered whole, so that it can be sent again."""
        more = self.flow.size - self.held
        if self.flow.size + WINDOW > GATHER_MOST:
            return False
        if more > 0:
            if not self.budget.reserve(more, GATHER_PART):
                return False
            self.held += more
        return True

    def _end_flow(self):
        """Aborts the body: its connection or its response has ended."""
        if self.flow is not None:
            self.flow.break_off()
            self.flow = None

    def _free(self):
        self._end_flow()
        self.message = None
        self.budget.release(self.held)
        self.held = 0

    def answer(self, head: bytes, body, last: bool, chunked: bool = False):
        """Sends a response; `body`: bytes or a BodyStream; `last`: close after it."""
        self._free()
        if self.gate is not None and head[9:12] in FAULTS:
            self.gate.faulted(self.now(), self.address)
        if isinstance(body, BodyStream):
            self.passing = True
            gevent.spawn(self._stream_body, head, body, last, chunked)
            return
        try:
            rest = sending.send_now(self.sock, head, body)
        except OSError as fault:
            # The reading greenlet may wait for this response, and see it only at its timeout.
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

    def _stream_body(self, head, flow, last, chunked):
        """Streams a response. One that is aborted must not look whole."""
        try:
            sending.stream_body(
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
            # Closed at once with something unread, it would be reset and the response lost.
            if not self.last and self.requests.flows and not self.requests.over:
                self.discard_most = DISCARD_REST_MOST
            self.last = True
            self.requests.drop()
            self.requests = RequestReader()
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_WR)
        else:
            self.requests.release()
            if self.requests.more():
                # In order, each in its own turn of the loop: hundreds in a row delay no others.
                gevent.spawn(self._take_next)
        self.read_on.set()

    def _take_next(self):
        # The connection may have ended by now, and the reader be dropped.
        if self.requests.parser is not None and not self.last and not self.requests.held:
            self._take()

    # Pipelined requests (RFC 9112, 9.3.2).

    def _note_pipelined(self):
        """Keeps when bytes arrived: a pipelined request's time runs from its last byte, too."""
        if len(self.pipelined) == PIPELINED_MOST:
            self.pipelined[-1] = (
                self.received,
                self.pipelined[-1][1],
            )  # Rather too early than too late.
        else:
            self.pipelined.append((self.received, self.came()))

    def _arrival_of_pipelined(self):
        """Returns when the last byte of the message that was just taken had arrived."""
        upto = self.received - (self.requests.end - self.requests.at)
        while self.pipelined and self.pipelined[0][0] < upto:
            self.pipelined.popleft()
        came = self.pipelined[0][1] if self.pipelined else NEVER
        if not self.requests.more():
            self.pipelined.clear()
        return came

    def close_when_read(self, reason: str):
        """Closes the connection if nothing has arrived that was not taken up."""
        if not self.requests.begun() and not sending.is_readable(self.sock):
            # At once: a request that arrived between check and close would be lost.
            sending.hang_up(self.sock)
            self.tell(ClientDisconnected(self.client, reason))

    def end(self):
        """Ends the connection at once."""
        self._free()
        self.read_on.set()
        # Aborted by the timeout of either side, whichever is due first, it must not look whole.
        (sending.reset if self.passing else sending.hang_up)(self.sock)
        if self.gate is not None:
            self.gate.closed(self.now(), self.address)
            self.gate = None
