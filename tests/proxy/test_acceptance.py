"""Tests of the operators' acceptance criteria (docs/incidents/acceptance.md).

They run on the state machine, or on a node whose sockets are on the loopback interface.
"""

import json
import os
import resource
import socket
import subprocess
import sys
import tempfile
import threading
import time
import types
import unittest
from unittest import mock

import gevent
from gevent.event import Event

from pierglade.balancer.balancer import Balancer
from pierglade.model.decision import PollEndpoints
from pierglade.proxy import discovery, socket_io
from pierglade.proxy.state import downstream
from pierglade.proxy.state.connections import CloseCause, ConnectionState
from pierglade.proxy.state.constants import RESERVED_DESCRIPTORS
from pierglade.proxy.state.effects import PollDiscovery, ResyncEndpoints
from pierglade.proxy.state.events import EndpointsUpdated, TimerFired, UpstreamClosed
from tests.proxy.test_crossing_events import (
    OFFERINGS,
    ProxyHarness,
    disconnect_client,
    http_request,
    run_until,
)
from tests.proxy.test_sockets import CHUNKED, SETTINGS, Peer, answer
from tests.support.scene import MS, StateMachineHarness, balancer_settings, entry

MAX_DELAY_S = 6.0  # from when discovery had a change and was reachable until the node received it
MAX_START_S = 10.0  # from the start of a process until it is ready
TENANT_COUNT, BACKEND_COUNT = 47000, 6800  # the target size
QUEUE_TIME_S = 1.5  # for which discovery queues a request where lists are polled
MAX_REQUESTS = 6  # requests that meet a fault; backoffs are at their longest by then
SEARCH_LIMIT_S = 60.0  # after discovery is back
NEVER_S = 1e9  # a time that is not reached


class Finished(BaseException):
    """Ends a simulation: the change was received, or a limit was reached."""


def change_line(index):
    return b'{"index":%d,"snapshot":false,"endpoints":[]}\n' % index


def full_list(index):
    return b'{"index":%d,"snapshot":true,"endpoints":[]}' % index


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


HEARTBEAT = (2, chunk(b"\n"))
# Faults of a request to discovery: how long connecting takes (s), and the pieces that are received then, each
# as (s after the piece before, bytes; None: end of stream). After the last piece nothing more is received.
BUSY_RESPONSE = answer(503)
NO_CONNECTION = (NEVER_S, [])
COMMON_FAULTS = {
    "the connection is refused": (0, []),
    "the connection is never established": NO_CONNECTION,
    "connected late, then silence": (3.4, []),
    "connected, then silence": (0.001, []),
    "closed at once": (0.001, [(0, None)]),
    "rejected at once, 503": (0.001, [(0, BUSY_RESPONSE)]),
    "rejected late, 429": (0.001, [(3.0, answer(429))]),
    "version rejected, 410": (0.001, [(0, answer(410))]),
    "malformed response": (0.001, [(0, b"nonsense\r\n\r\n")]),
}
LIST_FAULTS = {  # further faults of a request for the whole list
    "half a response, then silence": (0.001, [(0, answer(200, full_list(7))[:60])]),
    "half a response late, then silence": (0.001, [(3.0, answer(200, full_list(7))[:60])]),
    "half a response, then end of stream": (
        0.001,
        [(0, answer(200, full_list(7))[:60]), (0.1, None)],
    ),
    "a document that is no list": (0.001, [(0, answer(200, b"[]"))]),
}
WATCH_FAULTS = {  # further faults of a watch
    "head, then silence": (0.001, [(0, CHUNKED)]),
    "half a line, then silence": (0.001, [(0, CHUNKED + chunk(change_line(7)[:20]))]),
    "heartbeats, then silence": (0.001, [(0, CHUNKED)] + [HEARTBEAT] * 2),
    "heartbeats, then end of stream": (0.001, [(0, CHUNKED)] + [HEARTBEAT] * 2 + [(1.9, None)]),
    "end of stream instead of a change": (0.001, [(0, CHUNKED), (1.9, None)]),
    "changes that do not fit the version": (0.001, [(0, CHUNKED + chunk(change_line(3)))]),
}


class SimulatedDiscovery:
    """Discovery as seen by one node, without sockets or threads, on a clock that only the node's waits advance.

    Requests before `back_at` meet `faults` (a pair: for a whole list, for a watch); requests from then on
    receive the change. A request from before keeps its fault, as the worst case: a request that hangs goes on
    hanging when discovery is back.
    """

    def __init__(self, is_polled, index, faults, back_at, seed):
        self.now, self.faults, self.back_at = 0.0, faults, back_at
        self.queue_time_s = QUEUE_TIME_S if is_polled else 0.001
        self.request_count = 0
        self.fault_times = []  # when each request began, and when its last piece was received
        self.harness = StateMachineHarness(("b0", "b1"), polls_endpoints=is_polled)
        node = self.harness.state_machine.balancers.current
        node.pick = node.polling.pick = node.rotation.pick = mock.Mock(
            side_effect=lambda limit: limit - 1 if seed is None else seed * limit // 4
        )
        self.harness.state_machine.endpoints.version = 7
        self.started_at = self.harness.now
        self.client = discovery.DiscoveryClient("127.0.0.1:1", self, index)
        self.client.is_polled = lambda: is_polled
        self.client.poll_requested = self
        self.poll_requested = False

    def run(self):
        """Returns when the change was received or the simulation was ended."""
        socket_module = mock.Mock(socket=lambda: SimulatedConnection(self))
        with (
            mock.patch.object(discovery, "monotonic", lambda: self.now),
            mock.patch.object(discovery, "socket", socket_module),
            mock.patch.object(discovery.gevent, "sleep", self.sleep),
        ):
            try:
                self.client.run()
            except Finished:
                return self.now

    def sleep(self, seconds):
        """Advances the clock; the node's own timer fires meanwhile."""
        end = self.now + seconds
        state_machine = self.harness.state_machine
        while not self.poll_requested:
            wake = state_machine.next_wakeup(self.now_ticks())
            if wake is None or wake > self.started_at + end * 1000 * MS:
                self.now = end
                break
            self.now = max(self.now, (wake - self.started_at) / 1000 / MS)
            self.apply(TimerFired())
        if self.now > self.back_at + SEARCH_LIMIT_S:
            raise Finished

    def now_ticks(self):
        return self.started_at + round(self.now * 1000 * MS)

    # The server to which the discovery client reports.

    def handle_event(self, event):
        if (
            isinstance(event, EndpointsUpdated)
            and isinstance(event.document, dict)
            and event.document["index"] >= 8
        ):
            raise Finished
        self.apply(event)

    def apply(self, event):
        for effect in self.harness.state_machine.apply(self.now_ticks(), event):
            if isinstance(effect, PollDiscovery):
                self.client.poll_now()
            elif isinstance(effect, ResyncEndpoints):
                self.client.resync()

    # Replaces the event `poll_requested` of the discovery client.

    def set(self):
        self.poll_requested = True

    def clear(self):
        self.poll_requested = False

    def wait(self, timeout):
        self.sleep(timeout)


class SimulatedConnection:
    def __init__(self, service):
        self.service, self.timeout_s, self.pieces, self.closed = service, None, [], False
        self._read_event = types.SimpleNamespace(priority=0)  # as sockets of gevent have

    def settimeout(self, seconds):
        self.timeout_s = seconds

    def setsockopt(self, *arguments):
        pass

    shutdown = setsockopt

    def close(self):
        self.closed = True

    def connect(self, address):
        service = self.service
        if service.request_count == MAX_REQUESTS:
            raise Finished
        service.request_count += service.back_at == NEVER_S
        self.is_reachable = service.now >= service.back_at
        connect_s, self.pieces = (0.0001, None) if self.is_reachable else (None, None)
        if not self.is_reachable:
            # A watch begins at a version; the whole list is requested without one.
            connect_s, pieces = service.faults[service.client.index is not None]
            self.pieces = list(pieces)
            if HEARTBEAT not in pieces:
                # A watch with heartbeats still reports changes.
                service.fault_times.append(service.now)
            if not connect_s:
                raise ConnectionRefusedError(111, "Connection refused")
        self.wait(connect_s)

    def wait(self, seconds):
        if seconds > self.timeout_s:
            self.service.sleep_through(self.timeout_s)
            raise TimeoutError("timed out")
        self.service.sleep_through(seconds)

    def sendall(self, data):
        if self.is_reachable:
            response = (
                CHUNKED + chunk(change_line(8))
                if b"follow" in bytes(data)
                else answer(200, full_list(8))
            )
            self.pieces = [(self.service.queue_time_s, response)]

    def recv_into(self, buffer):
        if self.closed:
            raise OSError(9, "Bad file descriptor")
        delay_s, data = self.pieces.pop(0) if self.pieces else (NEVER_S, b"")
        self.wait(delay_s)
        if data is None:
            return 0
        if not self.pieces:
            self.service.fault_times.append(self.service.now)
        buffer[: len(data)] = data
        return len(data)


def sleep_through(service, seconds):
    """Waits as for a socket: a poll request meanwhile does not end the wait."""
    was_requested, service.poll_requested = service.poll_requested, False
    end = service.now + seconds
    while service.now < end:
        service.sleep(end - service.now)
        was_requested, service.poll_requested = was_requested or service.poll_requested, False
    service.poll_requested = was_requested


SimulatedDiscovery.sleep_through = sleep_through


class ChangeDelay(unittest.TestCase):
    """Guards against changes that a node receives later than 6 s after discovery had them and was reachable.

    The time must hold whatever fault came before.
    """

    def longest_delay(self, is_polled, index, faults):
        """Returns the longest delay of a change.

        Discovery comes back just after each time at which a request began or received its last piece, with
        random intervals at their longest, shortest and middle values.
        """
        longest = 0
        for seed in (None, 0, 2):  # the longest random values, the shortest, those in the middle
            failing = SimulatedDiscovery(is_polled, index, faults, NEVER_S, seed)
            failing.run()
            for fault_time in failing.fault_times:
                service = SimulatedDiscovery(is_polled, index, faults, fault_time + 0.001, seed)
                longest = max(longest, service.run() - service.back_at)
        return longest

    maxDiff = None

    def test_change_arrives_in_time_after_each_fault(self):
        lists, watches = {**COMMON_FAULTS, **LIST_FAULTS}, {**COMMON_FAULTS, **WATCH_FAULTS}
        valid_list = (0.001, [(0, answer(200, full_list(7)))])
        late = []
        for is_polled in (False, True):
            cases = [(None, name, (fault, NO_CONNECTION)) for name, fault in lists.items()]
            cases += [(7, name, (valid_list, fault)) for name, fault in watches.items()]
            for index, name, faults in cases:
                delay_s = self.longest_delay(is_polled, index, faults)
                if delay_s > MAX_DELAY_S:
                    late.append(
                        f"{'polled' if is_polled else 'pushed'}, {'list' if index is None else 'watch'}: "
                        f"{name}: {delay_s:.2f} s"
                    )
        self.assertEqual(late, [])

    def test_all_nodes_are_served_by_a_slow_discovery(self):
        """Guards against nodes that keep a polled discovery overloaded after it is back.

        Forty nodes lose discovery at once. When it is back, it serves three requests a second, in order, and
        rejects requests that have waited for 2 s.
        """
        begin = now = 10000 * MS
        nodes = [
            Balancer(
                f"seed {n}",
                balancer_settings(node_number=n, node_count=40, polls_endpoints=True),
                now,
            )
            for n in range(40)
        ]
        for node in nodes:
            node.next_decision(now)
            node.discovery_lost(now, 0)
        queue, served_after, request_count, free_at = [], {}, 0, now
        while len(served_after) < 40 and now < begin + 60000 * MS:
            now += 10 * MS
            for n, node in enumerate(nodes):
                while n not in served_after and (decision := node.next_decision(now)) is not None:
                    if type(decision) is PollEndpoints:
                        queue.append((now, n))
                        request_count += 1
            while queue and queue[0][0] <= now - 2000 * MS:
                since, n = queue.pop(0)
                nodes[n].discovery_lost(now, now - since)
            if queue and free_at <= now:
                served_after[queue.pop(0)[1]] = now - begin
                free_at = now + 3333
        longest_s = max(served_after.values()) // MS / 1000
        self.assertEqual(
            (len(served_after), longest_s <= 20, request_count <= 120),
            (40, True, True),
            f"{longest_s} s, {request_count} requests",
        )


class DisconnectedClients(unittest.TestCase):
    """Guards against attempts that begin after their client has disconnected.

    The class `ClientDisconnects` of `test_crossing_events` has further cases: there a first attempt waits for its connection,
    in the admission queue, behind a pipelined request, behind a body, for its decision or in the kernel, and a
    further attempt waits for its decision.
    """

    def setUp(self):
        self.greenlet_errors = []
        for patch in (
            mock.patch.object(
                type(gevent.get_hub()),
                "handle_error",
                lambda hub, *error: self.greenlet_errors.append(error),
            ),
            mock.patch.object(downstream, "CLIENT_READ_TIMEOUT", 10**9),
        ):
            patch.start()
            self.addCleanup(patch.stop)

    def hold_first_attempt(self, proxy, sock, request_class):
        """Returns the connection of the first attempt, which its backend receives and does not answer."""
        release = Event()
        for backend in proxy.backends:
            backend.reply = lambda message: release
        sock.sendall(http_request(request_class, "1"))
        run_until(lambda: f"/{request_class}/1" in proxy.seen())
        proxy.pending_connection = next(
            link
            for link in proxy.host.state_machine.upstream.by_state[ConnectionState.BUSY]
            if link.attempt
        )
        for backend in proxy.backends:
            backend.seen.clear()
        return proxy.pending_connection

    def next_attempt_connecting(self, proxy, sock, request_class):
        """The next attempt waits for a connection; the client's end of stream is read first."""
        link = self.hold_first_attempt(proxy, sock, request_class)
        proxy.gate.clear()
        proxy.host.handle_event(UpstreamClosed(link, CloseCause.RESET, False, "as the test says"))
        run_until(proxy.connecting)
        yield
        run_until(lambda: not any(proxy.host.state_machine.downstream.by_state.values()))
        proxy.gate.set()

    def next_attempt_connecting_unread(self, proxy, sock, request_class):
        """The same; the end of stream is unread as the connection is established."""
        link = self.hold_first_attempt(proxy, sock, request_class)
        proxy.gate.clear()
        proxy.host.handle_event(UpstreamClosed(link, CloseCause.RESET, False, "as the test says"))
        run_until(proxy.connecting)
        yield
        proxy.gate.set()

    def next_attempt_delayed(self, proxy, sock, request_class):
        """The next attempt waits until the end of the one before is known."""
        link = self.hold_first_attempt(proxy, sock, request_class)
        proxy.host.handle_event(
            UpstreamClosed(link, CloseCause.MALFORMED_RESPONSE, True, "as the test says")
        )
        yield

    def request_and_end_on_idle_connection(self, proxy, sock, request_class):
        """Request and end of stream arrive on an idle connection within one turn of the loop."""
        sock.sendall(http_request("look", "warm"))
        sock.setblocking(False)
        run_until(lambda: socket_io.is_readable(mock.Mock(_sock=sock)))
        sock.recv(1000)
        run_until(lambda: proxy.host.state_machine.downstream.by_state[ConnectionState.IDLE])
        sock.setblocking(True)
        sock.sendall(http_request(request_class, "1"))
        yield

    maxDiff = None

    def test_no_attempt_begins_after_disconnect(self):
        sent_after_end = []
        for scenario in (
            self.next_attempt_connecting,
            self.next_attempt_connecting_unread,
            self.next_attempt_delayed,
            self.request_and_end_on_idle_connection,
        ):
            for request_class, cancel in (("look", True), ("pay", False)):
                for manner in ("close", "half", "reset"):
                    proxy = ProxyHarness(2, cancel)
                    try:
                        if scenario in (
                            self.next_attempt_delayed,
                            self.request_and_end_on_idle_connection,
                        ):
                            proxy.open_connections()
                        sock = proxy.client()
                        steps = scenario(proxy, sock, request_class)
                        next(steps)
                        disconnect_client(sock, manner)
                        next(steps, None)
                        if seen := proxy.forwarded_requests():
                            sent_after_end.append(
                                f"{scenario.__name__} {request_class} {manner}: {seen}"
                            )
                        sock.close()
                        self.assertEqual(proxy.host.faults, 0)
                    finally:
                        proxy.close()
        self.assertEqual((sent_after_end, self.greenlet_errors), ([], []))

    def test_no_attempt_of_queued_requests_begins_after_disconnect(self):
        """More requests arrive than may be in flight at once; the clients of the queued ones disconnect.

        Then the requests in flight are answered, which would let queued ones begin.
        """
        for manner in ("close", "half", "reset"):
            proxy, release = ProxyHarness(1), Event()
            proxy.backends[0].reply = lambda message, release=release: release
            try:
                socks = [proxy.client() for _ in range(60)]
                for n, sock in enumerate(socks):
                    sock.sendall(http_request("look", str(n)))
                state_machine = proxy.host.state_machine
                run_until(
                    lambda state_machine=state_machine: (
                        len(state_machine.downstream.by_state[ConnectionState.AWAITING_RESPONSE])
                        == 60
                    )
                )
                run_until(lambda proxy=proxy: not proxy.connecting())
                run_until(
                    lambda proxy=proxy: (
                        len(proxy.seen()) == len(proxy.host.state_machine.attempts.connections)
                    )
                )
                waiting = {
                    client.id.decode()
                    for client in state_machine.downstream.by_state[
                        ConnectionState.AWAITING_RESPONSE
                    ]
                    if not client.request.attempts
                }
                self.assertGreater(len(waiting), 10)
                for number in waiting:
                    disconnect_client(socks[int(number)], manner)
                release.set()
                run_until(
                    lambda state_machine=state_machine: (
                        not state_machine.downstream.by_state[ConnectionState.AWAITING_RESPONSE]
                    )
                )
                for sock in socks:
                    sock.close()
                del socks, sock
                seen = {url.rpartition("/")[2] for url in proxy.forwarded_requests()}
                self.assertEqual((len(seen) + len(waiting), seen & waiting), (60, set()))
                self.assertEqual(proxy.host.faults, 0)
            finally:
                proxy.close()
        self.assertEqual(self.greenlet_errors, [])


class NodeProcess:
    """A node in a process of its own, whose log is read by a thread."""

    def __init__(self, folder, overrides, descriptors=None):
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.management = free.getsockname()
        config = {
            "name": "n1",
            "listen": "127.0.0.1:0",
            "seed": "8c",
            "management": "%s:%d" % self.management,
            **overrides,
        }
        path = os.path.join(folder, "config.json")
        with open(path, "w") as file:
            json.dump(config, file)
        limit = descriptors and (
            lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors,) * 2)
        )
        self.log, started = [], threading.Event()
        self.process = subprocess.Popen(
            [sys.executable, "-m", "pierglade"],
            stdout=subprocess.PIPE,
            env={**os.environ, "BALANCER_CONFIG": path, "TMPDIR": folder},
            preexec_fn=limit,
        )
        threading.Thread(target=self.read, args=(started,), daemon=True).start()
        started.wait(20)
        host, _, port = self.log[0]["listen"].rpartition(":")
        self.address = host, int(port)

    def read(self, started):
        for line in self.process.stdout:
            self.log.append(json.loads(line))
            started.set()

    def events(self, *names):
        return [line for line in self.log if line["event"] in names]

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def send(self, data, address=None):
        """Sends `data` on a new connection; returns the bytes received until its end."""
        with socket.create_connection(address or self.address, 20) as sock:
            sock.sendall(data)
            return b"".join(iter(lambda: sock.recv(65536), b""))

    def call(self, path):
        """Sends a management call; returns the status and the body of the response."""
        response = self.send(b"GET %s HTTP/1.1\r\nHost: h\r\n\r\n" % path, self.management)
        return int(response[9:12]), response.partition(b"\r\n\r\n")[2]

    def ask(self, number):
        """Sends a request on a new connection; returns the status and the body of the response.

        Returns None if the node closed the connection without reading the request.
        """
        with socket.create_connection(self.address, 20) as sock:
            try:
                sock.sendall(http_request("look", number))
                response = sock.recv(4096)
            except OSError:
                return None
        return (int(response[9:12]), response.partition(b"\r\n\r\n")[2]) if response else None

    def end(self):
        self.process.kill()
        self.process.wait()
        self.process.stdout.close()


def wait_until(condition):
    """Waits until `condition()` holds; raises AssertionError after 20 s."""
    end = time.monotonic() + 20
    while not condition():
        if time.monotonic() > end:
            raise AssertionError("the condition did not hold within 20 s")
        time.sleep(0.002)


HELD_LIMIT_US = 120_000_000  # each wait of the test may take 20 s where the machine is busy


class DescriptorShortage(unittest.TestCase):
    """Guards against failures while idle clients use up the descriptors and discovery is down."""

    def test_upstream_connection_takes_precedence_over_idle_clients(self):
        harness = StateMachineHarness(["b0"], sockets=RESERVED_DESCRIPTORS + 3)
        for name in ("c0", "c1", "c2"):
            harness.open(name)
        harness.lines = []
        harness.send_request("c3")
        effects = [text.split()[1:] for text in harness.lines]
        self.assertEqual(
            [
                effect
                for effect in effects
                if effect[0] in ("CloseWhenRead", "Connect", "SendResponse")
            ],
            [
                ["CloseWhenRead", "c0", "yielded"],
                ["CloseWhenRead", "c1", "yielded"],
                ["Connect", "link", "0", "b0"],
            ],
        )

    def idle_client(self, node, number, stop):
        """Connects, and reconnects when closed; every second client sends one request per connection."""
        count = 0
        while not stop.is_set():
            count += 1
            try:
                with socket.create_connection(node.address, 20) as sock:
                    if number % 2:
                        sock.sendall(http_request("look", f"idle{number}-{count}"))
                    while sock.recv(4096):
                        pass
            except OSError:
                pass
            stop.wait(0.05)

    def test_node_serves_while_idle_clients_use_up_descriptors(self):
        """The endpoint list, upstream connections and management calls still get descriptors.

        Requests in flight are answered, and the node logs no error.
        """
        back, release, stop = threading.Event(), threading.Event(), threading.Event()

        def serve(name):
            def reply(message):
                if b"held" in message.url:
                    release.wait(HELD_LIMIT_US / 1e6)
                return answer(200, name)

            return reply

        backends = {name: Peer(serve(name.encode())) for name in ("b0", "b1")}
        entries = {name: entry(name, address=peer.address) for name, peer in backends.items()}
        change = (
            json.dumps(
                {
                    "index": 2,
                    "snapshot": False,
                    "endpoints": [{**entries["b0"], "status": "DELETED"}, entries["b1"]],
                }
            ).encode()
            + b"\n"
        )

        def agent(message):
            if back.is_set():
                return CHUNKED + chunk(change)
            stop.wait(0.1)  # silent, then closed

        settings = {
            **SETTINGS,
            # What is held must not reach its deadline before the test releases it.
            "offerings": [{**each, "hardLimitUs": HELD_LIMIT_US} for each in OFFERINGS],
            "limits": {"mostTrips": 3, "mayCancel": False},
        }
        with tempfile.TemporaryDirectory() as folder:
            node = NodeProcess(
                folder,
                {
                    "discovery": Peer(agent).address,
                    "limits": {"sockets": 64},
                    "settings": settings,
                    "known": {"index": 1, "snapshot": True, "endpoints": [entries["b0"]]},
                },
                descriptors=64,
            )
            try:
                pending = [socket.create_connection(node.address, 20) for _ in range(4)]
                for n, sock in enumerate(pending):
                    sock.sendall(http_request("pay", f"held{n}"))
                wait_until(lambda: sum("held" in url for url in backends["b0"].seen) == 4)
                idle_threads = [
                    threading.Thread(target=self.idle_client, args=(node, n, stop), daemon=True)
                    for n in range(80)
                ]
                for thread in idle_threads:
                    thread.start()
                wait_until(lambda: node.events("descriptors_exhausted"))
                self.assertEqual([node.call(b"/status")[0] for _ in range(5)], [200] * 5)
                # The request's own connection may be closed unread, as an idle one; then it is sent again.
                for n in range(10):
                    wait_until(
                        lambda n=n: node.ask(f"before{n}-{time.monotonic_ns()}") == (200, b"b0")
                    )
                back.set()
                wait_until(
                    lambda: any(event["version"] == 2 for event in node.events("endpoints_updated"))
                )
                wait_until(lambda: node.ask(f"after-{time.monotonic_ns()}") == (200, b"b1"))
                self.assertEqual(node.call(b"/status")[0], 200)
                self.assertLess(node.descriptors(), 64)
                release.set()
                responses = [sock.recv(4096) for sock in pending]
                self.assertEqual(
                    [(response[9:12], response[-2:]) for response in responses],
                    [(b"200", b"b0")] * 4,
                )
                for sock in pending:
                    sock.close()
                self.assertEqual(
                    node.events("internal_error", "deadline_overrun", "accept_failed"), []
                )
            finally:
                stop.set()
                back.set()
                release.set()
                node.end()
                for thread in idle_threads:
                    thread.join(20)


class RestartTime(unittest.TestCase):
    def test_process_is_ready_in_time_at_the_target_size(self):
        """Guards against a slow start with the tenants and the endpoint list of the target size.

        The list is known from the configuration file. The watch then sends it again as a whole, indented,
        with one new backend.
        """
        entries = [
            entry(f"b{n}", address=f"127.{n >> 8}.{n & 255}.1:8081", since_ms=1796184000000 + n)
            for n in range(BACKEND_COUNT)
        ]
        known = {"index": 1, "snapshot": True, "endpoints": entries[:-1]}
        document = (
            json.dumps({"index": 2, "snapshot": True, "endpoints": entries}, indent=2).encode()
            + b"\n"
        )
        tenants = [{"name": f"tenant-{n}", "quotaPerS": 3} for n in range(TENANT_COUNT)]
        agent = Peer(lambda message: CHUNKED + chunk(document))
        with tempfile.TemporaryDirectory() as folder:
            began = time.monotonic()
            node = NodeProcess(
                folder,
                {
                    "discovery": agent.address,
                    "known": known,
                    "settings": {**SETTINGS, "customers": tenants},
                },
            )
            try:
                ready = b"GET /health/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
                wait_until(lambda: node.send(ready)[:12] == b"HTTP/1.1 200")
                start_s = time.monotonic() - began
                wait_until(
                    lambda: any(event["version"] == 2 for event in node.events("endpoints_updated"))
                )
                rows = json.loads(node.call(b"/backends")[1])["backends"]
                self.assertEqual(
                    (len(rows), len({row["name"] for row in rows})), (BACKEND_COUNT, BACKEND_COUNT)
                )
                self.assertEqual(node.events("internal_error", "endpoints_rejected"), [])
                self.assertLess(start_s, MAX_START_S)
            finally:
                node.end()
