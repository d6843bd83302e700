"""`python -m pierglade.scale.backends SPEC`: thousands of hollow backends on one socket.

Each is an address of 127.1.0.0/16 that answers after a set time with 200. SPEC is a JSON file: `plan`,
`port`, `ledger`. An address that is no backend's answers alike and is written down nowhere: what is asked
straight.
"""

import asyncio
import socket
import sys
import time

import httptools
import msgspec

from pierglade.audit.ledger import Ledger
from pierglade.scale import child
from pierglade.scale.plan import Plan, address, names

BACKLOG = 4096
LEDGER_MB = 1024.0
FLUSH_S = 0.25
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\ndone\n"


def listening(port):
    """A socket for every address of this machine's loopback, and for none else."""
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
    """A node's connection to one backend: one request at a time."""

    def __init__(self, all_of):
        self.all, self.name, self.transport, self.timer, self.id = all_of, None, None, None, None

    def connection_made(self, transport):
        self.transport = transport
        self.name = self.all.named.get(transport.get_extra_info("sockname")[0])
        if self.name in self.all.dead:
            return transport.abort()
        self.all.count += 1
        self.number = self.all.count
        self.all.open.setdefault(self.name, set()).add(self)
        self._fresh()

    def _fresh(self):
        self.parser = httptools.HttpRequestParser(self)
        self.id, self.url = "", b""

    def data_received(self, data):
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_url(self, url):
        self.url += url

    def on_header(self, name, value):
        if name.lower() == b"x-trace-id":
            self.id = value.decode("latin-1")

    def on_message_complete(self):
        self._note("arrived")
        self.timer = self.all.loop.call_later(self.all.answer_s, self._answer)

    def _note(self, event):
        if self.name is not None:
            request_class = (
                self.url.split(b"/", 2)[1].decode("latin-1") if self.url[:1] == b"/" else ""
            )
            self.all.ledger.note(
                event, backend=self.name, id=self.id, offering=request_class, conn=self.number
            )

    def _answer(self):
        self.timer = None
        self._note("ran")
        self._fresh()
        self.transport.write(ANSWER)

    def connection_lost(self, fault):
        self.all.open.get(self.name, set()).discard(self)
        if self.timer is not None:
            self.timer.cancel()
            self._note("dropped")


class All:
    def __init__(self, spec):
        plan = msgspec.convert(spec["plan"], Plan)
        self.loop = asyncio.get_running_loop()
        self.named = {
            address(number, 0).partition(":")[0]: name for number, name in enumerate(names(plan))
        }
        self.answer_s = plan.backends.answer_ms / 1000
        self.dead, self.open, self.count = set(), {}, 0
        ahead = time.time() - time.monotonic()
        self.ledger = Ledger(spec["ledger"], LEDGER_MB, lambda: (ahead + time.monotonic()) * 1000)
        self.flush()

    def flush(self):
        self.ledger.flush()
        self.loop.call_later(FLUSH_S, self.flush)

    # Commands.

    def die(self, names):
        """Their connections are reset, new ones too."""
        self.dead.update(names)
        for name in names:
            for connection in list(self.open.get(name, ())):
                connection.transport.abort()

    def live(self, names):
        self.dead.difference_update(names)

    def over(self):
        """The ledger is whole."""
        self.ledger.flush()
        return {"open": sum(map(len, self.open.values())), "hole": self.ledger.gap}


async def serve(spec):
    all_of = All(spec)
    try:
        sock = listening(spec["port"])
    except OSError as fault:
        child.fail(f"cannot listen on 127.1.0.0:{spec['port']} (backends): {fault.strerror}")
    server = await asyncio.get_running_loop().create_server(lambda: Connection(all_of), sock=sock)
    child.say({"port": sock.getsockname()[1]})
    await child.obey({"die": all_of.die, "live": all_of.live, "over": all_of.over})
    server.close()


if __name__ == "__main__":
    with open(sys.argv[1], "rb") as file:
        asyncio.run(serve(msgspec.json.decode(file.read())))
