"""Configuration changes that are committed but not yet known to be in force."""

from collections.abc import Callable, Collection
from concurrent.futures import Future
from typing import NamedTuple


class _PendingChange(NamedTuple):
    revision: int
    missing_ids: set[str]
    result: "Future[float]"


class PendingChanges:
    """Committed changes that wait until they are in force.

    A change is in force once all members have acknowledged it, or once the leases of
    those that have not must have ended.

    Example:
        >>> changes = PendingChanges()
        >>> in_force = Future()
        >>> changes.add(3, {"b"}, in_force)
        >>> changes.acknowledge("b", held_revision=3)
        >>> changes.finish(1.5, lambda revision: 9.0)
        >>> in_force.result()
        1.5
    """

    def __init__(self) -> None:
        self._changes: list[_PendingChange] = []

    def add(
        self, revision: int, missing_ids: Collection[str], result: "Future[float]"
    ) -> None:
        """Add a change that ``missing_ids`` have not acknowledged."""
        self._changes.append(_PendingChange(revision, set(missing_ids), result))

    def acknowledge(self, member_id: str, held_revision: int) -> None:
        """Record that a member has applied a revision."""
        for change in self._changes:
            if held_revision >= change.revision:
                change.missing_ids.discard(member_id)

    def finish(self, now: float, in_force_at: Callable[[int], float | None]) -> None:
        """Complete the changes that are in force at ``now``.

        Args:
            now: current time, which becomes the result of each completed change.
            in_force_at: returns when a revision is in force even if members have not
                acknowledged it; ``None`` if that is not known.
        """
        unfinished = []
        for change in self._changes:
            at = in_force_at(change.revision)
            if not change.missing_ids or (at is not None and now >= at):
                change.result.set_result(now)
            else:
                unfinished.append(change)
        self._changes = unfinished

    def fail_all(self) -> None:
        """Cancel all changes; this member will not know when they are in force."""
        for change in self._changes:
            change.result.cancel()
        self._changes = []
