"""Bytes that a backend sends on an idle connection are never taken for the answer to the next request."""

import socket
import time
import unittest
from itertools import count
from unittest import mock

import gevent
from gevent.event import Event

from pierglade.proxy.http.reader import CHUNK_LINES_PER_STEP
from pierglade.proxy.state.connections import CloseCause, ConnectionState
from pierglade.proxy.state.events import UnsolicitedBytesReceived, UpstreamClosed
from pierglade.proxy.upstream import UpstreamHandler
from tests.proxy.test_request_written import LIMIT_S, tcp_pair
from tests.support.node_process import Backend, Client, Discovery, NodeProcess, request, respond
from tests.support.scene import StateMachineHarness

CHUNKED = b"HTTP/1.1 200 .\r\nTransfer-Encoding: chunked\r\n\r\n"
REQUEST = b"GET /look HTTP/1.1\r\n\r\n"


class SendsNextRequestInTheWait:
    """A turn limiter: while the reader waits for its turn, the connection gets the next request."""

    def __init__(self):
        self.handler, self.done = None, Event()

    def wait(self):
        if not self.done.is_set():
            self.done.set()
            self.handler.connection.state = ConnectionState.BUSY
            self.handler.write(REQUEST, b"")


class UnsolicitedAnswers(unittest.TestCase):
    def test_request_is_not_written_behind_an_answer_that_is_being_read(self):
        """Guards against serving a second copy of an answer that its reader has not parsed whole."""
        events, limiter = [], SendsNextRequestInTheWait()
        sock, backend = tcp_pair()
        connection = mock.Mock(state=ConnectionState.IDLE)
        connection.attempt.request.caller_context.io.may_have_left_unseen = lambda: False
        limiter.handler = UpstreamHandler(connection, events.append, turn_limiter=limiter)
        limiter.handler.sock.close()
        limiter.handler.sock, limiter.handler.is_reused = sock, True
        limiter.handler._has_no_client = lambda: False
        backend.sendall(CHUNKED + b"1\r\nx\r\n" * CHUNK_LINES_PER_STEP + b"0\r\n\r\n")
        reading = gevent.spawn(limiter.handler.read)
        self.assertTrue(limiter.done.wait(LIMIT_S))
        self.assertIsInstance(events[0], UnsolicitedBytesReceived)
        self.assertIsInstance(events[1], UpstreamClosed)
        self.assertIs(events[1].cause, CloseCause.STALE)
        backend.setblocking(False)
        with self.assertRaises(BlockingIOError):
            backend.recv(1, socket.MSG_PEEK)
        reading.kill()
        sock.close()
        backend.close()


class RestAfterDuplicates(unittest.TestCase):
    def connects_after(self, harness, pause_ms, name):
        """Answers a request, then sends another one; returns whether that opens a connection."""
        harness.send_request(f"{name}-first")
        harness.connect_upstream()
        harness.reply()
        harness.response_sent(f"{name}-first")
        harness.after(pause_ms)
        before = len(harness.links)
        harness.send_request(f"{name}-second")
        return len(harness.links) > before

    def test_connection_rests_for_longer_where_a_backend_sends_duplicates(self):
        """Guards against serving a duplicate that was lost on its way and sent again (review/7)."""
        for pause_ms, is_opened in ((200, True), (290, True), (330, False)):
            harness = StateMachineHarness(["b0"])
            harness.send_request("c0")
            harness.connect_upstream()
            harness.reply()
            harness.response_sent("c0")
            harness.reply()  # the duplicate
            with self.subTest(pause_ms=pause_ms):
                self.assertEqual(self.connects_after(harness, pause_ms, "c1"), is_opened)

    def test_connection_is_reused_as_usual_a_minute_after_the_last_duplicate(self):
        harness = StateMachineHarness(["b0"])
        harness.send_request("c0")
        harness.connect_upstream()
        harness.handle_event(UnsolicitedBytesReceived(harness.links[-1]))
        harness.reply()
        harness.response_sent("c0")
        harness.after(59000)
        self.assertTrue(self.connects_after(harness, 30, "before"))
        harness.after(2000)
        self.assertFalse(self.connects_after(harness, 30, "after"))


class LateDuplicates(unittest.TestCase):
    """A backend sends each third answer again 2 ms later; of these, each second one comes 0.2 s later."""

    REQUESTS, SOON_S, LATE_S = 200, 0.002, 0.2

    def setUp(self):
        self.answered = count(1)
        self.backend = Backend("b0", self.serve)
        self.discovery = Discovery([self.backend.entry()])
        self.node = NodeProcess(self.discovery).wait_ready()

    def tearDown(self):
        for each in (self.node, self.discovery, self.backend):
            each.close()

    def serve(self, sock, received):
        number = next(self.answered)
        respond(sock, received.trace_id.encode())
        if number % 3 == 0:
            time.sleep(self.SOON_S if number % 2 else self.LATE_S)
            respond(sock, received.trace_id.encode())

    def test_each_client_gets_its_own_answer(self):
        """Guards against serving a duplicate that was lost on its way and sent again (review/7)."""
        client, foreign = Client(self.node.place), []
        for number in range(self.REQUESTS):
            answer = client.send(request("/settle", f"id-{number}")).answer()
            if answer.status == 200 and answer.body != b"id-%d" % number:
                foreign.append((number, answer.body))
            time.sleep(0.012)  # A connection is reused as soon as it may be.
        client.close()
        self.assertEqual(foreign, [])
