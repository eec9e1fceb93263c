"""Follows since when the first ready task of each job has waited."""

from collections.abc import Iterator
from typing import NamedTuple

from ..dispatch.dispatcher import Dispatcher
from ..dispatch.record import JobRecord
from ..dispatch.task import Task, TaskPhase


class ReadyTask(NamedTuple):
    """First task of a job that could run and doesn't, as far as the owner knows.

    Args:
        record: its job.
        task: the task.
        pool: pool of its workers.
        since: clock time in seconds at which it was first seen so.
    """

    record: JobRecord
    task: Task
    pool: str
    since: float


class ReadyTasks:
    """The ready tasks of all jobs, whatever the planner thinks of them.

    Args:
        dispatcher: jobs and workers.

    Attributes:
        ready_by_job: the first ready task of each job that has one, by job id.
    """

    def __init__(self, dispatcher: Dispatcher) -> None:
        self._dispatcher = dispatcher
        self.ready_by_job: dict[str, ReadyTask] = {}

    def update(self, now: float, unix_now: float) -> None:
        """Look for ready tasks; those that were ready before keep their time.

        Args:
            now: clock time in seconds.
            unix_now: Unix time in seconds, for jobs with due times.
        """
        former_by_job = self.ready_by_job
        self.ready_by_job = {}
        for ready in self._find(now, unix_now):
            job_id = ready.record.job.job_id
            former = former_by_job.get(job_id)
            is_same = former is not None and former[:3] == ready[:3]
            self.ready_by_job[job_id] = former if former and is_same else ready

    def _find(self, now: float, unix_now: float) -> Iterator[ReadyTask]:
        for record in self._dispatcher.job_by_id.values():
            queue = self._dispatcher.queue_of(record)
            if queue is None or record.is_closing:
                continue
            task = find_ready_task(self._dispatcher, record, now, unix_now)
            if task is not None:
                yield ReadyTask(record, task, queue.pool, now)


def find_ready_task(
    dispatcher: Dispatcher, record: JobRecord, now: float, unix_now: float
) -> Task | None:
    """Return the first task of a job that could run and doesn't, if there is one.

    A task whose start orders no worker has confirmed is such a task too.

    Args:
        dispatcher: jobs and workers.
        record: the job.
        now: clock time in seconds.
        unix_now: Unix time in seconds, for jobs with due times.
    """
    for stage in record.ready_stages():
        if record.job.due_at(stage[0]) > unix_now:
            return None
        for task in record.tasks_by_stage[stage]:
            if _is_ready(dispatcher, task, now):
                return task
    return None


def _is_ready(dispatcher: Dispatcher, task: Task, now: float) -> bool:
    if task.phase is TaskPhase.WAITING:
        return task.not_before <= now
    if task.phase is TaskPhase.DONE:
        return False
    runs = dispatcher.runs_by_task.get(task.text, [])
    return not any(run.known_at for run in runs)
