"""Runs a plan in virtual time: `python -m pierglade.simulation PLAN.toml`."""

import os
import sys

import click
import msgspec

from pierglade.simulation import plan as plans
from pierglade.simulation import runs
from pierglade.simulation.simulation import POLICIES

INVALID_INPUT_STATUS, RULE_VIOLATION_STATUS = 2, 4


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
    help="Load-balancing policy; can be given several times. --all selects every policy.",
)
@click.option(
    "--all",
    "everyone",
    is_flag=True,
    help="Run every policy: the node, the baselines and the oracle.",
)
@click.option("--earlier", metavar="FILE", help="Also run the Balancer class of this Python file.")
@click.option("--json", "out", metavar="FILE", help="Write the summaries to this file.")
@click.option(
    "--jobs", type=click.IntRange(1), default=1, show_default=True, help="Concurrent runs."
)
def main(path, policies, everyone, earlier, out, jobs):
    """Runs PLAN.toml under each policy and prints a table with one row per run.

    Exits with 2 if the plan or another file is invalid, and with 4 if a run violated a rule.
    """
    try:
        variants = plans.read_plans(path)
    except plans.InvalidPlanError as error:
        click.echo(str(error), err=True)
        sys.exit(INVALID_INPUT_STATUS)
    for required_path in (earlier, out and (os.path.dirname(out) or ".")):
        if required_path and not os.path.exists(required_path):
            click.echo(f"{required_path}: no such file or directory", err=True)
            sys.exit(INVALID_INPUT_STATUS)
    summaries = list(runs.run_all(variants, POLICIES if everyone else policies, earlier, jobs))
    if out:
        _write(out, summaries)
    click.echo("\n".join(runs.table(map(runs.row, summaries))))
    if any(summary["broken"] for summary in summaries):
        sys.exit(RULE_VIOLATION_STATUS)


def _write(path, summaries):
    with open(path + ".part", "wb") as file:
        file.write(msgspec.json.format(msgspec.json.encode(summaries)))
    os.replace(path + ".part", path)


if __name__ == "__main__":
    main()
