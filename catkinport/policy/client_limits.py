"""Limits on what clients may hold in a daemon, and which of them give way.

Clients outside the operators' control can keep requests unfinished for as long as they
like. The ledger counts connections and the memory of requests against bounds. At a
bound, it names the clients that make the least progress, and the caller closes them.
"""

from collections import deque
from collections.abc import Hashable, Iterable
from typing import NamedTuple

DEFAULT_HELD_BYTES = 32 * 1024 * 1024
DEFAULT_CONNECTIONS = 1024
"""Bounds where neither the settings nor the size of the VM is known."""

HELD_MEMORY_FRACTION = 0.1
"""Part of the VM's memory for requests. A daemon takes 45 MB at rest, and the smallest
VM has 160 MB."""

CONNECTIONS_PER_MB = 8
"""Connections for each MB of the VM's memory; an idle connection takes 6 KB."""

FILE_DESCRIPTORS = 200
"""Descriptors that are reserved for files."""

CONNECTION_FRACTION = 0.5
"""Part of the other descriptors for clients; the rest is for the store and workers."""

ADDRESS_FRACTION = 0.75
"""Part of all connections for one client address, which may be a load balancer."""

SMALL_BODY_BYTES = 16384
"""Largest body of a small request. Small requests may displace any unfinished one."""

LARGE_FRACTION = 0.75
"""Part of the memory for requests that large ones may take."""

GRACE_SECONDS = 1.0
"""Age up to which an unfinished request counts as one that is sent at once."""

IN_USE_SECONDS = 2.0
"""Time since the last answer for which an idle connection counts as in use."""

MIN_PROGRESS_BYTES_PER_SECOND = 1024
"""Progress from which on a request is not displaced by large ones."""

RATE_WINDOW_SECONDS = 2.0
"""Time over which progress is measured, at least."""

MAX_PIPELINED = 8
"""Complete requests of one connection that wait for their handler."""

BATCH_FRACTION = 1 / 64
"""Part of a bound that is freed at a time, as the choice looks at all clients."""


class ClientBounds(NamedTuple):
    """Bounds over all clients of a process.

    Args:
        held_bytes: memory for requests that are unfinished or being answered.
        connections: connections.
        connections_per_address: connections of one client address.
        unfinished_per_address: unfinished requests of one client address.
    """

    held_bytes: int
    connections: int
    connections_per_address: int
    unfinished_per_address: int


class RequestLimits(NamedTuple):
    """Limits on each request, which clients are told."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 262144
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


def derive_bounds(
    memory_mb: int,
    max_descriptors: int,
    held_bytes: int = 0,
    connections: int = 0,
    connections_per_address: int = 0,
    unfinished_per_address: int = 0,
) -> ClientBounds:
    """Return the bounds for a VM of this size; 0 stands for an unknown value.

    Example:
        >>> derive_bounds(160, 4100).connections
        1280
    """
    if not held_bytes:
        part = int(memory_mb * 1024 * 1024 * HELD_MEMORY_FRACTION)
        held_bytes = part or DEFAULT_HELD_BYTES
    if not connections:
        connections = memory_mb * CONNECTIONS_PER_MB or DEFAULT_CONNECTIONS
        if max_descriptors:
            n_free = max(2, max_descriptors - FILE_DESCRIPTORS)
            connections = min(connections, int(n_free * CONNECTION_FRACTION))
    part = max(1, int(connections * ADDRESS_FRACTION))
    return ClientBounds(
        held_bytes,
        connections,
        connections_per_address or part,
        unfinished_per_address or part,
    )


class Client:
    """What the ledger knows of one connection.

    Args:
        key: the connection.
        address: address of the client.
        now: time at which it was opened, in seconds.

    Attributes:
        answering: memory counted for each request that is complete and not answered. A
            client with such requests is not displaced, as they may have run, unless it
            doesn't take the answers or sends more requests than it gets answers.
        held_bytes: memory counted for all its requests.
        open_bytes: memory counted for its unfinished request.
        is_large: whether its unfinished request has a large body.
        is_unfinished: whether part of a request has arrived, and not all of it.
        was_answered: whether a request of it was answered.
        is_closing: whether it was refused and is about to be closed.
        unread_at: time in seconds since which it takes nothing of an answer that waits
            for it; infinity while none does.
    """

    __slots__ = (
        "key", "address", "answering", "held_bytes", "open_bytes", "is_large",
        "is_unfinished", "was_answered", "is_closing", "active_at", "began_at",
        "unread_at",
        "n_received", "_window_at", "_window_received",
    )  # fmt: skip

    def __init__(self, key: Hashable, address: str, now: float) -> None:
        self.key = key
        self.address = address
        self.answering: deque[int] = deque()
        self.held_bytes = 0
        self.open_bytes = 0
        self.is_large = False
        self.is_unfinished = False
        self.was_answered = False
        self.is_closing = False
        self.unread_at = float("inf")
        self.active_at = now
        self.began_at = now
        self.n_received = 0
        self._window_at = now
        self._window_received = 0

    def begin(self, now: float) -> None:
        """Note that a request has begun and is unfinished."""
        self.is_unfinished = True
        self.began_at = self._window_at = now
        self.n_received = self._window_received = 0

    def note_received(self, n_bytes: int, now: float) -> None:
        """Note that bytes of the unfinished request have arrived."""
        if now - self._window_at >= RATE_WINDOW_SECONDS:
            self._window_at = self.active_at
            self._window_received = self.n_received
        self.n_received += n_bytes
        self.active_at = now

    def progress(self, now: float) -> float:
        """Return the latest progress of the unfinished request, in bytes a second."""
        seconds = max(GRACE_SECONDS, now - self._window_at)
        return (self.n_received - self._window_received) / seconds

    @property
    def fills_queue(self) -> bool:
        """Whether as many of its requests wait for an answer as one connection may."""
        return len(self.answering) >= MAX_PIPELINED

    def leaves_answers(self, now: float, seconds: float = GRACE_SECONDS) -> bool:
        """Return whether it has taken nothing of an answer for some time."""
        return now - self.unread_at >= seconds

    def is_stalled(self, now: float) -> bool:
        """Return whether an unfinished request makes almost no progress."""
        is_old = now - self.began_at >= GRACE_SECONDS
        return is_old and self.progress(now) < MIN_PROGRESS_BYTES_PER_SECOND


class Admission(NamedTuple):
    """Whether something is admitted, and the clients that must be closed for it."""

    is_admitted: bool
    displaced: tuple[Client, ...] = ()


ADMITTED = Admission(True)


class ClientLedger:
    """Counts connections and held memory, and chooses who gives way at a bound.

    Args:
        bounds: the bounds.
    """

    def __init__(self, bounds: ClientBounds) -> None:
        self.bounds = bounds
        self.held_bytes = 0
        self._clients: dict[Client, None] = {}
        self._unfinished: dict[Client, None] = {}
        self._n_large = 0
        self._n_by_address: dict[str, int] = {}
        self._n_unfinished_by_address: dict[str, int] = {}
        self._none_stalled_until = 0.0

    @property
    def n_connections(self) -> int:
        """Number of connections."""
        return len(self._clients)

    def list_unfinished(self) -> list[Client]:
        """Return the clients with an unfinished request."""
        return list(self._unfinished)

    def open(self, client: Client, now: float) -> Admission:
        """Count a new connection; it is not counted if it is not admitted."""
        bounds = self.bounds
        n_of_address = self._n_by_address.get(client.address, 0)
        admission = ADMITTED
        if n_of_address >= bounds.connections_per_address:
            same = [c for c in self._clients if c.address == client.address]
            admission = self._displace_connections(same, n_of_address, now)
        elif len(self._clients) >= bounds.connections:
            admission = self._displace_connections(self._clients, 0, now)
        if admission.is_admitted:
            self._clients[client] = None
            _add(self._n_by_address, client.address, 1)
        return admission

    def close(self, client: Client) -> None:
        """Forget a connection, and the memory of all but its requests in progress."""
        if client in self._clients:
            del self._clients[client]
            _add(self._n_by_address, client.address, -1)
        self.drop(client)

    def drop(self, client: Client) -> None:
        """Forget the unfinished request of a client."""
        self._finish(client)
        self._release(client, client.open_bytes)
        client.open_bytes = 0

    def begin(self, client: Client, now: float) -> Admission:
        """Note that a request of a client has begun and is unfinished."""
        n_of_address = self._n_unfinished_by_address.get(client.address, 0)
        admission = ADMITTED
        if n_of_address >= self.bounds.unfinished_per_address:
            same = [c for c in self._unfinished if c.address == client.address]
            admission = self._displace_connections(same, n_of_address, now)
        if admission.is_admitted:
            client.begin(now)
            self._unfinished[client] = None
            _add(self._n_unfinished_by_address, client.address, 1)
        return admission

    def complete(self, client: Client) -> None:
        """Note that a request of a client is complete and waits for its answer."""
        client.answering.append(client.open_bytes)
        client.open_bytes = 0
        if client.is_unfinished:
            self._finish(client)

    def answer(self, client: Client, now: float) -> None:
        """Note that the oldest complete request of a client is answered."""
        client.active_at = now
        client.was_answered = True
        if client.answering:
            self._release(client, client.answering.popleft())

    def _finish(self, client: Client) -> None:
        if client in self._unfinished:
            del self._unfinished[client]
            _add(self._n_unfinished_by_address, client.address, -1)
        client.is_unfinished = False

    def reserve(
        self, client: Client, n_bytes: int, is_large: bool, now: float
    ) -> Admission:
        """Count more memory for a client.

        Large requests displace stalled ones, and there is always room for one of them.
        Small requests displace any unfinished one.
        """
        bound = self.bounds.held_bytes
        limit = int(bound * LARGE_FRACTION) if is_large else bound
        admission = ADMITTED
        if self.held_bytes + n_bytes > limit:
            n_over = self.held_bytes + n_bytes - limit
            admission = self._displace_held(client, n_over, is_large, now)
            is_only_large = self._n_large == int(client.is_large)
            if not admission.is_admitted and is_large and is_only_large:
                admission = ADMITTED
        if admission.is_admitted:
            if is_large and not client.is_large:
                client.is_large = True
                self._n_large += 1
            client.held_bytes += n_bytes
            client.open_bytes += n_bytes
            self.held_bytes += n_bytes
        return admission

    def _release(self, client: Client, n_bytes: int) -> None:
        self.held_bytes -= n_bytes
        client.held_bytes -= n_bytes
        if client.is_large and not client.held_bytes:
            client.is_large = False
            self._n_large -= 1

    def _displace_connections(
        self, candidates: Iterable[Client], n_bound: int, now: float
    ) -> Admission:
        found = [
            client
            for client in candidates
            if not client.answering or client.fills_queue or client.leaves_answers(now)
        ]
        if not found:
            return Admission(False)
        found.sort(key=lambda client: self._connection_rank(client, now))
        n_displaced = max(1, int((n_bound or self.bounds.connections) * BATCH_FRACTION))
        return Admission(True, self._remove(found[:n_displaced]))

    def _displace_held(
        self, newcomer: Client, n_bytes: int, is_large: bool, now: float
    ) -> Admission:
        if is_large and now < self._none_stalled_until:
            return Admission(False)
        found = [
            client
            for client in self._unfinished
            if client is not newcomer
            and client.held_bytes
            and not client.answering
            and (not is_large or client.is_stalled(now))
        ]
        found.sort(key=lambda client: self._held_rank(client, now))
        n_wanted = n_bytes + int(self.bounds.held_bytes * BATCH_FRACTION)
        displaced = []
        n_freed = 0
        for client in found:
            if n_freed >= n_wanted:
                break
            displaced.append(client)
            n_freed += client.held_bytes
        if n_freed < n_bytes:
            if is_large:
                self._none_stalled_until = now + GRACE_SECONDS / 4
            return Admission(False)
        return Admission(True, self._remove(displaced))

    def _remove(self, clients: list[Client]) -> tuple[Client, ...]:
        for client in clients:
            self.close(client)
        return tuple(clients)

    def _is_over_part(self, client: Client) -> bool:
        n_connections = self._n_by_address.get(client.address, 0)
        return n_connections >= self.bounds.connections_per_address

    def _held_rank(self, client: Client, now: float) -> tuple[float, ...]:
        is_within = not self._is_over_part(client)
        if now - client.began_at >= GRACE_SECONDS:
            return is_within, 0, client.progress(now)
        return is_within, 1, -client.held_bytes

    def _connection_rank(self, client: Client, now: float) -> tuple[float, ...]:
        is_within = not self._is_over_part(client)
        if client.is_closing:
            return is_within, 0, client.active_at
        if client.leaves_answers(now):
            return is_within, 1, client.unread_at
        if client.answering:
            return is_within, 7, client.active_at
        if not client.is_unfinished and client.was_answered:
            is_in_use = now - client.active_at < IN_USE_SECONDS
            return is_within, 6 if is_in_use else 3, client.active_at
        if now - client.began_at < GRACE_SECONDS:
            return is_within, 5, -client.held_bytes
        if not client.is_unfinished:
            return is_within, 2, client.active_at
        order = 1 if client.is_stalled(now) else 4
        return is_within, order, client.progress(now)


def _add(n_by_address: dict[str, int], address: str, n: int) -> None:
    n_left = n_by_address.get(address, 0) + n
    if n_left:
        n_by_address[address] = n_left
    else:
        n_by_address.pop(address, None)
