"""Decisions of a balancer in short scenarios, compared with the traces in tests/traces/."""

import random

from pierglade.balancer.balancer import Balancer
from pierglade.model.endpoint import EndpointState, LoadReport, LoadReportSource
from pierglade.model.outcome import Outcome
from pierglade.model.request import Idempotency, Request
from pierglade.tenants.registry import TenantRegistry
from tests.support.scene import MS, Scene, TraceTest, listed


class Rotation(TraceTest):
    def learn_pauses(self, scene):
        for _ in range(3):
            scene.flow(60)
            scene.flow(6, slow=("b1",))
            scene.after(200)
        return scene

    def test_skips_a_forecast_pause_and_rejoins(self):
        scene = self.learn_pauses(Scene(["b0", "b1", "b2"]))
        scene.flow(60)
        scene.flow(30)
        self.check("forecast", scene.lines)

    def test_stale_forecast_does_not_starve_a_backend(self):
        scene = self.learn_pauses(Scene(["b0", "b1", "b2"]))
        scene.flow(40)
        scene.after(60000)
        scene.flow(30)
        self.check("stale", scene.lines)

    def test_skips_backend_with_too_many_attempts_in_flight(self):
        scene = Scene(["b0", "b1", "b2"])
        for n in range(9):
            scene.take(f"i{n}")
            scene.after(5)
            for name in scene.out():
                if scene.node.endpoints.names[scene.requests[name].attempts[-1].backend] != "b1":
                    scene.end(name, note=False)
        self.check("crowded", scene.lines)

    def test_rotation_follows_weight_and_latency_level(self):
        scene = Scene([listed("small"), listed("large", weight=2.0)])
        scene.flow(30)
        scene.say("large takes three times as long, one request per second")
        for _ in range(24):
            scene.flow(1, slow=("large",), slow_took=60)
            scene.after(1000)
        self.check("weights", [line.replace("1 went to", "to") for line in scene.lines])

    def one_of_many_nodes(self, **changes):
        """A scenario of one node of many, without quotas, and twelve backends."""
        return Scene(
            [f"b{n}" for n in range(12)],
            tenants=TenantRegistry(),
            node_count=70,
            may_check_health=False,
            **changes,
        )

    def stream(self, scene, seconds, every_ms, took=40, report=None, hint=None, shed_each=0):
        """Sends and answers requests at an even pace, each with the load `report`, and prints counts.

        For each request, `shed_each` further ones arrive whose clients disconnect at once.
        """
        lines, scene.lines = scene.lines, []
        sent = unsent = 0
        for n in range(int(seconds * 1000 / every_ms)):
            request = scene.take("s", hint=hint[n % len(hint)] if hint else 0)
            for _ in range(shed_each):
                abandoned = Request(
                    "left",
                    scene.settings.request_classes[0],
                    None,
                    scene.now,
                    scene.now + 1000 * MS,
                )
                scene.node.request_received(scene.now, abandoned)
                scene.node.client_disconnected(scene.now, abandoned)
            scene.after(every_ms)
            for attempt in request.attempts:
                if report:
                    scene.node.load_reported(
                        scene.now, scene.node.endpoints.names[attempt.backend], report
                    )
                scene.node.attempt_ended(scene.now, attempt, Outcome.SUCCESS, took * MS, True)
                scene.pull()
            sent += bool(request.attempts)
            unsent += not request.attempts
        scene.lines = lines
        node = scene.node
        scene.say(
            f"{sent} sent, {unsent} not; subset of {len(node.rotation.subset)}, traffic share {node.load_reports.traffic_share:.1f}, growth "
            f"{node.load_reports._growth:.1f}, {'back-off' if scene.now < node.load_reports._backoff_until else 'no back-off'}"
        )

    def test_without_quotas_subset_and_traffic_share_follow_received_requests(self):
        """The subset and the traffic share follow the received requests and the load reports.

        With the same share for each node and all backends in each subset, busy nodes rejected requests
        although backends had capacity. By all requests received instead of answers, nodes overloaded the
        fleet.
        """
        scene = self.one_of_many_nodes(load_report_source=LoadReportSource.RESPONSES)
        load = LoadReport(throughput=30.0, utilization=0.6)
        scene.say("four requests per second, of 360 that the twelve backends report")
        self.stream(scene, 10, 250, report=load)
        scene.say("twenty-five requests per second")
        self.stream(scene, 60, 40, report=load)
        scene.say("half of the backends are removed; the others report full utilization")
        scene.list([listed(f"b{n}", EndpointState.REMOVED) for n in range(6)])
        self.stream(scene, 10, 40, report=LoadReport(throughput=60.0, utilization=1.0))
        scene.say("all nodes receive eight times what they answer")
        self.stream(scene, 20, 40, report=LoadReport(throughput=60.0, utilization=1.0), shed_each=7)
        self.check("learned", scene.lines)

    def test_initial_health_checks_where_only_they_report_load(self):
        """The first load report does not wait for a fixed number of attempts.

        With one health check per 20 attempts and twelve attempts per second, it came after two seconds.
        """
        scene = Scene(
            [f"b{n}" for n in range(6)],
            tenants=TenantRegistry(),
            node_count=2,
            load_report_source=LoadReportSource.HEALTH_CHECKS,
        )
        for n in range(30):
            scene.take(f"i{n}")
            scene.after(80)
            scene.end(f"i{n}", note=False)
            for line in scene.lines:
                if "check health" in line:
                    scene.node.load_reported(
                        scene.now, line.split()[-1], LoadReport(utilization=0.5)
                    )
        self.check("first_probes", [line for line in scene.lines if "check health" in line])

    def test_prefers_own_zone_if_crossing_zones_is_expensive(self):
        """Backends in the own zone come first where crossing zones costs more than it gains.

        The rotation covered all zones alike, and three of four requests crossed zones.
        """
        lines = []
        for cross_zone_penalty in (0.01, 0.1):
            scene = Scene(
                [listed(f"b{n}", zone="east" if n < 2 else "west") for n in range(6)],
                zone="east",
                cross_zone_penalty=cross_zone_penalty,
            )
            scene.say(f"cross-zone penalty {cross_zone_penalty}")
            scene.flow(9)
            scene.say("six at once: the own zone is full")
            for n in range(6):
                scene.take(f"i{n}")
            for n in range(6):
                scene.end(f"i{n}", note=False)
            scene.say("both backends of the own zone refuse connections")
            for n in range(8):
                scene.take("r")
                east = scene.node.endpoints.names[scene.requests["r"].attempts[-1].backend] < "b2"
                scene.end("r", Outcome.CONNECT_FAILED if east else Outcome.SUCCESS, note=False)
                for name in scene.out():
                    scene.end(name, note=False)
            lines += [line for line in scene.lines if "check health" not in line]
        self.check("own_zone", lines)

    def test_a_tenant_slow_at_every_backend(self):
        """A tenant whose requests are slow everywhere does not make backends look slow.

        Its requests made one backend after the other look slow, and all requests look longer than they are.
        """
        scene = Scene([f"b{n}" for n in range(4)])
        north, south = scene.settings.tenants
        pending = []
        for phase, latency, seconds in (
            ("normal", 20, 3),
            ("slow", 130, 6),
            ("normal again", 20, 8),
            ("always late", 600, 6),
            ("normal at the end", 20, 9),
        ):
            counts = {"north": [0, 0], "south": [0, 0]}
            ejected_steps, lines, scene.lines = 0, scene.lines, []
            for n in range(seconds * 50):
                n = (phase, n)
                for place, tenant in enumerate((north, south)[: 1 + (n[1] % 3 == 0)]):
                    request = scene.take((n, place), tenant=tenant)
                    counts[tenant.name][0 if request.attempts else 1] += 1
                    pending.append((n, place))
                scene.after(20)
                for name in list(pending):
                    request = scene.requests[name]
                    attempt = request.attempts[-1] if request.attempts else None
                    duration = latency if request.tenant is south else 20
                    if request.in_flight and (
                        attempt.cancelled or scene.now >= attempt.sent_at + duration * MS
                    ):
                        scene.end(
                            name,
                            Outcome.CANCELLED if attempt.cancelled else Outcome.SUCCESS,
                            note=False,
                        )
                    if request.completed and not request.in_flight:
                        pending.remove(name)
                ejected_steps += bool(scene.node.ejections.ejected)
            scene.lines = lines
            scene.say(
                f"south {phase}: north {counts['north']}, south {counts['south']} sent and not sent at once; "
                f"typical {scene.node.request_stats.classes[0].typical // MS:.0f} ms, levels "
                f"{[round(level, 1) for level in scene.node.outliers.latency_level]}, some ejected for {ejected_steps * 20} ms"
            )
        self.check("tenant_slow", scene.lines)

    def test_limit_growth_from_utilization_alone(self):
        """The limit grows where reports have only a utilization, and only while they are fresh.

        Without growth, a node of forty rejected a third of its requests beside idle backends. Growing by
        reports from before the load, the limit rose fourfold in three seconds and overloaded all backends.
        """
        lines = []
        for load, every_s, until_s in ((0.3, 0.2, 3), (0.95, 0.2, 3), (0.0, 0.2, 0.2), (0.6, 1, 3)):
            scene = self.one_of_many_nodes(load_report_source=LoadReportSource.HEALTH_CHECKS)
            for n in range(150):
                if n * 20 % (every_s * 1000) == 0 and n * 20 < until_s * 1000:
                    for name in scene.node.endpoints.names:
                        scene.node.load_reported(scene.now, name, LoadReport(utilization=load))
                scene.take(n)
                scene.after(20)
            lines.append(
                f"utilization {load}, reported every {every_s} s for {until_s} s: "
                f"growth {scene.node.load_reports._growth:.1f} after 3 s"
            )
        self.check("room_by_cores", lines)

    def test_common_slowdown_starts_one_synchronized_back_off(self):
        """All nodes back off at the same time when all backends are slower.

        The absence of reports was taken for a slowdown, and the requests of the first seconds were
        rejected.
        """
        scene = self.one_of_many_nodes(load_report_source=LoadReportSource.RESPONSES)
        self.stream(scene, 8, 25)
        self.stream(scene, 10, 25, report=LoadReport(throughput=30.0, utilization=0.8))
        scene.say("all at half of their throughput")
        for _ in range(9):
            self.stream(scene, 1, 25, report=LoadReport(throughput=15.0, utilization=0.95))
        scene.say("recovered after the back-off")
        self.stream(scene, 4, 25, report=LoadReport(throughput=30.0, utilization=0.8))
        self.check("rest_in_step", scene.lines)

    def test_hinted_heavy_requests_are_no_pause(self):
        """Heavy requests with a cost hint are not taken for a pause of the backend.

        Their answers also were taken for signs of overload.
        """
        lines = []
        for hint in (None, 120):
            scene = Scene(["b0", "b1", "b2"])
            for n in range(60):
                is_heavy = n % 20 > 14
                scene.take("h", hint=hint and (hint * 6 if is_heavy else hint))
                scene.after(240 if is_heavy else 40)
                scene.end("h", note=False)
            reasons = [reason for reason in scene.node.ejections.reason]
            lines.append(
                f"hints {hint}: {reasons}, typical {scene.node.request_stats.classes[0].typical / MS:.0f} ms, levels "
                + " ".join(f"{level:.2f}" for level in scene.node.outliers.latency_level)
            )
        self.check("hints", lines)

    def test_cold_backends_get_a_fraction_of_the_answered_rate(self):
        """The rate at cold backends follows from the answered, not the received, requests.

        By the received requests, a cold backend got 4.5 times its capacity and was overloaded.
        """
        lines = []
        for is_answered in (0, 1):
            scene = self.one_of_many_nodes(load_report_source=LoadReportSource.RESPONSES)
            for n in range(200):
                request = scene.take("s", left=400)
                scene.after(40)
                for attempt in request.attempts * is_answered:
                    scene.node.attempt_ended(scene.now, attempt, Outcome.SUCCESS, 40 * MS, True)
            scene.list(["b12"])
            lines.append(
                f"received {scene.node.rotation.request_rate * 10000:.0f} per second, a warm backend gets "
                f"{scene.node.slow_start.warm_rate * 10000:.1f} by the answered rate"
            )
        self.check("cold_settled", lines)

    def test_many_nodes_use_small_subsets(self):
        lines, names = [], [f"b{n}" for n in range(12)]
        for number in (3, 4):
            scene = Scene(
                names, node_count=20, node_number=number, tenants=TenantRegistry({"north": 20.0})
            )
            scene.say(f"node {number}")
            scene.flow(6)
            request = scene.take("a")
            failed = scene.node.endpoints.names[request.attempts[0].backend]
            scene.after(5)
            scene.end("a", Outcome.CONNECT_FAILED)
            scene.after(20)
            scene.end("a")
            scene.flow(6)
            scene.list([listed(failed, EndpointState.REMOVED), "b12"])
            scene.flow(6)
            lines += scene.lines
        self.check("view", lines)


class Health(TraceTest):
    def test_delays_of_the_process_are_no_pause_of_fast_backends(self):
        """Delays of the own process are not taken for pauses of the backends.

        Answers take 0.2 ms, then 4 ms each because the process is delayed, and one attempt stays unanswered
        for longer.
        """
        scene = Scene(["b0", "b1"])
        scene.flow(400, took=0.2)
        scene.flow(8, took=4)
        scene.lines = []
        scene.take("a")
        scene.after(8)
        scene.say(f"ejections {scene.node.ejections.reason}")
        scene.after(60)
        scene.say(f"ejections {scene.node.ejections.reason}")
        self.check("grain", scene.lines)

    def test_hang_is_no_pause(self):
        scene = Scene(["b0", "b1", "b2"], dead=("b1",))
        scene.flow(30)
        for n in range(6):
            scene.take(f"i{n}", request_class=(0, 1, 2)[n % 3])
        for _ in range(12):
            scene.after(20)
            for name in scene.out():
                attempt = scene.requests[name].attempts[-1]
                if scene.node.endpoints.names[attempt.backend] != "b1":
                    scene.end(name)
                elif attempt.cancelled:
                    scene.end(name, Outcome.CANCELLED)
        scene.say(
            f"b1 is {scene.node.ejections.reason[scene.node.endpoints.index['b1']]}, "
            f"known pauses: {len(scene.node.pause_forecast.pauses[scene.node.endpoints.index['b1']])}"
        )
        self.check("hang", scene.lines)

    def test_single_heavy_request_is_no_silence(self):
        """A single heavy request does not make a backend unresponsive.

        One of forty nodes has one attempt in flight per backend. Judged by the mean latency alone, a third
        of the healthy backends were ejected as unresponsive at any time.
        """
        rng, lines = random.Random(9), []
        for spread in (1.2, 0.1):
            scene = Scene([f"b{n}" for n in range(4)])
            ejected_count = 0
            for _ in range(600):
                request = scene.take("i")
                for _ in range(int(min(990, 20 * rng.lognormvariate(-(spread**2) / 2, spread)))):
                    scene.after(1)
                if request.in_flight:
                    scene.end("i", note=False)
                ejected_count += bool(scene.node.ejections.ejected)
                scene.after(100)
            # Where latencies are alike, six times the mean is still silence.
            scene.take("unanswered")
            scene.after(150)
            lines.append(
                f"spread {spread}: a backend was ejected after {ejected_count} of 600 answers; "
                f"150 ms without an answer: {[reason for reason in scene.node.ejections.reason if reason]}"
            )
        self.check("heavy", lines)

    def test_restarted_backend_is_healthy_at_once(self):
        """A restarted backend is not ejected for the errors of its previous process.

        After an outage of a zone, each node skipped its backends for seconds.
        """
        scene = Scene(["b0", "b1"])
        for n in range(4):
            scene.take(f"i{n}")
            at_b1 = scene.node.endpoints.names[scene.requests[f"i{n}"].attempts[-1].backend] == "b1"
            scene.end(f"i{n}", Outcome.CONNECT_FAILED if at_b1 else Outcome.SUCCESS)
        scene.flow(4)
        scene.list([listed("b1", EndpointState.REMOVED)])
        scene.list([listed("b1", started=scene.now)])
        scene.after(300)
        scene.flow(6)
        self.check("restarted_well", scene.lines)

    def test_fast_errors_do_not_attract_requests(self):
        scene = Scene(["b0", "b1", "b2"])
        scene.flow(12)
        for n in range(12):
            scene.take(f"i{n}")
            scene.after(2)
            for name in scene.out():
                at_b1 = (
                    scene.node.endpoints.names[scene.requests[name].attempts[-1].backend] == "b1"
                )
                scene.end(
                    name, Outcome.REJECTED_UNPROCESSED if at_b1 else Outcome.SUCCESS, note=at_b1
                )
        scene.after(200)
        scene.flow(9)
        self.check("quick_errors", scene.lines)

    def test_fast_first_answer_makes_no_backend_unresponsive(self):
        scene = Scene(["b0", "b1", "b2"])
        for n in range(3):
            scene.take(f"i{n}")
        scene.after(2)
        scene.end("i0")
        scene.after(60)
        scene.end("i1")
        scene.end("i2")
        self.check("first_answer", scene.lines)

    def test_node_recovers_after_all_backends_failed(self):
        scene = Scene(["b0", "b1"])
        for n in range(2):
            scene.take(f"i{n}")
            scene.end(f"i{n}", Outcome.CONNECT_FAILED)
        scene.after(160)
        scene.flow(4)
        self.check("all_failed", scene.lines)

    def test_trial_requests_use_the_safest_kind_received(self):
        """Trial requests use the safest kind of idempotency among recent requests.

        When clients stopped sending the only safe class, no ejected backend was tried again. When the kind
        depended on time instead of counts, nodes with a few requests per second tried with unsafe requests
        and lost them.
        """
        lines = []
        for request_class, safe_interval in ((1, 0), (2, 0), (2, 60), (2, 200)):
            scene, trials = Scene(["b0", "b1"]), []
            for n in range(400):
                scene.after(300)
                class_index = 0 if safe_interval and n % safe_interval == 0 else request_class
                attempt = scene.take("i", request_class=class_index).attempts[-1]
                at_b1 = scene.node.endpoints.names[attempt.backend] == "b1"
                trials += [
                    f"{scene.settings.request_classes[class_index].idempotency} as number {n}"
                ] * attempt.is_trial
                scene.end("i", Outcome.CONNECT_FAILED if at_b1 else Outcome.SUCCESS, note=False)
                for name in scene.out():
                    scene.end(name, note=False)
            name = scene.settings.request_classes[request_class].idempotency
            lines.append(
                f"{name}, one of {safe_interval} safe: {len(trials)} trial requests, {', '.join(trials[:3])}"
            )
        self.check("trial_of_what_comes", lines)

    def test_trial_request_is_sent_though_healthy_backends_are_full(self):
        scene = Scene(["b0", "b1"])
        scene.take("lost", request_class=2)
        scene.end("lost", Outcome.CONNECT_FAILED)
        for n in range(9):
            scene.take(f"i{n}", request_class=0 if n else 2)
        scene.after(155)
        scene.take("unsafe", request_class=2)
        scene.take("late")
        scene.after(10)
        scene.end("late")
        self.check("held_back", scene.lines)


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
                scene = Scene(["b0", listed("w0", zone="west"), listed("w1", zone="west")])
                scene.take(name, request_class)
                scene.after(5)
                scene.end(name, outcome)
                lines += scene.lines
        self.check("outcomes", lines)

    def test_keyed_retry_stays_in_its_zone_and_deduplication_window(self):
        scene = Scene(["b0", listed("w0", zone="west")], seed=1)
        scene.take("a", 1)
        scene.after(5)
        scene.end("a", Outcome.SERVER_ERROR)
        scene.list(
            [listed("b2", zone=scene.node.endpoints.zone[scene.requests["a"].attempts[0].backend])]
        )
        scene.after(10)
        scene.take("b", 1)
        scene.after(310)
        scene.end("b", Outcome.SERVER_ERROR)
        self.check("stamped", scene.lines)

    def test_request_deadline(self):
        scene = Scene([])
        scene.take("a")
        scene.take("short", left=30)
        scene.after(400)
        scene.list(["b0"])
        scene.take("b", 2, left=200)
        scene.after(200)
        scene.end("b", Outcome.TIMEOUT)
        self.check("limit", scene.lines)

    def test_late_repeat_is_recognized_by_its_time_left(self):
        scene = Scene(["b0"])
        for n in range(3):
            scene.take(f"first{n}", left=600)
        scene.node.client_disconnected(scene.now, scene.requests["first0"])
        scene.pull()
        scene.take("repeat", left=500)
        scene.take("long repeat", left=900)
        scene.take("another first", left=600)
        self.check("repeat", scene.lines)

    def test_clients_with_shorter_timeouts_are_no_repeats(self):
        """There are no more repeats than unanswered requests."""
        scene = Scene(["b0"])
        for n in range(4):
            scene.take(f"first{n}", left=600)
        for n in range(2):
            scene.take(f"short{n}", left=500)
        self.check("impatient", scene.lines)

    def test_backends_with_ever_new_names(self):
        """A reused index keeps nothing of its previous backend, and the arrays stop growing."""
        scene = Scene(["b0", "n0"])
        for n in range(60):
            attempts = scene.take("a").attempts
            while attempts and attempts[-1].outcome is None:
                scene.end(
                    "a",
                    Outcome.SUCCESS
                    if scene.node.endpoints.names[attempts[-1].backend] == "b0"
                    else Outcome.CONNECT_FAILED,
                )
            scene.list([listed(f"n{n}", EndpointState.REMOVED), listed(f"n{n + 1}")])
            scene.after(500)
        balancer = scene.node
        self.assertLess(len(balancer.endpoints.names), 9)
        self.assertEqual(len(balancer.endpoints.index), len(balancer.endpoints.names))
        self.assertLess(len(balancer.ejections.ejected), 9)

    def test_losses_shared_by_all_backends_eject_none(self):
        """Resets at every backend eject none; one that loses nearly all attempts is still ejected."""
        scene = Scene([f"b{n}" for n in range(4)], seed=1)
        draw = random.Random(5).random
        loss_rates, ejected = {}, set()
        for n in range(600):
            attempts = scene.take("a", request_class=2).attempts
            scene.after(5)
            if attempts:
                backend = scene.node.endpoints.names[attempts[-1].backend]
                scene.end(
                    "a",
                    Outcome.CONNECTION_RESET
                    if draw() < loss_rates.get(backend, 0.12)
                    else Outcome.SUCCESS,
                    note=False,
                )
            ejected.update(
                (n // 401, scene.node.endpoints.names[index])
                for index in scene.node.ejections.ejected
            )
            if n == 400:
                loss_rates["b2"] = 0.95
        self.assertEqual(ejected, {(1, "b2")})

    def test_request_lost_at_every_backend_is_answered_at_once(self):
        """A request that no other backend can take is answered at once.

        Queued for backends that it may not return to, it was rejected 0.38 s later.
        """
        scene = Scene(["b0", "b1"])
        scene.take("a")
        scene.end("a", Outcome.CONNECT_FAILED)
        scene.after(1)
        scene.end("a", Outcome.CONNECT_FAILED)
        scene.after(500)
        self.check("lost_everywhere", scene.lines)

    def test_backend_drains_and_returns(self):
        scene = Scene(["b0", "b1"])
        scene.flow(4)
        scene.list([listed("b1", EndpointState.DRAINING)])
        scene.flow(4)
        scene.list([listed("b1", EndpointState.REMOVED), listed("b9", EndpointState.REMOVED)])
        scene.list(["b2"])
        scene.flow(4)
        scene.list(["b1"], whole=True)
        scene.flow(4)
        self.check("list", scene.lines)

    def test_removed_slow_backend_is_no_longer_slow(self):
        scene = Scene(["b0", "b1", "b3"])
        index = scene.node.endpoints.index["b1"]
        scene.flow(90, took=8)
        scene.flow(12, slow=("b1",), took=8, slow_took=47)
        scene.say(
            f"b1 is {scene.node.ejections.reason[index]}, slow backends: {scene.node.ejections.slow_count}"
        )
        scene.list([listed("b1", EndpointState.REMOVED)])
        scene.say(
            f"b1 is {scene.node.endpoints.state[index]}, slow backends: {scene.node.ejections.slow_count}"
        )
        scene.after(61000)
        scene.list(["b2"])
        scene.say(
            f"b2 has the index of b1: {scene.node.endpoints.index['b2'] == index}, ejection: {scene.node.ejections.reason[index]}"
        )
        scene.flow(4)
        self.check("slow_and_gone", scene.lines)

    def test_cold_backend_receives_a_limited_rate(self):
        scene = Scene(["b0", "b1"], tenants=TenantRegistry({"north": 100.0}))
        scene.flow(40, took=10)
        scene.list([listed("cold", started=scene.now)])
        scene.flow(40, took=10)
        scene.after(8000)
        scene.flow(12, took=10)
        self.check("cold", scene.lines)

    def test_restart_from_an_old_list(self):
        scene = Scene(
            ["b0", "gone", listed("cold", started=9000 * MS)],
            tenants=TenantRegistry({"north": 20.0}),
        )
        scene.take("a", 2)
        scene.take("b", 2)
        scene.after(100)
        for name in ("a", "b"):
            at_gone = (
                scene.node.endpoints.names[scene.requests[name].attempts[-1].backend] == "gone"
            )
            scene.end(name, Outcome.CONNECT_FAILED if at_gone else Outcome.SUCCESS)
        scene.list(["b0", listed("cold", started=9000 * MS)], whole=True)
        scene.flow(6)
        self.check("restart", scene.lines)


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
            scene = Scene([f"b{n}" for n in range(4)], **self.BUDGET_SETTINGS)
            received_at, retried_at, exceeded, premature = [], [], 0, 0
            send, final_answer = scene.node.dispatch.send, scene.node.dispatch.final_answer

            def recording_send(request, backend, now, send=send):
                if request.attempts:
                    retried_at.append(now)
                return send(request, backend, now)

            def recording_final_answer(request, final_answer=final_answer):
                # Requests that fail after one loss with time left, while half of the budget is unused.
                nonlocal premature
                ended_attempts = [attempt for attempt in request.attempts if attempt.outcome]
                retry_count = sum(moment > scene.now - 50000 for moment in retried_at)
                allowed = 3 + 0.2 * sum(moment > scene.now - 50000 for moment in received_at)
                premature += (
                    len(ended_attempts) == 1
                    and request.request_class.idempotency == Idempotency.SAFE
                    and 2 * retry_count < allowed
                    and not scene.node.deadlines.is_too_late(request, scene.now)
                )
                return final_answer(request)

            scene.node.dispatch.send, scene.node.dispatch.final_answer = (
                recording_send,
                recording_final_answer,
            )
            for n in range(1500):
                scene.after(rng.choice((1, 5, 20, 400 if n % 300 > 280 else 10)))
                received_at.append(scene.now)
                scene.take(n, request_class=rng.randrange(3))
                for name in scene.out():
                    if rng.random() < 0.2:
                        is_lost = rng.random() < (0.9 if n % 500 < 60 else 0.1)
                        scene.end(
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
        scene = Scene(["b0", "b1", "b2"], **{**self.BUDGET_SETTINGS, "retry_budget_minimum": 0})
        for n in range(5):
            scene.take(f"i{n}")
            scene.end(f"i{n}")
        scene.lines = []
        for ms in (0, 4999, 2):
            scene.after(ms)
            for n in range(4 if ms == 2 else 0):
                scene.take(f"i{n}")
                scene.end(f"i{n}", note=False)
            scene.take(f"at {ms}")
            scene.end(f"at {ms}", Outcome.SERVER_ERROR)
            if scene.requests[f"at {ms}"].in_flight:
                scene.end(f"at {ms}")
        scene.say(
            f"{len(scene.node.retry_budget.sent_at)} retries, {len(scene.node.retry_budget.received_at)} requests in the window"
        )
        self.check("budget_edges", scene.lines)

    def test_budget_is_shared_across_settings(self):
        """A balancer with new settings does not start with a full budget."""
        scene = Scene(["b0", "b1", "b2"], **self.BUDGET_SETTINGS)
        for n in range(3):
            scene.take(f"i{n}")
            scene.end(f"i{n}", Outcome.SERVER_ERROR)
        after = Balancer(4, scene.settings, scene.now, scene.node)
        self.check(
            "budget_settings",
            [
                f"{scene.node.retry_budget.remaining(scene.now)} left, {after.retry_budget.remaining(scene.now)} after"
            ],
        )


class Overload(TraceTest):
    def test_light_class_with_highest_gain_goes_first(self):
        """The class with the highest gain does not wait for capacity if it is little work.

        One of forty nodes has capacity for two attempts and waits long for one to end. The class with the
        highest gain was then late, and was rejected more often than all others.
        """
        scene = Scene(
            [f"b{n}" for n in range(60)], node_count=40, tenants=TenantRegistry({"north": 800.0})
        )
        for n in range(16):
            scene.take(f"look{n}")
        scene.after(60)
        scene.take("pay", request_class=2)
        # The class exceeds the limit by no more than half a second's worth; after that it is no longer
        # light, and the rest waits.
        for n in range(6):
            scene.take(f"pay{n}", request_class=2)
            scene.after(10)
        self.check("ahead", scene.lines)

    def test_overload_is_detected_by_the_oldest_wait(self):
        scene = Scene(["b0"])
        north, south = scene.settings.tenants
        for n in range(14):
            scene.take(f"{'north' if n % 2 else 'south'}{n}", tenant=north if n % 2 else south)
            scene.after(10)
        scene.after(300)
        self.check("overload", scene.lines)

    def test_limit_below_one_attempt_holds_on_average(self):
        scene = Scene(["b0", "b1", "b2"], node_count=24)
        for n in range(3):
            scene.take(f"i{n}")
        scene.after(20)
        for name in scene.out():
            scene.end(name)
        scene.after(90)
        self.check("part", scene.lines)

    def test_minimum_limit_is_higher_with_few_nodes(self):
        scene = Scene([])
        for nodes in (1, 3, 24, 240):
            busy = Scene([f"b{n}" for n in range(6)], node_count=nodes)
            for _ in range(60):
                busy.flow(1, took=390)
                busy.after(5000)
            min_limit = busy.node.limit.each * nodes
            scene.say(f"{nodes} nodes, six backends: at least {min_limit:.2f} attempts per backend")
        self.check("least", scene.lines)

    def test_class_with_highest_gain_goes_first(self):
        scene = Scene(["b0"])
        for n in range(7):
            scene.take(f"busy{n}")
        for n in range(4):
            scene.take(f"look{n}")
            scene.take(f"pay{n}", 2)
        scene.after(60)
        for n in range(7):
            scene.end(f"busy{n}", note=False)
        scene.after(50)
        self.check("gain", scene.lines)

    def test_client_disconnects(self):
        scene = Scene(["b0"])
        scene.take("a")
        scene.node.client_disconnected(scene.now, scene.requests["a"])
        scene.pull()
        scene.end("a", Outcome.CANCELLED)
        scene.say(f"in flight {scene.node.limit.in_flight}")
        scene.take("b")
        scene.after(150)
        scene.say(f"in flight {scene.node.limit.in_flight}")
        self.check("client_gone", scene.lines)
