"""The socket of an upstream connection: reads responses in a greenlet and writes requests."""

import contextlib
import errno
from collections.abc import Callable

import gevent
from gevent import socket
from gevent.event import Event

from pierglade.proxy import socket_io
from pierglade.proxy.descriptor_release import DescriptorRelease
from pierglade.proxy.http.body_stream import (
    SMALL_WINDOW,
    STREAM_RESERVATION_BYTES,
    WINDOW,
    BodyStream,
    BufferBudget,
    ProgressReports,
)
from pierglade.proxy.http.reader import CHUNK_LINES_PER_STEP, ProtocolError, ResponseReader
from pierglade.proxy.state.connections import IDLE, CloseCause
from pierglade.proxy.state.events import (
    RequestNotSent,
    ResponseCompleted,
    ResponsePartReceived,
    ResponseReceived,
    UnsolicitedBytesReceived,
    UpstreamClosed,
    UpstreamConnected,
)
from pierglade.proxy.turn_limiter import TurnLimiter

UNLIMITED_BYTES = 1 << 62  # the budget where none is given
# Errors of this machine, not of a backend: no descriptor, memory or port is free for a moment.
LOCAL_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)
LOCAL_RETRY_S = 0.005


class UpstreamHandler:
    """Reads and writes the socket of one connection to a backend; events go to `handle_event`."""

    def __init__(
        self,
        connection,
        handle_event: Callable,
        budget: BufferBudget | None = None,
        turn_limiter: TurnLimiter | None = None,
        descriptor_release: DescriptorRelease | None = None,
    ):
        self.connection, self.handle_event = connection, handle_event
        self.turn_limiter, self.descriptor_release = turn_limiter, descriptor_release
        # Memory for responses; `reserved_bytes` of it are in use here.
        self.budget, self.reserved_bytes = budget or BufferBudget(UNLIMITED_BYTES), 0
        self.sock = None
        self.is_ended = False  # whether the state machine has ended the connection
        # Made at once, so that it counts as open; if that fails, `run` tries again.
        with contextlib.suppress(OSError):
            self.sock = socket.socket()
        self.responses = ResponseReader()
        if turn_limiter is not None:
            self.responses.max_chunk_lines = CHUNK_LINES_PER_STEP
        # Whether the connection has been idle or has carried a response since it was established.
        self.is_reused = False
        self.is_request_written = (
            False  # the last byte of the request in flight was handed to the kernel
        )
        # The BodyStream being read, where the response is too large to buffer.
        self.body_stream = None
        self.progress = ProgressReports()
        self.read_resumed = Event()

    def run(self):
        """Establishes the connection, then reads until it ends."""
        try:
            self._run()
        finally:
            self.responses.drop()
            self._reserve(0)

    def _run(self):
        try:
            self._connect()
        except OSError as error:
            return self._report_closed(
                CloseCause.CONNECT_FAILED, f"connect failed: {error.strerror or error}"
            )
        self.handle_event(UpstreamConnected(self.connection))
        # A connection is idle if no attempt is waiting when it is established. `write` then checks
        # that it is still open. Without the check, its end would count as a failure of the attempt.
        self.is_reused = self.connection.state is IDLE
        self.read()

    def _connect(self):
        """Connects; what this machine lacks for a moment is waited for until the time-out.

        Raises:
            OSError: the backend can't be reached, or the state machine has ended the connection.
        """
        host, _, port = self.connection.address.rpartition(":")
        while True:
            try:
                self.sock = self.sock or socket.socket()
                self.sock.connect((host, int(port)))
                return socket_io.set_up(self.sock)
            except OSError as error:
                if error.errno not in LOCAL_ERRORS:
                    raise
                gevent.sleep(LOCAL_RETRY_S)
                if self.is_ended:
                    raise

    def read(self):
        """Reads responses until the connection ends, and reports the cause."""
        try:
            while True:
                if self.body_stream is not None and self.body_stream.full():
                    # The client reads the response more slowly than the backend sends it.
                    self.read_resumed.clear()
                    self.read_resumed.wait()
                    continue
                buffer = self.responses.writable()
                if not self.responses.is_streamed and not self._reserve_for_reader():
                    continue
                if not (byte_count := self.sock.recv_into(buffer)):
                    break
                self.responses.filled(byte_count)
                self._handle_input()
                while self.responses.has_unparsed:
                    self.turn_limiter.wait()
                    self._handle_input()
                if self.responses.has_begun():
                    if self.connection.state is IDLE:
                        # Unsolicited bytes would be taken for the next response.
                        self.handle_event(UnsolicitedBytesReceived(self.connection))
                        return self._report_closed(CloseCause.RESET, "unsolicited bytes while idle")
                    self.handle_event(
                        ResponsePartReceived(self.connection, self.responses.unsized_body_bytes())
                    )
            if self.responses.ended():
                self._handle_last_response()
        except ProtocolError as error:
            return self._report_closed(
                CloseCause.MALFORMED_RESPONSE, f"malformed response: {error}"
            )
        except OSError as error:
            return self._report_closed(
                CloseCause.RESET, f"connection lost: {error.strerror or error}"
            )
        self._report_closed(CloseCause.RESET, "closed by the backend")

    def _handle_input(self):
        while True:
            if self.body_stream is not None:
                self.body_stream.add(self.responses.piece())
                if self.progress.is_due():
                    self.handle_event(ResponsePartReceived(self.connection))
                if not self.responses.body_complete:
                    return
                self._finish_body(self.responses.message)
            elif (message := self.responses.next()) is None:
                return
            elif self.responses.is_streamed:
                self._begin_body(message)
                if self.body_stream is None or not self.responses.body_complete:
                    return  # The body was aborted or is not complete yet.
                self._finish_body(message)
            else:
                self._handle_response(message)
            self.responses.release()

    def _begin_body(self, message):
        has_length = self.responses.unsized_body is None
        is_small = not self._reserve(STREAM_RESERVATION_BYTES)
        if is_small:
            self._reserve(0)
            self.responses.stream_buffer_bytes = SMALL_WINDOW
        message.body_stream = self.body_stream = BodyStream(
            self.responses.length if has_length else None,
            self.read_resumed.set,
            window=SMALL_WINDOW if is_small else WINDOW,
        )
        self.body_stream.add(self.responses.piece())
        self.handle_event(ResponseReceived(self.connection, message))

    def _reserve(self, byte_count):
        """Changes the reservation to `byte_count`; returns False if there is no memory for it."""
        more = byte_count - self.reserved_bytes
        if more > 0 and not self.budget.reserve(more):
            return False
        self.budget.release(max(0, -more))
        self.reserved_bytes = byte_count
        return True

    def _reserve_for_reader(self):
        """Reserves what the reader holds; without memory, streams the response.

        Returns whether the buffer that was returned last is still to be read into.
        """
        needed = self.responses.extra_bytes()
        if needed == self.reserved_bytes or self._reserve(needed):
            return True
        if self.connection.attempt is not None and self.responses.head_complete:
            # A response that is streamed takes little memory, but can't be replaced by a retry.
            self.stream_response()
            if self.responses.is_streamed:
                return False
        self.budget.force(needed - self.reserved_bytes)
        self.reserved_bytes = needed
        return True

    def stream_response(self):
        """Reports the response being read as received; the rest of its body is streamed."""
        message = self.responses.begin_stream()
        if message is not None:
            self._begin_body(message)

    def _handle_response(self, message):
        # The connection is not reused if the response arrived before the whole request was written,
        # as the rest of the request would follow. It is not reused either if bytes follow the
        # response, such as a duplicate: they would be taken for the response to the next attempt.
        is_followed = self._is_followed()
        message.is_reusable = message.is_reusable and self.is_request_written and not is_followed
        self.is_reused, self.is_request_written = True, False
        self.handle_event(ResponseReceived(self.connection, message))

    def _finish_body(self, message):
        body, self.body_stream = self.body_stream, None
        if body is not None:
            body.finish()
        is_followed = self._is_followed()
        keep = message.is_reusable and self.is_request_written and not is_followed
        self.is_reused, self.is_request_written = True, False
        self.handle_event(ResponseCompleted(self.connection, keep))

    def _is_followed(self):
        """Returns whether bytes follow the response that was read."""
        is_followed = self.responses.has_more()
        if is_followed:
            self.handle_event(UnsolicitedBytesReceived(self.connection))
        return is_followed

    def _handle_last_response(self):
        """Handles a response whose end is the end of the connection."""
        if self.body_stream is not None:
            self._finish_body(self.responses.message)
        else:
            self._handle_response(self.responses.message)

    def _report_closed(self, cause, reason):
        """Reports the connection's end, and whether the request in flight was written whole."""
        self._abort_body()
        self.handle_event(UpstreamClosed(self.connection, cause, self.is_request_written, reason))

    def _has_unsolicited_input(self):
        """Returns whether the connection ended or got bytes while it was idle.

        Bytes that were read may still wait for their turn to be parsed.
        """
        has_begun = self.responses.has_begun()
        if not has_begun and not socket_io.is_readable(self.sock):
            return False
        if has_begun or socket_io.unread_bytes(self.sock):
            self.handle_event(UnsolicitedBytesReceived(self.connection))
        return True

    def _has_no_client(self):
        """Returns whether the client of the request to be written has disconnected.

        This is checked as late as possible, to cover every place where the request has waited.
        """
        if self.connection.is_health_check:
            return False
        client = self._client_handler()
        return client is None or socket_io.peer_has_closed(client.sock)

    def _client_handler(self):
        attempt = self.connection.attempt
        if self.connection.is_health_check or attempt is None:
            return None
        return attempt.request.caller_context.io

    def write(self, head: bytes, body):
        """Sends a request; `body`: bytes or a BodyStream."""
        if self.is_reused and self._has_unsolicited_input():
            self.handle_event(
                UpstreamClosed(
                    self.connection, CloseCause.STALE, False, "closed or sent bytes while idle"
                )
            )
            return
        if self._has_no_client():
            self.handle_event(RequestNotSent(self.connection, True))
            return
        client = self._client_handler()
        if client is not None and client.may_have_left_unseen():
            self.handle_event(RequestNotSent(self.connection, False))
            return
        if isinstance(body, BodyStream):
            # Chosen now, as the head is: by the time the greenlet runs, the body may be complete.
            is_kept = body.is_complete and not body.is_partly_taken
            gevent.spawn(self._write_kept_body if is_kept else self._write_body_stream, head, body)
            return
        try:
            unsent = socket_io.send_now(self.sock, head, body)
        except OSError as error:
            return self._report_lost(False, error)
        if unsent:
            gevent.spawn(self._write_rest, unsent)
        else:
            self.is_request_written = True

    def _write_rest(self, unsent):
        try:
            while unsent:
                if self._has_no_client():
                    return self._client_left()
                try:
                    unsent = unsent[self.sock._sock.send(unsent, socket.MSG_DONTWAIT) :]
                except BlockingIOError:
                    socket_io.wait_writable(self.sock)
            self.is_request_written = True
        except OSError as error:
            # The last piece may have been sent. The request counts as written, so that it is not
            # executed twice.
            self._report_lost(True, error)

    def _write_kept_body(self, head, body):
        """Sends a body that was read to its end, and keeps it for a retry."""
        if body.is_aborted:
            return self._give_up("request body aborted before it was sent")
        try:
            self.sock.sendall(head)
            for piece in list(body.pieces):
                if self._has_no_client():
                    return self._client_left()
                self.sock.sendall(piece)
            self.is_request_written = True
        except OSError as error:
            # The last byte was not sent, so the backend has not begun to execute the request.
            self._report_lost(False, error)

    def _write_body_stream(self, head, body):
        """Sends a body as it is read; it can't be sent again."""
        try:
            self.is_request_written = socket_io.stream_body(
                self.sock,
                head,
                body,
                body.length is None,
                self._body_piece_sent,
                lambda: not self._has_no_client(),
            )
        except OSError as error:
            # The request counts as written if its last piece was being sent, so that it is not
            # executed twice. Before that, the backend has not begun to execute it.
            return self._report_lost(body.is_complete and not body.buffered_bytes, error)
        if body.is_aborted:
            # If attempts are not cancelled, nothing else ends this one, whose body stays
            # incomplete.
            self._give_up("request body aborted before its end")
        elif not self.is_request_written:
            self._client_left()

    def _body_piece_sent(self):
        if self.turn_limiter is not None:
            self.turn_limiter.wait_if_busy()

    def _report_lost(self, is_request_written, error):
        """Reports that writing a request has failed."""
        reason = f"connection lost: {error.strerror}"
        self.handle_event(
            UpstreamClosed(self.connection, CloseCause.RESET, is_request_written, reason)
        )

    def _client_left(self):
        self._give_up("client disconnected while its request was written")

    def _give_up(self, reason):
        """Ends the attempt: a backend executes a request only once it has the last byte."""
        if self.connection.attempt is not None:
            self.handle_event(
                UpstreamClosed(self.connection, CloseCause.CLIENT_GONE, False, reason)
            )

    def abort_unless_written(self):
        """Aborts the connection unless the backend has received the whole request.

        What it has not acknowledged could still reach it from the kernel's buffer, at any time.
        """
        if self.is_request_written and not socket_io.unacknowledged_bytes(self.sock):
            return
        self.handle_event(
            UpstreamClosed(
                self.connection,
                CloseCause.WRITE_OVERDUE,
                self.is_request_written,
                "deduplication window ended before the request was received",
            )
        )

    def _abort_body(self):
        if self.body_stream is not None:
            self.body_stream.abort_body()
            self.body_stream = None

    def end(self):
        """Ends the connection at once."""
        self.is_ended = True
        self._abort_body()
        self.read_resumed.set()
        if self.sock is None:
            return
        if self.connection.closed_while_busy:
            # The client has disconnected, so the bytes of a large request that are still in the
            # kernel's buffer must not be sent.
            socket_io.discard_unsent(self.sock)
        if self.descriptor_release is None:
            return socket_io.close_now(self.sock)
        self.descriptor_release.close(self.sock)
