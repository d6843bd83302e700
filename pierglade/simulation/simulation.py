"""A play: one plan, one policy, from the first arrival to the last."""

import importlib.util

import numpy as np

from pierglade.model.endpoint import Endpoint, EndpointState
from pierglade.model.outcome import Outcome
from pierglade.model.request import Idempotency, RequestClass
from pierglade.settings.balancer import BalancerSettings
from pierglade.simulation import policies as seats
from pierglade.simulation.backend import Backend, Job
from pierglade.simulation.clients import Ask, Clients
from pierglade.simulation.clock import MS, SECOND, Clock
from pierglade.simulation.distributions import Picks, Sizes
from pierglade.simulation.metrics import BIN, Tally
from pierglade.tenants.registry import TenantRegistry

FIXED = (2, 4, 16)  # trips a backend of the fixed baselines
BASELINES = {
    **{f"fixed-{n}": ("turns", n) for n in FIXED},
    "none": ("turns", None),
    "least": ("least", None),
    "random": ("random", None),
}
POLICIES = ("node", *BASELINES, "seer")


def earlier(path):
    """The Balancer of another text of the decisions, which must fit the present records."""
    spec = importlib.util.spec_from_file_location("earlier_choice", path)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module.Balancer


# What a plan calls the idempotency of a request class.
IDEMPOTENCY = {
    "harmless": Idempotency.SAFE,
    "stamped": Idempotency.KEYED,
    "one-shot": Idempotency.UNSAFE,
}


class World:
    def __init__(self, plan, policy="node", node=None):
        if policy not in POLICIES:
            raise ValueError(f"no such policy: {policy}")
        if node is None:
            from pierglade.balancer.balancer import Balancer as node
        self.plan, self.clock = plan, Clock()
        self.tally = Tally(plan, self.clock)
        self.broken = {}
        # A stream of chance each for what is asked and for its order: the same whatever the policy does.
        streams = np.random.SeedSequence(plan.seed).spawn(2 + len(plan.request_class))
        self.mix = Picks(np.random.default_rng(streams[0]), [o.share for o in plan.request_class])
        self.sizes = [
            Sizes(np.random.default_rng(s), o.spread, o.work_ms * MS, o.cv)
            for s, o in zip(streams[2:], plan.request_class)
        ]
        self.request_classes = self.settings(0).request_classes
        kinds = [kind for kind in plan.fleet.kind for _ in range(kind.count)]
        self.backends = {
            f"b{n}": Backend(self.clock, f"b{n}", kind, plan.fleet) for n, kind in enumerate(kinds)
        }
        self.jobs = {}  # trip -> its job and backend
        self.clients = Clients(self, np.random.default_rng(streams[1]))
        numbers = range(plan.nodes.count)
        if policy == "node":
            self.seats = [seats.NodeSeat(self, n, node) for n in numbers]
        elif policy == "seer":
            self.seats = [seats.Seer(self)]
        else:
            self.seats = [seats.PlainSeat(self, n, *BASELINES[policy]) for n in numbers]
        entries = [self._entry(b) for b in self.backends.values()]
        for seat in self.seats:
            seat.listed(entries, True)
        for change in plan.change:
            self.clock.at(change.at_s * SECOND, self._change, change)
        self.clock.after(BIN, self._sample)

    def settings(self, number):
        """Fresh settings for the node of that number."""
        plan = self.plan
        request_classes = [
            RequestClass(
                n,
                o.name,
                IDEMPOTENCY[o.repeats],
                o.group,
                int(o.window_ms * MS),
                int(o.expected_ms * MS),
                int(o.hard_limit_ms * MS),
                o.priority_weight,
            )
            for n, o in enumerate(plan.request_class)
        ]
        kinds = plan.fleet.kind
        shares = {"all": plan.nodes.members_per_s} if plan.nodes.members_per_s else {}
        return BalancerSettings(
            request_classes=request_classes,
            tenants=TenantRegistry(shares),
            node_number=number,
            node_count=plan.nodes.count,
            max_attempts=plan.nodes.most_trips,
            may_cancel=True,
            may_check_health=True,
            max_retry_after=0,
            slow_start_duration=int(max(k.cold_for_s for k in kinds) * SECOND),
            slow_start_capacity=min(k.cold_from for k in kinds),
            slow_start_overload=min(k.tip_multiple for k in kinds),
            worst_class_weight=0.0,
        )

    def play(self):
        """Plays the plan; returns the summary as plain data."""
        self.clients.start()
        self.clock.run(self.plan.seconds * SECOND)
        return self.tally.summary(self.plan.possible(), list(self.backends.values()), self.broken)

    def drawn(self, clients):
        request_class = self.mix.next()
        class_settings = self.request_classes[request_class]
        wait = self.plan.request_class[request_class].wait_ms * MS
        return Ask(clients, class_settings, self.sizes[request_class].next(), wait, self.clock.now)

    def broke(self, rule, what):
        key = f"{rule}: {what}"
        self.broken[key] = self.broken.get(key, 0) + 1

    # Trips.

    def send(self, seat, attempt, ask, name, until):
        """A trip leaves; its end comes back by `seat.ended` once, at `until` at the latest."""
        self.tally.attempts += 1
        if ask.over:
            self.broke(1, "sent after its answer")
        backend = self.backends[name]

        def ended(outcome):
            if outcome in (Outcome.SUCCESS, Outcome.SERVER_ERROR):
                ask.ran += 1
                if ask.ran > 1 and ask.class_settings.idempotency == Idempotency.UNSAFE:
                    self.broke(2, "a one-shot ran twice")
            self.clock.after(delay, self._end, seat, attempt, outcome)

        delay = self.plan.fleet.delay_ms * MS
        job = Job(ask.work, ask.wait, ended)
        self.jobs[attempt] = (job, backend)
        self.clock.after(delay, self._arrive, attempt, job, backend)
        self.clock.at(until, self._end, seat, attempt, Outcome.TIMEOUT)

    def _arrive(self, attempt, job, backend):
        if attempt in self.jobs:
            backend.offer(job)

    def _end(self, seat, attempt, outcome):
        pair = self.jobs.pop(attempt, None)
        if pair is None:
            return
        job, backend = pair
        if outcome in (Outcome.TIMEOUT, Outcome.CANCELLED):
            self.clock.after(self.plan.fleet.delay_ms * MS, backend.drop, job)
        seat.ended(attempt, outcome)

    def call_off(self, seat, attempt):
        self.clock.after(0, self._end, seat, attempt, Outcome.CANCELLED)

    def probe(self, seat, name):
        backend = self.backends[name]
        self.clock.after(
            2 * self.plan.fleet.delay_ms * MS + MS,
            self._probed,
            seat,
            name,
            not (backend.down or backend.hanging),
        )

    def _probed(self, seat, name, good):
        seat.probed(name, good)

    # Changes of the plan, and samples.

    def _entry(self, backend, state=EndpointState.READY):
        started = int(backend.started) if backend.started is not None else 0
        return Endpoint(backend.name, state, "z", 0, started, backend.kind.weight)

    def _tell(self, entries):
        for seat in self.seats:
            seat.listed(entries, False)

    def _change(self, change):
        if change.what == "load":
            self.clients.scale(change.times)
            return
        hit = list(self.backends.values())
        hit = hit[: round(len(hit) * change.share)]
        entries = []
        for backend in hit:
            if change.what == "gone":
                backend.crash()
                entries.append(self._entry(backend, EndpointState.REMOVED))
            elif change.what == "back":
                backend.restart()
                entries.append(self._entry(backend))
            else:
                backend.change(lambda b=backend: self._alter(b, change))
        if entries and change.listed:
            self.clock.after(self.plan.fleet.notice_s * SECOND, self._tell, entries)

    def _alter(self, backend, change):
        if change.what == "slower":
            backend.slowed = change.times
        elif change.what == "cores":
            backend.cores = max(1, round(backend.kind.cores * change.times))
        elif change.what == "hang":
            backend.hanging = True
        elif change.what == "errors":
            backend.failing = max(1, round(change.times))
        elif change.what == "well":
            backend.hanging, backend.failing, backend.slowed = False, 0, 1.0

    def _sample(self):
        able = sum(b.room() for b in self.backends.values())
        inside = sum(b.inflight() for b in self.backends.values())
        self.tally.sample(
            len(self.jobs),
            sum(seat.limit() for seat in self.seats),
            sum(b.tipped_at is not None for b in self.backends.values()),
            inside / able if able else 0.0,
        )
        self.clock.after(BIN, self._sample)


def play(plan, policy="node", node=None):
    """Plays `plan` under `policy`, one of POLICIES; `node` is another Balancer to host. Returns the summary."""
    return World(plan, policy, node).play()
