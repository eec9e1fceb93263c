"""Connections to backend servers, which are used again while they are recent."""

import threading
from typing import NamedTuple

from urllib3.connection import HTTPConnection

from ..ports import Clock
from ._backend_answer_head import CompleteHeadResponse

CONNECT_TIMEOUT_SECONDS = 0.5


class _IdleConnection(NamedTuple):
    connection: HTTPConnection
    last_used_at: float


class ConnectionPool:
    """Pool of at most ``n_connections`` connections to one backend server."""

    def __init__(self, address: str, n_connections: int, clock: Clock) -> None:
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        self._n_connections = n_connections
        self._clock = clock
        self._lock = threading.Lock()
        self._idle: list[_IdleConnection] = []
        self._n_leased = 0

    def lease(self, max_idle_seconds: float) -> HTTPConnection | None:
        """Return a connection, or ``None`` when all are in use.

        Args:
            max_idle_seconds: longest time since the last answer of a connection
                that is used again.
        """
        with self._lock:
            if self._n_leased >= self._n_connections:
                return None
            self._n_leased += 1
            connection = self._take_idle(max_idle_seconds)
        return connection or self._create()

    def release(self, connection: HTTPConnection, is_reusable: bool) -> None:
        """End a lease; a connection that is not reusable is closed."""
        with self._lock:
            self._n_leased -= 1
            if is_reusable:
                self._idle.append(_IdleConnection(connection, self._clock.now()))
        if not is_reusable:
            connection.close()

    def close(self) -> None:
        """Close the idle connections."""
        with self._lock:
            idle, self._idle = self._idle, []
        for connection, _ in idle:
            connection.close()

    def _take_idle(self, max_idle_seconds: float) -> HTTPConnection | None:
        now = self._clock.now()
        while self._idle:
            connection, last_used_at = self._idle.pop()
            # is_connected is false once the server's close has arrived.
            if now - last_used_at <= max_idle_seconds and connection.is_connected:
                return connection
            connection.close()
        return None

    def _create(self) -> HTTPConnection:
        connection = HTTPConnection(
            self._host, self._port, timeout=CONNECT_TIMEOUT_SECONDS
        )
        # http.client would otherwise reconnect in the middle of a send and so repeat
        # a part of the request.
        connection.auto_open = 0
        connection.response_class = CompleteHeadResponse
        return connection
