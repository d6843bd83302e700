"""Several backends in a process of their own, for long bodies: `boxes.py SHARE LEDGER PORT...`.

Each reads a request to its last byte, runs it, and writes a line `ID PATH OUTCOME` to the ledger.
It then answers, or resets the connection for that share of the requests.
"""

import contextlib
import os
import random
import socket
import struct
import sys
import threading

READ_BYTES = 1 << 18


def read_request(sock: socket.socket, buffer: bytearray) -> tuple[str, str] | None:
    """Reads a request to its last byte; returns its id and path, None if none comes whole."""
    data = b""
    while b"\r\n\r\n" not in data:
        piece = sock.recv(65536)
        if not piece:
            return None
        data += piece
    head, _, rest = data.partition(b"\r\n\r\n")
    line, *lines = head.decode("latin-1").split("\r\n")
    fields = {
        name.lower(): value.strip() for name, _, value in (each.partition(":") for each in lines)
    }
    missing = int(fields.get("content-length", 0)) - len(rest)
    while missing > 0:
        count = sock.recv_into(buffer)
        if not count:
            return None
        missing -= count
    return fields.get("x-trace-id", ""), line.split(" ")[1]


def serve(sock: socket.socket, share: float, ledger: int):
    """Serves the requests of one connection, one at a time."""
    buffer = bytearray(READ_BYTES)
    with contextlib.suppress(OSError), sock:
        while (request := read_request(sock, buffer)) is not None:
            is_reset = random.random() < share
            os.write(ledger, "{} {} {}\n".format(*request, "reset" if is_reset else "ok").encode())
            if is_reset:
                return sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok\n")


def listen(port: int, share: float, ledger: int):
    """Accepts connections at a port."""
    with socket.create_server(("127.0.0.1", port), backlog=256) as listener:
        while True:
            sock, _ = listener.accept()
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=serve, args=(sock, share, ledger), daemon=True).start()


def main(share: str, ledger_path: str, *ports: str):
    """Plays the backends until the process is ended."""
    ledger = os.open(ledger_path, os.O_WRONLY | os.O_CREAT | os.O_APPEND)
    for port in ports[1:]:
        threading.Thread(target=listen, args=(int(port), float(share), ledger)).start()
    listen(int(ports[0]), float(share), ledger)


if __name__ == "__main__":
    main(*sys.argv[1:])
