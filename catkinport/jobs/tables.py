"""Tables and row keys of the table service that the daemons share."""

import hashlib
from collections.abc import Iterable
from enum import StrEnum

from ..ports.table import RowKey

LEADER_TABLE = "leader"
JOBS_TABLE = "jobs"
STATES_TABLE = "states"
ROSTER_TABLE = "roster"
WAVES_TABLE = "waves"
EARLY_CANCELS_TABLE = "early-cancels"

OWNER_KEY = RowKey(LEADER_TABLE, "owner")
"""Written when the ownership changes; its version is the fencing token."""

HEARTBEAT_KEY = RowKey(LEADER_TABLE, "beat")
"""Written by the owner to renew its lease, or to release it."""

CANDIDATE_KEY = RowKey(LEADER_TABLE, "candidate")
"""Written by a daemon on a large VM that can take over from an owner that asks for it;
holds the fencing token of that owner."""

OWN_VMS_KEY = RowKey(WAVES_TABLE, "own-vms")
"""Number of VMs that each pool had when the first owner started."""

VM_ORDERS_KEY = RowKey(WAVES_TABLE, "orders")
"""VMs to which the owner has lately sent orders; written before an order is sent."""

MEMORY_KEY = RowKey(WAVES_TABLE, "memory")
"""Statistics of turns and durations that the owner has learned. They only improve its
decisions; correctness does not depend on them."""

REMOVED_QUEUES_KEY = RowKey(WAVES_TABLE, "removed-queues")
"""Queues with unfinished jobs, which go on if the configuration removes the queue."""

CANCEL_SUFFIX = ".cancel"
"""Suffix of the key of the row that cancels a job. The row is in the table of jobs, so
that one read and one change feed cover both."""

MAX_ROW_BYTES = 60_000
"""Largest value of a row as JSON text. The table service refuses rows over 64 KiB, at
each attempt."""

NAME_DIGEST_CHARACTERS = 32
"""Length of the digests that stand for names in keys, in hexadecimal digits."""

RANGE_END = "~"
"""Character greater than any in a key; appended to a job id, it ends the range of the
rows of that job."""


def job_key(job_id: str) -> RowKey:
    """Return the key of the row of a job as it was accepted."""
    return RowKey(JOBS_TABLE, job_id)


def cancel_key(job_id: str) -> RowKey:
    """Return the key of the row that cancels a job."""
    return RowKey(JOBS_TABLE, job_id + CANCEL_SUFFIX)


class CancelScope(StrEnum):
    """Jobs with an id that a cancellation prevents, as its caller may see them."""

    ACCOUNT = "account"
    """Jobs of an account."""

    QUEUE = "queue"
    """All jobs of a queue."""

    OPEN_QUEUE = "open"
    """Jobs of a queue that were submitted without a key."""


def early_cancel_key(job_id: str, scope: CancelScope, name: str) -> RowKey:
    """Return the key of a row of a cancellation that found no job.

    A job is stored only while no such row prevents it, so a write of the job that the
    table service carries out later conflicts.

    Args:
        job_id: id of the job.
        scope: what ``name`` names.
        name: name of an account or queue, of any length and with any characters.
    """
    digest = hashlib.sha256(name.encode()).hexdigest()[:NAME_DIGEST_CHARACTERS]
    return RowKey(EARLY_CANCELS_TABLE, f"{job_id}.{scope}.{digest}")


def group_by_partition(row_keys: Iterable[RowKey]) -> list[list[RowKey]]:
    """Group keys of rows of jobs so that one transaction can cover each group.

    The rows of jobs whose ids begin with the same character are in one partition of
    the table service.
    """
    group_by_character: dict[str, list[RowKey]] = {}
    for row_key in row_keys:
        group_by_character.setdefault(row_key.key[:1], []).append(row_key)
    return list(group_by_character.values())


def state_key(job_id: str) -> RowKey:
    """Return the key of the row of a job's state, which the owner writes."""
    return RowKey(STATES_TABLE, job_id)


def roster_key(pool: str) -> RowKey:
    """Return the key of the row that lists the workers of a pool that may run tasks."""
    return RowKey(ROSTER_TABLE, pool)


def wave_key(wave: int) -> RowKey:
    """Return the key of the row that lists the VMs of a wave whose upkeep has begun."""
    return RowKey(WAVES_TABLE, str(wave))
