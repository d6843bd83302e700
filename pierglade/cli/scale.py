"""`pierglade scale PLAN`: runs thousands of hollow nodes and backends beside a few real nodes."""

import sys
import time

import click

from pierglade.cli import RULE_BROKEN, UNRELIABLE, fail


@click.command(epilog="Example: pierglade scale experiments/scale/target.toml")
@click.argument("file", metavar="PLAN")
@click.option(
    "--axes",
    is_flag=True,
    help="Vary nodes, backends and tenants one after the other, and fit how the costs grow.",
)
@click.option("--json", "as_json", is_flag=True, help="Print all results as JSON.")
def scale(file, axes, as_json):
    """Runs PLAN on this machine's loopback and compares what the control plane needs with its budget.

    Most nodes are hollow: docs/operate/scale.md lists what is real and what is not. Rejects with 2 a plan that
    would take more than half of the memory or 200 processes; exits with 3 if a run does take more, or is not to
    be trusted, and with 4 if a rule was violated.
    """
    import msgspec

    from pierglade.processes.children import StoppedBySignalError
    from pierglade.scale import plan as plans
    from pierglade.scale import play, report
    from pierglade.scale.guard import ResourceLimitError
    from pierglade.simulation.plan import InvalidPlanError

    started_at = time.monotonic()

    def print_progress(line):
        if sys.stderr.isatty():
            click.echo(f"{time.monotonic() - started_at:6.1f} s  {line}", err=True)

    try:
        plan = plans.read(file)
        if axes:
            result = report.run_axes(plan, file, play.run_plan, print_progress)
        else:
            result = play.run_plan(plan, file, print_progress)
    except InvalidPlanError as error:
        fail(str(error))
    except play.RunFailedError as error:
        fail(str(error), error.status)
    except ResourceLimitError as error:
        fail(str(error), UNRELIABLE)
    except StoppedBySignalError as error:
        fail(f"stopped by {error}; there is no result", UNRELIABLE)
    if as_json:
        click.echo(msgspec.json.format(msgspec.json.encode(result)).decode())
    else:
        for line in report.fit_table_lines(result) if axes else report.table_lines(result):
            click.echo(line)
    runs = result["runs"] if axes else [result]
    for line in [line for run in runs for line in [*run["wrong"], *run["doubts"]]]:
        click.echo(f"pierglade: {line}", err=True)
    if any(held is False for run in runs for held in run["counts"]["rules"].values()):
        sys.exit(RULE_BROKEN)
    if any(run["wrong"] or run["doubts"] for run in runs):
        sys.exit(UNRELIABLE)
