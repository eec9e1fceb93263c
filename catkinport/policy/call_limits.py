"""Limits the calls of each caller in a sliding window of time."""

from collections import deque
from collections.abc import Callable


class CallLimits:
    """Counter of the latest calls of each caller.

    Args:
        max_calls: most calls of one caller within the window, at least 1.
        window_seconds: length of the window.
        now: returns the time of a steady clock in seconds.

    Example:
        >>> now = 0.0
        >>> limits = CallLimits(1, 60.0, lambda: now)
        >>> limits.admit("studio"), limits.admit("studio"), limits.admit("rival")
        (0.0, 60.0, 0.0)
    """

    def __init__(
        self, max_calls: int, window_seconds: float, now: Callable[[], float]
    ) -> None:
        if max_calls < 1:
            raise ValueError(f"max_calls must be >= 1, got {max_calls!r}")
        self._max_calls = max_calls
        self._window_seconds = window_seconds
        self._now = now
        self._times_by_caller: dict[str, deque[float]] = {}

    def admit(self, caller: str) -> float:
        """Count a call if the limit of its caller allows it.

        Returns:
            0 if it does, otherwise the seconds until the next call is allowed.
        """
        now = self._now()
        times = self._times_by_caller.setdefault(caller, deque())
        while times and now - times[0] >= self._window_seconds:
            times.popleft()
        if len(times) >= self._max_calls:
            return times[0] + self._window_seconds - now
        times.append(now)
        return 0.0
