"""Bounds the time that answers of peers take, by the answers that they gave lately.

A peer is one of many servers of the same kind, such as the workers of a fleet. A fixed
timeout that every answer exceeds gives up all calls for good, and teaches nothing about
the time that an answer would have taken. So a call after calls without an answer waits
longer by turns, until an answer tells how long it takes.
"""

from collections.abc import Collection

SMOOTHING_FACTOR = 0.25
"""Weight of a new answer in the moving averages."""

SPREAD_FACTOR = 5.0
"""Bound as a multiple of the average."""

MAX_SPREAD_SECONDS = 0.7
"""Most that a bound over `LONG_BOUND_SECONDS` is above the average."""

LONG_BOUND_SECONDS = 1.0
"""Bound up to which the multiple of the average counts alone."""

BACKOFF_FACTORS = (1.0, 1.0, 2.0, 4.0)
"""Multiples of the bound for a peer that has not answered, by the number of its calls
without an answer. They repeat, because the peer may be gone, and a call that is under
way when it comes back is not answered."""


class AnswerTimes:
    """Moving averages of the time of answers, for each peer and for all of them.

    Args:
        max_seconds: longest bound in seconds.

    Example:
        >>> times = AnswerTimes(2.5)
        >>> times.note_answer("w1", 0.5)
        >>> times.bound("w1", 0.4), times.bound("w2", 0.4)
        (1.2, 1.2)
        >>> times.note_answer("w1", 0.1)
        >>> round(times.bound("w1", 0.4), 2)
        1.1
    """

    def __init__(self, max_seconds: float) -> None:
        self._max_seconds = max_seconds
        self._average_seconds: float | None = None
        self._average_by_peer: dict[str, float] = {}
        self._n_unanswered_by_peer: dict[str, int] = {}

    def average(self, peer: str) -> float:
        """Return the usual time of an answer of a peer in seconds; 0 if unknown."""
        return self._average_by_peer.get(peer, self._average_seconds) or 0.0

    def bound(self, peer: str, min_seconds: float) -> float:
        """Return the time in seconds within which a peer that is alive answers.

        Args:
            peer: name of the peer; one that has never answered is taken to be like
                the others.
            min_seconds: lower bound.
        """
        average = self.average(peer)
        longest = max(LONG_BOUND_SECONDS, average + MAX_SPREAD_SECONDS)
        bound = min(SPREAD_FACTOR * average, longest)
        return min(max(bound, min_seconds), self._max_seconds)

    def timeout(self, peer: str, min_seconds: float) -> float:
        """Return how long to wait for the next answer of a peer, in seconds.

        It is longer than the bound if the latest calls had no answer in time.
        """
        n_unanswered = self._n_unanswered_by_peer.get(peer, 0)
        factor = BACKOFF_FACTORS[n_unanswered % len(BACKOFF_FACTORS)]
        return min(factor * self.bound(peer, min_seconds), self._max_seconds)

    def note_answer(self, peer: str, seconds: float | None) -> None:
        """Note an answer of a peer, and the seconds that it took if they are known.

        An answer that follows calls without one shows that the average is out of date.
        """
        n_unanswered = self._n_unanswered_by_peer.pop(peer, 0)
        if seconds is None:
            return
        self._average_seconds = _smooth(self._average_seconds, seconds)
        own = _smooth(self._average_by_peer.get(peer, self._average_seconds), seconds)
        self._average_by_peer[peer] = max(own, seconds) if n_unanswered else own

    def note_timeout(self, peer: str) -> None:
        """Note that a call of a peer had no answer in time."""
        self._n_unanswered_by_peer[peer] = self._n_unanswered_by_peer.get(peer, 0) + 1

    def keep_only(self, peers: Collection[str]) -> None:
        """Forget all other peers."""
        for by_peer in (self._average_by_peer, self._n_unanswered_by_peer):
            for peer in by_peer.keys() - set(peers):
                del by_peer[peer]


def _smooth(average: float | None, seconds: float) -> float:
    if average is None:
        return seconds
    return average + SMOOTHING_FACTOR * (seconds - average)
