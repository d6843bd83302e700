"""`pierglade learned`: shows, verifies and prunes the snapshots that nodes have stored."""

import os
import sys
import time

import click

from pierglade.cli import fail

UNUSABLE = 1  # exit code for a file that can't be used


def _age_s(snapshot):
    return time.time() - snapshot.written_at / 10000


def _find_snapshots(folder):
    from pierglade.snapshot import store

    try:
        return list(store.find_snapshots(folder))
    except OSError as error:
        fail(f"{folder}: {error.strerror}")


def _reason(error):
    return getattr(error, "strerror", None) or str(error)


@click.group(epilog="Example: pierglade learned show /var/lib/pierglade/n1.learned")
def learned():
    """Inspects the snapshots that nodes have stored ([learning])."""


@learned.command(epilog="Example: pierglade learned show /var/lib/pierglade/n1.learned")
@click.argument("file")
def show(file):
    """Prints FILE as JSON; exits with 1 and one line if it can't be used."""
    import msgspec

    from pierglade.snapshot import schema, store

    try:
        snapshot = store.load(file)
    except (OSError, schema.CorruptSnapshotError) as error:
        fail(f"{file}: {_reason(error)}", UNUSABLE)
    document = {"age_s": round(_age_s(snapshot), 1), **msgspec.to_builtins(snapshot)}
    click.echo(msgspec.json.format(msgspec.json.encode(document)).decode())


@learned.command(epilog="Example: pierglade learned verify /var/lib/pierglade")
@click.argument("folder")
def verify(folder):
    """Prints a line for each snapshot in FOLDER; exits with 1 if one can't be used."""
    has_unusable = False
    for name, snapshot in _find_snapshots(folder):
        if isinstance(snapshot, Exception):
            # An interrupted write is no error: the previous snapshot is still valid.
            has_unusable = has_unusable or not name.endswith(".part")
            click.echo(f"{name}: can't be used: {_reason(snapshot)}")
        else:
            click.echo(
                f"{name}: valid, of node {snapshot.node}, {_age_s(snapshot):.0f} s old, "
                f"{len(snapshot.backends)} backends, {len(snapshot.request_classes)} offerings"
            )
    sys.exit(UNUSABLE if has_unusable else 0)


@learned.command(epilog="Example: pierglade learned prune /var/lib/pierglade --older-than-h 24")
@click.argument("folder")
@click.option(
    "--older-than-h",
    type=click.FloatRange(min=0),
    default=24.0,
    show_default=True,
    help="Also remove valid snapshots older than this many hours, of nodes that are not running.",
)
def prune(folder, older_than_h):
    """Removes snapshots that can't be used or are too old; keeps those of running nodes."""
    from pierglade.snapshot import store

    for name, snapshot in _find_snapshots(folder):
        node = name.partition(store.NEWEST_SUFFIX)[0]
        if store.is_in_use(folder, node):
            click.echo(f"{name}: kept, node {node} is running")
        elif isinstance(snapshot, Exception) or _age_s(snapshot) > older_than_h * 3600:
            try:
                os.unlink(os.path.join(folder, name))
                click.echo(f"{name}: removed")
            except OSError as error:
                fail(f"{name}: could not be removed: {error.strerror}", UNUSABLE)
        else:
            click.echo(f"{name}: kept")
