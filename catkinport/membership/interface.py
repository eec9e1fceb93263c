"""What the other parts of a daemon see of its membership."""

from collections.abc import Callable, Mapping
from typing import NamedTuple, Protocol

from ..ports import Refused, Unavailable
from ..settings.environment import Environment


class MemberRecord(NamedTuple):
    """A member as the roster names it; ``role`` is ``entry`` or ``controller``.

    ``is_evicted`` is also true of a member that said goodbye. Its lease has ended T
    (with the margin of a waiter) after the first snapshot that shows it.
    """

    member_id: str
    role: str
    peer_address: str
    admin_address: str
    zone: str
    is_evicted: bool = False


class Snapshot(NamedTuple):
    """What the member knows at one time. Immutable, so that threads can share it.

    Args:
        member_id: own id; changes when the member registers anew.
        lease_expires_at: end of the freshness lease on the member's clock, in
            seconds. Keyed work, allowances and ownership rest on it.
        revision: revision of the configuration; 0 when there is none yet.
        environment: the configuration; ``None`` when there is none yet.
        document: text of the configuration.
        generation: counter of changes of the serving VMs.
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
    """A change of the configuration is committed and in force everywhere."""

    revision: int
    seconds_until_in_force: float


class RevisionConflict(NamedTuple):
    """The expected revision is not the current one; nothing was changed."""

    current_revision: int
    current_digest: str


AcceptOutcome = Acceptance | RevisionConflict | Refused | Unavailable


class Membership(Protocol):
    """Membership of this daemon. All methods are thread-safe."""

    def snapshot(self) -> Snapshot:
        """Return the latest snapshot without blocking."""
        ...

    def subscribe(self, callback: Callable[[Snapshot], None]) -> None:
        """Call ``callback`` with every new snapshot; it must not block."""
        ...

    def accept_document(
        self, document: str, expected_revision: int, change_id: str, operator: str
    ) -> AcceptOutcome:
        """Commit a checked document and block until it is in force everywhere.

        Repeating a change with the same ``change_id`` returns its acceptance again.
        """
        ...

    def notify_queue(self, controller_id: str, queue: str, job_id: str) -> bool:
        """Tell a controller of a new or cancelled job; return whether it owns it."""
        ...

    def request_return(
        self, member_id: str, team: str, resource: str, wanted: int
    ) -> int | Unavailable:
        """Ask a member to return idle allowance to the store; return the amount."""
        ...

    def on_queue_notice(self, handler: Callable[[str, str], bool]) -> None:
        """Set what answers ``notify_queue`` calls: ``handler(queue, job_id)``."""
        ...

    def on_return_request(self, handler: Callable[[str, str, int], int]) -> None:
        """Set what answers ``request_return``: ``handler(team, resource, wanted)``."""
        ...

    def leave(self) -> None:
        """Say goodbye to all members and leave the roster, then stop."""
        ...
