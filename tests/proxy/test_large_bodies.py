"""Bodies too large to hold, both ways: passed on through a bounded window, and never cut as if whole."""

import socket
import threading
import unittest
from unittest import mock

import gevent

from pierglade.proxy.http import body_stream as flow
from pierglade.proxy.http import reader
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
)
from pierglade.proxy.upstream import UpstreamHandler
from tests.proxy import test_sockets as test_net
from tests.support.scene import Desk, TraceTest, message


def upload(desk, name, size=None, path="/pay", left=1000):
    """A request whose body is on its way; the flow."""
    desk.open(name)
    taken = message(
        f"POST {path} HTTP/1.1\r\nHost: h\r\nX-Trace-Id: {name}\r\n"
        f"X-Expires-In-Ms: {left}\r\n\r\n".encode()
    )
    taken.flow = flow.BodyStream(size)
    taken.flow.add(b"x" * 100)
    desk.tell(RequestReceived(desk.clients[name], taken))
    return taken.flow


def download(desk, status=200, size=None):
    """An answer whose body is on its way; the flow."""
    taken = message(
        f"HTTP/1.1 {status} .\r\nContent-Length: 0\r\n\r\n".encode(), reader.ResponseReader
    )
    taken.flow = flow.BodyStream(size)
    desk.tell(ResponseReceived(desk.links[-1], taken))
    return taken.flow


class Window(unittest.TestCase):
    def test_whoever_reads_waits_for_whoever_writes(self):
        woken = []
        one = flow.BodyStream(None, lambda: woken.append(1))
        one.add(b"x" * flow.WINDOW)
        self.assertTrue(one.full())
        self.assertFalse(one.spent())
        self.assertEqual(len(one.take()), flow.WINDOW)
        self.assertEqual((one.full(), one.spent(), one.take()), (False, True, b""))
        one.finish()
        self.assertIsNone(one.take())
        other = flow.BodyStream(9)
        other.add(b"four")
        other.break_off()
        self.assertEqual((other.take(), other.spent(), len(woken)), (None, True, 3))

    def test_the_space_is_shared(self):
        space = flow.BufferBudget(10)
        self.assertEqual(
            [space.reserve(6), space.reserve(6), space.reserve(2, 0.5)], [True, False, False]
        )
        space.release(6)
        self.assertTrue(space.reserve(10))


class Uploads(TraceTest):
    def test_the_time_begins_with_the_last_byte(self):
        """However long the body takes, the backend is not late; then the whole limit is left."""
        desk = Desk(["b0"])
        body = upload(desk, "c0", 500)
        desk.up()
        for _ in range(6):
            desk.after(900)
            body.add(b"x" * 70000)
            body.take()
            desk.tell(BodyReceived(desk.clients["c0"]))
        body.finish()
        desk.tell(BodyReceived(desk.clients["c0"]))
        desk.say("whole")
        desk.after(1500)
        self.check("large_upload", [line for line in desk.lines if "endpoints_updated" not in line])

    def test_what_is_gone_is_not_sent_again(self):
        """Known not to have run, it is bounced; with its last byte gone, a one-shot is given up."""
        lines = []
        for whole in (False, True):
            for end in ("lose", "reply"):
                desk = Desk(["b0", "b1"])
                body = upload(desk, "c0")
                desk.up()
                body.take()
                if whole:
                    body.finish()
                    desk.tell(BodyReceived(desk.clients["c0"]))
                desk.lines = [f"whole {whole}, {end}"]
                desk.lose(whole=whole) if end == "lose" else desk.reply(503, "X-Never-Ran: 1\r\n")
                lines += desk.lines
        self.check("large_lost", lines)

    def test_gathered_it_may_be_sent_again(self):
        desk = Desk(["b0", "b1"])
        body = upload(desk, "c0")
        body.finish()
        desk.tell(BodyReceived(desk.clients["c0"]))
        desk.up()
        desk.lose(whole=False)
        desk.up()
        self.check("large_again", [line for line in desk.lines if "endpoints_updated" not in line])

    def test_a_client_that_leaves_where_trips_may_not_be_called_off(self):
        """Its link would wait for the rest of the body for an hour; the backend is not to blame."""
        lines, answered = [], mock.Mock(attempt=None)
        for link in (mock.Mock(), answered):
            ours, theirs = socket.socketpair()
            seat = UpstreamHandler(
                link, lambda event: lines.append(f"{type(event).__name__} {event[1:]}")
            )
            seat.sock.close()
            seat.sock = gevent.socket.socket(fileno=ours.detach())
            body = flow.BodyStream(500)
            body.add(b"x")
            writing = gevent.spawn(seat._write_flow, b"", body)
            gevent.sleep(0)
            body.break_off()
            writing.join()
            lines.append(f"whole {seat.whole}")
            seat.sock.close()
            theirs.close()
        desk = Desk(["b0"], may_cancel=False)
        upload(desk, "c0")
        desk.up()
        desk.tell(ClientDisconnected(desk.clients["c0"], "client closed"))
        desk.lose(CloseCause.CLIENT_GONE, whole=False)
        desk.say(
            f"open {desk.reducer.descriptors.open_count}, out {len(desk.reducer.attempts.connections)}, {desk.reducer.balancers.current.ejections.reason}, "
            f"errors {desk.reducer.balancers.current.outliers.error_rate}"
        )
        self.check("large_left", lines + desk.lines)

    def test_a_sender_that_stops_and_a_backend_that_takes_nothing(self):
        lines = []
        for taken in (True, False):
            desk = Desk(["b0"])
            body = upload(desk, "c0")
            desk.up()
            if taken:
                body.take()
            else:
                body.add(b"x" * flow.WINDOW)
            desk.lines = [f"its bytes are taken {taken}"]
            desk.after(5000)
            lines += [
                line
                for line in desk.lines
                if "connect " not in line.lower()
                and "health_checks=" not in line
                and "probe" not in line
            ]
        self.check("large_stands", lines)

    def test_slow_by_the_clock_and_not_by_its_bytes(self):
        """A flood of half requests is told from slow clients by what comes."""
        desk = Desk(["b0"])
        for name, each in (("slow", 16000), ("half", 10)):
            desk.open(name)
            come = 0
            for _ in range(16):
                come += each
                desk.tell(RequestStarted(desk.clients[name], come))
                desk.after(250)
            desk.say(f"{name}: {desk.clients[name].state}")
        self.check("large_slow", desk.lines)


class Downloads(TraceTest):
    def test_passed_on_as_it_comes(self):
        lines = []
        for size in (None, 9):
            desk = Desk(["b0"])
            desk.ask("c0")
            desk.up()
            body = download(desk, size=size)
            for _ in range(3):
                desk.after(4900)
                body.add(b"x")
                desk.tell(ResponsePartReceived(desk.links[-1]))
                body.take()
                desk.tell(ResponseProgressed(desk.clients["c0"]))
            body.finish()
            desk.tell(ResponseCompleted(desk.links[-1], True))
            desk.taken("c0")
            desk.say(f"link {desk.links[-1].state}, client {desk.clients['c0'].state}")
            lines += desk.lines
        self.check("large_answer", lines)

    def test_it_stands_still(self):
        """A backend that stops, one whose client takes nothing, one that nobody waits for any more."""
        lines = []
        for case in ("stops", "full", "gone", "broken", "lost"):
            desk = Desk(["b0"])
            desk.ask("c0")
            desk.up()
            body = download(desk, 500 if case == "lost" else 200)
            if case == "full":
                body.add(b"x" * flow.WINDOW)
            desk.lines = [case]
            if case == "gone":
                desk.tell(ClientDisconnected(desk.clients["c0"], "client closed"))
            elif case == "broken":
                desk.lose()
            desk.after(6000)
            lines += [line for line in desk.lines if "counters" not in line]
        self.check("large_stalled", lines)


class Pieces(test_net.Sockets):
    """32 MB both ways through a node that may hold a few, taken slowly; and one that ends too early."""

    test_serves_and_stops = test_a_new_configuration_moves_discovery = None
    test_new_settings_are_loaded_and_taken_back_while_clients_ask = None
    test_a_one_shot_that_is_out_keeps_its_rules_and_both_limits_are_in_use = None
    SIZE = 32_000_000
    HEAD = b"%s HTTP/1.1\r\n" + test_net.HOST + b"X-Trace-Id: %s\r\n"

    def serve(self, asked):
        if b"counted" in asked.url:
            return test_net.answer(200, bytes(self.SIZE))
        if b"chunked" in asked.url:
            piece = b"%x\r\n%s\r\n" % (self.SIZE // 4, bytes(self.SIZE // 4))
            return (
                b"HTTP/1.1 200 .\r\nTransfer-Encoding: chunked\r\n\r\n" + piece * 4 + b"0\r\n\r\n"
            )
        if b"short" in asked.url:
            return test_net.answer(200, bytes(self.SIZE))[: self.SIZE // 2]
        return test_net.answer(200, b"%d" % asked.flow)

    def fetch(self, path, body=(), headers=b""):
        """The answer's head, its body's size and whether the connection ended as it may."""
        got = bytearray()
        with socket.create_connection(self.place, 20) as sock:
            sock.sendall(
                self.HEAD % (path, path.split(b"/")[-1]) + headers + b"Connection: close\r\n\r\n"
            )
            for piece in body:
                sock.sendall(piece)
            try:
                while piece := sock.recv(65536):
                    got += piece
            except ConnectionResetError:
                return "reset"
        head, _, rest = bytes(got).partition(b"\r\n\r\n")
        chunks = at = 0
        if b"chunked" in head:
            while size := int(rest[at : (end := rest.index(b"\r\n", at))], 16):
                chunks, at = chunks + size, end + size + 4
            rest = rest[at:]
        return f"{head.split()[1].decode()} {len(rest)} {rest[:8]}, {chunks} in chunks"

    def test_32_mb_both_ways(self):
        lines, chunk = [], b"8000\r\n" + bytes(0x8000) + b"\r\n"
        short = []  # it stands still in the middle, until the node gives it up
        cut = threading.Thread(target=lambda: short.append(self.fetch(b"GET /look/short")))
        cut.start()
        lines += [
            self.fetch(b"GET /look/counted"),
            self.fetch(b"GET /look/chunked"),
            self.fetch(
                b"POST /pay/up",
                [bytes(32000)] * (self.SIZE // 32000),
                b"Content-Length: %d\r\n" % self.SIZE,
            ),
            self.fetch(
                b"POST /pay/chunks",
                [chunk] * 1000 + [b"0\r\n\r\n"],
                b"Transfer-Encoding: chunked\r\n",
            ),
        ]
        askers = [
            threading.Thread(
                target=lambda n=n: lines.append(self.fetch(b"GET /look/counted-%d" % n))
            )
            for n in range(8)
        ]
        for asker in askers:
            asker.start()
        for asker in (cut, *askers):
            asker.join(60)
        lines[2:2] = short
        with open(f"/proc/{self.node.pid}/status") as file:
            peak = next(int(line.split()[1]) for line in file if line.startswith("VmHWM"))
        lines.append(f"never held 64 MB {peak < 64 << 10}")
        self.check("large_sockets", lines)
