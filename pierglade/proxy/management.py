"""The management address: one request a connection, served independently of client load."""

from collections import deque

import gevent
from gevent import socket

from pierglade.proxy import socket_io as sending
from pierglade.proxy.http.message import answer_head
from pierglade.proxy.http.reader import ProtocolError, RequestReader
from pierglade.proxy.state.events import ManagementCall

MAX_CONNECTIONS = 8  # at once; each holds a descriptor, and staff request one by one
QUEUE = 64  # connections that the kernel holds until then
WHOLE_IN = 2.0  # s; from connecting to the request's last byte; a real client needs no more
LINGER = 0.5  # s; to close after the response; closed by us with something unread, it would be lost
PAUSE = 0.01  # s; until descriptors are free again, should accepting fail


class ManagementRequest:
    """One request of an operator; the state machine answers it by `reply`."""

    def __init__(self, sock: socket.socket):
        self.sock = sock
        self.requests = RequestReader()
        self.method = self.path = b""

    def read(self) -> bool:
        """Reads the request; returns whether there is one. Malformed ones are answered here."""
        while (message := self._next()) is None:
            count = self.sock.recv_into(self.requests.writable())
            if not count:
                return False
            self.requests.filled(count)
        if message:
            self.method, self.path = message.method, message.url.partition(b"?")[0]
        return bool(message)

    def _next(self):
        try:
            return self.requests.next()
        except ProtocolError as fault:
            self.reply(fault.status, b"not understood\n")
            return False

    def reply(self, status: int, body: bytes, allow: bytes | None = None):
        """Sends the response; `allow`: the value of the Allow header."""
        headers = [(b"Content-Type", b"text/plain")] + ([(b"Allow", allow)] if allow else [])
        try:
            sending.send_now(self.sock, answer_head(status, headers, len(body), True), body)
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            pass  # The client has closed.


class ManagementServer:
    """Listens at `address` (host:port); raises OSError that names it."""

    def __init__(self, address: str, host):
        self.host = host
        try:
            self.sock = sending.listen(address, QUEUE)
        except OSError as fault:
            raise OSError(fault.errno, fault.strerror, address) from None
        self.pending = deque()

    def run(self):
        """Accepts connections for as long as the process runs."""
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                gevent.sleep(PAUSE)
                continue
            if len(self.pending) >= MAX_CONNECTIONS:
                # The oldest incomplete request gives way, or incomplete ones would keep others out.
                sending.hang_up(self.pending.popleft().sock)
            request = ManagementRequest(sock)
            self.pending.append(request)
            self.host.spawn(lambda request=request: self._serve(request))

    def _serve(self, request):
        try:
            with gevent.Timeout(WHOLE_IN, False):
                if request.read():
                    self.host.tell(ManagementCall(request))
            with gevent.Timeout(LINGER, False):
                while request.sock.recv(4096):
                    pass
        except OSError:
            pass
        finally:
            request.requests.drop()
            if request in self.pending:
                self.pending.remove(request)
            sending.hang_up(request.sock)
