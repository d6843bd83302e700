"""The discovery client: reads the whole endpoint list, then watches it for changes.

If a watch delivers neither changes nor heartbeats for SILENCE_TIMEOUT, it is opened again.
"""

from time import monotonic

import gevent
import httptools
from gevent import socket
from gevent.event import Event

from pierglade.errors import PiergladeError
from pierglade.proxy import socket_io
from pierglade.proxy.event_loop import TICKS_PER_SECOND, run_in_steps
from pierglade.proxy.http.message import request_head
from pierglade.proxy.http.reader import ProtocolError, ResponseReader
from pierglade.proxy.state.events import DiscoveryLost, EndpointsUpdated
from pierglade.reconfiguration import document_reader

LIST_PATH = b"/registry/instances"
# Seconds. The discovery agent is local; together with RETRY_INTERVAL this is less than the smallest
# grace period.
RESPONSE_TIMEOUT = 0.15
# Limit on the response to a request for a list that was not answered within RESPONSE_TIMEOUT: it is
# waited for beside further requests, as a slow discovery answers none of them in less.
LATE_RESPONSE_TIMEOUT_S = 3.5
# A discovery service that is polled queues requests. It also answers requests that the client has
# abandoned, so a shorter timeout would waste its work.
POLLED_RESPONSE_TIMEOUT_S = 3.5
BUSY_STATUSES = (429, 503)  # discovery is busy; the known version stays valid
# Seconds. Nearly two heartbeats of 2 s; leaves time to retry within MISSED_CHANGES_AFTER_S.
SILENCE_TIMEOUT = 3.5
# Once a watch has been silent for this long, the changes that it missed count as announced.
MISSED_CHANGES_AFTER_S = 6.0
MAX_POLL_WAIT_S = 4.5  # the balancer decides within 4.4 s to poll again
# Limit on the time between two reads of a list. While a response is queued, its connection may fail
# without an error on this side.
LIST_READ_TIMEOUT_S = 0.5
# Seconds. Short, because changes that the agent has count as announced even without a watch.
RETRY_INTERVAL = 0.05
READ_BYTES = 16384
# Maximum size of a list: 6,800 entries take 0.9 MB on one line, and 1.3 to 1.7 MB indented.
MAX_LINE_BYTES = 1 << 22


class ListReader(ResponseReader):
    """Reads the response with a whole endpoint list, which is buffered as a whole."""

    max_body_bytes = max_buffered_bytes = MAX_LINE_BYTES


class DiscoveryUnavailableError(PiergladeError):
    """Discovery does not answer, or the watch has ended; the version stays valid."""


class WatchStream:
    """Splits the chunked response of a watch into lines."""

    def __init__(self):
        self.parser = httptools.HttpResponseParser(self)
        self.pending, self.size = [], 0
        self.lines, self.indented = [], []
        self.ended = False

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the lines that `data` completes; empty ones are heartbeats.

        Raises:
            DiscoveryUnavailableError: discovery is busy.
            ValueError: the status is not 200, or a line is too long.
        """
        self.lines = []
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            # If the rejection of a watch by a busy discovery counted as a malformed response, the
            # version would be lost, and each node would request the whole list, which keeps
            # discovery overloaded.
            raise (error.__context__ or error) from None
        return self.lines

    def on_headers_complete(self):
        """Handles the end of the head (parser callback)."""
        status = self.parser.get_status_code()
        if status in BUSY_STATUSES:
            raise DiscoveryUnavailableError(f"discovery is busy: status {status} to a watch")
        if status != 200:
            # Discovery may not know the version any more.
            raise ValueError(f"discovery rejected a watch: status {status}; expected 200")

    def on_body(self, body):
        """Handles decoded bytes of the stream (parser callback)."""
        *lines, remainder = body.split(b"\n")
        for line in lines:
            self._add_line(b"".join((*self.pending, line)))
            self.pending = []
        self.pending.append(remainder)
        self.size += len(remainder)
        if self.size > MAX_LINE_BYTES:
            raise ValueError(f"a line of a watch is longer than {MAX_LINE_BYTES} bytes")

    def _add_line(self, line):
        """Adds a line.

        A document may be indented: it begins with a line "{" and ends with an unindented "}".
        """
        stripped = line.strip()
        if self.indented or stripped == b"{":
            self.indented.append(line)
            self.size += len(line)
            if stripped != b"}" or line[:1] != b"}":
                return
            line, self.indented = b"\n".join(self.indented), []
        self.size = 0
        self.lines.append(line)

    def on_message_complete(self):
        """Handles the end of the stream (parser callback)."""
        self.ended = True


class FixedEndpointList:
    """Replaces DiscoveryClient where the endpoint list is fixed: there is nothing to watch."""

    def run(self):
        """Does nothing."""

    resync = poll_now = stop = run


class DiscoveryClient:
    """Watches the discovery service at `address` (host:port) and reports events to `server`.

    `index`: the version to watch from; None: the whole list is requested first.
    """

    def __init__(self, address: str, server, index: int | None = None):
        name, _, port = address.rpartition(":")
        self.address, self.socket_address = address, (name, int(port))
        self.server = server
        self.index = index
        self.sock = None
        self.late_sock = None  # of the request for the list whose response is late
        self.is_late_list_applied = False  # since the last request began
        self.stopped = False
        self.last_activity = 0.0  # when the watch last delivered data, or the last request began
        self.silent_since = None  # last activity before a watch fell silent; None: none did
        self.is_polled = lambda: False  # whether the balancer decides when to send requests
        self.poll_requested = Event()

    def run(self):
        """Watches discovery until `stop` is called."""
        while not self.stopped:
            self.poll_requested.clear()
            self.is_late_list_applied = False
            try:
                if self.index is None:
                    self._read_list()
                self.is_late_list_applied = False
                self._watch()
            except (
                OSError,
                DiscoveryUnavailableError,
                ProtocolError,
                httptools.HttpParserError,
                ValueError,
            ) as error:
                if not self.is_late_list_applied:
                    self._report_lost(error)
            finally:
                self._close()
            self._wait()

    def _report_lost(self, error):
        if not isinstance(error, (OSError, DiscoveryUnavailableError)):
            self.index = None  # The unreadable data may have contained a change.
        if not self.stopped:
            self.server.handle_event(
                DiscoveryLost(f"{type(error).__name__}: {error}", self._ticks_unobserved())
            )

    def _ticks_unobserved(self):
        """Returns for how long changes may have been missed, in ticks."""
        now = monotonic()
        since = (
            self.last_activity
            if self.silent_since is None or now >= self.silent_since + MISSED_CHANGES_AFTER_S
            else self.silent_since
        )
        return int((now - since) * TICKS_PER_SECOND)

    def _wait(self):
        # Both waits are bounded, as a change of the settings does not end them.
        if self.is_polled():
            self.poll_requested.wait(MAX_POLL_WAIT_S)
        else:
            gevent.sleep(RETRY_INTERVAL)

    def poll_now(self):
        """Ends the wait, so that the next request is sent now."""
        self.poll_requested.set()

    def resync(self):
        """Requests the whole list next, as the changes received do not fit the version."""
        self.index = None
        self._close()
        self._close_late()

    def stop(self):
        """Stops the client; data that it has already read is no longer reported."""
        self.stopped = True
        self._close()
        self._close_late()

    def _close_late(self):
        if self.late_sock is not None:
            socket_io.close_now(self.late_sock)
            self.late_sock = None

    def _close(self):
        if self.sock is not None:
            socket_io.close_now(self.sock)
            self.sock = None

    def _send_request(self, path, timeout_s):
        """Sends a request; `timeout_s`: time to the first byte, connecting included."""
        if self.stopped:
            raise DiscoveryUnavailableError("the discovery client was stopped")
        self.last_activity = monotonic()
        # The local variable is needed because `stop` and `resync` set `self.sock` to None when they
        # close the socket.
        sock = self.sock = socket.socket()
        # A request must not be sent to a backend that is known to drain by now.
        socket_io.handle_first(sock)
        sock.settimeout(POLLED_RESPONSE_TIMEOUT_S if self.is_polled() else RESPONSE_TIMEOUT)
        sock.connect(self.socket_address)
        socket_io.set_up(sock)
        sock.sendall(request_head(b"GET", path, [(b"Host", self.address.encode())], 0))
        sock.settimeout(max(RESPONSE_TIMEOUT, self.last_activity + timeout_s - monotonic()))
        return sock

    def _parse(self, line):
        return run_in_steps(document_reader.read_endpoint_list(line), 0)

    def _report(self, line):
        self._report_document(self._parse(line))

    def _report_document(self, document):
        if self.stopped:
            # Discovery has moved to another address while the document was parsed. The document
            # would be applied to the list of the new address.
            raise DiscoveryUnavailableError("the discovery client was stopped")
        self.index = document.get("index") if isinstance(document, dict) else None
        self.server.handle_event(EndpointsUpdated(document))
        if self.index is None:
            raise DiscoveryUnavailableError("the document does not fit the known version")

    def _read_list(self):
        if self.is_polled():
            timeout_s, read_timeout_s = POLLED_RESPONSE_TIMEOUT_S, LIST_READ_TIMEOUT_S
        else:
            timeout_s = read_timeout_s = RESPONSE_TIMEOUT
        sock, reader = self._send_request(LIST_PATH, timeout_s), ListReader()
        try:
            body = self._receive_list(sock, reader, read_timeout_s)
        except TimeoutError:
            if not self.is_polled() and self.late_sock is None and not self.stopped:
                self.sock, self.late_sock = None, sock
                gevent.spawn(self._read_late_list, sock, reader)
            raise
        document = self._parse(body)
        self._close()
        if self.index is None:  # Else a late list was applied meanwhile.
            self._report_document(document)
        self._close_late()

    def _read_late_list(self, sock, reader):
        """Waits for the response to an earlier request, while further ones are sent."""
        sock.settimeout(LATE_RESPONSE_TIMEOUT_S)
        try:
            document = self._parse(self._receive_list(sock, reader, LIST_READ_TIMEOUT_S))
            if self.late_sock is sock and self.index is None:
                self._report_document(document)
                self.is_late_list_applied = True
                self._close()  # Ends the request that is being waited for.
        except (OSError, DiscoveryUnavailableError, ProtocolError, ValueError):
            pass  # The requests that are sent meanwhile report why discovery is not available.
        finally:
            if self.late_sock is sock:
                self._close_late()

    @staticmethod
    def _receive_list(sock, reader, read_timeout_s):
        while (message := reader.next()) is None:
            count = sock.recv_into(reader.writable())
            if not count:
                raise DiscoveryUnavailableError("discovery closed the connection within a list")
            sock.settimeout(read_timeout_s)
            reader.filled(count)
        if message.status != 200:
            raise DiscoveryUnavailableError(
                f"discovery rejected the request for the list: status {message.status}"
            )
        return bytes(message.body)

    def _watch(self):
        sock = self._send_request(LIST_PATH + b"?follow=1&since=%d" % self.index, SILENCE_TIMEOUT)
        watch, buffer = WatchStream(), memoryview(bytearray(READ_BYTES))
        while not watch.ended:
            try:
                count = sock.recv_into(buffer)
            except TimeoutError:
                self.silent_since = self.silent_since or self.last_activity
                raise
            if not count:
                raise DiscoveryUnavailableError("discovery closed the connection of a watch")
            lines = watch.feed(bytes(buffer[:count]))
            # `feed` raises an error for a rejection, so a rejection does not count as activity.
            self.last_activity, self.silent_since = monotonic(), None
            sock.settimeout(SILENCE_TIMEOUT)
            for line in lines:
                if line.strip():
                    self._report(line)
        raise DiscoveryUnavailableError("the watch has ended")
