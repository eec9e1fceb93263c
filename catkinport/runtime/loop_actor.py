"""Actor that owns an asyncio event loop and every socket on it."""

import asyncio
import threading
from collections.abc import Coroutine
from concurrent.futures import Future
from typing import Any

import pykka


class LoopActor(pykka.ThreadingActor):
    """Base of actors that do their network I/O with asyncio.

    The loop runs in a thread that belongs to the actor. Other actors send
    messages to the actor; only the actor schedules coroutines on the loop.
    """

    def __init__(self) -> None:
        super().__init__()
        self._loop = asyncio.new_event_loop()
        self._loop_thread = threading.Thread(
            target=self._loop.run_forever,
            name=f"{type(self).__name__}-loop",
            daemon=True,
        )

    def on_start(self) -> None:
        """Start the loop, then call ``open`` on it."""
        self._loop_thread.start()
        self._submit(self.open()).result()

    def on_stop(self) -> None:
        """Call ``close`` on the loop, then stop it."""
        self._submit(self.close()).result()
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._loop_thread.join()
        self._loop.close()

    async def open(self) -> None:
        """Open sockets; runs on the loop."""

    async def close(self) -> None:
        """Close sockets; runs on the loop."""

    def _submit(self, coroutine: Coroutine[Any, Any, Any]) -> "Future[Any]":
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop)
