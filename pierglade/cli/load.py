"""`pierglade load`: an open-loop load on a target, with a result that says whether it can be trusted."""

import ipaddress
import json
import os
import sys
import urllib.parse

import click

from pierglade.cli import UNSURE, fail


def _target(url):
    """(host:port, path) of a target on loopback; anything else is refused."""
    parts = urllib.parse.urlsplit(url)
    try:
        host, port = parts.hostname or "", parts.port or 80
        address = ipaddress.ip_address("127.0.0.1" if host == "localhost" else host)
    except ValueError:
        fail(f"--target: {url!r} stands there; allowed: http://127.0.0.1:PORT/PATH")
    if parts.scheme != "http" or address.version != 4:
        fail(f"--target: {url!r} stands there; allowed: http://127.0.0.1:PORT/PATH")
    if not address.is_loopback:
        fail(f"--target: {host} is not on loopback; a load is sent to this machine alone")
    path = (parts.path or "/") + (f"?{parts.query}" if parts.query else "")
    return f"{address}:{port}", path


def _moments(rate, seconds, spacing, shapes, trace, speed, seed):
    import msgspec

    from pierglade.load import plan
    from pierglade.simulation.plan import InvalidPlanError

    try:
        if trace:
            return plan.read_trace(trace, speed)
        told = []
        for text in shapes:
            pairs = dict(
                pair.split("=", 1) if "=" in pair else ("shape", pair) for pair in text.split(",")
            )
            told.append(msgspec.convert(pairs, plan.ArrivalPattern, strict=False))
        told = told or [plan.ArrivalPattern(rate=rate, seconds=seconds)]
        return plan.moments(told, spacing, seed), None
    except (InvalidPlanError, msgspec.ValidationError) as fault:
        fail(str(fault))


@click.command(
    epilog="Example: pierglade load --target http://127.0.0.1:8080/look/x --rate 200 --seconds 10"
)
@click.option("--target", required=True, help="http://127.0.0.1:PORT/PATH")
@click.option(
    "--rate",
    type=click.FloatRange(min=0, min_open=True),
    default=100.0,
    show_default=True,
    help="Requests a second.",
)
@click.option(
    "--seconds",
    type=click.FloatRange(min=0, min_open=True, max=3600),
    default=10.0,
    show_default=True,
)
@click.option(
    "--spacing", type=click.Choice(["even", "poisson"]), default="even", show_default=True
)
@click.option(
    "--shape",
    "shapes",
    multiple=True,
    metavar="SHAPE",
    help="In place of rate and seconds, one after another: surge,rate=100,times=4,seconds=5 or "
    "steady, ramp (to=), wave (to=, turn_s=).",
)
@click.option(
    "--trace",
    metavar="FILE",
    help="Recorded requests, CSV or JSON lines: offset, offering, customer, size.",
)
@click.option(
    "--speed",
    type=click.FloatRange(min=0, min_open=True),
    default=1.0,
    show_default=True,
    help="How many times as fast a trace is played.",
)
@click.option(
    "--method", type=click.Choice(["GET", "POST", "HEAD"]), default="GET", show_default=True
)
@click.option("--header", "headers", multiple=True, metavar="'NAME: VALUE'")
@click.option("--patience-ms", type=click.FloatRange(1, 600000), default=10000.0, show_default=True)
@click.option("--one-each", is_flag=True, help="A new connection for each request.")
@click.option(
    "--retries",
    type=click.IntRange(0, 20),
    default=0,
    help="Tries more after a refusal or failure.",
)
@click.option("--marks", is_flag=True, help="Mark them with X-Second-Try.")
@click.option(
    "--leaves",
    "abandon_share",
    type=click.FloatRange(0, 1),
    default=0.0,
    help="Share of clients that go away early.",
)
@click.option(
    "--workers", type=click.IntRange(1, 64), default=1, show_default=True, help="Processes."
)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--ledger",
    default="",
    metavar="FILE",
    help="Where each request and answer is written down; with several workers, FILE.0 and so on.",
)
@click.option("--json", "out", metavar="FILE", help="Where the result is written.")
def load(
    target,
    rate,
    seconds,
    spacing,
    shapes,
    trace,
    speed,
    method,
    headers,
    patience_ms,
    one_each,
    retries,
    marks,
    abandon_share,
    workers,
    seed,
    ledger,
    out,
):
    """Sends requests when they were planned, whatever has become of the others, and tells how long each took.

    Ends with 3 where it fell behind its own plan, was stopped, or lost a worker: the result is then not to be
    trusted.
    """
    from pierglade.load import run

    where, path = _target(target)
    for header in headers:
        if ":" not in header or any(ord(letter) < 32 for letter in header):
            fail(f"--header: {header!r} stands there; allowed: NAME: VALUE")
    moments, rows = _moments(rate, seconds, spacing, shapes, trace, speed, seed)
    load_of = run.Load(
        where,
        path,
        moments,
        method,
        headers,
        patience_ms / 1000,
        not one_each,
        retries,
        marks=marks,
        abandon_share=abandon_share,
        seed=seed,
        rows=rows,
        ledger=ledger,
    )
    for path in filter(None, (ledger, out)):
        if not os.path.isdir(os.path.dirname(path) or "."):
            fail(f"{path}: no such folder")
    stopped = False
    try:
        tally = run.play(load_of, workers)
    except run.InvalidRunError as fault:
        fail(str(fault), UNSURE)
    except KeyboardInterrupt as fault:
        stopped, tally = True, fault.args[0] if fault.args else None
        if tally is None:
            fail("stopped before its first request", UNSURE)
    result = tally.summary({"stopped": stopped, "workers": workers})
    result["behind"] = result["behind"] or stopped
    if out:
        with open(out + ".part", "w") as file:
            json.dump(result, file, indent=1)
        os.replace(out + ".part", out)
    click.echo(
        ", ".join(f"{name} {result[name]}" for name in ("planned", "sent", "answered", "failed"))
    )
    for kind in ("latency_ms", "service_ms", "late_ms"):
        click.echo(
            f"{kind:10}  " + "  ".join(f"{name} {value:g}" for name, value in result[kind].items())
        )
    if result["behind"]:
        why = "stopped; what was seen until then" if stopped else "it fell behind its own plan"
        click.echo(f"pierglade: not to be trusted: {why}", err=True)
        sys.exit(UNSURE)
