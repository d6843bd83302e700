"""The process on sockets: passes events to the state machine and carries out its effects."""

import os
import signal
import sys
import traceback
from collections import deque
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

import gevent
from gevent.event import Event

from pierglade.admission.connection_admission import ConnectionAdmission, ConnectionLimits
from pierglade.proxy.admission_queue import AdmissionQueue
from pierglade.proxy.discovery import DiscoveryClient, FixedEndpointList
from pierglade.proxy.downstream import DownstreamHandler
from pierglade.proxy.event_loop import Clock, EventLoopMonitor, Timer, in_steps
from pierglade.proxy.http.body_stream import BufferBudget
from pierglade.proxy.listener import Listener
from pierglade.proxy.logging import Log
from pierglade.proxy.management import MAX_CONNECTIONS, ManagementServer
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
from pierglade.proxy.takeover import POLL_INTERVAL, ProcessLock
from pierglade.proxy.upstream import UpstreamHandler
from pierglade.reconfiguration import quota_changes as shares

if TYPE_CHECKING:
    from pierglade.__main__ import NodeConfig

AFTER_FAULT = 500  # tenths of a ms; the next wakeup, where the state machine failed to say when
# of the memory, for streamed bodies; two processes share it during a takeover
STREAMING_SHARE = 0.3

# tenths of a ms; the slack of responses: with such a lag the CPU is short
LAG_LOGGED = 500


class ProxyServer:
    """One node in this process: owns sockets, timer and greenlets.

    Raises:
        OSError: it cannot listen.
        ValueError, KeyError, TypeError, AttributeError: the initial list cannot be used.
    """

    def __init__(self, config: "NodeConfig"):
        self.clock = Clock()
        self.budget = BufferBudget(int(config.memory_mb * STREAMING_SHARE) << 20)
        self.log = (config.log or Log)(sys.stdout.fileno(), config.name)
        self.listener = Listener(config.listen, self)
        self.management = ManagementServer(config.management, self) if config.management else None
        self.process_lock = ProcessLock(self.listener.address())
        self.alone = self.process_lock.is_sole_process()
        if self.alone:
            self.listener.listen()
        self.done = Event()
        self.timer = Timer(self.clock, self._woke)
        self._make_machine(config)
        self._restore(config)
        self._bind_effects()

    def _make_machine(self, config):
        sockets = (
            config.sockets
            - len(os.listdir("/proc/self/fd"))
            - (MAX_CONNECTIONS if self.management else 0)
        )
        self.reducer = ProxyStateMachine(
            config.seed,
            config.settings,
            self.clock.now(),
            sockets,
            config.discovery,
            config.document,
            self.alone,
        )
        self.reducer.requests.assigns_ids = config.gives_ids
        self.reducer.descriptors.admission = (
            ConnectionAdmission(config.caps) if config.caps is not None else None
        )
        self.faults = self.rereads = 0

    def _restore(self, config):
        """Loads the initial endpoint list and the snapshot, and makes the discovery client."""
        self.snapshot_writer = None
        if config.keeping is not None:
            # Imported only where snapshots are kept.
            from pierglade.proxy.snapshot_writer import SnapshotSettings, SnapshotWriter

            settings = SnapshotSettings(*config.keeping)
            self.snapshot_writer = SnapshotWriter(self, settings, config.name)
        writer = self.snapshot_writer
        self.reducer.endpoints.restore(
            writer.newer_endpoints(config.known) if writer else config.known
        )
        if writer:
            writer.restore()
        self.fixed = config.known if config.discovery is None else None  # a list without discovery
        # From the known version: forty whole lists at once keep a discovery busy for seconds.
        self.follow(config.discovery, self.reducer.endpoints.version)

    def _bind_effects(self):
        self._pending_events, self.working = deque(), False
        self.loop_monitor = EventLoopMonitor(self.clock)
        self.admission_queue = AdmissionQueue(self.clock, self.loop_monitor)
        self.carriers = {
            SendResponse: lambda client, head, body, chunked: client.io.answer(
                head, body, client.last, chunked
            ),
            CloseWhenRead: lambda client, reason: client.io.close_when_read(reason),
            AbortConnection: self._end,
            Connect: self._connect,
            SendRequest: lambda link, head, body: link.io.write(head, body),
            CloseUpstream: self._end,
            PollDiscovery: lambda: self.discovery.ask(),
            ResyncEndpoints: lambda: self.discovery.resync(),
            FollowDiscovery: self._move,
            OpenListener: self._open_listener,
            CloseListener: self.listener.close,
            ReplyToManagement: lambda call, status, body, allow: call.reply(status, body, allow),
            Exit: self.done.set,
            LogEvent: lambda event, fields: self.note(event, **fields),
        }

    def run(self, reload_config: Callable[[], object], early: Iterable[int] = ()) -> int:
        """Serves until stopped and no response is pending; returns the exit status.

        `reload_config`: returns the new NodeConfig at SIGHUP, or a generator that does; `early`:
        signals that arrived during the start, handled now.
        """
        for number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(number, self._stop)
        gevent.signal_handler(signal.SIGHUP, self._reread, reload_config)
        self.spawn(self.discovery.run)
        if self.management:
            self.spawn(self.management.run)
        if self.snapshot_writer:
            self.spawn(self.snapshot_writer.run)
        if self.alone:
            self.spawn(self.listener.run)
        else:
            self.spawn(self._wait_until_alone)
        self.tell(TimerFired())
        if self.fixed is not None:
            self.tell(EndpointsUpdated(self.fixed))
        self.note("started", listen=self.listener.address())
        if signal.SIGHUP in early:
            self._reread(reload_config)
        if {signal.SIGTERM, signal.SIGINT}.intersection(early):
            self._stop()
        self.done.wait()
        if self.snapshot_writer:
            self.snapshot_writer.write_final()
        self.note("stopped")
        self.log.flush()
        return 0

    def _stop(self):
        self.tell(StopRequested(self.process_lock.successor_is_running()))

    def _open_listener(self):
        """Starts to listen; during a takeover not before the endpoint list is current."""
        self.listener.listen()
        self.spawn(self.listener.run)

    def _wait_until_alone(self):
        while not self.process_lock.is_sole_process():
            gevent.sleep(POLL_INTERVAL)
        self.tell(SoleProcess())

    def follow(self, address: str | None, index: int | None = None):
        """Makes the discovery client; `address` None: the list is fixed."""
        if address is None:
            self.discovery = FixedEndpointList()
        else:
            self.discovery = DiscoveryClient(address, self, index)
        self.discovery.is_polled = lambda: self.reducer.balancers.settings.polls_endpoints

    def _move(self, address):
        """Discovery has moved: a new client, so that no state of the old one is carried over."""
        self.discovery.stop()
        self.follow(address)
        self.spawn(self.discovery.run)

    def _reread(self, reload_config):
        """Reloads, one at a time: on a signal meanwhile the file is read once more afterwards."""
        self.rereads += 1
        if self.rereads > 1:
            return
        while self.rereads:
            seen = self.rereads
            self._read_once(reload_config)
            self.rereads = 0 if self.rereads == seen else 1

    def _read_once(self, reload_config):
        """Reloads once; an unusable file (half written, say) leaves everything as it is."""
        try:
            config = in_steps(reload_config())
        except ValueError as fault:
            self.note("config_rejected", error=str(fault))
        else:
            tenants = config.settings.tenants
            difference = in_steps(
                shares.steps(self.reducer.balancers.settings.tenants, tenants.shares)
            )
            self.reducer.requests.assigns_ids = config.gives_ids
            self._set_limits(config.caps)
            self.tell(
                ConfigurationLoaded(config.discovery, config.document, config.settings, difference)
            )
            fixed = config.known if config.discovery is None else None
            if fixed is not None and fixed != self.fixed:
                self.tell(EndpointsUpdated(fixed))
            self.fixed = fixed
            if tenants is not self.reducer.balancers.settings.tenants:
                in_steps(shares.clear(tenants.shares))

    def _set_limits(self, caps):
        """Applies other connection limits; open connections stay.

        Without limits at the start, connections count from now on.
        """
        gate = self.reducer.descriptors.admission
        if gate is not None:
            gate.set_limits(caps or ConnectionLimits())
        elif caps is not None:
            self.reducer.descriptors.admission = ConnectionAdmission(caps)

    def note(self, event: str, **fields):
        """Logs an event."""
        self.log.line(self.clock.now(), event, **fields)

    def spawn(self, run: Callable, handler: DownstreamHandler | UpstreamHandler | None = None):
        """Runs `run` in a greenlet; an exception ends only the connection of `handler`."""
        gevent.spawn(self._guarded, run, handler)

    def _guarded(self, run, handler):
        while True:
            try:
                return run()
            except Exception as fault:
                self._fault(fault)
            if isinstance(handler, DownstreamHandler):
                return self.tell(MalformedRequest(handler.client, 500))
            if isinstance(handler, UpstreamHandler):
                return self.tell(UpstreamClosed(handler.link, CloseCause.RESET, True, "fault"))
            gevent.sleep(0.1)  # Listener and discovery client go on.

    def _fault(self, fault):
        self.faults += 1
        self.note("internal_error", error=repr(fault), traceback=traceback.format_exc(limit=-4))

    def _woke(self, lag):
        if lag > LAG_LOGGED:
            self.note("event_loop_lag", lag_ms=lag / 10)
        self.tell(TimerFired())

    def came(self) -> int:
        """Returns when what is read in this turn of the loop is likely to have arrived."""
        return self.loop_monitor.came

    def refuse(self, client, requests):
        """Returns the prepared rejection of what a client sent, if load is shed; else None."""
        return self.reducer.requests.preview(
            self.clock.now(), client, requests, self.loop_monitor.came, self.loop_monitor.idle
        )

    def tell(self, event, came=NEVER):
        """Applies an event and carries out its effects; events that they raise come after them.

        `came`: when it arrived, if before this turn of the loop.
        """
        self._pending_events.append(
            (event, min(came, self.loop_monitor.came), self.loop_monitor.idle)
        )
        if self.working:
            return
        self.working = True
        try:
            while self._pending_events:
                event, came, idle = self._pending_events.popleft()
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
        """Ends a connection; its record may live on, and must not keep socket and buffer."""
        if connection.io is not None:
            connection.io.end()
            connection.io = None

    def _connect(self, link):
        link.io = UpstreamHandler(link, self.tell)
        self.spawn(link.io.run, link.io)
