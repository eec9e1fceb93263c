"""Simulated table service for tests of the ownership."""

from collections.abc import Callable
from enum import StrEnum

from ...ports import Reason, Unavailable
from ...ports.async_table import Changes, Snapshot
from ...ports.table import (
    ABSENT_VERSION,
    CommitOutcome,
    Committed,
    Conflict,
    Row,
    RowKey,
    Transaction,
)

NO_ANSWER = Unavailable(Reason.TIMEOUT, "table-commit", "store", "", True)


class StoreLink(StrEnum):
    """What becomes of a daemon's commits; it can read unless the link is cut."""

    SOUND = "sound"
    CUT = "cut"
    UNANSWERED = "unanswered"
    LATE = "late"


class SimulatedStore:
    """Rows under versions from one counter; a commit may be carried out late."""

    def __init__(self) -> None:
        self.row_by_key: dict[RowKey, Row] = {}
        self.late_transactions: list[Transaction] = []
        self._version = 0

    def version_of(self, row_key: RowKey) -> int:
        """Return the version of a row; 0 if it is absent."""
        row = self.row_by_key.get(row_key)
        return row.version if row else ABSENT_VERSION

    def rows_of(self, table: str) -> list[Row]:
        """Return the rows of a table."""
        return [r for key, r in self.row_by_key.items() if key.table == table]

    def commit(self, transaction: Transaction) -> CommitOutcome:
        """Carry out a transaction."""
        keys = [condition.row_key for condition in transaction.conditions]
        differing = {
            key: self.version_of(key)
            for key, version in transaction.conditions
            if self.version_of(key) != version
        }
        if differing:
            rows = [self.row_by_key[key] for key in keys if key in self.row_by_key]
            return Conflict(differing, rows=rows)
        self._version += 1
        for key, value in transaction.writes:
            self.row_by_key[key] = Row(key, self._version, value or {})
        return Committed({write.row_key: self._version for write in transaction.writes})

    def carry_out_late(self) -> None:
        """Carry out the oldest transaction that was delayed."""
        if self.late_transactions:
            self.commit(self.late_transactions.pop(0))


class StoreClient:
    """A daemon's client of the simulated store; implements `AsyncTable`.

    Attributes:
        link: what becomes of the commits.
    """

    def __init__(self, store: SimulatedStore) -> None:
        self._store = store
        self.link = StoreLink.SOUND

    async def read_range(self, table: str, start: str = "", end: str = ""):
        """Read a table."""
        if self.link is StoreLink.CUT:
            return NO_ANSWER
        return Snapshot(self._store.rows_of(table), self._store._version)

    async def follow(self, table: str, after_version: int, wait_seconds: float):
        """Return the changed rows of a table without waiting for one."""
        if self.link is StoreLink.CUT:
            return NO_ANSWER
        rows = [r for r in self._store.rows_of(table) if r.version > after_version]
        return Changes(rows, self._store._version)

    async def commit(self, transaction: Transaction) -> CommitOutcome:
        """Commit a transaction, or lose it or its answer as the link says."""
        carry_out: Callable[[Transaction], object] | None = {
            StoreLink.CUT: None,
            StoreLink.LATE: self._store.late_transactions.append,
        }.get(self.link, self._store.commit)
        outcome = carry_out(transaction) if carry_out else None
        if self.link is StoreLink.SOUND:
            assert isinstance(outcome, Committed | Conflict)
            return outcome
        return NO_ANSWER


def run_now(coroutine):
    """Run a coroutine that waits for nothing outside of the test; return its result."""
    try:
        coroutine.send(None)
    except StopIteration as end:
        return end.value
    raise AssertionError("the coroutine waits")
