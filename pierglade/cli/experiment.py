"""`pierglade experiment FILE`: runs a plan, audits it against the rules and writes a report."""

import os
import sys
import time

import click

from pierglade.cli import RULE_BROKEN, UNRELIABLE, fail


class Progress:
    """Shows a progress bar on a terminal, and nothing elsewhere."""

    def __init__(self, total_runs):
        self.total_runs, self.bar, self.task = total_runs, None, None

    def __enter__(self):
        if sys.stderr.isatty():
            from rich.console import Console
            from rich.progress import Progress as ProgressBar

            self.bar = ProgressBar(console=Console(stderr=True))
            self.bar.start()
            self.task = self.bar.add_task("running", total=self.total_runs)
        return self

    def __exit__(self, *_):
        if self.bar is not None:
            self.bar.stop()

    def __call__(self, finished_runs, fraction):
        if self.bar is not None:
            self.bar.update(self.task, completed=finished_runs + fraction)


def read_plan(file, seed):
    """Reads the plan at `file`, with `seed` in place of the plan's unless it is None."""
    from pierglade.experiment import plan as plans
    from pierglade.simulation.plan import InvalidPlanError

    try:
        plan = plans.read(file)
    except InvalidPlanError as error:
        fail(str(error))
    if seed is not None:
        plan.seed = seed
    return plan


def open_builds(names, exit_stack):
    """Returns the builds with these names; `exit_stack` is an ExitStack that removes their folders."""
    from pierglade.experiment import nodes

    try:
        builds = [exit_stack.enter_context(nodes.Build(name)) for name in names]
    except nodes.BuildError as error:
        fail(str(error))
    if len({build.label for build in builds}) < len(builds):
        fail(f"builds are {', '.join(names)}; expected each build to be named only once")
    return builds


def prepare_output_folder(out, file):
    """Returns the output folder of the runs, created if missing: `out`, or by default a new one under runs/."""
    if out is None:
        name = os.path.splitext(os.path.basename(file))[0]
        out = os.path.join("runs", f"{name}-{time.strftime('%Y%m%d-%H%M%S')}")
    try:
        os.makedirs(out, exist_ok=True)
        if os.listdir(out):
            fail(
                f"{out}: the output folder already contains files; expected an empty or new folder"
            )
    except OSError as error:
        fail(f"{out}: {error.strerror}")
    return out


def print_table(summaries, write=click.echo):
    """Prints the figures of {label: [summary]} as a table, with the verdict on each figure."""
    from pierglade.experiment import compare

    labels = list(summaries)
    width = max(16, *(len(label) + 2 for label in labels))
    write(" " * 18 + "".join(f"{label:>{width + 14}}" for label in labels))
    for name, spread, verdict in compare.compare_figures(summaries):
        cells = []
        for label in labels:
            if label not in spread:
                cells.append(f"{'-':>{width + 14}}")
                continue
            median, low, high = spread[label]
            value_range = f" ({low:g} to {high:g})" if low != high else ""
            cells.append(f"{f'{median:g}{value_range}':>{width + 14}}")
        write(f"{name:18}" + "".join(cells) + (f"  {verdict}" if verdict else ""))


def exit_by_result(summaries, pierglade_labels):
    """Prints why runs are unreliable; exits with 4 if a rule was violated, with 3 if a result is unreliable.

    The rules apply only to the builds in `pierglade_labels`.
    """
    from pierglade.experiment import compare

    _, lines = compare.reliability_warnings(summaries)
    is_broken, _ = compare.reliability_warnings(
        {label: runs for label, runs in summaries.items() if label in pierglade_labels}
    )
    for line in lines:
        click.echo(f"pierglade: {line}", err=True)
    if is_broken:
        sys.exit(RULE_BROKEN)
    if any(
        summary["not_to_be_trusted"] or summary["holes"]
        for runs in summaries.values()
        for summary in runs
    ):
        sys.exit(UNRELIABLE)


def run_until_stopped(run):
    """Returns `run()`; if it fails or a signal stops it, prints one line and exits with 3."""
    from pierglade.experiment.play import RunFailedError
    from pierglade.processes.children import StoppedBySignalError

    try:
        return run()
    except RunFailedError as error:
        fail(str(error), UNRELIABLE)
    except StoppedBySignalError as error:
        fail(
            f"stopped by {error}; the results up to then are in the output folder, marked as incomplete",
            UNRELIABLE,
        )


@click.command(epilog="Example: pierglade experiment experiments/sockets/crash.toml --beside turns")
@click.argument("file")
@click.option(
    "--build",
    default="pierglade",
    show_default=True,
    help="Build of the nodes: pierglade, turns, random, least, two, a folder, or @COMMIT.",
)
@click.option(
    "--beside", multiple=True, help="Another build, which runs the same plan alternately."
)
@click.option(
    "--times", type=click.IntRange(1, 100), default=1, show_default=True, help="Runs of each build."
)
@click.option("--seed", type=int, help="Seed that replaces the plan's.")
@click.option(
    "--out",
    metavar="FOLDER",
    help="Where the runs are written; by default a new folder under runs/.",
)
@click.option("--json", "as_json", is_flag=True, help="Print the summaries as JSON.")
def experiment(file, build, beside, times, seed, out, as_json):
    """Runs FILE: nodes, a stand-in fleet, a load and injected faults, all on this machine's loopback.

    Writes a folder per run: plan, ledgers, logs, CPU and memory samples, summary.json and report.html. A file
    with a [cost] table measures the CPU time per answer and per refusal and the highest rate instead. Exits
    with 4 if a rule was violated, with 3 if a result is not to be trusted.
    """
    from contextlib import ExitStack

    from pierglade.experiment import cost

    with ExitStack() as exit_stack:
        names = [build, *beside]
        if cost.has_cost_table(file):
            return measure_cost(file, open_builds(names, exit_stack), times, as_json)
        from pierglade.experiment import compare, report

        plan = read_plan(file, seed)
        builds = open_builds(names, exit_stack)
        out = prepare_output_folder(out, file)
        with Progress(len(builds) * times) as progress:
            summaries = run_until_stopped(
                lambda: compare.run_alternating(plan, out, builds, times, progress)
            )
        for name in sorted(os.listdir(out)):
            report.write_report(os.path.join(out, name))
    if as_json:
        import msgspec

        click.echo(msgspec.json.format(msgspec.json.encode(summaries)).decode())
    else:
        print_table(summaries)
        click.echo(f"{out} has a folder per run, each with summary.json and report.html")
    exit_by_result(summaries, {build.label for build in builds if not build.is_reference})


def measure_cost(file, builds, times, as_json):
    """Runs the cost experiment of `file` and prints its result."""
    import msgspec

    from pierglade.experiment import cost
    from pierglade.simulation.plan import InvalidPlanError

    try:
        plan = cost.read(file)
    except InvalidPlanError as error:
        fail(str(error))
    if any(build.is_reference for build in builds):
        fail(
            "--build or --beside names a plain policy; the cost experiment expects builds of pierglade"
        )
    with Progress(len(builds) * times) as progress:
        result = run_until_stopped(lambda: cost.measure(plan, builds, times, progress))
    if as_json:
        click.echo(msgspec.json.format(msgspec.json.encode(result)).decode())
        return
    for line in cost.table_lines(result):
        click.echo(line)
