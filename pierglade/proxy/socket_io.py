"""What all connections do with a socket."""

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


def set_up(sock):
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except OSError:
        pass  # It was reset before it was accepted: whoever reads it finds that out.


def send_now(sock, head, body):
    """Sends without waiting; what did not fit is returned, copied, as it must outlive its buffer."""
    try:
        sent = sock.sendmsg([head, body], (), socket.MSG_DONTWAIT)
    except BlockingIOError:
        sent = 0
    if sent == len(head) + len(body):
        return b""
    return (head + bytes(body))[sent:]


def until_writable(sock):
    """Waits until some more may be written; raises OSError where the socket is closed meanwhile.

    By the socket's own watcher: one made for its number would outlive it, and wait for whoever has that next.
    """
    sock._wait(sock._write_event)


def pass_on(sock, head, flow, chunked, passed):
    """Writes a body as it comes, `passed` told of each piece; raises OSError where the connection ends."""
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


def forget(sock):
    """As it is closed, what was written and has not gone yet is thrown away."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except OSError:
        pass


def reset(sock):
    """Ends the connection so that nobody takes it for the end of what was written."""
    forget(sock)
    sock.close()


def waiting(sock):
    """Whether something has come, an end included, that was not read yet."""
    try:
        sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True


def ended(sock):
    """Whether the other side has ended the connection, also where what it sent before is not read yet."""
    try:
        return sock._sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] in ENDED_STATES
    except OSError:
        pass  # Where the system does not tell, an end behind something unread is not seen.
    try:
        return not sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True


def hang_up(sock):
    """Ends the connection at once: gevent closes the descriptor only on its loop's next turn."""
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    sock.close()


def listen(address, queue):
    sock = bound(address)
    sock.listen(queue)
    return sock


def bound(address, shared=False):
    """A socket at this address; `shared`: a second process may listen beside it."""
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


def share(sock):
    """Where the system cannot, a second process finds the address taken, and says so."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    except OSError:
        pass


def steer_here(sock):
    """New connections come to whoever listened last; whether the kernel does so.

    Dealt out by chance, some would stand in the queue of a process that closes its door, and be reset.
    """
    step = ctypes.create_string_buffer(struct.pack("HBBI", RETURN, 0, 0, NEWEST))
    try:
        sock.setsockopt(
            socket.SOL_SOCKET, REUSEPORT_FILTER, struct.pack("HP", 1, ctypes.addressof(step))
        )
    except OSError:
        return False
    return True
