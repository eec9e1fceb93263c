"""Reserves workers for large tasks that fit on none at present.

Without a reservation, smaller tasks take each part of a worker as it becomes free, and
a task that needs most of a worker waits as long as the load lasts. A worker with
reservations gets no other tasks until the tasks that hold them have started there.
Variables named ``room`` hold a worker with its free resources.
"""

import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import NamedTuple

from .resources import Resources, add, is_within, total
from .worker_choice import (
    ROUNDING_TOLERANCE,
    CandidateWorker,
    TaskNeed,
    has_room,
    is_suitable,
)

MAX_NEW_PER_ROUND = 8
"""Most reservations that are made in a round of planning. Each looks at all workers of
its pool: 350 of them in one round blocked the event loop for two seconds, which
is half of a lease."""


EXCLUSIVE_SECONDS = 1.5
"""Time for which a worker is kept free for a task while most of its pool is idle. Other
tasks must not wait longer for room that stands empty."""


class ExpectedEnd(NamedTuple):
    """Expected end of a task on a worker.

    Args:
        seconds: time until its end.
        freed: resources that are free then.
    """

    seconds: float
    freed: Resources


class Reservation(NamedTuple):
    """Worker that is kept free for a task.

    Args:
        worker_id: id of the worker.
        need: requirements of the task.
        since: clock time in seconds since which the task has had a reservation.
    """

    worker_id: str
    need: TaskNeed
    since: float


class _Outlook(NamedTuple):
    """Expected ends on a worker, soonest first, and what they free together."""

    ends: list[ExpectedEnd]
    freed: Resources


FindEnds = Callable[[str], Sequence[ExpectedEnd]]
"""Returns the expected ends of the tasks on a worker, by its id. Tasks without an
expected end are left out."""


class Reservations:
    """One reservation for each waiting task, renewed in each round of planning."""

    def __init__(self) -> None:
        self._reservation_by_task: dict[str, Reservation] = {}
        self._renewed: set[str] = set()
        self._n_new = 0
        self._now = 0.0
        self._outlook_by_worker: dict[str, _Outlook] = {}

    @property
    def may_add(self) -> bool:
        """Whether another reservation may be made in this round."""
        return self._n_new < MAX_NEW_PER_ROUND

    def mark(
        self, rooms: Mapping[str, CandidateWorker], now: float, is_pool_busy: bool
    ) -> None:
        """Close reserved workers to tasks that hold no reservation there.

        Args:
            rooms: workers of a pool with their free resources.
            now: clock time in seconds.
            is_pool_busy: whether the pool is used so much that the room on its reserved
                workers would be taken again and again. If not, they are kept free only
                for `EXCLUSIVE_SECONDS`.
        """
        self._now = now
        for task, reservation in self._reservation_by_task.items():
            room = rooms.get(reservation.worker_id)
            is_new = now - reservation.since <= EXCLUSIVE_SECONDS
            if room is not None and (is_pool_busy or is_new):
                room.reserved_for.add(task)

    def find_room(
        self, task: str, rooms: Mapping[str, CandidateWorker]
    ) -> CandidateWorker | None:
        """Return the worker that is reserved for a task, if it is among ``rooms``."""
        reservation = self._reservation_by_task.get(task)
        return rooms.get(reservation.worker_id) if reservation else None

    def reserve(
        self,
        need: TaskNeed,
        rooms: Mapping[str, CandidateWorker],
        find_ends: FindEnds,
        may_choose: bool = True,
    ) -> bool:
        """Renew the reservation of a task that fits nowhere, or make one.

        A reservation stays with its worker while the task can still fit there. A new
        one goes to the worker on which the task fits soonest.

        Args:
            need: requirements of the task.
            rooms: workers that may get the task.
            find_ends: returns the expected ends of the tasks on a worker.
            may_choose: whether another worker may be chosen.

        Returns:
            Whether the task has a reservation now.
        """
        present = self.find_room(need.task, rooms)
        if present is not None:
            if math.isfinite(self._seconds_until_fit(need, present, find_ends)):
                self._renewed.add(need.task)
                return True
            present.reserved_for.discard(need.task)
        former = self._reservation_by_task.pop(need.task, None)
        if not may_choose:
            return False
        room = self._find_soonest(need, rooms.values(), find_ends)
        if room is None:
            return False
        since = former.since if former else self._now
        self._reservation_by_task[need.task] = Reservation(room.worker_id, need, since)
        self._renewed.add(need.task)
        self._n_new += 1
        room.reserved_for.add(need.task)
        return True

    def take_over(
        self, need: TaskNeed, rooms: Iterable[CandidateWorker]
    ) -> CandidateWorker | None:
        """Return a reserved worker on which a task fits now, and end its reservations.

        This is for a lasting task that can reserve no worker. It is not known when the
        tasks that hold the reservations will fit, and they can choose another worker. A
        worker on which one of them fits now stays reserved, as that task is about to
        start.
        """
        possible = (
            room
            for room in rooms
            if room.reserved_for
            and has_room(need, room)
            and not self._is_holder_due(room)
        )
        room = min(possible, key=lambda r: (r.penalty, r.worker_id), default=None)
        if room is None:
            return None
        for task in room.reserved_for:
            self._reservation_by_task.pop(task, None)
        room.reserved_for.clear()
        return room

    def release(self, task: str, room: CandidateWorker) -> None:
        """Drop the reservation of a task that starts on the worker ``room``."""
        self._reservation_by_task.pop(task, None)
        room.reserved_for.discard(task)

    def begin_round(self) -> None:
        """Note that a round of planning begins; it may be one of several of a pass."""
        self._n_new = 0
        self._outlook_by_worker.clear()

    def end_pass(self) -> None:
        """Drop the reservations that the rounds of a pass have not renewed."""
        for task in self._reservation_by_task.keys() - self._renewed:
            del self._reservation_by_task[task]
        self._renewed.clear()

    def _is_holder_due(self, room: CandidateWorker) -> bool:
        """Return whether a task fits now on the worker that is reserved for it."""
        reservations = (self._reservation_by_task.get(t) for t in room.reserved_for)
        return any(held and has_room(held.need, room) for held in reservations)

    def _find_soonest(
        self,
        need: TaskNeed,
        rooms: Iterable[CandidateWorker],
        find_ends: FindEnds,
    ) -> CandidateWorker | None:
        # A worker with reservations is preferred, so that others go on taking tasks.
        ranked = [
            (self._seconds_until_fit(need, room, find_ends), room) for room in rooms
        ]
        possible = [item for item in ranked if math.isfinite(item[0])]
        best = min(
            possible,
            key=lambda item: (not item[1].reserved_for, item[0], item[1].worker_id),
            default=None,
        )
        return best[1] if best else None

    def _seconds_until_fit(
        self, need: TaskNeed, room: CandidateWorker, find_ends: FindEnds
    ) -> float:
        """Return the time until the task fits on a worker; infinity for never.

        The tasks that hold other reservations of the worker are counted as started.
        """
        held = [
            self._reservation_by_task[task].need
            for task in room.reserved_for
            if task != need.task and task in self._reservation_by_task
        ]
        n_of_step = sum(other.step == need.step for other in held)
        if room.is_last_resort or not is_suitable(need, room, n_of_step):
            return math.inf
        taken = total(other.counted_need for other in held)
        free = Resources(
            room.cores - taken.cores + ROUNDING_TOLERANCE,
            room.memory_gb - taken.memory_gb + ROUNDING_TOLERANCE,
            room.accelerators - taken.accelerators + ROUNDING_TOLERANCE,
        )
        if is_within(need.counted_need, free):
            return 0.0
        outlook = self._outlook(room.worker_id, find_ends)
        if not is_within(need.counted_need, add(free, outlook.freed)):
            return math.inf
        for end in outlook.ends:
            free = add(free, end.freed)
            if is_within(need.counted_need, free):
                return end.seconds
        return math.inf

    def _outlook(self, worker_id: str, find_ends: FindEnds) -> _Outlook:
        # Kept for a round, as many tasks may look at all workers in it.
        outlook = self._outlook_by_worker.get(worker_id)
        if outlook is None:
            ends = sorted(find_ends(worker_id))
            outlook = _Outlook(ends, total(end.freed for end in ends))
            self._outlook_by_worker[worker_id] = outlook
        return outlook
