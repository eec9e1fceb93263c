"""Calls of a member to its peers."""

import asyncio
from concurrent.futures import Future
from contextlib import AbstractAsyncContextManager, nullcontext
from typing import Any, NamedTuple

from google.protobuf.message import DecodeError, Message
from grpclib.client import Channel
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from ..ports import Reason, Unavailable
from ._peer_authentication import (
    MAX_MESSAGE_BYTES,
    SIGNATURE_ENTRY,
    MessageAuthenticator,
    nonce_of,
)
from ._peer_connections import PeerConnections
from ._peer_methods import METHOD_BY_NAME
from ._peer_transfers import MAX_ANNOUNCED_AT_ONCE, limit_pauses

CALL_TIMEOUT_SECONDS = 1.0
MAX_CALLS_PER_PEER = 64


class PeerCall(NamedTuple):
    """Message that asks ``PeersActor`` to call a peer.

    Args:
        address: ``host:port`` of the peer.
        method: name of the gRPC method, for instance ``"Confirm"``.
        request: message to send.
        result: completed with the reply or with ``Unavailable``.
        timeout_seconds: longest wait for the reply. A call that carries a document
            has it only until its first byte is sent, see ``limit_pauses``.
    """

    address: str
    method: str
    request: Message
    result: "Future[Message | Unavailable]"
    timeout_seconds: float = CALL_TIMEOUT_SECONDS


class PeerCaller:
    """Client of all peers; used on the event loop only.

    Args:
        authenticator: signs requests and verifies replies.
    """

    def __init__(self, authenticator: MessageAuthenticator) -> None:
        self._authenticator = authenticator
        self._connections = PeerConnections()
        # Small calls have connections of their own, on which no document delays them.
        self._document_connections = PeerConnections()
        self._announcements = asyncio.Semaphore(MAX_ANNOUNCED_AT_ONCE)

    async def call(self, call: PeerCall) -> None:
        """Make a call and complete its result."""
        sends_document = METHOD_BY_NAME[call.method].sends_document
        try:
            async with self._announcements if sends_document else nullcontext():
                outcome = await self._exchange(call)
        except asyncio.CancelledError:
            call.result.set_result(_unavailable(call, Reason.STOPPING, "stopped"))
            raise
        except Exception as error:
            call.result.set_exception(error)
            return
        call.result.set_result(outcome)

    def close(self) -> None:
        """Close all connections."""
        self._connections.close()
        self._document_connections.close()

    async def _exchange(self, call: PeerCall) -> Message | Unavailable:
        self._connections.close_idle()
        self._document_connections.close_idle()
        method = METHOD_BY_NAME[call.method]
        connections = (
            self._document_connections if method.carries_document else self._connections
        )
        connection = connections.connect(call.address)
        if connection.n_calls >= MAX_CALLS_PER_PEER:
            return _unavailable(call, Reason.QUEUE_FULL, "too many calls in flight")
        connection.n_calls += 1
        try:
            return await self._send(connection.channel, call)
        except TimeoutError:
            # The connection may be dead without a reset; the next call opens a new one.
            connections.retire(call.address, connection)
            return _unavailable(call, Reason.TIMEOUT, "no answer in time")
        except GRPCError as error:
            return _unavailable(call, Reason.CONNECTION_LOST, str(error.status))
        except (OSError, StreamTerminatedError, ProtocolError, DecodeError) as error:
            connections.retire(call.address, connection)
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
        # The peer is told the timeout, so a transfer must not have one.
        timeout_seconds = None if method.carries_document else call.timeout_seconds
        stream = stub_method.open(timeout=timeout_seconds, metadata=metadata)
        async with _limit_time(call, stream), stream:
            await stream.send_message(body, end=True)
            await stream.recv_initial_metadata()
            signature = self._authenticator.verify(
                f"reply/{call.method}",
                stream.initial_metadata or {},
                nonce_of(metadata),
            )
            if signature is None and SIGNATURE_ENTRY in (stream.initial_metadata or {}):
                await stream.cancel()
                return _not_authentic(call)
            reply = await stream.recv_message()
            await stream.recv_trailing_metadata()
        if signature is None or reply is None or not signature.matches(reply):
            return _not_authentic(call)
        return method.reply_type.FromString(reply)


def _limit_time(call: PeerCall, stream: Any) -> AbstractAsyncContextManager[Any]:
    if METHOD_BY_NAME[call.method].carries_document:
        return limit_pauses(stream, call.timeout_seconds)
    return asyncio.timeout(call.timeout_seconds)


def _not_authentic(call: PeerCall) -> Unavailable:
    detail = "invalid signature of the reply"
    return _unavailable(call, Reason.CONNECTION_LOST, detail)


def _unavailable(call: PeerCall, reason: Reason, detail: str) -> Unavailable:
    return Unavailable(reason, f"peer-{call.method}", call.address, detail, True)
