"""Proxy for the connections of one machine, which can be cut off from its peers.

It does what `DEPLOY.md` says of a partition: held-up bytes of an open channel
arrive when the partition ends, unless their sender has reset the channel. A channel
that is opened during the partition hangs, and nothing that is sent on it arrives.
"""

import asyncio
import threading
from collections.abc import Callable

CHUNK_BYTES = 65536
POLL_SECONDS = 0.01


class Network:
    """All connections of one machine to the platform.

    Args:
        must_cut: is called with each chunk to the platform, before it is forwarded, and
            returns whether the partition begins now, with the chunk on its way.
    """

    def __init__(self, must_cut: Callable[[bytes], bool]) -> None:
        self.is_cut = False
        self._must_cut = must_cut
        self._loop = asyncio.new_event_loop()
        self._tasks: set[asyncio.Task] = set()
        threading.Thread(target=self._loop.run_forever, daemon=True).start()

    def open(self, target: str) -> str:
        """Return the address of a new proxy of ``target``."""
        future = asyncio.run_coroutine_threadsafe(self._listen(target), self._loop)
        return future.result(5.0)

    async def _listen(self, target: str) -> str:
        async def serve(reader, writer) -> None:
            if self.is_cut:
                # Nobody answers; what is sent on the channel is never forwarded.
                while self.is_cut:
                    await asyncio.sleep(POLL_SECONDS)
                writer.transport.abort()
                return
            host, _, port = target.rpartition(":")
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
            for source, sink, is_outward in (
                (reader, far_writer, True),
                (far_reader, writer, False),
            ):
                task = asyncio.ensure_future(self._forward(source, sink, is_outward))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def _forward(self, source, sink, is_outward: bool) -> None:
        try:
            while chunk := await source.read(CHUNK_BYTES):
                if is_outward and not self.is_cut and self._must_cut(chunk):
                    self.is_cut = True
                await self._wait_for_path(source)
                sink.write(chunk)
                await sink.drain()
            await self._wait_for_path(source)
            sink.close()
        except OSError:
            # The sender has reset the channel, so what was held up is lost.
            sink.transport.abort()

    async def _wait_for_path(self, source) -> None:
        while self.is_cut:
            await asyncio.sleep(POLL_SECONDS)
            if source.exception() is not None:
                raise ConnectionResetError
