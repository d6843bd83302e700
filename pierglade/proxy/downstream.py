"""The socket of a downstream connection: reads requests in a greenlet and writes responses."""

import contextlib
from time import monotonic_ns

import gevent
from gevent import socket
from gevent.event import Event

from pierglade.proxy import socket_io
from pierglade.proxy.http.body_stream import (
    BUFFERED_FRACTION,
    MAX_BUFFERED_BYTES,
    REQUEST_FRACTION,
    STREAM_RESERVATION_BYTES,
    WINDOW,
    BodyStream,
    ProgressReports,
)
from pierglade.proxy.http.message import CONTINUE_RESPONSE
from pierglade.proxy.http.reader import CHUNK_LINES_PER_STEP, ProtocolError, RequestReader
from pierglade.proxy.pipelined_reads import PipelinedReads
from pierglade.proxy.request_arrival import RequestArrival
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
from pierglade.proxy.turn_limiter import CpuUse

# Maximum number of bytes that are read and discarded after the last response. If none were read, a
# reset could destroy the response; but a client may send 60 MB more.
MAX_DISCARD_BYTES = 1 << 20
# The same limit for a response that was sent before its request was complete.
MAX_UPLOAD_DISCARD_BYTES = 1 << 25
# Bytes of a body that may be on their way, in the buffers of both kernels: 4 MB is the largest send
# buffer of a Linux socket by default. While more are missing, the client is still sending.
MAX_BYTES_IN_TRANSIT = (1 << 22) + 2 * socket_io.RECEIVE_BUFFER_BYTES
# Ticks (50 ms). Time since the last read after which a client may have left for too long: a request
# must not be sent on 100 ms after its client has closed.
MAX_UNSEEN_TICKS = 500
# Unread bytes behind which the end of a connection can hide; an eighth of the receive buffer, as
# the kernel counts small pieces at several times their size.
MAX_UNREAD_BYTES = socket_io.RECEIVE_BUFFER_BYTES // 8
# Statuses sent for a malformed or incomplete request.
MALFORMED_STATUSES = (b"400", b"408", b"413", b"431")
DISCARD_BUFFER = memoryview(bytearray(65536))  # shared by all connections


class DownstreamHandler:
    """Reads and writes the socket of one client.

    The socket is also read while a response is pending: the end of its stream means that the client
    no longer waits.
    """

    def __init__(self, sock: socket.socket, server, address: str):
        self.sock, self.handle_event, self.budget, self.prepared_rejection = (
            sock,
            server.handle_event,
            server.budget,
            server.prepared_rejection,
        )
        self.server, self.admission_queue, self.address = server, server.admission_queue, address
        self.monitor, self.turn_limiter = server.monitor, server.turn_limiter
        self.cpu_use = CpuUse()
        # The ConnectionAdmission that admitted the connection; None: there are no limits.
        self.admission = server.state_machine.descriptors.admission
        self.now = server.clock.now
        self.requests = self._new_reader()
        self.read_resumed = Event()
        # Whether data is discarded because it follows a malformed request or the last response.
        self.is_discarding = False
        self.message = None  # the request whose body is being read
        self.discarded, self.max_discard_bytes = 0, MAX_DISCARD_BYTES  # bytes
        self.body_stream = None  # the BodyStream being read, where the body is too large to buffer
        self.is_streaming_response = False  # a response is being streamed and is not complete
        # Bytes reserved from the budget: for a streamed body, and for the reader.
        self.reserved_bytes = self.reader_bytes = 0
        self.is_announced = False  # the state machine has received the request
        self.client = None  # the DownstreamConnection, set by the state machine
        # Returns when data read now is likely to have arrived.
        self.arrival_time = server.arrival_time
        self.received = 0  # bytes read in all
        self.loop_monitor = server.loop_monitor
        self.arrival = RequestArrival(server.loop_monitor, self.now)
        self.request_read_at = 0  # when the last bytes were read (ticks)
        self.is_next_scheduled = False  # whether a pipelined request is about to be handled
        self.is_reading_paused = False  # because pipelined requests fill the buffer
        self.pipelined_reads = PipelinedReads(server.arrival_time)
        socket_io.set_up(sock)
        self.is_known = self.admission is not None and self.admission.is_known_client(
            self.now(), address
        )
        self.handle_event(ConnectionOpened(self, self.is_known))

    def run(self):
        """Reads until the connection ends, and reports the reason."""
        reason = "client closed"
        try:
            while True:
                if (
                    self.body_stream is not None
                    and self.body_stream.full()
                    and self.is_announced
                    and not self.is_discarding
                ):
                    # The body is written upstream more slowly than the client sends it.
                    self.arrival.reading_paused()
                    self.read_resumed.clear()
                    self.read_resumed.wait()
                    continue
                if self.is_next_scheduled and not self.is_discarding:
                    self._pause_reading()
                    continue
                buffer = DISCARD_BUFFER if self.is_discarding else self.requests.writable()
                if buffer is None:
                    # Pipelined requests fill the buffer until a response is sent.
                    self._pause_reading()
                    continue
                if not self.is_discarding and not self._reserve_for_reader():
                    self._reject_for_memory()
                    continue
                byte_count = self._receive(buffer)
                self.request_read_at = self.now()
                if not byte_count:
                    break
                if not self.is_discarding:
                    if not self._handle_read(byte_count):
                        break
                    continue
                self.discarded += byte_count
                if self.discarded > self.max_discard_bytes:
                    reason = "client kept sending after the last response"
                    break
                gevent.sleep(0)  # A client that sends at full speed must not occupy the CPU.
        except OSError as error:
            reason = f"connection lost: {error.strerror}"
        finally:
            self._drop_reader()
            self.requests.drop()
            self._abort_body()
        self.handle_event(ClientDisconnected(self.client, reason))

    def _pause_reading(self):
        """Reads nothing more for now; meanwhile the end of the stream is not detected."""
        self.is_reading_paused = True
        self.read_resumed.clear()
        self.read_resumed.wait()
        self.is_reading_paused = False

    @staticmethod
    def _new_reader():
        message_reader = RequestReader()
        message_reader.max_chunk_lines = CHUNK_LINES_PER_STEP
        return message_reader

    def _receive(self, buffer):
        """Reads into `buffer`; returns the number of bytes."""
        body = self.body_stream
        begins_request = body is None and not self.requests.has_begun()
        self.arrival.read_begins(body)
        byte_count = self.sock.recv_into(buffer)
        self.arrival.read_ended(body, begins_request)
        return byte_count

    def _handle_read(self, byte_count):
        """Handles `byte_count` bytes that were read; returns whether the connection is open."""
        self.requests.filled(byte_count)
        self.received += byte_count
        if self.is_next_scheduled:
            self.pipelined_reads.record(self.received)
            return True
        arrived_at = self.arrival.incomplete_at
        if self.cpu_use.is_over_share():
            arrived_at = min(arrived_at, self.arrival_time())
            self.turn_limiter.wait()
            if self.client.io is None:
                return False  # This side has closed the connection during the wait.
        if self.server.state_machine.balancers.load_shedder.threshold and self._reject_unparsed():
            return True
        if self.admission_queue.full():
            arrived_at = min(arrived_at, self.arrival_time())
            self.admission_queue.wait(self.address, byte_count, self.is_known)
            if self.client.io is None:
                return False  # This side has closed the connection during the wait.
        self._handle_input(arrived_at)
        if self.requests.in_use and self.requests.has_more():
            self.pipelined_reads.record(self.received)
        return True

    def _reject_unparsed(self):
        """Sends a rejection without parsing the request, if load is shed; returns whether it did.

        Raises:
            BrokenPipeError: the client does not read the rejection.
        """
        if self.body_stream is not None or self.admission_queue.is_overloaded():
            return False
        began_ns = monotonic_ns()
        rejection = self.prepared_rejection(self.client, self.requests)
        self.cpu_use.add(began_ns)
        if not rejection:
            return False
        self.requests.skip()
        self.monitor.rejections_sent()
        if socket_io.send_now(self.sock, rejection, b""):
            raise BrokenPipeError(0, "the client does not read the rejection")
        return True

    def _handle_input(self, arrived_at=NEVER):
        """Handles the data that was read; `arrived_at`: its time, if before this turn."""
        self._handle_step(arrived_at)
        while self.requests.has_unparsed and not self.is_discarding:
            self.turn_limiter.wait()
            if self.client.io is None:
                return
            self._handle_step(arrived_at)

    def _handle_step(self, arrived_at):
        began_ns = monotonic_ns()
        try:
            self._parse(arrived_at)
        finally:
            self.cpu_use.add(began_ns)

    def _parse(self, arrived_at):
        try:
            if self.body_stream is not None:
                return self._read_body_piece()
            message = self.requests.next()
        except ProtocolError as error:
            # It is unknown where the malformed part ends, so no later data is read as a request.
            self.is_discarding = True
            self._abort_body()
            self.handle_event(MalformedRequest(self.client, error.status, str(error)))
            return
        if message is not None and self.requests.is_streamed:
            self._begin_body_stream(message)
        elif message is not None:
            if self.pipelined_reads.reads:
                taken = self.received - (self.requests.end - self.requests.position)
                arrived_at = self.pipelined_reads.take(taken, not self.requests.has_more())
            self.handle_event(RequestReceived(self.client, message), arrived_at=arrived_at)
        elif self.requests.has_begun():
            self.handle_event(RequestStarted(self.client, self.requests.body_bytes_received()))
            if self.requests.expects_continue():
                socket_io.send_now(self.sock, CONTINUE_RESPONSE, b"")

    # Bodies that are too large to buffer.

    def _reserve_for_reader(self):
        """Reserves what the reader holds; returns whether it may go on reading a request."""
        # The buffer of a streamed body is part of its own reservation.
        needed = 0 if self.requests.is_streamed else self.requests.extra_bytes()
        more = needed - self.reader_bytes
        if more <= 0:
            self.budget.release(-more)
        elif self.requests.in_use:
            self.budget.force(more)  # The request was passed on already.
        elif not self.budget.reserve(more, REQUEST_FRACTION):
            return False
        self.reader_bytes = needed
        return True

    def _reject_for_memory(self):
        """Rejects the request being read: many such requests would exceed the process's memory."""
        self.is_discarding, self.max_discard_bytes = True, MAX_UPLOAD_DISCARD_BYTES
        self.handle_event(MalformedRequest(self.client, 503))
        self._drop_reader()

    def _drop_reader(self):
        """Replaces the reader by an empty one, as nothing more is read as a request."""
        self.requests.drop()
        self.requests = self._new_reader()
        self.budget.release(self.reader_bytes)
        self.reader_bytes = 0

    def _begin_body_stream(self, message):
        if not self.budget.reserve(STREAM_RESERVATION_BYTES, REQUEST_FRACTION):
            return self._reject_for_memory()
        self.budget.release(self.reader_bytes)
        self.reader_bytes = 0
        self.reserved_bytes = STREAM_RESERVATION_BYTES
        self.message, self.is_announced = message, False
        message.body_stream = self.body_stream = BodyStream(
            self.requests.length if self.requests.unsized_body is None else None,
            self.read_resumed.set,
        )
        if self.requests.expects_continue():
            socket_io.send_now(self.sock, CONTINUE_RESPONSE, b"")
        self._read_body_piece()

    def _read_body_piece(self):
        """Buffers a body, as its sender may be slow; streams it if size or budget forbid that."""
        body, requests = self.body_stream, self.requests
        body.add(requests.piece())
        body.incomplete_at = (
            self.loop_monitor.arrived_at
            if requests.unsized_body is None and requests.remaining > MAX_BYTES_IN_TRANSIT
            else self.arrival.incomplete_at
        )
        if requests.body_complete:
            body.finish()
        if self.is_announced:
            self.handle_event(BodyReceived(self.client))
        elif requests.body_complete or not self._buffers_whole():
            self.is_announced = True
            self.handle_event(
                RequestReceived(self.client, self.message), arrived_at=body.incomplete_at
            )
        else:
            self.handle_event(RequestStarted(self.client, body.size))
        if requests.body_complete:
            self.body_stream = None

    def _buffers_whole(self):
        """Returns whether the body may still be buffered whole, so that it can be sent again."""
        more = self.body_stream.size - self.reserved_bytes
        if self.body_stream.size + WINDOW > MAX_BUFFERED_BYTES:
            return False
        if more > 0:
            if not self.budget.reserve(more, BUFFERED_FRACTION):
                return False
            self.reserved_bytes += more
        return True

    def _abort_body(self):
        """Aborts the body, as its connection has ended or its response was sent."""
        if self.body_stream is not None:
            self.body_stream.abort_body()
            self.body_stream = None

    def _release_request(self):
        self._abort_body()
        self.message = None
        self.budget.release(self.reserved_bytes)
        self.reserved_bytes = 0

    def answer(self, head: bytes, body, close_after: bool, chunked: bool = False):
        """Sends a response.

        `body`: bytes or a BodyStream. `close_after`: whether the connection ends after it.
        """
        self._release_request()
        if self.admission is not None and head[9:12] in MALFORMED_STATUSES:
            self.admission.record_fault(self.now(), self.address)
        self.monitor.response_sent(head, b"" if isinstance(body, BodyStream) else body)
        if isinstance(body, BodyStream):
            self.is_streaming_response = True
            gevent.spawn(self._stream_body, head, body, close_after, chunked)
            return
        try:
            unsent = socket_io.send_now(self.sock, head, body)
        except OSError as error:
            # Reported here, as the reading greenlet may be waiting for this response and would
            # detect the failure only at its timeout.
            return self.handle_event(
                ClientDisconnected(self.client, f"connection lost: {error.strerror}")
            )
        if unsent:
            gevent.spawn(self._write_rest, unsent, close_after)
        else:
            self._response_written(close_after)

    def _write_rest(self, unsent, close_after):
        self.budget.force(len(unsent))
        try:
            self.sock.sendall(unsent)
        except OSError as error:
            return self.handle_event(
                ClientDisconnected(self.client, f"connection lost: {error.strerror}")
            )
        finally:
            self.budget.release(len(unsent))
        self._response_written(close_after)

    def _stream_body(self, head, body, close_after, chunked):
        """Streams a response; if it is aborted, resets the connection to show it is incomplete."""
        progress = ProgressReports()

        def piece_sent():
            if progress.is_due():
                self.handle_event(ResponseProgressed(self.client))
            self.turn_limiter.wait_if_busy()

        try:
            socket_io.stream_body(self.sock, head, body, chunked, piece_sent)
        except OSError:
            body.abort_body()
        if body.is_aborted:
            self.server.descriptor_release.close(self.sock, socket_io.reset)
            self.handle_event(ClientDisconnected(self.client, "response aborted before its end"))
        else:
            self._response_written(close_after)

    def _response_written(self, close_after):
        self.is_streaming_response = False
        self.handle_event(ResponseSent(self.client))
        if close_after:
            # If the connection were closed with unread data, it would be reset and the response
            # lost.
            if (
                not self.is_discarding
                and self.requests.is_streamed
                and not self.requests.body_complete
            ):
                self.max_discard_bytes = MAX_UPLOAD_DISCARD_BYTES
            self.is_discarding = True
            self._drop_reader()
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_WR)
        else:
            self.requests.release()
            if self.requests.has_more() and not self.is_next_scheduled:
                self.is_next_scheduled = True
                # Each pipelined request is handled in its own turn of the loop, so that hundreds of
                # them do not delay other connections.
                gevent.spawn(self._handle_pipelined)
        self.read_resumed.set()

    def _handle_pipelined(self):
        if self.cpu_use.is_over_share():
            self.turn_limiter.wait()
        self.is_next_scheduled = False
        self.read_resumed.set()
        # The connection may have ended and its reader been dropped since this call was scheduled.
        if self.requests.parser is not None and not self.is_discarding and not self.requests.in_use:
            self._handle_input()

    def may_have_left_unseen(self) -> bool:
        """Returns whether the client may have closed long ago without this side noticing.

        Behind requests that fill the receive buffer, the end of the stream stays with the client's
        kernel. What has just arrived was sent by a client that was still there.
        """
        return (
            self.is_reading_paused
            and self.now() - self.request_read_at > MAX_UNSEEN_TICKS
            and socket_io.unread_bytes(self.sock) > MAX_UNREAD_BYTES
        )

    def has_more_input(self) -> bool:
        """Returns whether the client has sent bytes behind the request that is in use."""
        return self.requests.has_more() or socket_io.unread_bytes(self.sock) > 0

    def _holds_input(self):
        """Returns whether bytes were read and not handled yet."""
        return self.requests.has_begun() or self.requests.has_more()

    def close_when_read(self, reason: str):
        """Closes the connection unless unhandled data has arrived."""
        if not self._holds_input() and not socket_io.is_readable(self.sock):
            # No greenlet switch may happen between the check and the close: a request that arrived
            # in between would be lost.
            self.server.descriptor_release.close(self.sock)
            self.handle_event(ClientDisconnected(self.client, reason))

    def end(self):
        """Ends the connection at once."""
        self._release_request()
        self.read_resumed.set()
        # A streamed response that is aborted by a timeout of either side must not look complete.
        close = socket_io.reset if self.is_streaming_response else socket_io.close_now
        self.server.descriptor_release.close(self.sock, close)
        if self.admission is not None:
            self.admission.connection_closed(self.now(), self.address)
            self.admission = None
