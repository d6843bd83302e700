"""All state of a proxy process. No I/O, no clock: one event and its moment in, effects out.

The host calls `apply(now, event)` for each event, carries out the effects in their order, and calls
again with TimerFired no later than `next_wakeup(now)`. `events.py` and `effects.py` have one type a
kind; a connection's `io` is what the host reads and writes it with, and is never looked into here.

Each part owns its fields. What a part needs of those made before it comes by its constructor; what
it needs of later ones (a client's end ends its upstream connection, and the other way round) by
`connect`.
"""

from pierglade.proxy.state.attempts import AttemptDispatcher
from pierglade.proxy.state.balancers import Balancers
from pierglade.proxy.state.constants import NEVER
from pierglade.proxy.state.counters import EventCounters
from pierglade.proxy.state.descriptors import DescriptorBudget
from pierglade.proxy.state.downstream import DownstreamConnections
from pierglade.proxy.state.endpoints import EndpointRegistry
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
from pierglade.proxy.state.health_checks import HealthChecks
from pierglade.proxy.state.lifecycle import Lifecycle
from pierglade.proxy.state.management import ManagementCalls
from pierglade.proxy.state.reconfiguration import Reconfiguration
from pierglade.proxy.state.requests import RequestIntake
from pierglade.proxy.state.responses import ResponseRelay
from pierglade.proxy.state.snapshot import SnapshotExchange
from pierglade.proxy.state.step import Step
from pierglade.proxy.state.timers import Timers
from pierglade.proxy.state.upstream import UpstreamConnections


class ProxyStateMachine:
    """Routes events to the parts that hold the state, and collects their effects.

    `limit`: file descriptors that connections may take; `document`: the configuration as it was
    read; `sole_process`: no other process serves the address.
    """

    def __init__(self, seed, settings, now, limit, discovery="", document=None, sole_process=True):
        self.step = Step(now)
        self.timers = Timers(self.step)
        self.counters = EventCounters(self.step, self.timers)
        self.balancers = Balancers(self.step, seed, settings)
        self.descriptors = DescriptorBudget(self.step, self.timers, limit, sole_process)
        self.lifecycle = Lifecycle(
            self.step, self.timers, self.balancers, self.descriptors, sole_process
        )
        self.endpoints = EndpointRegistry(
            self.step, self.timers, self.counters, self.balancers, self.lifecycle
        )
        self._make_connections()
        self._make_operations(discovery, document)
        self._connect_parts()
        self._handlers = self._handlers_by_type()

    def _make_connections(self):
        self.downstream = DownstreamConnections(
            self.step, self.timers, self.counters, self.descriptors, self.lifecycle
        )
        self.requests = RequestIntake(
            self.step,
            self.timers,
            self.balancers,
            self.descriptors,
            self.lifecycle,
            self.downstream,
        )
        self.upstream = UpstreamConnections(
            self.step,
            self.timers,
            self.counters,
            self.balancers,
            self.descriptors,
            self.endpoints,
            self.downstream,
        )
        self.attempts = AttemptDispatcher(
            self.step,
            self.timers,
            self.counters,
            self.balancers,
            self.endpoints,
            self.downstream,
            self.upstream,
        )
        self.health_checks = HealthChecks(self.step, self.balancers, self.endpoints, self.upstream)
        self.responses = ResponseRelay(
            self.step,
            self.timers,
            self.downstream,
            self.upstream,
            self.attempts,
            self.health_checks,
        )

    def _make_operations(self, discovery, document):
        self.reconfiguration = Reconfiguration(
            self.step, self.balancers, self.endpoints, self.downstream, discovery, document
        )
        self.management = ManagementCalls(
            self.step,
            self.balancers,
            self.descriptors,
            self.lifecycle,
            self.endpoints,
            self.downstream,
        )
        self.snapshot = SnapshotExchange(self.step, self.balancers, self.endpoints)

    def _connect_parts(self):
        self.descriptors.connect(self.downstream, self.upstream)
        self.lifecycle.connect(self.downstream, self.upstream, self.attempts)
        self.endpoints.connect(self.upstream)
        self.downstream.connect(self.requests, self.upstream, self.attempts)
        self.requests.connect(self.reconfiguration)
        self.upstream.connect(self.attempts, self.health_checks)
        self.attempts.connect(self.health_checks)

    def _handlers_by_type(self):
        """What takes an event, by its type: it gets the event's fields."""
        return {
            ConnectionOpened: self.downstream.opened,
            RequestStarted: self.downstream.request_started,
            RequestReceived: self.requests.received,
            BodyReceived: self.downstream.body_received,
            ResponseProgressed: self.downstream.response_progressed,
            ResponseCompleted: self.responses.completed,
            MalformedRequest: self.downstream.malformed_request,
            ResponseSent: self.downstream.response_sent,
            ClientDisconnected: self.downstream.disconnected,
            UpstreamConnected: self.upstream.connected,
            RequestNotSent: self.upstream.request_not_sent,
            ResponsePartReceived: self.responses.part_received,
            ResponseReceived: self.responses.received,
            UpstreamClosed: self.upstream.ended,
            EndpointsUpdated: self.endpoints.updated,
            DiscoveryLost: self.endpoints.discovery_lost,
            ConfigurationLoaded: self.reconfiguration.loaded,
            ManagementCall: self.management.called,
            SoleProcess: self.lifecycle.sole_process,
            StopRequested: self.lifecycle.stop,
            TimerFired: _only_time_passed,
        }

    def apply(self, now, event, came=NEVER, idle=NEVER):
        """Takes one event and returns the effects that it brings about, in their order.

        `came`: when what the event reports may have come, if that was before the host could handle
        it; `idle`: when the host last had nothing to do.
        """
        self.step.begin(now, came, idle)
        kind = type(event)
        self._handlers[kind](*event)
        if self.timers.run_due() or kind not in UNDECIDED:
            self.attempts.carry_out_decisions()
        self.lifecycle.exit_when_done()
        return self.step.effects

    def next_wakeup(self, now):
        """The moment of the next TimerFired; None: nothing is due."""
        balancers = self.balancers
        wakes = [
            wake
            for balancer in (*balancers.earlier, balancers.current)
            if (wake := balancer.next_wakeup(now)) is not None
        ]
        if self.timers.heap:
            wakes.append(self.timers.heap[0][0])
        return min(wakes, default=None)

    def salvage(self, connection):
        """The effects after a fault in `apply`, whose event concerned `connection`, or None."""
        return self.lifecycle.salvage(connection)


def _only_time_passed():
    """What is due is looked after in any case."""
