"""Many clients of a node at once, served by one thread: each writes its bytes as far as it can."""

import contextlib
import selectors
import socket
import threading
import time

CONNECT_BATCH = 50  # connections between two looks at what can be written
TURN_S = 0.01


class Crowd:
    """Connects `count` clients; client i writes `data(i)` and reads nothing."""

    def __init__(self, place, count, data, receive_buffer=None):
        self.place, self.count, self.data = place, count, data
        self.receive_buffer = receive_buffer
        self.selector, self.socks = selectors.DefaultSelector(), []
        self.is_connected, self.stopped = threading.Event(), False
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self):
        for i in range(self.count):
            if self.stopped:
                return
            with contextlib.suppress(OSError):
                self._connect(i)
            if not i % CONNECT_BATCH:
                self._write_once(0)
        self.is_connected.set()
        while not self.stopped:
            self._write_once(TURN_S)

    def _connect(self, number):
        sock = socket.socket()
        if self.receive_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer)
        sock.settimeout(5)
        sock.connect(self.place)
        sock.setblocking(False)
        self.socks.append(sock)
        self.selector.register(sock, selectors.EVENT_WRITE, memoryview(self.data(number)))

    def _write_once(self, timeout_s):
        if not self.selector.get_map():
            return time.sleep(timeout_s)
        for key, _ in self.selector.select(timeout_s):
            try:
                rest = key.data[key.fileobj.send(key.data) :]
            except BlockingIOError:
                continue
            except OSError:
                rest = b""
            if rest:
                self.selector.modify(key.fileobj, selectors.EVENT_WRITE, rest)
            else:
                self.selector.unregister(key.fileobj)
        return None

    def close(self):
        self.stopped = True
        self.thread.join(10)
        for sock in self.socks:
            sock.close()
        self.selector.close()
