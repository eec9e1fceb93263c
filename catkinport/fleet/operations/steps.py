"""Steps of an operation under way, and the end of a maintenance."""

from ...ports import ListedVm, Table
from ...state import VmRow, VmState
from ..change import Busy, Decision, Unchanged, VmChange, VmPlan, VmView, commit_change
from ..fence import Fence
from ..outcomes import VmOutcome
from ..pool_rows import serve
from ..vm_rows import state_fields, update_from_list
from .refusals import not_found, wrong_state


def advance_vm(
    table: Table,
    vm_id: str,
    from_state: VmState,
    to_state: VmState,
    token: str,
    fence: Fence | None = None,
) -> VmOutcome:
    """Change the state of a VM that does not serve, as a step of its operation."""

    def decide(view: VmView) -> Decision:
        vm = view.vm
        if vm is None:
            return not_found(vm_id)
        if vm["state"] == to_state:
            return Unchanged()
        if vm["state"] != from_state:
            return Busy()
        changes = state_fields(to_state, vm["operation"], vm["target_pool"])
        return VmPlan({**vm, **changes}, {})  # type: ignore[typeddict-item]

    return commit_change(table, VmChange(vm_id, token, decide, (), None, fence))


def mark_maintained(
    table: Table,
    listed: ListedVm,
    token: str,
    now: float,
    fence: Fence | None = None,
) -> VmOutcome:
    """Let a VM serve again after its maintenance reboot.

    Args:
        table: client of the table service.
        listed: the VM after its reboot.
        token: token of the operation; a repeated token has no further effect.
        now: time of the maintenance, in seconds since the Unix epoch.
        fence: ownership that must still hold; ``None`` for no check.
    """

    def decide(view: VmView) -> Decision:
        vm = view.vm
        if vm is None:
            return not_found(listed.vm_id)
        if vm["operation"] != "maintenance":
            return wrong_state("mark-maintained", listed.vm_id, vm, "in maintenance")
        changed: VmRow = {
            **update_from_list(vm, listed),
            **state_fields(VmState.ACTIVE),
            "last_maintained": now,
        }  # type: ignore[typeddict-item]
        pool = view.pool_by_name[vm["pool"]]
        return VmPlan(changed, {vm["pool"]: serve(pool, listed.vm_id, changed)})

    return commit_change(table, VmChange(listed.vm_id, token, decide, (), None, fence))
