"""The stand-in fleet: invalid plans, faults of backends, ledger, lateness and occupied ports."""

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


class ManualLoop:
    """The part of an event loop that `RealClock` uses, with time advanced by hand."""

    def __init__(self):
        self.moment, self.calls = 0.0, []

    def time(self):
        return self.moment

    def call_at(self, at, call, *arguments):
        self.calls.append((at, call, arguments))

    def run_due(self):
        calls, self.calls = self.calls, []
        for _, call, arguments in calls:
            call(*arguments)


def plan_with(**changes):
    return plans.plan_from({**BASE, **changes}, "FILE")


def request(address, path="/look/1", headers=(("X-Trace-Id", "t1"),), method="GET", timeout=2):
    """Sends one request and returns its result as text."""
    connection = http.client.HTTPConnection(*address.split(":"), timeout=timeout)
    try:
        connection.request(method, path, headers=dict(headers))
        response = connection.getresponse()
        body = response.read()
        return " ".join(
            [
                str(response.status),
                *(
                    f"{name}={value}"
                    for name, value in response.getheaders()
                    if name.startswith(("X-N", "Endp"))
                ),
                f"{len(body)} bytes",
            ]
        )
    except (OSError, http.client.HTTPException) as error:
        return type(error).__name__
    finally:
        connection.close()


async def run_fleet(plan, scene):
    """Runs `scene(fleet)` in a thread beside the fleet; returns its lines and the fleet's summary."""
    fleet = run.StandInFleet(plan, lambda event, **fields: fleet.fault_applied.set())
    fleet.fault_applied = threading.Event()
    await fleet.start()
    try:
        lines = await asyncio.to_thread(scene, fleet)
    finally:
        await fleet.stop()
    return lines, fleet.summary()


class Plans(TraceTest):
    def test_invalid_plans_are_rejected(self):
        """Each invalid plan is rejected with one line that names the place and the problem."""
        lines = []

        def fault(at_s, what, **fields):
            return {"at_s": at_s, "what": what, **fields}

        for changes in (
            dict(befall=[fault(5, "hang", for_s=4), fault(7, "slow", backends=["b1"])]),
            dict(befall=[fault(5, "crash"), fault(9, "drain")]),
            dict(befall=[fault(5, "restart"), fault(5, "hang")]),
            dict(befall=[fault(5, "hang", backends=["b0"]), fault(3, "hang", backends=["b1"])]),
            dict(befall=[fault(12, "hang")], seconds=10),
            dict(befall=[fault(1, "hang", backends=["b9"])]),
            dict(befall=[fault(1, "silent", zone="a")]),
            dict(befall=[fault(1, "restart", for_s=2)]),
            dict(befall=[fault(1, "explode")]),
            dict(place=[{"kind": "big"}]),
            dict(place=[{"port": 9000, "count": 2}, {"port": 9001}]),
            dict(surprise=1),
            dict(befall=[fault(1, "hang", for_s=2, zone="b")]),
        ):
            try:
                plan_with(**changes)
                lines.append(f"{changes}: valid")
            except InvalidPlanError as error:
                lines.append(str(error))
        self.check("standin_plans", lines)


class Faults(TraceTest):
    def test_effect_of_each_fault_and_of_its_end(self):
        """A node sees each fault as planned, and a healthy or a removed backend after its end."""

        def scene(kind):
            def observe(fleet):
                backend = fleet.backends["b0"]
                fleet.fault_applied.wait(5)
                fleet.fault_applied.clear()
                lines = [f"{kind}: " + request(backend.address, timeout=0.3)]
                if kind == "drain":
                    lines[-1] += f", listed {fleet.agent.entries['b0']['status']}"
                fleet.clock.loop.call_soon_threadsafe(
                    fleet.fault_injector._apply, fleet.plan.befall[0], False
                ) if kind in plans.LASTING_FAULTS else None
                if kind in plans.LASTING_FAULTS:
                    fleet.fault_applied.wait(5)
                expected = {"drain": {"b1"}, "replace": {"b0r1", "b1"}}.get(kind, {"b0", "b1"})
                deadline = time.monotonic() + 5
                while time.monotonic() < deadline and set(fleet.agent.entries) != expected:
                    time.sleep(0.001)
                names, is_in_slow_start = (
                    sorted(fleet.agent.entries),
                    backend.model.started_at is not None,
                )
                return lines + [
                    f"    ended: {request(backend.address)}, named {backend.name}, "
                    f"in slow start {is_in_slow_start}, listed {' '.join(names)}"
                ]

            return observe

        lines = []
        for kind in (*(kind for kind in plans.BACKEND_FAULTS if kind != "pause"),):
            plan = plan_with(
                befall=[{"at_s": 0, "what": kind, "backends": ["b0"], "times": 50}],
                kind=[{"cores": 2, "cold_from": 0.9, "cold_for_s": 60}],
                discovery={"notice_s": 0},
            )
            observed, _ = asyncio.run(run_fleet(plan, scene(kind)))
            lines += observed
        self.check("standin_befalls", lines)

    def test_duplicates_reports_probes_and_the_connection_limit(self):
        """Covers responses that need no fault.

        Duplicates of a keyed request, load reports, unknown requests, probes, and rejections above
        the connection limit.
        """

        def scene(fleet):
            first, second = (fleet.backends[name].address for name in ("b0", "b1"))
            headers = {"X-Trace-Id": "t1", "Idempotency-Key": "k"}
            lines = [
                f"keyed request at b0: {request(first, '/hold/1', headers.items(), 'POST')}",
                f"duplicate at b1: {request(second, '/hold/1', headers.items(), 'POST')}",
                f"no id: {request(first, headers=())}",
                f"unknown offering: {request(first, '/x')}",
                f"probe: {request(first, '/stats')}",
            ]
            connection = http.client.HTTPConnection(*first.split(":"))
            connection.connect()
            while not fleet.backends["b0"].connections:
                time.sleep(0.001)
            lines.append(f"above the connection limit: {request(first)}")
            connection.close()
            return lines

        lines, summary = asyncio.run(
            run_fleet(plan_with(connections=1, report={"how": "answers"}), scene)
        )
        counts = summary["counts"]
        self.check("standin_answers", lines + [f"{name} {counts[name]}" for name in counts])


class Records(TraceTest):
    def test_ledger_on_a_full_disk_and_at_its_size_limit(self):
        """Missing lines are reported as a gap, and requests are still served."""
        lines = []
        with tempfile.TemporaryDirectory() as folder:
            small = str(pathlib.Path(folder) / "ledger.jsonl")
            for path, max_mb in (("/dev/full", 1.0), (small, 0.0002)):
                _, summary = asyncio.run(
                    run_fleet(
                        plan_with(ledger={"path": path, "most_mb": max_mb}),
                        lambda fleet: [request(fleet.backends["b0"].address) for _ in range(4)],
                    )
                )
                ledger = summary["ledger"]
                lines.append(
                    f"{ledger['hole']}: missing {ledger['missing'] > 0}, "
                    f"ran {summary['counts']['ran']}"
                )
            rows = [json.loads(line) for line in pathlib.Path(small).read_text().splitlines()]
            lines.append(f"last line {rows[-1]['event']}: {rows[-1]['why']}")
        self.check("standin_ledger", lines)

    def test_lateness_of_the_fleet_itself_is_measured(self):
        """Runs calls on a manual loop: first all in time, then one in twenty 30 ms late."""
        loop = ManualLoop()
        clock = RealClock(loop)
        is_late = []
        for delay_s in (0.0, 0.03):
            for number in range(100):
                clock.after(1000, lambda: None)
                loop.moment += 0.1 + (delay_s if not number % 20 else 0.0)
                loop.run_due()
            is_late.append(clock.lateness_ms(0.99) > run.MAX_LATENESS_MS)
        self.assertEqual((is_late, round(clock.max_lateness)), ([False, True], 300))

    def test_a_port_in_use_is_reported(self):
        """The error message names the address and the backend."""

        async def start_two_fleets():
            first = run.StandInFleet(plan_with())
            await first.start()
            port = int(first.backends["b0"].address.split(":")[1])
            try:
                await run.StandInFleet(plan_with(place=[{"port": port}])).start()
            except run.ListenError as error:
                return str(error).replace(str(port), "PORT")
            finally:
                await first.stop()

        self.check("standin_taken", [asyncio.run(start_two_fleets())])
