"""Interface through which the other parts of a daemon use its membership."""

from collections.abc import Callable, Mapping
from typing import NamedTuple, Protocol

from ..ports import Refused, Unavailable
from ..settings.environment import Environment


class MemberRecord(NamedTuple):
    """A member of the roster; ``role`` is ``entry`` or ``controller``.

    ``is_evicted`` is also true of a member that announced its shutdown. Its lease
    has certainly ended once the length of a freshness lease, plus a margin for clocks
    that run at different rates, has passed since the first snapshot that shows it as
    evicted.
    """

    member_id: str
    role: str
    peer_address: str
    admin_address: str
    zone: str
    is_evicted: bool = False


class MembershipSnapshot(NamedTuple):
    """State of the member at one time. Immutable, so that threads can share it.

    Args:
        member_id: own id; changes when the member registers anew.
        lease_expires_at: end of the freshness lease on the member's clock, in
            seconds. Only until then may the member admit requests with an API key
            and rely on its allowances and on the pools that it owns.
        revision: revision of the configuration; 0 when there is none yet.
        environment: the configuration; ``None`` when there is none yet.
        document: text of the configuration.
        generation: number of changes so far of which VMs serve.
        member_by_id: the roster, own record included.
        is_store_reachable: whether the last read of the store succeeded.
    """

    member_id: str
    lease_expires_at: float
    revision: int
    environment: Environment | None
    document: str
    generation: int
    member_by_id: Mapping[str, MemberRecord]
    is_store_reachable: bool

    def is_fresh(self, now: float) -> bool:
        """Return whether the freshness lease runs at ``now``."""
        return now < self.lease_expires_at


class Acceptance(NamedTuple):
    """Result for a configuration change that is committed and in force.

    A revision is in force once no member with a valid freshness lease still uses an
    earlier one. ``seconds_until_in_force`` counts from the start of the call.
    """

    revision: int
    seconds_until_in_force: float


class RevisionConflict(NamedTuple):
    """Result when the expected revision is not the current one; nothing was changed."""

    current_revision: int
    current_digest: str


AcceptOutcome = Acceptance | RevisionConflict | Refused | Unavailable


class Membership(Protocol):
    """Membership of this daemon. All methods are thread-safe."""

    def snapshot(self) -> MembershipSnapshot:
        """Return the latest snapshot without blocking."""
        ...

    def subscribe(self, callback: Callable[[MembershipSnapshot], None]) -> None:
        """Call ``callback`` with every new snapshot; it must not block."""
        ...

    def accept_document(
        self, document: str, expected_revision: int, change_id: str, operator: str
    ) -> AcceptOutcome:
        """Commit a checked document and block until it is in force on all members.

        Repeating a change with the same ``change_id`` returns its acceptance again.
        """
        ...

    def notify_queue(self, controller_id: str, queue: str, job_id: str) -> bool:
        """Tell a controller of a new or cancelled job; return whether it owns it."""
        ...

    def request_allowance_return(
        self, member_id: str, team: str, resource: str, wanted: int
    ) -> int | Unavailable:
        """Ask a member to return idle allowance to the store; return the amount."""
        ...

    def set_queue_notice_handler(self, handler: Callable[[str, str], bool]) -> None:
        """Set the handler of peers' ``notify_queue`` calls.

        It is called as ``handler(queue, job_id)`` and returns whether this member owns
        the queue's pool.
        """
        ...

    def set_return_request_handler(
        self, handler: Callable[[str, str, int], int]
    ) -> None:
        """Set the handler of peers' ``request_allowance_return`` calls.

        It is called as ``handler(team, resource, wanted)`` and returns the amount that
        was returned to the store.
        """
        ...

    def leave(self) -> None:
        """Announce the shutdown to all members, leave the roster and stop."""
        ...
