"""The platform's metadata store as a table service."""

import asyncio
import base64
import json
import time
from collections.abc import Mapping, Sequence
from typing import Any

from ..policy.adaptive_timeout import AdaptiveTimeout
from ..ports import Reason, Unavailable
from ..ports.async_table import Changes, HistoryLost, Snapshot
from ..ports.table import (
    ABSENT_VERSION,
    CommitOutcome,
    Committed,
    Conflict,
    Row,
    RowKey,
    Transaction,
)
from .client import PlatformClient, Reply

CALL_SECONDS = 1.0
"""Longest wait for the answer to a read, which takes 4 ms when all is well."""

MIN_COMMIT_SECONDS = 0.6
"""Shortest wait for the answer to a commit, which takes 10 ms when all is well. Two
renewals of the ownership: an owner that waits longer for a lost answer is replaced."""

MAX_COMMIT_SECONDS = 3.0
"""Longest wait for the answer to a commit, as a part carries them out in turn and each
takes 0.3 s on a store that is fifty times as slow."""

FOLLOW_EXTRA_SECONDS = 0.7
"""Longest wait for the answer of a feed beyond the wait that was asked for; a silent
store is noticed after it."""

PART = "fleet"
"""The part of all rows that an owner writes, as a transaction covers one part only."""

SPREAD_TABLES = frozenset({"jobs"})
"""Tables whose rows callers' daemons write one by one, spread over parts by the first
character of the key. A part carries out one transaction after the other."""

SPREAD_CHARACTERS = "0123456789abcdef"
"""First characters of the keys of such tables."""

OPERATOR_TABLES = frozenset({"op", "servers", "status"})
"""Tables that the platform's pages define; their rows have no part."""

PAGE_ROWS = 500
"""Most rows of one answer."""


class PlatformTable:
    """Implements `ports.async_table.AsyncTable`.

    Args:
        client: HTTP client.
        address: ``host:port`` of the store.
    """

    def __init__(self, client: PlatformClient, address: str) -> None:
        self._client = client
        self._address = address
        self._commit_timeout = AdaptiveTimeout(MIN_COMMIT_SECONDS, MAX_COMMIT_SECONDS)

    async def read_range(
        self, table: str, start: str = "", end: str = ""
    ) -> Snapshot | Unavailable:
        """Read the rows with ``start <= key < end``.

        More than one page makes several snapshots; the version of the first one is
        returned, so that whoever follows on from it misses nothing.
        """
        if table in SPREAD_TABLES and not start:
            return await self._read_spread(table)
        return await self._read_part(table, _part_of(RowKey(table, start)), start, end)

    async def _read_spread(self, table: str) -> Snapshot | Unavailable:
        reads = [
            self._read_part(table, _part_of(RowKey(table, character)), "", "")
            for character in SPREAD_CHARACTERS
        ]
        rows: list[Row] = []
        versions = []
        for snapshot in await asyncio.gather(*reads):
            if isinstance(snapshot, Unavailable):
                return snapshot
            rows.extend(snapshot.rows)
            versions.append(snapshot.version)
        return Snapshot(rows, min(versions))

    async def _read_part(
        self, table: str, part: str, start: str, end: str
    ) -> Snapshot | Unavailable:
        rows: list[Row] = []
        version = -1
        while True:
            query = {"Table": table, "part": part, "From": start}
            if end:
                query["To"] = end
            began_at = time.monotonic()
            reply = await self._client.call(
                "table-read",
                "GET",
                self._address,
                "/rows-get",
                CALL_SECONDS,
                None,
                query,
            )
            if isinstance(reply, Unavailable):
                return reply
            self._commit_timeout.on_answer(time.monotonic() - began_at)
            if reply.status != 200:
                return self._unusable("table-read", reply)
            try:
                page = [decode_row(entry) for entry in reply.body["rows"]]
                page_version = int(reply.body["Ver"])
                is_truncated = bool(reply.body.get("Truncated"))
            except (KeyError, TypeError, ValueError) as error:
                return self._unreadable("table-read", error)
            rows.extend(row for row in page if row is not None)
            version = page_version if version < 0 else version
            if not is_truncated or not reply.body["rows"]:
                return Snapshot(rows, version)
            start = reply.body["rows"][-1]["Key"] + "\0"

    async def commit(self, transaction: Transaction) -> CommitOutcome:
        """Commit one transaction."""
        expected = [
            {**_encode_key(condition.row_key), "Ver": condition.version}
            for condition in transaction.conditions
        ]
        writes = [
            {**_encode_key(write.row_key), "Value": _encode_value(write.value)}
            for write in transaction.writes
            if write.value is not None
        ]
        removals = [
            _encode_key(write.row_key)
            for write in transaction.writes
            if write.value is None
        ]
        body = {"Expect": expected, "Writes": writes, "Remove": removals}
        began_at = time.monotonic()
        reply = await self._client.call(
            "table-commit",
            "POST",
            self._address,
            "/rows-tx",
            self._commit_timeout.seconds,
            body,
        )
        if isinstance(reply, Unavailable):
            return reply
        self._commit_timeout.on_answer(time.monotonic() - began_at)
        try:
            if reply.status == 200:
                version = int(reply.body["Ver"])
                return Committed({w.row_key: version for w in transaction.writes})
            if reply.status == 412:
                return self._conflict(transaction, reply.body["rows"])
        except (KeyError, TypeError, ValueError) as error:
            return self._unreadable("table-commit", error)
        return self._unusable("table-commit", reply)

    async def follow(
        self, table: str, after_version: int, wait_seconds: float
    ) -> Changes | HistoryLost | Unavailable:
        """Return the changes of a table after ``after_version``."""
        query = {
            "Table": table,
            "After": str(after_version),
            "WaitMs": str(int(wait_seconds * 1000)),
        }
        began_at = time.monotonic()
        reply = await self._client.call(
            "table-follow",
            "GET",
            self._address,
            "/rows-feed",
            wait_seconds + FOLLOW_EXTRA_SECONDS,
            None,
            query,
        )
        if isinstance(reply, Unavailable):
            return reply
        if reply.status == 410:
            return HistoryLost()
        if reply.status != 200:
            return self._unusable("table-follow", reply)
        try:
            rows = [decode_row(entry) for entry in reply.body["rows"]]
            version = int(reply.body["Ver"])
        except (KeyError, TypeError, ValueError) as error:
            return self._unreadable("table-follow", error)
        if not rows:
            extra_seconds = time.monotonic() - began_at - wait_seconds
            self._commit_timeout.on_answer(max(0.0, extra_seconds))
        return Changes([row for row in rows if row is not None], version)

    def _conflict(
        self, transaction: Transaction, entries: Sequence[Mapping[str, Any]]
    ) -> Conflict:
        rows = [row for row in map(decode_row, entries) if row is not None]
        version_by_key = {row.row_key: row.version for row in rows}
        differing = {}
        for condition in transaction.conditions:
            current = version_by_key.get(condition.row_key, ABSENT_VERSION)
            if current != condition.version:
                differing[condition.row_key] = current
        return Conflict(differing, "table-commit", self._address, rows)

    def _unreadable(self, step: str, error: Exception) -> Unavailable:
        detail = f"unreadable answer: {error!r}"
        return Unavailable(Reason.ANSWER_TRUNCATED, step, self._address, detail, True)

    def _unusable(self, step: str, reply: Reply) -> Unavailable:
        # Every error status of the store promises that nothing was done.
        detail = f"status {reply.status}: {reply.body!r}"[:200]
        return Unavailable(Reason.STORE_UNAVAILABLE, step, self._address, detail)


def decode_row(entry: Mapping[str, Any]) -> Row | None:
    """Decode a row; ``None`` for a row that does not exist.

    A value that is no JSON object, as another writer may leave it, becomes an empty
    object; the reader of the table then rejects it by its missing fields.
    """
    row_key = RowKey(str(entry["Table"]), str(entry["Key"]))
    if entry.get("Tombstone"):
        return Row(row_key, int(entry["Ver"]), None)  # type: ignore[arg-type]
    if "Value" not in entry:
        return None
    try:
        value = json.loads(base64.b64decode(entry["Value"]))
    except (ValueError, TypeError):
        value = {}
    if not isinstance(value, dict):
        value = {}
    return Row(row_key, int(entry["Ver"]), value)


def _part_of(row_key: RowKey) -> str:
    if row_key.table in OPERATOR_TABLES:
        return ""
    if row_key.table in SPREAD_TABLES:
        return f"{row_key.table}-{row_key.key[:1]}"
    return PART


def _encode_key(row_key: RowKey) -> dict[str, str]:
    return {
        "Table": row_key.table,
        "part": _part_of(row_key),
        "Key": row_key.key,
    }


def _encode_value(value: Mapping[str, Any]) -> str:
    return base64.b64encode(json.dumps(value, separators=(",", ":")).encode()).decode()
