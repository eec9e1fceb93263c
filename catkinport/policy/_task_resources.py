"""What tasks and jobs hold or need, and sums of it that change during a round."""

from .placement_types import THROTTLE_FRACTION, RunningTask, WaitingJob
from .resources import Resources


def held_now(task: RunningTask) -> Resources:
    """Return what a task holds now, which is less while it is throttled."""
    if not task.is_throttled:
        return task.reserved
    cores, memory_gb, accelerators = task.reserved
    return Resources(cores * THROTTLE_FRACTION, memory_gb, accelerators)


def additional_need(item: RunningTask | WaitingJob) -> Resources:
    """Return what a job needs, or what a throttled task needs to run in full."""
    if isinstance(item, WaitingJob):
        return item.request
    return Resources(item.reserved.cores * (1 - THROTTLE_FRACTION), 0.0, 0.0)


def add_signed(amount: list[float], other: Resources, sign: float) -> None:
    """Add ``sign`` times ``other`` to ``amount`` in place."""
    amount[0] += sign * other[0]
    amount[1] += sign * other[1]
    amount[2] += sign * other[2]
