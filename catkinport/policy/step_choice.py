"""Chooses the workers of several tasks of a step, one after the other.

The tasks of a step mostly have the same needs, and a start changes the room of one
worker only. So the workers are ranked once, and not for each task: on 3,000 workers,
24 tasks took 0.2 s of the owner's event loop.
"""

import heapq
from collections.abc import Collection

from .worker_choice import (
    CandidateWorker,
    TaskNeed,
    choose_worker,
    has_room,
    placement_cost,
)

_Ranked = tuple[tuple[float, ...], int, CandidateWorker]
"""Cost of a worker, its place among the workers, and the worker."""


class StepChooser:
    """Chooses what `worker_choice.choose_worker` would, among the same workers.

    Between two choices, only the worker that was chosen may get a task. Reservations
    may change.

    Args:
        rooms: workers that may take the tasks, and their free resources.
    """

    def __init__(self, rooms: Collection[CandidateWorker]) -> None:
        self._rooms = rooms
        self._shared_need: TaskNeed | None = None
        self._ranked: list[_Ranked] | None = None
        self._chosen: tuple[int, CandidateWorker] | None = None

    def choose(self, task: TaskNeed) -> CandidateWorker | None:
        """Return the best worker for the next task, or ``None`` if it fits on none."""
        shared_need = task._replace(task="")
        if shared_need != self._shared_need:
            # A step of one task needs no ranking.
            self._shared_need = shared_need
            self._ranked = self._chosen = None
            return choose_worker(task, self._rooms)
        if self._ranked is None:
            self._rank(task)
        return self._take_best(task)

    def _rank(self, task: TaskNeed) -> None:
        self._ranked = [
            (placement_cost(task, room), place, room)
            for place, room in enumerate(self._rooms)
            if has_room(task, room)
        ]
        heapq.heapify(self._ranked)

    def _take_best(self, task: TaskNeed) -> CandidateWorker | None:
        assert self._ranked is not None
        if self._chosen is not None:
            place, room = self._chosen
            heapq.heappush(self._ranked, (placement_cost(task, room), place, room))
            self._chosen = None
        reserved: list[_Ranked] = []
        while self._ranked and self._chosen is None:
            best = heapq.heappop(self._ranked)
            _, place, room = best
            # What a task takes is not given back, so a full worker stays full.
            if not has_room(task, room):
                continue
            if room.is_open_to(task):
                self._chosen = (place, room)
            else:
                reserved.append(best)
        for entry in reserved:
            heapq.heappush(self._ranked, entry)
        return self._chosen[1] if self._chosen else None
