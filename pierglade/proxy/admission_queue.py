"""The line in which clients' greenlets wait once a turn of the loop has taken long enough.

Without it a turn lasts as long as all that has come takes: with thousands of clients a fifth of a second, in
which no backend's answer is read. Who waits is woken in fair turns, before the next poll.
"""

from time import monotonic_ns

import gevent

from pierglade.admission.fair_queue import FairQueue

# 25 ms in tenths of a ms; that a turn spends on clients before the others wait. Shorter turns are dearer: with
# 10 ms, 64 clients that ask at once cost a sixth more an answer.
TURN = 250
TURN_NS = TURN * 100000
OVER = 3  # times that; a turn so long refuses nobody more at a glance either


class Line:
    def __init__(self, clock, turns):
        self.clock, self.turns = clock, turns
        self.known, self.strangers, self.called = FairQueue(), FairQueue(), False
        self.hub = gevent.get_hub()

    def full(self):
        """Whether whoever comes now has to wait."""
        return self.called or monotonic_ns() - self.turns.ended > TURN_NS

    def over(self):
        """Whether not even a refusal is made in this turn."""
        return monotonic_ns() - self.turns.ended > OVER * TURN_NS

    def wait(self, address, size, known=False):
        """Until it is this greenlet's turn; `size`: bytes that it has read; `known`: it goes before
        strangers."""
        fair = self.known if known else self.strangers
        fair.put(self.clock.now(), address, size, gevent.getcurrent())
        if not self.called:
            self.called = True
            self.hub.loop.run_callback(self._call)
        self.hub.switch()

    def _call(self):
        until = self.clock.now() + TURN
        known, strangers = self.known, self.strangers
        while (known.count or strangers.count) and (now := self.clock.now()) < until:
            (known if known.count else strangers).take(now).switch()
        self.called = bool(known.count or strangers.count)
        if self.called:
            self.hub.loop.run_callback(self._call)
