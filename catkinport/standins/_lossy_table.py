"""A table whose answers get lost."""

import random
from collections.abc import Sequence
from typing import Any

from ..ports import CommitOutcome, Reason, Transaction, Unavailable


class LossyTable:
    """Loses answers to commits of another table, before or after they take effect.

    Args:
        table: the table behind it.
        n_lost: the next this many answers are lost.
        is_applied: whether these commits take effect.
        fault_rate: part of the other answers that are lost; half of these commits
            take effect.
        rng: source of randomness.
    """

    def __init__(
        self,
        table: Any,
        n_lost: int = 0,
        is_applied: bool = True,
        fault_rate: float = 0.0,
        rng: random.Random | None = None,
    ) -> None:
        self._table = table
        self.n_lost = n_lost
        self.is_applied = is_applied
        self.fault_rate = fault_rate
        self.rng = rng or random.Random(0)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._table, name)

    def commit(self, transaction: Transaction) -> CommitOutcome:
        """Commit one transaction; the answer may get lost."""
        is_counted = self.n_lost > 0
        if not is_counted and self.rng.random() >= self.fault_rate:
            return self._table.commit(transaction)
        self.n_lost -= is_counted
        if self.is_applied if is_counted else self.rng.random() < 0.5:
            self._table.commit(transaction)
        return Unavailable(
            Reason.CONNECTION_LOST, "table-commit", may_have_committed=True
        )

    def commit_batch(self, transactions: Sequence[Transaction]) -> list[CommitOutcome]:
        """Commit independent transactions, each of whose answers may get lost."""
        return [self.commit(transaction) for transaction in transactions]
