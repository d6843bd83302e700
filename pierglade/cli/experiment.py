"""`pierglade experiment FILE`: a plan played, judged by the rules and told on a page."""

import os
import sys
import time

import click

from pierglade.cli import RULE_BROKEN, UNSURE, fail


class Progress:
    """A bar on a terminal, nothing elsewhere."""

    def __init__(self, plays):
        self.plays, self.bar, self.task = plays, None, None

    def __enter__(self):
        if sys.stderr.isatty():
            from rich.console import Console
            from rich.progress import Progress as Bar

            self.bar = Bar(console=Console(stderr=True))
            self.bar.start()
            self.task = self.bar.add_task("playing", total=self.plays)
        return self

    def __exit__(self, *_):
        if self.bar is not None:
            self.bar.stop()

    def __call__(self, played, share):
        if self.bar is not None:
            self.bar.update(self.task, completed=played + share)


def plan_of(file, seed):
    from pierglade.experiment import plan as plans
    from pierglade.simulation.plan import InvalidPlanError

    try:
        plan = plans.read(file)
    except InvalidPlanError as fault:
        fail(str(fault))
    if seed is not None:
        plan.seed = seed
    return plan


def builds_of(texts, keep):
    """The builds that were named; `keep` is an ExitStack that removes their folders."""
    from pierglade.experiment import nodes

    try:
        builds = [keep.enter_context(nodes.Build(text)) for text in texts]
    except nodes.NoBuild as fault:
        fail(str(fault))
    if len({build.label for build in builds}) < len(builds):
        fail("the same build is named twice")
    return builds


def folder_of(out, file):
    """Where the plays go: what was asked for, or a new one under runs/."""
    if out is None:
        name = os.path.splitext(os.path.basename(file))[0]
        out = os.path.join("runs", f"{name}-{time.strftime('%Y%m%d-%H%M%S')}")
    try:
        os.makedirs(out, exist_ok=True)
        if os.listdir(out):
            fail(f"{out}: there are files in it already")
    except OSError as fault:
        fail(f"{out}: {fault.strerror}")
    return out


def show(told, write=click.echo):
    """The table of {label: [summary]}, and what stands against it."""
    from pierglade.experiment import compare

    labels = list(told)
    width = max(16, *(len(label) + 2 for label in labels))
    write(" " * 18 + "".join(f"{label:>{width + 14}}" for label in labels))
    for name, spread, verdict in compare.rows(told):
        cells = []
        for label in labels:
            if label not in spread:
                cells.append(f"{'-':>{width + 14}}")
                continue
            middle, low, high = spread[label]
            apart = f" ({low:g} to {high:g})" if low != high else ""
            cells.append(f"{f'{middle:g}{apart}':>{width + 14}}")
        write(f"{name:18}" + "".join(cells) + (f"  {verdict}" if verdict else ""))


def end_with(told, ours):
    """Says what stands against the plays and ends with 4 or 3 where it must; only `ours` can break a rule."""
    from pierglade.experiment import compare

    _, lines = compare.doubts(told)
    broken, _ = compare.doubts({label: some for label, some in told.items() if label in ours})
    for line in lines:
        click.echo(f"pierglade: {line}", err=True)
    if broken:
        sys.exit(RULE_BROKEN)
    if any(some["not_to_be_trusted"] or some["holes"] for plays in told.values() for some in plays):
        sys.exit(UNSURE)


def stopping(play):
    """Runs `play()`; a stop or a failure of it ends the command with 3 and one line."""
    from pierglade.experiment.play import Failed
    from pierglade.processes.children import StoppedBySignalError

    try:
        return play()
    except Failed as fault:
        fail(str(fault), UNSURE)
    except StoppedBySignalError as fault:
        fail(f"stopped by {fault}; what was seen until then is in its folder, marked so", UNSURE)


@click.command(epilog="Example: pierglade experiment experiments/crash.toml --beside turns")
@click.argument("file")
@click.option(
    "--build",
    default="pierglade",
    show_default=True,
    help="What the nodes are: pierglade, turns, random, least, two, a folder, or @COMMIT.",
)
@click.option("--beside", multiple=True, help="Another build, played on the same plan in turns.")
@click.option(
    "--times", type=click.IntRange(1, 100), default=1, show_default=True, help="Plays of each."
)
@click.option("--seed", type=int, help="In place of the plan's.")
@click.option(
    "--out", metavar="FOLDER", help="Where all of it is written; else a new folder under runs/."
)
@click.option("--json", "as_json", is_flag=True, help="The summaries as JSON.")
def experiment(file, build, beside, times, seed, out, as_json):
    """Plays FILE: nodes, a stand-in fleet, a load and what befalls them, all on this machine's loopback.

    Leaves a folder a play: plan, ledgers, logs, CPU and memory, summary.json and report.html. A file with a
    [cost] table gives what an answer and a refusal cost and the highest rate instead. Ends with 4 where a
    rule
    was broken, with 3 where a result is not to be trusted.
    """
    from contextlib import ExitStack

    from pierglade.experiment import cost

    with ExitStack() as keep:
        texts = [build, *beside]
        if cost.is_cost(file):
            return cost_of(file, builds_of(texts, keep), times, as_json)
        from pierglade.experiment import compare, report

        plan = plan_of(file, seed)
        builds = builds_of(texts, keep)
        out = folder_of(out, file)
        with Progress(len(builds) * times) as bar:
            told = stopping(lambda: compare.in_turns(plan, out, builds, times, bar))
        for name in sorted(os.listdir(out)):
            report.page(os.path.join(out, name))
    if as_json:
        import msgspec

        click.echo(msgspec.json.format(msgspec.json.encode(told)).decode())
    else:
        show(told)
        click.echo(f"in {out}: a folder a play, each with summary.json and report.html")
    end_with(told, {build.label for build in builds if not build.plain})


def cost_of(file, builds, times, as_json):
    """The cost experiment."""
    import msgspec

    from pierglade.experiment import cost
    from pierglade.simulation.plan import InvalidPlanError

    try:
        plan = cost.read(file)
    except InvalidPlanError as fault:
        fail(str(fault))
    if any(build.plain for build in builds):
        fail("--build: the cost is that of nodes of ours")
    with Progress(len(builds) * times) as bar:
        told = stopping(lambda: cost.measure(plan, builds, times, bar))
    if as_json:
        click.echo(msgspec.json.format(msgspec.json.encode(told)).decode())
        return
    for line in cost.lines(told):
        click.echo(line)
