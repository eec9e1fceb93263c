"""Predicts how long the tasks of a queue take, from the durations of recent tasks.

Callers' estimates are close for some queues, and off by several times or unrelated to
the durations for others. Which jobs can still be on time, and how much work a pool has,
is therefore computed from the durations of recent tasks.
"""

import math
from collections.abc import Sequence
from typing import NamedTuple

MIN_SECONDS = 0.01
"""Lower bound of durations and estimates, so that their logarithm is finite."""

DECAY_FACTOR = 0.98
"""Factor by which each new duration reduces the weight of the earlier ones, so that
about the last 50 count."""

PRIOR_WEIGHT = 6.0
"""Weight of the prior, which takes the callers' estimates as right. After this many
durations the observed ones weigh more."""

PRIOR_ESTIMATE_DEVIATION = math.log(2.0)
"""Deviation of the logarithms of estimates in the prior, as if half of the estimates
were 0.5 s and half 2 s."""

PRIOR_DEVIATION = 0.3
"""Deviation of the logarithms of durations from those of their estimates in the
prior."""

LONGEST_TASK_FACTOR = 0.7
"""Deviations by which the longest of n tasks exceeds the mean, divided by the natural
logarithm of n. It fits normally distributed durations for n from 2 to 30."""

MIN_ESTIMATE_VARIANCE = 1e-6
"""Variance of the logarithms of estimates up to which all estimates count as equal."""

MAX_KEPT_PREDICTIONS = 10_000
"""Predictions that are kept until the next duration is learned. The owner asks for
those of all waiting jobs in each round of planning."""


class _Line(NamedTuple):
    mean_x: float
    mean_y: float
    slope: float
    deviation: float


class DurationModel:
    """Model of the durations of one queue's tasks as a power of their estimates.

    The model is a weighted linear regression of the logarithms of durations on those of
    estimates. It starts from a prior by which the estimates are right, and the weight
    of old durations decays.

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
        # Sum of the weights, and weighted sums of the logarithms of estimates (x) and
        # durations (y), of their squares and of their product.
        self._weight = PRIOR_WEIGHT
        self._x = 0.0
        self._y = 0.0
        self._xx = PRIOR_WEIGHT * PRIOR_ESTIMATE_DEVIATION**2
        self._xy = PRIOR_WEIGHT * PRIOR_ESTIMATE_DEVIATION**2
        self._yy = PRIOR_WEIGHT * (PRIOR_ESTIMATE_DEVIATION**2 + PRIOR_DEVIATION**2)
        self._line: _Line | None = None
        self._seconds_by_estimate: dict[float, float] = {}

    def to_sums(self) -> list[float]:
        """Return the sums from which ``from_sums`` restores the model."""
        return [self._weight, self._x, self._y, self._xx, self._xy, self._yy]

    @classmethod
    def from_sums(cls, sums: Sequence[float]) -> "DurationModel":
        """Return the model that has the sums of ``to_sums``.

        Raises:
            ValueError: if there are not six sums, or the weight is not above 0.
        """
        model = cls()
        model._weight, model._x, model._y, model._xx, model._xy, model._yy = sums
        if not model._weight > 0:
            raise ValueError(f"the weight must be > 0, got {model._weight!r}")
        return model

    def learn(self, estimate_seconds: float, seconds: float) -> None:
        """Record how long a task took.

        Args:
            estimate_seconds: duration that its caller estimated; 0 for no estimate.
            seconds: duration of the task.
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
            setattr(self, name, getattr(self, name) * DECAY_FACTOR + value)
        self._line = None
        self._seconds_by_estimate.clear()

    def predict(self, estimate_seconds: float) -> float:
        """Return the mean duration of tasks with this estimate, in seconds."""
        seconds = self._seconds_by_estimate.get(estimate_seconds)
        if seconds is None:
            if len(self._seconds_by_estimate) >= MAX_KEPT_PREDICTIONS:
                self._seconds_by_estimate.clear()
            seconds = self._compute(estimate_seconds)
            self._seconds_by_estimate[estimate_seconds] = seconds
        return seconds

    def _compute(self, estimate_seconds: float) -> float:
        line = self._line or self._fit()
        y = line.mean_y
        if estimate_seconds > 0:
            x = math.log(max(estimate_seconds, MIN_SECONDS))
            y += line.slope * (x - line.mean_x)
        return math.exp(y + line.deviation**2 / 2)

    def predict_longest(self, estimate_seconds: float, n_tasks: int) -> float:
        """Return the mean duration of the longest of ``n_tasks`` tasks, in seconds."""
        mean = self.predict(estimate_seconds)
        excess = LONGEST_TASK_FACTOR * self.deviation * math.log(max(1, n_tasks))
        return mean * (1.0 + excess)

    @property
    def deviation(self) -> float:
        """Standard deviation of the logarithms of durations from the fitted line."""
        return (self._line or self._fit()).deviation

    def _fit(self) -> _Line:
        mean_x = self._x / self._weight
        mean_y = self._y / self._weight
        variance_x = self._xx / self._weight - mean_x**2
        variance_y = self._yy / self._weight - mean_y**2
        covariance = self._xy / self._weight - mean_x * mean_y
        slope = 0.0
        if variance_x > MIN_ESTIMATE_VARIANCE:
            slope = min(1.0, max(0.0, covariance / variance_x))
        # The slope may have been limited to 0..1, so the general formula is needed.
        residual = variance_y - 2 * slope * covariance + slope**2 * variance_x
        self._line = _Line(mean_x, mean_y, slope, math.sqrt(max(residual, 0.0)))
        return self._line
