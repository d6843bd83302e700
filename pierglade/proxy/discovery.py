"""Follows discovery: the whole list first, then a watch, which is opened again when it falls silent."""

from time import monotonic

import gevent
import httptools
from gevent import socket
from gevent.event import Event

from pierglade.proxy import socket_io as sending
from pierglade.proxy.event_loop import PER_SECOND, in_steps
from pierglade.proxy.http.message import Answers, Malformed, request_head
from pierglade.proxy.state.events import DiscoveryLost, EndpointsUpdated
from pierglade.reconfiguration import document_reader as reading

LIST_PATH = b"/registry/instances"
ANSWER_IN = (
    0.15  # s; the agent is on this machine and answers at once; with AGAIN under the least grace
)
ASKED_IN = (
    3.5  # s; where the list must be asked for calls wait in line; one given up is answered in vain
)
BUSY = (429, 503)  # what is asked for is not to be had now; the version stays good
SILENT = 3.5  # s; nearly two heartbeats of 2 s; leaves time for tries until what is missed is told
TOLD_IN = 6.0  # s; so long after a watch fell silent what it misses counts as told
ASKED_WITHIN = 4.5  # s; the decisions say within 4.4 s when to ask again
GOES_ON = (
    0.5  # s; between the pieces of a list; an answer may break off unseen, after a wait in line
)
AGAIN = 0.05  # s; between tries; what the agent has counts as told, whether or not a watch is open
READ = 16384  # bytes read at once
LINE_MOST = 1 << 22  # bytes of a list; 6,800 entries are 0.9 MB, indented 1.3 to 1.7


class Lists(Answers):
    body_most = held_most = LINE_MOST


class Lost(Exception):
    """The watch is of no more use."""


class Watch:
    """The chunked answer of a watch, line by line."""

    def __init__(self):
        self.parser = httptools.HttpResponseParser(self)
        self.pending, self.size = [], 0
        self.lines, self.indented = [], []
        self.over = False

    def feed(self, data):
        """The lines that are whole with this; empty ones are heartbeats."""
        self.lines = []
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserCallbackError as fault:
            # Taken for an answer that cannot be read, a watch refused by a busy discovery would cost the
            # version, and each node would ask for the whole list, which keeps it overbooked.
            raise (fault.__context__ or fault) from None
        return self.lines

    def on_headers_complete(self):
        status = self.parser.get_status_code()
        if status in BUSY:
            raise Lost(f"status {status}")
        if status != 200:
            raise ValueError(f"status {status}")  # It may not know the version any more.

    def on_body(self, body):
        *lines, rest = body.split(b"\n")
        for line in lines:
            self._line(b"".join((*self.pending, line)))
            self.pending = []
        self.pending.append(rest)
        self.size += len(rest)
        if self.size > LINE_MOST:
            raise ValueError("line too long")

    def _line(self, line):
        """Lists may come indented: such a one ends with the line that closes what its first one opened."""
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
        self.over = True


class Discovery:
    def __init__(self, address, host, index=None):
        name, _, port = address.rpartition(":")
        self.address, self.place = address, (name, int(port))
        self.host = host
        self.index = index  # version to follow from; None: the whole list is wanted
        self.sock = None
        self.left = False
        self.word = 0.0  # when a watch last said anything, or the call for it began
        self.silent = None  # since when the watch has said nothing; None: it was not lost by that
        self.waits = lambda: False  # whether the decisions say when to ask again
        self.asked = Event()

    def run(self):
        while not self.left:
            self.asked.clear()
            try:
                if self.index is None:
                    self._whole_list()
                self._follow()
            except (OSError, Lost, Malformed, httptools.HttpParserError, ValueError) as fault:
                if not isinstance(fault, (OSError, Lost)):
                    self.index = None  # What could not be read may have been a change.
                if not self.left:
                    self.host.tell(
                        DiscoveryLost(f"{type(fault).__name__}: {fault}", self._waited())
                    )
            finally:
                self._close()
            self._wait()

    def _waited(self):
        """Tenths of a ms that are lost of the time in which a change counts as told."""
        now = monotonic()
        since = self.word if self.silent is None or now >= self.silent + TOLD_IN else self.silent
        return int((now - since) * PER_SECOND)

    def _wait(self):
        # Both are bounded: should the settings change meanwhile, nobody would say when.
        if self.waits():
            self.asked.wait(ASKED_WITHIN)
        else:
            gevent.sleep(AGAIN)

    def ask(self):
        self.asked.set()

    def relist(self):
        """What was heard does not fit: the next thing asked for is the whole list."""
        self.index = None
        self._close()

    def leave(self):
        """Nothing that was read here is told from now on."""
        self.left = True
        self._close()

    def _close(self):
        if self.sock is not None:
            sending.hang_up(self.sock)
            self.sock = None

    def _ask(self, path, within):
        """`within`: s from now to the first word. A connection that comes up late leaves less for that."""
        if self.left:
            raise Lost("moved")
        self.word = monotonic()
        # Kept here as well: who moves or relists while this waits closes it, and `self.sock` is gone.
        sock = self.sock = socket.socket()
        sock.settimeout(ASKED_IN if self.waits() else ANSWER_IN)
        sock.connect(self.place)
        sending.set_up(sock)
        sock.sendall(request_head(b"GET", path, [(b"Host", self.address.encode())], 0))
        sock.settimeout(max(ANSWER_IN, self.word + within - monotonic()))
        return sock

    def _tell(self, line):
        document = in_steps(reading.parsed(line), 0)
        if self.left:
            # Read before the move, told after it, it would stand in the list of the new place.
            raise Lost("moved")
        self.index = document.get("index") if isinstance(document, dict) else None
        self.host.tell(EndpointsUpdated(document))
        if self.index is None:
            raise Lost("the list does not fit")

    def _whole_list(self):
        within, goes_on = (ASKED_IN, GOES_ON) if self.waits() else (ANSWER_IN, ANSWER_IN)
        sock = self._ask(LIST_PATH, within)
        answers = Lists()
        while (message := answers.next()) is None:
            count = sock.recv_into(answers.room())
            if not count:
                raise Lost("closed")
            sock.settimeout(goes_on)
            answers.filled(count)
        if message.status != 200:
            raise Lost(f"status {message.status}")
        self._tell(bytes(message.body))
        self._close()

    def _follow(self):
        sock = self._ask(LIST_PATH + b"?follow=1&since=%d" % self.index, SILENT)
        watch, room = Watch(), memoryview(bytearray(READ))
        while not watch.over:
            try:
                count = sock.recv_into(room)
            except TimeoutError:
                self.silent = self.silent or self.word
                raise
            if not count:
                raise Lost("closed")
            lines = watch.feed(bytes(room[:count]))
            self.word, self.silent = monotonic(), None  # a refusal is none
            sock.settimeout(SILENT)
            for line in lines:
                if line.strip():
                    self._tell(line)
        raise Lost("ended")
