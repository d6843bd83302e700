"""One probing round: attempts sent one after the other, judged by the median of their latencies.

A round is judged once half of it is answered, by weight: the attempts answered first are the quick
ones, and a judgement by them alone would find every increment a good one. A shift is the natural
logarithm of a latency over the unhurried latency of its request class. A weight is how long an
answer of the class takes unhurried.
"""

from bisect import insort
from math import ceil, exp

from pierglade.model.ticks import Ticks

# Attempts in a round; fewer say nothing of their spread, more say little else.
MIN_SIZE, MAX_SIZE = 4, 400


class ProbingRound:
    """The attempts of one round and what their answers showed. Moments are ticks."""

    __slots__ = (
        "answered_weight",
        "began",
        "judge_at",
        "last_sent_at",
        "missing",
        "number",
        "shifts",
        "size",
        "unsent",
    )

    def __init__(self, number: int, began: Ticks, attempts: float, request_classes: int) -> None:
        self.number, self.began = number, began
        self.last_sent_at = self.judge_at = began
        self.unsent = self.size = ceil(max(MIN_SIZE, min(MAX_SIZE, attempts)))
        self.missing = [0] * request_classes  # attempts in flight, by request class
        self.shifts: list[tuple[float, float]] = []  # sorted pairs of a shift and its weight
        self.answered_weight = 0.0

    def attempt_sent(self, now: Ticks, request_class: int) -> int:
        """Counts a sent attempt; returns the round's number, or 0 if it is not part of it."""
        if self.unsent <= 0 or now < self.began:
            return 0
        self.unsent -= 1
        self.last_sent_at = now
        self.missing[request_class] += 1
        return self.number

    def attempt_answered(self, request_class: int, shift: float, weight: float) -> None:
        """Takes in the answer of an attempt of this round."""
        self.missing[request_class] -= 1
        self.answered_weight += weight
        insort(self.shifts, (shift, weight))

    def total_weight(self, base: list[float]) -> float:
        """Returns the weight of all attempts; `base` has the logs of unhurried latencies."""
        return self.answered_weight + sum(
            n * exp(log) for n, log in zip(self.missing, base, strict=True) if n
        )

    def shift_at(self, weight: float) -> float:
        """Returns the shift up to which answers have that weight together."""
        for shift, each in self.shifts:  # noqa: B007 (the last one where they weigh less)
            weight -= each
            if weight <= 0:
                break
        return shift

    def slow_until(self, base: list[float], shift: float) -> float | None:
        """Returns when all missing attempts are known to be slower than `shift`; None without any.

        What is missing counts as slower, so the last of it must have been in flight for as long.
        """
        longest = max((log for n, log in zip(self.missing, base, strict=True) if n), default=None)
        return None if longest is None else self.last_sent_at + exp(longest + shift)

    def effective_answers(self, base: list[float], whole: float) -> float:
        """Returns how many answers of equal weight the round is worth (Kish 1965).

        A few slow attempts can make up all of a round.
        """
        squares = sum(weight * weight for _, weight in self.shifts)
        squares += sum(n * exp(2 * log) for n, log in zip(self.missing, base, strict=True) if n)
        return whole * whole / squares
