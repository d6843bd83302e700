"""Where operators call: a second address, one call to a connection, answered beside whatever clients do."""

from collections import deque

import gevent
from gevent import socket

from pierglade.proxy import socket_io as sending
from pierglade.proxy.http.message import Malformed, Requests, answer_head
from pierglade.proxy.state.events import ManagementCall

CALLS = 8  # connections at once; each holds a descriptor, and staff call one by one
QUEUE = 64  # connections that the kernel holds until then
WHOLE_IN = 2.0  # s; from connecting to the call's last byte; who calls in earnest needs no more
UNHEARD = (
    0.5  # s; to go away after the answer; closed at once with something unread, it would be lost
)
PAUSE = 0.01  # s; until descriptors are free again, should accepting fail


class Call:
    """One call. `reply` is the reducer's answer."""

    def __init__(self, sock):
        self.sock = sock
        self.requests = Requests()
        self.method = self.path = b""

    def read(self):
        """Reads the call; whether there is one. What is no HTTP is answered here."""
        while (message := self._next()) is None:
            count = self.sock.recv_into(self.requests.room())
            if not count:
                return False
            self.requests.filled(count)
        if message:
            self.method, self.path = message.method, message.url.partition(b"?")[0]
        return bool(message)

    def _next(self):
        try:
            return self.requests.next()
        except Malformed as fault:
            self.reply(fault.status, b"not understood\n")
            return False

    def reply(self, status, body, allow=None):
        headers = [(b"Content-Type", b"text/plain")] + ([(b"Allow", allow)] if allow else [])
        try:
            sending.send_now(self.sock, answer_head(status, headers, len(body), True), body)
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            pass  # Whoever called is gone.


class Management:
    def __init__(self, address, host):
        self.host = host
        try:
            self.sock = sending.listen(address, QUEUE)
        except OSError as fault:
            raise OSError(fault.errno, fault.strerror, address) from None
        self.calls = deque()

    def run(self):
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                gevent.sleep(PAUSE)
                continue
            if len(self.calls) >= CALLS:
                # Whoever has said nothing whole for longest gives way, or half calls would keep others out.
                sending.hang_up(self.calls.popleft().sock)
            call = Call(sock)
            self.calls.append(call)
            self.host.spawn(lambda call=call: self._serve(call))

    def _serve(self, call):
        try:
            with gevent.Timeout(WHOLE_IN, False):
                if call.read():
                    self.host.tell(ManagementCall(call))
            with gevent.Timeout(UNHEARD, False):
                while call.sock.recv(4096):
                    pass
        except OSError:
            pass
        finally:
            call.requests.drop()
            if call in self.calls:
                self.calls.remove(call)
            sending.hang_up(call.sock)
