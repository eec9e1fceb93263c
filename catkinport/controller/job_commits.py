"""Commits changes of jobs, each conditional on the pool's owner."""

import logging
from collections.abc import Sequence
from typing import NamedTuple

from ..ports import (
    CommitOutcome,
    Committed,
    Condition,
    Conflict,
    Table,
    Transaction,
    Write,
)
from ..runtime import log_event
from ..state import JobRow
from .job_book import Job
from .pool_state import PoolState

logger = logging.getLogger(__name__)

MAX_CHANGES_PER_STEP = 100


class JobChange(NamedTuple):
    """A job as it was read and its new row."""

    job: Job
    row: JobRow


def commit_changes(
    table: Table, state: PoolState, changes: Sequence[JobChange]
) -> list[JobChange]:
    """Commit independent changes and return those that took effect.

    A change that lost a race or whose answer was lost has its job read again. The
    caller derives the change anew from the row that is then seen.
    """
    changes = changes[:MAX_CHANGES_PER_STEP]
    if not changes:
        return []
    transactions = [
        Transaction(job_conditions(state, [change]), job_writes([change]))
        for change in changes
    ]
    outcomes = table.commit_batch(transactions)
    committed = []
    for change, outcome in zip(changes, outcomes, strict=True):
        if take_outcome(state, [change], outcome):
            committed.append(change)
    return committed


def job_conditions(state: PoolState, changes: Sequence[JobChange]) -> list[Condition]:
    """Return the conditions: the owner's row and each job as it was read."""
    conditions = [Condition(job.row_key, job.version) for job, _ in changes]
    return [state.fence.condition, *conditions]


def job_writes(changes: Sequence[JobChange]) -> list[Write]:
    """Return the new rows."""
    return [Write(job.row_key, dict(row)) for job, row in changes]


def take_outcome(
    state: PoolState, changes: Sequence[JobChange], outcome: CommitOutcome
) -> bool:
    """Update the cache from the outcome; return whether the changes took effect."""
    if isinstance(outcome, Committed):
        for job, row in changes:
            version = outcome.versions_by_row_key[job.row_key]
            state.book.put(job._replace(version=version, row=row))
            log_event(
                logger,
                "job changed",
                job_id=job.job_id,
                queue=job.queue,
                team=row["team"],
                state=str(row["state"]),
                attempt=row["attempt"],
                vm=row["worker_vm"],
                reason=row["reason"],
            )
        return True
    if isinstance(outcome, Conflict):
        if state.fence.row_key in outcome.versions_by_row_key:
            state.is_owner = False
    else:
        log_event(
            logger,
            "job change not committed",
            pool=state.pool,
            step=outcome.step,
            peer=outcome.peer,
            reason=str(outcome.reason),
        )
    for job, _ in changes:
        state.book.notice(job.queue, job.job_id)
    return False
