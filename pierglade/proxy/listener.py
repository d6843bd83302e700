"""The listening socket: accepts every downstream connection, and admits or rejects it."""

import errno

import gevent
from gevent import socket

from pierglade.proxy import socket_io
from pierglade.proxy.downstream import DownstreamHandler
from pierglade.proxy.state.events import ConnectionWaiting

BACKLOG = 4096  # connections in the kernel's queue, which count as accepted
# Connections accepted per turn of the event loop, unless file descriptors are scarce.
MAX_ACCEPTS_PER_TURN = 64
RETRY_DELAY_S = 0.01  # delay after a failed accept, for descriptors to become free
RELEASE_DELAY_S = 0.001  # in which the descriptors of closed connections are released
MAX_FAILURES_AT_CLOSE = 1000  # of accept as the socket is closed; a permanent failure must end
# Failures of one connection, not of this process: the next one is accepted at once.
CONNECTION_ERRORS = (errno.ECONNABORTED, errno.EPROTO, errno.EINTR)
TOO_MANY_CONNECTIONS = (
    b"HTTP/1.1 429 Too Many Requests\r\nRetry-After: 5\r\nContent-Type: text/plain\r\n"
    b"Content-Length: 35\r\nConnection: close\r\n\r\ntoo many connections from this side\n"[:-1]
)


class Listener:
    """Accepts connections at `address` (host:port) and starts a handler for each."""

    def __init__(self, address: str, server):
        self.server = server
        self.sock = socket_io.bind_socket(address, shared=True)
        # Connections inherit the size when they are accepted.
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, socket_io.RECEIVE_BUFFER_BYTES)
        self.open = False

    def address(self) -> str:
        """Returns the host:port that the socket is bound to."""
        name, port = self.sock.getsockname()
        return f"{name}:{port}"

    def listen(self):
        """Starts listening; new connections then go to this process, not to an earlier one."""
        self.sock.listen(BACKLOG)
        self.open = True
        socket_io.route_new_connections_here(self.sock)

    def run(self):
        """Accepts connections until `close` is called."""
        accepted = 0
        while self.open:
            try:
                if not self._max_accepts():
                    accepted = 0
                    self._make_room()
                    continue
                sock, address = self.sock.accept()
            except OSError as error:
                if self.open and error.errno not in CONNECTION_ERRORS:
                    self.server.note("accept_failed", error=error.strerror)
                    gevent.sleep(RETRY_DELAY_S)
                continue
            self._admit(sock, address)
            accepted += 1
            if accepted >= self._max_accepts() or self.server.admission_queue.full():
                # Lets the loop close ended connections before the next one takes a descriptor.
                accepted = 0
                gevent.sleep(0)

    def _max_accepts(self):
        return self.server.state_machine.descriptors.max_new_clients(MAX_ACCEPTS_PER_TURN)

    def _make_room(self):
        """Frees descriptors once a client waits to be accepted; raises OSError at `close`."""
        socket_io.wait_readable(self.sock)
        self.server.handle_event(ConnectionWaiting())
        gevent.sleep(RELEASE_DELAY_S)

    def _admit(self, sock, address):
        if socket_io.peer_has_closed(sock):
            # Nobody reads an answer. Without a handler, a flood of such clients does not fill the
            # kernel's queue, in which others would wait for a second or more.
            self.server.monitor.departed_clients += 1
            return sock.close()
        state_machine = self.server.state_machine
        if state_machine.descriptors.admission is not None and not state_machine.descriptors.admits(
            self.server.clock.now(), address[0]
        ):
            return self._reject(sock)
        handler = DownstreamHandler(sock, self.server, address[0])
        self.server.spawn(handler.run, handler)

    def _reject(self, sock):
        """Sends a fixed response and closes.

        Nothing is read, so a client that has already sent its request may see a reset.
        """
        try:
            sock._sock.send(TOO_MANY_CONNECTIONS, socket.MSG_DONTWAIT)
            sock._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        sock.close()

    def close(self):
        """Stops listening; connections that the kernel has accepted by now are still served."""
        self.open = False
        self.sock.setblocking(False)
        # In a greenlet, as events are applied only after the current one: without them the budget
        # of descriptors would not know how many are in use.
        gevent.spawn(self._accept_rest)

    def _accept_rest(self):
        """Accepts what the kernel has queued, then closes; waits where no descriptor is free."""
        failures = 0
        while failures < MAX_FAILURES_AT_CLOSE:
            if not self._max_accepts():
                self.server.handle_event(ConnectionWaiting())
                gevent.spawn_later(RELEASE_DELAY_S, self._accept_rest)
                return
            try:
                sock, address = self.sock.accept()
            except BlockingIOError:
                break  # No connection is left.
            except OSError:
                # The next connections may be sound, and closing the socket would reset them.
                failures += 1
                continue
            self._admit(sock, address)
        self.sock.close()
