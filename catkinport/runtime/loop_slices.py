"""Splits long work on an event loop into slices, between which other tasks run."""

import asyncio
import time
from collections.abc import AsyncIterator, Iterable
from typing import TypeVar

SLICE_SECONDS = 0.02
"""Time after which the event loop gets its turn."""

Item = TypeVar("Item")


async def iterate_in_slices(items: Iterable[Item]) -> AsyncIterator[Item]:
    """Iterate over items, and let other tasks of the event loop run now and then.

    Args:
        items: the items. No other task may change their collection meanwhile.
    """
    end_at = time.monotonic() + SLICE_SECONDS
    for item in items:
        yield item
        if time.monotonic() >= end_at:
            await asyncio.sleep(0)
            end_at = time.monotonic() + SLICE_SECONDS
