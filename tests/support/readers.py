"""`python -m tests.support.readers HOST PORT COUNT BYTES SECONDS`: clients that read long answers at full speed."""

import os
import selectors
import socket
import sys
import time

from tests.support.node_process import request

PIECE_BYTES = 1 << 16


def _begin(selector, place, number, size):
    sock = socket.create_connection(place, 5)
    sock.sendall(request(f"/check/length-{size}", f"reader-{os.getpid()}-{number}"))
    selector.register(sock, selectors.EVENT_READ)


def _read(selector, sock):
    try:
        is_open = bool(sock.recv(PIECE_BYTES))
    except OSError:
        is_open = False
    if not is_open:
        selector.unregister(sock)
        sock.close()


def main(host, port, count, size, seconds):
    """Reads one answer on each connection until it ends or the time is up."""
    end = time.monotonic() + float(seconds)
    selector = selectors.DefaultSelector()
    for number in range(int(count)):
        _begin(selector, (host, int(port)), number, size)
    while time.monotonic() < end:
        for key, _ in selector.select(0.1):
            _read(selector, key.fileobj)


if __name__ == "__main__":
    main(*sys.argv[1:])
