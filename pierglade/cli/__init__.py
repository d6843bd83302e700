"""The `pierglade` command: one module a subcommand, each loaded when it is called.

Not for the platform, which starts `python -m pierglade` and loads nothing of this. Start with `main`.
"""

import importlib
import importlib.util
import sys

import click

from pierglade import __version__

# What a command ends with.
DONE, BAD_INPUT, UNSURE, RULE_BROKEN = 0, 2, 3, 4
EXITS = (
    (DONE, "done"),
    (BAD_INPUT, "bad input: one line says which place of which file"),
    (
        UNSURE,
        "the result is not to be trusted: a run was late, cut short, or its records have a hole",
    ),
    (RULE_BROKEN, "one of the four rules, or the budget of further trips, was broken"),
)
# Each command, its line in the help, and the packages that it needs beside those of a node.
COMMANDS = {
    "serve": ("Starts a node and serves until SIGTERM.", ()),
    "check": ("Tells whether a node would start on a file.", ()),
    "fleet": ("Plays stand-in backends and discovery.", ("numpy", "structlog")),
    "demo": ("Shows what the node is for.", ("numpy", "rich", "structlog")),
    "load": ("Sends requests when they were planned.", ("numpy", "hdrh")),
    "audit": ("Says by the ledgers which rule held.", ()),
    "admission": ("Who is let in, and who is not.", ()),
    "learned": ("What nodes have learned and kept.", ("xxhash",)),
    "experiment": (
        "Plays a plan and writes a page about it.",
        ("numpy", "hdrh", "psutil", "rich", "structlog", "matplotlib"),
    ),
    "scale": ("Plays hollow nodes and backends by the thousand.", ("numpy", "hdrh", "psutil")),
    "compare": (
        "Sets two plays or builds side by side.",
        ("numpy", "hdrh", "psutil", "rich", "structlog"),
    ),
}


class Lazy(click.Group):
    """Subcommands are imported when they are called, so that `pierglade serve` loads no tool."""

    def list_commands(self, ctx):
        return list(COMMANDS)

    def format_commands(self, ctx, formatter):
        """From the table alone: one command that lacks a package must not take the help of all with it."""
        with formatter.section("Commands"):
            formatter.write_dl([(name, line) for name, (line, _) in COMMANDS.items()])

    def get_command(self, ctx, name):
        if name not in COMMANDS:
            return None
        line, packages = COMMANDS[name]
        for package in packages:
            if importlib.util.find_spec(package) is None:
                return _lacking(name, line, package)
        return getattr(importlib.import_module(f"pierglade.cli.{name}"), name)


def _lacking(name, line, package):
    """In the place of a command that lacks a package: whatever it is called with, it says so."""
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
    """Ends the command with one plain line on standard error."""
    click.echo(f"pierglade: {line}", err=True)
    sys.exit(status)


EPILOG = "Exit codes: " + "; ".join(f"{code} {meaning}" for code, meaning in EXITS) + "."


@click.command(cls=Lazy, epilog=EPILOG, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="pierglade")
def main():
    """A load balancer for fleets of HTTP servers that rotates around forecast pauses."""
