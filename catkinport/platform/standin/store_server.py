"""HTTP interface of the stand-in's store."""

import asyncio
import contextlib
import random
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web

from ...standins.faults import FaultSettings
from .rows import (
    MAX_PAGE_ROWS,
    RowStore,
    StoredRow,
    StoreError,
    StoreKey,
    decode_key,
    encode_row,
)

READ_ONLY_TABLES = frozenset({"op", "servers"})
"""Tables that only the operator and the workers write; commits to them are refused."""

MAX_ROW_BYTES = 65536
"""Largest value that a commit may write, as the platform's documentation says. The
operator's rows may be larger."""

MAX_FEED_SECONDS = 30.0
"""Longest wait of a feed, as the platform's documentation says."""

SILENCE_SECONDS = 60.0
"""How long a call waits that gets no answer; every client times out sooner."""

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class StoreServer:
    """Serves the store's HTTP calls.

    Args:
        rows: the rows.
        now: returns the time in seconds.
        faults: faults that are switched on.
        rng: decides which answers are lost and which commits are late.
    """

    def __init__(
        self,
        rows: RowStore,
        now: Callable[[], float],
        faults: FaultSettings,
        rng: random.Random,
    ) -> None:
        self.rows = rows
        self._now = now
        self._faults = faults
        self._rng = rng
        self._changed = asyncio.Event()
        self._late: set[asyncio.Task[None]] = set()

    def add_routes(self, app: web.Application) -> None:
        """Add the store's calls to ``app``."""
        app.router.add_post("/rows-tx", self._with_faults(self._commit))
        app.router.add_get("/rows-get", self._with_faults(self._read))
        app.router.add_get("/rows-feed", self._with_faults(self._follow))

    def write(self, key: StoreKey, value: str | None) -> None:
        """Write or remove a row on behalf of the operator or of a worker."""
        if value is None:
            self.rows.commit({}, {}, [key])
        else:
            self.rows.commit({}, {key: value}, [])
        self._notify_followers()

    def _notify_followers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _with_faults(self, handler: Handler) -> Handler:
        async def handle(request: web.Request) -> web.StreamResponse:
            if self._faults["is_store_silent"]:
                await asyncio.sleep(SILENCE_SECONDS)
            if self._faults["is_store_down"]:
                return web.json_response({}, status=503)
            if self._faults["store_delay_seconds"] > 0:
                await asyncio.sleep(self._faults["store_delay_seconds"])
            try:
                return await handler(request)
            except StoreError as error:
                return web.json_response({"Error": str(error)}, status=error.status)

        return handle

    async def _commit(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        expected = {decode_key(e): int(e["Ver"]) for e in body.get("Expect") or []}
        writes = {decode_key(e): str(e["Value"]) for e in body.get("Writes") or []}
        removals = [decode_key(e) for e in body.get("Remove") or []]
        if any(key.table in READ_ONLY_TABLES for key in (*writes, *removals)):
            raise StoreError(
                403, f"the tables {sorted(READ_ONLY_TABLES)} are read-only"
            )
        largest = max((count_value_bytes(text) for text in writes.values()), default=0)
        if largest > MAX_ROW_BYTES:
            raise StoreError(
                400, f"a row must have at most {MAX_ROW_BYTES} bytes, got {largest}"
            )
        is_lost = self._rng.random() < self._faults["store_lost_answers"]
        if is_lost and self._rng.random() < self._faults["store_late_writes"]:
            self._commit_late(expected, writes, removals)
        else:
            version = self.rows.commit(expected, writes, removals)
            self._notify_followers()
        if is_lost:
            await asyncio.sleep(SILENCE_SECONDS)
        if version is not None or self._faults["are_conflicts_late"]:
            await self._delay_answer({key.part for key in (*writes, *removals)})
        if version is None:
            current = [self.rows.get(key) for key in expected]
            existing = [encode_row(row) for row in current if row is not None]
            return web.json_response(
                {**self._common_fields(), "rows": existing}, status=412
            )
        return web.json_response({**self._common_fields(), "Ver": version})

    async def _delay_answer(self, parts: set[str]) -> None:
        if self._faults["late_answer_part"] in parts:
            await asyncio.sleep(self._faults["late_answer_seconds"])

    def _commit_late(
        self,
        expected: dict[StoreKey, int],
        writes: dict[StoreKey, str],
        removals: list[StoreKey],
    ) -> None:
        async def commit() -> None:
            await asyncio.sleep(self._rng.uniform(1.0, 6.0))
            self.rows.commit(expected, writes, removals)
            self._notify_followers()

        task = asyncio.ensure_future(commit())
        self._late.add(task)
        task.add_done_callback(self._late.discard)

    async def _read(self, request: web.Request) -> web.StreamResponse:
        query = request.query
        rows, is_truncated = self.rows.read(
            query["Table"],
            query.get("part", ""),
            query.get("From", ""),
            query.get("To"),
            int(query.get("Limit", MAX_PAGE_ROWS)),
        )
        return web.json_response(
            {
                **self._common_fields(),
                "rows": _encode_rows(rows),
                "Truncated": is_truncated,
            }
        )

    async def _follow(self, request: web.Request) -> web.StreamResponse:
        table = request.query["Table"]
        after = int(request.query["After"])
        wait_seconds = int(request.query.get("WaitMs", 0)) / 1000
        deadline = self._now() + min(wait_seconds, MAX_FEED_SECONDS)
        rows = self.rows.follow(table, after)
        while not rows and self._now() < deadline:
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), deadline - self._now())
            # A row may have been written after the end of the wait. The answer names
            # the present version, so without the row the client would never get it.
            rows = self.rows.follow(table, after)
        return web.json_response({**self._common_fields(), "rows": _encode_rows(rows)})

    def _common_fields(self) -> dict[str, Any]:
        return {"Ver": self.rows.version, "NowMs": int(self._now() * 1000)}


def count_value_bytes(text: str) -> int:
    """Return the size of a value that is written as ``text`` in base64."""
    return len(text) * 3 // 4 - text[-2:].count("=")


def _encode_rows(rows: list[StoredRow]) -> list[dict[str, Any]]:
    return [encode_row(row) for row in rows]
