"""Messages out of a buffer, a node's start, and one node on real sockets."""

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
from pierglade.proxy import discovery
from pierglade.proxy import downstream as clients
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


def read(incoming, data, step):
    """What comes out of a reader that is fed so many bytes at once, with the reader a read ahead."""
    lines, room, flowing = [], incoming.writable(), None

    def take():
        """Whether there is a message, the whole of it if it is one that flows."""
        nonlocal flowing
        message, body = flowing or (incoming.next(), b"")
        if message is None:
            return False
        body = body + incoming.piece() if incoming.flows else body
        flowing = (message, body) if incoming.flows and not incoming.over else None
        if flowing:
            return False
        body = body or message.body
        lines.append(
            f"{message.method.decode()}{message.status or ''} {message.url.decode()} "
            f"body {len(body)} {bytes(body[:8])} keep {message.keep}{' flows' * incoming.flows}"
        )
        incoming.release()
        return True

    try:
        at = 0
        while at < len(data):
            count = min(step, len(room), len(data) - at)
            room[:count] = data[at : at + count]
            at += count
            incoming.filled(count)
            while take():
                pass
            room = incoming.writable()
        if incoming.ended():
            flowing = flowing or (incoming.message, b"")
            take()
    except reader.ProtocolError as fault:
        lines.append(f"{fault.status} {fault}")
    return lines


class Messages(TraceTest):
    POSTED = b"POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    REQUESTS = [
        b"GET /a?b=c HTTP/1.1\r\n" + HOST + b"\r\nPOST /d HTTP/1.1\r\nContent-Length: 3\r\n\r\nxyz"
        b"GET /e HTTP/1.0\r\n\r\n",
        POSTED + b"4\r\na\nbc\r\n1\r\nd\r\n0\r\n\r\nGET /f HTTP/1.1\r\n\r\n",
        b"POST /b HTTP/1.1\r\nContent-Length: 65536\r\n\r\n"
        + b"x" * 65536
        + b"GET /a HTTP/1.1\r\n\r\n",
        POSTED + b"400\r\n%s\r\n" % (b"y" * 1024) * 65,
        b"POST / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n",
        POSTED + b"1;" + b"a" * 5000 + b"\r\n",
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
        POSTED + b"0x4\r\n",
        POSTED + b"4\nabcd",
        POSTED + b"4\r\nabcde\r\n",
        b"\x16\x03\x01\x02\r\n",
        b"GET / HTTP/9\r\n\r\n",
        b"GET / HTTP/1.1\nHost: h\n\n",
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

    def test_messages(self):
        lines = []
        for incoming, cases in (
            (reader.RequestReader, self.REQUESTS),
            (reader.ResponseReader, self.ANSWERS),
        ):
            for data in cases:
                whole = read(incoming(), data, len(data))
                lines += [f"{data[:60]} of {len(data)}", *(f"    {line}" for line in whole)]
                for step in (1, 7, 4096) if len(data) < 70000 else (77, 4096):
                    self.assertEqual(whole, read(incoming(), data, step), data[:60])
        self.check("net_messages", lines)

    def test_the_next_request_is_read_into_the_room_given_before(self):
        """The reader waits with a view taken before the message in hand was let go."""
        incoming = reader.RequestReader()
        first, second = b"GET /a HTTP/1.1\r\n\r\n", b"GET /b HTTP/1.1\r\n\r\n"
        incoming.writable()[: len(first)] = first
        incoming.filled(len(first))
        taken, room = incoming.next(), incoming.writable()
        self.assertEqual(taken.url, b"/a")
        incoming.release()
        room[: len(second)] = second
        incoming.filled(len(second))
        self.assertEqual(incoming.next().url, b"/b")

    def test_a_reader_that_is_dropped_is_collected_at_once(self):
        """Not at the next collection: under ever new connections their buffers would add up until then."""
        for kind in (reader.RequestReader, reader.ResponseReader):
            incoming = kind()
            gone = weakref.ref(incoming)
            incoming.drop()
            del incoming
            self.assertIsNone(gone())

    def test_what_is_passed_on(self):
        taken = message(
            b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close, x-once\r\nX-Once: 1\r\n"
            b"x-kept: 2\r\nKeep-Alive: 3\r\nConnection: X-TWICE\r\nX-Twice: 4\r\n"
            b"X-But: 5\r\n\r\n"
        )
        self.assertEqual(
            http.passed_on(taken, http.HOP_BY_HOP | {b"x-but"}),
            [(b"Host", b"h"), (b"x-kept", b"2")],
        )

    def test_watch(self):
        watch, lines = discovery.WatchStream(), []
        data = (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b'9\r\n{"a":1}\n{\r\n1\r\n\n\r\n3\r\n\n}\n\r\n0\r\n\r\n'
        )
        for n in range(len(data)):
            lines += watch.feed(data[n : n + 1])
        self.assertEqual((lines, watch.over), ([b'{"a":1}', b"{\n\n}"], True))
        for status, fault in ((503, discovery.DiscoveryUnavailableError), (410, ValueError)):
            with self.assertRaises(fault):
                discovery.WatchStream().feed(
                    b"HTTP/1.1 %d No\r\nContent-Length: 0\r\n\r\n" % status
                )

    def test_log_is_never_waited_for(self):
        """A pipe that nobody reads must not stop the node; what was lost is counted once it is read again."""
        reader, writer = os.pipe()
        log = Log(writer, "n1")
        for _ in range(3000):
            log.line(10, "event", text="x" * 100)
        log.flush()
        self.assertGreater(log.dropped, 0)
        os.read(reader, 1 << 20)
        lost = log.dropped
        log.line(20, "event")
        log.flush()
        last = os.read(reader, 1 << 20).splitlines()[-2:]
        self.assertEqual([json.loads(line).get("lines") for line in last], [lost, None])
        self.assertEqual(log.dropped, 0)

    def test_the_timer_tells_how_late_it_is(self):
        called = []
        clock = mock.Mock(now=lambda: 1000)
        timer = Timer(clock, called.append)
        timer.set(1000)
        timer.set(990)
        timer.set(400)
        gevent.sleep(0.01)
        timer.set(None)
        self.assertEqual(called, [600])

    def test_what_waited_while_the_loop_was_busy(self):
        """Seen only when the loop comes round, it has come in the course of the turn before."""
        turns = EventLoopMonitor(Clock())
        for _ in range(3):
            gevent.sleep(0.002)
        idle = turns.clock.now() - turns.came
        ours, theirs = gevent.socket.socketpair()
        theirs.send(b"x")
        end = time.monotonic() + 0.05
        while time.monotonic() < end:
            pass
        gevent.socket.wait_read(ours.fileno())
        self.assertLess(idle + 100, turns.clock.now() - turns.came)
        ours.close()
        theirs.close()

    def test_the_timer_that_is_put_off(self):
        called, times = [], [1000]
        timer = Timer(mock.Mock(now=lambda: times[0]), called.append)
        timer.set(1010)
        timer.set(1030)
        while timer.fires_at != 1030:  # It rang for the first moment.
            gevent.sleep(0.001)
        times[0] = 1031
        while not called:
            gevent.sleep(0.001)
        self.assertEqual(called, [1])


class Start(TraceTest):
    def test_unusable(self):
        good = {
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
                {**good, "settings": {}},
                {**good, "listen": "here"},
                {**good, "seed": None},
                *(
                    {**good, "settings": {**SETTINGS, **wrong}}
                    for wrong in (
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
                {**good, "limits": {"sockets": "many"}},
                good,
            ):
                with open(path, "w") as file:
                    file.write(text if isinstance(text, str) else json.dumps(text))
                try:
                    place = start.config_from_environ(
                        {"BALANCER_CONFIG": path, "BALANCER_NAME": "n3"}
                    )
                    lines.append(
                        f"{place.name} {place.listen} {place.sockets} {place.settings.drain_grace} "
                        f"{place.settings.load_report_source}"
                    )
                except start.UnusableConfigError as fault:
                    lines.append(str(fault).replace(path, "config"))
        self.check("net_unusable", lines)

    def test_unusable_ends_the_process(self):
        environ = {**os.environ, "BALANCER_CONFIG": "/nowhere/config.json"}
        done = subprocess.run([sys.executable, "-m", "pierglade"], env=environ, capture_output=True)
        self.assertEqual((done.returncode, done.stdout, len(done.stderr.splitlines())), (2, b"", 1))


class Peer:
    """A listening socket; each request on it is noted and answered by `answer`, in its own thread."""

    def __init__(self, answer):
        self.answer, self.seen = answer, []
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % self.sock.getsockname()[1]
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        while True:
            threading.Thread(target=self.serve, args=self.sock.accept()[:1], daemon=True).start()

    def serve(self, sock):
        incoming = reader.RequestReader()
        with sock:
            while count := sock.recv_into(incoming.writable()):
                incoming.filled(count)
                while (message := incoming.next()) is not None:
                    if incoming.flows:
                        message.flow = len(incoming.piece())  # only how much it was is kept
                        while not incoming.over and (count := sock.recv_into(incoming.writable())):
                            incoming.filled(count)
                            message.flow += len(incoming.piece())
                    self.seen.append(message.url.decode())
                    reply = self.answer(message)
                    if reply is None:
                        return
                    sock.sendall(reply)
                    incoming.release()


def answer(status, body=b""):
    return b"HTTP/1.1 %d .\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body)


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class Following(TraceTest):
    def test_a_silent_watch_is_opened_again_and_what_does_not_fit_is_asked_for_whole(self):
        told, ends = [], Event()

        def serve(message):
            if b"follow" not in message.url:
                return answer(200, b'{"index":%d}' % len(told))
            return CHUNKED + (b'c\r\n{"index":9}\n\r\n' if len(told) > 2 else b"")

        def tell(event):
            told.append(f"{type(event).__name__} {event[0]}")
            if event[0] == {"index": 9}:
                watch.resync()
            elif isinstance(event, EndpointsUpdated) and len(told) > 1:
                ends.set()

        peer = Peer(serve)
        with mock.patch.multiple(discovery, SILENCE_TIMEOUT=0.05, RETRY_INTERVAL=0):
            watch = discovery.DiscoveryClient(peer.address, mock.Mock(tell=tell))
            running = gevent.spawn(watch.run)
            ends.wait()
            running.kill()
        # How often the silent watch was opened before the third time is not told, as time decides that.
        lines = [line.partition("index")[0] for line in told + peer.seen]
        self.check("net_following", [line for line, _ in itertools.groupby(lines)])

    def test_a_lost_list_is_asked_for_when_the_decisions_say_so(self):
        """Asked again every 0.2 s by each of many nodes, a list that has to be asked served none."""
        told, lost = [], Event()

        def tell(event):
            told.append(type(event).__name__)
            lost.set()

        peer = Peer(lambda message: None)
        with mock.patch.object(discovery, "RETRY_INTERVAL", 0):
            watch = discovery.DiscoveryClient(peer.address, mock.Mock(tell=tell))
            watch.is_polled = lambda: True
            running = gevent.spawn(watch.run)
            for _ in range(3):
                lost.wait()
                lost.clear()
                gevent.sleep(0)
                told.append(f"asked {len(peer.seen)}")
                watch.ask()
            running.kill()
        self.check("net_asked", told)

    def test_a_refused_watch_keeps_the_version(self):
        """Each node that asked for the whole list again, in place of changes, kept discovery overbooked."""
        refused = iter((503, 429, 503, 410))
        done = Event()

        def serve(message):
            if b"follow" not in message.url:
                return answer(200, b'{"index":7}')
            return answer(next(refused, None) or done.set() or 503)

        peer = Peer(serve)
        with mock.patch.object(discovery, "RETRY_INTERVAL", 0):
            running = gevent.spawn(discovery.DiscoveryClient(peer.address, mock.Mock()).run)
            done.wait()
            running.kill()
        # Only what refuses the version itself makes it ask for the whole list.
        self.check("net_refused", peer.seen[:7])

    def test_nothing_of_a_place_that_was_left_is_told(self):
        """A line that was read before the move must not stand in the list of the new place."""
        told = []

        def tell(event):
            told.append(f"{type(event).__name__} {event.document}")
            watch.stop()

        peer = Peer(lambda message: CHUNKED + b'c\r\n{"index":9}\n\r\n' * 2)
        watch = discovery.DiscoveryClient(peer.address, mock.Mock(tell=tell))
        watch.index = 1
        watch.run()
        self.assertEqual(told, ["EndpointsUpdated {'index': 9}"])


def host_of(tell, came):
    """What a client's connection asks of its host, with time to spare."""
    return mock.Mock(
        tell=tell,
        came=came,
        budget=BufferBudget(1 << 20),
        refuse=lambda *what: None,
        reducer=mock.Mock(
            descriptors=mock.Mock(admission=None),
            balancers=mock.Mock(load_shedder=mock.Mock(threshold=0.0)),
        ),
        admission_queue=mock.Mock(full=lambda: False),
    )


class Faulty(TraceTest):
    def test_nothing_behind_a_fault_is_read_and_not_all_of_it(self):
        """Sent at full speed it would take the core; what comes behind is never a request."""
        told = []
        with socket.create_server(("127.0.0.1", 0)) as server:
            theirs = socket.create_connection(server.getsockname())
            ours, _ = server.accept()
        handler = DownstreamHandler(
            gevent.socket.socket(fileno=ours.detach()),
            host_of(
                lambda event, came=0: told.append(f"{type(event).__name__} {event[1]}"), lambda: 0
            ),
            "",
        )
        reading = gevent.spawn(handler.run)
        theirs.sendall(b"no HTTP\r\n")
        theirs.setblocking(False)
        good = b"GET / HTTP/1.1\r\n%s\r\n" % HOST * 2000
        while not reading.dead:
            try:
                theirs.send(good)
            except BlockingIOError:
                gevent.sleep(0)
        theirs.close()
        handler.sock.close()
        told.append(
            f"little more is read than may be {handler.discarded < clients.DISCARD_MOST + 65537}"
        )
        self.check("net_faulty", told)


class Ahead(TraceTest):
    def test_requests_sent_ahead_are_answered_in_order(self):
        """Each in a turn of its own, with its time from its last byte; none is lost when let go."""
        lines, moments = [], iter((5, 6, 7, 8, 9))
        with socket.create_server(("127.0.0.1", 0)) as server:
            theirs = socket.create_connection(server.getsockname())
            ours, _ = server.accept()

        def tell(event, came=NEVER):
            if isinstance(event, RequestReceived):
                since = "-" if came == NEVER else came
                lines.append(
                    f"asked {event.message.url.decode()} body {bytes(event.message.body)} since {since}"
                )
                asked.set()
            elif not isinstance(event, ConnectionOpened):
                lines.append(f"{type(event).__name__} {event[1:]}")

        asked = Event()
        handler = DownstreamHandler(
            gevent.socket.socket(fileno=ours.detach()), host_of(tell, lambda: next(moments)), ""
        )
        reading = gevent.spawn(handler.run)
        post = b"POST /%d HTTP/1.1\r\nContent-Length: 2\r\n\r\nab"
        theirs.sendall(post % 1 + post % 2 + (post % 3)[:-1])
        asked.wait()
        for part in ((post % 3)[-1:], b"GET /4 HTTP/1.1\r\n\r\nGET", b" /5 HTTP/1.1\r\n\r\n"):
            read = handler.received
            theirs.sendall(part)
            while handler.received == read:
                gevent.sleep(0)
        for _ in range(5):
            asked.clear()
            lines.append("answered")
            handler.answer(b"HTTP/1.1 200 OK\r\n\r\n", b"", False)
            handler.close_when_read("idle")
            asked.wait(0.05)
        reading.join()
        theirs.close()
        self.check("net_ahead", lines)


class Links(TraceTest):
    def test_what_comes_behind_an_answer(self):
        """A good answer settles; with more behind it the link is not used again."""
        lines = []
        for behind in (b"", answer(200, b"copy"), b"\x00noise"):
            ours, theirs = socket.socketpair()
            link = UpstreamHandler(
                mock.Mock(state=ConnectionState.BUSY),
                lambda event: lines.append(
                    f"{type(event).__name__} "
                    f"{[f'keep {w.keep}' if isinstance(w, http.Message) else w for w in event[1:]]}"
                ),
            )
            link.sock.close()
            link.sock, link.whole = gevent.socket.socket(fileno=ours.detach()), True
            theirs.sendall(answer(200, b"good") + behind)
            theirs.close()
            link.read()
            link.sock.close()
        self.check("net_behind", lines)


class Sockets(TraceTest):
    """One node as a process; waits are for what must come, never for a time to pass."""

    def setUp(self):
        self.backend = Peer(self.serve)
        known = {
            "index": 1,
            "snapshot": True,
            "endpoints": [entry("b0", address=self.backend.address)],
        }
        whole = answer(200, json.dumps(known).encode())
        changes = CHUNKED + b'2c\r\n{"index":1,"snapshot":false,"endpoints":[]}\n\r\n'
        agent, self.agent = (
            Peer(lambda message: changes if b"follow" in message.url else whole) for _ in range(2)
        )
        self.folder = tempfile.TemporaryDirectory()
        self.path = path = os.path.join(self.folder.name, "config.json")
        self.told = {
            "name": "n1",
            "listen": "127.0.0.1:0",
            "discovery": agent.address,
            "seed": "8c",
            "settings": SETTINGS,
            "known": known,
        }
        self.configure(json.dumps(self.told))
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
        """What the node logs, up to the first line of this event."""
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
        """Sends the requests on one connection; the answers, and whether it then ends."""
        incoming, lines = reader.ResponseReader(), []
        with socket.create_connection(self.place, 20) as sock:
            for data in requests:
                sock.sendall(data)
                while (message := incoming.next()) is None:
                    if not (count := sock.recv_into(incoming.writable())):
                        return lines + ["ended"]
                    incoming.filled(count)
                lines.append(
                    f"{data[:20]} {message.status} {len(message.body)} {bytes(message.body[:10])}"
                    + ("" if message.keep else " close")
                )
                incoming.release()
        return lines

    def test_a_new_configuration_moves_discovery(self):
        self.configure("{")
        self.node.send_signal(signal.SIGHUP)
        lines = [line["event"] for line in self.events("config_rejected")[-1:]]
        self.configure(json.dumps({**self.told, "discovery": self.agent.address}))
        self.node.send_signal(signal.SIGHUP)
        lines += [
            f"moved {line['discovery_moved']}" for line in self.events("config_reloaded")[-1:]
        ]
        while len(self.agent.seen) < 2:
            gevent.sleep(0.001)
        lines += self.agent.seen + self.ask(b"GET /health/ready HTTP/1.1\r\n%s\r\n" % HOST)
        self.check("net_configured", lines)

    def test_new_settings_are_loaded_and_taken_back_while_clients_ask(self):
        """What is out when settings change comes to its one end; what cannot be used changes nothing."""
        get = b"POST /pay/%d HTTP/1.1\r\n" + HOST + b"X-Trace-Id: %d\r\n\r\n"
        moved = {
            **SETTINGS,
            "customers": [],
            "siblings": 70,
            "membershipMode": "ask",
            "loadInfo": {"via": "piggyback", "fields": ["throughput", "utilization"]},
        }
        wrong = {**moved, "loadInfo": {"via": "post"}}
        lines, answers, asking = [], [], True

        def client():
            number = 0
            while asking or number < 3:
                number += 1
                answers.extend(self.ask(get % (number, number)))

        asker = threading.Thread(target=client, daemon=True)
        asker.start()
        for settings, until in (
            (moved, "config_reloaded"),
            (wrong, "config_rejected"),
            (SETTINGS, "config_reloaded"),
        ):
            seen = len(self.backend.seen)
            while len(self.backend.seen) < seen + 3:
                time.sleep(0.001)
            self.configure(json.dumps({**self.told, "settings": settings}))
            self.node.send_signal(signal.SIGHUP)
            told = self.events(until)
            lines += [
                line["event"]
                + ("" if "error" not in line else ": " + line["error"].partition(": ")[2])
                for line in told
                if line["event"] in ("settings_applied", until)
            ]
        asking = False
        asker.join(20)
        # A machine that stands still for long makes the node refuse some: an answer as well.
        settled = sum(" 200 " in line for line in answers)
        once = settled <= len(self.backend.seen) == len(set(self.backend.seen))
        good = all(any(f" {status} " in line for status in (200, 503, 504)) for line in answers)
        lines.append(f"all answered {good}, each sent once {once}")
        self.check("net_settings", lines)

    def test_a_one_shot_that_is_out_keeps_its_rules_and_both_limits_are_in_use(self):
        """Settings that call it harmless come while it is out: lost, it is not sent again all the same."""
        held, came = threading.Event(), threading.Event()

        def serve(message):
            if b"held" not in message.url:
                return answer(200, b"served")
            came.set()
            held.wait(20)
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
        got, lines = [], []
        for settings in (before, after):
            self.configure(json.dumps({**self.told, "settings": settings}))
            self.node.send_signal(signal.SIGHUP)
            lines += [
                f"{line['event']} {line.get('pending', '')}".strip()
                for line in self.events("config_reloaded")
                if line["event"] == "settings_applied"
            ]
            if settings is before:
                post = b"POST /pay/held HTTP/1.1\r\n" + HOST + b"X-Trace-Id: held\r\n\r\n"
                asker = threading.Thread(target=lambda: got.extend(self.ask(post)), daemon=True)
                asker.start()
                came.wait(20)
        # Under the new settings the same offering is asked for with GET, beside the one that is out.
        get = b"GET /pay/%d HTTP/1.1\r\n" + HOST + b"X-Trace-Id: %d\r\n\r\n"
        lines += self.ask(*(get % (n, n) for n in (1, 2)))
        held.set()
        asker.join(20)
        lines += got + [f"backend saw {' '.join(self.backend.seen)}"]
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
                f"{r['event']}: {r['reason']}"
                for r in reasons
                if r["event"].endswith("stream_closed")
            }
        )
        self.check("net_sockets", lines)
