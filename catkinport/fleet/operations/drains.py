"""Drains, which a pool's availability budget must allow, and their end."""

from ...ports import Reason, Refused, Table
from ...settings.environment import Environment
from ...state import PoolRow, VmRow, VmState
from ..change import Busy, Decision, Unchanged, VmChange, VmView, commit_change
from ..fence import Fence
from ..outcomes import VmOutcome
from ..pool_rows import disrupt
from ..vm_rows import plan_change, plan_serving, state_fields
from .refusals import refuse_without_row, wrong_state

OPERATIONS = ("drain", "maintenance", "move")


def drain_vm(
    table: Table,
    environment: Environment,
    vm_id: str,
    token: str,
    operation: str = "drain",
    target_pool: str = "",
    expected_version: int | None = None,
    fence: Fence | None = None,
) -> VmOutcome:
    """Mark a VM as draining if its pool's availability budget allows it.

    Args:
        table: client of the table service.
        environment: the configuration, which holds the budget.
        vm_id: the VM.
        token: token of the operation; a repeated token has no further effect.
        operation: ``"drain"``, ``"maintenance"`` or ``"move"``.
        target_pool: pool to move to, for a move.
        expected_version: version that the VM's row must have; ``None`` for any.
        fence: ownership that must still hold; ``None`` for operators.

    Returns:
        The change, a conflict, why it was refused, or that the store is unavailable.
    """
    if operation not in OPERATIONS:
        raise ValueError(f"operation must be one of {OPERATIONS}, got {operation!r}")

    @refuse_without_row(vm_id)
    def decide(vm: VmRow, view: VmView) -> Decision:
        if vm["operation"]:
            return Busy()
        pool = view.pool_by_name[vm["pool"]]
        refusal = _check_drain(environment, vm, pool, operation, target_pool)
        if refusal is not None:
            return refusal
        changes = state_fields(VmState.DRAINING, operation, target_pool)
        return plan_change(vm, changes, disrupt(pool, vm_id, operation))

    return commit_change(
        table, VmChange(vm_id, token, decide, (), expected_version, fence)
    )


def undrain_vm(
    table: Table,
    environment: Environment,
    vm_id: str,
    token: str,
    expected_version: int | None = None,
    fence: Fence | None = None,
) -> VmOutcome:
    """Let a drained or draining VM serve again."""

    @refuse_without_row(vm_id)
    def decide(vm: VmRow, view: VmView) -> Decision:
        if vm["state"] == VmState.ACTIVE:
            return Unchanged()
        if vm["state"] not in (VmState.DRAINING, VmState.DRAINED):
            return wrong_state("undrain", vm_id, vm, "draining or drained")
        pool = view.pool_by_name[vm["pool"]]
        return plan_serving(vm_id, vm, pool)

    return commit_change(
        table, VmChange(vm_id, token, decide, (), expected_version, fence)
    )


def _check_drain(
    environment: Environment,
    vm: VmRow,
    pool_row: PoolRow,
    operation: str,
    target_pool: str,
) -> Refused | None:
    pool = environment.pool_by_name.get(vm["pool"])
    if pool is None:
        return Refused(
            Reason.NOT_FOUND,
            "vm-drain",
            detail=f"pool {vm['pool']!r} is not configured",
        )
    if vm["state"] != VmState.ACTIVE:
        return Refused(
            Reason.REQUEST_INVALID,
            "vm-drain",
            detail=f"the VM must be active; it is {vm['state']}",
        )
    reasons = pool_row["reason_by_disrupted_vm"]
    if len(reasons) + 1 > pool.max_unavailable:
        detail = f"{len(reasons)} VMs of {pool.name} are unavailable"
        detail += f"; at most {pool.max_unavailable} may be"
        return Refused(Reason.BUDGET_EXHAUSTED, "vm-drain", detail=detail)
    if operation != "move":
        return None
    if target_pool == pool.name:
        return Refused(
            Reason.REQUEST_INVALID,
            "vm-move",
            detail=f"target_pool must differ from the VM's pool, got {target_pool!r}",
        )
    n_staying = len(pool_row["serving_vm_by_id"])
    n_staying += sum(reason != "move" for reason in reasons.values())
    if n_staying - 1 < pool.min_vms:
        detail = f"{pool.name} must keep {pool.min_vms} VMs; it has {n_staying} "
        detail += "that are not moving away, including this one"
        return Refused(Reason.BUDGET_EXHAUSTED, "vm-move", detail=detail)
    return None
