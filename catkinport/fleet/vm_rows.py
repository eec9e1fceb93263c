"""Pure functions that return the row of a VM or plan a change of it."""

from ..ports import ListedVm
from ..state import PoolRow, VmRow, VmState
from .change import VmPlan
from .pool_rows import serve


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
    return {**new, **{name: vm[name] for name in kept}}  # type: ignore


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
