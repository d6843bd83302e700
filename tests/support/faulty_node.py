"""`python -m tests.support.faulty_node`: a node whose system calls fail now and then.

$FAULTS is a JSON object: `seed`, and the share of calls that fail, by kind: `accept`, `socket`, `connect`, `full` (connect
finds no buffer or port),
`broken` (reads of connections to backends), `short` (reads and writes that are cut short), `file` (writes and syncs
of files). `step_s`: by how much the wall clock is stepped every STEP_INTERVAL_S.
"""

import errno
import json
import os
import random
import socket
import sys
import time

import gevent
import gevent.socket
from gevent import _socket3

from pierglade import __main__ as node

ACCEPT_ERRORS = (
    errno.ECONNABORTED,
    errno.ENFILE,
    errno.EMFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EPROTO,
    errno.EINTR,
)
SOCKET_ERRORS = errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM
CONNECT_ERRORS = (
    errno.EADDRNOTAVAIL,
    errno.ENETUNREACH,
    errno.ETIMEDOUT,
    errno.EHOSTUNREACH,
    errno.ENOBUFS,
    errno.EINTR,
)
FILE_ERRORS = errno.ENOSPC, errno.EIO
STEP_INTERVAL_S = 0.3
BROKEN_ERRORS = errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET
FULL_ERRORS = errno.ENOBUFS, errno.EADDRNOTAVAIL
MAX_SHORT_BYTES = 40

FAULTS = json.loads(os.environ.get("FAULTS", "{}"))
CHANCE = random.Random(FAULTS.get("seed", 1))


def strikes(kind):
    return CHANCE.random() < FAULTS.get(kind, 0)


def failure(errors):
    code = CHANCE.choice(errors)
    return OSError(code, os.strerror(code))


class FaultySocket(_socket3._wrefsocket):
    """The kernel's side of a gevent socket."""

    __slots__ = ()

    def _accept(self):
        if strikes("accept"):
            raise failure(ACCEPT_ERRORS)
        return super()._accept()

    def send(self, data, flags=0):
        return super().send(self._cut(data), flags)

    def sendmsg(self, buffers, *arguments):
        if strikes("short"):
            return super().send(bytes(b"".join(buffers))[:MAX_SHORT_BYTES], *arguments[1:2])
        return super().sendmsg(buffers, *arguments)

    def recv_into(self, buffer, nbytes=0, flags=0):
        if strikes("short"):
            nbytes = min(nbytes or len(buffer), MAX_SHORT_BYTES)
        return super().recv_into(buffer, nbytes, flags)

    @staticmethod
    def _cut(data):
        return data[:MAX_SHORT_BYTES] if strikes("short") else data


class FaultyGeventSocket(gevent.socket.socket):
    """A socket that the node makes for itself: to a backend, to discovery, or to listen."""

    def __init__(self, family=-1, type=-1, proto=-1, fileno=None):
        if fileno is None and FaultyGeventSocket.is_armed and strikes("socket"):
            raise failure(SOCKET_ERRORS)
        super().__init__(family, type, proto, fileno)

    def connect(self, address):
        if strikes("connect"):
            raise failure(CONNECT_ERRORS)
        if FaultyGeventSocket.is_armed and strikes("full"):
            raise failure(FULL_ERRORS)
        super().connect(address)

    def recv_into(self, *arguments):
        count = super().recv_into(*arguments)
        if strikes("broken"):
            self._sock.shutdown(socket.SHUT_RDWR)
            raise failure(BROKEN_ERRORS)
        return count


def arm():
    """The start of the node is spared; all later calls may fail."""
    FaultyGeventSocket.is_armed = True


def with_file_errors(call):
    """Returns a call that fails now and then, or writes only half of its data, as a full disk may."""

    def faulty(file, *arguments):
        if file != sys.stdout.fileno() and strikes("file"):
            if call is os.pwrite and CHANCE.random() < 0.5:
                data, offset = arguments
                return call(file, data[: len(data) // 2], offset)
            raise failure(FILE_ERRORS)
        return call(file, *arguments)

    return faulty


def step_wall_clock():
    """Steps the wall clock forward and back in turn; the monotonic clock runs on."""
    real_ns, began_ns = time.time_ns, time.monotonic_ns()

    def offset_ns():
        turns = (time.monotonic_ns() - began_ns) // int(STEP_INTERVAL_S * 1e9)
        return int(FAULTS["step_s"] * 1e9) * (turns % 3 - 1)

    time.time_ns = lambda: real_ns() + offset_ns()
    time.time = lambda: time.time_ns() / 1e9


if __name__ == "__main__":
    if FAULTS.get("step_s"):
        step_wall_clock()
    for name in ("pwrite", "write", "fsync"):
        setattr(os, name, with_file_errors(getattr(os, name)))
    FaultyGeventSocket.is_armed = False
    _socket3.socket._gevent_sock_class = FaultySocket
    gevent.socket.socket = FaultyGeventSocket
    gevent.spawn_later(0.5, arm)
    sys.exit(node.main())
