"""Record of when a member learned of the revisions of the configuration."""

_MAX_KNOWN_REVISIONS = 32


class KnownRevisions:
    """The newest revision that a member knows of, and when it learned of the last ones.

    Args:
        revision: revision that is known at first.
        now: time at which it is known.

    Example:
        >>> revisions = KnownRevisions(1, now=0.0)
        >>> revisions.record(3, now=5.0)
        >>> revisions.newest, revisions.known_at(2)
        (3, 5.0)
        >>> revisions.known_at(4) is None
        True
    """

    def __init__(self, revision: int, now: float) -> None:
        self.newest = revision
        self._known_at_by_revision = {revision: now}

    def record(self, revision: int, now: float) -> None:
        """Record that a revision exists; older ones than the newest change nothing."""
        if revision <= self.newest:
            return
        self.newest = revision
        self._known_at_by_revision[revision] = now
        if len(self._known_at_by_revision) > _MAX_KNOWN_REVISIONS:
            del self._known_at_by_revision[min(self._known_at_by_revision)]

    def known_at(self, revision: int) -> float | None:
        """Return when ``revision`` or a newer one was first known; ``None`` if not."""
        known_at = [at for r, at in self._known_at_by_revision.items() if r >= revision]
        return min(known_at, default=None)
