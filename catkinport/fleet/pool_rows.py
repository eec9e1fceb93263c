"""Pure functions that return a changed copy of a pool's row."""

from ..state import PoolRow, ServingVm, VmRow

GONE = "gone"
"""Reason of a disrupted VM that the platform has removed for good."""


def serve(pool: PoolRow, vm_id: str, vm: VmRow) -> PoolRow:
    """Return the row with the VM serving."""
    serving: ServingVm = {
        "backend_address": vm["backend_address"],
        "worker_address": vm["worker_address"],
        "zone": vm["zone"],
        "rack": vm["rack"],
    }
    without = remove(pool, vm_id)
    return {
        "serving_vm_by_id": {**without["serving_vm_by_id"], vm_id: serving},
        "reason_by_disrupted_vm": without["reason_by_disrupted_vm"],
    }


def disrupt(pool: PoolRow, vm_id: str, reason: str) -> PoolRow:
    """Return the row with the VM disrupted, for ``reason``.

    A disrupted VM does not serve and counts against the pool's availability budget.
    """
    without = remove(pool, vm_id)
    return {
        "serving_vm_by_id": without["serving_vm_by_id"],
        "reason_by_disrupted_vm": {**without["reason_by_disrupted_vm"], vm_id: reason},
    }


def remove(pool: PoolRow, vm_id: str) -> PoolRow:
    """Return the row without the VM."""
    return {
        "serving_vm_by_id": _without(pool["serving_vm_by_id"], vm_id),
        "reason_by_disrupted_vm": _without(pool["reason_by_disrupted_vm"], vm_id),
    }


def find_replaced_vm(pool: PoolRow) -> str | None:
    """Return the VM that a new VM of the pool replaces; ``None`` if none is gone.

    A VM that is gone counts against the budget until it has been replaced, because
    the pool lacks its capacity until then.
    """
    gone = [vm for vm, why in pool["reason_by_disrupted_vm"].items() if why == GONE]
    return min(gone, default=None)


def replace_gone(pool_row: PoolRow) -> tuple[PoolRow, tuple[str, ...]]:
    """Return the row without one VM that is gone, and the id of that VM if any."""
    replaced = find_replaced_vm(pool_row)
    if replaced is None:
        return pool_row, ()
    return remove(pool_row, replaced), (replaced,)


def _without(value_by_name: dict, name: str) -> dict:
    return {key: value for key, value in value_by_name.items() if key != name}
