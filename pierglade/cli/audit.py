"""`pierglade audit`: checks the rules against the ledgers that clients and backends wrote."""

import sys

import click
import msgspec

from pierglade.cli import RULE_BROKEN, UNRELIABLE, fail

MAX_VIOLATIONS_SHOWN = 5  # per rule


@click.command(
    epilog="Example: pierglade audit --plan fleet.toml --clients c.jsonl --backends b.jsonl"
)
@click.option(
    "--plan", "plan_path", required=True, metavar="FILE", help="Plan of the stand-in fleet."
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
    help="How long new attempts to a draining backend are allowed.",
)
@click.option(
    "--budget",
    type=(float, int, float),
    metavar="SPAN_S MOST SHARE",
    help="Retry budget: in any window of SPAN_S seconds, MOST retries plus the fraction SHARE of the "
    "requests received.",
)
@click.option("--json", "as_json", is_flag=True, help="Print the verdict as JSON.")
def audit(plan_path, clients, backends, grace_ms, budget, as_json):
    """Joins the ledgers by id and reports for each rule whether it held, with ids and timelines of violations.

    Exits with 4 if a rule was violated, with 3 if a ledger has gaps and no violation was found.
    """
    from pierglade.audit import records, rules
    from pierglade.audit.settings import settings_of_plan
    from pierglade.simulation.plan import InvalidPlanError
    from pierglade.testbed import plan as plans

    try:
        plan = plans.read(plan_path)
    except InvalidPlanError as error:
        fail(str(error))
    rows, gaps = {"clients": [], "backends": []}, []
    for side, paths in (("clients", clients), ("backends", backends)):
        for path in paths:
            file_rows, file_gaps = records.read(path)
            rows[side] += file_rows
            gaps += file_gaps
        rows[side].sort(key=lambda row: row["t_ms"])
    verdict = rules.audit(
        settings_of_plan(plan, grace_ms, budget), rows["clients"], rows["backends"], gaps
    )
    rule_results = verdict.held()
    if as_json:
        document = {
            "held": rule_results,
            "counts": verdict.counts,
            "breaks": verdict.violations,
            "holes": verdict.gaps,
        }
        click.echo(msgspec.json.format(msgspec.json.encode(document)).decode())
    else:
        click.echo(", ".join(f"{name} {count}" for name, count in verdict.counts.items()))
        words = {True: "held", False: "VIOLATED", None: "undecided: the records have gaps"}
        for rule, has_held in rule_results.items():
            violations = [each for each in verdict.violations if each.rule == rule]
            click.echo(
                f"{rule:16} {words[has_held]}"
                + (f", {len(violations)} times" if violations else "")
            )
            for violation in violations[:MAX_VIOLATIONS_SHOWN]:
                click.echo(f"    {violation.subject}: {violation.problem}")
                for line in violation.timeline:
                    click.echo(f"        {line}")
        for gap in verdict.gaps:
            click.echo(f"gap: {gap.text()}")
    if verdict.violations:
        sys.exit(RULE_BROKEN)
    if verdict.gaps:
        sys.exit(UNRELIABLE)
