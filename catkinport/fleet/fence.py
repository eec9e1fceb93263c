"""Fencing of writes by the row that names a pool's owner."""

from typing import NamedTuple

from ..ports import Condition, RowKey
from ..state import owner_key


class Fence(NamedTuple):
    """The owner's row of ``pool`` at the version that the ownership rests on.

    Example:
        >>> Fence("renders", 7).condition.version
        7
    """

    pool: str
    version: int

    @property
    def row_key(self) -> RowKey:
        """Row that names the owner."""
        return owner_key(self.pool)

    @property
    def condition(self) -> Condition:
        """Condition that fails once the pool has another owner."""
        return Condition(self.row_key, self.version)
