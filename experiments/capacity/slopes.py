"""Measures how the costs of one node grow with tenants, backends and nodes; the basis of docs/CAPACITY.md.

    .venv/bin/python experiments/capacity/slopes.py run OUT.json [RUNS [AXIS ...]]   one process per row
    .venv/bin/python experiments/capacity/slopes.py again OUT.json       repeats the rows that failed
    .venv/bin/python experiments/capacity/slopes.py pairs OUT.json       a request with all tenants and with few
    .venv/bin/python experiments/capacity/slopes.py show OUT.json [OTHER.json]   prints fits and figures

Times are CPU time of the process that does the work, so that a busy machine affects them little, except for the
two that are wall time, `ready_s` and `held_ms`. Whole processes are a real `python -m pierglade` with a minimal
stand-in discovery. The quotas of all tenants together are the target's 170,000 requests/s in every row, so a node
gets 236 requests/s and the same number of backends in its subset.
"""

import gc
import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT))

import orjson  # noqa: E402 - after the path of the checkout that contains this file

TENANTS, BACKENDS, NODES, RATE = 47000, 6800, 720, 170000  # the target; RATE in requests/s
BASELINE = {"tenants": 100, "backends": 32, "nodes": 5}
DIVISORS = (8, 4, 2, 1)  # an axis is measured at an eighth, a quarter, a half and all of the target
# Ticks (tenths of a ms): the start, the interval between requests (236/s), and the time of each response.
START_TICKS, REQUEST_INTERVAL_TICKS, RESPONSE_TICKS = 10**9, 42, 200
CHANGES, REQUESTS, RELOADS = 50, 3000, 5
IDLE_S = 10  # how long an idle process is measured
MAX_READ_BYTES = 65536
# Fractional part of the golden ratio: spreads quotas from half of the mean to one and a half, neighbours apart.
GOLDEN_RATIO_FRACTION = 0.6180339887


def rows():
    """Yields (axis, sizes) of each row."""
    target = {"tenants": TENANTS, "backends": BACKENDS, "nodes": NODES}
    for axis, size in target.items():
        for divisor in DIVISORS:
            yield axis, {**BASELINE, "nodes": NODES, axis: size // divisor}
    yield "least", {**BASELINE, "nodes": NODES}
    yield "all", target


def settings_document(tenants, nodes):
    """Returns the platform's settings for this many tenants and nodes."""
    example = json.loads((ROOT / "deploy" / "example.json").read_text())["settings"]
    return dict(
        example,
        siblings=nodes,
        me=3,
        customers=[
            {
                "name": f"tenant-{i}",
                "quotaPerS": round(RATE / tenants * (0.5 + i * GOLDEN_RATIO_FRACTION % 1), 2),
            }
            for i in range(tenants)
        ],
    )


def endpoint_entries(backends, address="127.0.0.1:9001"):
    """Returns the entries of an endpoint list."""
    return [
        {
            "name": f"svc-{i % 210}-b{i}",
            "address": address,
            "zone": f"z{i % 10}",
            "type": "m2",
            "group": i % 4,
            "status": "SERVING",
            "weight": 1.0,
            "since_ms": 0,
        }
        for i in range(backends)
    ]


def node_document(tenants, nodes, **others):
    """Returns the JSON document that a node is started with."""
    return {
        "name": "n1",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "seed": "8c1f30d27a5be964",
        "limits": {"sockets": 1024, "memory_mb": 192},
        "settings": settings_document(tenants, nodes),
        **others,
    }


def write_document(path, document):
    """Replaces the file atomically, as operators do."""
    temporary_path = path + ".new"
    with open(temporary_path, "wb") as file:
        file.write(orjson.dumps(document))
    os.replace(temporary_path, path)


def memory_mb(pid="self"):
    """Returns the resident memory of a process."""
    if pid == "self":
        gc.collect()
    for line in open(f"/proc/{pid}/status"):
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024


def cpu_ms(call, *arguments):
    """Returns the result of the call and its CPU time in ms."""
    begin = time.process_time()
    result = call(*arguments)
    return result, (time.process_time() - begin) * 1e3


def append_cpu_ms(durations, call, *arguments):
    """Returns the result of the call and appends its CPU time in ms to `durations`."""
    result, ms = cpu_ms(call, *arguments)
    durations.append(ms)
    return result


def run_steps(steps, durations):
    """Runs a generator to its end and returns its result; appends the CPU ms of each step to `durations`."""
    while True:
        begin = time.process_time()
        try:
            next(steps)
        except StopIteration as stop:
            return stop.value
        finally:
            durations.append((time.process_time() - begin) * 1e3)


# One row: the decisions and the settings alone, then the same through the state machine of a whole node.


def measure_row(tenants, backends, nodes):
    """Measures the decisions and the settings in this process; returns the figures by name."""
    from pierglade.balancer.balancer import Balancer
    from pierglade.model.decision import SendAttempt
    from pierglade.model.endpoint import Endpoint, EndpointState
    from pierglade.model.outcome import Outcome
    from pierglade.model.request import Request
    from pierglade.settings import platform as platform_settings

    figures = {}
    document = node_document(tenants, nodes)
    text = orjson.dumps(document["settings"])
    endpoints = [
        Endpoint(e["name"], EndpointState.READY, e["zone"], e["group"], 0, 1.0)
        for e in endpoint_entries(backends)
    ]
    del document
    initial_mb = memory_mb()
    settings, figures["settings_ms"] = cpu_ms(
        lambda: platform_settings.settings_from(orjson.loads(text))
    )
    mb_with_settings = memory_mb()
    figures["settings_mb"] = mb_with_settings - initial_mb
    node = Balancer(1, settings, START_TICKS)
    _, figures["list_ms"] = cpu_ms(node.endpoints_updated, START_TICKS, endpoints, True)
    figures["list_mb"] = memory_mb() - mb_with_settings

    def apply_changes():
        for k in range(CHANGES):
            endpoint = endpoints[k * 7 % backends]
            state = EndpointState.READY if k % 2 else EndpointState.DRAINING
            node.endpoints_updated(
                START_TICKS + k,
                [Endpoint(endpoint.name, state, endpoint.zone, endpoint.cell, 0, 1.0)],
                False,
            )

    figures["change_us"] = cpu_ms(apply_changes)[1] * 1e3 / CHANGES

    steps = []

    def process_requests():
        now, in_flight = START_TICKS + 10**5, []
        request_class = settings.request_classes[0]
        for k in range(REQUESTS):
            now += REQUEST_INTERVAL_TICKS
            begin = time.process_time()
            node.request_received(
                now,
                Request(
                    k,
                    request_class,
                    settings.tenants[k % tenants],
                    now,
                    now + request_class.request_timeout,
                ),
            )
            while (decision := node.next_decision(now)) is not None:
                if type(decision) is SendAttempt:
                    in_flight.append((now + RESPONSE_TICKS, decision.attempt))
            while in_flight and in_flight[0][0] <= now:
                node.attempt_ended(now, in_flight.pop(0)[1], Outcome.SUCCESS, RESPONSE_TICKS, True)
            steps.append((time.process_time() - begin) * 1e6)

    figures["request_us"] = cpu_ms(process_requests)[1] * 1e3 / REQUESTS
    # How long a step delays a request that waits for it; the target allows 1.4 ms for all that a node adds.
    figures["step_p99_us"] = sorted(steps)[REQUESTS * 99 // 100]
    del node, settings, endpoints
    gc.collect()
    figures.update(measure_state(tenants, backends, nodes))
    return figures


def measure_state(tenants, backends, nodes):
    """Measures changes through the state machine, and reloads of the file as after SIGHUP."""
    import msgspec

    from pierglade.__main__ import GC_THRESHOLD, config_from_environ, reloaded_config
    from pierglade.proxy.state.events import ConfigurationLoaded, EndpointsUpdated
    from pierglade.proxy.state.machine import ProxyStateMachine

    try:
        from pierglade.__main__ import reload_steps
        from pierglade.reconfiguration import quota_changes
    except ImportError:
        quota_changes = None  # commits before changes were applied as differences
    try:
        from pierglade.reconfiguration.document_reader import read_endpoint_list
    except ImportError:
        read_endpoint_list = None  # commits before lists were parsed in steps
    figures = {}
    document, entries = node_document(tenants, nodes), endpoint_entries(backends)
    snapshot = {"index": 1, "snapshot": True, "endpoints": entries}
    drained = {"index": 2, "snapshot": False, "endpoints": [dict(entries[7], status="DRAINING")]}
    encode = msgspec.json.Encoder().encode  # the encoder of the stand-in discovery
    line, figures["list_encode_ms"] = cpu_ms(encode, snapshot)
    figures["file_bytes"], figures["list_bytes"] = len(orjson.dumps(document)), len(line)
    figures["difference_bytes"] = len(
        b"%x\r\n%s\n\r\n" % (len(encode(drained)) + 1, encode(drained))
    )
    figures["heartbeat_bytes"] = len(b"1\r\n\n\r\n")
    figures["tenant_bytes"] = len(orjson.dumps(document["settings"]["customers"][-1]))
    with tempfile.TemporaryDirectory() as folder:
        path = os.environ["BALANCER_CONFIG"] = os.path.join(folder, "n1.json")
        write_document(path, document)
        config = config_from_environ(os.environ)
        gc.collect()
        gc.freeze()  # As in a node; otherwise garbage collections would count towards the steps.
        gc.set_threshold(GC_THRESHOLD, 20, 20)
        state_machine = ProxyStateMachine(
            config.seed, config.settings, START_TICKS, 1000, config.discovery, config.document
        )
        _, figures["state_list_ms"] = cpu_ms(
            lambda: state_machine.apply(START_TICKS, EndpointsUpdated(orjson.loads(line)))
        )
        now, durations = START_TICKS, []
        for k in range(CHANGES):
            entry = dict(entries[k * 7 % backends], status="SERVING" if k % 2 else "DRAINING")
            message = orjson.dumps({"index": k + 2, "snapshot": False, "endpoints": [entry]})
            now += 10
            durations.append(
                cpu_ms(lambda: state_machine.apply(now, EndpointsUpdated(orjson.loads(message))))[1]
            )
        figures["state_change_us"] = sum(durations) * 1e3 / CHANGES
        # The whole list received again unchanged, as from a discovery that restarted without its history.
        steps = []
        now += 10000
        repeated_list = orjson.dumps({**snapshot, "index": now})
        parsed_list = (
            run_steps(read_endpoint_list(repeated_list), steps)
            if read_endpoint_list
            else append_cpu_ms(steps, orjson.loads, repeated_list)
        )
        append_cpu_ms(steps, state_machine.apply, now, EndpointsUpdated(parsed_list))
        figures["list_again_ms"], figures["list_again_step_ms"] = sum(steps), max(steps)
        # A zone, one in ten backends, is removed and added again, each in one message.
        zone = [entry for entry in entries if entry["zone"] == "z3"]
        for name, fields in (
            ("zone_gone_ms", {"status": "DELETED"}),
            ("zone_back_ms", {"since_ms": START_TICKS // 10}),
        ):
            now += 10000
            changed = [{**entry, **fields} for entry in zone]
            message = orjson.dumps({"index": now, "snapshot": False, "endpoints": changed})
            _, figures[name] = cpu_ms(
                lambda: state_machine.apply(now, EndpointsUpdated(orjson.loads(message)))
            )
            figures["zone_bytes"] = len(message)

        def reload(change):
            """Returns the CPU ms of the reload and of its longest step; requests are served between steps."""
            nonlocal now
            change(document["settings"])
            write_document(path, document)
            now += 10000
            steps = []
            if quota_changes is None:
                new_config, ms = cpu_ms(reloaded_config, config)
                steps.append(
                    ms
                    + cpu_ms(
                        state_machine.apply,
                        now,
                        ConfigurationLoaded(
                            new_config.discovery, new_config.document, new_config.settings
                        ),
                    )[1]
                )
                return sum(steps), steps[0]
            new_config = run_steps(reload_steps(config), steps)
            changes = run_steps(
                quota_changes.compare_quotas(
                    state_machine.balancers.settings.tenants, new_config.settings.tenants.quotas
                ),
                steps,
            )
            steps.append(
                cpu_ms(
                    state_machine.apply,
                    now,
                    ConfigurationLoaded(
                        new_config.discovery, new_config.document, new_config.settings, changes
                    ),
                )[1]
            )
            return sum(steps), max(steps)

        for name, change in (
            ("reload", lambda settings: settings["customers"][0].update(quotaPerS=now / 10**9)),
            (
                "reload_other",
                lambda settings: settings["offerings"][0].update(credit=now / 10**9),
            ),
        ):
            durations = [reload(change) for _ in range(RELOADS)]
            figures[f"{name}_ms"] = sum(ms for ms, _ in durations) / RELOADS
            figures[f"{name}_step_ms"] = max(step for _, step in durations)
    return figures


# A whole process.


class DiscoveryAgent:
    """A stand-in discovery: serves the whole list, then a watch that only sends heartbeats."""

    def __init__(self, backends, *address):
        endpoints = endpoint_entries(backends, *address)
        self.body = orjson.dumps({"index": 1, "snapshot": True, "endpoints": endpoints})
        self.server = socket.create_server(("127.0.0.1", 0))
        self.address = "%s:%d" % self.server.getsockname()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                sock, _ = self.server.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock):
        try:
            if b"follow=1" not in sock.recv(MAX_READ_BYTES):
                sock.sendall(
                    b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(self.body) + self.body
                )
                sock.recv(MAX_READ_BYTES)
                return
            sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            while True:
                sock.sendall(b"1\r\n\n\r\n")
                time.sleep(2)
        except OSError:
            pass
        finally:
            sock.close()


def free_address():
    with socket.create_server(("127.0.0.1", 0)) as server:
        return "%s:%d" % server.getsockname()


class ReadinessProbe:
    """Requests /health/ready every 4 ms on one connection; the slowest response shows how long the loop blocked."""

    def __init__(self, address):
        self.address, self.max_latency, self.is_stopped, self.error = address, 0.0, False, None
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        connection = None
        try:
            while not self.is_stopped:
                connection = connection or http.client.HTTPConnection(self.address, timeout=30)
                begin = time.perf_counter()
                connection.request("GET", "/health/ready")
                response = connection.getresponse()
                response.read()
                if response.will_close:
                    connection.close()
                self.max_latency = max(self.max_latency, time.perf_counter() - begin)
                time.sleep(0.004)
        except (OSError, http.client.HTTPException) as error:
            self.error = repr(error)

    def stop(self):
        """Stops the probe; returns the longest latency in ms."""
        self.is_stopped = True
        self.thread.join()
        return self.max_latency * 1e3


def is_ready(address):
    try:
        connection = http.client.HTTPConnection(address, timeout=30)
        connection.request("GET", "/health/ready")
        return connection.getresponse().status == 200
    except OSError:
        return False


def cpu_s(pid):
    """Returns the CPU time of a process in seconds."""
    fields = open(f"/proc/{pid}/stat").read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def measure_process(tenants, backends, nodes, uses_discovery):
    """Measures a node process; returns the figures by name.

    `uses_discovery`: the endpoint list comes from a discovery; otherwise from the file, with an unreachable
    discovery.
    """
    figures = {}
    agent = DiscoveryAgent(backends) if uses_discovery else None
    listen = free_address()
    document = node_document(
        tenants, nodes, listen=listen, discovery=agent.address if uses_discovery else "127.0.0.1:1"
    )
    if not uses_discovery:
        document["known"] = {"index": 1, "snapshot": True, "endpoints": endpoint_entries(backends)}
    with tempfile.TemporaryDirectory() as folder:
        path = os.path.join(folder, "n1.json")
        write_document(path, document)
        with open(os.path.join(folder, "log"), "w") as log:
            began = time.perf_counter()
            node = subprocess.Popen(
                [sys.executable, "-m", "pierglade"],
                stdout=log,
                cwd=ROOT,
                env={**os.environ, "BALANCER_CONFIG": path},
            )
        try:
            while not is_ready(listen):
                if node.poll() is not None:
                    raise SystemExit(
                        f"the node exited with {node.returncode} before it became ready"
                    )
                time.sleep(0.02)
            figures["ready_s"] = time.perf_counter() - began
            figures["start_cpu_s"] = cpu_s(node.pid)
            figures["start_mb"] = memory_mb(node.pid)
            time.sleep(1)
            begin = cpu_s(node.pid)
            time.sleep(IDLE_S)
            figures["idle_core"] = (cpu_s(node.pid) - begin) / IDLE_S
            blocked_ms, begin = [], cpu_s(node.pid)
            for k in range(RELOADS):
                document["settings"]["customers"][k % tenants]["quotaPerS"] += 1
                write_document(path, document)
                probe = ReadinessProbe(listen)
                time.sleep(0.2)
                node.send_signal(signal.SIGHUP)
                time.sleep(0.5)
                while log_count(folder, "config_reloaded") <= k:
                    if log_count(folder, "config_rejected") or node.poll() is not None:
                        raise SystemExit(
                            f"the node rejected change {k} of the settings, or exited while applying it"
                        )
                    time.sleep(0.05)
                time.sleep(0.3)
                blocked_ms.append(probe.stop())
                if probe.error:
                    figures["prober"] = probe.error
                if k == 0:
                    figures["one_change_mb"] = memory_mb(node.pid)
            figures["changes_mb"] = memory_mb(node.pid)
            figures["changes_cpu_s"] = cpu_s(node.pid) - begin
            figures["held_ms"] = blocked_ms
        finally:
            node.send_signal(signal.SIGTERM)
            try:
                node.wait(15)
            except subprocess.TimeoutExpired:
                node.kill()
                node.wait()
            if agent:
                agent.server.close()
    return figures


def log_count(folder, event):
    """Returns how often `event` occurs in the node's log."""
    return pathlib.Path(folder, "log").read_text().count(event)


# All rows, and their evaluation.


def current_commit():
    return subprocess.run(
        ["git", "describe", "--always", "--dirty", "--exclude=*"],
        cwd=ROOT,
        text=True,
        capture_output=True,
    ).stdout.strip()


def run(out, runs, *axes):
    """Measures all rows and processes `runs` times; with `axes` only rows of these axes, and no processes."""
    result = {
        "commit": current_commit(),
        "began": time.strftime("%H:%M:%S"),
        "load": [os.getloadavg()[0]],
        "plays": runs,
        "rows": [],
        "processes": [],
    }
    shapes = (
        ("empty", 1, 1),
        ("tenants", TENANTS, BASELINE["backends"]),
        ("backends", BASELINE["tenants"], BACKENDS),
        ("full", TENANTS, BACKENDS),
    )
    for run_number in range(runs):
        for axis, row in rows():
            if axes and axis not in axes:
                continue
            result["rows"].append(
                {"axis": axis, "play": run_number, **row, **run_child("row", *row.values())}
            )
        for uses_discovery in () if axes else (False, True):
            for shape, tenants, backends in shapes:
                row = {
                    "shape": shape,
                    "told": uses_discovery,
                    "tenants": tenants,
                    "backends": backends,
                }
                result["processes"].append(
                    {
                        **row,
                        "play": run_number,
                        **run_child("process", tenants, backends, NODES, int(uses_discovery)),
                    }
                )
        result["load"].append(os.getloadavg()[0])
        result["ended"] = time.strftime("%H:%M:%S")
        pathlib.Path(out).write_text(json.dumps(result, indent=1) + "\n")


def repeat_failed(out):
    """Repeats the rows that failed and retains their error as `failed_before`."""
    result = json.loads(pathlib.Path(out).read_text())
    for row in result["rows"] + result["processes"]:
        if "failed" not in row:
            continue
        row["failed_before"] = row.pop("failed")
        sizes = [row[name] for name in (*BASELINE, "told") if name in row]
        if "shape" in row:
            sizes.insert(2, NODES)
        row.update(run_child("process" if "shape" in row else "row", *map(int, sizes)))
    pathlib.Path(out).write_text(json.dumps(result, indent=1) + "\n")


def run_pairs(out, runs):
    """Measures the CPU time of a request with all tenants relative to few, one right after the other; sorted."""
    result = {"load": os.getloadavg()[0], "plays": runs}
    for backends in (BASELINE["backends"], BACKENDS):
        ratios = []
        for _ in range(runs):
            few_tenants, all_tenants = (
                run_child("row", tenants, backends, NODES)
                for tenants in (BASELINE["tenants"], TENANTS)
            )
            ratios.append(all_tenants["request_us"] / few_tenants["request_us"])
        result[f"{backends} backends"] = [round(ratio, 2) for ratio in sorted(ratios)]
    pathlib.Path(out).write_text(json.dumps(result) + "\n")
    print(json.dumps(result))


def run_child(kind, *sizes):
    """Runs one measurement in a process of its own; returns its figures, or {"failed": the error}."""
    completed = subprocess.run(
        [sys.executable, __file__, kind, *map(str, sizes)],
        cwd=ROOT,
        text=True,
        capture_output=True,
    )
    if completed.returncode:
        return {"failed": completed.stderr.strip().splitlines()[-1:] or completed.returncode}
    return round_figures(json.loads(completed.stdout))


def round_figures(figures):
    return {
        key: [round(v, 3) for v in value]
        if isinstance(value, list)
        else round(value, 4)
        if isinstance(value, float)
        else value
        for key, value in figures.items()
    }


def print_results(paths):
    """Prints the figures of each result file, with a fit along each axis."""
    # Imported here, so that rows can be measured on earlier commits, which lack this module.
    from pierglade.scale.fit import fit

    for path in paths:
        result = json.loads(pathlib.Path(path).read_text())
        print(
            f"\n{path}: {result['commit']}, {result['plays']} runs, {result['began']} to "
            f"{result['ended']}, load {min(result['load']):.0f} to {max(result['load']):.0f}"
        )
        succeeded = [row for row in result["rows"] if "failed" not in row]
        for row in result["rows"] + result["processes"]:
            if "failed" in row:
                print("failed:", row)
        names = [key for key in succeeded[0] if key not in ("axis", "play", *BASELINE)]
        for name in names:
            for axis in BASELINE:
                if not any(row["axis"] == axis for row in succeeded):
                    continue
                xs, ys = zip(*((row[axis], row[name]) for row in succeeded if row["axis"] == axis))
                fitted = fit(list(zip(xs, ys)))
                means = [
                    sum(y for at, y in zip(xs, ys) if at == x) / xs.count(x)
                    for x in sorted(set(xs))
                ]
                print(
                    f"{name:17} {axis:9}",
                    *(f"{mean:11.4g}" for mean in means),
                    f"  {fitted.shape:9} {fitted.base:.3g} {fitted.slope:.3g}, power {fitted.exponent:.2f}, "
                    f"error {fitted.error:.0%}",
                )
            for axis in ("least", "all"):
                ys = [row[name] for row in succeeded if row["axis"] == axis]
                print(
                    f"{name:17} {axis:9}",
                    f"{sum(ys) / len(ys):11.4g}  ({min(ys):.4g} to {max(ys):.4g})",
                )
        print()
        processes = [row for row in result["processes"] if "failed" not in row]
        for uses_discovery in (False, True):
            for shape in ("empty", "tenants", "backends", "full"):
                matching = [
                    row
                    for row in processes
                    if row["shape"] == shape and row["told"] == uses_discovery
                ]
                if not matching:
                    continue
                means = {
                    key: sum(row[key] for row in matching) / len(matching)
                    for key in matching[0]
                    if key.endswith(("_mb", "_s", "_core"))
                }
                blocked_ms = [ms for row in matching for ms in row["held_ms"]]
                print(
                    f"{shape:9} {'watch' if uses_discovery else 'file':5}",
                    *(f"{key} {value:.3g}" for key, value in means.items()),
                    f"loop blocked ms {min(blocked_ms):.0f} to {max(blocked_ms):.0f}",
                    *{row["prober"] for row in matching if "prober" in row},
                )


def main(command, *arguments):
    """Runs the command given on the command line."""
    if command == "row":
        print(json.dumps(measure_row(*map(int, arguments))))
    elif command == "process":
        *sizes, uses_discovery = map(int, arguments)
        print(json.dumps(measure_process(*sizes, bool(uses_discovery))))
    elif command == "run":
        run(arguments[0], int(arguments[1]) if len(arguments) > 1 else 3, *arguments[2:])
    elif command == "pairs":
        run_pairs(arguments[0], int(arguments[1]) if len(arguments) > 1 else 7)
    elif command == "again":
        repeat_failed(arguments[0])
    elif command == "show":
        print_results(arguments)
    else:
        sys.exit(__doc__)


if __name__ == "__main__":
    main(*sys.argv[1:] or ["help"])
