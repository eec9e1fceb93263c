"""HTTP client of backend servers.

The connection is opened before the first byte of a request is written, so that a
failure to connect means that the request did not run (``NotRun``). After any later
failure it may have run (``Unknown``), unless the backend server itself says that it
did not.
"""

import threading

from ..ports import BackendAnswer, BackendRequest, Clock, NotRun, Reason, Unknown
from ._backend_connections import ConnectionPool
from ._backend_exchange import DEFAULT_RETRY_AFTER_SECONDS, Exchange

# A server usually closes an idle connection after 5 s or more. A request that is not
# idempotent must not be lost to such a close, so it only gets a connection that was
# used this recently: that one is open unless the server stops at this moment.
MAX_IDLE_SECONDS_NOT_IDEMPOTENT = 1.0
MAX_IDLE_SECONDS = 4.0


class HttpBackendServers:
    """Client of the backend servers of one service.

    Args:
        clock: clock of the entry, the daemon that takes the requests of callers.
            Deadlines are times on this clock.
        n_connections: largest number of connections to one server, at least 1.
        progress_seconds: longest wait for a single socket operation to make
            progress, above 0.
    """

    def __init__(
        self, clock: Clock, n_connections: int, progress_seconds: float
    ) -> None:
        if n_connections < 1:
            raise ValueError(f"n_connections must be >= 1, got {n_connections!r}")
        if progress_seconds <= 0:
            raise ValueError(f"progress_seconds must be > 0, got {progress_seconds!r}")
        self._clock = clock
        self._n_connections = n_connections
        self._progress_seconds = progress_seconds
        self._lock = threading.Lock()
        self._pool_by_address: dict[str, ConnectionPool] = {}

    def send(
        self, address: str, request: BackendRequest
    ) -> BackendAnswer | NotRun | Unknown:
        """Send a request once and return as soon as the answer's head has arrived."""
        pool = self._pool(address)
        max_idle = (
            MAX_IDLE_SECONDS
            if request.is_idempotent
            else MAX_IDLE_SECONDS_NOT_IDEMPOTENT
        )
        connection = pool.lease(max_idle)
        if connection is None:
            return NotRun(
                Reason.BACKEND_FULL,
                "connect",
                address,
                f"all {self._n_connections} connections are in use",
                DEFAULT_RETRY_AFTER_SECONDS,
            )
        exchange = Exchange(
            address, pool, connection, request, self._clock, self._progress_seconds
        )
        try:
            return exchange.run()
        except BaseException:
            exchange.close()
            raise

    def keep_only(self, addresses: set[str]) -> None:
        """Close idle connections to servers that are no longer listed."""
        with self._lock:
            gone = set(self._pool_by_address) - addresses
            pools = [self._pool_by_address.pop(address) for address in gone]
        for pool in pools:
            pool.close()

    def close(self) -> None:
        """Close all idle connections."""
        self.keep_only(set())

    def _pool(self, address: str) -> ConnectionPool:
        with self._lock:
            pool = self._pool_by_address.get(address)
            if pool is None:
                pool = ConnectionPool(address, self._n_connections, self._clock)
                self._pool_by_address[address] = pool
            return pool
