"""A stand-in discovery agent: the whole list, and a watch with a heartbeat every 2 s."""

import json
import socket
import threading

HEARTBEAT_S = 2.0


class DiscoveryAgent:
    """Serves a list of backends on a loopback port, and tells changes at once to open watches."""

    def __init__(self, endpoints: list[dict]):
        self.entries = {each["name"]: each for each in endpoints}
        self.changes = []  # (version, entries that changed)
        self.version, self.changed = 1, threading.Condition()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def tell(self, entries: list[dict]):
        """Changes the list by these entries."""
        with self.changed:
            self.version += 1
            self.changes.append((self.version, entries))
            for entry in entries:
                self.entries[entry["name"]] = entry
                if entry["status"] == "DELETED":
                    del self.entries[entry["name"]]
            self.changed.notify_all()

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
                with self.changed:
                    body = self._whole_list()
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                return
            self._serve_watch(sock)
        except OSError:
            pass
        finally:
            sock.close()

    def _whole_list(self):
        endpoints = list(self.entries.values())
        document = {"index": self.version, "snapshot": True, "endpoints": endpoints}
        return json.dumps(document).encode() + b"\n"

    def _serve_watch(self, sock):
        sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        with self.changed:
            line, told = self._whole_list(), self.version
        while True:
            sock.sendall(b"%x\r\n%s\r\n" % (len(line), line))
            with self.changed:
                if told == self.version:
                    self.changed.wait(HEARTBEAT_S)
                line = b"\n"
                for version, entries in self.changes:
                    if version == told + 1:
                        told = version
                        document = {"index": version, "snapshot": False, "endpoints": entries}
                        line = json.dumps(document).encode() + b"\n"
                        break

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
