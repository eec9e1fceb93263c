"""Finds the pools whose jobs wait beside room on VMs that are kept free.

A VM that is drained for an upkeep, or cordoned for a move, gets no new tasks until its
own have ended, which may take long. While its pool is busy, others would take the room
at once. But a job that has nothing running must not wait for that in a pool that is
mostly unused.
"""

import time
from collections.abc import Collection

from ...policy.resources import Resources, dominant_share, is_within, total
from ..dispatch.dispatcher import Dispatcher
from ..dispatch.record import JobRecord
from ..dispatch.task import Task, TaskPhase
from ..placement.account_usage import is_within_limit, usage_by_account
from ..workers.worker_state import StartBlock, WorkerRecord

MAX_WAIT_SECONDS = 1.5
"""Time for which a job may wait beside room on VMs that are kept free."""

MAX_USED_FRACTION = 0.5
"""Pools of which more is in use have no room to give back."""

RELIEF_SECONDS = 2.0
"""Time for which no VM of a pool is kept free after a job has waited for it."""

KEPT_FREE = frozenset({StartBlock.RESERVED, StartBlock.CORDONED})


class StarvedPools:
    """Pools of which no VM may be kept free at present.

    Args:
        dispatcher: jobs and workers.
    """

    def __init__(self, dispatcher: Dispatcher) -> None:
        self._dispatcher = dispatcher
        self._waiting_since_by_job: dict[str, float] = {}
        self._relief_until_by_pool: dict[str, float] = {}

    def is_relieved(self, pool: str, now: float) -> bool:
        """Return whether no VM of the pool may be kept free."""
        return now < self._relief_until_by_pool.get(pool, float("-inf"))

    def update(self, now: float) -> set[str]:
        """Measure how long jobs wait; return the pools whose relief begins now."""
        if not any(_is_kept_free(w, now) for w in self._workers()):
            self._waiting_since_by_job = {}
            return set()
        starved: set[str] = set()
        since_by_job: dict[str, float] = {}
        free_by_pool: dict[str, list[Resources]] = {}
        usage = usage_by_account(self._dispatcher)
        for record in self._dispatcher.job_by_id.values():
            queue = self._dispatcher.queue_of(record)
            task = _find_waiting(record, now)
            if queue is None or record.is_closing or task is None:
                continue
            pool = queue.pool
            if pool not in free_by_pool:
                free_by_pool[pool] = self._find_kept_free(pool, now)
            name = record.job.account
            account = self._dispatcher.configuration.account_by_name.get(name)
            need = task.step.need
            if not is_within_limit(usage, account, need, 1):
                continue
            if not any(is_within(need, free) for free in free_by_pool[pool]):
                continue
            job_id = record.job.job_id
            since = self._waiting_since_by_job.get(job_id, now)
            since_by_job[job_id] = since
            if now - since >= MAX_WAIT_SECONDS:
                starved.add(pool)
        self._waiting_since_by_job = since_by_job
        starved = {pool for pool in starved if not self.is_relieved(pool, now)}
        for pool in starved:
            self._relief_until_by_pool[pool] = now + RELIEF_SECONDS
        return starved

    def _workers(self) -> Collection[WorkerRecord]:
        return self._dispatcher.worker_by_id.values()

    def _find_kept_free(self, pool: str, now: float) -> list[Resources]:
        """Return the free room on VMs that are kept free; none in a busy pool."""
        workers = self._dispatcher.workers_outside_evacuations(pool)
        capacity = total(worker.listed.capacity for worker in workers)
        used = total(worker.used for worker in workers)
        if dominant_share(used, capacity) >= MAX_USED_FRACTION:
            return []
        return [worker.free() for worker in workers if _is_kept_free(worker, now)]


def _is_kept_free(worker: WorkerRecord, now: float) -> bool:
    return worker.find_block(now) in KEPT_FREE and worker.is_in_contact(now)


def _find_waiting(record: JobRecord, now: float) -> Task | None:
    """Return a task of the job that could start if nothing of the job is running."""
    steps = range(len(record.job.steps))
    if any(record.count_ready(number, TaskPhase.PLACED) for number in steps):
        return None
    waiting = (
        task
        for stage in record.ready_stages()
        if record.job.due_at(stage[0]) <= time.time()
        for task in record.waiting_tasks(stage)
        if task.is_due(now)
    )
    return next(waiting, None)
