"""`pierglade demo`: a node before eight stand-in backends, and plain round robin beside it, on one load."""

import asyncio
import json
import sys
import time

import click

from pierglade.cli import UNSURE, fail
from pierglade.processes.children import ChildExitedError, Children, StoppedBySignalError, free_port

BACKENDS = 8
PAUSES_EVERY, PAUSE_MS = (
    120,
    400,
)  # settled invocations between pauses of a backend, and how long each is
CRASH_AT, DRAIN_AT = 2 / 3, 0.8  # shares of the demo at which one backend dies and another drains
PATIENCE_S = 1.0
PLAN = """
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
NODE = """
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


class Side:
    """What clients saw of one of the two: the node, or plain round robin."""

    def __init__(self, name, pool):
        self.name, self.pool = name, pool
        self.latency, self.lately = [], []  # ms from the planned moment: of all, of the last second
        self.answered = self.late = self.refused = self.failed = 0

    def ended(self, request, status, backend, why):
        took = (time.monotonic() - request.context) * 1000
        if status == 200:
            self.answered += 1
            self.late += took > 150
        elif status in (429, 503):
            self.refused += 1
        else:
            self.failed += 1
        self.latency.append(took)
        self.lately.append(took)

    def row(self):
        """(a second, p50, p99) of the last second."""
        lately, self.lately = sorted(self.lately), []
        if not lately:
            return 0, 0.0, 0.0
        return (
            len(lately),
            lately[len(lately) // 2],
            lately[min(len(lately) - 1, int(len(lately) * 0.99))],
        )

    def whole(self):
        all_of = sorted(self.latency) or [0.0]

        def at(share):
            return round(all_of[min(len(all_of) - 1, int(len(all_of) * share))], 1)

        return {
            "answered": self.answered,
            "late": self.late,
            "refused": self.refused,
            "failed": self.failed,
            "p50_ms": at(0.5),
            "p99_ms": at(0.99),
            "max_ms": round(all_of[-1], 1),
        }


async def _known(address):
    """What the node says of its backends, or None where it does not in time."""
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


def _why(row):
    """In a word, why the node sends nothing ordinary to a backend; empty where it does."""
    if row["state"] != "ready":
        return row["state"]
    if row["trouble"]:
        return row["trouble"]
    return "pause due" if row["pauses"] else ""


async def _play(seconds, rate, sides, management, children, show):
    from pierglade.load.client import Request

    began, sent, told = time.monotonic(), 0, 0
    head = b"GET /look/x HTTP/1.1\r\nHost: h\r\nX-Trace-Id: %s-%d\r\n\r\n"
    while (now := time.monotonic() - began) < seconds:
        while sent < min(now, seconds) * rate:
            for side in sides:
                request = Request(
                    head % (side.name.encode()[:4], sent), side.ended, began + sent / rate
                )
                side.pool.send(request, PATIENCE_S)
            sent += 1
        if now >= told + 1:
            told += 1
            children.look()
            show(told, sides, await _known(management))
        await asyncio.sleep(max(0.001, began + (sent + 1) / rate - time.monotonic()))
    await asyncio.sleep(PATIENCE_S + 0.1)


class Lines:
    """A line a second, where there is no terminal."""

    def __init__(self, stream):
        self.stream = stream

    def __enter__(self):
        return self

    def __exit__(self, *_):
        """Nothing stays open."""

    def __call__(self, second, sides, known):
        words = [f"{second:3} s"]
        for side in sides:
            count, p50, p99 = side.row()
            words.append(
                f"{side.name}: {count}/s p50 {p50:.0f} p99 {p99:.0f} ms, refused {side.refused}, "
                f"failed {side.failed}"
            )
        if known:
            out = [f"{row['name']} {_why(row)}" for row in known["backends"] if _why(row)]
            words.append("out: " + (", ".join(out) or "none"))
        self.stream.write("; ".join(words) + "\n")
        self.stream.flush()


class Table:
    """A live table on a terminal."""

    def __init__(self, console):
        from rich.live import Live

        self.live = Live(console=console, refresh_per_second=4)

    def __enter__(self):
        self.live.__enter__()
        return self

    def __exit__(self, *told):
        self.live.__exit__(*told)

    def __call__(self, second, sides, known):
        from rich.console import Group
        from rich.table import Table as Rows

        top = Rows(
            "", "a second", "p50 ms", "p99 ms", "late", "refused", "failed", title=f"{second} s"
        )
        for side in sides:
            count, p50, p99 = side.row()
            top.add_row(
                side.name,
                str(count),
                f"{p50:.0f}",
                f"{p99:.0f}",
                str(side.late),
                str(side.refused),
                str(side.failed),
            )
        rows = Rows(
            "backend",
            "settled",
            "out",
            "level",
            "next pause",
            "skipped or out",
            title="as the node sees its backends",
        )
        for row in known["backends"] if known else ():
            due = row["next_pause_ms"]
            rows.add_row(
                row["name"],
                str(row["settled"]),
                str(row["out"]),
                f"{row['level']:.2f}",
                "" if due is None else f"{due} ms",
                _why(row),
                style="dim"
                if row["state"] != "ready"
                else "red"
                if row["trouble"]
                else "yellow"
                if row["pauses"]
                else "",
            )
        self.live.update(Group(top, rows))


def _plan(seconds):
    pausing = ", ".join(f'"b{n}"' for n in range(BACKENDS - 2))
    return PLAN.format(
        all_s=seconds + 30,
        backends=BACKENDS,
        pausing=pausing,
        every=PAUSES_EVERY,
        pause_ms=PAUSE_MS,
        crash_s=round(seconds * CRASH_AT, 1),
        drain_s=round(seconds * DRAIN_AT, 1),
    )


def _start(children, seconds):
    """Two fleets alike, a node before the one and plain round robin before the other."""
    with open(children.path("fleet.toml"), "w") as file:
        file.write(_plan(seconds))
    fleets = [
        children.start(name, "pierglade.cli", "fleet", file.name, "--with-parent")
        for name in ("fleet", "second fleet")
    ]
    management = f"127.0.0.1:{free_port()}"
    with open(children.path("node.toml"), "w") as file:
        file.write(
            NODE.format(management=management.rpartition(":")[2], discovery=fleets[0]["discovery"])
        )
    node = children.start("node", "pierglade.cli", "serve", file.name, "--with-parent")
    while node.get("event") != "started":
        node = json.loads(children.running["node"][0].stdout.readline() or b"{}")
        children.look()
    plain = children.start(
        "plain node",
        "pierglade.testbed.plain",
        "--with-parent",
        "--discovery",
        fleets[1]["discovery"],
    )
    return node["listen"], plain["listen"], management


def _ready(address, wait_s=5.0):
    import http.client

    until = time.monotonic() + wait_s
    while time.monotonic() < until:
        try:
            host, _, port = address.rpartition(":")
            link = http.client.HTTPConnection(host, int(port), timeout=1)
            link.request("GET", "/health/ready")
            if link.getresponse().status == 200:
                return True
        except OSError:
            pass
        time.sleep(0.05)
    return False


def _drain_output(process):
    """Reads a child's log so that it never waits for us."""
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
    help="How long it plays; one backend dies after two thirds, another drains after four fifths.",
)
@click.option(
    "--rate",
    type=click.FloatRange(1, 2000),
    default=200.0,
    show_default=True,
    help="Invocations a second, evenly.",
)
@click.option("--json", "as_json", is_flag=True, help="Only the result, as JSON.")
def demo(seconds, rate, as_json):
    """Shows what the node is for: eight stand-in backends of which six pause, one that dies, one that drains.

    The same load goes to a plain round robin before a fleet alike. All of it runs on this machine's loopback
    and ends by itself.
    """
    began = time.monotonic()
    try:
        with Children() as children:
            node, plain, management = _start(children, seconds)
            for name in children.running:
                _drain_output(children.running[name][0])
            if not (_ready(node) and _ready(plain)):
                fail("a node did not become ready within 5 s", UNSURE)
            result = asyncio.run(_shown(seconds, rate, node, plain, management, children, as_json))
    except ChildExitedError as fault:
        fail(str(fault), UNSURE)
    except StoppedBySignalError as fault:
        fail(f"stopped by {fault} after {time.monotonic() - began:.0f} s; no result", UNSURE)
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


async def _shown(seconds, rate, node, plain, management, children, as_json):
    from pierglade.load.client import Pool

    loop = asyncio.get_running_loop()
    sides = [Side("pierglade", Pool(node, loop)), Side("round robin", Pool(plain, loop))]
    if as_json:
        show = Lines(open("/dev/null", "w"))
    elif sys.stdout.isatty():
        from rich.console import Console

        show = Table(Console())
    else:
        show = Lines(sys.stdout)
    with show:
        await _play(seconds, rate, sides, management, children, show)
    for side in sides:
        side.pool.close()
    return {side.name: side.whole() for side in sides}
