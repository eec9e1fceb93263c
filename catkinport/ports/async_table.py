"""Interface to the table service for asyncio programs."""

from collections.abc import Sequence
from typing import NamedTuple, Protocol

from .outcomes import Unavailable
from .table import CommitOutcome, Committed, Conflict, Row, RowKey, Transaction


class Snapshot(NamedTuple):
    """Rows that were read, and the version after which to follow their changes."""

    rows: Sequence[Row]
    version: int


class Changes(NamedTuple):
    """Rows that changed after a version, oldest first.

    Args:
        rows: the changed rows; a removed one has the value ``None``.
        version: version after which the next call continues.
    """

    rows: Sequence[Row]
    version: int


class HistoryLost(NamedTuple):
    """Outcome when the store no longer has the changes; read the table again."""


class AsyncTable(Protocol):
    """Client of the table service."""

    async def read_range(
        self, table: str, start: str = "", end: str = ""
    ) -> Snapshot | Unavailable:
        """Read the rows with ``start <= key < end``; an empty ``end`` is no limit."""
        ...

    async def commit(self, transaction: Transaction) -> CommitOutcome:
        """Commit one transaction.

        All its rows are in the one partition of the store that pool owners write.
        """
        ...

    async def follow(
        self, table: str, after_version: int, wait_seconds: float
    ) -> Changes | HistoryLost | Unavailable:
        """Return changes after ``after_version``, waiting up to ``wait_seconds``."""
        ...


class CommitAttempts:
    """Repeats one commit whose outcome may be unknown.

    Conditions on every written row make a repetition idempotent: whichever attempt
    comes second conflicts. If the current rows in a conflict have the values of the
    transaction, an earlier attempt therefore took effect.

    Args:
        table: client of the table service.
        transaction: has a condition on at least one row that it writes. Only such rows
            tell whether an earlier attempt took effect.

    Attributes:
        n_sent: attempts so far.
        may_have_committed: whether an attempt without an answer may have taken effect,
            or may still do so. An attempt that was cancelled counts as one.
    """

    def __init__(self, table: AsyncTable, transaction: Transaction) -> None:
        self._table = table
        self._transaction = transaction
        self.n_sent = 0
        self.may_have_committed = False

    async def send(self) -> CommitOutcome:
        """Commit once more, and return what is known of all attempts."""
        was_undecided = self.may_have_committed
        self.n_sent += 1
        self.may_have_committed = True
        outcome = await self._table.commit(self._transaction)
        if isinstance(outcome, Unavailable):
            self.may_have_committed = was_undecided or outcome.may_have_committed
            return outcome._replace(may_have_committed=self.may_have_committed)
        self.may_have_committed = was_undecided
        if isinstance(outcome, Conflict) and was_undecided:
            versions = _versions_if_written(self._transaction, outcome.rows)
            if versions is not None:
                return Committed(versions)
        return outcome


async def commit_until_known(
    table: AsyncTable, transaction: Transaction, n_attempts: int
) -> CommitOutcome:
    """Commit, and retry while it is unknown whether the transaction took effect.

    Args:
        table: client of the table service.
        transaction: as that of `CommitAttempts`.
        n_attempts: maximum number of attempts, at least 1.
    """
    if n_attempts < 1:
        raise ValueError(f"n_attempts must be >= 1, got {n_attempts!r}")
    attempts = CommitAttempts(table, transaction)
    while True:
        outcome = await attempts.send()
        is_known = not isinstance(outcome, Unavailable)
        if is_known or attempts.n_sent == n_attempts:
            return outcome


def _versions_if_written(
    transaction: Transaction, rows: Sequence[Row]
) -> dict[RowKey, int] | None:
    row_by_key = {row.row_key: row for row in rows}
    conditional_keys = {condition.row_key for condition in transaction.conditions}
    writes = [w for w in transaction.writes if w.row_key in conditional_keys]
    if not writes:
        return None
    for write in writes:
        row = row_by_key.get(write.row_key)
        if (row.value if row else None) != write.value:
            return None
    return {
        write.row_key: row_by_key[write.row_key].version
        for write in writes
        if write.value is not None
    }
