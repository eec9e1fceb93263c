"""Calls between members over gRPC: one actor owns the server and all channels."""

import asyncio
import logging
import socket
import weakref
from collections.abc import Callable, Mapping, Sequence
from concurrent.futures import Future
from typing import Any, NamedTuple

from google.protobuf.message import DecodeError, Message
from grpclib.client import Channel
from grpclib.const import Status
from grpclib.encoding.base import CodecBase
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from grpclib.server import Server

from ..ports import Reason, Unavailable
from ..protocol import peer_pb2
from ..protocol.peer_grpc import (
    AllowancesBase,
    AllowancesStub,
    MembershipBase,
    MembershipStub,
    QueuesBase,
    QueuesStub,
)
from ..runtime import LoopActor, log_event
from ._peer_authentication import (
    MAX_MESSAGE_BYTES,
    SIGNATURE_ENTRY,
    MessageAuthenticator,
    nonce_of,
)

CALL_TIMEOUT_SECONDS = 1.0
# A handler may wait for a write to the store before it answers.
HANDLER_TIMEOUT_SECONDS = 3.0
IDLE_CHANNEL_SECONDS = 60.0
MAX_CALLS_PER_PEER = 64
MAX_CALLS_SERVED = 256

_logger = logging.getLogger(__name__)

Handler = Callable[[Any], "Future[Message]"]


class PeerCall(NamedTuple):
    """Message that asks ``PeersActor`` to call a peer.

    Args:
        address: ``host:port`` of the peer.
        method: name of the gRPC method, for instance ``"Confirm"``.
        request: message to send.
        result: completed with the reply or with ``Unavailable``.
        timeout_seconds: longest wait for the reply.
    """

    address: str
    method: str
    request: Message
    result: "Future[Message | Unavailable]"
    timeout_seconds: float = CALL_TIMEOUT_SECONDS


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


class PeersActor(LoopActor):
    """Actor that serves calls from peers and makes calls to peers.

    Args:
        host: address to listen on.
        port: port to listen on; 0 lets the system choose.
        authenticator: signs and verifies messages.
        handler_by_method: handler of each gRPC method, by name.
    """

    def __init__(
        self,
        host: str,
        port: int,
        authenticator: MessageAuthenticator,
        handler_by_method: Mapping[str, Handler],
    ) -> None:
        super().__init__()
        self._authenticator = authenticator
        self._socket = _listen(host, port)
        self._dispatcher = _CallDispatcher(authenticator, handler_by_method)
        self._server: _TrackingServer | None = None
        self._connection_by_address: dict[str, _Connection] = {}

    def on_receive(self, message: Any) -> Any:
        """Start a ``PeerCall``; return the server's port for any other message."""
        if isinstance(message, PeerCall):
            self._submit(self._call(message))
            return None
        return self._socket.getsockname()[1]

    async def open(self) -> None:
        """Start the server."""
        services = [
            _MembershipService(self._dispatcher),
            _QueuesService(self._dispatcher),
            _AllowancesService(self._dispatcher),
        ]
        self._server = _TrackingServer(services, codec=_BytesCodec())
        await self._server.start(sock=self._socket)

    async def close(self) -> None:
        """Close the server and every channel."""
        if self._server is not None:
            self._server.close()
            self._server.abort_connections()
            await self._server.wait_closed()
        await _cancel_other_tasks()
        for connection in self._connection_by_address.values():
            connection.channel.close()
        self._connection_by_address.clear()

    async def _call(self, call: PeerCall) -> None:
        try:
            outcome = await self._exchange(call)
        except asyncio.CancelledError:
            call.result.set_result(_unavailable(call, Reason.STOPPING, "stopped"))
            raise
        except Exception as error:
            call.result.set_exception(error)
            return
        call.result.set_result(outcome)

    async def _exchange(self, call: PeerCall) -> Message | Unavailable:
        self._close_idle_connections()
        connection = self._connect(call.address)
        if connection.n_calls >= MAX_CALLS_PER_PEER:
            return _unavailable(call, Reason.QUEUE_FULL, "too many calls in flight")
        connection.n_calls += 1
        try:
            async with asyncio.timeout(call.timeout_seconds):
                return await self._send(connection.channel, call)
        except TimeoutError:
            # The connection may be dead without a reset; the next call opens a new one.
            self._retire(call.address, connection)
            return _unavailable(call, Reason.TIMEOUT, "no answer in time")
        except GRPCError as error:
            return _unavailable(call, Reason.CONNECTION_LOST, str(error.status))
        except (OSError, StreamTerminatedError, ProtocolError, DecodeError) as error:
            self._retire(call.address, connection)
            return _unavailable(call, Reason.CONNECTION_LOST, repr(error))
        finally:
            connection.n_calls -= 1
            connection.close_if_unused()

    async def _send(self, channel: Channel, call: PeerCall) -> Message | Unavailable:
        method = METHOD_BY_NAME[call.method]
        body = call.request.SerializeToString()
        if len(body) > MAX_MESSAGE_BYTES:
            raise ValueError(
                f"request must have at most {MAX_MESSAGE_BYTES} bytes, got {len(body)}"
            )
        metadata = self._authenticator.sign(f"request/{call.method}", body)
        stub_method = getattr(method.stub_type(channel), call.method)
        async with stub_method.open(
            timeout=call.timeout_seconds, metadata=metadata
        ) as stream:
            await stream.send_message(body, end=True)
            await stream.recv_initial_metadata()
            signature = self._authenticator.verify(
                f"reply/{call.method}",
                stream.initial_metadata or {},
                nonce_of(metadata),
            )
            if signature is None and SIGNATURE_ENTRY in (stream.initial_metadata or {}):
                await stream.cancel()
                return _unavailable(
                    call, Reason.CONNECTION_LOST, "invalid signature of the reply"
                )
            reply = await stream.recv_message()
            await stream.recv_trailing_metadata()
        if signature is None or reply is None or not signature.matches(reply):
            return _unavailable(
                call, Reason.CONNECTION_LOST, "invalid signature of the reply"
            )
        return method.reply_type.FromString(reply)

    def _connect(self, address: str) -> "_Connection":
        connection = self._connection_by_address.get(address)
        if connection is None:
            host, _, port = address.rpartition(":")
            connection = _Connection(Channel(host, int(port), codec=_BytesCodec()))
            self._connection_by_address[address] = connection
        connection.last_used_at = self._loop.time()
        return connection

    def _retire(self, address: str, connection: "_Connection") -> None:
        connection.is_retired = True
        if self._connection_by_address.get(address) is connection:
            del self._connection_by_address[address]

    def _close_idle_connections(self) -> None:
        limit = self._loop.time() - IDLE_CHANNEL_SECONDS
        for address, connection in list(self._connection_by_address.items()):
            if connection.n_calls == 0 and connection.last_used_at < limit:
                self._retire(address, connection)
                connection.close_if_unused()


class _Connection:
    """Channel to a peer; a retired one is closed when its last call ends."""

    def __init__(self, channel: Channel) -> None:
        self.channel = channel
        self.n_calls = 0
        self.is_retired = False
        self.last_used_at = 0.0

    def close_if_unused(self) -> None:
        """Close the channel if it is retired and no call uses it."""
        if self.is_retired and self.n_calls == 0:
            self.channel.close()


class _BytesCodec(CodecBase):
    """Codec that leaves bodies as bytes: the signature covers the exact bytes sent."""

    __content_subtype__ = "proto"

    def encode(self, message: bytes, message_type: Any) -> bytes:
        return message

    def decode(self, data: bytes, message_type: Any) -> bytes:
        return data


class _TrackingServer(Server):
    """Server that can abort its open connections.

    grpclib leaves them open when the server closes, and a request from a peer on one
    of them would start a task on an event loop that is stopping.
    """

    def __init__(self, services: Sequence[Any], codec: CodecBase) -> None:
        super().__init__(services, codec=codec)
        self._transports: weakref.WeakSet[Any] = weakref.WeakSet()

    def abort_connections(self) -> None:
        """Close all connections at once."""
        for transport in list(self._transports):
            transport.abort()

    def _protocol_factory(self) -> Any:
        protocol = super()._protocol_factory()
        connection_made = protocol.connection_made

        def track(transport: Any) -> None:
            self._transports.add(transport)
            connection_made(transport)

        protocol.connection_made = track  # type: ignore[method-assign]
        return protocol


class _CallDispatcher:
    """Dispatcher of peers' calls: verifies the request, signs the handler's reply."""

    def __init__(
        self,
        authenticator: MessageAuthenticator,
        handler_by_method: Mapping[str, Handler],
    ) -> None:
        self._authenticator = authenticator
        self._handler_by_method = handler_by_method
        self._n_calls = 0

    async def serve(self, method_name: str, stream: Any) -> None:
        """Verify a request, run its handler and send the signed reply.

        Raises:
            GRPCError: if too many calls are in progress, the request is not
                authentic, the handler fails, or it takes too long.
        """
        if self._n_calls >= MAX_CALLS_SERVED:
            raise GRPCError(Status.RESOURCE_EXHAUSTED, "too many calls")
        self._n_calls += 1
        try:
            async with asyncio.timeout(HANDLER_TIMEOUT_SECONDS):
                await self._serve(method_name, stream)
        except TimeoutError:
            raise GRPCError(Status.DEADLINE_EXCEEDED, method_name) from None
        finally:
            self._n_calls -= 1

    async def _serve(self, method_name: str, stream: Any) -> None:
        signature = self._authenticator.verify(
            f"request/{method_name}", stream.metadata
        )
        if signature is None:
            self._reject(method_name, stream)
        body = await stream.recv_message()
        if body is None or not signature.matches(body):
            self._reject(method_name, stream)
        request = METHOD_BY_NAME[method_name].request_type.FromString(body)
        reply = await self._handle(method_name, request)
        content = reply.SerializeToString()
        metadata = self._authenticator.sign(
            f"reply/{method_name}", content, signature.nonce
        )
        await stream.send_initial_metadata(metadata=metadata)
        await stream.send_message(content)

    async def _handle(self, method_name: str, request: Message) -> Message:
        try:
            future = self._handler_by_method[method_name](request)
            return await asyncio.wrap_future(future)
        except Exception as error:
            # A handler fails, for instance, while this member is not registered yet.
            log_event(_logger, "peer call failed", step=method_name, detail=repr(error))
            raise GRPCError(Status.UNAVAILABLE, "no answer") from error

    def _reject(self, method_name: str, stream: Any) -> None:
        peer = stream.peer.addr() if stream.peer else None
        log_event(
            _logger,
            "unauthenticated peer message rejected",
            logging.WARNING,
            step=method_name,
            peer=peer,
        )
        raise GRPCError(Status.UNAUTHENTICATED, "invalid seal")


class _MembershipService(MembershipBase):
    def __init__(self, dispatcher: _CallDispatcher) -> None:
        self._dispatcher = dispatcher

    async def Confirm(self, stream):  # noqa: N802
        await self._dispatcher.serve("Confirm", stream)

    async def Announce(self, stream):  # noqa: N802
        await self._dispatcher.serve("Announce", stream)

    async def Leave(self, stream):  # noqa: N802
        await self._dispatcher.serve("Leave", stream)

    async def FetchDocument(self, stream):  # noqa: N802
        await self._dispatcher.serve("FetchDocument", stream)


class _QueuesService(QueuesBase):
    def __init__(self, dispatcher: _CallDispatcher) -> None:
        self._dispatcher = dispatcher

    async def Notify(self, stream):  # noqa: N802
        await self._dispatcher.serve("Notify", stream)


class _AllowancesService(AllowancesBase):
    def __init__(self, dispatcher: _CallDispatcher) -> None:
        self._dispatcher = dispatcher

    async def RequestReturn(self, stream):  # noqa: N802
        await self._dispatcher.serve("RequestReturn", stream)


async def _cancel_other_tasks() -> None:
    """Cancel the calls in flight, so that each has an outcome before the loop stops."""
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    if tasks:
        await asyncio.wait(tasks, timeout=CALL_TIMEOUT_SECONDS)


def _listen(host: str, port: int) -> socket.socket:
    listener = socket.create_server((host, port), backlog=128)
    # Accepted sockets inherit these options: the kernel closes a connection whose peer
    # vanished after 30 s of silence and 3 probes that stay unanswered for 10 s each.
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 30)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 10)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3)
    return listener


def _unavailable(call: PeerCall, reason: Reason, detail: str) -> Unavailable:
    return Unavailable(reason, f"peer-{call.method}", call.address, detail, True)
