"""`pierglade serve FILE`: a node on an operator's file."""

import os
import signal
import sys
import threading
from functools import partial

import click

from pierglade.cli import fail

LETS_IN = 0.0005  # s; so long a file is read before a node that has something to do gets its turn


def place_from(path):
    """What a node is told at its start by the file at `path`, ours or the platform's (`.json`).

    Raises ValueError with one line where it can't be used.
    """
    from pierglade.__main__ import config_at, config_from_document, through

    if path.endswith(".json"):
        return through(config_at(path, {}))
    from pierglade.config.logged import FilteredLog
    from pierglade.config.platform import to_platform
    from pierglade.config.read import read

    file = read(path)
    place = config_from_document(to_platform(file), path, {}, fixed=True)
    place.gives_ids = file.listen.ids == "optional"
    place.caps = _caps(file.admission)
    keep = file.learning
    place.keeping = (
        (keep.folder, keep.every_s, keep.half_life_s, keep.most_mb) if keep.folder else None
    )
    terminal = os.isatty(1)
    readable = file.log.form == "readable" or file.log.form == "auto" and terminal
    if readable or file.log.level != "debug" or file.log.sampling < 1:
        place.log = partial(
            FilteredLog,
            level=file.log.level,
            sampling=file.log.sampling,
            readable=readable,
            colours=terminal,
        )
    return place


def place_again(path):
    """The same while a node serves, which goes on meanwhile."""
    if path.endswith(".json"):
        from pierglade.__main__ import config_at

        return config_at(path, {}, known=False)
    from gevent import get_hub

    # The reader of TOML can't be stopped between two rows: its thread lets the node in now and then.
    usual = sys.getswitchinterval()
    sys.setswitchinterval(LETS_IN)
    try:
        return get_hub().threadpool.apply(place_from, (path,))
    finally:
        sys.setswitchinterval(usual)


def _caps(told):
    """The caps of the operator's file, None where it states none."""
    from pierglade.admission.connection_admission import ConnectionLimits

    if not (told.per_address or told.per_prefix or told.rate_per_address or told.reserve):
        return None
    return ConnectionLimits(
        told.per_address, told.per_prefix, told.rate_per_address, told.known, told.reserve
    )


def first_place(path):
    """The same; the line says where all that is wrong is told."""
    from pierglade.__main__ import UnusableConfigError
    from pierglade.config.read import UnusableFileError

    try:
        return place_from(path)
    except UnusableFileError as fault:
        more = (
            f" (and {len(fault.lines) - 1} more: pierglade check {path})"
            if len(fault.lines) > 1
            else ""
        )
        raise UnusableConfigError(f"{fault}{more}") from None


def _end_with_parent():
    """Stops the node once nobody holds the other end of standard input."""
    while os.read(0, 1024):
        pass
    os.kill(os.getpid(), signal.SIGTERM)


@click.command(epilog="Example: pierglade serve deploy/pierglade.toml")
@click.argument("file")
@click.option("--with-parent", is_flag=True, help="It also stops when standard input ends.")
def serve(file, with_parent):
    """Starts a node on FILE and serves until SIGTERM; SIGHUP reads FILE again.

    FILE is TOML (docs/operate/configuration.md), or the platform's JSON document.
    """
    from pierglade.__main__ import run

    if not os.path.exists(file):
        fail(f"{file}: No such file or directory")
    if with_parent:
        threading.Thread(target=_end_with_parent, daemon=True).start()
    sys.exit(run(lambda: first_place(file), lambda place: place_again(file)))
