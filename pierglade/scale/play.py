"""Runs one scale plan: starts all processes, runs the scenes under load and checks the results.

All processes of a run end with it, and its temporary files are removed.
"""

import heapq
import http.client
import os
import select
import signal
import threading
import time
from contextlib import suppress

import msgspec
import orjson

from pierglade.audit import records, rules
from pierglade.audit.settings import AuditSettings, request_class_rules
from pierglade.experiment.nodes import NODE_PROGRAM, ROOT_FOLDER
from pierglade.load.recorder import LatencyRecorder
from pierglade.processes.children import ChildExitedError, Children, free_port
from pierglade.scale import figures
from pierglade.scale.guard import (
    GuardThread,
    ResourceGuard,
    ResourceLimitError,
    cpu_s,
    pss_mb,
    rss_mb,
    wait,
)
from pierglade.scale.plan import (
    REQUEST_CLASS_REPEATS,
    Tenants,
    backend_names,
    change_offsets_s,
    check_limits,
    endpoint_entries,
    node_document,
    zone_of,
)

ANSWER_TIMEOUT_S = 60.0  # a process that has not answered a command by then counts as hanging
READY_TIMEOUT_S = 30.0  # for a real node to be ready, and for all watches to be open
SETTLE_S = 1.5  # from the start of the last process to the first request
REAL_NODE_TIMEOUT_S = 5.0  # time after the load for each real node to report the right list
# Time after the load for all hollow nodes to store the last version. A version that is stored later
# counts as never in force.
LAST_VERSION_TIMEOUT_S = 15.0
NODE_DOWN_S, DRAIN_S, BACKEND_DOWN_S = 0.5, 1.0, 0.4  # durations of the phases of a restart
DIRECT_IP = "127.1.255.254"  # belongs to no backend; target of the requests that bypass the nodes
STRIDE = 7919  # prime, so that tenants and backends that change in succession lie far apart


class RunFailedError(Exception):
    """A run could not be completed; the message is one line, `status` the exit code of the command."""

    def __init__(self, line, status=3):
        super().__init__(line)
        self.status = status


def run_plan(plan, path="plan", report_progress=lambda line: None):
    """Runs a Plan; returns plain data (`figures.summary`).

    Raises InvalidPlanError before anything is started, RunFailedError if the run could not be completed,
    ResourceLimitError if it exceeded its memory or process limit, StoppedBySignalError on SIGTERM and SIGINT.
    """
    check_limits(plan, path)
    with Children() as children:
        scale_run = _ScaleRun(plan, children, report_progress)
        try:
            return scale_run.execute()
        except ChildExitedError as error:
            # Status 2 means bad input, such as a port in use; any other makes the run unreliable.
            raise RunFailedError(str(error), 2 if " ended with 2" in str(error) else 3) from None
        except (BrokenPipeError, ConnectionError):
            children.raise_if_exited()
            raise RunFailedError(
                "lost the connection to a process of the run, which has not exited"
            ) from None
        finally:
            scale_run.stop_guard()


class _ScaleRun:
    """The processes, the schedule and the results of one run."""

    def __init__(self, plan, children, report_progress):
        self.plan, self.children, self.report_progress = plan, children, report_progress
        self.backend_names = backend_names(plan)
        self.unix_offset_s = time.time() - time.monotonic()
        self.documents, self.document_paths, self.node_logs, self.node_addresses = {}, {}, {}, {}
        self.down_intervals = {}  # number of a real node: [[start, end], ...]
        self.base_mb = {}  # hollow process: MB before it creates its nodes
        # By process name: seconds of CPU time and of waiting for a core, of ended processes.
        self.ended_cpu_s, self.ended_wait_s = {}, {}
        # Bytes of discovery processes that have ended.
        self.ended_sent_bytes = self.ended_received_bytes = 0
        self.changed_tenants = self.changed_backends = self.incarnation = 0
        self.scheduled, self.scheduled_count = [], 0
        self.guard_thread, self.senders = None, []
        self.expected_exits = set()  # names of processes whose exit is no failure
        self.threads, self.ready_times_s, self.scenes, self.restart_errors = [], [], [], []
        self.guard = ResourceGuard(
            plan.max_memory_mb(), plan.limits.processes, self._list_processes
        )

    # Processes.

    def _list_processes(self):
        children = [
            (name, process.pid) for name, (process, _) in list(self.children.running.items())
        ]
        return [("run", os.getpid()), *children]

    def check(self):
        """Raises if a limit was exceeded, a process exited unexpectedly or a restart failed."""
        if self.guard_thread is not None and self.guard_thread.error is not None:
            raise self.guard_thread.error
        for name, (process, _) in list(self.children.running.items()):
            if name not in self.expected_exits and process.poll() is not None:
                raise ChildExitedError(self.children.describe_exit(name))
        if self.restart_errors:
            raise RunFailedError(self.restart_errors[0])

    def _write_spec(self, name, **spec):
        path = self.children.path(name.replace(" ", "-") + ".spec")
        with open(path, "wb") as file:
            file.write(msgspec.json.encode({"plan": self.plan, **spec}))
        return path

    def _start(self, role, name, **spec):
        first_line = self.children.start(
            name, f"pierglade.scale.{role}", self._write_spec(name, **spec)
        )
        self.guard.check()
        return first_line

    def send_command(self, name, **command):
        """Sends a command to a process without waiting for its answer."""
        stdin = self.children.running[name][0].stdin
        stdin.write(msgspec.json.encode(command) + b"\n")
        stdin.flush()

    def read_answer(self, name):
        """Returns the decoded answer of a process to the last command."""
        stdout = self.children.running[name][0].stdout
        deadline = time.monotonic() + ANSWER_TIMEOUT_S
        while not select.select([stdout], [], [], 0.2)[0]:
            self.check()
            if time.monotonic() > deadline:
                raise RunFailedError(
                    f"{name} did not answer a command within {ANSWER_TIMEOUT_S:g} s"
                )
        line = stdout.readline()
        if not line:
            self.children.running[name][0].wait()
            raise ChildExitedError(self.children.describe_exit(name))
        return msgspec.json.decode(line)

    def request(self, name, **command):
        """Sends a command to a process and returns its answer."""
        self.send_command(name, **command)
        return self.read_answer(name)

    def request_all(self, processes, **command):
        """Sends a command to several processes at once; returns {name: answer}."""
        for name in processes:
            self.send_command(name, **command)
        return {name: self.read_answer(name) for name in processes}

    # Start of the run.

    def execute(self):
        """Starts all processes, runs the scenes and returns the summary."""
        plan = self.plan
        self.report_progress("starting")
        started_at = time.monotonic()
        path = self.children.path
        self.port = self._start(
            "backends", "backends", port=plan.backends.port, ledger=path("backends.jsonl")
        )["port"]
        self.entries = endpoint_entries(plan, self.port)
        self._start_discovery(port=plan.discovery.port)
        self.groups = plan.hollow_groups()
        self._start_hollow_nodes()
        self.empty_node_mb = self._measure_empty_node()
        for number in range(plan.nodes.loaded + plan.nodes.idle):
            self.down_intervals[number] = []
            self._start_real_node(number)
        for number in self.node_addresses:
            self._wait_until_ready(number, time.monotonic())
        self._wait_for_watches()
        self._start_senders()
        wait(SETTLE_S, self.check)
        self.report_progress(
            f"started in {time.monotonic() - started_at:.1f} s; {plan.seconds():g} s of scenes"
        )
        for name in self.senders:
            self.send_command(name, do="")
        self.load_started_at = time.monotonic()
        self.guard_thread = GuardThread(self.guard)
        self.guard_thread.start()
        self._run_scenes()
        tally = self._collect_tallies()
        last_version = self._wait_for_last_version()
        checks = self._check_lists()
        self.check()
        self.children.end("backends")
        return figures.summary(plan, self, tally, last_version, checks, *self._audit_requests())

    def _start_discovery(self, **spec):
        self.incarnation += 1
        ledger = self.children.path(f"discovery-{self.incarnation}.jsonl")
        first_line = self._start(
            "discovery", "discovery", port_of_backends=self.port, ledger=ledger, **spec
        )
        self.discovery = first_line["address"]

    def _start_hollow_nodes(self):
        for name, (first, count, full) in self.groups.items():
            config = ""
            if full:
                config = self._write_document(first, None)
            self._start(
                "hollow",
                name,
                first=first,
                count=count,
                full=full,
                config=config,
                discovery=self.discovery,
                port_of_backends=self.port,
            )
            self.base_mb[name] = rss_mb(self.children.running[name][0].pid)
        self.full_groups = [name for name, (_, _, full) in self.groups.items() if full]
        for name in self.groups:
            self.send_command(name, do="")
        for name in self.groups:
            self.read_answer(name)
        self.guard.check()

    def _write_document(self, number, management):
        self.documents[number] = node_document(
            self.plan, number, self.discovery, management, self.entries
        )
        first = next(iter(self.documents.values()))
        # All documents refer to one list of tenants, so that a change of it applies to all of them.
        self.documents[number]["settings"]["customers"] = first["settings"]["customers"]
        self.document_paths[number] = self.children.path(f"node-{number}.json")
        os.replace(self._write_new_file(number), self.document_paths[number])
        return self.document_paths[number]

    def _write_new_file(self, number):
        """Writes a document to a temporary file and returns its path.

        The caller renames it to the final path, so that no process reads an incomplete file.
        """
        new_path = self.document_paths[number] + ".new"
        with open(new_path, "wb") as file:
            file.write(orjson.dumps(self.documents[number]))
        return new_path

    def _measure_empty_node(self):
        """Returns the MB of memory of a node with one backend, one tenant and no reachable discovery."""
        empty_plan = msgspec.structs.replace(self.plan, tenants=Tenants(count=1))
        path = self.children.path("empty.json")
        with open(path, "wb") as file:
            file.write(
                orjson.dumps(
                    node_document(empty_plan, 0, f"127.0.0.1:{free_port()}", None, self.entries[:1])
                )
            )
        self.children.start_logged(
            "empty node",
            ["-c", NODE_PROGRAM],
            self.children.path("empty.log"),
            cwd=ROOT_FOLDER,
            env={"BALANCER_CONFIG": path, "PYTHONPATH": ROOT_FOLDER},
        )
        wait(0.5, self.check)
        used_mb = rss_mb(self.children.running["empty node"][0].pid)
        self.guard.check()
        self.children.end("empty node")
        return used_mb

    def _start_real_node(self, number):
        if number not in self.document_paths:
            self._write_document(number, f"127.0.0.1:{free_port()}")
        log = self.children.path(f"node-{number}-{len(self.node_logs.setdefault(number, []))}.log")
        self.node_logs[number].append([log, 0])  # path, bytes read so far
        started = self.children.start_logged(
            f"node {number}",
            ["-c", NODE_PROGRAM],
            log,
            cwd=ROOT_FOLDER,
            env={"BALANCER_CONFIG": self.document_paths[number], "PYTHONPATH": ROOT_FOLDER},
        )
        self.node_addresses[number] = started["listen"]
        self.guard.check()

    def _wait_until_ready(self, number, since):
        while _http_get(self.node_addresses[number], "/health/ready")[0] != 200:
            self.check()
            if time.monotonic() - since > READY_TIMEOUT_S:
                raise RunFailedError(f"node {number} was not ready within {READY_TIMEOUT_S:g} s")
            time.sleep(0.02)
        return time.monotonic() - since

    def _wait_for_watches(self):
        deadline = time.monotonic() + READY_TIMEOUT_S
        while (totals := self.request("discovery", do="figures"))[
            "watches"
        ] < self.plan.nodes.count:
            if time.monotonic() > deadline:
                raise RunFailedError(
                    f"only {totals['watches']} of {self.plan.nodes.count} watches were open after "
                    f"{READY_TIMEOUT_S:g} s"
                )
            wait(0.1, self.check)

    def _start_senders(self):
        """Starts a sender for each loaded node, and one that bypasses the nodes; each waits for a command."""
        targets = [
            (self.node_addresses[number], f"n{number}") for number in range(self.plan.nodes.loaded)
        ]
        for number, (target, node) in enumerate(
            [*targets, (f"{DIRECT_IP}:{self.port}", "straight")]
        ):
            self.senders.append(f"sender {node}")
            self._start(
                "sender",
                self.senders[-1],
                target=target,
                node=node,
                number=number,
                ledger=self.children.path(f"clients-{node}.jsonl"),
            )

    def _collect_tallies(self):
        """Returns the merged LatencyRecorder of all senders, once each has all its responses."""
        tally = LatencyRecorder()
        for name in self.senders:
            tally.merge(self.read_answer(name)["tally"].encode())
        return tally

    # The scenes.

    def schedule(self, moment, action, *arguments):
        """Schedules a call of `action` for a monotonic time."""
        self.scheduled_count += 1
        heapq.heappush(self.scheduled, (moment, self.scheduled_count, action, arguments))

    def _run_scenes(self):
        begin = self.load_started_at + self.plan.warm_s
        self._run_until(begin)
        for scene in self.plan.scene:
            self.report_progress(f"{scene.what}, {scene.seconds:g} s")
            self.scene = {
                "what": scene.what,
                "begin": begin,
                "end": begin + scene.seconds,
                "plan": scene,
                "list": [],
                "settings": [],
                "back": [],
                "before": self._resource_totals(),
            }
            self.guard.take_peaks()
            change = {
                "list": self._drain_or_serve,
                "settings": self._change_tenant,
                "restarts": self._restart,
                "zone": self._stop_zone,
                "discovery": self._kill_discovery,
            }.get(scene.what)
            for number, offset_s in enumerate(change_offsets_s(scene, self.plan)):
                self.schedule(begin + offset_s, change, number)
            begin += scene.seconds
            self._run_until(begin)
            for thread in self.threads:
                thread.join()
            self.scene["after"], self.scene["peak"] = (
                self._resource_totals(),
                self.guard.take_peaks(),
            )
            self._collect_delays()
            self.scenes.append(self.scene)

    def _run_until(self, moment):
        """Makes the scheduled calls that become due until a monotonic time."""
        while (now := time.monotonic()) < moment:
            if self.scheduled and self.scheduled[0][0] <= now:
                _, _, action, arguments = heapq.heappop(self.scheduled)
                action(*arguments)
                self.check()
                continue
            wakeup = min(moment, self.scheduled[0][0]) if self.scheduled else moment
            wait(max(0.0, wakeup - now), self.check)

    def _resource_totals(self):
        """Returns the running totals of the run.

        These are the CPU time of each process, its wait for a core, and the bytes that discovery has
        sent and received.
        """
        cpu, waited = dict(self.ended_cpu_s), dict(self.ended_wait_s)
        for name, pid in self._list_processes():
            with suppress(OSError):
                used_s, waited_s = cpu_s(pid)
                cpu[name], waited[name] = (
                    cpu.get(name, 0.0) + used_s,
                    waited.get(name, 0.0) + waited_s,
                )
        totals = self.request("discovery", do="figures")
        return {
            "at": time.monotonic(),
            "cpu": cpu,
            "waited": waited,
            "sent": totals["sent"] + self.ended_sent_bytes,
            "heard": totals["heard"] + self.ended_received_bytes,
        }

    def _store_cpu_time(self, name):
        """Stores the CPU time of a process that is about to end, as its successor has the same name."""
        with suppress(OSError):
            used_s, waited_s = cpu_s(self.children.running[name][0].pid)
            self.ended_cpu_s[name] = self.ended_cpu_s.get(name, 0.0) + used_s
            self.ended_wait_s[name] = self.ended_wait_s.get(name, 0.0) + waited_s

    def _publish(self, changes, key="list"):
        answer = self.request("discovery", do="tell", changes=changes)
        self.scene[key].append((answer["index"], answer["at"]))

    def _next_backend(self):
        self.changed_backends += 1
        return self.backend_names[self.changed_backends * STRIDE % len(self.backend_names)]

    def _drain_or_serve(self, number):
        if number % 2 == 0:
            self.drained_backend = self._next_backend()
        self._publish([[self.drained_backend, "SERVING" if number % 2 else "DRAINING", 0]])

    def _change_tenant(self, number):
        """Changes one tenant's quota in the document of each node that stores the settings."""
        self.changed_tenants += 1
        tenants = next(iter(self.documents.values()))["settings"]["customers"]
        tenant = tenants[self.changed_tenants * STRIDE % len(tenants)]
        tenant["quotaPerS"] = round(tenant["quotaPerS"] * 1.5, 3)
        for document in self.documents.values():
            # Ignored by real nodes; hollow ones report it
            document["version"] = self.changed_tenants
        new_paths = {number: self._write_new_file(number) for number in self.documents}
        for number, new_path in new_paths.items():
            os.replace(new_path, self.document_paths[number])
        self.scene["settings"].append((self.changed_tenants, time.monotonic()))
        for number in self.node_addresses:
            self.children.running[f"node {number}"][0].send_signal(signal.SIGHUP)
        self.request_all(self.full_groups, do="settings")

    def _restart(self, number):
        """Restarts a backend or a watch-only node, chosen in proportion to their numbers.

        The first restart of a scene also restarts a real node and a full hollow one.
        """
        now, backends_and_nodes = time.monotonic(), self.plan.backends.count + self.plan.nodes.count
        if number == 0:
            if self.plan.nodes.idle:
                self._restart_real(self.plan.nodes.loaded)
            if self.full_groups:
                self._stop_nodes([self.groups[self.full_groups[0]][0]])
                self.schedule(
                    now + NODE_DOWN_S, self._restart_nodes, [self.groups[self.full_groups[0]][0]]
                )
        watch_only_nodes = [
            first + index
            for first, count, full in self.groups.values()
            if not full
            for index in range(count)
        ]
        if watch_only_nodes and (number + 1) * STRIDE % backends_and_nodes < self.plan.nodes.count:
            nodes = [watch_only_nodes[number * STRIDE % len(watch_only_nodes)]]
            self._stop_nodes(nodes)
            return self.schedule(now + NODE_DOWN_S, self._restart_nodes, nodes)
        backend = self._next_backend()
        self._publish([[backend, "DRAINING", 0]])
        self.schedule(now + DRAIN_S, self._stop_backends, [backend])
        self.schedule(now + DRAIN_S + BACKEND_DOWN_S, self._start_backends, [backend])

    def _stop_backends(self, names):
        self.request("backends", do="die", names=names)

    def _start_backends(self, names):
        self.request("backends", do="live", names=names)
        since_ms = int(time.time() * 1000)
        self._publish([[name, "SERVING", since_ms] for name in names])

    def _stop_nodes(self, numbers):
        self.request_all(self._processes_of(numbers), do="down", numbers=numbers)

    def _restart_nodes(self, numbers):
        self.request_all(self._processes_of(numbers), do="up", numbers=numbers)

    def _processes_of(self, numbers):
        """Returns the names of the hollow processes that run these nodes."""
        return [
            name
            for name, (first, count, _) in self.groups.items()
            if any(first <= number < first + count for number in numbers)
        ]

    def _restart_real(self, number):
        name = f"node {number}"

        def restart():
            """Restarts the node; runs in a thread, so that it does not delay other changes."""
            try:
                self.down_intervals[number].append([time.monotonic(), float("inf")])
                self._store_cpu_time(name)
                self.children.end(name)
                started_at = time.monotonic()
                self._start_real_node(number)
                self.ready_times_s.append(self._wait_until_ready(number, started_at))
                self.down_intervals[number][-1][1] = time.monotonic()
            except (ChildExitedError, RunFailedError, ResourceLimitError) as error:
                self.restart_errors.append(str(error))

        thread = threading.Thread(target=restart, daemon=True)
        self.threads.append(thread)
        thread.start()

    def _stop_zone(self, _):
        """Stops the backends and the watch-only nodes of one zone, and restarts them later."""
        plan, now = self.plan, time.monotonic()
        lost_backends = [
            name for number, name in enumerate(self.backend_names) if zone_of(number, plan) == 0
        ]
        lost_nodes = [
            first + index
            for first, count, full in self.groups.values()
            if not full
            for index in range(count)
            if (first + index) % plan.backends.zones == 0
        ]
        self._stop_backends(lost_backends)
        self._stop_nodes(lost_nodes)
        self._publish([[name, "DELETED", 0] for name in lost_backends])
        restart_at = now + (self.scene["end"] - now - self.scene["plan"].tail_s()) / 2
        self.schedule(restart_at, self._start_backends, lost_backends)
        self.schedule(restart_at, self._restart_nodes, lost_nodes)

    def _kill_discovery(self, _):
        """Kills discovery while all watches are open, and schedules its restart without a history."""
        self._store_discovery_totals()
        self.discovery_state = self.request("discovery", do="state")
        self.expected_exits.add("discovery")
        process, _ = self.children.running["discovery"]
        process.kill()
        process.wait()
        self.children.end("discovery")
        self.schedule(time.monotonic() + self.scene["plan"].down_s, self._restart_discovery)

    def _store_discovery_totals(self):
        self._store_cpu_time("discovery")
        totals = self.request("discovery", do="figures")
        self.ended_sent_bytes += totals["sent"]
        self.ended_received_bytes += totals["heard"]

    def _restart_discovery(self):
        index = self.discovery_state["index"] + 1
        self._start_discovery(
            port=int(self.discovery.rpartition(":")[2]),
            index=index,
            changed=self.discovery_state["changed"],
        )
        self.expected_exits.discard("discovery")
        now = time.monotonic()
        self.scene["back"].append((index, now))
        backend = self._next_backend()
        # Published while all watches are being re-established.
        self.schedule(now + 0.2, self._publish, [[backend, "DRAINING", 0]])
        self.schedule(now + 2.0, self._publish, [[backend, "SERVING", 0]])

    # Results.

    def _collect_delays(self):
        """Collects the time until each change of the scene was in force, at hollow and real nodes."""
        scene = self.scene
        list_changes, settings_changes = scene["list"] + scene["back"], scene["settings"]
        answers = self.request_all(
            self.groups, do="delays", told=list_changes, settings=settings_changes
        )
        list_delays = [
            [ms for answer in answers.values() for ms in answer["list"][index]]
            for index in range(len(list_changes))
        ]
        settings_delays = [
            [ms for answer in answers.values() for ms in answer["settings"][index]]
            for index in range(len(settings_changes))
        ]
        scene["work"] = {
            key: [ms for answer in answers.values() for ms in answer[key]]
            for key in ("list_ms", "settings_ms")
        }
        for number in self.node_addresses:
            lines = self._log_lines(number)
            list_lines = [line for line in lines if line["event"] == "endpoints_updated"]
            for position, (version, changed_at) in enumerate(scene["list"]):
                if not any(begin <= changed_at < end for begin, end in self.down_intervals[number]):
                    list_delays[position].append(figures.delay_ms(changed_at, list_lines, version))
            settings_lines = [line for line in lines if line["event"] == "settings_applied"]
            for position, (_, changed_at) in enumerate(settings_changes):
                settings_delays[position].append(figures.delay_ms(changed_at, settings_lines))
            scene.setdefault("events", {})[number] = figures.count_notable_events(lines)
        list_count = len(scene["list"])
        scene["list_delays"], scene["back_delays"] = (
            list_delays[:list_count],
            list_delays[list_count:],
        )
        scene["settings_delays"] = settings_delays

    def _log_lines(self, number):
        """Returns the log lines of a real node since the last call; `at` is the monotonic time."""
        parsed_lines = []
        for log in self.node_logs[number]:
            with open(log[0], "rb") as file:
                file.seek(log[1])
                data = file.read()
            complete_lines = data[: data.rfind(b"\n") + 1]
            log[1] += len(complete_lines)
            for line in complete_lines.splitlines():
                line = orjson.loads(line)
                if "at_ms" in line:
                    line["at"] = line["at_ms"] / 1000 - self.unix_offset_s
                parsed_lines.append(line)
        return parsed_lines

    def _wait_for_last_version(self):
        """Waits until all hollow nodes store the last version; returns the time in s and discovery's state."""
        since = time.monotonic()
        state = self.request("discovery", do="state")
        while time.monotonic() < since + LAST_VERSION_TIMEOUT_S:
            answers = self.request_all(self.groups, do="versions")
            if all(
                version == state["index"]
                for answer in answers.values()
                for version in answer["versions"]
            ):
                break
            wait(0.1, self.check)
        return {"after_s": round(time.monotonic() - since, 2), **state}

    def _check_lists(self):
        """Compares the version and the list of each node with discovery's.

        Real nodes report their list at the management endpoint `/backends`.
        """
        state = self.request("discovery", do="state")
        answers = self.request_all(self.groups, do="check", **state)
        hollow = {
            key: sum(answer[key] for answer in answers.values())
            for key in ("nodes", "current", "right", "twice", "lost", "faults")
        }
        wrong_counts = {
            f"n{number}": self._count_wrong_backends(number, state["changed"])
            for number in self.node_addresses
        }
        pss = {name: pss_mb(pid) for name, pid in self._list_processes()}
        return {
            "version": state["index"],
            "hollow": hollow,
            "pss_mb": pss,
            "real": {
                "nodes": len(self.node_addresses),
                "wrong": wrong_counts,
                "right": sum(count == 0 for count in wrong_counts.values()),
            },
            "watches": self.request("discovery", do="figures")["watches"],
        }

    def _count_wrong_backends(self, number, changed):
        """Returns how many backends a real node reports differently from discovery.

        Waits for the node to receive the last change; returns -1 if it does not answer.
        """
        deadline, wrong_count = time.monotonic() + REAL_NODE_TIMEOUT_S, -1
        while wrong_count and time.monotonic() < deadline:
            status, body = _http_get(self.documents[number]["management"], "/backends", 5.0)
            if status == 200:
                states = {row["name"]: row["state"] for row in orjson.loads(body)["backends"]}
                wrong_count = figures.count_wrong_states(states, self.backend_names, changed)
            if wrong_count:
                wait(0.2, self.check)
        return wrong_count

    def _audit_requests(self):
        """Returns the client rows through nodes, those of direct requests and the audit verdict."""
        node_ledgers = [
            records.read(self.children.path(f"clients-n{number}.jsonl"))
            for number in range(self.plan.nodes.loaded)
        ]
        direct_rows, _ = records.read(self.children.path("clients-straight.jsonl"))
        client_rows = sorted(
            (row for rows, _ in node_ledgers for row in rows), key=lambda row: row["t_ms"]
        )
        backend_rows, gaps = records.read(self.children.path("backends.jsonl"))
        if not self.plan.nodes.loaded:
            gaps = []
        for number in range(1, self.incarnation + 1):
            rows, _ = records.read(self.children.path(f"discovery-{number}.jsonl"))
            backend_rows += rows
        backend_rows.sort(key=lambda row: row["t_ms"])
        limit_ms = self.plan.load.limit_ms
        settings = AuditSettings(
            drain_grace_ms=500.0,
            request_classes={
                name: request_class_rules(repeats, "all", 0.0, limit_ms)
                for name, repeats in REQUEST_CLASS_REPEATS.items()
            },
        )
        verdict = rules.audit(
            settings,
            client_rows,
            backend_rows,
            [gap for _, ledger_gaps in node_ledgers for gap in ledger_gaps] + gaps,
        )
        return client_rows, direct_rows, verdict

    def stop_guard(self):
        """Stops the guard thread, if it was started."""
        if self.guard_thread is not None:
            self.guard_thread.stop_requested.set()


def _http_get(address, path, timeout_s=1.0):
    """Returns (status, body) of a GET request; (0, b"") if there is no response in time."""
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
