"""`pierglade compare ONE OTHER`: compares two runs, or two builds that run the same plan alternately."""

import os

import click

from pierglade.cli import fail
from pierglade.cli.experiment import (
    Progress,
    exit_by_result,
    open_builds,
    prepare_output_folder,
    print_table,
    read_plan,
    run_until_stopped,
)


@click.command(
    epilog="Example: pierglade compare --plan experiments/sockets/crash.toml --times 3 pierglade @HEAD~10"
)
@click.argument("one")
@click.argument("other")
@click.option(
    "--plan",
    "file",
    metavar="FILE",
    help="Plan to run; ONE and OTHER are then builds, which run it alternately.",
)
@click.option(
    "--times", type=click.IntRange(1, 100), default=3, show_default=True, help="Runs of each build."
)
@click.option("--seed", type=int, help="Seed that replaces the plan's.")
@click.option(
    "--out",
    metavar="FOLDER",
    help="Where the runs are written; by default a new folder under runs/.",
)
@click.option("--json", "as_json", is_flag=True, help="Print the summaries as JSON.")
def compare(one, other, file, times, seed, out, as_json):
    """Compares ONE and OTHER figure by figure, with the spread over their runs.

    Without --plan both are folders written by `pierglade experiment`. Two figures whose spreads overlap are
    reported as not distinguishable. Exits with 4 if a rule was violated, with 3 if a result is not to be trusted.
    """
    from contextlib import ExitStack

    from pierglade.experiment import compare as comparison

    if file is None:
        summaries = {}
        for folder in (one, other):
            try:
                folder_summaries = comparison.summaries(folder)
            except OSError as error:
                fail(f"{folder}: {error.strerror}")
            except ValueError as error:
                fail(str(error))
            summaries[os.path.normpath(folder)] = folder_summaries
        if len(summaries) < 2:
            fail(f"ONE and OTHER are both {one}; expected two different folders")
        pierglade_labels = {
            label
            for label, runs in summaries.items()
            if runs[0]["build"] not in comparison.POLICIES
        }
    else:
        with ExitStack() as exit_stack:
            plan = read_plan(file, seed)
            builds = open_builds((one, other), exit_stack)
            pierglade_labels = {build.label for build in builds if not build.is_reference}
            with Progress(2 * times) as progress:
                summaries = run_until_stopped(
                    lambda: comparison.run_alternating(
                        plan, prepare_output_folder(out, file), builds, times, progress
                    )
                )
    if as_json:
        import msgspec

        click.echo(msgspec.json.format(msgspec.json.encode(summaries)).decode())
    else:
        print_table(summaries)
    exit_by_result(summaries, pierglade_labels)
