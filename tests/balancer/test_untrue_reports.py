"""What a node is told is not so, or not so for it alone: reports, lists, ways. Short plays, counted."""

import random
from collections import Counter

from pierglade.model.endpoint import EndpointState, LoadReport, LoadReportSource
from pierglade.model.outcome import Outcome
from pierglade.model.request import Idempotency
from pierglade.proxy.state.events import EndpointsUpdated
from pierglade.tenants.registry import TenantRegistry
from tests.support.scene import MS, Desk, Scene, TraceTest, entry, listed

# The order in which outcomes stand in the traces.
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


def by_name(item):
    """Backends by name, outcomes in the order of the traces."""
    return OUTCOMES.index(item[0]) if item[0] in OUTCOMES else item[0]


class Play(Scene):
    """Invocations at an even pace; `fate(backend, moment in ms, how many it had)` says how long each trip
    takes, in ms, and how it ends. `mixed`: one in three by chance is one-shot; in a pattern that fits the
    lap of the rotation a trial that is due would wait for its kind for ever."""

    def drive(self, what, seconds, fate, every_ms=20, mixed=False, report=None):
        lines, self.lines = self.lines, []
        sent, ends, trials, resent, due = Counter(), Counter(), Counter(), 0, []
        start, had, chance = self.now, Counter(), random.Random(3)
        for n in range(seconds * 1000 // every_ms):
            self.take((what, n), request_class=2 if mixed and chance.random() < 1 / 3 else 0)
            for _ in range(every_ms // 5):
                self.after(5)
                for name, request in list(self.requests.items()):
                    for attempt in request.attempts:
                        if (
                            not hasattr(request.host_context, "seen")
                            and (name, attempt.number) not in had
                        ):
                            backend = self.node.endpoints.names[attempt.backend]
                            had[(name, attempt.number)] = 1
                            sent[backend] += 1
                            trials[backend] += attempt.is_trial
                            resent += (
                                attempt.number > 0
                                and request.request_class.idempotency == Idempotency.UNSAFE
                            )
                            took, outcome = fate(backend, (self.now - start) // MS, sent[backend])
                            due.append((self.now + took * MS, attempt, outcome, backend))
                    if request.completed and not request.in_flight:
                        del self.requests[name]
                for each in [d for d in due if d[0] <= self.now or d[1].cancelled]:
                    due.remove(each)
                    _, attempt, outcome, backend = each
                    outcome = Outcome.CANCELLED if attempt.cancelled else outcome
                    ends[outcome.value] += 1
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
        probed = Counter(line.split()[-1] for line in self.lines if " check health of " in line)
        ended = sum(" reject " in line or " fail " in line for line in self.lines)
        self.lines = lines
        counts = sent, trials, probed, ends
        sent, trials, probed, ends = (
            dict(sorted((+count).items(), key=by_name)) for count in counts
        )
        self.say(
            f"{what}: sent {sent}, trials {trials}, probes {probed}; ends {ends}; refused {ended}, "
            f"one-shots sent again {resent}"
        )


class Untrue(TraceTest):
    def test_reports_that_say_idle_while_answers_crawl_and_full_while_they_do_not(self):
        """Turns go by what answers take, whatever is told; the limit is not lifted by one that says idle."""
        scene = Play(
            [f"b{n}" for n in range(6)],
            tenants=TenantRegistry(),
            node_count=2,
            load_report_source=LoadReportSource.RESPONSES,
            may_check_health=False,
        )
        told = {
            "b0": LoadReport(throughput=1.0, utilization=0.02),
            "b1": LoadReport(throughput=8.0, utilization=1.0),
        }
        honest = LoadReport(throughput=8.0, utilization=0.6)
        scene.drive(
            "all tell the truth", 8, lambda b, at, n: (40, Outcome.SUCCESS), report=lambda b: honest
        )
        scene.drive(
            "b0 crawls and says idle, b1 says full and does not",
            8,
            lambda b, at, n: (250 if b == "b0" else 40, Outcome.SUCCESS),
            report=lambda b: told.get(b, honest),
        )
        self.check("untrue_reports", scene.lines)

    def test_fails_and_recovers_every_second(self):
        """Half of its time it is bad: trials find it well again, and few of what it gets is lost."""
        scene = Play([f"b{n}" for n in range(4)])
        scene.drive(
            "b2 answers with errors in every second second",
            12,
            lambda b, at, n: (
                (5, Outcome.SERVER_ERROR) if b == "b2" and at // 1000 % 2 else (20, Outcome.SUCCESS)
            ),
            mixed=True,
        )
        self.check("untrue_flapping", scene.lines)

    def test_one_that_this_node_alone_cannot_reach(self):
        """Probes pass and trips get no answer: a probe admits a trial, of harmless work, later each time."""
        scene = Play([f"b{n}" for n in range(4)])
        scene.drive(
            "b3 swallows what this node sends",
            12,
            lambda b, at, n: (990, Outcome.TIMEOUT) if b == "b3" else (20, Outcome.SUCCESS),
            mixed=True,
        )
        self.check("untrue_hole", scene.lines)

    def test_a_way_on_which_a_third_is_lost(self):
        """Two of four are behind it: they go on being used as far as they are well, and no one-shot twice."""
        scene = Play([listed(f"b{n}", zone="east" if n < 2 else "west") for n in range(4)])
        scene.drive(
            "a third of what goes west is lost",
            12,
            lambda b, at, n: (
                (600, Outcome.CONNECTION_RESET)
                if b > "b1" and n % 3 == 2
                else (20, Outcome.SUCCESS)
            ),
            mixed=True,
        )
        self.check("untrue_way", scene.lines)


class Gone(TraceTest):
    def test_listed_gone_and_answering(self):
        """Where only draining binds, what is listed as gone is sent to as long as trials find it well."""
        lines = []
        for binds in (True, False):
            scene = Play(["b0", "b1"], removal_binds=binds)
            scene.drive(f"gone binds {binds}", 1, lambda b, at, n: (20, Outcome.SUCCESS))
            scene.list([listed("b1", EndpointState.REMOVED)])
            scene.drive(
                "b1 is listed as gone and answers", 3, lambda b, at, n: (20, Outcome.SUCCESS)
            )
            scene.drive(
                "b1 is down",
                12,
                lambda b, at, n: (
                    (5, Outcome.CONNECT_FAILED) if b == "b1" else (20, Outcome.SUCCESS)
                ),
            )
            scene.say(f"b1 is {scene.node.endpoints.state[scene.node.endpoints.index['b1']]}")
            scene.list([listed("b0", EndpointState.DRAINING)])
            scene.list([listed("b0", EndpointState.REMOVED)])
            scene.say(
                f"b0 drained, then gone: it is {scene.node.endpoints.state[scene.node.endpoints.index['b0']]}"
            )
            lines += scene.lines
        self.check("untrue_gone", lines)

    def test_a_link_to_what_is_listed_as_gone(self):
        """The host's side: a trip to it is carried out where only draining binds."""
        lines = []
        for binds in (True, False):
            desk = Desk(["b0"], removal_binds=binds)
            for status in ("DELETED", "DRAINING", "DELETED"):
                desk.tell(
                    EndpointsUpdated(
                        {"index": 2, "snapshot": False, "endpoints": [entry("b0", status)]}
                    )
                )
                desk.after(200)
                backend = desk.reducer.endpoints.records["b0"]
                left_alone = desk.reducer.endpoints.is_draining(backend)
                lines.append(f"gone binds {binds}, {status}: left alone {left_alone}")
            desk.after(60000)
            desk.tell(EndpointsUpdated({"index": 3, "snapshot": False, "endpoints": []}))
            lines.append(f"after a minute known: {list(desk.reducer.endpoints.records)}")
        self.check("untrue_link", lines)
