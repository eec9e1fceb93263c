"""Moves of VMs to other pools: the drain that starts one, and its end."""

from ...ports import Reason, Refused, Table, Unavailable
from ...settings.environment import Environment
from ...state import VmRow, VmState, vm_key
from ..change import Busy, Decision, VmChange, VmPlan, VmView, commit_change
from ..fence import Fence
from ..outcomes import VmOutcome
from ..pool_rows import remove, replace_gone, serve
from ..vm_rows import state_fields
from .drains import drain_vm
from .refusals import refuse_without_row, wrong_state


def move_vm(
    table: Table,
    environment: Environment,
    vm_id: str,
    target_pool: str,
    token: str,
    expected_version: int | None = None,
    fence: Fence | None = None,
) -> VmOutcome:
    """Start to move a VM to another pool by draining it.

    Once the VM is empty, the controller completes the move with ``finish_move``.
    """
    if target_pool not in environment.pool_by_name:
        known = ", ".join(sorted(environment.pool_by_name))
        return Refused(
            Reason.NOT_FOUND,
            "vm-move",
            detail=f"target_pool must be one of {known}; got {target_pool!r}",
        )
    return drain_vm(
        table,
        environment,
        vm_id,
        token,
        "move",
        target_pool,
        expected_version,
        fence,
    )


def finish_move(
    table: Table, vm_id: str, token: str, fence: Fence | None = None
) -> VmOutcome:
    """Put a drained VM into its target pool, where it serves at once."""
    target = _target_pool(table, vm_id)

    @refuse_without_row(vm_id)
    def decide(vm: VmRow, view: VmView) -> Decision:
        if vm["state"] != VmState.DRAINED or vm["operation"] != "move":
            return wrong_state("finish-move", vm_id, vm, "drained for a move")
        if vm["target_pool"] not in view.pool_by_name:
            return Busy()
        name = vm["target_pool"]
        changed: VmRow = {**vm, **state_fields(VmState.ACTIVE), "pool": name}  # type: ignore
        target_row, removed = replace_gone(view.pool_by_name[name])
        source = remove(view.pool_by_name[vm["pool"]], vm_id)
        pools = {vm["pool"]: source, name: serve(target_row, vm_id, changed)}
        return VmPlan(changed, pools, removed)

    return commit_change(table, VmChange(vm_id, token, decide, target, None, fence))


def _target_pool(table: Table, vm_id: str) -> tuple[str, ...]:
    """Return the pool that the VM moves to, empty if there is none or on an error."""
    rows = table.read([vm_key(vm_id)])
    if isinstance(rows, Unavailable) or vm_key(vm_id) not in rows:
        return ()
    name = rows[vm_key(vm_id)].value["target_pool"]
    return (name,) if name else ()
