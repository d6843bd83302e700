"""The management address: one request per connection, served independently of client load."""

from collections import deque

import gevent
from gevent import socket

from pierglade.proxy import socket_io
from pierglade.proxy.http.message import response_head
from pierglade.proxy.http.reader import ProtocolError, RequestReader
from pierglade.proxy.state.events import ManagementCall

MAX_CONNECTIONS = 8  # open at once; each uses a descriptor, and operators send requests one by one
BACKLOG = 64  # connections that the kernel queues until they are accepted
REQUEST_TIMEOUT_S = 2.0  # time from connecting to the last byte of the request
# Time that the client has to close the connection after the response. If this side closed it first,
# with data unread, the response would be lost.
LINGER_S = 0.5
RETRY_DELAY_S = 0.01  # delay after a failed accept, for descriptors to become free


class ManagementRequest:
    """One request of an operator; the state machine answers it with `reply`."""

    def __init__(self, sock: socket.socket):
        self.sock = sock
        self.reader = RequestReader()
        self.method = self.path = b""

    def read(self) -> bool:
        """Reads the request; returns whether one was read. A malformed one is answered here."""
        while (message := self._next_message()) is None:
            count = self.sock.recv_into(self.reader.writable())
            if not count:
                return False
            self.reader.filled(count)
        if message:
            self.method, self.path = message.method, message.url.partition(b"?")[0]
        return bool(message)

    def _next_message(self):
        try:
            return self.reader.next()
        except ProtocolError as error:
            self.reply(error.status, b"not understood\n")
            return False

    def reply(self, status: int, body: bytes, allow: bytes | None = None):
        """Sends the response; `allow`: the value of the Allow header, where there is one."""
        headers = [(b"Content-Type", b"text/plain")] + ([(b"Allow", allow)] if allow else [])
        try:
            socket_io.send_now(self.sock, response_head(status, headers, len(body), True), body)
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            pass  # The client has closed the connection.


class ManagementServer:
    """Listens at `address` (host:port).

    Raises:
        OSError: the address cannot be bound; `filename` is the address.
    """

    def __init__(self, address: str, server):
        self.server = server
        try:
            self.sock = socket_io.listen(address, BACKLOG)
        except OSError as error:
            raise OSError(error.errno, error.strerror, address) from None
        self.pending = deque()

    def run(self):
        """Accepts connections until the process ends."""
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                gevent.sleep(RETRY_DELAY_S)
                continue
            if len(self.pending) >= MAX_CONNECTIONS:
                # The oldest connection is closed, so that incomplete requests do not block others.
                socket_io.close_now(self.pending.popleft().sock)
            request = ManagementRequest(sock)
            self.pending.append(request)
            self.server.spawn(lambda request=request: self._serve(request))

    def _serve(self, request):
        try:
            with gevent.Timeout(REQUEST_TIMEOUT_S, False):
                if request.read():
                    self.server.handle_event(ManagementCall(request))
            with gevent.Timeout(LINGER_S, False):
                while request.sock.recv(4096):
                    pass
        except OSError:
            pass
        finally:
            request.reader.drop()
            if request in self.pending:
                self.pending.remove(request)
            socket_io.close_now(request.sock)
