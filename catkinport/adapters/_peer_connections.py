"""Connections to peers, which are closed when they are idle or do not answer."""

import asyncio

from grpclib.client import Channel

from ._peer_codec import BytesCodec
from ._peer_transfers import CONNECTION_CONFIGURATION

IDLE_CHANNEL_SECONDS = 60.0


class PeerConnection:
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


class PeerConnections:
    """Connections of a member to its peers; used on the event loop only."""

    def __init__(self) -> None:
        self._connection_by_address: dict[str, PeerConnection] = {}

    def connect(self, address: str) -> PeerConnection:
        """Return the connection to ``address``, a new one if there is none."""
        connection = self._connection_by_address.get(address)
        if connection is None:
            host, _, port = address.rpartition(":")
            channel = Channel(
                host, int(port), codec=BytesCodec(), config=CONNECTION_CONFIGURATION
            )
            connection = PeerConnection(channel)
            self._connection_by_address[address] = connection
        connection.last_used_at = asyncio.get_running_loop().time()
        return connection

    def retire(self, address: str, connection: PeerConnection) -> None:
        """Let no more calls use a connection; it is closed after its last one."""
        connection.is_retired = True
        if self._connection_by_address.get(address) is connection:
            del self._connection_by_address[address]

    def close_idle(self) -> None:
        """Close the connections that no call has used lately."""
        limit = asyncio.get_running_loop().time() - IDLE_CHANNEL_SECONDS
        for address, connection in list(self._connection_by_address.items()):
            if connection.n_calls == 0 and connection.last_used_at < limit:
                self.retire(address, connection)
                connection.close_if_unused()

    def close(self) -> None:
        """Close all connections."""
        for connection in self._connection_by_address.values():
            connection.channel.close()
        self._connection_by_address.clear()
