"""Bodies of callers' requests: up to 1 MB in memory, larger ones as a stream."""

import itertools
from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple

from ..ports import Reason, Refused
from ..runtime import HttpRequest, read_chunks
from .services import MAX_BUFFERED_BODY_BYTES

CHUNK_BYTES = 65536


class RequestBody(NamedTuple):
    """A body of which the first part is in memory.

    Args:
        prefix: the body, or its first 1 MB.
        rest: the remaining chunks, which can be read from the caller only once;
            ``None`` when ``prefix`` is the whole body.
        length: length in bytes; ``None`` for a streamed body in chunked encoding.
    """

    prefix: bytes
    rest: Iterator[bytes] | None
    length: int | None

    @property
    def is_repeatable(self) -> bool:
        """Whether the body can be sent again."""
        return self.rest is None

    def chunks(self) -> Iterator[bytes]:
        """Return the chunks of the whole body."""
        prefix = [self.prefix] if self.prefix else []
        return itertools.chain(prefix, self.rest or ())


def open_body(request: HttpRequest, max_bytes: int) -> RequestBody | Refused:
    """Read up to the first 1 MB of the body; refuse an invalid or too large length."""
    stream = request.environ["wsgi.input"]
    if request.headers.get("transfer-encoding", "").lower() == "chunked":
        return _read_prefix(_read_chunked(stream), None)
    length = _parse_length(request.environ)
    if length is None or length > max_bytes:
        detail = f"Content-Length must be 0 to {max_bytes}, got {length!r}"
        return Refused(Reason.REQUEST_INVALID, "read-request", detail=detail)
    body = _read_prefix(read_chunks(stream, length), length)
    if body.rest is None and len(body.prefix) < length:
        detail = f"the body ended after {len(body.prefix)} of {length} bytes"
        return Refused(Reason.REQUEST_INVALID, "read-request", detail=detail)
    return body


def _read_chunked(stream: Any) -> Iterator[bytes]:
    while chunk := stream.read(CHUNK_BYTES):
        yield chunk


def _read_prefix(chunks: Iterator[bytes], length: int | None) -> RequestBody:
    parts: list[bytes] = []
    n_bytes = 0
    for chunk in chunks:
        parts.append(chunk)
        n_bytes += len(chunk)
        if n_bytes >= MAX_BUFFERED_BODY_BYTES and n_bytes != length:
            return RequestBody(b"".join(parts), chunks, length)
    prefix = b"".join(parts)
    return RequestBody(prefix, None, len(prefix) if length is None else length)


def _parse_length(environ: Mapping[str, Any]) -> int | None:
    try:
        length = int(environ.get("CONTENT_LENGTH") or 0)
    except ValueError:
        return None
    return length if length >= 0 else None
