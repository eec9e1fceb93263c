"""The gRPC methods that members call, with their messages."""

from collections.abc import Mapping
from typing import Any, NamedTuple

from google.protobuf.message import Message

from ..protocol import peer_pb2
from ..protocol.peer_grpc import AllowancesStub, MembershipStub, QueuesStub


class PeerMethod(NamedTuple):
    """Request type, reply type and client stub of a gRPC method."""

    request_type: type[Message]
    reply_type: type[Message]
    stub_type: Any


METHOD_BY_NAME: Mapping[str, PeerMethod] = {
    "Confirm": PeerMethod(
        peer_pb2.ConfirmRequest, peer_pb2.ConfirmReply, MembershipStub
    ),
    "Announce": PeerMethod(
        peer_pb2.Announcement, peer_pb2.AnnouncementReply, MembershipStub
    ),
    "Leave": PeerMethod(peer_pb2.LeaveRequest, peer_pb2.LeaveReply, MembershipStub),
    "FetchDocument": PeerMethod(
        peer_pb2.FetchDocumentRequest, peer_pb2.FetchDocumentReply, MembershipStub
    ),
    "Notify": PeerMethod(peer_pb2.QueueNotice, peer_pb2.QueueNoticeReply, QueuesStub),
    "RequestReturn": PeerMethod(
        peer_pb2.ReturnRequest, peer_pb2.ReturnReply, AllowancesStub
    ),
}
