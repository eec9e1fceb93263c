"""Server of the calls of peers: its socket, its connections and the handlers."""

import asyncio
import logging
import socket
import weakref
from collections.abc import Callable, Mapping, Sequence
from concurrent.futures import Future
from contextlib import AbstractAsyncContextManager
from typing import Any

from google.protobuf.message import Message
from grpclib.const import Status
from grpclib.encoding.base import CodecBase
from grpclib.exceptions import GRPCError
from grpclib.server import Server

from ..runtime import log_event
from ._peer_authentication import MessageAuthenticator
from ._peer_methods import METHOD_BY_NAME
from ._peer_transfers import CONNECTION_CONFIGURATION, limit_pauses

# A handler may wait for a write to the store before it answers.
HANDLER_TIMEOUT_SECONDS = 3.0
MAX_CALLS_SERVED = 256

MAX_CONNECTIONS = 512
"""Connections of peers, each of which may hold a flow control window of 64 KB. Members
have one or two each."""

_logger = logging.getLogger(__name__)

Handler = Callable[[Any], "Future[Message]"]


class TrackingServer(Server):
    """Server that bounds its open connections and can abort them.

    grpclib leaves them open when the server closes, and a request from a peer on one
    of them would start a task on an event loop that is stopping.

    Beyond the bound, a new connection replaces the oldest one without an authentic
    call, and is aborted if there is none.

    Args:
        services: services of the server.
        codec: codec of the messages.
        authentic_transports: connections that have had an authentic call.
        max_connections: most open connections.
    """

    def __init__(
        self,
        services: Sequence[Any],
        codec: CodecBase,
        authentic_transports: weakref.WeakSet[Any],
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        super().__init__(services, codec=codec, config=CONNECTION_CONFIGURATION)
        self._authentic_transports = authentic_transports
        self._max_connections = max_connections
        # Kept in the order in which they were opened.
        self._transports: dict[Any, None] = {}

    def abort_connections(self) -> None:
        """Close all connections at once."""
        for transport in list(self._transports):
            transport.abort()

    def _protocol_factory(self) -> Any:
        protocol = super()._protocol_factory()
        connection_made = protocol.connection_made
        connection_lost = protocol.connection_lost
        tracked = []

        def track(transport: Any) -> None:
            tracked.append(transport)
            self._make_room(transport)
            self._transports[transport] = None
            connection_made(transport)

        def forget(error: BaseException | None) -> None:
            self._transports.pop(tracked[0], None)
            connection_lost(error)

        protocol.connection_made = track  # type: ignore[method-assign]
        protocol.connection_lost = forget  # type: ignore[method-assign]
        return protocol

    def _make_room(self, newcomer: Any) -> None:
        if len(self._transports) < self._max_connections:
            return
        unknown = (t for t in self._transports if t not in self._authentic_transports)
        displaced = next(unknown, newcomer)
        self._transports.pop(displaced, None)
        displaced.abort()


class CallDispatcher:
    """Dispatcher of peers' calls: verifies the request, signs the handler's reply."""

    def __init__(
        self,
        authenticator: MessageAuthenticator,
        handler_by_method: Mapping[str, Handler],
    ) -> None:
        self._authenticator = authenticator
        self._handler_by_method = handler_by_method
        self._n_calls = 0
        self.authentic_transports: weakref.WeakSet[Any] = weakref.WeakSet()

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
            async with _limit_time(method_name, stream):
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
        self.authentic_transports.add(stream._stream._transport)
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


def _limit_time(method_name: str, stream: Any) -> AbstractAsyncContextManager[Any]:
    if METHOD_BY_NAME[method_name].carries_document:
        return limit_pauses(stream, HANDLER_TIMEOUT_SECONDS)
    return asyncio.timeout(HANDLER_TIMEOUT_SECONDS)


def listen(host: str, port: int) -> socket.socket:
    """Return a socket that listens and closes connections to peers that vanished."""
    listener = socket.create_server((host, port), backlog=128)
    # Accepted sockets inherit these options: the kernel closes a connection whose peer
    # vanished after 30 s of silence and 3 probes that stay unanswered for 10 s each.
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 30)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 10)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3)
    return listener
