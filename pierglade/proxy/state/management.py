"""The operators' management calls, and what they print."""

import orjson

from pierglade.model.endpoint import EjectionReason, EndpointState
from pierglade.proxy.state.constants import (
    ACTIVE_CALL,
    ADMISSION_CALL,
    BACKENDS_CALL,
    STANDBY_CALL,
    STATUS_CALL,
)
from pierglade.proxy.state.effects import ReplyToManagement

# Times are tenths of a millisecond.
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


class ManagementCalls:
    """Answers management calls."""

    def __init__(self, step, balancers, descriptors, lifecycle, endpoints, downstream):
        self.step = step
        self.balancers = balancers
        self.descriptors = descriptors
        self.lifecycle = lifecycle
        self.endpoints = endpoints
        self.downstream = downstream

    def called(self, call):
        """One call of the operators: `call` is the host's, with its method and path."""
        method = CALLS.get(call.path)
        if method is None:
            return self.step.emit(ReplyToManagement(call, 404, b"no such call\n", None))
        if call.method != method:
            return self.step.emit(ReplyToManagement(call, 405, b"another method\n", method))
        if call.path == BACKENDS_CALL:
            return self.step.emit(
                ReplyToManagement(call, 200, orjson.dumps(self._backend_status()) + b"\n", None)
            )
        if call.path == ADMISSION_CALL:
            return self.step.emit(
                ReplyToManagement(call, 200, orjson.dumps(self._admission_status()) + b"\n", None)
            )
        if call.path == STATUS_CALL:
            good = (
                self.lifecycle.ready
                and self.lifecycle.listening
                and self.lifecycle.stopped_at is None
            )
            word = (
                b"not ready"
                if not self.lifecycle.ready
                else b"stopping"
                if not good
                else (b"standby" if self.lifecycle.standby else b"active")
            )
        else:
            # Whoever stops is emptied in any case, and takes up no work again.
            good = call.path == STANDBY_CALL or self.lifecycle.stopped_at is None
            if good:
                self.lifecycle.set_standby(by=call.path == STANDBY_CALL)
            word = b"stopping" if not good else b"standby" if self.lifecycle.standby else b"active"
        self.step.emit(ReplyToManagement(call, 200 if good else 503, word + b"\n", None))

    def _admission_status(self):
        """Plain data: the share that is shed for want of CPU, and who may not connect."""
        gate = self.descriptors.admission
        return {
            "refused_share": round(self.balancers.load_shedder.threshold, 3),
            "open": self.descriptors.open,
            "clients": sum(map(len, self.downstream.by_state.values())),
            "sockets": self.descriptors.limit,
            "capped": gate is not None,
            "strangers": gate.strangers if gate is not None else None,
            "top": gate.top(self.step.now) if gate is not None else [],
        }

    def _backend_status(self):
        """Each backend as the decisions see it: plain data, times in ms from now on."""
        node, now, rows = self.balancers.current, self.step.now, []
        for name, backend in self.endpoints.records.items():
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
