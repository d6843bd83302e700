"""The backends' part of a node's state: decisions carried out on links, and what comes back on them."""

from pierglade.model.decision import (
    CancelAttempt,
    CheckHealth,
    FailRequest,
    PollEndpoints,
    RejectRequest,
    SendAttempt,
)
from pierglade.model.endpoint import LoadReportSource
from pierglade.model.outcome import Outcome
from pierglade.proxy.http import message as http
from pierglade.proxy.state.connections import CloseCause, ConnectionState, UpstreamConnection
from pierglade.proxy.state.constants import LIVE_PATH, MARGIN, NEVER, STATS_PATH
from pierglade.proxy.state.effects import CloseUpstream, Connect, PollDiscovery, SendRequest
from pierglade.settings.platform import load_told

# Constants. Times are tenths of a millisecond.
REST = 100  # 10 ms; second answers came up to 4 ms late, and must not answer the next trip
APART = 10  # 1 ms; from ending a trip ourselves to the first byte of the next one's, elsewhere
IDLE_PART = 0.6  # share of the idle limit after which we close first, so that no trip meets its end
PROBE_FOR = 2000  # 200 ms; a process that runs says so at once
REPLY_GOES_ON = 1000  # 100 ms; between the pieces of an answer; a spoilt one may never end
FLOW_GOES_ON = 50000  # 5 s; between the pieces of an answer that is passed on as it comes
FLOW_FOR = 36000000  # 1 h; no trip takes so long, and until its body is whole it is not late
REPLACED = http.HOP_BY_HOP | {b"x-expires-in-ms"}  # headers of a request that are written anew
KEPT_BACK = http.HOP_BY_HOP | {
    b"endpoint-load-metrics"
}  # headers of an answer that are for the node


class Links:
    """Mixed into the ProxyStateMachine, which holds what is used here."""

    def _pull(self):
        """Carries out the decisions until there is none."""
        for node in list(self.older):
            self._pull_from(node)
            if not (
                any(
                    client.request.owner is node
                    for client in self.clients[ConnectionState.AWAITING_RESPONSE]
                )
                or any(attempt.request.owner is node for attempt in self.carried)
            ):
                self.older.remove(node)
                self._note("settings_retired")
        self._pull_from(self.node)

    def _pull_from(self, node):
        now = self.now
        while (decision := node.next_decision(now)) is not None:
            match decision:
                case SendAttempt(attempt):
                    self._count("trials" if attempt.is_trial else "attempts")
                    flow = attempt.request.host_context.message.flow
                    if flow is not None and not flow.whole:
                        # It has not begun for the backend, and can be neither late nor silent.
                        attempt.sent_at = attempt.timeout_at = now + FLOW_FOR
                    self._carry(attempt)
                case CancelAttempt(attempt):
                    if attempt.outcome is None:
                        self._drop(attempt, "cancelled")
                        self._return(attempt, Outcome.CANCELLED)
                case CheckHealth(backend):
                    self._count("health_checks")
                    self._probe(node.endpoint_name(backend))
                case PollEndpoints():
                    self._count("endpoint_polls")
                    self._do(PollDiscovery())
                case RejectRequest(request) | FailRequest(request):
                    # Overdue in the turn in which this was decided, it has its answer, and must not get
                    # another.
                    if request.host_context.request is request:
                        self._final(request, type(decision) is RejectRequest)

    def _final(self, request, may_retry):
        """The final answer of a request that no backend has answered."""
        event = "request_rejected" if may_retry else "request_failed"
        self._note(
            event,
            request_class=request.request_class.name,
            attempts=len(request.attempts),
            latency_ms=(self.now - request.arrived_at) / 10,
            deadline_ms=(request.deadline - request.arrived_at) / 10,
            outcomes=[attempt.outcome and attempt.outcome.value for attempt in request.attempts],
        )
        self._count(event)
        if may_retry:
            self._bounce(request.host_context, request.owner)
        else:
            self._answer(request.host_context, 504)

    def _bounce(self, client, node):
        wait = node.retry_after(self.now)
        self._answer(client, 503, [(b"Retry-After", b"%g" % (wait / 10000))] if wait else [])

    def _return(self, attempt, outcome, done=False):
        self.carried.pop(attempt, None)
        attempt.sent_at = min(attempt.sent_at, self.now)
        # The node's own lateness is no latency of the backend's.
        attempt.request.owner.attempt_ended(
            self.now, attempt, outcome, max(1, self.came - attempt.sent_at), done
        )

    def _drop(self, attempt, reason):
        """Nothing more is sent for the trip, and no answer is taken."""
        link = self.carried.get(attempt)
        if link is not None:
            link.attempt = None
            attempt.request.host_context.dropped = self.now
            self._end_link(link, reason)

    def _carry(self, attempt):
        """A trip goes out on a kept link, or on a new one."""
        backend = self.backends.get(attempt.request.owner.endpoint_name(attempt.backend))
        flow = attempt.request.host_context.message.flow
        if flow is not None and flow.spent():
            return self._return(
                attempt, Outcome.NOT_SENT
            )  # Some of its body went with an earlier one.
        if backend is None or self._binds(backend):
            return self._return(attempt, Outcome.REJECTED_UNPROCESSED)
        # The last one used is used next, so that the rest grow old and are closed; but not at once.
        link = next(
            (link for link in reversed(backend.idle) if self.now - link.since >= REST), None
        )
        if link is not None:
            backend.idle.remove(link)
            self._is(link, ConnectionState.BUSY, self.links)
            self.carried[attempt], link.attempt = link, attempt
            self._watch(link)
            self._write(link)
            return
        link = self._open(backend)
        if link is None:
            return self._return(attempt, Outcome.NOT_SENT)
        self.carried[attempt], link.attempt = link, attempt
        self._watch(link)

    def _open(self, backend):
        link = UpstreamConnection(backend)
        self.open += 1
        if not self._make_room(None):
            self.open -= 1
            return None
        backend.links += 1
        backend.coming_up += 1
        self._is(link, ConnectionState.CONNECTING, self.links)
        link.since = self.now
        self._count("connections_opened")
        self._watch(link)
        self._do(Connect(link))
        return link

    def _watch(self, link):
        """Sees to it that what the link waits for comes in time."""
        moment = link.replying or NEVER
        if link.state is ConnectionState.CONNECTING:
            moment = link.since + self.settings.connect_timeout
        if link.attempt is not None:
            # Times out ahead of the client's limit.
            moment = min(moment, link.attempt.timeout_at - MARGIN)
        elif link.probing:
            moment = min(moment, link.since + PROBE_FOR)
        self._connection_due(link, moment, self._is_late)

    def _is_late(self, link):
        attempt = link.attempt
        if link.state is ConnectionState.CONNECTING:
            self._link_ended(link, CloseCause.CONNECT_FAILED, False, "connect time-out")
        elif attempt is not None and self.now >= attempt.timeout_at - MARGIN:
            self._drop(attempt, "timed out")
            self._return(attempt, Outcome.TIMEOUT)
        else:
            self._link_ended(
                link,
                *(CloseCause.MALFORMED_RESPONSE, True, "endless answer")
                if link.replying
                else (CloseCause.CONNECT_FAILED, False, "probe time-out"),
            )

    def _up(self, link):
        """The connection has come up."""
        if link.state is not ConnectionState.CONNECTING:
            return
        link.backend.coming_up -= 1
        self._is(link, ConnectionState.BUSY, self.links)
        self._watch(link)
        if link.attempt is None and not link.probing:
            # Its trip went out on another that was free first.
            return self._is_free(link, True)
        if link.probing and self._binds(link.backend):
            self._link_ended(link, CloseCause.CONNECT_FAILED, False, "drained")
        elif link.probing:
            path = STATS_PATH if self._heeds(LoadReportSource.HEALTH_CHECKS) else LIVE_PATH
            head = http.request_head(b"GET", path, [(b"Host", link.address.encode())], 0)
            self._do(SendRequest(link, head, b""))
        else:
            self._write(link)

    def _write_later(self, told):
        link, attempt = told
        if link.attempt is attempt and link.state is ConnectionState.BUSY:
            self._write(link)

    def _write(self, link):
        attempt, backend = link.attempt, link.backend
        # Time has passed since it was decided: until the link came up, or the one before was ended.
        if attempt.request.completed or self.now >= attempt.timeout_at - MARGIN:
            # Whoever waited has left or has the answer, also where trips may not be called off.
            return self._withdraw(link, Outcome.NOT_SENT)
        if self._binds(backend):
            # The grace is not used: discovery may have told the agent of it well before it told us.
            return self._withdraw(link, Outcome.REJECTED_UNPROCESSED)
        if link.address != backend.address:
            # Another process may have the address by now, which is told other things of itself.
            return self._withdraw(link, None)
        if self.now < attempt.request.host_context.dropped + APART:
            # Two connections have no order between them: the end of the one is to be there before the other's
            # first byte, or the backends see two out at once.
            return self._at(
                attempt.request.host_context.dropped + APART, self._write_later, (link, attempt)
            )
        message = attempt.request.host_context.message
        headers = http.passed_on(message, REPLACED)
        flow, request = message.flow, attempt.request
        length, body = len(message.body), message.body
        left = attempt.timeout_at - MARGIN - self.now
        if flow is not None:
            length, body = flow.size if flow.whole else flow.length, flow
            if not flow.whole:
                left = request.deadline - request.arrived_at - MARGIN
        headers.append((b"X-Expires-In-Ms", b"%d" % max(1, left // 10)))
        method = b"GET" if message.method == b"HEAD" else message.method
        head = http.request_head(method, http.target(message.url), headers, length)
        self._do(SendRequest(link, head, body))

    def _withdraw(self, link, outcome):
        """Not a byte of its trip is written: the link is free for another. No outcome: the trip goes on."""
        attempt, link.attempt = link.attempt, None
        self._is_free(link, True)
        if outcome is None:
            self.carried.pop(attempt)
            return self._carry(attempt)
        self._return(attempt, outcome)

    def _left(self, link):
        """What was to be written on the link was not: the end of its client was there to be read."""
        if link.state is ConnectionState.BUSY and link.attempt is not None:
            self._client_ended(link.attempt.request.host_context, "client closed")
            self._withdraw(link, Outcome.NOT_SENT)

    def _replying(self, link):
        """A piece of an answer has come, and it is not whole. Its size is bounded by whoever reads it."""
        if link.flow is not None:
            self._connection_due(link, self.now + FLOW_GOES_ON, self._flow_stands)
        elif link.state is ConnectionState.BUSY:
            link.replying = self.now + REPLY_GOES_ON
            self._watch(link)

    def _flow_stands(self, link):
        if link.flow.full():
            return self._replying(link)  # The client takes it slowly, and is looked after itself.
        self._end_link(link, "stalled")

    def _replied(self, link, message):
        """A whole answer has come on the link."""
        link.replying = 0
        if link.state is ConnectionState.IDLE:
            # Nobody asked: kept, the link would give the next trip an answer that is not its own.
            return self._end_link(link, "unasked answer")
        if link.state is not ConnectionState.BUSY:
            return
        if link.probing:
            if message.status == 200 and self._heeds(LoadReportSource.HEALTH_CHECKS):
                self._reported(link, message.body)
            self._probed(link, message.status == 200)
        else:
            if self._heeds(LoadReportSource.RESPONSES):
                self._reported(link, message.fields.get(b"endpoint-load-metrics", b""))
            if self._attempt_answered(link, message):
                return self._replying(link)
        # The rest of what nobody waits for would hold up the connection.
        self._is_free(link, message.keep and message.flow is None)

    def _attempt_answered(self, link, message):
        """Whether the body of the response is still to be forwarded from the connection."""
        attempt, link.attempt = link.attempt, None
        # The client's own fault goes back to it; but 429 would say that nothing ran, which nobody knows.
        rejected = 400 <= message.status < 500 and message.status != 429
        if message.status != 200 and not rejected:
            self._failed(link, attempt, message)
            return False
        request = attempt.request
        awaited = not request.completed
        outcome = Outcome.CLIENT_ERROR if rejected else Outcome.SUCCESS
        self._return(attempt, outcome, done=True)
        if not awaited:
            return False
        if rejected or len(request.attempts) > 1 or self.now > request.objective_at:
            # What went well leaves no line: at four times the load there were too many of them.
            self._note(
                "client_error" if rejected else "request_succeeded",
                request_class=request.request_class.name,
                attempts=len(request.attempts),
                latency_ms=(self.now - request.arrived_at) / 10,
                backend=link.backend.name,
            )
        client, headers = request.host_context, http.passed_on(message, KEPT_BACK)
        if message.flow is None:
            self._answer(client, message.status, headers, message.body)
            return False
        wanted = client.message.method != b"HEAD"
        self._answer(client, message.status, headers, message.flow, link)
        return wanted

    def _failed(self, link, attempt, message):
        """A backend's response that does not go to the client."""
        never_ran = message.status in (503, 504) and message.fields.get(b"x-never-ran") == b"1"
        self._note(
            "attempt_failed",
            backend=link.backend.name,
            status=message.status,
            unexecuted=never_ran,
        )
        self._return(attempt, Outcome.REJECTED_UNPROCESSED if never_ran else Outcome.SERVER_ERROR)

    def _reply_over(self, link, keep):
        """An answer that was passed on as it came is whole."""
        if link.flow is None or link.state is ConnectionState.CLOSED:
            return
        if link.reader is not None:
            link.reader.source = None
        link.flow = link.reader = None
        link.replying = 0
        self._is_free(link, keep)

    def _is_free(self, link, keep):
        backend = link.backend
        if not keep:
            self._end_link(link, "closed by its answer")
        elif self._binds(backend) or backend.address != link.address:
            self._end_link(link, "drained")
        else:
            self._is(link, ConnectionState.IDLE, self.links)
            backend.idle.append(link)
            link.since = self.now
            if backend.coming_up:
                self._at(self.now + REST, self._offer, link)
            self._connection_due(
                link,
                self.now + int(IDLE_PART * self.settings.idle_timeout),
                self._link_idle_too_long,
            )

    def _offer(self, link):
        """A link is free while trips wait for others to come up: the oldest of them goes out on it."""
        if link.state is not ConnectionState.IDLE:
            return
        for other in self.links[ConnectionState.CONNECTING]:
            if (
                other.backend is link.backend
                and other.attempt is not None
                and other.address == link.address
            ):
                attempt, other.attempt = other.attempt, None
                self.carried[attempt], link.attempt = link, attempt
                link.backend.idle.remove(link)
                self._is(link, ConnectionState.BUSY, self.links)
                self._watch(link)
                self._watch(other)
                self._count("connections_skipped")
                self._write(link)
                return

    def _link_idle_too_long(self, link):
        self._end_link(link, "idle")

    def _link_ended(self, link, how, whole, reason):
        """A link has ended by itself; `whole` tells whether the last byte of a request was written."""
        if link.state is ConnectionState.CLOSED:
            return
        attempt, link.attempt = link.attempt, None
        if link.state is ConnectionState.CONNECTING:
            self._count("connections_refused")
        if link.probing:
            self._probed(link, False)
        self._end_link(link, reason)
        if attempt is None:
            return
        if how is CloseCause.STALE:
            # A kept connection was found closed before a byte was written: the trip has not begun.
            return self._carry(attempt)
        if how in (CloseCause.MALFORMED_RESPONSE, CloseCause.CLIENT_GONE):
            # Ended by us: the backend may go on with its answer, and has it out until our end is there.
            attempt.request.host_context.dropped = self.now
        # Cut: its own client left in the middle of the body, which says nothing of the backend.
        outcome = (
            Outcome.SERVER_ERROR
            if how is CloseCause.MALFORMED_RESPONSE
            else Outcome.NOT_SENT
            if how is CloseCause.CLIENT_GONE
            else Outcome.CONNECTION_RESET
            if whole
            else Outcome.CONNECT_FAILED
        )
        self._note(
            "attempt_failed", backend=link.backend.name, reason=reason, outcome=outcome.value
        )
        self._return(attempt, outcome)

    def _end_link(self, link, reason):
        del self.links[link.state][link]
        backend = link.backend
        self.open -= 1
        backend.links -= 1
        backend.coming_up -= link.state is ConnectionState.CONNECTING
        if link.state is ConnectionState.IDLE:
            backend.idle.remove(link)
        if backend.probed_on is link:
            backend.probed_on = None
        self._note("upstream_closed", reason=reason, backend=link.backend.name, state=link.state)
        link.cut, link.state = link.state is ConnectionState.BUSY, ConnectionState.CLOSED
        if link.reader is not None:
            link.reader.source = None
            link.flow = link.reader = None
        self._do(CloseUpstream(link))

    # Reports and probes.

    def _heeds(self, reports):
        """Whether load reports come so and a decision rests on them: each costs a node on its core."""
        return self.settings.load_report_source == reports and self.node.learns

    def _reported(self, link, text):
        load = load_told(bytes(text).decode("latin-1"))
        if load is not None:
            self.node.load_reported(self.now, link.backend.name, load)

    def _probe(self, name):
        backend = self.backends.get(name)
        if backend is None or backend.probed_on is not None or self._binds(backend):
            return  # One at a time: a silent backend must not fill up with probes.
        link = self._open(backend)
        if link is None:
            return self._tell_probed(name, False, 0)
        link.probing, backend.probed_on = True, link
        self._watch(link)

    def _probed(self, link, good):
        link.probing, link.backend.probed_on = False, None
        self._tell_probed(link.backend.name, good, self.now - link.since)

    def _tell_probed(self, name, good, took):
        for node in (*self.older, self.node):
            node.health_checked(self.now, name, good, took)
