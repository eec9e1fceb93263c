"""Decides when a daemon may take over the ownership of the fleet.

Pattern: a lease row in a linearizable table. The owner renews a second row; whoever
has seen it unchanged for long enough replaces the owner's row on the condition that
neither has changed. The version of the owner's row is the fencing token.
"""

from typing import NamedTuple

BEAT_SECONDS = 0.3
"""Time between renewals; one renewal costs a write."""

TAKEOVER_SECONDS = 1.2
"""Unchanged for this long, an owner is replaced; three renewals may be lost."""

LATENCY_FACTOR = 4.0
"""Times the latency of the table service is added to the silence that is needed, since
renewals are as slow as other calls and wait for each other."""

MIN_CONFIRMATIONS = 3
"""Answers that must have shown no change. An outage of the table service that hides
the owner's renewals from everybody therefore does not depose it."""

DOUBT_SECONDS = 0.8
"""After this long without a stored renewal an owner starts nothing that it learnt of
since, as its successor may be at work from ``TAKEOVER_SECONDS`` on."""

GIVE_UP_SECONDS = 6.0
"""After this long without a stored renewal an owner stops renewing leases of tasks.
Longer than the outages of the table service that work has to survive."""

CLOCK_ERROR = 0.02
"""Fraction by which two steady clocks may differ."""


STRONG_CORES = 1.0
"""Processor of a VM that can carry the orders of a whole fleet: an order and a look
cost about 1 ms together, and 180 workers ask for several hundred a second."""

STRONG_LINK_MBPS = 50.0
"""Link of such a VM; lists and states of a busy fleet take some Mbit/s."""

WEAK_DELAY_SECONDS = 0.8
"""How much later a VM claims that is weaker. It still claims if no other does."""


def claim_delay_seconds(cores: float, link_mbps: float) -> float:
    """Return how long a VM waits for stronger ones before it claims.

    Example:
        >>> claim_delay_seconds(2.0, 100.0)
        0.0
        >>> claim_delay_seconds(0.5, 100.0)
        0.8
    """
    is_strong = cores >= STRONG_CORES and link_mbps >= STRONG_LINK_MBPS
    return 0.0 if is_strong else WEAK_DELAY_SECONDS


class OwnerSighting(NamedTuple):
    """The two rows of the ownership as they were read.

    Args:
        owner_version: version of the owner's row; 0 when there is none.
        beat_version: version of the row that the owner renews.
        is_released: whether the owner has given the ownership up.
        is_own_former: whether the owner was an earlier process of this daemon, which
            has ended therefore.
    """

    owner_version: int
    beat_version: int
    is_released: bool
    is_own_former: bool = False

    @property
    def is_former_ended(self) -> bool:
        """Whether the owner surely gives no more orders."""
        return self.is_released or self.is_own_former


class OwnerWatch:
    """What a daemon has seen of the owner.

    Example:
        >>> watch = OwnerWatch()
        >>> watch.observe(OwnerSighting(0, 0, False), 0.0)
        >>> watch.may_claim(0.0)
        True
    """

    def __init__(self) -> None:
        self._sighting: OwnerSighting | None = None
        self._changed_at = 0.0
        self._n_confirmations = 0
        self._latency_seconds = 0.0

    @property
    def sighting(self) -> OwnerSighting | None:
        """The latest sighting."""
        return self._sighting

    @property
    def changed_at(self) -> float:
        """Clock time in seconds of the latest change."""
        return self._changed_at

    @property
    def latency_seconds(self) -> float:
        """How long the table service took beyond a wait that was asked for."""
        return self._latency_seconds

    def observe(self, sighting: OwnerSighting, now: float) -> None:
        """Take in an answer of the table service that arrived at ``now``."""
        if sighting != self._sighting:
            self._sighting = sighting
            self._changed_at = now
            self._n_confirmations = 0
            return
        self._n_confirmations += 1

    def note_latency(self, seconds: float) -> None:
        """Take in how long the table service took beyond a wait that was asked for."""
        self._latency_seconds = max(0.0, seconds)

    def may_claim(self, now: float, wait_seconds: float = 0.0) -> bool:
        """Return whether the ownership may be claimed.

        Args:
            now: clock time in seconds.
            wait_seconds: extra time before this daemon claims, so that several do
                not claim at the same moment.
        """
        if self._sighting is None:
            return False
        silent_seconds = now - self._changed_at
        if self._sighting.is_own_former and not wait_seconds:
            return True
        if self._sighting.owner_version == 0 or self._sighting.is_released:
            return silent_seconds >= wait_seconds
        is_confirmed = self._n_confirmations >= MIN_CONFIRMATIONS
        needed = TAKEOVER_SECONDS + LATENCY_FACTOR * self._latency_seconds
        return is_confirmed and silent_seconds >= needed + wait_seconds


class OwnLease(NamedTuple):
    """The owner's own view of its lease.

    Args:
        token: fencing token.
        renewed_at: clock time in seconds at which the latest stored renewal was sent.
    """

    token: int
    renewed_at: float

    def is_in_doubt(self, now: float) -> bool:
        """Return whether a successor may be about to take over."""
        return now - self.renewed_at > DOUBT_SECONDS

    def has_given_up(self, now: float) -> bool:
        """Return whether leases of tasks may no longer be renewed."""
        return now - self.renewed_at > GIVE_UP_SECONDS


def former_owner_bound(
    changed_at: float, is_ended: bool, lease_seconds: float
) -> float:
    """Return when nothing that a former owner ordered can run on an unseen worker.

    Args:
        changed_at: clock time in seconds at which the successor saw the former owner's
            last renewal, which was sent earlier; or its end.
        is_ended: whether the former owner has ended, so that it renews nothing more.
        lease_seconds: longest time that tasks outlive the last call of their owner.

    Returns:
        Clock time in seconds.
    """
    silent_seconds = lease_seconds + (0.0 if is_ended else GIVE_UP_SECONDS)
    return changed_at + silent_seconds * (1 + 2 * CLOCK_ERROR)
