"""Record of the requests and answers between a member and its peers."""

from collections.abc import Collection


class PeerContacts:
    """When each peer was asked, answered and was heard, and whom it reports as silent.

    The times are those of the member that keeps the record.

    Attributes:
        confirmed_at_by_peer: when the latest request that a peer answered was sent.

    Example:
        >>> contacts = PeerContacts()
        >>> contacts.record_asked(["b"], now=1.0)
        >>> contacts.unanswered_ids({"b"}, now=3.0, seconds=1.0)
        {'b'}
        >>> contacts.record_answer("b", 1.0, frozenset())
        >>> contacts.unanswered_ids({"b"}, now=3.0, seconds=1.0)
        set()
    """

    def __init__(self) -> None:
        self.confirmed_at_by_peer: dict[str, float] = {}
        self._asked_at_by_peer: dict[str, float] = {}
        self._unanswered_since_by_peer: dict[str, float] = {}
        self._heard_at_by_peer: dict[str, float] = {}
        self._reported_silent_by_peer: dict[str, frozenset[str]] = {}

    def record_asked(self, peer_ids: Collection[str], now: float) -> None:
        """Record that the peers are asked for confirmation now."""
        for peer_id in peer_ids:
            self._asked_at_by_peer[peer_id] = now
            self._unanswered_since_by_peer.setdefault(peer_id, now)

    def record_answer(
        self, peer_id: str, sent_at: float, silent_ids: frozenset[str]
    ) -> None:
        """Record an answer to a request that was sent at ``sent_at``."""
        self._unanswered_since_by_peer.pop(peer_id, None)
        previous = self.confirmed_at_by_peer.get(peer_id, sent_at)
        self.confirmed_at_by_peer[peer_id] = max(previous, sent_at)
        self._reported_silent_by_peer[peer_id] = silent_ids

    def record_request(self, peer_id: str, now: float) -> None:
        """Record that a peer has sent a request, so that it is alive."""
        self._unanswered_since_by_peer.pop(peer_id, None)
        self._heard_at_by_peer[peer_id] = now

    def restart_silence(self, now: float) -> None:
        """Count the silence of peers that have not answered from now on."""
        for peer_id in self._unanswered_since_by_peer:
            self._unanswered_since_by_peer[peer_id] = now

    def forget_absent(self, member_ids: Collection[str]) -> None:
        """Drop what is recorded of peers that are not in ``member_ids``."""
        for value_by_peer in (
            self.confirmed_at_by_peer,
            self._asked_at_by_peer,
            self._unanswered_since_by_peer,
            self._heard_at_by_peer,
            self._reported_silent_by_peer,
        ):
            for peer_id in value_by_peer.keys() - member_ids:
                del value_by_peer[peer_id]

    def due_ids(
        self, peer_ids: Collection[str], limit: float, counts_requests: bool
    ) -> list[str]:
        """Return the peers that were last asked at ``limit`` or before.

        Args:
            peer_ids: peers to choose from.
            limit: latest time of the last request to a peer that is due.
            counts_requests: whether a request of a peer counts like one to it.
        """
        latest_by_peer = dict(self._asked_at_by_peer)
        if counts_requests:
            for peer_id, heard_at in self._heard_at_by_peer.items():
                asked_at = latest_by_peer.get(peer_id, heard_at)
                latest_by_peer[peer_id] = max(asked_at, heard_at)
        return [
            peer_id
            for peer_id in sorted(peer_ids)
            if latest_by_peer.get(peer_id, limit) <= limit
        ]

    def unanswered_ids(
        self, peer_ids: Collection[str], now: float, seconds: float
    ) -> set[str]:
        """Return those of the peers that have not answered for over ``seconds``."""
        return {
            peer_id
            for peer_id, since in self._unanswered_since_by_peer.items()
            if peer_id in peer_ids and now - since > seconds
        }

    def is_reported_by_half(self, silent_id: str, peer_ids: Collection[str]) -> bool:
        """Return whether half of the peers or more report ``silent_id`` as silent."""
        reports = [self._reported_silent_by_peer.get(p, frozenset()) for p in peer_ids]
        n_reporting = sum(silent_id in report for report in reports)
        return 2 * n_reporting >= len(reports)
