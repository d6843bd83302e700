"""`pierglade load`: sends an open-loop load to a target and reports whether the result can be trusted."""

import ipaddress
import json
import os
import sys
import urllib.parse

import click

from pierglade.cli import UNRELIABLE, fail


def _parse_target(url):
    """Returns (host:port, path) of a target on loopback; rejects any other target."""
    parts = urllib.parse.urlsplit(url)
    try:
        host, port = parts.hostname or "", parts.port or 80
        address = ipaddress.ip_address("127.0.0.1" if host == "localhost" else host)
    except ValueError:
        fail(f"--target is {url!r}; expected http://127.0.0.1:PORT/PATH")
    if parts.scheme != "http" or address.version != 4:
        fail(f"--target is {url!r}; expected http://127.0.0.1:PORT/PATH")
    if not address.is_loopback:
        fail(
            f"--target has host {host}; expected an address on loopback, as load is sent only to this machine"
        )
    path = (parts.path or "/") + (f"?{parts.query}" if parts.query else "")
    return f"{address}:{port}", path


def _send_times(rate, seconds, spacing, shapes, trace, speed, seed):
    """Returns the planned send times, and the rows of the trace or None."""
    import msgspec

    from pierglade.load import plan
    from pierglade.simulation.plan import InvalidPlanError

    try:
        if trace:
            return plan.read_trace(trace, speed)
        patterns = []
        for text in shapes:
            pairs = dict(
                pair.split("=", 1) if "=" in pair else ("shape", pair) for pair in text.split(",")
            )
            patterns.append(msgspec.convert(pairs, plan.ArrivalPattern, strict=False))
        patterns = patterns or [plan.ArrivalPattern(rate=rate, seconds=seconds)]
        return plan.arrival_times(patterns, spacing, seed), None
    except (InvalidPlanError, msgspec.ValidationError) as error:
        fail(str(error))


@click.command(
    epilog="Example: pierglade load --target http://127.0.0.1:8080/look/x --rate 200 --seconds 10"
)
@click.option("--target", required=True, help="http://127.0.0.1:PORT/PATH")
@click.option(
    "--rate",
    type=click.FloatRange(min=0, min_open=True),
    default=100.0,
    show_default=True,
    help="Requests per second.",
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
    help="Replaces --rate and --seconds; several run one after another: surge,rate=100,times=4,seconds=5 "
    "or steady, ramp (to=), wave (to=, turn_s=).",
)
@click.option(
    "--trace",
    metavar="FILE",
    help="Recorded requests to replay, CSV or JSON lines: offset, offering, customer, size.",
)
@click.option(
    "--speed",
    type=click.FloatRange(min=0, min_open=True),
    default=1.0,
    show_default=True,
    help="Factor by which a trace is replayed faster.",
)
@click.option(
    "--method", type=click.Choice(["GET", "POST", "HEAD"]), default="GET", show_default=True
)
@click.option("--header", "headers", multiple=True, metavar="'NAME: VALUE'")
@click.option("--patience-ms", type=click.FloatRange(1, 600000), default=10000.0, show_default=True)
@click.option("--one-each", is_flag=True, help="Open a new connection for each request.")
@click.option(
    "--retries",
    type=click.IntRange(0, 20),
    default=0,
    help="Maximum number of client retries after a refusal or failure.",
)
@click.option("--marks", is_flag=True, help="Mark retries with the header X-Second-Try.")
@click.option(
    "--leaves",
    "abandon_share",
    type=click.FloatRange(0, 1),
    default=0.0,
    help="Fraction of requests whose client disconnects early.",
)
@click.option(
    "--workers",
    type=click.IntRange(1, 64),
    default=1,
    show_default=True,
    help="Number of processes.",
)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--ledger",
    default="",
    metavar="FILE",
    help="File that records each request and answer; with several workers, FILE.0 and so on.",
)
@click.option("--json", "out", metavar="FILE", help="File that the result is written to.")
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
    """Sends each request at its planned time, whether or not earlier ones have ended, and reports latencies.

    Exits with 3 if it fell behind its own plan, was stopped, or lost a worker: the result is then not to be
    trusted.
    """
    from pierglade.load import run

    address, path = _parse_target(target)
    for header in headers:
        if ":" not in header or any(ord(letter) < 32 for letter in header):
            fail(
                f"--header is {header!r}; expected 'NAME: VALUE' on one line, without control characters"
            )
    send_times, rows = _send_times(rate, seconds, spacing, shapes, trace, speed, seed)
    load_spec = run.Load(
        address,
        path,
        send_times,
        method,
        headers,
        patience_ms / 1000,
        not one_each,
        retries,
        marks_retries=marks,
        abandon_share=abandon_share,
        seed=seed,
        rows=rows,
        ledger=ledger,
    )
    for path in filter(None, (ledger, out)):
        if not os.path.isdir(os.path.dirname(path) or "."):
            fail(f"{path}: the folder of this file does not exist")
    stopped = False
    try:
        tally = run.run_load(load_spec, workers)
    except run.InvalidRunError as error:
        fail(str(error), UNRELIABLE)
    except KeyboardInterrupt as error:
        stopped, tally = True, error.args[0] if error.args else None
        if tally is None:
            fail("stopped before the first request was sent; there is no result", UNRELIABLE)
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
        reason = (
            "stopped early; the result covers the requests until then"
            if stopped
            else "requests were sent later than planned"
        )
        click.echo(f"pierglade: not to be trusted: {reason}", err=True)
        sys.exit(UNRELIABLE)
