"""A probing round: successive attempts, evaluated by the median of their latencies.

A round is evaluated once half of it, by weight, is answered. The attempts answered first are the
quick ones, and every increment would look good if only they counted. A shift is the natural
logarithm of a latency over the unloaded latency of its request class. The weight of an answer is
the unloaded latency of its class.
"""

from bisect import insort
from math import ceil, exp

from pierglade.model.ticks import Ticks

# Minimum and maximum number of attempts in a round. With fewer, the spread of their latencies is
# unknown; more add little accuracy.
MIN_SIZE, MAX_SIZE = 4, 400


class ProbingRound:
    """The attempts of one round and the shifts of their answers. Moments are ticks."""

    __slots__ = (
        "answered_weight",
        "began_at",
        "evaluate_at",
        "last_sent_at",
        "number",
        "pending",
        "shifts",
        "size",
        "unsent",
    )

    def __init__(self, number: int, began_at: Ticks, attempts: float, request_classes: int) -> None:
        self.number, self.began_at = number, began_at
        self.last_sent_at = self.evaluate_at = began_at
        self.unsent = self.size = ceil(max(MIN_SIZE, min(MAX_SIZE, attempts)))
        self.pending = [0] * request_classes  # attempts in flight, by request class
        self.shifts: list[tuple[float, float]] = []  # sorted pairs of a shift and its weight
        self.answered_weight = 0.0

    def attempt_sent(self, now: Ticks, request_class: int) -> int:
        """Counts a sent attempt; returns the round's number, or 0 if it is not part of it."""
        if self.unsent <= 0 or now < self.began_at:
            return 0
        self.unsent -= 1
        self.last_sent_at = now
        self.pending[request_class] += 1
        return self.number

    def attempt_answered(self, request_class: int, shift: float, weight: float) -> None:
        """Records the answer to an attempt of this round."""
        self.pending[request_class] -= 1
        self.answered_weight += weight
        insort(self.shifts, (shift, weight))

    def total_weight(self, log_base_latencies: list[float]) -> float:
        """Returns the weight of all attempts, given the logarithms of unloaded latencies."""
        return self.answered_weight + sum(
            count * exp(log_latency)
            for count, log_latency in zip(self.pending, log_base_latencies, strict=True)
            if count
        )

    def shift_at(self, weight: float) -> float:
        """Returns the shift up to which the answers have that cumulative weight."""
        for shift, answer_weight in self.shifts:  # noqa: B007 (the last one where they weigh less)
            weight -= answer_weight
            if weight <= 0:
                break
        return shift

    def slow_until(self, log_base_latencies: list[float], shift: float) -> float | None:
        """Returns when all pending attempts are known to be slower than `shift`; None without any.

        Pending attempts count as slower once the last of them has been in flight for that long.
        """
        longest = max(
            (
                log_latency
                for count, log_latency in zip(self.pending, log_base_latencies, strict=True)
                if count
            ),
            default=None,
        )
        return None if longest is None else self.last_sent_at + exp(longest + shift)

    def effective_answers(self, log_base_latencies: list[float], total_weight: float) -> float:
        """Returns the effective sample size of the round in answers of equal weight (Kish 1965).

        A few slow attempts can make up most of the weight of a round.
        """
        squares = sum(weight * weight for _, weight in self.shifts)
        squares += sum(
            count * exp(2 * log_latency)
            for count, log_latency in zip(self.pending, log_base_latencies, strict=True)
            if count
        )
        return total_weight * total_weight / squares
