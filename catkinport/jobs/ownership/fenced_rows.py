"""Rows that only the owner writes, under its fencing token and their last versions."""

import asyncio
import logging
from collections.abc import Iterable, Sequence

from ...ports import Unavailable
from ...ports.async_table import commit_until_known
from ...ports.table import (
    ABSENT_VERSION,
    CommitOutcome,
    Committed,
    Condition,
    Conflict,
    Row,
    RowKey,
    Transaction,
    Write,
)
from ...runtime.logs import log_event
from ..tables import OWNER_KEY
from .session import OwnerSession

logger = logging.getLogger(__name__)

MAX_CONFLICTS = 3
"""Conflicts with late writes of this owner after which a commit is given up; its caller
tries again later."""


class FencedRows:
    """Writer of rows that only the owner of the fleet writes.

    The table service may lose the answer to a write and carry the write out seconds
    later. Each write is therefore conditional on the last known version of each row
    that it replaces, so that a late one cannot replace a newer one.

    Calls that write the same row must not overlap, as each would make the other one
    conflict. A row that is removed must not have been absent when an earlier write
    without an answer was sent: an absent row has version 0 before its first write and
    after its removal, so that a late first write would restore it.

    Args:
        session: the ownership.
    """

    def __init__(self, session: OwnerSession) -> None:
        self._session = session
        self._version_by_row_key: dict[RowKey, int] = {}

    def note_read(self, rows: Iterable[Row]) -> None:
        """Remember the versions of rows that were read since the ownership began."""
        self._version_by_row_key.update({row.row_key: row.version for row in rows})

    def forget(self, row_key: RowKey) -> None:
        """Forget the version of a row that is not written any more."""
        self._version_by_row_key.pop(row_key, None)

    async def commit(
        self,
        writes: Sequence[Write],
        unconditional: Sequence[Write] = (),
        n_attempts: int = 1,
    ) -> CommitOutcome:
        """Write rows together; end the ownership if another daemon has taken over.

        After a conflict with a late write of this owner, the rows are written again,
        unless that write has given them these values. Its answer may come too late each
        time.

        Args:
            writes: rows that no late write may replace.
            unconditional: rows that may be replaced by a late write. Rows written with
                them are always written again, as a late write had others.
            n_attempts: maximum number of attempts while the outcome is unknown.

        Returns:
            The outcome. After an `Unavailable` that may have committed, the rows have
            the old or the new values, and may change to the new ones later.
        """
        for _ in range(MAX_CONFLICTS):
            transaction = self._make_transaction(writes, unconditional)
            outcome = await commit_until_known(
                self._session.table, transaction, n_attempts
            )
            if isinstance(outcome, Committed):
                self._note_written(writes, outcome)
            if not isinstance(outcome, Conflict):
                return outcome
            if OWNER_KEY in outcome.versions_by_row_key:
                self._session.depose("write-conflict")
                return outcome
            # Only this owner writes these rows, so the other version comes from one of
            # its writes that had no answer.
            self._version_by_row_key.update(outcome.versions_by_row_key)
            is_written = not unconditional and _holds(outcome.rows, writes)
            log_event(
                logger,
                "late commit detected",
                n_rows=len(outcome.versions_by_row_key),
                is_written=is_written,
                keys=",".join(key.key for key in outcome.versions_by_row_key),
            )
            if is_written:
                versions = {row.row_key: row.version for row in outcome.rows}
                return Committed(versions)
        return outcome

    async def commit_or_look(
        self, writes: Sequence[Write], look_seconds: float
    ) -> CommitOutcome:
        """Write rows of one table together; read them while there is no answer.

        It tells that the rows are stored, and not that this daemon still is the owner.

        Args:
            writes: rows that no late write may replace; none is removed.
            look_seconds: time from the call to the first read, and between reads.
        """
        commit = asyncio.ensure_future(self.commit(writes))
        look = asyncio.ensure_future(self._look_until_written(writes, look_seconds))
        try:
            await asyncio.wait({commit, look}, return_when=asyncio.FIRST_COMPLETED)
            return commit.result() if commit.done() else look.result()
        finally:
            commit.cancel()
            look.cancel()

    async def _look_until_written(
        self, writes: Sequence[Write], look_seconds: float
    ) -> Committed:
        row_keys = [write.row_key for write in writes]
        while True:
            await asyncio.sleep(look_seconds)
            written = await self.find_written(row_keys)
            if _holds(written, writes):
                return Committed({row.row_key: row.version for row in written})

    async def find_written(self, row_keys: Sequence[RowKey]) -> list[Row]:
        """Return the rows that writes without an answer have changed since.

        No earlier write can change such a row any more: each is conditional on an older
        version of it.

        Args:
            row_keys: keys of rows of one table.
        """
        first, last = min(row_keys), max(row_keys)
        outcome = await self._session.table.read_range(
            first.table, first.key, last.key + "\0"
        )
        if isinstance(outcome, Unavailable):
            return []
        written = [
            row
            for row in outcome.rows
            if row.row_key in row_keys
            and row.version != self._version_by_row_key.get(row.row_key, ABSENT_VERSION)
        ]
        self.note_read(written)
        return written

    def _make_transaction(
        self, writes: Sequence[Write], unconditional: Sequence[Write]
    ) -> Transaction:
        conditions = [self._session.owner_condition()]
        for write in writes:
            version = self._version_by_row_key.get(write.row_key, ABSENT_VERSION)
            conditions.append(Condition(write.row_key, version))
        return Transaction(conditions, [*writes, *unconditional])

    def _note_written(self, writes: Sequence[Write], outcome: Committed) -> None:
        for write in writes:
            if write.value is None:
                self.forget(write.row_key)
            else:
                version = outcome.versions_by_row_key[write.row_key]
                self._version_by_row_key[write.row_key] = version


def _holds(rows: Sequence[Row], writes: Sequence[Write]) -> bool:
    """Return whether the current rows have the values of the writes.

    A removal doesn't count: a late first write may restore an absent row.
    """
    value_by_key = {row.row_key: row.value for row in rows}
    return all(
        write.value is not None and value_by_key.get(write.row_key) == write.value
        for write in writes
    )
