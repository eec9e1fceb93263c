"""The platform's transactional table service."""

from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple, Protocol

from .outcomes import Unavailable

Value = dict[str, Any]
"""A row's value: an object that JSON can carry."""

ABSENT_VERSION = 0
"""Version of a row that does not exist."""


class RowKey(NamedTuple):
    """Name of a row."""

    table: str
    key: str


class Row(NamedTuple):
    """A row as it was read; ``version`` is at least 1 and grows with each write."""

    row_key: RowKey
    version: int
    value: Value


class Condition(NamedTuple):
    """Requires a row to have ``version`` at commit; 0 requires it to be absent."""

    row_key: RowKey
    version: int


class Write(NamedTuple):
    """Sets a row's value, or deletes the row when ``value`` is ``None``."""

    row_key: RowKey
    value: Value | None


class Transaction(NamedTuple):
    """Writes that take effect all together, if every condition holds."""

    conditions: Sequence[Condition]
    writes: Sequence[Write]


class Committed(NamedTuple):
    """The transaction took effect; holds the new version of each written row."""

    versions_by_row_key: Mapping[RowKey, int]


class Conflict(NamedTuple):
    """A condition did not hold, so nothing was written.

    ``versions_by_row_key`` holds the current version of each row that differs.
    ``rows`` holds the current rows of all conditions, where the service returns them.
    """

    versions_by_row_key: Mapping[RowKey, int]
    step: str = "table-commit"
    peer: str = ""
    rows: Sequence[Row] = ()


class Page(NamedTuple):
    """Rows of a table in key order; ``next_after_key`` is ``None`` at the end."""

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
