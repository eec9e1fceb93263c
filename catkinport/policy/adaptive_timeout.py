"""Adapts the timeout of calls to the time that recent answers took.

A store may be fifty times as slow for some seconds and carry out transactions one
after the other. A fixed timeout that is shorter gives up calls that would have been
answered and sends them again, which makes the queue longer. A longer fixed timeout
waits long for each answer that is lost on a fast store. Durations of reads tell the two
cases apart, as reads are slow on a slow store only.

Where every answer takes longer than the timeout, no duration is ever measured. Timeouts
in a row therefore lengthen it too.
"""

SMOOTHING_FACTOR = 0.25
"""Weight of a new duration in the moving average, which follows a change within about
four answers."""

TIMEOUT_FACTOR = 10.0
"""Default timeout as a multiple of the average duration, as the store may carry out
several transactions of other daemons before a call."""

GROWTH_FACTOR = 2.0
"""Multiple of a timeout that has passed without an answer as the next timeout, from the
second one in a row on."""


class AdaptiveTimeout:
    """Timeout of calls to one service.

    Args:
        min_seconds: shortest timeout in seconds.
        max_seconds: longest timeout in seconds.
        factor: timeout as a multiple of the average duration.

    Example:
        >>> timeout = AdaptiveTimeout(0.6, 3.0)
        >>> timeout.on_answer(0.01)
        >>> timeout.seconds
        0.6
        >>> timeout.on_answer(0.41)
        >>> round(timeout.seconds, 2)
        1.1
    """

    def __init__(
        self, min_seconds: float, max_seconds: float, factor: float = TIMEOUT_FACTOR
    ) -> None:
        self._min_seconds = min_seconds
        self._max_seconds = max_seconds
        self._factor = factor
        self._average_seconds: float | None = None
        self._n_timeouts = 0

    @property
    def seconds(self) -> float:
        """Timeout of the next call in seconds."""
        expected = self._factor * self.average_seconds
        return min(self._max_seconds, max(self._min_seconds, expected))

    @property
    def average_seconds(self) -> float:
        """Moving average of the time of an answer; 0 before the first one."""
        return self._average_seconds or 0.0

    def on_answer(self, seconds: float) -> None:
        """Record how many seconds an answer took."""
        self._n_timeouts = 0
        if self._average_seconds is None:
            self._average_seconds = seconds
            return
        self._average_seconds += SMOOTHING_FACTOR * (seconds - self._average_seconds)

    def on_timeout(self, seconds: float) -> None:
        """Record that there was no answer within ``seconds``.

        A single timeout is taken for a lost answer and changes nothing.
        """
        self._n_timeouts += 1
        if self._n_timeouts < 2:
            return
        next_seconds = min(self._max_seconds, GROWTH_FACTOR * seconds)
        average_seconds = next_seconds / self._factor
        self._average_seconds = max(self.average_seconds, average_seconds)
