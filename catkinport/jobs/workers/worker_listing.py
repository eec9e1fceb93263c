"""Follows the list of workers, and removes workers that have gone or were retired."""

import logging
from collections.abc import Sequence

from ...ports.fleet_workers import ListedWorker
from ...runtime.logs import log_event
from ..dispatch.run_table import RunTable
from .worker_state import Incarnation, WorkerRecord
from .worker_table import WorkerTable

logger = logging.getLogger(__name__)


class WorkerListing:
    """Keeps the table of workers as the list of workers says.

    Args:
        workers: workers that are known.
        runs: runs that may be alive.
    """

    def __init__(self, workers: WorkerTable, runs: RunTable) -> None:
        self._workers = workers
        self._runs = runs
        self._retired_by_id: dict[str, Incarnation] = {}

    def update(
        self, listed: Sequence[ListedWorker], sent_at: float, now: float
    ) -> None:
        """Update the workers from the latest list of them.

        Args:
            listed: the list.
            sent_at: clock time in seconds at which the read of the list was sent.
            now: clock time in seconds.
        """
        self._workers.forget_removed(now)
        listed_by_id = {worker.worker_id: worker for worker in listed}
        for worker_id in self._retired_by_id.keys() - listed_by_id.keys():
            del self._retired_by_id[worker_id]
        for worker in listed:
            if not self._is_retired(worker):
                self._update_listed(worker, sent_at, now)
        for record in list(self._workers.worker_by_id.values()):
            if record.worker_id not in listed_by_id:
                self._update_unlisted(record, now)

    def retire(self, incarnation: Incarnation, ordered_at: float, now: float) -> None:
        """Remove a worker that an order for its VM has ended, with its runs.

        A worker that has started again under the same id stays. So does one with runs
        that a later incarnation may have confirmed, or may still begin.

        Args:
            incarnation: the worker.
            ordered_at: clock time in seconds before which the order was not carried
                out. Runs that were confirmed by then have ended.
            now: clock time in seconds.
        """
        worker = self._workers.worker_by_id.get(incarnation.worker_id)
        if worker is None or worker.incarnation != incarnation:
            self._retired_by_id[incarnation.worker_id] = incarnation
            return
        self._runs.lose_confirmed(worker, "vm-ordered-away", now, ordered_at)
        if worker.run_by_key:
            # That it ends or has ended is no crash.
            worker.is_taken_down = True
            worker.pause_as_uncertain(now)
            return
        self._retired_by_id[incarnation.worker_id] = incarnation
        self._workers.remove(worker)

    def _is_retired(self, worker: ListedWorker) -> bool:
        retired = self._retired_by_id.get(worker.worker_id)
        if retired is None:
            return False
        # An entry without the time of start can't be told from the retired one.
        return worker.started_at in (0.0, retired.started_at)

    def _update_listed(self, worker: ListedWorker, sent_at: float, now: float) -> None:
        record = self._workers.worker_by_id.get(worker.worker_id)
        if record is None:
            self._add(worker, sent_at, now)
            return
        if worker.is_draining and not record.listed.is_draining:
            log_event(
                logger,
                "worker drain started",
                worker=worker.worker_id,
                remaining_seconds=worker.remaining_seconds,
                n_runs=len(record.run_by_key),
            )
        former = record.former_leases.newest
        record.note_incarnation(worker.started_at, now, self._workers.longest_lease)
        if worker.started_at == record.started_at:
            record.former_leases.newest = worker.started_at
        if former and record.former_leases.newest != former:
            log_event(
                logger,
                "worker incarnation listed",
                worker=worker.worker_id,
                incarnation=worker.started_at,
                former_incarnation=former,
                n_runs=len(record.run_by_key),
                lease_seconds=round(record.runs_end_by - now, 2),
            )
        if worker.pool != record.listed.pool:
            record.is_enrolled = False
        record.note_listed(worker, sent_at)

    def _add(self, worker: ListedWorker, sent_at: float, now: float) -> None:
        record = WorkerRecord(worker)
        self._workers.add(record)
        record.note_incarnation(worker.started_at, now, self._workers.longest_lease)
        record.note_listed(worker, sent_at)
        log_event(
            logger,
            "worker listed",
            worker=worker.worker_id,
            pool=worker.pool,
            peer=worker.address,
            labels=",".join(worker.labels),
        )

    def _update_unlisted(self, record: WorkerRecord, now: float) -> None:
        if record.is_listed:
            record.is_listed = False
            log_event(
                logger,
                "worker no longer listed",
                worker=record.worker_id,
                n_runs=len(record.run_by_key),
                silent_seconds=round(now - record.contact_at, 2),
            )
        if not record.run_by_key and now > record.runs_end_by:
            self._workers.remove(record)
