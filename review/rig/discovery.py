"""A stand-in discovery agent: the whole list, and a watch with a heartbeat every 2 s."""

import json
import socket
import threading
import time

HEARTBEAT_S = 2.0


class DiscoveryAgent:
    """Serves one unchanging list of backends on a loopback port."""

    def __init__(self, endpoints: list[dict]):
        self.document = {"index": 1, "snapshot": True, "endpoints": endpoints}
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        try:
            head = b""
            while b"\r\n\r\n" not in head:
                data = sock.recv(4096)
                if not data:
                    return
                head += data
            if b"follow=1" not in head.split(b"\r\n", 1)[0]:
                body = json.dumps(self.document).encode() + b"\n"
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                return
            sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            line = json.dumps(self.document).encode() + b"\n"
            while True:
                sock.sendall(b"%x\r\n%s\r\n" % (len(line), line))
                line = b"\n"
                time.sleep(HEARTBEAT_S)
        except OSError:
            pass
        finally:
            sock.close()

    def close(self):
        """Stops accepting."""
        self.listener.close()


def endpoint(name: str, address: str, zone: str = "a", group: int = 0) -> dict:
    """Returns the list entry of a backend that has been up for long."""
    return {
        "name": name,
        "address": address,
        "zone": zone,
        "type": "std",
        "group": group,
        "status": "SERVING",
        "weight": 1.0,
        "since_ms": 0,
    }
