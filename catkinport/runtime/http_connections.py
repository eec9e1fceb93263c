"""Connections of a cheroot server, bounded in number and kept from idle threads."""

import logging
import time
from typing import Any

from cheroot import wsgi
from cheroot.connections import ConnectionManager

from .logs import log_event

logger = logging.getLogger(__name__)

LOG_SECONDS = 10.0


class BoundedConnections(ConnectionManager):
    """Connections that get a thread only once something has arrived on them.

    cheroot gives a thread to each new connection at once, so connections on which
    nothing arrives hold all threads until they time out.

    Args:
        server: the server.
        max_connections: most connections that wait for a request. Beyond it, the ones
            that have waited longest are closed.
    """

    def __init__(self, server: Any, max_connections: int) -> None:
        super().__init__(server)
        self._max_connections = max_connections
        self._n_closed = 0
        self._logged_at = -LOG_SECONDS

    def _from_server_socket(self, server_socket: Any) -> None:
        connection = super()._from_server_socket(server_socket)
        if connection is None:
            return
        if self._num_connections >= self._max_connections:
            self._close_oldest()
        self.put(connection)

    def _close_oldest(self) -> None:
        waiting = [
            (connection.last_used, descriptor, connection)
            for descriptor, connection in self._selector.connections
            if connection is not self.server
        ]
        waiting.sort(key=lambda entry: entry[:2])
        # The search looks at all connections, so several are closed at a time.
        oldest = waiting[: max(1, self._max_connections // 64)]
        for _, descriptor, connection in oldest:
            self._selector.unregister(descriptor)
            connection.close()
        self._log_closed(len(oldest))

    def _log_closed(self, n_closed: int) -> None:
        self._n_closed += n_closed
        now = time.monotonic()
        if now - self._logged_at < LOG_SECONDS:
            return
        log_event(
            logger,
            "waiting connections closed",
            level=logging.WARNING,
            n_closed=self._n_closed,
            max_connections=self._max_connections,
        )
        self._logged_at = now
        self._n_closed = 0


class BoundedServer(wsgi.Server):
    """WSGI server with a bound on its waiting connections.

    Args:
        max_connections: most connections that wait for a request.
        arguments: arguments of cheroot's server.
        options: further arguments of cheroot's server.
    """

    def __init__(self, max_connections: int, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self._max_connections = max_connections

    def prepare(self) -> None:
        """Bind the port and start the threads."""
        super().prepare()
        self._connections._selector.close()
        self._connections = BoundedConnections(self, self._max_connections)
