"""The gRPC methods that members call, with their messages."""

from collections.abc import Mapping
from typing import Any, NamedTuple

from google.protobuf.message import Message

from ..protocol import peer_pb2
from ..protocol.peer_grpc import AllowancesStub, MembershipStub, QueuesStub


class PeerMethod(NamedTuple):
    """Message types, client stub and size of a gRPC method.

    Args:
        request_type: type of the request.
        reply_type: type of the reply.
        stub_type: stub of the client.
        sends_document: whether the request carries a document.
        fetches_document: whether the reply carries a document.
    """

    request_type: type[Message]
    reply_type: type[Message]
    stub_type: Any
    sends_document: bool = False
    fetches_document: bool = False

    @property
    def carries_document(self) -> bool:
        """Whether a call may take as long as it makes progress."""
        return self.sends_document or self.fetches_document


METHOD_BY_NAME: Mapping[str, PeerMethod] = {
    "Confirm": PeerMethod(
        peer_pb2.ConfirmRequest, peer_pb2.ConfirmReply, MembershipStub
    ),
    "Announce": PeerMethod(
        peer_pb2.Announcement,
        peer_pb2.AnnouncementReply,
        MembershipStub,
        sends_document=True,
    ),
    "Leave": PeerMethod(peer_pb2.LeaveRequest, peer_pb2.LeaveReply, MembershipStub),
    "FetchDocument": PeerMethod(
        peer_pb2.FetchDocumentRequest,
        peer_pb2.FetchDocumentReply,
        MembershipStub,
        fetches_document=True,
    ),
    "Notify": PeerMethod(peer_pb2.QueueNotice, peer_pb2.QueueNoticeReply, QueuesStub),
    "RequestReturn": PeerMethod(
        peer_pb2.ReturnRequest, peer_pb2.ReturnReply, AllowancesStub
    ),
}
