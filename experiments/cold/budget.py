"""Compares what a cold backend gets from all nodes together with its budget: decisions only, in virtual time.

    .venv/bin/python experiments/cold/budget.py [--seeds 5] [--nodes 5,10,20,30,720] [--jobs 3]

Many nodes share one clock, with 20 warm backends (or --backends less one) and one that has just started, which
answer in 50 ms. N is the number of attempts that the settings allow the cold backend in the time in which it
becomes overloaded: the overload multiple times its capacity at that age, where the pace of a warm backend is its
fraction of the tenants' quotas. The slow-start allowances of all nodes together are lower, at most half of N
while N is small; `strict` compares the worst window with that lower number as N.

`told`: nodes that have run for 5 s are all notified of the start at the same moment. `started`: all nodes start
at that moment, with the endpoint list and nothing learned. `silence`: as `told`, but nothing is requested during
the first half of the slow start, and then fifteen times the quotas for 2 s. `undivided`: as `told`, but each node
assumes that it is the only one.

`mild` settings: slow start of 8 s from 0.4 of the warm capacity, overload multiple 3, overloaded within 2 s.
`harsh`: 22 s, 0.13, 2.5, 1.5 s.
"""

import os
import random
import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from heapq import heappop, heappush
from itertools import count, product
from math import sqrt

import click

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__)))))

from pierglade.balancer.balancer import Balancer  # noqa: E402
from pierglade.balancer.slow_start import MARGIN  # noqa: E402
from pierglade.model.decision import SendAttempt  # noqa: E402
from pierglade.model.endpoint import Endpoint, EndpointState
from pierglade.model.outcome import Outcome
from pierglade.model.request import Idempotency, Request, RequestClass
from pierglade.settings.balancer import BalancerSettings
from pierglade.tenants.registry import TenantRegistry  # noqa: E402

SECOND_TICKS = 10000  # a tick is a tenth of a millisecond
RESPONSE_TICKS = 500
# How long the nodes run before the start, in ticks, and the multiple of the quotas requested after the silence.
WARM_UP_TICKS, RUSH_FACTOR = 5 * SECOND_TICKS, 15
DEFAULT_NODES, DEFAULT_BUDGETS = "5,10,20,30,720", "2,5,30"
CASES = ("told", "started", "silence", "undivided")


@dataclass(frozen=True)
class SlowStartSettings:
    """The slow-start settings, in ticks and fractions; `window` is the time in which a backend is overloaded."""

    slow_start_duration: int
    slow_start_capacity: float
    slow_start_overload: float
    window: int

    def capacity(self, age):
        """Returns the capacity at this age as a fraction of the warm capacity."""
        return min(
            1.0,
            self.slow_start_capacity
            + (1 - self.slow_start_capacity) * age / self.slow_start_duration,
        )

    def bears(self, age):
        """Returns the rate that the rule allows at this age, as a multiple of a warm backend's pace."""
        return self.slow_start_overload * self.capacity(age)

    def granted(self, age):
        """Returns the rate that all nodes together grant at this age, as a multiple of a warm backend's pace."""
        return max(MARGIN, self.capacity(age)) * min(1.0, self.bears(age))

    def integrate(self, rate, begin, end):
        """Returns the integral of `rate(age)` from one age to another, for a pace of one per second."""
        width = (end - begin) / INTEGRATION_STEPS
        return (
            sum(rate(begin + (n + 0.5) * width) for n in range(INTEGRATION_STEPS))
            * width
            / SECOND_TICKS
        )

    def worst(self, sent, pace, rate):
        """Returns the window with the most attempts relative to the bound: (ratio, attempts, N).

        The bound is N + 2 x root of N + 2.
        """
        windows = []
        for n, first in enumerate(sent):
            attempts = sum(first <= moment < first + self.window for moment in sent[n:])
            begin = min(first, self.slow_start_duration - self.window)
            allowed = pace * self.integrate(rate, begin, begin + self.window)
            windows.append((attempts / bound(allowed), attempts, allowed))
        return max(windows, default=(0.0, 0, pace * self.integrate(rate, 0, self.window)))


def bound(allowed):
    """Returns the bound on the attempts of a window: N plus two standard deviations of a Poisson count, plus 2."""
    return allowed + 2 * sqrt(allowed) + 2


INTEGRATION_STEPS = 20
SETTINGS = {
    "mild": SlowStartSettings(8 * SECOND_TICKS, 0.4, 3.0, 2 * SECOND_TICKS),
    "harsh": SlowStartSettings(22 * SECOND_TICKS, 0.13, 2.5, 15000),
}


class Fleet:
    """Nodes under one clock whose tenants' quotas sum up to `pace` requests/s for each backend."""

    def __init__(
        self,
        nodes,
        pace,
        seed,
        slow_start,
        case="told",
        load=1.0,
        shares=True,
        backends=21,
        all_cold=False,
    ):
        self.slow_start, self.case, self.seed, self.nodes = slow_start, case, seed, []
        self.node_count, self.load, self.shares, self.all_cold = nodes, load, shares, all_cold
        self.backends, self.quota = backends, pace * backends
        self.random, self.sequence, self.scheduled = random.Random(seed), count(), []
        self.wakeups, self.sent = [None] * nodes, []
        self.now, self.started_at = 100 * SECOND_TICKS, 100 * SECOND_TICKS + WARM_UP_TICKS

    def _balancer_settings(self, number):
        is_undivided = self.case == "undivided"
        quotas = {"all": self.quota} if self.shares else {}
        return BalancerSettings(
            request_classes=[RequestClass(0, "look", Idempotency.SAFE, "all", 0, 4000, 10000, 1.0)],
            tenants=TenantRegistry(quotas),
            node_number=0 if is_undivided else number,
            node_count=1 if is_undivided else self.node_count,
            max_attempts=3,
            may_cancel=True,
            may_check_health=False,
            max_retry_after=0,
            slow_start_duration=self.slow_start.slow_start_duration,
            slow_start_capacity=self.slow_start.slow_start_capacity,
            slow_start_overload=self.slow_start.slow_start_overload,
            worst_class_weight=0.2,
        )

    def schedule(self, moment, call, *arguments):
        """Schedules `call(*arguments)` at `moment`; calls of the same moment run in the order of scheduling."""
        heappush(self.scheduled, (moment, next(self.sequence), call, arguments))

    def play(self):
        """Runs the fleet; returns the ages in ticks at which an attempt was sent to the cold backend."""
        self.schedule(self.started_at if self.case == "started" else self.now, self._start_nodes)
        if self.case != "started":
            self.schedule(self.started_at, self._notify_start)
        self.schedule(
            self.started_at if self.case == "started" else self.now, self._schedule_arrival
        )
        while (
            self.scheduled
            and self.scheduled[0][0] < self.started_at + self.slow_start.slow_start_duration
        ):
            self.now, _, call, arguments = heappop(self.scheduled)
            call(*arguments)
        return [moment - self.started_at for moment in self.sent]

    def _endpoint(self, number):
        is_cold = (number == 0 or self.all_cold) and self.now >= self.started_at
        return Endpoint(
            f"b{number}", EndpointState.READY, "z", 0, self.started_at if is_cold else 0, 1.0
        )

    def _start_nodes(self):
        endpoints = [self._endpoint(number) for number in range(self.backends)]
        for number in range(self.node_count):
            self.nodes.append(
                Balancer(self.seed * 1009 + number, self._balancer_settings(number), self.now)
            )
            self.nodes[number].endpoints_updated(self.now, endpoints, True)
            self._run_decisions(number)

    def _notify_start(self):
        for number, node in enumerate(self.nodes):
            node.endpoints_updated(self.now, [self._endpoint(0)], False)
            self._run_decisions(number)

    def _request_rate(self):
        """Returns the requests per tick at present, and the moment until which this rate holds."""
        age, silence = self.now - self.started_at, self.slow_start.slow_start_duration // 2
        if self.case == "silence" and 0 <= age < silence:
            return 0.0, self.started_at + silence
        if self.case == "silence" and 0 <= age < silence + 2 * SECOND_TICKS:
            return (
                RUSH_FACTOR * self.quota / SECOND_TICKS,
                self.started_at + silence + 2 * SECOND_TICKS,
            )
        return (
            self.load * self.quota / SECOND_TICKS,
            self.started_at if age < 0 else self.started_at + self.slow_start.slow_start_duration,
        )

    def _schedule_arrival(self):
        rate, until = self._request_rate()
        interval = self.random.expovariate(rate) if rate else until - self.now
        # Poisson arrivals are memoryless, so the interval is drawn again when the rate changes.
        if self.now + interval >= until:
            self.schedule(until, self._schedule_arrival)
            return
        self.schedule(int(self.now + interval) + 1, self._receive_request)

    def _receive_request(self):
        number = self.random.randrange(self.node_count)
        node = self.nodes[number]
        tenant = node.settings.tenants.tenant("all", self.now) if self.shares else None
        node.request_received(
            self.now,
            Request(None, node.settings.request_classes[0], tenant, self.now, self.now + 10000),
        )
        self._run_decisions(number)
        self._schedule_arrival()

    def _run_decisions(self, number):
        node = self.nodes[number]
        while (decision := node.next_decision(self.now)) is not None:
            if type(decision) is SendAttempt:
                attempt = decision.attempt
                if node.endpoints.names[attempt.backend] == "b0" and self.now >= self.started_at:
                    self.sent.append(self.now)
                self.schedule(self.now + RESPONSE_TICKS, self._end_attempt, number, attempt)
        wakeup = node.next_wakeup(self.now)
        if wakeup is not None and (self.wakeups[number] is None or wakeup < self.wakeups[number]):
            self.wakeups[number] = wakeup
            self.schedule(wakeup, self._wake, number, wakeup)

    def _wake(self, number, moment):
        if self.wakeups[number] == moment:
            self.wakeups[number] = None
            self._run_decisions(number)

    def _end_attempt(self, number, attempt):
        if attempt.outcome is None:
            self.nodes[number].attempt_ended(
                self.now, attempt, Outcome.SUCCESS, self.now - attempt.sent_at, True
            )
            self._run_decisions(number)


def pace(first_budget, slow_start):
    """Returns the requests/s of a warm backend for which N is `first_budget` in the first window."""
    return first_budget / slow_start.integrate(slow_start.bears, 0, slow_start.window)


def run_fleet(job):
    """Runs one fleet; returns the ages in ticks at which an attempt was sent to the cold backend."""
    nodes, first_budget, case, seed, slow_start, load, shares, backends = job
    return Fleet(
        nodes, pace(first_budget, slow_start), seed, slow_start, case, load, shares, backends
    ).play()


@click.command()
@click.option("--seeds", type=click.IntRange(1), default=5, show_default=True)
@click.option("--nodes", default=DEFAULT_NODES, show_default=True)
@click.option(
    "--budgets", default=DEFAULT_BUDGETS, show_default=True, help="N in the first window."
)
@click.option("--cases", default=",".join(CASES), show_default=True)
@click.option("--settings", type=click.Choice(list(SETTINGS)), default="mild", show_default=True)
@click.option(
    "--load", default=1.0, show_default=True, help="Requests as a multiple of the tenants' quotas."
)
@click.option("--backends", type=click.IntRange(1), default=21, show_default=True)
@click.option(
    "--no-shares",
    is_flag=True,
    help="Set no tenant quotas; nodes then estimate the load from completed requests.",
)
@click.option("--jobs", type=click.IntRange(1), default=3, show_default=True)
def main(seeds, nodes, budgets, cases, settings, load, backends, no_shares, jobs):
    """Prints a table with a row for each case, budget and number of nodes."""
    slow_start = SETTINGS[settings]
    rows = list(
        product(cases.split(","), map(float, budgets.split(",")), map(int, nodes.split(",")))
    )
    jobs_to_run = [
        (n, first_budget, case, seed, slow_start, load, not no_shares, backends)
        for case, first_budget, n in rows
        for seed in range(1, seeds + 1)
    ]
    print(
        "| case | nodes | N at first | sent, of granted | last second | worst window: sent, N, bound "
        "| ratio | strict |\n| --- | --- | --- | --- | --- | --- | --- | --- |"
    )
    with ProcessPoolExecutor(jobs) as pool:
        pending_results = pool.map(run_fleet, jobs_to_run)
        for case, first_budget, n in rows:
            results = [next(pending_results) for _ in range(seeds)]
            warm_pace, end = pace(first_budget, slow_start), slow_start.slow_start_duration
            ratio, attempts, allowed = max(
                slow_start.worst(sent, warm_pace, slow_start.bears) for sent in results
            )
            strict = max(
                slow_start.worst(sent, warm_pace, slow_start.granted)[0] for sent in results
            )
            mean_sent = sum(map(len, results)) / seeds
            last_second = (
                sum(moment >= end - SECOND_TICKS for sent in results for moment in sent) / seeds
            )
            granted, granted_last = (
                warm_pace * slow_start.integrate(slow_start.granted, since, end)
                for since in (0, end - SECOND_TICKS)
            )
            print(
                f"| {case} | {n} | {first_budget:g} | {mean_sent:.1f} of {granted:.1f} "
                f"| {last_second:.1f} of {granted_last:.1f} "
                f"| {attempts}, {allowed:.1f}, {bound(allowed):.1f} | {ratio:.2f} | {strict:.2f} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
