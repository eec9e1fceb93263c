"""Finds workers for all tasks of a gang, which can only run while all of them run.

Variables named ``room`` hold a worker with its free resources.
"""

import copy
from collections.abc import Iterator, Mapping

from ...policy.crash_blame import REPEATED_CRASHES
from ...policy.resources import Resources, is_within, scale
from ...policy.worker_choice import (
    ROUNDING_TOLERANCE,
    CandidateWorker,
    TaskNeed,
    choose_worker,
)
from ..dispatch.task import Task
from ..model import Step
from .task_needs import task_need


def find_gang_rooms(
    tasks: list[Task], rooms: Mapping[str, CandidateWorker]
) -> list[CandidateWorker] | None:
    """Return a worker for each task of a gang, or ``None`` if they do not all fit.

    If the step wants one rack, each rack is tried alone before all workers together.
    Members that were on crashed workers are kept apart from each other if there are
    enough workers, and only from other suspects if not.
    """
    groups = [
        group
        for group in _candidate_groups(tasks[0].step, rooms)
        if _may_fit_all(tasks, group)
    ]
    if not groups:
        return None
    needs = [task_need(task) for task in tasks]
    for candidates in groups:
        chosen = _fit_all(needs, candidates)
        if chosen is not None:
            return chosen
    if not any(need.n_crashes >= REPEATED_CRASHES for need in needs):
        return None
    lenient = [_as_single_suspect(need) for need in needs]
    for candidates in groups:
        chosen = _fit_all(lenient, [room for room in candidates if not room.n_suspects])
        if chosen is not None:
            return chosen
    return None


def _as_single_suspect(need: TaskNeed) -> TaskNeed:
    """Return the need of a member that may share a worker with other suspects."""
    return need._replace(n_crashes=min(need.n_crashes, REPEATED_CRASHES - 1))


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
    needs: list[TaskNeed], rooms: list[CandidateWorker]
) -> list[CandidateWorker] | None:
    trial = {room.worker_id: _copy_room(room) for room in rooms}
    room_by_id = {room.worker_id: room for room in rooms}
    chosen = []
    for need in needs:
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
