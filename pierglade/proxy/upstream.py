"""An upstream connection on its socket: one greenlet connects and reads until it ends."""

from collections.abc import Callable

import gevent
from gevent import socket
from gevent.event import Event

from pierglade.proxy import socket_io as sending
from pierglade.proxy.http.body_stream import BodyStream
from pierglade.proxy.http.reader import ProtocolError, ResponseReader
from pierglade.proxy.state.connections import IDLE, CloseCause
from pierglade.proxy.state.events import (
    RequestNotSent,
    ResponseCompleted,
    ResponsePartReceived,
    ResponseReceived,
    UpstreamClosed,
    UpstreamConnected,
)


class UpstreamHandler:
    """The socket of one connection to a backend; reports events by `tell`."""

    def __init__(self, link, tell: Callable):
        self.link, self.tell = link, tell
        self.sock = socket.socket()
        self.answers = ResponseReader()
        self.kept = False  # it was idle, or brought a response, since it was connected
        self.whole = False  # the last byte of the request in flight was handed to the kernel
        self.flow = None  # the response that is read, where it is too large to hold
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
        # Unused when connected, it is idle: written unchecked, its end would count as a failure.
        self.kept = self.link.state is IDLE
        self.read()

    def read(self):
        """Reads responses until the connection ends, and reports how it ended."""
        try:
            while True:
                if self.flow is not None and self.flow.full():
                    # The client takes it more slowly than it arrives; the backend has to wait.
                    self.read_on.clear()
                    self.read_on.wait()
                    continue
                if not (count := self.sock.recv_into(self.answers.writable())):
                    break
                self.answers.filled(count)
                self._take()
                if self.answers.begun():
                    if self.link.state is IDLE:
                        # Unsolicited bytes: they would be taken for the next response.
                        return self._ended(CloseCause.RESET, "unasked bytes")
                    self.tell(ResponsePartReceived(self.link))
            if self.answers.ended():
                self._take_last()
        except ProtocolError as fault:
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
                message.flow = self.flow = BodyStream(
                    self.answers.length if counted else None, self.read_on.set
                )
                self.flow.add(self.answers.piece())
                self.tell(ResponseReceived(self.link, message))
                if self.flow is None or not self.answers.over:
                    return  # It was aborted, or there is more to read.
                self._flow_is_whole(message)
            else:
                self._replied(message)
            self.answers.release()

    def _replied(self, message):
        # After a response that comes before its request is written whole, the rest would follow.
        # Bytes behind a response, a duplicate say, would be taken for the next attempt's.
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
        """Takes a response that ends with the connection."""
        if self.flow is not None:
            self._flow_is_whole(self.answers.message)
        else:
            self._replied(self.answers.message)

    def _ended(self, how, reason):
        """Reports the end, and whether the request in flight was written whole."""
        self._end_flow()
        self.tell(UpstreamClosed(self.link, how, self.whole, reason))

    def _unwanted(self):
        """Whether no client waits any more for what is to be written; checked as late as possible.

        It covers every place where the request may have waited before.
        """
        if self.link.probing:
            return False
        attempt = self.link.attempt
        return (
            attempt is None
            or (client := attempt.request.host_context.io) is None
            or sending.peer_has_closed(client.sock)
        )

    def write(self, head: bytes, body):
        """Sends a request; `body`: bytes or a BodyStream."""
        if self.kept and sending.is_readable(self.sock):
            self.tell(UpstreamClosed(self.link, CloseCause.STALE, False, "readable while idle"))
            return
        if self._unwanted():
            self.tell(RequestNotSent(self.link))
            return
        if isinstance(body, BodyStream):
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
                    # A backend executes only with the last byte: nothing is executed in vain.
                    return self.tell(
                        UpstreamClosed(self.link, CloseCause.CLIENT_GONE, False, "its client left")
                    )
                try:
                    rest = rest[self.sock._sock.send(rest, socket.MSG_DONTWAIT) :]
                except BlockingIOError:
                    sending.wait_writable(self.sock)
            self.whole = True
        except OSError as fault:
            # Part of the last piece may be sent: it counts as written, never to be executed twice.
            self.tell(UpstreamClosed(self.link, CloseCause.RESET, True, f"broke: {fault.strerror}"))

    def _write_flow(self, head, flow):
        """Sends a body: one that is buffered whole is kept for a retry, another is streamed."""
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
                sending.stream_body(self.sock, head, flow, flow.length is None, lambda: None)
            self.whole = not flow.broken
            if flow.broken and self.link.attempt is not None:
                # Without cancellation nothing else would end it: its body is never whole.
                self.tell(
                    UpstreamClosed(self.link, CloseCause.CLIENT_GONE, False, "body broke off")
                )
        except OSError as fault:
            # As above, where the last piece was being sent; before it, the backend has not begun.
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
        """Ends the connection at once."""
        self._end_flow()
        self.read_on.set()
        if self.link.cut:
            # What the kernel still holds of a large request must not be sent: no client waits.
            sending.discard_unsent(self.sock)
        sending.hang_up(self.sock)
