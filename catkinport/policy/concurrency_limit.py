"""Limits the calls in flight by the time that their answers take.

A caller on a slow VM that has too many calls in flight finds their answers late, takes
them for lost, and repeats them: its load makes more load. Fewer calls at a time are
answered in time, and more of them per second.
"""

INITIAL_CALLS = 256
"""Calls in flight that are allowed at first."""

MIN_CALLS = 16
"""Lower bound of the limit while answers are fast."""

MIN_CALLS_PER_SECOND = 150.0
"""Calls that can begin in a second at least, however far the peers are."""

MAX_CALLS = 512
"""Upper bound of the limit."""

SLOW_ANSWER_SECONDS = 0.25
"""An answer that took longer lowers the limit. It comes well before a call without an
answer is given up."""

MAX_FASTEST_SECONDS = 2.5
"""Longest time that the answers of far peers are taken to need."""

FASTEST_WINDOW_SECONDS = 2.5
"""The fastest answers are those of the present and of the former window of this
length."""

INCREASE_CALLS = 8.0
"""Increase of the limit for each set of calls, as many as the limit, that were answered
in time."""

DECREASE_FACTOR = 0.7
"""Factor on the limit when answers are slow."""

DECREASE_INTERVAL_SECONDS = 0.5
"""Shortest time between two decreases, so that calls which were in flight together
lower the limit once."""


class _FastestAnswer:
    """Time of the fastest answer of late, which far peers make long and load doesn't.

    Attributes:
        seconds: that time; 0 before the end of the first window.
    """

    def __init__(self) -> None:
        self.seconds = 0.0
        self._present = MAX_FASTEST_SECONDS
        self._window_began_at: float | None = None

    def note(self, seconds: float, now: float) -> None:
        """Note the time of an answer that came at clock time ``now``, in seconds."""
        if seconds > MAX_FASTEST_SECONDS:
            return
        if self._window_began_at is None:
            self._window_began_at = now
        if now - self._window_began_at >= FASTEST_WINDOW_SECONDS:
            self._window_began_at = now
            self.seconds = self._present
            self._present = MAX_FASTEST_SECONDS
        self._present = min(self._present, seconds)
        self.seconds = min(self.seconds, seconds)


class ConcurrencyLimit:
    """Limit of calls in flight: additive increase, multiplicative decrease.

    Calls without an answer leave the limit as it is, because their peers may be gone.
    The answers of far peers are slow however few calls are in flight, so the limit
    stays above the number that is in flight at `MIN_CALLS_PER_SECOND`.

    Attributes:
        n_in_flight: number of calls that have begun and not ended.

    Example:
        >>> limit = ConcurrencyLimit()
        >>> limit.begin()
        >>> limit.end(0.5, is_answered=True, now=1.0)
        >>> limit.n_free
        179
    """

    def __init__(self) -> None:
        self._limit = float(INITIAL_CALLS)
        self.n_in_flight = 0
        self._decreased_at = float("-inf")
        self._fastest = _FastestAnswer()

    @property
    def n_free(self) -> int:
        """Number of calls that may begin now."""
        return max(0, int(self._limit) - self.n_in_flight)

    def begin(self) -> None:
        """Count a call that begins."""
        self.n_in_flight += 1

    def end(self, seconds: float, is_answered: bool, now: float) -> None:
        """Count a call that has ended, and adapt the limit.

        Args:
            seconds: time from its beginning.
            is_answered: whether it had an answer.
            now: clock time in seconds.
        """
        was_in_use = self.n_in_flight * 2 >= self._limit
        self.n_in_flight -= 1
        if not is_answered:
            return
        self._fastest.note(seconds, now)
        if seconds <= SLOW_ANSWER_SECONDS:
            if was_in_use:
                increase = INCREASE_CALLS / self._limit
                self._limit = min(self._limit + increase, MAX_CALLS)
        elif now - self._decreased_at >= DECREASE_INTERVAL_SECONDS:
            self._decreased_at = now
            self._limit *= DECREASE_FACTOR
        self._limit = max(self._limit, self._lower_bound())

    def _lower_bound(self) -> float:
        return max(MIN_CALLS, MIN_CALLS_PER_SECOND * self._fastest.seconds)
