"""Tests of message parsing, the start of a node, its socket handlers, and a node process."""

import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import weakref
from unittest import mock

import gevent
from gevent.event import Event

from pierglade import __main__ as start
from pierglade.proxy import discovery, socket_io
from pierglade.proxy import downstream as clients
from pierglade.proxy.descriptor_release import DescriptorRelease
from pierglade.proxy.downstream import DownstreamHandler
from pierglade.proxy.event_loop import Clock, EventLoopMonitor, Timer
from pierglade.proxy.http import message as http
from pierglade.proxy.http import reader
from pierglade.proxy.http.body_stream import BufferBudget
from pierglade.proxy.logging import Log
from pierglade.proxy.state.connections import ConnectionState
from pierglade.proxy.state.constants import NEVER
from pierglade.proxy.state.events import ConnectionOpened, EndpointsUpdated, RequestReceived
from pierglade.proxy.upstream import UpstreamHandler
from tests.support.scene import TraceTest, entry, message

HOST = b"Host: h\r\n"
TIMES = {"expectedTimeUs": 400000, "hardLimitUs": 1000000}
SETTINGS = {
    "offerings": [
        {"name": "look", "idempotency": "free", **TIMES},
        {"name": "pay", "idempotency": "single_shot", **TIMES},
    ],
    "limits": {"mostTrips": 2, "mayCancel": True},
    "contract": {"drainGraceUs": 500000},
}

LONG_SETTINGS = {
    **SETTINGS,
    "offerings": [
        {**each, "expectedTimeUs": 9000000, "hardLimitUs": 9000000}
        for each in SETTINGS["offerings"]
    ],
}


def read(message_reader, data, chunk_size):
    """Returns a line for each message that a reader returns when fed `chunk_size` bytes at once.

    As in the proxy, the view for the next read is taken before the messages are handled.
    """
    lines, buffer, partial = [], message_reader.writable(), None

    def read_message():
        """Returns whether a message, with its whole body if that is streamed, was read."""
        nonlocal partial
        message, body = partial or (message_reader.next(), b"")
        if message is None:
            return False
        body = body + message_reader.piece() if message_reader.is_streamed else body
        partial = (
            (message, body)
            if message_reader.is_streamed and not message_reader.body_complete
            else None
        )
        if partial:
            return False
        body = body or message.body
        lines.append(
            f"{message.method.decode()}{message.status or ''} {message.url.decode()} "
            f"body {len(body)} {bytes(body[:8])} keep {message.is_reusable}{' streamed' * message_reader.is_streamed}"
        )
        message_reader.release()
        return True

    try:
        at = 0
        while at < len(data):
            count = min(chunk_size, len(buffer), len(data) - at)
            buffer[:count] = data[at : at + count]
            at += count
            message_reader.filled(count)
            while read_message():
                pass
            buffer = message_reader.writable()
        if message_reader.ended():
            partial = partial or (message_reader.message, b"")
            read_message()
    except reader.ProtocolError as error:
        lines.append(f"{error.status} {error}")
    return lines


class MessageParsing(TraceTest):
    CHUNKED_POST = b"POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    UPGRADE_POST = CHUNKED_POST[:-2] + b"Connection: Upgrade\r\nUpgrade: h2c\r\n\r\n"
    INNER_REQUEST = b"POST /refund/7 HTTP/1.1\r\nContent-Length: 9\r\n\r\nlitres=99"
    REQUESTS = [
        b"GET /a?b=c HTTP/1.1\r\n" + HOST + b"\r\nPOST /d HTTP/1.1\r\nContent-Length: 3\r\n\r\nxyz"
        b"GET /e HTTP/1.0\r\n\r\n",
        CHUNKED_POST + b"4\r\na\nbc\r\n1\r\nd\r\n0\r\n\r\nGET /f HTTP/1.1\r\n\r\n",
        b"POST /b HTTP/1.1\r\nContent-Length: 65536\r\n\r\n"
        + b"x" * 65536
        + b"GET /a HTTP/1.1\r\n\r\n",
        CHUNKED_POST + b"400\r\n%s\r\n" % (b"y" * 1024) * 65,
        b"POST / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n",
        CHUNKED_POST + b"1;" + b"a" * 5000 + b"\r\n",
        b"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n",
        b"POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n",
        b"GET / HTTP/1.1\r\nA: " + b"a" * 20000,
        b"GET / HTTP/1.1\r\nUpgrade: h2c\r\nConnection: upgrade\r\n\r\n",
        b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n",
        b"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
        b"POST / HTTP/1.1\r\nContent-Length: -3\r\n\r\n",
        b"POST / HTTP/1.1\r\nContent-Length: 9%s\r\n\r\n" % (b"0" * 30),
        b"POST / HTTP/1.1\r\nContent-Length : 3\r\n\r\n",
        b"GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n",
        b"GET / HTTP/1.1\r\nA: b\0\r\n\r\n",
        b"GET / HTTP/1.1\r\n\n",
        b"\r\nGET / HTTP/1.1\r\n\r\n",
        CHUNKED_POST + b"0x4\r\n",
        CHUNKED_POST + b"4\nabcd",
        CHUNKED_POST + b"4\r\nabcde\r\n",
        b"\x16\x03\x01\x02\r\n",
        b"GET / HTTP/9\r\n\r\n",
        b"GET / HTTP/1.1\nHost: h\n\n",
        # The body of a request to upgrade was read as the head of another one, and both were joined.
        UPGRADE_POST + INNER_REQUEST,
        UPGRADE_POST + b"4\r\na\nbc\r\n0\r\n\r\nGET /f HTTP/1.1\r\n\r\n",
        UPGRADE_POST + b"0\r\nX-Sum: 1\r\n\r\n" + INNER_REQUEST,
        UPGRADE_POST.replace(b"Transfer-Encoding: chunked", b"Content-Length: 3") + b"abc",
        UPGRADE_POST + b"400\r\n%s\r\n" % (b"y" * 1024) * 63 + b"0\r\n\r\n",
        b"CONNECT /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + INNER_REQUEST,
    ]
    ANSWERS = [
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\n" * 9,
        b"HTTP/1.1 101 Other\r\n\r\n",
        b"noise",
        b"HTTP/1.1 200 OK\r\nA: " + b"a" * 20000,
        b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"HTTP/1.1 204 None\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n\r\nuntil the end",
        b"SSH-2.0-x\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n" + b"z" * 400000,
        b"HTTP/1.1 200 OK\r\n\r\n" + b"u" * 100000,
        b"HTTP/1.0 200 OK\r\nContent-LENGTH:  2 \t\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked \r\n\r\n2;a=b;c\r\nok\r\n0\r\nX-Sum: 1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        + b"8\r\nab\r\nc\nd\n\r\n" * 9000
        + b"0\r\n\r\nHTTP/1.1 204 None\r\n\r\n",
    ]

    def test_messages_are_read_alike_however_they_are_split(self):
        lines = []
        for reader_type, cases in (
            (reader.RequestReader, self.REQUESTS),
            (reader.ResponseReader, self.ANSWERS),
        ):
            for data in cases:
                expected = read(reader_type(), data, len(data))
                lines += [f"{data[:60]} of {len(data)}", *(f"    {line}" for line in expected)]
                for chunk_size in (1, 7, 4096) if len(data) < 70000 else (77, 4096):
                    self.assertEqual(expected, read(reader_type(), data, chunk_size), data[:60])
        self.check("net_messages", lines)

    def test_next_request_is_read_into_view_taken_before_release(self):
        """Guards against moving the buffer at the release of a message.

        The reading greenlet waits with a view that was taken while the message was in use.
        """
        message_reader = reader.RequestReader()
        first, second = b"GET /a HTTP/1.1\r\n\r\n", b"GET /b HTTP/1.1\r\n\r\n"
        message_reader.writable()[: len(first)] = first
        message_reader.filled(len(first))
        first_message, buffer = message_reader.next(), message_reader.writable()
        self.assertEqual(first_message.url, b"/a")
        message_reader.release()
        buffer[: len(second)] = second
        message_reader.filled(len(second))
        self.assertEqual(message_reader.next().url, b"/b")

    def test_dropped_reader_is_freed_without_garbage_collection(self):
        """Guards against a reference cycle of reader and parser.

        With many new connections, their buffers would add up until the next garbage collection.
        """
        for kind in (reader.RequestReader, reader.ResponseReader):
            message_reader = kind()
            reference = weakref.ref(message_reader)
            message_reader.drop()
            del message_reader
            self.assertIsNone(reference())

    def test_forwarded_headers(self):
        request = message(
            b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close, x-once\r\nX-Once: 1\r\n"
            b"x-kept: 2\r\nKeep-Alive: 3\r\nConnection: X-TWICE\r\nX-Twice: 4\r\n"
            b"X-But: 5\r\n\r\n"
        )
        self.assertEqual(
            http.forwarded_headers(request, http.HOP_BY_HOP | {b"x-but"}),
            [(b"Host", b"h"), (b"x-kept", b"2")],
        )

    def test_watch_lines_and_statuses(self):
        watch, lines = discovery.WatchStream(), []
        data = (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b'9\r\n{"a":1}\n{\r\n1\r\n\n\r\n3\r\n\n}\n\r\n0\r\n\r\n'
        )
        for n in range(len(data)):
            lines += watch.feed(data[n : n + 1])
        self.assertEqual((lines, watch.ended), ([b'{"a":1}', b"{\n\n}"], True))
        for status, error_type in ((503, discovery.DiscoveryUnavailableError), (410, ValueError)):
            with self.assertRaises(error_type):
                discovery.WatchStream().feed(
                    b"HTTP/1.1 %d No\r\nContent-Length: 0\r\n\r\n" % status
                )

    def test_full_log_pipe_does_not_block(self):
        """Guards against a node that stops as its log pipe is not read.

        Lines are dropped instead, and their number is logged once the pipe is read again.
        """
        reader, writer = os.pipe()
        log = Log(writer, "n1")
        for _ in range(3000):
            log.line(10, "event", text="x" * 100)
        log.flush()
        self.assertGreater(log.dropped, 0)
        os.read(reader, 1 << 20)
        dropped = log.dropped
        log.line(20, "event")
        log.flush()
        last = os.read(reader, 1 << 20).splitlines()[-2:]
        self.assertEqual([json.loads(line).get("lines") for line in last], [dropped, None])
        self.assertEqual(log.dropped, 0)

    def test_log_lines_are_whole_behind_a_short_write(self):
        reader, writer = os.pipe()
        log, write = Log(writer, "n1"), os.write
        with mock.patch("pierglade.proxy.logging.os.write", lambda fd, data: write(fd, data[:9])):
            log.line(10, "first")
            log.flush()
        log.line(20, "second")
        log.flush()
        lines = [json.loads(line)["event"] for line in os.read(reader, 1 << 20).splitlines()]
        self.assertEqual(lines, ["first", "second"])

    def test_timer_reports_its_lag(self):
        lags = []
        clock = mock.Mock(now=lambda: 1000)
        timer = Timer(clock, lags.append)
        timer.set(1000)
        timer.set(990)
        timer.set(400)
        gevent.sleep(0.01)
        timer.set(None)
        self.assertEqual(lags, [600])

    def test_arrival_time_after_a_busy_turn(self):
        """Guards against taking data that arrived during a long turn as just arrived.

        The loop sees the data only in its next poll, but it arrived in the course of the turn.
        """
        monitor = EventLoopMonitor(Clock())
        for _ in range(3):
            gevent.sleep(0.002)
        lag_when_idle = monitor.clock.now() - monitor.arrived_at
        ours, theirs = gevent.socket.socketpair()
        theirs.send(b"x")
        end = time.monotonic() + 0.05
        while time.monotonic() < end:
            pass
        gevent.socket.wait_read(ours.fileno())
        self.assertLess(lag_when_idle + 100, monitor.clock.now() - monitor.arrived_at)
        ours.close()
        theirs.close()

    def test_postponed_timer(self):
        lags, now = [], [1000]
        timer = Timer(mock.Mock(now=lambda: now[0]), lags.append)
        timer.set(1010)
        timer.set(1030)
        while timer.fires_at != 1030:  # It has fired at the first time.
            gevent.sleep(0.001)
        now[0] = 1031
        while not lags:
            gevent.sleep(0.001)
        self.assertEqual(lags, [1])


class StartConfiguration(TraceTest):
    def test_unusable_configurations(self):
        valid = {
            "name": "n",
            "listen": "127.0.0.1:0",
            "discovery": "127.0.0.1:1",
            "seed": "8c",
            "settings": SETTINGS,
        }
        lines = []
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "config.json")
            for text in (
                "{",
                "[]",
                {"name": "n"},
                {**valid, "settings": {}},
                {**valid, "listen": "here"},
                {**valid, "seed": None},
                *(
                    {**valid, "settings": {**SETTINGS, **invalid}}
                    for invalid in (
                        {"membershipMode": "often"},
                        {"loadInfo": {"via": "post"}},
                        {"siblings": 0},
                        {"loadInfo": {"fields": "throughput"}},
                        {"me": -1},
                        {"limits": {"probes": "yes"}},
                        {"loadInfo": []},
                        {"contract": {"extraFloor": 3}},
                        {"contract": {"lookBackUs": -1}},
                        {"contract": {"lookBackUs": 9, "resendRatio": True}},
                        {"deductions": {"crossZone": "dear"}},
                        {"loadInfo": {"via": "pull", "fields": ["utilization"]}},
                        {"loadInfo": {"via": "pull", "fields": ["throughput"]}},
                    )
                ),
                {**valid, "limits": {"sockets": "many"}},
                valid,
            ):
                with open(path, "w") as file:
                    file.write(text if isinstance(text, str) else json.dumps(text))
                try:
                    config = start.config_from_environ(
                        {"BALANCER_CONFIG": path, "BALANCER_NAME": "n3"}
                    )
                    lines.append(
                        f"{config.name} {config.listen} {config.sockets} {config.settings.drain_grace} "
                        f"{config.settings.load_report_source}"
                    )
                except start.UnusableConfigError as error:
                    lines.append(str(error).replace(path, "config"))
        self.check("net_unusable", lines)

    def test_process_exits_on_unusable_configuration(self):
        environ = {**os.environ, "BALANCER_CONFIG": "/nowhere/config.json"}
        result = subprocess.run(
            [sys.executable, "-m", "pierglade"], env=environ, capture_output=True
        )
        self.assertEqual(
            (result.returncode, result.stdout, len(result.stderr.splitlines())), (2, b"", 1)
        )


class Peer:
    """A listening socket whose requests are recorded in `seen` and answered by `answer`.

    Each connection is served by its own thread; if `answer` returns None, it is closed. An answer may
    be an iterable of pieces, which are written as it gives them.
    """

    def __init__(self, answer):
        self.answer, self.seen = answer, []
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % self.sock.getsockname()[1]
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        while True:
            threading.Thread(target=self.serve, args=self.sock.accept()[:1], daemon=True).start()

    def serve(self, sock):
        message_reader = reader.RequestReader()
        with sock:
            while count := sock.recv_into(message_reader.writable()):
                message_reader.filled(count)
                while (message := message_reader.next()) is not None:
                    if message_reader.is_streamed:
                        message.body_stream = len(
                            message_reader.piece()
                        )  # only the size is recorded
                        while not message_reader.body_complete and (
                            count := sock.recv_into(message_reader.writable())
                        ):
                            message_reader.filled(count)
                            message.body_stream += len(message_reader.piece())
                    self.seen.append(message.url.decode())
                    reply = self.answer(message)
                    if reply is None:
                        return
                    for piece in (reply,) if isinstance(reply, bytes) else reply:
                        sock.sendall(piece)
                    message_reader.release()


def answer(status, body=b""):
    """Returns a response with this status and body."""
    return b"HTTP/1.1 %d .\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body)


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class DiscoveryFollowing(TraceTest):
    def test_silent_watch_is_reopened_and_unfit_changes_cause_a_resync(self):
        events, reported = [], Event()

        def serve(message):
            if b"follow" not in message.url:
                return answer(200, b'{"index":%d}' % len(events))
            return CHUNKED + (b'c\r\n{"index":9}\n\r\n' if len(events) > 2 else b"")

        def handle_event(event):
            events.append(f"{type(event).__name__} {event[0]}")
            if event[0] == {"index": 9}:
                watch.resync()
            elif isinstance(event, EndpointsUpdated) and len(events) > 1:
                reported.set()

        peer = Peer(serve)
        with mock.patch.multiple(discovery, SILENCE_TIMEOUT=0.05, RETRY_INTERVAL=0):
            watch = discovery.DiscoveryClient(peer.address, mock.Mock(handle_event=handle_event))
            running = gevent.spawn(watch.run)
            reported.wait()
            running.kill()
        # How often the silent watch was opened depends on timing: equal lines are merged.
        lines = [line.partition("index")[0] for line in events + peer.seen]
        self.check("net_following", [line for line, _ in itertools.groupby(lines)])

    def test_polled_list_is_requested_when_the_balancer_decides(self):
        """Guards against retries at a fixed interval where the list is polled.

        Polled again every 0.2 s by each of many nodes, discovery served none of them.
        """
        events, lost = [], Event()

        def handle_event(event):
            events.append(type(event).__name__)
            lost.set()

        peer = Peer(lambda message: None)
        with mock.patch.object(discovery, "RETRY_INTERVAL", 0):
            watch = discovery.DiscoveryClient(peer.address, mock.Mock(handle_event=handle_event))
            watch.is_polled = lambda: True
            running = gevent.spawn(watch.run)
            for _ in range(3):
                lost.wait()
                lost.clear()
                gevent.sleep(0)
                events.append(f"requests sent {len(peer.seen)}")
                watch.poll_now()
            running.kill()
        self.check("net_asked", events)

    def test_rejected_watch_keeps_the_version(self):
        """Guards against requesting the whole list after a busy discovery rejected a watch.

        Requests of all nodes for the whole list, in place of changes, kept discovery overloaded.
        """
        statuses = iter((503, 429, 503, 410))
        done = Event()

        def serve(message):
            if b"follow" not in message.url:
                return answer(200, b'{"index":7}')
            return answer(next(statuses, None) or done.set() or 503)

        peer = Peer(serve)
        with mock.patch.object(discovery, "RETRY_INTERVAL", 0):
            running = gevent.spawn(discovery.DiscoveryClient(peer.address, mock.Mock()).run)
            done.wait()
            running.kill()
        # Only status 410, which rejects the version, leads to a request for the whole list.
        self.check("net_refused", peer.seen[:7])

    def test_stopped_client_reports_nothing(self):
        """Guards against entries of the old discovery address in the list of the new one.

        A line may have been read before discovery moved, and is handled only afterwards.
        """
        events = []

        def handle_event(event):
            events.append(f"{type(event).__name__} {event.document}")
            watch.stop()

        peer = Peer(lambda message: CHUNKED + b'c\r\n{"index":9}\n\r\n' * 2)
        watch = discovery.DiscoveryClient(peer.address, mock.Mock(handle_event=handle_event))
        watch.index = 1
        watch.run()
        self.assertEqual(events, ["EndpointsUpdated {'index': 9}"])


def server_stub(handle_event, arrived_at):
    """Returns a stub of the server for a DownstreamHandler; its event loop is never too busy."""
    return mock.Mock(
        handle_event=handle_event,
        arrival_time=arrived_at,
        loop_monitor=mock.Mock(poll_ended_ns=0, arrived_at=NEVER),
        budget=BufferBudget(1 << 20),
        prepared_rejection=lambda *arguments: None,
        state_machine=mock.Mock(
            descriptors=mock.Mock(admission=None),
            balancers=mock.Mock(load_shedder=mock.Mock(threshold=0.0)),
        ),
        admission_queue=mock.Mock(full=lambda: False),
        descriptor_release=DescriptorRelease(mock.Mock(unreleased_count=0)),
    )


class MalformedInput(TraceTest):
    def test_data_behind_a_malformed_request_is_discarded_up_to_a_limit(self):
        """Guards against reading requests behind a malformed one, and against reading forever.

        A client that sends at full speed would occupy a CPU core.
        """
        events = []
        with socket.create_server(("127.0.0.1", 0)) as server:
            theirs = socket.create_connection(server.getsockname())
            ours, _ = server.accept()
        handler = DownstreamHandler(
            gevent.socket.socket(fileno=ours.detach()),
            server_stub(
                lambda event, arrived_at=0: events.append(f"{type(event).__name__} {event[1]}"),
                lambda: 0,
            ),
            "",
        )
        reading = gevent.spawn(handler.run)
        theirs.sendall(b"no HTTP\r\n")
        theirs.setblocking(False)
        requests = b"GET / HTTP/1.1\r\n%s\r\n" % HOST * 2000
        while not reading.dead:
            try:
                theirs.send(requests)
            except BlockingIOError:
                gevent.sleep(0)
        theirs.close()
        handler.sock.close()
        events.append(
            "at most one read beyond the limit was discarded "
            f"{handler.discarded < clients.MAX_DISCARD_BYTES + 65537}"
        )
        self.check("net_faulty", events)


class Pipelining(TraceTest):
    def test_pipelined_requests_are_answered_in_order(self):
        """Guards against lost pipelined requests and against wrong arrival times.

        Each is handled in its own turn of the loop; its time starts at its last byte. A connection
        must not be closed as idle while unread requests are in its buffer.
        """
        lines, times = [], iter((5, 6, 7, 8, 9))
        with socket.create_server(("127.0.0.1", 0)) as server:
            theirs = socket.create_connection(server.getsockname())
            ours, _ = server.accept()

        def handle_event(event, arrived_at=NEVER):
            if isinstance(event, RequestReceived):
                since = "-" if arrived_at == NEVER else arrived_at
                lines.append(
                    f"received {event.message.url.decode()} body {bytes(event.message.body)} since {since}"
                )
                received.set()
            elif not isinstance(event, ConnectionOpened):
                lines.append(f"{type(event).__name__} {event[1:]}")

        received = Event()
        handler = DownstreamHandler(
            gevent.socket.socket(fileno=ours.detach()),
            server_stub(handle_event, lambda: next(times)),
            "",
        )
        reading = gevent.spawn(handler.run)
        post = b"POST /%d HTTP/1.1\r\nContent-Length: 2\r\n\r\nab"
        theirs.sendall(post % 1 + post % 2 + (post % 3)[:-1])
        received.wait()
        for part in ((post % 3)[-1:], b"GET /4 HTTP/1.1\r\n\r\nGET", b" /5 HTTP/1.1\r\n\r\n"):
            read_before = handler.received
            theirs.sendall(part)
            while handler.received == read_before:
                gevent.sleep(0)
        for _ in range(5):
            received.clear()
            lines.append("answered")
            handler.answer(b"HTTP/1.1 200 OK\r\n\r\n", b"", False)
            handler.close_when_read("idle")
            received.wait(0.05)
        reading.join()
        theirs.close()
        self.check("net_ahead", lines)


class UpstreamConnections(TraceTest):
    def test_request_that_is_not_received_is_aborted(self):
        """What the kernel still holds must not reach the backend once the window has ended."""
        lines = []
        for case in ("whole", "not read", "half written"):
            listener = socket.create_server(("127.0.0.1", 0))
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            handler = UpstreamHandler(
                mock.Mock(),
                lambda event, case=case: lines.append(
                    f"{case}: {type(event).__name__} {event[1:]}"
                ),
            )
            handler.sock.connect(listener.getsockname())
            backend, _ = listener.accept()
            size = 100 if case == "whole" else 60000
            handler.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 18)
            handler.sock.sendall(bytes(size))
            handler.is_request_written = case != "half written"
            if case == "whole":
                self.assertEqual(len(backend.recv(size, socket.MSG_WAITALL)), size)
                give_up_at = time.monotonic() + 20
                while socket_io.unacknowledged_bytes(handler.sock):
                    self.assertLess(time.monotonic(), give_up_at)
                    gevent.sleep(0.001)
            handler.abort_unless_written()
            for sock in (handler.sock, backend, listener):
                sock.close()
        self.check("net_overdue", lines)

    def test_bytes_behind_a_response(self):
        """Guards against reuse of a connection with unsolicited bytes behind a response.

        The response itself is valid, but the bytes would be taken for the next response.
        """
        lines = []
        for extra in (b"", answer(200, b"copy"), b"\x00noise"):
            ours, theirs = socket.socketpair()
            handler = UpstreamHandler(
                mock.Mock(state=ConnectionState.BUSY),
                lambda event: lines.append(
                    f"{type(event).__name__} "
                    f"{[f'keep {field.is_reusable}' if isinstance(field, http.Message) else field for field in event[1:]]}"
                ),
            )
            handler.sock.close()
            handler.sock, handler.is_request_written = (
                gevent.socket.socket(fileno=ours.detach()),
                True,
            )
            theirs.sendall(answer(200, b"good") + extra)
            theirs.close()
            handler.read()
            handler.sock.close()
        self.check("net_behind", lines)


class Sockets(TraceTest):
    """A node in a process of its own; the tests wait for events, never for a time to pass."""

    # The backend is a thread of the test's process, which may be late where the machine is busy.
    settings = LONG_SETTINGS

    def setUp(self):
        self.backend = Peer(self.serve)
        known = {
            "index": 1,
            "snapshot": True,
            "endpoints": [entry("b0", address=self.backend.address)],
        }
        full_list = answer(200, json.dumps(known).encode())
        changes = CHUNKED + b'2c\r\n{"index":1,"snapshot":false,"endpoints":[]}\n\r\n'
        agent, self.agent = (
            Peer(lambda message: changes if b"follow" in message.url else full_list)
            for _ in range(2)
        )
        self.folder = tempfile.TemporaryDirectory()
        self.path = path = os.path.join(self.folder.name, "config.json")
        self.config = {
            "name": "n1",
            "listen": "127.0.0.1:0",
            "discovery": agent.address,
            "seed": "8c",
            "settings": self.settings,
            "known": known,
        }
        self.configure(json.dumps(self.config))
        self.node = subprocess.Popen(
            [sys.executable, "-m", "pierglade"],
            stdout=subprocess.PIPE,
            env={**os.environ, "BALANCER_CONFIG": path, "BALANCER_DISCOVERY": agent.address},
        )
        started = json.loads(self.node.stdout.readline())
        host, _, port = started["listen"].rpartition(":")
        self.place = host, int(port)

    def tearDown(self):
        if self.node.poll() is None:
            self.node.kill()
        self.node.wait()
        self.node.stdout.close()
        self.folder.cleanup()

    def configure(self, text):
        with open(self.path, "w") as file:
            file.write(text)

    def events(self, until):
        """Returns the lines that the node logs, up to the first one of the event `until`."""
        lines = []
        while not lines or lines[-1]["event"] != until:
            lines.append(json.loads(self.node.stdout.readline()))
        return lines

    def serve(self, message):
        if b"break" in message.url:
            return None
        return answer(
            200, b"z" * 60000 if b"large" in message.url else b"served " + bytes(message.body)
        )

    def ask(self, *requests):
        """Sends the requests on one connection; returns a line for each response.

        The last line is "ended" if the connection ended before the response.
        """
        message_reader, lines = reader.ResponseReader(), []
        with socket.create_connection(self.place, 20) as sock:
            for data in requests:
                sock.sendall(data)
                while (message := message_reader.next()) is None:
                    if not (count := sock.recv_into(message_reader.writable())):
                        return lines + ["ended"]
                    message_reader.filled(count)
                lines.append(
                    f"{data[:20]} {message.status} {len(message.body)} {bytes(message.body[:10])}"
                    + ("" if message.is_reusable else " close")
                )
                message_reader.release()
        return lines

    def test_reload_moves_discovery(self):
        self.configure("{")
        self.node.send_signal(signal.SIGHUP)
        lines = [line["event"] for line in self.events("config_rejected")[-1:]]
        self.configure(json.dumps({**self.config, "discovery": self.agent.address}))
        self.node.send_signal(signal.SIGHUP)
        lines += [
            f"moved {line['discovery_moved']}" for line in self.events("config_reloaded")[-1:]
        ]
        while len(self.agent.seen) < 2:
            gevent.sleep(0.001)
        lines += self.agent.seen + self.ask(b"GET /health/ready HTTP/1.1\r\n%s\r\n" % HOST)
        self.check("net_configured", lines)

    def test_settings_reload_while_clients_send_requests(self):
        """Guards against requests that are lost or sent twice while settings are reloaded.

        Requests are in flight during each reload. Settings that cannot be used change nothing.
        """
        get = b"POST /pay/%d HTTP/1.1\r\n" + HOST + b"X-Trace-Id: %d\r\n\r\n"
        changed = {
            **LONG_SETTINGS,
            "customers": [],
            "siblings": 70,
            "membershipMode": "ask",
            "loadInfo": {"via": "piggyback", "fields": ["throughput", "utilization"]},
        }
        invalid = {**changed, "loadInfo": {"via": "post"}}
        lines, answers, is_running = [], [], True

        def client():
            number = 0
            while is_running or number < 3:
                number += 1
                answers.extend(self.ask(get % (number, number)))

        client_thread = threading.Thread(target=client, daemon=True)
        client_thread.start()
        for settings, until in (
            (changed, "config_reloaded"),
            (invalid, "config_rejected"),
            (LONG_SETTINGS, "config_reloaded"),
        ):
            seen = len(self.backend.seen)
            while len(self.backend.seen) < seen + 3:
                time.sleep(0.001)
            self.configure(json.dumps({**self.config, "settings": settings}))
            self.node.send_signal(signal.SIGHUP)
            events = self.events(until)
            lines += [
                line["event"]
                + ("" if "error" not in line else ": " + line["error"].partition(": ")[2])
                for line in events
                if line["event"] in ("settings_applied", until)
            ]
        is_running = False
        client_thread.join(20)
        served = all(" 200 " in line for line in answers)
        once = len(answers) == len(self.backend.seen) == len(set(self.backend.seen))
        lines.append(f"all served {served}, each sent once {once}")
        self.check("net_settings", lines)

    def test_unsafe_request_in_flight_keeps_its_settings(self):
        """Guards against repeating an unsafe request under settings that allow retries.

        The settings change while the request is in flight; then its connection is lost. It keeps
        the settings under which it was received, so it is not sent again.
        """
        release, arrived = threading.Event(), threading.Event()

        def serve(message):
            if b"held" not in message.url:
                return answer(200, b"served")
            arrived.set()
            release.wait(20)
            return None

        self.backend.answer = serve
        long = {"expectedTimeUs": 9000000, "hardLimitUs": 9000000}
        request_classes = [{"name": "look", "idempotency": "free", **long}]
        before, after = (
            {
                **SETTINGS,
                "offerings": request_classes + [{"name": "pay", "idempotency": kind, **long}],
                "limits": {"mostTrips": 5, "mayCancel": True},
            }
            for kind in ("single_shot", "free")
        )
        responses, lines = [], []
        for settings in (before, after):
            self.configure(json.dumps({**self.config, "settings": settings}))
            self.node.send_signal(signal.SIGHUP)
            lines += [
                f"{line['event']} {line.get('pending', '')}".strip()
                for line in self.events("config_reloaded")
                if line["event"] == "settings_applied"
            ]
            if settings is before:
                post = b"POST /pay/held HTTP/1.1\r\n" + HOST + b"X-Trace-Id: held\r\n\r\n"
                client_thread = threading.Thread(
                    target=lambda: responses.extend(self.ask(post)), daemon=True
                )
                client_thread.start()
                arrived.wait(20)
        # The new settings take GET requests for the same offering, beside the one in flight.
        get = b"GET /pay/%d HTTP/1.1\r\n" + HOST + b"X-Trace-Id: %d\r\n\r\n"
        lines += self.ask(*(get % (n, n) for n in (1, 2)))
        release.set()
        client_thread.join(20)
        lines += responses + [f"backend saw {' '.join(self.backend.seen)}"]
        lines += [line["event"] for line in self.events("settings_retired")[-1:]]
        self.check("net_one_shot", lines)

    def test_serves_and_stops(self):
        get = b"GET /look/%s HTTP/1.1\r\n%sX-Trace-Id: %s\r\n\r\n"
        post = b"POST /pay%s HTTP/1.1\r\n%sX-Trace-Id: %s\r\nContent-Length: 4\r\n\r\nfive"
        lines = self.ask(
            get % (b"1", HOST, b"a"),
            post % (b"", HOST, b"b"),
            get % (b"large", HOST, b"c"),
            post % (b"/2", HOST, b"d"),
        )
        lines += self.ask(b"nonsense\r\n\r\n" + get % (b"unread", HOST, b"e"))
        lines += self.ask(
            *(b"GET %s HTTP/1.1\r\n%s\r\n" % (path, HOST) for path in (b"/health/ready", b"/"))
        )
        lines += self.ask(post % (b"/break", HOST, b"f"))
        lines += [f"backend saw {' '.join(self.backend.seen)}"]
        self.node.send_signal(signal.SIGTERM)
        lines += [f"exit {self.node.wait(20)}"]
        reasons = [json.loads(line) for line in self.node.stdout]
        lines += sorted(
            {
                f"{record['event']}: {record['reason']}"
                for record in reasons
                if record["event"].endswith("stream_closed")
            }
        )
        self.check("net_sockets", lines)
