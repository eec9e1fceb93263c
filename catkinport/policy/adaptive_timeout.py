"""Adapts a timeout to how long answers take lately.

Pattern: a store that is fifty times as slow for some seconds carries out one
transaction after the other. A fixed timeout below that gives up calls that would have
been answered and sends them again, which makes the queue longer; a fixed timeout above
it waits long for each answer that is lost on a fast store. Reads tell the two apart:
they are slow on a slow store only.
"""

GAIN = 0.25
"""Weight of a new duration in the smoothed one; four answers show a change."""

QUEUE_FACTOR = 10.0
"""A call is given up after this many times the usual duration of an answer, as a few
transactions of other daemons may be carried out before it."""


class AdaptiveTimeout:
    """Timeout of calls to one service.

    Args:
        least: shortest timeout in seconds.
        most: longest timeout in seconds.

    Example:
        >>> timeout = AdaptiveTimeout(0.6, 3.0)
        >>> timeout.on_answer(0.01)
        >>> timeout.seconds
        0.6
        >>> timeout.on_answer(0.41)
        >>> round(timeout.seconds, 2)
        1.1
    """

    def __init__(self, least: float, most: float) -> None:
        self._least = least
        self._most = most
        self._usual_seconds: float | None = None

    @property
    def seconds(self) -> float:
        """How long to wait for the next answer."""
        expected = QUEUE_FACTOR * (self._usual_seconds or 0.0)
        return min(self._most, max(self._least, expected))

    def on_answer(self, seconds: float) -> None:
        """Take in how long an answer took."""
        if self._usual_seconds is None:
            self._usual_seconds = seconds
            return
        self._usual_seconds += GAIN * (seconds - self._usual_seconds)
