"""Table wrapper for tests of lost answers."""

import random
from collections.abc import Sequence
from typing import Any

from ..ports import CommitOutcome, Reason, Transaction, Unavailable


class LossyTable:
    """Table wrapper that loses answers to commits, which may have taken effect.

    Args:
        table: table to which other calls are passed on.
        n_lost_answers: number of the next commits whose answers are lost.
        is_applied: whether these commits take effect.
        fault_rate: share of the other commits whose answers are lost, 0 to 1; half
            of these take effect.
        rng: source of randomness.
    """

    def __init__(
        self,
        table: Any,
        n_lost_answers: int = 0,
        is_applied: bool = True,
        fault_rate: float = 0.0,
        rng: random.Random | None = None,
    ) -> None:
        self._table = table
        self.n_lost_answers = n_lost_answers
        self.is_applied = is_applied
        self.fault_rate = fault_rate
        self.rng = rng or random.Random(0)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._table, name)

    def commit(self, transaction: Transaction) -> CommitOutcome:
        """Commit one transaction; the answer may get lost."""
        is_lost_by_count = self.n_lost_answers > 0
        if not is_lost_by_count and self.rng.random() >= self.fault_rate:
            return self._table.commit(transaction)
        self.n_lost_answers -= is_lost_by_count
        if self.is_applied if is_lost_by_count else self.rng.random() < 0.5:
            self._table.commit(transaction)
        return Unavailable(
            Reason.CONNECTION_LOST, "table-commit", may_have_committed=True
        )

    def commit_batch(self, transactions: Sequence[Transaction]) -> list[CommitOutcome]:
        """Commit independent transactions; each answer may get lost."""
        return [self.commit(transaction) for transaction in transactions]
