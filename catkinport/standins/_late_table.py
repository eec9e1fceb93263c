"""Table wrapper for tests of commits that are carried out late."""

from collections import deque
from collections.abc import Callable, Sequence
from typing import Any

from ..ports import CommitOutcome, Reason, Transaction, Unavailable


class LateTable:
    """Table wrapper that holds commits back and carries them out when told to.

    The caller of a held commit gets no answer, as from a store that carries the commit
    out seconds later if its conditions still hold.

    Args:
        table: table to which other calls are passed on.
        n_held: number of the next selected commits that are held back.

    Attributes:
        is_selected: tells which commits may be held back; all, unless a test sets it.

    Example:
        >>> from catkinport.ports import RowKey, Write
        >>> from catkinport.standins import MemoryTable
        >>> table = LateTable(MemoryTable(), n_held=1)
        >>> key = RowKey("vms", "vm-1")
        >>> table.commit(Transaction([], [Write(key, {"a": 1})])).may_have_committed
        True
        >>> table.read([key])
        {}
        >>> _ = table.carry_out_held()
        >>> table.read([key])[key].value
        {'a': 1}
    """

    def __init__(self, table: Any, n_held: int = 0) -> None:
        self._table = table
        self._held: deque[Transaction] = deque()
        self.n_held = n_held
        self.is_selected: Callable[[Transaction], bool] = lambda transaction: True

    def __getattr__(self, name: str) -> Any:
        return getattr(self._table, name)

    def commit(self, transaction: Transaction) -> CommitOutcome:
        """Commit one transaction, or hold it back without an answer."""
        if self.n_held == 0 or not self.is_selected(transaction):
            return self._table.commit(transaction)
        self.n_held -= 1
        self._held.append(transaction)
        return Unavailable(Reason.TIMEOUT, "table-commit", may_have_committed=True)

    def commit_batch(self, transactions: Sequence[Transaction]) -> list[CommitOutcome]:
        """Commit independent transactions; each may be held back."""
        return [self.commit(transaction) for transaction in transactions]

    def carry_out_held(self) -> list[CommitOutcome]:
        """Carry out the held commits, oldest first, and return their outcomes."""
        outcomes = [self._table.commit(transaction) for transaction in self._held]
        self._held.clear()
        return outcomes
