"""Stand-ins for backends, discovery and clients, and node processes, all on loopback addresses.

They follow the operators' pages: a backend serves one request at a time on a connection and begins
it when its last byte has come; discovery answers at once, with a whole list or with a watch that
writes an empty line every 2 s. A case changes single methods where its disruption does.
"""

import contextlib
import json
import os
import queue
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from random import Random

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes
BEGAN = time.monotonic()


def seconds() -> float:
    """Returns the seconds since the script began."""
    return time.monotonic() - BEGAN


class NotRunError(Exception):
    """The case could not run: neither kept nor broken."""


class Record:
    """Lines about what was sent, answered and run; written to record.txt at the end."""

    def __init__(self, folder: Path):
        self.path, self.lines, self.lock = folder / "record.txt", [], threading.Lock()

    def add(self, who: str, what: str, **fields: object):
        """Adds a line with its time."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        with self.lock:
            self.lines.append(f"{seconds():8.3f} {who:<12} {what} {text}".rstrip())

    def write(self):
        """Writes all lines."""
        with self.lock:
            self.path.write_text("\n".join(self.lines) + "\n")


def offering(name: str, idempotency: str, **more: object) -> dict:
    """Returns a class of requests as the settings give it."""
    times = {"expectedTimeUs": 1000000, "hardLimitUs": 3000000}
    return {"name": name, "idempotency": idempotency, "credit": 1} | times | more


KINGSTON = (
    offering("balance-check", "free", expectedTimeUs=1000000, hardLimitUs=5000000, credit=1),
    offering(
        "pump-hold",
        "guarded",
        group="zone",
        repeatWindowUs=10000000,
        expectedTimeUs=1000000,
        hardLimitUs=5000000,
        credit=3,
    ),
    offering("sale-settle", "single_shot", expectedTimeUs=300000, hardLimitUs=1000000, credit=8),
)  # `group` and `repeatWindowUs` stand where a class is guarded, as in deploy/example.json


def settings(offerings: list[dict], **limits: object) -> dict:
    """Returns the settings of a small deployment, in the form of deploy/example.json."""
    return {
        "offerings": offerings,
        "customers": [],
        "limits": {
            "mostTrips": 3,
            "mayCancel": True,
            "probes": False,
            "connectTimeoutUs": 150000,
            "connIdleUs": 10000000,
        }
        | limits,
        "contract": {
            "answerSlackUs": 20000,
            "drainGraceUs": 500000,
            "coldUs": 8700000,
            "startCapacity": 0.36,
            "tipMultiple": 3.0,
            "fallUs": 2000000,
        },
        "membershipMode": "push",
        "localities": ["a", "b"],
        "zone": "a",
        "siblings": 1,
        "me": 0,
    }


class Message:
    """A request or an answer as it was read."""

    def __init__(self, line: str, fields: dict, body: bytes):
        self.line, self.fields, self.body = line, fields, body
        self.status = int(line.split()[1]) if line.startswith("HTTP/") else 0
        self.id = fields.get("x-trace-id", "")


class Wire:
    """Reads messages from a socket."""

    def __init__(self, sock: socket.socket):
        self.sock, self.data = sock, b""

    def more(self) -> bool:
        """Reads once; returns whether anything came."""
        data = self.sock.recv(65536)
        self.data += data
        return bool(data)

    def message(self) -> Message | None:
        """Reads a message; None if the connection ends before its end."""
        while b"\r\n\r\n" not in self.data:
            if not self.more():
                return None
        head, _, self.data = self.data.partition(b"\r\n\r\n")
        line, *rest = head.decode("latin-1").split("\r\n")
        fields = {
            name.strip().lower(): value.strip()
            for name, _, value in (each.partition(":") for each in rest)
        }
        length = int(fields.get("content-length", 0))
        while len(self.data) < length:
            if not self.more():
                return None
        body, self.data = self.data[:length], self.data[length:]
        return Message(line, fields, body)


def address_of(sock: socket.socket) -> str:
    """Returns the host:port that a socket is bound to."""
    host, port = sock.getsockname()
    return f"{host}:{port}"


class Server:
    """Accepts connections at a loopback address and serves each in a thread."""

    def __init__(self, address: str = "127.0.0.1:0"):
        host, _, port = address.rpartition(":")
        self.listener = socket.create_server((host, int(port)), backlog=256)
        self.address = address_of(self.listener)
        self.socks = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.socks.append(sock)
            threading.Thread(target=self._guarded, args=(sock,), daemon=True).start()

    def _guarded(self, sock):
        with contextlib.suppress(OSError), sock:
            self.connection(sock)

    def connection(self, sock: socket.socket):
        """Serves one connection."""
        raise NotImplementedError

    def close(self):
        """Stops listening and resets the open connections, as a process that ends does."""
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for sock in self.socks:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)


class Backend(Server):
    """A backend: runs a request when its last byte has come, and answers with its name and id."""

    def __init__(self, record: Record, name: str, zone: str = "a", address: str = "127.0.0.1:0"):
        self.record, self.name, self.zone = record, name, zone
        self.ran = []  # (time, id, idempotency key)
        self.work_s = 0.02
        super().__init__(address)

    def entry(self, status: str = "SERVING", since_ms: int = 0) -> dict:
        """Returns the entry of the backend in discovery's list."""
        return {
            "name": self.name,
            "address": self.address,
            "zone": self.zone,
            "type": "m2",
            "group": 1,
            "status": status,
            "weight": 1.0,
            "since_ms": since_ms,
        }

    def connection(self, sock: socket.socket):
        """Serves the requests of one connection, one at a time."""
        wire = Wire(sock)
        while (message := wire.message()) is not None:
            self.run(message)
            if not self.answer(sock, message):
                return

    def run(self, message: Message):
        """Runs a request."""
        key = message.fields.get("idempotency-key", "")
        self.ran.append((seconds(), message.id, key))
        self.record.add(self.name, "runs", id=message.id, key=key or "-")
        time.sleep(self.work_s)

    def answer(self, sock: socket.socket, message: Message) -> bool:
        """Answers a request; returns whether the connection stays open."""
        sock.sendall(answer_bytes(self.body(message)))
        return True

    def body(self, message: Message) -> bytes:
        """Returns the body of the answer that is made for a request."""
        return f"{self.name} for {message.id}".encode()


def answer_bytes(body: bytes, status: int = 200) -> bytes:
    """Returns an answer with that body."""
    return b"HTTP/1.1 %d .\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body)


class Drainable(Backend):
    """A backend that turns away what comes while it drains."""

    is_draining = False
    turned_away = ()  # when requests came while it drained

    def connection(self, sock: socket.socket):
        """Serves the requests of one connection, one at a time."""
        wire = Wire(sock)
        while (message := wire.message()) is not None:
            if not self.is_draining:
                self.run(message)
                self.answer(sock, message)
                continue
            self.turned_away = (*self.turned_away, seconds())
            self.record.add(self.name, "drains, turns away", id=message.id)
            sock.sendall(b"HTTP/1.1 503 .\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n")


class Discovery(Server):
    """The agent of discovery: whole lists, and watches that are told each change at once."""

    def __init__(self, record: Record, entries: list[dict], name: str = "discovery"):
        self.record, self.name = record, name
        self.entries = {each["name"]: each for each in entries}
        self.index, self.changes, self.changed = 41, [], threading.Condition()
        self.is_silent = False
        super().__init__()

    def tell(self, *entries: dict):
        """Changes the list."""
        with self.changed:
            self.index += 1
            self.changes.append((self.index, entries))
            for each in entries:
                self.entries[each["name"]] = each
                self.record.add(self.name, "tells", backend=each["name"], status=each["status"])
            self.changed.notify_all()

    def set_silent(self, is_silent: bool):
        """Begins or ends an outage, in which no call is answered and no watch is written to."""
        with self.changed:
            self.is_silent = is_silent
            self.record.add(self.name, "falls silent" if is_silent else "is back")
            self.changed.notify_all()

    def _wait_out(self):
        with self.changed:
            self.changed.wait_for(lambda: not self.is_silent)

    def document(self) -> dict:
        """Returns the whole list; what is gone is not named."""
        rows = [each for each in self.entries.values() if each["status"] != "DELETED"]
        return {"index": self.index, "snapshot": True, "endpoints": rows}

    def connection(self, sock: socket.socket):
        """Answers one call after another; a watch lasts as long as its connection."""
        wire = Wire(sock)
        while (call := wire.message()) is not None:
            target = call.line.split(" ")[1]
            self.record.add(self.name, "is called", target=target)
            self.before_answer(target)
            self._wait_out()
            since = re.search(r"since=(\d+)", target)
            if "follow=1" in target:
                return self.watch(sock, int(since[1]) if since else 0)
            sock.sendall(answer_bytes(json.dumps(self.document()).encode() + b"\n"))

    def before_answer(self, target: str):
        """Called before each answer; discovery answers at once unless a case slows it here."""

    def watch(self, sock: socket.socket, since: int):
        """Writes what has changed since that version, then each change, and empty lines."""
        sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        with self.changed:
            first = self.changes[0][0] - 1 if self.changes else self.index
            lines = [] if first <= since <= self.index else [json.dumps(self.document())]
            told = since if first <= since <= self.index else self.index
        while True:
            with self.changed:
                if not lines and told == self.index:
                    self.changed.wait(2.0)
                self.changed.wait_for(lambda: not self.is_silent)
                for index, entries in self.changes:
                    if index > told:
                        row = {"index": index, "snapshot": False, "endpoints": list(entries)}
                        lines.append(json.dumps(row))
                        told = index
            for line in lines or [""]:
                sock.sendall(b"%x\r\n%s\n\r\n" % (len(line) + 1, line.encode()))
            lines = []


class Link(Server):
    """The way to a backend: passes on what is sent, in its order, as TCP does.

    While `loss` is above 0, that share of the pieces is lost on the way to the node and sent again
    by TCP, which takes `RESEND_S`; what is behind such a piece waits for it.
    """

    RESEND_S = 0.2  # the shortest retransmission time-out of common kernels

    def __init__(self, backend: Backend, random: Random):
        self.backend, self.random, self.loss = backend, random, 0.0
        super().__init__()

    def entry(self, status: str = "SERVING") -> dict:
        """Returns the entry of the backend in discovery's list, with the address of this link."""
        return self.backend.entry(status) | {"address": self.address}

    def connection(self, sock: socket.socket):
        """Joins a node's connection with one to the backend."""
        host, _, port = self.backend.address.rpartition(":")
        with socket.create_connection((host, int(port))) as far:
            far.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._pass_on, args=(sock, far), daemon=True).start()
            pieces = queue.Queue()
            threading.Thread(target=self._deliver, args=(pieces, sock), daemon=True).start()
            while piece := far.recv(65536):
                is_lost = self.loss and self.random.random() < self.loss
                pieces.put((time.monotonic() + (self.RESEND_S if is_lost else 0.0), piece))
            pieces.put((0.0, b""))

    @staticmethod
    def _pass_on(source, target):
        with contextlib.suppress(OSError):
            while piece := source.recv(65536):
                target.sendall(piece)
            target.shutdown(socket.SHUT_WR)

    @staticmethod
    def _deliver(pieces, target):
        with contextlib.suppress(OSError):
            while True:
                at, piece = pieces.get()
                time.sleep(max(0.0, at - time.monotonic()))
                if not piece:
                    return target.shutdown(socket.SHUT_WR)
                target.sendall(piece)


def command(name: str) -> str:
    """Returns a command of the deploy file."""
    return tomllib.loads((ROOT / "deploy/balancer.toml").read_text())[name]


def free_address() -> str:
    """Returns a loopback address whose port is free."""
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return address_of(sock)


class Node:
    """A node process, started by `run` of the deploy file."""

    def __init__(
        self, stage: "Stage", config: dict, folder: Path | None = None, name: str = "node"
    ):
        self.stage, self.record, self.name = stage, stage.record, name
        self.folder = folder or Path(tempfile.mkdtemp(dir=stage.folder))
        self.config_path = Path(tempfile.mkdtemp(dir=stage.folder)) / "config.json"
        self.config = config
        self.write_config(config)
        self.listen, self.management = config["listen"], config["management"]
        self.log_path = stage.folder / f"{name}-{len(stage.processes)}.log"
        with self.log_path.open("wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command("run")],
                cwd=ROOT,
                env={
                    **os.environ,
                    "TMPDIR": str(self.folder),
                    "BALANCER_NAME": config["name"],
                    "BALANCER_LISTEN": self.listen,
                    "BALANCER_MANAGEMENT": self.management,
                    "BALANCER_DISCOVERY": config["discovery"],
                    "BALANCER_CONFIG": str(self.config_path),
                },
                stdout=log,
                stderr=log,
            )
        stage.processes.append(self.process)
        self.record.add(name, "is started", pid=self.process.pid)

    def write_config(self, config: dict):
        """Replaces the file of the configuration."""
        new = self.config_path.with_suffix(".new")
        new.write_text(json.dumps(config))
        new.replace(self.config_path)

    def signal(self, number: int):
        """Sends a signal to the process."""
        self.record.add(self.name, "gets", signal=signal.Signals(number).name)
        self.process.send_signal(number)

    def wait_ready(self, limit_s: float = 30.0):
        """Waits until GET /health/ready answers 200; raises NotRunError if it does not in time."""
        end = time.monotonic() + limit_s
        while not self.is_ready():
            if time.monotonic() > end or self.process.poll() is not None:
                raise NotRunError(f"the node is not ready: {self.log_path.read_text()[-2000:]}")
            time.sleep(0.02)
        self.record.add(self.name, "is ready")

    def is_ready(self) -> bool:
        """Returns whether GET /health/ready answers 200."""
        answer = call(self.listen, b"GET /health/ready HTTP/1.1\r\nHost: node\r\n\r\n")
        return answer is not None and answer.status == 200

    def manage(self, method: str, path: str) -> int:
        """Makes an operator's call; returns the status, 0 if there was no answer."""
        answer = call(self.management, f"{method} {path} HTTP/1.1\r\nHost: node\r\n\r\n".encode())
        status = answer.status if answer else 0
        self.record.add(self.name, "is called", call=f"{method} {path}", status=status)
        return status

    def log(self, event: str) -> list[dict]:
        """Returns the lines of the node's log for an event."""
        rows = []
        for line in self.log_path.read_text().splitlines():
            with contextlib.suppress(ValueError):
                row = json.loads(line)
                if row.get("event") == event:
                    rows.append(row)
        return rows


def call(address: str, request: bytes, limit_s: float = 5.0) -> Message | None:
    """Sends a request on a connection of its own; returns the answer, or None."""
    host, _, port = address.rpartition(":")
    try:
        with socket.create_connection((host, int(port)), timeout=limit_s) as sock:
            sock.sendall(request)
            return Wire(sock).message()
    except OSError:
        return None


def request_bytes(
    path: str,
    trace_id: str,
    wait_ms: int = 2500,
    key: str = "",
    method: str = "",
    body: bytes = b"",
) -> bytes:
    """Returns a request as usual clients send it."""
    method = method or ("POST" if key or body else "GET")
    lines = [f"{method} {path} HTTP/1.1", "Host: backend.local", f"X-Trace-Id: {trace_id}"]
    lines += [f"X-Expires-In-Ms: {wait_ms}"]
    lines += [f"Idempotency-Key: {key}"] if key else []
    lines += [f"Content-Length: {len(body)}"] if method == "POST" else []
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Client:
    """A client's connection, on which it sends one request at a time."""

    def __init__(self, record: Record, address: str, name: str = "client", limit_s: float = 10.0):
        host, _, port = address.rpartition(":")
        self.record, self.name = record, name
        self.sock = socket.create_connection((host, int(port)), timeout=limit_s)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.wire = Wire(self.sock)

    def send(self, data: bytes, *ids: str):
        """Sends the bytes of requests with those ids."""
        self.record.add(self.name, "sends", ids=",".join(ids))
        self.sock.sendall(data)

    def answer(self, trace_id: str = "") -> Message | None:
        """Reads the answer to a request; None if the connection ends without one."""
        try:
            answer = self.wire.message()
        except OSError as error:
            self.record.add(self.name, "gets no answer", id=trace_id, error=repr(error))
            return None
        if answer is None:
            self.record.add(self.name, "gets no answer", id=trace_id, error="connection closed")
            return None
        self.record.add(
            self.name,
            "is answered",
            id=trace_id,
            status=answer.status,
            body=repr(answer.body[:60]),
            close=answer.fields.get("connection", "-"),
        )
        return answer

    def close(self):
        """Closes the connection."""
        self.sock.close()


class Stage:
    """All that a case starts, ended with it."""

    def __init__(self, folder: Path):
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp())
        self.processes, self.servers = [], []

    def backend(self, *args: object, kind: type = Backend, **more: object) -> Backend:
        """Starts a backend."""
        self.servers.append(kind(self.record, *args, **more))
        return self.servers[-1]

    def discovery(self, entries: list[dict], kind: type = Discovery, **more: object) -> Discovery:
        """Starts a discovery agent."""
        self.servers.append(kind(self.record, entries, **more))
        return self.servers[-1]

    def config(self, discovery: Discovery, the_settings: dict, **more: object) -> dict:
        """Returns the configuration of a node."""
        return {
            "name": "n1",
            "listen": free_address(),
            "management": free_address(),
            "discovery": discovery.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": discovery.document(),
            "settings": the_settings,
        } | more

    def node(self, config: dict, **more: object) -> Node:
        """Starts a node."""
        return Node(self, config, **more)

    def client(self, node: Node, name: str = "client", **more: object) -> Client:
        """Connects a client to a node."""
        return Client(self.record, node.listen, name, **more)

    def end(self):
        """Ends all processes and servers and writes the record."""
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        for server in self.servers:
            server.close()
        self.record.write()
        shutil.rmtree(self.folder, ignore_errors=True)


def play(script: str, case: Callable[[Stage], str | None]):
    """Plays a case and exits; `case` returns the break that it saw, or None if the rule held."""
    stage = Stage(Path(script).resolve().parent)
    stage.record.add("case", "begins", trouble=int(TROUBLE))
    try:
        broken = case(stage)
        code, text = (BROKEN, f"broken: {broken}") if broken else (HELD, "the rule held")
    except NotRunError as error:
        code, text = NOT_RUN, f"the case could not run: {error}"
    except Exception as error:
        code, text = NOT_RUN, f"the case could not run: {error!r}"
    stage.record.add("case", text)
    stage.end()
    print(text)
    sys.exit(code)
