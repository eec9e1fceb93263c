"""Chooses the VMs of a pool to drain for maintenance next.

VMs are maintained in waves. A wave takes VMs of one rack only, and only as many as the
availability budget of the pool allows.
"""

from collections.abc import Sequence
from typing import NamedTuple

LEAD_FRACTION = 0.125
"""Fraction of the maintenance period by which maintenance starts early, to make up for
pauses: one week of a period of eight."""

FAILURE_ALLOWANCE = 0
"""VMs of the availability budget that waves leave free for failures."""


class MaintainableVm(NamedTuple):
    """A VM of a pool, as the choice of VMs to maintain sees it.

    Args:
        vm_id: id of the VM.
        zone: its availability zone.
        rack: its rack.
        is_serving: false while it is drained, rebooting or failed, for any reason.
        last_maintained: time of its latest maintenance, in seconds since the Unix
            epoch.
        n_tasks: tasks that run on it.
        n_unrestartable_tasks: those of them that cannot resume from a checkpoint.
        is_failed: whether a failure, not a drain, keeps it from serving. A VM that
            does not serve and has not failed is taken to be part of a wave.
    """

    vm_id: str
    zone: str
    rack: str
    is_serving: bool
    last_maintained: float
    n_tasks: int
    n_unrestartable_tasks: int
    is_failed: bool = False


class PoolMaintenance(NamedTuple):
    """A pool with its availability budget.

    Args:
        name: name of the pool.
        max_unavailable: most VMs that may be out of service at once.
        vms: all VMs of the pool.
    """

    name: str
    max_unavailable: int
    vms: Sequence[MaintainableVm]


def choose_vms_to_drain(
    pool: PoolMaintenance,
    now: float,
    period_seconds: float,
    failure_allowance: int = FAILURE_ALLOWANCE,
) -> list[str]:
    """Choose VMs of one rack to drain now, within the rest of the availability budget.

    While VMs of a rack are in maintenance, only VMs of that rack are drained, so that
    a wave never spans racks or zones. Otherwise the rack with the VM that has waited
    longest is next. Failed VMs count against the budget, so no VM is drained while
    they use it up.

    Args:
        pool: the pool.
        now: seconds since the Unix epoch.
        period_seconds: time within which every VM is maintained once.
        failure_allowance: VMs of the budget that are left free for failures; at
            least one VM of the budget stays available to maintenance.

    Returns:
        Ids of the VMs to drain now: overdue first, then idle, then those whose tasks
        all resume from a checkpoint.
    """
    due = [vm for vm in pool.vms if vm.is_serving and _is_due(vm, now, period_seconds)]
    n_left = _budget_left(pool, failure_allowance)
    if n_left <= 0 or not due:
        return []
    rack = _choose_rack(pool.vms, due)
    wave = [vm for vm in due if _rack_of(vm) == rack]
    wave.sort(key=lambda vm: _drain_sort_key(vm, now, period_seconds))
    return [vm.vm_id for vm in wave[:n_left]]


def _is_due(vm: MaintainableVm, now: float, period_seconds: float) -> bool:
    return now - vm.last_maintained >= period_seconds * (1 - LEAD_FRACTION)


def _budget_left(pool: PoolMaintenance, failure_allowance: int) -> int:
    n_failed = sum(vm.is_failed and not vm.is_serving for vm in pool.vms)
    n_unavailable = sum(not vm.is_serving for vm in pool.vms)
    if not pool.max_unavailable:
        return 0
    n_reserved = max(0, failure_allowance - n_failed)
    return max(1, pool.max_unavailable - n_reserved) - n_unavailable


def _rack_of(vm: MaintainableVm) -> tuple[str, str]:
    return vm.zone, vm.rack


def _choose_rack(
    vms: Sequence[MaintainableVm], due: Sequence[MaintainableVm]
) -> tuple[str, str] | None:
    """Return the rack of the present wave, or else the one that has waited longest.

    Racks with failed VMs come last, as they need a second wave once these VMs are
    repaired. Returns ``None`` while VMs of several racks are in maintenance.
    """
    racks_in_wave = {
        _rack_of(vm) for vm in vms if not vm.is_serving and not vm.is_failed
    }
    if not racks_in_wave:
        racks_with_failures = {
            _rack_of(vm) for vm in vms if vm.is_failed and not vm.is_serving
        }
        first = min(
            due,
            key=lambda vm: (
                _rack_of(vm) in racks_with_failures,
                vm.last_maintained,
                vm.vm_id,
            ),
        )
        return _rack_of(first)
    return racks_in_wave.pop() if len(racks_in_wave) == 1 else None


def _drain_sort_key(
    vm: MaintainableVm, now: float, period_seconds: float
) -> tuple[bool, bool, bool, int, float]:
    is_overdue = now - vm.last_maintained > period_seconds
    return (
        not is_overdue,
        vm.n_tasks > 0,
        vm.n_unrestartable_tasks > 0,
        vm.n_tasks,
        vm.last_maintained,
    )
