"""Reads the wire's messages into calls on the decisions, and writes the decisions as messages.

The wire counts microseconds; the decisions count whole tenths of a millisecond, rounded as in
`pierglade/settings/platform.py`.
"""

import orjson

from pierglade.balancer.balancer import Balancer
from pierglade.model.decision import (
    CancelAttempt,
    CheckHealth,
    FailRequest,
    PollEndpoints,
    RejectRequest,
    SendAttempt,
)
from pierglade.model.endpoint import Endpoint, EndpointState
from pierglade.model.outcome import Outcome
from pierglade.model.request import Request
from pierglade.settings.platform import down, load_from, settings_from

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
STATES = {
    "Ready": EndpointState.READY,
    "Terminating": EndpointState.DRAINING,
    "Gone": EndpointState.REMOVED,
}
MARK_HINTED = 1


class Malformed(Exception):
    """A message that the wire's description does not allow."""


class Seat:
    """One node and the ids by which the wire knows what it holds."""

    def __init__(self, seed, conf, now):
        self.settings = settings_from(conf)
        self.node = Balancer(seed, self.settings, now)
        self.request_classes = {o.name: o for o in self.settings.request_classes}
        self.calls = {}
        self.timer = None

    def drop_if_over(self, request):
        if request.completed and not request.in_flight:
            self.calls.pop(request.host_context, None)


class Link:
    """The process: one line in at a time, a reply after each batch."""

    def __init__(self, out):
        self.out = out
        self.seats = {}
        self.lists = {}
        self.touched = {}
        self.wall = self.now = 0
        self.handlers = {
            "Sync": self.sync,
            "OverToYou": self.reply,
            "Census": self.census,
            "Boot": self.boot,
            "Discovery": self.discovery,
            "Incoming": self.incoming,
            "NeighbourSays": self.nothing,
            "Kill": self.kill,
            "ClientGone": self.client_gone,
            "Ring": self.ring,
            "FirstByte": self.first_byte,
            "PingResult": self.ping_result,
            "Completed": self.completed,
        }

    def read(self, line):
        try:
            message = orjson.loads(line)
            ((name, fields),) = message.items()
            handler = self.handlers[name]
        except (ValueError, AttributeError, KeyError):
            raise Malformed(f"not a message of the wire: {line[:120]!r}") from None
        if not isinstance(fields, dict):
            raise Malformed(f"{name} has no fields: {line[:120]!r}")
        try:
            handler(fields)
        except (KeyError, TypeError, ValueError) as fault:
            if name == "OverToYou":
                raise
            raise Malformed(f"{name} cannot be read ({fault!r}): {line[:120]!r}") from fault

    def seat(self, fields):
        who = fields["who"]
        seat = self.seats.get(who)
        if seat is not None:
            self.touched[who] = seat
        return seat

    def sync(self, fields):
        self.wall = fields["wallUs"]
        self.now = self.wall // 100

    def census(self, fields):
        self.lists[fields["ref"]] = [
            Endpoint(
                e["backend"],
                STATES[e["status"]],
                e.get("zone"),
                e.get("cluster"),
                down(e.get("sinceUs") or 0),
                float(e.get("powerHint") or 1),
            )
            for e in fields["entries"]
        ]

    def boot(self, fields):
        self.seats[fields["who"]] = Seat(fields["seed"], fields["conf"], self.now)
        self.seat(fields)

    def kill(self, fields):
        self.seats.pop(fields["who"], None)
        self.touched.pop(fields["who"], None)

    def discovery(self, fields):
        seat = self.seat(fields)
        if seat is None:
            return
        if fields["scope"] == "unavailable":
            seat.node.discovery_lost(self.now)
        else:
            seat.node.endpoints_updated(
                self.now, self.lists[fields["ref"]], fields["scope"] != "update"
            )

    def incoming(self, fields):
        seat = self.seat(fields)
        if seat is None:
            return
        request_class = seat.request_classes[fields["grade"]]
        limit = (self.wall + fields["leftUs"]) // 100
        request = Request(
            fields["call"],
            request_class,
            seat.settings.tenants.of(fields.get("party"), self.now),
            self.now,
            limit,
            down(fields.get("hintUs") or 0) if (fields.get("marks") or 0) & MARK_HINTED else 0,
        )
        seat.calls[request.host_context] = request
        seat.node.request_received(self.now, request)

    def client_gone(self, fields):
        seat = self.seat(fields)
        request = seat and seat.calls.get(fields["call"])
        if request:
            seat.node.client_disconnected(self.now, request)
            seat.drop_if_over(request)

    def attempt(self, fields):
        seat = self.seat(fields)
        request = seat and seat.calls.get(fields["call"])
        if request and 0 <= fields["sendNo"] < len(request.attempts):
            return seat, request.attempts[fields["sendNo"]]
        return seat, None

    def completed(self, fields):
        seat, attempt = self.attempt(fields)
        if attempt and attempt.outcome is None:
            self.gauge(seat, fields)
            seat.node.attempt_ended(
                self.now,
                attempt,
                OUTCOMES[fields["reason"]],
                down(fields["durationUs"]),
                bool(fields["doneFlag"]),
            )
            seat.drop_if_over(attempt.request)

    def first_byte(self, fields):
        seat, attempt = self.attempt(fields)
        if attempt:
            seat.node.response_started(attempt)

    def ping_result(self, fields):
        seat = self.seat(fields)
        if seat:
            self.gauge(seat, fields)
            seat.node.health_checked(
                self.now,
                fields["backend"],
                fields["reason"] == "success",
                down(fields["durationUs"]),
            )

    def gauge(self, seat, fields):
        """The load report, if one came along."""
        if (figures := fields.get("gauge")) is not None and seat.settings.load_report_source:
            seat.node.load_reported(
                self.now, fields["backend"], load_from(seat.settings.load_report_fields, figures)
            )

    def ring(self, fields):
        seat = self.seat(fields)
        if seat and fields["mark"] == str(seat.timer):
            seat.timer = None

    def nothing(self, fields):
        """A message that no decision uses."""

    def reply(self, fields):
        out = []
        for who, seat in self.touched.items():
            try:
                self.pull(who, seat, out)
            except Exception as fault:
                out.append(
                    {"GiveIn": {"who": who, "bodyText": f"{type(fault).__name__}: {fault}"[:300]}}
                )
        self.touched = {}
        out.append({"Done": {}})
        self.out.write(b"\n".join(map(orjson.dumps, out)) + b"\n")
        self.out.flush()

    def pull(self, who, seat, out):
        """Writes a node's decisions until it has none."""
        node, now = seat.node, self.now
        while (decision := node.next_decision(now)) is not None:
            match decision:
                case SendAttempt(attempt):
                    message = {
                        "SubmitTo": {
                            "who": who,
                            "call": attempt.request.host_context,
                            "backend": node.endpoint_name(attempt.backend),
                            "capUs": max(1, attempt.timeout_at * 100 - self.wall),
                        }
                    }
                case CancelAttempt(attempt):
                    message = {
                        "AbortAttempt": {
                            "who": who,
                            "call": attempt.request.host_context,
                            "sendNo": attempt.number,
                        }
                    }
                case RejectRequest(request, retry_after):
                    message = {
                        "Bounce": {
                            "who": who,
                            "call": request.host_context,
                            "coolDownUs": retry_after * 100,
                        }
                    }
                    seat.drop_if_over(request)
                case FailRequest(request):
                    message = {"RespondError": {"who": who, "call": request.host_context}}
                    seat.drop_if_over(request)
                case PollEndpoints():
                    message = {"Observe": {"who": who, "active": True}}
                case CheckHealth(backend):
                    message = {"Ping": {"who": who, "backend": node.endpoint_name(backend)}}
            out.append(message)
        wake = node.next_wakeup(now)
        if wake is not None and (seat.timer is None or wake < seat.timer):
            seat.timer = wake
            out.append({"Timer": {"who": who, "timeUs": wake * 100, "mark": str(wake)}})
