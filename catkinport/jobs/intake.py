"""Stores the jobs and cancellations of callers, and answers queries for a job's state.

Every daemon runs this; only the owner of the fleet acts on what is stored.
"""

import json
import logging
from collections.abc import Callable, Mapping, Sequence
from typing import Any, NamedTuple

from ..ports import NotRun, Reason, Unavailable, Unknown
from ..ports.async_table import AsyncTable, CommitAttempts
from ..ports.table import (
    ABSENT_VERSION,
    Committed,
    Condition,
    Conflict,
    Row,
    Transaction,
    Write,
)
from ..runtime.logs import log_event
from .caller_commits import CallerCommits
from .configuration import AcceptedRules
from .early_cancels import (
    EarlyCancels,
    JobFound,
    Prevented,
    absent_conditions,
    keys_that_prevent,
)
from .model import Job, JobState, job_to_row
from .tables import (
    JOBS_TABLE,
    MAX_ROW_BYTES,
    RANGE_END,
    STATES_TABLE,
    cancel_key,
    job_key,
)

logger = logging.getLogger(__name__)

RETRY_AFTER_SECONDS = 0.5
"""Delay that a caller is asked for before it retries, if the table service did not
answer."""


TABLE_NOT_REACHED = NotRun(
    Reason.STORE_UNAVAILABLE, "intake", retry_after_seconds=RETRY_AFTER_SECONDS
)


class Accepted(NamedTuple):
    """The job is stored; ``is_repeat`` if an earlier call had stored its id."""

    is_repeat: bool


class TooLarge(NamedTuple):
    """The job takes more bytes than a row of the table service may have."""

    n_bytes: int
    max_bytes: int


class IdInUse(NamedTuple):
    """Another job that the caller may not see has the id, so this one never runs."""


class Absent(NamedTuple):
    """The account has no job with this id."""


class Canceled(NamedTuple):
    """The cancellation is stored, now or by an earlier call."""


class Intake:
    """Stores jobs and cancellations, and reads the states of jobs.

    Args:
        table: client of the table service.
        is_table_reached: returns whether the table service answered recently. If it did
            not, no write is sent. The caller then learns at once that nothing was
            stored, instead of waiting for an outcome that may be unknown.
        commits: commits the writes of callers.

    Calls that write end at a time of the event loop's clock, ``answer_by``.
    """

    def __init__(
        self,
        table: AsyncTable,
        is_table_reached: Callable[[], bool],
        commits: CallerCommits,
    ) -> None:
        self._table = table
        self._is_table_reached = is_table_reached
        self._commits = commits
        self._early_cancels = EarlyCancels(table, commits)

    def end_by(self, latest: float) -> None:
        """End all calls that write at a time of the event loop's clock."""
        self._commits.end_by(latest)

    async def submit(
        self, job: Job, rules: AcceptedRules, answer_by: float
    ) -> Accepted | IdInUse | TooLarge | NotRun | Unknown:
        """Store a job with the rules of its queue.

        The rules are stored together with the job, because the configuration may remove
        the queue before any owner has read the job.

        The call is idempotent: if a job with this id is stored already, that job stays
        as it is. A job that was canceled before it was stored is not stored, nor is one
        whose id a job of another account has.
        """
        row = job_to_row(job, rules)
        n_bytes = len(json.dumps(row, separators=(",", ":")))
        if n_bytes > MAX_ROW_BYTES:
            return TooLarge(n_bytes, MAX_ROW_BYTES)
        if not self._is_table_reached():
            return TABLE_NOT_REACHED
        key = job_key(job.job_id)
        preventing_keys = keys_that_prevent(job.job_id, job.account, job.queue)
        transaction = Transaction(
            absent_conditions([key, *preventing_keys]),
            [Write(key, row)],
        )
        attempts = CommitAttempts(self._table, transaction)
        outcome = await self._commits.commit(attempts, answer_by, job.job_id)
        if isinstance(outcome, Committed):
            return Accepted(is_repeat=False)
        if isinstance(outcome, Conflict):
            return _explain_conflict(job, outcome, attempts.may_have_committed)
        return _explain_unavailable(outcome)

    async def find_state(
        self, job_id: str, account: str, queue: str
    ) -> JobState | Absent | Unavailable:
        """Return the state of a job that a caller may see.

        A job without a stored state is queued. A job that the caller may not see is
        absent.

        Args:
            job_id: id of the job.
            account: account of the caller; empty on a queue that needs no key.
            queue: name of the queue on which the caller asks.
        """
        states = await self._table.read_range(STATES_TABLE, job_id, job_id + RANGE_END)
        if isinstance(states, Unavailable):
            return states
        state_row = _find_value(states.rows, job_id)
        state = JobState(state_row["state"]) if state_row else JobState.QUEUED
        if state_row and state_row["account"] == account:
            return state
        rows = await self._table.read_range(JOBS_TABLE, job_id, job_id + RANGE_END)
        if isinstance(rows, Unavailable):
            return rows
        job_row = _find_value(rows.rows, job_id)
        if job_row is None or not _may_see(job_row, account, queue):
            return Absent()
        return state

    async def cancel(
        self, job_id: str, account: str, queue: str, answer_by: float
    ) -> Canceled | Absent | NotRun | Unknown:
        """Store a request to cancel a job; the call is idempotent.

        If there is no such job, a write of it may still be under way, whose caller has
        had no answer. So the cancellation is stored all the same, and the job can't be
        stored any more. Its arguments are those of `find_state`.
        """
        if not self._is_table_reached():
            return TABLE_NOT_REACHED
        state = await self._find_state_by(job_id, account, queue, answer_by)
        if isinstance(state, Absent):
            early = await self._early_cancels.store(job_id, account, queue, answer_by)
            if isinstance(early, Prevented):
                return Absent()
            if not isinstance(early, JobFound):
                return early
            # The job has been stored since, or it belongs to another account.
            state = await self._find_state_by(job_id, account, queue, answer_by)
        if isinstance(state, Absent):
            return state
        if isinstance(state, Unavailable):
            return _explain_unavailable(state)
        key = cancel_key(job_id)
        transaction = Transaction([Condition(key, ABSENT_VERSION)], [Write(key, {})])
        attempts = CommitAttempts(self._table, transaction)
        outcome = await self._commits.commit(attempts, answer_by, job_id)
        if isinstance(outcome, Committed | Conflict):
            log_event(logger, "job cancel stored", request_id=job_id, state=state)
            return Canceled()
        return _explain_unavailable(outcome)

    async def _find_state_by(
        self, job_id: str, account: str, queue: str, answer_by: float
    ) -> JobState | Absent | Unavailable:
        """Return the state of a job, or that it could not be read in time."""
        try:
            async with self._commits.time_limit(answer_by):
                return await self.find_state(job_id, account, queue)
        except TimeoutError:
            return Unavailable(Reason.DEADLINE, "intake")


def _explain_unavailable(outcome: Unavailable) -> NotRun | Unknown:
    """Return whether a call without an outcome has surely not been carried out."""
    reason, step, peer, detail, may_have_committed = outcome
    if may_have_committed:
        return Unknown(reason, step, peer, detail)
    return NotRun(reason, step, peer, detail, RETRY_AFTER_SECONDS)


def _explain_conflict(
    job: Job, conflict: Conflict, may_have_committed: bool
) -> Accepted | IdInUse | NotRun | Unknown:
    """Return why a job was not stored: it is already, or something prevents it.

    A cancellation that prevents it may be removed before an earlier attempt without an
    answer is carried out, so the outcome stays unknown then.
    """
    key = job_key(job.job_id)
    if key not in conflict.versions_by_row_key:
        if may_have_committed:
            return Unknown(Reason.CANCELED, "intake")
        return NotRun(Reason.CANCELED, "intake")
    stored = next((row.value for row in conflict.rows if row.row_key == key), None)
    if stored is not None and not _may_see(stored, job.account, job.queue):
        return IdInUse()
    return Accepted(is_repeat=True)


def _find_value(rows: Sequence[Row], job_id: str) -> Mapping[str, Any] | None:
    for row in rows:
        if row.row_key.key == job_id:
            return row.value
    return None


def _may_see(job_row: Mapping[str, Any], account: str, queue: str) -> bool:
    """Return whether a caller may see a job.

    A configuration may change whether a queue needs a key. Jobs accepted without a key
    can then be seen with any, and without a key all jobs of the queue.
    """
    stored_account = job_row.get("account", "")
    if stored_account == account:
        return True
    is_without_key = not stored_account or not account
    return is_without_key and job_row.get("queue") == queue


def describe(outcome: NotRun | Unknown | Unavailable) -> str:
    """Return the reason, step and peer of an outcome as text for a log line."""
    reason = Reason(outcome.reason).value
    return f"{reason} at {outcome.step} of {outcome.peer or 'nobody'}"
