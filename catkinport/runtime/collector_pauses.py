"""Keeps the pauses of Python's cyclic garbage collector short beside a large state.

A full collection visits all objects that live, while the event loop stands still. The
state that an owner loads lives as long as the ownership, so visiting it frees nothing.
"""

import gc
from collections.abc import Iterator
from contextlib import contextmanager


@contextmanager
def exempt_living_objects() -> Iterator[None]:
    """Collect no garbage in this context, and exempt the objects that live at its end.

    The first collection after a context that only stopped the collector would visit
    all objects that were created in it.
    """
    gc.disable()
    try:
        yield
    finally:
        gc.freeze()
        gc.enable()


def visit_all_objects() -> None:
    """End the effect of `exempt_living_objects`."""
    gc.unfreeze()
