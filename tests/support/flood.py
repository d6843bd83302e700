"""`python -m tests.support.flood HOST PORT KIND SECONDS`: one client that sends at full speed."""

import contextlib
import socket
import sys
import threading
import time

BATCH = 100  # requests in one write
FIRST_CHUNK = (
    b"POST /settle HTTP/1.1\r\nHost: node\r\nX-Trace-Id: flood-%d\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)


def _get(path, number, fields=b""):
    return b"GET %s HTTP/1.1\r\nHost: node\r\nX-Trace-Id: flood-%d\r\n%s\r\n" % (
        path,
        number,
        fields,
    )


def _batches(request):
    number = 0
    while True:
        yield b"".join(request(number + n) for n in range(BATCH))
        number += BATCH


def _chunks():
    yield FIRST_CHUNK % time.monotonic_ns()
    while True:
        yield b"1\r\nx\r\n" * 2000


KINDS = {
    "classes": lambda: _batches(lambda n: _get(b"/new-%d" % n, n)),
    "tenants": lambda: _batches(lambda n: _get(b"/check", n, b"X-Customer: new-%d\r\n" % n)),
    "health": lambda: _batches(lambda n: _get(b"/health/ready", n)),
    "unsound": lambda: _batches(lambda n: b"GET /check HTTP/1.1\r\nX-Trace-Id: %d\r\n\r\n" % n),
    "fields": lambda: _batches(lambda n: _get(b"/new", n, b"a:\r\n" * 3900)),
    "chunks": _chunks,
}


def _discard(sock):
    try:
        while sock.recv(1 << 16):
            pass
    except OSError:
        pass


def depart_at_once(host, port, end):
    """Opens connections until `end`, each with a byte of a request, and waits for nothing."""
    while time.monotonic() < end:
        with contextlib.suppress(OSError), socket.create_connection((host, port), 5) as sock:
            sock.sendall(b"G")


def main(host, port, kind, seconds):
    """Floods until the time is up; a connection that ends is opened again."""
    end = time.monotonic() + float(seconds)
    if kind == "departures":
        return depart_at_once(host, int(port), end)
    while time.monotonic() < end:
        try:
            with socket.create_connection((host, int(port)), 5) as sock:
                threading.Thread(target=_discard, args=(sock,), daemon=True).start()
                for data in KINDS[kind]():
                    sock.sendall(data)
                    if time.monotonic() > end:
                        break
        except OSError:
            pass


if __name__ == "__main__":
    main(*sys.argv[1:])
