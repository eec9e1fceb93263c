"""Configuration changes that are committed but not yet known to be in force."""

from collections.abc import Callable, Collection
from concurrent.futures import Future
from typing import NamedTuple

from ..policy.freshness import Freshness


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
        >>> changes.take_finished(1.5, lambda revision: 9.0) == [in_force]
        True
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

    def take_finished(
        self, now: float, in_force_at: Callable[[int], float | None]
    ) -> list["Future[float]"]:
        """Remove the changes that are in force at ``now`` and return their results.

        The results are left for the caller to complete.

        Args:
            now: current time.
            in_force_at: returns when a revision is in force even if members have not
                acknowledged it; ``None`` if that is not known.
        """
        finished, unfinished = [], []
        for change in self._changes:
            at = in_force_at(change.revision)
            if not change.missing_ids or (at is not None and now >= at):
                finished.append(change.result)
            else:
                unfinished.append(change)
        self._changes = unfinished
        return finished

    def take_all(self) -> list["Future[float]"]:
        """Remove all changes and return their results.

        A member that registers anew does not learn when they are in force.
        """
        results = [change.result for change in self._changes]
        self._changes = []
        return results


def members_to_acknowledge(
    freshness: Freshness, roster_ids: Collection[str], now: float
) -> set[str]:
    """Return the members whose leases may still run without a new revision.

    Args:
        freshness: state of the member that accepted the change, which has applied it.
        roster_ids: all members of the roster at the commit.
        now: current time on the member's clock, in seconds.
    """
    ended = set(freshness.view.departed_ids) | {freshness.member_id}
    for member_id in roster_ids:
        ended_at = freshness.eviction_in_force_at(member_id)
        if ended_at is not None and ended_at <= now:
            ended.add(member_id)
    return set(roster_ids) - ended
