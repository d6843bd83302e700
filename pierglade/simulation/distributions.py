"""Random samples of work and of request classes, drawn in blocks from a seeded generator."""

from collections.abc import Iterator
from math import log, sqrt

import numpy as np

BLOCK_SIZE = 4096
"""Samples drawn per call of the generator; a call costs as much as some hundreds of samples."""
MIN_PARETO_SHAPE = 2.05
"""The variance is infinite up to a shape of 2, which would make the mean of a run arbitrary."""


class WorkDistribution:
    """Samples with mean `mean` (in any unit) and coefficient of variation `cv`.

    `shape` is "fixed", "exp", "lognormal" or "pareto" (Lomax, with its shape parameter derived from
    a `cv` over 1).
    """

    def __init__(self, generator: np.random.Generator, shape: str, mean: float, cv: float = 1.0):
        self._generator, self._mean = generator, mean
        self._draw = {
            "fixed": self._fixed,
            "exp": self._exponential,
            "lognormal": self._lognormal,
            "pareto": self._pareto,
        }[shape]
        self._sigma = sqrt(log(1 + cv * cv))
        # Lomax: cv^2 = shape / (shape - 2).
        self._pareto_shape = (
            max(MIN_PARETO_SHAPE, 2 * cv * cv / (cv * cv - 1))
            if cv > 1
            else 1 / MIN_PARETO_SHAPE + 100
        )
        self._block: Iterator[float] = iter(())

    def next(self) -> float:
        """Returns the next sample."""
        value = next(self._block, None)
        if value is None:
            self._block = iter(self._draw(BLOCK_SIZE).tolist())
            value = next(self._block)
        return value

    def _fixed(self, count):
        return np.full(count, self._mean)

    def _exponential(self, count):
        return self._generator.exponential(self._mean, count)

    def _lognormal(self, count):
        normal = self._generator.normal(-(self._sigma**2) / 2, self._sigma, count)
        return self._mean * np.exp(normal)

    def _pareto(self, count):
        shape = self._pareto_shape
        return self._generator.pareto(shape, count) * self._mean * (shape - 1)


class WeightedChoice:
    """Random indices with given weights."""

    def __init__(self, generator: np.random.Generator, weights: list[float]):
        self._generator = generator
        self._weights = np.array(weights, float) / sum(weights)
        self._block: Iterator[int] = iter(())

    def next(self) -> int:
        """Returns the next index."""
        value = next(self._block, None)
        if value is None:
            drawn = self._generator.choice(len(self._weights), BLOCK_SIZE, p=self._weights)
            self._block = iter(drawn.tolist())
            value = next(self._block)
        return value
