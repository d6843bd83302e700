"""Counters of a run, in bins of 100 ms, and the summary of a run."""

import numpy as np

from pierglade.model.decision import RejectRequest
from pierglade.simulation.clock import MS, SECOND

BIN_TICKS = 1000.0
"""Ticks (100 ms). Width of a bin."""
BINS_PER_SECOND = 10
RATE_WINDOW_BINS = 5
"""Bins (0.5 s) over which a rate is averaged, because a fixed response time causes steps in it."""
FOUND_RATIO = 0.9
"""Fraction of the achievable rate at which the capacity counts as reached."""
END_WINDOW_S = 5
"""Seconds at the end of a run that define the steady goodput after a change."""
MEAN_WINDOW_BINS = 20
"""Bins (2 s) of the moving average; backends tolerate shorter excess load."""
FOLLOWED_RATIO = 0.8
"""Fraction of the steady goodput; below it, the limit has not adapted to the change yet."""
MAX_CALM_LOAD_RATIO = 1.5
"""Multiple of the backends' concurrency; above it, a lasting queue overloads them."""
ROUNDING_TOLERANCE = 1e-9
"""Relative rounding error tolerated in sums of some hundred values."""
COUNTERS = ("asked", "settled", "in_time", "bounced", "given_up", "left")
"""Counters, by their names in summaries."""


class Metrics:
    """Counters and samples of one run, and their summary."""

    def __init__(self, plan, clock):
        self.plan, self.clock = plan, clock
        bins = int(plan.seconds * BINS_PER_SECOND) + 1
        self.bins = {counter: np.zeros(bins, int) for counter in COUNTERS}
        # By request class: (time of the request, ticks until the answer).
        self.latencies: list[list[tuple[float, float]]] = [[] for _ in plan.request_class]
        self.in_flight: list[int] = []
        self.limits: list[float] = []
        self.overloaded: list[int] = []
        self.relative_load: list[float] = []
        self.in_system = 0  # active clients of a closed population
        self.attempts = 0

    def _count(self, counter):
        index = int(self.clock.now / BIN_TICKS)
        if index < len(self.bins[counter]):
            self.bins[counter][index] += 1

    def record_request(self) -> None:
        """Counts a new request of a client."""
        self.in_system += 1
        self._count("asked")

    def record_success(self, request) -> None:
        """Counts a successful answer and records its latency."""
        self._count("settled")
        if self.clock.now <= request.objective_at:
            self._count("in_time")
        latency = self.clock.now - request.requested_at
        self.latencies[request.class_index].append((request.requested_at, latency))

    def record_failure(self, answer) -> None:
        """Counts a rejected or failed request; `answer` is the type of the decision."""
        self._count("bounced" if answer is RejectRequest else "given_up")

    def record_abandonment(self) -> None:
        """Counts a try that its client abandoned."""
        self._count("left")

    def sample(self, in_flight: int, limit: float, overloaded: int, relative_load: float) -> None:
        """Records the state at the end of a bin."""
        self.in_flight.append(in_flight)
        self.limits.append(limit)
        self.overloaded.append(overloaded)
        self.relative_load.append(relative_load)

    def rate(self, counter: str, since_s: float | None = None) -> float:
        """Returns a counter per second from `since_s`, by default the plan's `left_out_s`."""
        first = self.plan.left_out_s if since_s is None else since_s
        last = self.plan.seconds
        counted = self.bins[counter][int(first * BINS_PER_SECOND) : int(last * BINS_PER_SECOND)]
        return float(counted.sum() / (last - first))

    def time_to_capacity(self, achievable: float) -> float | None:
        """Returns the seconds until goodput reaches FOUND_RATIO of `achievable`; None if never."""
        window_counts = np.convolve(self.bins["in_time"], np.ones(RATE_WINDOW_BINS), "valid")
        reached = np.flatnonzero(
            window_counts / (RATE_WINDOW_BINS / BINS_PER_SECOND) >= FOUND_RATIO * achievable
        )
        return None if not len(reached) else float(reached[0] + RATE_WINDOW_BINS) / BINS_PER_SECOND

    def recovery_times(self) -> tuple[float | None, float | None]:
        """Returns how long the plan's last change had effects: (goodput, load), in seconds.

        The first is the time until the moving average of goodput stays at or above FOLLOWED_RATIO
        of the steady goodput, the second until that of the backends' load stays at or below
        MAX_CALM_LOAD_RATIO. Both are None without a change; each is None if its state was not
        reached END_WINDOW_S before the end.
        """
        latest_s = self.plan.seconds - 2 * END_WINDOW_S
        change_times_s = [each.at_s for each in self.plan.change if 0 < each.at_s < latest_s]
        if not change_times_s:
            return None, None
        since = int(max(change_times_s) * BINS_PER_SECOND)
        kernel = np.ones(MEAN_WINDOW_BINS) / MEAN_WINDOW_BINS
        last = int(self.plan.seconds * BINS_PER_SECOND)
        rates = np.convolve(self.bins["in_time"][since:last], kernel, "valid") * BINS_PER_SECOND
        # The tolerance keeps a mean that equals its bound from crossing it by a rounding error,
        # which depends on the order in which a processor adds.
        steady_rate = self.rate("in_time", self.plan.seconds - END_WINDOW_S)
        low = rates < FOLLOWED_RATIO * steady_rate * (1 - ROUNDING_TOLERANCE)
        loads = np.convolve(self.relative_load[since:], kernel, "valid")
        high = loads > MAX_CALM_LOAD_RATIO * (1 + ROUNDING_TOLERANCE)
        return self._seconds_until_last_breach(low), self._seconds_until_last_breach(high)

    @staticmethod
    def _seconds_until_last_breach(is_breach):
        indices = np.flatnonzero(is_breach)
        if not len(indices):
            return 0.0
        if indices[-1] > len(is_breach) - END_WINDOW_S * BINS_PER_SECOND:
            return None
        return round(float(indices[-1] + MEAN_WINDOW_BINS) / BINS_PER_SECOND, 1)

    def summary(self, achievable: float, backends: list, rule_violations: dict[str, int]) -> dict:
        """Returns the summary as plain data, without the first `left_out_s` seconds.

        Rates are per second, times in ms.
        """
        rates = {counter: round(self.rate(counter), 1) for counter in COUNTERS}
        left_out_bins = int(self.plan.left_out_s * BINS_PER_SECOND)
        latencies = [
            each for samples in self.latencies for each in self._measured_latencies(samples)
        ]
        followed_s, calm_s = self.recovery_times()
        in_flight, limits = self.in_flight[left_out_bins:], self.limits[left_out_bins:]
        return {
            "title": self.plan.title,
            "possible_per_s": round(achievable, 1),
            "per_s": rates,
            "share": round(rates["in_time"] / achievable, 3) if achievable else None,
            "found_after_s": self.time_to_capacity(achievable),
            "followed_s": followed_s,
            "calm_s": calm_s,
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
            "broken": rule_violations,
        }

    def _measured_latencies(self, samples):
        """Returns the latencies of requests sent after the plan's `left_out_s`."""
        since = self.plan.left_out_s * SECOND
        return [latency for requested_at, latency in samples if requested_at >= since]

    def _by_request_class(self):
        seconds = self.plan.seconds - self.plan.left_out_s
        summaries = {}
        for request_class, samples in zip(self.plan.request_class, self.latencies, strict=True):
            latencies = self._measured_latencies(samples)
            summary = {"settled_per_s": round(len(latencies) / seconds, 1)}
            if latencies:
                summary |= {f"p{p}_ms": _percentile_ms(latencies, p) for p in (50, 99)}
            summaries[request_class.name] = summary
        return summaries


def _percentile_ms(latencies, percent):
    return round(float(np.percentile(latencies, percent)) / MS, 2)
