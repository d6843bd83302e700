"""`pierglade audit`: whether the rules held, by what clients and backends wrote down."""

import sys

import click
import msgspec

from pierglade.cli import RULE_BROKEN, UNSURE, fail

BREAKS_SHOWN = 5


@click.command(
    epilog="Example: pierglade audit --plan fleet.toml --clients c.jsonl --backends b.jsonl"
)
@click.option(
    "--plan", "plan_path", required=True, metavar="FILE", help="The stand-in fleet's plan."
)
@click.option(
    "--clients", multiple=True, required=True, metavar="FILE", help="Ledgers of `pierglade load`."
)
@click.option(
    "--backends", multiple=True, required=True, metavar="FILE", help="Ledgers of `pierglade fleet`."
)
@click.option(
    "--grace-ms",
    type=click.FloatRange(min=0),
    default=1000.0,
    show_default=True,
    help="New trips to a draining backend are allowed for so long.",
)
@click.option(
    "--budget",
    type=(float, int, float),
    metavar="SPAN_S MOST SHARE",
    help="Further trips in any span: so many and a share of what was taken.",
)
@click.option("--json", "as_json", is_flag=True, help="The verdict as JSON.")
def audit(plan_path, clients, backends, grace_ms, budget, as_json):
    """Joins the ledgers by id and says for each rule whether it held, with ids and timelines of the breaks.

    Ends with 4 where a rule was broken, with 3 where a ledger has a hole and none was seen broken.
    """
    from pierglade.audit import records, rules
    from pierglade.audit.settings import settings_of_plan
    from pierglade.simulation.plan import InvalidPlanError
    from pierglade.testbed import plan as plans

    try:
        plan = plans.read(plan_path)
    except InvalidPlanError as fault:
        fail(str(fault))
    rows, holes = {"clients": [], "backends": []}, []
    for side, paths in (("clients", clients), ("backends", backends)):
        for path in paths:
            some, missing = records.read(path)
            rows[side] += some
            holes += missing
        rows[side].sort(key=lambda row: row["t_ms"])
    verdict = rules.audit(
        settings_of_plan(plan, grace_ms, budget), rows["clients"], rows["backends"], holes
    )
    held = verdict.held()
    if as_json:
        told = {
            "held": held,
            "counts": verdict.counts,
            "breaks": verdict.violations,
            "holes": verdict.gaps,
        }
        click.echo(msgspec.json.format(msgspec.json.encode(told)).decode())
    else:
        click.echo(", ".join(f"{name} {count}" for name, count in verdict.counts.items()))
        words = {True: "held", False: "BROKEN", None: "open: the records have a hole"}
        for rule, how in held.items():
            of_it = [each for each in verdict.violations if each.rule == rule]
            click.echo(f"{rule:16} {words[how]}" + (f", {len(of_it)} times" if of_it else ""))
            for each in of_it[:BREAKS_SHOWN]:
                click.echo(f"    {each.subject}: {each.problem}")
                for line in each.timeline:
                    click.echo(f"        {line}")
        for gap in verdict.gaps:
            click.echo(f"hole: {gap.text()}")
    if verdict.violations:
        sys.exit(RULE_BROKEN)
    if verdict.gaps:
        sys.exit(UNSURE)
