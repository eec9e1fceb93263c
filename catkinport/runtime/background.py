"""Background loops of a daemon that have to outlive an unexpected error."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

logger = logging.getLogger(__name__)

RESTART_PAUSE_SECONDS = 1.0
"""Pause before a loop that has failed runs again; bounds the lines that it logs."""


async def run_until_done(
    name: str,
    run: Callable[[], Awaitable[None]],
    pause_seconds: float = RESTART_PAUSE_SECONDS,
) -> None:
    """Run a background loop, and run it again each time that it fails.

    The exceptions are logged. Without this, the exception of a task that nobody awaits
    would be dropped, and the daemon would go on without the loop.

    Args:
        name: name of the loop in the log.
        run: starts the loop; it returns when the loop is done.
        pause_seconds: pause before the loop runs again.
    """
    while True:
        try:
            await run()
        except Exception:
            logger.exception("background loop failed: %s", name)
        else:
            return
        await asyncio.sleep(pause_seconds)
