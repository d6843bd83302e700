"""Clients' connections: their states, their timers and the responses they get."""

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
    MARGIN,
)
from pierglade.proxy.state.effects import (
    AbortConnection,
    CloseWhenRead,
    SendResponse,
)

# Times are tenths of a millisecond.
FIRST_ASK = 20000  # 2 s; from connecting to a request's first byte
SLOW_HEAD = 25000  # 2.5 s; from there, or the connecting, to the head's end: slow clients take 2 s
SLOW_BODY = 20000  # 2 s; what a sender may be behind in a body
SLOWEST = 3.2  # bytes in a tenth of a ms; 32 kB/s, half of what slow clients send
SLOW_READER = 50000  # 5 s; in which some of an answer is to be taken
CLIENT_IDLE = (
    25000  # 2.5 s; clients that ask once and stay would take descriptors from upstream connections
)
LINGER = 10000  # 1 s; for a client to close after its last answer


class DownstreamConnections:
    """The connections of clients."""

    def __init__(self, step, timers, counters, descriptors, lifecycle):
        self.step = step
        self.timers = timers
        self.counters = counters
        self.descriptors = descriptors
        self.lifecycle = lifecycle
        # In the order in which they came to a state: who is to close is the first of one.
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

    def connect(self, requests, upstream, attempts):
        """The parts that are made after this one."""
        self.requests = requests
        self.upstream = upstream
        self.attempts = attempts

    def opened(self, io, known=False):
        """A client has connected."""
        client = io.client = DownstreamConnection(io)
        client.known = known
        self.descriptors.open += 1
        set_state(client, NEW, self.by_state)
        client.since = self.step.now
        self.timers.set_timer(client, self.step.now + FIRST_ASK, self.idle_too_long)
        if not self.descriptors.free_descriptors(client):
            # Nothing idle is left to close: the newcomer is served, and closed after its response.
            client.last = True
            self.descriptors.count_exhausted()
        self.descriptors.limit_idle_clients(client)

    def _become_idle(self, client):
        set_state(client, IDLE, self.by_state)
        client.since = self.step.now
        self.timers.set_timer(client, self.step.now + CLIENT_IDLE, self.idle_too_long)

    def idle_too_long(self, client):
        """Nothing came of a client for so long that its descriptor is of more use to others."""
        self.step.emit(CloseWhenRead(client, "silent" if client.state is NEW else "idle"))

    def request_started(self, client, come=None):
        """Some of a message has come; `come`: bytes behind its head, None until that is whole."""
        if client.state in (NEW, IDLE):
            # The first message has until then from the connecting on, or silence and a trickle
            # would add up.
            client.headed = 0
            until = (client.since if client.state is NEW else self.step.now) + SLOW_HEAD
            set_state(client, READING_REQUEST, self.by_state)
            self.timers.set_timer(client, until, self._sends_too_slowly)
            self.descriptors.keep_open(client)
        if come is not None and client.state is READING_REQUEST:
            # Told from a flood of half requests by what comes, not by how long it takes.
            client.headed = client.headed or self.step.now
            self.timers.set_timer(
                client, client.headed + SLOW_BODY + int(come / SLOWEST), self._sends_too_slowly
            )

    def _sends_too_slowly(self, client):
        self.refuse(client, 408, last=True)

    def await_body(self, client, within):
        """More of a request body is to come within this many ticks."""
        client.taken = client.message.flow.size
        self.timers.set_timer(client, self.step.now + within, self._body_stalled)

    def _body_stalled(self, client):
        """It is held up by the client, if all that has come is forwarded; else by the backend."""
        flow, request = client.message.flow, client.request
        if not flow.full() and flow.size - client.taken < SLOWEST * SLOW_BODY:
            request.owner.client_disconnected(self.step.now, request)
            return self._sends_too_slowly(client)
        if flow.size == client.taken:
            for attempt in request.attempts:
                if attempt in self.attempts.connections:
                    self.attempts.abort(attempt, "takes no body")
                    self.attempts.ended(
                        attempt, Outcome.CONNECT_FAILED
                    )  # It has not run: its last byte was never written.
            if client.request is not request:
                return
        self.await_body(client, SLOW_BODY)

    def body_received(self, client):
        """More of a body has come. With the last byte the request's time begins."""
        request = client.request
        if (
            request is None
            or client.state is not AWAITING_RESPONSE
            or not client.message.flow.whole
        ):
            return
        waited = self.step.now - request.arrived_at
        request.arrived_at += waited
        request.objective_at += waited
        request.deadline += waited
        for attempt in request.attempts:
            if attempt in self.attempts.connections:
                attempt.sent_at, attempt.timeout_at = self.step.now, request.deadline
                self.upstream.watch(self.attempts.connections[attempt])
        self.await_response(client)

    def await_response(self, client):
        """A response is due by the request's deadline."""
        limit = client.request.deadline
        self.timers.set_timer(
            client, max(limit - MARGIN // 2, self.step.now + 1), self._deadline_overrun
        )

    def malformed_request(self, client, status, why=""):
        """What came is no message that we take."""
        if client.state in (
            NEW,
            IDLE,
            READING_REQUEST,
        ):
            self.refuse(client, status, why, last=True)
        client.last = True

    def _release_request(self, client):
        """Its request is answered or abandoned."""
        client.request = client.message = None
        if client.id is not None:
            self.requests.close_id(client)

    def _deadline_overrun(self, client):
        """Guards against a bug: whatever went wrong, the response is out before the deadline."""
        self.step.log("deadline_overrun")
        client.request.owner.client_disconnected(self.step.now, client.request)
        self.respond_without_backend(client.request, may_retry=False)

    def refuse(self, client, status, why="", last=False, allow=None):
        """`why`: one plain line for whoever wrote the client."""
        client.last = client.last or last
        headers = [(b"Allow", allow)] if allow else []
        if why:
            headers.append((b"Content-Type", b"text/plain"))
        self.respond(client, status, headers, why.encode() + b"\n" if why else b"")

    def respond(self, client, status, headers=(), body=b"", source=None):
        """`source`: the link that the body, a flow then, goes on to come from."""
        message = client.message
        chunked = source is not None and body.length is None and message.version == "1.1"
        length = len(body) if source is None else body.length
        # Without a length or chunks, only the end of the connection tells the end of the answer;
        # and behind one that comes before its request is whole, the rest of the request would be
        # read as the next.
        client.last = (
            client.last
            or self.lifecycle.is_draining()
            or (length is None and not chunked)
            or (message is not None and message.flow is not None and not message.flow.whole)
        )
        head = http.answer_head(status, headers, length, client.last, chunked)
        if message is not None and message.method == b"HEAD":
            body, source = b"", None
        set_state(client, WRITING_RESPONSE, self.by_state)
        self._release_request(client)
        if source is not None:
            client.source, source.reader, source.flow = source, client, body
        self.timers.set_timer(client, self.step.now + SLOW_READER, self._reads_too_slowly)
        self.step.emit(SendResponse(client, head, body, chunked if source is not None else None))

    def _reads_too_slowly(self, client):
        if client.source is not None and not client.source.flow.waiting:
            return self.response_progressed(
                client
            )  # It has taken all that has come; the link is looked after itself.
        self.close(client, "slow reader")

    def response_progressed(self, client):
        """Some more of its response was written to it."""
        if client.state is WRITING_RESPONSE:
            self.timers.set_timer(client, self.step.now + SLOW_READER, self._reads_too_slowly)

    def response_sent(self, client):
        """The answer's last byte is written."""
        if client.state is not WRITING_RESPONSE:
            return
        if client.last:
            set_state(client, LINGERING, self.by_state)
            self.timers.set_timer(client, self.step.now + LINGER, self._lingered)
        else:
            self._become_idle(client)

    def _lingered(self, client):
        self.close(client, "answered last")

    def disconnected(self, client, reason):
        """The client closed, or its connection broke: its request is abandoned."""
        if client.state is CLOSED:
            return
        if client.request is not None:
            client.request.owner.client_disconnected(self.step.now, client.request)
        self.close(client, "answered last" if client.state is LINGERING else reason)

    def close(self, client, reason):
        """Closes a connection at once."""
        del self.by_state[client.state][client]
        self.descriptors.open -= 1
        self.descriptors.keep_open(client)
        self.step.log("downstream_closed", reason=reason, state=client.state)
        client.state = CLOSED
        self._release_request(client)
        if client.source is not None:
            self.upstream.close(client.source, "client gone")
        self.step.emit(AbortConnection(client))

    def respond_without_backend(self, request, may_retry):
        """The response to a request that no backend has answered."""
        event = "request_rejected" if may_retry else "request_failed"
        self.step.log(
            event,
            request_class=request.request_class.name,
            attempts=len(request.attempts),
            latency_ms=(self.step.now - request.arrived_at) / 10,
            deadline_ms=(request.deadline - request.arrived_at) / 10,
            outcomes=[attempt.outcome and attempt.outcome.value for attempt in request.attempts],
        )
        self.counters.count(event)
        if may_retry:
            self.reject(request.host_context, request.owner)
        else:
            self.respond(request.host_context, 504)

    def reject(self, client, node):
        """Rejects a request that may be sent again: 503, with Retry-After where that is set."""
        wait = node.retry_after(self.step.now)
        self.respond(client, 503, [(b"Retry-After", b"%g" % (wait / 10000))] if wait else [])
