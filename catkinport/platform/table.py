"""Client of the platform's metadata store.

The store divides its rows into parts (partitions). A transaction covers one part
only, and a part carries out its transactions one after the other.
"""

import asyncio
import base64
import json
from collections.abc import Mapping
from typing import Any, NamedTuple

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
from . import decoding
from .client import PlatformClient, Reply

READ_TIMEOUT_SECONDS = 1.0
"""Lower bound of the wait for the answer to a read to begin, which takes 4 ms without
faults."""

MAX_READ_TIMEOUT_SECONDS = 4.0
"""Upper bound of the wait for the answer to a read to begin, and of the wait for the
answer of a feed beyond the requested one."""

LATENCY_FACTOR = 3.0
"""Timeout of reads, of feeds and of the commits of a part as a multiple of the average
time of their answers."""

MAX_TABLE_CONNECTIONS = 32
"""Most connections of a daemon to the store. Feeds and reads of whole tables take about
six for seconds; the others are for calls of callers and of the owner."""

MIN_COMMIT_TIMEOUT_SECONDS = 0.6
"""Lower bound of the wait for the answer to a commit, which takes 10 ms without faults.
It is the time of two renewals of the owner's lease: an owner that waits longer for a
lost answer is replaced."""

MAX_COMMIT_TIMEOUT_SECONDS = 3.0
"""Upper bound of the wait for the answer to a commit. Commits queue in their part, and
each takes 0.3 s on a store that is fifty times slower than usual."""

N_LOST_COMMIT_ANSWERS = 2
"""Commits of a part in a row without an answer after which the next one waits longer.
Most answers that are lost are lost singly."""

FOLLOW_TIMEOUT_MARGIN_SECONDS = 0.7
"""Lower bound of how much later than after the requested wait the answer of a feed may
begin. A store that has stopped answering is detected after it."""

OWNER_PART = "fleet"
"""The one part of all rows that an owner writes, as a transaction covers one part."""

SHARDED_TABLES = frozenset({"jobs", "early-cancels"})
"""Tables whose rows the daemons write one at a time for callers. They are spread over
several parts by the first character of the key, as each part runs one transaction at a
time."""

SHARD_PREFIX = "jobs"
"""Start of the names of these parts. The rows of one job in different tables are in one
part."""

SHARD_CHARACTERS = "0123456789abcdef"
"""First characters of the keys of sharded tables."""

MAX_SHARD_READS = 3
"""Most parts of a sharded table that are read at once. On a slow link the answers of
all 16 would wait behind each other for longer than a read may pause, and so would the
answers to renewals of the ownership."""

MAX_FAR_SHARD_READS = 16
"""Most parts of a sharded table that are read at once from a store that is far away,
where one round after the other would take seconds: all of them."""

FAR_LATENCY_SECONDS = 0.3
"""Average time of an answer, before the reads fill the link, from which on a store is
far away."""

SHARD_READ_ATTEMPTS = 3
"""Attempts to read one part before the whole table counts as not read."""

OPERATOR_TABLES = frozenset({"op", "servers", "status"})
"""Tables that the platform's documentation defines; their rows have no part."""

PAGE_ROWS = 500
"""Most rows of one answer of the store."""

REREAD_TABLES = frozenset({"servers"})
"""Tables that are read as a whole again and again, and of whose rows few change between
two reads. Rows are decoded once for each version."""


_NO_ROWS: Mapping[RowKey, Row] = {}


class PlatformTable:
    """Implements `ports.async_table.AsyncTable`.

    Args:
        client: HTTP client.
        address: ``host:port`` of the store.
    """

    def __init__(self, client: PlatformClient, address: str) -> None:
        self._client = client
        self._address = address
        self._commit_timeout = AdaptiveTimeout(
            MIN_COMMIT_TIMEOUT_SECONDS, MAX_COMMIT_TIMEOUT_SECONDS
        )
        self._rows_by_key_by_table: dict[str, dict[RowKey, Row]] = {}
        # Commits of a part with a queue are slow while all else is as fast as usual.
        self._commit_timeout_by_part: dict[str, AdaptiveTimeout] = {}
        self._read_timeout = AdaptiveTimeout(
            READ_TIMEOUT_SECONDS, MAX_READ_TIMEOUT_SECONDS, LATENCY_FACTOR
        )
        self._follow_margin = AdaptiveTimeout(
            FOLLOW_TIMEOUT_MARGIN_SECONDS, MAX_READ_TIMEOUT_SECONDS, LATENCY_FACTOR
        )

    def _note_latency(self, seconds: float) -> None:
        """Record the time that the store took for an answer without waiting."""
        self._commit_timeout.on_answer(seconds)
        self._read_timeout.on_answer(seconds)
        self._follow_margin.on_answer(seconds)

    async def read_range(
        self, table: str, start: str = "", end: str = ""
    ) -> Snapshot | Unavailable:
        """Read the rows with ``start <= key < end``.

        Each page is a snapshot of its own. The version of the first one is returned, so
        that a reader that follows the changes from there misses none.
        """
        if table in SHARDED_TABLES and not start:
            return await self._read_sharded(table)
        return await self._read_part(table, _part_of(RowKey(table, start)), start, end)

    async def _read_sharded(self, table: str) -> Snapshot | Unavailable:
        is_far = self._read_timeout.average_seconds >= FAR_LATENCY_SECONDS
        turns = asyncio.Semaphore(MAX_FAR_SHARD_READS if is_far else MAX_SHARD_READS)
        reads = [
            self._read_shard(table, _part_of(RowKey(table, character)), turns)
            for character in SHARD_CHARACTERS
        ]
        rows: list[Row] = []
        versions = []
        for snapshot in await asyncio.gather(*reads):
            if isinstance(snapshot, Unavailable):
                return snapshot
            rows.extend(snapshot.rows)
            versions.append(snapshot.version)
        return Snapshot(rows, min(versions))

    async def _read_shard(
        self, table: str, part: str, turns: asyncio.Semaphore
    ) -> Snapshot | Unavailable:
        """Read a part among others; after a failure only this part is read again."""
        async with turns:
            for _ in range(SHARD_READ_ATTEMPTS):
                outcome = await self._read_part(table, part, "", "")
                if not isinstance(outcome, Unavailable):
                    break
        return outcome

    async def _read_part(
        self, table: str, part: str, start: str, end: str
    ) -> Snapshot | Unavailable:
        rows: list[Row] = []
        version = -1
        row_by_key = self._rows_by_key_by_table.get(table, {})
        while True:
            query = {"Table": table, "part": part, "From": start}
            if end:
                query["To"] = end
            timeout_seconds = self._read_timeout.seconds
            reply = await self._client.call(
                "table-read",
                "GET",
                self._address,
                "/rows-get",
                timeout_seconds,
                None,
                query,
                is_size_bounded=False,
            )
            if isinstance(reply, Unavailable):
                if reply.reason is Reason.TIMEOUT:
                    self._read_timeout.on_timeout(timeout_seconds)
                return reply
            self._note_latency(reply.wait_seconds)
            if reply.status != 200:
                return self._unexpected_status("table-read", reply)
            try:
                page = _decode_page(reply.body, row_by_key)
            except decoding.MessageError as error:
                return self._malformed_answer("table-read", error)
            rows.extend(page.rows)
            version = page.version if version < 0 else version
            if not page.is_truncated:
                if table in REREAD_TABLES:
                    by_key = {row.row_key: row for row in rows}
                    self._rows_by_key_by_table[table] = by_key
                return Snapshot(rows, version)
            if not page.rows:
                error = decoding.MessageError("a truncated page has no rows")
                return self._malformed_answer("table-read", error)
            start = page.rows[-1].row_key.key + "\0"

    async def commit(self, transaction: Transaction) -> CommitOutcome:
        """Commit a transaction; all its rows must be in one partition of the store."""
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
        part_timeout = self._find_part_timeout(transaction)
        timeout_seconds = max(part_timeout.seconds, self._commit_timeout.seconds)
        reply = await self._client.call(
            "table-commit",
            "POST",
            self._address,
            "/rows-tx",
            timeout_seconds,
            body,
        )
        if isinstance(reply, Unavailable):
            if reply.reason is Reason.TIMEOUT:
                part_timeout.on_timeout(timeout_seconds)
            return reply
        part_timeout.on_answer(reply.wait_seconds)
        self._commit_timeout.on_answer(reply.wait_seconds)
        try:
            if reply.status == 200:
                message = decoding.mapping(reply.body, "the answer to a commit")
                version = decoding.integer(message, "Ver")
                return Committed({w.row_key: version for w in transaction.writes})
            if reply.status == 412:
                return self._decode_conflict(transaction, reply.body)
        except decoding.MessageError as error:
            return self._malformed_answer("table-commit", error)
        return self._unexpected_status("table-commit", reply)

    def _find_part_timeout(self, transaction: Transaction) -> AdaptiveTimeout:
        """Return the timeout that follows the commits of the transaction's part."""
        part = _part_of(transaction.writes[0].row_key) if transaction.writes else ""
        timeout = self._commit_timeout_by_part.get(part)
        if timeout is None:
            timeout = self._commit_timeout_by_part[part] = AdaptiveTimeout(
                MIN_COMMIT_TIMEOUT_SECONDS,
                MAX_COMMIT_TIMEOUT_SECONDS,
                LATENCY_FACTOR,
                N_LOST_COMMIT_ANSWERS,
            )
        return timeout

    async def follow(
        self, table: str, after_version: int, wait_seconds: float
    ) -> Changes | HistoryLost | Unavailable:
        """Return the changes of a table after ``after_version``.

        Without changes, the call waits for the first one up to ``wait_seconds``.
        `HistoryLost` means that the store no longer keeps all of them.
        """
        query = {
            "Table": table,
            "After": str(after_version),
            "WaitMs": str(int(wait_seconds * 1000)),
        }
        margin_seconds = self._follow_margin.seconds
        reply = await self._client.call(
            "table-follow",
            "GET",
            self._address,
            "/rows-feed",
            max(wait_seconds + margin_seconds, READ_TIMEOUT_SECONDS),
            None,
            query,
            is_size_bounded=False,
        )
        if isinstance(reply, Unavailable):
            if reply.reason is Reason.TIMEOUT:
                self._follow_margin.on_timeout(margin_seconds)
            return reply
        if reply.status == 410:
            return HistoryLost()
        if reply.status != 200:
            return self._unexpected_status("table-follow", reply)
        try:
            page = _decode_page(reply.body)
        except decoding.MessageError as error:
            return self._malformed_answer("table-follow", error)
        if not page.rows:
            # The store answers without changes only after ``wait_seconds``.
            self._note_latency(max(0.0, reply.wait_seconds - wait_seconds))
        return Changes(page.rows, page.version)

    def _decode_conflict(self, transaction: Transaction, body: Any) -> Conflict:
        rows = _decode_rows(decoding.mapping(body, "the answer to a commit"))
        version_by_key = {row.row_key: row.version for row in rows}
        differing = {}
        for condition in transaction.conditions:
            current = version_by_key.get(condition.row_key, ABSENT_VERSION)
            if current != condition.version:
                differing[condition.row_key] = current
        return Conflict(differing, "table-commit", self._address, rows)

    def _malformed_answer(self, step: str, error: Exception) -> Unavailable:
        detail = f"unreadable answer: {error!r}"
        return Unavailable(Reason.ANSWER_TRUNCATED, step, self._address, detail, True)

    def _unexpected_status(self, step: str, reply: Reply) -> Unavailable:
        # The store answers with an error status only if it has done nothing.
        detail = f"status {reply.status}: {reply.body!r}"[:200]
        return Unavailable(Reason.STORE_UNAVAILABLE, step, self._address, detail)


class _Page(NamedTuple):
    """Rows of one answer; ``is_truncated`` if the range has more of them."""

    rows: list[Row]
    version: int
    is_truncated: bool


def _decode_page(body: Any, row_by_key: Mapping[RowKey, Row] = _NO_ROWS) -> _Page:
    """Decode an answer; take rows that have not changed from ``row_by_key``."""
    message = decoding.mapping(body, "the answer of the store")
    return _Page(
        _decode_rows(message, row_by_key),
        decoding.integer(message, "Ver"),
        bool(message.get("Truncated")),
    )


def _decode_rows(
    message: Mapping[str, Any], row_by_key: Mapping[RowKey, Row] = _NO_ROWS
) -> list[Row]:
    entries = decoding.required_objects(message, "rows")
    rows = (_find_row(entry, row_by_key) or decode_row(entry) for entry in entries)
    return [row for row in rows if row is not None]


def _find_row(entry: Mapping[str, Any], row_by_key: Mapping[RowKey, Row]) -> Row | None:
    """Return the row of an entry if it was decoded before, in the same version."""
    if not row_by_key or "Value" not in entry or entry.get("Tombstone"):
        return None
    try:
        row = row_by_key.get(RowKey(entry["Table"], entry["Key"]))
    except (KeyError, TypeError):
        return None
    return row if row is not None and row.version == entry.get("Ver") else None


def decode_row(entry: Mapping[str, Any]) -> Row | None:
    """Decode a row; ``None`` for a row that does not exist.

    Other programs may write values that are not JSON objects. Such a value becomes an
    empty object, which the reader of the table rejects as its fields are missing.

    Raises:
        MessageError: if the entry lacks its table, key or version.
    """
    row_key = RowKey(decoding.string(entry, "Table"), decoding.string(entry, "Key"))
    if entry.get("Tombstone"):
        version = decoding.integer(entry, "Ver")
        return Row(row_key, version, None)  # type: ignore[arg-type]
    if "Value" not in entry:
        return None
    try:
        value = json.loads(base64.b64decode(entry["Value"]))
    except (ValueError, TypeError, RecursionError):
        value = {}
    if not isinstance(value, dict):
        value = {}
    return Row(row_key, decoding.integer(entry, "Ver"), value)


def _part_of(row_key: RowKey) -> str:
    if row_key.table in OPERATOR_TABLES:
        return ""
    if row_key.table in SHARDED_TABLES:
        return f"{SHARD_PREFIX}-{row_key.key[:1]}"
    return OWNER_PART


def _encode_key(row_key: RowKey) -> dict[str, str]:
    return {
        "Table": row_key.table,
        "part": _part_of(row_key),
        "Key": row_key.key,
    }


def _encode_value(value: Mapping[str, Any]) -> str:
    return base64.b64encode(json.dumps(value, separators=(",", ":")).encode()).decode()
