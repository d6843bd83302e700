"""The stand-in fleet as one process: hundreds of backends on loopback ports, an agent, a script, a ledger."""

import asyncio
import random
import signal
import sys
import time
from collections import deque

import msgspec
import numpy as np

from pierglade.audit.ledger import Ledger
from pierglade.simulation.distributions import WorkDistribution
from pierglade.testbed.backend import Stand
from pierglade.testbed.clock import RealClock
from pierglade.testbed.discovery import Agent
from pierglade.testbed.script import Script

FLUSH = 1000.0  # 100 ms in tenths of a millisecond; the ledger is written that often
IDLE_LOOK = 10000.0  # 1 s; how often connections that rest are looked for
LATE_MS = 10.0  # p99 of its own lateness from which a run says that it was late
REPEATS_MOST = 100000  # stamps that are remembered, all groups together


class CannotListen(Exception):
    """An address that is taken; one line that names it."""


class StandIn:
    """A plan's fleet. Made and started inside a running asyncio loop.

    `say(event, **fields)` is told of what happens; by default nobody is.
    """

    def __init__(self, plan, say=lambda event, **fields: None):
        self.plan, self.say = plan, say
        self.clock = RealClock()
        self.unix_ms = time.time() * 1000  # at the clock's zero
        self.chance = random.Random(plan.seed)
        streams = np.random.SeedSequence(plan.seed).spawn(len(plan.request_class))
        self.request_classes = {o.name.encode(): o for o in plan.request_class}
        self.sizes = {
            o.name: WorkDistribution(np.random.default_rng(s), o.spread, o.work_ms * 10, o.cv)
            for o, s in zip(plan.request_class, streams)
        }
        self.body = b"x" * plan.body_bytes
        self.tasks, self.troubles = set(), []
        self.connections = 0
        self.stamps, self.stamped = {}, deque()  # (group, stamp) to until when it is dropped
        self.ledger = Ledger(
            plan.ledger.path, plan.ledger.most_mb, lambda: self.unix_ms + self.clock.now / 10
        )
        self.stands, self.since = {}, {}
        self.agent = Agent(self)
        self.script = Script(self)

    async def start(self):
        """Listens everywhere; raises CannotListen where an address is taken."""
        ports = {}
        for name, place in self.plan.names():
            port = place.port + ports.get(id(place), 0) if place.port else 0
            ports[id(place)] = ports.get(id(place), 0) + 1
            try:
                self.stands[name] = Stand(self, name, place, port)
                self.stands[name].listen()
            except OSError as fault:
                self.close_all()
                raise CannotListen(
                    f"cannot listen on 127.0.0.1:{port} ({name}): {fault.strerror}"
                ) from None
        try:
            await self.agent.start(self.plan.discovery.port)
        except OSError as fault:
            self.close_all()
            raise CannotListen(
                f"cannot listen on 127.0.0.1:{self.plan.discovery.port} (discovery): "
                f"{fault.strerror}"
            ) from None
        self.since = dict.fromkeys(self.stands, 0)
        self.agent.first([self.entry(stand) for stand in self.stands.values()])
        self.script.start()
        self.clock.after(FLUSH, self._flush)
        self.clock.after(IDLE_LOOK, self._look_for_idle)
        if self.plan.report.how != "none":
            self.clock.after(self.plan.report.period_ms * 10, self._refresh)

    async def stop(self):
        await self.agent.stop()
        self.close_all()
        self.ledger.close()

    def close_all(self):
        for stand in self.stands.values():
            stand.close()

    # What backends ask of it.

    def next_connection(self):
        self.connections += 1
        return self.connections

    def spawn(self, coroutine):
        task = self.clock.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task):
        self.tasks.discard(task)
        fault = None if task.cancelled() else task.exception()
        if fault is not None and not isinstance(fault, OSError):
            self.trouble(repr(fault))

    def trouble(self, what):
        if len(self.troubles) < 20:
            self.troubles.append(what)

    def is_repeat(self, stand, request_class, request):
        """Whether this stamp was seen in its group and window; noted either way."""
        now, key = self.clock.now, request.key or ""
        place = stand.place
        group = {"all": "", "zone": place.zone, "cell": (place.zone, place.cell)}[
            request_class.group
        ]
        while self.stamped and (self.stamped[0][0] <= now or len(self.stamped) > REPEATS_MOST):
            until, seen = self.stamped.popleft()
            if self.stamps.get(seen) == until:
                del self.stamps[seen]
        if self.stamps.get((group, key), 0) > now:
            return True
        until = now + request_class.window_ms * 10
        self.stamps[group, key] = until
        self.stamped.append((until, (group, key)))
        return False

    # What the script asks of it.

    def entry(self, stand, status="SERVING"):
        return {
            "name": stand.name,
            "address": stand.address,
            "zone": stand.place.zone,
            "type": stand.model.kind.name,
            "group": stand.place.cell,
            "status": status,
            "weight": stand.model.kind.weight,
            "since_ms": int(self.since.get(stand.name, 0)),
        }

    def list(self, stand, status, started=False, at_once=False):
        if started:
            self.since[stand.name] = self.unix_ms + self.clock.now / 10
        self.agent.changed(self.entry(stand, status), at_once)

    def rename(self, stand):
        """The machine behind an address is another one: its name tells how many were there before."""
        base, _, number = stand.name.partition("r")
        self.stands[stand.name] = stand  # a script still finds it by the name in the plan
        stand.name = f"{base}r{int(number or 0) + 1}"

    def happened(self, befall, begins, who):
        self.say("befalls" if begins else "over", what=befall.what, backends=len(who))

    # What comes again and again.

    def _flush(self):
        self.ledger.flush()
        self.clock.after(FLUSH, self._flush)

    def _look_for_idle(self):
        for stand in self.stands.values():
            stand.end_idle()
        self.clock.after(IDLE_LOOK, self._look_for_idle)

    def _refresh(self):
        for stand in self.stands.values():
            stand.refresh(self.plan.report.period_ms / 1000)
        self.clock.after(self.plan.report.period_ms * 10, self._refresh)

    def summary(self):
        """Plain data: counts in all and by backend, its own lateness in ms, the ledger's state."""
        late = self.clock.lateness_ms(0.99)
        by_backend = {
            stand.name: {
                **stand.counts,
                "tips": stand.model.overloads,
                "falls": stand.model.collapses,
            }
            for stand in self.stands.values()
        }
        whole = {
            what: sum(each[what] for each in by_backend.values())
            for what in next(iter(by_backend.values()))
        }
        return {
            "seconds": round(self.clock.now / 10000, 1),
            "counts": whole,
            "backends": by_backend,
            "late_ms": {
                "p50": self.clock.lateness_ms(0.5),
                "p99": late,
                "max": round(self.clock.latest / 10, 1),
            },
            "late": late > LATE_MS,
            "troubles": self.troubles,
            "ledger": {
                "lines": self.ledger.written,
                "missing": self.ledger.missing,
                "hole": self.ledger.gap,
            },
        }


def say_json(event, **fields):
    """One JSON line on standard output; whoever reads it may have gone."""
    try:
        sys.stdout.write(msgspec.json.encode({"event": event, **fields}).decode() + "\n")
        sys.stdout.flush()
    except (BrokenPipeError, ValueError):
        pass


async def serve(plan, say=say_json, with_parent=False):
    """Plays a fleet until SIGTERM, SIGINT or the plan's end; returns its summary.

    `with_parent`: it also ends when standard input does, as that of a child whose parent has died.
    Raises CannotListen, and OSError where the ledger can't be opened.
    """
    fleet = StandIn(plan, say)
    over = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, over.set)
    if with_parent:

        def read():
            if not sys.stdin.buffer.raw.read(1024):
                loop.remove_reader(sys.stdin)
                over.set()

        loop.add_reader(sys.stdin, read)
    await fleet.start()
    say(
        "ready",
        discovery=fleet.agent.address,
        began_ms=round(fleet.unix_ms, 1),
        backends={name: stand.address for name, stand in fleet.stands.items()},
    )
    try:
        await asyncio.wait_for(over.wait(), plan.seconds)
    except asyncio.TimeoutError:
        pass
    await fleet.stop()
    return fleet.summary()
