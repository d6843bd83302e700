"""What is refused at a glance while the node is short of its core: a bar that follows how long all has
waited.

After AIMD, as TCP's congestion control and Netflix's concurrency limits use it, on the signal that CoDel
takes: not how much waits, nor how busy the core is, but the least that anything of the last moment has
waited.
A burst, or clients that keep the core just busy, leave that small; a queue that stands does not. While it is
over HIGH of the expected time, the share that is taken goes down by a factor a step; under LOW it goes up by
one. Both are factors, as at ten times the load a tenth is right, and a step must be small beside it. Times
are
tenths of a millisecond, the bar is the share of what comes that is refused.
"""

STEP = 100  # 10 ms; the bar moves at most once in it
# of the expected time, waited before anything was done: with the way there and back it is late
HIGH = 0.15
LOW = 0.06  # likewise, and there is room: between the two the bar stands
# times what is taken, a step; half in 80 ms, a tenth in 0.3 s, as long as clients take to retry
DOWN = 0.92
UP = 1.035  # the same once there is room; from a twentieth to all within 0.9 s of a surge's end
LEAST = 0.005  # of what comes is taken in any case: else nobody could tell whether it would be late
STEPS_MOST = 200  # steps made up for at once
FADE = 0.9  # times, a step; of what was seen of each class, so that shares follow within 0.1 s
NEVER = float("inf")


class Press:
    """`credits`: of each offering, by its place in the table; `chance`: a random.random of the node's own.

    What comes is of a class: strangers before known clients, second tries before first ones, then by credit,
    the least worth first. A bar of 0.3 refuses the first 30% in that order; of the class in which it lies, by
    chance.
    """

    def __init__(self, credits, chance):
        self.chance = chance
        self.bar = 0.0
        order = sorted(set(credits))
        # Of offering, whether it is a second try, and whether its client is known: the class.
        self.classes = [
            [
                [
                    order.index(priority_weight) + len(order) * (first + 2 * known)
                    for known in (False, True)
                ]
                for first in (True, False)
            ]
            for priority_weight in credits
        ]
        self.seen = [0.0] * (4 * len(order))  # lately, by class
        self.parts = [0.0] * (4 * len(order))  # of each, what is refused
        self.moved, self.least = None, NEVER

    def waits(self, now, share):
        """One that is taken up has waited for this share of its expected time."""
        if share < self.least:
            self.least = share
        if self.moved is None or now - self.moved >= STEP:
            self._move(now)

    def refuses(self, request_class, second, known=False):
        """Whether one of `offering` (its place) is refused."""
        of = self.classes[request_class][second][known]
        self.seen[of] += 1
        part = self.parts[of]
        return part > 0.0 and (part >= 1.0 or self.chance() < part)

    def _move(self, now):
        steps = 1 if self.moved is None else min(STEPS_MOST, (now - self.moved) // STEP)
        least, taken = self.least, 1.0 - self.bar
        self.moved, self.least = now, NEVER
        if least > HIGH:
            # once, however long ago: of a pause of its own it knows nothing
            taken = max(LEAST, taken * DOWN)
        elif least < LOW:
            taken = min(1.0, taken * UP**steps)
        bar = 1.0 - taken
        fade = FADE**steps
        self.seen = [seen * fade for seen in self.seen]
        if bar or self.bar:
            self.bar = bar
            self._part()

    def _part(self):
        """What of each class lies under the bar."""
        left = self.bar * sum(self.seen)
        for of, seen in enumerate(self.seen):
            self.parts[of] = (
                0.0 if not self.bar else 1.0 if left >= seen > 0 else left / seen if seen else 0.0
            )
            left = max(0.0, left - seen)
        if self.bar and not any(self.parts):
            self.parts = [self.bar] * len(self.parts)  # nothing was seen lately: by chance alone
