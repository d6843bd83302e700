"""`pierglade compare A B`: two runs, or two builds on one plan in turns, side by side."""

import os

import click

from pierglade.cli import fail
from pierglade.cli.experiment import (
    Progress,
    builds_of,
    end_with,
    folder_of,
    plan_of,
    show,
    stopping,
)


@click.command(
    epilog="Example: pierglade compare --plan experiments/crash.toml --times 3 pierglade @HEAD~10"
)
@click.argument("one")
@click.argument("other")
@click.option(
    "--plan", "file", metavar="FILE", help="Then A and B are builds, played on it turn about."
)
@click.option(
    "--times", type=click.IntRange(1, 100), default=3, show_default=True, help="Plays of each."
)
@click.option("--seed", type=int, help="In place of the plan's.")
@click.option(
    "--out", metavar="FOLDER", help="Where the plays are written; else a new folder under runs/."
)
@click.option("--json", "as_json", is_flag=True, help="The summaries as JSON.")
def compare(one, other, file, times, seed, out, as_json):
    """Sets ONE and OTHER side by side, with the spread of their plays.

    Without --plan both are folders that `pierglade experiment` left. Says that two are not told apart where
    their spreads overlap. Ends with 4 where a rule was broken, with 3 where a result is not to be trusted.
    """
    from contextlib import ExitStack

    from pierglade.experiment import compare as sides

    if file is None:
        told = {}
        for folder in (one, other):
            try:
                some = sides.summaries(folder)
            except OSError as fault:
                fail(f"{folder}: {fault.strerror}")
            except ValueError as fault:
                fail(str(fault))
            told[os.path.normpath(folder)] = some
        if len(told) < 2:
            fail(f"{one}: a folder is not compared with itself")
        of_ours = {label for label, some in told.items() if some[0]["build"] not in sides.POLICIES}
    else:
        with ExitStack() as keep:
            plan = plan_of(file, seed)
            builds = builds_of((one, other), keep)
            of_ours = {build.label for build in builds if not build.plain}
            with Progress(2 * times) as bar:
                told = stopping(
                    lambda: sides.in_turns(plan, folder_of(out, file), builds, times, bar)
                )
    if as_json:
        import msgspec

        click.echo(msgspec.json.format(msgspec.json.encode(told)).decode())
    else:
        show(told)
    end_with(told, of_ours)
