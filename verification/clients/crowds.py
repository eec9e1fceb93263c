"""Crowds of clients that exhaust a server, each of one kind.

Every client of a crowd sends its bytes as fast as the server takes them, then keeps its
connection open until the crowd is closed.
"""

import selectors
import socket
import time
from typing import NamedTuple

SEND_BYTES = 65536
CONNECT_TIMEOUT_SECONDS = 1.0
LEGAL_BODY_BYTES = 262144
"""Largest body that clients may send."""

MIN_RECEIVE_BYTES = 2048
"""Receive buffer of a client that reads nothing, so that few answers fill it."""

MAX_RETURNS = 20
"""Most times that a client connects again."""

FINISHING_FRACTION = 10
"""One client of this many sends its request to the end."""


class Kind(NamedTuple):
    """What each client of a crowd sends.

    Args:
        name: name of the kind.
        content: bytes that a client sends before it stops.
        rest: bytes that a client that finishes sends after that.
        piece_bytes: most bytes in one send.
        pause_seconds: pause between two sends of one client.
        receive_bytes: receive buffer of each client, which reads nothing; 0 for the
            system's usual one.
        returns: whether a client whose connection is closed connects again at once.
    """

    name: str
    content: bytes
    rest: bytes = b""
    piece_bytes: int = SEND_BYTES
    pause_seconds: float = 0.0
    receive_bytes: int = 0
    returns: bool = False


def build_kinds(host: str, path: str, key: str) -> dict[str, Kind]:
    """Return the kinds by name, for a queue with this host, path and key."""
    start = (
        f"POST {path}00000000000000ff HTTP/1.1\r\nHost: {host}\r\n"
        f"Authorization: Token {key}\r\n"
    ).encode()
    sized = start + f"Content-Length: {LEGAL_BODY_BYTES}\r\n\r\n".encode()
    chunked = start + b"Transfer-Encoding: chunked\r\n\r\n"
    body = b" " * (LEGAL_BODY_BYTES - 8)
    large_chunk = b"%x\r\n%s\r\n" % (61440, b" " * 61440)
    kinds = [
        Kind("long-heads", start + _build_fields(40, 7000), b"\r\n"),
        Kind("endless-heads", start + _build_fields(110, 4000)),
        Kind("empty-lines", b"\r\n" * 400_000),
        Kind("whole-bodies", sized + body, b" " * 8),
        Kind("bodies-in-pieces", sized + body, b" " * 8, 4096, 0.002),
        Kind("large-chunks", chunked + 4 * large_chunk, b"0\r\n\r\n"),
        Kind("small-chunks", chunked + 80_000 * b"1\r\n \r\n", b"0\r\n\r\n"),
    ]
    return {kind.name: kind for kind in kinds}


def build_further_kinds(host: str, path: str, key: str) -> dict[str, Kind]:
    """Return kinds by name that send what is legal, in a way that holds resources."""
    fields = f"Host: {host}\r\nAuthorization: Token {key}\r\n"
    question = f"GET {path}00000000000000ff HTTP/1.1\r\n{fields}\r\n".encode()
    start = f"POST {path}00000000000000ff HTTP/1.1\r\n{fields}".encode()
    body = b" " * LEGAL_BODY_BYTES
    sized = start + f"Content-Length: {len(body)}\r\n\r\n".encode() + body
    kinds = [
        Kind("unread-answers", 4000 * question, receive_bytes=MIN_RECEIVE_BYTES),
        Kind("unread-bodies", 4 * sized, receive_bytes=MIN_RECEIVE_BYTES),
        Kind("heads-by-byte", start, b"\r\n", 1, 0.01),
        Kind("returning-bodies", sized[:-8], returns=True),
        Kind("returning-heads", start + _build_fields(40, 7000), returns=True),
    ]
    return {kind.name: kind for kind in kinds}


def _build_fields(n_fields: int, value_bytes: int) -> bytes:
    value = b"a" * value_bytes
    return b"".join(b"X-%d: %s\r\n" % (number, value) for number in range(n_fields))


class _Client:
    def __init__(self, connection: socket.socket, kind: Kind, finishes: bool) -> None:
        self.connection = connection
        self.kind = kind
        self.content = memoryview(
            kind.content + kind.rest if finishes else kind.content
        )
        self.next_at = 0.0
        self.n_returns = 0

    def reconnect(self, connection: socket.socket) -> None:
        """Begin anew on another connection."""
        self.connection = connection
        self.content = memoryview(self.kind.content)
        self.n_returns += 1

    def send(self, now: float) -> bool:
        """Send a piece; return whether there is more to send."""
        if now < self.next_at:
            return True
        n_sent = self.connection.send(self.content[: self.kind.piece_bytes])
        self.content = self.content[n_sent:]
        self.next_at = now + self.kind.pause_seconds
        return bool(self.content)


class Crowd:
    """Connections to one address.

    Args:
        address: ``host:port``.
        kinds: what the clients send, in turns.
        n_clients: number of connections.
    """

    def __init__(self, address: str, kinds: list[Kind], n_clients: int) -> None:
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._kinds = kinds
        self._n_clients = n_clients
        self._sockets: list[socket.socket] = []
        self._selector = selectors.DefaultSelector()

    def __enter__(self) -> "Crowd":
        """Return the crowd."""
        return self

    def __exit__(self, *error: object) -> None:
        """Close all connections."""
        self.close()

    def connect(self) -> int:
        """Open the connections; return how many the server took."""
        for number in range(self._n_clients):
            kind = self._kinds[number % len(self._kinds)]
            # Clients of each kind finish, whatever the number of kinds.
            finishes = number // len(self._kinds) % FINISHING_FRACTION == 0
            connection = self._connect_one(kind)
            if connection is None:
                continue
            client = _Client(connection, kind, finishes)
            self._selector.register(connection, selectors.EVENT_WRITE, client)
        return len(self._sockets)

    def _connect_one(self, kind: Kind) -> socket.socket | None:
        """Return a connection; ``None`` if the server takes none."""
        connection = socket.socket()
        if kind.receive_bytes:
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, kind.receive_bytes
            )
        connection.settimeout(CONNECT_TIMEOUT_SECONDS)
        try:
            connection.connect(self._address)
        except OSError:
            connection.close()
            return None
        connection.setblocking(False)
        self._sockets.append(connection)
        return connection

    def send(self, seconds: float) -> None:
        """Send until every client is done or was refused, for at most ``seconds``."""
        deadline = time.monotonic() + seconds
        while self._selector.get_map() and time.monotonic() < deadline:
            n_sent_before = len(self._selector.get_map())
            ready = self._selector.select(0.1)
            for key, _ in ready:
                self._send_one(key.data)
            if ready and len(self._selector.get_map()) == n_sent_before:
                # Clients that pause between their pieces are always writable.
                time.sleep(0.001)

    def _send_one(self, client: _Client) -> None:
        try:
            has_more = client.send(time.monotonic())
        except BlockingIOError:
            return
        except OSError:
            self._selector.unregister(client.connection)
            self._return(client)
            return
        if not has_more:
            self._selector.unregister(client.connection)

    def _return(self, client: _Client) -> None:
        """Let a client whose connection was closed connect again, if it does so."""
        if not client.kind.returns or client.n_returns >= MAX_RETURNS:
            return
        connection = self._connect_one(client.kind)
        if connection is not None:
            client.reconnect(connection)
            self._selector.register(connection, selectors.EVENT_WRITE, client)

    def close(self) -> None:
        """Close all connections."""
        self._selector.close()
        for connection in self._sockets:
            connection.close()
        self._sockets.clear()
