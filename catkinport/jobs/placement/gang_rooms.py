"""Finds workers for all tasks of a gang, which can only run while all of them run.

Variables named ``room`` hold a worker with its free resources.
"""

import copy
from collections.abc import Iterator, Mapping

from ...policy.resources import Resources, is_within, scale
from ...policy.worker_choice import ROUNDING_TOLERANCE, CandidateWorker, choose_worker
from ..dispatch.task import Task
from ..model import Step
from .task_needs import task_need


def find_gang_rooms(
    tasks: list[Task], rooms: Mapping[str, CandidateWorker]
) -> list[CandidateWorker] | None:
    """Return a worker for each task of a gang, or ``None`` if they do not all fit.

    If the step wants one rack, each rack is tried alone before all workers together.
    """
    for candidates in _candidate_groups(tasks[0].step, rooms):
        if not _may_fit_all(tasks, candidates):
            continue
        chosen = _fit_all(tasks, candidates)
        if chosen is not None:
            return chosen
    return None


def _candidate_groups(
    step: Step, rooms: Mapping[str, CandidateWorker]
) -> Iterator[list[CandidateWorker]]:
    if step.wants_one_rack:
        racks = {label for room in rooms.values() for label in room.labels}
        for rack in sorted(racks):
            yield [room for room in rooms.values() if rack in room.labels]
    yield list(rooms.values())


def _may_fit_all(tasks: list[Task], rooms: list[CandidateWorker]) -> bool:
    """Return whether the tasks need no more than what all workers have free together.

    It rejects most gangs that do not fit, without choosing a worker for each task.
    """
    need = scale(task_need(tasks[0]).counted_need, len(tasks))
    tolerance = ROUNDING_TOLERANCE * (len(rooms) + 1)
    free = Resources(
        sum(max(0.0, room.cores) for room in rooms) + tolerance,
        sum(max(0.0, room.memory_gb) for room in rooms) + tolerance,
        sum(max(0.0, room.accelerators) for room in rooms) + tolerance,
    )
    return is_within(need, free)


def _fit_all(
    tasks: list[Task], rooms: list[CandidateWorker]
) -> list[CandidateWorker] | None:
    trial = {room.worker_id: _copy_room(room) for room in rooms}
    room_by_id = {room.worker_id: room for room in rooms}
    chosen = []
    for task in tasks:
        need = task_need(task)
        room = choose_worker(need, trial.values())
        if room is None:
            return None
        room.take(need)
        chosen.append(room_by_id[room.worker_id])
    return chosen


def _copy_room(room: CandidateWorker) -> CandidateWorker:
    duplicate = copy.copy(room)
    duplicate.n_tasks_by_step = dict(room.n_tasks_by_step)
    return duplicate
