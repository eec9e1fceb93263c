"""Table of a fleet's jobs, from their acceptance until their end is stored."""

import logging
from collections.abc import Mapping
from typing import Any

from ...runtime.logs import log_event
from ..configuration import AcceptedRules, Queue
from ..model import FINAL_STATES, Job, JobState, TaskId
from ..workers.worker_table import WorkerTable
from .former_pools import FormerPools
from .job_estimates import JobEstimates
from .record import JobRecord
from .task import Task

logger = logging.getLogger(__name__)


def is_over(row: dict[str, Any]) -> bool:
    """Return whether a stored state is final and no task of its job runs."""
    is_final = JobState(row["state"]) in FINAL_STATES
    return is_final and row.get("settled", True)


class JobTable:
    """Jobs as the owner knows them.

    Args:
        known_queue_by_name: all queues that any configuration so far has named.
        workers: workers, of which some may still run tasks of inherited jobs.
        former_pools: former pools of the queues.

    Attributes:
        job_by_id: jobs that have not been stored as ended.
        estimates: expected durations and work of jobs.
    """

    def __init__(
        self,
        known_queue_by_name: Mapping[str, Queue],
        workers: WorkerTable,
        former_pools: FormerPools,
    ) -> None:
        self.job_by_id: dict[str, JobRecord] = {}
        self._late_records: set[JobRecord] = set()
        self.estimates = JobEstimates()
        self._known_queue_by_name = known_queue_by_name
        self._workers = workers
        self._former_pools = former_pools

    def add(
        self,
        job: Job,
        now: float,
        is_inherited: bool,
        age_seconds: float,
        rules: AcceptedRules | None = None,
    ) -> None:
        """Add an accepted job; do nothing if it is known already.

        Args:
            job: the job.
            now: clock time in seconds at which this owner has read it.
            is_inherited: whether a former owner may have started tasks of it.
            age_seconds: approximate time since it was accepted.
            rules: rules under which it was accepted; ``None`` if unknown.
        """
        if job.job_id in self.job_by_id:
            return
        record = JobRecord(job, is_inherited, rules)
        record.learned_at = now
        record.accepted_at = now - age_seconds
        self.job_by_id[job.job_id] = record
        self.estimates.learn_work(job)
        _log_added(job, is_inherited)

    def load_state(self, job_id: str, row: dict[str, Any], version: int) -> None:
        """Load the stored state of a job; drop the job if it is over."""
        record = self.job_by_id.get(job_id)
        if record is None:
            return
        record.load_row(row, version)
        if record.late_tasks:
            self.note_late_start(record)
        if is_over(row):
            del self.job_by_id[job_id]

    def note_late_start(self, record: JobRecord) -> None:
        """Note that a start order for a task of a job may be carried out late."""
        self._late_records.add(record)

    def expire_late_starts(self, now: float) -> None:
        """Forget start orders that can be carried out no more, and settle their jobs.

        Args:
            now: clock time in seconds.
        """
        for record in list(self._late_records):
            if not record.expire_late_starts(now):
                self._late_records.discard(record)
                self.finish_if_closing(record)

    def cancel(self, job_id: str) -> None:
        """Note that the caller has asked to cancel the job."""
        record = self.job_by_id.get(job_id)
        if record is None or record.is_cancel_asked:
            return
        record.is_cancel_asked = True
        log_event(logger, "job cancel taken in", request_id=job_id, state=record.state)
        self.finish_if_closing(record)

    def find_task(self, task_id: TaskId) -> Task | None:
        """Return the task with this name, or ``None`` if it or its job is unknown."""
        record = self.job_by_id.get(task_id.job_id)
        return record.find_task(task_id) if record else None

    def queue_of(self, record: JobRecord) -> Queue | None:
        """Return the queue of a job; ``None`` if no known configuration has it."""
        return self._known_queue_by_name.get(record.job.queue)

    def is_resolved(self, record: JobRecord) -> bool:
        """Return whether no worker that is not reached yet can run tasks of a job.

        Only inherited jobs can have runs on such workers.
        """
        if not record.is_inherited or not self._workers.unresolved_by_id:
            return True
        pools = self._find_possible_pools(record)
        return all(self._workers.is_pool_resolved(pool) for pool in pools)

    def _find_possible_pools(self, record: JobRecord) -> set[str]:
        """Return the pools in which a former owner may have started tasks of a job."""
        queue = self.queue_of(record)
        pools = self._former_pools.find(record)
        if queue is not None:
            pools.add(queue.pool)
        if record.rules is not None:
            pools.add(record.rules.queue.pool)
        return pools or set(self._workers.unresolved_by_id.values())

    def count_waiting(self) -> dict[str, int]:
        """Return how many jobs no task of which has started, by queue.

        A start order is no start: its worker may be lost or reject it. A start counts
        once it is confirmed.
        """
        n_by_queue: dict[str, int] = {}
        for record in self.job_by_id.values():
            if record.state is JobState.QUEUED and not record.is_closing:
                queue = record.job.queue
                n_by_queue[queue] = n_by_queue.get(queue, 0) + 1
        return n_by_queue

    def dirty_jobs(self) -> list[JobRecord]:
        """Return the jobs whose state has to be stored."""
        return [record for record in self.job_by_id.values() if record.is_dirty]

    def forget_ended(self, record: JobRecord) -> None:
        """Drop a job that has ended, once its end is stored and none of it runs."""
        is_over = record.is_final and not self._may_have_runs(record)
        if is_over and not record.is_dirty:
            self.job_by_id.pop(record.job.job_id, None)

    def finish_closing_jobs(self) -> None:
        """End the closing jobs that can have no runs on any worker."""
        for record in list(self.job_by_id.values()):
            self.finish_if_closing(record)

    def finish_inherited_jobs(self) -> None:
        """End the closing inherited jobs that can have no runs any more.

        A configuration may have changed the pool of their queue, so the pool whose
        workers were reached last does not tell which jobs these are.
        """
        for record in list(self.job_by_id.values()):
            if record.is_inherited:
                self.finish_if_closing(record)

    def finish_if_closing(self, record: JobRecord) -> None:
        """End a job that is closing, unless it may have runs on a worker."""
        if self._may_have_runs(record):
            return
        if record.is_cancel_asked:
            record.mark_canceled()
        if record.is_final:
            # Store it again, this time as a job without runs.
            record.is_dirty = True

    def _may_have_runs(self, record: JobRecord) -> bool:
        if record.n_placed > 0 or record.must_hold_ends:
            return True
        return not self.is_resolved(record)


def _log_added(job: Job, is_inherited: bool) -> None:
    log_event(
        logger,
        "job added",
        request_id=job.job_id,
        queue=job.queue,
        account=job.account,
        n_steps=len(job.steps),
        n_tasks=sum(step.n_tasks for step in job.steps),
        lasting=any(step.is_lasting for step in job.steps),
        max_per_worker=max(step.max_per_worker for step in job.steps),
        max_away=max(step.max_away for step in job.steps),
        inherited=is_inherited,
    )
