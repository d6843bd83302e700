"""The stand-in fleet in one process: backends on loopback ports, discovery, faults and a ledger."""

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
from pierglade.testbed.backend import StandInBackend
from pierglade.testbed.clock import RealClock
from pierglade.testbed.discovery import DiscoveryServer
from pierglade.testbed.script import FaultInjector

LEDGER_FLUSH_INTERVAL_TICKS = 1000.0  # 100 ms
IDLE_CHECK_INTERVAL_TICKS = 10000.0  # 1 s
MAX_LATENESS_MS = 10.0  # a run whose p99 lateness is greater is reported as late
MAX_IDEMPOTENCY_KEYS = 100000  # remembered keys of all deduplication groups together


class ListenError(Exception):
    """An address could not be bound; the message is one line that names it."""


class StandInFleet:
    """The fleet of a plan; it is created and started inside a running asyncio loop.

    `log_event(event, **fields)` is called for each fault that starts or ends.
    """

    def __init__(self, plan, log_event=lambda event, **fields: None):
        self.plan, self.log_event = plan, log_event
        self.clock = RealClock()
        self.unix_ms = time.time() * 1000  # Unix time at the clock's zero
        self.random = random.Random(plan.seed)
        streams = np.random.SeedSequence(plan.seed).spawn(len(plan.request_class))
        self.request_classes = {
            request_class.name.encode(): request_class for request_class in plan.request_class
        }
        self.work_distributions = {
            request_class.name: WorkDistribution(
                np.random.default_rng(stream),
                request_class.spread,
                request_class.work_ms * 10,
                request_class.cv,
            )
            for request_class, stream in zip(plan.request_class, streams)
        }
        self.body = b"x" * plan.body_bytes
        self.tasks, self.errors = set(), []
        self.connections = 0
        # Expiry by (group, idempotency key), and the same entries in order of arrival.
        self.key_expiries, self.expiry_queue = {}, deque()
        self.ledger = Ledger(
            plan.ledger.path, plan.ledger.most_mb, lambda: self.unix_ms + self.clock.now / 10
        )
        self.backends, self.started_ms = {}, {}
        self.agent = DiscoveryServer(self)
        self.fault_injector = FaultInjector(self)

    async def start(self):
        """Opens all listening sockets; raises ListenError if an address can't be bound."""
        ports = {}
        for name, place in self.plan.names():
            port = place.port + ports.get(id(place), 0) if place.port else 0
            ports[id(place)] = ports.get(id(place), 0) + 1
            try:
                self.backends[name] = StandInBackend(self, name, place, port)
                self.backends[name].listen()
            except OSError as error:
                self.close_backends()
                raise ListenError(
                    f"cannot listen on 127.0.0.1:{port} ({name}): {error.strerror}"
                ) from None
        try:
            await self.agent.start(self.plan.discovery.port)
        except OSError as error:
            self.close_backends()
            raise ListenError(
                f"cannot listen on 127.0.0.1:{self.plan.discovery.port} (discovery): "
                f"{error.strerror}"
            ) from None
        self.started_ms = dict.fromkeys(self.backends, 0)
        self.agent.set_initial_entries([self.entry(backend) for backend in self.backends.values()])
        self.fault_injector.start()
        self.clock.after(LEDGER_FLUSH_INTERVAL_TICKS, self._flush_ledger)
        self.clock.after(IDLE_CHECK_INTERVAL_TICKS, self._close_idle_connections)
        if self.plan.report.how != "none":
            self.clock.after(self.plan.report.period_ms * 10, self._update_load_reports)

    async def stop(self):
        """Ends discovery and all backends, and closes the ledger."""
        await self.agent.stop()
        self.close_backends()
        self.ledger.close()

    def close_backends(self):
        """Closes all backends."""
        for backend in self.backends.values():
            backend.close()

    # Called by backends.

    def next_connection(self):
        """Returns the number of a new connection."""
        self.connections += 1
        return self.connections

    def spawn(self, coroutine):
        """Runs a coroutine as a task and records an exception that it raises."""
        task = self.clock.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._task_done)

    def _task_done(self, task):
        self.tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None and not isinstance(error, OSError):
            self.record_error(repr(error))

    def record_error(self, message):
        """Records an error of the fleet itself for the summary, up to 20 of them."""
        if len(self.errors) < 20:
            self.errors.append(message)

    def is_repeat(self, backend, request_class, request):
        """Whether the idempotency key was seen in its group and window; a new key is stored."""
        now, key = self.clock.now, request.key or ""
        place = backend.place
        group = {"all": "", "zone": place.zone, "cell": (place.zone, place.cell)}[
            request_class.group
        ]
        while self.expiry_queue and (
            self.expiry_queue[0][0] <= now or len(self.expiry_queue) > MAX_IDEMPOTENCY_KEYS
        ):
            expiry, group_and_key = self.expiry_queue.popleft()
            if self.key_expiries.get(group_and_key) == expiry:
                del self.key_expiries[group_and_key]
        if self.key_expiries.get((group, key), 0) > now:
            return True
        expiry = now + request_class.window_ms * 10
        self.key_expiries[group, key] = expiry
        self.expiry_queue.append((expiry, (group, key)))
        return False

    # Called by the fault injector.

    def entry(self, backend, status="SERVING"):
        """Returns the entry of a backend in the endpoint list."""
        return {
            "name": backend.name,
            "address": backend.address,
            "zone": backend.place.zone,
            "type": backend.model.kind.name,
            "group": backend.place.cell,
            "status": status,
            "weight": backend.model.kind.weight,
            "since_ms": int(self.started_ms.get(backend.name, 0)),
        }

    def publish(self, backend, status, started=False, at_once=False):
        """Publishes a new status of a backend; `started`: its process has just started."""
        if started:
            self.started_ms[backend.name] = self.unix_ms + self.clock.now / 10
        self.agent.changed(self.entry(backend, status), at_once)

    def rename(self, backend):
        """Renames a replaced backend: its suffix counts the replacements on the same address."""
        base, _, number = backend.name.partition("r")
        self.backends[backend.name] = backend  # faults refer to it by its name in the plan
        backend.name = f"{base}r{int(number or 0) + 1}"

    def report_fault(self, fault, is_start, names):
        """Logs the start or the end of a fault."""
        self.log_event("befalls" if is_start else "over", what=fault.what, backends=len(names))

    # Periodic tasks.

    def _flush_ledger(self):
        self.ledger.flush()
        self.clock.after(LEDGER_FLUSH_INTERVAL_TICKS, self._flush_ledger)

    def _close_idle_connections(self):
        for backend in self.backends.values():
            backend.close_idle_connections()
        self.clock.after(IDLE_CHECK_INTERVAL_TICKS, self._close_idle_connections)

    def _update_load_reports(self):
        for backend in self.backends.values():
            backend.update_load_report(self.plan.report.period_ms / 1000)
        self.clock.after(self.plan.report.period_ms * 10, self._update_load_reports)

    def summary(self):
        """Returns counts in total and by backend, the clock's lateness and the ledger's state."""
        p99_lateness_ms = self.clock.lateness_ms(0.99)
        by_backend = {
            backend.name: {
                **backend.counts,
                "tips": backend.model.overloads,
                "falls": backend.model.collapses,
            }
            for backend in self.backends.values()
        }
        totals = {
            name: sum(counts[name] for counts in by_backend.values())
            for name in next(iter(by_backend.values()))
        }
        return {
            "seconds": round(self.clock.now / 10000, 1),
            "counts": totals,
            "backends": by_backend,
            "late_ms": {
                "p50": self.clock.lateness_ms(0.5),
                "p99": p99_lateness_ms,
                "max": round(self.clock.max_lateness / 10, 1),
            },
            "late": p99_lateness_ms > MAX_LATENESS_MS,
            "troubles": self.errors,
            "ledger": {
                "lines": self.ledger.written,
                "missing": self.ledger.missing,
                "hole": self.ledger.gap,
            },
        }


def print_json(event, **fields):
    """Prints an event as a JSON line; a closed standard output is ignored."""
    try:
        sys.stdout.write(msgspec.json.encode({"event": event, **fields}).decode() + "\n")
        sys.stdout.flush()
    except (BrokenPipeError, ValueError):
        pass


async def serve(plan, log_event=print_json, with_parent=False):
    """Runs a fleet until SIGTERM, SIGINT or the end of the plan; returns its summary.

    With `with_parent` it also ends when standard input is closed, as happens when the parent
    process dies. Raises ListenError, and OSError if the ledger can't be opened.
    """
    fleet = StandInFleet(plan, log_event)
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    if with_parent:

        def _read_stdin():
            if not sys.stdin.buffer.raw.read(1024):
                loop.remove_reader(sys.stdin)
                stop_requested.set()

        loop.add_reader(sys.stdin, _read_stdin)
    await fleet.start()
    log_event(
        "ready",
        discovery=fleet.agent.address,
        began_ms=round(fleet.unix_ms, 1),
        backends={name: backend.address for name, backend in fleet.backends.items()},
    )
    try:
        await asyncio.wait_for(stop_requested.wait(), plan.seconds)
    except asyncio.TimeoutError:
        pass
    await fleet.stop()
    return fleet.summary()
