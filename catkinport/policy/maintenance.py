"""Chooses the VMs to maintain next."""

from collections.abc import Sequence
from typing import NamedTuple


class MaintainableVm(NamedTuple):
    """A VM of a pool.

    Args:
        vm_id: id of the VM.
        zone: its availability zone.
        rack: its rack.
        is_serving: false while it is drained, rebooting or failed, for any reason.
        last_maintained: seconds since the Unix epoch.
        n_tasks: tasks that run on it.
        n_unrestartable_tasks: those of them that cannot resume from a checkpoint.
    """

    vm_id: str
    zone: str
    rack: str
    is_serving: bool
    last_maintained: float
    n_tasks: int
    n_unrestartable_tasks: int


class PoolMaintenance(NamedTuple):
    """A pool with its availability budget."""

    name: str
    max_unavailable: int
    vms: Sequence[MaintainableVm]


def choose_vms_to_drain(
    pool: PoolMaintenance, now: float, period_seconds: float
) -> list[str]:
    """Choose the VM whose maintenance is longest due, one at a time.

    Args:
        pool: the pool.
        now: seconds since the Unix epoch.
        period_seconds: every VM is maintained once in this time.

    Returns:
        Ids of the VMs to drain now, within what is left of the budget.
    """
    n_unavailable = sum(not vm.is_serving for vm in pool.vms)
    if n_unavailable >= min(1, pool.max_unavailable):
        return []
    due = [vm for vm in pool.vms if now - vm.last_maintained >= period_seconds]
    return [vm.vm_id for vm in sorted(due, key=lambda vm: vm.last_maintained)[:1]]
