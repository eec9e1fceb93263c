"""The stand-in's rows: parts, versions, transactions and a history of changes."""

import bisect
from collections import deque
from collections.abc import Callable, Mapping, Sequence
from typing import Any, NamedTuple

MAX_ENTRIES = 100
"""Most entries of one transaction, as the platform's documentation says."""

MAX_NAME_BYTES = 200
"""Longest table, part and key, as the platform's documentation says."""

MAX_PAGE_ROWS = 500
"""Most rows of one answer, as the platform's documentation says."""


class StoreKey(NamedTuple):
    """Full key of a row; a part is the unit that one transaction can cover."""

    table: str
    part: str
    key: str


class StoredRow(NamedTuple):
    """A row; ``value`` is the text that was written, ``None`` once it is removed."""

    key: StoreKey
    version: int
    value: str | None


class StoreError(Exception):
    """Error for a call that the store refuses.

    Args:
        status: HTTP status of the answer.
        reason: what is wrong.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class RowStore:
    """Rows in memory.

    Args:
        now: returns the time in seconds.
        history_seconds: how long changes are kept for `follow`.

    Example:
        >>> store = RowStore(lambda: 0.0, 20.0)
        >>> key = StoreKey("jobs", "a", "1")
        >>> store.commit({key: 0}, {key: "x"}, [])
        1
        >>> store.find_conflicts({key: 0})[0].version
        1
    """

    def __init__(self, now: Callable[[], float], history_seconds: float) -> None:
        self._now = now
        self._history_seconds = history_seconds
        self._row_by_key: dict[StoreKey, StoredRow] = {}
        self._keys_by_part: dict[tuple[str, str], list[str]] = {}
        self._changes: deque[tuple[float, StoredRow]] = deque()
        self._discarded_version = 0
        self.version = 0

    def get(self, key: StoreKey) -> StoredRow | None:
        """Return a row, or ``None`` if there is none."""
        return self._row_by_key.get(key)

    def find_conflicts(self, expected: Mapping[StoreKey, int]) -> list[StoredRow]:
        """Return the current rows that do not have the expected version.

        A row that does not exist has version 0 and no value.
        """
        conflicts = []
        for key, version in expected.items():
            row = self._row_by_key.get(key)
            if (row.version if row else 0) != version:
                conflicts.append(row or StoredRow(key, 0, None))
        return conflicts

    def commit(
        self,
        expected: Mapping[StoreKey, int],
        writes: Mapping[StoreKey, str],
        removals: Sequence[StoreKey],
    ) -> int | None:
        """Apply a transaction; return its version, or ``None`` after a conflict.

        Raises:
            StoreError: if it is too large or spans several parts.
        """
        keys = [*expected, *writes, *removals]
        if len(keys) > MAX_ENTRIES:
            raise StoreError(
                400,
                f"a transaction must have at most {MAX_ENTRIES} entries, "
                f"got {len(keys)}",
            )
        if len({key.part for key in keys}) > 1:
            raise StoreError(
                400, "all entries of a transaction must be in the same part"
            )
        if self.find_conflicts(expected):
            return None
        self.version += 1
        for key, value in writes.items():
            self._apply(StoredRow(key, self.version, value))
        for key in removals:
            if key in self._row_by_key:
                self._apply(StoredRow(key, self.version, None))
        return self.version

    def read(
        self, table: str, part: str, start: str, end: str | None, limit: int
    ) -> tuple[list[StoredRow], bool]:
        """Return the rows with ``start <= key < end``, and whether more follow."""
        keys = self._keys_by_part.get((table, part), [])
        first = bisect.bisect_left(keys, start)
        last = len(keys) if end is None else bisect.bisect_left(keys, end)
        n_rows = min(limit, MAX_PAGE_ROWS)
        found = keys[first : min(last, first + n_rows)]
        rows = [self._row_by_key[StoreKey(table, part, key)] for key in found]
        return rows, last - first > n_rows

    def follow(self, table: str, after: int) -> list[StoredRow]:
        """Return the changes of a table after a version, oldest first.

        Raises:
            StoreError: if some of them are no longer kept.
        """
        self._discard_old()
        if after < self._discarded_version:
            raise StoreError(
                410,
                f"changes are kept only after version {self._discarded_version}, "
                f"got {after}",
            )
        return [
            row
            for _, row in self._changes
            if row.version > after and row.key.table == table
        ]

    def compact(self) -> None:
        """Discard the whole history of changes."""
        self._changes.clear()
        self._discarded_version = self.version

    def _apply(self, row: StoredRow) -> None:
        self._changes.append((self._now(), row))
        keys = self._keys_by_part.setdefault((row.key.table, row.key.part), [])
        is_present = row.key in self._row_by_key
        if row.value is None:
            del self._row_by_key[row.key]
            del keys[bisect.bisect_left(keys, row.key.key)]
            return
        if not is_present:
            bisect.insort(keys, row.key.key)
        self._row_by_key[row.key] = row

    def _discard_old(self) -> None:
        oldest = self._now() - self._history_seconds
        while self._changes and self._changes[0][0] < oldest:
            self._discarded_version = self._changes.popleft()[1].version


def encode_row(row: StoredRow) -> dict[str, Any]:
    """Return a row as the store's answers hold it."""
    entry: dict[str, Any] = {
        "Table": row.key.table,
        "part": row.key.part,
        "Key": row.key.key,
        "Ver": row.version,
    }
    if row.value is None:
        entry["Tombstone"] = True
    else:
        entry["Value"] = row.value
    return entry


def decode_key(entry: Mapping[str, Any]) -> StoreKey:
    """Return the key of an entry of a transaction.

    Raises:
        StoreError: if it is malformed.
    """
    try:
        key = StoreKey(str(entry["Table"]), str(entry.get("part", "")), entry["Key"])
        n_bytes = max(len(name.encode()) for name in key)
    except (KeyError, TypeError, AttributeError, UnicodeEncodeError) as error:
        raise StoreError(
            400, f"an entry must have Table and Key, got {entry!r:.80}"
        ) from error
    if not key.table or not key.key or n_bytes > MAX_NAME_BYTES:
        raise StoreError(
            400,
            f"Table and Key must have 1 to {MAX_NAME_BYTES} bytes, got {entry!r:.80}",
        )
    return key
