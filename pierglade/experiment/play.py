"""One play of an experiment: everything is started, loaded, watched, ended and written into one folder."""

import http.client
import os
import threading
import time

import msgspec
import psutil

from pierglade.audit import records, rules
from pierglade.audit.settings import settings_of_plan
from pierglade.experiment import nodes, sums
from pierglade.load import run as loads
from pierglade.processes.children import ChildExitedError, Children, StoppedBySignalError, free_port

LEAD_S, LEAD_EACH_S = 2.5, 0.4  # from the fleet's start to the load's: processes start, and warm up
SAMPLE_S = 0.5  # between looks at CPU and memory of the nodes
ASK_EACH_S = 1.0  # between calls to each node
ASK_WITHIN_S = 0.4  # a node that does not tell of its backends by then is passed over
READY_IN_S = 8.0


class Failed(Exception):
    """The play could not be made or is void; one line."""


def play(plan, folder, build, progress=lambda share: None):
    """Plays `plan` (an Experiment) with nodes of `build` into `folder`, which is made; returns the summary.

    Left in it: plan.json, summary.json, samples.json, backends.jsonl, clients-N.jsonl, node-N.log. Raises
    Failed where nothing is to be learned from it, and StoppedBySignalError with a partial summary written, marked so.
    """
    os.makedirs(folder, exist_ok=True)
    _write(folder, "plan.json", {**plan.raw, "build": build.label})
    one = _Play(plan, folder, build, progress)
    try:
        with Children() as children:
            one.children = children
            try:
                one.whole()
            finally:
                one.over.set()
                if one.worker_pool is not None:
                    one.worker_pool.end()
    except ChildExitedError as fault:
        raise Failed(str(fault)) from None
    except loads.InvalidRunError as fault:
        raise Failed(str(fault)) from None
    except StoppedBySignalError as fault:
        if one.begins is None or time.monotonic() <= one.begins:
            raise
        one.stopped = str(fault)
        one.summary()
        raise
    return one.summary()


class _Play:
    def __init__(self, plan, folder, build, progress):
        self.plan, self.folder, self.build, self.progress = plan, folder, build, progress
        self.children = self.worker_pool = self.begins = self.began_ms = None
        self.stopped, self.fleet_said, self.tally = "", {}, None
        self.samples, self.left_out = [], []
        self.over = threading.Event()

    def path(self, name):
        return os.path.join(self.folder, name)

    def whole(self):
        plan = self.plan
        lead = LEAD_S + LEAD_EACH_S * plan.nodes.count
        fleet = self._start_fleet(lead)
        managements = [f"127.0.0.1:{free_port()}" for _ in range(plan.nodes.count)]
        self.nodes = [
            nodes.start(
                self.children,
                self.build,
                plan,
                number,
                fleet["discovery"],
                management,
                self.path(f"node-{number}.log"),
            )
            for number, management in enumerate(managements)
        ]
        self._bind()
        self._wait_until_ready()
        ahead = time.time() - time.monotonic()
        self.began_ms = fleet["began_ms"] + lead * 1000
        self.begins = self.began_ms / 1000 - ahead
        if time.monotonic() > self.begins - 0.2:
            raise Failed("the nodes took too long to start")
        self.worker_pool = loads.WorkerPool([(load, (0, 1)) for load in self._loads()], self.begins)
        askers = [
            threading.Thread(target=self._ask, args=(number, management), daemon=True)
            for number, management in enumerate(managements)
            if not self.build.plain
        ]
        for asker in askers:
            asker.start()
        self._watch()
        self.tally = self.worker_pool.collect()
        self.over.set()
        for asker in askers:
            asker.join()
        for name in [name for name in self.children.running if name.startswith("node")]:
            self.children.end(name)
        self.fleet_said = msgspec.json.decode(self.children.end("fleet")[-1])

    def _start_fleet(self, lead):
        raw = self.plan.shifted(lead)
        raw["ledger"] = {"path": os.path.abspath(self.path("backends.jsonl")), "most_mb": 512.0}
        _write(self.children.folder.name, "fleet.json", raw)
        return self.children.start(
            "fleet", "pierglade.cli", "fleet", self.children.path("fleet.json"), "--with-parent"
        )

    def _bind(self):
        """Each node to its core, everything else to the others, where the plan says so."""
        first, cores = self.plan.nodes.core, os.cpu_count() or 1
        if first < 0:
            return
        mine = [(first + number) % cores for number in range(len(self.nodes))]
        rest = [core for core in range(cores) if core not in mine] or list(range(cores))
        for (process, _), core in zip(self.nodes, mine):
            psutil.Process(process.pid).cpu_affinity([core])
        psutil.Process(self.children.running["fleet"][0].pid).cpu_affinity(rest)
        psutil.Process().cpu_affinity(rest)

    def _wait_until_ready(self):
        until, left = time.monotonic() + READY_IN_S, [address for _, address in self.nodes]
        while left:
            self.children.look()
            left = [address for address in left if _get(address, "/health/ready")[0] != 200]
            if time.monotonic() > until:
                raise Failed(f"{len(left)} of the nodes were not ready within {READY_IN_S:g} s")
            if left:
                time.sleep(0.05)

    def _loads(self):
        plan, clients = self.plan, self.plan.clients
        at, rows, to = plan.arrivals()
        repeats = {o.name: o.repeats for o in plan.fleet.request_class}
        for number in range(plan.ledgers()):
            node, mine = number // clients.processes, to == number
            yield loads.Load(
                self.nodes[node][1],
                "/",
                at[mine],
                timeout_s=plan.timeout_s(),
                reuses=clients.kept,
                retries=clients.retries,
                retry_s=clients.retry_ms / 1000,
                marks=clients.marks,
                abandon_share=clients.abandon_share,
                seed=plan.seed + number,
                doubled=clients.doubled,
                repeats=repeats,
                rows=[row for row, here in zip(rows, mine) if here],
                node=f"n{node}",
                ledger=self.path(f"clients-{number}.jsonl"),
            )

    def _watch(self):
        """Samples the nodes while the load runs."""
        processes = [psutil.Process(process.pid) for process, _ in self.nodes]
        seconds = self.plan.seconds()
        while self.worker_pool.running():
            self.children.look()
            now = time.monotonic() - self.begins
            try:
                for number, process in enumerate(processes):
                    with process.oneshot():
                        cpu, memory = process.cpu_times(), process.memory_info()
                    self.samples.append(
                        (round(now, 2), number, round(cpu.user + cpu.system, 3), memory.rss)
                    )
            except psutil.NoSuchProcess:
                continue  # which one, `look` tells
            self.progress(min(1.0, max(0.0, now / seconds)))
            time.sleep(SAMPLE_S)

    def _ask(self, number, management):
        """What a node says of its backends, again and again: who is left out, and why."""
        while not self.over.wait(ASK_EACH_S):
            now = time.monotonic() - self.begins
            status, body = _get(management, "/backends", ASK_WITHIN_S)
            if status != 200:
                continue
            for row in msgspec.json.decode(body)["backends"]:
                why = (
                    row["state"]
                    if row["state"] != "ready"
                    else row["trouble"] or ("pause" if row["pauses"] else "")
                )
                if why:
                    self.left_out.append((round(now, 2), number, row["name"], why))

    def summary(self):
        """Judges what lies in the folder, and writes it there."""
        plan = self.plan
        clients, holes = [], []
        for number in range(plan.ledgers()):
            rows, missing = records.read(self.path(f"clients-{number}.jsonl"))
            clients += rows
            holes += missing
        clients.sort(key=lambda row: row["t_ms"])
        backends, missing = records.read(self.path("backends.jsonl"))
        budget = plan.rules.further_span_s and (
            plan.rules.further_span_s,
            plan.rules.further_most,
            plan.rules.further_share,
        )
        verdict = rules.audit(
            settings_of_plan(plan.fleet, plan.rules.drain_grace_ms, budget or None),
            clients,
            backends,
            holes + missing,
        )
        summary = {
            "title": plan.title,
            "build": self.build.label,
            "seed": plan.seed,
            **sums.figures(plan, clients, backends, self.samples, self.began_ms),
            "rules": verdict.held(),
            "breaks": len(verdict.violations),
            "holes": [hole.text() for hole in verdict.gaps],
            "not_to_be_trusted": self._doubts(),
        }
        _write(self.folder, "summary.json", summary)
        _write(self.folder, "breaks.json", verdict.violations)
        _write(
            self.folder,
            "samples.json",
            {"nodes": self.samples, "left_out": self.left_out, "began_ms": self.began_ms},
        )
        return summary

    def _doubts(self):
        """Why the figures say less than they seem to, a line each."""
        if self.stopped:
            return [f"stopped by {self.stopped}; what was seen until then"]
        doubts, told = [], self.tally.summary()
        if told["behind"]:
            doubts.append(
                f"the load fell behind its plan: p99 {told['late_ms']['p99']:g} ms, sent "
                f"{told['sent']} of {told['planned']}"
            )
        if self.fleet_said["late"]:
            doubts.append(
                f"the stand-in fleet was late: p99 {self.fleet_said['late_ms']['p99']:g} ms"
            )
        return doubts + [
            f"the stand-in fleet: {trouble}" for trouble in self.fleet_said["troubles"]
        ]


def _get(address, path, wait_s=1.0):
    """(status, body) of a call; (0, b"") where there is none in time."""
    host, _, port = address.rpartition(":")
    link = http.client.HTTPConnection(host, int(port), timeout=wait_s)
    try:
        link.request("GET", path)
        answer = link.getresponse()
        return answer.status, answer.read()
    except (OSError, http.client.HTTPException):
        return 0, b""
    finally:
        link.close()


def _write(folder, name, value):
    with open(os.path.join(folder, name), "wb") as file:
        file.write(msgspec.json.format(msgspec.json.encode(value), indent=1) + b"\n")
