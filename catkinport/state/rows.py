"""Keys and values of the rows that catkinport stores in the table service."""

from enum import StrEnum
from typing import NotRequired, TypedDict

from ..ports import RowKey, Write

CONFIGURATION = RowKey("configuration", "current")
ROSTER = RowKey("membership", "roster")
GENERATION = RowKey("fleet", "generation")
MAINTENANCE = RowKey("maintenance", "state")
CHANGES = RowKey("membership", "changes")

# Part of every transaction that writes the configuration, the roster or the
# generation. Members poll this row alone and read the others when its version has
# changed: with 18 members and 26 teams the three rows take 28 KB, which at two polls a
# second is eight times the limit of 7 KB/s for a daemon.
CHANGES_WRITE = Write(CHANGES, {})


class RevisionRecord(TypedDict):
    """Accepted change in the history of the configuration."""

    revision: int
    digest: str
    change_id: str
    accepted_by: str
    operator: str


class ConfigurationRow(TypedDict):
    """Accepted configuration document; ``history`` lists the last 20 revisions."""

    revision: int
    digest: str
    change_id: str
    document: str
    accepted_by: str
    operator: str
    history: list[RevisionRecord]


class MemberRow(TypedDict):
    """Entry or controller in the roster. Addresses are ``host:port``."""

    role: str
    peer_address: str
    admin_address: str
    zone: str
    is_evicted: bool


class RosterRow(TypedDict):
    """All members. An evicted member stays until its allowances are reclaimed."""

    member_by_id: dict[str, MemberRow]


class GenerationRow(TypedDict):
    """Number of transactions so far that changed which VMs serve."""

    generation: int


class OwnerRow(TypedDict):
    """Owner of a pool; ``epoch`` grows by one with every change of owner."""

    member_id: str
    epoch: int


class ServingVm(TypedDict):
    """VM that may be given new requests or tasks."""

    backend_address: str
    worker_address: str
    zone: str
    rack: str


class PoolRow(TypedDict):
    """State of a pool.

    ``reason_by_disrupted_vm`` lists every VM of the pool that does not serve, with
    the reason; their number counts against the pool's availability budget.
    """

    serving_vm_by_id: dict[str, ServingVm]
    reason_by_disrupted_vm: dict[str, str]


class VmState(StrEnum):
    """State of a VM; only an ``ACTIVE`` one gets new work.

    A ``DRAINING`` VM may still run earlier work; a ``DRAINED`` one runs none.
    """

    ACTIVE = "active"
    DRAINING = "draining"
    DRAINED = "drained"
    REBOOTING = "rebooting"
    FAILED = "failed"


class VmRow(TypedDict):
    """State of a VM, and the only row that says which pool the VM belongs to.

    ``operation`` is the purpose of a drain: ``"drain"``, ``"maintenance"``, ``"move"``
    or empty. ``last_maintained`` is in seconds since the Unix epoch.
    ``former_boot_ids`` are the latest boots before ``boot_id``; an entry of the list of
    VMs that has one of them is older than the row.
    """

    pool: str
    state: str
    operation: str
    target_pool: str
    zone: str
    rack: str
    worker_address: str
    backend_address: str
    boot_id: str
    n_cores: float
    memory_gb: float
    n_accelerators: int
    last_maintained: float
    last_token: str
    former_boot_ids: NotRequired[list[str]]


class JobState(StrEnum):
    """State of a job.

    A ``PARKED`` job failed too often or is larger than its pool or its team's limit
    allows; it is not tried again. An ``UNKNOWN`` one may have run; it is not tried
    again because it is not restartable.
    """

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"
    PARKED = "parked"
    UNKNOWN = "unknown"


class JobRow(TypedDict):
    """Job and its current attempt. Times are in seconds since the Unix epoch."""

    team: str
    account: str
    command: str
    n_cores: float
    memory_gb: float
    n_accelerators: int
    run_seconds: float
    is_restartable: bool
    is_urgent: bool
    input_reference: str
    state: str
    attempt: int
    worker_vm: str
    checkpoint_reference: str
    result_reference: str
    reason: str
    is_cancel_requested: bool
    failed_vms: list[str]
    n_moves: int
    submitted_at: float
    started_at: float
    finished_at: float
    input: NotRequired[str]


class ClaimState(StrEnum):
    """State of a claim; with ``UNKNOWN`` the request may have run."""

    CLAIMED = "claimed"
    DONE = "done"
    UNKNOWN = "unknown"
    NOT_RUN = "not-run"


class ClaimRow(TypedDict):
    """Claim that allows one attempt to run a non-idempotent request."""

    token: str
    member_id: str
    digest: str
    state: str
    status: int
    answer_reference: str
    content_type: str
    claimed_at: float


class AllowanceRow(TypedDict):
    """Division of a team's limit among its holders: entries for slots, pools for cores.

    A holder's amount grows only while the sum stays within the limit.
    """

    amount_by_holder: dict[str, int]


class MaintenanceRow(TypedDict):
    """Whether the maintenance of VMs is started and paused, and who said so last."""

    is_paused: bool
    is_started: bool
    operator: str
    change_id: NotRequired[str]


def owner_key(pool: str) -> RowKey:
    """Return the key of the row that names the owner of ``pool``."""
    return RowKey("owners", pool)


def pool_key(pool: str) -> RowKey:
    """Return the key of the row with the state of ``pool``."""
    return RowKey("pools", pool)


def vm_key(vm_id: str) -> RowKey:
    """Return the key of the row of a VM."""
    return RowKey("vms", vm_id)


def job_key(queue: str, job_id: str) -> RowKey:
    """Return the key of the row of a job.

    Example:
        >>> job_key("renders", "j-1").key
        'renders/j-1'
    """
    return RowKey("jobs", f"{queue}/{job_id}")


def early_cancel_key(queue: str, job_id: str, team: str) -> RowKey:
    """Return the key of a team's cancellation of a job that was not stored.

    The team's job is stored only while there is no such row, so a write of the job that
    the table service carries out later conflicts.
    """
    return RowKey("early-cancels", f"{queue}/{job_id}/{team}")


def claim_key(team: str, idempotency_key: str) -> RowKey:
    """Return the key of the row of a claim."""
    return RowKey("claims", f"{team}/{idempotency_key}")


def allowance_key(team: str, resource: str) -> RowKey:
    """Return the key of the row that divides a team's limit on ``resource``."""
    return RowKey("allowances", f"{team}/{resource}")
