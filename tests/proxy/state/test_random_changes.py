"""Lists, settings, requests, losses and probes in any order: what must hold of a node after each step."""

import random
import unittest
from dataclasses import replace

from pierglade.balancer.balancer import COUNTED, FIRST, SLOW, Node
from pierglade.model import request as r
from pierglade.snapshot.handover import take_over
from pierglade.tenants.registry import Tenants
from tests.support.scene import MS, listed, terms

SEEDS, STEPS = 12, 300
OUTCOMES = (r.SUCCESS,) * 5 + (
    r.ERROR,
    r.REJECTED_UNPROCESSED,
    r.CONNECT_FAILED,
    r.TIMEOUT,
    r.CONNECTION_RESET,
)


class Chance:
    """One play. The host's part: each trip ends in time, each decision is carried out at once."""

    def __init__(self, case, seed):
        self.case, self.chance, self.now = case, random.Random(seed), 10**6
        self.node, self.older = Node(seed, self.settings(), self.now), []
        self.owed, self.finals = [], {}
        self.hear([listed(f"b{n}") for n in range(6)])

    def settings(self):
        pick = self.chance.choice
        rows = self.chance.sample(terms().request_classes, self.chance.randint(1, 3))
        rows = [
            replace(
                row, index=n, request_timeout=pick((400, 1000)) * MS, expected=pick((200, 400)) * MS
            )
            for n, row in enumerate(rows)
        ]
        return terms(
            request_classes=rows,
            nodes=pick((1, 1, 3, 70)),
            tenants=pick((Tenants(), Tenants({"n": 50.0}))),
            most_trips=pick((1, 2, 3, 4)),
            may_probe=pick((False, True)),
            further_most=3,
            further_share=0.2,
            further_span=pick((0, 0, 5000)),
            gone_binds=pick((True, True, False)),
            cold_for=pick((0, 3000, 8000)) * MS,
            gauges=pick((("pace", "busy"), ("busy",))),
            reports=pick((None, r.WITH_ANSWERS, r.WITH_PROBES)),
        )

    def nodes(self):
        return (*self.older, self.node)

    def hear(self, entries):
        for node in self.nodes():
            node.listed(self.now, entries, False)

    def entry(self, step):
        pick = self.chance.choice
        return listed(
            f"b{pick(range(12))}{pick(('', 'x', str(step)))}",
            pick((r.READY, r.READY, r.DRAINING, r.GONE)),
            started=pick((0, 0, 0, self.now - pick(range(9000)) * MS)),
            weight=pick((1.0, 0.7, 2.0)),
        )

    def step(self, number):
        self.now += self.chance.randint(1, 300)
        pick, what = self.chance.choice, self.chance.random()
        if what < 0.05:
            before = self.node
            self.older.append(before)
            self.node = Node(number, self.settings(), self.now, before)
            take_over(self.node, before, self.now)
        elif what < 0.15:
            self.hear([self.entry(number) for _ in range(pick((1, 2, 3)))])
        elif what < 0.17:
            self.now += 30000
        elif what < 0.55:
            request_class = pick(self.node.terms.request_classes)
            taken = r.Request(
                number, request_class, None, self.now, self.now + request_class.request_timeout
            )
            taken.by = self.node
            self.owed.append(taken)
            self.node.taken(self.now, taken)
        elif what < 0.6:
            self.node.reported(
                self.now, f"b{pick(range(12))}", r.Load(pace=30.0, busy=0.7, queue=1.0)
            )
        elif attempts := [
            attempt for each in self.owed for attempt in each.attempts if attempt.outcome is None
        ]:
            self.end(pick(attempts), pick(OUTCOMES))
        for each in self.owed:
            for attempt in each.attempts:
                if attempt.outcome is None and self.now >= each.limit:
                    self.end(attempt, r.TIMEOUT)
        for node in self.nodes():
            self.pull(node)
        self.owed = [each for each in self.owed if not each.over or each.out]
        self.older = [node for node in self.older if any(each.by is node for each in self.owed)]
        for node in self.nodes():
            self.check(node)

    def end(self, attempt, outcome):
        attempt.request.by.returned(
            self.now, attempt, outcome, max(1, self.now - attempt.sent), outcome == r.SUCCESS
        )

    def pull(self, node):
        while (decision := node.decide(self.now)) is not None:
            kind, subject = decision
            if kind == r.CANCEL_ATTEMPT and subject.outcome is None:
                self.end(subject, r.CANCELLED)
            elif kind == r.PROBE:
                node.probed(self.now, node.names[subject], self.chance.random() < 0.5, 5)
            elif kind == r.SEND:
                self.case.assertEqual(node.state[subject.backend], r.READY)
                self.case.assertIs(subject.request.by, node)
                self.case.assertLess(self.now, subject.request.limit)
            elif kind in (r.REJECT_REQUEST, r.FAIL_REQUEST):
                self.case.assertNotIn(subject.mark, self.finals)
                self.finals[subject.mark] = kind

    def check(self, node):
        equal, all_of = self.case.assertEqual, range(len(node.names))
        equal({len(getattr(node, name)) for name in FIRST}, {len(node.names)})
        equal(sorted(node.ranked), [b for b in all_of if node.state[b] == r.READY])
        equal(node.ranked, sorted(node.ranked, key=node.rank.__getitem__))
        self.case.assertAlmostEqual(node.total, sum(node.size[b] for b in node.ranked))
        self.case.assertLessEqual(set(node.turn), set(node.ranked))
        equal(sorted(node.gone), [b for b in all_of if node.state[b] == r.GONE])
        equal({b: name for name, b in node.index.items()}, dict(enumerate(node.names)))
        equal(node.slow_ones, sum(trouble is SLOW for trouble in node.trouble))
        equal(sorted(node.ailing), [b for b in all_of if node.trouble[b] is not None])
        equal(
            node.limit.busy,
            sum(len(attempts) for b, attempts in node.flying.items() if node.trouble[b] in COUNTED),
        )
        trials = [
            attempt.backend
            for each in self.owed
            if each.by is node
            for attempt in each.attempts
            if attempt.trial and attempt.outcome is None
        ]
        equal(node.trials_out, [trials.count(b) for b in all_of])
        equal(
            {len(node.limit.missing), len(node.limit.base), len(node.limit.answers)},
            {len(node.table)},
        )


class Changes(unittest.TestCase):
    def test_any_order(self):
        for seed in range(SEEDS):
            play = Chance(self, seed)
            for number in range(STEPS):
                with self.subTest(seed=seed, step=number):
                    play.step(number)
            self.assertGreater(len(play.finals), 0)
