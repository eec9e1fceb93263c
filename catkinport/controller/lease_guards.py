"""Wrappers of clients that act only while the freshness lease of the owner runs.

The membership renews the freshness lease. Once it has ended, another controller may own
the pool. Reads stay allowed.
"""

from collections.abc import Callable, Sequence

from ..ports import (
    CommitOutcome,
    NotRun,
    Page,
    Reason,
    Row,
    RowKey,
    Table,
    TaskReport,
    TaskSpecification,
    Transaction,
    Unavailable,
    Unknown,
    VmList,
    Workers,
)

IsLeaseHeld = Callable[[], bool]


def _lease_ended(step: str) -> Unavailable:
    detail = "the freshness lease has ended"
    return Unavailable(Reason.CONFIGURATION_STALE, step, detail=detail)


class GuardedTable:
    """Table client that commits nothing unless the freshness lease runs.

    Args:
        table: client of the table service.
        is_lease_held: returns whether the freshness lease of the controller that owns
            the pool runs.
    """

    def __init__(self, table: Table, is_lease_held: IsLeaseHeld) -> None:
        self._table = table
        self._is_lease_held = is_lease_held

    def read(self, row_keys: Sequence[RowKey]) -> dict[RowKey, Row] | Unavailable:
        """Read several rows."""
        return self._table.read(row_keys)

    def scan(
        self, table: str, prefix: str = "", after_key: str = "", limit: int = 500
    ) -> Page | Unavailable:
        """Read a page of rows."""
        return self._table.scan(table, prefix, after_key, limit)

    def commit(self, transaction: Transaction) -> CommitOutcome:
        """Commit one transaction if the lease runs."""
        if not self._is_lease_held():
            return _lease_ended("table-commit")
        return self._table.commit(transaction)

    def commit_batch(self, transactions: Sequence[Transaction]) -> list[CommitOutcome]:
        """Commit independent transactions if the lease runs."""
        if not self._is_lease_held():
            return [_lease_ended("table-commit")] * len(transactions)
        return self._table.commit_batch(transactions)


class GuardedWorkers:
    """Client of workers that calls none unless the freshness lease runs."""

    def __init__(self, workers: Workers, is_lease_held: IsLeaseHeld) -> None:
        self._workers = workers
        self._is_lease_held = is_lease_held

    def start_task(
        self, address: str, task: TaskSpecification, lease_seconds: float
    ) -> None | NotRun | Unknown:
        """Start an attempt if the lease runs."""
        if not self._is_lease_held():
            return NotRun(Reason.CONFIGURATION_STALE, "task-start", address)
        return self._workers.start_task(address, task, lease_seconds)

    def renew_leases(
        self, address: str, epoch: int, job_ids: Sequence[str], lease_seconds: float
    ) -> list[TaskReport] | Unavailable:
        """Renew leases and return reports if the lease runs."""
        if not self._is_lease_held():
            return _lease_ended("lease-renew")
        return self._workers.renew_leases(address, epoch, job_ids, lease_seconds)

    def checkpoint_task(
        self, address: str, job_id: str, attempt: int, epoch: int
    ) -> None | Unavailable:
        """Ask for a checkpoint if the lease runs."""
        if not self._is_lease_held():
            return _lease_ended("task-checkpoint")
        return self._workers.checkpoint_task(address, job_id, attempt, epoch)

    def throttle_task(
        self, address: str, job_id: str, attempt: int, epoch: int, fraction: float
    ) -> None | Unavailable:
        """Limit a task to a fraction of its processors if the lease runs."""
        if not self._is_lease_held():
            return _lease_ended("task-throttle")
        return self._workers.throttle_task(address, job_id, attempt, epoch, fraction)

    def stop_task(
        self, address: str, job_id: str, attempt: int, epoch: int
    ) -> None | Unavailable:
        """Stop a task if the lease runs."""
        if not self._is_lease_held():
            return _lease_ended("task-stop")
        return self._workers.stop_task(address, job_id, attempt, epoch)


class GuardedVmList:
    """Client of the VM list that reboots no VM unless the freshness lease runs."""

    def __init__(self, vm_list: VmList, is_lease_held: IsLeaseHeld) -> None:
        self._vm_list = vm_list
        self._is_lease_held = is_lease_held

    def reboot(self, vm_id: str, token: str) -> None | Unavailable:
        """Start a reboot if the lease runs."""
        if not self._is_lease_held():
            return _lease_ended("vm-reboot")
        return self._vm_list.reboot(vm_id, token)
