"""Reads the wire's messages into calls on the decisions, and writes the decisions as messages.

The wire counts microseconds; the decisions count whole tenths of a millisecond, rounded as in
`pierglade/settings/platform.py`.
"""

import orjson

from pierglade.balancer.balancer import Node
from pierglade.model import request as r
from pierglade.settings.platform import down, load_from, terms_from

OUTCOMES = {
    "success": r.SETTLED,
    "failure": r.ERROR,
    "overloaded": r.TURNED_AWAY,
    "timed_out": r.TIMED_OUT,
    "unreachable": r.UNREACHABLE,
    "broken": r.BROKEN,
    "withdrawn": r.CALLED_OFF,
    "void": r.NEVER_SENT,
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
        self.offerings = {o.name: o for o in self.terms.offerings}
        self.calls = {}
        self.timer = None

    def drop_if_over(self, invocation):
        if invocation.over and not invocation.out:
            self.calls.pop(invocation.mark, None)


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
            r.Listed(
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
        offering = seat.offerings[fields["grade"]]
        limit = (self.wall + fields["leftUs"]) // 100
        invocation = r.Invocation(
            fields["call"],
            offering,
            seat.terms.tenants.of(fields.get("party"), self.now),
            self.now,
            limit,
            down(fields.get("hintUs") or 0) if (fields.get("marks") or 0) & MARK_HINTED else 0,
        )
        seat.calls[invocation.mark] = invocation
        seat.node.taken(self.now, invocation)

    def client_gone(self, fields):
        seat = self.seat(fields)
        invocation = seat and seat.calls.get(fields["call"])
        if invocation:
            seat.node.abandoned(self.now, invocation)
            seat.drop_if_over(invocation)

    def trip(self, fields):
        seat = self.seat(fields)
        invocation = seat and seat.calls.get(fields["call"])
        if invocation and 0 <= fields["sendNo"] < len(invocation.trips):
            return seat, invocation.trips[fields["sendNo"]]
        return seat, None

    def completed(self, fields):
        seat, trip = self.trip(fields)
        if trip and trip.outcome is None:
            self.gauge(seat, fields)
            seat.node.returned(
                self.now,
                trip,
                OUTCOMES[fields["reason"]],
                down(fields["durationUs"]),
                bool(fields["doneFlag"]),
            )
            seat.drop_if_over(trip.invocation)

    def first_byte(self, fields):
        seat, trip = self.trip(fields)
        if trip:
            seat.node.streaming(trip)

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
                            "call": subject.invocation.mark,
                            "backend": node.names[subject.backend],
                            "capUs": max(1, subject.until * 100 - self.wall),
                        }
                    }
                )
            elif kind is r.CALL_OFF:
                out.append(
                    {
                        "AbortAttempt": {
                            "who": who,
                            "call": subject.invocation.mark,
                            "sendNo": subject.number,
                        }
                    }
                )
            elif kind is r.BOUNCE:
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
            elif kind is r.GIVE_UP:
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
