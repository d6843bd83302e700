"""The backends' side: each connection has a greenlet that opens it and reads its answers until it ends."""

import gevent
from gevent import socket
from gevent.event import Event

from pierglade.proxy import socket_io as sending
from pierglade.proxy.http.body_stream import Flow
from pierglade.proxy.http.message import Answers, Malformed
from pierglade.proxy.state.connections import IDLE, CloseCause
from pierglade.proxy.state.events import (
    RequestNotSent,
    ResponseCompleted,
    ResponsePartReceived,
    ResponseReceived,
    UpstreamClosed,
    UpstreamConnected,
)


class LinkSocket:
    def __init__(self, link, tell):
        self.link, self.tell = link, tell
        self.sock = socket.socket()
        self.answers = Answers()
        self.kept = False  # it has stood idle, or brought an answer, since it came up
        self.whole = False  # the last byte of the request that is out was handed to the kernel
        self.flow = None  # the answer that comes, where it is too large to hold
        self.read_on = Event()

    def run(self):
        """Opens the connection, then reads until it ends."""
        try:
            self._run()
        finally:
            self.answers.drop()

    def _run(self):
        try:
            host, _, port = self.link.address.rpartition(":")
            self.sock.connect((host, int(port)))
            sending.set_up(self.sock)
        except OSError as fault:
            return self._ended(CloseCause.CONNECT_FAILED, f"refused: {fault.strerror or fault}")
        self.tell(UpstreamConnected(self.link))
        # Passed over while it came up, it stands idle: written blind later, its end would count as a loss.
        self.kept = self.link.state is IDLE
        self.read()

    def read(self):
        try:
            while True:
                if self.flow is not None and self.flow.full():
                    # The client takes it more slowly than it comes; the backend has to wait for it.
                    self.read_on.clear()
                    self.read_on.wait()
                    continue
                if not (count := self.sock.recv_into(self.answers.room())):
                    break
                self.answers.filled(count)
                self._take()
                if self.answers.begun():
                    if self.link.state is IDLE:
                        # The next answer could not be told from bytes that nobody asked for.
                        return self._ended(CloseCause.RESET, "unasked bytes")
                    self.tell(ResponsePartReceived(self.link))
            if self.answers.ended():
                self._take_last()
        except Malformed as fault:
            return self._ended(CloseCause.MALFORMED_RESPONSE, f"malformed answer: {fault}")
        except OSError as fault:
            return self._ended(CloseCause.RESET, f"broke: {fault.strerror or fault}")
        self._ended(CloseCause.RESET, "closed by the backend")

    def _take(self):
        while True:
            if self.flow is not None:
                self.flow.add(self.answers.piece())
                self.tell(ResponsePartReceived(self.link))
                if not self.answers.over:
                    return
                self._flow_is_whole(self.answers.message)
            elif (message := self.answers.next()) is None:
                return
            elif self.answers.flows:
                counted = self.answers.pieces is None
                message.flow = self.flow = Flow(
                    self.answers.length if counted else None, self.read_on.set
                )
                self.flow.add(self.answers.piece())
                self.tell(ResponseReceived(self.link, message))
                if self.flow is None or not self.answers.over:
                    return  # Nobody wants it, or there is more to come.
                self._flow_is_whole(message)
            else:
                self._replied(message)
            self.answers.release()

    def _replied(self, message):
        # An answer that comes before its request is written whole leaves the rest in the way.
        # What comes behind an answer, a second copy say, would answer the link's next trip.
        message.keep = message.keep and self.whole and not self.answers.more()
        self.kept, self.whole = True, False
        self.tell(ResponseReceived(self.link, message))

    def _flow_is_whole(self, message):
        flow, self.flow = self.flow, None
        if flow is not None:
            flow.finish()
        keep = message.keep and self.whole and not self.answers.more()
        self.kept, self.whole = True, False
        self.tell(ResponseCompleted(self.link, keep))

    def _take_last(self):
        """The connection's end is that of the answer."""
        if self.flow is not None:
            self._flow_is_whole(self.answers.message)
        else:
            self._replied(self.answers.message)

    def _ended(self, how, reason):
        """What ended it is told with whether the request that was out was written whole."""
        self._end_flow()
        self.tell(UpstreamClosed(self.link, how, self.whole, reason))

    def _unwanted(self):
        """Whether nobody waits any more for what is to be written; looked at as late as can be.

        Wherever the request has waited, and whichever of its client's end and our turn was read first.
        """
        if self.link.probing:
            return False
        attempt = self.link.attempt
        return (
            attempt is None
            or (client := attempt.request.host_context.io) is None
            or sending.ended(client.sock)
        )

    def write(self, head, body):
        if self.kept and sending.waiting(self.sock):
            self.tell(UpstreamClosed(self.link, CloseCause.STALE, False, "readable while idle"))
            return
        if self._unwanted():
            self.tell(RequestNotSent(self.link))
            return
        if isinstance(body, Flow):
            gevent.spawn(self._write_flow, head, body)
            return
        try:
            rest = sending.send_now(self.sock, head, body)
        except OSError as fault:
            self.tell(
                UpstreamClosed(self.link, CloseCause.RESET, False, f"broke: {fault.strerror}")
            )
            return
        if rest:
            gevent.spawn(self._write_rest, rest)
        else:
            self.whole = True

    def _write_rest(self, rest):
        try:
            while rest:
                if self._unwanted():
                    # The backend begins with the last byte: without it nothing runs that nobody waits for.
                    return self.tell(
                        UpstreamClosed(self.link, CloseCause.CLIENT_GONE, False, "its client left")
                    )
                try:
                    rest = rest[self.sock._sock.send(rest, socket.MSG_DONTWAIT) :]
                except BlockingIOError:
                    sending.until_writable(self.sock)
            self.whole = True
        except OSError as fault:
            # Part of the last piece may have gone: counted as written, it is never run twice.
            self.tell(UpstreamClosed(self.link, CloseCause.RESET, True, f"broke: {fault.strerror}"))

    def _write_flow(self, head, flow):
        """A body that was gathered stays, for a further trip; another is written as it comes."""
        try:
            if flow.whole and not flow.passing:
                self.sock.sendall(head)
                for piece in list(flow.pieces):
                    if self._unwanted():
                        return self.tell(
                            UpstreamClosed(
                                self.link, CloseCause.CLIENT_GONE, False, "its client left"
                            )
                        )
                    self.sock.sendall(piece)
            else:
                sending.pass_on(self.sock, head, flow, flow.length is None, lambda: None)
            self.whole = not flow.broken
            if flow.broken and self.link.attempt is not None:
                # Where trips may not be called off nobody else would end it: its body is never whole.
                self.tell(
                    UpstreamClosed(self.link, CloseCause.CLIENT_GONE, False, "body broke off")
                )
        except OSError as fault:
            # As above, where the last piece was on its way; before it, the backend has not begun.
            self.tell(
                UpstreamClosed(
                    self.link,
                    CloseCause.RESET,
                    flow.whole and not flow.waiting,
                    f"broke: {fault.strerror}",
                ),
            )

    def _end_flow(self):
        if self.flow is not None:
            self.flow.break_off()
            self.flow = None

    def end(self):
        self._end_flow()
        self.read_on.set()
        if self.link.cut:
            # What the kernel holds of a large request must not go on to a backend that nobody waits for.
            sending.forget(self.sock)
        sending.hang_up(self.sock)
