"""Measures how late the event loop of a daemon runs what is due."""

import asyncio

from .metrics import Metrics

SAMPLE_SECONDS = 0.1
"""Time between two samples."""

SMOOTHING_FACTOR = 0.3
"""Weight of a new sample in the moving average."""


class LoopLag:
    """Moving average of how late timers of the event loop fire.

    A loop with more work than processor time runs everything late: it also reads
    answers late that have arrived in time.

    Args:
        metrics: metrics of the process.

    Attributes:
        seconds: the average in seconds; 0 while nothing is measured.
    """

    def __init__(self, metrics: Metrics) -> None:
        self.seconds = 0.0
        self._metrics = metrics

    def reset(self) -> None:
        """Forget former samples."""
        self.seconds = 0.0

    async def sample(self) -> None:
        """Wait for `SAMPLE_SECONDS` and add how much longer it took."""
        loop = asyncio.get_running_loop()
        due_at = loop.time() + SAMPLE_SECONDS
        await asyncio.sleep(SAMPLE_SECONDS)
        self.add(max(0.0, loop.time() - due_at))

    def add(self, late_seconds: float) -> None:
        """Add a sample in seconds."""
        self.seconds += SMOOTHING_FACTOR * (late_seconds - self.seconds)
        self._metrics.observe(
            "event_loop_lag_seconds",
            "How late timers of an owner's event loop fire.",
            {},
            late_seconds,
        )
