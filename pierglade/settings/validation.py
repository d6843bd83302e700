"""Validation of single settings, each named by its dotted path, such as `limits.probes`."""

from collections.abc import Callable, Iterable, Mapping
from typing import Any

from pierglade.errors import PiergladeError

# Exclusive upper bound of numbers. In microseconds it is over a week, longer than any client waits.
# It also rejects infinite numbers, such as 1e400 in JSON.
NUMBER_BOUND = 10**12


class InvalidSettingsError(PiergladeError, ValueError):
    """A setting that cannot be used.

    Attributes:
        path: The dotted path of the setting, beginning with `settings.`.
        value: The value found; None if it is missing.
        expected: The expected value, such as "a number of 0 or more".
    """

    def __init__(
        self, path: str, value: object = None, expected: str = "", message: str | None = None
    ) -> None:
        self.path, self.value, self.expected = f"settings.{path}", value, expected
        super().__init__(message or f"{self.path} is {value!r}; expected {expected}")


def optional(
    settings: Any, path: str, accepts: Callable[[Any], Any], expected: str, default: Any
) -> Any:
    """Returns the setting at that path, or `default` if it is missing.

    Raises:
        InvalidSettingsError: `accepts` rejects the value, or a parent of it is not an object.
    """
    value = settings
    for key in path.split("."):
        if not isinstance(value, dict):
            message = f"settings.{path} cannot be read from {value!r}; expected an object"
            raise InvalidSettingsError(path, value, "an object", message)
        value = value.get(key)
        if value is None:
            return default
    if not accepts(value):
        raise InvalidSettingsError(path, value, expected)
    return value


def required(settings: Any, path: str, accepts: Callable[[Any], Any], expected: str) -> Any:
    """Returns the setting at that path.

    Raises:
        InvalidSettingsError: The setting is missing, or as for `optional`.
    """
    value = optional(settings, path, accepts, expected, None)
    if value is None:
        raise InvalidSettingsError(path, None, expected, f"settings.{path} is missing")
    return value


def one_of(choices: Iterable[str], settings: Any, path: str) -> str | None:
    """Returns a setting that is one of the choices, or None if it is missing."""
    expected = f"one of {', '.join(choices)}"
    return optional(settings, path, lambda value: value in list(choices), expected, None)


def whole_number(settings: Any, path: str, minimum: int) -> int:
    """Returns a whole number of `minimum` or more; `minimum` if it is missing."""
    return optional(
        settings,
        path,
        lambda value: type(value) is int and value >= minimum,
        f"a whole number of {minimum} or more",
        minimum,
    )


def number(settings: Any, path: str) -> float:
    """Returns a number of 0 or more; 0 if it is missing."""
    return optional(settings, path, is_non_negative, "a number of 0 or more", 0)


def boolean(settings: Any, path: str) -> bool:
    """Returns a boolean; False if it is missing."""
    return optional(settings, path, lambda value: type(value) is bool, "true or false", False)


def is_non_negative(value: object) -> bool:
    """Returns whether a value is a finite number of 0 or more."""
    return type(value) in (int, float) and 0 <= value < NUMBER_BOUND


def is_positive(value: object) -> bool:
    """Returns whether a value is a finite number above 0."""
    return type(value) in (int, float) and 0 < value < NUMBER_BOUND


def is_list_of_strings(value: object) -> bool:
    """Returns whether a value is a list of strings."""
    return isinstance(value, list) and all(isinstance(name, str) for name in value)


def missing_key(document: Any, first_document: Any) -> str | None:
    """Returns the path of a key that the first configuration had and this one lacks, or None.

    A partly written file may still be valid JSON, and a key that it lacks would be taken for an
    optional one that is not set.
    """
    for path in ("", "settings", "settings.limits", "settings.contract"):
        current, previous = _object_at(document, path), _object_at(first_document, path)
        for key in previous:
            if previous[key] is not None and current.get(key) is None:
                return f"{path}.{key}".lstrip(".")
    rows = _object_at(first_document, "settings").get("offerings")
    common_keys = set.intersection(*map(set, rows)) if rows else set()
    for i, row in enumerate(_object_at(document, "settings").get("offerings") or []):
        for key in sorted(common_keys.difference(row)):
            return f"settings.offerings.{i}.{key}"
    return None


def _object_at(document: Any, path: str) -> Mapping[str, Any]:
    for key in filter(None, path.split(".")):
        document = document.get(key)
        if not isinstance(document, dict):
            return {}
    return document
