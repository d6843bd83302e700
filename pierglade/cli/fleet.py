"""`pierglade fleet FILE`: the stand-in fleet as one process."""

import asyncio
import sys

import click

from pierglade.cli import UNSURE, fail


@click.command(epilog="Example: pierglade fleet experiments/fleet/eight.toml")
@click.argument("file")
@click.option(
    "--seconds", type=click.FloatRange(min=0, min_open=True), help="It ends then; else on SIGTERM."
)
@click.option("--with-parent", is_flag=True, help="It also ends when standard input does.")
def fleet(file, seconds, with_parent):
    """Plays the stand-in backends and the discovery of FILE on loopback ports.

    The first line on standard output tells the addresses, the last one what arrived and ran. Ends with 3
    where it was itself too late to be trusted, or the ledger has a hole.
    """
    from pierglade.cli.say import json_lines
    from pierglade.simulation.plan import InvalidPlanError
    from pierglade.testbed import plan as plans
    from pierglade.testbed import run

    try:
        plan = plans.read(file)
    except InvalidPlanError as fault:
        fail(str(fault))
    if seconds is not None:
        plan.seconds = seconds
    log = json_lines()
    try:
        summary = asyncio.run(
            run.serve(plan, lambda event, **fields: log.info(event, **fields), with_parent)
        )
    except run.CannotListen as fault:
        fail(str(fault))
    except OSError as fault:
        fail(f"{fault.filename or file}: {fault.strerror}")
    log.info("over", **summary)
    if summary["late"] or summary["ledger"]["hole"] or summary["troubles"]:
        hole = summary["ledger"]["hole"]
        why = (
            "p99 of its own lateness %.1f ms" % summary["late_ms"]["p99"]
            if summary["late"]
            else f"ledger: {hole}"
            if hole
            else summary["troubles"][0]
        )
        click.echo(f"pierglade: not to be trusted: {why}", err=True)
        sys.exit(UNSURE)
