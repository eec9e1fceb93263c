"""Stores cancellations of jobs that are not stored, so that they never will be.

The table service may carry out a write without an answer seconds later. A caller that
has had no answer to its submission may cancel it meanwhile, and must not see it run.
"""

import logging
import time
from collections.abc import Callable, Iterable
from typing import NamedTuple

from ..policy.call_limits import CallLimits
from ..ports import NotRun, Reason, Unknown
from ..ports.async_table import AsyncTable, CommitAttempts
from ..ports.table import (
    ABSENT_VERSION,
    Committed,
    Condition,
    Conflict,
    RowKey,
    Transaction,
    Write,
)
from ..runtime.logs import log_event
from .caller_commits import CallerCommits
from .tables import CancelScope, early_cancel_key, job_key

logger = logging.getLogger(__name__)

KEEP_SECONDS = 60.0
"""Shortest time for which a cancellation is kept. The table service carries writes out
a few seconds late, and daemons repeat one only within a call, which takes 30 s at
most."""

MAX_STORED_PER_CALLER = 100
"""Most cancellations of jobs that are not stored which a daemon stores for one client
account, or for all callers of a queue without keys, in `KEEP_SECONDS`."""


class Prevented(NamedTuple):
    """The cancellation is stored, so the caller's job can't be stored any more."""


class JobFound(NamedTuple):
    """The job is stored, so nothing was."""


class EarlyCancels:
    """Cancellations of jobs that are not stored.

    A cancellation prevents the jobs with its id that its caller may see, and no job of
    anybody else. Its rows are removed by `EarlyCancelRemoval`.

    Args:
        table: client of the table service.
        commits: commits the writes of callers.
        now: returns the time of a steady clock in seconds.
    """

    def __init__(
        self,
        table: AsyncTable,
        commits: CallerCommits,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self._table = table
        self._commits = commits
        self._limits = CallLimits(MAX_STORED_PER_CALLER, KEEP_SECONDS, now)

    async def store(
        self, job_id: str, account: str, queue: str, answer_by: float
    ) -> Prevented | JobFound | NotRun | Unknown:
        """Store a cancellation; the call is idempotent.

        A write of the job that is still under way depends on the absence of the rows
        that this call writes. They are written again if they are there, so that each
        call is followed by `KEEP_SECONDS` in which they stay.

        Args:
            job_id: id of the job.
            account: account of the caller; empty on a queue that needs no key.
            queue: name of the queue on which the caller asks.
            answer_by: time of the event loop's clock by which the call ends.
        """
        wait_seconds = self._limits.admit(account or queue)
        if wait_seconds:
            log_event(
                logger,
                "cancellation refused",
                request_id=job_id,
                account=account,
                queue=queue,
                reason=Reason.LIMIT_REACHED,
            )
            detail = f"most cancellations of unknown jobs are {MAX_STORED_PER_CALLER}"
            return NotRun(
                Reason.LIMIT_REACHED, "early-cancel", "", detail, wait_seconds
            )
        condition = Condition(job_key(job_id), ABSENT_VERSION)
        writes = [Write(key, {}) for key in keys_of_cancel(job_id, account, queue)]
        attempts = CommitAttempts(self._table, Transaction([condition], writes))
        outcome = await self._commits.commit(attempts, answer_by, job_id)
        if isinstance(outcome, Committed):
            return Prevented()
        if isinstance(outcome, Conflict):
            return JobFound()
        kind = Unknown if outcome.may_have_committed else NotRun
        return kind(outcome.reason, outcome.step, outcome.peer, outcome.detail)


def keys_of_cancel(job_id: str, account: str, queue: str) -> list[RowKey]:
    """Return the rows of the cancellation of a job that is not stored.

    They tell which jobs it prevents: those that its caller may see. A caller with a key
    sees the jobs of its account, and those without an account in the queue; a caller
    without one sees all jobs of the queue.

    Args:
        job_id: id of the job.
        account: account of the caller; empty on a queue that needs no key.
        queue: name of the queue on which the caller asks.
    """
    if not account:
        return [early_cancel_key(job_id, CancelScope.QUEUE, queue)]
    return [
        early_cancel_key(job_id, CancelScope.ACCOUNT, account),
        early_cancel_key(job_id, CancelScope.OPEN_QUEUE, queue),
    ]


def keys_that_prevent(job_id: str, account: str, queue: str) -> list[RowKey]:
    """Return the rows of cancellations of which none may exist if a job is stored.

    Args:
        job_id: id of the job.
        account: account of the job; empty on a queue that needs no key.
        queue: name of its queue.
    """
    by_queue = early_cancel_key(job_id, CancelScope.QUEUE, queue)
    if not account:
        return [by_queue, early_cancel_key(job_id, CancelScope.OPEN_QUEUE, queue)]
    return [by_queue, early_cancel_key(job_id, CancelScope.ACCOUNT, account)]


def absent_conditions(keys: Iterable[RowKey]) -> list[Condition]:
    """Return the conditions that none of the rows exists."""
    return [Condition(key, ABSENT_VERSION) for key in keys]
