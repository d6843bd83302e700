"""When each request is to be sent: patterns one after the other, or a recorded trace.

Moments are seconds from the start, as numpy arrays of float64 in order.
"""

import csv
import io
from typing import Annotated, Literal

import msgspec
import numpy as np
from msgspec import Meta

from pierglade.simulation.plan import InvalidPlanError, Positive, Struct

MOST = 20_000_000  # requests of a plan; their moments alone are 160 MB
WAVE = 32  # points that a wave's rate is drawn with in each of its turns


class ArrivalPattern(Struct):
    """A stretch of the load; rates are requests a second."""

    shape: Literal["steady", "ramp", "surge", "wave"] = "steady"
    seconds: Positive = 10.0
    rate: Annotated[float, Meta(ge=0)] = 100.0
    to: Annotated[float, Meta(ge=0)] = 0.0  # ramp: the rate at its end; wave: its highest
    times: Positive = 4.0  # surge: times `rate`, all along
    turn_s: Positive = 5.0  # wave: from one top to the next


def _rate(shape):
    """(moments, rates) between which the rate of a shape goes straight."""
    span = shape.seconds
    if shape.shape == "ramp":
        return np.array([0.0, span]), np.array([shape.rate, shape.to])
    if shape.shape == "wave":
        at = np.linspace(0.0, span, max(2, int(span / shape.turn_s * WAVE)))
        middle, swing = (shape.rate + shape.to) / 2, (shape.to - shape.rate) / 2
        return at, middle - swing * np.cos(2 * np.pi * at / shape.turn_s)
    level = shape.rate * (shape.times if shape.shape == "surge" else 1.0)
    return np.array([0.0, span]), np.array([level, level])


def moments(shapes, spacing, seed):
    """The moments of all requests of these patterns; `spacing` is "even" or "poisson"."""
    generator, begins, parts = np.random.default_rng(seed), 0.0, []
    for shape in shapes:
        at, rates = _rate(shape)
        # Requests due by each point; between two the count grows as the area under a line.
        due = np.concatenate(([0.0], np.cumsum((rates[1:] + rates[:-1]) / 2 * np.diff(at))))
        if due[-1] > MOST:
            raise InvalidPlanError(f"a plan of more than {MOST} requests")
        if spacing == "even":
            wanted = np.arange(int(due[-1] + 1e-9), dtype=float)
        else:
            count = generator.poisson(due[-1])
            wanted = np.sort(generator.uniform(0.0, due[-1], count))
        parts.append(begins + _when(wanted, at, rates, due))
        begins += shape.seconds
    return np.concatenate(parts) if parts else np.array([])


def _when(wanted, at, rates, due):
    """The moments at which so many are due: the area under the rate up to there."""
    if not len(wanted):
        return wanted
    piece = np.clip(np.searchsorted(due, wanted, "right") - 1, 0, len(at) - 2)
    span = at[piece + 1] - at[piece]
    slope = (rates[piece + 1] - rates[piece]) / span
    rest, first = wanted - due[piece], rates[piece]
    # rest = first * t + slope * t * t / 2, in a form that stays exact where the slope is small.
    root = np.sqrt(np.maximum(0.0, first * first + 2 * slope * rest))
    return at[piece] + 2 * rest / np.maximum(first + root, 1e-12)


class RecordedRequest(msgspec.Struct):
    """A request of a recorded trace."""

    at_s: float
    request_class: str = msgspec.field(name="offering", default="")
    customer: str = ""
    size: int = 0


def read_trace(path, speed=1.0):
    """The requests of a trace as (moments, [RecordedRequest]); CSV with a head line or JSON lines.

    Columns: `offset` (s from the start, or `at_s`), `offering`, `customer`, `size`. `speed`: 2 is
    twice as fast. Raises InvalidPlanError with the file and the line.
    """
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except OSError as error:
        raise InvalidPlanError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError as error:
        raise InvalidPlanError(f"{path}: {error}") from None
    rows = list(_json_rows(path, text) if text.lstrip()[:1] == "{" else _csv_rows(path, text))
    if not rows:
        raise InvalidPlanError(f"{path}: there is no request in it")
    before = 0.0
    for number, row in rows:
        if row.at_s < before:
            raise InvalidPlanError(
                f"{path}:{number}: offset {row.at_s:g} lies before the one above it, {before:g}"
            )
        before = row.at_s
    return np.array([row.at_s / speed for _, row in rows]), [row for _, row in rows]


def _row(path, number, fields):
    try:
        at_s = float(fields.get("offset", fields.get("at_s")))
        size = int(fields.get("size") or 0)
    except (TypeError, ValueError):
        raise InvalidPlanError(
            f"{path}:{number}: offset and size are no numbers: {str(fields)[:60]}"
        ) from None
    if not 0 <= at_s < 1e7 or not 0 <= size <= 1 << 26:
        raise InvalidPlanError(f"{path}:{number}: offset {at_s:g} or size {size} is out of bounds")
    return RecordedRequest(
        at_s, str(fields.get("offering") or ""), str(fields.get("customer") or ""), size
    )


def _csv_rows(path, text):
    reader = csv.DictReader(io.StringIO(text))
    if text.strip() and not {"offset", "at_s"} & set(reader.fieldnames or ()):
        raise InvalidPlanError(f"{path}:1: no column `offset`")
    for fields in reader:
        yield reader.line_num, _row(path, reader.line_num, fields)


def _json_rows(path, text):
    for number, line in enumerate(text.splitlines(), 1):
        if line.strip():
            try:
                fields = msgspec.json.decode(line)
            except msgspec.DecodeError as error:
                raise InvalidPlanError(f"{path}:{number}: {error}") from None
            if not isinstance(fields, dict):
                raise InvalidPlanError(f"{path}:{number}: no object")
            yield number, _row(path, number, fields)
