"""Table of a fleet's workers, with those that may still run a former owner's tasks."""

import logging

from ...runtime.logs import log_event
from ..dispatch.task import ORDER_DELAY_SECONDS
from .worker_state import WorkerRecord

logger = logging.getLogger(__name__)


class WorkerTable:
    """Workers as the owner knows them.

    Args:
        longest_lease: longest lease in seconds that a worker grants.

    Attributes:
        longest_lease: longest lease in seconds that a worker grants.
        worker_by_id: workers that are listed or may still run something.
        unresolved_by_id: pool of each worker that the former owner used and that may
            still run its tasks, by worker id. A worker is resolved once it has
            reported to this owner, its VM has gone or its lease has expired.
        former_orders_until: clock time in seconds of the last order that a former owner
            can have sent, unless it doesn't know yet that it was replaced.
        evacuated_zones: availability zones whose workers get no new tasks.
    """

    def __init__(self, longest_lease: float) -> None:
        self.longest_lease = longest_lease
        self.worker_by_id: dict[str, WorkerRecord] = {}
        self.unresolved_by_id: dict[str, str] = {}
        self.former_orders_until = float("-inf")
        self.evacuated_zones: set[str] = set()
        # A worker that is listed again may get calls that were made before.
        self._removed_by_id: dict[str, WorkerRecord] = {}

    def workers_of(self, pool: str) -> list[WorkerRecord]:
        """Return the workers of a pool."""
        return [w for w in self.worker_by_id.values() if w.listed.pool == pool]

    def workers_outside_evacuations(self, pool: str) -> list[WorkerRecord]:
        """Return the workers of a pool that are not in evacuated zones."""
        workers = self.workers_of(pool)
        if not self.evacuated_zones:
            return workers
        return [w for w in workers if w.listed.zone not in self.evacuated_zones]

    def is_pool_resolved(self, pool: str) -> bool:
        """Return whether no worker of the pool is unresolved."""
        return pool not in self.unresolved_by_id.values()

    def add(self, worker: WorkerRecord) -> None:
        """Add a worker, with what is known of earlier calls under its id."""
        worker_id = worker.worker_id
        removed = self._removed_by_id.pop(worker_id, None)
        if removed is not None:
            worker.former_leases = removed.former_leases
            worker.lease_sent_at = removed.lease_sent_at
            worker.has_answered_owner = removed.has_answered_owner
        self.worker_by_id[worker_id] = worker

    def remove(self, worker: WorkerRecord) -> None:
        """Remove a worker that runs nothing any more."""
        del self.worker_by_id[worker.worker_id]
        self._removed_by_id[worker.worker_id] = worker
        log_event(logger, "worker removed", worker=worker.worker_id)

    def forget_removed(self, now: float) -> None:
        """Forget removed workers that no call can reach any more."""
        for worker_id, worker in list(self._removed_by_id.items()):
            called_until = worker.lease_sent_at + ORDER_DELAY_SECONDS
            if now > max(called_until, worker.former_leases.until):
                del self._removed_by_id[worker_id]
