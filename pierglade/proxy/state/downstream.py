"""Client connections: their states, timeouts and responses."""

from collections import OrderedDict

from pierglade.model.outcome import Outcome
from pierglade.proxy.http import message as http
from pierglade.proxy.state.connections import (
    AWAITING_RESPONSE,
    CLOSED,
    IDLE,
    LINGERING,
    NEW,
    READING_REQUEST,
    WRITING_RESPONSE,
    DownstreamConnection,
    set_state,
)
from pierglade.proxy.state.constants import (
    DEADLINE_MARGIN,
    MIN_BODY_RATE,
)
from pierglade.proxy.state.effects import (
    AbortConnection,
    CloseWhenRead,
    SendResponse,
)

# Times are tenths of a millisecond.
FIRST_BYTE_TIMEOUT = 20000  # 2 s; from connecting to the first byte of a request
# 2.5 s; from connecting, or from the first byte of a later request, to the end of the head. Slow
# clients take 2 s.
HEAD_TIMEOUT = 25000
BODY_TIMEOUT = 20000  # 2 s; how late a body sent at MIN_BODY_RATE may be
CLIENT_READ_TIMEOUT = 50000  # 5 s; a client must read part of a response within this time
# 2.5 s. Clients that stay connected after a single request would use up the descriptors that are
# needed for upstream connections.
CLIENT_IDLE_TIMEOUT = 25000
# 50 ms; how late the stream of a response may begin that was due at the deadline
MAX_STREAM_DELAY = 500
LINGER_TIMEOUT = 10000  # 1 s; for a client to close after its last response


class DownstreamConnections:
    """The connections of all clients."""

    def __init__(self, step, timers, counters, descriptors, lifecycle):
        self.step = step
        self.timers = timers
        self.counters = counters
        self.descriptors = descriptors
        self.lifecycle = lifecycle
        # In the order in which they entered a state: the first of a state is closed first.
        self.by_state = {
            state: OrderedDict()
            for state in (
                NEW,
                IDLE,
                READING_REQUEST,
                AWAITING_RESPONSE,
                WRITING_RESPONSE,
                LINGERING,
            )
        }

    def set_dependencies(self, requests, upstream, attempts):
        """Sets the components that are created after this one."""
        self.requests = requests
        self.upstream = upstream
        self.attempts = attempts

    def opened(self, io, known=False):
        """Registers the connection of a new client."""
        client = io.client = DownstreamConnection(io)
        client.known = known
        self.descriptors.open_count += 1
        set_state(client, NEW, self.by_state)
        client.since = self.step.now
        self.timers.set_timer(client, self.step.now + FIRST_BYTE_TIMEOUT, self.idle_timed_out)
        if not self.descriptors.free_descriptors(client):
            # No idle connection is left to close: the client is closed after its first response.
            client.last = client.exceeds_limit = True
            self.descriptors.count_exhausted()
        self.descriptors.limit_idle_clients(client)

    def _become_idle(self, client):
        set_state(client, IDLE, self.by_state)
        client.since = self.step.now
        self.timers.set_timer(client, self.step.now + CLIENT_IDLE_TIMEOUT, self.idle_timed_out)

    def idle_timed_out(self, client):
        """Closes a client that has been silent for too long to keep its descriptor."""
        self.step.emit(CloseWhenRead(client, "silent" if client.state is NEW else "idle"))

    def request_started(self, client, body_size=None):
        """Sets the timeout of a partial request; `body_size`: bytes after its head, or None."""
        if client.state in (NEW, IDLE):
            # The timeout of the first request starts at connecting; otherwise a silent client with
            # a slow head would get both timeouts in a row.
            client.head_received_at = 0
            timeout_at = (client.since if client.state is NEW else self.step.now) + HEAD_TIMEOUT
            set_state(client, READING_REQUEST, self.by_state)
            self.timers.set_timer(client, timeout_at, self._sends_too_slowly)
            self.descriptors.cancel_close(client)
        if body_size is not None and client.state is READING_REQUEST:
            # A flood of incomplete requests differs from slow clients by its rate, not by the time.
            client.head_received_at = client.head_received_at or self.step.now
            self.timers.set_timer(
                client,
                client.head_received_at + BODY_TIMEOUT + int(body_size / MIN_BODY_RATE),
                self._sends_too_slowly,
            )

    def _sends_too_slowly(self, client):
        self.refuse(client, 408, last=True)

    def await_body(self, client):
        """Expects more of a request body within BODY_TIMEOUT."""
        client.body_size_at_last_check = client.message.body_stream.size
        client.body_checked_at = self.step.now
        self._set_body_timer(client)

    def _set_body_timer(self, client):
        moment = min(client.body_checked_at + BODY_TIMEOUT, self._upload_deadline(client))
        self.timers.set_timer(client, moment, self._body_timed_out)

    def _upload_deadline(self, client):
        """Returns by when a request must be answered whose body was not read to its end.

        Its backend may be reading it slowly while the client has sent it all and waits.
        """
        request, body = client.request, client.message.body_stream
        timeout = request.deadline - request.arrived_at
        return body.last_incomplete_at(self.step.now) + timeout - DEADLINE_MARGIN

    def _body_timed_out(self, client):
        if self.step.now >= self._upload_deadline(client):
            return self._upload_too_late(client)
        if self.step.now >= client.body_checked_at + BODY_TIMEOUT:
            return self._body_stalled(client)
        return self._set_body_timer(client)

    def _upload_too_late(self, client):
        """Ends an upload whose client can't be answered in time any more."""
        request = client.request
        # The safety net, should the balancer decide on no final answer.
        self.timers.set_timer(client, self.step.now + 1, self._deadline_overrun)
        for attempt in request.attempts:
            if attempt in self.attempts.connections:
                self.attempts.abort(attempt, "request body read too slowly")
                # The request's last byte was not written, so the backend has not executed it.
                self.attempts.report_outcome(attempt, Outcome.CONNECT_FAILED)

    def _body_stalled(self, client):
        """Ends a stalled upload; the client is at fault unless the buffer of the body is full."""
        flow, request = client.message.body_stream, client.request
        if (
            not flow.full()
            and flow.size - client.body_size_at_last_check < MIN_BODY_RATE * BODY_TIMEOUT
        ):
            request.owner.client_disconnected(self.step.now, request)
            return self._sends_too_slowly(client)
        if flow.size == client.body_size_at_last_check:
            for attempt in request.attempts:
                if attempt in self.attempts.connections:
                    self.attempts.abort(attempt, "takes no body")
                    # The request's last byte was not written, so the backend has not executed it.
                    self.attempts.report_outcome(attempt, Outcome.CONNECT_FAILED)
            if client.request is not request:
                return
        self.await_body(client)

    def body_received(self, client):
        """Restarts the deadlines of a request when the last byte of its body has arrived.

        The request's time counts from when the client may have sent that byte, which is earlier
        than it was read if the backend was slow to take what came before it.
        """
        request = client.request
        if (
            request is None
            or client.state is not AWAITING_RESPONSE
            or not client.message.body_stream.is_complete
        ):
            return
        waited = max(0, client.message.body_stream.incomplete_at - request.arrived_at)
        request.arrived_at += waited
        request.objective_at += waited
        request.deadline += waited
        for attempt in request.attempts:
            if attempt in self.attempts.connections:
                attempt.sent_at, attempt.timeout_at = self.step.now, request.deadline
                self.upstream.restart_timeout(self.attempts.connections[attempt])
        self.await_response(client)

    def await_response(self, client):
        """Expects a response by the request's deadline."""
        deadline = client.request.deadline
        self.timers.set_timer(
            client, max(deadline - DEADLINE_MARGIN // 2, self.step.now + 1), self._deadline_overrun
        )

    def malformed_request(self, client, status, reason=""):
        """Answers bytes that are not a valid request with an error status."""
        if client.state in (
            NEW,
            IDLE,
            READING_REQUEST,
        ):
            if status == 503:  # The request is sound, and there is no memory for it.
                return self.reject_last(client)
            self.refuse(client, status, reason, last=True)
        client.last = True

    def _release_request(self, client):
        """Clears the request once it is answered or abandoned."""
        client.request = client.message = None
        if client.id is not None:
            self.requests.retire_id(client)

    def _deadline_overrun(self, client):
        """Answers at the deadline even if a bug prevented any other response."""
        if self._stream_begins(client.request):
            return self.timers.set_timer(
                client, self.step.now + DEADLINE_MARGIN, self._deadline_overrun
            )
        self.step.log("deadline_overrun", request_id=client.request_id)
        client.request.owner.client_disconnected(self.step.now, client.request)
        self.respond_without_backend(client.request, may_retry=False)

    def _stream_begins(self, request):
        """Returns whether a response is about to be streamed, in a step that began late."""
        return self.step.now < request.deadline + MAX_STREAM_DELAY and any(
            (connection := self.attempts.connections.get(attempt)) is not None
            and connection.is_streamed_early
            for attempt in request.attempts
        )

    def refuse(self, client, status, reason="", last=False, allow=None):
        """Sends an error response; `reason`: one plain line for the developer of the client."""
        client.last = client.last or last
        headers = [(b"Allow", allow)] if allow else []
        if reason:
            headers.append((b"Content-Type", b"text/plain"))
        self.respond(client, status, headers, reason.encode() + b"\n" if reason else b"")

    def respond(self, client, status, headers=(), body=b"", source=None):
        """Sends a response; `source`: the upstream connection that its body is streamed from."""
        message = client.message
        chunked = source is not None and body.length is None and message.version == "1.1"
        length = len(body) if source is None else body.length
        # Without a length or chunks, the end of the connection ends the response. If a response is
        # sent before its request is complete, the rest of the request would be parsed as the next
        # request.
        client.last = (
            client.last
            or (self.lifecycle.is_draining() and not self._has_sent_more(client))
            or (length is None and not chunked)
            or (
                message is not None
                and message.body_stream is not None
                and not message.body_stream.is_complete
            )
        )
        head = http.response_head(status, headers, length, client.last, chunked)
        if message is not None and message.method == b"HEAD":
            body, source = b"", None
        set_state(client, WRITING_RESPONSE, self.by_state)
        self._release_request(client)
        if source is not None:
            client.source, source.receiver, source.body_stream = source, client, body
        self.timers.set_timer(client, self.step.now + CLIENT_READ_TIMEOUT, self._reads_too_slowly)
        self.step.emit(SendResponse(client, head, body, chunked if source is not None else None))

    def _has_sent_more(self, client):
        """Returns whether requests behind the current one are to be answered by this process."""
        return (
            client.message is not None
            and self.lifecycle.serves_pipelined()
            and client.io.has_more_input()
        )

    def _reads_too_slowly(self, client):
        if client.source is not None and not client.source.body_stream.buffered_bytes:
            # The client has read everything; the upstream connection has a timeout of its own.
            return self.response_progressed(client)
        self.close(client, "slow reader")

    def response_progressed(self, client):
        """Restarts the read timeout: part of the response was written."""
        if client.state is WRITING_RESPONSE:
            self.timers.set_timer(
                client, self.step.now + CLIENT_READ_TIMEOUT, self._reads_too_slowly
            )

    def response_sent(self, client):
        """Handles the end of a response: the client becomes idle, or is expected to disconnect."""
        if client.state is not WRITING_RESPONSE:
            return
        if client.last:
            set_state(client, LINGERING, self.by_state)
            self.timers.set_timer(client, self.step.now + LINGER_TIMEOUT, self._linger_timed_out)
        else:
            self._become_idle(client)
            if self.lifecycle.is_draining():
                self.step.emit(CloseWhenRead(client, "stopping"))

    def _linger_timed_out(self, client):
        self.close(client, "answered last")

    def disconnected(self, client, reason):
        """Abandons the request of a client that closed or whose connection broke."""
        if client.state is CLOSED:
            return
        if client.request is not None:
            client.request.owner.client_disconnected(self.step.now, client.request)
        self.close(client, "answered last" if client.state is LINGERING else reason)

    def close(self, client, reason):
        """Closes a connection at once."""
        del self.by_state[client.state][client]
        self.descriptors.open_count -= 1
        self.descriptors.cancel_close(client)
        self.step.log(
            "downstream_closed", reason=reason, state=client.state, request_id=client.request_id
        )
        client.state = CLOSED
        self._release_request(client)
        if client.source is not None:
            self.upstream.close(client.source, "client gone")
        self.step.emit(AbortConnection(client))

    def respond_without_backend(self, request, may_retry):
        """Answers a request for which no backend response can be sent."""
        event = "request_rejected" if may_retry else "request_failed"
        self.step.log(
            event,
            request_class=request.request_class.name,
            attempts=len(request.attempts),
            latency_ms=(self.step.now - request.arrived_at) / 10,
            deadline_ms=(request.deadline - request.arrived_at) / 10,
            outcomes=[attempt.outcome and attempt.outcome.value for attempt in request.attempts],
            request_id=request.caller_context.request_id,
        )
        self.counters.count(event)
        if may_retry:
            self.reject(request.caller_context, request.owner)
        else:
            self.respond(request.caller_context, 504)

    def reject_last(self, client):
        """Rejects the request of a client, which is closed after it."""
        client.last = True
        self.reject(client, self.requests.balancers.current)

    def reject(self, client, balancer):
        """Rejects a request that may be retried: 503, with Retry-After if that is enabled."""
        wait = balancer.retry_after(self.step.now)
        self.respond(client, 503, [(b"Retry-After", b"%g" % (wait / 10000))] if wait else [])
