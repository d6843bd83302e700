"""`pierglade serve FILE`: runs a node with a configuration file."""

import os
import signal
import sys
import threading
from functools import partial

import click

from pierglade.cli import fail

# Seconds. Maximum time that the thread reading a file runs before it yields to the node's thread.
SWITCH_INTERVAL_S = 0.0005


def load_config(path):
    """Returns the node configuration of the file at `path`, in TOML or the platform's JSON (`.json`).

    Raises ValueError with one line if the file can't be used.
    """
    from pierglade.__main__ import config_at, config_from_document, run_to_end

    if path.endswith(".json"):
        return run_to_end(config_at(path, {}))
    from pierglade.config.logged import FilteredLog
    from pierglade.config.platform import to_platform
    from pierglade.config.read import read

    file = read(path)
    config = config_from_document(to_platform(file), path, {}, fixed=True)
    config.assigns_trace_ids = file.listen.ids == "optional"
    config.caps = _connection_limits(file.admission)
    learning = file.learning
    config.snapshot_settings = (
        (learning.folder, learning.every_s, learning.half_life_s, learning.most_mb)
        if learning.folder
        else None
    )
    is_terminal = os.isatty(1)
    is_readable = file.log.form == "readable" or file.log.form == "auto" and is_terminal
    if is_readable or file.log.level != "debug" or file.log.sampling < 1:
        config.log = partial(
            FilteredLog,
            level=file.log.level,
            sampling=file.log.sampling,
            readable=is_readable,
            colours=is_terminal,
        )
    return config


def reload_config(path):
    """Returns the configuration read again from `path` while the node keeps serving."""
    if path.endswith(".json"):
        from pierglade.__main__ import config_at

        return config_at(path, {}, known=False)
    from gevent import get_hub

    # The TOML parser can't be paused between two rows, so it runs in a thread that switches to the node often.
    previous_interval = sys.getswitchinterval()
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    try:
        return get_hub().threadpool.apply(load_config, (path,))
    finally:
        sys.setswitchinterval(previous_interval)


def _connection_limits(settings):
    """Returns the connection limits of the [admission] table, or None if it sets none."""
    from pierglade.admission.connection_admission import ConnectionLimits

    if not (
        settings.per_address or settings.per_prefix or settings.rate_per_address or settings.reserve
    ):
        return None
    return ConnectionLimits(
        settings.per_address,
        settings.per_prefix,
        settings.rate_per_address,
        settings.known,
        settings.reserve,
    )


def load_initial_config(path):
    """Does the same as `load_config`; for several errors, the message names the command that lists them."""
    from pierglade.__main__ import UnusableConfigError
    from pierglade.config.read import UnusableFileError

    try:
        return load_config(path)
    except UnusableFileError as error:
        hint = (
            f" (and {len(error.lines) - 1} more errors; list them with: pierglade check {path})"
            if len(error.lines) > 1
            else ""
        )
        raise UnusableConfigError(f"{error}{hint}") from None


def _stop_at_end_of_input():
    """Stops the node when standard input ends, which happens when the parent process exits."""
    while os.read(0, 1024):
        pass
    os.kill(os.getpid(), signal.SIGTERM)


@click.command(epilog="Example: pierglade serve deploy/pierglade.toml")
@click.argument("file")
@click.option("--with-parent", is_flag=True, help="Also stop when standard input ends.")
def serve(file, with_parent):
    """Starts a node with FILE and serves until SIGTERM; SIGHUP reloads FILE.

    FILE is TOML (docs/operate/configuration.md), or the platform's JSON document.
    """
    from pierglade.__main__ import run

    if not os.path.exists(file):
        fail(f"{file}: No such file or directory")
    if with_parent:
        threading.Thread(target=_stop_at_end_of_input, daemon=True).start()
    sys.exit(run(lambda: load_initial_config(file), lambda config: reload_config(file)))
