"""Answers of a member to the calls of its peers."""

import logging
from collections.abc import Callable
from typing import Any

from ..policy.freshness import Freshness
from ..ports import Clock
from ..protocol import peer_pb2
from ..runtime import log_event
from .member_state import MemberState
from .peer_client import PeerClient
from .wire import answer_to_message, view_from_message

_logger = logging.getLogger(__name__)

Answer = Callable[["PeerAnswers", Any, Freshness], Any]

_answer_by_method: dict[str, Answer] = {}


def _answers(method: str) -> Callable[[Answer], Answer]:
    def register(answer: Answer) -> Answer:
        _answer_by_method[method] = answer
        return answer

    return register


def list_answered_methods() -> list[str]:
    """Return the names of the gRPC methods that a member answers from its state.

    Example:
        >>> list_answered_methods()
        ['Announce', 'Confirm', 'FetchDocument', 'Leave']
    """
    return sorted(_answer_by_method)


class PeerAnswers:
    """Changes the state of the member by what its peers say and answers them.

    Args:
        state: state of the member.
        peers: fetches a later configuration of which a peer tells.
        clock: clock of the leases.
    """

    def __init__(self, state: MemberState, peers: PeerClient, clock: Clock) -> None:
        self._state = state
        self._peers = peers
        self._clock = clock

    def answer(self, method: str, request: Any, freshness: Freshness) -> Any:
        """Return the message that answers ``request``.

        Raises:
            KeyError: if a member does not answer ``method``.
        """
        return _answer_by_method[method](self, request, freshness)

    @_answers("Confirm")
    def _confirm(
        self, request: peer_pb2.ConfirmRequest, freshness: Freshness
    ) -> peer_pb2.ConfirmReply:
        now = self._clock.now()
        view = view_from_message(request.view, freshness.view)
        freshness.on_peer_request(request.member_id, request.revision, view, now)
        asking = view.member_by_id.get(request.member_id)
        address = asking.peer_address if asking else ""
        self._peers.fetch_document_if_behind(freshness, address)
        return answer_to_message(freshness.answer(now), request.view.roster_version)

    @_answers("Announce")
    def _acknowledge_announcement(
        self, request: peer_pb2.Announcement, freshness: Freshness
    ) -> peer_pb2.AnnouncementReply:
        now = self._clock.now()
        self._state.apply_document(request.revision, request.document, now)
        freshness.on_revision_known(request.revision, now)
        return peer_pb2.AnnouncementReply(
            member_id=self._state.member_id,
            held_revision=self._state.configuration.revision,
        )

    @_answers("Leave")
    def _acknowledge_leave(
        self, request: peer_pb2.LeaveRequest, freshness: Freshness
    ) -> peer_pb2.LeaveReply:
        view = view_from_message(request.view, freshness.view)
        freshness.on_leave(request.member_id, request.revision, view, self._clock.now())
        leaving = view.member_by_id.get(request.member_id)
        address = leaving.peer_address if leaving else ""
        self._peers.fetch_document_if_behind(freshness, address)
        log_event(_logger, "member left", peer=request.member_id)
        return peer_pb2.LeaveReply()

    @_answers("FetchDocument")
    def _send_document(
        self, request: peer_pb2.FetchDocumentRequest, freshness: Freshness
    ) -> peer_pb2.FetchDocumentReply:
        return peer_pb2.FetchDocumentReply(
            revision=self._state.configuration.revision,
            document=self._state.configuration.document,
        )
