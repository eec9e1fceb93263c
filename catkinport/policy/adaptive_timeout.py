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

BACKOFF_FACTOR = 2.0
"""Factor by which the timeout grows with each call in a row that had no answer."""

N_LOST_ANSWERS = 1
"""Calls in a row without an answer that are taken for lost answers by default; the
timeout grows with the next one."""


class AdaptiveTimeout:
    """Timeout of calls to one service.

    Args:
        min_seconds: shortest timeout in seconds.
        max_seconds: longest timeout in seconds.
        factor: timeout as a multiple of the average duration.
        n_lost_answers: calls in a row without an answer that don't change the timeout.

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
        self,
        min_seconds: float,
        max_seconds: float,
        factor: float = TIMEOUT_FACTOR,
        n_lost_answers: int = N_LOST_ANSWERS,
    ) -> None:
        self._min_seconds = min_seconds
        self._max_seconds = max_seconds
        self._factor = factor
        self._n_lost_answers = n_lost_answers
        self._average_seconds: float | None = None
        self._n_timeouts = 0
        self._backoff = 1.0

    @property
    def seconds(self) -> float:
        """Timeout of the next call in seconds."""
        expected = self._factor * self.average_seconds
        seconds = max(self._min_seconds, expected) * self._backoff
        return min(self._max_seconds, seconds)

    @property
    def average_seconds(self) -> float:
        """Moving average of the time of an answer; 0 before the first one."""
        return self._average_seconds or 0.0

    def on_answer(self, seconds: float) -> None:
        """Record how many seconds an answer took."""
        is_slow = self._backoff > 1.0 and seconds > self._min_seconds
        self._n_timeouts = 0
        self._backoff = 1.0
        if self._average_seconds is None or is_slow:
            self._average_seconds = max(seconds, self.average_seconds)
            return
        self._average_seconds += SMOOTHING_FACTOR * (seconds - self._average_seconds)

    def on_timeout(self, timeout_seconds: float) -> None:
        """Record that a call with this timeout had no answer.

        Without it, the timeout of a service whose answers all take longer would never
        grow. A call that was given up sooner than the present timeout doesn't count.
        """
        if timeout_seconds < self.seconds:
            return
        self._n_timeouts += 1
        if self._n_timeouts > self._n_lost_answers and self.seconds < self._max_seconds:
            self._backoff *= BACKOFF_FACTOR
