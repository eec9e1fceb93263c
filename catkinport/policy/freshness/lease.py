"""State of one member's freshness lease: renewal, acceptance and evictions."""

from .ended_members import EndedMembers
from .known_revisions import KnownRevisions
from .peer_answer import PeerAnswer
from .peer_contacts import PeerContacts
from .timing import FreshnessTiming
from .view import View, merge_views


class Freshness:
    """Freshness lease, acceptance of changes and evictions of one member.

    Args:
        member_id: id of the member.
        view: the roster right after registration, the member included.
        registered_at: when the registration had certainly taken effect.
        revision: revision of the configuration that the member has applied.
        timing: durations.

    Example:
        >>> from catkinport.policy.freshness import ViewMember
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
        self.lease_expires_at = registered_at
        self.is_stopping = False
        self._registered_at = registered_at
        self._store_read_at = registered_at
        self._is_store_reachable = True
        self._revisions = KnownRevisions(revision, registered_at)
        self._contacts = PeerContacts()
        self._ended = EndedMembers()
        self._last_tick = registered_at
        self._established_at = self._initial_established_at()
        self._record_view(registered_at)

    @property
    def known_revision(self) -> int:
        """Newest revision of the configuration that this member knows of."""
        return self._revisions.newest

    @property
    def is_evicted(self) -> bool:
        """Whether this member is evicted or no longer in the roster."""
        record = self.view.member_by_id.get(self.member_id)
        return record is None or record.is_evicted

    @property
    def established_at(self) -> float:
        """Time from which every fresh member has this one in its view."""
        return self._established_at

    def is_fresh(self, now: float) -> bool:
        """Return whether the lease has not expired."""
        return now < self.lease_expires_at

    def is_established(self, now: float) -> bool:
        """Return whether every fresh member has this one in its view."""
        return now >= self._established_at and not self.is_evicted

    def may_accept_changes(self, now: float) -> bool:
        """Return whether this member may accept changes."""
        return self.is_established(now) and not self.is_stopping

    def is_store_reachable(self, now: float) -> bool:
        """Return whether the last store read succeeded and is recent."""
        is_recent = now - self._store_read_at <= self.timing.max_store_read_age
        return self._is_store_reachable and is_recent

    def on_store_read(
        self, sent_at: float, now: float, revision: int, view: View
    ) -> None:
        """Record a store read of the configuration's revision and the roster.

        A read that is older than what the member knows does not renew the lease,
        as it comes from a replica that lags behind.
        """
        is_current = (
            revision >= self.known_revision
            and view.roster_version >= self.view.roster_version
        )
        self._merge_knowledge(revision, view, now)
        if not is_current:
            return
        self._is_store_reachable = True
        self._store_read_at = max(self._store_read_at, sent_at)
        self._renew(sent_at)

    def on_store_failed(self) -> None:
        """Record that a store read failed."""
        self._is_store_reachable = False

    def on_peer_answer(self, answer: PeerAnswer, sent_at: float, now: float) -> None:
        """Record a peer's answer to a request that was sent at ``sent_at``."""
        self._learn_from_peer(answer.revision, answer.view, now)
        self._contacts.record_answer(answer.member_id, sent_at, answer.silent_ids)
        if self._is_acknowledged_by(answer):
            acknowledged_at = now + self.timing.plus_margin(self.timing.lease)
            self._established_at = min(self._established_at, acknowledged_at)
        self._renew_from_peers()

    def on_peer_request(
        self, peer_id: str, revision: int, view: View, now: float
    ) -> None:
        """Merge the revision and view of a peer's request, and record it as alive."""
        self._learn_from_peer(revision, view, now)
        self._contacts.record_request(peer_id, now)
        self._renew_from_peers()

    def on_leave(self, peer_id: str, revision: int, view: View, now: float) -> None:
        """Record that a peer announces its stop and accepts no more changes.

        Its view and revision are merged before it stops counting among the peers
        that must confirm, since no other member may know them.
        """
        self._learn_from_peer(revision, view, now)
        if peer_id in self.view.member_by_id:
            departed = self.view.departed_ids | {peer_id}
            self.view = self.view._replace(departed_ids=departed)
        self._record_view(now)
        self._renew_from_peers()

    def on_revision_known(self, revision: int, now: float) -> None:
        """Record that a revision exists, so that answers to peers carry it."""
        self._revisions.record(revision, now)

    def on_revision_held(self, revision: int, now: float) -> None:
        """Record that this member has applied the configuration of ``revision``."""
        self.on_revision_known(revision, now)
        self.held_revision = max(self.held_revision, revision)
        self._renew_from_peers()

    def stop(self, now: float) -> View:
        """End the lease, accept no more changes and return the view to leave with."""
        self.is_stopping = True
        self.lease_expires_at = min(self.lease_expires_at, now)
        return self.view

    def answer(self, now: float) -> PeerAnswer:
        """Return the answer to a peer that asks for confirmation."""
        return PeerAnswer(
            self.member_id,
            self.known_revision,
            self.view,
            self.is_stopping,
            self.is_established(now),
            frozenset(self._peers_without_answer(now, self.timing.report_silence)),
        )

    def tick(self, now: float) -> None:
        """Record that the process runs; call this once in each renewal period.

        After a pause of the process the silence of peers is counted from now on,
        because their answers may still be waiting to be read.
        """
        if now - self._last_tick > self.timing.silence / 2:
            self._contacts.restart_silence(now)
        self._last_tick = now

    def peers_to_ask(self, now: float) -> list[str]:
        """Return the peers to ask for confirmation now, and record them as asked."""
        period = self._asking_period(now)
        # A tick that comes slightly early must not skip a whole period.
        limit = now - period + self.timing.renewal / 4
        # A peer that has sent a request is alive; one call per pair is enough.
        counts_requests = period == self.timing.liveness
        due = self._contacts.due_ids(self._peer_ids(), limit, counts_requests)
        self._contacts.record_asked(due, now)
        return due

    def ids_to_evict(self, now: float) -> list[str]:
        """Return the members to evict.

        The list is empty while the store is unreachable or while this member may not
        accept changes.
        """
        if not self.may_accept_changes(now) or not self.is_store_reachable(now):
            return []
        silent = self._peers_to_evict(now)
        silent |= {
            departed_id
            for departed_id in self.view.departed_ids
            if not self.view.member_by_id[departed_id].is_evicted
            and now - self._ended.departed_at_by_id[departed_id] > self.timing.silence
        }
        return sorted(silent - {self.member_id})

    def in_force_at(self, revision: int) -> float | None:
        """Return when every lease from before ``revision`` has ended.

        Returns ``None`` if the revision is not known.
        """
        known_at = self._revisions.known_at(revision)
        return None if known_at is None else self._lease_end_after(known_at)

    def eviction_in_force_at(self, member_id: str) -> float | None:
        """Return when the lease of an evicted member ends; ``None`` if not evicted."""
        evicted_at = self._ended.evicted_at_by_id.get(member_id)
        return None if evicted_at is None else self._lease_end_after(evicted_at)

    def ended_ids(self, now: float) -> set[str]:
        """Return members whose leases end within one lease duration from now.

        The duration is ``timing.lease``, that of a freshness lease. The members are the
        departed ones and, once this member is established (every fresh member has it in
        its view), the evicted ones. Before that, it may see an eviction earlier than
        the peers that still confirm the evicted member's lease.
        """
        if not self.is_established(now):
            return set(self.view.departed_ids)
        return set(self.view.departed_ids) | self._ended.evicted_at_by_id.keys()

    def completed_evictions(
        self, now: float, longest_request_seconds: float
    ) -> list[str]:
        """Return evicted members whose requests have all ended.

        Requests that started before the lease ended run until their deadline.
        """
        rest = self.timing.plus_margin(longest_request_seconds)
        return sorted(
            member_id
            for member_id, evicted_at in self._ended.evicted_at_by_id.items()
            if now >= self._lease_end_after(evicted_at) + rest
        )

    def _initial_established_at(self) -> float:
        others = [m for m in self.view.member_by_id if m != self.member_id]
        if not others:
            return self._registered_at
        if all(self.view.member_by_id[other].is_evicted for other in others):
            return self._registered_at + self.timing.plus_margin(self.timing.lease)
        # A lease lasts no longer than M after a store read, so by then every fresh
        # member has read the store after the registration.
        return self._registered_at + self.timing.plus_margin(self.timing.without_store)

    def _is_acknowledged_by(self, answer: PeerAnswer) -> bool:
        # An answer of a member that is not established does not count, because two
        # new members that reach only each other would establish one another.
        return (
            answer.is_established
            and not answer.is_stopping
            and answer.member_id in self.view.live_ids()
            and self.member_id in answer.view.member_by_id
        )

    def _learn_from_peer(self, revision: int, view: View, now: float) -> None:
        """Merge what a peer knows; ``benchmarks/freshness_model.py`` overrides this."""
        self._merge_knowledge(revision, view, now)

    def _merge_knowledge(self, revision: int, view: View, now: float) -> None:
        self.on_revision_known(revision, now)
        self.view = merge_views(self.view, view)
        self._record_view(now)

    def _record_view(self, now: float) -> None:
        self._ended.record(self.view, now)
        self._contacts.forget_absent(self.view.member_by_id.keys())
        if self.is_evicted:
            self.lease_expires_at = min(self.lease_expires_at, now)

    def _asking_period(self, now: float) -> float:
        # A member that no peer has acknowledged cannot accept changes, so it asks
        # more often.
        is_acknowledged = self._established_at <= now + self.timing.plus_margin(
            self.timing.lease
        )
        if is_acknowledged and self.is_store_reachable(now):
            return self.timing.liveness
        return self.timing.renewal

    def _peer_ids(self) -> set[str]:
        return self.view.live_ids() - {self.member_id}

    def _confirmed_at(self) -> float | None:
        """Return when the oldest of the peers' latest answered requests was sent.

        Returns ``None`` if a peer has not answered yet.
        """
        confirmed_at_by_peer = self._contacts.confirmed_at_by_peer
        confirmed = [confirmed_at_by_peer.get(p) for p in self._peer_ids()]
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
        limit = self._store_read_at + self.timing.minus_margin(
            self.timing.without_store
        )
        expires_at = min(sent_at + self.timing.minus_margin(self.timing.lease), limit)
        self.lease_expires_at = max(self.lease_expires_at, expires_at)

    def _peers_without_answer(self, now: float, seconds: float) -> set[str]:
        return self._contacts.unanswered_ids(self._peer_ids(), now, seconds)

    def _peers_to_evict(self, now: float) -> set[str]:
        """Return the live peers to evict because they do not answer."""
        silent = self._peers_without_answer(now, self.timing.silence)
        heard = self._peer_ids() - self._peers_without_answer(
            now, self.timing.report_silence
        )
        if 2 * len(heard) < len(self._peer_ids()):
            return self._peers_without_answer(now, self.timing.isolated_silence)
        return {
            peer_id
            for peer_id in silent
            if self._contacts.is_reported_by_half(peer_id, heard)
        }

    def _lease_end_after(self, known_at: float) -> float:
        start = max(known_at, self._established_at)
        return start + self.timing.plus_margin(self.timing.lease)
