"""Decides how fast filler tasks may run beside tasks that have a latency target.

Filler tasks use the processors that other tasks leave idle. How much they slow down the
other tasks changes within seconds. Filler tasks are therefore slowed down as soon as a
serving task, which is one with a latency target, comes near that target, and get their
speed back step by step.
"""

from collections.abc import Sequence
from typing import NamedTuple

NEAR_TARGET_FRACTION = 0.85
"""Fraction of its target from which a serving task counts as near it."""

SPEED_UP_FRACTION = 0.6
"""Fraction of its target up to which a serving task lets filler tasks speed up."""

SPEED_UP_PERCENT = 25
"""Percentage points by which filler tasks speed up, at most once for each report of
their worker."""

FULL_SPEED_PERCENT = 100


class LatencyTask(NamedTuple):
    """Measured tail latency and latency target of a task, both in seconds."""

    tail_seconds: float
    target_seconds: float


def choose_speed_percent(serving: Sequence[LatencyTask], pace: int) -> int:
    """Return the next speed in percent of the filler tasks beside ``serving``.

    Args:
        serving: the tasks with a latency target on the same worker.
        pace: current speed of the filler tasks in percent.

    Example:
        >>> choose_speed_percent([LatencyTask(0.12, 0.1)], 100)
        0
        >>> choose_speed_percent([LatencyTask(0.09, 0.1)], 100)
        50
        >>> choose_speed_percent([LatencyTask(0.02, 0.1)], 50)
        75
    """
    target_fractions = [task.tail_seconds / task.target_seconds for task in serving]
    highest = max(target_fractions, default=0.0)
    if highest >= 1.0:
        return 0
    if highest >= NEAR_TARGET_FRACTION:
        return pace // 2
    if highest <= SPEED_UP_FRACTION:
        return min(FULL_SPEED_PERCENT, pace + SPEED_UP_PERCENT)
    return pace
