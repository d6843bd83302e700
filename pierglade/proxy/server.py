"""The host of a node: passes events to the reducer one by one and carries out the effects."""

import os
import signal
import sys
import traceback
from collections import deque

import gevent
from gevent.event import Event

from pierglade.admission.connection_admission import Caps, Gate
from pierglade.proxy.admission_queue import Line
from pierglade.proxy.discovery import Discovery
from pierglade.proxy.downstream import ClientSocket, Door
from pierglade.proxy.event_loop import Clock, Timer, Turns, in_steps
from pierglade.proxy.http.body_stream import Space
from pierglade.proxy.logging import Log
from pierglade.proxy.management import CALLS, Management
from pierglade.proxy.state.connections import CloseCause
from pierglade.proxy.state.constants import NEVER
from pierglade.proxy.state.effects import (
    AbortConnection,
    CloseListener,
    CloseUpstream,
    CloseWhenRead,
    Connect,
    Exit,
    FollowDiscovery,
    LogEvent,
    OpenListener,
    PollDiscovery,
    ReplyToManagement,
    ResyncEndpoints,
    SendRequest,
    SendResponse,
)
from pierglade.proxy.state.events import (
    ConfigurationLoaded,
    EndpointsUpdated,
    MalformedRequest,
    SoleProcess,
    StopRequested,
    TimerFired,
    UpstreamClosed,
)
from pierglade.proxy.state.machine import ProxyStateMachine
from pierglade.proxy.takeover import AGAIN, Tenure
from pierglade.proxy.upstream import LinkSocket
from pierglade.reconfiguration import quota_changes as shares

AFTER_FAULT = (
    500  # tenths of a ms; what is due is looked after this much later if nobody can say when
)
SPACE_PART = (
    0.3  # share of the memory for bodies on their way; two processes share it while one takes over
)
LATE = 500  # tenths of a ms; the slack that answers have, so a node this late is short of its core


class Nobody:
    """In the place of discovery where the list is fixed."""

    def run(self):
        """There is nothing to follow."""

    relist = ask = leave = run


class Host:
    def __init__(self, place):
        self.clock = Clock()
        self.space = Space(int(place.memory_mb * SPACE_PART) << 20)
        self.log = (place.log or Log)(sys.stdout.fileno(), place.name)
        self.door = Door(place.listen, self)
        self.management = Management(place.management, self) if place.management else None
        self.tenure = Tenure("%s:%d" % self.door.sock.getsockname())
        self.alone = self.tenure.alone()
        if self.alone:
            self.door.listen()
        self.done = Event()
        self.timer = Timer(self.clock, self._woke)
        sockets = (
            place.sockets - len(os.listdir("/proc/self/fd")) - (CALLS if self.management else 0)
        )
        self.reducer = ProxyStateMachine(
            place.seed,
            place.settings,
            self.clock.now(),
            sockets,
            place.discovery,
            place.told,
            self.alone,
        )
        self.reducer.requests.assigns_ids = place.gives_ids
        self.reducer.descriptors.admission = Gate(place.caps) if place.caps is not None else None
        self.faults = self.rereads = 0
        self.learning = None
        if place.keeping is not None:
            # loads what a node without a folder need not
            from pierglade.proxy.snapshot_writer import Keeping, Learning

            self.learning = Learning(self, Keeping(*place.keeping), place.name)
        self.reducer.endpoints.restore(
            self.learning.list_or(place.known) if self.learning else place.known
        )
        if self.learning:
            self.learning.remember()
        self.fixed = place.known if place.discovery is None else None  # a list that nobody tells of
        # From the version that is known: forty whole lists at once keep a discovery busy for seconds.
        self.follow(place.discovery, self.reducer.endpoints.version)
        self.inbox, self.working = deque(), False
        self.turns = Turns(self.clock)
        self.line = Line(self.clock, self.turns)
        self.carriers = {
            SendResponse: lambda client, head, body, chunked: client.io.answer(
                head, body, client.last, chunked
            ),
            CloseWhenRead: lambda client, reason: client.io.let_go(reason),
            AbortConnection: self._end,
            Connect: self._connect,
            SendRequest: lambda link, head, body: link.io.write(head, body),
            CloseUpstream: self._end,
            PollDiscovery: lambda: self.discovery.ask(),
            ResyncEndpoints: lambda: self.discovery.relist(),
            FollowDiscovery: self._move,
            OpenListener: self._open_door,
            CloseListener: self.door.close,
            ReplyToManagement: lambda call, status, body, allow: call.reply(status, body, allow),
            Exit: self.done.set,
            LogEvent: lambda event, fields: self.note(event, **fields),
        }

    def run(self, place_again, early=()):
        """Serves until it was told to stop and nothing is owed. `early`: signals of the start, not heeded."""
        for number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(number, self._stop)
        gevent.signal_handler(signal.SIGHUP, self._reread, place_again)
        self.spawn(self.discovery.run)
        if self.management:
            self.spawn(self.management.run)
        if self.learning:
            self.spawn(self.learning.run)
        if self.alone:
            self.spawn(self.door.run)
        else:
            self.spawn(self._wait_until_alone)
        self.tell(TimerFired())
        if self.fixed is not None:
            self.tell(EndpointsUpdated(self.fixed))
        self.note("started", listen="%s:%d" % self.door.sock.getsockname())
        if signal.SIGHUP in early:
            self._reread(place_again)
        if {signal.SIGTERM, signal.SIGINT}.intersection(early):
            self._stop()
        self.done.wait()
        if self.learning:
            self.learning.last()
        self.note("stopped")
        self.log.flush()
        return 0

    def _stop(self):
        self.tell(StopRequested(self.tenure.followed()))

    def _open_door(self):
        """Not before the list is good, where another process serves the address meanwhile."""
        self.door.listen()
        self.spawn(self.door.run)

    def _wait_until_alone(self):
        while not self.tenure.alone():
            gevent.sleep(AGAIN)
        self.tell(SoleProcess())

    def follow(self, address, index=None):
        self.discovery = Discovery(address, self, index) if address is not None else Nobody()
        self.discovery.waits = lambda: self.reducer.balancers.settings.polls_endpoints

    def _move(self, address):
        """Discovery is elsewhere: a new follower, so that no version, line or link of the old passes over."""
        self.discovery.leave()
        self.follow(address)
        self.spawn(self.discovery.run)

    def _reread(self, place_again):
        """One reading at a time: told again meanwhile, the file is read once more, as it is then."""
        self.rereads += 1
        if self.rereads > 1:
            return
        while self.rereads:
            seen = self.rereads
            self._read_once(place_again)
            self.rereads = 0 if self.rereads == seen else 1

    def _read_once(self, place_again):
        """A file that can't be used leaves everything as it is: half replaced, it must not end the node."""
        try:
            place = in_steps(place_again())
        except ValueError as fault:
            self.note("config_rejected", error=str(fault))
        else:
            tenants = place.settings.tenants
            told = in_steps(shares.steps(self.reducer.balancers.settings.tenants, tenants.shares))
            self.reducer.requests.assigns_ids = place.gives_ids
            self._cap(place.caps)
            self.tell(ConfigurationLoaded(place.discovery, place.told, place.settings, told))
            fixed = place.known if place.discovery is None else None
            if fixed is not None and fixed != self.fixed:
                self.tell(EndpointsUpdated(fixed))
            self.fixed = fixed
            if tenants is not self.reducer.balancers.settings.tenants:
                in_steps(shares.let_go(tenants.shares))

    def _cap(self, caps):
        """Other caps hold from now on; who is in stays in. A gate that came later counts who comes from
        then."""
        gate = self.reducer.descriptors.admission
        if gate is not None:
            gate.allow(caps or Caps())
        elif caps is not None:
            self.reducer.descriptors.admission = Gate(caps)

    def note(self, event, **fields):
        self.log.line(self.clock.now(), event, **fields)

    def spawn(self, run, seat=None):
        gevent.spawn(self._guarded, run, seat)

    def _guarded(self, run, seat):
        """A fault in a greenlet ends what it read, never the node; what it held is answered."""
        while True:
            try:
                return run()
            except Exception as fault:
                self._fault(fault)
            if isinstance(seat, ClientSocket):
                return self.tell(MalformedRequest(seat.client, 500))
            if isinstance(seat, LinkSocket):
                return self.tell(UpstreamClosed(seat.link, CloseCause.RESET, True, "fault"))
            gevent.sleep(0.1)  # The door and discovery go on.

    def _fault(self, fault):
        self.faults += 1
        self.note("internal_error", error=repr(fault), traceback=traceback.format_exc(limit=-4))

    def _woke(self, late):
        if late > LATE:
            self.note("event_loop_lag", lag_ms=late / 10)
        self.tell(TimerFired())

    def came(self):
        """When what is read in this turn is likely to have come."""
        return self.turns.came

    def refuse(self, client, requests):
        """The refusal of what a client sent, if the core is short and it needs no more than a glance."""
        return self.reducer.requests.glance(
            self.clock.now(), client, requests, self.turns.came, self.turns.idle
        )

    def tell(self, event, came=NEVER):
        """One event after the other; what an effect brings about comes after the effects before it.

        `came`: when it came, where that was before this turn.
        """
        self.inbox.append((event, min(came, self.turns.came), self.turns.idle))
        if self.working:
            return
        self.working = True
        try:
            while self.inbox:
                event, came, idle = self.inbox.popleft()
                try:
                    effects = self.reducer.apply(self.clock.now(), event, came=came, idle=idle)
                except Exception as fault:
                    self._fault(fault)
                    effects = self.reducer.salvage(getattr(event, "connection", None))
                for effect in effects:
                    self._carry_out(effect)
        finally:
            self.working = False
        now = self.clock.now()
        try:
            wake = self.reducer.next_wakeup(now)
        except Exception as fault:
            self._fault(fault)
            wake = now + AFTER_FAULT
        self.timer.set(wake)

    def _carry_out(self, effect):
        try:
            self.carriers[type(effect)](*effect)
        except Exception as fault:
            self._fault(fault)

    def _end(self, connection):
        """What is still due for it must not keep its socket and buffer."""
        if connection.io is not None:
            connection.io.end()
            connection.io = None

    def _connect(self, link):
        link.io = LinkSocket(link, self.tell)
        self.spawn(link.io.run, link.io)
