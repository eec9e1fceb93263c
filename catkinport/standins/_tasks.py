"""Simulated tasks of the worker stand-in, which progress with the clock."""

import threading
from dataclasses import dataclass
from typing import Any, NamedTuple

from ..ports import Clock, TaskReport, TaskSpecification, TaskState

FAILING_COMMAND = "fail"
ACTIVE_STATES = (TaskState.RUNNING, TaskState.THROTTLED)


class TaskEvent(NamedTuple):
    """Start or end of a task, kept in the execution log for the checks of tests."""

    job_id: str
    attempt: int
    epoch: int
    event: str
    time: float


@dataclass
class Task:
    """Attempt of a job, under a lease after whose end it stops.

    ``progress`` is the done part of the work and ``fraction`` the usable part of the
    declared processors, both from 0 to 1.
    """

    specification: TaskSpecification
    lease_expires_at: float
    started_at: float
    updated_at: float
    progress: float = 0.0
    fraction: float = 1.0
    state: TaskState = TaskState.RUNNING
    checkpoint_reference: str = ""
    detail: str = ""


class TaskTable:
    """Tasks of one worker.

    Args:
        clock: clock of leases, progress and events.

    Example:
        >>> from catkinport.ports import ManualClock
        >>> clock = ManualClock()
        >>> tasks = TaskTable(clock)
        >>> specification = TaskSpecification(
        ...     "job", 1, 1, "a", "sleep", "", "", "r", 1, 1, 0, 10.0)
        >>> tasks.start(specification, lease_seconds=60)
        True
        >>> clock.advance(10)
        >>> tasks.list_reports()[0].state.value
        'done'
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._task_by_job: dict[str, Task] = {}
        self._epoch_by_job: dict[str, int] = {}
        self.events: list[TaskEvent] = []

    def start(
        self,
        specification: TaskSpecification,
        lease_seconds: float,
        progress: float = 0.0,
        is_failing: bool = False,
    ) -> bool:
        """Start an attempt; return ``False`` if a later epoch or attempt is known."""
        with self._lock:
            self._advance_to_now()
            known = self._task_by_job.get(specification.job_id)
            if specification.epoch < self._epoch_by_job.get(specification.job_id, 0):
                return False
            if known and known.specification.attempt > specification.attempt:
                return False
            self._epoch_by_job[specification.job_id] = specification.epoch
            now = self._clock.now()
            if known and known.specification.attempt == specification.attempt:
                known.lease_expires_at = now + lease_seconds
                return True
            task = Task(specification, now + lease_seconds, now, now, progress)
            self._task_by_job[specification.job_id] = task
            self._record_event(task, "started")
            if is_failing or specification.command == FAILING_COMMAND:
                self._end(task, TaskState.FAILED, "the command failed")
            return True

    def renew(self, epoch: int, job_ids: list[str], lease_seconds: float) -> None:
        """Renew the leases of those of the jobs' tasks that run and are not fenced."""
        with self._lock:
            self._advance_to_now()
            for job_id in job_ids:
                task = self._task_by_job.get(job_id)
                if task is None or epoch < self._epoch_by_job.get(job_id, 0):
                    continue
                self._epoch_by_job[job_id] = epoch
                if task.state in ACTIVE_STATES:
                    task.lease_expires_at = self._clock.now() + lease_seconds

    def apply_operation(
        self, job_id: str, operation: str, body: dict[str, Any]
    ) -> bool:
        """Checkpoint, throttle or stop a task; return ``False`` if fenced.

        A call is fenced if its epoch is lower than one that the job has had.
        """
        with self._lock:
            self._advance_to_now()
            task = self._task_by_job.get(job_id)
            if body["epoch"] < self._epoch_by_job.get(job_id, 0):
                return False
            if task is None or task.specification.attempt != body["attempt"]:
                return True
            if task.state not in ACTIVE_STATES:
                return True
            if operation == "checkpoint":
                name = f"checkpoints/{job_id}/{body['attempt']}"
                task.checkpoint_reference = name
                self._end(task, TaskState.CHECKPOINTED, "")
            elif operation == "stop":
                self._end(task, TaskState.STOPPED, "stopped on request")
            else:
                task.fraction = max(0.01, float(body["fraction"]))
                task.state = TaskState.THROTTLED
            return True

    def take_finished(self) -> list[Task]:
        """Return the done and checkpointed tasks that no earlier call has returned."""
        with self._lock:
            self._advance_to_now()
            finished = [
                task
                for task in self._task_by_job.values()
                if task.state in (TaskState.DONE, TaskState.CHECKPOINTED)
                and task.detail != "stored"
            ]
            for task in finished:
                task.detail = "stored"
            return finished

    def list_reports(self, usage_lag_seconds: float = 0.0) -> list[TaskReport]:
        """Return a report of every task.

        Args:
            usage_lag_seconds: delay of the reported usage; a task that started
                later than this many seconds ago is reported as using nothing.
        """
        with self._lock:
            self._advance_to_now()
            started_before = self._clock.now() - usage_lag_seconds
            return [
                _to_report(task, is_usage_known=task.started_at <= started_before)
                for task in self._task_by_job.values()
            ]

    def _advance_to_now(self) -> None:
        now = self._clock.now()
        for task in self._task_by_job.values():
            if task.state not in ACTIVE_STATES:
                continue
            end = min(now, task.lease_expires_at)
            seconds = max(0.0, end - task.updated_at)
            run_seconds = max(task.specification.run_seconds, 1e-9)
            task.progress += seconds * task.fraction / run_seconds
            task.updated_at = now
            if task.progress >= 1.0:
                task.progress = 1.0
                self._end(task, TaskState.DONE, "")
            elif now > task.lease_expires_at:
                self._end(task, TaskState.STOPPED, "the lease expired")

    def _end(self, task: Task, state: TaskState, detail: str) -> None:
        task.state = state
        task.detail = detail
        self._record_event(task, state.value)

    def _record_event(self, task: Task, event: str) -> None:
        specification = task.specification
        self.events.append(
            TaskEvent(
                specification.job_id,
                specification.attempt,
                specification.epoch,
                event,
                self._clock.now(),
            )
        )


def _to_report(task: Task, is_usage_known: bool) -> TaskReport:
    specification = task.specification
    is_using = task.state in ACTIVE_STATES and is_usage_known
    return TaskReport(
        specification.job_id,
        specification.attempt,
        task.state,
        specification.n_cores * task.fraction if is_using else 0.0,
        specification.memory_gb if is_using else 0.0,
        task.progress,
        task.checkpoint_reference,
        task.detail,
    )
