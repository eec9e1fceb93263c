"""Calls a function periodically, and earlier on request."""

import threading
from collections.abc import Callable

from ..ports import Clock


class Ticker:
    """Calls a function from a thread of its own until it is stopped.

    Args:
        clock: clock of the period.
        period_seconds: longest time between two calls, above 0.
        on_tick: called with ``True`` at the end of a period, ``False`` when
            ``wake_after`` asked for an earlier call.
    """

    def __init__(
        self, clock: Clock, period_seconds: float, on_tick: Callable[[bool], None]
    ) -> None:
        self._clock = clock
        self._period_seconds = period_seconds
        self._on_tick = on_tick
        self._condition = threading.Condition()
        self._wake_at = float("inf")
        self._is_stopped = False
        self._thread = threading.Thread(target=self._run, name="ticker", daemon=True)

    def start(self) -> None:
        """Start the thread that makes the calls."""
        self._thread.start()

    def stop(self) -> None:
        """Stop calling, and wait for a call that is in progress."""
        with self._condition:
            self._is_stopped = True
            self._condition.notify()
        self._thread.join()

    def wake_after(self, seconds: float) -> None:
        """Ask for one call after ``seconds``, or before."""
        at = self._clock.now() + seconds
        with self._condition:
            if at < self._wake_at:
                self._wake_at = at
                self._condition.notify()

    def _run(self) -> None:
        next_period_at = self._clock.now() + self._period_seconds
        while True:
            with self._condition:
                if self._is_stopped:
                    return
                due_at = min(next_period_at, self._wake_at)
                remaining = due_at - self._clock.now()
                if remaining > 0:
                    self._condition.wait(remaining)
                    continue
                self._wake_at = float("inf")
            is_period = due_at == next_period_at
            if is_period:
                next_period_at = self._clock.now() + self._period_seconds
            self._on_tick(is_period)
