"""What is counted in a run, in bins of 100 ms, and its summary."""

import numpy as np

from pierglade.model.decision import RejectRequest
from pierglade.simulation.clock import MS, SECOND

BIN = 1000.0
"""Ticks of a bin: 100 ms."""
BINS_PER_SECOND = 10
RATE_BINS = 5
"""A rate is taken over half a second, or a fixed answer time would show as steps."""
FOUND_SHARE = 0.9
"""Share of the achievable rate from which capacity counts as found."""
END_S = 5
"""Seconds at the end of a run by which its goodput after a change is known."""
MEAN_BINS = 20
"""Two seconds: what overloaded backends bear."""
FOLLOWED_SHARE = 0.8
"""Of the goodput at the end; less is a limit that has not followed."""
CALM_LOAD = 1.5
"""Times what the backends work on at once; more is a queue that lasts and overloads them."""
EXACT = 1e-9
"""Share to which sums of some hundred figures are good."""
KINDS = ("asked", "settled", "in_time", "bounced", "given_up", "left")
"""Counted kinds, by the names that summaries print."""


class Metrics:
    """Counts of one run, and its summary."""

    def __init__(self, plan, clock):
        self.plan, self.clock = plan, clock
        bins = int(plan.seconds * BINS_PER_SECOND) + 1
        self.bins = {kind: np.zeros(bins, int) for kind in KINDS}
        # By request class: (moment requested, ticks until the answer).
        self.latencies: list[list[tuple[float, float]]] = [[] for _ in plan.request_class]
        self.in_flight: list[int] = []
        self.limits: list[float] = []
        self.overloaded: list[int] = []
        self.relative_load: list[float] = []
        self.in_system = 0  # requested and not yet requested again: a closed population
        self.attempts = 0

    def _count(self, kind):
        index = int(self.clock.now / BIN)
        if index < len(self.bins[kind]):
            self.bins[kind][index] += 1

    def requested(self) -> None:
        """A client has sent a new request."""
        self.in_system += 1
        self._count("asked")

    def succeeded(self, request) -> None:
        """A request has its answer."""
        self._count("settled")
        if self.clock.now <= request.objective_at:
            self._count("in_time")
        latency = self.clock.now - request.requested_at
        self.latencies[request.class_index].append((request.requested_at, latency))

    def unserved(self, answer) -> None:
        """A request was rejected or failed, by the type of the decision."""
        self._count("bounced" if answer is RejectRequest else "given_up")

    def abandoned(self) -> None:
        """A client has left without an answer."""
        self._count("left")

    def sample(self, in_flight: int, limit: float, overloaded: int, relative_load: float) -> None:
        """Notes the state of a bin."""
        self.in_flight.append(in_flight)
        self.limits.append(limit)
        self.overloaded.append(overloaded)
        self.relative_load.append(relative_load)

    def rate(self, kind: str, since_s: float | None = None) -> float:
        """A kind a second from `since_s` on; without it, without what the plan leaves out."""
        first = self.plan.left_out_s if since_s is None else since_s
        last = self.plan.seconds
        counted = self.bins[kind][int(first * BINS_PER_SECOND) : int(last * BINS_PER_SECOND)]
        return float(counted.sum() / (last - first))

    def found_after(self, achievable: float) -> float | None:
        """Seconds until FOUND_SHARE of `achievable` is answered in time, over half a second."""
        recent = np.convolve(self.bins["in_time"], np.ones(RATE_BINS), "valid")
        reached = np.flatnonzero(recent / (RATE_BINS / BINS_PER_SECOND) >= FOUND_SHARE * achievable)
        return None if not len(reached) else float(reached[0] + RATE_BINS) / BINS_PER_SECOND

    def after_change(self) -> tuple[float | None, float | None]:
        """How long the plan's last change was felt, in seconds, over a running mean.

        First until goodput was never again under FOLLOWED_SHARE of that at the end, then until the
        load of the backends was never again over CALM_LOAD. Both None without a change; each None
        for what was not reached END_S before the end.
        """
        latest = self.plan.seconds - 2 * END_S
        changes = [each.at_s for each in self.plan.change if 0 < each.at_s < latest]
        if not changes:
            return None, None
        since = int(max(changes) * BINS_PER_SECOND)
        mean = np.ones(MEAN_BINS) / MEAN_BINS
        last = int(self.plan.seconds * BINS_PER_SECOND)
        rates = np.convolve(self.bins["in_time"][since:last], mean, "valid") * BINS_PER_SECOND
        # A mean that equals the bound must not pass it by the order in which a processor adds.
        at_end = self.rate("in_time", self.plan.seconds - END_S)
        low = rates < FOLLOWED_SHARE * at_end * (1 - EXACT)
        loads = np.convolve(self.relative_load[since:], mean, "valid")
        high = loads > CALM_LOAD * (1 + EXACT)
        return self._seconds_until_last(low), self._seconds_until_last(high)

    @staticmethod
    def _seconds_until_last(is_bad):
        indices = np.flatnonzero(is_bad)
        if not len(indices):
            return 0.0
        if indices[-1] > len(is_bad) - END_S * BINS_PER_SECOND:
            return None
        return round(float(indices[-1] + MEAN_BINS) / BINS_PER_SECOND, 1)

    def summary(self, achievable: float, backends: list, rules_broken: dict[str, int]) -> dict:
        """Plain data. Rates a second, times in ms, both without the first `left_out_s`."""
        rates = {kind: round(self.rate(kind), 1) for kind in KINDS}
        left_out = int(self.plan.left_out_s * BINS_PER_SECOND)
        latencies = [each for pairs in self.latencies for each in self._counted(pairs)]
        followed, calm = self.after_change()
        in_flight, limits = self.in_flight[left_out:], self.limits[left_out:]
        return {
            "title": self.plan.title,
            "possible_per_s": round(achievable, 1),
            "per_s": rates,
            "share": round(rates["in_time"] / achievable, 3) if achievable else None,
            "found_after_s": self.found_after(achievable),
            "followed_s": followed,
            "calm_s": calm,
            "p50_ms": _percentile_ms(latencies, 50) if latencies else None,
            "p99_ms": _percentile_ms(latencies, 99) if latencies else None,
            "offerings": self._by_request_class(),
            "most_out": max(self.in_flight, default=0),
            "mean_out": round(float(np.mean(in_flight)), 1) if in_flight else None,
            "mean_limit": round(float(np.mean(limits)), 1) if limits else None,
            "most_beyond": round(max(self.relative_load, default=0.0), 2),
            "trips": self.attempts,
            "tips": sum(each.overloads for each in backends),
            "falls": sum(each.collapses for each in backends),
            "tipped_s": round(sum(self.overloaded) / BINS_PER_SECOND, 1),
            "broken": rules_broken,
        }

    def _counted(self, pairs):
        """The latencies of what was requested after the plan's `left_out_s`."""
        since = self.plan.left_out_s * SECOND
        return [latency for requested_at, latency in pairs if requested_at >= since]

    def _by_request_class(self):
        seconds = self.plan.seconds - self.plan.left_out_s
        summaries = {}
        for request_class, pairs in zip(self.plan.request_class, self.latencies, strict=True):
            latencies = self._counted(pairs)
            figures = {"settled_per_s": round(len(latencies) / seconds, 1)}
            if latencies:
                figures |= {f"p{p}_ms": _percentile_ms(latencies, p) for p in (50, 99)}
            summaries[request_class.name] = figures
        return summaries


def _percentile_ms(latencies, percent):
    return round(float(np.percentile(latencies, percent)) / MS, 2)
