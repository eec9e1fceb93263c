"""Connections of clients under the limits of `policy.client_limits`.

A request reaches its handler once it is complete, so a request that is refused before
has not run. Until then its bytes are counted, in `RequestCollector`.
"""

import asyncio
import logging
import zlib
from collections import deque
from typing import Any

from aiohttp import web
from aiohttp.http import HttpRequestParser, HttpVersion11, RawRequestMessage
from aiohttp.http_exceptions import ContentEncodingError, HttpProcessingError
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader
from aiohttp.web_protocol import RequestHandler, RequestPayloadError

from ..policy.client_limits import (
    MAX_PIPELINED,
    SMALL_BODY_BYTES,
    Admission,
    Client,
    ClientBounds,
    ClientLedger,
    RequestLimits,
    derive_bounds,
)
from ..runtime import Metrics
from ..runtime.logs import log_event

logger = logging.getLogger(__name__)

READ_BYTES = 16384
"""Most bytes of one read of a body."""

FIRST_READ_BYTES = 2048
"""Most bytes of one read outside of bodies, and of bodies in small chunks.

All connections that are readable are read in one round of the event loop, and 16 KB in
chunks of a byte take 4 ms to parse (aarch64), and more on a part of a core.
"""

SMALL_CHUNK_BYTES = 64
"""Mean size below which the chunks of a read count as small."""

MAX_EMPTY_LINE_BYTES = 256
"""Bytes of empty lines between two requests."""

HEAD_FACTOR = 4
"""Memory that a head takes for each of its bytes, as it is kept raw and decoded."""

BODY_FACTOR = 2
"""Memory that a body takes for each of its bytes, as it is copied when complete."""

REQUEST_BYTES = 2048
"""Memory that a complete request takes whatever its size."""

CHUNKED_STEP_BYTES = 16384
"""Steps in which memory is reserved for a body of unknown length."""

TICK_SECONDS = 0.5
LOG_SECONDS = 10.0
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

_NOTHING: tuple[tuple[()], bool, bytes] = ((), False, b"")
_REASON_BY_STATUS = {
    400: "Bad Request",
    408: "Request Timeout",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    503: "Service Unavailable",
}
_ZLIB_BITS_BY_ENCODING = {"gzip": 16 + zlib.MAX_WBITS, "deflate": zlib.MAX_WBITS}


class _NoFlowControl:
    """Stands for the connection in streams that are drained after each read."""

    connected = True

    def pause_reading(self) -> None:
        """Do nothing: a read is bounded by `READ_BYTES`."""

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Do nothing."""


_NO_FLOW_CONTROL: Any = _NoFlowControl()


class ClientGate:
    """Limits for all clients of a process, over all its listeners.

    Args:
        bounds: bounds over all clients; those of a VM of unknown size by default.
        limits: limits on each request.
        metrics: metrics of the process.
    """

    def __init__(
        self,
        bounds: ClientBounds | None = None,
        limits: RequestLimits | None = None,
        metrics: Metrics | None = None,
    ) -> None:
        self.ledger = ClientLedger(bounds or derive_bounds(0, 0))
        self.limits = limits or RequestLimits()
        self.read_buffer = memoryview(bytearray(READ_BYTES))
        self.closing: dict[LimitedHandler, float] = {}
        # Connections whose clients leave answers, with the bytes that wait for them.
        self.unread: dict[LimitedHandler, int] = {}
        self._held_up: deque[LimitedHandler] = deque()
        self._metrics = metrics or Metrics()
        self._n_by_bound: dict[str, int] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._logged_at = -LOG_SECONDS

    def count(self, bound: str) -> None:
        """Count a client that was refused at a bound."""
        self._n_by_bound[bound] = self._n_by_bound.get(bound, 0) + 1
        doc = "Clients refused or closed, by the bound that they met."
        self._metrics.increment("client_limits", doc, {"bound": bound})
        self.start_timer()

    def settle(self, admission: Admission, bound: str) -> bool:
        """Close the displaced clients; return whether the newcomer is admitted."""
        for client in admission.displaced:
            assert isinstance(client.key, LimitedHandler)
            client.key.displace(bound)
        return admission.is_admitted

    def hold_up(self, handler: "LimitedHandler") -> None:
        """Read no more from a connection until its turn.

        One of these connections is read in each round of the event loop, so that costly
        reads delay the other connections by one of them only.
        """
        handler.pause()
        if not self._held_up:
            asyncio.get_running_loop().call_soon(self._resume_next)
        self._held_up.append(handler)

    def _resume_next(self) -> None:
        self._held_up.popleft().resume()
        if self._held_up:
            asyncio.get_running_loop().call_soon(self._resume_next)

    def start_timer(self) -> None:
        """Check the times of unfinished requests from now on, until there are none."""
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(TICK_SECONDS, self._tick, loop)

    def export(self) -> None:
        """Set the gauges."""
        doc = "Memory counted for requests of clients."
        self._metrics.set("client_held_bytes", doc, {}, self.ledger.held_bytes)
        doc = "Connections of clients."
        self._metrics.set("client_connections", doc, {}, self.ledger.n_connections)

    def _tick(self, loop: asyncio.AbstractEventLoop) -> None:
        self._timer = None
        now = loop.time()
        for client in self.ledger.list_unfinished():
            assert isinstance(client.key, LimitedHandler)
            client.key.check_times(now)
        for handler in list(self.unread):
            handler.check_unread(now)
        for handler, closing_at in list(self.closing.items()):
            if now >= closing_at:
                handler.abort()
        if self._n_by_bound and now - self._logged_at >= LOG_SECONDS:
            self._logged_at = now
            log_event(
                logger,
                "clients refused",
                level=logging.WARNING,
                open_connections=self.ledger.n_connections,
                held_bytes=self.ledger.held_bytes,
                **self._n_by_bound,
            )
            self._n_by_bound.clear()
        is_waiting = self.ledger.list_unfinished() or self.closing or self.unread
        if is_waiting or self._n_by_bound:
            self.start_timer()


class RequestCollector:
    """Parser that emits requests once they are complete.

    It stands for the parser of aiohttp, which emits a request after its head.

    Args:
        handler: the connection.
        gate: limits of the process.
        loop: event loop of the connection.
    """

    def __init__(self, handler: "LimitedHandler", gate: ClientGate, loop: Any) -> None:
        self._handler = handler
        self._gate = gate
        self._loop = loop
        self._parser: HttpRequestParser | None = self._make_parser()
        self._message: RawRequestMessage | None = None
        self._payload: StreamReader = EMPTY_PAYLOAD
        self._body = bytearray()
        self._n_reserved = 0
        self._n_head_bytes = 0
        self._n_empty_bytes = 0
        self._has_small_chunks = False
        self.is_over = False

    def _make_parser(self) -> HttpRequestParser:
        return HttpRequestParser(
            _NO_FLOW_CONTROL,
            self._loop,
            READ_BYTES,
            payload_exception=RequestPayloadError,
            # The decompressed size would escape the limits.
            auto_decompress=False,
            max_msg_queue_size=MAX_PIPELINED,
        )

    @property
    def has_open_body(self) -> bool:
        """Whether the head of a request is complete and its body is not."""
        return self._message is not None

    @property
    def n_wanted(self) -> int:
        """Most bytes of the next read. A body of known length ends with a read."""
        if self._message is None or self._has_small_chunks:
            return FIRST_READ_BYTES
        if self._message.chunked:
            return READ_BYTES
        return max(1, min(READ_BYTES, self._n_reserved - self._payload.total_bytes))

    def message_consumed(self) -> None:
        """Note that a complete request was taken from the queue."""
        if self._parser is not None:
            self._parser.message_consumed()

    def set_upgraded(self, is_upgraded: bool) -> None:
        """Do nothing: no connection is upgraded."""

    def drop(self) -> None:
        """Drop the unfinished request and read nothing more."""
        self.is_over = True
        self._message = None
        self._payload = EMPTY_PAYLOAD
        self._body = bytearray()
        self._parser = None

    def feed_data(self, data: bytes) -> tuple[Any, bool, bytes]:
        """Parse bytes; return the requests that they complete, as aiohttp's parser."""
        complete: list[tuple[RawRequestMessage, StreamReader]] = []
        while not self.is_over:
            room = max(0, self._gate.limits.max_header_bytes - self._n_head_bytes)
            # A head may end within its limit while the read has more bytes.
            is_split = self._message is None and len(data) > room
            self._feed(data[:room] if is_split else data, complete)
            if not is_split or self.is_over:
                break
            if self._message is None and self._n_head_bytes:
                self._handler.refuse(431, "head-bytes")
                break
            data = data[room:]
        if not complete:
            return _NOTHING
        return complete, False, b""

    def _feed(self, data: bytes, complete: list[Any]) -> None:
        try:
            messages = self._parse(data)
            if self._message is not None:
                # A read of a body of known length ends with it.
                may_have_rest = self._message.chunked and not messages
                self._collect(data, complete)
                if self._message is None and may_have_rest:
                    self._note_rest(data)
            elif not messages:
                self._note_head(data)
            for message, payload in messages:
                if self.is_over:
                    return
                self._n_head_bytes = self._n_empty_bytes = 0
                self._take(message, payload, complete)
        except HttpProcessingError:
            self._handler.refuse(400, "malformed")

    def _parse(self, data: bytes) -> list[tuple[RawRequestMessage, StreamReader]]:
        assert self._parser is not None
        emitted, is_upgraded, tail = self._parser.feed_data(data)
        messages = list(emitted)
        while is_upgraded:
            # No handler takes the connection over, so requests go on after this one.
            self._parser.set_upgraded(False)
            emitted, is_upgraded, tail = self._parser.feed_data(tail)
            messages.extend(emitted)
        return messages

    def _note_rest(self, data: bytes) -> None:
        """Count the start of a head that came in the same read as the end of a body."""
        _, _, rest = data.rpartition(b"\r\n\r\n")
        # A chunked body ends with an empty line.
        if rest and rest != data and not self.is_over:
            self._note_head(rest)

    def _count_empty_lines(self, data: bytes) -> None:
        self._n_empty_bytes += len(data)
        if self._n_empty_bytes > MAX_EMPTY_LINE_BYTES:
            self._handler.refuse(400, "empty-lines")

    def _note_head(self, data: bytes) -> None:
        if not self._n_head_bytes and not data.strip(b"\r\n"):
            self._count_empty_lines(data)
            return
        self._n_head_bytes += len(data)
        if self._handler.note_unfinished(len(data)):
            self._handler.reserve(len(data) * HEAD_FACTOR, False)

    def _take(self, message: Any, payload: StreamReader, complete: list[Any]) -> None:
        """Take a request whose head is complete."""
        max_body_bytes = self._gate.limits.max_body_bytes
        length = int(message.headers.get("Content-Length", 0))
        if max(length, payload.total_bytes) > max_body_bytes:
            self._handler.refuse(413, "body-bytes")
            return
        if payload.is_eof():
            if payload.total_bytes and (message.chunked or message.compression):
                payload = self._make_payload(message, payload.read_nowait())
            n_bytes = REQUEST_BYTES + payload.total_bytes * BODY_FACTOR
            if self._handler.reserve(n_bytes, False):
                self._handler.note_complete()
                complete.append((message, payload))
            return
        self._message = message
        self._payload = payload
        self._n_reserved = length
        if not self._handler.note_unfinished(0):
            return
        is_large = length > SMALL_BODY_BYTES
        if not length or self._handler.reserve(length * BODY_FACTOR, is_large):
            self._has_small_chunks = message.chunked
            if _waits_to_send(message) and not payload.total_bytes:
                self._handler.ask_for_body()
            self._collect(b"", complete)

    def _collect(self, data: bytes, complete: list[Any]) -> None:
        """Move what has arrived of the open body out of the parser's stream."""
        payload = self._payload
        if payload.total_bytes > self._gate.limits.max_body_bytes:
            self._handler.refuse(413, "body-bytes")
            return
        n_body_bytes_before = len(self._body)
        self._body += payload.read_nowait()
        if not self._handler.note_unfinished(len(data)):
            return
        if data and self._message is not None and self._message.chunked:
            self._check_chunks(data, len(self._body) - n_body_bytes_before)
        while payload.total_bytes > self._n_reserved:
            self._n_reserved += CHUNKED_STEP_BYTES
            is_large = self._n_reserved > SMALL_BODY_BYTES
            n_step = CHUNKED_STEP_BYTES * BODY_FACTOR
            if not self._handler.reserve(n_step, is_large):
                return
        if payload.is_eof():
            message = self._message
            body = bytes(self._body)
            self._message, self._payload = None, EMPTY_PAYLOAD
            self._body = bytearray()
            payload = self._make_payload(message, body)
            n_grown = payload.total_bytes - len(body)
            if n_grown > 0 and not self._handler.reserve(n_grown * BODY_FACTOR, True):
                return
            self._handler.note_complete()
            complete.append((message, payload))

    def _check_chunks(self, data: bytes, n_body_bytes: int) -> None:
        # Each chunk has at least two line ends, one before and one after its content.
        n_extra_bytes = len(data) - n_body_bytes
        self._has_small_chunks = n_extra_bytes * SMALL_CHUNK_BYTES > 6 * n_body_bytes
        if self._has_small_chunks and not self._payload.is_eof():
            self._handler.hold_up()

    def _make_payload(self, message: Any, body: bytes) -> StreamReader:
        payload = StreamReader(_NO_FLOW_CONTROL, READ_BYTES, loop=self._loop)
        if message.compression and body:
            body = self._decompress(message.compression, body)
        payload.feed_data(body)
        payload.feed_eof()
        return payload

    def _decompress(self, encoding: str, body: bytes) -> bytes:
        bits = _ZLIB_BITS_BY_ENCODING.get(encoding)
        if bits is None:
            raise ContentEncodingError(f"the encoding must be gzip, got {encoding}")
        max_bytes = self._gate.limits.max_body_bytes
        decompressor = zlib.decompressobj(bits)
        try:
            content = decompressor.decompress(body, max_bytes)
        except zlib.error as error:
            raise ContentEncodingError(f"the body is not {encoding}") from error
        if decompressor.unconsumed_tail or not decompressor.eof:
            raise ContentEncodingError(
                f"the body must be complete and have at most {max_bytes} bytes"
            )
        return content


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


def _waits_to_send(message: RawRequestMessage) -> bool:
    """Return whether a client may wait for status 100 before it sends a body."""
    is_expected = message.headers.get("Expect", "").lower() == "100-continue"
    return is_expected and message.version >= HttpVersion11


def _format_refusal(status: int) -> bytes:
    retry = f"Retry-After: {RETRY_AFTER_SECONDS}\r\n" if status == 503 else ""
    return (
        f"HTTP/1.1 {status} {_REASON_BY_STATUS[status]}\r\n{retry}"
        "Content-Length: 0\r\nConnection: close\r\n\r\n"
    ).encode()
