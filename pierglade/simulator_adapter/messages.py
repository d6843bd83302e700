"""The wire's words and the model's, mapped once in each direction.

The wire counts microseconds; the model counts ticks (tenths of a millisecond), rounded as in
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
from pierglade.settings.platform import down

US_PER_TICK = 100
HINTED = 1
"""Bit of a request's marks: its cost hint is to be read."""
ERROR_TEXT_LENGTH = 300
"""Characters of an internal error that are sent."""

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
    """A message that the wire's description does not allow."""

    def __init__(self, problem: str, line: bytes) -> None:
        super().__init__(f"{problem}: {line[:120]!r}")
        self.problem = problem
        self.line = line


def decode_endpoint(entry: dict) -> Endpoint:
    """An entry of the endpoint list."""
    return Endpoint(
        name=entry["backend"],
        state=ENDPOINT_STATES[entry["status"]],
        zone=entry.get("zone"),
        cell=entry.get("cluster"),
        started_at=down(entry.get("sinceUs") or 0),
        weight=float(entry.get("powerHint") or 1),
    )


def decode_cost_hint(fields: dict) -> Ticks:
    """The cost hint of a request; 0 where none is told."""
    if not (fields.get("marks") or 0) & HINTED:
        return 0
    return down(fields.get("hintUs") or 0)


def encode_decision(decision: Decision, instance: str, endpoint_name, now_us: int) -> dict:
    """The message that carries a decision out.

    `endpoint_name`: the name of a backend by its index; `now_us`: the simulator's clock.
    """
    match decision:
        case SendAttempt(attempt):
            return {
                "SubmitTo": {
                    "who": instance,
                    "call": attempt.request.host_context,
                    "backend": endpoint_name(attempt.backend),
                    "capUs": max(1, attempt.timeout_at * US_PER_TICK - now_us),
                }
            }
        case CancelAttempt(attempt):
            call = attempt.request.host_context
            return {"AbortAttempt": {"who": instance, "call": call, "sendNo": attempt.number}}
        case RejectRequest(request, retry_after):
            cool_down = retry_after * US_PER_TICK
            call = request.host_context
            return {"Bounce": {"who": instance, "call": call, "coolDownUs": cool_down}}
        case FailRequest(request):
            return {"RespondError": {"who": instance, "call": request.host_context}}
        case PollEndpoints():
            return {"Observe": {"who": instance, "active": True}}
        case CheckHealth(backend):
            return {"Ping": {"who": instance, "backend": endpoint_name(backend)}}


def encode_timer(instance: str, wakeup: Ticks) -> dict:
    """The message that asks to be called at that moment."""
    return {"Timer": {"who": instance, "timeUs": wakeup * US_PER_TICK, "mark": str(wakeup)}}


def encode_internal_error(instance: str, error: Exception) -> dict:
    """The message that gives an instance up after an error of ours."""
    text = f"{type(error).__name__}: {error}"[:ERROR_TEXT_LENGTH]
    return {"GiveIn": {"who": instance, "bodyText": text}}
