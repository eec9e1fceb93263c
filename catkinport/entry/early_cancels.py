"""Stores cancellations of jobs that are not stored, so that they never will be.

The table service may carry out the write of a job late, after its caller was told that
the outcome is unknown, and has canceled it.
"""

from typing import NamedTuple

from ..policy.call_limits import CallLimits
from ..ports import (
    ABSENT_VERSION,
    Committed,
    Condition,
    NotRun,
    Reason,
    Transaction,
    Unavailable,
    Unknown,
    Write,
)
from ..state import early_cancel_key, job_key
from .services import EntryServices

MAX_STORED_PER_TEAM = 100
"""Most cancellations of unknown jobs which an entry stores for one team in
`WINDOW_SECONDS`."""

WINDOW_SECONDS = 60.0


class Prevented(NamedTuple):
    """The team's job can't be stored any more."""


class JobStored(NamedTuple):
    """The team's job has been stored meanwhile, so nothing was."""


class EarlyCancels:
    """Cancellations of jobs that are not stored.

    Args:
        services: ports and shared objects.
    """

    def __init__(self, services: EntryServices) -> None:
        self._table = services.table
        self._limits = CallLimits(
            MAX_STORED_PER_TEAM, WINDOW_SECONDS, services.clock.now
        )

    def store(
        self, queue: str, job_id: str, team: str
    ) -> Prevented | JobStored | NotRun | Unknown:
        """Store the cancellation of a team; the call is idempotent."""
        wait_seconds = self._limits.admit(team)
        if wait_seconds:
            detail = f"most cancellations of unknown jobs are {MAX_STORED_PER_TEAM}"
            return NotRun(Reason.LIMIT_REACHED, "cancel", "", detail, wait_seconds)
        row_key = job_key(queue, job_id)
        cancellation = Transaction(
            [Condition(row_key, ABSENT_VERSION)],
            [Write(early_cancel_key(queue, job_id, team), {})],
        )
        outcome = self._table.commit(cancellation)
        if isinstance(outcome, Committed):
            return Prevented()
        if isinstance(outcome, Unavailable):
            kind = Unknown if outcome.may_have_committed else NotRun
            return kind(outcome.reason, "cancel", outcome.peer, outcome.detail)
        rows = self._table.read([row_key])
        if isinstance(rows, Unavailable):
            return NotRun(rows.reason, "cancel", rows.peer, rows.detail)
        row = rows.get(row_key)
        # A job of another team keeps the id, so no job of this team can get it.
        is_of_other_team = row is not None and row.value["team"] != team
        return Prevented() if is_of_other_team else JobStored()
