"""Connections to backends: opening, reuse, timeouts and closing."""

from collections import OrderedDict

from pierglade.model.endpoint import LoadReportSource
from pierglade.model.outcome import Outcome
from pierglade.proxy.http import message as http
from pierglade.proxy.state.connections import (
    BUSY,
    CLOSED,
    CONNECTING,
    IDLE,
    CloseCause,
    UpstreamConnection,
    set_state,
)
from pierglade.proxy.state.constants import (
    DEADLINE_MARGIN,
    LIVE_PATH,
    NEVER,
    STATS_PATH,
)
from pierglade.proxy.state.effects import (
    AbortUnlessWritten,
    CloseUpstream,
    Connect,
    SendRequest,
    StreamResponse,
)

# Times are tenths of a millisecond.

# Fraction of the idle timeout after which the proxy closes a connection, before the backend does.
IDLE_TIMEOUT_RATIO = 0.6
HEALTH_CHECK_TIMEOUT = 2000  # 200 ms; a running process answers a health check at once


class UpstreamConnections:
    """The connections to all backends."""

    def __init__(self, step, timers, counters, balancers, descriptors, endpoints, downstream):
        self.step = step
        self.timers = timers
        self.counters = counters
        self.balancers = balancers
        self.descriptors = descriptors
        self.endpoints = endpoints
        self.downstream = downstream
        self.by_state = {state: OrderedDict() for state in (CONNECTING, IDLE, BUSY)}

    def set_dependencies(self, attempts, health_checks):
        """Sets the components that are created after this one."""
        self.attempts = attempts
        self.health_checks = health_checks

    def open(self, backend):
        """Opens a connection to a backend; returns None if no file descriptor is free."""
        connection = UpstreamConnection(backend)
        self.descriptors.open_count += 1
        if not self.descriptors.free_descriptors(None):
            self.descriptors.open_count -= 1
            return None
        backend.open_connections += 1
        backend.connecting_count += 1
        set_state(connection, CONNECTING, self.by_state)
        connection.since = self.step.now
        self.counters.count("connections_opened")
        self.restart_timeout(connection)
        self.step.emit(Connect(connection))
        return connection

    def restart_timeout(self, connection):
        """Sets the timeout of the next expected event: connected, response or response piece."""
        moment = connection.response_piece_due_at or NEVER
        if connection.state is CONNECTING:
            moment = connection.since + self.balancers.settings.connect_timeout
        attempt = connection.attempt
        if attempt is not None:
            # Times out before the client's deadline.
            moment = min(moment, attempt.timeout_at - DEADLINE_MARGIN, attempt.write_by or NEVER)
        elif connection.is_health_check:
            moment = min(moment, connection.since + HEALTH_CHECK_TIMEOUT)
        self.timers.set_timer(connection, moment, self._timed_out)

    def may_stream_response(self, connection):
        """Returns whether the response being read has a body of unknown length for a client."""
        return connection.attempt is not None and connection.is_open_ended

    def stream_response(self, connection):
        """Streams the body of the response being read from now on."""
        connection.is_streamed_early = True
        self.step.emit(StreamResponse(connection))

    def _timed_out(self, connection):
        attempt = connection.attempt
        if attempt is not None and self.step.now >= (attempt.write_by or NEVER):
            self._write_overdue(connection, attempt)
        elif connection.state is CONNECTING:
            self.disconnected(connection, CloseCause.CONNECT_FAILED, False, "connect time-out")
        elif self.may_stream_response(connection):
            self.stream_response(connection)
        elif attempt is not None and self.step.now >= attempt.timeout_at - DEADLINE_MARGIN:
            self.attempts.abort(attempt, "timed out")
            self.attempts.report_outcome(attempt, Outcome.TIMEOUT)
        elif attempt is not None and not attempt.request.owner.may_retry_after_loss(
            self.step.now, attempt.request
        ):
            # The rest of the response may come until the deadline.
            connection.response_piece_due_at = NEVER
            self.restart_timeout(connection)
        else:
            self.disconnected(
                connection,
                *(CloseCause.MALFORMED_RESPONSE, True, "endless answer")
                if connection.response_piece_due_at
                else (CloseCause.CONNECT_FAILED, False, "probe time-out"),
            )

    def _write_overdue(self, connection, attempt):
        """Gives up an attempt that the backend has not received in time to drop it as a repeat."""
        attempt.write_by = None
        if connection.state is CONNECTING:
            self.attempts.abort(attempt, "too late to send")
            return self.attempts.report_outcome(attempt, Outcome.NOT_SENT)
        self.restart_timeout(connection)
        self.step.emit(AbortUnlessWritten(connection))

    def connected(self, connection):
        """Sends the attempt or health check of a connection that is established."""
        if connection.state is not CONNECTING:
            return
        connection.backend.connecting_count -= 1
        connection.backend.connect_measured(self.step.arrived_at - connection.since)
        set_state(connection, BUSY, self.by_state)
        self.restart_timeout(connection)
        if connection.attempt is None and not connection.is_health_check:
            # The attempt was sent on another connection, which became idle earlier.
            return self.release(connection, True)
        if connection.is_health_check and self.endpoints.is_draining(connection.backend):
            self.disconnected(connection, CloseCause.CONNECT_FAILED, False, "drained")
        elif connection.is_health_check:
            path = (
                STATS_PATH
                if self.health_checks.uses_reports(LoadReportSource.HEALTH_CHECKS)
                else LIVE_PATH
            )
            head = http.request_head(b"GET", path, [(b"Host", connection.address.encode())], 0)
            self.step.emit(SendRequest(connection, head, b""))
        else:
            self.attempts.write(connection)

    def request_not_sent(self, connection, client_closed):
        """Withdraws an attempt before anything was written.

        `client_closed`: the client has ended its side, so its request is abandoned; otherwise it is
        unknown whether it has.
        """
        if connection.state is BUSY and connection.attempt is not None:
            client = connection.attempt.request.caller_context
            if client_closed:
                self.downstream.disconnected(client, "client closed")
            self.attempts.withdraw(connection, Outcome.NOT_SENT)

    def unsolicited_bytes(self, connection):
        """Lets connections to this backend rest for longer, as it sends what no one asked for."""
        backend = connection.backend
        if self.step.now >= backend.sends_duplicates_until:
            self.step.log("unsolicited_bytes", backend=backend.name)
        backend.unsolicited_bytes_received(self.step.now)

    def release(self, connection, keep):
        """Makes a connection idle if it may be reused, or closes it."""
        backend = connection.backend
        if not keep:
            self.close(connection, "closed by its answer")
        elif self.endpoints.is_draining(backend) or not backend.is_current(connection):
            self.close(connection, "drained")
        else:
            set_state(connection, IDLE, self.by_state)
            backend.idle.append(connection)
            connection.since = self.step.now
            if backend.connecting_count:
                self.timers.schedule(
                    self.step.now + backend.rest_time(self.step.now),
                    self._take_over_attempt,
                    connection,
                )
            self.timers.set_timer(
                connection,
                self.step.now + int(IDLE_TIMEOUT_RATIO * self.balancers.settings.idle_timeout),
                self._idle_timed_out,
            )

    def _take_over_attempt(self, connection):
        """Sends the oldest attempt whose connection is not established on an idle connection."""
        if connection.state is not IDLE:
            return
        for other in self.by_state[CONNECTING]:
            if (
                other.backend is connection.backend
                and other.attempt is not None
                and other.incarnation == connection.incarnation
            ):
                attempt, other.attempt = other.attempt, None
                self.attempts.connections[attempt], connection.attempt = connection, attempt
                connection.backend.idle.remove(connection)
                set_state(connection, BUSY, self.by_state)
                self.restart_timeout(connection)
                self.restart_timeout(other)
                self.counters.count("connections_skipped")
                self.attempts.write(connection)
                return

    def _idle_timed_out(self, connection):
        self.close(connection, "idle")

    def disconnected(self, connection, cause, request_written, reason):
        """Handles the end of a connection; `request_written`: whether to the last byte."""
        if connection.state is CLOSED:
            return
        attempt = connection.attempt
        if connection.state is CONNECTING:
            self.counters.count("connections_refused")
        if connection.is_health_check:
            self.health_checks.finished(connection, False)
        self.close(connection, reason)
        if attempt is None:
            return
        if cause is CloseCause.STALE:
            # Nothing was written, so the attempt has not begun and is sent again.
            connection.attempt = None
            return self.attempts.send(attempt)
        if cause in (
            CloseCause.MALFORMED_RESPONSE,
            CloseCause.CLIENT_GONE,
            CloseCause.WRITE_OVERDUE,
        ):
            # The proxy closed the connection. The backend may still be responding, and the attempt
            # is in flight there until the close arrives.
            attempt.request.caller_context.last_abort_at = self.step.now
        outcome = _outcome(cause, request_written)
        self.step.log(
            "attempt_failed",
            backend=connection.backend.name,
            reason=reason,
            outcome=outcome.value,
            request_id=connection.request_id,
            **_upload_progress(attempt),
        )
        self.attempts.report_outcome(attempt, outcome)
        # Only now, so that `recover_from_fault` finds its client.
        connection.attempt = None

    def close(self, connection, reason, request_id=None):
        """Closes a connection at once; `request_id`: of an attempt detached just before."""
        del self.by_state[connection.state][connection]
        backend = connection.backend
        self.descriptors.open_count -= 1
        backend.open_connections -= 1
        backend.connecting_count -= connection.state is CONNECTING
        if connection.state is IDLE:
            backend.idle.remove(connection)
        if backend.health_check_connection is connection:
            backend.health_check_connection = None
        self.step.log(
            "upstream_closed",
            reason=reason,
            backend=connection.backend.name,
            state=connection.state,
            request_id=request_id or connection.request_id,
        )
        connection.closed_while_busy, connection.state = connection.state is BUSY, CLOSED
        if connection.receiver is not None:
            connection.receiver.source = None
            connection.body_stream = connection.receiver = None
        self.step.emit(CloseUpstream(connection))


def _upload_progress(attempt):
    """Returns the log fields that say how much of a streamed request body was taken for sending."""
    message = attempt.request.caller_context.message  # None: answered or abandoned meanwhile
    body = message.body_stream if message is not None else None
    if body is None or not body.is_partly_taken:
        return {}
    return {
        "body_bytes": body.size,
        "body_bytes_taken": body.size - body.buffered_bytes,
        "body_complete": body.is_complete,
    }


def _outcome(cause, request_written):
    """Returns the outcome of an attempt whose connection has ended."""
    if cause is CloseCause.MALFORMED_RESPONSE:
        return Outcome.SERVER_ERROR
    if cause is CloseCause.CLIENT_GONE:
        # A client that disconnects during its upload is not a failure of the backend.
        return Outcome.NOT_SENT
    if request_written:
        return Outcome.CONNECTION_RESET
    return Outcome.NOT_SENT if cause is CloseCause.WRITE_OVERDUE else Outcome.CONNECT_FAILED
