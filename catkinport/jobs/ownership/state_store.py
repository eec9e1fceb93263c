"""Stores the states of jobs, in batches, under the owner's fencing token."""

import asyncio
import logging
from collections.abc import Iterable, Sequence
from typing import Any

from ...policy.leadership import HEARTBEAT_SECONDS
from ...ports.table import Committed, Conflict, Row, Write
from ...runtime.logs import log_event
from ..tables import HEARTBEAT_KEY, state_key
from ..workers.worker_state import WorkerRecord
from .fenced_rows import FencedRows
from .session import RETRY_SECONDS, OwnerSession
from .state_sizes import SizedState, encode_batch, fit_waiting

logger = logging.getLogger(__name__)

COMMIT_ATTEMPTS = 3
"""Attempts of one commit of unknown outcome before its rows are collected again."""

STORE_WAIT_SECONDS = 1.0
"""Longest time for which polling a worker waits until the ends that it listed are
stored."""


def heartbeat_write(
    session: OwnerSession, sent_at: float, is_released: bool = False
) -> Write:
    """Return the write that renews the ownership, or releases it.

    It needs no condition on the version of its row: a renewal that is carried out late
    only delays a takeover or the wait for leases after it.
    """
    value: dict[str, Any] = {
        "token": session.lease.token,
        "sent_at": sent_at,
        "takeover_seconds": session.takeover_seconds,
        "released": is_released,
        "resolved": session.is_resolved,
        "wants_successor": session.wants_successor,
    }
    # An owner that has not loaded the jobs yet would say that none wait.
    if session.loaded_at:
        value["waiting"] = fit_waiting(session.dispatcher.count_waiting())
    return Write(HEARTBEAT_KEY, value)


class StateStore:
    """Writer of changed job states.

    The ends of runs that it has stored are acknowledged to their workers at the next
    poll, so that the workers stop listing them.

    Args:
        session: the ownership.
    """

    def __init__(self, session: OwnerSession) -> None:
        self._session = session
        self._rows = FencedRows(session)
        self._ends_stored = asyncio.Condition()

    def note_read(self, rows: Iterable[Row]) -> None:
        """Remember the versions of the states that were read as the ownership began."""
        self._rows.note_read(rows)

    async def wait_until_stored(self, worker: WorkerRecord, end: int) -> bool:
        """Wait until the ends of runs of a worker up to number ``end`` are stored.

        Returns:
            Whether they are stored; ``False`` after `STORE_WAIT_SECONDS`.
        """
        try:
            # `asyncio.wait_for` may swallow the cancellation that ends the ownership.
            async with asyncio.timeout(STORE_WAIT_SECONDS), self._ends_stored:
                await self._ends_stored.wait_for(lambda: worker.stored_end >= end)
        except TimeoutError:
            return False
        return True

    async def run(self) -> None:
        """Store changed states until the ownership ends."""
        while True:
            await self._session.store_wake.wait()
            self._session.store_wake.clear()
            if not await self._store_dirty():
                self._session.store_wake.set()
                await asyncio.sleep(RETRY_SECONDS)

    async def _store_dirty(self) -> bool:
        """Store all changed states, then mark the ends of runs in them as stored."""
        workers = list(self._session.dispatcher.worker_by_id.values())
        end_by_worker = {
            w.worker_id: (w, w.started_at, w.processed_end) for w in workers
        }
        dirty = self._session.dispatcher.dirty_jobs()
        n_stored = 0
        while n_stored < len(dirty):
            states = encode_batch(dirty[n_stored:])
            if not await self._store_states(states):
                return False
            n_stored += len(states)
        for worker, started_at, end in end_by_worker.values():
            if worker.started_at == started_at:
                worker.stored_end = end
        async with self._ends_stored:
            self._ends_stored.notify_all()
        for record in dirty:
            self._session.dispatcher.forget_ended(record)
            if record.job.job_id not in self._session.dispatcher.job_by_id:
                self._rows.forget(state_key(record.job.job_id))
        return True

    async def _store_states(self, states: Sequence[SizedState]) -> bool:
        sent_at = self._session.clock.now()
        records = [state.record for state in states]
        writes = [Write(state_key(s.record.job.job_id), s.row) for s in states]
        for record in records:
            record.is_dirty = False
        n_crashes = [record.n_crashes for record in records]
        # Each renewal wakes all daemons, which follow its row, so not every commit
        # carries one.
        is_renewal = sent_at - self._session.lease.renewed_at >= HEARTBEAT_SECONDS / 2
        renewals = []
        if is_renewal:
            renewals.append(heartbeat_write(self._session, sent_at))
            self._session.note_renewal_sent(sent_at)
        outcome = await self._rows.commit(writes, renewals, COMMIT_ATTEMPTS)
        self._session.ports.metrics.observe(
            "state_commit_seconds",
            "Time to store states of jobs.",
            {"outcome": type(outcome).__name__},
            self._session.clock.now() - sent_at,
        )
        if isinstance(outcome, Committed):
            if is_renewal:
                self._session.note_renewed(sent_at)
            for record, write, n in zip(records, writes, n_crashes, strict=True):
                record.row_version = outcome.versions_by_row_key[write.row_key]
                record.n_stored_crashes = n
                log_event(
                    logger,
                    "job state stored",
                    request_id=record.job.job_id,
                    state=(write.value or {})["state"],
                    version=record.row_version,
                )
            return True
        for record in records:
            record.is_dirty = True
        if not isinstance(outcome, Conflict):
            log_event(
                logger,
                "job states not stored",
                n_jobs=len(records),
                reason=outcome.reason,
                peer=outcome.peer,
            )
        return False
