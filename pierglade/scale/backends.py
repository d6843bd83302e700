"""`python -m pierglade.scale.backends SPEC`: thousands of hollow backends on one socket.

Each is an address of 127.1.0.0/16 that responds with 200 after a fixed time. SPEC is a JSON file:
`plan`, `port`, `ledger`. An address that belongs to no backend responds in the same way, but its
requests are not recorded in the ledger: they are the ones that bypass the nodes.
"""

import asyncio
import socket
import sys
import time

import httptools
import msgspec

from pierglade.audit.ledger import Ledger
from pierglade.scale import child
from pierglade.scale.plan import Plan, backend_address, backend_names

BACKLOG = 4096
LEDGER_MB = 1024.0
FLUSH_S = 0.25
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\ndone\n"


def listening_socket(port):
    """Returns a socket that listens on every address of the loopback interface, and on no other."""
    sock = socket.socket()
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_BINDTODEVICE, b"lo\0")
        sock.setblocking(False)
        sock.bind(("0.0.0.0", port))
        sock.listen(BACKLOG)
    except OSError:
        sock.close()
        raise
    return sock


class Connection(asyncio.Protocol):
    """A node's connection to one backend, for one request at a time."""

    def __init__(self, backends):
        self.backends, self.name, self.transport, self.timer, self.id = (
            backends,
            None,
            None,
            None,
            None,
        )

    def connection_made(self, transport):
        """Registers the connection, or resets it if the backend is stopped."""
        self.transport = transport
        self.name = self.backends.names_by_ip.get(transport.get_extra_info("sockname")[0])
        if self.name in self.backends.stopped:
            return transport.abort()
        self.backends.connection_count += 1
        self.number = self.backends.connection_count
        self.backends.open_connections.setdefault(self.name, set()).add(self)
        self._reset_parser()

    def _reset_parser(self):
        self.parser = httptools.HttpRequestParser(self)
        self.id, self.url = "", b""

    def data_received(self, data):
        """Parses request bytes; resets the connection on invalid HTTP."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_url(self, url):
        """Collects the request target."""
        self.url += url

    def on_header(self, name, value):
        """Reads the trace ID of the request."""
        if name.lower() == b"x-trace-id":
            self.id = value.decode("latin-1")

    def on_message_complete(self):
        """Records the request and schedules the response."""
        self._record("arrived")
        self.timer = self.backends.loop.call_later(self.backends.response_time_s, self._respond)

    def _record(self, event):
        if self.name is not None:
            request_class = (
                self.url.split(b"/", 2)[1].decode("latin-1") if self.url[:1] == b"/" else ""
            )
            self.backends.ledger.note(
                event, backend=self.name, id=self.id, offering=request_class, conn=self.number
            )

    def _respond(self):
        self.timer = None
        self._record("ran")
        self._reset_parser()
        self.transport.write(RESPONSE)

    def connection_lost(self, error):
        """Unregisters the connection, and records the request that it was serving as dropped."""
        self.backends.open_connections.get(self.name, set()).discard(self)
        if self.timer is not None:
            self.timer.cancel()
            self._record("dropped")


class HollowBackends:
    """All backends of a run, their open connections and their ledger."""

    def __init__(self, spec):
        plan = msgspec.convert(spec["plan"], Plan)
        self.loop = asyncio.get_running_loop()
        self.names_by_ip = {
            backend_address(number, 0).partition(":")[0]: name
            for number, name in enumerate(backend_names(plan))
        }
        self.response_time_s = plan.backends.answer_ms / 1000
        self.stopped, self.open_connections, self.connection_count = set(), {}, 0
        unix_offset_s = time.time() - time.monotonic()
        self.ledger = Ledger(
            spec["ledger"], LEDGER_MB, lambda: (unix_offset_s + time.monotonic()) * 1000
        )
        self.flush()

    def flush(self):
        """Writes the ledger, now and at regular intervals."""
        self.ledger.flush()
        self.loop.call_later(FLUSH_S, self.flush)

    # Commands.

    def stop(self, names):
        """Stops backends: resets their open connections and every new one."""
        self.stopped.update(names)
        for name in names:
            for connection in list(self.open_connections.get(name, ())):
                connection.transport.abort()

    def start(self, names):
        """Lets stopped backends accept connections again."""
        self.stopped.difference_update(names)

    def finish(self):
        """Writes the rest of the ledger; returns the count of open connections and the first gap."""
        self.ledger.flush()
        return {"open": sum(map(len, self.open_connections.values())), "hole": self.ledger.gap}


async def serve(spec):
    """Serves all backends until standard input ends."""
    backends = HollowBackends(spec)
    try:
        sock = listening_socket(spec["port"])
    except OSError as error:
        child.exit_with_error(
            f"cannot listen on 127.1.0.0:{spec['port']} (backends): {error.strerror}"
        )
    server = await asyncio.get_running_loop().create_server(lambda: Connection(backends), sock=sock)
    child.write_message({"port": sock.getsockname()[1]})
    await child.serve_commands(
        {"die": backends.stop, "live": backends.start, "over": backends.finish}
    )
    server.close()


if __name__ == "__main__":
    with open(sys.argv[1], "rb") as file:
        asyncio.run(serve(msgspec.json.decode(file.read())))
