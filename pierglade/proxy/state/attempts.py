"""The balancer's decisions carried out: attempts sent, ended and cancelled."""

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
    MARGIN,
    REST,
)
from pierglade.proxy.state.effects import (
    PollDiscovery,
    SendRequest,
)

# Times are tenths of a millisecond.
APART = 10  # 1 ms; from aborting an attempt to the first byte of the next one, elsewhere
FLOW_FOR = 36000000  # 1 h; no attempt takes so long, and until its body is whole it is not late
REPLACED = http.HOP_BY_HOP | {b"x-expires-in-ms"}  # headers of a request that are written anew


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
        self.connections = {}  # attempt to its UpstreamConnection

    def connect(self, health_checks):
        """The parts that are made after this one."""
        self.health_checks = health_checks

    def carry_out_decisions(self):
        """Carries out the decisions until there is none."""
        for node in list(self.balancers.earlier):
            self._carry_out_from(node)
            if not (
                any(
                    client.request.owner is node
                    for client in self.downstream.by_state[AWAITING_RESPONSE]
                )
                or any(attempt.request.owner is node for attempt in self.connections)
            ):
                self.balancers.earlier.remove(node)
                self.step.log("settings_retired")
        self._carry_out_from(self.balancers.current)

    def _carry_out_from(self, node):
        now = self.step.now
        while (decision := node.next_decision(now)) is not None:
            match decision:
                case SendAttempt(attempt):
                    self.counters.count("trials" if attempt.is_trial else "attempts")
                    flow = attempt.request.host_context.message.flow
                    if flow is not None and not flow.whole:
                        # It has not begun for the backend, and can be neither late nor silent.
                        attempt.sent_at = attempt.timeout_at = now + FLOW_FOR
                    self.send(attempt)
                case CancelAttempt(attempt):
                    if attempt.outcome is None:
                        self.abort(attempt, "cancelled")
                        self.ended(attempt, Outcome.CANCELLED)
                case CheckHealth(backend):
                    self.counters.count("health_checks")
                    self.health_checks.start(node.endpoint_name(backend))
                case PollEndpoints():
                    self.counters.count("endpoint_polls")
                    self.step.emit(PollDiscovery())
                case RejectRequest(request) | FailRequest(request):
                    # Overdue in the turn in which this was decided, it has its answer, and must not
                    # get another.
                    if request.host_context.request is request:
                        self.downstream.respond_without_backend(
                            request, type(decision) is RejectRequest
                        )

    def ended(self, attempt, outcome, done=False):
        """Reports the outcome of an attempt to its balancer."""
        self.connections.pop(attempt, None)
        attempt.sent_at = min(attempt.sent_at, self.step.now)
        # The proxy's own event-loop lag is no latency of the backend.
        attempt.request.owner.attempt_ended(
            self.step.now, attempt, outcome, max(1, self.step.came - attempt.sent_at), done
        )

    def abort(self, attempt, reason):
        """Nothing more is sent for the attempt, and no response is taken."""
        link = self.connections.get(attempt)
        if link is not None:
            link.attempt = None
            attempt.request.host_context.dropped = self.step.now
            self.upstream.close(link, reason)

    def send(self, attempt):
        """Sends an attempt on a kept connection, or on a new one."""
        backend = self.endpoints.records.get(attempt.request.owner.endpoint_name(attempt.backend))
        flow = attempt.request.host_context.message.flow
        if flow is not None and flow.spent():
            return self.ended(
                attempt, Outcome.NOT_SENT
            )  # Some of its body went with an earlier one.
        if backend is None or self.endpoints.is_draining(backend):
            return self.ended(attempt, Outcome.REJECTED_UNPROCESSED)
        # The last one used is used next, so that the rest grow old and are closed; but not at once.
        link = next(
            (link for link in reversed(backend.idle) if self.step.now - link.since >= REST), None
        )
        if link is not None:
            backend.idle.remove(link)
            set_state(link, BUSY, self.upstream.by_state)
            self.connections[attempt], link.attempt = link, attempt
            self.upstream.watch(link)
            self.write(link)
            return
        link = self.upstream.open(backend)
        if link is None:
            return self.ended(attempt, Outcome.NOT_SENT)
        self.connections[attempt], link.attempt = link, attempt
        self.upstream.watch(link)

    def _write_later(self, queued):
        link, attempt = queued
        if link.attempt is attempt and link.state is BUSY:
            self.write(link)

    def write(self, link):
        """Sends the request of an attempt on its connection, unless that is of no use any more."""
        attempt, backend = link.attempt, link.backend
        # Time has passed since it was decided: until the link came up, or the one before was ended.
        if attempt.request.completed or self.step.now >= attempt.timeout_at - MARGIN:
            # The client has left or has its response, also where attempts may not be cancelled.
            return self.withdraw(link, Outcome.NOT_SENT)
        if self.endpoints.is_draining(backend):
            # The grace is not used: discovery may have queued the agent of it well before it queued
            # us.
            return self.withdraw(link, Outcome.REJECTED_UNPROCESSED)
        if link.address != backend.address:
            # Another process may have the address by now, which is queued other things of itself.
            return self.withdraw(link, None)
        if self.step.now < attempt.request.host_context.dropped + APART:
            # Two connections have no order between them: the end of the one is to be there before
            # the other's first byte, or the backends see two out at once.
            return self.timers.at(
                attempt.request.host_context.dropped + APART, self._write_later, (link, attempt)
            )
        message = attempt.request.host_context.message
        headers = http.passed_on(message, REPLACED)
        flow, request = message.flow, attempt.request
        length, body = len(message.body), message.body
        left = attempt.timeout_at - MARGIN - self.step.now
        if flow is not None:
            length, body = flow.size if flow.whole else flow.length, flow
            if not flow.whole:
                left = request.deadline - request.arrived_at - MARGIN
        headers.append((b"X-Expires-In-Ms", b"%d" % max(1, left // 10)))
        method = b"GET" if message.method == b"HEAD" else message.method
        head = http.request_head(method, http.target(message.url), headers, length)
        self.step.emit(SendRequest(link, head, body))

    def withdraw(self, link, outcome):
        """Takes the attempt, unwritten, off its connection; no outcome: it is sent elsewhere."""
        attempt, link.attempt = link.attempt, None
        self.upstream.release(link, True)
        if outcome is None:
            self.connections.pop(attempt)
            return self.send(attempt)
        self.ended(attempt, outcome)
