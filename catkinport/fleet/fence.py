"""Condition by which the store rejects writes of a former owner of a pool."""

from typing import NamedTuple

from ..ports import Condition, RowKey
from ..state import owner_key


class Fence(NamedTuple):
    """The row that names the owner of ``pool``, at the version that this owner wrote.

    A take-over by another owner changes the row, so that the condition then fails.

    Example:
        >>> Fence("renders", 7).condition.version
        7
    """

    pool: str
    version: int

    @property
    def row_key(self) -> RowKey:
        """Key of the row that names the owner."""
        return owner_key(self.pool)

    @property
    def condition(self) -> Condition:
        """Condition that fails once the pool has another owner."""
        return Condition(self.row_key, self.version)
