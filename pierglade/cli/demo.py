"""`pierglade demo`: compares a node with plain round robin, each under the same load before eight stand-in backends."""

import asyncio
import json
import sys
import time

import click

from pierglade.cli import UNRELIABLE, fail
from pierglade.processes.children import ChildExitedError, Children, StoppedBySignalError, free_port

BACKENDS = 8
# Completed requests between two pauses of a backend, and the length of each pause.
PAUSE_INTERVAL_REQUESTS, PAUSE_MS = 120, 400
# Fractions of the demo's duration after which one backend crashes and another one drains.
CRASH_AT_RATIO, DRAIN_AT_RATIO = 2 / 3, 0.8
REQUEST_TIMEOUT_S = 1.0
PLAN_TEMPLATE = """
seed = 7
seconds = {all_s}
[[kind]]
cores = 4
[[place]]
count = {backends}
[[offering]]
name = "look"
work_ms = 12
cv = 0.3
spread = "lognormal"
expected_ms = 150
hard_limit_ms = 1000
[discovery]
notice_s = 1.0
[[befall]]
at_s = 0
what = "pause"
backends = [{pausing}]
after = {every}
pause_ms = {pause_ms}
[[befall]]
at_s = {crash_s}
what = "crash"
backends = ["b6"]
[[befall]]
at_s = {drain_s}
what = "drain"
backends = ["b7"]
"""
NODE_TEMPLATE = """
[node]
name = "demo"
[listen]
address = "127.0.0.1:0"
management = "127.0.0.1:{management}"
ids = "optional"
[discovery]
address = "{discovery}"
[limits]
probes = true
[rules]
drain_grace_ms = 500
[[offerings]]
name = "look"
expected_ms = 150
hard_limit_ms = 1000
repeat = "harmless"
"""


class ClientResults:
    """Results that clients measured through one balancer: the node, or plain round robin."""

    def __init__(self, name, pool):
        self.name, self.pool = name, pool
        # Milliseconds from the planned send time: of all requests, and of those in the last second.
        self.latencies, self.recent_latencies = [], []
        self.answered = self.late = self.refused = self.failed = 0

    def record(self, request, status, backend, reason):
        """Counts a finished request; a response after more than 150 ms is late."""
        latency_ms = (time.monotonic() - request.context) * 1000
        if status == 200:
            self.answered += 1
            self.late += latency_ms > 150
        elif status in (429, 503):
            self.refused += 1
        else:
            self.failed += 1
        self.latencies.append(latency_ms)
        self.recent_latencies.append(latency_ms)

    def take_recent(self):
        """Returns (requests, p50 in ms, p99 in ms) of the last second and starts a new one."""
        latencies, self.recent_latencies = sorted(self.recent_latencies), []
        if not latencies:
            return 0, 0.0, 0.0
        return (
            len(latencies),
            latencies[len(latencies) // 2],
            latencies[min(len(latencies) - 1, int(len(latencies) * 0.99))],
        )

    def summary(self):
        """Returns the counts and the latency percentiles of the whole demo."""
        latencies = sorted(self.latencies) or [0.0]

        def percentile(fraction):
            return round(latencies[min(len(latencies) - 1, int(len(latencies) * fraction))], 1)

        return {
            "answered": self.answered,
            "late": self.late,
            "refused": self.refused,
            "failed": self.failed,
            "p50_ms": percentile(0.5),
            "p99_ms": percentile(0.99),
            "max_ms": round(latencies[-1], 1),
        }


async def _fetch_backends(address):
    """Returns the backends as the node reports them, or None if it does not answer within 0.5 s."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(0.5):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /backends HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
            text = await reader.read()
            writer.close()
        return json.loads(text.partition(b"\r\n\r\n")[2])
    except (OSError, ValueError, TimeoutError):
        return None


def _skip_reason(row):
    """Returns why the node sends no regular requests to a backend; empty if it does send them."""
    if row["state"] != "ready":
        return row["state"]
    if row["trouble"]:
        return row["trouble"]
    return "pause due" if row["pauses"] else ""


async def _send_load(seconds, rate, sides, management, children, show):
    from pierglade.load.client import Request

    began, sent, shown_seconds = time.monotonic(), 0, 0
    head = b"GET /look/x HTTP/1.1\r\nHost: h\r\nX-Trace-Id: %s-%d\r\n\r\n"
    while (now := time.monotonic() - began) < seconds:
        while sent < min(now, seconds) * rate:
            for side in sides:
                request = Request(
                    head % (side.name.encode()[:4], sent), side.record, began + sent / rate
                )
                side.pool.send(request, REQUEST_TIMEOUT_S)
            sent += 1
        if now >= shown_seconds + 1:
            shown_seconds += 1
            children.raise_if_exited()
            show(shown_seconds, sides, await _fetch_backends(management))
        await asyncio.sleep(max(0.001, began + (sent + 1) / rate - time.monotonic()))
    await asyncio.sleep(REQUEST_TIMEOUT_S + 0.1)


class LineDisplay:
    """Prints one line a second, where the output is not a terminal."""

    def __init__(self, stream):
        self.stream = stream

    def __enter__(self):
        return self

    def __exit__(self, *_):
        """Does nothing, as there is no resource to close."""

    def __call__(self, second, sides, node_state):
        parts = [f"{second:3} s"]
        for side in sides:
            count, p50, p99 = side.take_recent()
            parts.append(
                f"{side.name}: {count}/s p50 {p50:.0f} p99 {p99:.0f} ms, refused {side.refused}, "
                f"failed {side.failed}"
            )
        if node_state:
            skipped = [
                f"{row['name']} {_skip_reason(row)}"
                for row in node_state["backends"]
                if _skip_reason(row)
            ]
            parts.append("skipped: " + (", ".join(skipped) or "none"))
        self.stream.write("; ".join(parts) + "\n")
        self.stream.flush()


class LiveTable:
    """Shows the results as a live table on a terminal."""

    def __init__(self, console):
        from rich.live import Live

        self.live = Live(console=console, refresh_per_second=4)

    def __enter__(self):
        self.live.__enter__()
        return self

    def __exit__(self, *exception_info):
        self.live.__exit__(*exception_info)

    def __call__(self, second, sides, node_state):
        from rich.console import Group
        from rich.table import Table

        client_table = Table(
            "", "requests/s", "p50 ms", "p99 ms", "late", "refused", "failed", title=f"{second} s"
        )
        for side in sides:
            count, p50, p99 = side.take_recent()
            client_table.add_row(
                side.name,
                str(count),
                f"{p50:.0f}",
                f"{p99:.0f}",
                str(side.late),
                str(side.refused),
                str(side.failed),
            )
        backend_table = Table(
            "backend",
            "answered",
            "in flight",
            "level",
            "next pause",
            "skipped because",
            title="backends as seen by the node",
        )
        for row in node_state["backends"] if node_state else ():
            next_pause_ms = row["next_pause_ms"]
            backend_table.add_row(
                row["name"],
                str(row["settled"]),
                str(row["out"]),
                f"{row['level']:.2f}",
                "" if next_pause_ms is None else f"{next_pause_ms} ms",
                _skip_reason(row),
                style="dim"
                if row["state"] != "ready"
                else "red"
                if row["trouble"]
                else "yellow"
                if row["pauses"]
                else "",
            )
        self.live.update(Group(client_table, backend_table))


def _plan(seconds):
    pausing = ", ".join(f'"b{n}"' for n in range(BACKENDS - 2))
    return PLAN_TEMPLATE.format(
        all_s=seconds + 30,
        backends=BACKENDS,
        pausing=pausing,
        every=PAUSE_INTERVAL_REQUESTS,
        pause_ms=PAUSE_MS,
        crash_s=round(seconds * CRASH_AT_RATIO, 1),
        drain_s=round(seconds * DRAIN_AT_RATIO, 1),
    )


def _start(children, seconds):
    """Starts two identical fleets, with a node before the first and plain round robin before the second.

    Returns the addresses of the node, of the plain node and of the node's management.
    """
    with open(children.path("fleet.toml"), "w") as file:
        file.write(_plan(seconds))
    fleets = [
        children.start(name, "pierglade.cli", "fleet", file.name, "--with-parent")
        for name in ("fleet", "second fleet")
    ]
    management = f"127.0.0.1:{free_port()}"
    with open(children.path("node.toml"), "w") as file:
        file.write(
            NODE_TEMPLATE.format(
                management=management.rpartition(":")[2], discovery=fleets[0]["discovery"]
            )
        )
    node = children.start("node", "pierglade.cli", "serve", file.name, "--with-parent")
    while node.get("event") != "started":
        node = json.loads(children.running["node"][0].stdout.readline() or b"{}")
        children.raise_if_exited()
    plain = children.start(
        "plain node",
        "pierglade.testbed.plain",
        "--with-parent",
        "--discovery",
        fleets[1]["discovery"],
    )
    return node["listen"], plain["listen"], management


def _wait_until_ready(address, wait_s=5.0):
    """Returns whether the node at `address` becomes ready within `wait_s`."""
    import http.client

    deadline = time.monotonic() + wait_s
    while time.monotonic() < deadline:
        try:
            host, _, port = address.rpartition(":")
            connection = http.client.HTTPConnection(host, int(port), timeout=1)
            connection.request("GET", "/health/ready")
            if connection.getresponse().status == 200:
                return True
        except OSError:
            pass
        time.sleep(0.05)
    return False


def _drain_output(process):
    """Reads and discards a child's log, so that the child never blocks on a full pipe."""
    import threading

    def read():
        try:
            for _ in process.stdout:
                pass
        except ValueError:
            pass

    threading.Thread(target=read, daemon=True).start()


@click.command(epilog="Example: pierglade demo --seconds 45")
@click.option(
    "--seconds",
    type=click.FloatRange(3, 3600),
    default=45.0,
    show_default=True,
    help="Duration; one backend crashes after two thirds of it, another drains after four fifths.",
)
@click.option(
    "--rate",
    type=click.FloatRange(1, 2000),
    default=200.0,
    show_default=True,
    help="Requests per second, evenly spaced.",
)
@click.option("--json", "as_json", is_flag=True, help="Print only the result, as JSON.")
def demo(seconds, rate, as_json):
    """Compares a node with plain round robin before eight backends: six pause, one crashes, one drains.

    Both get the same load and have a fleet of their own; the two fleets are identical. All of it runs on this
    machine's loopback and ends by itself.
    """
    began = time.monotonic()
    try:
        with Children() as children:
            node, plain, management = _start(children, seconds)
            for name in children.running:
                _drain_output(children.running[name][0])
            if not (_wait_until_ready(node) and _wait_until_ready(plain)):
                fail(
                    f"the node at {node} or the plain node at {plain} did not become ready within 5 s",
                    UNRELIABLE,
                )
            result = children.run(
                _measure(seconds, rate, node, plain, management, children, as_json)
            )
    except ChildExitedError as error:
        fail(str(error), UNRELIABLE)
    except StoppedBySignalError as error:
        fail(
            f"stopped by {error} after {time.monotonic() - began:.0f} s; there is no result",
            UNRELIABLE,
        )
    if as_json:
        click.echo(json.dumps(result))
        return
    click.echo()
    width = max(map(len, result))
    for name, row in result.items():
        figures = (
            f"{key.replace('_ms', '')} {value:g}" + " ms" * ("_ms" in key)
            for key, value in row.items()
        )
        click.echo(f"{name:{width}}  " + ", ".join(figures))


async def _measure(seconds, rate, node, plain, management, children, as_json):
    """Sends the load through both nodes with a live display; returns {name: summary}."""
    from pierglade.load.client import Pool

    loop = asyncio.get_running_loop()
    sides = [
        ClientResults("pierglade", Pool(node, loop)),
        ClientResults("round robin", Pool(plain, loop)),
    ]
    if as_json:
        show = LineDisplay(open("/dev/null", "w"))
    elif sys.stdout.isatty():
        from rich.console import Console

        show = LiveTable(Console())
    else:
        show = LineDisplay(sys.stdout)
    with show:
        await _send_load(seconds, rate, sides, management, children, show)
    for side in sides:
        side.pool.close()
    return {side.name: side.summary() for side in sides}
