"""What one node's parts cost as tenants, backends and nodes grow to the target; the base of docs/CAPACITY.md.

    .venv/bin/python experiments/capacity/slopes.py run OUT.json [PLAYS [AXIS ...]]   a process a row
    .venv/bin/python experiments/capacity/slopes.py again OUT.json         plays anew what failed in it
    .venv/bin/python experiments/capacity/slopes.py pairs OUT.json       a request, all tenants against few
    .venv/bin/python experiments/capacity/slopes.py show OUT.json [OTHER.json]   fits and figures as text

Times are CPU time of the process that does the work, so that a busy machine shifts them little; the two
that are wall time say so. Whole processes: a real `python -m pierglade` beside a stand-in discovery of a
few lines. Shares of all tenants together are the target's 170,000 requests/s in every row, so a node has
236 a second and the same number of backends in view.
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

import orjson  # noqa: E402 - the checkout that this file stands in

TENANTS, BACKENDS, NODES, RATE = 47000, 6800, 720, 170000  # the target
LEAST = {"tenants": 100, "backends": 32, "nodes": 5}
PARTS = (8, 4, 2, 1)  # an axis is played at an eighth, a quarter, a half and the whole
NOW, GAP, TOOK = 10**9, 42, 200  # tenths of a ms: the start, between requests (236/s), each answer
CHANGES, REQUESTS, RELOADS = 50, 3000, 5
IDLE_S = 10  # s; how long a whole process is watched with nothing to do
READ_MOST = 65536
UNLIKE = 0.6180339887  # shares from half of the mean to one and a half, no two neighbours alike


def rows():
    whole = {"tenants": TENANTS, "backends": BACKENDS, "nodes": NODES}
    for axis, most in whole.items():
        for part in PARTS:
            yield axis, {**LEAST, "nodes": NODES, axis: most // part}
    yield "least", {**LEAST, "nodes": NODES}
    yield "all", whole


def settings_of(tenants, nodes):
    example = json.loads((ROOT / "deploy" / "example.json").read_text())["settings"]
    return dict(
        example,
        siblings=nodes,
        me=3,
        customers=[
            {"name": f"tenant-{i}", "quotaPerS": round(RATE / tenants * (0.5 + i * UNLIKE % 1), 2)}
            for i in range(tenants)
        ],
    )


def endpoints_of(backends, address="127.0.0.1:9001"):
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


def document_of(tenants, nodes, **others):
    return {
        "name": "n1",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "seed": "8c1f30d27a5be964",
        "limits": {"sockets": 1024, "memory_mb": 192},
        "settings": settings_of(tenants, nodes),
        **others,
    }


def write(path, document):
    # As operators replace it: never half a file.
    new = path + ".new"
    with open(new, "wb") as file:
        file.write(orjson.dumps(document))
    os.replace(new, path)


def memory_mb(pid="self"):
    if pid == "self":
        gc.collect()
    for line in open(f"/proc/{pid}/status"):
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024


def cpu_ms(call, *what):
    begin = time.process_time()
    result = call(*what)
    return result, (time.process_time() - begin) * 1e3


def timed(spans, call, *what):
    result, ms = cpu_ms(call, *what)
    spans.append(ms)
    return result


def walked(steps, spans):
    """What a work in steps returns; the CPU ms of each step are added to `spans`."""
    while True:
        begin = time.process_time()
        try:
            next(steps)
        except StopIteration as over:
            return over.value
        finally:
            spans.append((time.process_time() - begin) * 1e3)


# One row: the decisions and the settings alone, then the same through the state of a whole node.


def play(tenants, backends, nodes):
    from pierglade.balancer.balancer import Balancer
    from pierglade.model.decision import SendAttempt
    from pierglade.model.endpoint import Endpoint, EndpointState
    from pierglade.model.outcome import Outcome
    from pierglade.model.request import Request
    from pierglade.settings import platform as t

    found = {}
    document = document_of(tenants, nodes)
    text = orjson.dumps(document["settings"])
    listed = [
        Endpoint(e["name"], EndpointState.READY, e["zone"], e["group"], 0, 1.0)
        for e in endpoints_of(backends)
    ]
    del document
    before = memory_mb()
    terms, found["settings_ms"] = cpu_ms(lambda: t.settings_from(orjson.loads(text)))
    with_terms = memory_mb()
    found["settings_mb"] = with_terms - before
    node = Balancer(1, terms, NOW)
    _, found["list_ms"] = cpu_ms(node.endpoints_updated, NOW, listed, True)
    found["list_mb"] = memory_mb() - with_terms

    def changes():
        for k in range(CHANGES):
            e = listed[k * 7 % backends]
            state = EndpointState.READY if k % 2 else EndpointState.DRAINING
            node.endpoints_updated(
                NOW + k, [Endpoint(e.name, state, e.zone, e.cell, 0, 1.0)], False
            )

    found["change_us"] = cpu_ms(changes)[1] * 1e3 / CHANGES

    steps = []

    def requests():
        now, out = NOW + 10**5, []
        request_class = terms.request_classes[0]
        for k in range(REQUESTS):
            now += GAP
            begin = time.process_time()
            node.request_received(
                now,
                Request(
                    k,
                    request_class,
                    terms.tenants[k % tenants],
                    now,
                    now + request_class.request_timeout,
                ),
            )
            while (decision := node.next_decision(now)) is not None:
                if type(decision) is SendAttempt:
                    out.append((now + TOOK, decision.attempt))
            while out and out[0][0] <= now:
                node.attempt_ended(now, out.pop(0)[1], Outcome.SUCCESS, TOOK, True)
            steps.append((time.process_time() - begin) * 1e6)

    found["request_us"] = cpu_ms(requests)[1] * 1e3 / REQUESTS
    # What a request waits for in its turn: 1.4 ms are the target's for all that a node adds.
    found["step_p99_us"] = sorted(steps)[REQUESTS * 99 // 100]
    del node, terms, listed
    gc.collect()
    found.update(play_state(tenants, backends, nodes))
    return found


def play_state(tenants, backends, nodes):
    """Through the reducer and the file that SIGHUP reads again."""
    import msgspec

    from pierglade.__main__ import GARBAGE, config_from_environ, reloaded_config
    from pierglade.proxy.state.events import ConfigurationLoaded, EndpointsUpdated
    from pierglade.proxy.state.machine import ProxyStateMachine

    try:
        from pierglade.__main__ import reload_steps
        from pierglade.reconfiguration import quota_changes as shares
    except ImportError:
        shares = None  # before changes by difference
    try:
        from pierglade.reconfiguration.document_reader import parsed
    except ImportError:
        parsed = None  # before lists were read in steps
    found = {}
    document, whole = document_of(tenants, nodes), endpoints_of(backends)
    snapshot = {"index": 1, "snapshot": True, "endpoints": whole}
    drained = {"index": 2, "snapshot": False, "endpoints": [dict(whole[7], status="DRAINING")]}
    encode = msgspec.json.Encoder().encode  # as the stand-in discovery does
    line, found["list_encode_ms"] = cpu_ms(encode, snapshot)
    found["file_bytes"], found["list_bytes"] = len(orjson.dumps(document)), len(line)
    found["difference_bytes"] = len(b"%x\r\n%s\n\r\n" % (len(encode(drained)) + 1, encode(drained)))
    found["heartbeat_bytes"] = len(b"1\r\n\n\r\n")
    found["tenant_bytes"] = len(orjson.dumps(document["settings"]["customers"][-1]))
    with tempfile.TemporaryDirectory() as folder:
        path = os.environ["BALANCER_CONFIG"] = os.path.join(folder, "n1.json")
        write(path, document)
        first = config_from_environ(os.environ)
        gc.collect()
        gc.freeze()  # as a node does; else collections count among the steps
        gc.set_threshold(GARBAGE, 20, 20)
        reducer = ProxyStateMachine(
            first.seed, first.settings, NOW, 1000, first.discovery, first.document
        )
        _, found["state_list_ms"] = cpu_ms(
            lambda: reducer.apply(NOW, EndpointsUpdated(orjson.loads(line)))
        )
        now, spans = NOW, []
        for k in range(CHANGES):
            entry = dict(whole[k * 7 % backends], status="SERVING" if k % 2 else "DRAINING")
            told = orjson.dumps({"index": k + 2, "snapshot": False, "endpoints": [entry]})
            now += 10
            spans.append(
                cpu_ms(lambda: reducer.apply(now, EndpointsUpdated(orjson.loads(told))))[1]
            )
        found["state_change_us"] = sum(spans) * 1e3 / CHANGES
        # The whole list heard again as it is, as from a discovery that came back without its history.
        steps = []
        now += 10000
        again_told = orjson.dumps({**snapshot, "index": now})
        heard = (
            walked(parsed(again_told), steps) if parsed else timed(steps, orjson.loads, again_told)
        )
        timed(steps, reducer.apply, now, EndpointsUpdated(heard))
        found["list_again_ms"], found["list_again_step_ms"] = sum(steps), max(steps)
        # A zone, one in ten backends, is gone and comes back, each in one message.
        zone = [entry for entry in whole if entry["zone"] == "z3"]
        for name, other in (
            ("zone_gone_ms", {"status": "DELETED"}),
            ("zone_back_ms", {"since_ms": NOW // 10}),
        ):
            now += 10000
            changed = [{**entry, **other} for entry in zone]
            told = orjson.dumps({"index": now, "snapshot": False, "endpoints": changed})
            _, found[name] = cpu_ms(
                lambda: reducer.apply(now, EndpointsUpdated(orjson.loads(told)))
            )
            found["zone_bytes"] = len(told)

        def reload(change):
            """CPU ms of it all, and of the longest step; requests pass between two, where it has steps."""
            nonlocal now
            change(document["settings"])
            write(path, document)
            now += 10000
            steps = []
            if shares is None:
                place, ms = cpu_ms(reloaded_config, first)
                steps.append(
                    ms
                    + cpu_ms(
                        reducer.apply,
                        now,
                        ConfigurationLoaded(place.discovery, place.document, place.settings),
                    )[1]
                )
                return sum(steps), steps[0]
            place = walked(reload_steps(first), steps)
            told = walked(
                shares.steps(reducer.balancers.settings.tenants, place.settings.tenants.shares),
                steps,
            )
            steps.append(
                cpu_ms(
                    reducer.apply,
                    now,
                    ConfigurationLoaded(place.discovery, place.document, place.settings, told),
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
            spans = [reload(change) for _ in range(RELOADS)]
            found[f"{name}_ms"] = sum(ms for ms, _ in spans) / RELOADS
            found[f"{name}_step_ms"] = max(step for _, step in spans)
    return found


# A whole process.


class Agent:
    """Answers as discovery does: the whole list, then a watch of heartbeats."""

    def __init__(self, backends, *address):
        endpoints = endpoints_of(backends, *address)
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
            if b"follow=1" not in sock.recv(READ_MOST):
                sock.sendall(
                    b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(self.body) + self.body
                )
                sock.recv(READ_MOST)
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


class Prober:
    """Asks /health/ready every 4 ms on one connection; the longest answer is how long the loop was held."""

    def __init__(self, address):
        self.address, self.worst, self.over, self.fault = address, 0.0, False, None
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        asker = None
        try:
            while not self.over:
                asker = asker or http.client.HTTPConnection(self.address, timeout=30)
                begin = time.perf_counter()
                asker.request("GET", "/health/ready")
                answer = asker.getresponse()
                answer.read()
                if answer.will_close:
                    asker.close()
                self.worst = max(self.worst, time.perf_counter() - begin)
                time.sleep(0.004)
        except (OSError, http.client.HTTPException) as fault:
            self.fault = repr(fault)

    def end(self):
        self.over = True
        self.thread.join()
        return self.worst * 1e3


def ready(address):
    try:
        asker = http.client.HTTPConnection(address, timeout=30)
        asker.request("GET", "/health/ready")
        return asker.getresponse().status == 200
    except OSError:
        return False


def cpu_of(pid):
    fields = open(f"/proc/{pid}/stat").read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def play_process(tenants, backends, nodes, told):
    """`told`: the list comes from a discovery; else it stands in the file and discovery is unreachable."""
    found = {}
    agent = Agent(backends) if told else None
    listen = free_address()
    document = document_of(
        tenants, nodes, listen=listen, discovery=agent.address if told else "127.0.0.1:1"
    )
    if not told:
        document["known"] = {"index": 1, "snapshot": True, "endpoints": endpoints_of(backends)}
    with tempfile.TemporaryDirectory() as folder:
        path = os.path.join(folder, "n1.json")
        write(path, document)
        with open(os.path.join(folder, "log"), "w") as log:
            began = time.perf_counter()
            node = subprocess.Popen(
                [sys.executable, "-m", "pierglade"],
                stdout=log,
                cwd=ROOT,
                env={**os.environ, "BALANCER_CONFIG": path},
            )
        try:
            while not ready(listen):
                if node.poll() is not None:
                    raise SystemExit(f"the node ended with {node.returncode}")
                time.sleep(0.02)
            found["ready_s"] = time.perf_counter() - began
            found["start_cpu_s"] = cpu_of(node.pid)
            found["start_mb"] = memory_mb(node.pid)
            time.sleep(1)
            begin = cpu_of(node.pid)
            time.sleep(IDLE_S)
            found["idle_core"] = (cpu_of(node.pid) - begin) / IDLE_S
            worst, begin = [], cpu_of(node.pid)
            for k in range(RELOADS):
                document["settings"]["customers"][k % tenants]["quotaPerS"] += 1
                write(path, document)
                prober = Prober(listen)
                time.sleep(0.2)
                node.send_signal(signal.SIGHUP)
                time.sleep(0.5)
                while log_count(folder, "config_reloaded") <= k:
                    if log_count(folder, "config_rejected") or node.poll() is not None:
                        raise SystemExit("the node refused a change, or ended")
                    time.sleep(0.05)
                time.sleep(0.3)
                worst.append(prober.end())
                if prober.fault:
                    found["prober"] = prober.fault
                if k == 0:
                    found["one_change_mb"] = memory_mb(node.pid)
            found["changes_mb"] = memory_mb(node.pid)
            found["changes_cpu_s"] = cpu_of(node.pid) - begin
            found["held_ms"] = worst
        finally:
            node.send_signal(signal.SIGTERM)
            try:
                node.wait(15)
            except subprocess.TimeoutExpired:
                node.kill()
                node.wait()
            if agent:
                agent.server.close()
    return found


def log_count(folder, event):
    return pathlib.Path(folder, "log").read_text().count(event)


# All rows, and what they say.


def commit():
    return subprocess.run(
        ["git", "describe", "--always", "--dirty", "--exclude=*"],
        cwd=ROOT,
        text=True,
        capture_output=True,
    ).stdout.strip()


def run(out, plays, *axes):
    """`axes`: only rows of these, and no whole processes."""
    result = {
        "commit": commit(),
        "began": time.strftime("%H:%M:%S"),
        "load": [os.getloadavg()[0]],
        "plays": plays,
        "rows": [],
        "processes": [],
    }
    shapes = (
        ("empty", 1, 1),
        ("tenants", TENANTS, LEAST["backends"]),
        ("backends", LEAST["tenants"], BACKENDS),
        ("full", TENANTS, BACKENDS),
    )
    for play_number in range(plays):
        for axis, row in rows():
            if axes and axis not in axes:
                continue
            result["rows"].append(
                {"axis": axis, "play": play_number, **row, **child("row", *row.values())}
            )
        for told in () if axes else (False, True):
            for shape, tenants, backends in shapes:
                row = {"shape": shape, "told": told, "tenants": tenants, "backends": backends}
                result["processes"].append(
                    {
                        **row,
                        "play": play_number,
                        **child("process", tenants, backends, NODES, int(told)),
                    }
                )
        result["load"].append(os.getloadavg()[0])
        result["ended"] = time.strftime("%H:%M:%S")
        pathlib.Path(out).write_text(json.dumps(result, indent=1) + "\n")


def again(out):
    """Plays anew the rows that failed, and keeps what they failed of."""
    result = json.loads(pathlib.Path(out).read_text())
    for row in result["rows"] + result["processes"]:
        if "failed" not in row:
            continue
        row["failed_before"] = row.pop("failed")
        figures = [row[name] for name in (*LEAST, "told") if name in row]
        if "shape" in row:
            figures.insert(2, NODES)
        row.update(child("process" if "shape" in row else "row", *map(int, figures)))
    pathlib.Path(out).write_text(json.dumps(result, indent=1) + "\n")


def pairs(out, plays):
    """CPU of a request with all tenants over that with few, one right after the other; sorted."""
    result = {"load": os.getloadavg()[0], "plays": plays}
    for backends in (LEAST["backends"], BACKENDS):
        ratios = []
        for _ in range(plays):
            few, all_ = (
                child("row", tenants, backends, NODES) for tenants in (LEAST["tenants"], TENANTS)
            )
            ratios.append(all_["request_us"] / few["request_us"])
        result[f"{backends} backends"] = [round(ratio, 2) for ratio in sorted(ratios)]
    pathlib.Path(out).write_text(json.dumps(result) + "\n")
    print(json.dumps(result))


def child(kind, *figures):
    got = subprocess.run(
        [sys.executable, __file__, kind, *map(str, figures)],
        cwd=ROOT,
        text=True,
        capture_output=True,
    )
    if got.returncode:
        return {"failed": got.stderr.strip().splitlines()[-1:] or got.returncode}
    return rounded(json.loads(got.stdout))


def rounded(found):
    return {
        key: [round(v, 3) for v in value]
        if isinstance(value, list)
        else round(value, 4)
        if isinstance(value, float)
        else value
        for key, value in found.items()
    }


def show(paths):
    from pierglade.scale.fit import (
        fit,
    )  # rows need nothing of it, so that they play on earlier commits

    for path in paths:
        result = json.loads(pathlib.Path(path).read_text())
        print(
            f"\n{path}: {result['commit']}, {result['plays']} plays, {result['began']} to "
            f"{result['ended']}, load {min(result['load']):.0f} to {max(result['load']):.0f}"
        )
        good = [row for row in result["rows"] if "failed" not in row]
        for row in result["rows"] + result["processes"]:
            if "failed" in row:
                print("failed:", row)
        names = [key for key in good[0] if key not in ("axis", "play", *LEAST)]
        for name in names:
            for axis in LEAST:
                if not any(row["axis"] == axis for row in good):
                    continue
                xs, ys = zip(*((row[axis], row[name]) for row in good if row["axis"] == axis))
                one = fit(list(zip(xs, ys)))
                means = [
                    sum(y for at, y in zip(xs, ys) if at == x) / xs.count(x)
                    for x in sorted(set(xs))
                ]
                print(
                    f"{name:17} {axis:9}",
                    *(f"{mean:11.4g}" for mean in means),
                    f"  {one.shape:9} {one.base:.3g} {one.slope:.3g}, power {one.exponent:.2f}, "
                    f"error {one.error:.0%}",
                )
            for axis in ("least", "all"):
                ys = [row[name] for row in good if row["axis"] == axis]
                print(
                    f"{name:17} {axis:9}",
                    f"{sum(ys) / len(ys):11.4g}  ({min(ys):.4g} to {max(ys):.4g})",
                )
        print()
        processes = [row for row in result["processes"] if "failed" not in row]
        for told in (False, True):
            for shape in ("empty", "tenants", "backends", "full"):
                same = [row for row in processes if row["shape"] == shape and row["told"] == told]
                if not same:
                    continue
                means = {
                    key: sum(row[key] for row in same) / len(same)
                    for key in same[0]
                    if key.endswith(("_mb", "_s", "_core"))
                }
                held = [ms for row in same for ms in row["held_ms"]]
                print(
                    f"{shape:9} {'told' if told else 'file':5}",
                    *(f"{key} {value:.3g}" for key, value in means.items()),
                    f"held ms {min(held):.0f} to {max(held):.0f}",
                    *{row["prober"] for row in same if "prober" in row},
                )


def main(kind, *what):
    if kind == "row":
        print(json.dumps(play(*map(int, what))))
    elif kind == "process":
        *figures, told = map(int, what)
        print(json.dumps(play_process(*figures, bool(told))))
    elif kind == "run":
        run(what[0], int(what[1]) if len(what) > 1 else 3, *what[2:])
    elif kind == "pairs":
        pairs(what[0], int(what[1]) if len(what) > 1 else 7)
    elif kind == "again":
        again(what[0])
    elif kind == "show":
        show(what)
    else:
        sys.exit(__doc__)


if __name__ == "__main__":
    main(*sys.argv[1:] or ["help"])
