"""Clients in virtual time: kept ones that ask again at once, and arrivals that wait for nobody."""

import random

from pierglade.model.decision import FailRequest
from pierglade.model.outcome import Outcome
from pierglade.simulation.clock import MS, SECOND


class Ask:
    """Something that a client wants, with all its tries. Moments are tenths of a millisecond."""

    __slots__ = (
        "clients",
        "class_settings",
        "request_class",
        "work",
        "wait",
        "asked",
        "expected",
        "limit",
        "over",
        "held",
        "attempts",
        "tries",
        "ran",
        "seat",
        "turn",
    )

    def __init__(self, clients, class_settings, work, wait, now):
        self.clients, self.class_settings, self.request_class = (
            clients,
            class_settings,
            class_settings.index,
        )
        self.work, self.wait = work, wait
        self.asked, self.expected, self.limit = (
            now,
            now + class_settings.latency_objective,
            now + class_settings.request_timeout,
        )
        self.over = False  # the present try has its answer
        self.held = None  # the seat's own
        self.attempts = self.tries = self.ran = self.turn = 0
        self.seat = None

    def answered(self, kind):
        """The final answer of the present try."""
        if self.over:
            self.clients.world.broke(1, "two answers")
            return
        if self.clients.clock.now > self.limit:
            self.clients.world.broke(1, "an answer after the hard limit")
        self.over = True
        self.clients.answered(self, kind)


class Clients:
    def __init__(self, world, generator):
        self.world, self.clock, self.load = world, world.clock, world.plan.load
        self.generator, self.turn = generator, 0
        # Plain random for the gaps: their rate moves, so blocks drawn ahead would be stale.
        self.chance = random.Random(world.plan.seed)
        self.rate = self.load.rate
        self.kept = 0

    def start(self):
        if self.load.kept:
            self.more(self.load.kept)
        else:
            self.clock.after(self._gap(), self._arrive)

    def more(self, kept):
        """So many more that are always in the system, spread over the first 100 ms."""
        self.kept += kept
        for _ in range(kept):
            self.clock.after(self.chance.random() * 100 * MS, self._ask)

    def scale(self, times):
        if self.load.kept:
            extra = round(self.load.kept * times) - self.kept
            if extra > 0:
                self.more(extra)
            else:
                self.kept += extra  # as many leave when they have their answers
        else:
            self.rate = self.load.rate * times

    def _gap(self):
        load, rate = self.load, self.rate
        if load.burst_ms and self.clock.now % (load.burst_every_s * SECOND) < load.burst_ms * MS:
            rate *= load.burst_times
        return SECOND / rate if load.spacing == "even" else self.chance.expovariate(rate / SECOND)

    def _arrive(self):
        self._ask()
        self.clock.after(self._gap(), self._arrive)

    def _ask(self):
        ask = self.world.drawn(self)
        self.world.tally.asked(ask)
        self._try(ask)

    def _try(self, ask):
        self.turn += 1
        ask.over, ask.attempts = False, 0
        ask.turn += 1
        ask.tries += 1
        # A plain front spreads clients over the nodes evenly; the order differs from round to round.
        ask.seat = self.world.seats[self.chance.randrange(len(self.world.seats))]
        patience = self.clock.now + self.load.patience * ask.class_settings.request_timeout
        if patience < ask.limit:
            self.clock.at(patience, self._leave, ask, ask.turn)
        ask.seat.take(ask)

    def _leave(self, ask, turn):
        if ask.over or ask.turn != turn:
            return
        ask.over = True
        self.world.tally.left(ask)
        ask.seat.gone(ask)
        self._next(ask, FailRequest)

    def answered(self, ask, kind):
        if kind == Outcome.SUCCESS:
            self.world.tally.settled(ask)
        else:
            self.world.tally.refused(ask, kind)
        # After the seat has done with this event, or its decisions would be pulled within one another.
        self.clock.after(0, self._next, ask, kind)

    def _next(self, ask, kind):
        if self.load.kept:
            if self.world.tally.inside > self.kept:
                self.world.tally.inside -= 1
                return
            self.clock.after(self.load.again_ms * MS, self._again)
            return
        wait = self.load.retry_ms * MS * 2 ** (ask.tries - 1)
        if (
            kind != Outcome.SUCCESS
            and ask.tries <= self.load.retries
            and self.clock.now + wait < ask.limit
        ):
            self.clock.after(wait, self._try, ask)

    def _again(self):
        self.world.tally.inside -= 1
        self._ask()
