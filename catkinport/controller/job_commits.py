"""Commits changes of jobs, on the condition that the pool still has the same owner."""

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
from .job_cache import Job
from .pool_state import PoolState

logger = logging.getLogger(__name__)

MAX_CHANGES_PER_STEP = 100


class JobChange(NamedTuple):
    """Job as it was read, and its new row."""

    job: Job
    row: JobRow


def commit_changes(
    table: Table, state: PoolState, changes: Sequence[JobChange]
) -> list[JobChange]:
    """Commit independent changes and return those that took effect.

    The job of a change that met a conflict or whose answer was lost is read again. The
    caller then derives the change from the new row. Of many changes only the first
    ``MAX_CHANGES_PER_STEP`` are committed.
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
        if apply_outcome(state, [change], outcome):
            committed.append(change)
    return committed


def job_conditions(state: PoolState, changes: Sequence[JobChange]) -> list[Condition]:
    """Return the conditions: the owner's row and each job's row have not changed."""
    conditions = [Condition(job.row_key, job.version) for job, _ in changes]
    return [state.fence.condition, *conditions]


def job_writes(changes: Sequence[JobChange]) -> list[Write]:
    """Return the writes of the new rows."""
    return [Write(job.row_key, dict(row)) for job, row in changes]


def apply_outcome(
    state: PoolState, changes: Sequence[JobChange], outcome: CommitOutcome
) -> bool:
    """Update the cache by the outcome; return whether the changes took effect.

    A conflict on the owner's row means that the pool has another owner.
    """
    if isinstance(outcome, Committed):
        for job, row in changes:
            version = outcome.versions_by_row_key[job.row_key]
            state.job_cache.put(job._replace(version=version, row=row))
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
            "job commit failed",
            pool=state.pool,
            step=outcome.step,
            peer=outcome.peer,
            reason=str(outcome.reason),
        )
    for job, _ in changes:
        state.job_cache.request_read(job.queue, job.job_id)
    return False
