"""Measures how long the rounds of planning take."""

import logging
import time
from collections.abc import Iterator
from contextlib import contextmanager

from ...runtime.logs import log_event
from ...runtime.metrics import Metrics

logger = logging.getLogger(__name__)

SLOW_ROUND_SECONDS = 0.25
"""Time of a round from which on it is logged. Meanwhile the owner reads no answers of
workers and renews no lease."""

REPEAT_SECONDS = 1.0
"""Shortest time between two lines."""


class RoundTimes:
    """Metric and log of the time that rounds of planning take.

    Args:
        metrics: metrics of the process.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._logged_at = float("-inf")
        self._n_unlogged = 0

    @contextmanager
    def measure(self, n_jobs: int) -> Iterator[None]:
        """Measure the round that runs in this context.

        Args:
            n_jobs: number of jobs that the owner knows.
        """
        started_at = time.monotonic()
        yield
        now = time.monotonic()
        self.note(now - started_at, n_jobs, now)

    def note(self, seconds: float, n_jobs: int, now: float) -> None:
        """Note a round.

        Args:
            seconds: time that it took.
            n_jobs: number of jobs that the owner knows.
            now: clock time in seconds.
        """
        self._metrics.observe(
            "planning_round_seconds",
            "Time that a round of planning takes on the owner.",
            {},
            seconds,
        )
        if seconds < SLOW_ROUND_SECONDS:
            return
        if now - self._logged_at < REPEAT_SECONDS:
            self._n_unlogged += 1
            return
        log_event(
            logger,
            "planning round slow",
            level=logging.WARNING,
            seconds=round(seconds, 2),
            n_jobs=n_jobs,
            unlogged=self._n_unlogged,
        )
        self._logged_at = now
        self._n_unlogged = 0
