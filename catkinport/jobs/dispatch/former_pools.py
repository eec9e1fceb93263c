"""Pools that queues had before a configuration gave them others.

A run stays on its worker when the queue of its job gets another pool. After a change of
owner, an inherited job may therefore have runs on workers of each pool that its queue
has had since the job was accepted.
"""

from collections.abc import Iterable, Mapping

from .record import JobRecord


class FormerPools:
    """Former pools of the queues that have unfinished jobs."""

    def __init__(self) -> None:
        self._until_by_pool_by_queue: dict[str, dict[str, int]] = {}

    def note(self, queue: str, pool: str, until_version: int) -> None:
        """Remember a former pool of a queue.

        Args:
            queue: name of the queue.
            pool: the pool.
            until_version: latest version of the configuration under which a job was
                accepted that may have runs there.
        """
        until_by_pool = self._until_by_pool_by_queue.setdefault(queue, {})
        until_by_pool[pool] = max(until_by_pool.get(pool, 0), until_version)

    def find(self, record: JobRecord) -> set[str]:
        """Return the former pools in which a job may have runs."""
        until_by_pool = self._until_by_pool_by_queue.get(record.job.queue, {})
        version = record.accepted_version
        return {pool for pool, until in until_by_pool.items() if version <= until}

    def versions_by_pool(self, queue: str) -> dict[str, int]:
        """Return the former pools of a queue as `note` got them, for the stored row."""
        return dict(self._until_by_pool_by_queue.get(queue, {}))

    def prune(self, records: Iterable[JobRecord]) -> None:
        """Forget the pools in which none of the unfinished jobs can have runs."""
        kept: dict[str, dict[str, int]] = {}
        for record in records if self._until_by_pool_by_queue else ():
            queue = record.job.queue
            until_by_pool: Mapping[str, int] = self._until_by_pool_by_queue.get(
                queue, {}
            )
            for pool in self.find(record):
                kept.setdefault(queue, {})[pool] = until_by_pool[pool]
        self._until_by_pool_by_queue = kept
