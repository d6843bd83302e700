"""The operators' terms of acceptance (docs/incidents/acceptance.md) on a reducer or a node on loopback."""

import json
import os
import resource
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest
from unittest import mock

import gevent
from gevent.event import Event

from pierglade.balancer.balancer import Balancer
from pierglade.model.decision import PollEndpoints
from pierglade.proxy import discovery
from pierglade.proxy import socket_io as sending
from pierglade.proxy.state import downstream as state_clients
from pierglade.proxy.state.connections import CloseCause, ConnectionState
from pierglade.proxy.state.constants import SPARE
from pierglade.proxy.state.effects import PollDiscovery, ResyncEndpoints
from pierglade.proxy.state.events import EndpointsUpdated, TimerFired, UpstreamClosed
from tests.proxy.test_crossing_events import OFFERINGS, House, http_request, leave, until
from tests.proxy.test_sockets import CHUNKED, SETTINGS, Peer, answer
from tests.support.scene import MS, Desk, balancer_settings, entry

TOLD_IN = 6.0  # s; from when discovery had a change and could be reached
READY_IN = 10.0  # s; a process that was started anew
TENANTS, BACKENDS = 47000, 6800  # the target
IN_LINE = 1.5  # s; for which a call waits its turn where lists are asked for
CALLS = 6  # in trouble; backoffs are at their longest by then
GIVEN_UP = 60.0  # s after the return
LATER = 1e9  # s; it does not come


class Told(BaseException):
    """The change has come."""


def line(index):
    return b'{"index":%d,"snapshot":false,"endpoints":[]}\n' % index


def whole(index):
    return b'{"index":%d,"snapshot":true,"endpoints":[]}' % index


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


HEARTBEAT = (2, chunk(b"\n"))
# What a call meets while discovery is in trouble: how long its connection takes, and what comes then, each
# piece (s after the one before, bytes; None: the end). After the last piece nothing comes any more.
EMPTY = answer(503)
NONE = (LATER, [])
FAULTS = {
    "the connection is refused": (0, []),
    "the connection never comes up": NONE,
    "it comes up late, then silence": (3.4, []),
    "accepted, then silence": (0.001, []),
    "closed at once": (0.001, [(0, None)]),
    "refused at once, 503": (0.001, [(0, EMPTY)]),
    "refused late, 429": (0.001, [(3.0, answer(429))]),
    "its version is refused, 410": (0.001, [(0, answer(410))]),
    "an answer that cannot be read": (0.001, [(0, b"nonsense\r\n\r\n")]),
}
LISTS = {  # what is beside these met by a call for the whole list
    "half an answer, then silence": (0.001, [(0, answer(200, whole(7))[:60])]),
    "half an answer late, then silence": (0.001, [(3.0, answer(200, whole(7))[:60])]),
    "half an answer, then the end": (0.001, [(0, answer(200, whole(7))[:60]), (0.1, None)]),
    "a list that is none": (0.001, [(0, answer(200, b"[]"))]),
}
WATCHES = {  # and by one for a watch
    "up, then silence": (0.001, [(0, CHUNKED)]),
    "half a line, then silence": (0.001, [(0, CHUNKED + chunk(line(7)[:20]))]),
    "heartbeats, then silence": (0.001, [(0, CHUNKED)] + [HEARTBEAT] * 2),
    "heartbeats, then the end": (0.001, [(0, CHUNKED)] + [HEARTBEAT] * 2 + [(1.9, None)]),
    "ends instead of telling": (0.001, [(0, CHUNKED), (1.9, None)]),
    "changes that do not fit": (0.001, [(0, CHUNKED + chunk(line(3)))]),
}


class Calls:
    """Discovery as one node meets it, by a clock that only the node's own waits move: no socket, no thread.

    Up to `reached` calls meet `faults` (for a whole list, for a watch); who calls from then on is told of the
    change. A call from before keeps its trouble, as the worst case: what hangs is not mended by the return.
    """

    def __init__(self, asked, index, faults, reached, seed):
        self.now, self.faults, self.reached = 0.0, faults, reached
        self.line = IN_LINE if asked else 0.001
        self.begun = 0  # calls
        self.heard = []  # when each call began, and when its last piece came
        self.desk = Desk(("b0", "b1"), polls_endpoints=asked)
        node = self.desk.reducer.balancers.current
        node.pick = node.polling.pick = node.rotation.pick = mock.Mock(
            side_effect=lambda most: most - 1 if seed is None else seed * most // 4
        )
        self.desk.reducer.endpoints.version = 7
        self.start = self.desk.now
        self.watch = discovery.DiscoveryClient("127.0.0.1:1", self, index)
        self.watch.is_polled = lambda: asked
        self.watch.poll_requested = self
        self.asked = False

    def run(self):
        """When the change was told, or the calls were enough."""
        place = mock.Mock(socket=lambda: Connection(self))
        with (
            mock.patch.object(discovery, "monotonic", lambda: self.now),
            mock.patch.object(discovery, "socket", place),
            mock.patch.object(discovery.gevent, "sleep", self.sleep),
        ):
            try:
                self.watch.run()
            except Told:
                return self.now

    def sleep(self, seconds):
        """The node's own timer goes on meanwhile."""
        end = self.now + seconds
        reducer = self.desk.reducer
        while not self.asked:
            wake = reducer.next_wakeup(self.tenths())
            if wake is None or wake > self.start + end * 1000 * MS:
                self.now = end
                break
            self.now = max(self.now, (wake - self.start) / 1000 / MS)
            self.apply(TimerFired())
        if self.now > self.reached + GIVEN_UP:
            raise Told

    def tenths(self):
        return self.start + round(self.now * 1000 * MS)

    # The host of the follower.

    def tell(self, event):
        if (
            isinstance(event, EndpointsUpdated)
            and isinstance(event.document, dict)
            and event.document["index"] >= 8
        ):
            raise Told
        self.apply(event)

    def apply(self, event):
        for effect in self.desk.reducer.apply(self.tenths(), event):
            if isinstance(effect, PollDiscovery):
                self.watch.ask()
            elif isinstance(effect, ResyncEndpoints):
                self.watch.resync()

    # In the place of its event.

    def set(self):
        self.asked = True

    def clear(self):
        self.asked = False

    def wait(self, within):
        self.sleep(within)


class Connection:
    def __init__(self, calls):
        self.calls, self.limit, self.pieces, self.closed = calls, None, [], False

    def settimeout(self, seconds):
        self.limit = seconds

    def setsockopt(self, *what):
        pass

    shutdown = setsockopt

    def close(self):
        self.closed = True

    def connect(self, place):
        calls = self.calls
        if calls.begun == CALLS:
            raise Told
        calls.begun += calls.reached == LATER
        self.good = calls.now >= calls.reached
        takes, self.pieces = (0.0001, None) if self.good else (None, None)
        if not self.good:
            # Which of the two it calls for is told by what it follows from.
            takes, pieces = calls.faults[calls.watch.index is not None]
            self.pieces = list(pieces)
            if HEARTBEAT not in pieces:
                calls.heard.append(calls.now)  # else it still tells what there is
            if not takes:
                raise ConnectionRefusedError(111, "Connection refused")
        self.wait(takes)

    def wait(self, takes):
        if takes > self.limit:
            self.calls.sleep_through(self.limit)
            raise TimeoutError("timed out")
        self.calls.sleep_through(takes)

    def sendall(self, data):
        if self.good:
            told = CHUNKED + chunk(line(8)) if b"follow" in bytes(data) else answer(200, whole(8))
            self.pieces = [(self.calls.line, told)]

    def recv_into(self, room):
        if self.closed:
            raise OSError(9, "Bad file descriptor")
        after, data = self.pieces.pop(0) if self.pieces else (LATER, b"")
        self.wait(after)
        if data is None:
            return 0
        if not self.pieces:
            self.calls.heard.append(self.calls.now)
        room[: len(data)] = data
        return len(data)


def sleep_through(calls, seconds):
    """As a wait for a socket: being asked meanwhile does not end it."""
    asked, calls.asked = calls.asked, False
    end = calls.now + seconds
    while calls.now < end:
        calls.sleep(end - calls.now)
        asked, calls.asked = asked or calls.asked, False
    calls.asked = asked


Calls.sleep_through = sleep_through


class Changes(unittest.TestCase):
    """A change is told 6 s after discovery had it and could be reached, whatever went wrong before."""

    def worst(self, asked, index, faults):
        """The longest time from the worst moments for discovery to come back, with long and short draws."""
        worst = 0
        for seed in (None, 0, 2):  # the longest draws, the shortest, those in the middle
            trouble = Calls(asked, index, faults, LATER, seed)
            trouble.run()
            for begun in trouble.heard:
                calls = Calls(asked, index, faults, begun + 0.001, seed)
                worst = max(worst, calls.run() - calls.reached)
        return worst

    maxDiff = None

    def test_a_change_is_told_in_time_after_whatever_a_call_met(self):
        lists, watches = {**FAULTS, **LISTS}, {**FAULTS, **WATCHES}
        good = (0.001, [(0, answer(200, whole(7)))])
        late = []
        for asked in (False, True):
            kinds = [(None, name, (fault, NONE)) for name, fault in lists.items()]
            kinds += [(7, name, (good, fault)) for name, fault in watches.items()]
            for index, name, faults in kinds:
                took = self.worst(asked, index, faults)
                if took > TOLD_IN:
                    late.append(
                        f"{'asked' if asked else 'pushed'}, {'list' if index is None else 'watch'}: "
                        f"{name}: {took:.2f} s"
                    )
        self.assertEqual(late, [])

    def test_all_are_told_by_a_discovery_that_serves_three_calls_a_second(self):
        """Lost to forty nodes at once, and back. It answers in turn, and refuses who has waited for 2 s."""
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
        line, told, calls, free = [], {}, 0, now
        while len(told) < 40 and now < begin + 60000 * MS:
            now += 10 * MS
            for n, node in enumerate(nodes):
                while n not in told and (decision := node.next_decision(now)) is not None:
                    if type(decision) is PollEndpoints:
                        line.append((now, n))
                        calls += 1
            while line and line[0][0] <= now - 2000 * MS:
                since, n = line.pop(0)
                nodes[n].discovery_lost(now, now - since)
            if line and free <= now:
                told[line.pop(0)[1]] = now - begin
                free = now + 3333
        last = max(told.values()) // MS / 1000
        self.assertEqual(
            (len(told), last <= 20, calls <= 120), (40, True, True), f"{last} s, {calls} calls"
        )


class Gone(unittest.TestCase):
    """Who closes or cancels has gone: no attempt of it, first or further, begins any more.

    Beside `test_crossings`, `Left`: there a first attempt waits for its connection, in the line, ahead,
    behind a body, for its decision or in the kernel, and a further one for its decision.
    """

    def setUp(self):
        self.raised = []
        for patch in (
            mock.patch.object(
                type(gevent.get_hub()), "handle_error", lambda hub, *what: self.raised.append(what)
            ),
            mock.patch.object(state_clients, "SLOW_READER", 10**9),
        ):
            patch.start()
            self.addCleanup(patch.stop)

    def out(self, house, sock, request_class):
        """The link of its first attempt, which its backend has and does not answer."""
        held = Event()
        for backend in house.backends:
            backend.reply = lambda message: held
        sock.sendall(http_request(request_class, "1"))
        until(lambda: f"/{request_class}/1" in house.seen())
        house.first = next(
            link
            for link in house.host.reducer.upstream.by_state[ConnectionState.BUSY]
            if link.attempt
        )
        for backend in house.backends:
            backend.seen.clear()
        return house.first

    def further_connecting(self, house, sock, request_class):
        """Its further attempt waits for a connection; the end is read first."""
        link = self.out(house, sock, request_class)
        house.gate.clear()
        house.host.tell(UpstreamClosed(link, CloseCause.RESET, False, "as the test says"))
        until(house.connecting)
        yield
        until(lambda: not any(house.host.reducer.downstream.by_state.values()))
        house.gate.set()

    def further_connecting_at_once(self, house, sock, request_class):
        """The same; the end is there as the connection comes up."""
        link = self.out(house, sock, request_class)
        house.gate.clear()
        house.host.tell(UpstreamClosed(link, CloseCause.RESET, False, "as the test says"))
        until(house.connecting)
        yield
        house.gate.set()

    def further_apart(self, house, sock, request_class):
        """Its further attempt waits until the end of the one before is there."""
        link = self.out(house, sock, request_class)
        house.host.tell(
            UpstreamClosed(link, CloseCause.MALFORMED_RESPONSE, True, "as the test says")
        )
        yield

    def kept_while_busy(self, house, sock, request_class):
        """On a kept connection; request and end come while the loop does not turn."""
        sock.sendall(http_request("look", "warm"))
        sock.setblocking(False)
        until(lambda: sending.is_readable(mock.Mock(_sock=sock)))
        sock.recv(1000)
        until(lambda: house.host.reducer.downstream.by_state[ConnectionState.IDLE])
        sock.setblocking(True)
        sock.sendall(http_request(request_class, "1"))
        yield

    maxDiff = None

    def test_no_attempt_begins(self):
        sent_on = []
        for place in (
            self.further_connecting,
            self.further_connecting_at_once,
            self.further_apart,
            self.kept_while_busy,
        ):
            for request_class, cancel in (("look", True), ("pay", False)):
                for how in ("close", "half", "reset"):
                    house = House(2, cancel)
                    try:
                        if place in (self.further_apart, self.kept_while_busy):
                            house.warm()
                        sock = house.client()
                        steps = place(house, sock, request_class)
                        next(steps)
                        leave(sock, how)
                        next(steps, None)
                        if seen := house.rest():
                            sent_on.append(f"{place.__name__} {request_class} {how}: {seen}")
                        sock.close()
                        self.assertEqual(house.host.faults, 0)
                    finally:
                        house.close()
        self.assertEqual((sent_on, self.raised), ([], []))

    def test_no_attempt_of_what_waits_for_room(self):
        """More than may be out at once: those that wait leave, then those that are out are answered."""
        for how in ("close", "half", "reset"):
            house, held = House(1), Event()
            house.backends[0].reply = lambda message, held=held: held
            try:
                socks = [house.client() for _ in range(60)]
                for n, sock in enumerate(socks):
                    sock.sendall(http_request("look", str(n)))
                reducer = house.host.reducer
                until(
                    lambda reducer=reducer: (
                        len(reducer.downstream.by_state[ConnectionState.AWAITING_RESPONSE]) == 60
                    )
                )
                until(lambda house=house: not house.connecting())
                until(
                    lambda house=house: (
                        len(house.seen()) == len(house.host.reducer.attempts.connections)
                    )
                )
                waiting = {
                    client.id.decode()
                    for client in reducer.downstream.by_state[ConnectionState.AWAITING_RESPONSE]
                    if not client.request.attempts
                }
                self.assertGreater(len(waiting), 10)
                for number in waiting:
                    leave(socks[int(number)], how)
                held.set()
                until(
                    lambda reducer=reducer: (
                        not reducer.downstream.by_state[ConnectionState.AWAITING_RESPONSE]
                    )
                )
                for sock in socks:
                    sock.close()
                del socks, sock
                seen = {url.rpartition("/")[2] for url in house.rest()}
                self.assertEqual((len(seen) + len(waiting), seen & waiting), (60, set()))
                self.assertEqual(house.host.faults, 0)
            finally:
                house.close()
        self.assertEqual(self.raised, [])


class Process:
    """A real node as a process, its log read beside it."""

    def __init__(self, folder, told, descriptors=None):
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.management = free.getsockname()
        told = {
            "name": "n1",
            "listen": "127.0.0.1:0",
            "seed": "8c",
            "management": "%s:%d" % self.management,
            **told,
        }
        path = os.path.join(folder, "config.json")
        with open(path, "w") as file:
            json.dump(told, file)
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
        self.place = host, int(port)

    def read(self, started):
        for line in self.process.stdout:
            self.log.append(json.loads(line))
            started.set()

    def events(self, *names):
        return [line for line in self.log if line["event"] in names]

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def send(self, data, place=None):
        """All that comes back until the connection's end."""
        with socket.create_connection(place or self.place, 20) as sock:
            sock.sendall(data)
            return b"".join(iter(lambda: sock.recv(65536), b""))

    def call(self, path):
        """What the operators' call of this path brings: a status and the body."""
        told = self.send(b"GET %s HTTP/1.1\r\nHost: h\r\n\r\n" % path, self.management)
        return int(told[9:12]), told.partition(b"\r\n\r\n")[2]

    def ask(self, number):
        """The answer's status and body, from one connection; None where that was shut unread."""
        with socket.create_connection(self.place, 20) as sock:
            try:
                sock.sendall(http_request("look", number))
                told = sock.recv(4096)
            except OSError:
                return None
        return (int(told[9:12]), told.partition(b"\r\n\r\n")[2]) if told else None

    def end(self):
        self.process.kill()
        self.process.wait()
        self.process.stdout.close()


def await_that(true):
    end = time.monotonic() + 20
    while not true():
        if time.monotonic() > end:
            raise AssertionError("it never came")
        time.sleep(0.002)


class Crowded(unittest.TestCase):
    """Idle clients fill the descriptors while discovery is down."""

    def test_a_link_for_a_request_in_hand_goes_before_clients_that_were_just_opened(self):
        desk = Desk(["b0"], sockets=SPARE + 3)
        for name in ("c0", "c1", "c2"):
            desk.open(name)
        desk.lines = []
        desk.ask("c3")
        told = [line.split()[1:] for line in desk.lines]
        self.assertEqual(
            [line for line in told if line[0] in ("CloseWhenRead", "Connect", "SendResponse")],
            [
                ["CloseWhenRead", "c0", "yielded"],
                ["CloseWhenRead", "c1", "yielded"],
                ["Connect", "link", "0", "b0"],
            ],
        )

    def idle(self, node, number, stop):
        """A client that is let go comes again; every second one has asked once."""
        count = 0
        while not stop.is_set():
            count += 1
            try:
                with socket.create_connection(node.place, 20) as sock:
                    if number % 2:
                        sock.sendall(http_request("look", f"idle{number}-{count}"))
                    while sock.recv(4096):
                        pass
            except OSError:
                pass
            stop.wait(0.05)

    def test_list_links_and_calls_and_nothing_is_lost(self):
        back, release, stop = threading.Event(), threading.Event(), threading.Event()

        def serve(name):
            def reply(message):
                if b"held" in message.url:
                    release.wait(20)
                return answer(200, name)

            return reply

        peers = {name: Peer(serve(name.encode())) for name in ("b0", "b1")}
        entries = {name: entry(name, address=peer.address) for name, peer in peers.items()}
        moved = (
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
                return CHUNKED + chunk(moved)
            stop.wait(0.1)  # silent, then closed

        settings = {
            **SETTINGS,
            "offerings": OFFERINGS,
            "limits": {"mostTrips": 3, "mayCancel": False},
        }
        with tempfile.TemporaryDirectory() as folder:
            node = Process(
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
                held = [socket.create_connection(node.place, 20) for _ in range(4)]
                for n, sock in enumerate(held):
                    sock.sendall(http_request("pay", f"held{n}"))
                await_that(lambda: sum("held" in url for url in peers["b0"].seen) == 4)
                idle = [
                    threading.Thread(target=self.idle, args=(node, n, stop), daemon=True)
                    for n in range(80)
                ]
                for thread in idle:
                    thread.start()
                await_that(lambda: node.events("descriptors_exhausted"))
                self.assertEqual([node.call(b"/status")[0] for _ in range(5)], [200] * 5)
                # Its own connection may be shut unread, as an idle one; then it is asked once more.
                for n in range(10):
                    await_that(
                        lambda n=n: node.ask(f"before{n}-{time.monotonic_ns()}") == (200, b"b0")
                    )
                back.set()
                await_that(
                    lambda: any(line["version"] == 2 for line in node.events("endpoints_updated"))
                )
                await_that(lambda: node.ask(f"after-{time.monotonic_ns()}") == (200, b"b1"))
                self.assertEqual(node.call(b"/status")[0], 200)
                self.assertLess(node.descriptors(), 64)
                release.set()
                told = [sock.recv(4096) for sock in held]
                self.assertEqual([(one[9:12], one[-2:]) for one in told], [(b"200", b"b0")] * 4)
                for sock in held:
                    sock.close()
                self.assertEqual(
                    node.events("internal_error", "deadline_overrun", "accept_failed"), []
                )
            finally:
                stop.set()
                back.set()
                release.set()
                node.end()
                for thread in idle:
                    thread.join(20)


class Restarted(unittest.TestCase):
    def test_a_process_is_ready_in_time_with_the_tenants_and_the_list_of_the_target(self):
        """Known from its file, and told once more of all as the watch opens, indented, one of them new."""
        entries = [
            entry(f"b{n}", address=f"127.{n >> 8}.{n & 255}.1:8081", since_ms=1796184000000 + n)
            for n in range(BACKENDS)
        ]
        known = {"index": 1, "snapshot": True, "endpoints": entries[:-1]}
        told = (
            json.dumps({"index": 2, "snapshot": True, "endpoints": entries}, indent=2).encode()
            + b"\n"
        )
        tenants = [{"name": f"tenant-{n}", "quotaPerS": 3} for n in range(TENANTS)]
        agent = Peer(lambda message: CHUNKED + chunk(told))
        with tempfile.TemporaryDirectory() as folder:
            begun = time.monotonic()
            node = Process(
                folder,
                {
                    "discovery": agent.address,
                    "known": known,
                    "settings": {**SETTINGS, "customers": tenants},
                },
            )
            try:
                ready = b"GET /health/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
                await_that(lambda: node.send(ready)[:12] == b"HTTP/1.1 200")
                took = time.monotonic() - begun
                await_that(
                    lambda: any(line["version"] == 2 for line in node.events("endpoints_updated"))
                )
                rows = json.loads(node.call(b"/backends")[1])["backends"]
                self.assertEqual(
                    (len(rows), len({row["name"] for row in rows})), (BACKENDS, BACKENDS)
                )
                self.assertEqual(node.events("internal_error", "endpoints_rejected"), [])
                self.assertLess(took, READY_IN)
            finally:
                node.end()
