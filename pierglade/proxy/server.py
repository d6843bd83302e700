"""The node's process: passes events to the state machine and carries out its effects."""

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
from pierglade.proxy.descriptor_release import DescriptorRelease
from pierglade.proxy.discovery import DiscoveryClient, FixedEndpointList
from pierglade.proxy.downstream import DownstreamHandler
from pierglade.proxy.event_loop import Clock, EventLoopMonitor, Timer, run_in_steps
from pierglade.proxy.http.body_stream import BufferBudget
from pierglade.proxy.id_exchange import FILE_COUNT, IdFiles
from pierglade.proxy.listener import Listener
from pierglade.proxy.logging import Log
from pierglade.proxy.management import MAX_CONNECTIONS, ManagementServer
from pierglade.proxy.memory_limits import memory_limits, private_bytes
from pierglade.proxy.process_monitor import ProcessMonitor
from pierglade.proxy.state.connections import CloseCause
from pierglade.proxy.state.constants import NEVER
from pierglade.proxy.state.effects import (
    AbortConnection,
    AbortUnlessWritten,
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
    StreamResponse,
)
from pierglade.proxy.state.events import (
    ConfigurationLoaded,
    EndpointsUpdated,
    IdsShared,
    MalformedRequest,
    RequestHeldUp,
    SoleProcess,
    StopRequested,
    TimerFired,
    UpstreamClosed,
)
from pierglade.proxy.state.machine import ProxyStateMachine
from pierglade.proxy.takeover import POLL_INTERVAL_S, ProcessLock
from pierglade.proxy.turn_limiter import TurnLimiter
from pierglade.proxy.upstream import UpstreamHandler
from pierglade.reconfiguration import quota_changes

if TYPE_CHECKING:
    from pierglade.__main__ import NodeConfig

# Ticks (50 ms). Delay of the next wakeup if the state machine failed to compute it.
RETRY_WAKEUP_TICKS = 500
# Between two attempts to open the files of sent ids, without which a successor does not listen.
SHARE_RETRY_S = 0.1
# Ticks (50 ms). A lag as long as the slack of responses means that the CPU is overloaded.
MIN_LOGGED_LAG_TICKS = 500
AFTER_NEXT_POLL_S = 0.0001  # a timer that is due fires only after the next poll


class ProxyServer:
    """The node of this process; owns its sockets, timer and greenlets.

    Raises:
        OSError: an address cannot be bound.
        ValueError, KeyError, TypeError, AttributeError: the initial endpoint list cannot be used.
    """

    def __init__(self, config: "NodeConfig"):
        self.clock = Clock()
        self.memory_limits = memory_limits(config.memory_mb, private_bytes())
        self.budget = BufferBudget(self.memory_limits.message_bytes)
        self.log = (config.log or Log)(sys.stdout.fileno(), config.name)
        self.listener = Listener(config.listen, self)
        self.management = ManagementServer(config.management, self) if config.management else None
        self.process_lock = ProcessLock(self.listener.address())
        self.is_sole_process = self.process_lock.is_sole_process()
        if self.is_sole_process:
            self.listener.listen()
        else:
            self.budget.max_bytes //= 2  # During a takeover, two processes share the memory.
        self.exit_requested = Event()
        self.monitor = ProcessMonitor(self)
        self.timer = Timer(self.clock, self._timer_fired)
        self._make_machine(config)
        self._restore(config)
        self._bind_effects()

    def _make_machine(self, config):
        sockets = (
            config.sockets
            - len(os.listdir("/proc/self/fd"))
            - FILE_COUNT
            - (MAX_CONNECTIONS if self.management else 0)
        )
        self.state_machine = ProxyStateMachine(
            config.seed,
            config.settings,
            self.clock.now(),
            min(sockets, self.memory_limits.connections),
            config.discovery,
            config.document,
            self.is_sole_process,
        )
        self.state_machine.requests.assigns_ids = config.assigns_trace_ids
        descriptors = self.state_machine.descriptors
        descriptors.spare_count = max(0, sockets - self.memory_limits.connections)
        descriptors.admission = (
            ConnectionAdmission(config.caps) if config.caps is not None else None
        )
        self.faults = self.pending_reloads = 0

    def _share_ids(self, last_error=None):
        """Opens the files of sent ids; tries again later if that is not possible now.

        `last_error`: the reason of the last failure, as it was logged.
        """
        try:
            files = IdFiles(self.listener.address(), gevent.spawn_later)
        except OSError as error:
            if error.strerror != last_error:
                self.note("ids_not_shared", error=error.strerror)
            gevent.spawn_later(SHARE_RETRY_S, self._share_ids, error.strerror)
        else:
            self.state_machine.requests.executed_ids.share(files)
            self.handle_event(IdsShared())

    def _restore(self, config):
        """Loads the initial endpoint list and the snapshot, and creates the discovery client."""
        self.snapshot_writer = None
        if config.snapshot_settings is not None:
            # Imported only if snapshots are configured.
            from pierglade.proxy.snapshot_writer import SnapshotSettings, SnapshotWriter

            settings = SnapshotSettings(*config.snapshot_settings)
            self.snapshot_writer = SnapshotWriter(self, settings, config.name)
        writer = self.snapshot_writer
        self.state_machine.endpoints.restore(
            writer.newer_endpoints(config.known) if writer else config.known
        )
        if writer:
            writer.restore()
        # The endpoint list of a configuration without discovery; None where there is discovery.
        self.fixed_endpoints = config.known if config.discovery is None else None
        # The watch starts from the known version: if forty nodes requested the whole list at once,
        # discovery would be busy for seconds.
        self.follow(config.discovery, self.state_machine.endpoints.version)

    def _bind_effects(self):
        self._pending_events, self.is_applying_events = deque(), False
        self.loop_monitor = EventLoopMonitor(self.clock)
        self.admission_queue = AdmissionQueue(self.clock, self.loop_monitor)
        self.turn_limiter = TurnLimiter(self.loop_monitor)
        self.descriptor_release = DescriptorRelease(self.state_machine.descriptors)
        self.effect_handlers = {
            SendResponse: lambda client, head, body, chunked: client.io.answer(
                head, body, client.last, chunked
            ),
            CloseWhenRead: lambda client, reason: client.io.close_when_read(reason),
            AbortConnection: self._end_connection,
            Connect: self._connect,
            SendRequest: self._send_request,
            AbortUnlessWritten: lambda connection: connection.io.abort_unless_written(),
            StreamResponse: lambda connection: connection.io.stream_response(),
            CloseUpstream: self._end_connection,
            PollDiscovery: lambda: self.discovery.poll_now(),
            ResyncEndpoints: lambda: self.discovery.resync(),
            FollowDiscovery: self._move_discovery,
            OpenListener: self._open_listener,
            CloseListener: self.listener.close,
            ReplyToManagement: lambda call, status, body, allow: call.reply(status, body, allow),
            Exit: self.exit_requested.set,
            LogEvent: lambda event, fields: self.note(event, **fields),
        }

    def run(self, reload_config: Callable[[], object], early_signals: Iterable[int] = ()) -> int:
        """Serves until the node is stopped and no response is pending; returns the exit status.

        `reload_config`: called at SIGHUP; returns the new NodeConfig, or a generator that does.
        `early_signals`: signals that arrived during the start, which are handled now.
        """
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(signal_number, self._stop)
        gevent.signal_handler(signal.SIGHUP, self._reload, reload_config)
        self._share_ids()
        self.spawn(self.discovery.run)
        self.spawn(self.monitor.run)
        if self.management:
            self.spawn(self.management.run)
        if self.snapshot_writer:
            self.spawn(self.snapshot_writer.run)
        if self.is_sole_process:
            self.spawn(self.listener.run)
        else:
            self.spawn(self._wait_until_sole_process)
        self.handle_event(TimerFired())
        if self.fixed_endpoints is not None:
            self.handle_event(EndpointsUpdated(self.fixed_endpoints))
        self.note("started", listen=self.listener.address())
        if signal.SIGHUP in early_signals:
            self._reload(reload_config)
        if {signal.SIGTERM, signal.SIGINT}.intersection(early_signals):
            self._stop()
        self.exit_requested.wait()
        if self.snapshot_writer:
            self.snapshot_writer.write_final()
        self.note("stopped")
        self.log.flush()
        return 0

    def _stop(self):
        self.handle_event(StopRequested(self.process_lock.successor_is_running()))

    def _open_listener(self):
        """Starts listening; during a takeover, called only once the endpoint list is current."""
        self.listener.listen()
        self.spawn(self.listener.run)

    def _wait_until_sole_process(self):
        while not self.process_lock.is_sole_process():
            gevent.sleep(POLL_INTERVAL_S)
        self.budget.max_bytes = self.memory_limits.message_bytes
        self.handle_event(SoleProcess())

    def follow(self, address: str | None, index: int | None = None):
        """Creates the discovery client; `address` None: the endpoint list is fixed."""
        if address is None:
            self.discovery = FixedEndpointList()
        else:
            self.discovery = DiscoveryClient(address, self, index)
        self.discovery.is_polled = lambda: self.state_machine.balancers.settings.polls_endpoints

    def _move_discovery(self, address):
        """Replaces the discovery client, as discovery has moved; no state is carried over."""
        self.discovery.stop()
        self.follow(address)
        self.spawn(self.discovery.run)

    def _reload(self, reload_config):
        """Reloads the configuration, one reload at a time.

        After a signal that arrives during a reload, the file is read once more.
        """
        self.pending_reloads += 1
        if self.pending_reloads > 1:
            return
        while self.pending_reloads:
            handled = self.pending_reloads
            self._reload_once(reload_config)
            self.pending_reloads = 0 if self.pending_reloads == handled else 1

    def _reload_once(self, reload_config):
        """Reloads once; an unusable file, such as a half-written one, changes nothing."""
        try:
            config = run_in_steps(reload_config())
        except ValueError as error:
            self.note("config_rejected", error=str(error))
        else:
            tenants = config.settings.tenants
            difference = run_in_steps(
                quota_changes.compare_quotas(
                    self.state_machine.balancers.settings.tenants, tenants.quotas
                )
            )
            self.state_machine.requests.assigns_ids = config.assigns_trace_ids
            self._set_limits(config.caps)
            self.handle_event(
                ConfigurationLoaded(config.discovery, config.document, config.settings, difference)
            )
            fixed_endpoints = config.known if config.discovery is None else None
            if fixed_endpoints is not None and fixed_endpoints != self.fixed_endpoints:
                self.handle_event(EndpointsUpdated(fixed_endpoints))
            self.fixed_endpoints = fixed_endpoints
            if tenants is not self.state_machine.balancers.settings.tenants:
                run_in_steps(quota_changes.clear_quotas(tenants.quotas))

    def _set_limits(self, limits):
        """Applies new connection limits; open connections stay.

        If there were no limits at the start, connections are counted from now on.
        """
        admission = self.state_machine.descriptors.admission
        if admission is not None:
            admission.set_limits(limits or ConnectionLimits())
        elif limits is not None:
            self.state_machine.descriptors.admission = ConnectionAdmission(limits)

    def note(self, event: str, **fields):
        """Logs an event."""
        self.log.line(self.clock.now(), event, **fields)

    def spawn(self, run: Callable, handler: DownstreamHandler | UpstreamHandler | None = None):
        """Runs `run` in a greenlet; an exception in it ends only the connection of `handler`."""
        gevent.spawn(self._run_guarded, run, handler)

    def _run_guarded(self, run, handler):
        while True:
            try:
                return run()
            except Exception as error:
                self._log_internal_error(error)
            if isinstance(handler, DownstreamHandler):
                return self.handle_event(MalformedRequest(handler.client, 500))
            if isinstance(handler, UpstreamHandler):
                return self.handle_event(
                    UpstreamClosed(handler.connection, CloseCause.RESET, True, "internal error")
                )
            gevent.sleep(0.1)  # Greenlets without a handler, such as the listener's, run again.

    def _log_internal_error(self, error):
        self.faults += 1
        self.note("internal_error", error=repr(error), traceback=traceback.format_exc(limit=-4))

    def _timer_fired(self, lag_ticks):
        if lag_ticks > MIN_LOGGED_LAG_TICKS:
            self.note("event_loop_lag", lag_ms=lag_ticks / 10)
            # What arrived meanwhile is read first; discovery may have removed a backend.
            gevent.sleep(AFTER_NEXT_POLL_S)
        self.handle_event(TimerFired())

    def arrival_time(self) -> int:
        """Returns when the data read in this turn of the loop is likely to have arrived."""
        return self.loop_monitor.arrived_at

    def prepared_rejection(self, client, requests):
        """Returns the rejection of the request that a client sent, if load is shed; else None."""
        return self.state_machine.requests.preview(
            self.clock.now(),
            client,
            requests,
            self.loop_monitor.arrived_at,
            self.loop_monitor.idle_at,
        )

    def handle_event(self, event, arrived_at=NEVER):
        """Applies an event and carries out its effects.

        If an effect raises further events, these are applied after the current effects.
        `arrived_at`: when the event arrived, if before this turn of the loop.
        """
        self._pending_events.append(
            (event, min(arrived_at, self.loop_monitor.arrived_at), self.loop_monitor.idle_at)
        )
        if self.is_applying_events:
            return
        self.is_applying_events = True
        try:
            while self._pending_events:
                event, arrived_at, idle_at = self._pending_events.popleft()
                try:
                    effects = self.state_machine.apply(
                        self.clock.now(), event, arrived_at=arrived_at, last_idle_at=idle_at
                    )
                except Exception as error:
                    self._log_internal_error(error)
                    effects = self.state_machine.recover_from_fault(
                        getattr(event, "connection", None)
                    )
                for effect in effects:
                    self._carry_out(effect)
        finally:
            self.is_applying_events = False
        now = self.clock.now()
        try:
            wakeup_at = self.state_machine.next_wakeup(now)
        except Exception as error:
            self._log_internal_error(error)
            wakeup_at = now + RETRY_WAKEUP_TICKS
        self.timer.set(wakeup_at)

    def _carry_out(self, effect):
        try:
            self.effect_handlers[type(effect)](*effect)
        except Exception as error:
            self._log_internal_error(error)

    def _end_connection(self, connection):
        """Ends a connection and drops its handler.

        The connection object may be referenced for longer; without the handler it does not keep the
        socket and buffers in memory.
        """
        if connection.io is not None:
            connection.io.end()
            connection.io = None

    def _send_request(self, connection, head, body):
        """Writes a request, unless discovery and clients were not listened to for too long."""
        if not connection.is_health_check and self.loop_monitor.was_held_up():
            return self.handle_event(RequestHeldUp(connection))
        return connection.io.write(head, body)

    def _connect(self, connection):
        connection.io = UpstreamHandler(
            connection,
            self.handle_event,
            self.budget,
            self.turn_limiter,
            self.descriptor_release,
        )
        self.spawn(connection.io.run, connection.io)
