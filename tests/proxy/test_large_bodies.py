"""Bodies too large to buffer: streamed both ways through a bounded window, never cut as if whole."""

import socket
import threading
import time
import unittest
from unittest import mock

import gevent

from pierglade.model.request import Idempotency, RequestClass
from pierglade.proxy.http import body_stream, reader
from pierglade.proxy.state.connections import CloseCause
from pierglade.proxy.state.events import (
    BodyReceived,
    ClientDisconnected,
    RequestReceived,
    RequestStarted,
    ResponseCompleted,
    ResponsePartReceived,
    ResponseProgressed,
    ResponseReceived,
    TimerFired,
)
from pierglade.proxy.upstream import UpstreamHandler
from tests.proxy import test_sockets as test_net
from tests.support.scene import MS, StateMachineHarness, TraceTest, message


def upload(harness, name, size=None, path="/pay", left=1000):
    """Sends a request whose body is still being received; returns its BodyStream."""
    harness.open(name)
    received = message(
        f"POST {path} HTTP/1.1\r\nHost: h\r\nX-Trace-Id: {name}\r\n"
        f"X-Expires-In-Ms: {left}\r\n\r\n".encode()
    )
    received.body_stream = body_stream.BodyStream(size)
    received.body_stream.add(b"x" * 100)
    received.body_stream.awaited_from = 0  # the client is still sending, and its reader waits
    harness.handle_event(RequestReceived(harness.clients[name], received))
    return received.body_stream


def download(harness, status=200, size=None):
    """Sends a response whose body is still being received; returns its BodyStream."""
    received = message(
        f"HTTP/1.1 {status} .\r\nContent-Length: 0\r\n\r\n".encode(), reader.ResponseReader
    )
    received.body_stream = body_stream.BodyStream(size)
    harness.handle_event(ResponseReceived(harness.links[-1], received))
    return received.body_stream


class BodyWindow(unittest.TestCase):
    def test_window_blocks_the_reader_and_the_writer(self):
        wake_ups = []
        body = body_stream.BodyStream(None, lambda: wake_ups.append(1))
        body.add(b"x" * body_stream.WINDOW)
        self.assertTrue(body.full())
        self.assertFalse(body.is_not_repeatable())
        self.assertEqual(len(body.take()), body_stream.WINDOW)
        self.assertEqual((body.full(), body.is_not_repeatable(), body.take()), (False, True, b""))
        body.finish()
        self.assertIsNone(body.take())
        other_body = body_stream.BodyStream(9)
        other_body.add(b"four")
        other_body.abort_body()
        self.assertEqual(
            (other_body.take(), other_body.is_not_repeatable(), len(wake_ups)), (None, True, 3)
        )

    def test_buffer_budget_is_shared(self):
        budget = body_stream.BufferBudget(10)
        self.assertEqual(
            [budget.reserve(6), budget.reserve(6), budget.reserve(2, 0.5)], [True, False, False]
        )
        budget.release(6)
        self.assertTrue(budget.reserve(10))


class Uploads(TraceTest):
    def test_request_time_begins_with_the_last_byte(self):
        """However long the upload takes, the backend is not late; then the whole timeout is left."""
        harness = StateMachineHarness(["b0"])
        body = upload(harness, "c0", 500)
        harness.connect_upstream()
        for _ in range(6):
            harness.after(900)
            body.add(b"x" * 70000)
            body.take()
            harness.handle_event(BodyReceived(harness.clients["c0"]))
        body.finish()
        body.incomplete_at = harness.now
        harness.handle_event(BodyReceived(harness.clients["c0"]))
        harness.record("whole")
        harness.after(1500)
        self.check(
            "large_upload", [line for line in harness.lines if "endpoints_updated" not in line]
        )

    def test_partly_sent_body_is_not_sent_again(self):
        """If the backend did not execute it, the request is rejected; after its last byte, an
        unsafe request fails.
        """
        lines = []
        for whole in (False, True):
            for failure in ("lose", "reply"):
                harness = StateMachineHarness(["b0", "b1"])
                body = upload(harness, "c0")
                harness.connect_upstream()
                body.take()
                if whole:
                    body.finish()
                    harness.handle_event(BodyReceived(harness.clients["c0"]))
                harness.lines = [f"whole {whole}, {failure}"]
                harness.lose(whole=whole) if failure == "lose" else harness.reply(
                    503, "X-Never-Ran: 1\r\n"
                )
                lines += harness.lines
        self.check("large_lost", lines)

    def test_body_buffered_whole_is_sent_again(self):
        harness = StateMachineHarness(["b0", "b1"])
        body = upload(harness, "c0")
        body.finish()
        harness.handle_event(BodyReceived(harness.clients["c0"]))
        harness.connect_upstream()
        harness.lose(whole=False)
        harness.connect_upstream()
        self.check(
            "large_again", [line for line in harness.lines if "endpoints_updated" not in line]
        )

    def test_client_disconnects_where_attempts_may_not_be_cancelled(self):
        """Its connection would wait an hour for the rest of the body; the backend is not to blame."""
        lines, answered_connection = [], mock.Mock(attempt=None)
        for connection in (mock.Mock(), answered_connection):
            ours, theirs = socket.socketpair()
            handler = UpstreamHandler(
                connection, lambda event: lines.append(f"{type(event).__name__} {event[1:]}")
            )
            handler.sock.close()
            handler.sock = gevent.socket.socket(fileno=ours.detach())
            body = body_stream.BodyStream(500)
            body.add(b"x")
            writing = gevent.spawn(handler._write_body_stream, b"", body)
            gevent.sleep(0)
            body.abort_body()
            writing.join()
            lines.append(f"whole {handler.is_request_written}")
            handler.sock.close()
            theirs.close()
        harness = StateMachineHarness(["b0"], may_cancel=False)
        upload(harness, "c0")
        harness.connect_upstream()
        harness.handle_event(ClientDisconnected(harness.clients["c0"], "client closed"))
        harness.lose(CloseCause.CLIENT_GONE, whole=False)
        harness.record(
            f"open connections {harness.state_machine.descriptors.open_count}, attempts in flight {len(harness.state_machine.attempts.connections)}, {harness.state_machine.balancers.current.ejections.reason}, "
            f"errors {harness.state_machine.balancers.current.outliers.error_rate}"
        )
        self.check("large_left", lines + harness.lines)

    def test_stalled_client_and_stalled_backend(self):
        lines = []
        for reads in (True, False):
            harness = StateMachineHarness(["b0"])
            body = upload(harness, "c0")
            harness.connect_upstream()
            if reads:
                body.take()
            else:
                body.add(b"x" * body_stream.WINDOW)
                body.incomplete_at, body.awaited_from = harness.now, None  # reading is paused
            harness.lines = [f"backend reads the body {reads}"]
            harness.after(5000)
            lines += [
                line
                for line in harness.lines
                if "connect " not in line.lower()
                and "health_checks=" not in line
                and "probe" not in line
            ]
        self.check("large_stands", lines)

    def test_slow_client_at_a_sufficient_rate(self):
        """A flood of half requests differs from slow clients by its rate."""
        harness = StateMachineHarness(["b0"])
        for name, size in (("slow", 16000), ("half", 10)):
            harness.open(name)
            received = 0
            for _ in range(16):
                received += size
                harness.handle_event(RequestStarted(harness.clients[name], received))
                harness.after(250)
            harness.record(f"{name}: {harness.clients[name].state}")
        self.check("large_slow", harness.lines)


class Downloads(TraceTest):
    def test_response_is_streamed(self):
        lines = []
        for size in (None, 9):
            harness = StateMachineHarness(["b0"])
            harness.send_request("c0")
            harness.connect_upstream()
            body = download(harness, size=size)
            for _ in range(3):
                harness.after(4900)
                body.add(b"x")
                harness.handle_event(ResponsePartReceived(harness.links[-1]))
                body.take()
                harness.handle_event(ResponseProgressed(harness.clients["c0"]))
            body.finish()
            harness.handle_event(ResponseCompleted(harness.links[-1], True))
            harness.response_sent("c0")
            harness.record(f"link {harness.links[-1].state}, client {harness.clients['c0'].state}")
            lines += harness.lines
        self.check("large_answer", lines)

    def test_slowly_written_response_of_unknown_length(self):
        """Guards against ending such responses before they can be streamed, at over 64 KiB.

        Pauses ended them, and so did the deadline, though they had begun in time.
        """
        lines = []
        for case, pieces in (
            ("large pieces, long pauses", [(0, 16384), (150, 16384)]),
            ("the head alone at first", [(0, 0), (150, 16384), (150, 16384)]),
            ("small pieces, short pauses", [(0, 2048)] + [(30, 2048)] * 40),
            ("small pieces with time left", [(0, 2048)] + [(30, 2048)] * 40),
            ("few bytes", [(0, 5), (90, 5)]),
            ("few bytes, again and again", [(0, 5)] + [(90, 5)] * 20),
            ("a body with a length", [(0, None), (150, None)]),
        ):
            timeout = (3000 if "time left" in case else 1000) * MS
            pay = RequestClass(0, "pay", Idempotency.UNSAFE, "all", 0, 400 * MS, timeout, 8.0)
            harness = StateMachineHarness(["b0"], request_classes=[pay])
            harness.send_request("c0", "/pay", left=timeout // MS)
            harness.connect_upstream()
            harness.after(30)
            harness.lines, size = [case], 0
            for pause, piece in pieces:
                harness.after(pause)
                size = None if piece is None else size + piece
                if not any("link 0" in line for line in harness.lines):
                    harness.handle_event(ResponsePartReceived(harness.links[0], size))
            if not any("StreamResponse" in line for line in harness.lines):
                harness.after(timeout // MS)
            lines += [line for line in harness.lines if line == case or "link 0" in line]
        self.check("large_unsized", lines)

    def test_response_of_unknown_length_is_streamed_past_its_deadline(self):
        """Only its first bytes have to come in time; what is streamed is not cut off."""
        harness = StateMachineHarness(["b0"])
        harness.send_request("c0", "/pay", left=500)
        harness.connect_upstream()
        link = harness.links[-1]
        harness.after(470)
        harness.handle_event(ResponsePartReceived(link, 2048))
        harness.after(25)
        body = download(harness)
        body.add(b"x" * 2048)
        for _ in range(3):
            harness.after(400)
            body.add(b"x" * 2048)
            harness.handle_event(ResponsePartReceived(link))
            body.take()
        body.finish()
        harness.handle_event(ResponseCompleted(link, True))
        self.check("large_unsized_late", harness.lines)

    def test_response_is_streamed_where_the_event_loop_is_late_at_the_deadline(self):
        harness = StateMachineHarness(["b0"])
        harness.send_request("c0", "/pay", left=500)
        harness.connect_upstream()
        harness.after(30)
        harness.handle_event(ResponsePartReceived(harness.links[-1], 0))
        harness.now += 470 * MS  # both timers of the deadline are due in one step
        harness.handle_event(TimerFired())
        download(harness)
        answers = [line for line in harness.lines if "SendResponse" in line]
        self.assertEqual(len(answers), 1)
        self.assertIn("HTTP/1.1 200 OK", answers[0])

    def test_stream_begins_in_the_middle_of_a_response(self):
        """The body is whole, however it ends; none is begun without a final head."""
        chunked = b"HTTP/1.1 200 .\r\nTransfer-Encoding: chunked\r\n\r\n"
        lines = []
        for first, rest in (
            (chunked + b"5\r\nabcde\r\n4\r\nfg", b"hi\r\n0\r\n\r\n"),
            (chunked, b"9\r\nabcdefghi\r\n0\r\n\r\n"),
            (b"HTTP/1.1 200 .\r\n\r\nabc", b"defghi"),
            (b"HTTP/1.1 200 .\r\nContent-Length: 9\r\n\r\nabc", b"defghi"),
            (b"HTTP/1.1 200 .\r\nTransfer-Enc", b"oding: chunked\r\n\r\n"),
            (b"HTTP/1.1 102 .\r\nTransfer-Encoding: chunked\r\n\r\n", b""),
        ):
            responses, body = reader.ResponseReader(), b""
            for data in (first, rest):
                responses.writable()[: len(data)] = data
                responses.filled(len(data))
                if data is first:
                    responses.next()
                    size, begun = responses.unsized_body_bytes(), responses.begin_stream()
                if begun:
                    body += responses.piece()
            ended = responses.body_complete or responses.ended()
            lines.append(f"{size} bytes, begun {begun is not None}: {body.decode()}, ended {ended}")
        self.check("large_unsized_reader", lines)

    def test_stalled_response(self):
        """The backend stops, the client reads nothing, one of them disconnects, or no client waits."""
        lines = []
        for case in (
            "backend stops",
            "client reads nothing",
            "client disconnects",
            "backend disconnects",
            "server error",
        ):
            harness = StateMachineHarness(["b0"])
            harness.send_request("c0")
            harness.connect_upstream()
            body = download(harness, 500 if case == "server error" else 200)
            if case == "client reads nothing":
                body.add(b"x" * body_stream.WINDOW)
            harness.lines = [case]
            if case == "client disconnects":
                harness.handle_event(ClientDisconnected(harness.clients["c0"], "client closed"))
            elif case == "backend disconnects":
                harness.lose()
            harness.after(6000)
            lines += [line for line in harness.lines if "counters" not in line]
        self.check("large_stalled", lines)


class LargeBodiesOnSockets(test_net.Sockets):
    """32 MB bodies both ways through a node that may buffer a few, read slowly; one ends early."""

    test_serves_and_stops = test_reload_moves_discovery = None
    test_settings_reload_while_clients_send_requests = None
    test_unsafe_request_in_flight_keeps_its_settings = None
    SIZE = 32_000_000
    HEAD = b"%s HTTP/1.1\r\n" + test_net.HOST + b"X-Trace-Id: %s\r\n"

    def serve(self, message):
        if b"counted" in message.url:
            return test_net.answer(200, bytes(self.SIZE))
        if b"chunked" in message.url:
            piece = b"%x\r\n%s\r\n" % (self.SIZE // 4, bytes(self.SIZE // 4))
            return (
                b"HTTP/1.1 200 .\r\nTransfer-Encoding: chunked\r\n\r\n" + piece * 4 + b"0\r\n\r\n"
            )
        if b"slow" in message.url:
            return self.slowly(*((16384, 0.15, 6) if b"wide" in message.url else (2048, 0.03, 40)))
        if b"short" in message.url:
            return test_net.answer(200, bytes(self.SIZE))[: self.SIZE // 2]
        return test_net.answer(200, b"%d" % message.body_stream)

    def slowly(self, size, pause_s, count):
        """Yields a chunked response, `pause_s` between its head and each chunk of `size` bytes."""
        yield test_net.CHUNKED
        for _ in range(count):
            time.sleep(pause_s)
            yield b"%x\r\n%s\r\n" % (size, bytes(size))
        yield b"0\r\n\r\n"

    def fetch(self, path, body=(), headers=b""):
        """Returns status, body size and body in chunks of the response, or "reset"."""
        data = bytearray()
        with socket.create_connection(self.place, 20) as sock:
            sock.sendall(
                self.HEAD % (path, path.split(b"/")[-1]) + headers + b"Connection: close\r\n\r\n"
            )
            for piece in body:
                sock.sendall(piece)
            try:
                while piece := sock.recv(65536):
                    data += piece
            except ConnectionResetError:
                return "reset"
        head, _, rest = bytes(data).partition(b"\r\n\r\n")
        chunk_bytes = position = 0
        if b"chunked" in head:
            while size := int(rest[position : (end := rest.index(b"\r\n", position))], 16):
                chunk_bytes, position = chunk_bytes + size, end + size + 4
            rest = rest[position:]
        return f"{head.split()[1].decode()} {len(rest)} {rest[:8]}, {chunk_bytes} in chunks"

    def test_slowly_written_chunked_responses(self):
        """Guards against cutting off chunked responses over 64 KiB that take a second to write."""
        lines = []
        requests = (b"GET /look/slow-wide", b"GET /look/slow", b"POST /pay/slow-wide-1")
        clients = [
            threading.Thread(
                target=lambda path=path: lines.append(
                    (path, self.fetch(path, headers=b"X-Expires-In-Ms: 1000\r\n"))
                )
            )
            for path in requests
        ]
        for client in clients:
            client.start()
        for client in clients:
            client.join(60)
        self.check("large_slowly", [f"{path.decode()}: {text}" for path, text in sorted(lines)])

    def test_32_mb_both_ways(self):
        lines, chunk = [], b"8000\r\n" + bytes(0x8000) + b"\r\n"
        early_end = []  # it stalls in the middle, until the proxy closes it
        cut_client = threading.Thread(
            target=lambda: early_end.append(self.fetch(b"GET /look/short"))
        )
        cut_client.start()
        lines += [
            self.fetch(b"GET /look/counted"),
            self.fetch(b"GET /look/chunked"),
            self.fetch(
                b"POST /pay/up",
                [bytes(1000)] * (self.SIZE // 1000),
                b"Content-Length: %d\r\n" % self.SIZE,
            ),
            self.fetch(
                b"POST /pay/chunks",
                [chunk] * 1000 + [b"0\r\n\r\n"],
                b"Transfer-Encoding: chunked\r\n",
            ),
        ]
        clients = [
            threading.Thread(
                target=lambda n=n: lines.append(self.fetch(b"GET /look/counted-%d" % n))
            )
            for n in range(8)
        ]
        for client in clients:
            client.start()
        for client in (cut_client, *clients):
            client.join(60)
        lines[2:2] = early_end
        with open(f"/proc/{self.node.pid}/status") as file:
            peak = next(int(line.split()[1]) for line in file if line.startswith("VmHWM"))
        lines.append(f"peak memory below 64 MB {peak < 64 << 10}")
        self.check("large_sockets", lines)
