"""The operators' management calls and their output."""

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
METHOD_BY_PATH = {
    STATUS_CALL: b"GET",
    STANDBY_CALL: b"PUT",
    ACTIVE_CALL: b"PUT",
    BACKENDS_CALL: b"GET",
    ADMISSION_CALL: b"GET",
}
# Names in the output of /backends, which programs parse.
STATE_NAMES = {
    EndpointState.READY: "ready",
    EndpointState.DRAINING: "draining",
    EndpointState.REMOVED: "gone",
}
EJECTION_REASON_NAMES = {
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
        """Answers a management call; `call`: an object of the caller with method and path."""
        method = METHOD_BY_PATH.get(call.path)
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
            is_ok = (
                self.lifecycle.ready
                and self.lifecycle.listening
                and self.lifecycle.stopped_at is None
            )
            answer = (
                b"not ready"
                if not self.lifecycle.ready or not self.lifecycle.listening
                else b"stopping"
                if not is_ok
                else (b"standby" if self.lifecycle.standby else b"active")
            )
        else:
            # A stopping process is draining in any case and does not become active again.
            is_ok = call.path == STANDBY_CALL or self.lifecycle.stopped_at is None
            if is_ok:
                self.lifecycle.set_standby(enabled=call.path == STANDBY_CALL)
            answer = (
                b"stopping" if not is_ok else b"standby" if self.lifecycle.standby else b"active"
            )
        self.step.emit(ReplyToManagement(call, 200 if is_ok else 503, answer + b"\n", None))

    def _admission_status(self):
        """Returns the fraction of requests shed for lack of CPU, and the connection limits."""
        admission = self.descriptors.admission
        return {
            "refused_share": round(self.balancers.load_shedder.threshold, 3),
            "open": self.descriptors.open_count,
            "clients": sum(map(len, self.downstream.by_state.values())),
            "sockets": self.descriptors.limit,
            "capped": admission is not None,
            "strangers": admission.unknown_open if admission is not None else None,
            "top": admission.most_rejected(self.step.now) if admission is not None else [],
        }

    def _backend_status(self):
        """Returns each backend as the balancer sees it; times in ms from now."""
        balancer, now, rows = self.balancers.current, self.step.now, []
        for name, backend in self.endpoints.records.items():
            status = balancer.endpoint_status(name, now)
            if status is None:
                continue
            next_pause = status.next_pause_at
            rows.append(
                {
                    "name": name,
                    "address": backend.address,
                    "zone": status.zone,
                    "state": STATE_NAMES[backend.state],
                    "in_view": status.is_in_subset,
                    "out": status.in_flight,
                    "links": backend.open_connections,
                    "trouble": EJECTION_REASON_NAMES.get(status.ejection_reason),
                    "pauses": status.is_pausing,
                    "next_pause_ms": None if next_pause is None else round((next_pause - now) / 10),
                    "level": round(status.latency_level, 2),
                    "cold": status.is_in_slow_start,
                    "settled": status.answered,
                }
            )
        return {
            "limit": round(balancer.limit.current_limit(), 1),
            "overloaded": balancer.overloaded,
            "held": balancer.queue_length(),
            "backends": rows,
        }
