"""The operators' terms of acceptance (docs/incidents/acceptance.md) on a reducer or a node on loopback."""

import unittest
from unittest import mock

import gevent
from gevent.event import Event

from pierglade.net import discovery, sending
from pierglade.net.state import clients as state_clients
from pierglade.net.state import events as ev
from tests.scene import MS, Desk
from tests.test_crossings import House, leave, request, until
from tests.test_net import CHUNKED, answer

TOLD_IN = 6.0       # s; from when discovery had a change and could be reached
IN_LINE = 1.5       # s; for which a call waits its turn where lists are asked for
CALLS = 6           # in trouble; backoffs are at their longest by then
GIVEN_UP = 60.0     # s after the return
LATER = 1e9         # s; it does not come


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
LISTS = {       # what is beside these met by a call for the whole list
    "half an answer, then silence": (0.001, [(0, answer(200, whole(7))[:60])]),
    "half an answer late, then silence": (0.001, [(3.0, answer(200, whole(7))[:60])]),
    "half an answer, then the end": (0.001, [(0, answer(200, whole(7))[:60]), (0.1, None)]),
    "a list that is none": (0.001, [(0, answer(200, b"[]"))]),
}
WATCHES = {     # and by one for a watch
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
        self.begun = 0          # calls
        self.heard = []         # when each call began, and when its last piece came
        self.desk = Desk(("b0", "b1"), asks_list=asked)
        self.desk.reducer.node.pick = mock.Mock(side_effect=lambda most: most - 1 if seed is None else
                                                seed * most // 4)
        self.desk.reducer.index = 7
        self.start = self.desk.now
        self.watch = discovery.Discovery("127.0.0.1:1", self, index)
        self.watch.waits = lambda: asked
        self.watch.asked = self
        self.asked = False

    def run(self):
        """When the change was told, or the calls were enough."""
        place = mock.Mock(socket=lambda: Connection(self))
        with (mock.patch.object(discovery, "monotonic", lambda: self.now),
              mock.patch.object(discovery, "socket", place),
              mock.patch.object(discovery.gevent, "sleep", self.sleep)):
            try:
                self.watch.run()
            except Told:
                return self.now

    def sleep(self, seconds):
        """The node's own timer goes on meanwhile."""
        end = self.now + seconds
        reducer = self.desk.reducer
        while not self.asked:
            wake = reducer.wake(self.tenths())
            if wake is None or wake > self.start + end * 1000 * MS:
                self.now = end
                break
            self.now = max(self.now, (wake - self.start) / 1000 / MS)
            self.apply(ev.WOKE)
        if self.now > self.reached + GIVEN_UP:
            raise Told

    def tenths(self):
        return self.start + round(self.now * 1000 * MS)

    # The host of the follower.

    def tell(self, kind, *what):
        if kind is ev.HEARD and isinstance(what[0], dict) and what[0]["index"] >= 8:
            raise Told
        self.apply(kind, *what)

    def apply(self, kind, *what):
        for effect, *_ in self.desk.reducer.apply(self.tenths(), kind, *what):
            if effect is ev.ASK:
                self.watch.ask()
            elif effect is ev.RELIST:
                self.watch.relist()

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
                calls.heard.append(calls.now)   # else it still tells what there is
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
        room[:len(data)] = data
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
        for seed in (None, 0, 2):       # the longest draws, the shortest, those in the middle
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
                    late.append(f"{'asked' if asked else 'pushed'}, {'list' if index is None else 'watch'}: "
                                f"{name}: {took:.2f} s")
        self.assertEqual(late, [])


class Gone(unittest.TestCase):
    """Who closes or cancels has gone: no attempt of it, first or further, begins any more.

    Beside `test_crossings`, `Left`: there a first attempt waits for its connection, in the line, ahead, behind a
    body, for its decision or in the kernel, and a further one for its decision.
    """

    def setUp(self):
        self.raised = []
        for patch in (mock.patch.object(type(gevent.get_hub()), "handle_error",
                                        lambda hub, *what: self.raised.append(what)),
                      mock.patch.object(state_clients, "SLOW_READER", 10 ** 9)):
            patch.start()
            self.addCleanup(patch.stop)

    def out(self, house, sock, offering):
        """The link of its first attempt, which its backend has and does not answer."""
        held = Event()
        for backend in house.backends:
            backend.reply = lambda message: held
        sock.sendall(request(offering, "1"))
        until(lambda: f"/{offering}/1" in house.seen())
        house.first = next(link for link in house.host.reducer.links[ev.BUSY] if link.trip)
        for backend in house.backends:
            backend.seen.clear()
        return house.first

    def further_connecting(self, house, sock, offering):
        """Its further attempt waits for a connection; the end is read first."""
        link = self.out(house, sock, offering)
        house.gate.clear()
        house.host.tell(ev.LINK_ENDED, link, ev.BROKE, False, "as the test says")
        until(house.connecting)
        yield
        until(lambda: not any(house.host.reducer.clients.values()))
        house.gate.set()

    def further_connecting_at_once(self, house, sock, offering):
        """The same; the end is there as the connection comes up."""
        link = self.out(house, sock, offering)
        house.gate.clear()
        house.host.tell(ev.LINK_ENDED, link, ev.BROKE, False, "as the test says")
        until(house.connecting)
        yield
        house.gate.set()

    def further_apart(self, house, sock, offering):
        """Its further attempt waits until the end of the one before is there."""
        link = self.out(house, sock, offering)
        house.host.tell(ev.LINK_ENDED, link, ev.GARBLED, True, "as the test says")
        yield

    def kept_while_busy(self, house, sock, offering):
        """On a kept connection; request and end come while the loop does not turn."""
        sock.sendall(request("look", "warm"))
        sock.setblocking(False)
        until(lambda: sending.waiting(mock.Mock(_sock=sock)))
        sock.recv(1000)
        until(lambda: house.host.reducer.clients[ev.IDLE])
        sock.setblocking(True)
        sock.sendall(request(offering, "1"))
        yield

    maxDiff = None

    def test_no_attempt_begins(self):
        sent_on = []
        for place in (self.further_connecting, self.further_connecting_at_once, self.further_apart,
                      self.kept_while_busy):
            for offering, cancel in (("look", True), ("pay", False)):
                for how in ("close", "half", "reset"):
                    house = House(2, cancel)
                    try:
                        if place in (self.further_apart, self.kept_while_busy):
                            house.warm()
                        sock = house.client()
                        steps = place(house, sock, offering)
                        next(steps)
                        leave(sock, how)
                        next(steps, None)
                        if seen := house.rest():
                            sent_on.append(f"{place.__name__} {offering} {how}: {seen}")
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
                    sock.sendall(request("look", str(n)))
                reducer = house.host.reducer
                until(lambda reducer=reducer: len(reducer.clients[ev.OWED]) == 60)
                until(lambda house=house: not house.connecting())
                until(lambda house=house: len(house.seen()) == len(house.host.reducer.carried))
                waiting = {client.id.decode() for client in reducer.clients[ev.OWED]
                           if not client.invocation.trips}
                self.assertGreater(len(waiting), 10)
                for number in waiting:
                    leave(socks[int(number)], how)
                held.set()
                until(lambda reducer=reducer: not reducer.clients[ev.OWED])
                for sock in socks:
                    sock.close()
                del socks, sock
                seen = {url.rpartition("/")[2] for url in house.rest()}
                self.assertEqual((len(seen) + len(waiting), seen & waiting, house.host.faults), (60, set(), 0))
            finally:
                house.close()
        self.assertEqual(self.raised, [])
