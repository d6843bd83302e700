"""Bytes that a backend sends on an idle connection are never taken for the answer to the next request."""

import socket
import unittest
from unittest import mock

import gevent
from gevent.event import Event

from pierglade.proxy.http.reader import CHUNK_LINES_PER_STEP
from pierglade.proxy.state.connections import CloseCause, ConnectionState
from pierglade.proxy.state.events import UpstreamClosed
from pierglade.proxy.upstream import UpstreamHandler
from tests.proxy.test_request_written import LIMIT_S, tcp_pair

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
        self.assertIsInstance(events[0], UpstreamClosed)
        self.assertIs(events[0].cause, CloseCause.STALE)
        backend.setblocking(False)
        with self.assertRaises(BlockingIOError):
            backend.recv(1, socket.MSG_PEEK)
        reading.kill()
        sock.close()
        backend.close()
