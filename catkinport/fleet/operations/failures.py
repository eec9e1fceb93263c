"""Failures of VMs, and what follows when they have recovered."""

from ...ports import ListedVm, Table
from ...state import VmRow, VmState
from ..change import Decision, Unchanged, VmChange, VmPlan, VmView, commit_change
from ..fence import Fence
from ..outcomes import VmOutcome
from ..pool_rows import disrupt
from ..vm_rows import plan_change, plan_serving, state_fields, update_from_list
from .refusals import refuse_without_row


def fail_vm(
    table: Table,
    vm_id: str,
    reason: str,
    token: str,
    fence: Fence | None = None,
    is_leaving: bool = False,
) -> VmOutcome:
    """Take a VM out of service for an unplanned ``reason``, even beyond the budget.

    An operation under way is kept and continues when the VM has recovered. A VM that
    the platform will take away soon (``is_leaving``) still runs, so it drains instead
    of failing.
    """

    @refuse_without_row(vm_id)
    def decide(vm: VmRow, view: VmView) -> Decision:
        pool = view.pool_by_name[vm["pool"]]
        state = VmState.DRAINING if is_leaving else VmState.FAILED
        is_known = pool["reason_by_disrupted_vm"].get(vm_id) == reason
        if is_known and (is_leaving or vm["state"] == state):
            return Unchanged()
        operation = vm["operation"] or ("drain" if is_leaving else "")
        changes = state_fields(state, operation, vm["target_pool"])
        return plan_change(vm, changes, disrupt(pool, vm_id, reason))

    return commit_change(table, VmChange(vm_id, token, decide, (), None, fence))


def recover_vm(
    table: Table,
    vm_id: str,
    token: str,
    listed: ListedVm | None = None,
    fence: Fence | None = None,
) -> VmOutcome:
    """Let a failed VM serve again, or continue the operation that it was in.

    ``listed`` is the VM after a reboot; its addresses and size replace those in the
    row.
    """

    @refuse_without_row(vm_id)
    def decide(vm: VmRow, view: VmView) -> Decision:
        updated = vm if listed is None else update_from_list(vm, listed)
        if vm["state"] != VmState.FAILED and updated == vm:
            return Unchanged()
        pool = view.pool_by_name[vm["pool"]]
        if vm["state"] not in (VmState.FAILED, VmState.ACTIVE):
            return VmPlan(updated, {})
        if vm["operation"]:
            changes = state_fields(VmState.DRAINING, vm["operation"], vm["target_pool"])
            return plan_change(updated, changes, disrupt(pool, vm_id, vm["operation"]))
        return plan_serving(vm_id, updated, pool)

    return commit_change(table, VmChange(vm_id, token, decide, (), None, fence))
