"""Finds the cores that pools get by moves that are under way."""

from collections.abc import Mapping, Sequence

from ...policy.wait_forecast import ComingCores
from .vm_inventory import VmInventory


def find_coming_cores(
    inventory: VmInventory, now: float
) -> Mapping[str, Sequence[ComingCores]]:
    """Return the cores of VMs that are being moved, by the pool that gets them.

    Only moves that the platform has confirmed count, as others may have had no effect.
    VMs in evacuated zones get no tasks, so they don't count.

    Args:
        inventory: VMs and the orders for them.
        now: clock time in seconds.
    """
    coming: dict[str, list[ComingCores]] = {}
    for pending in inventory.pending_orders:
        pool, vm_id = pending.order.pool, pending.order.vm_id
        vm = inventory.vm_by_id.get(vm_id)
        if not pool or vm is None or not pending.answered_at:
            continue
        if inventory.worker_on(vm_id) is not None and vm.pool == pool:
            continue
        if inventory.is_evacuated(vm):
            continue
        up_at = pending.answered_at + inventory.bounds.move
        entry = ComingCores(max(0.0, up_at - now), vm.capacity.cores)
        coming.setdefault(pool, []).append(entry)
    return coming
