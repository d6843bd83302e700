"""Generates docs/operate/configuration.md: `python -m pierglade.config.page`."""

import sys

from msgspec import NODEFAULT, UNSET
from msgspec import inspect as types

from pierglade.config import platform
from pierglade.config.read import describe_type
from pierglade.config.structs import File

HEAD = """# The operator's file

Generated from `pierglade/config/structs.py` by `python -m pierglade.config.page`; a test compares
the two. `pierglade check FILE` prints all errors in a file, one per line, and exits with 2.
`pierglade serve FILE` starts a node with it and reads it again on SIGHUP: a file with errors is
rejected as a whole, and the settings in force remain. `deploy/pierglade.toml` is an example. Times
are in the unit that the key ends with.

The platform's JSON document has the same settings under other names, given in the last column.
"""


def _default(field):
    if field.required:
        return "required"
    value = field.default
    if value is None or value is UNSET or value is NODEFAULT or value == ():
        return "none"
    if isinstance(value, str):
        return f'`"{value}"`'
    return f"`{str(value).lower()}`" if isinstance(value, bool) else f"`{value:g}`"


def _table_rows(kind, table, platform_paths):
    for field in kind.fields:
        inner, description = field.type, ""
        while isinstance(inner, types.Metadata):
            description = (inner.extra_json_schema or {}).get("description", description)
            inner = inner.type
        yield (
            f"| `{field.encode_name}` | {description} | {_default(field)} "
            f"| {describe_type(field.type)} "
            f"| {platform_paths.get(f'{table}.{field.encode_name}', '')} |"
        )


def page():
    """Returns the text of docs/operate/configuration.md."""
    platform_paths = {ours: f"`{theirs}`" for ours, theirs, _ in platform.KEY_MAPPINGS}
    for ours, theirs, columns in platform.LIST_MAPPINGS:
        platform_paths.update({f"{ours}.{name}": f"`{theirs}[].{key}`" for name, key, _ in columns})
    lines = [HEAD]
    file = types.type_info(File)
    for field in file.fields:
        kind = field.type
        while isinstance(kind, types.Metadata):
            kind = kind.type
        if isinstance(kind, types.UnionType):
            kind = next(each for each in kind.types if not isinstance(each, types.NoneType))
        name = field.encode_name
        title = f"[{name}]"
        if isinstance(kind, types.ListType):
            kind, title = kind.item_type, f"[[{name}]]"
        lines += [
            f"## `{title}`",
            "",
            kind.cls.__doc__.split("\n\n")[0],
            "",
            "| key | meaning | default | allowed | platform |",
            "| --- | --- | --- | --- | --- |",
            *_table_rows(kind, name, platform_paths),
            "",
        ]
    return "\n".join(lines)


if __name__ == "__main__":
    sys.stdout.write(page())
