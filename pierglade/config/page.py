"""Makes docs/operate/configuration.md from the structs: `python -m pierglade.config.page`."""

import sys

from msgspec import NODEFAULT, UNSET
from msgspec import inspect as types

from pierglade.config import platform
from pierglade.config.read import allowed
from pierglade.config.structs import File

HEAD = """# The operator's file

Made from `pierglade/config/structs.py` by `python -m pierglade.config.page`; a test compares both.
`pierglade check FILE` prints all that is wrong in a file, a line each, and ends with 2.
`pierglade serve FILE` starts on it and reads it again on SIGHUP: what can't be used is refused as a
whole, and the settings in force stay. `deploy/pierglade.toml` is an example. Times are in the unit
that the key ends with.

The platform's JSON document says the same under other names; the last column names the place there.
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


def _rows(kind, ours, theirs):
    for field in kind.fields:
        inner, said = field.type, ""
        while isinstance(inner, types.Metadata):
            said = (inner.extra_json_schema or {}).get("description", said)
            inner = inner.type
        yield (
            f"| `{field.encode_name}` | {said} | {_default(field)} | {allowed(field.type)} "
            f"| {theirs.get(f'{ours}.{field.encode_name}', '')} |"
        )


def page():
    """The page as text."""
    theirs = {ours: f"`{there}`" for ours, there, _ in platform.PLACES}
    for ours, there, columns in platform.ROWS:
        theirs.update({f"{ours}.{name}": f"`{there}[].{key}`" for name, key, _ in columns})
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
            "| key | meaning | default | allowed | the platform's |",
            "| --- | --- | --- | --- | --- |",
            *_rows(kind, name, theirs),
            "",
        ]
    return "\n".join(lines)


if __name__ == "__main__":
    sys.stdout.write(page())
