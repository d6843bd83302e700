"""Plain nodes as a measure: round robin, random, least in flight, two choices, with nothing beside it.

They follow the list, keep connections, send each invocation once and tell the client what came of it. `fault`
plants a broken rule, for those who look for one: `pierglade audit` has to find it.
"""

import argparse
import asyncio
import random
import signal
import sys

import httptools
import msgspec

from pierglade.load.client import CLOSED, Pool, Request

POLICIES = ("turns", "random", "least", "two")
FAULTS = ("none", "twice", "late", "again", "drained", "flood", "overdraw", "left")
LATE_S = 1.5  # seconds that an answer is held back by a node that answers late
LEFT_S = 1.0  # s; the planted fault `left` sends on so long after it took a request, whoever waits
AGAIN = 0.2  # s; between tries to follow the list
PATIENCE_S = 10.0  # a trip that is not answered by then is given up


class Choice:
    """Which backend is next, of those on the list."""

    def __init__(self, policy, seed):
        self.pick = {
            "turns": self._turns,
            "random": self._random,
            "least": self._least,
            "two": self._two,
        }[policy]
        self.chance = random.Random(seed)
        self.names, self.out, self.at = [], {}, 0

    def listed(self, names):
        self.names = list(names)
        for name in self.names:
            self.out.setdefault(name, 0)

    def _turns(self):
        self.at += 1
        return self.names[self.at % len(self.names)]

    def _random(self):
        return self.chance.choice(self.names)

    def _least(self):
        self.at += 1
        start = self.at % len(self.names)
        return min(self.names[start:] + self.names[:start], key=self.out.__getitem__)

    def _two(self):
        one, other = self.chance.choice(self.names), self.chance.choice(self.names)
        return one if self.out[one] <= self.out[other] else other


class Client(asyncio.Protocol):
    """A client's connection: one request in hand."""

    def __init__(self, node):
        self.node, self.transport, self.attempt = node, None, None
        self.parser = httptools.HttpRequestParser(self)
        self.url, self.headers, self.body = b"", [], b""

    def connection_made(self, transport):
        self.transport = transport

    def connection_lost(self, fault):
        attempt, self.attempt = self.attempt, None
        if attempt is not None:
            self.node.pools[attempt.context[1]].leave(attempt)

    def data_received(self, data):
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.transport.close()

    def on_message_begin(self):
        self.url, self.headers, self.body = b"", [], b""

    def on_url(self, url):
        self.url += url

    def on_header(self, name, value):
        if name.lower() not in (b"connection", b"content-length", b"x-expires-in-ms"):
            self.headers.append(b"%s: %s\r\n" % (name, value))

    def on_body(self, body):
        self.body += body

    def on_message_complete(self):
        method = self.parser.get_method()
        if self.url == b"/health/ready":
            return self.answer(200 if self.node.choice.names else 503, "")
        length = (
            b"Content-Length: %d\r\n" % len(self.body) if self.body or method != b"GET" else b""
        )
        data = b"%s %s HTTP/1.1\r\n%s%s\r\n%s" % (
            method,
            self.url,
            b"".join(self.headers),
            length,
            self.body,
        )
        self.node.take(self, data, method)

    def answer(self, status, backend, never_ran=False):
        if self.transport.is_closing():
            return
        head = b"HTTP/1.1 %d .\r\nX-Backend: %s\r\nContent-Length: 2\r\n\r\nok" % (
            status,
            backend.encode(),
        )
        self.transport.write(head)


class Plain:
    """One plain node. `fixed`: {name: address} where no discovery is followed."""

    def __init__(self, policy, seed, fault="none", fixed=None):
        self.loop = asyncio.get_running_loop()
        self.choice, self.fault = Choice(policy, seed), fault
        self.pools, self.addresses, self.kept = {}, {}, {}
        if fixed:
            self.heard(
                {
                    "snapshot": True,
                    "endpoints": [
                        {"name": name, "address": address, "status": "SERVING"}
                        for name, address in fixed.items()
                    ],
                }
            )

    def heard(self, document):
        if document["snapshot"]:
            self.addresses = {}
        for entry in document["endpoints"]:
            if entry["status"] == "SERVING":
                self.addresses[entry["name"]] = entry["address"]
            elif self.fault != "drained" or entry["status"] != "DRAINING":
                self.addresses.pop(entry["name"], None)
        for name, address in self.addresses.items():
            if self.kept.get(name) != address:
                self.kept[name], self.pools[name] = address, Pool(address, self.loop)
        if self.fault in ("drained", "flood") and "b0" in self.addresses:
            self.choice.listed(
                ["b0"]
            )  # whoever drains, or starts cold, in the plans that look for it
        else:
            self.choice.listed(self.addresses)

    def take(self, client, data, method):
        if not self.choice.names:
            return client.answer(503, "")
        if self.fault == "left":
            self.loop.call_later(LEFT_S, self.send, client, data, method, 0)
            return
        self.send(client, data, method, 0)

    def send(self, client, data, method, tries):
        name = self.choice.pick()
        self.choice.out[name] += 1
        attempt = Request(data, self.ended, (client, name, method, tries))
        client.attempt = attempt
        self.pools[name].send(attempt, PATIENCE_S)

    def ended(self, attempt, status, backend, why):
        client, name, method, tries = attempt.context
        self.choice.out[name] -= 1
        if client.attempt is not attempt:
            return
        client.attempt = None
        if tries < 3 and (self.fault == "overdraw" or self.fault == "again" and status != 200):
            return self.send(client, attempt.data, method, tries + 1)
        if self.fault == "late":
            self.loop.call_later(LATE_S, client.answer, status or 504, name)
            return
        client.answer(status or (504 if why != CLOSED else 502), name)
        if self.fault == "twice":
            client.answer(status or 504, name)

    async def follow(self, address):
        """Keeps to what discovery tells."""
        host, _, port = address.rpartition(":")
        while True:
            try:
                reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 20)
                writer.write(
                    b"GET /registry/instances?follow=1&since=0 HTTP/1.1\r\nHost: h\r\n\r\n"
                )
                await reader.readuntil(b"\r\n\r\n")
                while True:
                    size = int(await reader.readline() or b"0", 16)
                    line = await reader.readexactly(size + 2)
                    if line.strip():
                        self.heard(msgspec.json.decode(line))
            except (
                OSError,
                ValueError,
                KeyError,
                asyncio.IncompleteReadError,
                asyncio.LimitOverrunError,
                msgspec.DecodeError,
            ):
                await asyncio.sleep(AGAIN)


async def serve(listen, policy, seed, fault, fixed, discovery, with_parent):
    loop, over = asyncio.get_running_loop(), asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, over.set)
    if with_parent:

        def read():
            if not sys.stdin.buffer.raw.read(1024):
                over.set()
                loop.remove_reader(sys.stdin)

        loop.add_reader(sys.stdin, read)
    node = Plain(policy, seed, fault, fixed)
    host, _, port = listen.rpartition(":")
    server = await loop.create_server(lambda: Client(node), host, int(port), backlog=4096)
    follows = loop.create_task(node.follow(discovery)) if discovery else None
    where = "%s:%d" % server.sockets[0].getsockname()
    print(msgspec.json.encode({"event": "started", "listen": where}).decode(), flush=True)
    await over.wait()
    if follows is not None:
        follows.cancel()
    server.close()


def main():
    """`python -m pierglade.testbed.plain`: one plain node until SIGTERM."""
    words = argparse.ArgumentParser(prog="pierglade.testbed.plain", description=main.__doc__)
    words.add_argument("--listen", default="127.0.0.1:0")
    words.add_argument("--policy", choices=POLICIES, default="turns")
    words.add_argument("--fault", choices=FAULTS, default="none")
    words.add_argument("--seed", type=int, default=1)
    words.add_argument("--discovery", default="")
    words.add_argument("--backends", default="", help="name=host:port,...")
    words.add_argument("--with-parent", action="store_true")
    told = words.parse_args()
    fixed = dict(pair.split("=") for pair in told.backends.split(",") if pair)
    try:
        asyncio.run(
            serve(
                told.listen,
                told.policy,
                told.seed,
                told.fault,
                fixed,
                told.discovery,
                told.with_parent,
            )
        )
    except OSError as fault:
        sys.exit(f"plain: cannot listen on {told.listen}: {fault.strerror}")


if __name__ == "__main__":
    main()
