"""Socket operations that both sides share."""

import contextlib
import ctypes
import socket
import struct

from gevent import socket as waiting_socket
from gevent.event import Event

REUSEPORT_FILTER = getattr(
    socket, "SO_ATTACH_REUSEPORT_CBPF", 51
)  # its number on Linux; Python has no name
SENT_AHEAD = (
    1 << 17
)  # bytes; with megabytes in the kernel nobody could tell whether a slow reader goes on
ENDED_STATES = (7, 8)  # TCP_CLOSE, TCP_CLOSE_WAIT: the first byte of tcp_info, since Linux 2.4
RETURN = 0x06  # BPF_RET | BPF_K, a filter's one step
NEWEST = (
    1  # place in the group of two that share an address; where there is one, the kernel takes it
)


def set_up(sock: socket.socket):
    """Sets the options of a new connection."""
    # It may have been reset before it was accepted: the reader finds that out.
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def send_now(sock: socket.socket, head: bytes, body) -> bytes:
    """Sends without blocking; returns a copy (it must outlive its buffer) of what did not fit."""
    try:
        sent = sock.sendmsg([head, body], (), socket.MSG_DONTWAIT)
    except BlockingIOError:
        sent = 0
    if sent == len(head) + len(body):
        return b""
    return (head + bytes(body))[sent:]


def wait_writable(sock):
    """Waits until some more may be written; raises OSError where the socket is closed meanwhile.

    By the socket's own watcher: one made for its number would outlive it, and watch the next socket
    of that number.
    """
    sock._wait(sock._write_event)


def stream_body(sock, head: bytes, flow, chunked: bool, passed):
    """Sends a BodyStream as it is read; calls `passed` after each piece.

    Raises:
        OSError: the connection has ended.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SENT_AHEAD)
    came = Event()
    flow.wakes.append(came.set)
    sock.sendall(head)
    while (piece := flow.take()) is not None:
        if piece:
            sock.sendall(b"%x\r\n%s\r\n" % (len(piece), piece) if chunked else piece)
            passed()
        else:
            came.clear()
            came.wait()
    if chunked and not flow.broken:
        sock.sendall(b"0\r\n\r\n")


def discard_unsent(sock: socket.socket):
    """Makes closing it discard what was written and is not sent yet."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def reset(sock: socket.socket):
    """Resets the connection, so that its end does not pass for the end of a message."""
    discard_unsent(sock)
    sock.close()


def is_readable(sock: socket.socket) -> bool:
    """Whether something, an end included, has arrived and was not read yet."""
    try:
        sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True


def peer_has_closed(sock: socket.socket) -> bool:
    """Whether the peer has closed the connection, also behind bytes that were not read yet."""
    try:
        return sock._sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] in ENDED_STATES
    except OSError:
        pass  # Not supported here: an end behind unread bytes is not seen.
    try:
        return not sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True


def hang_up(sock: socket.socket):
    """Closes the connection at once: gevent closes the descriptor only on its loop's next turn."""
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
    sock.close()


def listen(address: str, queue: int) -> socket.socket:
    """Returns a listening socket; raises OSError."""
    sock = bound(address)
    sock.listen(queue)
    return sock


def bound(address: str, shared: bool = False) -> socket.socket:
    """Returns a socket bound to host:port; `shared`: a second process may listen beside it."""
    name, _, port = address.rpartition(":")
    sock = waiting_socket.socket()
    try:
        # A restart must not wait for what is left of the connections before it.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            share(sock)
        sock.bind((name, int(port)))
    except OSError:
        sock.close()
        raise
    return sock


def share(sock: socket.socket):
    """Lets a second process bind the address; where that is not supported, it finds it in use."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)


def steer_here(sock: socket.socket) -> bool:
    """Directs new connections to the process that listened last; returns whether that worked.

    Distributed at random, some would be queued at a process that stops listening, and be reset.
    """
    step = ctypes.create_string_buffer(struct.pack("HBBI", RETURN, 0, 0, NEWEST))
    try:
        sock.setsockopt(
            socket.SOL_SOCKET, REUSEPORT_FILTER, struct.pack("HP", 1, ctypes.addressof(step))
        )
    except OSError:
        return False
    return True
