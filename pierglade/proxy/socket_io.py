"""Socket operations shared by the downstream, the upstream and the management side."""

import contextlib
import ctypes
import fcntl
import socket
import struct
import sys
import termios

import gevent
from gevent import socket as gevent_socket
from gevent.event import Event

# The socket option's number on Linux, for Python versions that do not define it.
SO_ATTACH_REUSEPORT_CBPF = getattr(socket, "SO_ATTACH_REUSEPORT_CBPF", 51)
# Limit on the kernel's send buffer: with megabytes in it, a slow reader could not be distinguished
# from one that has stopped reading.
SEND_BUFFER_BYTES = 1 << 17
# Receive buffer of a client's connection; the kernel doubles it. Without a limit it grows to
# megabytes, in which the end of a connection can hide behind unread requests.
RECEIVE_BUFFER_BYTES = 1 << 17
CLOSED_STATES = (7, 8)  # TCP_CLOSE, TCP_CLOSE_WAIT: the first byte of tcp_info, since Linux 2.4
BPF_RETURN = 0x06  # BPF_RET | BPF_K, the only instruction of the filter
# Index of the newer of two sockets that share an address. If there is only one socket, the kernel
# chooses that one.
NEWEST_SOCKET = 1


def set_up(sock: socket.socket):
    """Sets the socket options of a new connection."""
    # The connection may have been reset before it was accepted; the next read reports that.
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def send_now(sock: socket.socket, head: bytes, body) -> bytes:
    """Sends without blocking; returns a copy of the bytes that did not fit.

    A copy is needed because the bytes must outlive the buffer that `body` refers to.
    """
    try:
        sent = sock.sendmsg([head, body], (), socket.MSG_DONTWAIT)
    except BlockingIOError:
        sent = 0
    if sent == len(head) + len(body):
        return b""
    return (head + bytes(body))[sent:]


def wait_writable(sock):
    """Waits until the socket is writable; raises OSError if it is closed during the wait.

    Uses the socket's own watcher: a watcher made for the descriptor's number would outlive the
    socket and watch the next socket with that number.
    """
    sock._wait(sock._write_event)


def stream_body(sock, head: bytes, body, chunked: bool, on_progress, may_end=lambda: True) -> bool:
    """Sends the BodyStream `body` as it is read; calls `on_progress` between its pieces.

    `may_end`: called before the last byte. Returns whether the body was sent to its end, in the
    same turn in which the kernel took its last byte: from then on the peer may act on the message,
    so nothing may wait before the caller records that. `on_progress` may.

    Raises:
        OSError: the connection has ended.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    changed = Event()
    body.wakes.append(changed.set)
    sock.sendall(head)
    while (piece := body.take()) is not None:
        if piece:
            is_last = body.is_complete and not body.pieces and not chunked
            if is_last and not may_end():
                return False
            sock.sendall(b"%x\r\n%s\r\n" % (len(piece), piece) if chunked else piece)
            if is_last:
                return True
            on_progress()
        else:
            changed.clear()
            changed.wait()
    if body.is_aborted or (chunked and not may_end()):
        return False
    if chunked:
        sock.sendall(b"0\r\n\r\n")
    return True


def discard_unsent(sock: socket.socket):
    """Makes closing the socket discard bytes that were written but not sent yet."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def reset(sock: socket.socket):
    """Resets the connection, so that its end is not taken for the end of a message."""
    discard_unsent(sock)
    sock.close()


def handle_first(sock: socket.socket):
    """Lets what arrives at a socket be handled before what else arrived; called before its use."""
    sock._read_event.priority = gevent.get_hub().loop.MAXPRI


def is_readable(sock: socket.socket) -> bool:
    """Returns whether data or the end of the stream has arrived and was not read yet."""
    try:
        sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True


def unacknowledged_bytes(sock: socket.socket) -> int:
    """Returns the bytes that were written but not acknowledged by the peer's kernel.

    0 if the kernel does not tell.
    """
    count = bytearray(4)
    try:
        fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, count)  # SIOCOUTQ has the same number
    except OSError:
        return 0
    return int.from_bytes(count, sys.byteorder)


def unread_bytes(sock: socket.socket) -> int:
    """Returns the bytes that the kernel has received and were not read; 0 if it does not tell."""
    count = bytearray(4)
    try:
        fcntl.ioctl(sock.fileno(), termios.FIONREAD, count)
    except OSError:
        return 0
    return int.from_bytes(count, sys.byteorder)


def peer_has_closed(sock: socket.socket) -> bool:
    """Returns whether the peer has closed the connection, even if unread bytes come before that."""
    try:
        return sock._sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] in CLOSED_STATES
    except OSError:
        pass  # TCP_INFO is not supported: an end of stream behind unread bytes is not seen.
    try:
        return not sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True


def wait_readable(sock):
    """Waits until the socket is readable; raises OSError if it is closed during the wait."""
    sock._wait(sock._read_event)


def close_now(sock: socket.socket):
    """Ends the connection at once, as gevent closes the descriptor only in the next turn."""
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
    sock.close()


def listen(address: str, backlog: int) -> socket.socket:
    """Returns a socket that listens at host:port; raises OSError."""
    sock = bind_socket(address)
    sock.listen(backlog)
    return sock


def bind_socket(address: str, shared: bool = False) -> socket.socket:
    """Returns a socket bound to host:port; `shared`: a second process may bind the address too."""
    name, _, port = address.rpartition(":")
    sock = gevent_socket.socket()
    try:
        # Lets a restarted process bind while old connections are still in TIME_WAIT.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            enable_port_sharing(sock)
        sock.bind((name, int(port)))
    except OSError:
        sock.close()
        raise
    return sock


def enable_port_sharing(sock: socket.socket):
    """Lets a second process bind the address.

    If the kernel does not support this, the second process fails because the address is in use.
    """
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)


def route_new_connections_here(sock: socket.socket) -> bool:
    """Directs new connections to the process that listened last; returns whether that worked.

    If the kernel distributed connections at random, some would be queued at a process that stops
    listening, and be reset.
    """
    instruction = ctypes.create_string_buffer(struct.pack("HBBI", BPF_RETURN, 0, 0, NEWEST_SOCKET))
    try:
        sock.setsockopt(
            socket.SOL_SOCKET,
            SO_ATTACH_REUSEPORT_CBPF,
            struct.pack("HP", 1, ctypes.addressof(instruction)),
        )
    except OSError:
        return False
    return True
