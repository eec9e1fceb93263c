"""Clients that act only while this member may decide for its pool."""

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

IsHeld = Callable[[], bool]


def _stale(step: str) -> Unavailable:
    detail = "the freshness lease has ended"
    return Unavailable(Reason.CONFIGURATION_STALE, step, detail=detail)


class GuardedTable:
    """Commits nothing unless the freshness lease runs.

    Args:
        table: client of the table service.
        is_held: returns whether the lease of the member that owns the pool runs.
    """

    def __init__(self, table: Table, is_held: IsHeld) -> None:
        self._table = table
        self._is_held = is_held

    def read(self, row_keys: Sequence[RowKey]) -> dict[RowKey, Row] | Unavailable:
        """Read several rows."""
        return self._table.read(row_keys)

    def scan(
        self, table: str, prefix: str = "", after_key: str = "", limit: int = 500
    ) -> Page | Unavailable:
        """Read a page of rows."""
        return self._table.scan(table, prefix, after_key, limit)

    def commit(self, transaction: Transaction) -> CommitOutcome:
        """Commit one transaction under the lease."""
        if not self._is_held():
            return _stale("table-commit")
        return self._table.commit(transaction)

    def commit_batch(self, transactions: Sequence[Transaction]) -> list[CommitOutcome]:
        """Commit independent transactions under the lease."""
        if not self._is_held():
            return [_stale("table-commit")] * len(transactions)
        return self._table.commit_batch(transactions)


class GuardedWorkers:
    """Tells workers nothing unless the freshness lease runs."""

    def __init__(self, workers: Workers, is_held: IsHeld) -> None:
        self._workers = workers
        self._is_held = is_held

    def start_task(
        self, address: str, task: TaskSpecification, lease_seconds: float
    ) -> None | NotRun | Unknown:
        """Start an attempt."""
        if not self._is_held():
            return NotRun(Reason.CONFIGURATION_STALE, "task-start", address)
        return self._workers.start_task(address, task, lease_seconds)

    def renew_leases(
        self, address: str, epoch: int, job_ids: Sequence[str], lease_seconds: float
    ) -> list[TaskReport] | Unavailable:
        """Renew leases and return reports."""
        if not self._is_held():
            return _stale("lease-renew")
        return self._workers.renew_leases(address, epoch, job_ids, lease_seconds)

    def checkpoint_task(
        self, address: str, job_id: str, attempt: int, epoch: int
    ) -> None | Unavailable:
        """Ask for a checkpoint."""
        if not self._is_held():
            return _stale("task-checkpoint")
        return self._workers.checkpoint_task(address, job_id, attempt, epoch)

    def throttle_task(
        self, address: str, job_id: str, attempt: int, epoch: int, fraction: float
    ) -> None | Unavailable:
        """Limit a task's processors."""
        if not self._is_held():
            return _stale("task-throttle")
        return self._workers.throttle_task(address, job_id, attempt, epoch, fraction)

    def stop_task(
        self, address: str, job_id: str, attempt: int, epoch: int
    ) -> None | Unavailable:
        """Stop a task."""
        if not self._is_held():
            return _stale("task-stop")
        return self._workers.stop_task(address, job_id, attempt, epoch)


class GuardedVmList:
    """Reboots nothing unless the freshness lease runs."""

    def __init__(self, vm_list: VmList, is_held: IsHeld) -> None:
        self._vm_list = vm_list
        self._is_held = is_held

    def reboot(self, vm_id: str, token: str) -> None | Unavailable:
        """Start a reboot."""
        if not self._is_held():
            return _stale("vm-reboot")
        return self._vm_list.reboot(vm_id, token)
