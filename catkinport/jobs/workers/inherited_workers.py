"""Resolves the workers that may still run tasks of a former owner.

Tasks of inherited jobs start in a pool once all such workers of it are resolved.
"""

import logging

from ...runtime.logs import log_event
from ..dispatch.job_table import JobTable
from .worker_state import WorkerRecord
from .worker_table import WorkerTable

logger = logging.getLogger(__name__)


class InheritedWorkers:
    """Workers that the former owner used, until they are resolved.

    Args:
        workers: workers, among them the unresolved ones.
        jobs: jobs, of which those that are closing end with the last such worker.
    """

    def __init__(self, workers: WorkerTable, jobs: JobTable) -> None:
        self._workers = workers
        self._jobs = jobs

    def resolve(self, worker_id: str, reason: str, now: float) -> None:
        """Note that a worker runs nothing of the former owner that is not known.

        Args:
            worker_id: id of the worker; nothing happens if it is resolved already.
            reason: what shows it, for the log.
            now: clock time in seconds.
        """
        unresolved_by_id = self._workers.unresolved_by_id
        pool = unresolved_by_id.pop(worker_id, None)
        if pool is None:
            return
        worker = self._workers.worker_by_id.get(worker_id)
        log_event(
            logger,
            "inherited worker resolved",
            worker=worker_id,
            pool=pool,
            reason=reason,
            incarnation=worker.started_at if worker else "",
            listed_incarnation=worker.listed.started_at if worker else "",
            lease_seconds=round(worker.runs_end_by - now, 2) if worker else "",
            n_left=len(unresolved_by_id),
        )
        if self._workers.is_pool_resolved(pool):
            self._log_resolved_pool(pool, now)
            self._jobs.finish_inherited_jobs()

    def resolve_expired(self, now: float) -> None:
        """Resolve the workers that are left and whose leases have expired.

        A worker that has answered, but not listed all ended runs yet, has a lease of
        this owner.
        """
        for worker_id in list(self._workers.unresolved_by_id):
            worker = self._workers.worker_by_id.get(worker_id)
            if worker is None or _is_lease_over(worker, now):
                self.resolve(worker_id, "lease-ended", now)

    def _log_resolved_pool(self, pool: str, now: float) -> None:
        """Log what is known of a pool as its inherited jobs may go on."""
        workers = self._workers.workers_of(pool)
        reached = [w for w in workers if w.contact_at > float("-inf")]
        oldest = min((w.contact_at for w in reached), default=now)
        log_event(
            logger,
            "inherited pool resolved",
            pool=pool,
            n_workers=len(workers),
            n_reached=len(reached),
            n_runs=sum(len(worker.run_by_key) for worker in workers),
            oldest_answer_seconds=round(now - oldest, 3),
        )


def _is_lease_over(worker: WorkerRecord, now: float) -> bool:
    return not worker.is_in_contact(now) and now > worker.runs_end_by
