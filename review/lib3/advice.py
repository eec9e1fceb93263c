"""Stand-in for the advice service: it approves all workers, one call at a time.

A call takes ``DecideMs`` and ``EachMs`` for each worker named. Calls that wait and
whose client has gone are left out, and one that is being handled ends as its client
goes.
"""

import asyncio
import json
import threading
import time
from collections.abc import Callable, Mapping
from typing import Any

MAX_WAITING = 32
"""Calls that may wait; further ones are answered with status 429."""


class AdviceService:
    """Service on a port of its own, in a thread of its own.

    Args:
        terms: ``DecideMs`` and ``EachMs``.
        write: writes a line of the record.
    """

    def __init__(self, terms: Mapping[str, int], write: Callable[[str], None]) -> None:
        self._terms = terms
        self._write = write
        self._n_waiting = 0
        self._turn = asyncio.Lock()

    def start(self) -> str:
        """Start the thread and return the address."""
        address: list[str] = []
        threading.Thread(
            target=lambda: asyncio.run(self._serve(address)), daemon=True
        ).start()
        while not address:
            time.sleep(0.01)
        return address[0]

    async def _serve(self, address: list[str]) -> None:
        server = await asyncio.start_server(self._handle, "127.0.0.1", 0)
        address.append(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
        async with server:
            await server.serve_forever()

    async def _handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                body = await _read_request(reader)
                status, answer = await self._answer(body, reader)
                content = json.dumps(answer).encode()
                head = f"HTTP/1.1 {status} -\r\nContent-Length: {len(content)}\r\n"
                head += "Content-Type: application/json\r\n\r\n"
                writer.write(head.encode() + content)
                await writer.drain()
        except (OSError, EOFError, asyncio.IncompleteReadError):
            writer.close()

    async def _answer(
        self, body: Mapping[str, Any], reader: asyncio.StreamReader
    ) -> tuple[int, Mapping[str, Any]]:
        if self._n_waiting >= MAX_WAITING:
            return 429, {}
        sent_at = time.monotonic()
        work = asyncio.ensure_future(self._decide(body))
        gone = asyncio.ensure_future(_wait_until_gone(reader))
        await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
        gone.cancel()
        seconds = time.monotonic() - sent_at
        if not work.done():
            work.cancel()
            self._write(f"advise {body['Step']}: client gone after {seconds:.2f} s")
            raise EOFError
        self._write(f"advise {body['Step']}: answered after {seconds:.2f} s")
        return 200, work.result()

    async def _decide(self, body: Mapping[str, Any]) -> Mapping[str, Any]:
        workers = body["Workers"]
        self._n_waiting += 1
        try:
            await self._turn.acquire()
        finally:
            self._n_waiting -= 1
        try:
            each_ms = self._terms["EachMs"] * len(workers)
            await asyncio.sleep((self._terms["DecideMs"] + each_ms) / 1000)
        finally:
            self._turn.release()
        return {"Good": [[worker, f"ticket-{worker}"] for worker in workers]}


async def _read_request(reader: asyncio.StreamReader) -> Mapping[str, Any]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
    length = int(head.partition("content-length:")[2].partition("\r\n")[0] or 0)
    return json.loads(await reader.readexactly(length))


async def _wait_until_gone(reader: asyncio.StreamReader) -> None:
    """Wait until the client ends the connection; it sends nothing meanwhile."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.01)
