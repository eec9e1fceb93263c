"""Loopback proxies that delay, silence, cut and reset connections."""

import asyncio
import socket
import struct
import threading
from collections.abc import Coroutine
from typing import Any

CHUNK_BYTES = 65536
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of ``SO_LINGER`` with which closing sends a reset and drops unsent bytes."""

CUT_POLL_SECONDS = 0.02
"""Interval at which a cut connection checks whether it may forward again."""


class Link:
    """Faults that a proxy injects into its connections.

    Attributes:
        delay_seconds: delay of each chunk.
        is_cut_to_target: whether chunks to the target are held back.
        is_cut_from_target: whether chunks from the target are held back.
    """

    def __init__(self) -> None:
        self.delay_seconds = 0.0
        self.is_cut_to_target = False
        self.is_cut_from_target = False

    def heal(self) -> None:
        """End all faults; chunks that were held back are forwarded."""
        self.delay_seconds = 0.0
        self.is_cut_to_target = self.is_cut_from_target = False


class Proxy:
    """TCP proxy on the loopback interface.

    Args:
        target: ``host:port`` to which connections are forwarded.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.link = Link()
        self.address = ""
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def listen(self) -> None:
        """Accept connections on a free port and set ``address``."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def stop_listening(self) -> None:
        """Accept no more connections; those that are open go on."""
        if self._server is not None:
            self._server.close()

    async def reset(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            sock = writer.get_extra_info("socket")
            if sock.fileno() < 0:
                continue  # The other end has closed it while forwarding was stopped.
            # Without this option the kernel would end the connection with a FIN.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()
        # Forwarding that was stopped or is held back doesn't notice the end.
        self._writers.clear()

    async def silence(self) -> None:
        """Stop forwarding on all open connections for good, without closing them.

        New connections work.
        """
        for task in list(self._tasks):
            task.cancel()
        self._tasks.clear()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        host, _, port = self.target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            self._writers.discard(writer)
            return
        self._writers.add(target_writer)
        for source, sink, is_to_target in (
            (reader, target_writer, True),
            (target_reader, writer, False),
        ):
            task = asyncio.ensure_future(self._forward(source, sink, is_to_target))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _forward(
        self,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        is_to_target: bool,
    ) -> None:
        try:
            while chunk := await source.read(CHUNK_BYTES):
                while self._is_cut(is_to_target):
                    await asyncio.sleep(CUT_POLL_SECONDS)
                if self.link.delay_seconds:
                    await asyncio.sleep(self.link.delay_seconds)
                sink.write(chunk)
                await sink.drain()
        except OSError:
            pass
        sink.close()
        self._writers.discard(sink)

    def _is_cut(self, is_to_target: bool) -> bool:
        return (
            self.link.is_cut_to_target if is_to_target else self.link.is_cut_from_target
        )


class ProxyHub:
    """All proxies, on one event loop in a background thread."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self._proxies: list[Proxy] = []

    def call(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        """Run a coroutine on the loop and return its result.

        Raises:
            TimeoutError: if it takes longer than 10 s.
        """
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(10.0)

    def open(self, target: str) -> Proxy:
        """Return a new proxy that listens and forwards to a target."""
        proxy = Proxy(target)
        self.call(proxy.listen())
        self._proxies.append(proxy)
        return proxy

    def close(self) -> None:
        """End all connections and stop the loop.

        A connection that is still open when the loop is gone raises an exception when
        it is collected as garbage, which pytest may not survive.
        """
        if not self._thread.is_alive():
            return
        for proxy in self._proxies:
            self.call(proxy.stop_listening())
        self.call(_cancel_others())
        for proxy in self._proxies:
            self.call(proxy.reset())
        # The connections end in the next step of the loop.
        self.call(asyncio.sleep(0))
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(5.0)


async def _cancel_others() -> None:
    others = asyncio.all_tasks() - {asyncio.current_task()}
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)
