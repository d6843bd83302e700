"""Writes responses to the socket of a downstream connection."""

from typing import Protocol

import gevent
from gevent import socket

from pierglade.proxy import socket_io
from pierglade.proxy.http.body_stream import BodyStream, ProgressReports


class ResponseListener(Protocol):
    """The handler of the connection, which learns what became of a response."""

    def response_progressed(self) -> None:
        """Handles that part of a streamed response was written."""

    def response_written(self, close_after: bool) -> None:
        """Handles that a response was written; `close_after`: as for `ResponseWriter.write`."""

    def client_lost(self, reason: str) -> None:
        """Handles that the connection has ended before the response was written."""


class ResponseWriter:
    """Writes one response after the other; a greenlet writes what the kernel does not take at once.

    `server`: the ProxyServer, for its budget, turn limiter and release of descriptors.
    """

    __slots__ = ("is_streaming", "listener", "server", "sock")

    def __init__(self, sock: socket.socket, server, listener: ResponseListener):
        self.sock, self.server, self.listener = sock, server, listener
        self.is_streaming = False  # a response is being streamed and is not complete

    def write(self, head: bytes, body, close_after: bool, chunked: bool):
        """Writes a response.

        `body`: bytes or a BodyStream. `close_after`: whether the connection ends after it.
        """
        if isinstance(body, BodyStream):
            self.is_streaming = True
            gevent.spawn(self._stream_body, head, body, close_after, chunked)
            return
        try:
            unsent = socket_io.send_now(self.sock, head, body)
        except OSError as error:
            # Reported here, as the reading greenlet may be waiting for this response and would
            # detect the failure only at its timeout.
            return self.listener.client_lost(f"connection lost: {error.strerror}")
        if unsent:
            gevent.spawn(self._write_rest, unsent, close_after)
        else:
            self.listener.response_written(close_after)

    def _write_rest(self, unsent, close_after):
        self.server.budget.force(len(unsent))
        try:
            self.sock.sendall(unsent)
        except OSError as error:
            return self.listener.client_lost(f"connection lost: {error.strerror}")
        finally:
            self.server.budget.release(len(unsent))
        self.listener.response_written(close_after)

    def _stream_body(self, head, body, close_after, chunked):
        """Streams a response; if it is aborted, resets the connection to show it is incomplete."""
        progress = ProgressReports()

        def piece_sent():
            if progress.is_due():
                self.listener.response_progressed()
            self.server.turn_limiter.wait_if_busy()

        try:
            socket_io.stream_body(self.sock, head, body, chunked, piece_sent)
        except OSError:
            body.abort_body()
        if body.is_aborted:
            self.server.descriptor_release.close(self.sock, socket_io.reset)
            self.listener.client_lost("response aborted before its end")
        else:
            self.is_streaming = False
            self.listener.response_written(close_after)

    def close(self):
        """Ends the connection; a response that is being streamed must not look complete."""
        close = socket_io.reset if self.is_streaming else socket_io.close_now
        self.server.descriptor_release.close(self.sock, close)
