"""Processes the ends of runs that workers report: done, failed or stopped."""

import logging

from ...ports.fleet_workers import EndedTask, EndKind
from ...runtime import Metrics
from ...runtime.logs import log_event
from ..model import JobState, TaskId
from ..workers.run import Run, RunKey
from ..workers.worker_failures import note_failed_run
from ..workers.worker_state import WorkerRecord
from ..workers.worker_table import WorkerTable
from .job_table import JobTable
from .record import JobRecord
from .run_table import RunTable
from .task import Task

logger = logging.getLogger(__name__)

RESTART_PAUSE_SECONDS = 0.2
"""Pause before a lasting task whose run failed is started again."""


class RunEnds:
    """Processor of the ends of runs.

    Args:
        jobs: jobs that the runs belong to.
        workers: workers that report the ends.
        runs: runs that may be alive.
        metrics: metrics of the process.
    """

    def __init__(
        self, jobs: JobTable, workers: WorkerTable, runs: RunTable, metrics: Metrics
    ) -> None:
        self._jobs = jobs
        self._workers = workers
        self._runs = runs
        self._metrics = metrics

    def process(self, worker: WorkerRecord, ended: EndedTask, now: float) -> None:
        """Process the end of a run, which need not be known."""
        task_id = TaskId.parse(ended.task)
        key = RunKey(ended.task, ended.run)
        run = worker.run_by_key.get(key)
        self._runs.note_carried_out(worker, key, now)
        self._log_ended(worker, ended, run, now)
        if run is not None:
            self._runs.detach(worker, run)
        task = self._jobs.find_task(task_id)
        if task is None:
            return
        record = self._jobs.job_by_id[task_id.job_id]
        if ended.run >= task.run:
            # The end of an earlier run says nothing of a later one that was given up.
            task.lost_at = float("-inf")
        record.note_run(task, ended.run)
        record.note_checkpoint(task, ended.checkpoint)
        if ended.how is EndKind.DONE and not task.step.is_lasting:
            self._hold_end(worker, ended, task, now)
            self._learn_duration(run, now)
            self._on_done(worker, record, task, now)
        elif ended.how is EndKind.FAILED:
            self._on_failed(worker, record, task, ended.run, now)
        self._runs.note_run_over(record, task)

    @staticmethod
    def _hold_end(
        worker: WorkerRecord, ended: EndedTask, task: Task, now: float
    ) -> None:
        """Leave an end unacknowledged while the task may start on a later incarnation.

        If the worker restarts, that start would follow an end that counts.
        """
        if task.late_start_until > now:
            worker.held_ends[ended.number] = task.late_start_until

    def _learn_duration(self, run: Run | None, now: float) -> None:
        if run is not None:
            durations = self._jobs.estimates.durations_of(run.record.job.queue)
            durations.learn(run.task.step.estimate_seconds, now - run.asked_at)

    def _on_done(
        self, worker: WorkerRecord, record: JobRecord, task: Task, now: float
    ) -> None:
        worker.note_outcome(True, now)
        tasks = _stage_of(record, task) if task.step.is_gang else [task]
        for member in tasks:
            record.mark_done(member)
        if record.state is JobState.COMPLETED:
            self._report_completed(record, now)

    def _on_failed(
        self,
        worker: WorkerRecord,
        record: JobRecord,
        task: Task,
        run: int,
        now: float,
    ) -> None:
        pool_workers = self._workers.workers_outside_evacuations(worker.listed.pool)
        is_quarantined = note_failed_run(worker, record, task, pool_workers, now)
        task.avoided_worker = worker.worker_id
        task.not_before = now + RESTART_PAUSE_SECONDS * task.step.is_lasting
        queue = self._jobs.queue_of(record)
        # Any member's failure is one failure of the gang.
        counted = _stage_of(record, task)[0] if task.step.is_gang else task
        record.mark_failed(counted, run, queue.max_failures if queue else 0)
        if is_quarantined:
            _log_quarantined(worker, now)
        if record.state is JobState.FAILED:
            log_event(
                logger,
                "job failed",
                request_id=record.job.job_id,
                task=task.text,
                n_failures=len(counted.failed_runs),
                worker=worker.worker_id,
            )

    def _log_ended(
        self, worker: WorkerRecord, ended: EndedTask, run: Run | None, now: float
    ) -> None:
        log_event(
            logger,
            "run ended",
            request_id=TaskId.parse(ended.task).job_id,
            task=ended.task,
            run=ended.run,
            worker=worker.worker_id,
            incarnation=worker.started_at,
            how=ended.how,
            end=ended.number,
            seconds=round(now - run.asked_at, 3) if run else "",
        )
        labels = {"how": ended.how.value, "pool": worker.listed.pool}
        self._metrics.increment("runs_ended", "Runs that have ended.", labels)

    def _report_completed(self, record: JobRecord, now: float) -> None:
        """Log the completion of a job, and count its times in the metrics."""
        queue = self._jobs.queue_of(record)
        pool = queue.pool if queue else ""
        seconds = now - record.accepted_at
        waited = record.first_start_at - record.accepted_at
        durations = self._jobs.estimates.durations_of(record.job.queue)
        objective = record.objective_seconds(queue, durations) if queue else 0.0
        is_late = seconds > objective
        log_event(
            logger,
            "job complete",
            request_id=record.job.job_id,
            queue=record.job.queue,
            pool=pool,
            seconds=round(seconds, 3),
            objective_seconds=round(objective, 3),
            late=is_late,
            waited_seconds=round(waited, 3),
        )
        labels = {"pool": pool, "late": str(is_late)}
        self._metrics.observe("job_seconds", "Time of a job.", labels, seconds)
        self._metrics.observe(
            "job_wait_seconds", "Time until its first start.", labels, waited
        )


def _stage_of(record: JobRecord, task: Task) -> list[Task]:
    return record.tasks_by_stage[task.task_id.occurrence, task.task_id.step]


def _log_quarantined(worker: WorkerRecord, now: float) -> None:
    log_event(
        logger,
        "worker quarantined",
        worker=worker.worker_id,
        until_seconds=round(worker.quarantined_until - now, 2),
    )
