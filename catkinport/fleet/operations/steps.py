"""Steps of an operation under way, and the end of a maintenance."""

from ...ports import ListedVm, Table
from ...state import VmRow, VmState
from ..change import Busy, Decision, Unchanged, VmChange, VmPlan, VmView, commit_change
from ..fence import Fence
from ..outcomes import VmOutcome
from ..vm_rows import plan_serving, state_fields, update_from_list
from .refusals import refuse_without_row, wrong_state


def advance_vm(
    table: Table,
    vm_id: str,
    from_state: VmState,
    to_state: VmState,
    token: str,
    fence: Fence | None = None,
) -> VmOutcome:
    """Change the state of a VM that does not serve, as a step of its operation."""

    @refuse_without_row(vm_id)
    def decide(vm: VmRow, view: VmView) -> Decision:
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

    @refuse_without_row(listed.vm_id)
    def decide(vm: VmRow, view: VmView) -> Decision:
        if vm["operation"] != "maintenance":
            return wrong_state("mark-maintained", listed.vm_id, vm, "in maintenance")
        updated: VmRow = {**update_from_list(vm, listed), "last_maintained": now}
        return plan_serving(listed.vm_id, updated, view.pool_by_name[vm["pool"]])

    return commit_change(table, VmChange(listed.vm_id, token, decide, (), None, fence))
