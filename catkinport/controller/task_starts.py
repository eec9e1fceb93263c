"""Sends the starts of committed attempts to their workers."""

import logging
from typing import NamedTuple

from ..ports import NotRun, Reason, TaskSpecification, Unavailable, Unknown
from ..runtime import log_event
from . import transitions
from .job_cache import Job
from .job_commits import JobChange, commit_changes
from .leases import MIN_END_CHECK_SECONDS
from .pool_state import (
    PoolState,
    Task,
    WorkerLink,
)
from .services import Services

logger = logging.getLogger(__name__)

REFUSAL_BACKOFF_SECONDS = 10.0
"""Time for which a worker that refused a task gets no other one."""


class _Pending(NamedTuple):
    job: Job
    task: Task
    link: WorkerLink


class TaskStarter:
    """Starts the attempts that placement rounds have committed.

    Args:
        services: clients and shared objects of the process.
        state: state of the pool.
    """

    def __init__(self, services: Services, state: PoolState) -> None:
        self._services = services
        self._state = state

    def start_pending(self) -> None:
        """Start every attempt that needs it; requeue the jobs of those not started."""
        pending = self._list_pending()
        calls = [lambda entry=entry: self._call(entry) for entry in pending]
        answers = self._services.run_all(calls)
        for entry, answer in zip(pending, answers, strict=True):
            if answer is None:
                self._record_started(entry)
            elif isinstance(answer, Unknown):
                self._record_unanswered(entry)
            elif self._is_refused(entry, answer):
                entry.task.requeue_reason = f"not started: {answer.reason}"
        self._requeue_refused()

    def _requeue_refused(self) -> None:
        changes = []
        for task in self._state.task_by_job.values():
            job = self._state.job_of(task)
            if task.requeue_reason and job is not None:
                row = transitions.requeue(job.row, task.requeue_reason)
                changes.append(JobChange(job, row))
        commit_changes(self._services.table, self._state, changes)

    def _list_pending(self) -> list[_Pending]:
        """Return the attempts to start now; mark those that have to be requeued."""
        now = self._services.clock.now()
        pending = []
        for task in self._state.task_by_job.values():
            job = self._state.job_of(task)
            if not task.needs_start or task.requeue_reason or job is None:
                continue
            link = self._state.link_by_vm.get(task.vm_id)
            is_usable = link is not None and not link.is_silent(now)
            is_wanted = not (task.is_lost or job.row["is_cancel_requested"])
            if link is not None and is_usable and is_wanted:
                pending.append(_Pending(job, task, link))
            elif task.is_start_uncertain:
                # An earlier start got no answer. Whether the attempt runs is known only
                # from a report or when the worker counts as lost.
                task.needs_start = False
            else:
                task.requeue_reason = "not started: the worker was lost"
        return pending

    def _call(self, entry: _Pending) -> None | NotRun | Unknown:
        specification = self._specify(entry)
        if specification is None:
            return NotRun(Reason.STORE_UNAVAILABLE, "input-put")
        return self._services.workers.start_task(
            entry.link.address, specification, self._services.timing.lease_seconds
        )

    def _specify(self, entry: _Pending) -> TaskSpecification | None:
        row = entry.job.row
        input_reference = self._store_input(entry.job)
        if input_reference is None:
            return None
        return TaskSpecification(
            entry.job.job_id,
            row["attempt"],
            self._state.ownership.epoch,
            row["team"],
            row["command"],
            input_reference,
            row["checkpoint_reference"],
            row["result_reference"],
            row["n_cores"],
            row["memory_gb"],
            row["n_accelerators"],
            row["run_seconds"],
        )

    def _store_input(self, job: Job) -> str | None:
        """Copy an input in the row to the object store, the only store workers read.

        Returns its reference, ``None`` if the object store did not answer.
        """
        text = job.row.get("input", "")
        if job.row["input_reference"] or not text or self._services.objects is None:
            return job.row["input_reference"]
        name = f"inputs/{job.job_id}"
        outcome = self._services.objects.put(name, text.encode())
        return None if isinstance(outcome, Unavailable) else name

    def _record_started(self, entry: _Pending) -> None:
        now = self._services.clock.now()
        task, row = entry.task, entry.job.row
        task.needs_start = False
        task.is_start_uncertain = False
        task.absent_after = now
        task.lease_until = now + self._services.timing.lease_wait_seconds
        task.checkpointed_at = now
        if row["is_urgent"]:
            entry.link.call_by(now + max(MIN_END_CHECK_SECONDS, row["run_seconds"]))
        labels = {
            "team": row["team"],
            "class": "urgent" if row["is_urgent"] else "long",
        }
        seconds = max(0.0, self._services.unix_time() - row["submitted_at"])
        self._services.metrics.observe(
            "catkin_job_start_seconds",
            "Time from submission to start.",
            labels,
            seconds,
        )

    def _record_unanswered(self, entry: _Pending) -> None:
        """Keep an attempt whose start got no answer.

        The attempt of a restartable job is started again, which is harmless. Any other
        job waits for a report or for the end of its lease, because the worker may have
        run the attempt and no longer know it.
        """
        now = self._services.clock.now()
        task = entry.task
        task.is_start_uncertain = True
        task.lease_until = now + self._services.timing.lease_wait_seconds
        task.absent_after = now
        task.needs_start = entry.job.row["is_restartable"]
        entry.link.next_call_at = now

    def _is_refused(self, entry: _Pending, answer: NotRun) -> bool:
        log_event(
            logger,
            "task start refused",
            job_id=entry.job.job_id,
            attempt=entry.task.attempt,
            step=answer.step,
            peer=answer.peer,
            reason=str(answer.reason),
        )
        if answer.reason == Reason.CONFIGURATION_STALE:
            return False
        entry.link.no_tasks_until = self._services.clock.now() + REFUSAL_BACKOFF_SECONDS
        if entry.task.is_start_uncertain:
            # An earlier start of this attempt may have been accepted.
            entry.task.needs_start = False
            return False
        return True
