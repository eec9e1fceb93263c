"""Commits ends, losses and cancellations of tasks to the rows of their jobs.

A job whose task failed is queued again, or parked: it is then not tried again.
"""

import logging

from ..policy.worker_health import TaskOutcome, WorkerHealth
from ..ports import TaskState
from ..runtime import log_event
from ..state import JobState
from . import transitions
from .job_cache import Job
from .job_commits import MAX_CHANGES_PER_STEP, JobChange, commit_changes
from .pool_state import PoolState, Task
from .services import Services

logger = logging.getLogger(__name__)

MAX_STOPS_PER_STEP = 50
STOP_RETRY_SECONDS = 10.0


class OutcomeCommitter:
    """Commits the outcomes of tasks to the rows of their jobs.

    Each call derives the changes from the cached rows and the last reports, so that a
    change that was not committed is tried again.

    Args:
        services: clients and shared objects of the process.
        state: state of the pool.
    """

    def __init__(self, services: Services, state: PoolState) -> None:
        self._services = services
        self._state = state

    def commit_outcomes(self) -> None:
        """Commit ends and losses of tasks and cancellations of queued jobs."""
        changes = [*self._ended_changes(), *self._cancelled_changes()]
        committed = commit_changes(self._services.table, self._state, changes)
        for change in committed:
            self._record_committed(change)

    def stop_cancelled(self) -> None:
        """Stop tasks of cancelled jobs, at most ``MAX_STOPS_PER_STEP`` in a call."""
        n_stopped = 0
        for task in self._state.task_by_job.values():
            job = self._state.job_of(task)
            if job is None or not job.row["is_cancel_requested"]:
                continue
            if n_stopped >= MAX_STOPS_PER_STEP:
                return
            n_stopped += end_task(self._services, self._state, task, "stop")

    def _ended_changes(self) -> list[JobChange]:
        changes = []
        for task in self._state.task_by_job.values():
            job = self._state.job_of(task)
            if job is None or job.row["state"] != JobState.RUNNING:
                continue
            change = self._ended_change(job, task)
            if change is not None:
                changes.append(change)
            if len(changes) >= MAX_CHANGES_PER_STEP // 2:
                break
        return changes

    def _ended_change(self, job: Job, task: Task) -> JobChange | None:
        if task.has_ended:
            return self._reported_change(job, task)
        if task.needs_start:
            return None
        reason = self._loss_reason(job, task)
        if reason:
            now = self._services.unix_time()
            return JobChange(job, transitions.lose(job.row, reason, now))
        return None

    def _reported_change(self, job: Job, task: Task) -> JobChange:
        report, row, now = task.report, job.row, self._services.unix_time()
        assert report is not None
        if report.state == TaskState.DONE:
            return JobChange(job, transitions.finish(row, JobState.DONE, now))
        if report.state == TaskState.FAILED:
            park = self._reason_to_park(job)
            return JobChange(job, transitions.fail(row, report.detail, park, now))
        checkpoint = report.checkpoint_reference
        reason = report.detail or str(report.state)
        stopped = transitions.stop(row, reason, checkpoint, bool(task.ending), now)
        return JobChange(job, stopped)

    def _reason_to_park(self, job: Job) -> str | None:
        """Return why a job that has just failed must not be tried again."""
        failed_vms = set(transitions.with_failure(job.row)["failed_vms"])
        if self._state.health is not None:
            reason = self._state.health.reason_to_park(job.job_id, failed_vms)
            if reason is not None:
                return reason
        # A small pool may have fewer good workers than those on which a job must fail
        # before the policy parks it.
        if self._state.good_vms() <= failed_vms:
            return "failed on every good worker of the pool"
        return None

    def _loss_reason(self, job: Job, task: Task) -> str:
        if task.is_lost or task.vm_id not in self._state.vm_by_id:
            return "the VM is gone or has rebooted"
        if task.is_absent and (
            job.row["is_restartable"] or not task.is_start_uncertain
        ):
            return "the worker does not know the task"
        if self._services.clock.now() >= task.lease_until:
            return "the worker was lost and the task's lease has ended"
        return ""

    def _cancelled_changes(self) -> list[JobChange]:
        now = self._services.unix_time()
        waiting = self._state.job_cache.list_jobs(JobState.QUEUED)
        cancelled = [job for job in waiting if job.row["is_cancel_requested"]]
        return [
            JobChange(
                job,
                transitions.finish(
                    job.row, JobState.CANCELLED, now, "cancelled on request"
                ),
            )
            for job in cancelled[: MAX_CHANGES_PER_STEP // 2]
        ]

    def _record_committed(self, change: JobChange) -> None:
        task = self._state.task_by_job.get(change.job.job_id)
        if task is None or task.attempt != change.job.row["attempt"]:
            return
        del self._state.task_by_job[change.job.job_id]
        if change.row["n_moves"] > change.job.row["n_moves"]:
            labels = {"team": change.row["team"], "how": task.ending}
            self._services.metrics.increment("catkin_moves", "Tasks moved.", labels)
        if task.report is None or not task.has_ended:
            return
        labels = {"team": change.row["team"], "outcome": str(task.report.state)}
        self._services.metrics.increment(
            "catkin_tasks_ended", "Tasks that ended.", labels
        )
        if task.report.state in (TaskState.DONE, TaskState.FAILED):
            self._record_worker_outcome(change.job, task)

    def _record_worker_outcome(self, job: Job, task: Task) -> None:
        assert task.report is not None
        is_failed = task.report.state == TaskState.FAILED
        now = self._services.clock.now()
        if self._state.health is not None:
            outcome = TaskOutcome(job.job_id, job.queue, task.vm_id, is_failed, now)
            self._state.health.add(outcome)


def update_health(services: Services, state: PoolState) -> None:
    """Quarantine workers whose tasks fail too often and start due probations.

    A quarantined worker gets no tasks; on probation it gets one task at a time.
    """
    if state.health is None and state.link_by_vm:
        state.health = WorkerHealth(len(state.link_by_vm))
    if state.health is None:
        return
    for vm_id in state.health.update(services.clock.now()):
        log_event(logger, "worker quarantined", vm=vm_id, pool=state.pool)


def end_task(services: Services, state: PoolState, task: Task, how: str) -> bool:
    """Ask a worker to checkpoint or stop a task; return whether a call was made.

    A request is repeated after ``STOP_RETRY_SECONDS``. A checkpoint is not asked for
    after a stop within that time.

    Args:
        services: clients and shared objects of the process.
        state: state of the pool.
        task: the task.
        how: ``"checkpoint"`` or ``"stop"``.
    """
    now = services.clock.now()
    link = state.link_by_vm.get(task.vm_id)
    is_asked = task.ending in (how, "stop")
    if is_asked and now - task.ending_since < STOP_RETRY_SECONDS:
        return False
    if link is None or task.needs_start or link.is_silent(now):
        return False
    call = services.workers.stop_task
    if how == "checkpoint":
        call = services.workers.checkpoint_task
    task.ending, task.ending_since = how, now
    call(link.address, task.job_id, task.attempt, state.ownership.epoch)
    return True
