"""A store behind a slow link: its answers arrive in small pieces."""

import asyncio
import base64
import contextlib
import json
from collections.abc import Mapping
from typing import Any

from aiohttp import web

PIECE_BYTES = 2_000

WINDOW_BYTES = 64_000
"""Bytes of each answer that wait at once for a link that all answers share."""


class SlowStore:
    """Answers every read and every feed with the same rows.

    Args:
        rows: value of each row by its key; all are in one table.
        version: version of the rows. A feed after it answers without rows, and one
            after an older version with all of them.
        bytes_per_second: how fast the body of an answer is sent.
        bytes_until_stall: bytes of a body after which nothing more is sent; ``None``
            for whole answers.
        is_link_shared: whether all answers pass one link of that rate, in the order in
            which their bytes were sent; otherwise each has the whole rate.
        round_trip_seconds: time that each call takes on its way, there and back.

    Attributes:
        address: ``host:port`` while it is open.
        n_calls: calls received.
        n_lost_answers: calls, from now on, that are not answered.
    """

    def __init__(
        self,
        rows: Mapping[str, Mapping[str, Any]],
        version: int,
        bytes_per_second: float,
        bytes_until_stall: int | None = None,
        is_link_shared: bool = False,
        round_trip_seconds: float = 0.0,
    ) -> None:
        self._rows = rows
        self._version = version
        self._piece_seconds = PIECE_BYTES / bytes_per_second
        self._bytes_until_stall = bytes_until_stall
        self._is_link_shared = is_link_shared
        self._bytes_per_second = bytes_per_second
        self._link_free_at = 0.0
        self._round_trip_seconds = round_trip_seconds
        self._is_changed = asyncio.Event()
        self.address = ""
        self.n_calls = 0
        self.n_lost_answers = 0

    async def __aenter__(self) -> "SlowStore":
        """Begin to listen on a free port."""
        app = web.Application()
        app.router.add_get("/rows-get", self._read)
        app.router.add_get("/rows-feed", self._follow)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        host, port = self._runner.addresses[0]
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *error: object) -> None:
        """Close all connections."""
        await self._runner.cleanup()

    async def _read(self, request: web.Request) -> web.StreamResponse:
        await asyncio.sleep(self._round_trip_seconds)
        return await self._send(request, request.query["Table"])

    def replace(self, rows: Mapping[str, Mapping[str, Any]]) -> None:
        """Replace all rows and wake the feeds that wait."""
        self._rows = rows
        self._version += 1
        self._is_changed.set()
        self._is_changed = asyncio.Event()

    async def _follow(self, request: web.Request) -> web.StreamResponse:
        await asyncio.sleep(self._round_trip_seconds)
        wait_seconds = int(request.query["WaitMs"]) / 1000
        if int(request.query["After"]) >= self._version:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._is_changed.wait(), wait_seconds)
        if int(request.query["After"]) < self._version:
            return await self._send(request, request.query["Table"])
        return web.json_response({"rows": [], "Ver": self._version})

    async def _send(self, request: web.Request, table: str) -> web.StreamResponse:
        self.n_calls += 1
        if self.n_lost_answers > 0:
            self.n_lost_answers -= 1
            await asyncio.sleep(60.0)
        rows = [
            {
                "Table": table,
                "Key": key,
                "Ver": self._version,
                "Value": base64.b64encode(json.dumps(value).encode()).decode(),
            }
            for key, value in self._rows.items()
        ]
        body = json.dumps({"rows": rows, "Ver": self._version}).encode()
        response = web.StreamResponse()
        response.content_length = len(body)
        if self._is_link_shared:
            return await self._send_over_shared_link(request, response, body)
        await response.prepare(request)
        for start in range(0, len(body), PIECE_BYTES):
            if self._bytes_until_stall is not None and start >= self._bytes_until_stall:
                await asyncio.sleep(60.0)
            await response.write(body[start : start + PIECE_BYTES])
            await asyncio.sleep(self._piece_seconds)
        return response

    async def _send_over_shared_link(
        self, request: web.Request, response: web.StreamResponse, body: bytes
    ) -> web.StreamResponse:
        now = asyncio.get_running_loop().time
        for start in range(0, len(body), WINDOW_BYTES):
            window = body[start : start + WINDOW_BYTES]
            sent_at = max(now(), self._link_free_at)
            self._link_free_at = sent_at + len(window) / self._bytes_per_second
            await asyncio.sleep(self._link_free_at - now())
            if not response.prepared:
                await response.prepare(request)
            await response.write(window)
        return response
