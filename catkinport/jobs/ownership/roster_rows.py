"""Assigns the workers of the roster to rows of bounded size.

A row names workers of one pool. The table service refuses rows that are too large, so a
large pool has several. A worker stays in its row, so that a change writes few of them.
"""

import json
from collections.abc import Collection, Iterable, Mapping
from typing import TypedDict

MAX_WORKERS_PER_ROW = 50
"""Most workers in a row. With `MAX_ENTRY_BYTES` it keeps each row below
`tables.MAX_ROW_BYTES`."""

MAX_ENTRY_BYTES = 1_100
"""Largest entry of a worker as JSON text, its id included."""


class RosterEntry(TypedDict):
    """What a row holds of a worker.

    Attributes:
        vm: id of its VM; empty while unknown.
        address: ``host:port`` of the worker.
        zone: its availability zone.
        capacity: cores, memory in GB and accelerators.
        labels: its labels.
        started_at: Unix time in seconds at which its newest known incarnation started.
        has_former_leases: whether a lease may be in force that a call for a former
            incarnation has granted.
    """

    vm: str
    address: str
    zone: str
    capacity: list[float]
    labels: list[str]
    started_at: float
    has_former_leases: bool


EntriesById = Mapping[str, RosterEntry]


def fits_row(worker_id: str, entry: RosterEntry) -> bool:
    """Return whether a row can hold the entry of a worker."""
    return len(json.dumps({worker_id: entry})) <= MAX_ENTRY_BYTES


class RosterRows:
    """Names of the rows in which workers are.

    Example:
        >>> rows = RosterRows()
        >>> rows.place("w1", "render")
        'render'
        >>> [rows.place(f"v{number}", "render") for number in range(50)][-1]
        'render#1'
    """

    def __init__(self) -> None:
        self._pool_by_row: dict[str, str] = {}
        self._ids_by_row: dict[str, set[str]] = {}
        self._row_by_id: dict[str, str] = {}

    @property
    def pool_by_row(self) -> Mapping[str, str]:
        """Pool of each row, by the name of the row."""
        return self._pool_by_row

    def restore(self, row: str, pool: str, worker_ids: Iterable[str]) -> None:
        """Add a row that is stored, and its workers."""
        self._add_row(row, pool)
        for worker_id in worker_ids:
            self._assign(worker_id, row)

    def place(self, worker_id: str, pool: str) -> str:
        """Return the row of a worker, which is another one in another pool."""
        row = self._row_by_id.get(worker_id)
        if row is not None and self._pool_by_row[row] == pool:
            return row
        self.release(worker_id)
        row = self._find_row_with_room(pool)
        self._assign(worker_id, row)
        return row

    def release(self, worker_id: str) -> None:
        """Forget a worker, whose place another one may take."""
        row = self._row_by_id.pop(worker_id, None)
        if row is not None:
            self._ids_by_row[row].discard(worker_id)

    def release_others(self, worker_ids: Iterable[str]) -> None:
        """Forget all workers but the given ones."""
        for worker_id in self._row_by_id.keys() - set(worker_ids):
            self.release(worker_id)

    def _find_row_with_room(self, pool: str) -> str:
        number = 0
        while True:
            # Another pool may have the name of a further row of this one.
            row = f"{pool}#{number}" if number else pool
            if self._pool_by_row.get(row, pool) == pool:
                self._add_row(row, pool)
                if len(self._ids_by_row[row]) < MAX_WORKERS_PER_ROW:
                    return row
            number += 1

    def _add_row(self, row: str, pool: str) -> None:
        self._pool_by_row[row] = pool
        self._ids_by_row.setdefault(row, set())

    def _assign(self, worker_id: str, row: str) -> None:
        self.release(worker_id)
        self._row_by_id[worker_id] = row
        self._ids_by_row[row].add(worker_id)


def group_linked(
    changed: Mapping[str, EntriesById], rows_by_id: Mapping[str, Collection[str]]
) -> list[set[str]]:
    """Group changed rows so that a worker leaves a row as it enters another one.

    Args:
        changed: entries that the rows are to have, by row.
        rows_by_id: rows that may name each worker.

    Returns:
        The names of the rows of each group.
    """
    groups: list[set[str]] = []
    for row, entries in changed.items():
        former_rows = {
            former for worker_id in entries for former in rows_by_id.get(worker_id, ())
        }
        linked = {row} | (former_rows & changed.keys())
        touching = [group for group in groups if not group.isdisjoint(linked)]
        groups = [group for group in groups if group.isdisjoint(linked)]
        groups.append(linked.union(*touching))
    return groups
