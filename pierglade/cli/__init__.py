"""The `pierglade` command line: one module per subcommand, imported when the subcommand is invoked.

The platform starts a node with `python -m pierglade`, which imports nothing from this package. The entry
point is `main`.
"""

import importlib
import importlib.util
import sys

import click

from pierglade import __version__

# Exit codes of the commands.
SUCCESS, BAD_INPUT, UNRELIABLE, RULE_BROKEN = 0, 2, 3, 4
EXIT_CODES = (
    (SUCCESS, "success"),
    (BAD_INPUT, "bad input: one line names the file and the place in it"),
    (
        UNRELIABLE,
        "the result is not to be trusted: a run was late or was stopped, or its records have gaps",
    ),
    (RULE_BROKEN, "one of the four rules, or the retry budget, was violated"),
)
# Command: (its line in the help, the packages that it needs in addition to those of a node).
COMMANDS = {
    "serve": ("Starts a node and serves until SIGTERM.", ()),
    "check": ("Checks whether a node would start with a configuration file.", ()),
    "fleet": ("Runs stand-in backends and discovery.", ("numpy", "structlog")),
    "demo": ("Compares a node with plain round robin.", ("numpy", "rich", "structlog")),
    "load": ("Sends an open-loop load to a target.", ("numpy", "hdrh")),
    "audit": ("Checks from the ledgers which rules held.", ()),
    "admission": ("Shows which clients a node rejects.", ()),
    "learned": ("Inspects the snapshots that nodes have stored.", ("xxhash",)),
    "experiment": (
        "Runs a plan and writes a report.",
        ("numpy", "hdrh", "psutil", "rich", "structlog", "matplotlib"),
    ),
    "scale": (
        "Runs thousands of hollow nodes and backends.",
        ("numpy", "hdrh", "psutil"),
    ),
    "compare": (
        "Compares two runs or two builds.",
        ("numpy", "hdrh", "psutil", "rich", "structlog"),
    ),
}


class LazyGroup(click.Group):
    """Imports a subcommand when it is invoked, so that `pierglade serve` loads none of the other tools."""

    def list_commands(self, ctx):
        return list(COMMANDS)

    def format_commands(self, ctx, formatter):
        """Writes the list from COMMANDS alone, so that a missing package of one command does not break the help."""
        with formatter.section("Commands"):
            formatter.write_dl([(name, line) for name, (line, _) in COMMANDS.items()])

    def get_command(self, ctx, name):
        if name not in COMMANDS:
            return None
        line, packages = COMMANDS[name]
        for package in packages:
            if importlib.util.find_spec(package) is None:
                return _command_without_package(name, line, package)
        return getattr(importlib.import_module(f"pierglade.cli.{name}"), name)


def _command_without_package(name, line, package):
    """Returns a substitute for a command that lacks a package; it always fails and names the package."""
    return click.Command(
        name,
        help=line,
        add_help_option=False,
        params=[click.Argument(["rest"], nargs=-1)],
        context_settings={"ignore_unknown_options": True},
        callback=lambda rest: fail(
            f"pierglade {name} needs {package}: pip install 'pierglade[tools]'"
        ),
    )


def fail(line, status=BAD_INPUT):
    """Exits with `status` after printing one line to standard error."""
    click.echo(f"pierglade: {line}", err=True)
    sys.exit(status)


EPILOG = "Exit codes: " + "; ".join(f"{code} {meaning}" for code, meaning in EXIT_CODES) + "."


@click.command(
    cls=LazyGroup, epilog=EPILOG, context_settings={"help_option_names": ["-h", "--help"]}
)
@click.version_option(__version__, prog_name="pierglade")
def main():
    """A load balancer for fleets of HTTP servers that rotates around forecast pauses."""
