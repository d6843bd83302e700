"""`pierglade learned`: what a node has kept, looked at, checked and tidied up."""

import os
import sys
import time

import click

from pierglade.cli import fail

UNUSABLE = 1  # a file that can't be used


def _age(snapshot):
    return time.time() - snapshot.written_at / 10000


def _found(folder):
    from pierglade.snapshot import store as files

    try:
        return list(files.find_snapshots(folder))
    except OSError as fault:
        fail(f"{folder}: {fault.strerror}")


def _why(fault):
    return getattr(fault, "strerror", None) or str(fault)


@click.group(epilog="Example: pierglade learned show /var/lib/pierglade/n1.learned")
def learned():
    """What nodes have learned and kept ([learning])."""


@learned.command(epilog="Example: pierglade learned show /var/lib/pierglade/n1.learned")
@click.argument("file")
def show(file):
    """FILE as JSON; ends with 1 and one line where it can't be used."""
    import msgspec

    from pierglade.snapshot import schema as form
    from pierglade.snapshot import store as files

    try:
        snapshot = files.load(file)
    except (OSError, form.CorruptSnapshotError) as fault:
        fail(f"{file}: {_why(fault)}", UNUSABLE)
    told = {"age_s": round(_age(snapshot), 1), **msgspec.to_builtins(snapshot)}
    click.echo(msgspec.json.format(msgspec.json.encode(told)).decode())


@learned.command(epilog="Example: pierglade learned verify /var/lib/pierglade")
@click.argument("folder")
def verify(folder):
    """A line for each snapshot in FOLDER; ends with 1 where one can't be used."""
    bad = False
    for name, told in _found(folder):
        if isinstance(told, Exception):
            # a writing cut short is no fault: the one before stands
            bad = bad or not name.endswith(".part")
            click.echo(f"{name}: can't be used: {_why(told)}")
        else:
            click.echo(
                f"{name}: good, of {told.node}, {_age(told):.0f} s old, {len(told.backends)} backends, "
                f"{len(told.request_classes)} offerings"
            )
    sys.exit(UNUSABLE if bad else 0)


@learned.command(epilog="Example: pierglade learned prune /var/lib/pierglade --older-than-h 24")
@click.argument("folder")
@click.option(
    "--older-than-h",
    type=click.FloatRange(min=0),
    default=24.0,
    show_default=True,
    help="Whole snapshots of nodes that do not run, older than so many hours, go too.",
)
def prune(folder, older_than_h):
    """Removes what can't be used or is too old; nothing of a node that runs."""
    from pierglade.snapshot import store as files

    for name, told in _found(folder):
        node = name.partition(files.SUFFIX)[0]
        if files.in_use(folder, node):
            click.echo(f"{name}: kept, {node} runs")
        elif isinstance(told, Exception) or _age(told) > older_than_h * 3600:
            try:
                os.unlink(os.path.join(folder, name))
                click.echo(f"{name}: removed")
            except OSError as fault:
                fail(f"{name}: {fault.strerror}", UNUSABLE)
        else:
            click.echo(f"{name}: kept")
