"""Stores the roster: the list of the workers that may run tasks.

A successor learns from it which workers may still run tasks that this owner has
started. A worker is enrolled once the stored roster names it; it gets no tasks before.
"""

import asyncio
import logging
from collections.abc import Iterable, Iterator, Mapping, Sequence

from ...policy.resources import Resources
from ...ports import Reason, Unavailable
from ...ports.fleet_workers import ListedWorker
from ...ports.table import CommitOutcome, Committed, Row, Write
from ...runtime.logs import log_event
from ..dispatch.task import ORDER_DELAY_SECONDS
from ..tables import roster_key
from ..workers.worker_state import WorkerRecord, bound_lease
from .fenced_rows import FencedRows
from .roster_delays import RosterDelays
from .roster_rows import EntriesById, RosterEntry, RosterRows, fits_row, group_linked
from .session import RETRY_SECONDS, OwnerSession

logger = logging.getLogger(__name__)

LOOK_SECONDS = 0.25
"""Time without an answer to a commit after which its rows are read, as the answer may
come late."""

MAX_ROWS_PER_COMMIT = 10
"""Most rows in one transaction, which may have 1 MB. A worker that changes its pool may
add to it."""

POOL_FIELD = "pool"
"""Field with the pool of a row, which may have another name."""

WORKERS_FIELD = "workers"
"""Field with the entries of a row's workers, by worker id."""


class RosterStore:
    """Keeper of the rows that name the workers of each pool.

    One row that the table service refuses keeps no other row from being stored.

    Args:
        session: the ownership.
        former_calls_until: clock time in seconds after which no former owner calls a
            worker that this owner has not reached.
    """

    def __init__(
        self, session: OwnerSession, former_calls_until: float = float("-inf")
    ) -> None:
        self._session = session
        self._former_calls_until = former_calls_until
        self._rows = FencedRows(session)
        self._delays = RosterDelays(session)
        self._places = RosterRows()
        # The value is None after a write without an answer.
        self._stored_by_row: dict[str, dict[str, RosterEntry] | None] = {}
        # Rows that name a worker, or may do so after a write without an answer.
        self._rows_by_id: dict[str, set[str]] = {}
        self._unfit_ids: set[str] = set()
        self._is_split = False
        self._changed = asyncio.Event()

    def restore(self, row: Row) -> list[WorkerRecord]:
        """Return the workers that the former owner has stored in a row."""
        name = row.row_key.key
        pool = row.value.get(POOL_FIELD, name)
        entries = dict(row.value.get(WORKERS_FIELD, {}))
        self._rows.note_read([row])
        self._places.restore(name, pool, entries)
        self._set_stored(name, entries)
        log_event(
            logger,
            "roster loaded",
            pool=pool,
            version=row.version,
            n_workers=len(entries),
            workers=",".join(sorted(entries)),
        )
        workers = [_decode_entry(key, pool, entry) for key, entry in entries.items()]
        for worker in workers:
            worker.is_enrolled = True
            self._restore_leases(worker, entries[worker.worker_id])
        return workers

    def _restore_leases(self, worker: WorkerRecord, entry: RosterEntry) -> None:
        """Restore which leases of calls for former incarnations may be in force."""
        worker.lease_sent_at = self._former_calls_until
        longest = bound_lease(self._session.dispatcher.longest_lease)
        until = self._former_calls_until + ORDER_DELAY_SECONDS + longest
        # An entry of an earlier version of this program doesn't tell.
        may_have_leases = entry.get("has_former_leases", True)
        worker.former_leases.restore(
            entry.get("started_at", 0.0),
            until if may_have_leases else float("-inf"),
            self._former_calls_until,
        )

    def check_soon(self) -> None:
        """Compare the stored rows with the present workers at once."""
        self._changed.set()

    async def run(self) -> None:
        """Store the roster when it changes, until the ownership ends."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            if not await self.store():
                self._changed.set()
                await asyncio.sleep(RETRY_SECONDS)

    async def store(self) -> bool:
        """Store which workers may run tasks, and enroll those that are stored.

        Returns:
            Whether all rows are stored.
        """
        changed = self._find_changed()
        is_refused = False
        for rows in self._make_batches(changed):
            outcome = await self._commit({row: changed[row] for row in rows})
            is_refused = is_refused or _is_refusal(outcome)
            if not isinstance(outcome, Committed) and not _is_refusal(outcome):
                # The next call would wait as long for its answer.
                break
        # Rows that are refused together are written one by one the next time.
        self._is_split = is_refused and not self._is_split
        self._enroll()
        self._delays.measure()
        return not changed or not self._find_changed()

    def _find_changed(self) -> dict[str, dict[str, RosterEntry]]:
        """Return the entries that rows are to have, of the rows that differ."""
        workers = self._session.dispatcher.worker_by_id
        self._places.release_others(workers)
        self._unfit_ids &= workers.keys()
        entries_by_row: dict[str, dict[str, RosterEntry]] = {
            row: {} for row in self._places.pool_by_row
        }
        for worker_id, worker in workers.items():
            entry = self._choose_entry(worker)
            if entry is not None:
                row = self._places.place(worker_id, worker.listed.pool)
                entries_by_row.setdefault(row, {})[worker_id] = entry
        return {
            row: entries
            for row, entries in entries_by_row.items()
            if not _is_stored(entries, self._stored_by_row.get(row))
        }

    def _choose_entry(self, worker: WorkerRecord) -> RosterEntry | None:
        """Return the entry of a worker, or ``None`` if no row can hold one.

        A worker whose entry has become too large keeps the one that is stored, as it
        may still run tasks.
        """
        worker_id = worker.worker_id
        entry = self._encode_entry(worker)
        stored = self._find_stored(worker_id)
        is_same = stored is not None and _is_same(entry, stored)
        if is_same or fits_row(worker_id, entry):
            return entry
        if worker_id not in self._unfit_ids:
            self._unfit_ids.add(worker_id)
            log_event(
                logger,
                "worker not enrolled",
                level=logging.WARNING,
                worker=worker_id,
                reason="entry-too-large",
            )
        return stored

    def _encode_entry(self, worker: WorkerRecord) -> RosterEntry:
        leases = worker.former_leases
        return {
            "vm": worker.vm_id,
            "address": worker.listed.address,
            "zone": worker.listed.zone,
            "capacity": list(worker.listed.capacity),
            "labels": list(worker.listed.labels),
            "started_at": leases.newest,
            "has_former_leases": self._session.clock.now() <= leases.until,
        }

    def _make_batches(
        self, changed: dict[str, dict[str, RosterEntry]]
    ) -> Iterator[Sequence[str]]:
        """Yield the rows of each transaction."""
        groups = group_linked(changed, self._rows_by_id)
        batch: list[str] = []
        for group in groups:
            is_full = len(batch) + len(group) > MAX_ROWS_PER_COMMIT
            if batch and (self._is_split or is_full):
                yield batch
                batch = []
            batch.extend(sorted(group))
        if batch:
            yield batch

    async def _commit(
        self, changed: Mapping[str, dict[str, RosterEntry]]
    ) -> CommitOutcome:
        """Write rows in one transaction."""
        pool_by_row = self._places.pool_by_row
        writes = [
            Write(
                roster_key(row), {POOL_FIELD: pool_by_row[row], WORKERS_FIELD: entries}
            )
            for row, entries in changed.items()
        ]
        outcome = await self._rows.commit_or_look(writes, LOOK_SECONDS)
        if isinstance(outcome, Committed):
            for row, entries in changed.items():
                version = outcome.versions_by_row_key[roster_key(row)]
                self._note_stored(row, entries, version)
        elif getattr(outcome, "may_have_committed", True):
            await self._note_undecided(changed)
        left = [
            row
            for row, entries in changed.items()
            if not _is_stored(entries, self._stored_by_row.get(row))
        ]
        self._delays.note_outcome(outcome, left)
        self._delays.note_stored(changed.keys() - set(left))
        return outcome

    async def _note_undecided(
        self, changed: Mapping[str, dict[str, RosterEntry]]
    ) -> None:
        """Read rows whose write had no answer, which may have been carried out.

        A successor reads the same, as it reads the roster after its claim. The write
        may still be carried out, so a row that it has not changed is written again even
        if it should be as it was before.
        """
        for row, entries in changed.items():
            self._stored_by_row[row] = None
            self._add_rows(row, entries)
        row_keys = [roster_key(row) for row in changed]
        for read in await self._rows.find_written(row_keys):
            entries = read.value[WORKERS_FIELD]
            self._note_stored(read.row_key.key, entries, read.version)

    def _note_stored(self, row: str, entries: EntriesById, version: int) -> None:
        self._log_stored(row, entries, version)
        self._set_stored(row, entries)

    def _set_stored(self, row: str, entries: EntriesById) -> None:
        for worker_id, rows in list(self._rows_by_id.items()):
            rows.discard(row)
            if not rows:
                del self._rows_by_id[worker_id]
        self._stored_by_row[row] = dict(entries)
        self._add_rows(row, entries)

    def _add_rows(self, row: str, worker_ids: Iterable[str]) -> None:
        for worker_id in worker_ids:
            self._rows_by_id.setdefault(worker_id, set()).add(row)

    def _find_stored(self, worker_id: str) -> RosterEntry | None:
        """Return the entry of a worker as it is stored for certain."""
        for row in self._rows_by_id.get(worker_id, ()):
            stored = self._stored_by_row[row]
            if stored is not None and worker_id in stored:
                return stored[worker_id]
        return None

    def _enroll(self) -> None:
        """Enroll the workers that a row of their pool names as they are."""
        for worker in self._session.dispatcher.worker_by_id.values():
            if not worker.is_enrolled and self._is_named(worker):
                worker.is_enrolled = True
                self._session.wake.set()

    def _is_named(self, worker: WorkerRecord) -> bool:
        """Return whether one row names a worker as it is, and no other may do so."""
        stored = self._find_stored(worker.worker_id)
        if stored is None or not _is_same(self._encode_entry(worker), stored):
            return False
        pools = [
            self._places.pool_by_row[row] for row in self._rows_by_id[worker.worker_id]
        ]
        return pools == [worker.listed.pool]

    def _log_stored(self, row: str, entries: EntriesById, version: int) -> None:
        former = self._stored_by_row.get(row) or {}
        log_event(
            logger,
            "roster stored",
            pool=self._places.pool_by_row[row],
            version=version,
            n_workers=len(entries),
            added=",".join(sorted(entries.keys() - former.keys())),
            removed=",".join(sorted(former.keys() - entries.keys())),
        )


def _is_refusal(outcome: CommitOutcome) -> bool:
    """Return whether the table service has answered that it has written nothing."""
    return (
        isinstance(outcome, Unavailable)
        and outcome.reason is Reason.STORE_UNAVAILABLE
        and not outcome.may_have_committed
    )


def _decode_entry(worker_id: str, pool: str, entry: RosterEntry) -> WorkerRecord:
    listed = ListedWorker(
        worker_id=worker_id,
        pool=pool,
        address=entry["address"],
        zone=entry["zone"],
        is_draining=False,
        remaining_seconds=0.0,
        capacity=Resources(*entry["capacity"]),
        labels=tuple(entry["labels"]),
        started_at=0.0,
    )
    worker = WorkerRecord(listed)
    worker.vm_id = entry.get("vm", "")
    return worker


def _is_stored(entries: EntriesById, stored: EntriesById | None) -> bool:
    """Return whether a stored row says where to find its workers."""
    if stored is None or entries.keys() != stored.keys():
        return False
    return all(_is_same(entry, stored[name]) for name, entry in entries.items())


def _is_same(entry: RosterEntry, stored: RosterEntry) -> bool:
    """Return whether a stored entry says where to find the worker.

    Its capacity may be old: a successor starts nothing by it, as it reads the list of
    workers first.
    """
    return {**stored, "capacity": entry["capacity"]} == entry
