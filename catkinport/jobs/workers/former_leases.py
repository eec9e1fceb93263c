"""Leases that calls for former incarnations of a worker may have granted.

A worker that starts again under its id is another incarnation, and its clock begins
anew. A call that was made for the incarnation before may reach it. The end of the lease
in that call then lies far ahead, and the worker grants its longest lease.
"""

from ..dispatch.task import ORDER_DELAY_SECONDS


class FormerLeases:
    """Incarnations of a worker that are known, and the leases of calls across them.

    Attributes:
        newest: Unix time in seconds at which the present incarnation started, as the
            latest answer or list of workers shows it; 0 before the first.
        until: clock time in seconds until which a lease may last that a call for a
            former incarnation has granted; minus infinity if there is none.

    Example:
        >>> leases = FormerLeases()
        >>> leases.note(1.0, 100.0, 99.0, 10.0), leases.until
        (False, -inf)
        >>> leases.note(2.0, 105.0, 104.0, 10.0), leases.until
        (True, 126.0)
    """

    def __init__(self) -> None:
        self.newest = 0.0
        self.until = float("-inf")
        self._known: set[float] = set()
        self._noted_at = float("-inf")

    def note(
        self, started_at: float, now: float, called_at: float, lease_seconds: float
    ) -> bool:
        """Note an incarnation, and return whether it follows a known one.

        Args:
            started_at: Unix time in seconds at which it started; 0 if unknown.
            now: clock time in seconds.
            called_at: clock time in seconds of the last call with a lease that was made
                for the incarnation before. It may be carried out until
                `ORDER_DELAY_SECONDS` later.
            lease_seconds: bound of the longest lease on the owner's clock.
        """
        if not started_at or started_at in self._known:
            return False
        is_later = bool(self._known)
        self._known.add(started_at)
        self.newest = started_at
        if is_later:
            self.note_unknown(now, called_at, lease_seconds)
        return is_later

    def note_unknown(self, now: float, called_at: float, lease_seconds: float) -> None:
        """Note that some later incarnation exists.

        Args:
            now: clock time in seconds.
            called_at: as for `note`.
            lease_seconds: as for `note`.
        """
        self._noted_at = now
        arrives_by = max(now, called_at + ORDER_DELAY_SECONDS)
        self.until = max(self.until, arrives_by + lease_seconds)

    def restore(self, started_at: float, until: float, called_until: float) -> None:
        """Restore what a former owner has stored.

        Args:
            started_at: Unix time in seconds at which the newest incarnation started; 0
                if unknown.
            until: clock time in seconds until which a lease of a call for a former
                incarnation may last.
            called_until: clock time in seconds after which the former owner calls no
                worker.
        """
        if started_at:
            self._known.add(started_at)
        self.newest = started_at
        self.until = until
        # The former owner's calls may have reached an incarnation until then.
        self._noted_at = called_until

    def limit(self, until: float) -> None:
        """Note that no such lease lasts beyond the clock time ``until``."""
        self.until = min(self.until, until)

    def note_ended(self, ended_at: float) -> None:
        """Note that the VM was down at the clock time ``ended_at`` or later.

        Leases of calls for incarnations that were noted before are over by then.
        """
        if self._noted_at < ended_at:
            self.until = float("-inf")
