"""`pierglade check FILE`: lists every error in a configuration file, one line each."""

import sys

import click
import orjson

from pierglade.cli import BAD_INPUT, fail


def config_errors(path):
    """Returns the errors of the file at `path`, one line each; empty if a node would start with it."""
    from pierglade.__main__ import UnusableConfigError, config_from_document
    from pierglade.config.platform import to_platform
    from pierglade.config.read import UnusableFileError, read

    try:
        if path.endswith(".json"):
            with open(path, "rb") as file:
                config_from_document(orjson.loads(file.read()), path, {})
        else:
            config_from_document(to_platform(read(path)), path, {}, fixed=True)
    except UnusableFileError as error:
        return error.lines
    except UnusableConfigError as error:
        return [str(error)]
    except OSError as error:
        return [f"{path}: {error.strerror}"]
    except ValueError as error:
        return [f"{path} is not valid JSON: {error}"]
    return []


@click.command(epilog="Example: pierglade check deploy/pierglade.toml")
@click.argument("file")
@click.option(
    "--platform", "as_platform", is_flag=True, help="Print FILE as the platform's JSON document."
)
def check(file, as_platform):
    """Checks whether a node would start with FILE; if not, exits with 2 and prints a line for each error."""
    errors = config_errors(file)
    for line in errors:
        click.echo(f"pierglade: {line}", err=True)
    if errors:
        sys.exit(BAD_INPUT)
    from pierglade.config.platform import from_platform, to_platform
    from pierglade.config.read import read

    if file.endswith(".json"):
        with open(file, "rb") as opened_file:
            try:
                config = from_platform(orjson.loads(opened_file.read()))
            except (KeyError, TypeError, ValueError) as error:
                fail(f"{file}: {error}")
    else:
        config = read(file)
    if as_platform:
        click.echo(orjson.dumps(to_platform(config), option=orjson.OPT_INDENT_2).decode())
        return
    source = (
        f"discovery at {config.discovery.address}"
        if config.discovery
        else f"{len(config.backends)} backends"
    )
    click.echo(
        f"{file}: valid. {config.node.name} listens on {config.listen.address}, {source}, "
        f"{len(config.request_classes)} offerings: "
        + ", ".join(f"{each.name} ({each.repeat})" for each in config.request_classes)
    )
