"""The listening socket: accepts every downstream connection, and admits or rejects it."""

import gevent
from gevent import socket

from pierglade.proxy import socket_io as sending
from pierglade.proxy.downstream import DownstreamHandler

BACKLOG = 4096  # connections; whatever the kernel's queue holds counts as accepted
ACCEPTS = 64  # accepted before the loop goes round, where descriptors are not short
PAUSE = 0.01  # s; until descriptors are free again, should accepting fail
TOO_MANY_CONNECTIONS = (
    b"HTTP/1.1 429 Too Many Requests\r\nRetry-After: 5\r\nContent-Type: text/plain\r\n"
    b"Content-Length: 35\r\nConnection: close\r\n\r\ntoo many connections from this side\n"[:-1]
)


class Listener:
    """Accepts connections at `address` (host:port) and starts a handler for each."""

    def __init__(self, address: str, host):
        self.host = host
        self.sock = sending.bound(address, shared=True)
        self.open = False

    def address(self) -> str:
        """Returns the host:port that it is bound to."""
        host, port = self.sock.getsockname()
        return f"{host}:{port}"

    def listen(self):
        """Starts listening; new connections come here rather than to an earlier process."""
        self.sock.listen(BACKLOG)
        self.open = True
        sending.steer_here(self.sock)

    def run(self):
        """Accepts until `close`."""
        taken = 0
        while self.open:
            try:
                sock, address = self.sock.accept()
            except OSError as fault:
                if self.open:
                    self.host.note("accept_failed", error=fault.strerror)
                    gevent.sleep(PAUSE)
                continue
            self._admit(sock, address)
            taken += 1
            if (
                taken >= self.host.reducer.descriptors.acceptable(ACCEPTS)
                or self.host.admission_queue.full()
            ):
                # Lets the loop close what has ended before the next one takes a descriptor.
                taken = 0
                gevent.sleep(0)

    def _admit(self, sock, address):
        reducer = self.host.reducer
        if reducer.descriptors.admission is not None and not reducer.descriptors.admits(
            self.host.clock.now(), address[0]
        ):
            return self._reject(sock)
        handler = DownstreamHandler(sock, self.host, address[0])
        self.host.spawn(handler.run, handler)

    def _reject(self, sock):
        """Sends a fixed response; nothing is read, so a client that has sent may see a reset."""
        try:
            sock._sock.send(TOO_MANY_CONNECTIONS, socket.MSG_DONTWAIT)
            sock._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        sock.close()

    def close(self):
        """Stops listening; what the kernel has accepted by now is still served."""
        self.open = False
        self.sock.setblocking(False)
        while True:
            try:
                sock, address = self.sock.accept()
            except OSError:
                break
            self._admit(sock, address)
        self.sock.close()
