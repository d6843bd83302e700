"""What a cold backend gets from all nodes together, against its budget: the decisions alone, virtual time.

    .venv/bin/python experiments/cold/budget.py [--seeds 5] [--nodes 5,10,20,30,720] [--jobs 3]

Many nodes under one clock, 20 warm backends (or --backends less one) and one that has just started, answers
of 50 ms. N is what the settings allow the cold one in the time in which it falls over: the tip multiple
times what it can do at that age; the pace of a warm one is its part of what tenants may ask for. What the
nodes give out (`_cold_allows`, all together) is less, at most half of it while that is little; `strict` is
the worst window against that as N.

`told`: nodes that have run for 5 s are all told of the start in the same moment. `started`: all nodes start
in that moment, with the list and nothing learned. `silence`: as `told`, nothing is asked for during the
first half of the cold time, then fifteen times as much as shares allow for 2 s. `undivided`: as `told`, but
each node takes itself for the only one.

`mild` settings: cold for 8 s from 0.4 of its pace, tip multiple 3, falls in 2 s. `harsh`: 22 s, 0.13, 2.5,
1.5 s.
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

SECOND = 10000  # tenths of a millisecond
TOOK = 500
WARM_UP, RUSH = 5 * SECOND, 15
NODES, NS = "5,10,20,30,720", "2,5,30"
CASES = ("told", "started", "silence", "undivided")


@dataclass(frozen=True)
class Cold:
    """What the settings say of cold backends, and the time in which one falls over."""

    slow_start_duration: int
    slow_start_capacity: float
    slow_start_overload: float
    window: int

    def capacity(self, age):
        return min(
            1.0,
            self.slow_start_capacity
            + (1 - self.slow_start_capacity) * age / self.slow_start_duration,
        )

    def bears(self, age):
        """Times a warm one's pace, by the rule."""
        return self.slow_start_overload * self.capacity(age)

    def given(self, age):
        """The same, of what all nodes together give it."""
        return max(MARGIN, self.capacity(age)) * min(1.0, self.bears(age))

    def over(self, share, begin, end):
        """What `share` comes to from one age to another, for a pace of one a second."""
        width = (end - begin) / STEPS
        return sum(share(begin + (n + 0.5) * width) for n in range(STEPS)) * width / SECOND

    def worst(self, sent, pace, share):
        """The most in a window over N + 2 x root of N + 2: (that share, what came, N)."""
        found = []
        for n, first in enumerate(sent):
            got = sum(first <= moment < first + self.window for moment in sent[n:])
            begin = min(first, self.slow_start_duration - self.window)
            allowed = pace * self.over(share, begin, begin + self.window)
            found.append((got / bound(allowed), got, allowed))
        return max(found, default=(0.0, 0, pace * self.over(share, 0, self.window)))


def bound(allowed):
    return allowed + 2 * sqrt(allowed) + 2


STEPS = 20
SETTINGS = {
    "mild": Cold(8 * SECOND, 0.4, 3.0, 2 * SECOND),
    "harsh": Cold(22 * SECOND, 0.13, 2.5, 15000),
}


class Fleet:
    """So many nodes, each told of `pace` a second for each backend that tenants may ask for."""

    def __init__(
        self,
        nodes,
        pace,
        seed,
        cold,
        case="told",
        load=1.0,
        shares=True,
        backends=21,
        all_cold=False,
    ):
        self.cold, self.case, self.seed, self.nodes = cold, case, seed, []
        self.count, self.load, self.shares, self.all_cold = nodes, load, shares, all_cold
        self.backends, self.asked = backends, pace * backends
        self.chance, self.order, self.due = random.Random(seed), count(), []
        self.woken, self.sent = [None] * nodes, []
        self.now, self.start = 100 * SECOND, 100 * SECOND + WARM_UP

    def _terms(self, number):
        undivided = self.case == "undivided"
        shares = {"all": self.asked} if self.shares else {}
        return BalancerSettings(
            request_classes=[RequestClass(0, "look", Idempotency.SAFE, "all", 0, 4000, 10000, 1.0)],
            tenants=TenantRegistry(shares),
            node_number=0 if undivided else number,
            node_count=1 if undivided else self.count,
            max_attempts=3,
            may_cancel=True,
            may_check_health=False,
            max_retry_after=0,
            slow_start_duration=self.cold.slow_start_duration,
            slow_start_capacity=self.cold.slow_start_capacity,
            slow_start_overload=self.cold.slow_start_overload,
            worst_class_weight=0.2,
        )

    def at(self, moment, call, *what):
        heappush(self.due, (moment, next(self.order), call, what))

    def play(self):
        """Moments at which a trip left for the cold backend, from its start to the end of its cold time."""
        self.at(self.start if self.case == "started" else self.now, self._begin)
        if self.case != "started":
            self.at(self.start, self._tell)
        self.at(self.start if self.case == "started" else self.now, self._arrive)
        while self.due and self.due[0][0] < self.start + self.cold.slow_start_duration:
            self.now, _, call, what = heappop(self.due)
            call(*what)
        return [moment - self.start for moment in self.sent]

    def _entry(self, b):
        cold = (b == 0 or self.all_cold) and self.now >= self.start
        return Endpoint(f"b{b}", EndpointState.READY, "z", 0, self.start if cold else 0, 1.0)

    def _begin(self):
        entries = [self._entry(b) for b in range(self.backends)]
        for number in range(self.count):
            self.nodes.append(Balancer(self.seed * 1009 + number, self._terms(number), self.now))
            self.nodes[number].endpoints_updated(self.now, entries, True)
            self._pull(number)

    def _tell(self):
        for number, node in enumerate(self.nodes):
            node.endpoints_updated(self.now, [self._entry(0)], False)
            self._pull(number)

    def _pace(self):
        """Asked for in a tenth of a millisecond, and until when that holds."""
        age, silent = self.now - self.start, self.cold.slow_start_duration // 2
        if self.case == "silence" and 0 <= age < silent:
            return 0.0, self.start + silent
        if self.case == "silence" and 0 <= age < silent + 2 * SECOND:
            return RUSH * self.asked / SECOND, self.start + silent + 2 * SECOND
        return (
            self.load * self.asked / SECOND,
            self.start if age < 0 else self.start + self.cold.slow_start_duration,
        )

    def _arrive(self):
        pace, until = self._pace()
        gap = self.chance.expovariate(pace) if pace else until - self.now
        if self.now + gap >= until:  # what is asked for has no memory: drawn anew from there
            self.at(until, self._arrive)
            return
        self.at(int(self.now + gap) + 1, self._take)

    def _take(self):
        number = self.chance.randrange(self.count)
        node = self.nodes[number]
        tenant = node.settings.tenants.of("all", self.now) if self.shares else None
        node.request_received(
            self.now,
            Request(None, node.settings.request_classes[0], tenant, self.now, self.now + 10000),
        )
        self._pull(number)
        self._arrive()

    def _pull(self, number):
        node = self.nodes[number]
        while (decision := node.next_decision(self.now)) is not None:
            if type(decision) is SendAttempt:
                subject = decision.attempt
                if node.endpoints.names[subject.backend] == "b0" and self.now >= self.start:
                    self.sent.append(self.now)
                self.at(self.now + TOOK, self._end, number, subject)
        wake = node.next_wakeup(self.now)
        if wake is not None and (self.woken[number] is None or wake < self.woken[number]):
            self.woken[number] = wake
            self.at(wake, self._wake, number, wake)

    def _wake(self, number, moment):
        if self.woken[number] == moment:
            self.woken[number] = None
            self._pull(number)

    def _end(self, number, attempt):
        if attempt.outcome is None:
            self.nodes[number].attempt_ended(
                self.now, attempt, Outcome.SUCCESS, self.now - attempt.sent_at, True
            )
            self._pull(number)


def pace(at_first, cold):
    """Of a warm backend, a second, so that N is `at_first` in the first window."""
    return at_first / cold.over(cold.bears, 0, cold.window)


def one(job):
    nodes, first, case, seed, cold, load, shares, backends = job
    return Fleet(nodes, pace(first, cold), seed, cold, case, load, shares, backends).play()


@click.command()
@click.option("--seeds", type=click.IntRange(1), default=5, show_default=True)
@click.option("--nodes", default=NODES, show_default=True)
@click.option("--budgets", default=NS, show_default=True, help="N in the first window.")
@click.option("--cases", default=",".join(CASES), show_default=True)
@click.option("--settings", type=click.Choice(list(SETTINGS)), default="mild", show_default=True)
@click.option("--load", default=1.0, show_default=True, help="Of what tenants may ask for.")
@click.option("--backends", type=click.IntRange(1), default=21, show_default=True)
@click.option(
    "--no-shares", is_flag=True, help="No tenant has a share; nodes go by what they settle."
)
@click.option("--jobs", type=click.IntRange(1), default=3, show_default=True)
def main(seeds, nodes, budgets, cases, settings, load, backends, no_shares, jobs):
    cold = SETTINGS[settings]
    rows = list(
        product(cases.split(","), map(float, budgets.split(",")), map(int, nodes.split(",")))
    )
    work = [
        (n, first, case, seed, cold, load, not no_shares, backends)
        for case, first, n in rows
        for seed in range(1, seeds + 1)
    ]
    print(
        "| case | nodes | N at first | got, of what is given | last second | worst window: got, N, bound "
        "| share | strict |\n| --- | --- | --- | --- | --- | --- | --- | --- |"
    )
    with ProcessPoolExecutor(jobs) as pool:
        plays = pool.map(one, work)
        for case, first, n in rows:
            got = [next(plays) for _ in range(seeds)]
            warm, end = pace(first, cold), cold.slow_start_duration
            share, most, allowed = max(cold.worst(sent, warm, cold.bears) for sent in got)
            strict = max(cold.worst(sent, warm, cold.given)[0] for sent in got)
            whole = sum(map(len, got)) / seeds
            last = sum(moment >= end - SECOND for sent in got for moment in sent) / seeds
            given, late = (warm * cold.over(cold.given, since, end) for since in (0, end - SECOND))
            print(
                f"| {case} | {n} | {first:g} | {whole:.1f} of {given:.1f} | {last:.1f} of {late:.1f} "
                f"| {most}, {allowed:.1f}, {bound(allowed):.1f} | {share:.2f} | {strict:.2f} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
