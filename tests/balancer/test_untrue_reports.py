"""Load reports, endpoint lists and network paths that mislead a node; scenarios with counts."""

import random
from collections import Counter

from pierglade.model.endpoint import EndpointState, LoadReport, LoadReportSource
from pierglade.model.outcome import Outcome
from pierglade.model.request import Idempotency
from pierglade.proxy.state.events import EndpointsUpdated
from pierglade.tenants.registry import TenantRegistry
from tests.support.scene import MS, BalancerHarness, StateMachineHarness, TraceTest, entry, listed

# The order of outcomes in the traces.
OUTCOMES = [
    Outcome.CONNECTION_RESET,
    Outcome.CANCELLED,
    Outcome.SERVER_ERROR,
    Outcome.NOT_SENT,
    Outcome.CLIENT_ERROR,
    Outcome.SUCCESS,
    Outcome.TIMEOUT,
    Outcome.REJECTED_UNPROCESSED,
    Outcome.CONNECT_FAILED,
]


def sort_key(item):
    """Sorts backends by name and outcomes in the order of the traces."""
    return OUTCOMES.index(item[0]) if item[0] in OUTCOMES else item[0]


class LoadScenario(BalancerHarness):
    """Requests at an even pace with scripted outcomes.

    `outcome_of(backend, time in ms, number of attempts at it)` returns latency in ms and outcome of an
    attempt. `is_mixed`: one in three requests is unsafe, at random; in a pattern with the period of the
    rotation, a due trial request could wait for its kind forever.
    """

    def drive(self, label, seconds, outcome_of, every_ms=20, is_mixed=False, report=None):
        lines, self.lines = self.lines, []
        sent, outcomes, trials, resent_unsafe, scheduled = Counter(), Counter(), Counter(), 0, []
        start, sent_attempts, rng = self.now, Counter(), random.Random(3)
        for n in range(seconds * 1000 // every_ms):
            self.take((label, n), request_class=2 if is_mixed and rng.random() < 1 / 3 else 0)
            for _ in range(every_ms // 5):
                self.after(5)
                for name, request in list(self.requests.items()):
                    for attempt in request.attempts:
                        if (
                            not hasattr(request.caller_context, "seen")
                            and (name, attempt.number) not in sent_attempts
                        ):
                            backend = self.node.endpoints.names[attempt.backend]
                            sent_attempts[(name, attempt.number)] = 1
                            sent[backend] += 1
                            trials[backend] += attempt.is_trial
                            resent_unsafe += (
                                attempt.number > 0
                                and request.request_class.idempotency == Idempotency.UNSAFE
                            )
                            latency, outcome = outcome_of(
                                backend, (self.now - start) // MS, sent[backend]
                            )
                            scheduled.append((self.now + latency * MS, attempt, outcome, backend))
                    if request.completed and not request.in_flight:
                        del self.requests[name]
                for ended in [
                    planned
                    for planned in scheduled
                    if planned[0] <= self.now or planned[1].cancelled
                ]:
                    scheduled.remove(ended)
                    _, attempt, outcome, backend = ended
                    outcome = Outcome.CANCELLED if attempt.cancelled else outcome
                    outcomes[outcome.value] += 1
                    if report:
                        self.node.load_reported(self.now, backend, report(backend))
                    self.node.attempt_ended(
                        self.now,
                        attempt,
                        outcome,
                        self.now - attempt.sent_at,
                        outcome == Outcome.SUCCESS,
                    )
                    self.pull()
        checks = Counter(line.split()[-1] for line in self.lines if " check health of " in line)
        final_answers = sum(" reject " in line or " fail " in line for line in self.lines)
        self.lines = lines
        counts = sent, trials, checks, outcomes
        sent, trials, checks, outcomes = (
            dict(sorted((+count).items(), key=sort_key)) for count in counts
        )
        self.record(
            f"{label}: sent {sent}, trials {trials}, health checks {checks}; outcomes {outcomes}; rejected or failed {final_answers}, "
            f"unsafe requests retried {resent_unsafe}"
        )


class InaccurateInformation(TraceTest):
    def test_load_reports_that_contradict_the_latency(self):
        """The rotation follows the latency of answers, whatever backends report.

        The limit does not rise because one slow backend reports that it is idle.
        """
        balancer_harness = LoadScenario(
            [f"b{n}" for n in range(6)],
            tenants=TenantRegistry(),
            node_count=2,
            load_report_source=LoadReportSource.RESPONSES,
            may_check_health=False,
        )
        reports = {
            "b0": LoadReport(throughput=1.0, utilization=0.02),
            "b1": LoadReport(throughput=8.0, utilization=1.0),
        }
        honest = LoadReport(throughput=8.0, utilization=0.6)
        balancer_harness.drive(
            "all reports are true",
            8,
            lambda backend, moment_ms, count: (40, Outcome.SUCCESS),
            report=lambda backend: honest,
        )
        balancer_harness.drive(
            "b0 is slow and reports idle, b1 reports full and is fast",
            8,
            lambda backend, moment_ms, count: (250 if backend == "b0" else 40, Outcome.SUCCESS),
            report=lambda backend: reports.get(backend, honest),
        )
        self.check("untrue_reports", balancer_harness.lines)

    def test_backend_fails_every_other_second(self):
        """A backend fails half of the time.

        Trial requests find that it has recovered, and few requests are lost.
        """
        balancer_harness = LoadScenario([f"b{n}" for n in range(4)])
        balancer_harness.drive(
            "b2 answers with errors every other second",
            12,
            lambda backend, moment_ms, count: (
                (5, Outcome.SERVER_ERROR)
                if backend == "b2" and moment_ms // 1000 % 2
                else (20, Outcome.SUCCESS)
            ),
            is_mixed=True,
        )
        self.check("untrue_flapping", balancer_harness.lines)

    def test_backend_unreachable_from_this_node_alone(self):
        """Health checks of a backend succeed, but its attempts get no answer.

        Each check admits one safe trial request, at growing intervals.
        """
        balancer_harness = LoadScenario([f"b{n}" for n in range(4)])
        balancer_harness.drive(
            "b3 never answers this node",
            12,
            lambda backend, moment_ms, count: (
                (990, Outcome.TIMEOUT) if backend == "b3" else (20, Outcome.SUCCESS)
            ),
            is_mixed=True,
        )
        self.check("untrue_hole", balancer_harness.lines)

    def test_network_path_that_loses_a_third(self):
        """Two of four backends are behind a path that loses a third of the attempts.

        They stay in use as far as they work, and no unsafe request is sent twice.
        """
        balancer_harness = LoadScenario(
            [listed(f"b{n}", zone="east" if n < 2 else "west") for n in range(4)]
        )
        balancer_harness.drive(
            "a third of the attempts at zone west is lost",
            12,
            lambda backend, moment_ms, n: (
                (600, Outcome.CONNECTION_RESET)
                if backend > "b1" and n % 3 == 2
                else (20, Outcome.SUCCESS)
            ),
            is_mixed=True,
        )
        self.check("untrue_way", balancer_harness.lines)


class ListedAsRemoved(TraceTest):
    def test_listed_as_removed_and_answering(self):
        """A backend listed as removed stays in use where only draining is binding.

        It receives attempts for as long as its trial requests succeed.
        """
        lines = []
        for is_binding in (True, False):
            balancer_harness = LoadScenario(["b0", "b1"], removal_binds=is_binding)
            balancer_harness.drive(
                f"removal is binding: {is_binding}",
                1,
                lambda backend, moment_ms, count: (20, Outcome.SUCCESS),
            )
            balancer_harness.list([listed("b1", EndpointState.REMOVED)])
            balancer_harness.drive(
                "b1 is listed as removed and answers",
                3,
                lambda backend, moment_ms, count: (20, Outcome.SUCCESS),
            )
            balancer_harness.drive(
                "b1 is down",
                12,
                lambda backend, moment_ms, count: (
                    (5, Outcome.CONNECT_FAILED) if backend == "b1" else (20, Outcome.SUCCESS)
                ),
            )
            balancer_harness.record(
                f"b1 is {balancer_harness.node.endpoints.state[balancer_harness.node.endpoints.index['b1']]}"
            )
            balancer_harness.list([listed("b0", EndpointState.DRAINING)])
            balancer_harness.list([listed("b0", EndpointState.REMOVED)])
            balancer_harness.record(
                f"b0 draining, then removed: it is {balancer_harness.node.endpoints.state[balancer_harness.node.endpoints.index['b0']]}"
            )
            lines += balancer_harness.lines
        self.check("untrue_gone", lines)

    def test_connection_to_a_backend_listed_as_removed(self):
        """The proxy connects to backends listed as removed where only draining is binding."""
        lines = []
        for is_binding in (True, False):
            harness = StateMachineHarness(["b0"], removal_binds=is_binding)
            for status in ("DELETED", "DRAINING", "DELETED"):
                harness.handle_event(
                    EndpointsUpdated(
                        {"index": 2, "snapshot": False, "endpoints": [entry("b0", status)]}
                    )
                )
                harness.after(200)
                backend = harness.state_machine.endpoints.records["b0"]
                is_draining = harness.state_machine.endpoints.is_draining(backend)
                lines.append(f"removal is binding: {is_binding}, {status}: draining {is_draining}")
            harness.after(60000)
            harness.handle_event(EndpointsUpdated({"index": 3, "snapshot": False, "endpoints": []}))
            lines.append(f"known after a minute: {list(harness.state_machine.endpoints.records)}")
        self.check("untrue_link", lines)
