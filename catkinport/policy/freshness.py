"""Freshness leases: how long a member may rely on its configuration and its roster.

Members are the daemons that the roster lists. A member holds a lease of length T, which
is renewed by a read of the store or by answers of all its live peers, and only while
the member holds the newest revision that it knows of. An accepted change is in force
after T: by then each member has applied it or has lost its lease.

The module is a pure state machine, which the daemon and
``benchmarks/freshness_model.py`` both drive. Times are seconds on the member's own
clock. ``docs/design.md`` section 5.1 gives the rule and the alternatives.
"""

from collections.abc import Mapping
from typing import NamedTuple

_MAX_KNOWN_REVISIONS = 32


class FreshnessTiming(NamedTuple):
    """Durations of the freshness rule, in seconds.

    Args:
        lease: length T of a lease.
        renewal: period of store reads, and of asking peers while the store is
            unreachable.
        liveness: period of asking peers while the store is reachable.
        max_store_read_age: age of the last store read beyond which the store counts
            as unreachable, so that peers are asked more often.
        report_silence: time without an answer after which a peer is reported to the
            other peers as silent.
        silence: time without an answer after which a peer is evicted, if at least
            half of the peers that answer report it as silent too.
        isolated_silence: time without an answer after which a peer is evicted by a
            member that hears fewer than half of its peers. It is longer than
            ``silence``, so that a member cut off from all its peers is evicted by
            them and does not evict them.
        without_store: longest time M that a lease lasts after the last store read.
        clock_margin: fraction by which the holder of a lease counts it shorter, and
            those that wait for its end count it longer, since clocks run at
            different rates.
    """

    lease: float = 2.0
    renewal: float = 0.5
    liveness: float = 2.0
    max_store_read_age: float = 1.0
    report_silence: float = 1.0
    silence: float = 5.0
    isolated_silence: float = 10.0
    without_store: float = 1800.0
    clock_margin: float = 0.02

    def minus_margin(self, seconds: float) -> float:
        """Return ``seconds`` less the clock margin, for the holder of a lease."""
        return seconds * (1 - self.clock_margin)

    def plus_margin(self, seconds: float) -> float:
        """Return ``seconds`` plus the clock margin, to wait until a lease ends."""
        return seconds * (1 + self.clock_margin)


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


class PeerAnswer(NamedTuple):
    """The answer of a member to a peer's request for confirmation.

    Args:
        member_id: id of the member that answers.
        revision: highest revision of the configuration that it knows of.
        view: its view.
        is_stopping: whether it is stopping.
        is_established: whether every fresh member has it in its view.
        silent_ids: peers that have not answered it lately.
    """

    member_id: str
    revision: int
    view: View
    is_stopping: bool = False
    is_established: bool = True
    silent_ids: frozenset[str] = frozenset()


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
        revision: revision of the configuration that the member has applied.
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
        self._reported_silent_by_peer: dict[str, frozenset[str]] = {}
        self._evicted_at_by_id: dict[str, float] = {}
        self._departed_at_by_id: dict[str, float] = {}
        self._last_tick = registered_at
        self._established_at = self._initial_established_at()
        self._record_view(registered_at)

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
        peer_id = answer.member_id
        self._learn_from_peer(answer.revision, answer.view, now)
        self._unanswered_since_by_peer.pop(peer_id, None)
        previous = self._confirmed_at_by_peer.get(peer_id, sent_at)
        self._confirmed_at_by_peer[peer_id] = max(previous, sent_at)
        self._reported_silent_by_peer[peer_id] = answer.silent_ids
        if self._is_acknowledged_by(answer):
            acknowledged_at = now + self.timing.plus_margin(self.timing.lease)
            self._established_at = min(self._established_at, acknowledged_at)
        self._renew_from_peers()

    def on_peer_request(
        self, peer_id: str, revision: int, view: View, now: float
    ) -> None:
        """Merge the revision and view of a peer's request, and record it as alive."""
        self._learn_from_peer(revision, view, now)
        self._unanswered_since_by_peer.pop(peer_id, None)
        self._heard_at_by_peer[peer_id] = now
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
        if revision <= self.known_revision:
            return
        self.known_revision = revision
        self._known_at_by_revision[revision] = now
        if len(self._known_at_by_revision) > _MAX_KNOWN_REVISIONS:
            del self._known_at_by_revision[min(self._known_at_by_revision)]

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
            for peer_id in self._unanswered_since_by_peer:
                self._unanswered_since_by_peer[peer_id] = now
        self._last_tick = now

    def peers_to_ask(self, now: float) -> list[str]:
        """Return the peers to ask for confirmation now, and record them as asked."""
        period = self._asking_period(now)
        # A tick that comes slightly early must not skip a whole period.
        limit = now - period + self.timing.renewal / 4
        latest_by_peer = dict(self._asked_at_by_peer)
        if period == self.timing.liveness:
            # A peer that has sent a request is alive; one call per pair is enough.
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
            and now - self._departed_at_by_id[departed_id] > self.timing.silence
        }
        return sorted(silent - {self.member_id})

    def in_force_at(self, revision: int) -> float | None:
        """Return when every lease from before ``revision`` has ended.

        Returns ``None`` if the revision is not known.
        """
        known_at = [at for r, at in self._known_at_by_revision.items() if r >= revision]
        if revision > self.known_revision:
            return None
        return self._lease_end_after(min(known_at))

    def eviction_in_force_at(self, member_id: str) -> float | None:
        """Return when the lease of an evicted member ends; ``None`` if not evicted."""
        evicted_at = self._evicted_at_by_id.get(member_id)
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
        return set(self.view.departed_ids) | self._evicted_at_by_id.keys()

    def completed_evictions(
        self, now: float, longest_request_seconds: float
    ) -> list[str]:
        """Return evicted members whose requests have all ended.

        Requests that started before the lease ended run until their deadline.
        """
        rest = self.timing.plus_margin(longest_request_seconds)
        return sorted(
            member_id
            for member_id, evicted_at in self._evicted_at_by_id.items()
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
        for member_id, member in self.view.member_by_id.items():
            if member.is_evicted:
                self._evicted_at_by_id.setdefault(member_id, now)
        for member_id in self.view.departed_ids:
            self._departed_at_by_id.setdefault(member_id, now)
        for value_by_id in (
            self._evicted_at_by_id,
            self._departed_at_by_id,
            self._confirmed_at_by_peer,
            self._asked_at_by_peer,
            self._unanswered_since_by_peer,
            self._heard_at_by_peer,
            self._reported_silent_by_peer,
        ):
            for member_id in value_by_id.keys() - self.view.member_by_id.keys():
                del value_by_id[member_id]
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
        limit = self._store_read_at + self.timing.minus_margin(
            self.timing.without_store
        )
        expires_at = min(sent_at + self.timing.minus_margin(self.timing.lease), limit)
        self.lease_expires_at = max(self.lease_expires_at, expires_at)

    def _peers_without_answer(self, now: float, seconds: float) -> set[str]:
        peer_ids = self._peer_ids()
        return {
            peer_id
            for peer_id, since in self._unanswered_since_by_peer.items()
            if peer_id in peer_ids and now - since > seconds
        }

    def _peers_to_evict(self, now: float) -> set[str]:
        """Return the live peers to evict because they do not answer."""
        silent = self._peers_without_answer(now, self.timing.silence)
        heard = self._peer_ids() - self._peers_without_answer(
            now, self.timing.report_silence
        )
        if 2 * len(heard) < len(self._peer_ids()):
            return self._peers_without_answer(now, self.timing.isolated_silence)
        return {
            peer_id for peer_id in silent if self._is_reported_by_half(peer_id, heard)
        }

    def _is_reported_by_half(self, silent_id: str, heard: set[str]) -> bool:
        reports = [self._reported_silent_by_peer.get(p, frozenset()) for p in heard]
        n_reporting = sum(silent_id in report for report in reports)
        return 2 * n_reporting >= len(reports)

    def _lease_end_after(self, known_at: float) -> float:
        start = max(known_at, self._established_at)
        return start + self.timing.plus_margin(self.timing.lease)
