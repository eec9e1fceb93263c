"""Decides how fast filling tasks may work beside tasks that serve.

Pattern: filling tasks use what others leave and disturb them by amounts that change
within seconds. They are slowed down as soon as a serving task comes near its target,
and get their speed back step by step.
"""

from collections.abc import Sequence
from typing import NamedTuple

NEAR_FRACTION = 0.85
"""Part of its target from which a serving task counts as near it."""

CALM_FRACTION = 0.6
"""Part of its target under which a serving task leaves room for filling tasks."""

RAISE_PERCENT = 25
"""Step in which filling tasks get their speed back, one for each look at a worker."""

FULL_PERCENT = 100


class ServingTask(NamedTuple):
    """A task with a latency target; both values in seconds."""

    tail_seconds: float
    target_seconds: float


def choose_pace(serving: Sequence[ServingTask], pace: int) -> int:
    """Return the speed in percent of the filling tasks beside ``serving``.

    Args:
        serving: the tasks with a target on the same worker.
        pace: present speed of the filling tasks in percent.

    Example:
        >>> choose_pace([ServingTask(0.12, 0.1)], 100)
        0
        >>> choose_pace([ServingTask(0.09, 0.1)], 100)
        50
        >>> choose_pace([ServingTask(0.02, 0.1)], 50)
        75
    """
    loads = [task.tail_seconds / task.target_seconds for task in serving]
    highest = max(loads, default=0.0)
    if highest >= 1.0:
        return 0
    if highest >= NEAR_FRACTION:
        return pace // 2
    if highest <= CALM_FRACTION:
        return min(FULL_PERCENT, pace + RAISE_PERCENT)
    return pace
