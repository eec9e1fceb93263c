"""Ports and objects that the modules of the entry share."""

from collections.abc import Callable
from typing import NamedTuple

from ..membership.interface import Membership
from ..ports import BackendServers, Clock, ObjectStore, Table
from ..runtime import Metrics
from ..settings.environment import Service

MAX_BUFFERED_BODY_BYTES = 1024 * 1024


class EntryServices(NamedTuple):
    """Ports and shared objects of the daemon.

    Args:
        table: client of the table service.
        objects: client of the object store.
        membership: membership of this daemon.
        clock: clock of leases and deadlines.
        unix_time: returns seconds since the Unix epoch, for times stored in rows.
        metrics: metrics of the process.
        zone: availability zone of the entry.
        create_backend_servers: returns the client of a service's backend servers.
        max_held_answer_bytes: answers up to this size are buffered until complete;
            larger ones are streamed.
        claim_batch_seconds: how long claims are collected for one call to the table
            service.
        retry_fraction: most retries as a fraction of a service's requests, 0 to 1.
        max_body_bytes: largest ``Content-Length`` of a request.
    """

    table: Table
    objects: ObjectStore
    membership: Membership
    clock: Clock
    unix_time: Callable[[], float]
    metrics: Metrics
    zone: str
    create_backend_servers: Callable[[Service], BackendServers]
    max_held_answer_bytes: int = 1024 * 1024
    claim_batch_seconds: float = 0.005
    retry_fraction: float = 0.2
    max_body_bytes: int = 1024 * 1024 * 1024
