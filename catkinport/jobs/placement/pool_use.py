"""Tells how much of a pool's capacity its runs take."""

from collections.abc import Iterable

from ...policy.resources import dominant_share, total
from ..workers.worker_state import WorkerRecord


def is_half_used(workers: Iterable[WorkerRecord]) -> bool:
    """Return whether the runs on workers take half of their capacity in any resource.

    Args:
        workers: workers of a pool; those that are not listed don't count.
    """
    listed = [worker for worker in workers if worker.is_listed]
    used = total(worker.used for worker in listed)
    capacity = total(worker.listed.capacity for worker in listed)
    return dominant_share(used, capacity) >= 0.5
