"""Mapping between the simulator's messages and the balancer's model.

The wire uses microseconds; the model uses ticks (tenths of a millisecond), rounded as in
`pierglade.settings.platform`.
"""

from pierglade.errors import PiergladeError
from pierglade.model.decision import (
    CancelAttempt,
    CheckHealth,
    Decision,
    FailRequest,
    PollEndpoints,
    RejectRequest,
    SendAttempt,
)
from pierglade.model.endpoint import Endpoint, EndpointState
from pierglade.model.outcome import Outcome
from pierglade.model.ticks import Ticks
from pierglade.settings.platform import floor_ticks

US_PER_TICK = 100
HAS_COST_HINT = 1
"""Bit of a request's `marks`: set if the request carries a cost hint."""
MAX_ERROR_TEXT_LENGTH = 300
"""Characters; the text of a longer internal error is truncated."""

OUTCOMES = {
    "success": Outcome.SUCCESS,
    "failure": Outcome.SERVER_ERROR,
    "overloaded": Outcome.REJECTED_UNPROCESSED,
    "timed_out": Outcome.TIMEOUT,
    "unreachable": Outcome.CONNECT_FAILED,
    "broken": Outcome.CONNECTION_RESET,
    "withdrawn": Outcome.CANCELLED,
    "void": Outcome.NOT_SENT,
}
ENDPOINT_STATES = {
    "Ready": EndpointState.READY,
    "Terminating": EndpointState.DRAINING,
    "Gone": EndpointState.REMOVED,
}


class WireFormatError(PiergladeError):
    """A message that violates the wire format."""

    def __init__(self, problem: str, line: bytes) -> None:
        super().__init__(f"{problem}: {line[:120]!r}")
        self.problem = problem
        self.line = line


def decode_endpoint(entry: dict) -> Endpoint:
    """Returns an entry of the endpoint list as an Endpoint."""
    return Endpoint(
        name=entry["backend"],
        state=ENDPOINT_STATES[entry["status"]],
        zone=entry.get("zone"),
        cell=entry.get("cluster"),
        started_at=floor_ticks(entry.get("sinceUs") or 0),
        weight=float(entry.get("powerHint") or 1),
    )


def decode_cost_hint(fields: dict) -> Ticks:
    """Returns the cost hint of a request; 0 if it has none."""
    if not (fields.get("marks") or 0) & HAS_COST_HINT:
        return 0
    return floor_ticks(fields.get("hintUs") or 0)


def encode_decision(decision: Decision, instance: str, endpoint_name, now_us: int) -> dict:
    """Returns the message for a decision.

    `endpoint_name` maps the index of a backend to its name; `now_us` is the simulator's clock.
    """
    match decision:
        case SendAttempt(attempt):
            return {
                "SubmitTo": {
                    "who": instance,
                    "call": attempt.request.caller_context,
                    "backend": endpoint_name(attempt.backend),
                    "capUs": max(1, attempt.timeout_at * US_PER_TICK - now_us),
                }
            }
        case CancelAttempt(attempt):
            request_id = attempt.request.caller_context
            return {"AbortAttempt": {"who": instance, "call": request_id, "sendNo": attempt.number}}
        case RejectRequest(request, retry_after):
            retry_after_us = retry_after * US_PER_TICK
            request_id = request.caller_context
            return {"Bounce": {"who": instance, "call": request_id, "coolDownUs": retry_after_us}}
        case FailRequest(request):
            return {"RespondError": {"who": instance, "call": request.caller_context}}
        case PollEndpoints():
            return {"Observe": {"who": instance, "active": True}}
        case CheckHealth(backend):
            return {"Ping": {"who": instance, "backend": endpoint_name(backend)}}


def encode_timer(instance: str, wakeup: Ticks) -> dict:
    """Returns the message that sets a timer for `wakeup`."""
    return {"Timer": {"who": instance, "timeUs": wakeup * US_PER_TICK, "mark": str(wakeup)}}


def encode_internal_error(instance: str, error: Exception) -> dict:
    """Returns the message that reports that an instance failed with an internal error."""
    text = f"{type(error).__name__}: {error}"[:MAX_ERROR_TEXT_LENGTH]
    return {"GiveIn": {"who": instance, "bodyText": text}}
