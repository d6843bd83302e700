"""What stands between clients and backends in a play: real nodes, baselines, and one that sees all.

Every seat is told `take(ask)` and `ended(trip, outcome)`, and calls the world's `send`, `call_off` and the
ask's `answered`. Seats of baselines rotate, hold what has no room in order of arrival, and bounce it when
its expected time is over.
"""

import random
from collections import deque
from heapq import heappop, heappush

from pierglade.model.decision import (
    CancelAttempt,
    CheckHealth,
    FailRequest,
    RejectRequest,
    SendAttempt,
)
from pierglade.model.endpoint import EndpointState
from pierglade.model.outcome import Outcome
from pierglade.model.request import Idempotency, Request


class NodeSeat:
    """Hosts one real node as its own process does: inputs first, then decisions until there is none."""

    def __init__(self, world, number, make):
        self.world, self.clock = world, world.clock
        self.settings = world.settings(number)
        self.node = make(world.plan.seed * 1009 + number, self.settings, 0)
        self.timer = None

    def now(self):
        return int(self.clock.now)

    def listed(self, entries, whole):
        self.node.endpoints_updated(self.now(), entries, whole)
        self.pull()

    def take(self, ask):
        now = self.now()
        tenants = self.settings.tenants
        request = Request(
            ask,
            self.settings.request_classes[ask.request_class],
            tenants[0] if tenants else None,
            now,
            now + int(ask.limit - self.clock.now),
            False,
        )
        ask.held = request
        self.node.request_received(now, request)
        self.pull()

    def gone(self, ask):
        """The client left without an answer."""
        self.node.client_disconnected(self.now(), ask.held)
        self.pull()

    def ended(self, attempt, outcome):
        now = self.now()
        done = outcome == Outcome.SUCCESS
        ask = attempt.request.host_context
        if done and not attempt.request.completed:
            ask.answered(Outcome.SUCCESS)
        self.node.attempt_ended(now, attempt, outcome, max(1, now - attempt.sent_at), done)
        self.pull()

    def pull(self):
        node, now = self.node, self.now()
        while (decision := node.next_decision(now)) is not None:
            match decision:
                case SendAttempt(attempt):
                    name = node.endpoint_name(attempt.backend)
                    ask = attempt.request.host_context
                    self.world.send(self, attempt, ask, name, attempt.timeout_at)
                case CancelAttempt(attempt):
                    self.world.call_off(self, attempt)
                case CheckHealth(backend):
                    self.world.probe(self, node.endpoint_name(backend))
                case RejectRequest(request) | FailRequest(request):
                    request.host_context.answered(type(decision))
        wake = node.next_wakeup(now)
        if wake is not None and (self.timer is None or wake < self.timer or self.timer <= now):
            self.timer = wake
            self.clock.at(wake, self.ring, wake)

    def ring(self, moment):
        if self.timer == moment:
            self.timer = None
            self.pull()

    def probed(self, name, good):
        self.node.health_checked(self.now(), name, good, 5)
        self.pull()

    def limit(self):
        """Trips that may be out, for the picture."""
        node = self.node
        if hasattr(node, "limit"):
            return node.limit.current_limit()
        return node.each * node.fleet


class Sent:
    """A baseline's trip; what the world reads of a node's own trips, and no more."""

    __slots__ = ("ask", "place", "until", "cancelled", "outcome")

    def __init__(self, ask, place):
        self.ask, self.place, self.cancelled, self.outcome = ask, place, False, None


class PlainSeat:
    """A baseline that knows its own trips: `fixed` trips a backend over all nodes, or None for no limit."""

    def __init__(self, world, number, choose="turns", fixed=None):
        self.world, self.clock = world, world.clock
        self.choose = {"turns": self._turns, "least": self._least, "random": self._random}[choose]
        self.fixed, self.chance = fixed, random.Random(world.plan.seed * 1009 + number)
        self.names, self.out, self.at, self.busy = [], {}, number, 0
        self.line = deque()
        self.nodes = world.plan.nodes.count

    def listed(self, entries, whole):
        gone = {e.name for e in entries if e.state != EndpointState.READY}
        self.names = [n for n in self.names if n not in gone]
        for entry in entries:
            if entry.state == EndpointState.READY and entry.name not in self.names:
                self.names.append(entry.name)
                self.out.setdefault(entry.name, 0)
        self.pull()

    def limit(self):
        if self.fixed is None:
            return float("inf")
        return max(1, round(self.fixed * len(self.names) / self.nodes))

    def take(self, ask):
        ask.held = self
        ask.attempts = 0
        self.line.append(ask)
        self.clock.at(ask.expected, self.overdue, ask, ask.turn)
        self.pull()

    def overdue(self, ask, turn):
        if ask.turn == turn and not ask.over and ask in self.line:
            self.line.remove(ask)
            ask.answered(RejectRequest)

    def gone(self, ask):
        if ask in self.line:
            self.line.remove(ask)

    def pull(self):
        line = self.line
        while line and self.names and self.busy < self.limit():
            ask = line.popleft()
            if ask.over:
                continue
            name = self.choose()
            attempt = Sent(ask, name)
            ask.attempts += 1
            self.out[name] += 1
            self.busy += 1
            self.world.send(self, attempt, ask, name, ask.limit)

    def ended(self, attempt, outcome):
        self.out[attempt.place] -= 1
        self.busy -= 1
        attempt.outcome = outcome
        ask = attempt.ask
        if not ask.over:
            again = outcome.is_unexecuted or ask.class_settings.idempotency == Idempotency.SAFE
            if outcome == Outcome.SUCCESS:
                ask.answered(Outcome.SUCCESS)
            elif (
                again
                and ask.attempts < self.world.plan.nodes.most_trips
                and ask.expected > self.clock.now
            ):
                self.line.appendleft(ask)
            else:
                ask.answered(RejectRequest if again else FailRequest)
        self.pull()

    def probed(self, name, good):
        pass

    def _turns(self):
        self.at += 1
        return self.names[self.at % len(self.names)]

    def _least(self):
        self.at += 1
        start = self.at % len(self.names)
        return min(self.names[start:] + self.names[:start], key=self.out.__getitem__)

    def _random(self):
        return self.chance.choice(self.names)


class Seer:
    """The bound: one line for all nodes, and the true state of every backend. No real node can know it."""

    def __init__(self, world):
        self.world, self.clock = world, world.clock
        self.out = {}
        self.line, self.count = (
            [],
            0,
        )  # a heap of (work, count, turn, ask): the shortest first settles most
        self.travel = 2 * world.plan.fleet.delay_ms * 10.0
        self.least = min(o.work_ms for o in world.plan.request_class) * 10.0

    def listed(self, entries, whole):
        """It needs no list."""

    def limit(self):
        return sum(self._room(b) for b in self.world.backends.values())

    def _room(self, backend):
        # Those on their way there and back hold no core: so many more may be out.
        return backend.room() * (1 + self.travel * backend.kind.speed / self.least)

    def take(self, ask):
        self.count += 1
        heappush(self.line, (ask.work, self.count, ask.turn, ask))
        ask.held = True
        self.clock.at(ask.expected, self.overdue, ask, ask.turn)
        self.pull()

    def overdue(self, ask, turn):
        if ask.turn == turn and not ask.over and ask.held:
            ask.answered(RejectRequest)

    def gone(self, ask):
        """What is over is passed by when its turn comes."""

    def pull(self):
        line = self.line
        while line:
            _, _, turn, ask = line[0]
            if ask.over or ask.turn != turn:
                heappop(line)
                continue
            if ask.expected <= self.clock.now + ask.work / 2:
                heappop(line)
                ask.answered(RejectRequest)
                continue
            free = [
                b
                for b in self.world.backends.values()
                if self.out.get(b.name, 0) + 1 <= self._room(b)
            ]
            if not free:
                return
            best = max(free, key=lambda b: (b.speed(), -self.out.get(b.name, 0) / b.cores))
            heappop(line)
            ask.held = False
            self.out[best.name] = self.out.get(best.name, 0) + 1
            self.world.send(self, Sent(ask, best.name), ask, best.name, ask.limit)

    def ended(self, attempt, outcome):
        self.out[attempt.place] -= 1
        attempt.outcome = outcome
        if not attempt.ask.over:
            attempt.ask.answered(Outcome.SUCCESS if outcome == Outcome.SUCCESS else RejectRequest)
        self.pull()

    def probed(self, name, good):
        pass
