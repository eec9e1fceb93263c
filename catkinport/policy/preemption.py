"""Finds tasks whose throttling or preemption makes room for a job, by cost."""

import itertools
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from ._round import RoundState
from ._task_resources import held_now
from .placement_types import THROTTLE_FRACTION, Preempt, RunningTask, WaitingJob

MAX_LOST_WORK_SECONDS = 3.0
"""Time since the last checkpoint up to which a task is stopped without another one,
because the lost work costs less than a checkpoint."""

MAX_CANDIDATES = 6
"""Most workers whose victims are compared; bounds the work per waiting job."""

CHECKPOINT_COST_SECONDS = 10.0
"""Run time that a checkpoint with a later resume costs a task."""

_TOLERANCE = 1e-9

TaskFilter = Callable[[RunningTask], bool]


class Victims(NamedTuple):
    """Tasks of one worker that are throttled or preempted together to make room.

    ``cost`` is only compared within one search: it is in cores for throttles and in
    core-seconds for preemptions.
    """

    worker_index: int
    tasks: Sequence[RunningTask]
    cost: float


def should_checkpoint(task: RunningTask) -> bool:
    """Return whether a checkpoint costs less than the work since the last one."""
    return task.seconds_since_checkpoint > MAX_LOST_WORK_SECONDS


def find_throttles(
    state: RoundState, job: WaitingJob, is_eligible: TaskFilter
) -> Victims | None:
    """Find tasks of one worker that make room for ``job`` when throttled.

    Throttling frees processors at once and moves nothing, but frees no memory.

    Args:
        state: the state of the round.
        job: the job that waits.
        is_eligible: whether a task may be throttled for this job.

    Returns:
        The tasks with the fewest processors in total, or ``None``.
    """
    candidates = [
        (state.free[index][0], index)
        for index in range(len(state.workers))
        if _can_throttle_help(state, job, index)
    ]
    return _cheapest(
        _throttles_on(state, job, index, is_eligible)
        for _, index in sorted(candidates, reverse=True)
    )


def _can_throttle_help(state: RoundState, job: WaitingJob, index: int) -> bool:
    cores, memory_gb, accelerators = state.room_for(job, index)
    need = job.request
    return (
        memory_gb + _TOLERANCE >= need.memory_gb
        and accelerators >= need.accelerators
        and cores + state.throttleable_cores[index] + _TOLERANCE >= need.cores
        and state.workers[index].vm_id not in job.excluded_vms
    )


def _throttles_on(
    state: RoundState, job: WaitingJob, index: int, is_eligible: TaskFilter
) -> Victims | None:
    missing = job.request.cores - state.room_for(job, index)[0]
    tasks = [
        task
        for task in state.task_by_job[index].values()
        if _may_be_chosen(task) and not task.is_throttled and is_eligible(task)
    ]
    tasks.sort(key=lambda task: -task.reserved.cores)
    chosen = []
    for task in tasks:
        if missing <= _TOLERANCE:
            break
        missing -= task.reserved.cores * (1 - THROTTLE_FRACTION)
        chosen.append(task)
    if missing > _TOLERANCE or not chosen:
        return None
    return Victims(index, chosen, sum(task.reserved.cores for task in chosen))


def find_worker_with_ending_tasks(state: RoundState, job: WaitingJob) -> int | None:
    """Return a worker where tasks that are ending make enough room for ``job``."""
    for index, ending in enumerate(state.ending):
        if (
            ending[0] <= _TOLERANCE
            and ending[1] <= _TOLERANCE
            and ending[2] <= _TOLERANCE
        ):
            continue
        if state.workers[index].vm_id in job.excluded_vms:
            continue
        if all(missing <= _TOLERANCE for missing in _missing(state, job, index)):
            return index
    return None


def find_preemptions(
    state: RoundState, job: WaitingJob, is_eligible: TaskFilter
) -> Victims | None:
    """Find the cheapest tasks of one worker whose end makes room for ``job``.

    Tasks that cannot resume from a checkpoint are never chosen: their work would be
    lost for good.

    Args:
        state: the state of the round.
        job: the job that waits.
        is_eligible: whether a task may be preempted for this job.

    Returns:
        The tasks to end, without any whose end is not needed, or ``None`` if the job
        would not fit afterwards.
    """
    candidates = []
    for index in range(len(state.workers)):
        if state.workers[index].vm_id in job.excluded_vms:
            continue
        missing = _missing(state, job, index)
        bound = max(0.0, missing[0]) + max(0.0, missing[1]) / 4 + max(0.0, missing[2])
        candidates.append((bound, index))
    return _cheapest(
        _preemptions_on(state, job, index, is_eligible)
        for _, index in sorted(candidates)
    )


def _cheapest(found: Iterable[Victims | None]) -> Victims | None:
    """Return the cheapest of the first ``MAX_CANDIDATES`` victims."""
    first = itertools.islice((victims for victims in found if victims), MAX_CANDIDATES)
    return min(first, key=lambda victims: victims.cost, default=None)


def _preemptions_on(
    state: RoundState, job: WaitingJob, index: int, is_eligible: TaskFilter
) -> Victims | None:
    missing = _missing(state, job, index)
    tasks = [
        task
        for task in state.task_by_job[index].values()
        if _may_be_chosen(task) and task.is_restartable and is_eligible(task)
    ]
    tasks.sort(key=lambda task: _cost_seconds(task) * task.reserved.cores)
    chosen = []
    for task in tasks:
        if all(value <= _TOLERANCE for value in missing):
            break
        held = held_now(task)
        if any(
            have > 0 and lack > _TOLERANCE
            for have, lack in zip(held, missing, strict=True)
        ):
            missing = [lack - have for lack, have in zip(missing, held, strict=True)]
            chosen.append(task)
    if not chosen or any(value > _TOLERANCE for value in missing):
        return None
    needed = _without_unneeded(chosen, missing)
    cost = sum(_cost_seconds(task) * task.reserved.cores for task in needed)
    return Victims(index, needed, cost)


def _without_unneeded(
    chosen: Sequence[RunningTask], missing: Sequence[float]
) -> list[RunningTask]:
    """Return ``chosen`` without tasks whose resources the job does not need.

    The most expensive tasks are dropped first.
    """
    surplus = [-value for value in missing]
    needed = list(chosen)
    for task in reversed(chosen):
        held = held_now(task)
        if all(
            have <= extra + _TOLERANCE
            for have, extra in zip(held, surplus, strict=True)
        ):
            needed.remove(task)
            surplus = [e - have for e, have in zip(surplus, held, strict=True)]
    return needed


def _missing(state: RoundState, job: WaitingJob, index: int) -> list[float]:
    return [
        need - free - ending
        for need, free, ending in zip(
            job.request, state.room_for(job, index), state.ending[index], strict=True
        )
    ]


def _cost_seconds(task: RunningTask) -> float:
    return min(task.seconds_since_checkpoint, CHECKPOINT_COST_SECONDS) + 1.0


def _may_be_chosen(task: RunningTask) -> bool:
    return not task.is_urgent and not task.is_ending


def make_preemption(task: RunningTask, job: WaitingJob) -> Preempt:
    """Return the order that ends ``task`` for ``job``."""
    return Preempt(task.job_id, job.job_id, should_checkpoint(task))
