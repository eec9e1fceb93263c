"""Limits of transfers of documents between members.

A document has up to ``MAX_MESSAGE_BYTES``, which a link of 5 Mbit/s carries in 6.7 s,
or later if it carries other transfers too. A limit on the whole time of a transfer
would cut off each repetition as well, so only pauses are limited.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from grpclib.config import Configuration

MAX_PAUSE_SECONDS = 3.0
"""Longest time without progress in a transfer. It covers the time in which a peer
applies a document after its last byte."""

MAX_ANNOUNCED_AT_ONCE = 4
"""Documents that a member sends to peers at once. With ``WINDOW_BYTES`` each they delay
other calls on a link of 5 Mbit/s by 0.42 s, within the timeout of these calls."""

WINDOW_BYTES = 65_535
"""Bytes of a transfer that are on the way at once. Without a small window a document
fills the buffers of the link, where neither its progress is seen nor other calls pass.
"""

CONNECTION_CONFIGURATION = Configuration(
    http2_connection_window_size=WINDOW_BYTES, http2_stream_window_size=WINDOW_BYTES
)

_CHECK_SECONDS = 0.1


@asynccontextmanager
async def limit_pauses(stream: Any, first_seconds: float) -> AsyncIterator[None]:
    """Raise ``TimeoutError`` once no byte of a call has been sent or received for long.

    Args:
        stream: stream of the call, from grpclib's client or server.
        first_seconds: longest wait until the first byte. ``MAX_PAUSE_SECONDS`` applies
            to each wait after it.

    Raises:
        TimeoutError: if a wait was too long.
    """
    async with asyncio.timeout(first_seconds) as deadline:
        watcher = asyncio.create_task(_extend(deadline, stream))
        try:
            yield
        finally:
            watcher.cancel()


async def _extend(deadline: asyncio.Timeout, stream: Any) -> None:
    clock = asyncio.get_running_loop().time
    n_bytes = 0
    while not deadline.expired():
        if _count_bytes(stream) != n_bytes:
            n_bytes = _count_bytes(stream)
            deadline.reschedule(clock() + MAX_PAUSE_SECONDS)
        await asyncio.sleep(_CHECK_SECONDS)


def _count_bytes(stream: Any) -> int:
    # A client's stream has no transport stream until its request is sent.
    transport_stream = getattr(stream, "_stream", None)
    if transport_stream is None:
        return 0
    return int(transport_stream.data_sent + transport_stream.data_received)
