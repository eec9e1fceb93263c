"""Converts views to the messages between members and back."""

from ..policy.freshness import PeerAnswer, View, ViewMember
from ..protocol import peer_pb2


def view_to_message(view: View) -> peer_pb2.View:
    """Return the message for ``view``."""
    members = [
        peer_pb2.Member(
            member_id=member_id,
            role=member.role,
            peer_address=member.peer_address,
            zone=member.zone,
            evicted=member.is_evicted,
        )
        for member_id, member in view.member_by_id.items()
    ]
    return peer_pb2.View(
        roster_version=view.roster_version,
        members=members,
        departed_ids=sorted(view.departed_ids),
    )


def view_from_message(message: peer_pb2.View) -> View:
    """Return the view in ``message``."""
    member_by_id = {
        member.member_id: ViewMember(
            member.role, member.peer_address, member.zone, member.evicted
        )
        for member in message.members
    }
    return View(message.roster_version, member_by_id, frozenset(message.departed_ids))


def answer_to_message(answer: PeerAnswer) -> peer_pb2.ConfirmReply:
    """Return the message for ``answer``."""
    return peer_pb2.ConfirmReply(
        member_id=answer.member_id,
        revision=answer.revision,
        view=view_to_message(answer.view),
        stopping=answer.is_stopping,
        established=answer.is_established,
    )


def answer_from_message(message: peer_pb2.ConfirmReply) -> PeerAnswer:
    """Return the answer in ``message``."""
    return PeerAnswer(
        message.member_id,
        message.revision,
        view_from_message(message.view),
        message.stopping,
        message.established,
    )
