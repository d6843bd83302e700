"""The stand-in fleet: plans that can't be played, what befalls backends and the list, ledger, lateness."""

import asyncio
import http.client
import json
import pathlib
import tempfile
import threading
import time

from pierglade.simulation.plan import InvalidPlanError
from pierglade.testbed import plan as plans
from pierglade.testbed import run
from pierglade.testbed.clock import RealClock
from tests.support.scene import TraceTest

BASE = {
    "kind": [{"cores": 2}],
    "place": [{"count": 2}],
    "offering": [
        {"name": "look", "work_ms": 1, "spread": "fixed"},
        {"name": "hold", "work_ms": 1, "spread": "fixed", "repeats": "stamped", "window_ms": 5000},
    ],
}


class HandLoop:
    """What `RealClock` asks of a loop, with time that stands until it is moved."""

    def __init__(self):
        self.moment, self.calls = 0.0, []

    def time(self):
        return self.moment

    def call_at(self, at, call, *what):
        self.calls.append((at, call, what))

    def run_due(self):
        calls, self.calls = self.calls, []
        for _, call, what in calls:
            call(*what)


def made(**more):
    return plans.made({**BASE, **more}, "FILE")


def ask(address, path="/look/1", headers=(("X-Trace-Id", "t1"),), method="GET", wait=2):
    """What one request comes to, in words."""
    link = http.client.HTTPConnection(*address.split(":"), timeout=wait)
    try:
        link.request(method, path, headers=dict(headers))
        answer = link.getresponse()
        body = answer.read()
        return " ".join(
            [
                str(answer.status),
                *(
                    f"{name}={value}"
                    for name, value in answer.getheaders()
                    if name.startswith(("X-N", "Endp"))
                ),
                f"{len(body)} bytes",
            ]
        )
    except (OSError, http.client.HTTPException) as fault:
        return type(fault).__name__
    finally:
        link.close()


async def played(plan, scene):
    """Runs `scene(fleet)` in a thread while the fleet plays; its lines, and the fleet's summary."""
    fleet = run.StandIn(plan, lambda event, **fields: fleet.struck.set())
    fleet.struck = threading.Event()
    await fleet.start()
    try:
        lines = await asyncio.to_thread(scene, fleet)
    finally:
        await fleet.stop()
    return lines, fleet.summary()


class Plans(TraceTest):
    def test_what_can_not_be_played(self):
        lines = []

        def befall(at_s, what, **more):
            return {"at_s": at_s, "what": what, **more}

        for more in (
            dict(befall=[befall(5, "hang", for_s=4), befall(7, "slow", backends=["b1"])]),
            dict(befall=[befall(5, "crash"), befall(9, "drain")]),
            dict(befall=[befall(5, "restart"), befall(5, "hang")]),
            dict(befall=[befall(5, "hang", backends=["b0"]), befall(3, "hang", backends=["b1"])]),
            dict(befall=[befall(12, "hang")], seconds=10),
            dict(befall=[befall(1, "hang", backends=["b9"])]),
            dict(befall=[befall(1, "silent", zone="a")]),
            dict(befall=[befall(1, "restart", for_s=2)]),
            dict(befall=[befall(1, "explode")]),
            dict(place=[{"kind": "big"}]),
            dict(place=[{"port": 9000, "count": 2}, {"port": 9001}]),
            dict(surprise=1),
            dict(befall=[befall(1, "hang", for_s=2, zone="b")]),
        ):
            try:
                made(**more)
                lines.append(f"{more}: good")
            except InvalidPlanError as fault:
                lines.append(str(fault))
        self.check("standin_plans", lines)


class Befalls(TraceTest):
    def test_each_and_its_end(self):
        """What a node would meet of each, and the same once it is over."""

        def scene(what):
            def seen(fleet):
                stand = fleet.stands["b0"]
                fleet.struck.wait(5)
                fleet.struck.clear()
                lines = [f"{what}: " + ask(stand.address, wait=0.3)]
                if what == "drain":
                    lines[-1] += f", listed {fleet.agent.entries['b0']['status']}"
                fleet.clock.loop.call_soon_threadsafe(
                    fleet.script._strike, fleet.plan.befall[0], False
                ) if what in plans.LASTING else None
                if what in plans.LASTING:
                    fleet.struck.wait(5)
                told = {"drain": {"b1"}, "replace": {"b0r1", "b1"}}.get(what, {"b0", "b1"})
                until = time.monotonic() + 5
                while time.monotonic() < until and set(fleet.agent.entries) != told:
                    time.sleep(0.001)
                names, cold = sorted(fleet.agent.entries), stand.model.started_at is not None
                return lines + [
                    f"    over: {ask(stand.address)}, named {stand.name}, "
                    f"cold since its start {cold}, listed {' '.join(names)}"
                ]

            return seen

        lines = []
        for what in (*(what for what in plans.BEFALLS if what != "pause"),):
            plan = made(
                befall=[{"at_s": 0, "what": what, "backends": ["b0"], "times": 50}],
                kind=[{"cores": 2, "cold_from": 0.9, "cold_for_s": 60}],
                discovery={"notice_s": 0},
            )
            got, _ = asyncio.run(played(plan, scene(what)))
            lines += got
        self.check("standin_befalls", lines)

    def test_repeats_reports_probes_and_a_full_table(self):
        def scene(fleet):
            one, other = (fleet.stands[name].address for name in ("b0", "b1"))
            stamp = {"X-Trace-Id": "t1", "Idempotency-Key": "k"}
            lines = [
                f"stamped at b0: {ask(one, '/hold/1', stamp.items(), 'POST')}",
                f"again at b1: {ask(other, '/hold/1', stamp.items(), 'POST')}",
                f"no id: {ask(one, headers=())}",
                f"no such offering: {ask(one, '/x')}",
                f"probe: {ask(one, '/stats')}",
            ]
            held = http.client.HTTPConnection(*one.split(":"))
            held.connect()
            while not fleet.stands["b0"].connections:
                time.sleep(0.001)
            lines.append(f"beyond its connections: {ask(one)}")
            held.close()
            return lines

        lines, summary = asyncio.run(played(made(connections=1, report={"how": "answers"}), scene))
        counts = summary["counts"]
        self.check("standin_answers", lines + [f"{name} {counts[name]}" for name in counts])


class Records(TraceTest):
    def test_a_ledger_on_a_full_disk_and_one_that_is_full(self):
        """What is missing is told as a hole, and what befell the invocations goes on."""
        lines = []
        with tempfile.TemporaryDirectory() as folder:
            small = str(pathlib.Path(folder) / "ledger.jsonl")
            for path, most in (("/dev/full", 1.0), (small, 0.0002)):
                _, summary = asyncio.run(
                    played(
                        made(ledger={"path": path, "most_mb": most}),
                        lambda fleet: [ask(fleet.stands["b0"].address) for _ in range(4)],
                    )
                )
                told = summary["ledger"]
                lines.append(
                    f"{told['hole']}: missing {told['missing'] > 0}, ran {summary['counts']['ran']}"
                )
            rows = [json.loads(line) for line in pathlib.Path(small).read_text().splitlines()]
            lines.append(f"last line {rows[-1]['event']}: {rows[-1]['why']}")
        self.check("standin_ledger", lines)

    def test_its_own_lateness_is_told(self):
        """A hand-moved loop: calls that come in time, then one in twenty that comes 30 ms late."""
        loop = HandLoop()
        clock = RealClock(loop)
        told = []
        for late in (0.0, 0.03):
            for each in range(100):
                clock.after(1000, lambda: None)
                loop.moment += 0.1 + (late if not each % 20 else 0.0)
                loop.run_due()
            told.append(clock.lateness_ms(0.99) > run.LATE_MS)
        self.assertEqual((told, round(clock.latest)), ([False, True], 300))

    def test_an_address_that_is_taken(self):
        async def both():
            first = run.StandIn(made())
            await first.start()
            port = int(first.stands["b0"].address.split(":")[1])
            try:
                await run.StandIn(made(place=[{"port": port}])).start()
            except run.CannotListen as fault:
                return str(fault).replace(str(port), "PORT")
            finally:
                await first.stop()

        self.check("standin_taken", [asyncio.run(both())])
