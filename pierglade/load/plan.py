"""Arrival times of requests: generated from load patterns, or read from a recorded trace.

Arrival times are seconds from the start of the load, as ascending numpy arrays of float64.
"""

import csv
import io
from typing import Annotated, Literal

import msgspec
import numpy as np
from msgspec import Meta

from pierglade.simulation.plan import InvalidPlanError, PlanTable, Positive

MAX_REQUESTS = 20_000_000  # of one arrival pattern; their arrival times alone take 160 MB
WAVE_POINTS_PER_PERIOD = 32  # points that approximate one period of a wave


class ArrivalPattern(PlanTable):
    """A section of the load; rates are requests per second."""

    shape: Literal["steady", "ramp", "surge", "wave"] = "steady"
    seconds: Positive = 10.0
    rate: Annotated[float, Meta(ge=0)] = 100.0
    to: Annotated[float, Meta(ge=0)] = 0.0  # ramp: final rate; wave: highest rate
    times: Positive = 4.0  # surge: multiple of `rate` for the whole section
    turn_s: Positive = 5.0  # wave: period, from one peak to the next


def _rate_points(pattern):
    """Returns (times, rates) of a pattern; the rate is linear between two points."""
    duration = pattern.seconds
    if pattern.shape == "ramp":
        return np.array([0.0, duration]), np.array([pattern.rate, pattern.to])
    if pattern.shape == "wave":
        times = np.linspace(
            0.0, duration, max(2, int(duration / pattern.turn_s * WAVE_POINTS_PER_PERIOD))
        )
        mean, amplitude = (pattern.rate + pattern.to) / 2, (pattern.to - pattern.rate) / 2
        return times, mean - amplitude * np.cos(2 * np.pi * times / pattern.turn_s)
    level = pattern.rate * (pattern.times if pattern.shape == "surge" else 1.0)
    return np.array([0.0, duration]), np.array([level, level])


def arrival_times(patterns, spacing, seed):
    """Returns the arrival times of all requests of consecutive patterns.

    `spacing` is "even" or "poisson". Raises InvalidPlanError for a pattern with more than
    MAX_REQUESTS requests.
    """
    generator, start, parts = np.random.default_rng(seed), 0.0, []
    for pattern in patterns:
        times, rates = _rate_points(pattern)
        # Requests due by each point: the area under the rate, which is linear between points.
        due = np.concatenate(([0.0], np.cumsum((rates[1:] + rates[:-1]) / 2 * np.diff(times))))
        if due[-1] > MAX_REQUESTS:
            raise InvalidPlanError(
                f"an arrival pattern has {due[-1]:.0f} requests; expected at most {MAX_REQUESTS}"
            )
        if spacing == "even":
            targets = np.arange(int(due[-1] + 1e-9), dtype=float)
        else:
            count = generator.poisson(due[-1])
            targets = np.sort(generator.uniform(0.0, due[-1], count))
        parts.append(start + _arrival_times(targets, times, rates, due))
        start += pattern.seconds
    return np.concatenate(parts) if parts else np.array([])


def _arrival_times(targets, times, rates, due):
    """Returns the times at which the area under the rate reaches each of `targets`."""
    if not len(targets):
        return targets
    segment = np.clip(np.searchsorted(due, targets, "right") - 1, 0, len(times) - 2)
    duration = times[segment + 1] - times[segment]
    slope = (rates[segment + 1] - rates[segment]) / duration
    remainder, initial_rate = targets - due[segment], rates[segment]
    # Solves remainder = initial_rate * t + slope * t * t / 2 for t, in a form that stays exact
    # where the slope is small.
    root = np.sqrt(np.maximum(0.0, initial_rate * initial_rate + 2 * slope * remainder))
    return times[segment] + 2 * remainder / np.maximum(initial_rate + root, 1e-12)


class RecordedRequest(msgspec.Struct):
    """A request of a recorded trace."""

    at_s: float
    request_class: str = msgspec.field(name="offering", default="")
    customer: str = ""
    size: int = 0


def read_trace(path, speed=1.0):
    """Reads a trace; returns (arrival times, [RecordedRequest]).

    The file is CSV with a header line, or JSON lines. Columns: `offset` (seconds from the start;
    also `at_s`), `offering`, `customer`, `size` (bytes). `speed` is the replay speed: 2 is twice as
    fast. Raises InvalidPlanError with the file and the line.
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
        raise InvalidPlanError(f"{path}: the trace has no requests; expected at least one")
    previous_s = 0.0
    for number, row in rows:
        if row.at_s < previous_s:
            raise InvalidPlanError(
                f"{path}:{number}: offset is {row.at_s:g}; expected at least the previous offset, "
                f"{previous_s:g}"
            )
        previous_s = row.at_s
    return np.array([row.at_s / speed for _, row in rows]), [row for _, row in rows]


def _parse_row(path, number, fields):
    try:
        at_s = float(fields.get("offset", fields.get("at_s")))
        size = int(fields.get("size") or 0)
    except (TypeError, ValueError):
        raise InvalidPlanError(
            f"{path}:{number}: offset or size is not a number: {str(fields)[:60]}"
        ) from None
    if not 0 <= at_s < 1e7 or not 0 <= size <= 1 << 26:
        raise InvalidPlanError(
            f"{path}:{number}: offset {at_s:g} or size {size} is negative or over the limit"
        )
    return RecordedRequest(
        at_s, str(fields.get("offering") or ""), str(fields.get("customer") or ""), size
    )


def _csv_rows(path, text):
    reader = csv.DictReader(io.StringIO(text))
    if text.strip() and not {"offset", "at_s"} & set(reader.fieldnames or ()):
        raise InvalidPlanError(f"{path}:1: no column `offset` or `at_s` in the header line")
    for fields in reader:
        yield reader.line_num, _parse_row(path, reader.line_num, fields)


def _json_rows(path, text):
    for number, line in enumerate(text.splitlines(), 1):
        if line.strip():
            try:
                fields = msgspec.json.decode(line)
            except msgspec.DecodeError as error:
                raise InvalidPlanError(f"{path}:{number}: {error}") from None
            if not isinstance(fields, dict):
                raise InvalidPlanError(
                    f"{path}:{number}: expected a JSON object, found {type(fields).__name__}"
                )
            yield number, _parse_row(path, number, fields)
