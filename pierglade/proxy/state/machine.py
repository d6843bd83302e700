"""All state of a node on sockets. No I/O, no greenlet, no clock: one event and its moment in, effects out.

The host calls `apply(now, event)` for each event, carries out the effects in their order, and calls again
with TimerFired no later than `next_wakeup(now)`. `events.py` and `effects.py` have one type a kind; a
connection's `io` is what the host reads and writes it with, and is never looked into here.
"""

import random
from collections import Counter, OrderedDict, deque
from dataclasses import replace
from heapq import heappop, heappush

from pierglade.admission.load_shedder import Press
from pierglade.balancer.balancer import Balancer
from pierglade.model.request import Idempotency
from pierglade.proxy.state.connections import ConnectionState
from pierglade.proxy.state.constants import LOG_INTERVAL, NEVER, SPARE
from pierglade.proxy.state.downstream import Clients
from pierglade.proxy.state.effects import Exit, LogEvent
from pierglade.proxy.state.endpoints import Listing
from pierglade.proxy.state.events import (
    UNDECIDED,
    BodyReceived,
    ClientDisconnected,
    ConfigurationLoaded,
    ConnectionOpened,
    DiscoveryLost,
    EndpointsUpdated,
    MalformedRequest,
    ManagementCall,
    RequestNotSent,
    RequestReceived,
    RequestStarted,
    ResponseCompleted,
    ResponsePartReceived,
    ResponseProgressed,
    ResponseReceived,
    ResponseSent,
    SoleProcess,
    StopRequested,
    TimerFired,
    UpstreamClosed,
    UpstreamConnected,
)
from pierglade.proxy.state.lifecycle import Stopping
from pierglade.proxy.state.snapshot import Memory
from pierglade.proxy.state.upstream import Links

# Constants. Times are tenths of a millisecond.
FORGET = 2  # times the longest hard limit; then nothing out can concern a gone backend


# What is counted, in the order in which it is logged.
COUNTERS = (
    "endpoint_polls",
    "request_rejected",
    "request_failed",
    "connections_opened",
    "connections_skipped",
    "connections_refused",
    "discovery_losses",
    "health_checks",
    "trials",
    "attempts",
)


class ProxyStateMachine(Clients, Links, Listing, Memory, Stopping):
    def __init__(self, seed, terms, now, sockets, discovery="", told=None, alone=True):
        self.node = None
        self.seed, self.older = seed, []  # nodes under earlier settings that still owe something
        self._serve_under(terms, now)
        self.whole_budget = sockets - SPARE
        # Two processes of one node may hold no more together than it may: each keeps to half.
        self.sockets = self.whole_budget // (1 if alone else 2)
        self.door_open = alone  # else with the first good list; until then the other process serves
        # By what they are doing, in the order in which they came to it: who is to yield is the first of one.
        self.clients = {
            state: OrderedDict()
            for state in (
                ConnectionState.NEW,
                ConnectionState.IDLE,
                ConnectionState.READING_REQUEST,
                ConnectionState.AWAITING_RESPONSE,
                ConnectionState.WRITING_RESPONSE,
                ConnectionState.LINGERING,
            )
        }
        self.links = {
            state: OrderedDict()
            for state in (ConnectionState.CONNECTING, ConnectionState.IDLE, ConnectionState.BUSY)
        }
        self.open = 0  # connections, of both kinds
        self.ids = {}  # of open invocations and of those just answered, to their client
        self.spent = deque()  # (until when it is kept, id) of the latter
        self.yielding = 0  # clients that were asked to make room
        self.carried = {}  # trip to its link
        self.backends, self.gone = (
            {},
            OrderedDict(),
        )  # by name; of these the gone, the longest gone first
        self.discovery, self.told = discovery, told or {}
        self.raw_settings = self.told.get("settings")
        self.index = None  # version of the list that discovery last told
        self.no_word = None  # why discovery is lost, noted once
        self.ready = False
        self.stopped = None  # since when
        self.standby = False  # operators have it emptied
        self.gate = None  # who may connect; None: anybody
        self.gives_ids, self.given = False, 0  # to requests without one, and how many it gave
        self.leaving = self.exiting = False
        self.closing = False  # after a stop: the end is so near that nothing more is begun
        self.due, self.count = [], 0  # heap of (moment, count, what is due, its subject)
        self.now, self.came, self.idle, self.effects = now, now, now, []
        self.began = now
        # What no line has told of yet: invocations bounced unseen, clients that found no descriptor left.
        self.pressed = self.crowded = self.turned_away = 0
        self.counts = Counter()  # what was done since the last line of counts
        self.handlers = {
            ConnectionOpened: self._opened,
            RequestStarted: self._begun,
            RequestReceived: self._asked,
            BodyReceived: self._body,
            ResponseProgressed: self._takes,
            ResponseCompleted: self._reply_over,
            MalformedRequest: self._faulty,
            ResponseSent: self._answered,
            ClientDisconnected: self._client_ended,
            UpstreamConnected: self._up,
            RequestNotSent: self._left,
            ResponsePartReceived: self._replying,
            ResponseReceived: self._replied,
            UpstreamClosed: self._link_ended,
            EndpointsUpdated: self._heard,
            DiscoveryLost: self._no_word,
            ConfigurationLoaded: self._configured,
            ManagementCall: self._called,
            SoleProcess: self._alone,
            StopRequested: self._stop,
            TimerFired: self._woke,
        }

    def _serve_under(self, terms, now):
        self.settings, self.node = terms, Balancer(self.seed, terms, now, self.node)
        self.request_classes = {o.name.encode(): o for o in terms.request_classes}
        # A stamped one whose request brings no id of its own: what it does must not be done twice.
        self.unstamped = {
            o.name.encode(): replace(o, idempotency=Idempotency.UNSAFE)
            for o in terms.request_classes
            if o.idempotency == Idempotency.KEYED
        }
        self.press = Press(
            [o.priority_weight for o in terms.request_classes],
            random.Random(f"{self.seed} press").random,
        )
        self.refusals = {}  # prepared, by how long clients are told to stay away
        self.forget = FORGET * max(o.request_timeout for o in terms.request_classes)

    def apply(self, now, event, came=NEVER, idle=NEVER):
        """Takes one event and returns the effects that it brings about, in their order.

        `came`: when what the event reports may have come, if that was before the host could handle it;
        `idle`: when the host last had nothing to do.
        """
        self.now, self.effects = max(now, self.now), []
        self.came, self.idle = min(came, self.now), idle
        kind = type(event)
        self.handlers[kind](*event)
        if self._look_after_due() or kind not in UNDECIDED:
            self._pull()
        if self.leaving and not self.exiting and not any(self.clients.values()):
            self.exiting = True
            self._do(Exit())
        return self.effects

    def next_wakeup(self, now):
        wakes = [
            wake for node in (*self.older, self.node) if (wake := node.next_wakeup(now)) is not None
        ]
        if self.due:
            wakes.append(self.due[0][0])
        return min(wakes, default=None)

    def _do(self, effect):
        self.effects.append(effect)

    def _note(self, event, **fields):
        self.effects.append(LogEvent(event, fields))

    # What is due.

    def _at(self, moment, call, subject):
        self.count += 1
        heappush(self.due, (moment, self.count, call, subject))

    def _connection_due(self, connection, moment, call):
        """A connection has one thing due at a time; a later one takes its place."""
        connection.due = (moment, call)
        self._queue(connection)

    def _is(self, connection, state, all_of):
        all_of[connection.state].pop(connection, None)
        connection.state = state
        all_of[state][connection] = None

    def _queue(self, connection):
        # Seldom more than one entry each: with one for every answer the heap would hold a minute's worth.
        moment = connection.due[0]
        if connection.queued is None or moment < connection.queued:
            connection.queued = moment
            self._at(moment, self._connection_is_due, (connection, moment))

    def _connection_is_due(self, queued):
        connection, moment = queued
        if connection.queued != moment:
            return  # An earlier one has taken its place; followed up, both would live on for ever.
        connection.queued = None
        if connection.due is None or connection.state is ConnectionState.CLOSED:
            return
        if connection.due[0] > self.now:
            return self._queue(connection)
        call, connection.due = connection.due[1], None
        call(connection)

    def _look_after_due(self):
        """Whether anything was due."""
        if not self.due or self.due[0][0] > self.now:
            return False
        while self.due and self.due[0][0] <= self.now:
            _, _, call, subject = heappop(self.due)
            call(subject)
        return True

    def _woke(self):
        """Only the time has passed."""

    def _count(self, what):
        if not self.counts:
            self._at(self.now + LOG_INTERVAL, self._tell_counts, None)
        self.counts[what] += 1

    def _tell_counts(self, _):
        # Harmless from one node, much of it is harm from forty at once: only counted over all does it show.
        self._note(
            "counters", **{name: self.counts[name] for name in COUNTERS if name in self.counts}
        )
        self.counts.clear()
