"""Clocks that measure elapsed time."""

from typing import Protocol


class Clock(Protocol):
    """Clock that keeps running while the process or its VM is suspended."""

    def now(self) -> float:
        """Return seconds since an arbitrary fixed point."""
        ...

    def sleep(self, seconds: float) -> None:
        """Block the calling thread for ``seconds``."""
        ...


class ManualClock:
    """Clock that a test or a benchmark advances explicitly.

    Example:
        >>> clock = ManualClock()
        >>> clock.advance(1.5)
        >>> clock.now()
        1.5
    """

    def __init__(self, start: float = 0.0) -> None:
        self._now = start

    def now(self) -> float:
        """Return the current time of this clock, in seconds."""
        return self._now

    def sleep(self, seconds: float) -> None:
        """Advance the clock instead of blocking."""
        self.advance(seconds)

    def advance(self, seconds: float) -> None:
        """Move the clock forward by ``seconds``."""
        if seconds < 0:
            raise ValueError(f"seconds must be >= 0, got {seconds!r}")
        self._now += seconds
