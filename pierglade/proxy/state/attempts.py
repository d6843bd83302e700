"""Executes the balancer's decisions: sends, aborts and reports attempts."""

from pierglade.model.decision import (
    CancelAttempt,
    CheckHealth,
    FailRequest,
    PollEndpoints,
    RejectRequest,
    SendAttempt,
)
from pierglade.model.outcome import Outcome
from pierglade.proxy.http import message as http
from pierglade.proxy.state.connections import (
    AWAITING_RESPONSE,
    BUSY,
    set_state,
)
from pierglade.proxy.state.constants import (
    DEADLINE_MARGIN,
)
from pierglade.proxy.state.effects import (
    PollDiscovery,
    SendRequest,
)

# Times are tenths of a millisecond.
RESEND_DELAY = 10  # 1 ms; minimum time from an abort to the first byte of the next attempt
# 1 h, which is longer than any upload: an attempt must not time out while its request body is
# incomplete.
MAX_BODY_DURATION = 36000000
# Request headers that are not forwarded; the proxy writes its own instead.
REPLACED_HEADERS = http.HOP_BY_HOP | {b"x-expires-in-ms"}


class AttemptDispatcher:
    """Sends attempts on upstream connections and reports their outcomes."""

    def __init__(self, step, timers, counters, balancers, endpoints, downstream, upstream):
        self.step = step
        self.timers = timers
        self.counters = counters
        self.balancers = balancers
        self.endpoints = endpoints
        self.downstream = downstream
        self.upstream = upstream
        self.connections = {}  # UpstreamConnection by attempt

    def set_dependencies(self, health_checks, requests):
        """Sets the components that are created after this one."""
        self.health_checks = health_checks
        self.requests = requests

    def execute_decisions(self):
        """Executes pending decisions of all balancers; drops earlier balancers without requests."""
        for balancer in list(self.balancers.earlier):
            self._execute_decisions_of(balancer)
            if not (
                any(
                    client.request.owner is balancer
                    for client in self.downstream.by_state[AWAITING_RESPONSE]
                )
                or any(attempt.request.owner is balancer for attempt in self.connections)
            ):
                self.balancers.earlier.remove(balancer)
                self.step.log("settings_retired")
        self._execute_decisions_of(self.balancers.current)

    def _execute_decisions_of(self, balancer):
        now = self.step.now
        while (decision := balancer.next_decision(now)) is not None:
            match decision:
                case SendAttempt(attempt):
                    self.counters.count("trials" if attempt.is_trial else "attempts")
                    flow = attempt.request.caller_context.message.body_stream
                    if flow is not None and not flow.is_complete:
                        # The backend executes the request only after its last byte, so the timeout
                        # does not run until then.
                        attempt.sent_at = attempt.timeout_at = now + MAX_BODY_DURATION
                    self.send(attempt)
                case CancelAttempt(attempt):
                    if attempt.outcome is None:
                        self._cancel(attempt)
                case CheckHealth(backend):
                    self.counters.count("health_checks")
                    self.health_checks.start(balancer.endpoint_name(backend))
                case PollEndpoints():
                    self.counters.count("endpoint_polls")
                    self.step.emit(PollDiscovery())
                case RejectRequest(request) | FailRequest(request):
                    # If the deadline passed in this same step, the request is already answered and
                    # must not be answered again.
                    if request.caller_context.request is request:
                        self.downstream.respond_without_backend(
                            request, type(decision) is RejectRequest
                        )

    def _cancel(self, attempt):
        """Cancels an attempt, unless its response has begun: that one is streamed from now on."""
        connection = self.connections.get(attempt)
        if (
            connection is not None
            and not attempt.request.completed
            and self.upstream.may_stream_response(connection)
        ):
            return self.upstream.stream_response(connection)
        self.abort(attempt, "cancelled")
        self.report_outcome(attempt, Outcome.CANCELLED)

    def report_outcome(self, attempt, outcome, answered=False):
        """Reports an attempt's outcome to its balancer; `answered`: if the backend responded."""
        self.connections.pop(attempt, None)
        attempt.sent_at = min(attempt.sent_at, self.step.now)
        # The lag of the proxy's own event loop does not count as latency of the backend.
        attempt.request.owner.attempt_ended(
            self.step.now,
            attempt,
            outcome,
            max(1, self.step.arrived_at - attempt.sent_at),
            answered,
        )

    def abort(self, attempt, reason):
        """Closes the attempt's connection, so that nothing more is sent and no response is read."""
        connection = self.connections.get(attempt)
        if connection is not None:
            client, connection.attempt = attempt.request.caller_context, None
            client.last_abort_at = self.step.now
            self.upstream.close(connection, reason, client.request_id)

    def send(self, attempt):
        """Sends an attempt on an idle connection, or on a new one."""
        backend = self.endpoints.records.get(attempt.request.owner.endpoint_name(attempt.backend))
        flow = attempt.request.caller_context.message.body_stream
        if flow is not None and flow.is_not_repeatable():
            # Part of its body was consumed by an earlier attempt and cannot be sent again.
            return self.report_outcome(attempt, Outcome.NOT_SENT)
        if backend is None or self.endpoints.is_draining(backend):
            return self.report_outcome(attempt, Outcome.REJECTED_UNPROCESSED)
        # The most recently used connection is preferred, so that surplus connections reach the idle
        # timeout. No connection is reused while it rests.
        rest_time = backend.rest_time(self.step.now)
        connection = next(
            (
                connection
                for connection in reversed(backend.idle)
                if self.step.now - connection.since >= rest_time
            ),
            None,
        )
        if connection is not None:
            backend.idle.remove(connection)
            set_state(connection, BUSY, self.upstream.by_state)
            self.connections[attempt], connection.attempt = connection, attempt
            self.upstream.restart_timeout(connection)
            self.write(connection)
            return
        connection = self.upstream.open(backend)
        if connection is None:
            return self.report_outcome(attempt, Outcome.NOT_SENT)
        self.connections[attempt], connection.attempt = connection, attempt
        self.upstream.restart_timeout(connection)

    def write_later(self, connection):
        """Writes the attempt of a connection in a later step, if that is still right by then."""
        if connection.attempt is not None:
            pending = connection, connection.attempt
            self.timers.schedule(self.step.now + RESEND_DELAY, self._write_delayed, pending)

    def _write_delayed(self, pending):
        connection, attempt = pending
        if connection.attempt is attempt and connection.state is BUSY:
            self.write(connection)

    def write(self, connection):
        """Writes an attempt to its connection, or withdraws it if it is obsolete."""
        attempt, backend = connection.attempt, connection.backend
        # Time has passed since the decision, while the connection was being established or an
        # aborted attempt was being closed.
        if attempt.request.completed or self.step.now >= attempt.timeout_at - DEADLINE_MARGIN:
            # The client has disconnected or was already answered. This is checked here as well,
            # because the balancer does not cancel attempts if cancelling is disabled.
            return self.withdraw(connection, Outcome.NOT_SENT)
        if attempt.write_by is not None and self.step.now >= attempt.write_by:
            return self.withdraw(connection, Outcome.NOT_SENT)
        if self.endpoints.is_draining(backend):
            # The drain grace period is not used: discovery may have notified the backend well
            # before it notified this process.
            return self.withdraw(connection, Outcome.REJECTED_UNPROCESSED)
        if not backend.is_current(connection):
            # The process that has the name now, and perhaps the address, may be in slow start.
            return self.withdraw(
                connection,
                None
                if attempt.request.owner.may_send_to_new_process(self.step.now, attempt.backend)
                else Outcome.REJECTED_UNPROCESSED,
            )
        if self.step.now < attempt.request.caller_context.last_abort_at + RESEND_DELAY:
            # There is no order between two connections. The close of the aborted one must arrive
            # before the first byte of the next attempt, or two attempts are in flight at once.
            return self.timers.schedule(
                attempt.request.caller_context.last_abort_at + RESEND_DELAY,
                self._write_delayed,
                (connection, attempt),
            )
        client = attempt.request.caller_context
        if not self.requests.may_send(client):
            return self.withdraw(connection, Outcome.NOT_SENT)
        message = client.message
        headers = http.forwarded_headers(message, REPLACED_HEADERS)
        flow, request = message.body_stream, attempt.request
        length, body = len(message.body), message.body
        time_left = attempt.timeout_at - DEADLINE_MARGIN - self.step.now
        if flow is not None:
            length, body = flow.size if flow.is_complete else flow.length, flow
            if not flow.is_complete:
                elapsed = self.step.now - flow.last_incomplete_at(self.step.now)
                time_left = request.deadline - request.arrived_at - DEADLINE_MARGIN - elapsed
        headers.append((b"X-Expires-In-Ms", b"%d" % max(1, time_left // 10)))
        method = b"GET" if message.method == b"HEAD" else message.method
        head = http.request_head(method, http.target(message.url), headers, length)
        self.step.emit(SendRequest(connection, head, body))

    def withdraw(self, connection, outcome):
        """Detaches an unwritten attempt from its connection; resends it if `outcome` is None."""
        attempt, connection.attempt = connection.attempt, None
        self.upstream.release(connection, True)
        if outcome is None:
            self.connections.pop(attempt)
            return self.send(attempt)
        self.report_outcome(attempt, outcome)
