"""How a figure grows along an axis: constant, linear or with the square, by least squares. No I/O."""

import math
from dataclasses import dataclass

SHAPES = {"constant": None, "linear": 1, "square": 2}
EVEN = 0.1  # of the mean; figures no farther apart than that don't grow


@dataclass(slots=True)
class Fit:
    shape: str
    base: float  # the figure where the axis is at 0
    slope: float  # for each unit of the axis, or for its square; 0 where it is constant
    error: float  # root mean square of what is left, over the mean of the figures
    exponent: float  # by least squares of the logarithms; nan where a figure is not over 0

    def at(self, x):
        power = SHAPES[self.shape]
        return self.base if power is None else self.base + self.slope * x**power


def fit(points):
    """The Fit of [(x, y)], of which there are three at least: the shape with the least error.

    An error is that of the points over those that the shape leaves free, so that a slope has to earn itself.
    What falls along an axis is taken for constant with that error: no need does.
    """
    if len(points) < 3:
        raise ValueError("a shape needs three points at least")
    mean = math.fsum(y for _, y in points) / len(points)
    exponent = _exponent(points)
    fits = []
    for shape, power in SHAPES.items():
        base, slope = (mean, 0.0) if power is None else _line([(x**power, y) for x, y in points])
        if slope < 0:
            continue
        one = Fit(shape, base, slope, 0.0, exponent)
        free = len(points) - (1 if power is None else 2)
        left = math.sqrt(math.fsum((y - one.at(x)) ** 2 for x, y in points) / free)
        one.error = left / abs(mean) if mean else (0.0 if left == 0 else math.inf)
        fits.append(one)
    figures = [y for _, y in points]
    if max(figures) - min(figures) <= EVEN * abs(mean):
        return fits[0]
    return min(fits, key=lambda one: one.error)


def _line(points):
    """(base, slope) of the straight line of least squares."""
    count = len(points)
    mean_x, mean_y = (math.fsum(p[i] for p in points) / count for i in (0, 1))
    spread = math.fsum((x - mean_x) ** 2 for x, _ in points)
    slope = math.fsum((x - mean_x) * (y - mean_y) for x, y in points) / spread if spread else 0.0
    return mean_y - slope * mean_x, slope


def _exponent(points):
    if any(x <= 0 or y <= 0 for x, y in points):
        return math.nan
    return _line([(math.log(x), math.log(y)) for x, y in points])[1]
