"""Spread of the tasks of each queue over racks and zones."""

from collections import defaultdict
from collections.abc import Sequence

from .placement_types import WorkerView

SPREAD_WEIGHT = 0.3
"""Weight of the spread over racks and zones relative to the tightness of the fit."""


class QueueSpread:
    """Number of tasks of each queue by rack and zone."""

    def __init__(self) -> None:
        self._n_by_queue_and_domain: dict[tuple[str, str], int] = defaultdict(int)
        self._n_by_queue: dict[str, int] = defaultdict(int)

    def count(self, queue: str, worker: WorkerView) -> None:
        """Count a task of ``queue`` on ``worker``."""
        self._n_by_queue[queue] += 1
        self._n_by_queue_and_domain[queue, worker.rack] += 1
        self._n_by_queue_and_domain[queue, worker.zone] += 1

    def penalties(self, queue: str, workers: Sequence[WorkerView]) -> dict[str, float]:
        """Return the penalty of each rack for the tasks of ``queue`` that are near."""
        n_tasks = self._n_by_queue[queue]
        if not n_tasks:
            return defaultdict(float)
        factor = SPREAD_WEIGHT / n_tasks
        counts = self._n_by_queue_and_domain
        return {
            worker.rack: factor
            * (
                counts.get((queue, worker.rack), 0)
                + counts.get((queue, worker.zone), 0)
            )
            for worker in workers
        }
