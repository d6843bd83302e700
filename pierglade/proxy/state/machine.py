"""The state machine of a proxy process. No I/O, no clock: events and times in, effects out.

The caller calls `apply(now, event)` for each event, executes the effects in order, and calls again
with TimerFired no later than `next_wakeup(now)`. `events.py` and `effects.py` define one type per
kind. The `io` of a connection belongs to the caller and is never used here.

Each component owns its fields. It receives its dependencies in the constructor, or in
`set_dependencies` if they are created later. Some dependencies are mutual, as the end of a client's
connection also ends its upstream connection, and vice versa.
"""

from pierglade.proxy.state.attempts import AttemptDispatcher
from pierglade.proxy.state.balancers import Balancers
from pierglade.proxy.state.constants import NEVER
from pierglade.proxy.state.counters import EventCounters
from pierglade.proxy.state.descriptors import DescriptorBudget
from pierglade.proxy.state.downstream import DownstreamConnections
from pierglade.proxy.state.endpoints import EndpointRegistry
from pierglade.proxy.state.events import (
    EVENTS_WITHOUT_DECISIONS,
    BodyReceived,
    ClientDisconnected,
    ConfigurationLoaded,
    ConnectionOpened,
    ConnectionWaiting,
    DiscoveryLost,
    EndpointsUpdated,
    IdsShared,
    MalformedRequest,
    ManagementCall,
    RequestHeldUp,
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
    UnsolicitedBytesReceived,
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
    """Dispatches events to the components that own the state, and collects their effects.

    `limit`: file descriptors for connections; `document`: the configuration as it was read;
    `sole_process`: no other process serves the address.
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
        self._create_connection_components()
        self._create_management_components(discovery, document)
        self._set_dependencies()
        self._handlers = self._handlers_by_type()

    def _create_connection_components(self):
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

    def _create_management_components(self, discovery, document):
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

    def _set_dependencies(self):
        self.descriptors.set_dependencies(self.downstream, self.upstream)
        self.lifecycle.set_dependencies(self.downstream, self.upstream, self.attempts)
        self.endpoints.set_dependencies(self.upstream)
        self.downstream.set_dependencies(self.requests, self.upstream, self.attempts)
        self.requests.set_dependencies(self.reconfiguration)
        self.upstream.set_dependencies(self.attempts, self.health_checks)
        self.attempts.set_dependencies(self.health_checks, self.requests)

    def _handlers_by_type(self):
        """Returns the handlers by event type; a handler gets the event's fields."""
        return {
            ConnectionOpened: self.downstream.opened,
            ConnectionWaiting: self.descriptors.connection_waiting,
            RequestStarted: self.downstream.request_started,
            RequestReceived: self.requests.received,
            BodyReceived: self.downstream.body_received,
            ResponseProgressed: self.downstream.response_progressed,
            ResponseCompleted: self.responses.completed,
            MalformedRequest: self.downstream.malformed_request,
            ResponseSent: self.downstream.response_sent,
            ClientDisconnected: self.downstream.disconnected,
            UpstreamConnected: self.upstream.connected,
            RequestHeldUp: self.attempts.write_later,
            RequestNotSent: self.upstream.request_not_sent,
            ResponsePartReceived: self.responses.part_received,
            ResponseReceived: self.responses.received,
            UnsolicitedBytesReceived: self.upstream.unsolicited_bytes,
            UpstreamClosed: self.upstream.disconnected,
            EndpointsUpdated: self.endpoints.updated,
            DiscoveryLost: self.endpoints.discovery_lost,
            ConfigurationLoaded: self.reconfiguration.loaded,
            ManagementCall: self.management.called,
            SoleProcess: self.lifecycle.sole_process,
            IdsShared: self.lifecycle.ids_shared,
            StopRequested: self.lifecycle.stop,
            TimerFired: _do_nothing,
        }

    def apply(self, now, event, arrived_at=NEVER, last_idle_at=NEVER):
        """Handles one event and returns its effects in order.

        `arrived_at`: earliest time of the event, if the caller could not handle it at once;
        `last_idle_at`: when the caller was last idle.
        """
        self.step.begin(now, arrived_at, last_idle_at)
        kind = type(event)
        self._handlers[kind](*event)
        if self.timers.run_due() or kind not in EVENTS_WITHOUT_DECISIONS:
            self.attempts.execute_decisions()
        self.lifecycle.exit_when_done()
        return self.step.effects

    def next_wakeup(self, now):
        """Returns the time of the next TimerFired; None: no timer is set."""
        balancers = self.balancers
        wakes = [
            wake
            for balancer in (*balancers.earlier, balancers.current)
            if (wake := balancer.next_wakeup(now)) is not None
        ]
        if self.timers.heap:
            wakes.append(self.timers.heap[0][0])
        return min(wakes, default=None)

    def recover_from_fault(self, connection):
        """Returns the effects after an exception in `apply`; `connection`: the event's, or None."""
        return self.lifecycle.recover_from_fault(connection)


def _do_nothing():
    """Handles TimerFired: due timers run after every event."""
