"""Checks of single settings; each names a setting by its place, such as `limits.probes`."""

from collections.abc import Callable, Iterable, Mapping
from typing import Any

from pierglade.errors import PiergladeError

FAR_OFF = 10**12  # microseconds; over a week; no client waits for so long, and 1e400 is no figure


class InvalidSettingsError(PiergladeError, ValueError):
    """A setting that cannot be used.

    Attributes:
        place: Where it stands, from `settings.` on.
        value: What stands there; None where it is missing.
        expected: What it fails to be, such as "no figure from 0 on".
    """

    def __init__(
        self, place: str, value: object = None, expected: str = "", message: str | None = None
    ) -> None:
        self.place, self.value, self.expected = f"settings.{place}", value, expected
        super().__init__(message or f"{self.place} is {value!r}, {expected}")


def optional(
    settings: Any, place: str, accepts: Callable[[Any], Any], expected: str, default: Any
) -> Any:
    """Returns the setting at that place, or `default` where there is none.

    Raises:
        InvalidSettingsError: `accepts` refuses it, or it stands in something that is no object.
    """
    value = settings
    for key in place.split("."):
        if not isinstance(value, dict):
            message = f"settings.{place} stands in {value!r}, no object"
            raise InvalidSettingsError(place, value, "no object", message)
        value = value.get(key)
        if value is None:
            return default
    if not accepts(value):
        raise InvalidSettingsError(place, value, expected)
    return value


def required(settings: Any, place: str, accepts: Callable[[Any], Any], expected: str) -> Any:
    """Returns the setting at that place.

    Raises:
        InvalidSettingsError: It is missing, or as for `optional`.
    """
    value = optional(settings, place, accepts, expected, None)
    if value is None:
        raise InvalidSettingsError(place, None, expected, f"settings.{place} is missing")
    return value


def one_of(known: Iterable[str], settings: Any, place: str) -> str | None:
    """Returns a setting that is one of the known words, or None where there is none."""
    expected = f"none of {', '.join(known)}"
    return optional(settings, place, lambda value: value in list(known), expected, None)


def whole_number(settings: Any, place: str, least: int) -> int:
    """Returns a whole number of `least` or more; `least` where there is none."""
    return optional(
        settings,
        place,
        lambda value: type(value) is int and value >= least,
        f"no whole number from {least} on",
        least,
    )


def figure(settings: Any, place: str) -> float:
    """Returns a figure of 0 or more; 0 where there is none."""
    return optional(settings, place, is_figure, "no figure from 0 on", 0)


def boolean(settings: Any, place: str) -> bool:
    """Returns true or false; False where there is none."""
    return optional(
        settings, place, lambda value: type(value) is bool, "neither true nor false", False
    )


def is_figure(value: object) -> bool:
    """Whether a value is a finite figure of 0 or more."""
    return type(value) in (int, float) and 0 <= value < FAR_OFF


def is_positive_figure(value: object) -> bool:
    """Whether a value is a finite figure over 0."""
    return type(value) in (int, float) and 0 < value < FAR_OFF


def is_list_of_names(value: object) -> bool:
    """Whether a value is a list of strings."""
    return isinstance(value, list) and all(isinstance(name, str) for name in value)


def missing_key(settings: Any, first: Any) -> str | None:
    """Returns the place of a key that the first configuration had and this one lacks, or None.

    A file that is half written may still be JSON, and what it lacks would be taken for what it does
    not say.
    """
    for place in ("", "settings", "settings.limits", "settings.contract"):
        now, before = _object_at(settings, place), _object_at(first, place)
        for key in before:
            if before[key] is not None and now.get(key) is None:
                return f"{place}.{key}".lstrip(".")
    rows = _object_at(first, "settings").get("offerings")
    common = set.intersection(*map(set, rows)) if rows else set()
    for i, row in enumerate(_object_at(settings, "settings").get("offerings") or []):
        for key in sorted(common.difference(row)):
            return f"settings.offerings.{i}.{key}"
    return None


def _object_at(document: Any, place: str) -> Mapping[str, Any]:
    for key in filter(None, place.split(".")):
        document = document.get(key)
        if not isinstance(document, dict):
            return {}
    return document
