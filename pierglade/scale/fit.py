"""Fits how a figure grows along an axis: constant, linear or quadratic, by least squares. No I/O."""

import math
from dataclasses import dataclass

SHAPES = {"constant": None, "linear": 1, "square": 2}
CONSTANT_SPREAD_RATIO = 0.1  # fraction of the mean; figures that differ by no more are constant


@dataclass(slots=True)
class Fit:
    """A fitted curve of one shape."""

    shape: str
    base: float  # the figure at 0 on the axis
    slope: float  # per unit of the axis, or per unit squared; 0 for a constant
    error: float  # root mean square of the residuals, divided by the mean of the figures
    exponent: float  # by least squares of the logarithms; nan unless all values are positive

    def at(self, x):
        """Returns the fitted figure at `x`."""
        power = SHAPES[self.shape]
        return self.base if power is None else self.base + self.slope * x**power


def fit(points):
    """Returns the Fit of [(x, y)], of at least three points, whose shape has the smallest error.

    The squared residuals are divided by the remaining degrees of freedom, so that a slope is chosen only
    if it reduces the error by more than an extra parameter does anyway. A figure that falls along the
    axis is fitted as a constant, with the error of that fit, because no resource need falls.
    """
    if len(points) < 3:
        raise ValueError(f"a fit needs at least three points; got {len(points)}")
    mean = math.fsum(y for _, y in points) / len(points)
    exponent = _exponent(points)
    fits = []
    for shape, power in SHAPES.items():
        base, slope = (mean, 0.0) if power is None else _line([(x**power, y) for x, y in points])
        if slope < 0:
            continue
        candidate = Fit(shape, base, slope, 0.0, exponent)
        degrees_of_freedom = len(points) - (1 if power is None else 2)
        residual = math.sqrt(
            math.fsum((y - candidate.at(x)) ** 2 for x, y in points) / degrees_of_freedom
        )
        candidate.error = residual / abs(mean) if mean else (0.0 if residual == 0 else math.inf)
        fits.append(candidate)
    figures = [y for _, y in points]
    if max(figures) - min(figures) <= CONSTANT_SPREAD_RATIO * abs(mean):
        return fits[0]
    return min(fits, key=lambda candidate: candidate.error)


def _line(points):
    """Returns (base, slope) of the least-squares line."""
    count = len(points)
    mean_x, mean_y = (math.fsum(point[i] for point in points) / count for i in (0, 1))
    variation_x = math.fsum((x - mean_x) ** 2 for x, _ in points)
    slope = (
        math.fsum((x - mean_x) * (y - mean_y) for x, y in points) / variation_x
        if variation_x
        else 0.0
    )
    return mean_y - slope * mean_x, slope


def _exponent(points):
    if any(x <= 0 or y <= 0 for x, y in points):
        return math.nan
    return _line([(math.log(x), math.log(y)) for x, y in points])[1]
