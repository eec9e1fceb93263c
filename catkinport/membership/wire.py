"""Conversion of views and answers to the messages between members and back.

A view is the roster as one member knows it, with the members that announced their stop.
An answer is a member's reply to the liveness check of a peer.
"""

from ..policy.freshness import PeerAnswer, View, ViewMember
from ..protocol import peer_pb2


def view_to_message(view: View, receiver_version: int = 0) -> peer_pb2.View:
    """Return the message for ``view``.

    Args:
        view: the view.
        receiver_version: roster version that the receiver has; 0 if not known. The
            members are left out if it is the same, which keeps liveness checks small.
    """
    if receiver_version and receiver_version == view.roster_version:
        return peer_pb2.View(
            roster_version=view.roster_version, departed_ids=sorted(view.departed_ids)
        )
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


def view_from_message(message: peer_pb2.View, own: View) -> View:
    """Return the view in ``message``; members left out are taken from ``own``."""
    if not message.members:
        is_same = message.roster_version == own.roster_version
        # A message without members says nothing about a roster of another version.
        known = own if is_same else View(0, {})
        return known._replace(departed_ids=frozenset(message.departed_ids))
    member_by_id = {
        member.member_id: ViewMember(
            member.role, member.peer_address, member.zone, member.evicted
        )
        for member in message.members
    }
    return View(message.roster_version, member_by_id, frozenset(message.departed_ids))


def answer_to_message(
    answer: PeerAnswer, receiver_version: int
) -> peer_pb2.ConfirmReply:
    """Return the message for ``answer``."""
    return peer_pb2.ConfirmReply(
        member_id=answer.member_id,
        revision=answer.revision,
        view=view_to_message(answer.view, receiver_version),
        stopping=answer.is_stopping,
        established=answer.is_established,
        silent_ids=sorted(answer.silent_ids),
    )


def answer_from_message(message: peer_pb2.ConfirmReply, own: View) -> PeerAnswer:
    """Return the answer in ``message``."""
    return PeerAnswer(
        message.member_id,
        message.revision,
        view_from_message(message.view, own),
        message.stopping,
        message.established,
        frozenset(message.silent_ids),
    )
