"""Decides whether a failed run counts against its worker, and with what effect.

A worker on which many runs fail is quarantined: it gets no tasks for some time. Tasks
that can't be done fail on every worker. They must not put a whole pool into quarantine,
because then nothing runs in it.
"""

from collections.abc import Sequence

from ...policy.worker_health import MAX_QUARANTINED_FRACTION
from ..dispatch.record import JobRecord
from ..dispatch.task import Task
from .worker_state import MAX_QUARANTINE_SECONDS, WorkerRecord

LAST_WORKER_QUARANTINE_SECONDS = 1.5
"""Longest quarantine of a worker if no other worker of its pool may get tasks."""


def note_failed_run(
    worker: WorkerRecord,
    record: JobRecord,
    task: Task,
    pool_workers: Sequence[WorkerRecord],
    now: float,
) -> bool:
    """Count a run that failed or stalled; return whether the worker is quarantined.

    Args:
        worker: worker of the run.
        record: job of the task.
        task: the task; ``avoided_worker`` is still that of its previous failure.
        pool_workers: all workers of the pool outside evacuated zones.
        now: clock time in seconds.
    """
    if is_task_suspect(record, task, worker.worker_id):
        return False
    return note_worker_failure(worker, pool_workers, now)


def note_worker_failure(
    worker: WorkerRecord, pool_workers: Sequence[WorkerRecord], now: float
) -> bool:
    """Count a failure of the worker itself; return whether it is quarantined."""
    longest_seconds = _bound_quarantine(worker, pool_workers, now)
    return worker.note_outcome(False, now, longest_seconds)


def is_task_suspect(record: JobRecord, task: Task, worker_id: str) -> bool:
    """Return whether a failure on this worker counts against the task.

    It does if the task has failed on another worker before, or if another task of its
    step has and none of the step is done. Lasting tasks are never done, so each of them
    is judged by itself.
    """
    if task.avoided_worker not in ("", worker_id):
        return True
    stage = (task.task_id.occurrence, task.task_id.step)
    if task.step.is_lasting or record.count_done(stage):
        return False
    return any(
        other.avoided_worker not in ("", worker_id)
        for other in record.tasks_by_stage[stage]
    )


def _bound_quarantine(
    worker: WorkerRecord, pool_workers: Sequence[WorkerRecord], now: float
) -> float:
    """Return the longest quarantine in seconds that the pool can bear; 0 for none."""
    others = [other for other in pool_workers if other is not worker]
    n_quarantined = sum(now < other.quarantined_until for other in others)
    if n_quarantined >= max(1, int(len(pool_workers) * MAX_QUARANTINED_FRACTION)):
        return 0.0
    if not any(other.may_start(now) for other in others):
        return LAST_WORKER_QUARANTINE_SECONDS
    return MAX_QUARANTINE_SECONDS
