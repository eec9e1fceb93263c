"""HTTP server that answers each request that it has received before it closes."""

import asyncio
import logging
import socket
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web

from ..runtime.logs import log_event
from .client_gate import ClientGate
from .client_limits import LimitedHandler, LimitedServer

logger = logging.getLogger(__name__)

BACKLOG_CONNECTIONS = 512
"""Most connections that wait until the server accepts them."""

ACCEPTED_PER_ROUND = 64
"""Most connections that are accepted in one round of the event loop. asyncio takes it
from the backlog. With 512, connections in small chunks, which are costly to read, held
a round up for seconds."""

SEND_BUFFER_BYTES = 32768
"""Send buffer of a connection in the system, which may double it. Answers that a client
does not read wait there, outside the memory of the process."""

SHUTDOWN_SECONDS = 0.2
"""Longest wait for requests that have been cut off to be answered, and for each step in
which the connections are closed."""

IDLE_ROUNDS = 10
"""Rounds of the event loop without a request after which a server is idle. A connection
that arrives takes a few rounds until it is accepted, read and answered."""

POLL_SECONDS = 0.01
"""Interval at which a closing server checks whether its requests are answered."""

BEGAN_AT = web.RequestKey("began_at", float)
"""Key of a request under which the time of its first byte is stored, by the clock of
the event loop. Its handler runs only once the request is complete."""

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class HttpListener:
    """HTTP server at one address.

    Args:
        handler: answers a request.
        address: ``host:port``.
        gate: limits for the clients of all listeners of a process; default limits if
            ``None``.
    """

    def __init__(
        self, handler: Handler, address: str, gate: ClientGate | None = None
    ) -> None:
        self._handler = handler
        self._address = address
        self._server = LimitedServer(self._handle, gate or ClientGate())
        self._runner = web.ServerRunner(self._server, shutdown_timeout=SHUTDOWN_SECONDS)
        self._tasks: set[asyncio.Task[Any]] = set()
        self._is_cut_off = False

    async def open(self) -> None:
        """Begin to listen."""
        await self._runner.setup()
        host, _, port = self._address.rpartition(":")
        host = host.strip("[]")
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        listening = socket.create_server((host, int(port)), family=family)
        # Accepted connections inherit it.
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        site = web.SockSite(self._runner, listening, backlog=ACCEPTED_PER_ROUND)
        await site.start()
        listening.listen(BACKLOG_CONNECTIONS)

    @property
    def port(self) -> int:
        """Port on which it listens."""
        return self._runner.addresses[0][1]

    async def close(self, timeout_seconds: float = 0.0) -> None:
        """Answer the requests that have arrived, then close all connections.

        The server of aiohttp drops what arrives on a connection from the moment that it
        begins to close, and the rest of a body too, so it begins only while nothing has
        arrived.

        Args:
            timeout_seconds: time after which requests in progress are answered with
                status 504, as their outcome is unknown. From then on, each connection
                is closed after its next answer.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_seconds
        while not await self._is_idle() and loop.time() < deadline:
            await asyncio.sleep(POLL_SECONDS)
        for site in self._runner.sites:
            await site.stop()
        while not await self._is_idle():
            if loop.time() >= deadline:
                self._cut_off()
            if loop.time() >= deadline + SHUTDOWN_SECONDS:
                break
            await asyncio.sleep(POLL_SECONDS)
        await self._runner.cleanup()

    async def _is_idle(self) -> bool:
        """Let the event loop read what has arrived; return whether that is nothing."""
        for _ in range(IDLE_ROUNDS):
            if self._tasks:
                return False
            await asyncio.sleep(0)
        return not self._tasks and not self._server.list_open_bodies()

    def _cut_off(self) -> None:
        self._is_cut_off = True
        for task in self._tasks:
            task.cancel()
        for connection in self._server.list_open_bodies():
            connection.refuse(503, "stopping")

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        connection = request.protocol
        assert isinstance(connection, LimitedHandler)
        request[BEGAN_AT] = connection.request_began_at
        try:
            response = await self._handler(request)
            if self._is_cut_off:
                response.force_close()
            return response
        except asyncio.CancelledError:
            if not self._is_cut_off:
                raise
            while task.uncancel():
                pass
            log_event(
                logger,
                "call cut off",
                request_id=request.path.rpartition("/")[2],
                method=request.method,
            )
            response = web.Response(status=504)
            response.force_close()
            return response
        finally:
            self._tasks.discard(task)
            connection.note_answered()
