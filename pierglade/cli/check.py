"""`pierglade check FILE`: all that is wrong in an operator's file, a line each."""

import sys

import click
import orjson

from pierglade.cli import BAD_INPUT, fail


def lines_of(path):
    """What is wrong with the file at `path`, a line each; empty where a node would start on it."""
    from pierglade.__main__ import UnusableConfigError, config_from_document
    from pierglade.config.platform import to_platform
    from pierglade.config.read import UnusableFileError, read

    try:
        if path.endswith(".json"):
            with open(path, "rb") as file:
                config_from_document(orjson.loads(file.read()), path, {})
        else:
            config_from_document(to_platform(read(path)), path, {}, fixed=True)
    except UnusableFileError as fault:
        return fault.lines
    except UnusableConfigError as fault:
        return [str(fault)]
    except OSError as fault:
        return [f"{path}: {fault.strerror}"]
    except ValueError as fault:
        return [f"{path} is no JSON: {fault}"]
    return []


@click.command(epilog="Example: pierglade check deploy/pierglade.toml")
@click.argument("file")
@click.option(
    "--platform", "as_platform", is_flag=True, help="Print the platform's document for FILE."
)
def check(file, as_platform):
    """Tells whether a node would start on FILE; ends with 2 and a line for each fault if not."""
    wrong = lines_of(file)
    for line in wrong:
        click.echo(f"pierglade: {line}", err=True)
    if wrong:
        sys.exit(BAD_INPUT)
    from pierglade.config.platform import from_platform, to_platform
    from pierglade.config.read import read

    if file.endswith(".json"):
        with open(file, "rb") as opened:
            try:
                told = from_platform(orjson.loads(opened.read()))
            except (KeyError, TypeError, ValueError) as fault:
                fail(f"{file}: {fault}")
    else:
        told = read(file)
    if as_platform:
        click.echo(orjson.dumps(to_platform(told), option=orjson.OPT_INDENT_2).decode())
        return
    source = (
        f"discovery at {told.discovery.address}"
        if told.discovery
        else f"{len(told.backends)} backends"
    )
    click.echo(
        f"{file}: good. {told.node.name} listens on {told.listen.address}, {source}, "
        f"{len(told.request_classes)} offerings: "
        + ", ".join(f"{o.name} ({o.repeat})" for o in told.request_classes)
    )
