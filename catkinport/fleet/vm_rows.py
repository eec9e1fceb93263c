"""Pure functions that return the row of a VM or plan a change of it."""

from ..ports import ListedVm
from ..state import PoolRow, VmRow, VmState
from .change import VmPlan
from .pool_rows import serve

MAX_FORMER_BOOTS = 8
"""Number of former boots that the row of a VM keeps. The list of VMs lags behind by
seconds, which is less than so many reboots take."""


def new_vm(listed: ListedVm, pool: str, last_maintained: float) -> VmRow:
    """Return the row of a VM that serves in ``pool`` and has no operation."""
    return {
        "pool": pool,
        "state": VmState.ACTIVE,
        "operation": "",
        "target_pool": "",
        "zone": listed.zone,
        "rack": listed.rack,
        "worker_address": listed.worker_address,
        "backend_address": listed.backend_address,
        "boot_id": listed.boot_id,
        "n_cores": listed.n_cores,
        "memory_gb": listed.memory_gb,
        "n_accelerators": listed.n_accelerators,
        "last_maintained": last_maintained,
        "last_token": "",
    }


def update_from_list(vm: VmRow, listed: ListedVm) -> VmRow:
    """Return the row with the listed values, which a reboot may have changed."""
    new = new_vm(listed, vm["pool"], vm["last_maintained"])
    kept = ("state", "operation", "target_pool", "last_token")
    boot_ids = [*vm.get("former_boot_ids", ()), vm["boot_id"]]
    former = [boot_id for boot_id in boot_ids if boot_id not in ("", listed.boot_id)]
    updated = {**new, **{name: vm[name] for name in kept}}
    if former:
        updated["former_boot_ids"] = former[-MAX_FORMER_BOOTS:]
    return updated  # type: ignore


def is_former_boot(vm: VmRow, listed: ListedVm) -> bool:
    """Return whether a listed VM is as it was before a reboot that the row shows.

    Boots have no order of their own, and the list has no time, so the row names the
    former ones.
    """
    return listed.boot_id in vm.get("former_boot_ids", ())


def is_later_boot(vm: VmRow, listed: ListedVm) -> bool:
    """Return whether a listed VM has rebooted since the row was written."""
    return listed.boot_id != vm["boot_id"] and not is_former_boot(vm, listed)


def state_fields(state: VmState, operation: str = "", target_pool: str = "") -> dict:
    """Return the fields of a row that say what the VM does."""
    return {"state": state, "operation": operation, "target_pool": target_pool}


def plan_serving(vm_id: str, vm: VmRow, pool_row: PoolRow) -> VmPlan:
    """Return the plan after which the VM serves in its pool and has no operation."""
    changed: VmRow = {**vm, **state_fields(VmState.ACTIVE)}  # type: ignore
    return VmPlan(changed, {vm["pool"]: serve(pool_row, vm_id, changed)})


def plan_change(vm: VmRow, changes: dict[str, str], pool_row: PoolRow) -> VmPlan:
    """Return the plan that changes fields of a VM's row and the row of its pool."""
    return VmPlan({**vm, **changes}, {vm["pool"]: pool_row})  # type: ignore
