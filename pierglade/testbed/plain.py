"""Minimal load balancers as a baseline: round robin, random, least in flight and two random choices.

They follow the endpoint list, reuse connections, send each request once and forward the status. With
`fault` the node violates one rule on purpose, to check that `pierglade audit` detects it.
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
LATE_ANSWER_DELAY_S = 1.5  # fault `late`: added to each response
# Fault `left`: each request waits this long, even if its client disconnects
ABANDONED_SEND_DELAY_S = 1.0
RECONNECT_DELAY_S = 0.2  # between attempts to watch the endpoint list
ATTEMPT_TIMEOUT_S = 10.0


class BackendSelector:
    """Selects the backend of the next request among those on the endpoint list."""

    def __init__(self, policy, seed):
        self.select = {
            "turns": self._round_robin,
            "random": self._random,
            "least": self._least_in_flight,
            "two": self._two_choices,
        }[policy]
        self.random = random.Random(seed)
        self.names, self.in_flight, self.position = [], {}, 0

    def set_backends(self, names):
        """Replaces the names of the backends to select from."""
        self.names = list(names)
        for name in self.names:
            self.in_flight.setdefault(name, 0)

    def _round_robin(self):
        self.position += 1
        return self.names[self.position % len(self.names)]

    def _random(self):
        return self.random.choice(self.names)

    def _least_in_flight(self):
        self.position += 1
        start = self.position % len(self.names)
        return min(self.names[start:] + self.names[:start], key=self.in_flight.__getitem__)

    def _two_choices(self):
        one, other = self.random.choice(self.names), self.random.choice(self.names)
        return one if self.in_flight[one] <= self.in_flight[other] else other


class ClientConnection(asyncio.Protocol):
    """A client's connection, with one request at a time."""

    def __init__(self, node):
        self.node, self.transport, self.attempt = node, None, None
        self.parser = httptools.HttpRequestParser(self)
        self.url, self.headers, self.body = b"", [], b""

    def connection_made(self, transport):
        """asyncio: the connection is established."""
        self.transport = transport

    def connection_lost(self, error):
        """asyncio: the connection has ended; the attempt in flight is cancelled."""
        attempt, self.attempt = self.attempt, None
        if attempt is not None:
            self.node.pools[attempt.context[1]].leave(attempt)

    def data_received(self, data):
        """asyncio: bytes were received."""
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.transport.close()

    def on_message_begin(self):
        """httptools: a request begins."""
        self.url, self.headers, self.body = b"", [], b""

    def on_url(self, url):
        """httptools: a part of the URL was read."""
        self.url += url

    def on_header(self, name, value):
        """httptools: a header was read; headers of this connection only are not forwarded."""
        if name.lower() not in (b"connection", b"content-length", b"x-expires-in-ms"):
            self.headers.append(b"%s: %s\r\n" % (name, value))

    def on_body(self, body):
        """httptools: a part of the body was read."""
        self.body += body

    def on_message_complete(self):
        """httptools: the request is complete."""
        method = self.parser.get_method()
        if self.url == b"/health/ready":
            return self.respond(200 if self.node.selector.names else 503, "")
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
        self.node.request_received(self, data, method)

    def respond(self, status, backend, is_unexecuted=False):
        """Writes a response, unless the connection is closing."""
        if self.transport.is_closing():
            return
        head = b"HTTP/1.1 %d .\r\nX-Backend: %s\r\nContent-Length: 2\r\n\r\nok" % (
            status,
            backend.encode(),
        )
        self.transport.write(head)


class PlainNode:
    """A plain node; `static_backends` is {name: address}, for a node without discovery."""

    def __init__(self, policy, seed, fault="none", static_backends=None):
        self.loop = asyncio.get_running_loop()
        self.selector, self.fault = BackendSelector(policy, seed), fault
        self.pools, self.addresses, self.pool_addresses = {}, {}, {}
        if static_backends:
            self.endpoints_updated(
                {
                    "snapshot": True,
                    "endpoints": [
                        {"name": name, "address": address, "status": "SERVING"}
                        for name, address in static_backends.items()
                    ],
                }
            )

    def endpoints_updated(self, document):
        """Applies a snapshot or changes of the endpoint list."""
        if document["snapshot"]:
            self.addresses = {}
        for entry in document["endpoints"]:
            if entry["status"] == "SERVING":
                self.addresses[entry["name"]] = entry["address"]
            elif self.fault != "drained" or entry["status"] != "DRAINING":
                self.addresses.pop(entry["name"], None)
        for name, address in self.addresses.items():
            if self.pool_addresses.get(name) != address:
                self.pool_addresses[name], self.pools[name] = address, Pool(address, self.loop)
        if self.fault in ("drained", "flood") and "b0" in self.addresses:
            # In the plans that test these faults, b0 is the backend that drains or restarts.
            self.selector.set_backends(["b0"])
        else:
            self.selector.set_backends(self.addresses)

    def request_received(self, client, data, method):
        """Sends a client's request to a backend, after a delay with the fault `left`."""
        if not self.selector.names:
            return client.respond(503, "")
        if self.fault == "left":
            self.loop.call_later(ABANDONED_SEND_DELAY_S, self.send, client, data, method, 0)
            return
        self.send(client, data, method, 0)

    def send(self, client, data, method, retries):
        """Starts an attempt; `retries` counts the attempts before it."""
        name = self.selector.select()
        self.selector.in_flight[name] += 1
        attempt = Request(data, self.attempt_ended, (client, name, method, retries))
        client.attempt = attempt
        self.pools[name].send(attempt, ATTEMPT_TIMEOUT_S)

    def attempt_ended(self, attempt, status, backend, reason):
        """Forwards the result of an attempt to the client, with the deviations of the fault."""
        client, name, method, retries = attempt.context
        self.selector.in_flight[name] -= 1
        if client.attempt is not attempt:
            return
        client.attempt = None
        if retries < 3 and (self.fault == "overdraw" or self.fault == "again" and status != 200):
            return self.send(client, attempt.data, method, retries + 1)
        if self.fault == "late":
            self.loop.call_later(LATE_ANSWER_DELAY_S, client.respond, status or 504, name)
            return
        client.respond(status or (504 if reason != CLOSED else 502), name)
        if self.fault == "twice":
            client.respond(status or 504, name)

    async def follow_discovery(self, address):
        """Watches the endpoint list and applies its changes; reconnects when the watch ends."""
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
                        self.endpoints_updated(msgspec.json.decode(line))
            except (
                OSError,
                ValueError,
                KeyError,
                asyncio.IncompleteReadError,
                asyncio.LimitOverrunError,
                msgspec.DecodeError,
            ):
                await asyncio.sleep(RECONNECT_DELAY_S)


async def serve(listen, policy, seed, fault, static_backends, discovery, with_parent):
    """Runs a plain node until SIGTERM, SIGINT or, with `with_parent`, the end of standard input."""
    loop, stop_requested = asyncio.get_running_loop(), asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    if with_parent:

        def _read_stdin():
            if not sys.stdin.buffer.raw.read(1024):
                stop_requested.set()
                loop.remove_reader(sys.stdin)

        loop.add_reader(sys.stdin, _read_stdin)
    node = PlainNode(policy, seed, fault, static_backends)
    host, _, port = listen.rpartition(":")
    server = await loop.create_server(lambda: ClientConnection(node), host, int(port), backlog=4096)
    discovery_task = loop.create_task(node.follow_discovery(discovery)) if discovery else None
    address = "%s:%d" % server.sockets[0].getsockname()
    print(msgspec.json.encode({"event": "started", "listen": address}).decode(), flush=True)
    await stop_requested.wait()
    if discovery_task is not None:
        discovery_task.cancel()
    server.close()


def main():
    """`python -m pierglade.testbed.plain`: runs one plain node until SIGTERM."""
    parser = argparse.ArgumentParser(prog="pierglade.testbed.plain", description=main.__doc__)
    parser.add_argument("--listen", default="127.0.0.1:0")
    parser.add_argument("--policy", choices=POLICIES, default="turns")
    parser.add_argument("--fault", choices=FAULTS, default="none")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--discovery", default="")
    parser.add_argument("--backends", default="", help="name=host:port,...")
    parser.add_argument("--with-parent", action="store_true")
    arguments = parser.parse_args()
    static_backends = dict(pair.split("=") for pair in arguments.backends.split(",") if pair)
    try:
        asyncio.run(
            serve(
                arguments.listen,
                arguments.policy,
                arguments.seed,
                arguments.fault,
                static_backends,
                arguments.discovery,
                arguments.with_parent,
            )
        )
    except OSError as error:
        sys.exit(f"plain: cannot listen on {arguments.listen}: {error.strerror}")


if __name__ == "__main__":
    main()
