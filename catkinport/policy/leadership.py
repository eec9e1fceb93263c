"""Leader election: decides when a daemon may become the owner of the fleet.

The owner is the one daemon that gives orders to the workers and VMs of the fleet. A
linearizable table holds two rows: one names the owner, the other is the heartbeat row
that the owner renews. A daemon that has seen the heartbeat row unchanged for long
enough claims the ownership: it replaces the owner's row, on the condition that neither
row has changed. The version of the owner's row is the fencing token.
"""

from typing import NamedTuple

HEARTBEAT_SECONDS = 0.3
"""Time between renewals of the heartbeat row; each renewal costs a write."""

TAKEOVER_SECONDS = 1.2
"""An owner is replaced when its heartbeat row has been unchanged for this long, or for
the longer time that the row states; three lost renewals do not cost it the ownership.
"""

MAX_TAKEOVER_SECONDS = 6.0
"""Longest time that an owner may state, which is `STOP_RENEWING_SECONDS`, and longest
time that the table service's latency makes a daemon wait for a takeover."""

LATENCY_FACTOR = 4.0
"""Multiple of the table service's latency that is added to ``TAKEOVER_SECONDS``, since
renewals are as slow as other calls and queue behind each other."""

MIN_CONFIRMATIONS = 3
"""Answers of the table service that must have shown no change before a takeover. An
outage of the table service that hides the renewals from every daemon therefore does not
cost the owner its ownership."""

MAY_BE_REPLACED_SECONDS = 0.8
"""After this long without a stored renewal an owner starts nothing that it has learned
of since then, as a successor may give orders from ``TAKEOVER_SECONDS`` on. It is later
for an owner that has stated a longer time until a takeover."""

STOP_RENEWING_SECONDS = 6.0
"""After this long without a stored renewal an owner stops renewing the leases of tasks.
Longer than the outages of the table service that running tasks have to survive."""

CLOCK_ERROR = 0.02
"""Fraction by which the rate of a monotonic clock may be off."""

LARGE_VM_CORES = 1.0
"""Cores of a VM that is fast enough to own a whole fleet: one order and one poll take
about 1 ms together, and 180 workers need several hundred per second."""

LARGE_VM_LINK_MBPS = 50.0
"""Network link of a VM that is fast enough to own a whole fleet: the lists and states
of a busy fleet take some Mbit/s."""

SMALL_VM_DELAY_SECONDS = 0.8
"""Delay of a claim from a smaller VM, which still claims if no other VM does."""


def claim_delay_seconds(cores: float, link_mbps: float) -> float:
    """Return how many seconds a VM leaves to larger VMs before it claims the ownership.

    Example:
        >>> claim_delay_seconds(2.0, 100.0)
        0.0
        >>> claim_delay_seconds(0.5, 100.0)
        0.8
    """
    is_large = cores >= LARGE_VM_CORES and link_mbps >= LARGE_VM_LINK_MBPS
    return 0.0 if is_large else SMALL_VM_DELAY_SECONDS


MAX_OWNER_LAG_SECONDS = 0.25
"""Lag of the event loop from which on an owner falls behind. Answers that arrive in
time are then read after their calls have been given up."""

MIN_OVERLOAD_SECONDS = 2.0
"""How long an owner on a small VM must fall behind until it asks for a successor. A
change of the owner stops all orders for half a second or more."""


class OverloadWatch:
    """Record of whether an owner falls behind for long.

    Example:
        >>> watch = OverloadWatch()
        >>> watch.note(0.5, 10.0)
        >>> watch.is_lasting(11.0), watch.is_lasting(12.0)
        (False, True)
    """

    def __init__(self) -> None:
        self._began_at: float | None = None

    def note(self, lag_seconds: float, now: float) -> None:
        """Record the lag of the event loop at clock time ``now`` in seconds."""
        if lag_seconds < MAX_OWNER_LAG_SECONDS:
            self._began_at = None
        elif self._began_at is None:
            self._began_at = now

    def is_lasting(self, now: float) -> bool:
        """Return whether the owner has fallen behind for `MIN_OVERLOAD_SECONDS`."""
        return self._began_at is not None and (
            now - self._began_at >= MIN_OVERLOAD_SECONDS
        )


class OwnerRows(NamedTuple):
    """The owner's row and its heartbeat row as a daemon has read them.

    Args:
        owner_version: version of the owner's row; 0 when there is none.
        heartbeat_version: version of the heartbeat row, which the owner renews.
        is_released: whether the owner has released the ownership.
        is_earlier_process: whether the owner is an earlier process of this same daemon,
            which must have ended.
        is_resolved: whether the owner has stored that no task of the owners before it
            can be running on a worker that it has not reached.
        takeover_seconds: time without a change of the rows after which the owner may
            be replaced, as it has stated.
    """

    owner_version: int
    heartbeat_version: int
    is_released: bool
    is_earlier_process: bool = False
    is_resolved: bool = False
    takeover_seconds: float = TAKEOVER_SECONDS

    @property
    def is_former_ended(self) -> bool:
        """Whether no owner so far can renew a lease any more.

        The owner itself must have ended. The owners before it may be alive without
        knowing that they were replaced, until the owner has resolved all workers.
        """
        has_ended = self.is_released or self.is_earlier_process
        return has_ended and self.is_resolved


class OwnerWatch:
    """Record of what a daemon has seen of the current owner.

    Example:
        >>> watch = OwnerWatch()
        >>> watch.observe(OwnerRows(0, 0, False), 0.0)
        >>> watch.may_claim(0.0)
        True
    """

    def __init__(self) -> None:
        self._owner_rows: OwnerRows | None = None
        self._changed_at = 0.0
        self._n_confirmations = 0
        self._latency_seconds = 0.0

    @property
    def owner_rows(self) -> OwnerRows | None:
        """The rows as they were read last; ``None`` before the first read."""
        return self._owner_rows

    @property
    def changed_at(self) -> float:
        """Clock time in seconds at which a change of the rows was last seen."""
        return self._changed_at

    @property
    def latency_seconds(self) -> float:
        """Seconds that the table service took longer than the requested wait."""
        return self._latency_seconds

    def observe(self, owner_rows: OwnerRows, now: float) -> None:
        """Record rows that the table service returned in an answer at ``now``."""
        if owner_rows != self._owner_rows:
            self._owner_rows = owner_rows
            self._changed_at = now
            self._n_confirmations = 0
            return
        self._n_confirmations += 1

    def note_latency(self, seconds: float) -> None:
        """Record how much longer than the requested wait the table service took."""
        self._latency_seconds = max(0.0, seconds)

    def may_claim(self, now: float, wait_seconds: float = 0.0) -> bool:
        """Return whether the ownership may be claimed.

        Args:
            now: clock time in seconds.
            wait_seconds: extra time before this daemon claims, so that several
                daemons do not claim at the same moment.
        """
        if self._owner_rows is None:
            return False
        silent_seconds = now - self._changed_at
        if self._owner_rows.is_earlier_process and not wait_seconds:
            return True
        if self._owner_rows.owner_version == 0 or self._owner_rows.is_released:
            return silent_seconds >= wait_seconds
        is_seen_often_enough = self._n_confirmations >= MIN_CONFIRMATIONS
        latency_seconds = LATENCY_FACTOR * self._latency_seconds
        needed_seconds = max(
            self._owner_rows.takeover_seconds,
            min(MAX_TAKEOVER_SECONDS, TAKEOVER_SECONDS + latency_seconds),
        )
        return is_seen_often_enough and silent_seconds >= needed_seconds + wait_seconds


class OwnLease(NamedTuple):
    """The owner's own view of its lease.

    Args:
        token: fencing token.
        renewed_at: clock time in seconds at which the latest stored renewal was sent.
        takeover_seconds: shortest time that any row which a successor may have read
            states.
    """

    token: int
    renewed_at: float
    takeover_seconds: float = TAKEOVER_SECONDS

    def may_be_replaced(self, now: float) -> bool:
        """Return whether a successor may take over soon or has done so."""
        stated_seconds = self.takeover_seconds - TAKEOVER_SECONDS
        safe_seconds = MAY_BE_REPLACED_SECONDS + stated_seconds * (1 - 2 * CLOCK_ERROR)
        return now - self.renewed_at > safe_seconds

    def must_stop_renewing(self, now: float) -> bool:
        """Return whether the owner must no longer renew the leases of tasks."""
        return now - self.renewed_at > STOP_RENEWING_SECONDS


def former_owner_bound(
    changed_at: float, is_ended: bool, lease_seconds: float
) -> float:
    """Return when the tasks of a former owner have ended on workers out of reach.

    A task ends when its lease is no longer renewed. The bound covers clocks that run
    at different rates.

    Args:
        changed_at: clock time in seconds at which the successor saw the last renewal
            by the former owner, which was sent earlier, or at which that owner ended.
        is_ended: whether the former owner has ended, and all owners before it renew no
            lease on a worker that may still run their tasks.
        lease_seconds: longest time that a task runs on after the last call of its
            owner.

    Returns:
        Clock time in seconds from which none of these tasks can run.
    """
    silent_seconds = lease_seconds + (0.0 if is_ended else STOP_RENEWING_SECONDS)
    return changed_at + silent_seconds * (1 + 2 * CLOCK_ERROR)
