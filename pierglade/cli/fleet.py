"""`pierglade fleet FILE`: runs the stand-in fleet in one process."""

import asyncio
import sys

import click

from pierglade.cli import UNRELIABLE, fail


@click.command(epilog="Example: pierglade fleet experiments/fleet/eight.toml")
@click.argument("file")
@click.option(
    "--seconds",
    type=click.FloatRange(min=0, min_open=True),
    help="Duration in place of the plan's; SIGTERM ends the fleet earlier.",
)
@click.option("--with-parent", is_flag=True, help="Also stop when standard input ends.")
def fleet(file, seconds, with_parent):
    """Runs the stand-in backends and the discovery of FILE on loopback ports.

    The first line on standard output reports the addresses, the last one the requests that arrived and ran.
    Exits with 3 if the fleet itself ran too late to be trusted, or the ledger has a gap.
    """
    from pierglade.cli.event_log import json_log
    from pierglade.simulation.plan import InvalidPlanError
    from pierglade.testbed import plan as plans
    from pierglade.testbed import run

    try:
        plan = plans.read(file)
    except InvalidPlanError as error:
        fail(str(error))
    if seconds is not None:
        plan.seconds = seconds
    log = json_log()
    try:
        summary = asyncio.run(
            run.serve(plan, lambda event, **fields: log.info(event, **fields), with_parent)
        )
    except run.ListenError as error:
        fail(str(error))
    except OSError as error:
        fail(f"{error.filename or file}: {error.strerror}")
    log.info("over", **summary)
    if summary["late"] or summary["ledger"]["hole"] or summary["troubles"]:
        gap = summary["ledger"]["hole"]
        reason = (
            "the fleet itself was late, by %.1f ms at the 99th percentile"
            % summary["late_ms"]["p99"]
            if summary["late"]
            else f"gap in the ledger: {gap}"
            if gap
            else summary["troubles"][0]
        )
        click.echo(f"pierglade: not to be trusted: {reason}", err=True)
        sys.exit(UNRELIABLE)
