"""Event loop whose clock jumps to the next timer instead of waiting for it."""

import asyncio
import selectors


class _JumpingSelector(selectors.DefaultSelector):
    """Selector that never waits and notes for how long it would have.

    Attributes:
        passed_seconds: time that was not waited for.
    """

    passed_seconds = 0.0

    def select(self, timeout=None):
        if timeout:
            self.passed_seconds += timeout
        return super().select(0)


class _JumpingLoop(asyncio.SelectorEventLoop):
    def time(self):
        return self._selector.passed_seconds


def run_in_virtual_time(coroutine):
    """Run a coroutine that only waits for timers; return its result."""
    with asyncio.Runner(loop_factory=lambda: _JumpingLoop(_JumpingSelector())) as r:
        return r.run(coroutine)
