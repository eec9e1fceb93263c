"""Decides how long a member may rely on what it knows, as a pure state machine.

The daemon and ``benchmarks/freshness_model.py`` drive the same code. Times are
seconds on the clock of the member itself; ``docs/design.md`` section 5.1 gives the
rule and the alternatives.
"""

from collections.abc import Mapping
from typing import NamedTuple

_MAX_KNOWN_REVISIONS = 32


class FreshnessTiming(NamedTuple):
    """Durations of the freshness rule, in seconds.

    Args:
        lease: length T of a lease.
        renewal: period of store reads, and of asking peers during an outage.
        liveness: period of asking peers while the store is reachable.
        store_answer: age of the last read at which peers are asked as well.
        silence: silence after which a member is evicted.
        isolated_silence: the same for a member that hears fewer than half of its
            peers. It is longer, so that a member cut off from all its peers is
            evicted by them and does not evict them.
        without_store: longest time M that a member is fresh without the store.
        clock_margin: how much less a holder counts and how much more a waiter,
            for clocks that run at different rates.
    """

    lease: float = 2.0
    renewal: float = 0.5
    liveness: float = 2.0
    store_answer: float = 1.0
    silence: float = 5.0
    isolated_silence: float = 15.0
    without_store: float = 1800.0
    clock_margin: float = 0.02

    def hold(self, seconds: float) -> float:
        """Return what a holder counts of ``seconds``."""
        return seconds * (1 - self.clock_margin)

    def wait(self, seconds: float) -> float:
        """Return how long a waiter waits for ``seconds``."""
        return seconds * (1 + self.clock_margin)


class ViewMember(NamedTuple):
    """A member in a view."""

    role: str
    peer_address: str
    zone: str
    is_evicted: bool = False


class View(NamedTuple):
    """The roster at one version, and those of its members that said goodbye."""

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


class PeerAnswer(NamedTuple):
    """What a member answers when a peer asks it to confirm."""

    member_id: str
    revision: int
    view: View
    is_stopping: bool = False
    is_established: bool = True


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


class Freshness:
    """Freshness lease, acceptance of changes and evictions of one member.

    Args:
        member_id: id of the member.
        view: the roster right after registration, the member included.
        registered_at: when the registration had certainly taken effect.
        revision: revision that the member holds.
        timing: durations.

    Example:
        >>> alone = View(1, {"a": ViewMember("entry", "127.0.0.1:1", "z")})
        >>> freshness = Freshness("a", alone, registered_at=0.0)
        >>> freshness.on_store_read(sent_at=1.0, now=1.2, revision=0, view=alone)
        >>> freshness.lease_expires_at
        2.96
        >>> freshness.may_accept_changes(1.2)
        True
    """

    def __init__(
        self,
        member_id: str,
        view: View,
        registered_at: float,
        revision: int = 0,
        timing: FreshnessTiming | None = None,
    ) -> None:
        self.member_id = member_id
        self.timing = timing or FreshnessTiming()
        self.view = view
        self.held_revision = revision
        self.known_revision = revision
        self.lease_expires_at = registered_at
        self.is_stopping = False
        self._registered_at = registered_at
        self._store_read_at = registered_at
        self._is_store_reachable = True
        self._known_at_by_revision = {revision: registered_at}
        self._confirmed_at_by_peer: dict[str, float] = {}
        self._asked_at_by_peer: dict[str, float] = {}
        self._unanswered_since_by_peer: dict[str, float] = {}
        self._heard_at_by_peer: dict[str, float] = {}
        self._evicted_at_by_id: dict[str, float] = {}
        self._departed_at_by_id: dict[str, float] = {}
        self._last_tick = registered_at
        self._established_at = self._initial_established_at()
        self._note_view(registered_at)

    @property
    def is_evicted(self) -> bool:
        """Whether the member found itself evicted or removed from the roster."""
        record = self.view.member_by_id.get(self.member_id)
        return record is None or record.is_evicted

    @property
    def established_at(self) -> float:
        """When every fresh member has this one in its view."""
        return self._established_at

    def is_fresh(self, now: float) -> bool:
        """Return whether the lease runs."""
        return now < self.lease_expires_at

    def is_established(self, now: float) -> bool:
        """Return whether every fresh member has this one in its view."""
        return now >= self._established_at and not self.is_evicted

    def may_accept_changes(self, now: float) -> bool:
        """Return whether this member may accept changes."""
        return self.is_established(now) and not self.is_stopping

    def is_store_reachable(self, now: float) -> bool:
        """Return whether the last read succeeded and is recent."""
        is_recent = now - self._store_read_at <= self.timing.store_answer
        return self._is_store_reachable and is_recent

    def on_store_read(
        self, sent_at: float, now: float, revision: int, view: View
    ) -> None:
        """Record a read of the configuration's revision and the roster.

        A read that is older than what the member knows renews nothing: it came
        from a replica that lags behind.
        """
        is_current = (
            revision >= self.known_revision
            and view.roster_version >= self.view.roster_version
        )
        self._learn(revision, view, now)
        if not is_current:
            return
        self._is_store_reachable = True
        self._store_read_at = max(self._store_read_at, sent_at)
        self._renew(sent_at)

    def on_store_failed(self) -> None:
        """Record that a read failed."""
        self._is_store_reachable = False

    def on_peer_answer(self, answer: PeerAnswer, sent_at: float, now: float) -> None:
        """Record a peer's answer to a request that was sent at ``sent_at``."""
        peer_id = answer.member_id
        self._learn_from_peer(answer.revision, answer.view, now)
        self._unanswered_since_by_peer.pop(peer_id, None)
        previous = self._confirmed_at_by_peer.get(peer_id, sent_at)
        self._confirmed_at_by_peer[peer_id] = max(previous, sent_at)
        if self._is_acknowledged_by(answer):
            acknowledged_at = now + self.timing.wait(self.timing.lease)
            self._established_at = min(self._established_at, acknowledged_at)
        self._renew_from_peers()

    def on_peer_request(
        self, peer_id: str, revision: int, view: View, now: float
    ) -> None:
        """Learn what a peer knows from its own request, and that it is alive."""
        self._learn_from_peer(revision, view, now)
        self._unanswered_since_by_peer.pop(peer_id, None)
        self._heard_at_by_peer[peer_id] = now
        self._renew_from_peers()

    def on_goodbye(self, peer_id: str, revision: int, view: View, now: float) -> None:
        """Record that a peer stops and accepts no more changes.

        Its view and revision are learnt before it leaves the confirming set, since
        no one else may know them.
        """
        self._learn_from_peer(revision, view, now)
        if peer_id in self.view.member_by_id:
            departed = self.view.departed_ids | {peer_id}
            self.view = self.view._replace(departed_ids=departed)
        self._note_view(now)
        self._renew_from_peers()

    def on_revision_known(self, revision: int, now: float) -> None:
        """Record a revision that exists; from now on answers carry it."""
        if revision <= self.known_revision:
            return
        self.known_revision = revision
        self._known_at_by_revision[revision] = now
        if len(self._known_at_by_revision) > _MAX_KNOWN_REVISIONS:
            del self._known_at_by_revision[min(self._known_at_by_revision)]

    def on_revision_held(self, revision: int, now: float) -> None:
        """Record that the document of ``revision`` is applied."""
        self.on_revision_known(revision, now)
        self.held_revision = max(self.held_revision, revision)
        self._renew_from_peers()

    def stop(self, now: float) -> View:
        """End the lease, accept no more changes; return the view of the goodbye."""
        self.is_stopping = True
        self.lease_expires_at = min(self.lease_expires_at, now)
        return self.view

    def answer(self, now: float) -> PeerAnswer:
        """Return what to answer a peer that asks for confirmation."""
        return PeerAnswer(
            self.member_id,
            self.known_revision,
            self.view,
            self.is_stopping,
            self.is_established(now),
        )

    def tick(self, now: float) -> None:
        """Note that time has passed; call it once in each renewal period.

        After a pause of the process the silence of peers is counted anew, because
        their answers may still wait to be read.
        """
        if now - self._last_tick > self.timing.silence / 2:
            for peer_id in self._unanswered_since_by_peer:
                self._unanswered_since_by_peer[peer_id] = now
        self._last_tick = now

    def peers_to_ask(self, now: float) -> list[str]:
        """Return the peers to ask now, and count them as asked."""
        period = self._asking_period(now)
        # A tick that comes slightly early must not skip a whole period.
        limit = now - period + self.timing.renewal / 4
        latest_by_peer = dict(self._asked_at_by_peer)
        if period == self.timing.liveness:
            # A peer that has asked is alive; one call for each pair is enough.
            for peer_id, heard_at in self._heard_at_by_peer.items():
                asked_at = latest_by_peer.get(peer_id, heard_at)
                latest_by_peer[peer_id] = max(asked_at, heard_at)
        due = [
            peer_id
            for peer_id in sorted(self._peer_ids())
            if latest_by_peer.get(peer_id, limit) <= limit
        ]
        for peer_id in due:
            self._asked_at_by_peer[peer_id] = now
            self._unanswered_since_by_peer.setdefault(peer_id, now)
        return due

    def silent_ids(self, now: float) -> list[str]:
        """Return the members to evict; empty without store or acceptance."""
        if not self.may_accept_changes(now) or not self.is_store_reachable(now):
            return []
        peer_ids = self._peer_ids()
        unanswered = {
            peer_id: since
            for peer_id, since in self._unanswered_since_by_peer.items()
            if peer_id in peer_ids
        }
        silence = self._silence_limit(unanswered, now, len(peer_ids))
        silent = {p for p, since in unanswered.items() if now - since > silence}
        silent |= {
            departed_id
            for departed_id in self.view.departed_ids
            if not self.view.member_by_id[departed_id].is_evicted
            and now - self._departed_at_by_id[departed_id] > self.timing.silence
        }
        return sorted(silent - {self.member_id})

    def in_force_at(self, revision: int) -> float | None:
        """Return when ``revision`` is in force by time alone; ``None`` if unknown."""
        known_at = [at for r, at in self._known_at_by_revision.items() if r >= revision]
        if revision > self.known_revision:
            return None
        return self._after_lease(min(known_at))

    def eviction_in_force_at(self, member_id: str) -> float | None:
        """Return when an evicted member's lease has ended; ``None`` if not evicted."""
        evicted_at = self._evicted_at_by_id.get(member_id)
        return None if evicted_at is None else self._after_lease(evicted_at)

    def completed_evictions(
        self, now: float, longest_request_seconds: float
    ) -> list[str]:
        """Return evicted members whose last request has ended.

        Requests that started under the last lease run until their deadline.
        """
        rest = self.timing.wait(longest_request_seconds)
        return sorted(
            member_id
            for member_id, evicted_at in self._evicted_at_by_id.items()
            if now >= self._after_lease(evicted_at) + rest
        )

    def _initial_established_at(self) -> float:
        others = [m for m in self.view.member_by_id if m != self.member_id]
        if not others:
            return self._registered_at
        if all(self.view.member_by_id[other].is_evicted for other in others):
            return self._registered_at + self.timing.wait(self.timing.lease)
        # By then every fresh member has read the store after the registration.
        return self._registered_at + self.timing.wait(self.timing.without_store)

    def _is_acknowledged_by(self, answer: PeerAnswer) -> bool:
        # An answer of a member that is not established proves nothing: two new
        # members that reach only each other would establish one another.
        return (
            answer.is_established
            and not answer.is_stopping
            and answer.member_id in self.view.live_ids()
            and self.member_id in answer.view.member_by_id
        )

    def _learn_from_peer(self, revision: int, view: View, now: float) -> None:
        self._learn(revision, view, now)

    def _learn(self, revision: int, view: View, now: float) -> None:
        self.on_revision_known(revision, now)
        self.view = merge_views(self.view, view)
        self._note_view(now)

    def _note_view(self, now: float) -> None:
        for member_id, member in self.view.member_by_id.items():
            if member.is_evicted:
                self._evicted_at_by_id.setdefault(member_id, now)
        for member_id in self.view.departed_ids:
            self._departed_at_by_id.setdefault(member_id, now)
        for noted in (
            self._evicted_at_by_id,
            self._departed_at_by_id,
            self._confirmed_at_by_peer,
            self._asked_at_by_peer,
            self._unanswered_since_by_peer,
            self._heard_at_by_peer,
        ):
            for member_id in noted.keys() - self.view.member_by_id.keys():
                del noted[member_id]
        if self.is_evicted:
            self.lease_expires_at = min(self.lease_expires_at, now)

    def _asking_period(self, now: float) -> float:
        # A member that nobody acknowledged yet cannot accept changes.
        is_acknowledged = self._established_at <= now + self.timing.wait(
            self.timing.lease
        )
        if is_acknowledged and self.is_store_reachable(now):
            return self.timing.liveness
        return self.timing.renewal

    def _peer_ids(self) -> set[str]:
        return self.view.live_ids() - {self.member_id}

    def _confirmed_at(self) -> float | None:
        """Return the earliest request that all confirming peers have answered."""
        confirmed = [self._confirmed_at_by_peer.get(p) for p in self._peer_ids()]
        known = [at for at in confirmed if at is not None]
        if len(known) < len(confirmed):
            return None
        return min(known, default=self._last_tick)

    def _renew_from_peers(self) -> None:
        confirmed_at = self._confirmed_at()
        if confirmed_at is not None:
            self._renew(confirmed_at)

    def _renew(self, sent_at: float) -> None:
        if self.is_stopping or self.is_evicted:
            return
        if self.held_revision < self.known_revision:
            return
        limit = self._store_read_at + self.timing.hold(self.timing.without_store)
        expires_at = min(sent_at + self.timing.hold(self.timing.lease), limit)
        self.lease_expires_at = max(self.lease_expires_at, expires_at)

    def _silence_limit(
        self, unanswered: Mapping[str, float], now: float, n_peers: int
    ) -> float:
        n_silent = sum(now - s > self.timing.silence for s in unanswered.values())
        if 2 * n_silent > n_peers:
            return self.timing.isolated_silence
        return self.timing.silence

    def _after_lease(self, known_at: float) -> float:
        start = max(known_at, self._established_at)
        return start + self.timing.wait(self.timing.lease)
