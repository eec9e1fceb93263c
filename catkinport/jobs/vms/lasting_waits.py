"""Finds the lasting tasks that wait for a worker, and measures how long they wait.

Lasting tasks run until their job is canceled, so each of them should have a worker at
all times.
"""

import time
from typing import NamedTuple

from ..dispatch.dispatcher import Dispatcher
from ..dispatch.record import JobRecord
from ..dispatch.task import Task, TaskPhase

LONG_WAIT_SECONDS = 3.0
"""A lasting task that waits longer than this is reported as such. A VM takes two
seconds to arrive."""


class LastingWait(NamedTuple):
    """A lasting task that could start and has no worker yet."""

    record: JobRecord
    task: Task
    wait_seconds: float


class LastingWaits:
    """Lasting tasks that wait for a worker, by pool.

    Args:
        dispatcher: jobs and workers.
    """

    def __init__(self, dispatcher: Dispatcher) -> None:
        self._dispatcher = dispatcher
        self._waiting_since_by_task: dict[str, float] = {}

    def find(self, now: float) -> dict[str, list[LastingWait]]:
        """Return the waiting tasks of each pool that has any.

        Tasks that may still run on a worker that a new owner has not reached are left
        out.
        """
        waits_by_pool: dict[str, list[LastingWait]] = {}
        waiting_since_by_task: dict[str, float] = {}
        for record in self._dispatcher.job_by_id.values():
            queue = self._dispatcher.queue_of(record)
            if queue is None or record.is_closing:
                continue
            if not self._dispatcher.is_job_resolved(record):
                continue
            for task in _startable_lasting_tasks(record, now):
                since = self._waiting_since_by_task.get(task.text, now)
                waiting_since_by_task[task.text] = since
                wait = LastingWait(record, task, now - since)
                waits_by_pool.setdefault(queue.pool, []).append(wait)
        self._waiting_since_by_task = waiting_since_by_task
        return waits_by_pool


def _startable_lasting_tasks(record: JobRecord, now: float) -> list[Task]:
    if not any(step.is_lasting for step in record.job.steps):
        return []
    return [
        task
        for stage in record.ready_stages()
        if record.job.steps[stage[1]].is_lasting
        and record.job.due_at(stage[0]) <= time.time()
        for task in record.tasks_by_stage[stage]
        if task.phase is TaskPhase.WAITING and task.is_due(now)
    ]
