"""Stores the roster: the list of the workers that may run tasks.

A successor learns from it which workers may still run tasks that this owner has
started. A worker is enrolled once the stored roster names it; it gets no tasks before.
"""

import logging
from collections.abc import Mapping
from typing import Any

from ...policy.resources import Resources
from ...ports.fleet_workers import ListedWorker
from ...ports.table import Committed, Row, Write
from ...runtime.logs import log_event
from ..tables import roster_key
from ..workers.worker_state import WorkerRecord
from .fenced_rows import FencedRows
from .roster_delays import RosterDelays
from .session import OwnerSession

logger = logging.getLogger(__name__)

COMMIT_ATTEMPTS = 3
"""Attempts of one commit of unknown outcome before the roster is collected again."""


class RosterStore:
    """Keeper of the rows that name the workers of each pool.

    Args:
        session: the ownership.
    """

    def __init__(self, session: OwnerSession) -> None:
        self._session = session
        self._rows = FencedRows(session)
        self._delays = RosterDelays(session)
        # The value is None after a write without an answer.
        self._roster_by_pool: dict[str, dict[str, Any] | None] = {}

    def restore(self, row: Row) -> list[WorkerRecord]:
        """Return the workers of a pool that the former owner has stored."""
        pool = row.row_key.key
        entries = row.value.get("workers", {})
        self._rows.note_read([row])
        self._roster_by_pool[pool] = dict(entries)
        log_event(
            logger,
            "roster loaded",
            pool=pool,
            version=row.version,
            n_workers=len(entries),
            workers=",".join(sorted(entries)),
        )
        workers = [_decode_entry(name, pool, e) for name, e in entries.items()]
        for worker in workers:
            worker.is_enrolled = True
        return workers

    async def store(self) -> None:
        """Store which workers may run tasks; they get none before that."""
        roster_by_pool: dict[str, dict[str, Any]] = {}
        for worker in self._session.dispatcher.worker_by_id.values():
            entries = roster_by_pool.setdefault(worker.listed.pool, {})
            entries[worker.worker_id] = _encode_entry(worker)
        for pool in set(self._roster_by_pool) - set(roster_by_pool):
            roster_by_pool[pool] = {}
        changed = {
            pool: entries
            for pool, entries in roster_by_pool.items()
            if not _is_stored(entries, self._roster_by_pool.get(pool))
        }
        if not changed or await self._commit(changed):
            for worker in self._session.dispatcher.worker_by_id.values():
                worker.is_enrolled = True
        self._delays.measure()

    async def _commit(self, changed: dict[str, dict[str, Any]]) -> bool:
        """Write the rosters of pools; return whether they are stored."""
        writes = [
            Write(roster_key(pool), {"workers": entries})
            for pool, entries in changed.items()
        ]
        outcome = await self._rows.commit(writes, n_attempts=COMMIT_ATTEMPTS)
        self._delays.note_outcome(outcome, changed)
        if not isinstance(outcome, Committed):
            # A write without an answer may still be carried out, so these rows are
            # written again even if they should be as they were before.
            self._roster_by_pool.update(dict.fromkeys(changed))
            return False
        self._log_stored(changed, outcome)
        self._roster_by_pool.update(changed)
        return True

    def _log_stored(
        self, changed: dict[str, dict[str, Any]], outcome: Committed
    ) -> None:
        for pool, entries in changed.items():
            former = self._roster_by_pool.get(pool) or {}
            log_event(
                logger,
                "roster stored",
                pool=pool,
                version=outcome.versions_by_row_key[roster_key(pool)],
                n_workers=len(entries),
                added=",".join(sorted(entries.keys() - former.keys())),
                removed=",".join(sorted(former.keys() - entries.keys())),
            )


def _encode_entry(worker_record: WorkerRecord) -> dict[str, Any]:
    worker = worker_record.listed
    return {
        "vm": worker_record.vm_id,
        "address": worker.address,
        "zone": worker.zone,
        "capacity": list(worker.capacity),
        "labels": list(worker.labels),
    }


def _decode_entry(worker_id: str, pool: str, entry: dict[str, Any]) -> WorkerRecord:
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


def _is_stored(
    entries: Mapping[str, dict[str, Any]], stored: Mapping[str, dict[str, Any]] | None
) -> bool:
    """Return whether a pool's stored row says where to find its workers.

    The capacities in the row may be old: a successor starts nothing by them, as it
    reads the list of workers first.
    """
    if stored is None or entries.keys() != stored.keys():
        return False
    return all(
        {**stored[worker_id], "capacity": entry["capacity"]} == entry
        for worker_id, entry in entries.items()
    )
