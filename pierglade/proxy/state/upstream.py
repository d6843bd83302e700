"""Connections to backends: opened, kept for reuse, watched and closed."""

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
    LIVE_PATH,
    MARGIN,
    NEVER,
    REST,
    STATS_PATH,
)
from pierglade.proxy.state.effects import (
    CloseUpstream,
    Connect,
    SendRequest,
)

# Times are tenths of a millisecond.
IDLE_PART = 0.6  # share of the idle timeout after which the proxy closes, ahead of backends
PROBE_FOR = 2000  # 200 ms; a process that runs says so at once


class UpstreamConnections:
    """The connections to backends."""

    def __init__(self, step, timers, counters, balancers, descriptors, endpoints, downstream):
        self.step = step
        self.timers = timers
        self.counters = counters
        self.balancers = balancers
        self.descriptors = descriptors
        self.endpoints = endpoints
        self.downstream = downstream
        self.by_state = {state: OrderedDict() for state in (CONNECTING, IDLE, BUSY)}

    def connect(self, attempts, health_checks):
        """The parts that are made after this one."""
        self.attempts = attempts
        self.health_checks = health_checks

    def open(self, backend):
        """A new connection to a backend; None: there is no descriptor for it."""
        link = UpstreamConnection(backend)
        self.descriptors.open += 1
        if not self.descriptors.free_descriptors(None):
            self.descriptors.open -= 1
            return None
        backend.links += 1
        backend.coming_up += 1
        set_state(link, CONNECTING, self.by_state)
        link.since = self.step.now
        self.counters.count("connections_opened")
        self.watch(link)
        self.step.emit(Connect(link))
        return link

    def watch(self, link):
        """Sees to it that what the link waits for comes in time."""
        moment = link.replying or NEVER
        if link.state is CONNECTING:
            moment = link.since + self.balancers.settings.connect_timeout
        if link.attempt is not None:
            # Times out ahead of the client's limit.
            moment = min(moment, link.attempt.timeout_at - MARGIN)
        elif link.probing:
            moment = min(moment, link.since + PROBE_FOR)
        self.timers.set_timer(link, moment, self._timed_out)

    def _timed_out(self, link):
        attempt = link.attempt
        if link.state is CONNECTING:
            self.ended(link, CloseCause.CONNECT_FAILED, False, "connect time-out")
        elif attempt is not None and self.step.now >= attempt.timeout_at - MARGIN:
            self.attempts.abort(attempt, "timed out")
            self.attempts.ended(attempt, Outcome.TIMEOUT)
        else:
            self.ended(
                link,
                *(CloseCause.MALFORMED_RESPONSE, True, "endless answer")
                if link.replying
                else (CloseCause.CONNECT_FAILED, False, "probe time-out"),
            )

    def connected(self, link):
        """The connection has come up."""
        if link.state is not CONNECTING:
            return
        link.backend.coming_up -= 1
        set_state(link, BUSY, self.by_state)
        self.watch(link)
        if link.attempt is None and not link.probing:
            # Its attempt was sent on another that was free first.
            return self.release(link, True)
        if link.probing and self.endpoints.is_draining(link.backend):
            self.ended(link, CloseCause.CONNECT_FAILED, False, "drained")
        elif link.probing:
            path = (
                STATS_PATH
                if self.health_checks.uses_reports(LoadReportSource.HEALTH_CHECKS)
                else LIVE_PATH
            )
            head = http.request_head(b"GET", path, [(b"Host", link.address.encode())], 0)
            self.step.emit(SendRequest(link, head, b""))
        else:
            self.attempts.write(link)

    def request_not_sent(self, link):
        """Nothing was written upstream: the client's end of stream was there to be read."""
        if link.state is BUSY and link.attempt is not None:
            self.downstream.disconnected(link.attempt.request.host_context, "client closed")
            self.attempts.withdraw(link, Outcome.NOT_SENT)

    def release(self, link, keep):
        """A connection has nothing to do: it is kept for reuse, or closed."""
        backend = link.backend
        if not keep:
            self.close(link, "closed by its answer")
        elif self.endpoints.is_draining(backend) or backend.address != link.address:
            self.close(link, "drained")
        else:
            set_state(link, IDLE, self.by_state)
            backend.idle.append(link)
            link.since = self.step.now
            if backend.coming_up:
                self.timers.at(self.step.now + REST, self._take_over_attempt, link)
            self.timers.set_timer(
                link,
                self.step.now + int(IDLE_PART * self.balancers.settings.idle_timeout),
                self._idle_too_long,
            )

    def _take_over_attempt(self, link):
        """An idle connection takes the oldest attempt that waits for another to connect."""
        if link.state is not IDLE:
            return
        for other in self.by_state[CONNECTING]:
            if (
                other.backend is link.backend
                and other.attempt is not None
                and other.address == link.address
            ):
                attempt, other.attempt = other.attempt, None
                self.attempts.connections[attempt], link.attempt = link, attempt
                link.backend.idle.remove(link)
                set_state(link, BUSY, self.by_state)
                self.watch(link)
                self.watch(other)
                self.counters.count("connections_skipped")
                self.attempts.write(link)
                return

    def _idle_too_long(self, link):
        self.close(link, "idle")

    def ended(self, link, how, whole, reason):
        """A connection has ended by itself; `whole`: the last byte of a request was written."""
        if link.state is CLOSED:
            return
        attempt, link.attempt = link.attempt, None
        if link.state is CONNECTING:
            self.counters.count("connections_refused")
        if link.probing:
            self.health_checks.finished(link, False)
        self.close(link, reason)
        if attempt is None:
            return
        if how is CloseCause.STALE:
            # A kept connection was found closed before a byte was written: the attempt has not
            # begun.
            return self.attempts.send(attempt)
        if how in (CloseCause.MALFORMED_RESPONSE, CloseCause.CLIENT_GONE):
            # Ended by us: the backend may go on with its answer, and has it out until our end is
            # there.
            attempt.request.host_context.dropped = self.step.now
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
        self.step.log(
            "attempt_failed", backend=link.backend.name, reason=reason, outcome=outcome.value
        )
        self.attempts.ended(attempt, outcome)

    def close(self, link, reason):
        """Closes a connection at once."""
        del self.by_state[link.state][link]
        backend = link.backend
        self.descriptors.open -= 1
        backend.links -= 1
        backend.coming_up -= link.state is CONNECTING
        if link.state is IDLE:
            backend.idle.remove(link)
        if backend.probed_on is link:
            backend.probed_on = None
        self.step.log("upstream_closed", reason=reason, backend=link.backend.name, state=link.state)
        link.cut, link.state = link.state is BUSY, CLOSED
        if link.reader is not None:
            link.reader.source = None
            link.flow = link.reader = None
        self.step.emit(CloseUpstream(link))
