"""Names of the rows that daemons share."""

from ..ports.table import RowKey

LEADER_TABLE = "leader"
JOBS_TABLE = "jobs"
STATES_TABLE = "states"
ROSTER_TABLE = "roster"
WAVES_TABLE = "waves"

OWNER_KEY = RowKey(LEADER_TABLE, "owner")
"""Written when the ownership changes; its version is the fencing token."""

BEAT_KEY = RowKey(LEADER_TABLE, "beat")
"""Written by the owner at each renewal."""

OWN_VMS_KEY = RowKey(WAVES_TABLE, "own-vms")
"""How many VMs each pool had when the first owner began."""

VM_ORDERS_KEY = RowKey(WAVES_TABLE, "orders")
"""VMs that the owner has ordered about lately, written before it orders them."""

MEMORY_KEY = RowKey(WAVES_TABLE, "memory")
"""What the owner has learnt of turns and durations. Only gains depend on it."""

CANCEL_SUFFIX = ".cancel"
"""Ends the key of the row that cancels a job; it lies beside the job's own row, so that
one read and one feed cover both."""

RANGE_END = "~"
"""Greater than any character of a key; ends the range of the rows of one job."""


def job_key(job_id: str) -> RowKey:
    """Return the row of a job as it was accepted."""
    return RowKey(JOBS_TABLE, job_id)


def cancel_key(job_id: str) -> RowKey:
    """Return the row that cancels a job."""
    return RowKey(JOBS_TABLE, job_id + CANCEL_SUFFIX)


def state_key(job_id: str) -> RowKey:
    """Return the row of a job's state, which its owner writes."""
    return RowKey(STATES_TABLE, job_id)


def roster_key(pool: str) -> RowKey:
    """Return the row that names the workers of a pool that may run tasks."""
    return RowKey(ROSTER_TABLE, pool)


def wave_key(wave: int) -> RowKey:
    """Return the row that names the VMs of a wave that have begun their upkeep."""
    return RowKey(WAVES_TABLE, str(wave))
