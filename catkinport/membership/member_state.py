"""What a member knows of itself, its peers, the configuration and the store."""

from ..policy.freshness import Freshness
from .configuration import AppliedConfiguration
from .interface import MemberRecord, MembershipSnapshot
from .roster_store import StoreState
from .settings import Parse


class MemberState:
    """State from which the snapshots of a member are built.

    Args:
        member_id: own id.
        parse: parses a document into the environment.

    Attributes:
        freshness: lease and view of the roster; ``None`` while not registered.
        store_state: last state read from the store; ``None`` before the first read.
    """

    def __init__(self, member_id: str, parse: Parse) -> None:
        self.member_id = member_id
        self.freshness: Freshness | None = None
        self.configuration = AppliedConfiguration(parse)
        self.store_state: StoreState | None = None
        self._generation = 0

    def apply_document(self, revision: int, document: str, now: float) -> None:
        """Apply a document of a later revision, which may renew the lease."""
        is_applied = self.configuration.apply(revision, document)
        if is_applied and self.freshness is not None:
            self.freshness.on_revision_held(revision, now)

    def apply_store_state(self, state: StoreState) -> None:
        """Keep the state that was read last; the generation never decreases."""
        self.store_state = state
        self._generation = max(self._generation, state.generation)

    def snapshot(self, now: float) -> MembershipSnapshot:
        """Return the snapshot at ``now``."""
        freshness = self.freshness
        return MembershipSnapshot(
            member_id=self.member_id,
            lease_expires_at=freshness.lease_expires_at if freshness else 0.0,
            revision=self.configuration.revision,
            environment=self.configuration.environment,
            document=self.configuration.document,
            generation=self._generation,
            member_by_id=self._member_records(freshness, now) if freshness else {},
            is_store_reachable=bool(freshness and freshness.is_store_reachable(now)),
        )

    def _member_records(
        self, freshness: Freshness, now: float
    ) -> dict[str, MemberRecord]:
        ended_ids = freshness.ended_ids(now)
        return {
            member_id: MemberRecord(
                member_id,
                member.role,
                member.peer_address,
                self._admin_address(member_id),
                member.zone,
                member_id in ended_ids,
            )
            for member_id, member in freshness.view.member_by_id.items()
        }

    def _admin_address(self, member_id: str) -> str:
        if self.store_state is None:
            return ""
        row = self.store_state.member_row_by_id.get(member_id)
        return row["admin_address"] if row is not None else ""
