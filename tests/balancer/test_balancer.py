"""Short traces of decisions; each is kept in tests/traces/ and read by people."""

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

    def test_a_stale_forecast_starves_nobody(self):
        scene = self.learn_pauses(Scene(["b0", "b1", "b2"]))
        scene.flow(40)
        scene.after(60000)
        scene.flow(30)
        self.check("stale", scene.lines)

    def test_crowded(self):
        scene = Scene(["b0", "b1", "b2"])
        for n in range(9):
            scene.take(f"i{n}")
            scene.after(5)
            for name in scene.out():
                if scene.node.endpoints.names[scene.requests[name].attempts[-1].backend] != "b1":
                    scene.end(name, note=False)
        self.check("crowded", scene.lines)

    def test_turns_go_by_weight_and_level(self):
        scene = Scene([listed("small"), listed("large", weight=2.0)])
        scene.flow(30)
        scene.say("large takes three times as long, one invocation a second")
        for _ in range(24):
            scene.flow(1, slow=("large",), slow_took=60)
            scene.after(1000)
        self.check("weights", [line.replace("1 went to", "to") for line in scene.lines])

    def learner(self, **changed):
        """A node of many whose tenants have no shares, and twelve backends."""
        return Scene(
            [f"b{n}" for n in range(12)],
            tenants=TenantRegistry(),
            node_count=70,
            may_check_health=False,
            **changed,
        )

    def stream(self, scene, seconds, every_ms, took=40, report=None, hint=None, flood=0):
        """Invocations at an even pace that all settle, each with its backend's report; `flood`: so many more
        of which each is left by its client at once."""
        lines, scene.lines = scene.lines, []
        sent = bounced = 0
        for n in range(int(seconds * 1000 / every_ms)):
            request = scene.take("s", hint=hint[n % len(hint)] if hint else 0)
            for _ in range(flood):
                left = Request(
                    "left",
                    scene.settings.request_classes[0],
                    None,
                    scene.now,
                    scene.now + 1000 * MS,
                )
                scene.node.request_received(scene.now, left)
                scene.node.client_disconnected(scene.now, left)
            scene.after(every_ms)
            for attempt in request.attempts:
                if report:
                    scene.node.load_reported(
                        scene.now, scene.node.endpoints.names[attempt.backend], report
                    )
                scene.node.attempt_ended(scene.now, attempt, Outcome.SUCCESS, took * MS, True)
                scene.pull()
            sent += bool(request.attempts)
            bounced += not request.attempts
        scene.lines = lines
        node = scene.node
        scene.say(
            f"{sent} sent, {bounced} not; {len(node.rotation.subset)} in view, part {node.load_reports.traffic_share:.1f}, room "
            f"{node.load_reports._growth:.1f}, {'rests' if scene.now < node.load_reports._backoff_until else 'no rest'}"
        )

    def test_without_shares_view_and_part_follow_what_comes(self):
        """Each node had the same part, and all backends in view: the busy bounced what there was room for."""
        scene = self.learner(load_report_source=LoadReportSource.RESPONSES)
        load = LoadReport(throughput=30.0, utilization=0.6)
        scene.say("four a second, of 360 that the twelve report")
        self.stream(scene, 10, 250, report=load)
        scene.say("twenty-five a second")
        self.stream(scene, 60, 40, report=load)
        scene.say("half of the backends leave; the others have no room by their reports")
        scene.list([listed(f"b{n}", EndpointState.REMOVED) for n in range(6)])
        self.stream(scene, 10, 40, report=LoadReport(throughput=60.0, utilization=1.0))
        scene.say(
            "all are asked for eight times what they settle: as its own part, that filled the fleet"
        )
        self.stream(scene, 20, 40, report=LoadReport(throughput=60.0, utilization=1.0), flood=7)
        self.check("learned", scene.lines)

    def test_first_probes_where_only_probes_tell_the_load(self):
        """One probe in twenty trips, twelve trips a second: the first report came after two seconds."""
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

    def test_the_own_zone_first_where_crossing_is_dear(self):
        """Turns went round all zones alike, three of four over a way that cost more than it gained."""
        lines = []
        for cross_zone_penalty in (0.01, 0.1):
            scene = Scene(
                [listed(f"b{n}", zone="east" if n < 2 else "west") for n in range(6)],
                zone="east",
                cross_zone_penalty=cross_zone_penalty,
            )
            scene.say(f"crossing costs {cross_zone_penalty}")
            scene.flow(9)
            scene.say("six at once: the own zone is crowded")
            for n in range(6):
                scene.take(f"i{n}")
            for n in range(6):
                scene.end(f"i{n}", note=False)
            scene.say("both of the own zone refuse")
            for n in range(8):
                scene.take("r")
                east = scene.node.endpoints.names[scene.requests["r"].attempts[-1].backend] < "b2"
                scene.end("r", Outcome.CONNECT_FAILED if east else Outcome.SUCCESS, note=False)
                for name in scene.out():
                    scene.end(name, note=False)
            lines += [line for line in scene.lines if "check health" not in line]
        self.check("own_zone", lines)

    def test_a_tenant_slow_at_every_backend(self):
        """Its work made each backend look slow by turns, and all work look longer than it is."""
        scene = Scene([f"b{n}" for n in range(4)])
        north, south = scene.settings.tenants
        out = []
        for phase, took, seconds in (
            ("as others", 20, 3),
            ("slow", 130, 6),
            ("as others again", 20, 8),
            ("late in any case", 600, 6),
            ("as others at last", 20, 9),
        ):
            got = {"north": [0, 0], "south": [0, 0]}
            marked, lines, scene.lines = 0, scene.lines, []
            for n in range(seconds * 50):
                n = (phase, n)
                for place, tenant in enumerate((north, south)[: 1 + (n[1] % 3 == 0)]):
                    request = scene.take((n, place), tenant=tenant)
                    got[tenant.name][0 if request.attempts else 1] += 1
                    out.append((n, place))
                scene.after(20)
                for name in list(out):
                    request = scene.requests[name]
                    attempt = request.attempts[-1] if request.attempts else None
                    slow = took if request.tenant is south else 20
                    if request.in_flight and (
                        attempt.cancelled or scene.now >= attempt.sent_at + slow * MS
                    ):
                        scene.end(
                            name,
                            Outcome.CANCELLED if attempt.cancelled else Outcome.SUCCESS,
                            note=False,
                        )
                    if request.completed and not request.in_flight:
                        out.remove(name)
                marked += bool(scene.node.ejections.ejected)
            scene.lines = lines
            scene.say(
                f"south {phase}: north {got['north']}, south {got['south']} sent and not at once; "
                f"usual {scene.node.request_stats.classes[0].typical // MS:.0f} ms, levels "
                f"{[round(level, 1) for level in scene.node.outliers.latency_level]}, some marked {marked * 20} ms"
            )
        self.check("tenant_slow", scene.lines)

    def test_room_by_the_cores_in_use_alone(self):
        """Where probes tell nothing else, a node of forty bounced a third beside idle backends; and by what
        was told before the load came, the limit grew fourfold in three seconds, and all choked."""
        lines = []
        for busy, each_s, until_s in ((0.3, 0.2, 3), (0.95, 0.2, 3), (0.0, 0.2, 0.2), (0.6, 1, 3)):
            scene = self.learner(load_report_source=LoadReportSource.HEALTH_CHECKS)
            for n in range(150):
                if n * 20 % (each_s * 1000) == 0 and n * 20 < until_s * 1000:
                    for name in scene.node.endpoints.names:
                        scene.node.load_reported(scene.now, name, LoadReport(utilization=busy))
                scene.take(n)
                scene.after(20)
            lines.append(
                f"{busy} of the cores in use, told each {each_s} s for {until_s} s: "
                f"room {scene.node.load_reports._growth:.1f} after 3 s"
            )
        self.check("room_by_cores", lines)

    def test_what_is_slower_at_all_backends_rests_once_in_step(self):
        """No report at all was taken for a spell of slowness, and the first seconds were bounced."""
        scene = self.learner(load_report_source=LoadReportSource.RESPONSES)
        self.stream(scene, 8, 25)
        self.stream(scene, 10, 25, report=LoadReport(throughput=30.0, utilization=0.8))
        scene.say("all at half of what they do")
        for _ in range(9):
            self.stream(scene, 1, 25, report=LoadReport(throughput=15.0, utilization=0.95))
        scene.say("well after the rest")
        self.stream(scene, 4, 25, report=LoadReport(throughput=30.0, utilization=0.8))
        self.check("rest_in_step", scene.lines)

    def test_heavy_work_is_no_pause_where_it_was_hinted(self):
        """Heavy invocations were taken for a slow backend, and their answers for strain."""
        lines = []
        for hint in (None, 120):
            scene = Scene(["b0", "b1", "b2"])
            for n in range(60):
                heavy = n % 20 > 14
                scene.take("h", hint=hint and (hint * 6 if heavy else hint))
                scene.after(240 if heavy else 40)
                scene.end("h", note=False)
            marks = [mark for mark in scene.node.ejections.reason]
            lines.append(
                f"hints {hint}: {marks}, typical {scene.node.request_stats.classes[0].typical / MS:.0f} ms, levels "
                + " ".join(f"{level:.2f}" for level in scene.node.outliers.latency_level)
            )
        self.check("hints", lines)

    def test_cold_backends_get_their_part_of_what_is_settled(self):
        """By what was asked for, a cold one got 4.5 times what it could do, and fell over."""
        lines = []
        for settled in (0, 1):
            scene = self.learner(load_report_source=LoadReportSource.RESPONSES)
            for n in range(200):
                request = scene.take("s", left=400)
                scene.after(40)
                for attempt in request.attempts * settled:
                    scene.node.attempt_ended(scene.now, attempt, Outcome.SUCCESS, 40 * MS, True)
            scene.list(["b12"])
            lines.append(
                f"asked {scene.node.rotation.request_rate * 10000:.0f} a second, a warm one gets "
                f"{scene.node.slow_start.warm_rate * 10000:.1f} by what was settled"
            )
        self.check("cold_settled", lines)

    def test_many_nodes_keep_few_in_view(self):
        lines, names = [], [f"b{n}" for n in range(12)]
        for number in (3, 4):
            scene = Scene(
                names, node_count=20, node_number=number, tenants=TenantRegistry({"north": 20.0})
            )
            scene.say(f"node {number}")
            scene.flow(6)
            request = scene.take("a")
            lost = scene.node.endpoints.names[request.attempts[0].backend]
            scene.after(5)
            scene.end("a", Outcome.CONNECT_FAILED)
            scene.after(20)
            scene.end("a")
            scene.flow(6)
            scene.list([listed(lost, EndpointState.REMOVED), "b12"])
            scene.flow(6)
            lines += scene.lines
        self.check("view", lines)


class Health(TraceTest):
    def test_a_held_up_host_finds_no_pause_in_quick_backends(self):
        """Answers of 0.2 ms, then turns of the host that take 4 ms each, and a trip unanswered for longer."""
        scene = Scene(["b0", "b1"])
        scene.flow(400, took=0.2)
        scene.flow(8, took=4)
        scene.lines = []
        scene.take("a")
        scene.after(8)
        scene.say(f"troubles {scene.node.ejections.reason}")
        scene.after(60)
        scene.say(f"troubles {scene.node.ejections.reason}")
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
            f"pauses known: {len(scene.node.pause_forecast.pauses[scene.node.endpoints.index['b1']])}"
        )
        self.check("hang", scene.lines)

    def test_a_heavy_one_alone_is_no_silence(self):
        """One of forty nodes has one trip out at a backend: judged by the mean alone, it held a third of the
        backends for silent at any time, where nothing was wrong."""
        chance, told = random.Random(9), []
        for spread in (1.2, 0.1):
            scene = Scene([f"b{n}" for n in range(4)])
            silent = 0
            for _ in range(600):
                request = scene.take("i")
                for _ in range(int(min(990, 20 * chance.lognormvariate(-(spread**2) / 2, spread)))):
                    scene.after(1)
                if request.in_flight:
                    scene.end("i", note=False)
                silent += bool(scene.node.ejections.ejected)
                scene.after(100)
            # Where work is alike, six times the mean is still silence.
            scene.take("gone")
            scene.after(150)
            told.append(
                f"spread {spread}: a backend was left out after {silent} of 600 answers; "
                f"150 ms without one: {[t for t in scene.node.ejections.reason if t]}"
            )
        self.check("heavy", told)

    def test_a_restarted_backend_is_well_at_once(self):
        """A zone that came back was left out for seconds by each node for what its old processes had done."""
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

    def test_quick_errors_do_not_attract_work(self):
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

    def test_first_quick_answer_makes_nobody_silent(self):
        scene = Scene(["b0", "b1", "b2"])
        for n in range(3):
            scene.take(f"i{n}")
        scene.after(2)
        scene.end("i0")
        scene.after(60)
        scene.end("i1")
        scene.end("i2")
        self.check("first_answer", scene.lines)

    def test_a_node_that_saw_all_fail_comes_back(self):
        scene = Scene(["b0", "b1"])
        for n in range(2):
            scene.take(f"i{n}")
            scene.end(f"i{n}", Outcome.CONNECT_FAILED)
        scene.after(160)
        scene.flow(4)
        self.check("all_failed", scene.lines)

    def test_a_trial_of_what_comes(self):
        """Clients left the only harmless offering for another, and no backend in trouble was tried again. By
        the clock instead of by what comes, nodes with a few a second tried with one-shots, and lost them."""
        lines = []
        for request_class, seldom in ((1, 0), (2, 0), (2, 60), (2, 200)):
            scene, tried = Scene(["b0", "b1"]), []
            for n in range(400):
                scene.after(300)
                kind = 0 if seldom and n % seldom == 0 else request_class
                attempt = scene.take("i", request_class=kind).attempts[-1]
                at_b1 = scene.node.endpoints.names[attempt.backend] == "b1"
                tried += [
                    f"{scene.settings.request_classes[kind].idempotency} as number {n}"
                ] * attempt.is_trial
                scene.end("i", Outcome.CONNECT_FAILED if at_b1 else Outcome.SUCCESS, note=False)
                for name in scene.out():
                    scene.end(name, note=False)
            name = scene.settings.request_classes[request_class].idempotency
            lines.append(
                f"{name}, one of {seldom} harmless: {len(tried)} tries, with {', '.join(tried[:3])}"
            )
        self.check("trial_of_what_comes", lines)

    def test_a_trial_goes_out_though_the_sound_are_full(self):
        scene = Scene(["b0", "b1"])
        scene.take("lost", request_class=2)
        scene.end("lost", Outcome.CONNECT_FAILED)
        for n in range(9):
            scene.take(f"i{n}", request_class=0 if n else 2)
        scene.after(155)
        scene.take("one-shot", request_class=2)
        scene.take("late")
        scene.after(10)
        scene.end("late")
        self.check("held_back", scene.lines)


class Rules(TraceTest):
    def test_each_offering_after_each_outcome(self):
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
            for request_class, name in enumerate(("harmless", "stamped", "one-shot")):
                scene = Scene(["b0", listed("w0", zone="west"), listed("w1", zone="west")])
                scene.take(name, request_class)
                scene.after(5)
                scene.end(name, outcome)
                lines += scene.lines
        self.check("outcomes", lines)

    def test_stamped_stays_in_its_group_and_window(self):
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

    def test_hard_limit(self):
        scene = Scene([])
        scene.take("a")
        scene.take("short", left=30)
        scene.after(400)
        scene.list(["b0"])
        scene.take("b", 2, left=200)
        scene.after(200)
        scene.end("b", Outcome.TIMEOUT)
        self.check("limit", scene.lines)

    def test_late_repeat_is_known_by_its_time_left(self):
        scene = Scene(["b0"])
        for n in range(3):
            scene.take(f"first{n}", left=600)
        scene.node.client_disconnected(scene.now, scene.requests["first0"])
        scene.pull()
        scene.take("repeat", left=500)
        scene.take("long repeat", left=900)
        scene.take("another first", left=600)
        self.check("repeat", scene.lines)

    def test_clients_with_less_patience_are_no_repeats(self):
        """There are no more repeats than invocations that were not settled."""
        scene = Scene(["b0"])
        for n in range(4):
            scene.take(f"first{n}", left=600)
        for n in range(2):
            scene.take(f"impatient{n}", left=500)
        self.check("impatient", scene.lines)

    def test_backends_under_ever_new_names(self):
        """What one left behind is nobody else's, and the arrays stop growing."""
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
        node = scene.node
        self.assertLess(len(node.endpoints.names), 9)
        self.assertEqual(len(node.endpoints.index), len(node.endpoints.names))
        self.assertLess(len(node.ejections.ejected), 9)

    def test_what_all_backends_lose_alike_leaves_none_out(self):
        """Resets and spoilt answers at every backend; one that loses nearly all is found all the same."""
        scene = Scene([f"b{n}" for n in range(4)], seed=1)
        chance = random.Random(5).random
        lost, out = {}, set()
        for n in range(600):
            attempts = scene.take("a", request_class=2).attempts
            scene.after(5)
            if attempts:
                at = scene.node.endpoints.names[attempts[-1].backend]
                scene.end(
                    "a",
                    Outcome.CONNECTION_RESET if chance() < lost.get(at, 0.12) else Outcome.SUCCESS,
                    note=False,
                )
            out.update(
                (n // 401, scene.node.endpoints.names[b]) for b in scene.node.ejections.ejected
            )
            if n == 400:
                lost["b2"] = 0.95
        self.assertEqual(out, {(1, "b2")})

    def test_lost_at_every_backend_is_answered_at_once(self):
        """Held for a backend that it may not go back to, it was answered 0.38 s later and no better."""
        scene = Scene(["b0", "b1"])
        scene.take("a")
        scene.end("a", Outcome.CONNECT_FAILED)
        scene.after(1)
        scene.end("a", Outcome.CONNECT_FAILED)
        scene.after(500)
        self.check("lost_everywhere", scene.lines)

    def test_drains_and_returns(self):
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

    def test_a_slow_one_that_goes_is_no_longer_slow(self):
        scene = Scene(["b0", "b1", "b3"])
        b = scene.node.endpoints.index["b1"]
        scene.flow(90, took=8)
        scene.flow(12, slow=("b1",), took=8, slow_took=47)
        scene.say(
            f"b1 is {scene.node.ejections.reason[b]}, slow ones: {scene.node.ejections.slow_count}"
        )
        scene.list([listed("b1", EndpointState.REMOVED)])
        scene.say(
            f"b1 is {scene.node.endpoints.state[b]}, slow ones: {scene.node.ejections.slow_count}"
        )
        scene.after(61000)
        scene.list(["b2"])
        scene.say(
            f"b2 has the index of b1: {scene.node.endpoints.index['b2'] == b}, trouble: {scene.node.ejections.reason[b]}"
        )
        scene.flow(4)
        self.check("slow_and_gone", scene.lines)

    def test_cold_backend_gets_its_part_only(self):
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
    TERMS = dict(retry_budget_window=5000 * MS, retry_budget_minimum=3, retry_budget_ratio=0.2)

    def test_no_window_holds_more(self):
        """Held in the mean, as further trips are elsewhere, a burst of losses broke it; counted window
        by window, over losses, silences and quiet and busy spells."""
        lines = []
        for seed in range(3):
            chance = random.Random(seed)
            scene = Scene([f"b{n}" for n in range(4)], **self.TERMS)
            took, further, broken, early = [], [], 0, 0
            send, final = scene.node.dispatch.send, scene.node.dispatch.final_answer

            def sends(request, b, now, send=send):
                if request.attempts:
                    further.append(now)
                return send(request, b, now)

            def finals(request, final=final):
                # What is given up after a loss with time left: for want of budget, or tried everywhere.
                nonlocal early
                lost = [t for t in request.attempts if t.outcome]
                spent = sum(at > scene.now - 50000 for at in further)
                allowed = 3 + 0.2 * sum(at > scene.now - 50000 for at in took)
                early += (
                    len(lost) == 1
                    and request.request_class.idempotency == Idempotency.SAFE
                    and 2 * spent < allowed
                    and not scene.node.deadlines.is_too_late(request, scene.now)
                )
                return final(request)

            scene.node.dispatch.send, scene.node.dispatch.final_answer = sends, finals
            for n in range(1500):
                scene.after(chance.choice((1, 5, 20, 400 if n % 300 > 280 else 10)))
                took.append(scene.now)
                scene.take(n, request_class=chance.randrange(3))
                for name in scene.out():
                    if chance.random() < 0.2:
                        lost = chance.random() < (0.9 if n % 500 < 60 else 0.1)
                        scene.end(
                            name, Outcome.SERVER_ERROR if lost else Outcome.SUCCESS, note=False
                        )
            for at in further:
                first = at - 50000
                broken += sum(first <= each <= at for each in further) > 3 + 0.2 * sum(
                    first < each <= at for each in took
                )
            lines.append(
                f"{len(further) > 30}: many further trips, windows broken {broken}, "
                f"given up while half was left {early}"
            )
        self.check("budget", lines)

    def test_the_edges_of_a_window(self):
        """Five taken bring one; it is back when the first of the window has left it, a little late."""
        scene = Scene(["b0", "b1", "b2"], **{**self.TERMS, "retry_budget_minimum": 0})
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
            f"{len(scene.node.retry_budget.sent_at)} spent, {len(scene.node.retry_budget.received_at)} in the window"
        )
        self.check("budget_edges", scene.lines)

    def test_one_budget_across_settings(self):
        """A node under new settings does not begin with a full one."""
        scene = Scene(["b0", "b1", "b2"], **self.TERMS)
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
    def test_what_gains_most_and_is_little_goes_ahead(self):
        """One of forty nodes has room for two trips and waits long for one to end: what gains most, and would
        be late by then, was bounced more often than all else."""
        scene = Scene(
            [f"b{n}" for n in range(60)], node_count=40, tenants=TenantRegistry({"north": 800.0})
        )
        for n in range(16):
            scene.take(f"look{n}")
        scene.after(60)
        scene.take("pay", request_class=2)
        # It borrows no more than the limit of half a second, and is then no longer little: the rest waits.
        for n in range(6):
            scene.take(f"pay{n}", request_class=2)
            scene.after(10)
        self.check("ahead", scene.lines)

    def test_told_by_the_oldest_wait(self):
        scene = Scene(["b0"])
        north, south = scene.settings.tenants
        for n in range(14):
            scene.take(f"{'north' if n % 2 else 'south'}{n}", tenant=north if n % 2 else south)
            scene.after(10)
        scene.after(300)
        self.check("overload", scene.lines)

    def test_a_part_of_the_limit_under_one_trip_holds_in_the_mean(self):
        scene = Scene(["b0", "b1", "b2"], node_count=24)
        for n in range(3):
            scene.take(f"i{n}")
        scene.after(20)
        for name in scene.out():
            scene.end(name)
        scene.after(90)
        self.check("part", scene.lines)

    def test_the_least_limit_is_higher_where_a_node_evens_out_its_trips(self):
        scene = Scene([])
        for nodes in (1, 3, 24, 240):
            crowd = Scene([f"b{n}" for n in range(6)], node_count=nodes)
            for _ in range(60):
                crowd.flow(1, took=390)
                crowd.after(5000)
            least = crowd.node.limit.each * nodes
            scene.say(f"{nodes} nodes, six backends: {least:.2f} trips a backend at the least")
        self.check("least", scene.lines)

    def test_what_gains_most_goes_first(self):
        scene = Scene(["b0"])
        for n in range(7):
            scene.take(f"out{n}")
        for n in range(4):
            scene.take(f"look{n}")
            scene.take(f"pay{n}", 2)
        scene.after(60)
        for n in range(7):
            scene.end(f"out{n}", note=False)
        scene.after(50)
        self.check("gain", scene.lines)

    def test_the_client_goes(self):
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
