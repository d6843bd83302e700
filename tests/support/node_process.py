"""A real node process on loopback, with stand-in backends and discovery, for tests under faults."""

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

HEARTBEAT_S = 2.0
START_LIMIT_S = 20.0
STEP_S = 0.005  # between two looks at a condition
READY = b"GET /health/ready HTTP/1.1\r\nHost: node\r\n\r\n"


def offering(name, idempotency, **changed):
    return {
        "name": name,
        "idempotency": idempotency,
        "group": "all",
        "repeatWindowUs": 10000000,
        "expectedTimeUs": 1000000,
        "hardLimitUs": 5000000,
    } | changed


OFFERINGS = (
    offering("check", "free"),
    offering("hold", "guarded", group="zone"),
    offering("settle", "single_shot"),
)
SETTINGS = {
    "offerings": OFFERINGS,
    "limits": {
        "mostTrips": 3,
        "mayCancel": True,
        "connectTimeoutUs": 200000,
        "connIdleUs": 10000000,
        "retryAfter": True,
        "maxRetryAfterUs": 2000000,
    },
    "contract": {
        "drainGraceUs": 500000,
        "coldUs": 8700000,
        "startCapacity": 0.36,
        "tipMultiple": 3.0,
        "fallUs": 2000000,
    },
    "membershipMode": "push",
}


def request(path, trace_id, wait_ms=4000, body=b"", extra=b"", method=None):
    """Returns the bytes of a request; its method and key follow from the first part of the path."""
    name = path.split("/")[1]
    method = method or ("GET" if name == "check" else "POST")
    key = f"Idempotency-Key: key-{trace_id}\r\n" if name == "hold" else ""
    length = f"Content-Length: {len(body)}\r\n" if method == "POST" else ""
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: node\r\nX-Trace-Id: {trace_id}\r\n"
        f"X-Expires-In-Ms: {wait_ms}\r\n{key}{length}"
    )
    return head.encode() + extra + b"\r\n" + body


def wait_until(condition, limit_s, what):
    """Returns once the condition holds; AssertionError with `what` if it does not in time."""
    end = time.monotonic() + limit_s
    while not (result := condition()):
        if time.monotonic() > end:
            raise AssertionError(f"not within {limit_s} s: {what}")
        time.sleep(STEP_S)
    return result


class Answer:
    """What a client got: status (0: none), body, whether it is whole, and when the last byte came."""

    def __init__(self, status, fields, body, whole):
        self.status, self.fields, self.body, self.whole = status, fields, body, whole
        self.at = time.monotonic()


class Client:
    """One connection to a node."""

    def __init__(self, place, limit_s=20.0, receive_buffer=None):
        self.sock = socket.socket()
        if receive_buffer:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.sock.settimeout(limit_s)
        self.sock.connect(place)
        self.data = b""
        self.first_byte_at = None

    def send(self, data):
        self.sock.sendall(data)
        return self

    def answer(self):
        """Reads one response; its status is 0 if the connection ends before it."""
        self.first_byte_at = None
        while b"\r\n\r\n" not in self.data:
            if not self._read():
                return Answer(0, {}, self.data, False)
        head, _, self.data = self.data.partition(b"\r\n\r\n")
        lines = head.split(b"\r\n")
        fields = {
            name.lower().decode(): value.strip().decode()
            for name, _, value in (line.partition(b":") for line in lines[1:])
        }
        status = int(lines[0].split()[1])
        return Answer(status, fields, *self._body(fields))

    def _body(self, fields):
        if "content-length" in fields:
            size = int(fields["content-length"])
            while len(self.data) < size and self._read():
                pass
            body, self.data = self.data[:size], self.data[size:]
            return body, len(body) == size
        if fields.get("transfer-encoding") == "chunked":
            return self._chunks()
        try:
            while self._read():
                pass
            return self.data, True
        except ConnectionError:
            return self.data, False

    def _chunks(self):
        body = b""
        while True:
            while b"\r\n" not in self.data:
                if not self._read_or_reset():
                    return body, False
            line, _, self.data = self.data.partition(b"\r\n")
            size = int(line, 16)
            while len(self.data) < size + 2:
                if not self._read_or_reset():
                    return body + self.data, False
            body, self.data = body + self.data[:size], self.data[size + 2 :]
            if not size:
                return body, True

    def _read_or_reset(self):
        try:
            return self._read()
        except ConnectionError:
            return False

    def _read(self):
        data = self.sock.recv(65536)
        if self.first_byte_at is None:
            self.first_byte_at = time.monotonic()
        self.data += data
        return bool(data)

    def close(self):
        self.sock.close()


class Received:
    """A request as a backend got it; `at`: when its last byte had come."""

    def __init__(self, head, body):
        line, *rest = head.split(b"\r\n")
        self.method, self.path, _ = line.decode().split(" ")
        self.fields = {
            name.lower().decode(): value.strip().decode()
            for name, _, value in (each.partition(b":") for each in rest)
        }
        self.trace_id = self.fields.get("x-trace-id", "")
        self.body, self.at, self.port = body, time.monotonic(), 0


def respond(sock, body=b"ok", status=200, fields=b""):
    sock.sendall(
        b"HTTP/1.1 %d .\r\nContent-Length: %d\r\n%s\r\n%s" % (status, len(body), fields, body)
    )


class Backend:
    """A stand-in backend: `serve(sock, received)` answers; `read_pause_s` slows reading of bodies."""

    def __init__(self, name, serve=None, zone="a", address=None, read_pause_s=0.0, group=0):
        self.name, self.zone, self.group = name, zone, group
        self.serve = serve or (lambda sock, received: respond(sock))
        self.read_pause_s = read_pause_s
        self.received, self.socks = [], []
        host, _, port = (address or "127.0.0.1:0").rpartition(":")
        self.listener = socket.create_server((host, int(port)), backlog=512)
        if read_pause_s:  # else the kernel would take all of a body at once
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 16)
        self.own_address = self.address = "%s:%d" % self.listener.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def entry(self, status="SERVING", since_ms=0):
        return {
            "name": self.name,
            "address": self.address,
            "zone": self.zone,
            "group": self.group,
            "status": status,
            "weight": 1.0,
            "since_ms": since_ms,
        }

    def put_behind(self, proxy):
        """Lets discovery name the address of a proxy, and returns the backend."""
        self.address = proxy.address
        return self

    def ids(self):
        return [each.trace_id for each in self.received]

    def _accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.socks.append(sock)
            threading.Thread(target=self._connection, args=(sock,), daemon=True).start()

    def _connection(self, sock):
        with sock, contextlib.suppress(OSError, ValueError):
            data = b""
            while True:
                while b"\r\n\r\n" not in data:
                    more = sock.recv(65536)
                    if not more:
                        return
                    data += more
                head, _, data = data.partition(b"\r\n\r\n")
                received = Received(head, b"")
                received.body, data = self._body(sock, received.fields, data)
                received.at = time.monotonic()
                self.received.append(received)
                self.serve(sock, received)

    def _body(self, sock, fields, data):
        if fields.get("transfer-encoding") == "chunked":
            while not data.endswith(b"0\r\n\r\n"):
                data += self._read_slowly(sock)
            return data, b""
        size = int(fields.get("content-length", 0))
        while len(data) < size:
            data += self._read_slowly(sock)
        return data[:size], data[size:]

    def _read_slowly(self, sock):
        if self.read_pause_s:
            time.sleep(self.read_pause_s)
        more = sock.recv(16384)
        if not more:
            raise ConnectionResetError("ended within a body")
        return more

    def close(self):
        """Ends as a process does: the listener and all connections."""
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for sock in self.socks:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)


class Discovery:
    """A stand-in discovery agent: the whole list, and watches that are told changes at once."""

    def __init__(self, entries):
        self.entries = {each["name"]: each for each in entries}
        self.version, self.changes, self.is_silent = 1, [], False
        self.changed = threading.Condition()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def tell(self, *entries):
        """Changes the list by these entries."""
        with self.changed:
            self.version += 1
            self.changes.append((self.version, entries))
            for each in entries:
                self.entries[each["name"]] = each
                if each["status"] == "DELETED":
                    del self.entries[each["name"]]
            self.changed.notify_all()

    def set_silent(self, is_silent):
        """Begins or ends an outage, in which nothing is answered or told."""
        with self.changed:
            self.is_silent = is_silent
            self.changed.notify_all()

    def document(self):
        return {"index": self.version, "snapshot": True, "endpoints": list(self.entries.values())}

    def _accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        with sock, contextlib.suppress(OSError):
            head = b""
            while b"\r\n\r\n" not in head:
                if not (data := sock.recv(4096)):
                    return
                head += data
            with self.changed:
                self.changed.wait_for(lambda: not self.is_silent)
                told, line = self.version, json.dumps(self.document()).encode() + b"\n"
            if b"follow=1" not in head.split(b"\r\n", 1)[0]:
                return sock.sendall(
                    b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(line), line)
                )
            sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            while True:
                sock.sendall(b"%x\r\n%s\r\n" % (len(line), line))
                with self.changed:
                    if told == self.version:
                        self.changed.wait(HEARTBEAT_S)
                    self.changed.wait_for(lambda: not self.is_silent)
                    line = b"\n"
                    if told < self.version:
                        told, entries = next(each for each in self.changes if each[0] > told)
                        document = {"index": told, "snapshot": False, "endpoints": entries}
                        line = json.dumps(document).encode() + b"\n"

    def close(self):
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()


class NodeProcess:
    """A node in a process of its own, with its log; `folder` is its $TMPDIR.

    `module`: what `python -m` runs; a test may name one that injects faults and then runs a node.
    """

    def __init__(
        self, discovery, name="n1", listen=None, module="pierglade", folder=None, **config
    ):
        self.own_folder = None if folder else tempfile.TemporaryDirectory()
        self.folder = folder or self.own_folder.name
        settings = config.pop("settings", SETTINGS)
        limits = {"cores": 1.0, "sockets": 1024, "memory_mb": 192} | config.pop("limits", {})
        self.environ = config.pop("environ", {})
        self.config = {
            "name": name,
            "listen": listen or "127.0.0.1:0",
            "discovery": discovery.address,
            "seed": "8c1f",
            "limits": limits,
            "known": discovery.document(),
            "settings": settings,
        } | config
        self.lines, self.module = [], module
        self.errors = b""
        self.path = os.path.join(self.folder, f"config-{id(self)}.json")
        self.configure(self.config)
        self.process = subprocess.Popen(
            [sys.executable, "-m", module],
            env={
                **os.environ,
                "TMPDIR": self.folder,
                "BALANCER_CONFIG": self.path,
                **self.environ,
            },
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )
        self.reader = threading.Thread(target=self._read_log, daemon=True)
        self.reader.start()
        threading.Thread(target=self._read_errors, daemon=True).start()
        self.place = self._listening_place()

    def configure(self, config):
        with open(self.path, "w") as file:
            file.write(config if isinstance(config, str) else json.dumps(config))

    def _read_log(self):
        for line in self.process.stdout:
            with contextlib.suppress(ValueError):
                self.lines.append(json.loads(line))

    def _read_errors(self):
        for line in self.process.stderr:
            self.errors += line

    def _listening_place(self):
        started = wait_until(
            lambda: self.events("started") or self.process.poll() is not None,
            START_LIMIT_S,
            "the node starts",
        )
        if started is True:
            raise AssertionError(f"the node ended at once: {self.errors.decode()}")
        host, _, port = started[0]["listen"].rpartition(":")
        return host, int(port)

    def wait_ready(self):
        wait_until(self.is_ready, START_LIMIT_S, "the node is ready")
        return self

    def is_ready(self):
        try:
            client = Client(self.place, 1.0)
        except OSError:
            return False
        try:
            return client.send(READY).answer().status == 200
        except OSError:
            return False
        finally:
            client.close()

    def ask(self, path, trace_id, wait_ms=4000, body=b"", limit_s=20.0):
        """Sends one request on a connection of its own and returns its answer."""
        client = Client(self.place, limit_s)
        try:
            return client.send(request(path, trace_id, wait_ms, body)).answer()
        finally:
            client.close()

    def events(self, name):
        return [line for line in list(self.lines) if line.get("event") == name]

    def memory_mb(self, field="VmRSS"):
        """Returns the resident memory in MB (VmHWM: its highest value); 0 if the process ended."""
        try:
            with open(f"/proc/{self.process.pid}/status") as file:
                for line in file:
                    if line.startswith(field + ":"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    def terminate(self):
        self.process.send_signal(signal.SIGTERM)

    def reload(self):
        self.process.send_signal(signal.SIGHUP)

    def close(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.reader.join(5)
        self.process.stdout.close()
        self.process.stderr.close()
        if self.own_folder:
            self.own_folder.cleanup()
