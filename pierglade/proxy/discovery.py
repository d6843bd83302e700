"""Follows discovery: the whole list, then a watch that is opened again when it falls silent."""

from time import monotonic

import gevent
import httptools
from gevent import socket
from gevent.event import Event

from pierglade.errors import PiergladeError
from pierglade.proxy import socket_io as sending
from pierglade.proxy.event_loop import PER_SECOND, in_steps
from pierglade.proxy.http.message import request_head
from pierglade.proxy.http.reader import ProtocolError, ResponseReader
from pierglade.proxy.state.events import DiscoveryLost, EndpointsUpdated
from pierglade.reconfiguration import document_reader as reading

LIST_PATH = b"/registry/instances"
RESPONSE_TIMEOUT = 0.15  # s; the agent is local; with RETRY_INTERVAL less than the least grace
# s; a polled discovery queues requests; one given up early is still answered, in vain
POLLED_RESPONSE_TIMEOUT = 3.5
BUSY_STATUSES = (429, 503)  # the request cannot be served now; the version stays good
SILENCE_TIMEOUT = 3.5  # s; nearly two heartbeats of 2 s; leaves time to retry within MISSED_AFTER
MISSED_AFTER = 6.0  # s; so long after a watch fell silent, changes it misses count as announced
POLL_WAIT_MOST = 4.5  # s; the balancer decides within 4.4 s to poll again
PIECE_TIMEOUT = 0.5  # s; between the pieces of a list; a queued response may break off unseen
RETRY_INTERVAL = 0.05  # s; changes that the agent has count as announced, also without a watch
READ_SIZE = 16384  # bytes read at once
LINE_MOST = 1 << 22  # bytes of a list; 6,800 entries are 0.9 MB, indented 1.3 to 1.7


class ListReader(ResponseReader):
    """Reads a whole list, which is held whole."""

    body_most = held_most = LINE_MOST


class DiscoveryUnavailableError(PiergladeError):
    """Discovery gives no answer, or the watch has ended; the version stays good."""


class WatchStream:
    """The chunked response of a watch, line by line."""

    def __init__(self):
        self.parser = httptools.HttpResponseParser(self)
        self.pending, self.size = [], 0
        self.lines, self.indented = [], []
        self.over = False

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the lines that are whole with `data`; empty ones are heartbeats.

        Raises:
            DiscoveryUnavailableError: discovery is busy.
            ValueError: another status than 200, or a line too long.
        """
        self.lines = []
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserCallbackError as fault:
            # Taken for a malformed response, a watch rejected by a busy discovery would lose the
            # version, and each node would request the whole list, which keeps it overloaded.
            raise (fault.__context__ or fault) from None
        return self.lines

    def on_headers_complete(self):
        """Parser callback: the head is whole."""
        status = self.parser.get_status_code()
        if status in BUSY_STATUSES:
            raise DiscoveryUnavailableError(f"status {status}")
        if status != 200:
            raise ValueError(f"status {status}")  # It may not know the version any more.

    def on_body(self, body):
        """Parser callback: decoded bytes of the stream."""
        *lines, rest = body.split(b"\n")
        for line in lines:
            self._line(b"".join((*self.pending, line)))
            self.pending = []
        self.pending.append(rest)
        self.size += len(rest)
        if self.size > LINE_MOST:
            raise ValueError("line too long")

    def _line(self, line):
        """Adds a line. A list may be indented: it ends with the line that closes its first one."""
        bare = line.strip()
        if self.indented or bare == b"{":
            self.indented.append(line)
            self.size += len(line)
            if bare != b"}" or line[:1] != b"}":
                return
            line, self.indented = b"\n".join(self.indented), []
        self.size = 0
        self.lines.append(line)

    def on_message_complete(self):
        """Parser callback: the stream has ended."""
        self.over = True


class FixedEndpointList:
    """Replaces DiscoveryClient where the endpoint list is fixed: there is nothing to follow."""

    def run(self):
        """Does nothing."""

    resync = ask = stop = run


class DiscoveryClient:
    """Follows the discovery service at `address` (host:port) and reports to `host`.

    `index`: the version to follow from; None: the whole list is requested first.
    """

    def __init__(self, address: str, host, index: int | None = None):
        name, _, port = address.rpartition(":")
        self.address, self.place = address, (name, int(port))
        self.host = host
        self.index = index
        self.sock = None
        self.stopped = False
        self.last_word = 0.0  # when the watch last delivered anything, or its request began
        self.silent = None  # since when the watch was silent; None: it was not lost by that
        self.is_polled = lambda: False  # whether the balancer decides when to ask again
        self.poll_requested = Event()

    def run(self):
        """Follows until `stop`."""
        while not self.stopped:
            self.poll_requested.clear()
            try:
                if self.index is None:
                    self._whole_list()
                self._follow()
            except (
                OSError,
                DiscoveryUnavailableError,
                ProtocolError,
                httptools.HttpParserError,
                ValueError,
            ) as fault:
                if not isinstance(fault, (OSError, DiscoveryUnavailableError)):
                    self.index = None  # What could not be read may have been a change.
                if not self.stopped:
                    self.host.tell(
                        DiscoveryLost(f"{type(fault).__name__}: {fault}", self._waited())
                    )
            finally:
                self._close()
            self._wait()

    def _waited(self):
        """Returns the tenths of a ms for which changes may have been missed."""
        now = monotonic()
        since = (
            self.last_word
            if self.silent is None or now >= self.silent + MISSED_AFTER
            else self.silent
        )
        return int((now - since) * PER_SECOND)

    def _wait(self):
        # Both are bounded: should the settings change meanwhile, nothing else would end the wait.
        if self.is_polled():
            self.poll_requested.wait(POLL_WAIT_MOST)
        else:
            gevent.sleep(RETRY_INTERVAL)

    def ask(self):
        """Ends the wait before the next request."""
        self.poll_requested.set()

    def resync(self):
        """Resyncs: what was received does not fit, so the whole list is requested next."""
        self.index = None
        self._close()

    def stop(self):
        """Ends following; nothing that was read is reported from now on."""
        self.stopped = True
        self._close()

    def _close(self):
        if self.sock is not None:
            sending.hang_up(self.sock)
            self.sock = None

    def _ask(self, path, within):
        """Sends a request; `within`: s from now to the first byte, connecting included."""
        if self.stopped:
            raise DiscoveryUnavailableError("moved")
        self.last_word = monotonic()
        # Kept here as well: `stop` and `resync` close it meanwhile, and `self.sock` is None then.
        sock = self.sock = socket.socket()
        sock.settimeout(POLLED_RESPONSE_TIMEOUT if self.is_polled() else RESPONSE_TIMEOUT)
        sock.connect(self.place)
        sending.set_up(sock)
        sock.sendall(request_head(b"GET", path, [(b"Host", self.address.encode())], 0))
        sock.settimeout(max(RESPONSE_TIMEOUT, self.last_word + within - monotonic()))
        return sock

    def _tell(self, line):
        document = in_steps(reading.parsed(line), 0)
        if self.stopped:
            # Read before the move, reported after it, it would enter the new address's list.
            raise DiscoveryUnavailableError("moved")
        self.index = document.get("index") if isinstance(document, dict) else None
        self.host.tell(EndpointsUpdated(document))
        if self.index is None:
            raise DiscoveryUnavailableError("the list does not fit")

    def _whole_list(self):
        if self.is_polled():
            within, goes_on = POLLED_RESPONSE_TIMEOUT, PIECE_TIMEOUT
        else:
            within = goes_on = RESPONSE_TIMEOUT
        sock = self._ask(LIST_PATH, within)
        answers = ListReader()
        while (message := answers.next()) is None:
            count = sock.recv_into(answers.writable())
            if not count:
                raise DiscoveryUnavailableError("closed")
            sock.settimeout(goes_on)
            answers.filled(count)
        if message.status != 200:
            raise DiscoveryUnavailableError(f"status {message.status}")
        self._tell(bytes(message.body))
        self._close()

    def _follow(self):
        sock = self._ask(LIST_PATH + b"?follow=1&since=%d" % self.index, SILENCE_TIMEOUT)
        watch, buffer = WatchStream(), memoryview(bytearray(READ_SIZE))
        while not watch.over:
            try:
                count = sock.recv_into(buffer)
            except TimeoutError:
                self.silent = self.silent or self.last_word
                raise
            if not count:
                raise DiscoveryUnavailableError("closed")
            lines = watch.feed(bytes(buffer[:count]))
            self.last_word, self.silent = monotonic(), None  # a rejection does not count
            sock.settimeout(SILENCE_TIMEOUT)
            for line in lines:
                if line.strip():
                    self._tell(line)
        raise DiscoveryUnavailableError("ended")
