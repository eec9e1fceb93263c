"""Stores cancellations of jobs that are not stored, so that they never will be.

The table service may carry out a write without an answer seconds later. A caller that
has had no answer to its submission may cancel it meanwhile, and must not see it run.
"""

import time
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from ..ports import NotRun, Unknown
from ..ports.async_table import AsyncTable, commit_until_known
from ..ports.table import (
    ABSENT_VERSION,
    Committed,
    Condition,
    Conflict,
    RowKey,
    Transaction,
    Write,
)
from .tables import early_cancel_key, job_key

COMMIT_ATTEMPTS = 2
"""Attempts of one commit within a call; after that the caller has to retry."""

KEEP_SECONDS = 60.0
"""Time for which a cancellation is kept. The table service carries writes out a few
seconds late, and daemons repeat one only within a call."""


class Prevented(NamedTuple):
    """The cancellation is stored, so the job can't be stored any more."""


class JobFound(NamedTuple):
    """The job is stored, so nothing was."""


class _Stored(NamedTuple):
    row_key: RowKey
    version: int
    stored_at: float


class EarlyCancels:
    """Cancellations of jobs that are not stored.

    With each cancellation that it stores, a daemon removes its oldest one, if that is
    outdated. So it has never more than in its busiest `KEEP_SECONDS`. Those that are
    left when its process ends stay.

    Args:
        table: client of the table service.
        now: returns the time of a steady clock in seconds.
    """

    def __init__(
        self, table: AsyncTable, now: Callable[[], float] = time.monotonic
    ) -> None:
        self._table = table
        self._now = now
        self._stored: deque[_Stored] = deque()

    async def store(
        self, job_id: str, account: str, queue: str
    ) -> Prevented | JobFound | NotRun | Unknown:
        """Store a cancellation; the call is idempotent.

        Args:
            job_id: id of the job.
            account: account of the caller; empty on a queue that needs no key.
            queue: name of the queue on which the caller asks.
        """
        key = early_cancel_key(job_id)
        conditions = [
            Condition(job_key(job_id), ABSENT_VERSION),
            Condition(key, ABSENT_VERSION),
        ]
        write = Write(key, {"account": account, "queue": queue})
        outcome = await commit_until_known(
            self._table, Transaction(conditions, [write]), COMMIT_ATTEMPTS
        )
        if isinstance(outcome, Committed):
            version = outcome.versions_by_row_key[key]
            self._stored.append(_Stored(key, version, self._now()))
            await self._remove_outdated()
            return Prevented()
        if isinstance(outcome, Conflict):
            is_found = job_key(job_id) in outcome.versions_by_row_key
            return JobFound() if is_found else Prevented()
        kind = Unknown if outcome.may_have_committed else NotRun
        return kind(outcome.reason, outcome.step, outcome.peer, outcome.detail)

    async def _remove_outdated(self) -> None:
        """Remove the oldest cancellation if it is outdated."""
        oldest = self._stored[0]
        if self._now() - oldest.stored_at < KEEP_SECONDS:
            return
        self._stored.popleft()
        condition = Condition(oldest.row_key, oldest.version)
        removal = Write(oldest.row_key, None)
        await self._table.commit(Transaction([condition], [removal]))
