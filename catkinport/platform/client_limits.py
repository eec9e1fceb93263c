"""Connections of clients under the limits of `policy.client_limits`.

A request reaches its handler once it is complete, so a request that is refused before
has not run. Until then its bytes are counted, in `RequestCollector`.
"""

import asyncio
from collections import deque
from typing import Any

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from ..policy.client_limits import MAX_PIPELINED, Client
from .client_gate import ClientGate
from .request_collector import RequestCollector

RETRY_AFTER_SECONDS = 1

LINGER_SECONDS = 1.0
MAX_DISCARDED_BYTES = 512 * 1024
"""Time and bytes for which a refused client may go on sending. A connection that is
closed with unread bytes is reset, and the client may lose the answer."""

MAX_UNSENT_BYTES = 16384
"""Bytes of answers that wait for a client from which on no more requests of it are
answered. One larger answer is always sent."""

KEEP_ALIVE_SECONDS = 75.0
"""How long an idle connection of a client is kept open."""

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
"""Answer to a head with `Expect: 100-continue`. Server applications of aiohttp send it,
but its plain server does not."""

_REASON_BY_STATUS = {
    400: "Bad Request",
    408: "Request Timeout",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    503: "Service Unavailable",
}


class LimitedHandler(RequestHandler, asyncio.BufferedProtocol):
    """Connection of a client whose requests are held within the limits.

    Args:
        server: server of aiohttp.
        gate: limits of the process.
        loop: event loop.
        options: further arguments of aiohttp's handler.
    """

    __slots__ = ("_began_at", "_gate", "client", "_n_discarded")

    def __init__(
        self, server: web.Server, gate: ClientGate, *, loop: Any, **options: Any
    ) -> None:
        super().__init__(server, loop=loop, **options)
        self._gate = gate
        self._parser: Any = RequestCollector(self, gate, loop)
        self._max_msg_queue_size = MAX_PIPELINED
        self._msg_queue_resume_size = MAX_PIPELINED // 2
        self.client: Client | None = None
        self._n_discarded = 0
        # Of the requests that are complete and not answered, in their order.
        self._began_at: deque[float] = deque()

    @property
    def request_began_at(self) -> float:
        """Time of the first byte of the request whose handler runs."""
        return self._began_at[0]

    @property
    def has_open_body(self) -> bool:
        """Whether the head of a request is complete and its body is not."""
        return self._parser is not None and self._parser.has_open_body

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to serve the connection, or refuse it."""
        super().connection_made(transport)
        assert isinstance(transport, asyncio.WriteTransport)
        transport.set_write_buffer_limits(MAX_UNSENT_BYTES)
        peer = transport.get_extra_info("peername")
        now = self._loop.time()
        self.client = Client(self, peer[0] if peer else "", now)
        ledger = self._gate.ledger
        if not self._gate.settle(ledger.open(self.client, now), "connections"):
            self.refuse(503, "connections", lingers=False)

    def connection_lost(self, error: BaseException | None) -> None:
        """Forget the connection."""
        super().connection_lost(error)
        self._gate.closing.pop(self, None)
        self._gate.unread.pop(self, None)
        client, ledger = self.client, self._gate.ledger
        if client is None:
            return
        ledger.close(client)
        # Only the request whose handler runs is still answered.
        while len(client.answering) > self._request_in_progress:
            ledger.answer(client, client.active_at)

    def pause_writing(self) -> None:
        """Note that the client leaves answers, which fill the buffers."""
        super().pause_writing()
        if self.client is not None and self.transport is not None:
            self.client.unread_at = self._loop.time()
            self._gate.unread[self] = self.transport.get_write_buffer_size()
            self._gate.start_timer()

    def resume_writing(self) -> None:
        """Note that the client has taken its answers."""
        super().resume_writing()
        self._gate.unread.pop(self, None)
        if self.client is not None:
            self.client.unread_at = float("inf")

    def check_unread(self, now: float) -> None:
        """Close a connection whose client has taken nothing of its answers for long."""
        if self.client is None or self.transport is None:
            return
        n_waiting = self.transport.get_write_buffer_size()
        if n_waiting < self._gate.unread[self]:
            self.client.unread_at = now
        self._gate.unread[self] = n_waiting
        if self.client.leaves_answers(now, self._gate.limits.idle_seconds):
            self._gate.count("unread-answers")
            self.abort()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer of all connections; it is copied before the next read."""
        if self._parser is None:
            return self._gate.read_buffer
        return self._gate.read_buffer[: self._parser.n_wanted]

    def buffer_updated(self, n_bytes: int) -> None:
        """Read what has arrived."""
        if self.client is not None and self.client.is_closing:
            self._n_discarded += n_bytes
            if self._n_discarded > MAX_DISCARDED_BYTES:
                self.abort()
            return
        self.data_received(bytes(self._gate.read_buffer[:n_bytes]))

    def hold_up(self) -> None:
        """Read on at the turn of this connection."""
        self._gate.hold_up(self)

    def pause(self) -> None:
        """Stop reading."""
        if self.transport is not None:
            self.transport.pause_reading()

    def resume(self) -> None:
        """Read on, unless complete requests fill the queue."""
        is_full = self._reading_paused or self._buffer_paused
        if self.transport is not None and not is_full:
            self.transport.resume_reading()

    def note_unfinished(self, n_bytes: int) -> bool:
        """Count bytes of an unfinished request; return whether it is admitted."""
        client = self.client
        assert client is not None
        now = self._loop.time()
        if not client.is_unfinished:
            admission = self._gate.ledger.begin(client, now)
            if not self._gate.settle(admission, "unfinished-per-address"):
                self.refuse(503, "unfinished-per-address")
                return False
            self._gate.start_timer()
        client.note_received(n_bytes, now)
        return True

    def reserve(self, n_bytes: int, is_large: bool) -> bool:
        """Count memory for the request, or refuse it; return whether it is admitted."""
        client = self.client
        assert client is not None
        now = self._loop.time()
        admission = self._gate.ledger.reserve(client, n_bytes, is_large, now)
        if self._gate.settle(admission, "held-bytes"):
            return True
        self.refuse(503, "held-bytes")
        return False

    def _process_keepalive(self) -> None:
        """Close an idle connection, but not while a request arrives on it.

        aiohttp's handler takes it for idle until the request is complete.
        """
        if self.client is not None and self.client.is_unfinished:
            self._keepalive_handle = self._loop.call_later(
                KEEP_ALIVE_SECONDS, self._process_keepalive
            )
            return
        super()._process_keepalive()

    def ask_for_body(self) -> None:
        """Tell a client that waits for it to send the body of its request.

        Behind a request that is not answered yet, this status would be taken for part
        of that answer, so the client isn't told then.
        """
        if self.transport is not None and self.client and not self.client.answering:
            self.transport.write(CONTINUE)

    def note_complete(self) -> None:
        """Note that a request is complete and goes to its handler."""
        client = self.client
        assert client is not None
        # A request that came in one read was never unfinished.
        is_timed = client.is_unfinished
        self._began_at.append(client.began_at if is_timed else self._loop.time())
        self._gate.ledger.complete(client)

    def note_answered(self) -> None:
        """Note that the handler of a request has ended."""
        self._began_at.popleft()
        if self.client is not None:
            self._gate.ledger.answer(self.client, self._loop.time())

    def check_times(self, now: float) -> None:
        """Refuse a head that takes too long, and a body that makes no progress."""
        client = self.client
        assert client is not None
        limits = self._gate.limits
        if self.has_open_body:
            if now - client.active_at >= limits.idle_seconds:
                self.refuse(408, "body-progress")
        elif now - client.began_at >= limits.header_seconds:
            self.refuse(408, "head-time")

    def refuse(self, status: int, bound: str, lingers: bool = True) -> None:
        """Answer that the unfinished request has not run, and close the connection."""
        client = self.client
        if client is None or client.is_closing:
            return
        client.is_closing = True
        self._gate.count(bound)
        self._gate.ledger.drop(client)
        if self._parser is not None:
            self._parser.drop()
        if client.answering:
            # The connection ends after the answer to a request before this one, which
            # may not have reached its handler yet.
            self._loop.call_soon(self.close)
            return
        self.close()
        transport = self.transport
        if transport is None:
            return
        transport.write(_format_refusal(status))
        if not lingers:
            self.force_close()
            return
        if transport.can_write_eof():
            transport.write_eof()
        self._gate.closing[self] = self._loop.time() + LINGER_SECONDS
        self._gate.start_timer()

    def displace(self, bound: str) -> None:
        """Close the connection, so that others find room."""
        client = self.client
        if client is not None and client.answering:
            # A refusal would wait for the answers before it.
            self._gate.count("unread-answers")
            self.abort()
        elif client is not None and client.is_closing:
            self.abort()
        else:
            self.refuse(503, bound, lingers=False)

    def abort(self) -> None:
        """Close the connection at once."""
        self._gate.closing.pop(self, None)
        if self.transport is not None:
            self.transport.abort()


class LimitedServer(web.Server):
    """Server of aiohttp whose connections are held within the limits.

    Args:
        handle: answers a request.
        gate: limits of the process.
    """

    def __init__(self, handle: Any, gate: ClientGate) -> None:
        super().__init__(handle)
        self._gate = gate

    def __call__(self) -> LimitedHandler:
        """Return the handler of a new connection."""
        return LimitedHandler(
            self,
            self._gate,
            loop=self._loop,
            access_log=None,
            keepalive_timeout=KEEP_ALIVE_SECONDS,
        )

    def list_open_bodies(self) -> list[LimitedHandler]:
        """Return the connections with a request whose body is not complete."""
        handlers = [h for h in self._connections if isinstance(h, LimitedHandler)]
        return [handler for handler in handlers if handler.has_open_body]


def _format_refusal(status: int) -> bytes:
    retry = f"Retry-After: {RETRY_AFTER_SECONDS}\r\n" if status == 503 else ""
    return (
        f"HTTP/1.1 {status} {_REASON_BY_STATUS[status]}\r\n{retry}"
        "Content-Length: 0\r\nConnection: close\r\n\r\n"
    ).encode()
