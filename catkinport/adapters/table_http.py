"""HTTP client of the table service."""

from collections.abc import Sequence
from urllib.parse import urlencode

from ..ports import (
    CommitOutcome,
    Committed,
    Conflict,
    Page,
    Row,
    RowKey,
    Transaction,
    Unavailable,
)
from ._http_client import HttpClient


class HttpTable:
    """Client of the table service.

    Args:
        client: HTTP client of the service.
    """

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    def read(self, row_keys: Sequence[RowKey]) -> dict[RowKey, Row] | Unavailable:
        """Read several rows in one consistent snapshot; missing rows are left out."""
        body = {"row_keys": [list(row_key) for row_key in row_keys]}
        reply = self._client.call("table-read", "POST", "/table/read", body)
        if isinstance(reply, Unavailable):
            return reply
        rows = [_parse_row(entry) for entry in reply.decode()["rows"]]
        return {row.row_key: row for row in rows}

    def scan(
        self, table: str, prefix: str = "", after_key: str = "", limit: int = 500
    ) -> Page | Unavailable:
        """Read a page of the rows whose key starts with ``prefix``."""
        query = urlencode(
            {"table": table, "prefix": prefix, "after_key": after_key, "limit": limit}
        )
        reply = self._client.call("table-scan", "GET", f"/table/scan?{query}")
        if isinstance(reply, Unavailable):
            return reply
        body = reply.decode()
        return Page([_parse_row(row) for row in body["rows"]], body["next_after_key"])

    def commit(self, transaction: Transaction) -> CommitOutcome:
        """Commit one transaction."""
        return self.commit_batch([transaction])[0]

    def commit_batch(self, transactions: Sequence[Transaction]) -> list[CommitOutcome]:
        """Commit independent transactions in one call; each may succeed or conflict."""
        body = {"transactions": [_transaction_to_dict(t) for t in transactions]}
        reply = self._client.call("table-commit", "POST", "/table/commit", body)
        if isinstance(reply, Unavailable):
            return [reply] * len(transactions)
        return [self._parse_result(result) for result in reply.decode()["results"]]

    def _parse_result(self, result: dict) -> CommitOutcome:
        versions = {RowKey(t, k): version for t, k, version in result["versions"]}
        if result["is_committed"]:
            return Committed(versions)
        return Conflict(versions, peer=self._client.address)


def _parse_row(entry: list) -> Row:
    table, key, version, value = entry
    return Row(RowKey(table, key), version, value)


def _transaction_to_dict(transaction: Transaction) -> dict:
    return {
        "conditions": [[*c.row_key, c.version] for c in transaction.conditions],
        "writes": [[*w.row_key, w.value] for w in transaction.writes],
    }
