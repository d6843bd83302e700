"""Reads the wire's messages into calls on the decisions, and writes the decisions as messages.

The wire counts microseconds; the decisions count whole tenths of a millisecond, rounded as in
`pierglade/settings/platform.py`.
"""

import orjson

from pierglade.balancer.balancer import Node
from pierglade.model import request as r
from pierglade.settings.platform import down, load_from, terms_from

OUTCOMES = {
    "success": r.SUCCESS,
    "failure": r.ERROR,
    "overloaded": r.REJECTED_UNPROCESSED,
    "timed_out": r.TIMEOUT,
    "unreachable": r.CONNECT_FAILED,
    "broken": r.CONNECTION_RESET,
    "withdrawn": r.CANCELLED,
    "void": r.NOT_SENT,
}
STATES = {"Ready": r.READY, "Terminating": r.DRAINING, "Gone": r.GONE}
MARK_HINTED = 1


class Malformed(Exception):
    """A message that the wire's description does not allow."""


class Seat:
    """One node and the ids by which the wire knows what it holds."""

    def __init__(self, seed, conf, now):
        self.terms = terms_from(conf)
        self.node = Node(seed, self.terms, now)
        self.request_classes = {o.name: o for o in self.terms.request_classes}
        self.calls = {}
        self.timer = None

    def drop_if_over(self, request):
        if request.over and not request.out:
            self.calls.pop(request.mark, None)


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
            r.Endpoint(
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
            seat.node.unlisted(self.now)
        else:
            seat.node.listed(self.now, self.lists[fields["ref"]], fields["scope"] != "update")

    def incoming(self, fields):
        seat = self.seat(fields)
        if seat is None:
            return
        request_class = seat.request_classes[fields["grade"]]
        limit = (self.wall + fields["leftUs"]) // 100
        request = r.Request(
            fields["call"],
            request_class,
            seat.terms.tenants.of(fields.get("party"), self.now),
            self.now,
            limit,
            down(fields.get("hintUs") or 0) if (fields.get("marks") or 0) & MARK_HINTED else 0,
        )
        seat.calls[request.mark] = request
        seat.node.taken(self.now, request)

    def client_gone(self, fields):
        seat = self.seat(fields)
        request = seat and seat.calls.get(fields["call"])
        if request:
            seat.node.abandoned(self.now, request)
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
            seat.node.returned(
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
            seat.node.streaming(attempt)

    def ping_result(self, fields):
        seat = self.seat(fields)
        if seat:
            self.gauge(seat, fields)
            seat.node.probed(
                self.now,
                fields["backend"],
                fields["reason"] == "success",
                down(fields["durationUs"]),
            )

    def gauge(self, seat, fields):
        """The load report, if one came along."""
        if (figures := fields.get("gauge")) is not None and seat.terms.reports:
            seat.node.reported(self.now, fields["backend"], load_from(seat.terms.gauges, figures))

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
        while (decision := node.decide(now)) is not None:
            kind, subject = decision
            if kind is r.SEND:
                out.append(
                    {
                        "SubmitTo": {
                            "who": who,
                            "call": subject.request.mark,
                            "backend": node.names[subject.backend],
                            "capUs": max(1, subject.until * 100 - self.wall),
                        }
                    }
                )
            elif kind is r.CANCEL_ATTEMPT:
                out.append(
                    {
                        "AbortAttempt": {
                            "who": who,
                            "call": subject.request.mark,
                            "sendNo": subject.number,
                        }
                    }
                )
            elif kind is r.REJECT_REQUEST:
                out.append(
                    {
                        "Bounce": {
                            "who": who,
                            "call": subject.mark,
                            "coolDownUs": node.come_back_in(now) * 100,
                        }
                    }
                )
                seat.drop_if_over(subject)
            elif kind is r.FAIL_REQUEST:
                out.append({"RespondError": {"who": who, "call": subject.mark}})
                seat.drop_if_over(subject)
            elif kind is r.ASK:
                out.append({"Observe": {"who": who, "active": True}})
            elif kind is r.PROBE:
                out.append({"Ping": {"who": who, "backend": node.names[subject]}})
            else:
                raise ValueError(f"no such decision: {kind}")
        wake = node.wake(now)
        if wake is not None and (seat.timer is None or wake < seat.timer):
            seat.timer = wake
            out.append({"Timer": {"who": who, "timeUs": wake * 100, "mark": str(wake)}})
