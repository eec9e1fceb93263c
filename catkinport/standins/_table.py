"""In-memory transactional table, which holds the state of the platform stand-in."""

import bisect
import threading
from collections.abc import Sequence

from ..ports import (
    ABSENT_VERSION,
    CommitOutcome,
    Committed,
    Condition,
    Conflict,
    Page,
    Row,
    RowKey,
    Transaction,
)

# Tables whose writes are all recorded, so that tests can check every state they had.
TABLES_WITH_HISTORY = frozenset({"pools", "vms", "owners"})


class MemoryTable:
    """In-memory implementation of ``ports.Table``, also a fake for unit tests.

    Versions come from one sequence, so that a row that is deleted and written again
    gets a version that it never had.

    Example:
        >>> from catkinport.ports import Write
        >>> table = MemoryTable()
        >>> key = RowKey("vms", "vm-1")
        >>> _ = table.commit(Transaction([Condition(key, 0)], [Write(key, {"a": 1})]))
        >>> table.read([key])[key].value
        {'a': 1}
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._row_by_key: dict[RowKey, Row] = {}
        self._sorted_keys_by_table: dict[str, list[str]] = {}
        self._sequence = 0
        self._history: list[tuple[str, int, str, dict | None]] = []

    def list_history(self, table: str) -> list[tuple[int, str, dict | None]]:
        """Return version, key and value of every write of a recorded table."""
        with self._lock:
            return [entry[1:] for entry in self._history if entry[0] == table]

    def read(self, row_keys: Sequence[RowKey]) -> dict[RowKey, Row]:
        """Return the rows that exist among ``row_keys``."""
        with self._lock:
            return {
                key: self._row_by_key[key]
                for key in row_keys
                if key in self._row_by_key
            }

    def scan(
        self, table: str, prefix: str = "", after_key: str = "", limit: int = 500
    ) -> Page:
        """Return a page of rows in key order."""
        with self._lock:
            keys = self._sorted_keys_by_table.get(table, [])
            start = bisect.bisect_left(keys, prefix)
            if after_key:
                start = max(start, bisect.bisect_right(keys, after_key))
            selected = keys[start : start + limit + 1]
            matching = [key for key in selected if key.startswith(prefix)]
            page = matching[:limit]
            rows = [self._row_by_key[RowKey(table, key)] for key in page]
            has_more = len(matching) > limit
            return Page(rows, page[-1] if has_more else None)

    def commit(self, transaction: Transaction) -> CommitOutcome:
        """Apply one transaction if its conditions hold."""
        with self._lock:
            conflicts = self._find_conflicts(transaction.conditions)
            if conflicts:
                return Conflict(conflicts)
            self._sequence += 1
            for row_key, value in transaction.writes:
                self._apply(row_key, value)
            written = {write.row_key: self._sequence for write in transaction.writes}
            return Committed(written)

    def commit_batch(self, transactions: Sequence[Transaction]) -> list[CommitOutcome]:
        """Apply independent transactions in order."""
        return [self.commit(transaction) for transaction in transactions]

    def _find_conflicts(self, conditions: Sequence[Condition]) -> dict[RowKey, int]:
        conflicts = {}
        for row_key, version in conditions:
            row = self._row_by_key.get(row_key)
            current = row.version if row else ABSENT_VERSION
            if current != version:
                conflicts[row_key] = current
        return conflicts

    def _apply(self, row_key: RowKey, value: dict | None) -> None:
        if row_key.table in TABLES_WITH_HISTORY:
            self._history.append((row_key.table, self._sequence, row_key.key, value))
        keys = self._sorted_keys_by_table.setdefault(row_key.table, [])
        is_known = row_key in self._row_by_key
        if value is None:
            if is_known:
                del self._row_by_key[row_key]
                del keys[bisect.bisect_left(keys, row_key.key)]
            return
        if not is_known:
            bisect.insort(keys, row_key.key)
        self._row_by_key[row_key] = Row(row_key, self._sequence, value)
