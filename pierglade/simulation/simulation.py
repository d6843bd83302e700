"""A simulation run: one plan under one policy."""

import importlib.util

import numpy as np

from pierglade.balancer.balancer import Balancer
from pierglade.model.endpoint import Endpoint, EndpointState
from pierglade.model.outcome import Outcome
from pierglade.model.request import Idempotency, RequestClass
from pierglade.settings.balancer import BalancerSettings
from pierglade.simulation.backend import Job, SimulatedBackend
from pierglade.simulation.clients import ClientPopulation, SimulatedRequest
from pierglade.simulation.clock import MS, SECOND, Clock
from pierglade.simulation.distributions import WeightedChoice, WorkDistribution
from pierglade.simulation.metrics import BIN_TICKS, Metrics
from pierglade.simulation.policies import BalancerPolicy, BaselinePolicy, OraclePolicy
from pierglade.tenants.registry import TenantRegistry

FIXED_LIMITS = (2, 4, 16)
"""Attempts per backend that the baselines with a fixed limit allow."""
BASELINES = {
    **{f"fixed-{limit}": ("turns", limit) for limit in FIXED_LIMITS},
    "none": ("turns", None),
    "least": ("least", None),
    "random": ("random", None),
}
POLICIES = ("node", *BASELINES, "seer")
"""Names of the policies on the command line and in results; "seer" is the oracle."""
IDEMPOTENCY = {
    "harmless": Idempotency.SAFE,
    "stamped": Idempotency.KEYED,
    "one-shot": Idempotency.UNSAFE,
}
"""Idempotency of a request class, by its name in plans."""
SEED_FACTOR = 1009
"""Multiplier that keeps the node seeds of plans with consecutive seeds apart."""


def load_balancer_class(path: str):
    """Loads the Balancer class of another Python file, which must support the current model."""
    spec = importlib.util.spec_from_file_location("other_balancer", path)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module.Balancer


class Simulation:
    """The clock, clients, policies and backends of one run."""

    def __init__(self, plan, policy: str = "node", make_balancer=Balancer):
        if policy not in POLICIES:
            raise ValueError(f"unknown policy {policy!r}; expected one of {', '.join(POLICIES)}")
        self.plan, self.clock = plan, Clock()
        self.metrics = Metrics(plan, self.clock)
        self.rule_violations: dict[str, int] = {}
        # One random stream for the sequence of request classes and one for the work of each class,
        # so that the load does not depend on the policy.
        streams = np.random.SeedSequence(plan.seed).spawn(2 + len(plan.request_class))
        shares = [each.share for each in plan.request_class]
        self._class_selector = WeightedChoice(np.random.default_rng(streams[0]), shares)
        self._work = [
            WorkDistribution(np.random.default_rng(stream), each.spread, each.work_ms * MS, each.cv)
            for stream, each in zip(streams[2:], plan.request_class, strict=True)
        ]
        self._request_classes = self.settings(0).request_classes
        kinds = [kind for kind in plan.fleet.kind for _ in range(kind.count)]
        self.backends = {
            f"b{number}": SimulatedBackend(self.clock, f"b{number}", kind, plan.fleet)
            for number, kind in enumerate(kinds)
        }
        self._jobs: dict[object, tuple[Job, SimulatedBackend]] = {}  # by attempt
        self.clients = ClientPopulation(self)
        self.policies = self._make_policies(policy, make_balancer)
        endpoints = [self._endpoint(each) for each in self.backends.values()]
        for each in self.policies:
            each.endpoints_updated(endpoints, True)
        for change in plan.change:
            self.clock.at(change.at_s * SECOND, self._apply_change, change)
        self.clock.after(BIN_TICKS, self._sample)

    def _make_policies(self, policy, make_balancer):
        numbers = range(self.plan.nodes.count)
        if policy == "node":
            return [BalancerPolicy(self, number, make_balancer) for number in numbers]
        if policy == "seer":
            return [OraclePolicy(self)]
        return [BaselinePolicy(self, number, *BASELINES[policy]) for number in numbers]

    def policy_seed(self, number: int) -> int:
        """Returns the seed of the policy of a node."""
        return self.plan.seed * SEED_FACTOR + number

    def settings(self, number: int) -> BalancerSettings:
        """Returns new settings for a node."""
        plan = self.plan
        kinds = plan.fleet.kind
        quotas = {"all": plan.nodes.members_per_s} if plan.nodes.members_per_s else {}
        return BalancerSettings(
            request_classes=[
                RequestClass(
                    index=index,
                    name=each.name,
                    idempotency=IDEMPOTENCY[each.repeats],
                    deduplication_scope=each.group,
                    deduplication_window=int(each.window_ms * MS),
                    latency_objective=int(each.expected_ms * MS),
                    request_timeout=int(each.hard_limit_ms * MS),
                    priority_weight=each.priority_weight,
                )
                for index, each in enumerate(plan.request_class)
            ],
            tenants=TenantRegistry(quotas),
            node_number=number,
            node_count=plan.nodes.count,
            max_attempts=plan.nodes.max_attempts,
            may_cancel=True,
            may_check_health=True,
            max_retry_after=0,
            slow_start_duration=int(max(kind.cold_for_s for kind in kinds) * SECOND),
            slow_start_capacity=min(kind.cold_from for kind in kinds),
            slow_start_overload=min(kind.tip_multiple for kind in kinds),
            worst_class_weight=0.0,
        )

    def run(self) -> dict:
        """Runs the plan; returns the summary as plain data."""
        self.clients.start()
        self.clock.run(self.plan.seconds * SECOND)
        backends = list(self.backends.values())
        return self.metrics.summary(self.plan.achievable_rate(), backends, self.rule_violations)

    def draw_request(self, clients: ClientPopulation) -> SimulatedRequest:
        """Returns a new request of a random class, with random work."""
        index = self._class_selector.next()
        io_wait = self.plan.request_class[index].wait_ms * MS
        work = self._work[index].next()
        return SimulatedRequest(
            clients, self._request_classes[index], work, io_wait, self.clock.now
        )

    def record_violation(self, rule: int, problem: str) -> None:
        """Counts a violation of one of the four rules."""
        key = f"{rule}: {problem}"
        self.rule_violations[key] = self.rule_violations.get(key, 0) + 1

    # Attempts.

    def send(self, policy, attempt, request: SimulatedRequest, name: str, timeout_at) -> None:
        """Sends an attempt; `policy.attempt_ended` is called once, no later than `timeout_at`."""
        self.metrics.attempts += 1
        if request.has_answer:
            self.record_violation(1, "sent after its answer")
        backend = self.backends[name]
        delay = self.plan.fleet.delay_ms * MS

        def _job_ended(outcome):
            if outcome in (Outcome.SUCCESS, Outcome.SERVER_ERROR):
                request.executions += 1
                is_unsafe = request.request_class.idempotency == Idempotency.UNSAFE
                if request.executions > 1 and is_unsafe:
                    self.record_violation(2, "a one-shot ran twice")
            self.clock.after(delay, self._end_attempt, policy, attempt, outcome)

        job = Job(request.work, request.io_wait, _job_ended)
        self._jobs[attempt] = (job, backend)
        self.clock.after(delay, self._deliver, attempt, job, backend)
        self.clock.at(timeout_at, self._end_attempt, policy, attempt, Outcome.TIMEOUT)

    def cancel(self, policy, attempt) -> None:
        """Cancels an attempt for its policy."""
        self.clock.after(0, self._end_attempt, policy, attempt, Outcome.CANCELLED)

    def check_health(self, policy, name: str) -> None:
        """Checks the health of a backend; the policy receives the result a round trip later."""
        is_healthy = self.backends[name].is_responsive()
        response_delay = 2 * self.plan.fleet.delay_ms * MS + MS
        self.clock.after(response_delay, policy.health_checked, name, is_healthy)

    def _deliver(self, attempt, job, backend):
        if attempt in self._jobs:
            backend.offer(job)

    def _end_attempt(self, policy, attempt, outcome):
        entry = self._jobs.pop(attempt, None)
        if entry is None:
            return
        job, backend = entry
        if outcome in (Outcome.TIMEOUT, Outcome.CANCELLED):
            self.clock.after(self.plan.fleet.delay_ms * MS, backend.drop, job)
        policy.attempt_ended(attempt, outcome)

    # Changes of the plan and samples.

    def _endpoint(self, backend, state=EndpointState.READY):
        started_at = int(backend.started_at) if backend.started_at is not None else 0
        return Endpoint(backend.name, state, "z", 0, started_at, backend.kind.weight)

    def _notify_policies(self, endpoints):
        for policy in self.policies:
            policy.endpoints_updated(endpoints, False)

    def _apply_change(self, change):
        if change.what == "load":
            self.clients.scale(change.times)
            return
        backends = list(self.backends.values())
        endpoints = []
        for backend in backends[: round(len(backends) * change.share)]:
            if change.what == "gone":
                backend.crash()
                endpoints.append(self._endpoint(backend, EndpointState.REMOVED))
            elif change.what == "back":
                backend.restart()
                endpoints.append(self._endpoint(backend))
            else:
                backend.apply(change)
        if endpoints and change.listed:
            self.clock.after(self.plan.fleet.notice_s * SECOND, self._notify_policies, endpoints)

    def _sample(self):
        backends = self.backends.values()
        capacity = sum(each.capacity() for each in backends)
        jobs_in_flight = sum(each.in_flight() for each in backends)
        self.metrics.sample(
            in_flight=len(self._jobs),
            limit=sum(policy.limit() for policy in self.policies),
            overloaded=sum(each.overloaded_since is not None for each in backends),
            relative_load=jobs_in_flight / capacity if capacity else 0.0,
        )
        self.clock.after(BIN_TICKS, self._sample)


def run_plan(plan, policy: str = "node", make_balancer=Balancer) -> dict:
    """Runs `plan` under `policy`, one of POLICIES, and returns the summary.

    `make_balancer` is the Balancer class that the policy "node" uses.
    """
    return Simulation(plan, policy, make_balancer).run()
