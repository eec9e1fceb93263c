"""Loopback proxies that delay, silence, cut and reset connections."""

import asyncio
import socket
import struct
import threading
from collections.abc import Coroutine
from typing import Any

CHUNK_BYTES = 65536
NO_LINGER = struct.pack("ii", 1, 0)
"""Closing sends a reset and drops what is unsent."""

STEP_SECONDS = 0.02
"""How often a silenced connection looks whether it may go on."""


class Link:
    """What a proxy does to its connections.

    Attributes:
        delay_seconds: added to each chunk.
        is_cut_there: whether nothing passes to the target.
        is_cut_back: whether nothing passes from the target.
    """

    def __init__(self) -> None:
        self.delay_seconds = 0.0
        self.is_cut_there = False
        self.is_cut_back = False

    def heal(self) -> None:
        """Let everything pass again."""
        self.delay_seconds = 0.0
        self.is_cut_there = self.is_cut_back = False


class Proxy:
    """Forwards connections to a target.

    Args:
        target: ``host:port``.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.link = Link()
        self.address = ""
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def listen(self) -> None:
        """Begin to accept connections."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def reset(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            sock = writer.get_extra_info("socket")
            # Without it the kernel would end the connection in order.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
            writer.transport.abort()

    async def silence(self) -> None:
        """Silence all open connections for good; new ones work."""
        for task in list(self._tasks):
            task.cancel()
        self._tasks.clear()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self.target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers.update((writer, far_writer))
        for source, sink, is_there in (
            (reader, far_writer, True),
            (far_reader, writer, False),
        ):
            task = asyncio.ensure_future(self._pump(source, sink, is_there))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _pump(
        self, source: asyncio.StreamReader, sink: asyncio.StreamWriter, is_there: bool
    ) -> None:
        try:
            while chunk := await source.read(CHUNK_BYTES):
                while self._is_cut(is_there):
                    await asyncio.sleep(STEP_SECONDS)
                if self.link.delay_seconds:
                    await asyncio.sleep(self.link.delay_seconds)
                sink.write(chunk)
                await sink.drain()
        except OSError:
            pass
        sink.close()
        self._writers.discard(sink)

    def _is_cut(self, is_there: bool) -> bool:
        return self.link.is_cut_there if is_there else self.link.is_cut_back


class ProxyHub:
    """Runs all proxies on one event loop in a thread of its own."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()

    def call(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        """Run a coroutine on the loop and return its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(10.0)

    def open(self, target: str) -> Proxy:
        """Return a listening proxy for a target."""
        proxy = Proxy(target)
        self.call(proxy.listen())
        return proxy

    def close(self) -> None:
        """End all connections and stop the loop."""
        self.call(_cancel_others())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(5.0)


async def _cancel_others() -> None:
    others = asyncio.all_tasks() - {asyncio.current_task()}
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)
