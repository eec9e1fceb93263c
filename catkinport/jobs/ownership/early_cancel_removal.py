"""Removes cancellations of jobs that were never stored, once they are outdated.

The owner removes them whichever daemon has stored them, so that none stay when a
process ends. Clocks of different processes can't be compared, so their age is counted
from the moment at which this owner has first read them.
"""

import asyncio
import logging
from collections.abc import Iterable
from typing import NamedTuple

from ...ports import Unavailable
from ...ports.async_table import AsyncTable
from ...ports.clock import Clock
from ...ports.table import (
    Committed,
    Condition,
    Conflict,
    Row,
    RowKey,
    Transaction,
    Write,
)
from ...runtime.logs import log_event
from ..early_cancels import KEEP_SECONDS
from ..tables import EARLY_CANCELS_TABLE, group_by_partition

logger = logging.getLogger(__name__)

CHECK_SECONDS = KEEP_SECONDS / 2
"""Time between two reads of all cancellations."""

MAX_ROWS_PER_COMMIT = 40
"""Most rows that one commit removes. The table service takes at most 100 entries in a
commit, and each row is both a condition and a removal."""


class _Seen(NamedTuple):
    """A row as it was read, and the clock time in seconds of the first such read."""

    version: int
    first_read_at: float


class EarlyCancelRemoval:
    """Remover of outdated cancellations of jobs that were never stored.

    Args:
        table: client of the table service.
        clock: steady clock.
    """

    def __init__(self, table: AsyncTable, clock: Clock) -> None:
        self._table = table
        self._clock = clock
        self._seen_by_key: dict[RowKey, _Seen] = {}

    async def run(self) -> None:
        """Remove outdated cancellations until the ownership ends."""
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            await self.remove_outdated()

    async def remove_outdated(self) -> None:
        """Read all cancellations, and remove those that were read long ago."""
        read_at = self._clock.now()
        snapshot = await self._table.read_range(EARLY_CANCELS_TABLE)
        if isinstance(snapshot, Unavailable):
            log_event(
                logger,
                "early cancellations not read",
                reason=snapshot.reason,
                peer=snapshot.peer,
            )
            return
        self._note_read(snapshot.rows, read_at)
        outdated = [
            key
            for key, seen in self._seen_by_key.items()
            if read_at - seen.first_read_at >= KEEP_SECONDS
        ]
        for keys in group_by_partition(outdated):
            for start in range(0, len(keys), MAX_ROWS_PER_COMMIT):
                await self._remove(keys[start : start + MAX_ROWS_PER_COMMIT])

    def _note_read(self, rows: Iterable[Row], read_at: float) -> None:
        """Remember the rows that are there, with the first read of each version."""
        before, self._seen_by_key = self._seen_by_key, {}
        for row in rows:
            seen = before.get(row.row_key)
            if seen is None or seen.version != row.version:
                seen = _Seen(row.version, read_at)
            self._seen_by_key[row.row_key] = seen

    async def _remove(self, keys: list[RowKey]) -> None:
        """Remove rows, but for those that have been written again meanwhile."""
        outcome = await self._commit_removal(keys)
        if isinstance(outcome, Conflict):
            left = [key for key in keys if key not in outcome.versions_by_row_key]
            outcome = await self._commit_removal(left) if left else outcome
        log_event(
            logger,
            "early cancellations removed",
            n_rows=len(keys),
            outcome=type(outcome).__name__,
        )

    async def _commit_removal(
        self, keys: list[RowKey]
    ) -> Committed | Conflict | Unavailable:
        conditions = [Condition(key, self._seen_by_key[key].version) for key in keys]
        removals = [Write(key, None) for key in keys]
        return await self._table.commit(Transaction(conditions, removals))
