"""Views: what a member knows of the roster."""

from collections.abc import Mapping
from typing import NamedTuple


class ViewMember(NamedTuple):
    """A member as the roster lists it."""

    role: str
    peer_address: str
    zone: str
    is_evicted: bool = False


class View(NamedTuple):
    """The roster at one version, and those of its members that announced their stop."""

    roster_version: int
    member_by_id: Mapping[str, ViewMember]
    departed_ids: frozenset[str] = frozenset()

    def live_ids(self) -> set[str]:
        """Return the members that are neither evicted nor departed."""
        return {
            member_id
            for member_id, member in self.member_by_id.items()
            if not member.is_evicted and member_id not in self.departed_ids
        }


def merge_views(first: View, second: View) -> View:
    """Combine two views.

    The roster has one history of versions, so the higher version replaces the
    lower one. A member that it does not list has left or was evicted for good.

    Example:
        >>> member = ViewMember("entry", "127.0.0.1:1", "a")
        >>> old = View(1, {"a": member}, frozenset({"a"}))
        >>> merged = merge_views(old, View(2, {"a": member, "b": member}))
        >>> sorted(merged.live_ids())
        ['b']
    """
    newest = second if second.roster_version > first.roster_version else first
    departed = (first.departed_ids | second.departed_ids) & set(newest.member_by_id)
    return newest._replace(departed_ids=frozenset(departed))
