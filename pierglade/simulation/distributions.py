"""Random draws of work and of request classes, in blocks from one seeded generator."""

from collections.abc import Iterator
from math import log, sqrt

import numpy as np

BLOCK = 4096
"""Draws at once; a call into the generator costs as much as some hundreds of them."""
MIN_PARETO_SHAPE = 2.05
"""Below 2 there is no variance, and the mean of a run would be luck."""


class WorkDistribution:
    """Draws with a mean of `mean` (any unit) and a coefficient of variation of `cv`.

    `shape` is "fixed", "exp", "lognormal" or "pareto" (Lomax, its parameter from `cv`, over 1).
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
        """The next draw."""
        value = next(self._block, None)
        if value is None:
            self._block = iter(self._draw(BLOCK).tolist())
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
    """Draws indices by weights."""

    def __init__(self, generator: np.random.Generator, weights: list[float]):
        self._generator = generator
        self._weights = np.array(weights, float) / sum(weights)
        self._block: Iterator[int] = iter(())

    def next(self) -> int:
        """The next index."""
        value = next(self._block, None)
        if value is None:
            drawn = self._generator.choice(len(self._weights), BLOCK, p=self._weights)
            self._block = iter(drawn.tolist())
            value = next(self._block)
        return value
