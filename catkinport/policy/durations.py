"""Learns how long tasks of a queue really take.

Pattern: callers' estimates of a queue are off by several times, or say nothing at all,
while those of another are close. What can still be on time, and how much a pool has to
do, then depends on what tasks took lately.
"""

import math
from collections.abc import Sequence
from typing import NamedTuple

MIN_SECONDS = 0.01
"""Shorter durations and estimates count as this, for their logarithm."""

FORGETTING = 0.98
"""Weight of what was learnt before, at each new duration; about the last 50 count."""

PRIOR_WEIGHT = 6.0
"""Durations after which what was seen weighs more than the callers' estimates."""

PRIOR_SPREAD = math.log(2.0)
"""Half the range, in logarithms, over which estimates are trusted at first."""

PRIOR_DEVIATION = 0.3
"""Assumed deviation of durations, in logarithms, before any is known."""

LONGEST_FACTOR = 0.7
"""The longest of n tasks exceeds the mean by this many deviations for each unit of the
logarithm of n; a fit to normal deviates for n between 2 and 30."""


MIN_VARIANCE = 1e-6
"""Estimates that differ by less all count as the same."""


class _Line(NamedTuple):
    mean_x: float
    mean_y: float
    slope: float
    deviation: float


class DurationModel:
    """Durations of the tasks of one queue, as a power of their estimates.

    A straight line through the logarithms of estimates and durations, which begins as
    "the estimate is right" and forgets old durations.

    Example:
        >>> model = DurationModel()
        >>> round(model.predict(2.0), 1)
        2.1
        >>> for _ in range(200):
        ...     model.learn(0.5, 2.0)
        ...     model.learn(4.0, 2.0)
        >>> round(model.predict(0.5), 1), round(model.predict(4.0), 1)
        (2.0, 2.0)
    """

    def __init__(self) -> None:
        # Sums of weights, of logarithms of estimates (x) and durations (y).
        self._weight = PRIOR_WEIGHT
        self._x = 0.0
        self._y = 0.0
        self._xx = PRIOR_WEIGHT * PRIOR_SPREAD**2
        self._xy = PRIOR_WEIGHT * PRIOR_SPREAD**2
        self._yy = PRIOR_WEIGHT * (PRIOR_SPREAD**2 + PRIOR_DEVIATION**2)
        self._line: _Line | None = None

    def to_sums(self) -> list[float]:
        """Return what was learnt, for a successor."""
        return [self._weight, self._x, self._y, self._xx, self._xy, self._yy]

    @classmethod
    def from_sums(cls, sums: Sequence[float]) -> "DurationModel":
        """Return the model with these sums.

        Raises:
            ValueError: if they are not the sums of a model.
        """
        model = cls()
        model._weight, model._x, model._y, model._xx, model._xy, model._yy = sums
        if not model._weight > 0:
            raise ValueError(f"the weight must be > 0, got {model._weight!r}")
        return model

    def learn(self, estimate_seconds: float, seconds: float) -> None:
        """Take in how long a task has taken.

        Args:
            estimate_seconds: what its caller expected; 0 for no estimate.
            seconds: what it took.
        """
        y = math.log(max(seconds, MIN_SECONDS))
        x = self._x / self._weight
        if estimate_seconds > 0:
            x = math.log(max(estimate_seconds, MIN_SECONDS))
        for name, value in (
            ("_weight", 1.0),
            ("_x", x),
            ("_y", y),
            ("_xx", x * x),
            ("_xy", x * y),
            ("_yy", y * y),
        ):
            setattr(self, name, getattr(self, name) * FORGETTING + value)
        self._line = None

    def predict(self, estimate_seconds: float) -> float:
        """Return the mean duration of tasks with this estimate, in seconds."""
        line = self._line or self._fit()
        y = line.mean_y
        if estimate_seconds > 0:
            x = math.log(max(estimate_seconds, MIN_SECONDS))
            y += line.slope * (x - line.mean_x)
        return math.exp(y + line.deviation**2 / 2)

    def predict_longest(self, estimate_seconds: float, n_tasks: int) -> float:
        """Return the duration of the longest of ``n_tasks`` such tasks, in seconds."""
        mean = self.predict(estimate_seconds)
        excess = LONGEST_FACTOR * self.deviation * math.log(max(1, n_tasks))
        return mean * (1.0 + excess)

    @property
    def deviation(self) -> float:
        """Deviation of the logarithms of durations from the line."""
        return (self._line or self._fit()).deviation

    def _fit(self) -> _Line:
        mean_x = self._x / self._weight
        mean_y = self._y / self._weight
        variance_x = self._xx / self._weight - mean_x**2
        variance_y = self._yy / self._weight - mean_y**2
        covariance = self._xy / self._weight - mean_x * mean_y
        slope = 0.0
        if variance_x > MIN_VARIANCE:
            slope = min(1.0, max(0.0, covariance / variance_x))
        # The slope may be bounded, so this is not the usual short form.
        residual = variance_y - 2 * slope * covariance + slope**2 * variance_x
        self._line = _Line(mean_x, mean_y, slope, math.sqrt(max(residual, 0.0)))
        return self._line
