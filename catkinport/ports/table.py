"""Interface to the platform's transactional table service."""

from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple, Protocol

from .outcomes import Unavailable

Value = dict[str, Any]
"""Value of a row: a JSON object."""

ABSENT_VERSION = 0
"""Version of a row that does not exist."""


class RowKey(NamedTuple):
    """Table and key that identify a row."""

    table: str
    key: str


class Row(NamedTuple):
    """A row as it was read; ``version`` is at least 1 and grows with each write."""

    row_key: RowKey
    version: int
    value: Value


class Condition(NamedTuple):
    """Condition that a row has ``version`` at commit; 0 means that it is absent."""

    row_key: RowKey
    version: int


class Write(NamedTuple):
    """New value of a row; ``None`` deletes the row."""

    row_key: RowKey
    value: Value | None


class Transaction(NamedTuple):
    """Writes that take effect all together, if every condition holds."""

    conditions: Sequence[Condition]
    writes: Sequence[Write]


class Committed(NamedTuple):
    """Outcome of a transaction that took effect, with the written rows' versions."""

    versions_by_row_key: Mapping[RowKey, int]


class Conflict(NamedTuple):
    """Outcome of a transaction that wrote nothing, since a condition did not hold.

    ``versions_by_row_key`` holds the current version of each row that differs.
    ``rows`` holds the current rows of all conditions, where the service returns them.
    """

    versions_by_row_key: Mapping[RowKey, int]
    step: str = "table-commit"
    peer: str = ""
    rows: Sequence[Row] = ()


class Page(NamedTuple):
    """Rows of a table in key order; ``next_after_key`` is ``None`` on the last page."""

    rows: Sequence[Row]
    next_after_key: str | None


CommitOutcome = Committed | Conflict | Unavailable


class Table(Protocol):
    """Client of the table service. All methods block and are thread-safe."""

    def read(self, row_keys: Sequence[RowKey]) -> dict[RowKey, Row] | Unavailable:
        """Read several rows in one consistent snapshot; missing rows are left out."""
        ...

    def scan(
        self, table: str, prefix: str = "", after_key: str = "", limit: int = 500
    ) -> Page | Unavailable:
        """Read a page of the rows whose key starts with ``prefix``."""
        ...

    def commit(self, transaction: Transaction) -> CommitOutcome:
        """Commit one transaction."""
        ...

    def commit_batch(self, transactions: Sequence[Transaction]) -> list[CommitOutcome]:
        """Commit independent transactions in one call, each on its own."""
        ...


def scan_all(table: Table, name: str, prefix: str = "") -> list[Row] | Unavailable:
    """Read every row of table ``name`` whose key starts with ``prefix``.

    Args:
        table: client of the table service.
        name: name of the table.
        prefix: start of the keys to read.

    Returns:
        The rows in key order, or the first failure. The pages are separate
        snapshots.
    """
    rows: list[Row] = []
    after_key = ""
    while True:
        page = table.scan(name, prefix, after_key)
        if isinstance(page, Unavailable):
            return page
        rows.extend(page.rows)
        if page.next_after_key is None:
            return rows
        after_key = page.next_after_key
