"""Transactions on VMs and pools. Each checks the availability budget as it commits.

``drain_vm``, ``undrain_vm``, ``move_vm`` and ``register_vm`` are called by the
administration API and by the controller; an operation repeated with the same
``token`` has no further effect.
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
        environment: the configuration, for the budget.
        vm_id: the VM.
        token: token of the attempt.
        operation: ``"drain"``, ``"maintenance"`` or ``"move"``.
        target_pool: pool to move to, for a move.
        expected_version: version that the VM's row must have; ``None`` for any.
        fence: ownership that must still hold; ``None`` for operators.

    Returns:
        The change, a conflict, or why it was refused.
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
        changes = _state(VmState.DRAINING, operation, target_pool)
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
            return _wrong_state("undrain", vm_id, vm)
        pool = view.pool_by_name[vm["pool"]]
        changed: VmRow = {**vm, **_state(VmState.ACTIVE)}
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
    """Start a move: drain now; the controller changes the pool once it is empty."""
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
    """Give an empty, drained VM to its target pool, in which it serves at once."""
    target = _target_pool(table, vm_id)

    def decide(view: VmView) -> Decision:
        vm = view.vm
        if vm is None:
            return _not_found(vm_id)
        if vm["state"] != VmState.DRAINED or vm["operation"] != "move":
            return _wrong_state("finish-move", vm_id, vm)
        if vm["target_pool"] not in view.pool_by_name:
            return Busy()
        name = vm["target_pool"]
        changed: VmRow = {**vm, **_state(VmState.ACTIVE), "pool": name}  # type: ignore
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

    A VM that takes the place of one that is gone counts as maintained at ``now``
    (seconds since the Unix epoch), because it was built recently. Of other VMs the
    last maintenance is not known, so that they are due first.
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
    """Take a VM out of service for an unplanned ``reason``, whatever the budget.

    An operation under way is kept and goes on when the VM has recovered. A VM that
    is leaving still runs, so it drains instead of failing.
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
        changes = _state(state, operation, vm["target_pool"])
        return _plan(vm, changes, disrupt(pool, vm_id, reason))

    return commit_change(table, VmChange(vm_id, token, decide, (), None, fence))


def recover_vm(
    table: Table,
    vm_id: str,
    token: str,
    listed: ListedVm | None = None,
    fence: Fence | None = None,
) -> VmOutcome:
    """Let a failed VM serve again, or go on with the operation it was in.

    ``listed`` is the VM after a reboot, whose addresses and size are taken over.
    """

    def decide(view: VmView) -> Decision:
        vm = view.vm
        if vm is None:
            return _not_found(vm_id)
        booted = vm if listed is None else _booted(vm, listed)
        if vm["state"] != VmState.FAILED and booted == vm:
            return Unchanged()
        pool = view.pool_by_name[vm["pool"]]
        if vm["state"] not in (VmState.FAILED, VmState.ACTIVE):
            return VmPlan(booted, {})
        if vm["operation"]:
            changes = _state(VmState.DRAINING, vm["operation"], vm["target_pool"])
            return _plan(booted, changes, disrupt(pool, vm_id, vm["operation"]))
        changed: VmRow = {**booted, **_state(VmState.ACTIVE)}
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
    """Take a VM that does not serve to the next state of its operation."""

    def decide(view: VmView) -> Decision:
        vm = view.vm
        if vm is None:
            return _not_found(vm_id)
        if vm["state"] == to_state:
            return Unchanged()
        if vm["state"] != from_state:
            return Busy()
        changes = _state(to_state, vm["operation"], vm["target_pool"])
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
        token: token of the attempt.
        now: time of the maintenance, in seconds since the Unix epoch.
        fence: ownership that must still hold.
    """

    def decide(view: VmView) -> Decision:
        vm = view.vm
        if vm is None:
            return _not_found(listed.vm_id)
        if vm["operation"] != "maintenance":
            return _wrong_state("mark-maintained", listed.vm_id, vm)
        changed: VmRow = {
            **_booted(vm, listed),
            **_state(VmState.ACTIVE),
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
        return Refused(Reason.NOT_FOUND, "vm-drain", detail=f"pool {vm['pool']!r}")
    if vm["state"] != VmState.ACTIVE:
        return Refused(
            Reason.REQUEST_INVALID,
            "vm-drain",
            detail=f"the VM must be active, it is {vm['state']}",
        )
    reasons = pool_row["reason_by_disrupted_vm"]
    if len(reasons) + 1 > pool.max_unavailable:
        detail = f"{len(reasons)} VMs of {pool.name} are unavailable"
        detail += f", at most {pool.max_unavailable} may be"
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
        detail = f"{pool.name} must keep {pool.min_vms} VMs, it has {n_staying}"
        return Refused(Reason.BUDGET_EXHAUSTED, "vm-move", detail=detail)
    return None


def _plan(vm: VmRow, changes: dict[str, str], pool_row: PoolRow) -> VmPlan:
    return VmPlan({**vm, **changes}, {vm["pool"]: pool_row})  # type: ignore


def _state(state: VmState, operation: str = "", target_pool: str = "") -> dict:
    return {"state": state, "operation": operation, "target_pool": target_pool}


def _replace_gone(pool_row: PoolRow) -> tuple[PoolRow, tuple[str, ...]]:
    replaced = find_replaced_vm(pool_row)
    if replaced is None:
        return pool_row, ()
    return remove(pool_row, replaced), (replaced,)


def _target_pool(table: Table, vm_id: str) -> tuple[str, ...]:
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


def _booted(vm: VmRow, listed: ListedVm) -> VmRow:
    """Return the row with what a reboot may have changed."""
    new = _new_vm(listed, vm["pool"], vm["last_maintained"])
    kept = ("state", "operation", "target_pool", "last_token")
    return {**new, **{name: vm[name] for name in kept}}  # type: ignore


def _not_found(vm_id: str) -> Refused:
    return Refused(Reason.NOT_FOUND, "vm-change", detail=f"VM {vm_id!r} has no row")


def _wrong_state(step: str, vm_id: str, vm: VmRow) -> Refused:
    operation = vm["operation"] or "none"
    detail = f"VM {vm_id!r} is {vm['state']}, operation {operation}"
    return Refused(Reason.REQUEST_INVALID, step, detail=detail)
