"""Chooses a backend server for a request, and ejects failing servers for a time."""

import random
from collections.abc import Iterable, Sequence
from typing import NamedTuple

# From this fraction of its slots in use, a server of the entry's own zone is no longer
# preferred to servers of other zones.
ZONE_SPILL_FRACTION = 0.75
MAX_EJECTED_FRACTION = 1 / 3
CONSECUTIVE_FAILURES = 5
EJECTION_SECONDS = 5.0
MAX_EJECTION_SECONDS = 60.0
MIN_BACKOFF_SECONDS = 0.005
MAX_BACKOFF_SECONDS = 0.1


class ServerLoad(NamedTuple):
    """Load that an entry process puts on a backend server.

    Args:
        address: ``host:port``.
        zone: its availability zone.
        in_flight: requests of this entry that it has not yet finished.
        n_slots: most requests that this entry sends to it at once.
    """

    address: str
    zone: str
    in_flight: int
    n_slots: int


def choose_server(
    servers: Sequence[ServerLoad], own_zone: str, rng: random.Random
) -> str | None:
    """Choose a server by power of two choices over in-flight counts, own zone first.

    Args:
        servers: the servers that may get requests.
        own_zone: availability zone of the entry.
        rng: source of the random choices.

    Returns:
        The address, or ``None`` when every server is full.
    """
    with_room = [server for server in servers if server.in_flight < server.n_slots]
    near = [server for server in with_room if server.zone == own_zone]
    if near:
        choice = _less_loaded_of_two(near, rng)
        if choice.in_flight < ZONE_SPILL_FRACTION * choice.n_slots:
            return choice.address
    return _less_loaded_of_two(with_room, rng).address if with_room else None


def _less_loaded_of_two(
    servers: Sequence[ServerLoad], rng: random.Random
) -> ServerLoad:
    if len(servers) == 1:
        return servers[0]
    first, second = rng.sample(servers, 2)
    return first if first.in_flight <= second.in_flight else second


def draw_backoff_seconds(
    service_seconds: float, n_slots: int, rng: random.Random
) -> float:
    """Return how long a full server gets no requests from this entry, in seconds.

    On average, a slot of a full server becomes free after the mean service time divided
    by the number of its slots. A fixed delay of 0.1 s left slots idle: in
    ``benchmarks/routing.py``, with 8 entries at load 0.9 and 0.1 s of work, the p99 of
    the wait was 5.3 s.

    Args:
        service_seconds: mean service time of a request; 0 while it is not known yet.
        n_slots: slots of the server, at least 1.
        rng: source of the jitter, which keeps entries from retrying simultaneously.
    """
    seconds = service_seconds / n_slots * rng.uniform(0.5, 1.5)
    return min(MAX_BACKOFF_SECONDS, max(MIN_BACKOFF_SECONDS, seconds))


class _Health(NamedTuple):
    n_failures: int = 0
    n_ejections: int = 0
    ejected_until: float = 0.0


class OutlierTracker:
    """Outlier ejection: failing servers get no requests for a time.

    A server is ejected after ``CONSECUTIVE_FAILURES`` failures in a row, and at most a
    third of the servers are ejected at once. An ejected server returns after a time
    that doubles with each ejection in a row. One more failure then ejects it again; an
    answer clears its failures and ejections.

    Example:
        >>> tracker = OutlierTracker()
        >>> for _ in range(CONSECUTIVE_FAILURES):
        ...     tracker.record_failure("a:1", now=0.0, addresses=["a:1", "b:1", "c:1"])
        >>> tracker.list_ejected(now=4.9), tracker.list_ejected(now=5.0)
        (['a:1'], [])
    """

    def __init__(self) -> None:
        self._health_by_address: dict[str, _Health] = {}

    def record_success(self, address: str) -> None:
        """Record an answer of ``address``."""
        self._health_by_address.pop(address, None)

    def record_failure(
        self, address: str, now: float, addresses: Iterable[str]
    ) -> None:
        """Record a failure, and eject ``address`` if it has failed repeatedly.

        Args:
            address: the server that failed.
            now: current time in seconds.
            addresses: all servers of the service, for the limit on ejections.
        """
        health = self._health_by_address.get(address, _Health())
        health = health._replace(n_failures=health.n_failures + 1)
        is_outlier = health.n_failures >= CONSECUTIVE_FAILURES or health.n_ejections
        is_ejected = now < health.ejected_until
        if is_outlier and not is_ejected and self._may_eject_another(now, addresses):
            seconds = EJECTION_SECONDS * 2**health.n_ejections
            until = now + min(MAX_EJECTION_SECONDS, seconds)
            health = _Health(0, health.n_ejections + 1, until)
        self._health_by_address[address] = health

    def list_ejected(self, now: float) -> list[str]:
        """Return the servers that are ejected at ``now``."""
        return [
            address
            for address, health in self._health_by_address.items()
            if now < health.ejected_until
        ]

    def keep_only(self, addresses: Iterable[str]) -> None:
        """Forget servers that are no longer listed."""
        known = set(addresses)
        for address in set(self._health_by_address) - known:
            del self._health_by_address[address]

    def _may_eject_another(self, now: float, addresses: Iterable[str]) -> bool:
        known = set(addresses)
        n_ejected = len(known.intersection(self.list_ejected(now)))
        return n_ejected + 1 <= len(known) * MAX_EJECTED_FRACTION + 1e-9
