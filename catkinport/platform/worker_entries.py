"""Reads the entries of workers in the platform's list."""

import logging
from collections.abc import Sequence
from typing import NamedTuple

from ..ports.fleet_workers import ListedWorker
from ..ports.table import Row
from ..runtime.logs import log_event
from . import decoding
from .workers_codec import decode_worker

logger = logging.getLogger(__name__)


class WorkerEntry(NamedTuple):
    """A worker's decoded entry, and the version of its row."""

    version: int
    worker: ListedWorker


class WorkerEntries:
    """The latest readable entry of each worker that is listed.

    Entries are decoded once for each version of their rows.
    """

    def __init__(self) -> None:
        self._entry_by_worker: dict[str, WorkerEntry] = {}
        self._ignored_version_by_worker: dict[str, int] = {}

    def update(self, rows: Sequence[Row]) -> list[ListedWorker]:
        """Apply the list of workers; log and leave out entries that are malformed.

        Returns:
            The workers whose entries are new or have changed.
        """
        former = self._entry_by_worker
        self._entry_by_worker = {}
        for row in rows:
            worker_id = row.row_key.key
            entry = former.get(worker_id)
            if entry is None or entry.version != row.version:
                entry = self._decode(row)
            if entry is not None:
                self._entry_by_worker[worker_id] = entry
        listed_ids = {row.row_key.key for row in rows}
        for worker_id in self._ignored_version_by_worker.keys() - listed_ids:
            del self._ignored_version_by_worker[worker_id]
        return [
            entry.worker
            for worker_id, entry in self._entry_by_worker.items()
            if entry is not former.get(worker_id)
        ]

    @property
    def workers(self) -> list[ListedWorker]:
        """The listed workers."""
        return [entry.worker for entry in self._entry_by_worker.values()]

    def find(self, worker_id: str) -> ListedWorker | None:
        """Return the entry of a worker, or ``None`` if it is not listed."""
        entry = self._entry_by_worker.get(worker_id)
        return entry.worker if entry else None

    def _decode(self, row: Row) -> WorkerEntry | None:
        """Return the entry in a row; log once for each version if it is malformed."""
        worker_id = row.row_key.key
        try:
            return WorkerEntry(row.version, decode_worker(worker_id, row.value))
        except decoding.MessageError as error:
            if self._ignored_version_by_worker.get(worker_id) != row.version:
                self._ignored_version_by_worker[worker_id] = row.version
                log_event(
                    logger,
                    "worker entry ignored",
                    level=logging.WARNING,
                    worker=worker_id,
                    version=row.version,
                    reason=str(error),
                )
            return None
