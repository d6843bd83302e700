"""Plays a plan in virtual time: `python -m pierglade.simulation PLAN.toml`."""

import os
import sys

import click
import msgspec

from pierglade.simulation import plan as plans
from pierglade.simulation import runs
from pierglade.simulation.simulation import POLICIES

BAD_INPUT, RULE_BROKEN = 2, 4


@click.command(
    epilog="Example: python -m pierglade.simulation experiments/limit/cold.toml --policy node --all"
)
@click.argument("path", metavar="PLAN.toml")
@click.option(
    "--policy",
    "policies",
    multiple=True,
    type=click.Choice(POLICIES),
    default=("node",),
    help="Who decides; may be given several times. `all` of them: --all.",
)
@click.option("--all", "everyone", is_flag=True, help="The node, every baseline and the bound.")
@click.option("--earlier", metavar="FILE", help="Also the Balancer in another Python file.")
@click.option("--json", "out", metavar="FILE", help="Where the summaries are written.")
@click.option("--jobs", type=click.IntRange(1), default=1, show_default=True, help="Runs at once.")
def main(path, policies, everyone, earlier, out, jobs):
    """Plays PLAN.toml under each policy and prints a table, a row a run.

    Ends with 2 where the plan can't be read, and with 4 where one of the rules was broken.
    """
    try:
        read = plans.read(path)
    except plans.InvalidPlanError as error:
        click.echo(str(error), err=True)
        sys.exit(BAD_INPUT)
    for name in (earlier, out and (os.path.dirname(out) or ".")):
        if name and not os.path.exists(name):
            click.echo(f"{name}: no such file or folder", err=True)
            sys.exit(BAD_INPUT)
    summaries = list(runs.run_all(read, POLICIES if everyone else policies, earlier, jobs))
    if out:
        _write(out, summaries)
    click.echo("\n".join(runs.table(map(runs.row, summaries))))
    if any(summary["broken"] for summary in summaries):
        sys.exit(RULE_BROKEN)


def _write(path, summaries):
    with open(path + ".part", "wb") as file:
        file.write(msgspec.json.format(msgspec.json.encode(summaries)))
    os.replace(path + ".part", path)


if __name__ == "__main__":
    main()
