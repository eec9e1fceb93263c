"""A table that can lose the answer to a commit and carry the commit out later."""

from collections import deque

from ...ports import Reason, Unavailable
from ...ports.async_table import Snapshot
from ...ports.table import CommitOutcome, Committed, Transaction, Write
from ...standins._table import MemoryTable
from ..tables import OWNER_KEY

LOST = Unavailable(Reason.TIMEOUT, "table-commit", "store", "no answer", True)


class LateTable:
    """In-memory `AsyncTable` whose commits the test can delay.

    Attributes:
        n_lost: how many of the next commits get no answer and are held back.
    """

    def __init__(self) -> None:
        self.memory = MemoryTable()
        self.n_lost = 0
        self._held: deque[Transaction] = deque()

    def claim(self) -> int:
        """Write the owner's row; return its version, the fencing token."""
        outcome = self.memory.commit(Transaction([], [Write(OWNER_KEY, {})]))
        assert isinstance(outcome, Committed)
        return outcome.versions_by_row_key[OWNER_KEY]

    def carry_out_held(self) -> None:
        """Carry out the commits that were held back, where their conditions hold."""
        while self._held:
            self.memory.commit(self._held.popleft())

    async def read_range(self, table: str, start: str = "", end: str = "") -> Snapshot:
        rows = self.memory.scan(table).rows
        kept = [r for r in rows if start <= r.row_key.key and not end]
        return Snapshot(kept, max((r.version for r in kept), default=0))

    async def commit(self, transaction: Transaction) -> CommitOutcome:
        if self.n_lost:
            self.n_lost -= 1
            self._held.append(transaction)
            return LOST
        return self.memory.commit(transaction)
