"""Answers to those who change the configuration through this member."""

from ..ports import Clock, Reason, Refused
from . import messages
from .member_state import MemberState
from .outbox import Outbox
from .peer_client import PeerClient
from .pending_changes import PendingChanges, members_to_acknowledge


class ChangeAnswers:
    """Answers whether a change may be accepted and when a committed one is in force.

    Args:
        state: state of the member.
        peers: calls to peers, which announce a committed change.
        outbox: takes the answers.
        clock: clock of the leases.
    """

    def __init__(
        self, state: MemberState, peers: PeerClient, outbox: Outbox, clock: Clock
    ) -> None:
        self._state = state
        self._peers = peers
        self._outbox = outbox
        self._clock = clock
        self._pending = PendingChanges()

    def prepare_acceptance(
        self, message: messages.PrepareAcceptance, is_leaving: bool
    ) -> None:
        """Answer with the id of this member, or with why it may accept no change."""
        freshness, now = self._state.freshness, self._clock.now()
        if freshness is not None and freshness.may_accept_changes(now):
            self._outbox.answer(message.result, self._state.member_id)
            return
        reason = Reason.STOPPING if is_leaving else Reason.CONFIGURATION_STALE
        detail = "this member is not registered yet"
        if freshness is not None:
            seconds = max(0.0, freshness.established_at - now)
            detail = f"this member may accept changes in {seconds:.1f} s at the latest"
        refusal = Refused(reason, "accept-document", detail=detail)
        self._outbox.answer(message.result, refusal)

    def await_in_force(self, message: messages.AwaitInForce) -> None:
        """Announce a committed change, which is answered once it is in force."""
        freshness = self._state.freshness
        if freshness is None:
            self._outbox.cancel(message.result)
            return
        now = self._clock.now()
        self._state.apply_document(
            message.revision, message.document, self._clock.now()
        )
        freshness.on_revision_known(message.revision, now)
        missing = members_to_acknowledge(freshness, message.roster_ids, now)
        self._pending.add(message.revision, missing, message.result)
        self._peers.announce(freshness, self._state.configuration)
        self.answer_those_in_force()

    def on_peer_acknowledged(self, message: messages.PeerAcknowledged) -> None:
        """Record that a peer has applied a revision."""
        self._pending.acknowledge(message.peer_id, message.held_revision)
        self.answer_those_in_force()

    def answer_those_in_force(self) -> None:
        """Answer the changes that are in force."""
        if self._state.freshness is None:
            return
        now = self._clock.now()
        for result in self._pending.take_finished(
            now, self._state.freshness.in_force_at
        ):
            self._outbox.answer(result, now)

    def cancel_all(self) -> None:
        """Answer all changes with a cancellation.

        A member that registers anew does not learn when they are in force.
        """
        for result in self._pending.take_all():
            self._outbox.cancel(result)
