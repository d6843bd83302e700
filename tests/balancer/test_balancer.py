"""Decisions of a balancer in short scenarios, compared with the traces in tests/traces/."""

import random

from pierglade.balancer.balancer import Balancer
from pierglade.model.endpoint import EndpointState, LoadReport, LoadReportSource
from pierglade.model.outcome import Outcome
from pierglade.model.request import Idempotency, Request
from pierglade.tenants.registry import TenantRegistry
from tests.support.scene import MS, BalancerHarness, TraceTest, listed


class Rotation(TraceTest):
    def learn_pauses(self, balancer_harness):
        for _ in range(3):
            balancer_harness.flow(60)
            balancer_harness.flow(6, slow=("b1",))
            balancer_harness.after(200)
        return balancer_harness

    def test_skips_a_forecast_pause_and_rejoins(self):
        balancer_harness = self.learn_pauses(BalancerHarness(["b0", "b1", "b2"]))
        balancer_harness.flow(60)
        balancer_harness.flow(30)
        self.check("forecast", balancer_harness.lines)

    def test_stale_forecast_does_not_starve_a_backend(self):
        balancer_harness = self.learn_pauses(BalancerHarness(["b0", "b1", "b2"]))
        balancer_harness.flow(40)
        balancer_harness.after(60000)
        balancer_harness.flow(30)
        self.check("stale", balancer_harness.lines)

    def test_skips_backend_with_too_many_attempts_in_flight(self):
        balancer_harness = BalancerHarness(["b0", "b1", "b2"])
        for n in range(9):
            balancer_harness.take(f"i{n}")
            balancer_harness.after(5)
            for name in balancer_harness.out():
                if (
                    balancer_harness.node.endpoints.names[
                        balancer_harness.requests[name].attempts[-1].backend
                    ]
                    != "b1"
                ):
                    balancer_harness.end(name, note=False)
        self.check("crowded", balancer_harness.lines)

    def test_rotation_follows_weight_and_latency_level(self):
        balancer_harness = BalancerHarness([listed("small"), listed("large", weight=2.0)])
        balancer_harness.flow(30)
        balancer_harness.record("large takes three times as long, one request per second")
        for _ in range(24):
            balancer_harness.flow(1, slow=("large",), slow_took=60)
            balancer_harness.after(1000)
        self.check("weights", [line.replace("1 went to", "to") for line in balancer_harness.lines])

    def one_of_many_nodes(self, **changes):
        """A scenario of one node of many, without quotas, and twelve backends."""
        return BalancerHarness(
            [f"b{n}" for n in range(12)],
            tenants=TenantRegistry(),
            node_count=70,
            may_check_health=False,
            **changes,
        )

    def stream(
        self, balancer_harness, seconds, every_ms, took=40, report=None, hint=None, shed_each=0
    ):
        """Sends and answers requests at an even pace, each with the load `report`, and prints counts.

        For each request, `shed_each` further ones arrive whose clients disconnect at once.
        """
        lines, balancer_harness.lines = balancer_harness.lines, []
        sent = unsent = 0
        for n in range(int(seconds * 1000 / every_ms)):
            request = balancer_harness.take("s", hint=hint[n % len(hint)] if hint else 0)
            for _ in range(shed_each):
                abandoned = Request(
                    "left",
                    balancer_harness.settings.request_classes[0],
                    None,
                    balancer_harness.now,
                    balancer_harness.now + 1000 * MS,
                )
                balancer_harness.node.request_received(balancer_harness.now, abandoned)
                balancer_harness.node.client_disconnected(balancer_harness.now, abandoned)
            balancer_harness.after(every_ms)
            for attempt in request.attempts:
                if report:
                    balancer_harness.node.load_reported(
                        balancer_harness.now,
                        balancer_harness.node.endpoints.names[attempt.backend],
                        report,
                    )
                balancer_harness.node.attempt_ended(
                    balancer_harness.now, attempt, Outcome.SUCCESS, took * MS, True
                )
                balancer_harness.pull()
            sent += bool(request.attempts)
            unsent += not request.attempts
        balancer_harness.lines = lines
        node = balancer_harness.node
        balancer_harness.record(
            f"{sent} sent, {unsent} not; subset of {len(node.rotation.subset)}, traffic share {node.load_reports.traffic_share:.1f}, growth "
            f"{node.load_reports._growth:.1f}, {'back-off' if balancer_harness.now < node.load_reports._backoff_until else 'no back-off'}"
        )

    def test_without_quotas_subset_and_traffic_share_follow_received_requests(self):
        """The subset and the traffic share follow the received requests and the load reports.

        With the same share for each node and all backends in each subset, busy nodes rejected requests
        although backends had capacity. By all requests received instead of answers, nodes overloaded the
        fleet.
        """
        balancer_harness = self.one_of_many_nodes(load_report_source=LoadReportSource.RESPONSES)
        load = LoadReport(throughput=30.0, utilization=0.6)
        balancer_harness.record("four requests per second, of 360 that the twelve backends report")
        self.stream(balancer_harness, 10, 250, report=load)
        balancer_harness.record("twenty-five requests per second")
        self.stream(balancer_harness, 60, 40, report=load)
        balancer_harness.record(
            "half of the backends are removed; the others report full utilization"
        )
        balancer_harness.list([listed(f"b{n}", EndpointState.REMOVED) for n in range(6)])
        self.stream(balancer_harness, 10, 40, report=LoadReport(throughput=60.0, utilization=1.0))
        balancer_harness.record("all nodes receive eight times what they answer")
        self.stream(
            balancer_harness,
            20,
            40,
            report=LoadReport(throughput=60.0, utilization=1.0),
            shed_each=7,
        )
        self.check("learned", balancer_harness.lines)

    def test_initial_health_checks_where_only_they_report_load(self):
        """The first load report does not wait for a fixed number of attempts.

        With one health check per 20 attempts and twelve attempts per second, it came after two seconds.
        """
        balancer_harness = BalancerHarness(
            [f"b{n}" for n in range(6)],
            tenants=TenantRegistry(),
            node_count=2,
            load_report_source=LoadReportSource.HEALTH_CHECKS,
        )
        for n in range(30):
            balancer_harness.take(f"i{n}")
            balancer_harness.after(80)
            balancer_harness.end(f"i{n}", note=False)
            for line in balancer_harness.lines:
                if "check health" in line:
                    balancer_harness.node.load_reported(
                        balancer_harness.now, line.split()[-1], LoadReport(utilization=0.5)
                    )
        self.check(
            "first_probes", [line for line in balancer_harness.lines if "check health" in line]
        )

    def test_prefers_own_zone_if_crossing_zones_is_expensive(self):
        """Backends in the own zone come first where crossing zones costs more than it gains.

        The rotation covered all zones alike, and three of four requests crossed zones.
        """
        lines = []
        for cross_zone_penalty in (0.01, 0.1):
            balancer_harness = BalancerHarness(
                [listed(f"b{n}", zone="east" if n < 2 else "west") for n in range(6)],
                zone="east",
                cross_zone_penalty=cross_zone_penalty,
            )
            balancer_harness.record(f"cross-zone penalty {cross_zone_penalty}")
            balancer_harness.flow(9)
            balancer_harness.record("six at once: the own zone is full")
            for n in range(6):
                balancer_harness.take(f"i{n}")
            for n in range(6):
                balancer_harness.end(f"i{n}", note=False)
            balancer_harness.record("both backends of the own zone refuse connections")
            for n in range(8):
                balancer_harness.take("r")
                east = (
                    balancer_harness.node.endpoints.names[
                        balancer_harness.requests["r"].attempts[-1].backend
                    ]
                    < "b2"
                )
                balancer_harness.end(
                    "r", Outcome.CONNECT_FAILED if east else Outcome.SUCCESS, note=False
                )
                for name in balancer_harness.out():
                    balancer_harness.end(name, note=False)
            lines += [line for line in balancer_harness.lines if "check health" not in line]
        self.check("own_zone", lines)

    def test_a_tenant_slow_at_every_backend(self):
        """A tenant whose requests are slow everywhere does not make backends look slow.

        Its requests made one backend after the other look slow, and all requests look longer than they are.
        """
        balancer_harness = BalancerHarness([f"b{n}" for n in range(4)])
        north, south = balancer_harness.settings.tenants
        pending = []
        for phase, latency, seconds in (
            ("normal", 20, 3),
            ("slow", 130, 6),
            ("normal again", 20, 8),
            ("always late", 600, 6),
            ("normal at the end", 20, 9),
        ):
            counts = {"north": [0, 0], "south": [0, 0]}
            ejected_steps, lines, balancer_harness.lines = 0, balancer_harness.lines, []
            for n in range(seconds * 50):
                n = (phase, n)
                for place, tenant in enumerate((north, south)[: 1 + (n[1] % 3 == 0)]):
                    request = balancer_harness.take((n, place), tenant=tenant)
                    counts[tenant.name][0 if request.attempts else 1] += 1
                    pending.append((n, place))
                balancer_harness.after(20)
                for name in list(pending):
                    request = balancer_harness.requests[name]
                    attempt = request.attempts[-1] if request.attempts else None
                    duration = latency if request.tenant is south else 20
                    if request.in_flight and (
                        attempt.cancelled or balancer_harness.now >= attempt.sent_at + duration * MS
                    ):
                        balancer_harness.end(
                            name,
                            Outcome.CANCELLED if attempt.cancelled else Outcome.SUCCESS,
                            note=False,
                        )
                    if request.completed and not request.in_flight:
                        pending.remove(name)
                ejected_steps += bool(balancer_harness.node.ejections.ejected)
            balancer_harness.lines = lines
            balancer_harness.record(
                f"south {phase}: north {counts['north']}, south {counts['south']} sent and not sent at once; "
                f"typical {balancer_harness.node.request_stats.classes[0].typical // MS:.0f} ms, levels "
                f"{[round(level, 1) for level in balancer_harness.node.outliers.latency_level]}, some ejected for {ejected_steps * 20} ms"
            )
        self.check("tenant_slow", balancer_harness.lines)

    def test_limit_growth_from_utilization_alone(self):
        """The limit grows where reports have only a utilization, and only while they are fresh.

        Without growth, a node of forty rejected a third of its requests beside idle backends. Growing by
        reports from before the load, the limit rose fourfold in three seconds and overloaded all backends.
        """
        lines = []
        for load, every_s, until_s in ((0.3, 0.2, 3), (0.95, 0.2, 3), (0.0, 0.2, 0.2), (0.6, 1, 3)):
            balancer_harness = self.one_of_many_nodes(
                load_report_source=LoadReportSource.HEALTH_CHECKS
            )
            for n in range(150):
                if n * 20 % (every_s * 1000) == 0 and n * 20 < until_s * 1000:
                    for name in balancer_harness.node.endpoints.names:
                        balancer_harness.node.load_reported(
                            balancer_harness.now, name, LoadReport(utilization=load)
                        )
                balancer_harness.take(n)
                balancer_harness.after(20)
            lines.append(
                f"utilization {load}, reported every {every_s} s for {until_s} s: "
                f"growth {balancer_harness.node.load_reports._growth:.1f} after 3 s"
            )
        self.check("room_by_cores", lines)

    def test_common_slowdown_starts_one_synchronized_back_off(self):
        """All nodes back off at the same time when all backends are slower.

        The absence of reports was taken for a slowdown, and the requests of the first seconds were
        rejected.
        """
        balancer_harness = self.one_of_many_nodes(load_report_source=LoadReportSource.RESPONSES)
        self.stream(balancer_harness, 8, 25)
        self.stream(balancer_harness, 10, 25, report=LoadReport(throughput=30.0, utilization=0.8))
        balancer_harness.record("all at half of their throughput")
        for _ in range(9):
            self.stream(
                balancer_harness, 1, 25, report=LoadReport(throughput=15.0, utilization=0.95)
            )
        balancer_harness.record("recovered after the back-off")
        self.stream(balancer_harness, 4, 25, report=LoadReport(throughput=30.0, utilization=0.8))
        self.check("rest_in_step", balancer_harness.lines)

    def test_hinted_heavy_requests_are_no_pause(self):
        """Heavy requests with a cost hint are not taken for a pause of the backend.

        Their answers also were taken for signs of overload.
        """
        lines = []
        for hint in (None, 120):
            balancer_harness = BalancerHarness(["b0", "b1", "b2"])
            for n in range(60):
                is_heavy = n % 20 > 14
                balancer_harness.take("h", hint=hint and (hint * 6 if is_heavy else hint))
                balancer_harness.after(240 if is_heavy else 40)
                balancer_harness.end("h", note=False)
            reasons = [reason for reason in balancer_harness.node.ejections.reason]
            lines.append(
                f"hints {hint}: {reasons}, typical {balancer_harness.node.request_stats.classes[0].typical / MS:.0f} ms, levels "
                + " ".join(f"{level:.2f}" for level in balancer_harness.node.outliers.latency_level)
            )
        self.check("hints", lines)

    def test_cold_backends_get_a_fraction_of_the_answered_rate(self):
        """The rate at cold backends follows from the answered, not the received, requests.

        By the received requests, a cold backend got 4.5 times its capacity and was overloaded.
        """
        lines = []
        for is_answered in (0, 1):
            balancer_harness = self.one_of_many_nodes(load_report_source=LoadReportSource.RESPONSES)
            for n in range(200):
                request = balancer_harness.take("s", left=400)
                balancer_harness.after(40)
                for attempt in request.attempts * is_answered:
                    balancer_harness.node.attempt_ended(
                        balancer_harness.now, attempt, Outcome.SUCCESS, 40 * MS, True
                    )
            balancer_harness.list(["b12"])
            lines.append(
                f"received {balancer_harness.node.rotation.request_rate * 10000:.0f} per second, a warm backend gets "
                f"{balancer_harness.node.slow_start.warm_rate * 10000:.1f} by the answered rate"
            )
        self.check("cold_settled", lines)

    def test_many_nodes_use_small_subsets(self):
        lines, names = [], [f"b{n}" for n in range(12)]
        for number in (3, 4):
            balancer_harness = BalancerHarness(
                names, node_count=20, node_number=number, tenants=TenantRegistry({"north": 20.0})
            )
            balancer_harness.record(f"node {number}")
            balancer_harness.flow(6)
            request = balancer_harness.take("a")
            failed = balancer_harness.node.endpoints.names[request.attempts[0].backend]
            balancer_harness.after(5)
            balancer_harness.end("a", Outcome.CONNECT_FAILED)
            balancer_harness.after(20)
            balancer_harness.end("a")
            balancer_harness.flow(6)
            balancer_harness.list([listed(failed, EndpointState.REMOVED), "b12"])
            balancer_harness.flow(6)
            lines += balancer_harness.lines
        self.check("view", lines)


class Health(TraceTest):
    def test_delays_of_the_process_are_no_pause_of_fast_backends(self):
        """Delays of the own process are not taken for pauses of the backends.

        Answers take 0.2 ms, then 4 ms each because the process is delayed, and one attempt stays unanswered
        for longer.
        """
        balancer_harness = BalancerHarness(["b0", "b1"])
        balancer_harness.flow(400, took=0.2)
        balancer_harness.flow(8, took=4)
        balancer_harness.lines = []
        balancer_harness.take("a")
        balancer_harness.after(8)
        balancer_harness.record(f"ejections {balancer_harness.node.ejections.reason}")
        balancer_harness.after(60)
        balancer_harness.record(f"ejections {balancer_harness.node.ejections.reason}")
        self.check("grain", balancer_harness.lines)

    def test_hang_is_no_pause(self):
        balancer_harness = BalancerHarness(["b0", "b1", "b2"], dead=("b1",))
        balancer_harness.flow(30)
        for n in range(6):
            balancer_harness.take(f"i{n}", request_class=(0, 1, 2)[n % 3])
        for _ in range(12):
            balancer_harness.after(20)
            for name in balancer_harness.out():
                attempt = balancer_harness.requests[name].attempts[-1]
                if balancer_harness.node.endpoints.names[attempt.backend] != "b1":
                    balancer_harness.end(name)
                elif attempt.cancelled:
                    balancer_harness.end(name, Outcome.CANCELLED)
        balancer_harness.record(
            f"b1 is {balancer_harness.node.ejections.reason[balancer_harness.node.endpoints.index['b1']]}, "
            f"known pauses: {len(balancer_harness.node.pause_forecast.pauses[balancer_harness.node.endpoints.index['b1']])}"
        )
        self.check("hang", balancer_harness.lines)

    def test_single_heavy_request_is_no_silence(self):
        """A single heavy request does not make a backend unresponsive.

        One of forty nodes has one attempt in flight per backend. Judged by the mean latency alone, a third
        of the healthy backends were ejected as unresponsive at any time.
        """
        rng, lines = random.Random(9), []
        for spread in (1.2, 0.1):
            balancer_harness = BalancerHarness([f"b{n}" for n in range(4)])
            ejected_count = 0
            for _ in range(600):
                request = balancer_harness.take("i")
                for _ in range(int(min(990, 20 * rng.lognormvariate(-(spread**2) / 2, spread)))):
                    balancer_harness.after(1)
                if request.in_flight:
                    balancer_harness.end("i", note=False)
                ejected_count += bool(balancer_harness.node.ejections.ejected)
                balancer_harness.after(100)
            # Where latencies are alike, six times the mean is still silence.
            balancer_harness.take("unanswered")
            balancer_harness.after(150)
            lines.append(
                f"spread {spread}: a backend was ejected after {ejected_count} of 600 answers; "
                f"150 ms without an answer: {[reason for reason in balancer_harness.node.ejections.reason if reason]}"
            )
        self.check("heavy", lines)

    def test_restarted_backend_is_healthy_at_once(self):
        """A restarted backend is not ejected for the errors of its previous process.

        After an outage of a zone, each node skipped its backends for seconds.
        """
        balancer_harness = BalancerHarness(["b0", "b1"])
        for n in range(4):
            balancer_harness.take(f"i{n}")
            at_b1 = (
                balancer_harness.node.endpoints.names[
                    balancer_harness.requests[f"i{n}"].attempts[-1].backend
                ]
                == "b1"
            )
            balancer_harness.end(f"i{n}", Outcome.CONNECT_FAILED if at_b1 else Outcome.SUCCESS)
        balancer_harness.flow(4)
        balancer_harness.list([listed("b1", EndpointState.REMOVED)])
        balancer_harness.list([listed("b1", started=balancer_harness.now)])
        balancer_harness.after(300)
        balancer_harness.flow(6)
        self.check("restarted_well", balancer_harness.lines)

    def test_fast_errors_do_not_attract_requests(self):
        balancer_harness = BalancerHarness(["b0", "b1", "b2"])
        balancer_harness.flow(12)
        for n in range(12):
            balancer_harness.take(f"i{n}")
            balancer_harness.after(2)
            for name in balancer_harness.out():
                at_b1 = (
                    balancer_harness.node.endpoints.names[
                        balancer_harness.requests[name].attempts[-1].backend
                    ]
                    == "b1"
                )
                balancer_harness.end(
                    name, Outcome.REJECTED_UNPROCESSED if at_b1 else Outcome.SUCCESS, note=at_b1
                )
        balancer_harness.after(200)
        balancer_harness.flow(9)
        self.check("quick_errors", balancer_harness.lines)

    def test_fast_first_answer_makes_no_backend_unresponsive(self):
        balancer_harness = BalancerHarness(["b0", "b1", "b2"])
        for n in range(3):
            balancer_harness.take(f"i{n}")
        balancer_harness.after(2)
        balancer_harness.end("i0")
        balancer_harness.after(60)
        balancer_harness.end("i1")
        balancer_harness.end("i2")
        self.check("first_answer", balancer_harness.lines)

    def test_node_recovers_after_all_backends_failed(self):
        balancer_harness = BalancerHarness(["b0", "b1"])
        for n in range(2):
            balancer_harness.take(f"i{n}")
            balancer_harness.end(f"i{n}", Outcome.CONNECT_FAILED)
        balancer_harness.after(160)
        balancer_harness.flow(4)
        self.check("all_failed", balancer_harness.lines)

    def test_trial_requests_use_the_safest_kind_received(self):
        """Trial requests use the safest kind of idempotency among recent requests.

        When clients stopped sending the only safe class, no ejected backend was tried again. When the kind
        depended on time instead of counts, nodes with a few requests per second tried with unsafe requests
        and lost them.
        """
        lines = []
        for request_class, safe_interval in ((1, 0), (2, 0), (2, 60), (2, 200)):
            balancer_harness, trials = BalancerHarness(["b0", "b1"]), []
            for n in range(400):
                balancer_harness.after(300)
                class_index = 0 if safe_interval and n % safe_interval == 0 else request_class
                attempt = balancer_harness.take("i", request_class=class_index).attempts[-1]
                at_b1 = balancer_harness.node.endpoints.names[attempt.backend] == "b1"
                trials += [
                    f"{balancer_harness.settings.request_classes[class_index].idempotency} as number {n}"
                ] * attempt.is_trial
                balancer_harness.end(
                    "i", Outcome.CONNECT_FAILED if at_b1 else Outcome.SUCCESS, note=False
                )
                for name in balancer_harness.out():
                    balancer_harness.end(name, note=False)
            name = balancer_harness.settings.request_classes[request_class].idempotency
            lines.append(
                f"{name}, one of {safe_interval} safe: {len(trials)} trial requests, {', '.join(trials[:3])}"
            )
        self.check("trial_of_what_comes", lines)

    def test_trial_request_is_sent_though_healthy_backends_are_full(self):
        balancer_harness = BalancerHarness(["b0", "b1"])
        balancer_harness.take("lost", request_class=2)
        balancer_harness.end("lost", Outcome.CONNECT_FAILED)
        for n in range(9):
            balancer_harness.take(f"i{n}", request_class=0 if n else 2)
        balancer_harness.after(155)
        balancer_harness.take("unsafe", request_class=2)
        balancer_harness.take("late")
        balancer_harness.after(10)
        balancer_harness.end("late")
        self.check("held_back", balancer_harness.lines)


class Rules(TraceTest):
    def test_each_request_class_after_each_outcome(self):
        lines = []
        for outcome in (
            Outcome.REJECTED_UNPROCESSED,
            Outcome.CONNECT_FAILED,
            Outcome.NOT_SENT,
            Outcome.SERVER_ERROR,
            Outcome.CONNECTION_RESET,
            Outcome.TIMEOUT,
            Outcome.CANCELLED,
        ):
            for request_class, name in enumerate(("safe", "keyed", "unsafe")):
                balancer_harness = BalancerHarness(
                    ["b0", listed("w0", zone="west"), listed("w1", zone="west")]
                )
                balancer_harness.take(name, request_class)
                balancer_harness.after(5)
                balancer_harness.end(name, outcome)
                lines += balancer_harness.lines
        self.check("outcomes", lines)

    def test_keyed_retry_stays_in_its_zone_and_deduplication_window(self):
        balancer_harness = BalancerHarness(["b0", listed("w0", zone="west")], seed=1)
        balancer_harness.take("a", 1)
        balancer_harness.after(5)
        balancer_harness.end("a", Outcome.SERVER_ERROR)
        balancer_harness.list(
            [
                listed(
                    "b2",
                    zone=balancer_harness.node.endpoints.zone[
                        balancer_harness.requests["a"].attempts[0].backend
                    ],
                )
            ]
        )
        balancer_harness.after(10)
        balancer_harness.take("b", 1)
        balancer_harness.after(310)
        balancer_harness.end("b", Outcome.SERVER_ERROR)
        self.check("stamped", balancer_harness.lines)

    def test_only_a_keyed_retry_has_to_be_written_by_the_end_of_its_window(self):
        """The window counts from the first attempt that may have been executed."""
        balancer_harness, lines = BalancerHarness(["b0", "b1", "b2"], max_attempts=4), []
        for name, request_class, outcomes in (
            ("look", 0, (Outcome.SERVER_ERROR,)),
            ("hold", 1, (Outcome.CONNECT_FAILED, Outcome.SERVER_ERROR)),
        ):
            request = balancer_harness.take(name, request_class)
            for outcome in outcomes:
                balancer_harness.after(20)
                balancer_harness.end(name, outcome, note=False)
            lines += [
                (name, attempt.write_by and attempt.write_by - request.arrived_at)
                for attempt in request.attempts
            ]
        self.assertEqual(
            lines,
            [("look", None)] * 2 + [("hold", None)] * 2 + [("hold", (20 + 300) * MS)],
        )

    def test_request_deadline(self):
        balancer_harness = BalancerHarness([])
        balancer_harness.take("a")
        balancer_harness.take("short", left=30)
        balancer_harness.after(400)
        balancer_harness.list(["b0"])
        balancer_harness.take("b", 2, left=200)
        balancer_harness.after(200)
        balancer_harness.end("b", Outcome.TIMEOUT)
        self.check("limit", balancer_harness.lines)

    def test_late_repeat_is_recognized_by_its_time_left(self):
        balancer_harness = BalancerHarness(["b0"])
        for n in range(3):
            balancer_harness.take(f"first{n}", left=600)
        balancer_harness.node.client_disconnected(
            balancer_harness.now, balancer_harness.requests["first0"]
        )
        balancer_harness.pull()
        balancer_harness.take("repeat", left=500)
        balancer_harness.take("long repeat", left=900)
        balancer_harness.take("another first", left=600)
        self.check("repeat", balancer_harness.lines)

    def test_clients_with_shorter_timeouts_are_no_repeats(self):
        """There are no more repeats than unanswered requests."""
        balancer_harness = BalancerHarness(["b0"])
        for n in range(4):
            balancer_harness.take(f"first{n}", left=600)
        for n in range(2):
            balancer_harness.take(f"short{n}", left=500)
        self.check("impatient", balancer_harness.lines)

    def test_backends_with_ever_new_names(self):
        """A reused index keeps nothing of its previous backend, and the arrays stop growing."""
        balancer_harness = BalancerHarness(["b0", "n0"])
        for n in range(60):
            attempts = balancer_harness.take("a").attempts
            while attempts and attempts[-1].outcome is None:
                balancer_harness.end(
                    "a",
                    Outcome.SUCCESS
                    if balancer_harness.node.endpoints.names[attempts[-1].backend] == "b0"
                    else Outcome.CONNECT_FAILED,
                )
            balancer_harness.list([listed(f"n{n}", EndpointState.REMOVED), listed(f"n{n + 1}")])
            balancer_harness.after(500)
        balancer = balancer_harness.node
        self.assertLess(len(balancer.endpoints.names), 9)
        self.assertEqual(len(balancer.endpoints.index), len(balancer.endpoints.names))
        self.assertLess(len(balancer.ejections.ejected), 9)

    def test_losses_shared_by_all_backends_eject_none(self):
        """Resets at every backend eject none; one that loses nearly all attempts is still ejected."""
        balancer_harness = BalancerHarness([f"b{n}" for n in range(4)], seed=1)
        draw = random.Random(5).random
        loss_rates, ejected = {}, set()
        for n in range(600):
            attempts = balancer_harness.take("a", request_class=2).attempts
            balancer_harness.after(5)
            if attempts:
                backend = balancer_harness.node.endpoints.names[attempts[-1].backend]
                balancer_harness.end(
                    "a",
                    Outcome.CONNECTION_RESET
                    if draw() < loss_rates.get(backend, 0.12)
                    else Outcome.SUCCESS,
                    note=False,
                )
            ejected.update(
                (n // 401, balancer_harness.node.endpoints.names[index])
                for index in balancer_harness.node.ejections.ejected
            )
            if n == 400:
                loss_rates["b2"] = 0.95
        self.assertEqual(ejected, {(1, "b2")})

    def test_request_lost_at_every_backend_is_answered_at_once(self):
        """A request that no other backend can take is answered at once.

        Queued for backends that it may not return to, it was rejected 0.38 s later.
        """
        balancer_harness = BalancerHarness(["b0", "b1"])
        balancer_harness.take("a")
        balancer_harness.end("a", Outcome.CONNECT_FAILED)
        balancer_harness.after(1)
        balancer_harness.end("a", Outcome.CONNECT_FAILED)
        balancer_harness.after(500)
        self.check("lost_everywhere", balancer_harness.lines)

    def test_backend_drains_and_returns(self):
        balancer_harness = BalancerHarness(["b0", "b1"])
        balancer_harness.flow(4)
        balancer_harness.list([listed("b1", EndpointState.DRAINING)])
        balancer_harness.flow(4)
        balancer_harness.list(
            [listed("b1", EndpointState.REMOVED), listed("b9", EndpointState.REMOVED)]
        )
        balancer_harness.list(["b2"])
        balancer_harness.flow(4)
        balancer_harness.list(["b1"], whole=True)
        balancer_harness.flow(4)
        self.check("list", balancer_harness.lines)

    def test_answers_count_while_no_backend_is_ready(self):
        """With an empty rotation the limit was 0, and each good answer divided by it."""
        balancer_harness = BalancerHarness(["b0"])
        for name in ("a", "b", "c"):
            balancer_harness.take(name, request_class=2)
        balancer_harness.list([listed("b0", EndpointState.DRAINING)])
        balancer_harness.take("held")
        for name in ("a", "b"):
            balancer_harness.after(20)
            balancer_harness.end(name)
        balancer_harness.end("c", Outcome.REJECTED_UNPROCESSED)
        balancer_harness.after(30)
        balancer_harness.list(["b1"])
        balancer_harness.end("held")
        balancer_harness.flow(4)
        self.check("none_ready", balancer_harness.lines)

    def test_removed_slow_backend_is_no_longer_slow(self):
        balancer_harness = BalancerHarness(["b0", "b1", "b3"])
        index = balancer_harness.node.endpoints.index["b1"]
        balancer_harness.flow(90, took=8)
        balancer_harness.flow(12, slow=("b1",), took=8, slow_took=47)
        balancer_harness.record(
            f"b1 is {balancer_harness.node.ejections.reason[index]}, slow backends: {balancer_harness.node.ejections.slow_count}"
        )
        balancer_harness.list([listed("b1", EndpointState.REMOVED)])
        balancer_harness.record(
            f"b1 is {balancer_harness.node.endpoints.state[index]}, slow backends: {balancer_harness.node.ejections.slow_count}"
        )
        balancer_harness.after(61000)
        balancer_harness.list(["b2"])
        balancer_harness.record(
            f"b2 has the index of b1: {balancer_harness.node.endpoints.index['b2'] == index}, ejection: {balancer_harness.node.ejections.reason[index]}"
        )
        balancer_harness.flow(4)
        self.check("slow_and_gone", balancer_harness.lines)

    def test_cold_backend_receives_a_limited_rate(self):
        balancer_harness = BalancerHarness(["b0", "b1"], tenants=TenantRegistry({"north": 100.0}))
        balancer_harness.flow(40, took=10)
        balancer_harness.list([listed("cold", started=balancer_harness.now)])
        balancer_harness.flow(40, took=10)
        balancer_harness.after(8000)
        balancer_harness.flow(12, took=10)
        self.check("cold", balancer_harness.lines)

    def test_restart_from_an_old_list(self):
        balancer_harness = BalancerHarness(
            ["b0", "gone", listed("cold", started=9000 * MS)],
            tenants=TenantRegistry({"north": 20.0}),
        )
        balancer_harness.take("a", 2)
        balancer_harness.take("b", 2)
        balancer_harness.after(100)
        for name in ("a", "b"):
            at_gone = (
                balancer_harness.node.endpoints.names[
                    balancer_harness.requests[name].attempts[-1].backend
                ]
                == "gone"
            )
            balancer_harness.end(name, Outcome.CONNECT_FAILED if at_gone else Outcome.SUCCESS)
        balancer_harness.list(["b0", listed("cold", started=9000 * MS)], whole=True)
        balancer_harness.flow(6)
        self.check("restart", balancer_harness.lines)


class Budget(TraceTest):
    BUDGET_SETTINGS = dict(
        retry_budget_window=5000 * MS, retry_budget_minimum=3, retry_budget_ratio=0.2
    )

    def test_no_window_exceeds_the_budget(self):
        """No window of time has more retries than the budget allows.

        A budget that holds on average was exceeded by bursts of losses. Each window is checked, over
        losses, silences, and quiet and busy periods. Also counts requests that fail although the budget has
        capacity.
        """
        lines = []
        for seed in range(3):
            rng = random.Random(seed)
            balancer_harness = BalancerHarness([f"b{n}" for n in range(4)], **self.BUDGET_SETTINGS)
            received_at, retried_at, exceeded, premature = [], [], 0, 0
            send, final_answer = (
                balancer_harness.node.dispatch.send,
                balancer_harness.node.dispatch.final_answer,
            )

            def recording_send(request, backend, now, send=send):
                if request.attempts:
                    retried_at.append(now)
                return send(request, backend, now)

            def recording_final_answer(request, final_answer=final_answer):
                # Requests that fail after one loss with time left, while half of the budget is unused.
                nonlocal premature
                ended_attempts = [attempt for attempt in request.attempts if attempt.outcome]
                retry_count = sum(moment > balancer_harness.now - 50000 for moment in retried_at)
                allowed = 3 + 0.2 * sum(
                    moment > balancer_harness.now - 50000 for moment in received_at
                )
                premature += (
                    len(ended_attempts) == 1
                    and request.request_class.idempotency == Idempotency.SAFE
                    and 2 * retry_count < allowed
                    and not balancer_harness.node.deadlines.is_too_late(
                        request, balancer_harness.now
                    )
                )
                return final_answer(request)

            balancer_harness.node.dispatch.send, balancer_harness.node.dispatch.final_answer = (
                recording_send,
                recording_final_answer,
            )
            for n in range(1500):
                balancer_harness.after(rng.choice((1, 5, 20, 400 if n % 300 > 280 else 10)))
                received_at.append(balancer_harness.now)
                balancer_harness.take(n, request_class=rng.randrange(3))
                for name in balancer_harness.out():
                    if rng.random() < 0.2:
                        is_lost = rng.random() < (0.9 if n % 500 < 60 else 0.1)
                        balancer_harness.end(
                            name, Outcome.SERVER_ERROR if is_lost else Outcome.SUCCESS, note=False
                        )
            for moment in retried_at:
                first = moment - 50000
                exceeded += sum(first <= other <= moment for other in retried_at) > 3 + 0.2 * sum(
                    first < other <= moment for other in received_at
                )
            lines.append(
                f"{len(retried_at) > 30}: many retries, windows exceeded {exceeded}, "
                f"failed with half of the budget left {premature}"
            )
        self.check("budget", lines)

    def test_edges_of_a_window(self):
        """Five requests earn one retry, which returns shortly after the first one leaves the window."""
        balancer_harness = BalancerHarness(
            ["b0", "b1", "b2"], **{**self.BUDGET_SETTINGS, "retry_budget_minimum": 0}
        )
        for n in range(5):
            balancer_harness.take(f"i{n}")
            balancer_harness.end(f"i{n}")
        balancer_harness.lines = []
        for ms in (0, 4999, 2):
            balancer_harness.after(ms)
            for n in range(4 if ms == 2 else 0):
                balancer_harness.take(f"i{n}")
                balancer_harness.end(f"i{n}", note=False)
            balancer_harness.take(f"at {ms}")
            balancer_harness.end(f"at {ms}", Outcome.SERVER_ERROR)
            if balancer_harness.requests[f"at {ms}"].in_flight:
                balancer_harness.end(f"at {ms}")
        balancer_harness.record(
            f"{len(balancer_harness.node.retry_budget.sent_at)} retries, {len(balancer_harness.node.retry_budget.received_at)} requests in the window"
        )
        self.check("budget_edges", balancer_harness.lines)

    def test_budget_is_shared_across_settings(self):
        """A balancer with new settings does not start with a full budget."""
        balancer_harness = BalancerHarness(["b0", "b1", "b2"], **self.BUDGET_SETTINGS)
        for n in range(3):
            balancer_harness.take(f"i{n}")
            balancer_harness.end(f"i{n}", Outcome.SERVER_ERROR)
        after = Balancer(4, balancer_harness.settings, balancer_harness.now, balancer_harness.node)
        self.check(
            "budget_settings",
            [
                f"{balancer_harness.node.retry_budget.remaining(balancer_harness.now)} left, {after.retry_budget.remaining(balancer_harness.now)} after"
            ],
        )


class Overload(TraceTest):
    def test_light_class_with_highest_gain_goes_first(self):
        """The class with the highest gain does not wait for capacity if it is little work.

        One of forty nodes has capacity for two attempts and waits long for one to end. The class with the
        highest gain was then late, and was rejected more often than all others.
        """
        balancer_harness = BalancerHarness(
            [f"b{n}" for n in range(60)], node_count=40, tenants=TenantRegistry({"north": 800.0})
        )
        for n in range(16):
            balancer_harness.take(f"look{n}")
        balancer_harness.after(60)
        balancer_harness.take("pay", request_class=2)
        # The class exceeds the limit by no more than half a second's worth; after that it is no longer
        # light, and the rest waits.
        for n in range(6):
            balancer_harness.take(f"pay{n}", request_class=2)
            balancer_harness.after(10)
        self.check("ahead", balancer_harness.lines)

    def test_overload_is_detected_by_the_oldest_wait(self):
        balancer_harness = BalancerHarness(["b0"])
        north, south = balancer_harness.settings.tenants
        for n in range(14):
            balancer_harness.take(
                f"{'north' if n % 2 else 'south'}{n}", tenant=north if n % 2 else south
            )
            balancer_harness.after(10)
        balancer_harness.after(300)
        self.check("overload", balancer_harness.lines)

    def test_limit_below_one_attempt_holds_on_average(self):
        balancer_harness = BalancerHarness(["b0", "b1", "b2"], node_count=24)
        for n in range(3):
            balancer_harness.take(f"i{n}")
        balancer_harness.after(20)
        for name in balancer_harness.out():
            balancer_harness.end(name)
        balancer_harness.after(90)
        self.check("part", balancer_harness.lines)

    def test_minimum_limit_is_higher_with_few_nodes(self):
        balancer_harness = BalancerHarness([])
        for nodes in (1, 3, 24, 240):
            busy = BalancerHarness([f"b{n}" for n in range(6)], node_count=nodes)
            for _ in range(60):
                busy.flow(1, took=390)
                busy.after(5000)
            min_limit = busy.node.limit.per_backend * nodes
            balancer_harness.record(
                f"{nodes} nodes, six backends: at least {min_limit:.2f} attempts per backend"
            )
        self.check("least", balancer_harness.lines)

    def test_class_with_highest_gain_goes_first(self):
        balancer_harness = BalancerHarness(["b0"])
        for n in range(7):
            balancer_harness.take(f"busy{n}")
        for n in range(4):
            balancer_harness.take(f"look{n}")
            balancer_harness.take(f"pay{n}", 2)
        balancer_harness.after(60)
        for n in range(7):
            balancer_harness.end(f"busy{n}", note=False)
        balancer_harness.after(50)
        self.check("gain", balancer_harness.lines)

    def test_client_disconnects(self):
        balancer_harness = BalancerHarness(["b0"])
        balancer_harness.take("a")
        balancer_harness.node.client_disconnected(
            balancer_harness.now, balancer_harness.requests["a"]
        )
        balancer_harness.pull()
        balancer_harness.end("a", Outcome.CANCELLED)
        balancer_harness.record(f"in flight {balancer_harness.node.limit.in_flight}")
        balancer_harness.take("b")
        balancer_harness.after(150)
        balancer_harness.record(f"in flight {balancer_harness.node.limit.in_flight}")
        self.check("client_gone", balancer_harness.lines)
