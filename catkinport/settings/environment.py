"""Typed values of an environment's document."""

from collections.abc import Mapping
from typing import NamedTuple


class Team(NamedTuple):
    """A team, its share and its upper limits.

    Args:
        name: name of the team.
        weight: share of a fully used fleet relative to other teams, above 0.
        max_slots: upper limit on backend server slots held at once.
        max_cores: upper limit on worker processors used at once.
    """

    name: str
    weight: float
    max_slots: int
    max_cores: int


class Account(NamedTuple):
    """A client account of a team."""

    name: str
    team: str


class Key(NamedTuple):
    """A caller's key; ``salt`` and ``digest`` are hexadecimal."""

    name: str
    account: str
    team: str
    salt: str
    digest: str


class Operator(NamedTuple):
    """An operator's key for the administration API."""

    name: str
    salt: str
    digest: str


class Service(NamedTuple):
    """A service whose backend servers run on the VMs of a pool.

    Args:
        name: name of the service.
        pool: pool whose VMs run its backend servers.
        n_slots: slots of each backend server.
        n_connections: connections that each backend server accepts.
        max_request_seconds: longest deadline of a request.
        max_waiting: largest number of requests that wait for a slot at each entry.
        progress_seconds: longest time without data on a connection before it is
            replaced.
    """

    name: str
    pool: str
    n_slots: int
    n_connections: int
    max_request_seconds: float
    max_waiting: int
    progress_seconds: float


class Queue(NamedTuple):
    """A queue that accepts requests and jobs.

    Args:
        name: name of the queue.
        is_open: whether work is accepted without a key.
        is_urgent: whether its work is scheduled before long work.
        service: service that answers its requests, empty for none.
        pool: pool that runs its jobs, empty for none.
        teams: teams that may use it; empty for all.
        open_team: team whose limits apply to work without a key, on an open queue.
    """

    name: str
    is_open: bool
    is_urgent: bool
    service: str
    pool: str
    teams: tuple[str, ...]
    open_team: str


class Pool(NamedTuple):
    """A pool of VMs.

    Args:
        name: name of the pool.
        max_unavailable: availability budget, the VMs that may be unavailable at once.
        is_spare: whether its VMs are the reserve for other pools.
        min_vms: number of VMs below which moves never take the pool.
    """

    name: str
    max_unavailable: int
    is_spare: bool
    min_vms: int


class Maintenance(NamedTuple):
    """How VMs are maintained.

    Args:
        period_days: every VM is maintained once in this many days.
        drain_seconds: longest wait for a VM's work to end or move.
        reboot_seconds: longest wait for a VM to come back after its reboot.
    """

    period_days: float
    drain_seconds: float
    reboot_seconds: float


class Environment(NamedTuple):
    """A valid document. Every mapping goes from the name of a section to its value."""

    team_by_name: Mapping[str, Team]
    account_by_name: Mapping[str, Account]
    key_by_name: Mapping[str, Key]
    operator_by_name: Mapping[str, Operator]
    service_by_name: Mapping[str, Service]
    queue_by_name: Mapping[str, Queue]
    pool_by_name: Mapping[str, Pool]
    maintenance: Maintenance
