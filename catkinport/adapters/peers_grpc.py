"""Calls between members over gRPC: one actor owns the server and all channels."""

import asyncio
from collections.abc import Mapping
from typing import Any

from ..runtime import LoopActor
from ._peer_authentication import MessageAuthenticator
from ._peer_calls import CALL_TIMEOUT_SECONDS, PeerCall, PeerCaller
from ._peer_codec import BytesCodec
from ._peer_server import CallDispatcher, Handler, TrackingServer, listen
from ._peer_services import AllowancesService, MembershipService, QueuesService

__all__ = ["MessageAuthenticator", "PeerCall", "PeersActor"]


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
        self._socket = listen(host, port)
        self._dispatcher = CallDispatcher(authenticator, handler_by_method)
        self._server: TrackingServer | None = None
        self._caller = PeerCaller(authenticator)

    def on_receive(self, message: Any) -> Any:
        """Start a ``PeerCall``; return the server's port for any other message."""
        if isinstance(message, PeerCall):
            self._submit(self._caller.call(message))
            return None
        return self._socket.getsockname()[1]

    async def open(self) -> None:
        """Start the server."""
        services = [
            MembershipService(self._dispatcher),
            QueuesService(self._dispatcher),
            AllowancesService(self._dispatcher),
        ]
        self._server = TrackingServer(
            services, BytesCodec(), self._dispatcher.authentic_transports
        )
        await self._server.start(sock=self._socket)

    async def close(self) -> None:
        """Close the server and every channel."""
        if self._server is not None:
            self._server.close()
            self._server.abort_connections()
            await self._server.wait_closed()
        await _cancel_other_tasks()
        self._caller.close()


async def _cancel_other_tasks() -> None:
    """Cancel the calls in flight, so that each has an outcome before the loop stops."""
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    if tasks:
        await asyncio.wait(tasks, timeout=CALL_TIMEOUT_SECONDS)
