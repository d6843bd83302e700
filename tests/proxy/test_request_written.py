"""A request counts as written from the moment its last byte was handed to the kernel, whatever waits follow."""

import contextlib
import socket
import struct
import unittest
from concurrent.futures import ThreadPoolExecutor
from unittest import mock

import gevent
from gevent.event import Event

from pierglade.proxy.downstream import DownstreamHandler
from pierglade.proxy.http.body_stream import WINDOW, BodyStream
from pierglade.proxy.state.connections import ConnectionState
from pierglade.proxy.state.events import ResponseReceived, ResponseSent, UpstreamClosed
from pierglade.proxy.upstream import UpstreamHandler
from tests.proxy.test_sockets import server_stub
from tests.support.node_process import Backend, Client, Discovery, NodeProcess, request

LIMIT_S = 5.0  # for what must happen at once, on a busy machine too
LENGTHS = (1, WINDOW - 1, WINDOW, WINDOW + 1, 3 * WINDOW, 20 * WINDOW + 7)  # bytes
ANSWER = b"HTTP/1.1 200 .\r\nContent-Length: 2\r\n\r\nok"


def tcp_pair():
    """Returns both ends of a TCP connection; the first one is a socket of gevent."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        ours = gevent.socket.create_connection(listener.getsockname())
        theirs, _ = listener.accept()
    theirs.settimeout(LIMIT_S)
    return ours, theirs


def reset(sock):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def read_request(sock, size, is_chunked):
    """Reads a request to its last byte: `size` bytes, or up to the last chunk."""
    data = b""
    while not data.endswith(b"0\r\n\r\n") if is_chunked else len(data) < size:
        data += sock.recv(1 << 20)
    return data


class WaitsAfterTheLastPiece:
    """A turn limiter: a wait that begins behind the last byte of `body` ends once `seen` is set.

    What ends a chunked body is its last chunk, so a wait behind its last piece is before that.
    """

    def __init__(self, body, seen):
        self.body, self.seen, self.waits = body, seen, 0

    def wait_if_busy(self):
        body = self.body
        if body.length is not None and body.is_complete and not body.pieces:
            self.waits += 1
            if not self.seen.wait(LIMIT_S):
                raise AssertionError("nothing was seen while the writer waited for its turn")


class Upload:
    """One request on a connection to a backend that does something once it has the last byte."""

    def __init__(self, body, size, is_chunked=False):
        self.events, self.seen = [], Event()
        self.sock, self.backend = tcp_pair()
        self.body, self.size, self.is_chunked = body, size, is_chunked
        self.limiter = WaitsAfterTheLastPiece(body, self.seen)
        connection = mock.Mock(state=ConnectionState.BUSY)
        connection.attempt.request.caller_context.io.may_have_left_unseen = lambda: False
        self.handler = UpstreamHandler(connection, self._record, turn_limiter=self.limiter)
        self.handler.sock.close()
        self.handler.sock = self.sock
        self.handler._has_no_client = lambda: False

    def _record(self, event):
        self.events.append(event)
        self.seen.set()

    def play(self, feed, then):
        """Writes the request while `feed()` reads its body; the backend calls `then` at the end."""
        reading = gevent.spawn(self.handler.read)
        self.handler.write(b"", self.body)
        feeding = gevent.spawn(feed)
        pool = gevent.get_hub().threadpool
        pool.apply(read_request, (self.backend, self.size, self.is_chunked))
        then(self.backend)
        if not self.seen.wait(LIMIT_S):
            raise AssertionError("the reading greenlet has seen nothing")
        feeding.join(LIMIT_S)
        gevent.sleep(0)  # The writer goes on.
        reading.kill()
        return self.events

    def close(self):
        self.sock.close()
        self.backend.close()


def uploads():
    """Yields (name, Upload, function that feeds its body) for each framing and size of a body."""
    for size in (1, 60000, 4000000):
        yield f"{size} bytes", Upload(bytes(size), size), lambda: None
    for size in LENGTHS:
        kept = BodyStream(size)
        for start in range(0, size, WINDOW):
            kept.add(bytes(min(WINDOW, size - start)))
        kept.finish()
        yield f"kept, {size} bytes", Upload(kept, size), lambda: None
        for is_chunked in (False, True):
            body = BodyStream(None if is_chunked else size)
            upload = Upload(body, size, is_chunked)
            name = f"streamed, {size} bytes, chunked {is_chunked}"
            yield name, upload, lambda body=body, size=size: feed_body(body, size)


def feed_body(body, size):
    """Adds the pieces of a body as a reading greenlet does, which pauses while the window is full."""
    for start in range(0, size, WINDOW):
        while body.full():
            gevent.sleep(0)
        body.add(bytes(min(WINDOW, size - start)))
        if start + WINDOW >= size:
            body.finish()
        gevent.sleep(0)


class LastByteOfARequest(unittest.TestCase):
    def test_reset_behind_the_last_byte_is_never_reported_as_before_it(self):
        """Guards against requests that ran and were refused as harmless to repeat (review/6)."""
        for name, upload, feed in uploads():
            with self.subTest(name):
                events = upload.play(feed, reset)
                self.assertIsInstance(events[0], UpstreamClosed)
                self.assertTrue(events[0].request_written)
                upload.close()

    def test_reset_before_the_last_byte_is_reported_as_such(self):
        for is_chunked in (False, True):
            with self.subTest(is_chunked=is_chunked):
                body = BodyStream(None if is_chunked else 3 * WINDOW)
                upload = Upload(body, WINDOW, False)
                events = upload.play(lambda body=body: body.add(bytes(WINDOW)), reset)
                self.assertIsInstance(events[0], UpstreamClosed)
                self.assertFalse(events[0].request_written)
                body.abort_body()
                upload.close()

    def test_window_of_repeats_that_ends_behind_the_last_byte_does_not_undo_the_request(self):
        """Guards against resending a keyed request that its backend has received whole."""
        for name, upload, feed in uploads():
            with self.subTest(name):

                def end_window(_, upload=upload):
                    upload.handler.abort_unless_written()
                    upload.seen.set()

                events = upload.play(feed, end_window)
                self.assertFalse([each for each in events if not each.request_written])
                upload.close()

    def test_answer_behind_the_last_byte_leaves_its_connection_for_the_next_request(self):
        """Guards against a late record that is taken for one of the next request."""
        for name, upload, feed in uploads():
            with self.subTest(name):
                events = upload.play(feed, lambda backend: backend.sendall(ANSWER))
                self.assertIsInstance(events[0], ResponseReceived)
                self.assertTrue(events[0].message.is_reusable)
                self.assertFalse(upload.handler.is_request_written)
                upload.close()


class FramingOfARequest(unittest.TestCase):
    def test_body_that_ends_before_its_writer_runs_is_framed_as_its_head_says(self):
        """Guards against a body without chunks behind a head that announces them."""
        body = BodyStream(None)
        body.add(b"first,")
        upload = Upload(body, 0, True)
        upload.handler.write(b"", body)
        body.add(b"last")
        body.finish()
        sent = gevent.get_hub().threadpool.apply(read_request, (upload.backend, 0, True))
        self.assertEqual(sent, b"6\r\nfirst,\r\n4\r\nlast\r\n0\r\n\r\n")
        upload.close()


class LastByteOfAnAnswer(unittest.TestCase):
    def test_streamed_answer_counts_as_sent_from_its_last_byte_on(self):
        """Guards against treating an answer that its client has read whole as incomplete."""
        for size in LENGTHS:
            for is_chunked in (False, True):
                with self.subTest(size=size, is_chunked=is_chunked):
                    self.check(size, is_chunked)

    def check(self, size, is_chunked):
        events, seen = [], Event()
        sock, client = tcp_pair()

        def record(event, arrived_at=0):
            events.append(type(event))
            if isinstance(event, ResponseSent):
                seen.set()

        body = BodyStream(None if is_chunked else size)
        server = server_stub(record, lambda: 0)
        server.turn_limiter = WaitsAfterTheLastPiece(body, seen)
        handler = DownstreamHandler(sock, server, "")
        gevent.spawn(feed_body, body, size)
        handler.answer(b"", body, False, is_chunked)
        gevent.get_hub().threadpool.apply(read_request, (client, size, is_chunked))
        gevent.sleep(0)
        self.assertEqual(events[-1], ResponseSent)
        self.assertEqual(handler.is_streaming_response, False)
        self.assertEqual(server.turn_limiter.waits, 0)
        sock.close()
        client.close()


class ResetsOfABusyNode(unittest.TestCase):
    """Backends reset connections under requests that they have run; waits of the node are long."""

    BODIES = (0, 70000, 300000, 1100000)  # bytes: at once, kept for a retry (2), streamed

    def setUp(self):
        self.backends = [Backend(f"b{n}", self.serve) for n in range(3)]
        self.discovery = Discovery([each.entry() for each in self.backends])
        self.node = NodeProcess(self.discovery, module="tests.support.slow_turn_node").wait_ready()

    def tearDown(self):
        self.node.close()
        for each in (self.discovery, *self.backends):
            each.close()

    @staticmethod
    def serve(sock, received):
        reset(sock)

    def ask(self, trace_id, size, is_chunked):
        body = bytes(size)
        data = request("/settle", trace_id, body=body)
        if is_chunked:
            data = data.replace(b"Content-Length: %d" % size, b"Transfer-Encoding: chunked")
            head, _, _ = data.partition(b"\r\n\r\n")
            chunks = [body[start : start + 50000] for start in range(0, size, 50000)]
            data = head + b"\r\n\r\n"
            data += b"".join(b"%x\r\n%s\r\n" % (len(each), each) for each in chunks)
            data += b"0\r\n\r\n"
        client = Client(self.node.place, LIMIT_S)
        with contextlib.closing(client):
            return client.send(data).answer().status

    def test_request_that_ran_is_not_refused_as_harmless_to_repeat(self):
        """Guards against one-shot requests that run twice as their clients try again (review/6)."""
        cases = [
            (f"settle-{size}-{is_chunked}", size, is_chunked)
            for size in self.BODIES
            for is_chunked in (False, True)
        ]
        with ThreadPoolExecutor(len(cases)) as pool:
            statuses = list(pool.map(lambda case: self.ask(*case), cases))
        ran = [trace_id for backend in self.backends for trace_id in backend.ids()]
        for (trace_id, *_), status in zip(cases, statuses, strict=True):
            with self.subTest(trace_id):
                self.assertEqual(ran.count(trace_id), 1)
                self.assertEqual(status, 504)
