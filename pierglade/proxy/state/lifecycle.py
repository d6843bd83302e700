"""The end of a node, and what leads there and back: operators' calls, standby, a new version, SIGTERM."""

import orjson

from pierglade.model.endpoint import EjectionReason, EndpointState
from pierglade.proxy.state.connections import (
    ConnectionState,
    DownstreamConnection,
    UpstreamConnection,
)
from pierglade.proxy.state.constants import (
    ACTIVE_CALL,
    ADMISSION_CALL,
    BACKENDS_CALL,
    STANDBY_CALL,
    STATUS_CALL,
)
from pierglade.proxy.state.effects import CloseListener, CloseWhenRead, ReplyToManagement

# Constants. Times are tenths of a millisecond.
DOOR_OPEN = 7000  # 0.7 s; new connections are taken so long after the stop: the front needs 0.4 s
LONGEST = (
    30000  # 3 s; the end may come DOOR_OPEN and the longest hard limit, this at most, after it
)
LAST_CALL = 500  # 50 ms; for what was accepted last to be read
OWED_PART = 0.83  # share of the time until then by which all is answered; 3.1 s of 3.7 s
CALLS = {
    STATUS_CALL: b"GET",
    STANDBY_CALL: b"PUT",
    ACTIVE_CALL: b"PUT",
    BACKENDS_CALL: b"GET",
    ADMISSION_CALL: b"GET",
}


# What the operators' call says of a backend; programs read it.
STATE_WORDS = {
    EndpointState.READY: "ready",
    EndpointState.DRAINING: "draining",
    EndpointState.REMOVED: "gone",
}

EJECTION_WORDS = {
    EjectionReason.SLOW: "slow",
    EjectionReason.UNRESPONSIVE: "silent",
    EjectionReason.FAILING: "failing",
}


class Stopping:
    """Mixed into the ProxyStateMachine, which holds what is used here."""

    def _called(self, call):
        """One call of the operators: `call` is the host's, with its method and path."""
        method = CALLS.get(call.path)
        if method is None:
            return self._do(ReplyToManagement(call, 404, b"no such call\n", None))
        if call.method != method:
            return self._do(ReplyToManagement(call, 405, b"another method\n", method))
        if call.path == BACKENDS_CALL:
            return self._do(
                ReplyToManagement(call, 200, orjson.dumps(self._what_is_known()) + b"\n", None)
            )
        if call.path == ADMISSION_CALL:
            return self._do(
                ReplyToManagement(call, 200, orjson.dumps(self._who_is_let_in()) + b"\n", None)
            )
        if call.path == STATUS_CALL:
            good = self.ready and self.door_open and self.stopped is None
            word = (
                b"not ready"
                if not self.ready
                else b"stopping"
                if not good
                else (b"standby" if self.standby else b"active")
            )
        else:
            # Whoever stops is emptied in any case, and takes up no work again.
            good = call.path == STANDBY_CALL or self.stopped is None
            if good:
                self._stand(by=call.path == STANDBY_CALL)
            word = b"stopping" if not good else b"standby" if self.standby else b"active"
        self._do(ReplyToManagement(call, 200 if good else 503, word + b"\n", None))

    def _who_is_let_in(self):
        """Plain data: what share is refused as the core is short, and who was turned away at the door."""
        gate = self.gate
        return {
            "refused_share": round(self.press.bar, 3),
            "open": self.open,
            "clients": sum(map(len, self.clients.values())),
            "sockets": self.sockets,
            "capped": gate is not None,
            "strangers": gate.strangers if gate is not None else None,
            "top": gate.top(self.now) if gate is not None else [],
        }

    def _what_is_known(self):
        """Each backend as the decisions see it: plain data, times in ms from now on."""
        node, now, rows = self.node, self.now, []
        for name, backend in self.backends.items():
            status = node.endpoint_status(name, now)
            if status is None:
                continue
            next_pause = status.next_pause_at
            rows.append(
                {
                    "name": name,
                    "address": backend.address,
                    "zone": status.zone,
                    "state": STATE_WORDS[backend.state],
                    "in_view": status.is_in_subset,
                    "out": status.in_flight,
                    "links": backend.links,
                    "trouble": EJECTION_WORDS.get(status.ejection_reason),
                    "pauses": status.is_pausing,
                    "next_pause_ms": None if next_pause is None else round((next_pause - now) / 10),
                    "level": round(status.latency_level, 2),
                    "cold": status.is_in_slow_start,
                    "settled": status.answered,
                }
            )
        return {
            "limit": round(node.limit.current_limit(), 1),
            "overloaded": node.overloaded,
            "held": node.queue_length(),
            "backends": rows,
        }

    def _stand(self, by):
        """Standby: ready says no, the door stays open, and each client is let go with its next answer."""
        if by == self.standby:
            return
        self.standby = by
        self._note(
            "standby" if by else "active",
            pending=len(self.clients[ConnectionState.AWAITING_RESPONSE]),
        )
        if by:
            self._end_idle_clients()

    def _empties(self):
        """Whether clients are let go, with their next answer at the latest."""
        return self.standby or self.stopped is not None

    def _alone(self):
        """The process that served here before has ended."""
        self.sockets = self.whole_budget
        self._note("sole_process")

    def _stop(self, followed=False):
        """New connections are still taken for a while; each client is let go with its next answer."""
        if self.stopped is not None:
            return
        self.stopped = self.now
        self._note(
            "stopping",
            pending=len(self.clients[ConnectionState.AWAITING_RESPONSE]),
            successor_running=followed,
        )
        if followed:
            self.sockets = min(self.sockets, self.whole_budget // 2)
            while self.open > self.sockets and self.links[ConnectionState.IDLE]:
                self._end_link(next(iter(self.links[ConnectionState.IDLE])), "yielded")
        self._end_idle_clients()
        # Where no limit is long the end comes soon: by a fixed time, what has none of its own came too late.
        longest = min(LONGEST, max(o.request_timeout for o in self.settings.request_classes))
        owed = int(OWED_PART * (DOOR_OPEN + longest))
        self._at(self.now + min(DOOR_OPEN, owed - 2 * LAST_CALL), self._close_door, None)
        self._at(self.now + owed, self._answer_all, None)

    def _end_idle_clients(self):
        for client in (*self.clients[ConnectionState.NEW], *self.clients[ConnectionState.IDLE]):
            self._do(CloseWhenRead(client, "stopping"))

    def _close_door(self, _):
        self._do(CloseListener())
        self._at(self.now + LAST_CALL, self._leave, None)

    def _leave(self, _):
        """Not with the door's closing: what the kernel had accepted by then comes in just after it."""
        self.leaving = True
        self._end_idle_clients()

    def _answer_all(self, _):
        """The process may be ended soon: what is still owed is given up on, what still comes is bounced."""
        self.closing = True
        for client in list(self.clients[ConnectionState.AWAITING_RESPONSE]):
            request = client.request
            request.owner.client_disconnected(self.now, request)
            self._final(request, may_retry=False)
        for client in list(self.clients[ConnectionState.READING_REQUEST]):
            # Its last byte may be there unread: ended without a word it would be lost.
            self._bounce(client, self.node)
        self._end_idle_clients()

    def salvage(self, subject):
        """After a fault of ours in `apply`: what the event was about is answered and ended all the same."""
        if isinstance(subject, UpstreamConnection) and subject.state is not ConnectionState.CLOSED:
            attempt, subject.attempt = subject.attempt, None
            self._end_link(subject, "fault")
            if attempt is not None:
                self.carried.pop(attempt, None)
                subject = attempt.request.host_context
        if isinstance(subject, DownstreamConnection) and subject.state in (
            ConnectionState.NEW,
            ConnectionState.IDLE,
            ConnectionState.READING_REQUEST,
            ConnectionState.AWAITING_RESPONSE,
        ):
            if subject.request is not None:
                subject.request.completed = True
                for attempt in subject.request.attempts:
                    self._drop(attempt, "fault")
            self._refuse(subject, 500, last=True)
        return self.effects
