"""Keeps the pauses of Python's cyclic garbage collector short beside a large state.

A full collection visits all objects that live, while the event loop stands still. The
state that an owner loads lives as long as the ownership, so visiting it frees nothing.
"""

import gc
from collections.abc import Iterator
from contextlib import contextmanager


@contextmanager
def collector_stopped() -> Iterator[None]:
    """Collect no garbage in this context, which creates many objects that live on."""
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def exempt_living_objects() -> None:
    """Let later collections leave out the objects that exist now."""
    gc.freeze()


def visit_all_objects() -> None:
    """End the effect of `exempt_living_objects`."""
    gc.unfreeze()
