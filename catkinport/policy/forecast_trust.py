"""Tells which forecasts of ends may be relied on, from how often they were wrong.

Callers' estimates may be ten times off, and a queue may change what it runs. A queue
whose forecasts were wrong several times in a row is left out of forecasts for a while.
"""

from typing import NamedTuple

MAX_MISSES = 3
"""Misses in a row after which the forecasts of a source are not relied on."""

DISTRUST_SECONDS = 10.0
"""Time after the latest miss for which they are not. The durations of about 50 tasks
replace what was learned before, which a busy queue runs in less than this."""


class _Misses(NamedTuple):
    n_missed: int
    latest_at: float


class ForecastTrust:
    """Misses in a row of each source of forecasts; a source is a queue.

    Example:
        >>> trust = ForecastTrust()
        >>> for _ in range(MAX_MISSES):
        ...     trust.note_missed("nightly", 5.0)
        >>> trust.is_trusted("nightly", 6.0), trust.is_trusted("nightly", 16.0)
        (False, True)
    """

    def __init__(self) -> None:
        self._misses_by_source: dict[str, _Misses] = {}

    def note_kept(self, source: str) -> None:
        """Record that a forecast was right."""
        self._misses_by_source.pop(source, None)

    def note_missed(self, source: str, now: float) -> None:
        """Record that a forecast was wrong at the clock time ``now`` in seconds."""
        former = self._misses_by_source.get(source)
        n_missed = former.n_missed if former else 0
        self._misses_by_source[source] = _Misses(n_missed + 1, now)

    def is_trusted(self, source: str, now: float) -> bool:
        """Return whether the forecasts of a source may be relied on."""
        misses = self._misses_by_source.get(source)
        if misses is None or misses.n_missed < MAX_MISSES:
            return True
        # One more miss after that time ends the trust again.
        return now - misses.latest_at >= DISTRUST_SECONDS
