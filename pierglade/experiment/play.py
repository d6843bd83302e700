"""One run of an experiment: starts the processes, sends the load, audits and writes a folder."""

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

# Time from the start of the fleet to the start of the load, and the extra time for each node. The
# processes start and warm up during this time.
LEAD_S, LEAD_PER_NODE_S = 2.5, 0.4
SAMPLE_INTERVAL_S = 0.5  # between samples of the CPU and memory use of the nodes
POLL_INTERVAL_S = 1.0  # between requests for the backends' states to each node
POLL_TIMEOUT_S = 0.4  # a node that does not respond in time is skipped in this poll
READY_TIMEOUT_S = 8.0  # for all nodes to become ready, if the lead is not longer
MAX_STARTS = 3  # each with twice the lead of the one before


class RunFailedError(Exception):
    """The run failed or its result is invalid; the message is one line."""


class StartedTooLateError(RunFailedError):
    """The processes were not ready when the load was due to start, as the machine is busy."""


def run_experiment(plan, folder, build, progress=lambda fraction: None):
    """Runs `plan` (an Experiment) with nodes of `build`; returns the summary.

    Creates `folder` with plan.json, summary.json, samples.json, breaks.json, backends.jsonl,
    clients-N.jsonl and node-N.log. Processes that are not ready in time are started again. Raises
    RunFailedError if there is no valid result. Raises StoppedBySignalError after a signal; if the
    load had started, a summary that is marked as partial is written before.
    """
    os.makedirs(folder, exist_ok=True)
    _write_json(folder, "plan.json", {**plan.raw, "build": build.label})
    lead_s = LEAD_S + LEAD_PER_NODE_S * plan.nodes.count
    for _ in range(MAX_STARTS - 1):
        try:
            return _run_once(_ExperimentRun(plan, folder, build, progress, lead_s))
        except StartedTooLateError:
            lead_s *= 2
    return _run_once(_ExperimentRun(plan, folder, build, progress, lead_s))


def _run_once(run):
    try:
        with Children() as children:
            run.children = children
            try:
                run.execute()
            finally:
                run.finished.set()
                if run.worker_pool is not None:
                    run.worker_pool.end()
    except ChildExitedError as error:
        raise RunFailedError(str(error)) from None
    except loads.InvalidRunError as error:
        raise RunFailedError(str(error)) from None
    except StoppedBySignalError as error:
        if run.start_time is None or time.monotonic() <= run.start_time:
            raise
        run.stopped_by = str(error)
        run.summary()
        raise
    return run.summary()


class _ExperimentRun:
    """The state of one run: its processes, samples and results."""

    def __init__(self, plan, folder, build, progress, lead_s):
        self.plan, self.folder, self.build, self.progress = plan, folder, build, progress
        self.lead_s = lead_s  # from the start of the fleet to the start of the load
        self.children = self.worker_pool = self.start_time = self.start_unix_ms = None
        self.stopped_by, self.fleet_summary, self.recorder = "", {}, None
        self.samples, self.excluded = [], []
        self.finished = threading.Event()

    def path(self, name):
        """Returns the path of a file in the folder of the run."""
        return os.path.join(self.folder, name)

    def execute(self):
        """Starts all processes, sends the load, samples the nodes, ends the nodes and the fleet."""
        plan = self.plan
        fleet = self._start_fleet()
        management_addresses = [f"127.0.0.1:{free_port()}" for _ in range(plan.nodes.count)]
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
            for number, management in enumerate(management_addresses)
        ]
        self._set_cpu_affinity()
        self._wait_until_ready()
        clock_offset = time.time() - time.monotonic()
        self.start_unix_ms = fleet["began_ms"] + self.lead_s * 1000
        self.start_time = self.start_unix_ms / 1000 - clock_offset
        if time.monotonic() > self.start_time - 0.2:
            raise StartedTooLateError(
                f"the nodes did not start within the lead time of {self.lead_s:g} s"
            )
        self.worker_pool = loads.WorkerPool(
            [(load, (0, 1)) for load in self._client_loads()], self.start_time
        )
        pollers = [
            threading.Thread(target=self._poll_backends, args=(number, management), daemon=True)
            for number, management in enumerate(management_addresses)
            if not self.build.is_reference
        ]
        for poller in pollers:
            poller.start()
        self._sample_nodes()
        self.recorder = self.worker_pool.collect()
        self.finished.set()
        for poller in pollers:
            poller.join()
        for name in [name for name in self.children.running if name.startswith("node")]:
            self.children.end(name)
        self.fleet_summary = msgspec.json.decode(self.children.end("fleet")[-1])

    def _start_fleet(self):
        raw = self.plan.fleet_tables(self.lead_s)
        raw["ledger"] = {"path": os.path.abspath(self.path("backends.jsonl")), "most_mb": 512.0}
        _write_json(self.children.folder.name, "fleet.json", raw)
        return self.children.start(
            "fleet", "pierglade.cli", "fleet", self.children.path("fleet.json"), "--with-parent"
        )

    def _set_cpu_affinity(self):
        """Binds nodes to their cores and other processes to the other cores, if the plan sets a core."""
        first, cores = self.plan.nodes.core, os.cpu_count() or 1
        if first < 0:
            return
        node_cores = [(first + number) % cores for number in range(len(self.nodes))]
        other_cores = [core for core in range(cores) if core not in node_cores] or list(
            range(cores)
        )
        for (process, _), core in zip(self.nodes, node_cores):
            psutil.Process(process.pid).cpu_affinity([core])
        psutil.Process(self.children.running["fleet"][0].pid).cpu_affinity(other_cores)
        psutil.Process().cpu_affinity(other_cores)

    def _wait_until_ready(self):
        timeout_s = max(READY_TIMEOUT_S, self.lead_s)
        deadline, pending = time.monotonic() + timeout_s, [address for _, address in self.nodes]
        while pending:
            self.children.raise_if_exited()
            pending = [
                address for address in pending if _http_get(address, "/health/ready")[0] != 200
            ]
            if time.monotonic() > deadline:
                raise StartedTooLateError(
                    f"{len(pending)} of {len(self.nodes)} nodes were not ready within "
                    f"{timeout_s:g} s"
                )
            if pending:
                time.sleep(0.05)

    def _client_loads(self):
        plan, clients = self.plan, self.plan.clients
        times, rows, senders = plan.arrivals()
        idempotency_by_class = {
            request_class.name: request_class.repeats for request_class in plan.fleet.request_class
        }
        for number in range(plan.ledgers()):
            node, is_own = number // clients.processes, senders == number
            yield loads.Load(
                self.nodes[node][1],
                "/",
                times[is_own],
                timeout_s=plan.timeout_s(),
                reuses_connections=clients.kept,
                retries=clients.retries,
                retry_s=clients.retry_ms / 1000,
                marks_retries=clients.marks,
                abandon_share=clients.abandon_share,
                seed=plan.seed + number,
                exponential_backoff=clients.doubled,
                idempotency_by_class=idempotency_by_class,
                rows=[row for row, is_included in zip(rows, is_own) if is_included],
                node=f"n{node}",
                ledger=self.path(f"clients-{number}.jsonl"),
            )

    def _sample_nodes(self):
        """Samples the CPU and memory use of the nodes while the load runs."""
        processes = [psutil.Process(process.pid) for process, _ in self.nodes]
        seconds = self.plan.seconds()
        while self.worker_pool.running():
            self.children.raise_if_exited()
            now = time.monotonic() - self.start_time
            try:
                for number, process in enumerate(processes):
                    with process.oneshot():
                        cpu, memory = process.cpu_times(), process.memory_info()
                    self.samples.append(
                        (round(now, 2), number, round(cpu.user + cpu.system, 3), memory.rss)
                    )
            except psutil.NoSuchProcess:
                continue  # a node has exited; `raise_if_exited` raises in the next iteration
            self.progress(min(1.0, max(0.0, now / seconds)))
            time.sleep(SAMPLE_INTERVAL_S)

    def _poll_backends(self, number, management):
        """Polls a node for its backends; records which are excluded from selection, and why."""
        while not self.finished.wait(POLL_INTERVAL_S):
            now = time.monotonic() - self.start_time
            status, body = _http_get(management, "/backends", POLL_TIMEOUT_S)
            if status != 200:
                continue
            for row in msgspec.json.decode(body)["backends"]:
                reason = (
                    row["state"]
                    if row["state"] != "ready"
                    else row["trouble"] or ("pause" if row["pauses"] else "")
                )
                if reason:
                    self.excluded.append((round(now, 2), number, row["name"], reason))

    def summary(self):
        """Audits the ledgers in the folder; writes the summary, violations and samples into it."""
        plan = self.plan
        clients, gaps = [], []
        for number in range(plan.ledgers()):
            rows, missing = records.read(self.path(f"clients-{number}.jsonl"))
            clients += rows
            gaps += missing
        clients.sort(key=lambda row: row["t_ms"])
        backends, missing = records.read(self.path("backends.jsonl"))
        if self.stopped_by:
            # What was in flight has no end in the records, even if no line of them is cut.
            gaps.append(records.TraceGap(self.folder, 0, f"stopped by {self.stopped_by}"))
        budget = plan.rules.further_span_s and (
            plan.rules.further_span_s,
            plan.rules.further_most,
            plan.rules.further_share,
        )
        verdict = rules.audit(
            settings_of_plan(plan.fleet, plan.rules.drain_grace_ms, budget or None),
            clients,
            backends,
            gaps + missing,
        )
        summary = {
            "title": plan.title,
            "build": self.build.label,
            "seed": plan.seed,
            **sums.figures(plan, clients, backends, self.samples, self.start_unix_ms),
            "rules": verdict.held(),
            "breaks": len(verdict.violations),
            "holes": [gap.text() for gap in verdict.gaps],
            "not_to_be_trusted": self._reliability_warnings(),
        }
        _write_json(self.folder, "summary.json", summary)
        _write_json(self.folder, "breaks.json", verdict.violations)
        _write_json(
            self.folder,
            "samples.json",
            {"nodes": self.samples, "left_out": self.excluded, "began_ms": self.start_unix_ms},
        )
        return summary

    def _reliability_warnings(self):
        """Returns the reasons why the figures are not reliable, one line each."""
        if self.stopped_by:
            return [f"stopped by {self.stopped_by}; the figures cover only the time before"]
        warnings, load_summary = [], self.recorder.summary()
        if load_summary["behind"]:
            warnings.append(
                "the load fell behind its plan: p99 of the send delay "
                f"{load_summary['late_ms']['p99']:g} ms, sent {load_summary['sent']} of "
                f"{load_summary['planned']}"
            )
        if self.fleet_summary["late"]:
            warnings.append(
                "the simulated fleet fell behind its schedule: p99 of the delay "
                f"{self.fleet_summary['late_ms']['p99']:g} ms"
            )
        return warnings + [
            f"the simulated fleet: {error}" for error in self.fleet_summary["troubles"]
        ]


def _http_get(address, path, timeout_s=1.0):
    """Returns (status, body) of the response; (0, b"") if there is none in time."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        connection.request("GET", path)
        response = connection.getresponse()
        return response.status, response.read()
    except (OSError, http.client.HTTPException):
        return 0, b""
    finally:
        connection.close()


def _write_json(folder, name, value):
    with open(os.path.join(folder, name), "wb") as file:
        file.write(msgspec.json.format(msgspec.json.encode(value), indent=1) + b"\n")
