"""Timeouts of connecting, which grow for peers that are farther away than usual."""

MIN_CONNECT_TIMEOUT_SECONDS = 0.4
"""Wait for a connection. A VM that is off does not refuse a connection, so only this
limit ends the attempt."""

MAX_CONNECT_TIMEOUT_SECONDS = 2.0
"""Longest wait for a connection to a peer to which none was made in a shorter time."""

MIN_FAILED_ATTEMPTS = 8
"""Attempts in a row without a connection from which on the wait grows. A VM that is off
for a move or an upkeep is back before that."""

GROWTH_FACTOR = 2.0
"""Multiple of the last wait as the next one."""


class ConnectTimeouts:
    """Timeout of connecting to each peer.

    A connection needs one round trip. To a peer that is farther away than the timeout
    there would never be one.

    Example:
        >>> timeouts = ConnectTimeouts()
        >>> for _ in range(9):
        ...     timeouts.on_timeout("far:80")
        >>> timeouts.seconds("far:80"), timeouts.seconds("near:80")
        (1.6, 0.4)
    """

    def __init__(self) -> None:
        self._n_failed_by_peer: dict[str, int] = {}

    def seconds(self, peer: str) -> float:
        """Return the timeout of the next attempt in seconds."""
        n_failed = self._n_failed_by_peer.get(peer, 0)
        if n_failed < MIN_FAILED_ATTEMPTS:
            return MIN_CONNECT_TIMEOUT_SECONDS
        n_steps = min(n_failed - MIN_FAILED_ATTEMPTS + 1, 8)
        grown_seconds = MIN_CONNECT_TIMEOUT_SECONDS * GROWTH_FACTOR**n_steps
        return min(MAX_CONNECT_TIMEOUT_SECONDS, grown_seconds)

    def on_timeout(self, peer: str) -> None:
        """Record an attempt without a connection."""
        self._n_failed_by_peer[peer] = self._n_failed_by_peer.get(peer, 0) + 1

    def on_answer(self, peer: str, wait_seconds: float) -> None:
        """Record an answer, and the time from the call until it began to arrive.

        The timeout stays as it is after an answer that took longer than the shortest
        one, as the next connection to this peer may take as long.
        """
        if wait_seconds < MIN_CONNECT_TIMEOUT_SECONDS:
            self._n_failed_by_peer.pop(peer, None)
