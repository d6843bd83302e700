"""A TCP proxy before a backend that delays, resets, blackholes or cuts up what passes, by a seeded chance."""

import contextlib
import socket
import struct
import threading
import time

MAX_DELAY_S = 0.15  # of a piece, one way
PIECE_BYTES = 700  # of a connection whose bytes come in pieces
BLACKHOLE_S = 3.0  # after that a silent connection is reset, as by a machine that is back
FAULTS = {"delay": 0.15, "pieces": 0.15, "reset": 0.05, "late_reset": 0.05, "blackhole": 0.03}


class FaultProxy:
    """Listens at `address` and passes connections on to `target`; `chance`: a seeded Random."""

    def __init__(self, target, chance):
        host, _, port = target.rpartition(":")
        self.target, self.chance = (host, int(port)), chance
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.address = "%s:%d" % self.listener.getsockname()
        self.socks = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                downstream, _ = self.listener.accept()
                upstream = socket.create_connection(self.target, 5)
            except OSError:
                if self.listener.fileno() < 0:
                    return
                _reset(downstream)
                continue
            for sock in (downstream, upstream):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.socks += [downstream, upstream]
            self._start(downstream, upstream)

    def _start(self, downstream, upstream):
        fault = self.chance.choices([*FAULTS, None], [*FAULTS.values(), 1 - sum(FAULTS.values())])[
            0
        ]
        limit = self.chance.randrange(1, 3000)
        for source, sink in ((downstream, upstream), (upstream, downstream)):
            is_response = source is upstream
            arguments = source, sink, fault, limit, is_response, self.chance.random()
            threading.Thread(target=_pump, args=arguments, daemon=True).start()

    def close(self):
        """Ends the proxy and resets what passes through it."""
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for sock in self.socks:
            _reset(sock)


def _pump(source, sink, fault, limit, is_response, part):
    """Passes on what comes from `source`; `limit`: bytes after which a reset or silence begins."""
    passed = 0
    with contextlib.suppress(OSError):
        while data := source.recv(PIECE_BYTES if fault == "pieces" else 65536):
            if fault == "delay":
                time.sleep(part * MAX_DELAY_S)
            passed += len(data)
            if fault == "blackhole" and passed > limit:
                time.sleep(BLACKHOLE_S)
                return _reset_both(source, sink)
            if passed > limit and fault == ("late_reset" if is_response else "reset"):
                sink.sendall(data[: len(data) // 2])
                return _reset_both(source, sink)
            sink.sendall(data)
        sink.shutdown(socket.SHUT_WR)
    return None


def _reset_both(source, sink):
    _reset(source)
    _reset(sink)


def _reset(sock):
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.shutdown(socket.SHUT_RDWR)
    sock.close()
