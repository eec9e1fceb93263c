"""Record of when a member learned that others were evicted or have departed."""

from .view import View


class EndedMembers:
    """When each evicted and each departed member of the roster was first seen as such.

    Attributes:
        evicted_at_by_id: when the eviction of a member was first seen.
        departed_at_by_id: when the announced stop of a member was first seen.
    """

    def __init__(self) -> None:
        self.evicted_at_by_id: dict[str, float] = {}
        self.departed_at_by_id: dict[str, float] = {}

    def record(self, view: View, now: float) -> None:
        """Record what ``view`` says; members that it does not list are dropped."""
        for member_id, member in view.member_by_id.items():
            if member.is_evicted:
                self.evicted_at_by_id.setdefault(member_id, now)
        for member_id in view.departed_ids:
            self.departed_at_by_id.setdefault(member_id, now)
        for value_by_id in (self.evicted_at_by_id, self.departed_at_by_id):
            for member_id in value_by_id.keys() - view.member_by_id.keys():
                del value_by_id[member_id]
