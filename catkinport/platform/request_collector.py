"""Collects the requests of a connection under the limits of its process."""

import zlib
from typing import TYPE_CHECKING, Any

from aiohttp.http import HttpRequestParser, HttpVersion11, RawRequestMessage
from aiohttp.http_exceptions import ContentEncodingError, HttpProcessingError
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader
from aiohttp.web_protocol import RequestPayloadError

from ..policy.client_limits import MAX_PIPELINED, SMALL_BODY_BYTES

if TYPE_CHECKING:
    from .client_gate import ClientGate
    from .client_limits import LimitedHandler

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

_NOTHING: tuple[tuple[()], bool, bytes] = ((), False, b"")
_ZLIB_BITS_BY_ENCODING = {"gzip": 16 + zlib.MAX_WBITS, "deflate": zlib.MAX_WBITS}


class _NoFlowControl:
    """Stands for the connection in streams that are drained after each read."""

    connected = True

    def pause_reading(self) -> None:
        """Do nothing: a read is bounded by `READ_BYTES`."""

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Do nothing."""


_NO_FLOW_CONTROL: Any = _NoFlowControl()


class RequestCollector:
    """Parser that emits requests once they are complete.

    It stands for the parser of aiohttp, which emits a request after its head.

    Args:
        handler: the connection.
        gate: limits of the process.
        loop: event loop of the connection.
    """

    def __init__(
        self, handler: "LimitedHandler", gate: "ClientGate", loop: Any
    ) -> None:
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


def _waits_to_send(message: RawRequestMessage) -> bool:
    """Return whether a client may wait for status 100 before it sends a body."""
    is_expected = message.headers.get("Expect", "").lower() == "100-continue"
    return is_expected and message.version >= HttpVersion11
