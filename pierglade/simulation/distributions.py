"""What an invocation asks of a backend: sizes drawn in blocks from one seeded generator."""

from math import log, sqrt

import numpy as np

BLOCK = 4096  # draws; a call into the generator costs as much as some hundreds of them
PARETO_LEAST = 2.05  # shape; below 2 there is no variance, and a run's mean would be luck


class Sizes:
    """Draws with a mean of `mean` (any unit) and a coefficient of variation of `cv`.

    `spread` is "fixed", "exp", "lognormal" or "pareto" (Lomax, shape from `cv`, over 1).
    """

    def __init__(self, generator, spread, mean, cv=1.0):
        self.generator, self.mean = generator, mean
        self.draw = {
            "fixed": self._fixed,
            "exp": self._exp,
            "lognormal": self._lognormal,
            "pareto": self._pareto,
        }[spread]
        self.sigma = sqrt(log(1 + cv * cv))
        # Lomax: cv^2 = shape / (shape - 2).
        self.shape = (
            max(PARETO_LEAST, 2 * cv * cv / (cv * cv - 1)) if cv > 1 else 1 / PARETO_LEAST + 100
        )
        self.left = iter(())

    def next(self):
        value = next(self.left, None)
        if value is None:
            self.left = iter(self.draw(BLOCK).tolist())
            value = next(self.left)
        return value

    def _fixed(self, count):
        return np.full(count, self.mean)

    def _exp(self, count):
        return self.generator.exponential(self.mean, count)

    def _lognormal(self, count):
        return self.mean * np.exp(self.generator.normal(-(self.sigma**2) / 2, self.sigma, count))

    def _pareto(self, count):
        return self.generator.pareto(self.shape, count) * self.mean * (self.shape - 1)


class Picks:
    """Indices drawn by weights, in blocks."""

    def __init__(self, generator, weights):
        self.generator = generator
        self.weights = np.array(weights, float) / sum(weights)
        self.left = iter(())

    def next(self):
        value = next(self.left, None)
        if value is None:
            self.left = iter(
                self.generator.choice(len(self.weights), BLOCK, p=self.weights).tolist()
            )
            value = next(self.left)
        return value
