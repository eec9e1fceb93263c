"""HTTP client for the platform's services and workers."""

import asyncio
import json
import socket
import struct
import time
from collections.abc import Mapping
from typing import Any, NamedTuple

import aiohttp

from ..ports import Reason, Unavailable
from ..runtime import Metrics
from .connect_timeouts import ConnectTimeouts

MAX_CONNECTIONS_PER_PEER = 6
"""Most connections to one worker or VM interface, of which a long poll takes one. A
worker accepts 64 connections from all its clients together."""

KEEP_ALIVE_SECONDS = 30.0
"""How long an idle connection is kept open; a new one costs a round trip."""


STALL_SECONDS = 1.0
"""Longest pause within an answer whose size is not bounded. Such an answer may take
long on a slow link; one that stops arriving has lost its sender or its connection."""


RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of the socket option ``SO_LINGER`` (on, 0 s) with which a close resets the
connection, and unsent bytes are dropped."""


class Reply(NamedTuple):
    """An answer.

    Args:
        status: HTTP status.
        body: its JSON value; ``None`` where there is none.
        wait_seconds: time from the call until the answer began to arrive. Unlike the
            whole time it does not depend on the size of the answer and on the link.
    """

    status: int
    body: Any
    wait_seconds: float = 0.0


class CallMetrics:
    """Metrics of calls to the platform.

    Args:
        metrics: metrics of the process.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def note(self, step: str, outcome: Reply | Unavailable, seconds: float) -> None:
        """Note the outcome of a call, and the time that it took in seconds."""
        if isinstance(outcome, Reply):
            status = str(outcome.status)
        else:
            status = outcome.reason.value
        self._metrics.increment(
            "platform_calls", "Calls to the platform.", {"step": step, "status": status}
        )
        self._metrics.observe(
            "platform_call_seconds",
            "Time of a call to the platform.",
            {"step": step},
            seconds,
        )

    def note_bytes(self, step: str, n_bytes: int) -> None:
        """Note how many bytes of an answer, maybe an incomplete one, have arrived."""
        self._metrics.increment(
            "platform_answer_bytes",
            "Bytes of answers of the platform, also of incomplete ones.",
            {"step": step},
            n_bytes,
        )


class PlatformClient:
    """Calls the platform's services.

    The connection of a call that is given up is reset. Otherwise a request that is held
    up on the way would arrive when the way is free again, after newer requests.

    Every failure becomes an `Unavailable` that names the step and the peer, and says
    whether the call may have been carried out.

    Args:
        metrics: metrics of the process.
        max_connections_per_peer: most connections to one peer. A call that finds all
            of them in use waits for one within its timeout.
    """

    def __init__(
        self,
        metrics: Metrics,
        max_connections_per_peer: int = MAX_CONNECTIONS_PER_PEER,
    ) -> None:
        self._call_metrics = CallMetrics(metrics)
        self._max_connections_per_peer = max_connections_per_peer
        self._session: aiohttp.ClientSession | None = None
        self._connect_timeouts = ConnectTimeouts()

    async def open(self) -> None:
        """Create the connection pool; needs a running loop."""
        connector = aiohttp.TCPConnector(
            limit=0,
            limit_per_host=self._max_connections_per_peer,
            keepalive_timeout=KEEP_ALIVE_SECONDS,
            socket_factory=_create_socket,
        )
        self._session = aiohttp.ClientSession(
            connector=connector,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
        )

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def call(
        self,
        step: str,
        method: str,
        peer: str,
        path: str,
        timeout_seconds: float,
        body: Any = None,
        query: Mapping[str, str] | None = None,
        headers: Mapping[str, str] | None = None,
        is_size_bounded: bool = True,
    ) -> Reply | Unavailable:
        """Call ``peer`` once.

        Args:
            step: name of the operation, for errors and metrics.
            method: HTTP method.
            peer: ``host:port``.
            path: path without a query string.
            timeout_seconds: longest wait for the whole answer, or for its beginning if
                its size is not bounded.
            body: value sent as JSON.
            query: parameters of the query string.
            headers: additional headers.
            is_size_bounded: whether every answer is small enough to arrive within
                ``timeout_seconds`` on the slowest link. Otherwise an answer may take as
                long as it keeps arriving. A limit on its whole time would cut off each
                repetition of the call as well.

        Returns:
            The reply, whatever its status, or why there is none.
        """
        started_at = time.monotonic()
        outcome = await self._send(
            step,
            method,
            peer,
            path,
            timeout_seconds,
            body,
            query,
            headers,
            is_size_bounded,
        )
        self._call_metrics.note(step, outcome, time.monotonic() - started_at)
        return outcome

    async def _send(
        self,
        step: str,
        method: str,
        peer: str,
        path: str,
        timeout_seconds: float,
        body: Any,
        query: Mapping[str, str] | None,
        headers: Mapping[str, str] | None,
        is_size_bounded: bool,
    ) -> Reply | Unavailable:
        assert self._session is not None
        data = None if body is None else json.dumps(body, separators=(",", ":"))
        send_headers = dict(headers or {})
        if data is not None:
            send_headers["Content-Type"] = "application/json"
        clock = asyncio.get_running_loop().time
        sent_at = clock()
        # The deadline below covers the wait for a free connection and for the answer.
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=self._connect_timeouts.seconds(peer)
        )
        content = bytearray()
        wait_seconds: float | None = None
        try:
            async with (
                asyncio.timeout(timeout_seconds) as deadline,
                self._session.request(
                    method,
                    f"http://{peer}{path}",
                    data=data,
                    params=query,
                    headers=send_headers,
                    timeout=timeout,
                    allow_redirects=False,
                ) as response,
            ):
                wait_seconds = clock() - sent_at
                self._connect_timeouts.on_answer(peer, wait_seconds)
                async for chunk in response.content.iter_any():
                    content += chunk
                    if not is_size_bounded:
                        deadline.reschedule(clock() + STALL_SECONDS)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            if isinstance(error, aiohttp.ConnectionTimeoutError):
                self._connect_timeouts.on_timeout(peer)
            return Unavailable(Reason.CONNECT_FAILED, step, peer, str(error))
        except TimeoutError:
            detail = f"no answer in {timeout_seconds} s"
            if wait_seconds is not None:
                seconds = clock() - sent_at
                detail = f"{len(content)} bytes of an answer in {seconds:.1f} s"
            return Unavailable(Reason.TIMEOUT, step, peer, detail, True)
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return Unavailable(Reason.CONNECTION_LOST, step, peer, repr(error), True)
        finally:
            self._call_metrics.note_bytes(step, len(content))
        return decode_reply(step, peer, response.status, content, wait_seconds)


def _create_socket(address_info: aiohttp.AddrInfoType) -> socket.socket:
    """Return the socket of a new connection, which resets it when it is closed."""
    family, kind, protocol, _, _ = address_info
    connection = socket.socket(family, kind, protocol)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    return connection


def decode_reply(
    step: str, peer: str, status: int, content: bytes | bytearray, wait_seconds: float
) -> Reply | Unavailable:
    """Return the reply with this content, or why it can't be read.

    Args:
        step: name of the operation, for errors.
        peer: ``host:port``.
        status: HTTP status.
        content: body of the answer.
        wait_seconds: time from the call until the answer began to arrive.
    """
    if not content:
        return Reply(status, None, wait_seconds)
    try:
        return Reply(status, json.loads(content), wait_seconds)
    except (ValueError, RecursionError):
        if status >= 400:
            return Reply(status, None, wait_seconds)
        detail = f"status {status} with a body that is not JSON"
        return Unavailable(Reason.ANSWER_TRUNCATED, step, peer, detail, True)
