"""`pierglade scale PLAN`: hollow nodes and backends by the thousand beside a few real nodes."""

import sys
import time

import click

from pierglade.cli import RULE_BROKEN, UNSURE, fail


@click.command(epilog="Example: pierglade scale experiments/scale/target.toml")
@click.argument("file", metavar="PLAN")
@click.option(
    "--axes", is_flag=True, help="Nodes, backends, tenants one after the other, and the shapes."
)
@click.option("--json", "as_json", is_flag=True, help="All of it as JSON.")
def scale(file, axes, as_json):
    """Plays PLAN on this machine's loopback and sets what control needs against its budget.

    Most nodes are hollow: docs/operate/scale.md says what is real and what is not. Refuses with 2 what would
    take more than half of the memory or 200 processes; ends with 3 a run that does, or one that is not to be
    trusted, and with 4 where a rule was broken.
    """
    import msgspec

    from pierglade.processes.children import StoppedBySignalError
    from pierglade.scale import plan as plans
    from pierglade.scale import play, report
    from pierglade.scale.guard import Over
    from pierglade.simulation.plan import InvalidPlanError

    began = time.monotonic()

    def say(line):
        if sys.stderr.isatty():
            click.echo(f"{time.monotonic() - began:6.1f} s  {line}", err=True)

    try:
        plan = plans.read(file)
        if axes:
            told = report.axes(plan, file, play.play, say)
        else:
            told = play.play(plan, file, say)
    except InvalidPlanError as fault:
        fail(str(fault))
    except play.Failed as fault:
        fail(str(fault), fault.status)
    except Over as fault:
        fail(str(fault), UNSURE)
    except StoppedBySignalError as fault:
        fail(f"stopped by {fault}; nothing is told", UNSURE)
    if as_json:
        click.echo(msgspec.json.format(msgspec.json.encode(told)).decode())
    else:
        for line in report.axes_lines(told) if axes else report.lines(told):
            click.echo(line)
    runs = told["runs"] if axes else [told]
    for line in [line for run in runs for line in [*run["wrong"], *run["doubts"]]]:
        click.echo(f"pierglade: {line}", err=True)
    if any(held is False for run in runs for held in run["counts"]["rules"].values()):
        sys.exit(RULE_BROKEN)
    if any(run["wrong"] or run["doubts"] for run in runs):
        sys.exit(UNSURE)
