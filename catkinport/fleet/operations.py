"""Operations on VMs and pools, each of them one transaction.

Planned drains and moves check the pool's availability budget in the transaction that
starts them. An operation that is repeated with the same ``token`` has no further
effect.
"""

from ..ports import ListedVm, Reason, Refused, Table, Unavailable
from ..settings.environment import Environment
from ..state import PoolRow, VmRow, VmState, vm_key
from .change import Busy, Decision, Unchanged, VmChange, VmPlan, VmView, commit_change
from .fence import Fence
from .outcomes import VmChanged, VmConflict, VmOutcome
from .pool_rows import disrupt, find_replaced_vm, remove, serve

__all__ = [
    "OPERATIONS",
    "Fence",
    "VmChanged",
    "VmConflict",
    "VmOutcome",
    "advance_vm",
    "drain_vm",
    "fail_vm",
    "finish_move",
    "mark_maintained",
    "move_vm",
    "recover_vm",
    "register_vm",
    "undrain_vm",
]

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

    def decide(view: VmView) -> Decision:
        vm = view.vm
        if vm is None:
            return _not_found(vm_id)
        if vm["operation"]:
            return Busy()
        pool = view.pool_by_name[vm["pool"]]
        refusal = _check_drain(environment, vm, pool, operation, target_pool)
        if refusal is not None:
            return refusal
        changes = _state_fields(VmState.DRAINING, operation, target_pool)
        return _plan(vm, changes, disrupt(pool, vm_id, operation))

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

    def decide(view: VmView) -> Decision:
        vm = view.vm
        if vm is None:
            return _not_found(vm_id)
        if vm["state"] == VmState.ACTIVE:
            return Unchanged()
        if vm["state"] not in (VmState.DRAINING, VmState.DRAINED):
            return _wrong_state("undrain", vm_id, vm, "draining or drained")
        pool = view.pool_by_name[vm["pool"]]
        changed: VmRow = {**vm, **_state_fields(VmState.ACTIVE)}
        return VmPlan(changed, {vm["pool"]: serve(pool, vm_id, changed)})

    return commit_change(
        table, VmChange(vm_id, token, decide, (), expected_version, fence)
    )


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

    def decide(view: VmView) -> Decision:
        vm = view.vm
        if vm is None:
            return _not_found(vm_id)
        if vm["state"] != VmState.DRAINED or vm["operation"] != "move":
            return _wrong_state("finish-move", vm_id, vm, "drained for a move")
        if vm["target_pool"] not in view.pool_by_name:
            return Busy()
        name = vm["target_pool"]
        changed: VmRow = {**vm, **_state_fields(VmState.ACTIVE), "pool": name}  # type: ignore
        target_row, removed = _replace_gone(view.pool_by_name[name])
        source = remove(view.pool_by_name[vm["pool"]], vm_id)
        pools = {vm["pool"]: source, name: serve(target_row, vm_id, changed)}
        return VmPlan(changed, pools, removed)

    return commit_change(table, VmChange(vm_id, token, decide, target, None, fence))


def register_vm(
    table: Table,
    listed: ListedVm,
    pool: str,
    token: str,
    now: float,
    fence: Fence | None = None,
) -> VmOutcome:
    """Add a VM that has no row yet to ``pool``.

    A VM that replaces one that is gone counts as maintained at ``now`` (seconds since
    the Unix epoch), because it was built recently. The last maintenance of other VMs
    is not known, so they are the first that are due.
    """

    def decide(view: VmView) -> Decision:
        if view.vm is not None:
            return Unchanged()
        pool_row, removed = _replace_gone(view.pool_by_name[pool])
        vm = _new_vm(listed, pool, now if removed else 0.0)
        return VmPlan(vm, {pool: serve(pool_row, listed.vm_id, vm)}, removed)

    return commit_change(
        table, VmChange(listed.vm_id, token, decide, (pool,), None, fence)
    )


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

    def decide(view: VmView) -> Decision:
        vm = view.vm
        if vm is None:
            return _not_found(vm_id)
        pool = view.pool_by_name[vm["pool"]]
        state = VmState.DRAINING if is_leaving else VmState.FAILED
        is_known = pool["reason_by_disrupted_vm"].get(vm_id) == reason
        if is_known and (is_leaving or vm["state"] == state):
            return Unchanged()
        operation = vm["operation"] or ("drain" if is_leaving else "")
        changes = _state_fields(state, operation, vm["target_pool"])
        return _plan(vm, changes, disrupt(pool, vm_id, reason))

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

    def decide(view: VmView) -> Decision:
        vm = view.vm
        if vm is None:
            return _not_found(vm_id)
        updated = vm if listed is None else _update_from_list(vm, listed)
        if vm["state"] != VmState.FAILED and updated == vm:
            return Unchanged()
        pool = view.pool_by_name[vm["pool"]]
        if vm["state"] not in (VmState.FAILED, VmState.ACTIVE):
            return VmPlan(updated, {})
        if vm["operation"]:
            changes = _state_fields(
                VmState.DRAINING, vm["operation"], vm["target_pool"]
            )
            return _plan(updated, changes, disrupt(pool, vm_id, vm["operation"]))
        changed: VmRow = {**updated, **_state_fields(VmState.ACTIVE)}
        return VmPlan(changed, {vm["pool"]: serve(pool, vm_id, changed)})

    return commit_change(table, VmChange(vm_id, token, decide, (), None, fence))


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
            return _not_found(vm_id)
        if vm["state"] == to_state:
            return Unchanged()
        if vm["state"] != from_state:
            return Busy()
        changes = _state_fields(to_state, vm["operation"], vm["target_pool"])
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
            return _not_found(listed.vm_id)
        if vm["operation"] != "maintenance":
            return _wrong_state("mark-maintained", listed.vm_id, vm, "in maintenance")
        changed: VmRow = {
            **_update_from_list(vm, listed),
            **_state_fields(VmState.ACTIVE),
            "last_maintained": now,
        }  # type: ignore[typeddict-item]
        pool = view.pool_by_name[vm["pool"]]
        return VmPlan(changed, {vm["pool"]: serve(pool, listed.vm_id, changed)})

    return commit_change(table, VmChange(listed.vm_id, token, decide, (), None, fence))


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


def _plan(vm: VmRow, changes: dict[str, str], pool_row: PoolRow) -> VmPlan:
    return VmPlan({**vm, **changes}, {vm["pool"]: pool_row})  # type: ignore


def _state_fields(state: VmState, operation: str = "", target_pool: str = "") -> dict:
    return {"state": state, "operation": operation, "target_pool": target_pool}


def _replace_gone(pool_row: PoolRow) -> tuple[PoolRow, tuple[str, ...]]:
    """Return the row without one VM that is gone, and the id of that VM if any."""
    replaced = find_replaced_vm(pool_row)
    if replaced is None:
        return pool_row, ()
    return remove(pool_row, replaced), (replaced,)


def _target_pool(table: Table, vm_id: str) -> tuple[str, ...]:
    """Return the pool that the VM moves to, empty if there is none or on an error."""
    rows = table.read([vm_key(vm_id)])
    if isinstance(rows, Unavailable) or vm_key(vm_id) not in rows:
        return ()
    name = rows[vm_key(vm_id)].value["target_pool"]
    return (name,) if name else ()


def _new_vm(listed: ListedVm, pool: str, last_maintained: float) -> VmRow:
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


def _update_from_list(vm: VmRow, listed: ListedVm) -> VmRow:
    """Return the row with the listed values, which a reboot may have changed."""
    new = _new_vm(listed, vm["pool"], vm["last_maintained"])
    kept = ("state", "operation", "target_pool", "last_token")
    return {**new, **{name: vm[name] for name in kept}}  # type: ignore


def _not_found(vm_id: str) -> Refused:
    return Refused(Reason.NOT_FOUND, "vm-change", detail=f"VM {vm_id!r} has no row")


def _wrong_state(step: str, vm_id: str, vm: VmRow, allowed: str) -> Refused:
    operation = vm["operation"] or "none"
    detail = f"VM {vm_id!r} must be {allowed}; "
    detail += f"it is {vm['state']}, operation {operation}"
    return Refused(Reason.REQUEST_INVALID, step, detail=detail)
